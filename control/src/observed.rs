//! The last report of each failure domain, shared between threads.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
};

use cicadabend::{
    operator_api::DomainStatus,
    peer_api::DomainReport,
    prelude::*, //
};

#[derive(Clone, Debug)]
struct Received {
    at: Timestamp,
    report: DomainReport,
}

/// What the failure domains' leaders last reported; clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct ObservedFleet {
    reports: Arc<Mutex<BTreeMap<FailureDomain, Received>>>,
}

impl ObservedFleet {
    /// Keeps a report unless a newer one of its failure domain is known.
    pub(crate) fn keep(&self, report: DomainReport, at: Timestamp) {
        let mut reports = self.lock();
        let number = (report.epoch, report.sequence);
        let newer = reports
            .get(&report.failure_domain)
            .is_none_or(|known| (known.report.epoch, known.report.sequence) < number);
        if newer {
            reports.insert(report.failure_domain.clone(), Received { at, report });
        }
    }

    /// Returns the last reports with their ages.
    pub(crate) fn domains(&self, now: Timestamp) -> Vec<DomainStatus> {
        let status = |received: &Received| DomainStatus {
            age_ms: u64::try_from(now.since(received.at).as_millis()).unwrap_or(u64::MAX),
            report: received.report.clone(),
        };
        self.lock().values().map(status).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<FailureDomain, Received>> {
        // Each change is a single insertion, so a panic elsewhere leaves a valid map.
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
