//! The entry daemon's side of the leader's grants: when to ask whom, and which answers count.

use std::time::Duration;

use super::{
    BudgetSettings,
    GrantDemand,
    GrantRequest,
    GrantUpdate, //
};
use crate::prelude::*;

/// How long a grant is valid, counted from the request that it answers.
pub(super) const VALID_FOR: Duration = Duration::from_millis(500);
/// How long an answer is awaited before another request is sent.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// How long the leader may leave requests unanswered before it counts as out of reach.
const LEADER_SILENCE_LIMIT: Duration = Duration::from_millis(300);
/// Interval between requests while the leader is out of reach or the number of daemons is unknown.
const SEARCH_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between requests while no request waits, which keep the number of daemons up to date.
const REFRESH_INTERVAL: Duration = Duration::from_secs(10);

/// Asks the leader for retries on behalf of one entry daemon.
#[derive(Debug)]
pub struct GrantClient {
    settings: BudgetSettings,
    /// The last known leader and its term.
    leader: Option<(DaemonId, u64)>,
    /// The highest number of an update received in the leader's term.
    last_number: u64,
    last_request_at: Option<Timestamp>,
    /// When the oldest request was sent that no answer has followed yet.
    unanswered_since: Option<Timestamp>,
    knows_daemons: bool,
}

impl GrantClient {
    /// Returns a client that knows no leader yet.
    pub fn new(settings: BudgetSettings) -> Self {
        Self {
            settings,
            leader: None,
            last_number: 0,
            last_request_at: None,
            unanswered_since: None,
            knows_daemons: false,
        }
    }

    /// Returns whether the leader answers, as far as is known; while it doesn't, no caller's request
    /// should wait for it.
    pub fn is_leader_in_reach(&self, now: Timestamp) -> bool {
        let silent = self.unanswered_since.map(|since| now.since(since));
        silent.is_none_or(|silent| silent < LEADER_SILENCE_LIMIT)
    }

    /// Returns whether a request is due; `is_waiting` says whether a caller's request waits.
    pub fn is_request_due(&self, is_waiting: bool, now: Timestamp) -> bool {
        let pause = match (self.is_leader_in_reach(now), is_waiting) {
            (false, _) => SEARCH_INTERVAL,
            (true, true) if self.unanswered_since.is_none() => return true,
            (true, true) => ANSWER_TIMEOUT,
            (true, false) if self.knows_daemons => REFRESH_INTERVAL,
            (true, false) => SEARCH_INTERVAL,
        };
        self.last_request_at.is_none_or(|at| now.since(at) >= pause)
    }

    /// Returns a request and the control daemons to send it to: the leader, or all of `controls` if
    /// the leader is unknown or doesn't answer.
    pub fn request(
        &mut self,
        demands: Vec<GrantDemand>,
        controls: Vec<DaemonId>,
        now: Timestamp,
    ) -> (Vec<DaemonId>, GrantRequest) {
        let to = match &self.leader {
            Some((leader, _)) if self.unanswered_since.is_none() => vec![leader.clone()],
            _ => controls,
        };
        self.last_request_at = Some(now);
        self.unanswered_since.get_or_insert(now);
        let window_ms = self.settings.window.as_millis();
        let request = GrantRequest {
            sent_ms: now.0,
            slack: self.settings.slack,
            window_ms: u64::try_from(window_ms).unwrap_or(u64::MAX),
            demands,
        };
        (to, request)
    }

    /// Takes in a leader's update; returns until when its grants are valid, or `None` if the update
    /// must be dropped.
    ///
    /// Duplicate and overtaken updates and those of an earlier term are dropped: a lost grant costs
    /// one retry, but a grant that counts twice breaks the bound.
    pub fn handle_update(
        &mut self,
        from: &DaemonId,
        update: &GrantUpdate,
        now: Timestamp,
    ) -> Option<Timestamp> {
        let term = self.leader.as_ref().map_or(0, |(_, term)| *term);
        let is_outdated =
            update.term < term || (update.term == term && update.number <= self.last_number);
        // A request of this process can't have been sent later than now: a previous process of this
        // daemon sent it, by another clock.
        if is_outdated || update.echo_ms > now.0 {
            return None;
        }
        self.leader = Some((from.clone(), update.term));
        self.last_number = update.number;
        self.unanswered_since = None;
        self.knows_daemons |= update.daemons.is_some();
        Some(Timestamp(update.echo_ms) + VALID_FOR)
    }
}
