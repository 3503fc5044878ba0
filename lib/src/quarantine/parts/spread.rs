//! Propagation of crashes and answers between daemons.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    time::Duration, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    CrashId, ModelPart, PartId, PartTable,
    ledger::{
        PartLedger,
        hold, //
    },
};
use crate::{
    prelude::*,
    rebroadcast_queue::RebroadcastQueue,
    signed_timestamp::SignedTimestamp, //
};

/// Maximum number of its own observations that a daemon retains for control daemons that reconnect.
const MAX_OWN: usize = 128;

/// A crash as one daemon saw it: the parts of its requests that the upstream had.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashId,
    /// When the daemon's connections broke.
    pub at: Timestamp,
    /// The parts, with the times at which the last requests with them had been sent.
    pub sent: Vec<(ModelPart, Timestamp)>,
}

/// What a daemon observed about parts, with ages in milliseconds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PartObservation {
    /// An upstream crashed.
    Crashed {
        /// The crash.
        crash: CrashId,
        /// The age of the crash.
        age_ms: u32,
        /// The parts of the daemon's requests that the upstream had, and the ages of the last
        /// requests with them.
        parts: Vec<(ModelPart, u32)>,
    },
    /// An upstream answered a request with the part.
    Answered {
        /// The part.
        part: ModelPart,
        /// The age of the request.
        age_ms: u32,
    },
}

/// A message between daemons with observations about parts.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct PartUpdate {
    /// The observations.
    pub observations: Vec<PartObservation>,
}

impl PartUpdate {
    /// Returns whether the update holds no observations.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }
}

/// A change of one part's status.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PartChange {
    /// Requests with the parts are refused from now on, or for longer.
    Quarantined {
        /// The part; several if the evidence does not separate them yet. Only requests with all of
        /// them are refused.
        parts: Vec<PartId>,
        /// Number of crashes that are attributed to them.
        crashes: u32,
        /// Time since the first of them.
        since: Duration,
        /// Length of the quarantine after the last of them.
        hold: Duration,
    },
    /// Requests with the parts are no longer refused for these: one was answered, or the crashes are
    /// attributed to other parts or to fewer of them.
    Released {
        /// The parts.
        parts: Vec<PartId>,
    },
}

/// An observation with times in place of ages.
#[derive(Clone, Debug)]
enum Observed {
    Crashed {
        crash: CrashId,
        at: SignedTimestamp,
        sent: Vec<(ModelPart, SignedTimestamp)>,
    },
    Answered {
        part: ModelPart,
        sent_at: SignedTimestamp,
    },
}

impl Observed {
    fn from_message(observation: &PartObservation, now: Timestamp) -> Self {
        let time = |age_ms: u32| SignedTimestamp::from_age(now, age_ms);
        match observation {
            PartObservation::Crashed {
                crash,
                age_ms,
                parts,
            } => Observed::Crashed {
                crash: *crash,
                at: time(*age_ms),
                sent: parts
                    .iter()
                    .map(|(part, age_ms)| (*part, time(*age_ms)))
                    .collect(),
            },
            PartObservation::Answered { part, age_ms } => Observed::Answered {
                part: *part,
                sent_at: time(*age_ms),
            },
        }
    }

    fn to_message(&self, now: Timestamp) -> PartObservation {
        match self {
            Observed::Crashed { crash, at, sent } => PartObservation::Crashed {
                crash: *crash,
                age_ms: at.age_ms(now),
                parts: sent
                    .iter()
                    .map(|(part, sent_at)| (*part, sent_at.age_ms(now)))
                    .collect(),
            },
            Observed::Answered { part, sent_at } => PartObservation::Answered {
                part: *part,
                age_ms: sent_at.age_ms(now),
            },
        }
    }
}

/// A daemon's record of crashes and answers, and the queue of those to be sent to other daemons.
#[derive(Clone, Debug)]
pub struct PartSpread {
    ledger: PartLedger,
    rebroadcast_queue: RebroadcastQueue<Observed>,
    /// The latest observations of this daemon itself.
    own: VecDeque<Observed>,
    /// Whether the ledger has changed since the table was last returned.
    is_changed: bool,
}

impl PartSpread {
    /// Returns an instance without observations.
    pub fn new(daemon: &DaemonId) -> Self {
        Self {
            ledger: PartLedger::new(daemon),
            rebroadcast_queue: RebroadcastQueue::default(),
            own: VecDeque::new(),
            is_changed: false,
        }
    }

    /// Records and announces a crash that this daemon saw; returns the changes that result.
    pub fn observe_crash(&mut self, report: &CrashReport, now: Timestamp) -> Vec<PartChange> {
        let sent = report.sent.iter();
        let observed = Observed::Crashed {
            crash: report.crash,
            at: report.at.into(),
            sent: sent.map(|(part, at)| (*part, (*at).into())).collect(),
        };
        self.observe(observed, now)
    }

    /// Records and announces that a request with the part, which this daemon had sent at `sent_at`,
    /// was answered; returns the changes that result.
    pub fn observe_answer(
        &mut self,
        part: ModelPart,
        sent_at: Timestamp,
        now: Timestamp,
    ) -> Vec<PartChange> {
        let sent_at = sent_at.into();
        self.observe(Observed::Answered { part, sent_at }, now)
    }

    /// Takes in an update from another daemon and relays new observations; returns the changes.
    pub fn handle_and_relay_update(
        &mut self,
        update: &PartUpdate,
        now: Timestamp,
    ) -> Vec<PartChange> {
        self.handle(update, true, now)
    }

    /// Takes in an update from another daemon; returns the changes.
    pub fn handle_update(&mut self, update: &PartUpdate, now: Timestamp) -> Vec<PartChange> {
        self.handle(update, false, now)
    }

    /// Returns the announcements that are due.
    pub fn take_due_update(&mut self, now: Timestamp) -> PartUpdate {
        part_update(&self.rebroadcast_queue.take_due(now), now)
    }

    /// Returns this daemon's own observations, for a daemon that may have missed them.
    pub fn own_update(&self, now: Timestamp) -> PartUpdate {
        part_update(&self.own, now)
    }

    /// Returns all known observations, for a daemon that knows none.
    pub fn all(&self, now: Timestamp) -> PartUpdate {
        let crashed = self.ledger.crashes();
        let crashed = crashed.map(|(crash, at, sent)| Observed::Crashed {
            crash,
            at,
            sent: sent.iter().map(|(part, at)| (*part, *at)).collect(),
        });
        let answered = self.ledger.answered();
        let answered = answered.map(|(part, sent_at)| Observed::Answered { part, sent_at });
        let all: Vec<Observed> = answered.chain(crashed).collect();
        part_update(&all, now)
    }

    /// Removes expired observations.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.is_changed |= self.ledger.remove_expired(now);
    }

    /// Returns the table of suspected and quarantined parts if it may have changed since the last
    /// call.
    pub fn changed_table(&mut self) -> Option<PartTable> {
        std::mem::take(&mut self.is_changed).then(|| self.ledger.table())
    }

    fn observe(&mut self, observed: Observed, now: Timestamp) -> Vec<PartChange> {
        self.own.push_back(observed.clone());
        if self.own.len() > MAX_OWN {
            self.own.pop_front();
        }
        self.record_all(vec![observed], true, now)
    }

    fn handle(&mut self, update: &PartUpdate, relays: bool, now: Timestamp) -> Vec<PartChange> {
        let observations = update.observations.iter();
        let observed = observations.map(|one| Observed::from_message(one, now));
        self.record_all(observed.collect(), relays, now)
    }

    /// Records observations, and announces the new ones if `announces`; returns the changes.
    fn record_all(
        &mut self,
        observed: Vec<Observed>,
        announces: bool,
        now: Timestamp,
    ) -> Vec<PartChange> {
        let before = self.quarantined();
        for one in observed {
            if !self.record(&one) {
                continue;
            }
            self.is_changed = true;
            if announces {
                self.rebroadcast_queue.enqueue(one, now);
            }
        }
        self.changes_since(&before, now)
    }

    /// Records an observation; returns whether it was not known.
    fn record(&mut self, observed: &Observed) -> bool {
        match observed {
            Observed::Crashed { crash, at, sent } => {
                self.ledger.record_crash(*crash, *at, sent.iter().copied())
            }
            Observed::Answered { part, sent_at } => self.ledger.record_answered(*part, *sent_at),
        }
    }

    /// Returns the parts that are quarantined together, with the numbers of their crashes.
    fn quarantined(&self) -> BTreeMap<Vec<PartId>, usize> {
        let culprits = self.ledger.culprits();
        culprits
            .map(|culprit| (culprit.parts.clone(), culprit.crashed_at.len()))
            .collect()
    }

    fn changes_since(
        &self,
        before: &BTreeMap<Vec<PartId>, usize>,
        now: Timestamp,
    ) -> Vec<PartChange> {
        let after = self.quarantined();
        let culprits = self.ledger.culprits();
        let new = culprits
            .filter(|culprit| before.get(&culprit.parts) != Some(&culprit.crashed_at.len()));
        let quarantined = new.map(|culprit| {
            let first = culprit.crashed_at.first();
            PartChange::Quarantined {
                parts: culprit.parts.clone(),
                crashes: u32::try_from(culprit.crashed_at.len()).unwrap_or(u32::MAX),
                since: first.map_or(Duration::ZERO, |first| {
                    SignedTimestamp::from(now).since(*first)
                }),
                hold: hold(culprit),
            }
        });
        let released = before.keys().filter(|parts| !after.contains_key(*parts));
        let released = released.map(|parts| PartChange::Released {
            parts: parts.clone(),
        });
        quarantined.chain(released).collect()
    }
}

fn part_update<'a>(observed: impl IntoIterator<Item = &'a Observed>, now: Timestamp) -> PartUpdate {
    let observations = observed.into_iter().map(|one| one.to_message(now));
    PartUpdate {
        observations: observations.collect(),
    }
}
