//! Reports of the own domain to the others, and of the others to the own daemons.

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

/// How often a report is sent though nothing but load changed.
const REPORT_EVERY: Duration = Duration::from_secs(2);
/// The shortest time between two reports; an upstream that leaves must not wait for long.
const REPORT_GAP: Duration = Duration::from_millis(200);

impl Coordinator {
    pub(super) fn receive_report(&mut self, from: &DaemonId, report: DomainReport, now: Timestamp) {
        if report.failure_domain == self.parameters.failure_domain {
            return;
        }
        if !self.foreign.hear(&report, now) {
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

    pub(super) fn add_losses(&mut self, passed: Duration, now: Timestamp) {
        let view = leader_view(&self.parameters, &self.lease, &self.config, &self.upstreams);
        if let Some(leader) = &self.leader
            && leader.is_settled()
        {
            self.losses.add(leader, view, passed, now);
        }
    }

    pub(super) fn report(&mut self, now: Timestamp) {
        let Some(leader) = &self.leader else {
            return;
        };
        let is_too_soon = now.since(self.reported_at) < REPORT_GAP;
        if is_too_soon || !leader.is_settled() {
            return;
        }
        let view = leader_view(&self.parameters, &self.lease, &self.config, &self.upstreams);
        let ack = self
            .config
            .acknowledgement(&self.parameters.daemon, &self.children());
        let sequence = self.report_sequence + 1;
        let report = report::report(leader, view, ack, self.losses, sequence, now);
        let last = self.last_report.as_ref();
        let is_changed = last.is_none_or(|last| report::differ(last, &report));
        if !is_changed && now.since(self.reported_at) < REPORT_EVERY {
            return;
        }
        self.reported_at = now;
        self.report_sequence = sequence;
        self.send_report(&report, now);
        self.last_report = Some(report);
    }

    /// Sends all of a report to control, and to the other domains what they route by.
    fn send_report(&mut self, report: &DomainReport, now: Timestamp) {
        let control: Vec<DaemonId> = self.parameters.control.keys().cloned().collect();
        for daemon in control {
            self.send(&daemon, PeerMessage::Report(report.clone()));
        }
        let mut leaders = Vec::new();
        for (domain, daemons) in &self.parameters.other_domains {
            match self.foreign.leader(domain, now) {
                Some(leader) => leaders.push(leader.clone()),
                // Whichever hears it passes it to its leader.
                None => leaders.extend(daemons.iter().cloned()),
            }
        }
        let digest = report::digest(report);
        for leader in leaders {
            self.send(&leader, PeerMessage::Report(digest.clone()));
        }
    }
}
