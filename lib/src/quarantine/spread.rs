//! How daemons tell each other of crashes.

use std::collections::VecDeque;

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Change, Fingerprint, SuspectTable,
    ledger::{
        Ledger,
        REMEMBERED, //
    },
};
use crate::{
    moment::Moment,
    prelude::*,
    telling::Telling, //
};

/// How many of its own observations a daemon keeps for control daemons that come back.
const MOST_OWN: usize = 512;

/// What a daemon has seen of one request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Observation {
    /// An upstream ended with it, and so many did one after the other, this one included.
    Crashed(u32),
    /// It ran to a good end although it was under crashes.
    Cleared,
}

/// Observations on their way between daemons, each with its age in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashUpdate {
    /// What was seen of which request, and how long ago.
    pub observations: Vec<(Fingerprint, Observation, u32)>,
}

impl CrashUpdate {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }
}

type Observed = (Fingerprint, Observation, Moment);

/// A daemon's ledger of crashes, and what of it is to be told to others.
#[derive(Clone, Debug)]
pub struct CrashSpread {
    ledger: Ledger,
    telling: Telling<Observed>,
    own: VecDeque<Observed>,
    /// Whether the ledger differs from the table that was taken last.
    is_changed: bool,
}

impl CrashSpread {
    /// Starts with nothing.
    pub fn new(daemon: &DaemonId) -> Self {
        Self {
            ledger: Ledger::new(daemon),
            telling: Telling::default(),
            own: VecDeque::new(),
            is_changed: false,
        }
    }

    /// Notes what this daemon has seen itself; returns what it changes.
    pub fn observe(
        &mut self,
        fingerprint: Fingerprint,
        observation: Observation,
        now: Timestamp,
    ) -> Option<Change> {
        let observed = (fingerprint, observation, Moment::from(now));
        self.own.push_back(observed);
        if self.own.len() > MOST_OWN {
            self.own.pop_front();
        }
        if !self.learn(observed) {
            return None;
        }
        self.telling.tell(observed, now);
        self.change(observed)
    }

    /// Takes in what another daemon tells, and tells on what is new; returns what it changes.
    pub fn handle_and_relay_crash_update(
        &mut self,
        news: &CrashUpdate,
        now: Timestamp,
    ) -> Vec<Change> {
        let fresh = self.learn_all(news, now);
        for observed in &fresh {
            self.telling.tell(*observed, now);
        }
        self.changes(&fresh)
    }

    /// Takes in what another daemon tells; returns what it changes.
    pub fn handle_crash_update(&mut self, news: &CrashUpdate, now: Timestamp) -> Vec<Change> {
        let fresh = self.learn_all(news, now);
        self.changes(&fresh)
    }

    /// Returns what is to be told now.
    pub fn take_due_update(&mut self, now: Timestamp) -> CrashUpdate {
        news(self.telling.due(now), now)
    }

    /// Returns what this daemon has seen itself, for one that may have missed it.
    pub fn own_update(&self, now: Timestamp) -> CrashUpdate {
        news(self.own.iter().copied(), now)
    }

    /// Returns all that is known, for one that knows nothing.
    pub fn all(&self, now: Timestamp) -> CrashUpdate {
        let crashed = self.ledger.suspects();
        let crashed = crashed
            .map(|(fingerprint, crashes, at)| (fingerprint, Observation::Crashed(crashes), at));
        let cleared = self.ledger.cleared();
        let cleared = cleared.map(|(fingerprint, at)| (fingerprint, Observation::Cleared, at));
        news(crashed.chain(cleared), now)
    }

    /// Drops what is too old to matter.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.is_changed |= self.ledger.forget_old(now);
        // Whoever comes back later than that is told by control daemons.
        let now = Moment::from(now);
        self.own.retain(|(_, _, at)| now.since(*at) < REMEMBERED);
    }

    /// Returns what requests are judged by, if it may have changed since the last time.
    pub fn changed_table(&mut self) -> Option<SuspectTable> {
        std::mem::take(&mut self.is_changed).then(|| self.ledger.table())
    }

    /// Returns what of the news was not known.
    fn learn_all(&mut self, news: &CrashUpdate, now: Timestamp) -> Vec<Observed> {
        let observations = news.observations.iter();
        let observed = observations.map(|(fingerprint, observation, age_ms)| {
            (*fingerprint, *observation, Moment::before(now, *age_ms))
        });
        observed.filter(|observed| self.learn(*observed)).collect()
    }

    /// Returns whether it was not known.
    fn learn(&mut self, (fingerprint, observation, at): Observed) -> bool {
        let is_news = match observation {
            Observation::Crashed(crashes) => self.ledger.note(fingerprint, crashes, at),
            Observation::Cleared => self.ledger.clear(fingerprint, at),
        };
        self.is_changed |= is_news;
        is_news
    }

    fn changes(&self, fresh: &[Observed]) -> Vec<Change> {
        fresh
            .iter()
            .filter_map(|observed| self.change(*observed))
            .collect()
    }

    fn change(&self, (fingerprint, observation, _): Observed) -> Option<Change> {
        match observation {
            Observation::Crashed(_) => self.ledger.change(fingerprint),
            Observation::Cleared => Some(Change::Cleared { fingerprint }),
        }
    }
}

fn news(observed: impl IntoIterator<Item = Observed>, now: Timestamp) -> CrashUpdate {
    let observations = observed
        .into_iter()
        .map(|(fingerprint, observation, at)| (fingerprint, observation, at.age_ms(now)));
    CrashUpdate {
        observations: observations.collect(),
    }
}
