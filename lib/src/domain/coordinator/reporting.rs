//! Sending of this domain's reports, and distribution of other domains' reports among the
//! daemons of this one.

use std::time::Duration;

use super::{
    Action,
    Coordinator,
    leader_view, //
};
use crate::{
    domain::report, //
    peer_api::{
        DomainReport,
        PeerMessage, //
    },
    prelude::*,
};

/// How often a report is sent if nothing but loads has changed.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);
/// The shortest time between two reports. Kept short because other domains learn from reports
/// that an upstream is leaving.
const MIN_REPORT_GAP: Duration = Duration::from_millis(200);

impl Coordinator {
    /// Takes in a report of another domain, and passes it to the leader or down the spread
    /// tree.
    pub(super) fn receive_report(&mut self, from: &DaemonId, report: DomainReport, now: Timestamp) {
        if report.failure_domain == self.parameters.failure_domain {
            return;
        }
        if !self.foreign.handle_report(&report, now) {
            return;
        }
        self.actions.push(Action::Publish);
        let leader = self.lease.leader(now).map(|(leader, _)| leader.clone());
        let is_from_outside = !self.parameters.daemons.contains(from);
        if is_from_outside
            && let Some(leader) = leader
            && leader != self.parameters.daemon
        {
            self.send(&leader, PeerMessage::Report(report));
            return;
        }
        for child in self.children() {
            self.send(&child, PeerMessage::Report(report.clone()));
        }
    }

    /// Adds the time that passed since the last tick to the losses, if this daemon leads and has
    /// settled.
    pub(super) fn record_losses(&mut self, passed: Duration, now: Timestamp) {
        let view = leader_view(&self.parameters, &self.lease, &self.config, &self.upstreams);
        if let Some(leader) = &self.leader
            && leader.is_settled()
        {
            self.losses.add(leader, view, passed, now);
        }
    }

    /// Sends a report if this daemon leads and a report is due.
    pub(super) fn send_report_if_due(&mut self, now: Timestamp) {
        let Some(leader) = &self.leader else {
            return;
        };
        let is_too_soon = now.since(self.reported_at) < MIN_REPORT_GAP;
        if is_too_soon || !leader.is_settled() {
            return;
        }
        let view = leader_view(&self.parameters, &self.lease, &self.config, &self.upstreams);
        let ack = self
            .config
            .acknowledgement(&self.parameters.daemon, &self.children());
        let sequence = self.report_sequence + 1;
        let report = report::build_report(leader, view, ack, self.losses, sequence, now);
        let last = self.last_report.as_ref();
        let is_changed = last.is_none_or(|last| report::differ_beyond_load(last, &report));
        if !is_changed && now.since(self.reported_at) < REPORT_INTERVAL {
            return;
        }
        self.reported_at = now;
        self.report_sequence = sequence;
        self.send_report(&report, now);
        self.last_report = Some(report);
    }

    /// Sends the whole report to control, and to the other domains the part by which they
    /// route.
    fn send_report(&mut self, report: &DomainReport, now: Timestamp) {
        let control: Vec<DaemonId> = self.parameters.control.keys().cloned().collect();
        for daemon in control {
            self.send(&daemon, PeerMessage::Report(report.clone()));
        }
        let mut leaders = Vec::new();
        for (domain, daemons) in &self.parameters.other_domains {
            match self.foreign.leader(domain, now) {
                Some(leader) => leaders.push(leader.clone()),
                // Each daemon that receives the report passes it to its leader.
                None => leaders.extend(daemons.iter().cloned()),
            }
        }
        let digest = report::routing_digest(report);
        for leader in leaders {
            self.send(&leader, PeerMessage::Report(digest.clone()));
        }
    }
}
