//! Propagation of the rates that upstreams name, between daemons.

use serde::{
    Deserialize,
    Serialize, //
};

use super::ledger::{
    Ledger,
    RateTable,
    RecordEffect,
    Statement, //
};
use crate::{
    prelude::*,
    rebroadcast_queue::RebroadcastQueue, //
    registry::InstanceId,
    signed_timestamp::SignedTimestamp,
};

/// The rate that one answer of an upstream named, as daemons send it to each other.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateObservation {
    /// The upstream instance that answered.
    pub id: InstanceId,
    /// The rate that the answer named, if any.
    pub rate: Option<RequestRate>,
    /// Age of the request to the upstream in milliseconds, from the sending of that request to the
    /// sending of this message.
    pub sent_age_ms: u32,
    /// Age of the upstream's answer in milliseconds, from its arrival to the sending of this
    /// message.
    pub heard_age_ms: u32,
}

/// A message with the rates that upstreams named in their answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RateUpdate {
    /// The last answer of each upstream.
    pub named: Vec<RateObservation>,
}

impl RateUpdate {
    /// Returns whether the update holds no answers.
    pub fn is_empty(&self) -> bool {
        self.named.is_empty()
    }
}

/// A change of the rate that an upstream names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RateChange {
    /// The upstream instance.
    pub id: InstanceId,
    /// The rate from now on; `None` if the upstream names none any more.
    pub rate: Option<RequestRate>,
    /// The rate before; `None` if there was none.
    pub before: Option<RequestRate>,
    /// Age in milliseconds of the answer that changed the rate; 0 if the rate expired or the
    /// upstream instance ended.
    pub age_ms: u32,
}

/// The rates that a daemon knows of, and the queue of those to be announced to other daemons.
#[derive(Clone, Debug, Default)]
pub struct RateSpread {
    ledger: Ledger,
    /// Upstreams whose rate is to be announced. The statement is looked up when it is sent, so only
    /// the newest one goes out.
    rebroadcast_queue: RebroadcastQueue<InstanceId>,
    /// Whether the ledger has changed since the table was last returned.
    is_changed: bool,
}

impl RateSpread {
    /// Records the rate in an answer to this daemon's own request, and announces a change; the
    /// times are those of the request and of the answer.
    pub fn observe(
        &mut self,
        id: &InstanceId,
        rate: Option<RequestRate>,
        (sent_at, received_at): (Timestamp, Timestamp),
        now: Timestamp,
    ) -> Option<RateChange> {
        let statement = Statement {
            rate,
            sent_at: sent_at.into(),
            received_at: received_at.into(),
        };
        let change = self.record(id, statement, now)?;
        self.announce(id.clone(), now);
        Some(change)
    }

    /// Takes in an update from another daemon; with `is_relayed`, announces the changes in turn.
    ///
    /// If the update is older than the statement known here, the newer one is announced: otherwise
    /// two daemons would keep using different rates.
    pub fn handle_rate_update(
        &mut self,
        update: &RateUpdate,
        is_relayed: bool,
        now: Timestamp,
    ) -> Vec<RateChange> {
        let mut changes = Vec::new();
        for named in &update.named {
            let statement = Statement {
                rate: named.rate,
                sent_at: SignedTimestamp::from_age(now, named.sent_age_ms),
                received_at: SignedTimestamp::from_age(now, named.heard_age_ms),
            };
            match self.ledger.record(&named.id, statement) {
                RecordEffect::Changed(before) => {
                    changes.push(self.apply_change(&named.id, statement, before, now));
                    if is_relayed {
                        self.announce(named.id.clone(), now);
                    }
                }
                RecordEffect::Outdated => self.announce_unless_pending(&named.id, now),
                RecordEffect::Unchanged => {}
            }
        }
        changes
    }

    /// Returns the announcements that are due.
    pub fn take_due_update(&mut self, now: Timestamp) -> RateUpdate {
        let due = self.rebroadcast_queue.take_due(now);
        let named = due.iter().filter_map(|id| {
            let statement = self.ledger.get(id)?;
            Some(rate_observation(id, statement, now))
        });
        RateUpdate {
            named: named.collect(),
        }
    }

    /// Returns all known statements, for a daemon that may have missed updates.
    pub fn all(&self, now: Timestamp) -> RateUpdate {
        let named = self.ledger.iter();
        RateUpdate {
            named: named
                .map(|(id, statement)| rate_observation(id, statement, now))
                .collect(),
        }
    }

    /// Returns the rates in force if they may have changed since the last call.
    pub fn changed_table(&mut self) -> Option<RateTable> {
        std::mem::take(&mut self.is_changed).then(|| self.ledger.table())
    }

    /// Removes expired rates and those of upstream instances that have ended; returns the changes.
    pub fn forget(
        &mut self,
        has_ended: impl Fn(&InstanceId) -> bool,
        now: Timestamp,
    ) -> Vec<RateChange> {
        let mut dropped = self.ledger.remove_expired(now.into());
        let ended = self.ledger.iter().map(|(id, _)| id);
        let ended: Vec<InstanceId> = ended.filter(|id| has_ended(id)).cloned().collect();
        for id in ended {
            if let Some(rate) = self.ledger.remove_ended(&id) {
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

    fn record(
        &mut self,
        id: &InstanceId,
        statement: Statement,
        now: Timestamp,
    ) -> Option<RateChange> {
        match self.ledger.record(id, statement) {
            RecordEffect::Changed(before) => Some(self.apply_change(id, statement, before, now)),
            RecordEffect::Unchanged | RecordEffect::Outdated => None,
        }
    }

    fn apply_change(
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
            age_ms: statement.received_at.age_ms(now),
        }
    }

    fn announce(&mut self, id: InstanceId, now: Timestamp) {
        self.rebroadcast_queue.remove_if(|told| *told == id);
        self.rebroadcast_queue.enqueue(id, now);
    }

    /// Queues an announcement unless one is pending already: many daemons may be outdated at once,
    /// and one announcement reaches them all.
    fn announce_unless_pending(&mut self, id: &InstanceId, now: Timestamp) {
        if !self.rebroadcast_queue.contains(|told| told == id) {
            self.rebroadcast_queue.enqueue(id.clone(), now);
        }
    }
}

fn rate_observation(id: &InstanceId, statement: Statement, now: Timestamp) -> RateObservation {
    RateObservation {
        id: id.clone(),
        rate: statement.rate,
        sent_age_ms: statement.sent_at.age_ms(now),
        heard_age_ms: statement.received_at.age_ms(now),
    }
}
