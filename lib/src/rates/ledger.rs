//! What each upstream named last.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    moment::Moment,
    prelude::*,
    registry::InstanceId, //
};

/// What answers sent within this time of each other say stands in no certain order.
///
/// The age that comes with news leaves out its way between daemons.
const ORDER_MARGIN: Duration = Duration::from_millis(400);
/// By what part of a rate another one must differ to be worth telling.
const TELLING_PART: u64 = 16;
/// For how long it is remembered that an upstream no longer names a rate.
///
/// An older answer that is told late must not bring the rate back.
const END_REMEMBERED: Duration = Duration::from_secs(60);
/// How long a rate holds without an answer that confirms it.
///
/// One request in [`super::issuer::LONGEST_TRIAL`] finds out about a rate that nobody uses, so
/// that this ends only what no caller asks for.
const RATE_REMEMBERED: Duration = Duration::from_secs(900);
/// How many upstreams are kept; the engines of the largest fleet.
const MOST_KEPT: usize = 8_192;

/// The rates in force, by upstream; one that names none is not there.
pub type RateTable = BTreeMap<InstanceId, RequestRate>;

/// What one answer said.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Statement {
    /// The rate, none if the answer named none.
    pub(super) rate: Option<RequestRate>,
    /// When the request was sent; the answer cannot be older.
    pub(super) sent_at: Moment,
    /// When the answer came; it cannot be newer.
    pub(super) heard_at: Moment,
}

impl Statement {
    /// Returns whether this replaces what was said before.
    ///
    /// Where the order of two answers cannot be told, the stricter holds: the next answers
    /// settle it, and until then the upstream gets too little rather than too much.
    fn replaces(&self, before: &Self) -> bool {
        let is_surely_later = before.heard_at.is_before(self.sent_at, ORDER_MARGIN);
        let may_be_later = before.heard_at.is_before(self.heard_at, Duration::ZERO);
        is_surely_later || (may_be_later && is_as_strict(self.rate, before.rate))
    }
}

fn is_as_strict(one: Option<RequestRate>, other: Option<RequestRate>) -> bool {
    match (one, other) {
        (Some(one), Some(other)) => one <= other,
        (one, other) => one.is_some() || other.is_none(),
    }
}

/// What came of noting a statement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Noted {
    /// It differs from what was told last; the rate before is given.
    News(Option<RequestRate>),
    /// It is as good as what is known.
    Same,
    /// It is older than what is known, and says something else.
    Contradicted,
}

#[derive(Clone, Copy, Debug)]
struct Kept {
    statement: Statement,
    /// What others were told.
    told: Option<RequestRate>,
}

/// What each upstream named last.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    kept: BTreeMap<InstanceId, Kept>,
}

impl Ledger {
    /// Takes a statement in.
    pub(super) fn note(&mut self, id: &InstanceId, statement: Statement) -> Noted {
        let Some(kept) = self.kept.get_mut(id) else {
            return self.note_first(id, statement);
        };
        if !statement.replaces(&kept.statement) {
            return match differs(statement.rate, kept.told) {
                true => Noted::Contradicted,
                false => Noted::Same,
            };
        }
        kept.statement = statement;
        if !differs(statement.rate, kept.told) {
            return Noted::Same;
        }
        Noted::News(std::mem::replace(&mut kept.told, statement.rate))
    }

    fn note_first(&mut self, id: &InstanceId, statement: Statement) -> Noted {
        if statement.rate.is_none() || self.kept.len() >= MOST_KEPT {
            return Noted::Same;
        }
        let told = statement.rate;
        self.kept.insert(id.clone(), Kept { statement, told });
        Noted::News(None)
    }

    /// Returns what an upstream said last.
    pub(super) fn get(&self, id: &InstanceId) -> Option<Statement> {
        self.kept.get(id).map(|kept| kept.statement)
    }

    /// Returns all that was said last.
    pub(super) fn iter(&self) -> impl Iterator<Item = (&InstanceId, Statement)> {
        self.kept.iter().map(|(id, kept)| (id, kept.statement))
    }

    /// Returns the rates in force.
    pub(super) fn table(&self) -> RateTable {
        let rates = self.iter();
        rates
            .filter_map(|(id, statement)| Some((id.clone(), statement.rate?)))
            .collect()
    }

    /// Drops what is too old to matter; returns whose rate was dropped.
    pub(super) fn forget_old(&mut self, now: Moment) -> Vec<(InstanceId, RequestRate)> {
        let mut dropped = Vec::new();
        self.kept.retain(|id, kept| {
            let age = now.since(kept.statement.heard_at);
            match kept.statement.rate {
                None => age < END_REMEMBERED,
                Some(_) if age < RATE_REMEMBERED => true,
                Some(rate) => {
                    dropped.push((id.clone(), rate));
                    false
                }
            }
        });
        dropped
    }

    /// Forgets runs that have ended: the next run of an upstream has named nothing.
    pub(super) fn end(&mut self, id: &InstanceId) -> Option<RequestRate> {
        self.kept.remove(id)?.statement.rate
    }
}

fn differs(rate: Option<RequestRate>, told: Option<RequestRate>) -> bool {
    match (rate, told) {
        (Some(rate), Some(told)) => rate.0.abs_diff(told.0) > told.0 / TELLING_PART,
        (rate, told) => rate != told,
    }
}
