//! The leader's side of the slack: grants retries to entry daemons that need them.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    GrantAnswer,
    GrantDemand,
    GrantRequest,
    GrantUpdate,
    RoutedRetryReason,
    client::VALID_FOR,
    settings::{
        ARRIVAL_DELAY,
        granted_slack, //
    }, //
};
use crate::prelude::*;

/// Time after which a deposed leader has noticed that it no longer leads.
const DEPOSED_LEADER_DELAY: Duration = Duration::from_millis(2_000);
/// Time after which a new leader has received messages from every entry daemon that reaches it.
const COUNT_DELAY: Duration = Duration::from_millis(2_000);
/// Shortest interval between two reports that a service's slack is used up.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of daemons that such a report names.
const MAX_REPORTED_DAEMONS: usize = 5;

/// Retries that one request was granted.
#[derive(Clone, Debug)]
struct Grant {
    at: Timestamp,
    to: DaemonId,
    retries: u32,
    is_late: bool,
}

/// A service's slack that is used up.
#[derive(Clone, Debug, PartialEq)]
pub struct GrantsUsedUp {
    /// The service.
    pub service: ServiceName,
    /// Retries granted in the last window.
    pub granted: u32,
    /// Retries that may be granted in a window; zero while a new leader waits.
    pub limit: u32,
    /// The daemons that were granted most, with the number of retries.
    pub most_granted: Vec<(DaemonId, u32)>,
}

/// Grants retries for one term of the leader.
#[derive(Debug)]
pub struct GrantIssuer {
    term: u64,
    started_at: Timestamp,
    has_predecessor: bool,
    number: u64,
    grants: BTreeMap<ServiceName, VecDeque<Grant>>,
    reports: Vec<GrantsUsedUp>,
    reported_at: BTreeMap<ServiceName, Timestamp>,
}

impl GrantIssuer {
    /// Returns an issuer for a term that begins `now`.
    ///
    /// `has_predecessor` says whether an earlier leader may have granted retries. What it granted
    /// is unknown, so this one grants none until they all have left the window.
    pub fn new(term: u64, has_predecessor: bool, now: Timestamp) -> Self {
        Self {
            term,
            started_at: now,
            has_predecessor,
            number: 0,
            grants: BTreeMap::new(),
            reports: Vec::new(),
            reported_at: BTreeMap::new(),
        }
    }

    /// Answers an entry daemon's request; `known_entries` is the number of entry daemons, including
    /// those that became silent recently.
    pub fn handle_request(
        &mut self,
        from: &DaemonId,
        request: &GrantRequest,
        known_entries: usize,
        now: Timestamp,
    ) -> GrantUpdate {
        self.number += 1;
        let knows_entries = now.since(self.started_at) >= COUNT_DELAY;
        let answers = request.demands.iter().map(|demand| {
            let granted = self.grant(from, request, demand, now);
            GrantAnswer {
                service: demand.service.clone(),
                reason: demand.reason,
                granted,
                denied: demand.waiting - granted,
            }
        });
        let answers = answers.collect();
        GrantUpdate {
            term: self.term,
            number: self.number,
            echo_ms: request.sent_ms,
            daemons: knows_entries.then(|| u32::try_from(known_entries).unwrap_or(u32::MAX)),
            answers,
        }
    }

    /// Returns the services whose slack was used up since the last call.
    pub fn take_reports(&mut self) -> Vec<GrantsUsedUp> {
        std::mem::take(&mut self.reports)
    }

    /// Grants as many retries as are left for the reason; returns their number.
    fn grant(
        &mut self,
        to: &DaemonId,
        request: &GrantRequest,
        demand: &GrantDemand,
        now: Timestamp,
    ) -> u32 {
        let span = Duration::from_millis(request.window_ms) + VALID_FOR + ARRIVAL_DELAY;
        let limit = self.limit(request.slack, span, now);
        let grants = self.grants.entry(demand.service.clone()).or_default();
        while grants
            .front()
            .is_some_and(|grant| now.since(grant.at) > span)
        {
            grants.pop_front();
        }
        let retries = demand.waiting.min(left(grants, limit, demand.reason));
        if retries > 0 {
            grants.push_back(Grant {
                at: now,
                to: to.clone(),
                retries,
                is_late: demand.reason == RoutedRetryReason::Late,
            });
        }
        if retries < demand.waiting {
            self.report(&demand.service, limit, now);
        }
        retries
    }

    /// Returns how many retries may be granted in the span that ends now.
    fn limit(&self, slack: u32, span: Duration, now: Timestamp) -> u32 {
        let is_waiting = now.since(self.started_at) < span + DEPOSED_LEADER_DELAY;
        match self.has_predecessor && is_waiting {
            true => 0,
            false => granted_slack(slack),
        }
    }

    fn report(&mut self, service: &ServiceName, limit: u32, now: Timestamp) {
        let last = self.reported_at.get(service);
        if last.is_some_and(|last| now.since(*last) < REPORT_INTERVAL) {
            return;
        }
        self.reported_at.insert(service.clone(), now);
        let mut by_daemon: BTreeMap<DaemonId, u32> = BTreeMap::new();
        for grant in self.grants.get(service).into_iter().flatten() {
            *by_daemon.entry(grant.to.clone()).or_default() += grant.retries;
        }
        let granted = by_daemon.values().sum();
        let mut most_granted: Vec<(DaemonId, u32)> = by_daemon.into_iter().collect();
        most_granted.sort_by_key(|(_, retries)| std::cmp::Reverse(*retries));
        most_granted.truncate(MAX_REPORTED_DAEMONS);
        self.reports.push(GrantsUsedUp {
            service: service.clone(),
            granted,
            limit,
            most_granted,
        });
    }
}

/// Returns how many retries for a reason are left of a limit.
fn left(grants: &VecDeque<Grant>, limit: u32, reason: RoutedRetryReason) -> u32 {
    let all: u32 = grants.iter().map(|grant| grant.retries).sum();
    let late = grants.iter().filter(|grant| grant.is_late);
    let late: u32 = late.map(|grant| grant.retries).sum();
    let limit = f64::from(limit);
    let left_of_all = ((limit * reason.max_share()) as u32).saturating_sub(all);
    match reason {
        RoutedRetryReason::Late => {
            let late_limit = (limit * reason.max_own_share()) as u32;
            left_of_all.min(late_limit.saturating_sub(late))
        }
        RoutedRetryReason::NotRun | RoutedRetryReason::Broken => left_of_all,
    }
}
