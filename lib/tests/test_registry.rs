//! Upstream reports that are delayed, repeated, or from instances that have ended.

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
        ReportEffect,
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
fn a_report_older_than_the_stored_one_is_ignored() {
    // An earlier report arrives after the one by which the upstream announces that it leaves. If
    // the late report were applied, an ending upstream would get new requests.
    let mut registry = Registry::default();
    registry.handle_report(ready("i-1", 1, 4), Timestamp(0));
    registry.handle_report(report("i-1", 1, 6, UpstreamState::Draining), Timestamp(10));

    let late = registry.handle_report(ready("i-1", 1, 5), Timestamp(20));

    assert_eq!(late, ReportEffect::Stale);
    assert!(!registry.get(&id("i-1")).unwrap().is_ready());
}

#[test]
fn a_draining_upstream_never_becomes_ready_again() {
    let mut registry = Registry::default();
    registry.handle_report(report("i-1", 1, 6, UpstreamState::Draining), Timestamp(0));

    registry.handle_report(ready("i-1", 1, 7), Timestamp(10));

    assert!(!registry.get(&id("i-1")).unwrap().is_ready());
}

#[test]
fn a_report_of_an_instance_that_has_left_is_ignored() {
    let mut registry = Registry::default();
    registry.handle_report(ready("i-1", 1, 4), Timestamp(0));
    registry.end(&id("i-1"), Ended::Left, Timestamp(10));

    let late = registry.handle_report(ready("i-1", 1, 5), Timestamp(20));

    assert_eq!(late, ReportEffect::Stale);
    assert!(registry.get(&id("i-1")).is_none());
}

#[test]
fn delayed_reports_of_an_earlier_instance_do_not_take_over_the_address() {
    // An engine was restarted at its address and serves as the head of a group. A report of its
    // earlier instance arrives late. If it took the address, the current instance would count as
    // dead, and the members of its group would join other groups while it still serves.
    let mut registry = Registry::default();
    registry.handle_report(ready("i-new", 1, 1), Timestamp(0));
    registry.handle_report(ready("i-new", 1, 2), Timestamp(1_200));

    let late = registry.handle_report(ready("i-old", 1, 1), Timestamp(1_500));
    registry.handle_report(ready("i-new", 1, 3), Timestamp(2_400));
    let later = registry.handle_report(ready("i-old", 1, 2), Timestamp(2_500));

    assert_eq!((late, later), (ReportEffect::Stale, ReportEffect::Stale));
    assert!(registry.get(&id("i-new")).is_some());
    assert_eq!(registry.ended(&id("i-new")), None);
}

#[test]
fn a_new_instance_takes_over_an_address_by_two_reports_without_one_of_the_holder_between() {
    let mut registry = Registry::default();
    registry.handle_report(ready("i-old", 1, 9), Timestamp(0));

    let first = registry.handle_report(ready("i-new", 1, 1), Timestamp(500));
    let second = registry.handle_report(ready("i-new", 1, 2), Timestamp(1_700));

    assert_eq!((first, second), (ReportEffect::Stale, ReportEffect::New));
    assert_eq!(registry.ended(&id("i-old")), Some(Ended::Dead));
}

#[test]
fn a_new_instance_takes_over_the_address_of_a_silent_one_at_once() {
    let mut registry = Registry::default();
    registry.handle_report(ready("i-old", 1, 9), Timestamp(0));

    let taken = registry.handle_report(ready("i-new", 1, 1), Timestamp(3_000));

    assert_eq!(taken, ReportEffect::New);
}

#[test]
fn a_sign_of_life_reveals_a_missed_change() {
    // A message with a change is lost. The next sign of life names a later change than the known
    // one; the daemon then asks for all reports.
    let mut registry = Registry::default();
    registry.handle_report(ready("i-1", 1, 4), Timestamp(0));
    let sign = |changed_by| Alive {
        id: id("i-1"),
        changed_by,
    };

    assert!(registry.touch(&sign(4), Duration::ZERO, Timestamp(10)));
    assert!(!registry.touch(&sign(6), Duration::ZERO, Timestamp(20)));
}

fn instance_report(name: &str, born_ms: u64, sequence: u64) -> ReceivedReport {
    let mut received = ready(name, 1, sequence);
    received.registration.id = id(name).born_at(born_ms);
    received
}

#[test]
fn a_restarted_upstream_with_the_same_name_replaces_its_earlier_instance_at_once() {
    // An engine crashes and is back within one report interval, with the same name and address;
    // its sequence numbers start over. If its reports counted as late ones of the earlier
    // instance, they would be refused until the numbers exceed the earlier ones, and its group
    // would seem complete until then.
    let mut registry = Registry::default();
    registry.handle_report(instance_report("i-1", 100, 40), Timestamp(0));

    let taken = registry.handle_report(instance_report("i-1", 900, 1), Timestamp(900));

    assert_eq!(taken, ReportEffect::New);
    assert_eq!(registry.ended(&id("i-1").born_at(100)), Some(Ended::Dead));
    assert_eq!(
        registry.latest_instance_of(&id("i-1")),
        Some(id("i-1").born_at(900))
    );
}

#[test]
fn late_messages_of_an_earlier_instance_are_ignored_once_a_later_one_is_known() {
    // A report and a sign of life of the instance before a crash arrive seconds late. They would
    // show the engine in a group of which the new instance knows nothing.
    let mut registry = Registry::default();
    registry.handle_report(instance_report("i-1", 100, 40), Timestamp(0));
    registry.handle_report(instance_report("i-1", 900, 1), Timestamp(900));
    let sign = Alive {
        id: id("i-1").born_at(100),
        changed_by: 41,
    };

    let late = registry.handle_report(instance_report("i-1", 100, 41), Timestamp(1_000));

    assert_eq!(late, ReportEffect::Stale);
    assert!(registry.touch(&sign, Duration::ZERO, Timestamp(1_000)));
    let known = registry.get(&id("i-1").born_at(900)).unwrap();
    assert_eq!(known.last_contact, Timestamp(900));
    assert_eq!(registry.iter().count(), 1);
}

#[test]
fn an_upstream_that_has_left_may_restart_with_the_same_name() {
    let mut registry = Registry::default();
    registry.handle_report(instance_report("i-1", 100, 40), Timestamp(0));
    registry.end(&id("i-1").born_at(100), Ended::Left, Timestamp(10));

    let late = registry.handle_report(instance_report("i-1", 100, 41), Timestamp(20));
    let restarted = registry.handle_report(instance_report("i-1", 900, 1), Timestamp(900));

    assert_eq!((late, restarted), (ReportEffect::Stale, ReportEffect::New));
}

#[test]
fn an_instance_id_is_written_with_its_start_time_and_parsed_back() {
    let instance = id("i-1").born_at(1_769_617_430_000);

    assert_eq!(instance.to_string(), "i-1@1769617430000");
    assert_eq!(instance.to_string().parse(), Ok(instance));
    assert!("i-1@soon".parse::<InstanceId>().is_err());
}

#[test]
fn an_engine_that_left_its_group_keeps_its_last_model() {
    // A group loses a member and is dissolved. The remaining engines no longer report a model,
    // although they can run theirs again at once; their hosts store another model, too. Treated as
    // engines of that one, they would be placed in its groups while their own model lacks a group.
    let mut registry = Registry::default();
    let engine = |sequence, model: Option<&str>| {
        let mut received = instance_report("i-1", 100, sequence);
        let model: Option<ModelName> = model.map(|name| name.parse().unwrap());
        received.registration.engine = Some(EngineStatus {
            last_model: model.clone(),
            model,
            ..EngineStatus::default()
        });
        received
    };
    let last_model = |registry: &Registry| {
        let instance = registry.latest_instance_of(&id("i-1")).unwrap();
        let engine = registry.get(&instance).unwrap().registration.engine.clone();
        engine.unwrap().last_model
    };
    registry.handle_report(engine(1, Some("large")), Timestamp(0));

    registry.handle_report(engine(2, None), Timestamp(10));
    let inherited = last_model(&registry);
    registry.handle_report(instance_report("i-1", 900, 1), Timestamp(900));
    let mut restarted = engine(2, None);
    restarted.registration.id = id("i-1").born_at(900);
    registry.handle_report(restarted, Timestamp(910));

    assert_eq!(inherited, Some("large".parse().unwrap()));
    // A new instance inherits nothing from the earlier one.
    assert_eq!(last_model(&registry), None);
}
