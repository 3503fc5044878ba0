//! Tests of the state machine of a request, and that "not run" is never answered for a request
//! that may have run.

use cicadabend::{
    chart::{
        ChartName,
        RequestAction,
        RequestEvent,
        RequestState, //
    },
    request::{
        Permit,
        RequestLife,
        RequestTraits, //
    },
};
use proptest::prelude::*;
use rstest::rstest;

const IDEMPOTENT: RequestTraits = RequestTraits {
    needs_claim: false,
    is_repeatable: true,
};
const CLAIMED: RequestTraits = RequestTraits {
    needs_claim: true,
    is_repeatable: false,
};

fn apply_all(life: &mut RequestLife, events: &[RequestEvent]) -> Vec<RequestAction> {
    let mut actions = Vec::new();
    for event in events {
        actions.extend(life.apply(*event, |_| true));
    }
    actions
}

#[test]
fn a_successful_request_frees_its_slot_once() {
    let mut life = RequestLife::new(IDEMPOTENT).unwrap();

    let actions = apply_all(
        &mut life,
        &[
            RequestEvent::Admitted,
            RequestEvent::Connected,
            RequestEvent::RequestSent,
            RequestEvent::FirstByte,
            RequestEvent::AnswerEnded,
            RequestEvent::CallerGone,
        ],
    );

    assert_eq!(life.state(), RequestState::Done);
    let is_slot_freed = |action: &&RequestAction| **action == RequestAction::FreeSlot;
    assert_eq!(actions.iter().filter(is_slot_freed).count(), 1);
    assert!(!actions.contains(&RequestAction::CancelUpstream));
}

/// The upstream fails after it may have started the request. An idempotent request is retried.
/// A request with a claim ends and keeps the claim: if the claim were released, a client
/// retry could run the request a second time.
#[rstest]
#[case::repeatable(IDEMPOTENT, RequestState::Connecting)]
#[case::claimed(CLAIMED, RequestState::OutcomeUnknown)]
fn a_failed_attempt_is_retried_if_idempotent_and_keeps_its_claim_otherwise(
    #[case] traits: RequestTraits,
    #[case] state: RequestState,
) {
    let mut life = RequestLife::new(traits).unwrap();

    let actions = apply_all(
        &mut life,
        &[
            RequestEvent::Admitted,
            RequestEvent::ClaimGranted,
            RequestEvent::Connected,
            RequestEvent::UpstreamFailed,
        ],
    );

    assert_eq!(life.state(), state);
    let is_kept = actions.contains(&RequestAction::KeepClaim);
    assert_eq!(is_kept, traits.needs_claim);
}

#[test]
fn a_request_is_not_retried_once_a_byte_of_an_answer_was_delivered() {
    let mut life = RequestLife::new(IDEMPOTENT).unwrap();
    let before = [
        RequestEvent::Admitted,
        RequestEvent::Connected,
        RequestEvent::FirstByte,
    ];
    apply_all(&mut life, &before);

    life.apply(RequestEvent::AnswerBroke, |permit| permit == Permit::Retry);

    assert_eq!(life.state(), RequestState::Broken);
}

/// The caller disconnects after bytes of its request were sent; then a duplicate of the claim's
/// grant arrives. If the claim were released, a client retry could run the request again.
#[test]
fn a_late_grant_does_not_release_the_claim_of_a_request_that_may_run() {
    let mut life = RequestLife::new(CLAIMED).unwrap();
    let before = [
        RequestEvent::Admitted,
        RequestEvent::ClaimGranted,
        RequestEvent::Connected,
        RequestEvent::CallerGone,
    ];
    apply_all(&mut life, &before);

    let actions = life.apply(RequestEvent::ClaimGranted, |_| false);

    assert_eq!(life.state(), RequestState::Cancelled);
    assert!(!actions.contains(&RequestAction::ReleaseClaim));
}

/// Tracks, from what was sent and received, whether any upstream may have run the request.
#[derive(Default)]
struct AttemptObserver {
    attempt_may_have_run: bool,
    earlier_may_have_run: bool,
}

impl AttemptObserver {
    fn record_transition(
        &mut self,
        before: RequestState,
        event: RequestEvent,
        after: RequestState,
    ) {
        if before == RequestState::Connecting && after == RequestState::Sending {
            self.attempt_may_have_run = true;
        }
        let was_sent = matches!(
            before,
            RequestState::Sending | RequestState::AwaitingFirstByte
        );
        if was_sent && event == RequestEvent::NotStarted {
            self.attempt_may_have_run = false;
        }
        if after == RequestState::Connecting {
            self.earlier_may_have_run |= self.attempt_may_have_run;
            self.attempt_may_have_run = false;
        }
    }

    fn may_have_run(&self) -> bool {
        self.attempt_may_have_run || self.earlier_may_have_run
    }
}

proptest! {
    /// Applies random events in random order. If "not run" were answered or a claim released
    /// after an upstream may have run the request, a client retry could run it twice.
    #[test]
    fn not_run_is_answered_only_if_no_upstream_can_have_run_the_request(
        needs_claim in any::<bool>(),
        steps in proptest::collection::vec((0..RequestEvent::ALL.len(), any::<bool>()), 1..40),
    ) {
        let traits = RequestTraits { needs_claim, is_repeatable: !needs_claim };
        let mut life = RequestLife::new(traits).unwrap();
        let mut observer = AttemptObserver::default();
        let mut slots = 0;
        for (index, allowed) in steps {
            let event = RequestEvent::ALL[index];
            let before = life.state();
            let actions = life.apply(event, |_| allowed);
            observer.record_transition(before, event, life.state());
            for action in actions {
                match action {
                    RequestAction::AnswerNotRun | RequestAction::ReleaseClaim => {
                        prop_assert!(!observer.may_have_run(), "{before} {event}");
                    }
                    RequestAction::TakeSlot => slots += 1,
                    RequestAction::FreeSlot => slots -= 1,
                    _ => {}
                }
            }
            prop_assert!((0..=1).contains(&slots));
            prop_assert!(!life.is_over() || slots == 0);
        }
    }
}
