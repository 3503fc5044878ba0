//! Which upstreams are alive, by what they announce.
//!
//! An upstream that is late is first suspected, which keeps new work from it,
//! and declared dead only when its lease has ended. If this process itself was
//! stopped, the time it lost counts against nobody's lease, or it would declare
//! every upstream dead on waking.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use displaydoc::Display;
use thiserror::Error;

use crate::{
    chart::UpstreamState,
    domain::parameters::DomainTiming,
    ids::Address,
    prelude::*,
    upstream_api::{
        Announcement,
        EngineState,
        Membership,
        UpstreamKind, //
    },
};

/// How long a dead upstream is remembered, so that reports name it.
const REMEMBERED: Duration = Duration::from_secs(600);

/// Whether an upstream may be used.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Liveness {
    /// announces in time
    Live,
    /// announcements are overdue
    Suspect,
    /// its lease has ended
    Dead,
}

/// Why an announcement is not taken in.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AnnouncementRefusal {
    /// {vm} is announced by two processes: {kept} is kept, {refused} is refused
    TwoVmsOneId {
        /// The name both use.
        vm: VmId,
        /// The address of the one that is kept.
        kept: Address,
        /// The address of the one that is refused.
        refused: Address,
    },
    /// {vm} belongs to the failure domain {announced}, not to this one
    OtherDomain {
        /// The upstream.
        vm: VmId,
        /// The domain it names.
        announced: FailureDomain,
    },
    /// an announcement of {vm} with a number that was already heard
    Outdated {
        /// The upstream.
        vm: VmId,
    },
}

/// How an announcement came here.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// From the upstream itself.
    Direct {
        /// A time at which the upstream certainly had not yet made it, if one is known.
        made_after: Option<Timestamp>,
    },
    /// From another daemon of the domain.
    Relayed,
}

/// One upstream and the last that was heard of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Its newest announcement.
    pub announcement: Announcement,
    /// When that was received.
    pub received_at: Timestamp,
    /// How it came.
    pub source: Source,
    /// When this upstream was last heard directly.
    pub direct_at: Option<Timestamp>,
    /// Time that this process was stopped since then.
    paused: Duration,
    /// Until when it is not used because another process uses its name.
    conflict_until: Timestamp,
    previous_address: Option<(Address, Timestamp)>,
}

impl Upstream {
    /// Returns what it is as an engine.
    pub fn engine(&self) -> Option<&EngineState> {
        match &self.announcement.kind {
            UpstreamKind::Engine(state) => Some(state),
            UpstreamKind::Plain { .. } => None,
        }
    }

    /// Returns the plain service it offers.
    pub fn plain_service(&self) -> Option<&ServiceName> {
        match &self.announcement.kind {
            UpstreamKind::Engine(_) => None,
            UpstreamKind::Plain { service } => Some(service),
        }
    }

    /// Returns the group it says it is in.
    pub fn membership(&self) -> Option<&Membership> {
        self.engine().and_then(|state| state.membership.as_ref())
    }
}

/// All upstreams that a daemon knows.
#[derive(Clone, Debug)]
pub struct Upstreams {
    timing: DomainTiming,
    failure_domain: FailureDomain,
    known: BTreeMap<VmId, Upstream>,
}

impl Upstreams {
    /// Knows nobody yet.
    pub fn new(failure_domain: FailureDomain, timing: DomainTiming) -> Self {
        Self {
            timing,
            failure_domain,
            known: BTreeMap::new(),
        }
    }

    /// Takes an announcement in; returns whether anything but load changed.
    ///
    /// # Errors
    ///
    /// Returns [`AnnouncementRefusal`] if it must not be used.
    pub fn handle_announcement(
        &mut self,
        announcement: Announcement,
        source: Source,
        now: Timestamp,
    ) -> Result<bool, AnnouncementRefusal> {
        self.check_domain(&announcement)?;
        let before = self.known.get(&announcement.vm);
        let previous_address = match self.check(before, &announcement, source, now) {
            Ok(previous_address) => previous_address,
            Err(refusal) => {
                self.mark_conflict(&announcement, &refusal, now);
                return Err(refusal);
            }
        };
        let changed = before.is_none_or(|before| {
            self.liveness_of(before, now) != Liveness::Live
                || before.announcement.boot != announcement.boot
                || before.announcement.address != announcement.address
                || before.announcement.kind != announcement.kind
                || before.announcement.leaving != announcement.leaving
        });
        let direct_at = match source {
            Source::Direct { .. } => Some(now),
            Source::Relayed => before.and_then(|before| before.direct_at),
        };
        let conflict_until = before.map_or(Timestamp(0), |before| before.conflict_until);
        let heard = Upstream {
            received_at: now,
            source,
            direct_at,
            paused: Duration::ZERO,
            conflict_until,
            previous_address,
            announcement,
        };
        self.known.insert(heard.announcement.vm.clone(), heard);
        Ok(changed)
    }

    /// Returns what is known of a VM.
    pub fn get(&self, vm: &VmId) -> Option<&Upstream> {
        self.known.get(vm)
    }

    /// Returns all that are known, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &Upstream)> {
        self.known.iter()
    }

    /// Returns whether a VM is alive; one that was never heard is dead.
    pub fn liveness(&self, vm: &VmId, now: Timestamp) -> Liveness {
        let upstream = self.known.get(vm);
        upstream.map_or(Liveness::Dead, |upstream| self.liveness_of(upstream, now))
    }

    /// Returns a VM's state by the name in the upstream's state chart.
    pub fn state(&self, vm: &VmId, now: Timestamp) -> UpstreamState {
        let Some(upstream) = self.known.get(vm) else {
            return UpstreamState::Unknown;
        };
        if now < upstream.conflict_until {
            return UpstreamState::Conflict;
        }
        match self.liveness_of(upstream, now) {
            Liveness::Dead => UpstreamState::Dead,
            _ if upstream.announcement.leaving => UpstreamState::Leaving,
            Liveness::Suspect => UpstreamState::Suspect,
            Liveness::Live => UpstreamState::Alive,
        }
    }

    /// Returns an upstream if its announcement still counts for serving.
    ///
    /// Without a routing lease the leader may have moved the VM without this
    /// daemon's knowledge, so only an announcement counts of which it is certain
    /// that it was made within the last upstream lease: a delayed or relayed one
    /// might tell of a group that the VM has left. The same goes for one that came
    /// before the routing lease began, for example while this process was stopped.
    pub fn current(
        &self,
        vm: &VmId,
        routing_lease_since: Option<Timestamp>,
        now: Timestamp,
    ) -> Option<&Upstream> {
        let upstream = self.known.get(vm)?;
        if now < upstream.conflict_until {
            return None;
        }
        let received_at = upstream.received_at;
        let is_covered = routing_lease_since.is_some_and(|since| received_at >= since);
        let counted_from = match (is_covered, upstream.source) {
            (true, _) => received_at,
            (false, Source::Direct { made_after }) => made_after?,
            (false, Source::Relayed) => return None,
        };
        let is_current = now.since(counted_from) < self.timing.upstream_lease;
        is_current.then_some(upstream)
    }

    /// Returns those that announce themselves to this daemon.
    pub fn direct_upstreams(&self, now: Timestamp) -> BTreeSet<VmId> {
        let lease = self.timing.upstream_lease;
        let heard = self.known.iter().filter(|(_, upstream)| {
            let silent = |at| now.since(at).saturating_sub(upstream.paused);
            upstream.direct_at.is_some_and(|at| silent(at) < lease)
        });
        heard.map(|(vm, _)| vm.clone()).collect()
    }

    /// Credits every upstream with time in which this process itself was stopped.
    pub fn credit_pause(&mut self, length: Duration) {
        for upstream in self.known.values_mut() {
            upstream.paused += length;
        }
    }

    /// Forgets those that have been dead for long.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.known
            .retain(|_, upstream| now.since(upstream.received_at) < REMEMBERED);
    }

    fn liveness_of(&self, upstream: &Upstream, now: Timestamp) -> Liveness {
        let silent = now
            .since(upstream.received_at)
            .saturating_sub(upstream.paused);
        let lease = self.timing.upstream_lease;
        // An announcement may be lost or late once; the second missing one is suspicious.
        let patience = (self.timing.announce_interval * 5 / 2).min(lease);
        if silent >= lease {
            Liveness::Dead
        } else if silent >= patience {
            Liveness::Suspect
        } else {
            Liveness::Live
        }
    }

    fn check_domain(&self, announcement: &Announcement) -> Result<(), AnnouncementRefusal> {
        if announcement.failure_domain == self.failure_domain {
            return Ok(());
        }
        Err(AnnouncementRefusal::OtherDomain {
            vm: announcement.vm.clone(),
            announced: announcement.failure_domain.clone(),
        })
    }

    /// Keeps both of two processes with one name and one run out of use.
    ///
    /// Nothing orders them, so daemons would disagree on which one is meant.
    fn mark_conflict(
        &mut self,
        announcement: &Announcement,
        refusal: &AnnouncementRefusal,
        now: Timestamp,
    ) {
        let AnnouncementRefusal::TwoVmsOneId { vm, .. } = refusal else {
            return;
        };
        let until = now + self.timing.upstream_lease;
        if let Some(known) = self.known.get_mut(vm)
            && known.announcement.boot == announcement.boot
        {
            known.conflict_until = until;
        }
    }

    /// Compares with the announcement before; returns the address to remember as the former one.
    fn check(
        &self,
        before: Option<&Upstream>,
        announcement: &Announcement,
        source: Source,
        now: Timestamp,
    ) -> Result<Option<(Address, Timestamp)>, AnnouncementRefusal> {
        let Some(before) = before else {
            return Ok(None);
        };
        let known = &before.announcement;
        let is_dead = self.liveness_of(before, now) == Liveness::Dead;
        let two_vms = || AnnouncementRefusal::TwoVmsOneId {
            vm: known.vm.clone(),
            kept: known.address,
            refused: announcement.address,
        };
        if announcement.boot != known.boot {
            // A restarted process draws a new number. The higher one is kept, so
            // that all daemons refuse the same one of two that live at once.
            if announcement.boot < known.boot && !is_dead {
                return Err(two_vms());
            }
            return Ok(None);
        }
        // The same announcement counts once more if it was only relayed before.
        let is_first_direct = before.source == Source::Relayed && source != Source::Relayed;
        let is_repeated = announcement.sequence == known.sequence && !is_first_direct;
        if announcement.sequence < known.sequence || is_repeated {
            return Err(AnnouncementRefusal::Outdated {
                vm: known.vm.clone(),
            });
        }
        if announcement.address == known.address {
            return Ok(before.previous_address);
        }
        match before.previous_address {
            // The address changed and now changes back while the other is in use: a copied VM.
            Some((former, left_at))
                if former == announcement.address
                    && now.since(left_at) < self.timing.upstream_lease =>
            {
                Err(two_vms())
            }
            _ => Ok(Some((known.address, now))),
        }
    }
}
