//! Permits that an entry daemon issues to itself while no leader answers.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use xxhash_rust::xxh3::xxh3_64;

use super::RateTable;
use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// How long a permit that a daemon issues to itself is valid. Without an end, idle daemons would
/// collect permits, and all daemons could use theirs at once.
const VALID_FOR: Duration = Duration::from_millis(1_000);

#[derive(Clone, Copy, Debug)]
struct Accrual {
    /// Permits accrued and not issued yet, as a fraction.
    accrued: f64,
    /// When `accrued` was last brought up to date.
    updated_at: Timestamp,
}

/// Issues permits by one daemon's equal part of each rate.
///
/// Daemons that a network partition separates from the leader cannot coordinate. Each uses the rate
/// divided by the number of all known entry daemons, and the leader issues only the parts of the
/// daemons that it hears from, so the sum over both sides stays within the named rate.
#[derive(Clone, Debug, Default)]
pub(super) struct OwnShare {
    accruals: BTreeMap<InstanceId, Accrual>,
}

impl OwnShare {
    /// Discards what has accrued; called when a leader answers or no rate is in force.
    pub(super) fn clear(&mut self) {
        self.accruals.clear();
    }

    /// Returns the permits that are due, each with the time at which it expires; `entries` is the
    /// number of entry daemons that share the rates.
    pub(super) fn take_due_permits(
        &mut self,
        me: &DaemonId,
        rates: &RateTable,
        entries: u32,
        now: Timestamp,
    ) -> Vec<(InstanceId, Timestamp)> {
        self.accruals.retain(|id, _| rates.contains_key(id));
        let mut due = Vec::new();
        for (id, rate) in rates {
            let accrual = self.accruals.entry(id.clone()).or_insert_with(|| Accrual {
                accrued: initial_fraction(me, id),
                updated_at: now,
            });
            let passed_s = now.since(accrual.updated_at).as_secs_f64();
            accrual.accrued += rate.per_s() * passed_s / f64::from(entries.max(1));
            accrual.updated_at = now;
            // Limits what accrues while the process is paused; one call issues one permit at most.
            accrual.accrued = accrual.accrued.min(2.0);
            if accrual.accrued >= 1.0 {
                accrual.accrued -= 1.0;
                due.push((id.clone(), now + VALID_FOR));
            }
        }
        due
    }
}

/// Returns the initial fraction of a permit, from 0 to 1, which differs between daemons. If all
/// daemons started from zero, their permits for one upstream would all be due at the same time.
fn initial_fraction(me: &DaemonId, id: &InstanceId) -> f64 {
    let hash = xxh3_64(format!("{me} {id}").as_bytes());
    (hash >> 32) as f64 / f64::from(u32::MAX)
}
