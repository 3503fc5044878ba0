//! The life of one caller's request in an entry daemon.

use super::{
    error::{
        ChartError,
        ChartFault, //
    },
    interpreter::{
        Chart,
        TransitionView, //
    },
    names::{
        ChartName,
        chart_names, //
    },
};

/// The chart of a request.
pub type RequestChart = Chart<RequestState, RequestEvent, RequestGuard, RequestAction>;

type RequestTransition<'a> =
    TransitionView<'a, RequestState, RequestEvent, RequestGuard, RequestAction>;

chart_names! {
    /// Where a request stands.
    RequestState {
        /// Its head has been read.
        Received = "received",
        /// It waits for its turn.
        Queued = "queued",
        /// The claim that lets it run at most once is being asked for.
        Claiming = "claiming",
        /// A connection to the chosen replica is being made; no byte has been written on it.
        Connecting = "connecting",
        /// Bytes of it may have reached the replica.
        Sending = "sending",
        /// All of it was sent.
        AwaitingFirstByte = "awaiting_first_byte",
        /// The answer is being passed on.
        Streaming = "streaming",
        /// The answer broke off and its rest is being asked for.
        Resuming = "resuming",
        /// It did not run; its claim is being given back.
        Withdrawing = "withdrawing",
        /// The whole answer was delivered.
        Done = "done",
        /// It was refused, and no replica ran it.
        RefusedNotRun = "refused_not_run",
        /// Another copy of it holds the claim; this one was not sent.
        Duplicate = "duplicate",
        /// It may have run; nobody can tell.
        OutcomeUnknown = "outcome_unknown",
        /// Part of the answer was delivered and the rest is lost.
        Broken = "broken",
        /// The caller went away.
        Cancelled = "cancelled",
    }
}

chart_names! {
    /// What happens to a request.
    RequestEvent {
        /// Admission queued it.
        Enqueued = "enqueued",
        /// Its turn has come and a replica is chosen.
        Admitted = "admitted",
        /// Admission refuses it, at once or from the queue.
        Refused = "refused",
        /// A majority of control daemons holds the claim for this attempt.
        ClaimGranted = "claim_granted",
        /// Another attempt holds the claim or has ended.
        ClaimHeldByOther = "claim_held_by_other",
        /// No majority answers.
        ClaimUnavailable = "claim_unavailable",
        /// A majority of control daemons knows that the claim was given back.
        ClaimWithdrawn = "claim_withdrawn",
        /// No majority could be told in time that the claim was given back.
        ClaimNotWithdrawn = "claim_not_withdrawn",
        /// The connection stands.
        Connected = "connected",
        /// The connection could not be made; no byte was written.
        ConnectFailed = "connect_failed",
        /// The last byte of the request was written.
        RequestSent = "request_sent",
        /// The replica says that it did not start the request.
        NotStarted = "not_started",
        /// The replica failed before the first byte of its answer.
        UpstreamFailed = "upstream_failed",
        /// The first byte of the answer arrived.
        FirstByte = "first_byte",
        /// The last byte of the answer was delivered.
        AnswerEnded = "answer_ended",
        /// The answer broke off.
        AnswerBroke = "answer_broke",
        /// The replica goes on from the position asked for.
        Resumed = "resumed",
        /// The replica cannot go on.
        ResumeFailed = "resume_failed",
        /// The first byte has not come in the time the caller gave.
        DeadlinePassed = "deadline_passed",
        /// The caller closed its connection.
        CallerGone = "caller_gone",
    }
}

chart_names! {
    /// What must hold for a transition of a request.
    RequestGuard {
        /// It must run at most once.
        NeedsClaim = "needs_claim",
        /// Bytes of an earlier attempt may have reached a replica that did not deny it.
        EarlierAttemptMayHaveRun = "earlier_attempt_may_have_run",
        /// Another replica may be tried: time and the retry budget allow it.
        MayTryAnother = "may_try_another",
        /// It may run twice, nothing was delivered, and another replica may be tried.
        MayRepeat = "may_repeat",
        /// The replica can resume streams, and the time for that is not over.
        MayResume = "may_resume",
    }
}

chart_names! {
    /// What is to be done about a request.
    RequestAction {
        /// Ask the control daemons for the claim.
        RequestClaim = "request_claim",
        /// Give the claim back, if there is one: nothing ran.
        ReleaseClaim = "release_claim",
        /// Leave the claim taken, if there is one, so that no copy ever runs.
        KeepClaim = "keep_claim",
        /// Store the outcome under the claim, if there is one.
        CompleteClaim = "complete_claim",
        /// Count the request at the chosen replica.
        TakeSlot = "take_slot",
        /// Stop counting it there.
        FreeSlot = "free_slot",
        /// Choose another replica than those tried.
        ChooseAnother = "choose_another",
        /// Connect to the chosen replica.
        Connect = "connect",
        /// Write the request.
        SendRequest = "send_request",
        /// Pass the answer on.
        PassAnswer = "pass_answer",
        /// Ask the replica for the rest of the answer.
        ResumeAnswer = "resume_answer",
        /// Tell the replica to stop.
        CancelUpstream = "cancel_upstream",
        /// Answer that the request was refused and did not run.
        AnswerNotRun = "answer_not_run",
        /// Answer with the stored outcome, or that the first copy is in progress.
        AnswerDuplicate = "answer_duplicate",
        /// Answer that the request may have run.
        AnswerOutcomeUnknown = "answer_outcome_unknown",
        /// End the answer so that the caller sees that it is not whole.
        AnswerBroken = "answer_broken",
    }
}

/// Reads the chart of a request and checks its promise.
///
/// # Errors
///
/// Besides the faults of [`Chart::load`], returns [`ChartFault::PromiseBroken`] if
/// "not run" could be answered although the request may have run.
pub fn load_request_chart(text: &str) -> Result<RequestChart, ChartError> {
    let chart = RequestChart::load("request", text)?;
    let broken = chart
        .transitions()
        .find(|transition| promises_not_run(transition) && !promise_holds(&chart, transition));
    match broken {
        None => Ok(chart),
        Some(transition) => Err(ChartError {
            chart: chart.name().to_owned(),
            fault: ChartFault::PromiseBroken {
                state: transition.from.name().to_owned(),
                event: transition.event.name().to_owned(),
            },
        }),
    }
}

fn promises_not_run(transition: &RequestTransition<'_>) -> bool {
    let promising = [RequestState::RefusedNotRun, RequestState::Withdrawing];
    let enters = promising.contains(&transition.to) && transition.from != transition.to;
    let gives_claim_back = transition.actions.contains(&RequestAction::ReleaseClaim);
    enters || gives_claim_back || transition.actions.contains(&RequestAction::AnswerNotRun)
}

/// Returns whether no replica can have run the request when this transition is taken.
///
/// Before the first byte was written that is certain, and it is decided before the claim is
/// given back: every way into `withdrawing` does so and is checked itself. Afterwards it takes the
/// replica's own word, and even that only speaks for the last attempt; the transition
/// must stand behind one that is taken if an earlier attempt may have run.
fn promise_holds(chart: &RequestChart, transition: &RequestTransition<'_>) -> bool {
    let may_have_sent = chart.reachable_from(RequestState::Sending);
    if !may_have_sent[transition.from.index()] || transition.from == RequestState::Withdrawing {
        return true;
    }
    let no_byte_of_this_attempt = transition.from == RequestState::Connecting;
    let denied = transition.event == RequestEvent::NotStarted;
    let guarded = chart.transitions().any(|other| {
        other.from == transition.from
            && other.event == transition.event
            && other.position < transition.position
            && other.guard == Some(RequestGuard::EarlierAttemptMayHaveRun)
    });
    guarded && (no_byte_of_this_attempt || denied)
}
