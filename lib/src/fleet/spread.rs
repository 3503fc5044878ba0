//! Propagation of the configuration from control daemons to entry daemons.
//!
//! A control daemon serves the failure domain that it is in. A domain without a live control daemon
//! of its own is served by one of those that receive its leader's reports; all control daemons
//! choose by the same rule, and two that disagree for a while send the same messages twice, which
//! costs bytes and changes nothing. Within a domain the configuration goes to the domain leader
//! only, which passes it down its tree.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    sync::Arc,
    time::Duration,
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    FleetConfig,
    recent_configs::RecentConfigs,
    rollout_status::{
        RolloutStatus,
        rollout_status, //
    }, //
};
use crate::{
    peer_api::{
        ConfigUpdate,
        ControlHello,
        DomainReport, //
    },
    prelude::*,
};

/// Time for which a report or hello counts as recent.
pub const CONTACT_MAX_AGE: Duration = Duration::from_secs(3);
/// Interval between digests to a daemon that has acknowledged the newest revision.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between digests to a daemon that has not acknowledged the newest revision.
pub const REMIND_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest interval between answers to one daemon's requests, so that many requests cost little.
///
/// A daemon that cannot use a delta gets the whole configuration at once all the same.
pub const ANSWER_INTERVAL: Duration = Duration::from_millis(100);

/// The processes of the cluster, as the settings name them.
#[derive(Clone, Debug)]
pub struct Topology {
    /// This control daemon.
    pub own: DaemonId,
    /// The boot of this control daemon.
    pub boot: BootId,
    /// All control daemons, with their failure domains.
    pub controls: BTreeMap<DaemonId, FailureDomain>,
    /// All entry daemons, with their failure domains.
    pub entries: BTreeMap<DaemonId, FailureDomain>,
}

/// A configuration message to an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigMessage {
    /// The recipient.
    pub to: DaemonId,
    /// The content.
    pub update: ConfigUpdate,
}

/// A report and the time at which it was received.
#[derive(Clone, Debug)]
pub struct ReceivedDomainReport {
    /// The time of receipt.
    pub at: Timestamp,
    /// The report.
    pub report: Arc<DomainReport>,
}

/// The last hello of another control daemon.
#[derive(Clone, Debug)]
struct ReceivedHello {
    at: Timestamp,
    boot: BootId,
    hello: ControlHello,
}

/// The messages to and from one entry daemon.
#[derive(Clone, Debug, Default)]
struct Target {
    /// The newest revision that the daemon has or was sent.
    sent: Revision,
    /// The newest revision that the daemon has acknowledged.
    acknowledged: Revision,
    /// The time at which `tick` last sent the daemon a digest or delta; answers to its requests do
    /// not count.
    digest_at: Option<Timestamp>,
    /// The time of the last answer to a request of the daemon.
    answered_at: Option<Timestamp>,
    /// The base of the delta, if the last message to the daemon was one.
    delta_from: Option<Revision>,
}

/// The decisions of the `spread` thread of a control daemon.
#[derive(Clone, Debug)]
pub struct ControlSpread {
    topology: Topology,
    /// The failure domains that have entry daemons.
    domains: Arc<BTreeSet<FailureDomain>>,
    configs: RecentConfigs,
    /// The revision that this boot must have before it sends anything; `None` until it is known.
    confirmed_revision: Option<Revision>,
    reports: BTreeMap<FailureDomain, ReceivedDomainReport>,
    controls: BTreeMap<DaemonId, ReceivedHello>,
    targets: BTreeMap<DaemonId, Target>,
}

impl ControlSpread {
    /// Creates the state of a control daemon that has no configuration yet.
    pub fn new(topology: Topology) -> Self {
        Self {
            domains: Arc::new(topology.entries.values().cloned().collect()),
            topology,
            configs: RecentConfigs::default(),
            confirmed_revision: None,
            reports: BTreeMap::new(),
            controls: BTreeMap::new(),
            targets: BTreeMap::new(),
        }
    }

    /// Stores an accepted configuration, unless it is older than the newest one.
    pub fn accept(&mut self, revision: Revision, config: Arc<FleetConfig>) {
        self.configs.accept(revision, config);
    }

    /// Returns the newest accepted revision.
    pub fn revision(&self) -> Revision {
        self.configs.revision()
    }

    /// Returns the last report of each failure domain.
    pub fn reports(&self) -> &BTreeMap<FailureDomain, ReceivedDomainReport> {
        &self.reports
    }

    /// Returns the rollout status of the newest accepted revision.
    pub fn rollout_status(&self, now: Timestamp) -> RolloutStatus {
        rollout_status(&self.topology.entries, &self.reports, self.revision(), now)
    }

    /// Returns the addresses at which other control daemons take operators' requests, for those
    /// that announce one.
    pub fn operator_addresses(&self) -> BTreeMap<DaemonId, crate::ids::Address> {
        let announced = |(daemon, received): (&DaemonId, &ReceivedHello)| {
            Some((daemon.clone(), received.hello.operators?))
        };
        self.controls.iter().filter_map(announced).collect()
    }

    /// Stores a report unless a newer one of its domain is known.
    ///
    /// A report of a daemon that is not in that domain by the settings is dropped.
    pub fn handle_domain_report(&mut self, from: &DaemonId, report: DomainReport, now: Timestamp) {
        if self.topology.entries.get(from) != Some(&report.failure_domain) {
            return;
        }
        let number = (report.epoch, report.sequence);
        let known = self.reports.get(&report.failure_domain);
        let is_newer = known.is_none_or(|known| {
            // A domain whose daemons have all restarted starts its epochs anew.
            let is_silent = now.since(known.at) > CONTACT_MAX_AGE;
            is_silent || (known.report.epoch, known.report.sequence) < number
        });
        if is_newer {
            let received = ReceivedDomainReport {
                at: now,
                report: Arc::new(report),
            };
            self.reports
                .insert(received.report.failure_domain.clone(), received);
        }
    }

    /// Handles another control daemon's hello, and the confirmed revision in it if it names this
    /// boot.
    pub fn handle_control_hello(
        &mut self,
        from: DaemonId,
        boot: BootId,
        hello: ControlHello,
        now: Timestamp,
    ) {
        if !self.topology.controls.contains_key(&from) {
            return;
        }
        if let Some(confirmed) = &hello.confirmed
            && confirmed.runs.get(&self.topology.own) == Some(&self.topology.boot)
        {
            self.record_confirmed_revision(confirmed.revision);
        }
        let received = ReceivedHello {
            at: now,
            boot,
            hello,
        };
        self.controls.insert(from, received);
    }

    /// Records a revision that a majority of the control daemons confirmed after this boot had
    /// started; only the first one counts.
    pub fn record_confirmed_revision(&mut self, revision: Revision) {
        self.confirmed_revision.get_or_insert(revision);
    }

    /// Returns whether this boot certainly has all revisions that were accepted before it.
    pub fn is_level(&self) -> bool {
        self.confirmed_revision
            .is_some_and(|confirmed_revision| confirmed_revision <= self.revision())
    }

    /// Returns the boots of the other control daemons, by their last hellos.
    pub fn control_boots(&self) -> BTreeMap<DaemonId, BootId> {
        let received = self.controls.iter();
        received
            .map(|(daemon, received)| (daemon.clone(), received.boot))
            .collect()
    }

    /// Returns the failure domains with a recent report.
    pub fn reachable_domains(&self, now: Timestamp) -> BTreeSet<FailureDomain> {
        let fresh = self
            .reports
            .iter()
            .filter(|(_, received)| is_fresh(received.at, now));
        fresh.map(|(domain, _)| domain.clone()).collect()
    }

    /// Records the revision that a daemon and those below it in its tree have applied.
    pub fn handle_config_acknowledgement(&mut self, from: &DaemonId, applied: Revision) {
        if self.topology.entries.contains_key(from) {
            let target = self.targets.entry(from.clone()).or_default();
            target.acknowledged = target.acknowledged.max(applied);
            target.sent = target.sent.max(applied);
        }
    }

    /// Returns the answer to a daemon that has the revision `have` and asks for newer ones.
    ///
    /// Returns `None` if there is no newer one, the daemon is unknown, or it was answered too
    /// recently.
    pub fn answer(
        &mut self,
        from: &DaemonId,
        have: Revision,
        now: Timestamp,
    ) -> Option<ConfigMessage> {
        let is_entry = self.topology.entries.contains_key(from);
        if !is_entry || !self.is_level() || have >= self.revision() {
            return None;
        }
        let target = self.targets.entry(from.clone()).or_default();
        // A daemon that asks from the base of the delta that it was just sent has another
        // configuration under that revision, or cannot decode deltas.
        let delta_was_unusable = target.delta_from == Some(have);
        if !delta_was_unusable && !is_due(target.answered_at, ANSWER_INTERVAL, now) {
            return None;
        }
        target.answered_at = Some(now);
        target.sent = self.configs.revision();
        let delta = self
            .configs
            .delta_from(have)
            .filter(|_| !delta_was_unusable);
        target.delta_from = delta.is_some().then_some(have);
        Some(ConfigMessage {
            to: from.clone(),
            update: delta.unwrap_or_else(|| self.configs.whole()),
        })
    }

    /// Returns the messages to send now.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ConfigMessage> {
        let mut messages = Vec::new();
        for domain in Arc::clone(&self.domains).iter() {
            if !self.serves(domain, now) {
                continue;
            }
            for to in self.recipients(domain, now) {
                if let Some(update) = self.update_for(&to, domain, now) {
                    messages.push(ConfigMessage { to, update });
                }
            }
        }
        messages
    }

    /// Returns whether this control daemon is the one that serves a failure domain.
    pub fn serves(&self, domain: &FailureDomain, now: Timestamp) -> bool {
        let live = self.live_controls(now);
        let own_of_domain =
            |daemon: &&&DaemonId| self.topology.controls.get(**daemon) == Some(domain);
        if let Some(first) = live.iter().find(own_of_domain) {
            return **first == self.topology.own;
        }
        let in_contact: Vec<&DaemonId> = live
            .iter()
            .copied()
            .filter(|daemon| self.is_in_contact(domain, daemon, now))
            .collect();
        let candidates = match in_contact.is_empty() {
            true => live,
            false => in_contact,
        };
        highest_score(domain, &candidates) == Some(&self.topology.own)
    }

    /// Returns the control daemons that can serve a domain: this one and those with a recent hello,
    /// if they know that they have all accepted revisions.
    fn live_controls(&self, now: Timestamp) -> Vec<&DaemonId> {
        // A control daemon that may lack revisions sends nothing to entry daemons, so it serves no
        // domain.
        let is_live = |daemon: &&DaemonId| {
            if **daemon == self.topology.own {
                return self.is_level();
            }
            let received = self.controls.get(*daemon);
            received.is_some_and(|received| received.hello.is_level && is_fresh(received.at, now))
        };
        self.topology.controls.keys().filter(is_live).collect()
    }

    /// Returns whether a control daemon receives recent reports of a failure domain.
    fn is_in_contact(&self, domain: &FailureDomain, daemon: &DaemonId, now: Timestamp) -> bool {
        if *daemon == self.topology.own {
            let received = self.reports.get(domain);
            return received.is_some_and(|received| is_fresh(received.at, now));
        }
        let received = self.controls.get(daemon);
        received.is_some_and(|received| received.hello.hears.contains(domain))
    }

    /// Returns the domain leader, or all entry daemons of the domain if it has no recent report.
    fn recipients(&self, domain: &FailureDomain, now: Timestamp) -> Vec<DaemonId> {
        let received = self.reports.get(domain);
        let received = received.filter(|received| is_fresh(received.at, now));
        let leader = received.map(|received| &received.report.leader);
        // A leader that the settings do not name cannot be sent to.
        if let Some(leader) = leader.filter(|it| self.topology.entries.contains_key(*it)) {
            return vec![leader.clone()];
        }
        let entries = self.topology.entries.iter();
        let of_domain = entries.filter(|(_, theirs)| *theirs == domain);
        of_domain.map(|(daemon, _)| daemon.clone()).collect()
    }

    /// Returns the message that is due to an entry daemon of a domain, if any.
    fn update_for(
        &mut self,
        to: &DaemonId,
        domain: &FailureDomain,
        now: Timestamp,
    ) -> Option<ConfigUpdate> {
        let revision = self.configs.revision();
        let report = self.reports.get(domain);
        let applied = report
            .map(|received| received.report.applied)
            .unwrap_or_default();
        let target = self.targets.entry(to.clone()).or_default();
        // A revision that all daemons of the domain have applied has been applied by its leader
        // too.
        target.acknowledged = target.acknowledged.max(applied);
        target.sent = target.sent.max(applied);
        if target.sent < revision {
            let delta = self.configs.delta_from(target.sent);
            target.delta_from = delta.is_some().then_some(target.sent);
            target.sent = revision;
            target.digest_at = Some(now);
            // Without a common base a digest makes the daemon ask with the revision that it has.
            return Some(delta.unwrap_or_else(|| self.configs.digest()));
        }
        let interval = match target.acknowledged < revision {
            true => REMIND_INTERVAL,
            false => DIGEST_INTERVAL,
        };
        if !is_due(target.digest_at, interval, now) {
            return None;
        }
        target.digest_at = Some(now);
        // A request that follows this digest may mean that the delta was lost, so it gets a delta
        // again rather than the whole configuration.
        target.delta_from = None;
        Some(self.configs.digest())
    }
}

/// Returns whether a report or hello of time `at` still counts as recent.
pub fn is_fresh(at: Timestamp, now: Timestamp) -> bool {
    now.since(at) <= CONTACT_MAX_AGE
}

fn is_due(last: Option<Timestamp>, interval: Duration, now: Timestamp) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}

/// Returns the candidate that serves a domain, by rendezvous hashing, so that all daemons choose
/// the same one and domains spread evenly over them.
fn highest_score<'a>(domain: &FailureDomain, candidates: &[&'a DaemonId]) -> Option<&'a DaemonId> {
    let score = |daemon: &&&DaemonId| xxh3_64(format!("{domain} {daemon}").as_bytes());
    candidates.iter().max_by_key(score).copied()
}
