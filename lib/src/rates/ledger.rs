//! The rate that each upstream named last.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    prelude::*,
    registry::InstanceId, //
    signed_timestamp::SignedTimestamp,
};

/// Two answers whose times differ by no more than this have no certain order.
///
/// The ages in a [`RateUpdate`](super::RateUpdate) leave out its transit time between daemons.
const ORDER_TOLERANCE: Duration = Duration::from_millis(400);
/// A new rate is announced if it differs from the announced one by more than one part in this
/// many.
const ANNOUNCE_DIVISOR: u64 = 16;
/// How long the ledger retains that an upstream no longer names a rate.
///
/// An older answer that arrives late must not bring the rate back.
const ENDED_RETENTION: Duration = Duration::from_secs(60);
/// How long a rate holds without an answer that confirms it.
///
/// The leader permits about one request per [`super::issuer::PROBE_INTERVAL`] even to an upstream
/// that names a lower rate, if there is demand for its pool, so normally only rates in pools
/// without demand expire.
const RATE_RETENTION: Duration = Duration::from_secs(900);
/// Maximum number of upstreams in the ledger: the number of engines of the largest fleet.
const MAX_UPSTREAMS: usize = 8_192;

/// The rates in force, by upstream; upstreams that name none are absent.
pub type RateTable = BTreeMap<InstanceId, RequestRate>;

/// What one answer of an upstream says about its rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Statement {
    /// The rate that the answer names, if any.
    pub(super) rate: Option<RequestRate>,
    /// When the request was sent: the earliest time at which the upstream can have chosen the rate.
    pub(super) sent_at: SignedTimestamp,
    /// When the answer arrived: the latest time at which the upstream can have chosen the rate.
    pub(super) received_at: SignedTimestamp,
}

impl Statement {
    /// Returns whether this statement replaces an earlier recorded one.
    ///
    /// If the order of two answers is uncertain, the lower rate holds: the next answers settle the
    /// question, and until then the upstream gets too few requests rather than too many.
    fn replaces(&self, before: &Self) -> bool {
        let is_surely_later = before
            .received_at
            .precedes_by_more_than(self.sent_at, ORDER_TOLERANCE);
        let may_be_later = before
            .received_at
            .precedes_by_more_than(self.received_at, Duration::ZERO);
        is_surely_later || (may_be_later && is_as_strict(self.rate, before.rate))
    }
}

/// Returns whether `one` limits requests at least as much as `other`; `None` is no limit.
fn is_as_strict(one: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one <= other,
        (one, other) => one.is_some() || other.is_none(),
    }
}

/// The effect of recording a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum RecordEffect {
    /// The rate differs from the announced one and must be announced; holds the rate announced
    /// before.
    Changed(Option<RequestRate>),
    /// The rate is, within the tolerance, the announced one.
    Unchanged,
    /// The statement does not replace the recorded one, being no later, or of uncertain order and
    /// less strict, and differs from the announced rate.
    Outdated,
}

#[derive(Clone, Copy, Debug)]
struct LedgerEntry {
    statement: Statement,
    /// The rate that was announced to other daemons last.
    announced: Option<RequestRate>,
}

/// The last statement of each upstream.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    entries: BTreeMap<InstanceId, LedgerEntry>,
}

impl Ledger {
    /// Records a statement unless a later one is known; returns the effect.
    pub(super) fn record(&mut self, id: &InstanceId, statement: Statement) -> RecordEffect {
        let Some(entry) = self.entries.get_mut(id) else {
            return self.record_first(id, statement);
        };
        if !statement.replaces(&entry.statement) {
            return match differs(statement.rate, entry.announced) {
                true => RecordEffect::Outdated,
                false => RecordEffect::Unchanged,
            };
        }
        entry.statement = statement;
        if !differs(statement.rate, entry.announced) {
            return RecordEffect::Unchanged;
        }
        RecordEffect::Changed(std::mem::replace(&mut entry.announced, statement.rate))
    }

    fn record_first(&mut self, id: &InstanceId, statement: Statement) -> RecordEffect {
        if statement.rate.is_none() || self.entries.len() >= MAX_UPSTREAMS {
            return RecordEffect::Unchanged;
        }
        let announced = statement.rate;
        self.entries.insert(
            id.clone(),
            LedgerEntry {
                statement,
                announced,
            },
        );
        RecordEffect::Changed(None)
    }

    /// Returns the last statement of an upstream.
    pub(super) fn get(&self, id: &InstanceId) -> Option<Statement> {
        self.entries.get(id).map(|entry| entry.statement)
    }

    /// Returns the last statements of all upstreams.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&InstanceId, Statement)> {
        self.entries.iter().map(|(id, entry)| (id, entry.statement))
    }

    /// Returns the rates in force.
    pub(super) fn table(&self) -> RateTable {
        let rates = self.iter();
        rates
            .filter_map(|(id, statement)| Some((id.clone(), statement.rate?)))
            .collect()
    }

    /// Removes expired statements; returns the upstreams whose rates end by this, and the rates.
    pub(super) fn remove_expired(
        &mut self,
        now: SignedTimestamp,
    ) -> Vec<(InstanceId, RequestRate)> {
        let mut dropped = Vec::new();
        self.entries.retain(|id, entry| {
            let age = now.since(entry.statement.received_at);
            match entry.statement.rate {
                None => age < ENDED_RETENTION,
                Some(_) if age < RATE_RETENTION => true,
                Some(rate) => {
                    dropped.push((id.clone(), rate));
                    false
                }
            }
        });
        dropped
    }

    /// Removes an upstream instance that has ended; returns its rate. The next instance has a new
    /// id and has named no rate yet.
    pub(super) fn remove_ended(&mut self, id: &InstanceId) -> Option<RequestRate> {
        self.entries.remove(id)?.statement.rate
    }
}

/// Returns whether a rate differs from the announced one by enough to be announced.
fn differs(rate: Option<RequestRate>, announced: Option<RequestRate>) -> bool {
    match (rate, announced) {
        (Some(rate), Some(announced)) => {
            rate.0.abs_diff(announced.0) > announced.0 / ANNOUNCE_DIVISOR
        }
        (rate, announced) => rate != announced,
    }
}
