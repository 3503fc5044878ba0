//! The entry daemon's side of permits: requests them and takes in those that it may use.

use std::time::Duration;

use super::{
    PermitAsk,
    PermitUpdate,
    PoolDemand,
    PoolShare,
    RateTable,
    own_share::OwnShare, //
};
use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// How long a permit is valid, counted from the request that it answers.
///
/// Requests sent within any time span thus use only permits that were issued within this span or
/// up to this long before.
pub(super) const VALID_FOR: Duration = Duration::from_millis(1_500);
/// Interval between permit requests while no request is waiting for a permit.
const PERMIT_REQUEST_INTERVAL_IDLE: Duration = Duration::from_millis(400);
/// Interval between permit requests while a request is waiting for a permit.
const PERMIT_REQUEST_INTERVAL_WAITING: Duration = Duration::from_millis(20);
/// How long the leader may be silent before permits are requested from all control daemons.
const LEADER_SILENCE_LIMIT: Duration = Duration::from_millis(1_000);
/// How long no leader may answer before the daemon issues permits to itself, by its own part of the
/// rates. By then, every permit of the leader has expired.
const OWN_SHARE_DELAY: Duration = Duration::from_millis(2_500);

/// A change of the source of the permits that the daemon uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PermitSourceChange {
    /// A leader issues the permits.
    Led {
        /// The leader that answered.
        leader: DaemonId,
        /// The leader's term.
        term: u64,
    },
    /// No leader answers: the daemon issues permits to itself, by an equal part of each rate.
    Alone {
        /// Number of entry daemons among which each rate is divided.
        entries: u32,
    },
}

/// Changes to the permits that the daemon may use.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitChanges {
    /// New permits, one entry each, with the time at which the permit expires.
    pub permits: Vec<(InstanceId, Timestamp)>,
    /// The shares of the pools that are short; `None` leaves those known before in force.
    pub shares: Option<Vec<PoolShare>>,
    /// The new source of permits, if the source has changed.
    pub change: Option<PermitSourceChange>,
}

/// Requests permits for one entry daemon, and replaces the leader while none answers.
#[derive(Debug)]
pub struct PermitClient {
    me: DaemonId,
    /// The last known leader and its term.
    leader: Option<(DaemonId, u64)>,
    /// The highest number of an update received in the leader's term.
    last_number: u64,
    /// When the last update arrived or, before that, when the first rate was named; `None` while no
    /// upstream names a rate.
    last_contact: Option<Timestamp>,
    /// Whether the daemon issues permits to itself.
    uses_own_share: bool,
    last_permit_request_at: Option<Timestamp>,
    own_share: OwnShare,
}

impl PermitClient {
    /// Returns a client that knows no leader yet.
    pub fn new(me: DaemonId) -> Self {
        Self {
            me,
            leader: None,
            last_number: 0,
            last_contact: None,
            uses_own_share: false,
            last_permit_request_at: None,
            own_share: OwnShare::default(),
        }
    }

    /// Returns whether a permit request is due; `is_waiting` says whether a request is waiting for
    /// a permit.
    pub fn is_request_due(&self, is_waiting: bool, now: Timestamp) -> bool {
        let pause = match is_waiting {
            true => PERMIT_REQUEST_INTERVAL_WAITING,
            false => PERMIT_REQUEST_INTERVAL_IDLE,
        };
        self.last_permit_request_at
            .is_none_or(|at| now.since(at) >= pause)
    }

    /// Returns a permit request and the control daemons to send it to: the leader, or all of
    /// `controls` if the leader is unknown or silent.
    pub fn permit_request(
        &mut self,
        asks: Vec<PoolDemand>,
        controls: Vec<DaemonId>,
        now: Timestamp,
    ) -> (Vec<DaemonId>, PermitAsk) {
        self.last_permit_request_at = Some(now);
        let silent_for = self.last_contact.map(|at| now.since(at));
        let to = match &self.leader {
            Some((leader, _)) if silent_for.is_some_and(|silent| silent < LEADER_SILENCE_LIMIT) => {
                vec![leader.clone()]
            }
            _ => controls,
        };
        let request = PermitAsk {
            sent_ms: now.0,
            heard: self.last_number,
            asks,
        };
        (to, request)
    }

    /// Takes in a leader's update.
    ///
    /// Duplicate and overtaken updates and those of an earlier term are dropped: a lost permit
    /// costs one request, but a permit that counts twice breaks the bound on the total rate.
    pub fn handle_permit_update(
        &mut self,
        from: &DaemonId,
        update: PermitUpdate,
        now: Timestamp,
    ) -> PermitChanges {
        let term = self.leader.as_ref().map_or(0, |(_, term)| *term);
        let is_new_term = update.term > term;
        if update.term < term || (!is_new_term && update.number <= self.last_number) {
            return PermitChanges::default();
        }
        self.last_number = update.number;
        self.last_contact = Some(now);
        let is_change = is_new_term || std::mem::take(&mut self.uses_own_share);
        self.leader = Some((from.clone(), update.term));
        self.own_share.clear();
        let expires_at = Timestamp(update.echo_ms) + VALID_FOR;
        // A request of this process cannot have been sent later than now; a later time means that a
        // previous process of this daemon sent it, by another clock.
        let is_own = update.echo_ms <= now.0;
        let permits = update
            .permits
            .into_iter()
            .filter(|_| is_own && now < expires_at);
        let each =
            permits.flat_map(|(id, count)| (0..count).map(move |_| (id.clone(), expires_at)));
        PermitChanges {
            permits: each.collect(),
            shares: update.shares,
            change: is_change.then(|| PermitSourceChange::Led {
                leader: from.clone(),
                term: update.term,
            }),
        }
    }

    /// Returns the permits that the daemon issues to itself if no leader answers; `entries` is the
    /// number of entry daemons that share the rates.
    pub fn tick(&mut self, rates: &RateTable, entries: u32, now: Timestamp) -> PermitChanges {
        if rates.is_empty() {
            // Without rates no permits are requested, so the leader's silence means nothing.
            let were_rates_named = self.last_contact.take().is_some();
            self.own_share.clear();
            return PermitChanges {
                shares: were_rates_named.then(Vec::new),
                ..PermitChanges::default()
            };
        }
        let last_contact = *self.last_contact.get_or_insert(now);
        if now.since(last_contact) < OWN_SHARE_DELAY {
            return PermitChanges::default();
        }
        let is_change = !std::mem::replace(&mut self.uses_own_share, true);
        PermitChanges {
            permits: self
                .own_share
                .take_due_permits(&self.me, rates, entries, now),
            shares: is_change.then(Vec::new),
            change: is_change.then_some(PermitSourceChange::Alone { entries }),
        }
    }
}
