//! The log events of the control daemon's operators, inbox and spread (CB1500 to CB1699).

cicadabend_daemon::events! {
    /// The listener for operators accepts connections.
    1500 Info OperatorsListening { address: std::net::SocketAddr } "listening for operators";
    /// The listener for operators is closed, and the running requests have ended or the drain
    /// timeout has passed.
    1501 Info OperatorsStopped {} "no longer listening for operators";
    /// Operators' requests were still running at the end of the drain timeout and were aborted.
    1502 Warn OperatorsCutOff {} "operators' connections did not end in time";
    /// The runtime cannot use the listener's socket, so operators are not served.
    1503 Error OperatorsUnavailable { reason: String } "cannot listen for operators";
    /// An operator's request was refused; nothing was changed.
    1504 Warn RequestRefused {
        operator: String,
        method: http::Method,
        path: String,
        status: u16,
        reason: String,
    } "operator's request refused";
    /// A plan was computed and stored; nothing changes before the plan is confirmed.
    1505 Info PlanStored {
        plan: cicadabend::prelude::PlanId,
        base_revision: cicadabend::prelude::Revision,
        changes: usize,
        operator: String,
    } "plan stored";
    /// A confirmation was answered, either for the first time or for a client's retry.
    1506 Info ConfirmationAnswered {
        plan: cicadabend::prelude::PlanId,
        key: cicadabend::prelude::IdempotencyKey,
        reply: &'static str,
        revision: cicadabend::prelude::Revision,
        operator: String,
    } "confirmation answered";
    /// The replicated log could not store a command; `reason` names the fault to repair.
    1507 Error LogUnavailable { reason: String } "the log cannot be written";
    /// A table of routes was refused; nothing was changed.
    1508 Warn RoutesRefused { reason: String } "routes refused";
    /// A table of routes that is not newer than the applied one was acknowledged and ignored.
    1509 Info RoutesKept { version: u64, held: u64 } "routes not newer";
    /// A table of routes was proposed to the replicated log; the operator is answered by the
    /// outcome.
    1510 Info RoutesAnswered { version: u64, outcome: String } "routes answered";
    /// A new revision is being sent to the failure domains that this daemon serves.
    1520 Info RevisionSpreading {
        revision: cicadabend::prelude::Revision,
    } "sending a revision";
    /// Every reachable entry daemon has applied the revision.
    1521 Info RevisionInForce {
        revision: cicadabend::prelude::Revision,
        unreachable: usize,
    } "a revision is in force";
}
