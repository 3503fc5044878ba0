//! The reports that the thread `spread` has received, published for the thread `operators`.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    fleet::{
        policy_statistics::PolicyTotals,
        spread::{
            ControlSpread,
            ReceivedDomainReport,
            is_fresh, //
        }, //
    },
    ids::Address,
    operator_api::{
        DomainStatus,
        PolicyStatistics, //
    },
    peer_api::DomainReport,
    prelude::*,
};

/// The reports, policy statistics and operators' addresses at one point in time.
///
/// A change replaces the whole view.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetView {
    /// The last report of each failure domain.
    pub(crate) reports: BTreeMap<FailureDomain, ReceivedDomainReport>,
    /// The addresses at which other control daemons accept operators' requests.
    pub(crate) operator_addresses: BTreeMap<DaemonId, Address>,
    /// The statistics of each routing policy.
    pub(crate) policies: Vec<PolicyStatistics>,
}

impl FleetView {
    /// Returns the last report of each failure domain, however old.
    ///
    /// A plan uses the newest report of a failure domain even if the domain is cut off.
    pub(crate) fn last_reports(&self) -> Vec<DomainReport> {
        let reports = self.reports.values();
        reports.map(|heard| (*heard.report).clone()).collect()
    }

    /// Returns the reports of failure domains that are recent enough.
    ///
    /// An outdated report must neither block a confirmation nor count as a plan's completion.
    pub(crate) fn fresh_reports(&self, now: Timestamp) -> Vec<DomainReport> {
        let reports = self.reports.values();
        let fresh = reports.filter(|heard| is_fresh(heard.at, now));
        fresh.map(|heard| (*heard.report).clone()).collect()
    }

    /// Returns the reports with their ages.
    pub(crate) fn domains(&self, now: Timestamp) -> Vec<DomainStatus> {
        let status = |heard: &ReceivedDomainReport| DomainStatus {
            age_ms: u64::try_from(now.since(heard.at).as_millis()).unwrap_or(u64::MAX),
            report: (*heard.report).clone(),
        };
        self.reports.values().map(status).collect()
    }
}

/// The pointer by which threads share the newest [`FleetView`].
#[derive(Clone, Debug, Default)]
pub(crate) struct SharedView {
    view: Arc<ArcSwap<FleetView>>,
}

impl SharedView {
    /// Returns the newest view.
    pub(crate) fn load(&self) -> Arc<FleetView> {
        self.view.load_full()
    }

    /// Replaces the view by the current state of the thread `spread`.
    pub(crate) fn publish(&self, spread: &ControlSpread, policies: &PolicyTotals) {
        self.view.store(Arc::new(FleetView {
            reports: spread.reports().clone(),
            operator_addresses: spread.operator_addresses(),
            policies: policies.statistics(),
        }));
    }
}
