//! Which control daemon sends the configuration to whom, and what of it.
//!
//! A control daemon serves the failure domain it is in. A domain without a live
//! control daemon of its own is served by one of those that hear its leader; all
//! choose by the same rule, and two that disagree for a while send the same thing
//! twice, which costs bytes and changes nothing. Within a domain the configuration
//! goes to the domain leader only, which passes it down its tree.

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

/// How long a sign of life counts.
pub const CONTACT_MAX_AGE: Duration = Duration::from_secs(3);
/// Between two digests to a daemon that is level.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(2);
/// Between two digests to a daemon that has not acknowledged the newest revision.
pub const REMIND_INTERVAL: Duration = Duration::from_millis(400);
/// Between two answers to one daemon's requests, so that a storm of them costs little; a
/// delta that cannot be used is followed by everything at once.
pub const ANSWER_INTERVAL: Duration = Duration::from_millis(100);

/// The processes of the cluster, as the settings name them.
#[derive(Clone, Debug)]
pub struct Topology {
    /// This control daemon.
    pub own: DaemonId,
    /// Its run.
    pub boot: BootId,
    /// All control daemons, with their failure domains.
    pub controls: BTreeMap<DaemonId, FailureDomain>,
    /// All entry daemons, with their failure domains.
    pub entries: BTreeMap<DaemonId, FailureDomain>,
}

/// A message to an entry daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigMessage {
    /// To whom.
    pub to: DaemonId,
    /// What.
    pub update: ConfigUpdate,
}

/// A report and when it was heard.
#[derive(Clone, Debug)]
pub struct ReceivedReport {
    /// When.
    pub at: Timestamp,
    /// The report.
    pub report: Arc<DomainReport>,
}

#[derive(Clone, Debug)]
struct HeardControl {
    at: Timestamp,
    boot: BootId,
    hello: ControlHello,
}

/// What one entry daemon was sent and said.
#[derive(Clone, Debug, Default)]
struct Target {
    /// The newest revision that it has or was sent.
    sent: Revision,
    /// The newest revision that it has acknowledged.
    acknowledged: Revision,
    digest_at: Option<Timestamp>,
    answered_at: Option<Timestamp>,
    /// The base of the delta that was the last thing it was sent.
    delta_from: Option<Revision>,
}

/// The decisions of the `spread` thread of a control daemon.
#[derive(Clone, Debug)]
pub struct ControlSpread {
    topology: Topology,
    /// The failure domains that have entry daemons.
    domains: Arc<BTreeSet<FailureDomain>>,
    configs: RecentConfigs,
    /// What this run must hold before it says anything; `None` while nobody has told it.
    floor: Option<Revision>,
    reports: BTreeMap<FailureDomain, ReceivedReport>,
    controls: BTreeMap<DaemonId, HeardControl>,
    targets: BTreeMap<DaemonId, Target>,
}

impl ControlSpread {
    /// Starts without a configuration.
    pub fn new(topology: Topology) -> Self {
        Self {
            domains: Arc::new(topology.entries.values().cloned().collect()),
            topology,
            configs: RecentConfigs::default(),
            floor: None,
            reports: BTreeMap::new(),
            controls: BTreeMap::new(),
            targets: BTreeMap::new(),
        }
    }

    /// Takes over an accepted configuration; an older one than the last is not taken.
    pub fn accept(&mut self, revision: Revision, config: Arc<FleetConfig>) {
        self.configs.accept(revision, config);
    }

    /// Returns the newest accepted revision.
    pub fn revision(&self) -> Revision {
        self.configs.revision()
    }

    /// Returns the last report of each failure domain.
    pub fn reports(&self) -> &BTreeMap<FailureDomain, ReceivedReport> {
        &self.reports
    }

    /// Returns how far the newest accepted revision has come.
    pub fn rollout_status(&self, now: Timestamp) -> RolloutStatus {
        rollout_status(&self.topology.entries, &self.reports, self.revision(), now)
    }

    /// Returns where another control daemon takes operators' requests, if it said so.
    pub fn operator_addresses(&self) -> BTreeMap<DaemonId, crate::ids::Address> {
        let said = |(daemon, heard): (&DaemonId, &HeardControl)| {
            Some((daemon.clone(), heard.hello.operators?))
        };
        self.controls.iter().filter_map(said).collect()
    }

    /// Keeps a report unless a newer one of its domain is known.
    ///
    /// A report of a daemon that the settings do not place in that domain is dropped.
    pub fn handle_domain_report(&mut self, from: &DaemonId, report: DomainReport, now: Timestamp) {
        if self.topology.entries.get(from) != Some(&report.failure_domain) {
            return;
        }
        let number = (report.epoch, report.sequence);
        let known = self.reports.get(&report.failure_domain);
        let is_newer = known.is_none_or(|known| {
            // A domain whose daemons were all restarted counts its epochs anew.
            let is_silent = now.since(known.at) > CONTACT_MAX_AGE;
            is_silent || (known.report.epoch, known.report.sequence) < number
        });
        if is_newer {
            let heard = ReceivedReport {
                at: now,
                report: Arc::new(report),
            };
            self.reports
                .insert(heard.report.failure_domain.clone(), heard);
        }
    }

    /// Notes another control daemon's sign of life.
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
        let heard = HeardControl {
            at: now,
            boot,
            hello,
        };
        self.controls.insert(from, heard);
    }

    /// Takes a revision that a majority was asked for after this run had started.
    pub fn record_confirmed_revision(&mut self, revision: Revision) {
        self.floor.get_or_insert(revision);
    }

    /// Returns whether this run knows that it holds all that was accepted before it.
    pub fn is_level(&self) -> bool {
        self.floor.is_some_and(|floor| floor <= self.revision())
    }

    /// Returns the runs of the other control daemons that were heard last.
    pub fn control_boots(&self) -> BTreeMap<DaemonId, BootId> {
        let heard = self.controls.iter();
        heard
            .map(|(daemon, heard)| (daemon.clone(), heard.boot))
            .collect()
    }

    /// Returns the failure domains whose leaders were heard lately.
    pub fn reachable_domains(&self, now: Timestamp) -> BTreeSet<FailureDomain> {
        let fresh = self
            .reports
            .iter()
            .filter(|(_, heard)| is_fresh(heard.at, now));
        fresh.map(|(domain, _)| domain.clone()).collect()
    }

    /// Notes what a daemon and those below it have applied.
    pub fn handle_config_acknowledgement(&mut self, from: &DaemonId, applied: Revision) {
        if self.topology.entries.contains_key(from) {
            let target = self.targets.entry(from.clone()).or_default();
            target.acknowledged = target.acknowledged.max(applied);
            target.sent = target.sent.max(applied);
        }
    }

    /// Answers a daemon that asks for what is newer than `have`.
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
        // A daemon that asks from the base of the delta that was the last thing it was
        // sent holds something else under that revision, or cannot read deltas.
        let could_not_use = target.delta_from == Some(have);
        if !could_not_use && !is_due(target.answered_at, ANSWER_INTERVAL, now) {
            return None;
        }
        target.answered_at = Some(now);
        target.sent = self.configs.revision();
        let delta = self.configs.delta_from(have).filter(|_| !could_not_use);
        target.delta_from = delta.is_some().then_some(have);
        Some(ConfigMessage {
            to: from.clone(),
            update: delta.unwrap_or_else(|| self.configs.whole()),
        })
    }

    /// Returns what is to be sent now.
    pub fn tick(&mut self, now: Timestamp) -> Vec<ConfigMessage> {
        let mut sendings = Vec::new();
        for domain in Arc::clone(&self.domains).iter() {
            if !self.serves(domain, now) {
                continue;
            }
            for to in self.receivers(domain, now) {
                if let Some(update) = self.update_for(&to, domain, now) {
                    sendings.push(ConfigMessage { to, update });
                }
            }
        }
        sendings
    }

    /// Returns whether this control daemon is the one that serves a failure domain.
    pub fn serves(&self, domain: &FailureDomain, now: Timestamp) -> bool {
        let live = self.live_controls(now);
        let own_of_domain =
            |daemon: &&&DaemonId| self.topology.controls.get(**daemon) == Some(domain);
        if let Some(first) = live.iter().find(own_of_domain) {
            return **first == self.topology.own;
        }
        let hearing: Vec<&DaemonId> = live
            .iter()
            .copied()
            .filter(|daemon| self.is_heard_by(domain, daemon, now))
            .collect();
        let candidates = match hearing.is_empty() {
            true => live,
            false => hearing,
        };
        chosen(domain, &candidates) == Some(&self.topology.own)
    }

    fn live_controls(&self, now: Timestamp) -> Vec<&DaemonId> {
        // One that says nothing to entry daemons serves no domain.
        let is_live = |daemon: &&DaemonId| {
            if **daemon == self.topology.own {
                return self.is_level();
            }
            let heard = self.controls.get(*daemon);
            heard.is_some_and(|heard| heard.hello.is_level && is_fresh(heard.at, now))
        };
        self.topology.controls.keys().filter(is_live).collect()
    }

    fn is_heard_by(&self, domain: &FailureDomain, daemon: &DaemonId, now: Timestamp) -> bool {
        if *daemon == self.topology.own {
            let heard = self.reports.get(domain);
            return heard.is_some_and(|heard| is_fresh(heard.at, now));
        }
        let heard = self.controls.get(daemon);
        heard.is_some_and(|heard| heard.hello.hears.contains(domain))
    }

    /// The domain leader, or everyone in the domain while no leader is heard.
    fn receivers(&self, domain: &FailureDomain, now: Timestamp) -> Vec<DaemonId> {
        let heard = self.reports.get(domain);
        let heard = heard.filter(|heard| is_fresh(heard.at, now));
        let leader = heard.map(|heard| &heard.report.leader);
        // A leader that the settings do not name here cannot be sent to.
        if let Some(leader) = leader.filter(|it| self.topology.entries.contains_key(*it)) {
            return vec![leader.clone()];
        }
        let entries = self.topology.entries.iter();
        let of_domain = entries.filter(|(_, theirs)| *theirs == domain);
        of_domain.map(|(daemon, _)| daemon.clone()).collect()
    }

    fn update_for(
        &mut self,
        to: &DaemonId,
        domain: &FailureDomain,
        now: Timestamp,
    ) -> Option<ConfigUpdate> {
        let revision = self.configs.revision();
        let report = self.reports.get(domain);
        let applied = report.map(|heard| heard.report.applied).unwrap_or_default();
        let target = self.targets.entry(to.clone()).or_default();
        // What every daemon of the domain has applied, its leader has too.
        target.acknowledged = target.acknowledged.max(applied);
        target.sent = target.sent.max(applied);
        if target.sent < revision {
            let delta = self.configs.delta_from(target.sent);
            target.delta_from = delta.is_some().then_some(target.sent);
            target.sent = revision;
            target.digest_at = Some(now);
            // Without a common base a digest lets the daemon say what it has.
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
        // What it asks for now may be a delta that was lost; that costs no whole one.
        target.delta_from = None;
        Some(self.configs.digest())
    }
}

/// Returns whether a sign of life of `at` still counts.
pub fn is_fresh(at: Timestamp, now: Timestamp) -> bool {
    now.since(at) <= CONTACT_MAX_AGE
}

fn is_due(last: Option<Timestamp>, interval: Duration, now: Timestamp) -> bool {
    last.is_none_or(|last| now.since(last) >= interval)
}

/// Spreads the domains over the candidates, in the same way at all of them.
fn chosen<'a>(domain: &FailureDomain, candidates: &[&'a DaemonId]) -> Option<&'a DaemonId> {
    let score = |daemon: &&&DaemonId| xxh3_64(format!("{domain} {daemon}").as_bytes());
    candidates.iter().max_by_key(score).copied()
}
