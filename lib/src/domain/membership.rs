//! The upstreams of a failure domain and their liveness, by their announcements.
//!
//! A late upstream first becomes suspect, which keeps new requests from it, and is declared
//! dead only when its lease has ended. The time in which this process itself was suspended
//! doesn't count against any upstream's lease. Otherwise every upstream would be declared dead
//! when the process resumes.

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

/// How long after its last announcement an upstream stays known, so that reports still name a
/// dead one.
const RETENTION: Duration = Duration::from_secs(600);

/// The liveness of an upstream, by the time since its newest announcement.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Liveness {
    /// announces in time
    Live,
    /// announcements are overdue
    Suspect,
    /// its lease has ended
    Dead,
}

/// Why an announcement is refused.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq)]
pub enum AnnouncementRefusal {
    /// {vm} is announced by two processes: {kept} is kept, {refused} is refused
    TwoVmsOneId {
        /// The VM name that both processes use.
        vm: VmId,
        /// The address that stays in use.
        kept: Address,
        /// The address of the refused announcement.
        refused: Address,
    },
    /// {vm} belongs to the failure domain {announced}, not to this one
    OtherDomain {
        /// The name of the announcing VM.
        vm: VmId,
        /// The failure domain that the announcement names.
        announced: FailureDomain,
    },
    /// announcement of {vm} is no newer than the last one received
    Outdated {
        /// The name of the announcing VM.
        vm: VmId,
    },
}

/// The way by which an announcement reached this daemon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// From the upstream itself.
    Direct {
        /// A time before which the upstream certainly had not made the announcement, if one is
        /// known.
        made_after: Option<Timestamp>,
    },
    /// Relayed by another daemon of the domain.
    Relayed,
}

/// An upstream and its newest announcement.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The newest announcement.
    pub announcement: Announcement,
    /// When the newest announcement was received.
    pub received_at: Timestamp,
    /// The way by which the newest announcement arrived.
    pub source: Source,
    /// When the last announcement from the upstream itself was received; `None` if all were
    /// relayed.
    pub direct_at: Option<Timestamp>,
    /// How long this process was suspended since the newest announcement was received.
    paused: Duration,
    /// Until when the upstream is out of use because another process announces the same name.
    conflict_until: Timestamp,
    /// The address before the present one, and when it changed.
    previous_address: Option<(Address, Timestamp)>,
}

impl Upstream {
    /// Returns the engine's state; `None` for a plain service.
    pub fn engine(&self) -> Option<&EngineState> {
        match &self.announcement.kind {
            UpstreamKind::Engine(state) => Some(state),
            UpstreamKind::Plain { .. } => None,
        }
    }

    /// Returns the plain service that the upstream offers; `None` for an engine.
    pub fn plain_service(&self) -> Option<&ServiceName> {
        match &self.announcement.kind {
            UpstreamKind::Engine(_) => None,
            UpstreamKind::Plain { service } => Some(service),
        }
    }

    /// Returns the group membership that the engine announces, if any.
    pub fn membership(&self) -> Option<&Membership> {
        self.engine().and_then(|state| state.membership.as_ref())
    }
}

/// The upstreams of a failure domain, as known to one daemon.
#[derive(Clone, Debug)]
pub struct Upstreams {
    timing: DomainTiming,
    failure_domain: FailureDomain,
    known: BTreeMap<VmId, Upstream>,
}

impl Upstreams {
    /// Returns a set without upstreams.
    pub fn new(failure_domain: FailureDomain, timing: DomainTiming) -> Self {
        Self {
            timing,
            failure_domain,
            known: BTreeMap::new(),
        }
    }

    /// Takes in an announcement; returns whether anything but load changed.
    ///
    /// # Errors
    ///
    /// Returns [`AnnouncementRefusal`] if the announcement must not be used.
    pub fn handle_announcement(
        &mut self,
        announcement: Announcement,
        source: Source,
        now: Timestamp,
    ) -> Result<bool, AnnouncementRefusal> {
        self.check_domain(&announcement)?;
        let before = self.known.get(&announcement.vm);
        let previous_address = match self.check_against_previous(before, &announcement, source, now)
        {
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
        let received = Upstream {
            received_at: now,
            source,
            direct_at,
            paused: Duration::ZERO,
            conflict_until,
            previous_address,
            announcement,
        };
        self.known
            .insert(received.announcement.vm.clone(), received);
        Ok(changed)
    }

    /// Returns the upstream of a VM, dead or not; `None` if it has never announced itself or
    /// was removed.
    pub fn get(&self, vm: &VmId) -> Option<&Upstream> {
        self.known.get(vm)
    }

    /// Returns all known upstreams, dead ones included.
    pub fn iter(&self) -> impl Iterator<Item = (&VmId, &Upstream)> {
        self.known.iter()
    }

    /// Returns a VM's liveness; an unknown VM counts as dead.
    pub fn liveness(&self, vm: &VmId, now: Timestamp) -> Liveness {
        let upstream = self.known.get(vm);
        upstream.map_or(Liveness::Dead, |upstream| self.liveness_of(upstream, now))
    }

    /// Returns a VM's state by the upstream's state chart.
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

    /// Returns an upstream if its announcement may be used for routing.
    ///
    /// Without a routing lease, the leader may have moved the VM without this daemon's
    /// knowledge. Then only an announcement that was certainly made within the last upstream
    /// lease counts; a delayed or relayed one might name a group that the VM has left. The same
    /// goes for an announcement from before the start of the routing lease, for example from
    /// before a suspension of this process.
    pub fn current_upstream(
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

    /// Returns the VMs that currently announce themselves to this daemon.
    pub fn direct_upstreams(&self, now: Timestamp) -> BTreeSet<VmId> {
        let lease = self.timing.upstream_lease;
        let received = self.known.iter().filter(|(_, upstream)| {
            let silent = |at| now.since(at).saturating_sub(upstream.paused);
            upstream.direct_at.is_some_and(|at| silent(at) < lease)
        });
        received.map(|(vm, _)| vm.clone()).collect()
    }

    /// Credits every upstream with a time in which this process was suspended.
    pub fn credit_pause(&mut self, length: Duration) {
        for upstream in self.known.values_mut() {
            upstream.paused += length;
        }
    }

    /// Removes the upstreams whose last announcement is too old.
    pub fn forget_old(&mut self, now: Timestamp) {
        self.known
            .retain(|_, upstream| now.since(upstream.received_at) < RETENTION);
    }

    /// Returns the liveness by the time since the newest announcement, without suspensions of
    /// this process.
    fn liveness_of(&self, upstream: &Upstream, now: Timestamp) -> Liveness {
        let silent = now
            .since(upstream.received_at)
            .saturating_sub(upstream.paused);
        let lease = self.timing.upstream_lease;
        // One announcement may be lost or late; the second missing one makes the upstream
        // suspect.
        let suspect_after = (self.timing.announce_interval * 5 / 2).min(lease);
        if silent >= lease {
            Liveness::Dead
        } else if silent >= suspect_after {
            Liveness::Suspect
        } else {
            Liveness::Live
        }
    }

    /// Refuses an announcement of another failure domain.
    fn check_domain(&self, announcement: &Announcement) -> Result<(), AnnouncementRefusal> {
        if announcement.failure_domain == self.failure_domain {
            return Ok(());
        }
        Err(AnnouncementRefusal::OtherDomain {
            vm: announcement.vm.clone(),
            announced: announcement.failure_domain.clone(),
        })
    }

    /// Marks a name as in conflict if two processes with one boot number announce it.
    ///
    /// Nothing orders the two, so daemons would disagree on which one to use; neither is used.
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

    /// Compares an announcement with the one before; returns the former address to store, with
    /// the time of the change.
    fn check_against_previous(
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
            // A restarted process picks a new random boot number. The higher number stays in
            // use, so that of two live processes all daemons refuse the same one.
            if announcement.boot < known.boot && !is_dead {
                return Err(two_vms());
            }
            return Ok(None);
        }
        // An announcement that was only relayed before counts once more when the upstream
        // itself delivers it.
        let is_first_direct = before.source == Source::Relayed && source != Source::Relayed;
        let is_duplicate = announcement.sequence == known.sequence && !is_first_direct;
        if announcement.sequence < known.sequence || is_duplicate {
            return Err(AnnouncementRefusal::Outdated {
                vm: known.vm.clone(),
            });
        }
        if announcement.address == known.address {
            return Ok(before.previous_address);
        }
        match before.previous_address {
            // The address changes back while the other one is in use: two copies of one VM.
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
