//! Reports of upstreams that are late, doubled or of runs that have ended.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

use std::time::Duration;

use cicadabend::{
    prelude::*,
    registry::{
        Alive,
        Ended,
        EngineStatus,
        InstanceId,
        ReceivedReport,
        Registration,
        Registry,
        Taken,
        UpstreamState, //
    },
};

fn id(name: &str) -> InstanceId {
    name.parse().unwrap()
}

fn report(name: &str, last_byte: u8, sequence: u64, state: UpstreamState) -> ReceivedReport {
    ReceivedReport {
        registration: Registration {
            id: id(name),
            service: "portal".parse().unwrap(),
            address: ([10, 0, 0, last_byte], 80).into(),
            failure_domain: "a".parse().unwrap(),
            slots: Slots(4),
            state,
            sequence,
            engine: None,
        },
        age: Duration::ZERO,
    }
}

fn ready(name: &str, last_byte: u8, sequence: u64) -> ReceivedReport {
    report(name, last_byte, sequence, UpstreamState::Ready)
}

#[test]
fn a_report_that_was_overtaken_changes_nothing() {
    // The upstream says that it leaves; its report before that comes late. Taking it
    // would send new work to an upstream that ends.
    let mut registry = Registry::default();
    registry.handle_report(ready("i-1", 1, 4), Timestamp(0));
    registry.handle_report(report("i-1", 1, 6, UpstreamState::Draining), Timestamp(10));

    let late = registry.handle_report(ready("i-1", 1, 5), Timestamp(20));

    assert_eq!(late, Taken::Stale);
    assert!(!registry.get(&id("i-1")).unwrap().is_ready());
}

#[test]
fn one_that_said_it_leaves_never_takes_work_again() {
    let mut registry = Registry::default();
    registry.handle_report(report("i-1", 1, 6, UpstreamState::Draining), Timestamp(0));

    registry.handle_report(ready("i-1", 1, 7), Timestamp(10));

    assert!(!registry.get(&id("i-1")).unwrap().is_ready());
}

#[test]
fn a_report_of_one_that_has_left_does_not_bring_it_back() {
    let mut registry = Registry::default();
    registry.handle_report(ready("i-1", 1, 4), Timestamp(0));
    registry.end(&id("i-1"), Ended::Left, Timestamp(10));

    let late = registry.handle_report(ready("i-1", 1, 5), Timestamp(20));

    assert_eq!(late, Taken::Stale);
    assert!(registry.get(&id("i-1")).is_none());
}

#[test]
fn a_delayed_report_of_an_earlier_run_does_not_take_the_address() {
    // The engine was started anew at its address and serves as a group's head. A report
    // of its earlier run comes late. Believing it would call the present run dead, and
    // its group's members would be joined elsewhere while it serves.
    let mut registry = Registry::default();
    registry.handle_report(ready("i-new", 1, 1), Timestamp(0));
    registry.handle_report(ready("i-new", 1, 2), Timestamp(1_200));

    let late = registry.handle_report(ready("i-old", 1, 1), Timestamp(1_500));
    registry.handle_report(ready("i-new", 1, 3), Timestamp(2_400));
    let later = registry.handle_report(ready("i-old", 1, 2), Timestamp(2_500));

    assert_eq!((late, later), (Taken::Stale, Taken::Stale));
    assert!(registry.get(&id("i-new")).is_some());
    assert_eq!(registry.ended(&id("i-new")), None);
}

#[test]
fn a_new_run_gets_the_address_by_two_reports_without_one_of_the_old_between() {
    let mut registry = Registry::default();
    registry.handle_report(ready("i-old", 1, 9), Timestamp(0));

    let first = registry.handle_report(ready("i-new", 1, 1), Timestamp(500));
    let second = registry.handle_report(ready("i-new", 1, 2), Timestamp(1_700));

    assert_eq!((first, second), (Taken::Stale, Taken::New));
    assert_eq!(registry.ended(&id("i-old")), Some(Ended::Dead));
}

#[test]
fn a_new_run_gets_the_address_of_a_silent_one_at_once() {
    let mut registry = Registry::default();
    registry.handle_report(ready("i-old", 1, 9), Timestamp(0));

    let taken = registry.handle_report(ready("i-new", 1, 1), Timestamp(3_000));

    assert_eq!(taken, Taken::New);
}

#[test]
fn a_sign_of_life_shows_a_change_that_was_missed() {
    // A message with a change is lost. The next sign of life names a later change than
    // the one known, so the daemon asks for all reports.
    let mut registry = Registry::default();
    registry.handle_report(ready("i-1", 1, 4), Timestamp(0));
    let sign = |changed_by| Alive {
        id: id("i-1"),
        changed_by,
    };

    assert!(registry.touch(&sign(4), Duration::ZERO, Timestamp(10)));
    assert!(!registry.touch(&sign(6), Duration::ZERO, Timestamp(20)));
}

fn run(name: &str, born_ms: u64, sequence: u64) -> ReceivedReport {
    let mut heard = ready(name, 1, sequence);
    heard.registration.id = id(name).born_at(born_ms);
    heard
}

#[test]
fn an_upstream_that_starts_again_under_its_name_is_another_run_at_once() {
    // An engine crashes and is back within one report's interval, under its name and address;
    // its counts start anew. Taken for late reports of the run before, its own would be refused
    // until they have counted past it, and its group would look whole all that time.
    let mut registry = Registry::default();
    registry.handle_report(run("i-1", 100, 40), Timestamp(0));

    let taken = registry.handle_report(run("i-1", 900, 1), Timestamp(900));

    assert_eq!(taken, Taken::New);
    assert_eq!(registry.ended(&id("i-1").born_at(100)), Some(Ended::Dead));
    assert_eq!(registry.run_of(&id("i-1")), Some(id("i-1").born_at(900)));
}

#[test]
fn what_an_earlier_run_said_changes_nothing_once_a_later_one_was_heard() {
    // A report and a sign of life of the run before the crash come seconds late. They would
    // show the engine in a group that it has forgotten.
    let mut registry = Registry::default();
    registry.handle_report(run("i-1", 100, 40), Timestamp(0));
    registry.handle_report(run("i-1", 900, 1), Timestamp(900));
    let sign = Alive {
        id: id("i-1").born_at(100),
        changed_by: 41,
    };

    let late = registry.handle_report(run("i-1", 100, 41), Timestamp(1_000));

    assert_eq!(late, Taken::Stale);
    assert!(registry.touch(&sign, Duration::ZERO, Timestamp(1_000)));
    let known = registry.get(&id("i-1").born_at(900)).unwrap();
    assert_eq!(known.last_contact, Timestamp(900));
    assert_eq!(registry.iter().count(), 1);
}

#[test]
fn an_upstream_that_has_left_may_start_again_under_its_name() {
    let mut registry = Registry::default();
    registry.handle_report(run("i-1", 100, 40), Timestamp(0));
    registry.end(&id("i-1").born_at(100), Ended::Left, Timestamp(10));

    let late = registry.handle_report(run("i-1", 100, 41), Timestamp(20));
    let anew = registry.handle_report(run("i-1", 900, 1), Timestamp(900));

    assert_eq!((late, anew), (Taken::Stale, Taken::New));
}

#[test]
fn a_run_is_written_with_its_start_and_read_back() {
    let run = id("i-1").born_at(1_769_617_430_000);

    assert_eq!(run.to_string(), "i-1@1769617430000");
    assert_eq!(run.to_string().parse(), Ok(run));
    assert!("i-1@soon".parse::<InstanceId>().is_err());
}

#[test]
fn an_engine_that_left_its_group_is_known_to_hold_that_groups_model() {
    // A group loses a member and is taken apart. Its survivors tell no model any more, though
    // they run theirs again at once; on their hosts is another one. Taken for engines of that
    // one, they would be put into its groups while the model that lost a group is short.
    let mut registry = Registry::default();
    let engine = |sequence, model: Option<&str>| {
        let mut heard = run("i-1", 100, sequence);
        let model: Option<ModelName> = model.map(|name| name.parse().unwrap());
        heard.registration.engine = Some(EngineStatus {
            last_model: model.clone(),
            model,
            ..EngineStatus::default()
        });
        heard
    };
    let last_model = |registry: &Registry| {
        let run = registry.run_of(&id("i-1")).unwrap();
        let engine = registry.get(&run).unwrap().registration.engine.clone();
        engine.unwrap().last_model
    };
    registry.handle_report(engine(1, Some("large")), Timestamp(0));

    registry.handle_report(engine(2, None), Timestamp(10));
    let kept = last_model(&registry);
    registry.handle_report(run("i-1", 900, 1), Timestamp(900));
    let mut anew = engine(2, None);
    anew.registration.id = id("i-1").born_at(900);
    registry.handle_report(anew, Timestamp(910));

    assert_eq!(kept, Some("large".parse().unwrap()));
    // Another run holds nothing of before.
    assert_eq!(last_model(&registry), None);
}
