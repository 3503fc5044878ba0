//! The state chart of one caller's request in an entry daemon.

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
    /// The state of a request.
    RequestState {
        /// The request line and the headers have been read.
        Received = "received",
        /// The request waits in the admission queue.
        Queued = "queued",
        /// The daemon requests the claim that lets the request run at most once.
        Claiming = "claiming",
        /// The daemon connects to the chosen replica and has not written any byte.
        Connecting = "connecting",
        /// The daemon writes the request; some bytes may have reached the replica.
        Sending = "sending",
        /// The whole request was sent, and no byte of the answer has arrived.
        AwaitingFirstByte = "awaiting_first_byte",
        /// The daemon forwards the answer to the caller.
        Streaming = "streaming",
        /// The answer broke off, and the daemon requests the rest.
        Resuming = "resuming",
        /// The request did not run, and the daemon releases its claim.
        Withdrawing = "withdrawing",
        /// The whole answer was delivered.
        Done = "done",
        /// The request was refused, and no replica ran it.
        RefusedNotRun = "refused_not_run",
        /// Another attempt with the same idempotency key holds the claim or has ended; this one was
        /// not sent.
        Duplicate = "duplicate",
        /// The request may have run; the outcome is not known.
        OutcomeUnknown = "outcome_unknown",
        /// The first part of the answer was delivered, and the rest is lost.
        Broken = "broken",
        /// The caller closed its connection.
        Cancelled = "cancelled",
    }
}

chart_names! {
    /// An event of a request.
    RequestEvent {
        /// Admission put the request into its queue.
        Enqueued = "enqueued",
        /// Admission lets the request run, and a replica is chosen.
        Admitted = "admitted",
        /// Admission refuses the request, at once or from the queue.
        Refused = "refused",
        /// A majority of control daemons holds the claim for this attempt.
        ClaimGranted = "claim_granted",
        /// Another attempt holds the claim or has ended.
        ClaimHeldByOther = "claim_held_by_other",
        /// No majority of control daemons answers.
        ClaimUnavailable = "claim_unavailable",
        /// A majority of control daemons has recorded the claim's release.
        ClaimWithdrawn = "claim_withdrawn",
        /// No majority of control daemons recorded the claim's release in time.
        ClaimNotWithdrawn = "claim_not_withdrawn",
        /// The connection to the replica is established.
        Connected = "connected",
        /// The connection could not be made; no byte was written.
        ConnectFailed = "connect_failed",
        /// The last byte of the request was written.
        RequestSent = "request_sent",
        /// The replica reports that it did not start the request.
        NotStarted = "not_started",
        /// The replica failed before the first byte of its answer.
        UpstreamFailed = "upstream_failed",
        /// The first byte of the answer arrived.
        FirstByte = "first_byte",
        /// The last byte of the answer was delivered.
        AnswerEnded = "answer_ended",
        /// The answer broke off.
        AnswerBroke = "answer_broke",
        /// The replica continues the answer from the requested position.
        Resumed = "resumed",
        /// The replica cannot continue the answer.
        ResumeFailed = "resume_failed",
        /// The first byte did not arrive before the caller's deadline.
        DeadlinePassed = "deadline_passed",
        /// The caller closed its connection.
        CallerGone = "caller_gone",
    }
}

chart_names! {
    /// A condition for a transition of a request.
    RequestGuard {
        /// The request must run at most once.
        NeedsClaim = "needs_claim",
        /// Bytes of an earlier attempt may have reached a replica that did not report that the
        /// request did not start.
        EarlierAttemptMayHaveRun = "earlier_attempt_may_have_run",
        /// Time and the retry budget allow an attempt at another replica.
        MayTryAnother = "may_try_another",
        /// The request is idempotent, no byte of an answer was delivered, and time and the retry
        /// budget allow an attempt at another replica.
        MayRepeat = "may_repeat",
        /// The replica can resume streams, and the time for resuming has not passed.
        MayResume = "may_resume",
    }
}

chart_names! {
    /// An action of the entry daemon on a request.
    RequestAction {
        /// Requests the claim from the control daemons.
        RequestClaim = "request_claim",
        /// Releases the claim, if there is one, since no replica ran the request.
        ReleaseClaim = "release_claim",
        /// Leaves the claim held, if there is one, so that no client retry ever runs.
        KeepClaim = "keep_claim",
        /// Stores the outcome under the claim, if there is one.
        CompleteClaim = "complete_claim",
        /// Counts the request as running at the chosen replica.
        TakeSlot = "take_slot",
        /// Counts the request as no longer running at the chosen replica.
        FreeSlot = "free_slot",
        /// Chooses a replica that has not been tried for this request.
        ChooseAnother = "choose_another",
        /// Connects to the chosen replica.
        Connect = "connect",
        /// Writes the request to the replica.
        SendRequest = "send_request",
        /// Forwards the answer to the caller.
        PassAnswer = "pass_answer",
        /// Requests the rest of the answer from the replica.
        ResumeAnswer = "resume_answer",
        /// Commands the replica to stop the request.
        CancelUpstream = "cancel_upstream",
        /// Answers that the request was refused and did not run.
        AnswerNotRun = "answer_not_run",
        /// Answers with the stored outcome, or that the first attempt is still running, that its
        /// outcome is unknown, or that the key was used for another request.
        AnswerDuplicate = "answer_duplicate",
        /// Answers that the request may have run.
        AnswerOutcomeUnknown = "answer_outcome_unknown",
        /// Ends the answer in a way that shows the caller that the answer is incomplete.
        AnswerBroken = "answer_broken",
    }
}

/// Loads the chart of a request and checks that "not run" is answered only when it is certain.
///
/// # Errors
///
/// Besides the faults of [`Chart::load`], returns [`ChartFault::PromiseBroken`] if
/// "not run" could be answered although the request may have run.
pub fn load_request_chart(text: &str) -> Result<RequestChart, ChartError> {
    let chart = RequestChart::load("request", text)?;
    let violation = chart.transitions().find(|transition| {
        promises_not_run(transition) && !is_certainly_not_run(&chart, transition)
    });
    match violation {
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

/// Returns whether the transition tells the caller or the control daemons that the request did
/// not run.
fn promises_not_run(transition: &RequestTransition<'_>) -> bool {
    let not_run_states = [RequestState::RefusedNotRun, RequestState::Withdrawing];
    let enters = not_run_states.contains(&transition.to) && transition.from != transition.to;
    let releases_claim = transition.actions.contains(&RequestAction::ReleaseClaim);
    enters || releases_claim || transition.actions.contains(&RequestAction::AnswerNotRun)
}

/// Returns whether no replica can have run the request when this transition is taken.
///
/// Until the first byte of any attempt is written, no replica can have run the request. Later,
/// two conditions are necessary. First, the last attempt has written no byte, or its replica
/// reported that it did not start the request. Second, an earlier transition of the same state
/// and event is guarded by `earlier_attempt_may_have_run`, so this one is taken only if the
/// attempts before did not run either.
///
/// Transitions out of `withdrawing` need no check: every transition into `withdrawing` is checked
/// itself.
fn is_certainly_not_run(chart: &RequestChart, transition: &RequestTransition<'_>) -> bool {
    let may_have_sent = chart.reachable_from(RequestState::Sending);
    if !may_have_sent[transition.from.index()] || transition.from == RequestState::Withdrawing {
        return true;
    }
    let no_byte_of_this_attempt = transition.from == RequestState::Connecting;
    let replica_did_not_start = transition.event == RequestEvent::NotStarted;
    let guarded = chart.transitions().any(|other| {
        other.from == transition.from
            && other.event == transition.event
            && other.position < transition.position
            && other.guard == Some(RequestGuard::EarlierAttemptMayHaveRun)
    });
    guarded && (no_byte_of_this_attempt || replica_did_not_start)
}
