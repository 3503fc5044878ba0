//! The life of a request: what is answered, and that "not run" is never said in vain.

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

const REPEATABLE: RequestTraits = RequestTraits {
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
fn a_request_that_goes_well_frees_its_slot_once() {
    let mut life = RequestLife::new(REPEATABLE).unwrap();

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
    let freed = |action: &&RequestAction| **action == RequestAction::FreeSlot;
    assert_eq!(actions.iter().filter(freed).count(), 1);
    assert!(!actions.contains(&RequestAction::CancelUpstream));
}

/// The upstream fails after it may have started. A repeatable request goes to
/// another one; a claimed one ends with its claim kept, so that no copy ever runs.
#[rstest]
#[case::repeatable(REPEATABLE, RequestState::Connecting)]
#[case::claimed(CLAIMED, RequestState::OutcomeUnknown)]
fn a_failure_after_sending(#[case] traits: RequestTraits, #[case] state: RequestState) {
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
fn nothing_is_repeated_once_part_of_an_answer_was_delivered() {
    let mut life = RequestLife::new(REPEATABLE).unwrap();
    let before = [
        RequestEvent::Admitted,
        RequestEvent::Connected,
        RequestEvent::FirstByte,
    ];
    apply_all(&mut life, &before);

    life.apply(RequestEvent::AnswerBroke, |permit| permit == Permit::Retry);

    assert_eq!(life.state(), RequestState::Broken);
}

/// The caller goes away after bytes of its request were sent; then a doubled grant of its
/// claim arrives. Giving the claim back would let a resend run the request once more.
#[test]
fn a_late_grant_does_not_give_back_the_claim_of_a_request_that_may_run() {
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

/// What an observer of the sockets knows: whether some upstream may have run it.
#[derive(Default)]
struct Sockets {
    this_attempt: bool,
    earlier_attempts: bool,
}

impl Sockets {
    fn note(&mut self, before: RequestState, event: RequestEvent, after: RequestState) {
        if before == RequestState::Connecting && after == RequestState::Sending {
            self.this_attempt = true;
        }
        let was_sent = matches!(
            before,
            RequestState::Sending | RequestState::AwaitingFirstByte
        );
        if was_sent && event == RequestEvent::NotStarted {
            self.this_attempt = false;
        }
        if after == RequestState::Connecting {
            self.earlier_attempts |= self.this_attempt;
            self.this_attempt = false;
        }
    }

    fn may_have_run(&self) -> bool {
        self.this_attempt || self.earlier_attempts
    }
}

proptest! {
    /// Whatever happens in whatever order, "not run" is answered, and a claim given
    /// back, only if no upstream can have run the request.
    #[test]
    fn not_run_is_never_said_in_vain(
        needs_claim in any::<bool>(),
        steps in proptest::collection::vec((0..RequestEvent::ALL.len(), any::<bool>()), 1..40),
    ) {
        let traits = RequestTraits { needs_claim, is_repeatable: !needs_claim };
        let mut life = RequestLife::new(traits).unwrap();
        let mut sockets = Sockets::default();
        let mut slots = 0;
        for (index, allowed) in steps {
            let event = RequestEvent::ALL[index];
            let before = life.state();
            let actions = life.apply(event, |_| allowed);
            sockets.note(before, event, life.state());
            for action in actions {
                match action {
                    RequestAction::AnswerNotRun | RequestAction::ReleaseClaim => {
                        prop_assert!(!sockets.may_have_run(), "{before} {event}");
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
