//! The choice of a relay for a request whose upstream is out of this daemon's own reach.

use std::{
    collections::HashMap,
    time::Duration, //
};

use super::{
    link::LinkGroup,
    offers::Relay, //
};
use crate::prelude::*;

/// How long a relay that failed is not asked again, for all upstreams or for those of one group.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);
/// How long a relay that is being stopped is not asked again; about as long as a stop takes.
const STOPPING_PAUSE: Duration = Duration::from_secs(4);
/// How long a relay that has no room is not asked again.
const NO_ROOM_PAUSE: Duration = Duration::from_millis(150);
/// How long a relay without a response in the usual time is chosen only if others have far more
/// requests. It is not left out: the upstream may be slow, also for all others.
const LATE_PAUSE: Duration = Duration::from_millis(700);
/// A relay in another failure domain is chosen as if it had this many requests more.
const FAR_REQUESTS: u32 = 8;
/// A relay without a response in the usual time is chosen as if it had this many requests more.
const LATE_REQUESTS: u32 = 24;

/// Why a relay was of no use for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RelayFailure {
    /// The relay could not be reached, or takes nothing from this daemon.
    Unusable,
    /// The relay has too many requests.
    NoRoom,
    /// The relay is being stopped.
    Stopping,
    /// The relay reaches no upstream of this group either.
    Unreached(LinkGroup),
    /// Nothing has come from an upstream of this group in the usual time.
    Late(LinkGroup),
}

#[derive(Clone, Debug, Default)]
struct RelayState {
    in_flight: u32,
    paused_until: Timestamp,
    unreached_until: HashMap<LinkGroup, Timestamp>,
    late_until: HashMap<LinkGroup, Timestamp>,
}

impl RelayState {
    fn is_usable(&self, group: &LinkGroup, now: Timestamp) -> bool {
        let unreached = self.unreached_until.get(group);
        now >= self.paused_until && unreached.is_none_or(|until| now >= *until)
    }

    /// Returns the relay's requests, and those that count for being late.
    fn cost(&self, group: &LinkGroup, now: Timestamp) -> u32 {
        let late_until = self.late_until.get(group);
        match late_until.is_some_and(|until| now < *until) {
            true => self.in_flight + LATE_REQUESTS,
            false => self.in_flight,
        }
    }
}

/// What one daemon knows of its relays by the requests that it has given them.
#[derive(Clone, Debug, Default)]
pub struct RelayTable {
    states: HashMap<DaemonId, RelayState>,
}

impl RelayTable {
    /// Returns the relay with the fewest requests of this daemon; a near one is preferred.
    ///
    /// `tried` are those that have failed the same request; `random` picks among equal ones.
    pub fn choose<'a>(
        &self,
        relays: &'a [Relay],
        (group, home): (&LinkGroup, &FailureDomain),
        tried: &[DaemonId],
        now: Timestamp,
        random: u64,
    ) -> Option<&'a Relay> {
        let is_usable = |relay: &&Relay| {
            let state = self.states.get(&relay.daemon);
            let is_free = state.is_none_or(|state| state.is_usable(group, now));
            is_free && !relay.has_lost(group) && !tried.contains(&relay.daemon)
        };
        let cost = |relay: &Relay| {
            let state = self.states.get(&relay.daemon);
            let far = match relay.failure_domain == *home {
                true => 0,
                false => FAR_REQUESTS,
            };
            state.map_or(0, |state| state.cost(group, now)) + far
        };
        let usable: Vec<&Relay> = relays.iter().filter(is_usable).collect();
        let least = usable.iter().map(|relay| cost(relay)).min()?;
        let best: Vec<&Relay> = usable
            .into_iter()
            .filter(|relay| cost(relay) == least)
            .collect();
        let picked = random.checked_rem(best.len() as u64)?;
        best.get(usize::try_from(picked).ok()?).copied()
    }

    /// Records that a request is given to a relay.
    pub fn record_start(&mut self, daemon: &DaemonId) {
        self.state(daemon).in_flight += 1;
    }

    /// Records the end of a request; to be called once for each call of `record_start`.
    pub fn record_end(&mut self, daemon: &DaemonId) {
        let state = self.state(daemon);
        state.in_flight = state.in_flight.saturating_sub(1);
    }

    /// Records why a relay was of no use for a request, so that others are preferred for a while.
    pub fn record_failure(&mut self, daemon: &DaemonId, failure: RelayFailure, now: Timestamp) {
        let state = self.state(daemon);
        match failure {
            RelayFailure::Unusable => state.paused_until = now + FAILURE_PAUSE,
            RelayFailure::Stopping => state.paused_until = now + STOPPING_PAUSE,
            RelayFailure::NoRoom => state.paused_until = now + NO_ROOM_PAUSE,
            RelayFailure::Unreached(group) => {
                let until = now + FAILURE_PAUSE;
                state.unreached_until.insert(group, until);
            }
            RelayFailure::Late(group) => {
                state.late_until.insert(group, now + LATE_PAUSE);
            }
        }
    }

    /// Drops what has ended, and relays without requests that are named no more.
    pub fn forget(&mut self, is_named: impl Fn(&DaemonId) -> bool, now: Timestamp) {
        for state in self.states.values_mut() {
            state.unreached_until.retain(|_, until| now < *until);
            state.late_until.retain(|_, until| now < *until);
        }
        self.states
            .retain(|daemon, state| state.in_flight > 0 || is_named(daemon));
    }

    fn state(&mut self, daemon: &DaemonId) -> &mut RelayState {
        self.states.entry(daemon.clone()).or_default()
    }
}
