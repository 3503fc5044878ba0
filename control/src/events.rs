//! The log events of the control daemon's operators, inbox and spread (CB1500 to CB1699).

cicadabend_daemon::events! {
    /// Operators can connect.
    1500 Info OperatorsListening { address: std::net::SocketAddr } "listening for operators";
    /// The listener for operators is closed; running requests were given time to end.
    1501 Info OperatorsStopped {} "no longer listening for operators";
    /// Operators' requests were still running at the end of that time; they are cut off.
    1502 Warn OperatorsCutOff {} "operators' connections did not end in time";
    /// The listener for operators cannot be used.
    1503 Error OperatorsUnavailable { reason: String } "cannot listen for operators";
    /// An operator's request was refused; nothing was changed.
    1504 Warn RequestRefused {
        operator: String,
        method: http::Method,
        path: String,
        status: u16,
        reason: String,
    } "operator's request refused";
    /// A plan was computed and kept; nothing happens before it is confirmed.
    1505 Info PlanStored {
        plan: cicadabend::prelude::PlanId,
        base_revision: cicadabend::prelude::Revision,
        changes: usize,
        operator: String,
    } "plan stored";
    /// A confirmation was answered, for the first time or as a resend.
    1506 Info ConfirmationAnswered {
        plan: cicadabend::prelude::PlanId,
        key: cicadabend::prelude::IdempotencyKey,
        reply: &'static str,
        revision: cicadabend::prelude::Revision,
        operator: String,
    } "confirmation answered";
    /// The log could not take a command; the reason says what to repair.
    1507 Error LogUnavailable { reason: String } "the log cannot be written";
    /// A table of routes was refused; nothing was changed.
    1508 Warn RoutesRefused { reason: String } "routes refused";
    /// A table of routes that is not newer than the one in force was acknowledged.
    1509 Info RoutesKept { version: u64, held: u64 } "routes not newer";
    /// A table of routes was given to the log; the outcome is what the operator is told.
    1510 Info RoutesAnswered { version: u64, outcome: String } "routes answered";
    /// A new revision is being sent to the failure domains that this daemon serves.
    1520 Info RevisionSpreading {
        revision: cicadabend::prelude::Revision,
    } "spreading a revision";
    /// Every reachable entry daemon has applied the revision.
    1521 Info RevisionInForce {
        revision: cicadabend::prelude::Revision,
        unreachable: usize,
    } "a revision is in force";
}
