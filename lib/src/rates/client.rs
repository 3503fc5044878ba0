//! An entry daemon's part: whom it asks for permits, and which it may use.

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

/// How long after its ask a permit can be used.
///
/// A permit that is used so late counts with those issued then, so the sum in any span is that of
/// a span which is longer by this.
pub(super) const VALID_FOR: Duration = Duration::from_millis(1_500);
/// The pause between two asks while nobody waits.
const ASK_EVERY: Duration = Duration::from_millis(400);
/// The least pause between two asks.
const ASK_LEAST: Duration = Duration::from_millis(20);
/// How long the leader may be silent before others are asked as well.
const LEADER_SILENT: Duration = Duration::from_millis(1_000);
/// How long no leader may be heard before the daemon goes by its own part of the rates; by then
/// every permit of the leader has ended.
const ALONE_AFTER: Duration = Duration::from_millis(2_500);

/// A change of whose permits the daemon uses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PermitSourceChange {
    /// Permits come from this leader.
    Led {
        /// Which.
        leader: DaemonId,
        /// Its term.
        term: u64,
    },
    /// No leader is heard: the daemon takes one part in so many of each rate.
    Alone {
        /// How many entry daemons share.
        entries: u32,
    },
}

/// What the daemon may use from now on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PermitChanges {
    /// Permits, and until when each can be used.
    pub permits: Vec<(InstanceId, Timestamp)>,
    /// Pools that are short, if that has changed.
    pub shares: Option<Vec<PoolShare>>,
    /// Whether it has changed whose permits are used.
    pub change: Option<PermitSourceChange>,
}

/// An entry daemon's part in permits.
#[derive(Debug)]
pub struct PermitClient {
    me: DaemonId,
    leader: Option<(DaemonId, u64)>,
    number: u64,
    /// When the leader was heard last, or when the first rate was named.
    led_at: Option<Timestamp>,
    is_alone: bool,
    asked_at: Option<Timestamp>,
    own_share: OwnShare,
}

impl PermitClient {
    /// Starts with nobody to ask.
    pub fn new(me: DaemonId) -> Self {
        Self {
            me,
            leader: None,
            number: 0,
            led_at: None,
            is_alone: false,
            asked_at: None,
            own_share: OwnShare::default(),
        }
    }

    /// Returns whether it is time to ask; somebody may wait.
    pub fn is_request_due(&self, is_waiting: bool, now: Timestamp) -> bool {
        let pause = match is_waiting {
            true => ASK_LEAST,
            false => ASK_EVERY,
        };
        self.asked_at.is_none_or(|at| now.since(at) >= pause)
    }

    /// Returns an ask and to whom of the control daemons it goes.
    pub fn permit_request(
        &mut self,
        asks: Vec<PoolDemand>,
        controls: Vec<DaemonId>,
        now: Timestamp,
    ) -> (Vec<DaemonId>, PermitAsk) {
        self.asked_at = Some(now);
        let silent_for = self.led_at.map(|at| now.since(at));
        let to = match &self.leader {
            Some((leader, _)) if silent_for.is_some_and(|silent| silent < LEADER_SILENT) => {
                vec![leader.clone()]
            }
            _ => controls,
        };
        let ask = PermitAsk {
            sent_ms: now.0,
            heard: self.number,
            asks,
        };
        (to, ask)
    }

    /// Takes in a leader's answer.
    ///
    /// What comes doubled, in another order or from a leader of an earlier term is dropped: a
    /// permit that is lost costs a request, one that counts twice breaks the bound.
    pub fn handle_permit_update(
        &mut self,
        from: &DaemonId,
        news: PermitUpdate,
        now: Timestamp,
    ) -> PermitChanges {
        let term = self.leader.as_ref().map_or(0, |(_, term)| *term);
        let is_new_term = news.term > term;
        if news.term < term || (!is_new_term && news.number <= self.number) {
            return PermitChanges::default();
        }
        self.number = news.number;
        self.led_at = Some(now);
        let is_change = is_new_term || std::mem::take(&mut self.is_alone);
        self.leader = Some((from.clone(), news.term));
        self.own_share.clear();
        let until = Timestamp(news.echo_ms) + VALID_FOR;
        // An ask of this process cannot have been sent later than now.
        let is_own = news.echo_ms <= now.0;
        let permits = news.permits.into_iter().filter(|_| is_own && now < until);
        let each = permits.flat_map(|(id, count)| (0..count).map(move |_| (id.clone(), until)));
        PermitChanges {
            permits: each.collect(),
            shares: news.shares,
            change: is_change.then(|| PermitSourceChange::Led {
                leader: from.clone(),
                term: news.term,
            }),
        }
    }

    /// Returns the daemon's own permits that are due if no leader is heard.
    pub fn tick(&mut self, rates: &RateTable, entries: u32, now: Timestamp) -> PermitChanges {
        if rates.is_empty() {
            // Whoever is not asked does not answer.
            let was_asked = self.led_at.take().is_some();
            self.own_share.clear();
            return PermitChanges {
                shares: was_asked.then(Vec::new),
                ..PermitChanges::default()
            };
        }
        let led_at = *self.led_at.get_or_insert(now);
        if now.since(led_at) < ALONE_AFTER {
            return PermitChanges::default();
        }
        let is_change = !std::mem::replace(&mut self.is_alone, true);
        PermitChanges {
            permits: self.own_share.due(&self.me, rates, entries, now),
            shares: is_change.then(Vec::new),
            change: is_change.then_some(PermitSourceChange::Alone { entries }),
        }
    }
}
