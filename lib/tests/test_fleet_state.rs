//! The state machine of accepted configurations: racing operators, client retries, bounds,
//! snapshots.

#![expect(
    clippy::unwrap_used,
    reason = "a fixture that cannot be built fails its test"
)]

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use cicadabend::{
    chart::PlanState,
    fleet::{
        FleetAnswer,
        FleetCommand,
        FleetConfig,
        FleetState,
        PlainService,
        Service,
        Voter,
        plan::PlanDraft,
        state::{
            Confirmation,
            MAX_CHANGED_PATHS,
            MAX_HISTORY_ENTRIES,
            MAX_STORED_ANSWERS,
            MAX_STORED_PLANS, //
        }, //
    },
    operator_api::{
        ConfirmReply,
        PlanRequest, //
    },
    prelude::*,
};
use proptest::{
    prelude::*,
    test_runner::RngSeed, //
};

fn drained(vm: usize) -> FleetConfig {
    FleetConfig {
        drained_vms: BTreeSet::from([format!("vm-{vm}").parse().unwrap()]),
        ..FleetConfig::default()
    }
}

fn store(state: &mut FleetState, vm: usize, operator: &str) -> PlanId {
    let request = PlanRequest {
        config: drained(vm),
        operator: operator.to_owned(),
        reason: String::new(),
    };
    let draft = PlanDraft::new(state.revision(), state.config(), &[], request);
    match state.apply(FleetCommand::StorePlan(Box::new(draft))) {
        FleetAnswer::PlanStored(plan) => plan.id,
        other => panic!("{other:?}"),
    }
}

fn confirmation(plan: PlanId, operator: &str, key: &str) -> Confirmation {
    Confirmation {
        plan,
        operator: operator.to_owned(),
        idempotency_key: key.parse().unwrap(),
        at_unix_s: 0,
        objection: None,
    }
}

fn confirm(state: &mut FleetState, plan: PlanId, operator: &str, key: &str) -> ConfirmReply {
    reply(state.apply(FleetCommand::Confirm(confirmation(plan, operator, key))))
}

fn reply(answer: FleetAnswer) -> ConfirmReply {
    match answer {
        FleetAnswer::Confirmed(reply) => reply,
        other => panic!("{other:?}"),
    }
}

fn accepted(revision: u64) -> ConfirmReply {
    ConfirmReply::Accepted {
        revision: Revision(revision),
    }
}

/// Two operators have plans made from the same revision and both confirm. One plan is accepted; the
/// other operator learns which plan won, whose it was and what it changed.
#[test]
fn of_two_plans_from_one_revision_one_is_accepted_and_the_other_conflicts() {
    let mut state = FleetState::default();
    let of_ana = store(&mut state, 1, "ana");
    let of_bojan = store(&mut state, 2, "bojan");

    let first = confirm(&mut state, of_bojan, "bojan", "k");
    let second = confirm(&mut state, of_ana, "ana", "k");

    assert_eq!(first, accepted(1));
    let conflict = ConfirmReply::Conflict {
        winner: of_bojan,
        winner_operator: "bojan".to_owned(),
        revision: Revision(1),
        changed_paths: vec!["$.drained_vms".to_owned()],
    };
    assert_eq!(second, conflict);
    assert_eq!(*state.config(), drained(2));
}

/// The answer to an operator is lost, another operator's plan is accepted in between, and the first
/// operator retries. The retry gets the first answer and changes nothing.
#[test]
fn a_client_retry_gets_its_first_answer_after_another_plan_was_accepted() {
    let mut state = FleetState::default();
    let first = store(&mut state, 1, "ana");
    assert_eq!(confirm(&mut state, first, "ana", "k1"), accepted(1));
    let second = store(&mut state, 2, "bojan");
    assert_eq!(confirm(&mut state, second, "bojan", "k2"), accepted(2));

    let resent = confirm(&mut state, first, "ana", "k1");

    assert_eq!(resent, accepted(1));
    assert_eq!(state.revision(), Revision(2));
    assert_eq!(*state.config(), drained(2));
}

#[test]
fn a_key_used_for_another_plan_is_refused() {
    let mut state = FleetState::default();
    let first = store(&mut state, 1, "ana");
    confirm(&mut state, first, "ana", "k");
    let second = store(&mut state, 2, "ana");

    let reused = confirm(&mut state, second, "ana", "k");

    assert_eq!(reused, ConfirmReply::KeyReused { first_plan: first });
    assert_eq!(state.revision(), Revision(1));
}

#[test]
fn the_same_key_of_another_operator_is_another_key() {
    let mut state = FleetState::default();
    let of_ana = store(&mut state, 1, "ana");
    let of_bojan = store(&mut state, 2, "bojan");
    confirm(&mut state, of_ana, "ana", "k");

    let other = confirm(&mut state, of_bojan, "bojan", "k");

    assert!(matches!(other, ConfirmReply::Conflict { winner, .. } if winner == of_ana));
}

/// An operator confirms a plan that was accepted under another key, perhaps by a colleague. The
/// answer is the revision that the plan became, and nothing is accepted anew.
#[test]
fn an_accepted_plan_keeps_its_revision_for_every_later_confirmation() {
    let mut state = FleetState::default();
    let plan = store(&mut state, 1, "ana");
    confirm(&mut state, plan, "ana", "k1");
    let next = store(&mut state, 2, "ana");
    confirm(&mut state, next, "ana", "k2");

    let again = confirm(&mut state, plan, "bojan", "k3");

    assert_eq!(again, accepted(1));
    assert_eq!(state.revision(), Revision(2));
    assert_eq!(state.history().count(), 2);
}

#[test]
fn plans_follow_their_chart() {
    let mut state = FleetState::default();
    let winner = store(&mut state, 1, "ana");
    let loser = store(&mut state, 2, "bojan");
    assert_eq!(state.plan_state(winner), Some(PlanState::Proposed));

    confirm(&mut state, winner, "ana", "k");

    assert_eq!(state.plan_state(winner), Some(PlanState::Confirmed));
    assert_eq!(state.plan_state(loser), Some(PlanState::Superseded));
    let next = store(&mut state, 3, "ana");
    confirm(&mut state, next, "ana", "k2");
    assert_eq!(state.plan_state(winner), Some(PlanState::Superseded));
}

/// The leader sees at confirmation that the groups differ from those in the plan. The refusal goes
/// through the log, so that a retry is not accepted after the first confirmation was refused.
#[test]
fn a_plan_that_no_longer_fits_the_fleet_is_refused_for_client_retries_too() {
    let mut state = FleetState::default();
    let plan = store(&mut state, 1, "ana");
    let objecting = Confirmation {
        objection: Some(Vec::new()),
        ..confirmation(plan, "ana", "k1")
    };

    let refused = reply(state.apply(FleetCommand::Confirm(objecting)));
    let resent = confirm(&mut state, plan, "ana", "k1");
    let anew = confirm(&mut state, plan, "ana", "k2");

    let changes_now = Vec::new();
    assert_eq!(refused, ConfirmReply::FleetChanged { changes_now });
    assert_eq!(resent, refused);
    assert_eq!(anew, accepted(1));
}

#[test]
fn a_plan_computed_for_an_older_revision_is_not_stored() {
    let mut state = FleetState::default();
    let request = PlanRequest {
        config: drained(1),
        operator: "ana".to_owned(),
        reason: String::new(),
    };
    let outdated = PlanDraft::new(Revision(0), &FleetConfig::default(), &[], request);
    let plan = store(&mut state, 2, "bojan");
    confirm(&mut state, plan, "bojan", "k");

    let answer = state.apply(FleetCommand::StorePlan(Box::new(outdated)));

    let revision = Revision(1);
    assert_eq!(answer, FleetAnswer::PlanOutdated { revision });
}

#[test]
fn a_confirmation_of_an_unknown_plan_is_refused() {
    let mut state = FleetState::default();

    let answer = confirm(&mut state, PlanId(7), "ana", "k");

    assert_eq!(answer, ConfirmReply::UnknownPlan);
}

#[test]
fn tables_are_bounded_and_the_oldest_entry_goes_first() {
    let mut state = FleetState::default();
    let rounds = MAX_STORED_ANSWERS + 1;
    let mut plans = Vec::new();
    for round in 0..rounds {
        let plan = store(&mut state, round, "ana");
        confirm(&mut state, plan, "ana", &format!("k{round}"));
        plans.push(plan);
    }

    let oldest_stored = plans[rounds - MAX_STORED_PLANS];
    assert!(state.plan(oldest_stored).is_some());
    assert!(state.plan(plans[rounds - MAX_STORED_PLANS - 1]).is_none());
    assert_eq!(state.history().count(), MAX_HISTORY_ENTRIES);
    let kept = confirm(&mut state, plans[1], "ana", "k1");
    assert_eq!(kept, accepted(2));
    let forgotten = confirm(&mut state, plans[0], "ana", "k0");
    assert_eq!(forgotten, ConfirmReply::UnknownPlan);
}

/// An intent replaces 1,000 values while another plan is open, and the fleet differs in as many
/// groups. The stored part of either answer stays small.
#[test]
fn stored_answers_are_bounded() {
    let mut state = FleetState::default();
    let open = store(&mut state, 1, "bojan");
    let services = (0..1_000).map(|number| {
        let plain = PlainService {
            routing: Vec::new(),
            unsafe_methods_are_repeatable: false,
        };
        (format!("s{number}").parse().unwrap(), Service::Plain(plain))
    });
    let request = PlanRequest {
        config: FleetConfig {
            services: services.collect(),
            ..FleetConfig::default()
        },
        operator: "ana".to_owned(),
        reason: String::new(),
    };
    let draft = PlanDraft::new(Revision(0), &FleetConfig::default(), &[], request);
    let FleetAnswer::PlanStored(large) = state.apply(FleetCommand::StorePlan(Box::new(draft)))
    else {
        panic!("the plan is not stored");
    };
    let objecting = Confirmation {
        objection: Some(large.changes.clone()),
        ..confirmation(large.id, "ana", "k1")
    };

    let changed = reply(state.apply(FleetCommand::Confirm(objecting)));
    confirm(&mut state, large.id, "ana", "k2");
    let conflict = confirm(&mut state, open, "bojan", "k");

    assert_eq!(large.changes.len(), 1_000);
    assert!(
        matches!(&changed, ConfirmReply::FleetChanged { changes_now } if changes_now.len() == MAX_CHANGED_PATHS)
    );
    assert!(
        matches!(&conflict, ConfirmReply::Conflict { changed_paths, .. } if changed_paths.len() == MAX_CHANGED_PATHS)
    );
}

#[test]
fn voters_change_by_one_daemon_at_a_time() {
    let voter = |disk| Voter {
        daemon: format!("control-{disk}").parse().unwrap(),
        disk,
    };
    let set = |disks: &[u64]| disks.iter().copied().map(voter).collect::<BTreeSet<_>>();
    let mut state = FleetState::default();
    let mut change = |disks: &[u64]| {
        let voters = set(disks);
        state.apply(FleetCommand::ChangeVoters { voters })
    };

    assert_eq!(change(&[1, 2, 3]), FleetAnswer::VotersChanged);
    assert_eq!(change(&[1, 2, 3, 4]), FleetAnswer::VotersChanged);
    assert_eq!(change(&[1, 2, 3, 4, 5, 6]), FleetAnswer::VotersRefused);
    assert_eq!(change(&[2, 3, 4, 5]), FleetAnswer::VotersRefused);
    assert_eq!(change(&[]), FleetAnswer::VotersRefused);
    assert_eq!(state.voters(), &set(&[1, 2, 3, 4]));
}

#[test]
fn damaged_snapshots_are_refused() {
    let mut state = FleetState::default();
    store(&mut state, 1, "ana");
    let bytes = state.to_bytes().unwrap();

    assert!(FleetState::from_bytes(&bytes[..bytes.len() - 1]).is_err());
}

#[derive(Clone, Debug)]
enum Step {
    Store(usize),
    Confirm {
        plan: u64,
        operator: usize,
        key: usize,
        objects: bool,
    },
    Snapshot,
}

fn step() -> impl Strategy<Value = Step> {
    let confirm = (
        1..12_u64,
        0..2_usize,
        0..10_usize,
        prop::bool::weighted(0.2),
    );
    prop_oneof![
        2 => (0..5_usize).prop_map(Step::Store),
        4 => confirm.prop_map(|(plan, operator, key, objects)| Step::Confirm {
            plan,
            operator,
            key,
            objects,
        }),
        1 => Just(Step::Snapshot),
    ]
}

/// The answers expected by the invariants, for any order of stores, confirmations and retries.
#[derive(Default)]
struct Expected {
    first_answers: BTreeMap<(usize, usize), (u64, ConfirmReply)>,
    winners: BTreeMap<Revision, u64>,
}

impl Expected {
    fn check(&mut self, plan: u64, key: (usize, usize), answer: &ConfirmReply, base: Revision) {
        match self.first_answers.get(&key) {
            Some((first, known)) if *first == plan => assert_eq!(answer, known),
            Some((first, _)) => {
                let first_plan = PlanId(*first);
                assert_eq!(*answer, ConfirmReply::KeyReused { first_plan });
            }
            None => {
                if let ConfirmReply::Accepted { revision } = answer {
                    self.check_winner(plan, *revision, base);
                }
                self.first_answers.insert(key, (plan, answer.clone()));
            }
        }
    }
}

fn seeded() -> ProptestConfig {
    ProptestConfig {
        cases: 400,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

impl Expected {
    /// Asserts that a plan was accepted on the current revision, or got the revision that it became
    /// earlier.
    fn check_winner(&mut self, plan: u64, revision: Revision, base: Revision) {
        let won_from = Revision(revision.0 - 1);
        match self.winners.get(&won_from) {
            Some(winner) => assert_eq!(*winner, plan),
            None => {
                assert_eq!(won_from, base);
                self.winners.insert(base, plan);
            }
        }
    }
}

proptest! {
    #![proptest_config(seeded())]

    #[test]
    fn any_interleaving_gives_one_answer_per_key_and_one_winner_per_base(
        steps in prop::collection::vec(step(), 1..80)
    ) {
        let mut state = FleetState::default();
        let mut expected = Expected::default();
        for step in steps {
            let before = state.revision();
            match step {
                Step::Store(vm) => {
                    store(&mut state, vm, "ana");
                }
                Step::Confirm { plan, operator, key, objects } => {
                    let confirmation = Confirmation {
                        objection: objects.then(Vec::new),
                        ..confirmation(PlanId(plan), &format!("o{operator}"), &format!("k{key}"))
                    };
                    let answer = reply(state.apply(FleetCommand::Confirm(confirmation)));
                    expected.check(plan, (operator, key), &answer, before);
                }
                Step::Snapshot => {
                    let restored = FleetState::from_bytes(&state.to_bytes().unwrap()).unwrap();
                    prop_assert_eq!(&restored, &state);
                    state = restored;
                }
            }
            prop_assert!(state.revision() >= before);
            prop_assert!(state.revision().0 - before.0 <= 1);
        }
        prop_assert_eq!(state.revision().0 as usize, expected.winners.len());
    }
}
