//! How daemons tell each other what upstreams name.

use serde::{
    Deserialize,
    Serialize, //
};

use super::ledger::{
    Ledger,
    Noted,
    RateTable,
    Statement, //
};
use crate::{
    moment::Moment,
    prelude::*,
    registry::InstanceId,
    telling::Telling, //
};

/// One upstream's answer on its way between daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateObservation {
    /// Which run.
    pub id: InstanceId,
    /// The rate that it named, none if it named none.
    pub rate: Option<RequestRate>,
    /// How long ago the request was sent, in milliseconds.
    pub sent_age_ms: u32,
    /// How long ago the answer came, in milliseconds.
    pub heard_age_ms: u32,
}

/// What upstreams named in their answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateUpdate {
    /// One answer of each upstream.
    pub named: Vec<RateObservation>,
}

impl RateUpdate {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }
}

/// A rate that has changed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RateChange {
    /// Whose.
    pub id: InstanceId,
    /// The rate from now on.
    pub rate: Option<RequestRate>,
    /// The rate before.
    pub before: Option<RequestRate>,
    /// How old the answer is that says so, in milliseconds.
    pub age_ms: u32,
}

/// What a daemon knows of named rates, and what of it is to be told to others.
#[derive(Clone, Debug, Default)]
pub struct RateSpread {
    ledger: Ledger,
    /// What is told is looked up when it is sent: only the newest matters.
    telling: Telling<InstanceId>,
    is_changed: bool,
}

impl RateSpread {
    /// Notes what an answer to this daemon itself said, and has others told of what is new.
    pub fn observe(
        &mut self,
        id: &InstanceId,
        rate: Option<RequestRate>,
        (sent_at, heard_at): (Timestamp, Timestamp),
        now: Timestamp,
    ) -> Option<RateChange> {
        let statement = Statement {
            rate,
            sent_at: sent_at.into(),
            heard_at: heard_at.into(),
        };
        let change = self.changed(id, statement, now)?;
        self.tell(id.clone(), now);
        Some(change)
    }

    /// Takes in what another daemon tells; `is_relayed` says whether to tell on what is new.
    ///
    /// Whoever tells something older than what is known here is told the newer, or two daemons
    /// would go on by different rates.
    pub fn handle_rate_update(
        &mut self,
        news: &RateUpdate,
        is_relayed: bool,
        now: Timestamp,
    ) -> Vec<RateChange> {
        let mut changes = Vec::new();
        for named in &news.named {
            let statement = Statement {
                rate: named.rate,
                sent_at: Moment::before(now, named.sent_age_ms),
                heard_at: Moment::before(now, named.heard_age_ms),
            };
            match self.ledger.note(&named.id, statement) {
                Noted::News(before) => {
                    changes.push(self.change(&named.id, statement, before, now));
                    if is_relayed {
                        self.tell(named.id.clone(), now);
                    }
                }
                Noted::Contradicted => self.tell_unless_told(&named.id, now),
                Noted::Same => {}
            }
        }
        changes
    }

    /// Returns what is to be told now.
    pub fn take_due_update(&mut self, now: Timestamp) -> RateUpdate {
        let due = self.telling.due(now);
        let named = due.iter().filter_map(|id| {
            let statement = self.ledger.get(id)?;
            Some(told(id, statement, now))
        });
        RateUpdate {
            named: named.collect(),
        }
    }

    /// Returns all that is known, for one that may have missed something.
    pub fn all(&self, now: Timestamp) -> RateUpdate {
        let named = self.ledger.iter();
        RateUpdate {
            named: named
                .map(|(id, statement)| told(id, statement, now))
                .collect(),
        }
    }

    /// Returns the rates in force, if they may have changed since the last time.
    pub fn changed_table(&mut self) -> Option<RateTable> {
        std::mem::take(&mut self.is_changed).then(|| self.ledger.table())
    }

    /// Drops what is too old to matter, and what runs have named that ended.
    pub fn forget(
        &mut self,
        has_ended: impl Fn(&InstanceId) -> bool,
        now: Timestamp,
    ) -> Vec<RateChange> {
        let mut dropped = self.ledger.forget_old(now.into());
        let ended = self.ledger.iter().map(|(id, _)| id);
        let ended: Vec<InstanceId> = ended.filter(|id| has_ended(id)).cloned().collect();
        for id in ended {
            if let Some(rate) = self.ledger.end(&id) {
                dropped.push((id, rate));
            }
        }
        self.is_changed |= !dropped.is_empty();
        let change = |(id, rate)| RateChange {
            id,
            rate: None,
            before: Some(rate),
            age_ms: 0,
        };
        dropped.into_iter().map(change).collect()
    }

    fn changed(
        &mut self,
        id: &InstanceId,
        statement: Statement,
        now: Timestamp,
    ) -> Option<RateChange> {
        match self.ledger.note(id, statement) {
            Noted::News(before) => Some(self.change(id, statement, before, now)),
            Noted::Same | Noted::Contradicted => None,
        }
    }

    fn change(
        &mut self,
        id: &InstanceId,
        statement: Statement,
        before: Option<RequestRate>,
        now: Timestamp,
    ) -> RateChange {
        self.is_changed = true;
        RateChange {
            id: id.clone(),
            rate: statement.rate,
            before,
            age_ms: statement.heard_at.age_ms(now),
        }
    }

    fn tell(&mut self, id: InstanceId, now: Timestamp) {
        self.telling.drop_if(|told| *told == id);
        self.telling.tell(id, now);
    }

    /// Has others told, unless they are being told already: many may be behind at once.
    fn tell_unless_told(&mut self, id: &InstanceId, now: Timestamp) {
        if !self.telling.tells(|told| told == id) {
            self.telling.tell(id.clone(), now);
        }
    }
}

fn told(id: &InstanceId, statement: Statement, now: Timestamp) -> RateObservation {
    RateObservation {
        id: id.clone(),
        rate: statement.rate,
        sent_age_ms: statement.sent_at.age_ms(now),
        heard_age_ms: statement.heard_at.age_ms(now),
    }
}
