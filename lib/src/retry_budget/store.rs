//! The leader's grants that an entry daemon holds, and its requests that wait for more.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration,
};

use super::{
    GrantDemand,
    GrantUpdate,
    RoutedRetryReason, //
};
use crate::prelude::*;

/// How long no request waits for a grant after the leader had none left.
const DENIAL_VALIDITY: Duration = Duration::from_millis(200);

/// The grants of one entry daemon.
#[derive(Debug, Default)]
pub struct GrantStore {
    /// Expiry times of the granted retries of each service, in order of arrival.
    granted: BTreeMap<ServiceName, VecDeque<Timestamp>>,
    waiting: BTreeMap<(ServiceName, RoutedRetryReason), u32>,
    /// Until when the leader has none left.
    denied_until: BTreeMap<(ServiceName, RoutedRetryReason), Timestamp>,
    is_leader_out_of_reach: bool,
    daemons: Option<u32>,
}

impl GrantStore {
    /// Takes in an update whose grants are valid until `expires_at`.
    pub fn handle_update(&mut self, update: GrantUpdate, expires_at: Timestamp, now: Timestamp) {
        self.daemons = update.daemons.or(self.daemons);
        self.is_leader_out_of_reach = false;
        for answer in update.answers {
            if answer.denied > 0 {
                let key = (answer.service.clone(), answer.reason);
                self.denied_until.insert(key, now + DENIAL_VALIDITY);
            }
            let granted = self.granted.entry(answer.service).or_default();
            granted.extend((0..answer.granted).map(|_| expires_at));
            granted.retain(|expires_at| now < *expires_at);
        }
    }

    /// Records whether the leader answers.
    pub fn set_leader_in_reach(&mut self, is_in_reach: bool) {
        self.is_leader_out_of_reach = !is_in_reach;
    }

    /// Returns the number of daemons that share the slack; `None` until a leader has told it.
    pub fn daemons(&self) -> Option<u32> {
        self.daemons
    }

    /// Consumes a granted retry; returns until when it was valid, or `None` if there is none.
    pub fn consume(&mut self, service: &ServiceName, now: Timestamp) -> Option<Timestamp> {
        let granted = self.granted.get_mut(service)?;
        granted.retain(|expires_at| now < *expires_at);
        granted.pop_front()
    }

    /// Puts back a granted retry that was not sent.
    pub fn put_back(&mut self, service: &ServiceName, expires_at: Timestamp) {
        let granted = self.granted.entry(service.clone()).or_default();
        granted.push_front(expires_at);
    }

    /// Returns whether a request may hope for a grant.
    pub fn may_wait(
        &self,
        service: &ServiceName,
        reason: RoutedRetryReason,
        now: Timestamp,
    ) -> bool {
        let denied_until = self.denied_until.get(&(service.clone(), reason));
        !self.is_leader_out_of_reach && denied_until.is_none_or(|until| now >= *until)
    }

    /// Counts a request as waiting.
    pub fn begin_wait(&mut self, service: &ServiceName, reason: RoutedRetryReason) {
        *self.waiting.entry((service.clone(), reason)).or_default() += 1;
    }

    /// No longer counts a request as waiting.
    pub fn end_wait(&mut self, service: &ServiceName, reason: RoutedRetryReason) {
        let key = (service.clone(), reason);
        if let Some(waiting) = self.waiting.get_mut(&key) {
            *waiting -= 1;
            if *waiting == 0 {
                self.waiting.remove(&key);
            }
        }
    }

    /// Returns the requests that wait for retries which are not granted yet.
    pub fn demands(&self, now: Timestamp) -> Vec<GrantDemand> {
        let mut unused = self.unused(now);
        let waiting = self.waiting.iter();
        let hoping = waiting.filter(|((service, reason), _)| self.may_wait(service, *reason, now));
        let demands = hoping.filter_map(|((service, reason), waiting)| {
            // Requests that wait take the grants in any order.
            let unused = unused.entry(service).or_default();
            let served = (*waiting).min(*unused);
            *unused -= served;
            (*waiting > served).then(|| GrantDemand {
                service: service.clone(),
                reason: *reason,
                waiting: *waiting - served,
            })
        });
        demands.collect()
    }

    /// Returns the number of valid granted retries of each service.
    fn unused(&self, now: Timestamp) -> BTreeMap<&ServiceName, u32> {
        let granted = self.granted.iter().map(|(service, granted)| {
            let valid = granted.iter().filter(|expires_at| now < **expires_at);
            (service, u32::try_from(valid.count()).unwrap_or(u32::MAX))
        });
        granted.collect()
    }
}
