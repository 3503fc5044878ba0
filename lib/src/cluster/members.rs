//! The daemons that one daemon knows.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use crate::{
    ids::Address,
    peer_api::{
        DaemonRole,
        MemberAddress,
        MembersUpdate, //
    },
    prelude::*,
};

/// The times that membership goes by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembersSettings {
    /// How long a daemon may be silent and still count as there.
    pub silent_limit: Duration,
    /// How long a silent daemon is still greeted.
    pub forgotten_after: Duration,
}

impl Default for MembersSettings {
    fn default() -> Self {
        Self {
            silent_limit: Duration::from_millis(1_500),
            forgotten_after: Duration::from_secs(60),
        }
    }
}

#[derive(Clone, Debug)]
struct Member {
    address: MemberAddress,
    /// When the daemon itself was last heard; `None` if only others speak of it.
    last_contact: Option<Timestamp>,
    named_at: Timestamp,
    /// Whether [`Members::newly_silent`] has told of its silence.
    is_told_silent: bool,
}

/// The daemons that one daemon knows.
#[derive(Clone, Debug)]
pub struct Members {
    me: MemberAddress,
    settings: MembersSettings,
    seeds: BTreeMap<DaemonId, Address>,
    known: BTreeMap<DaemonId, Member>,
}

impl Members {
    /// Starts with nothing but seeds.
    pub fn new(
        me: MemberAddress,
        seeds: impl IntoIterator<Item = (DaemonId, Address)>,
        settings: MembersSettings,
    ) -> Self {
        let mut members = Self {
            me,
            settings,
            seeds: BTreeMap::new(),
            known: BTreeMap::new(),
        };
        members.set_seeds(seeds);
        members
    }

    /// Returns this daemon.
    pub fn me(&self) -> &MemberAddress {
        &self.me
    }

    /// Replaces the seeds; daemons that were found stay known.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = (DaemonId, Address)>) {
        self.seeds = seeds.into_iter().collect();
        self.seeds.remove(&self.me.daemon);
    }

    /// Returns the seeds but this daemon.
    pub fn seeds(&self) -> impl Iterator<Item = (&DaemonId, Address)> {
        self.seeds
            .iter()
            .map(|(daemon, address)| (daemon, *address))
    }

    /// Notes that a daemon was heard; returns whether it had been unknown or silent.
    pub fn heard(&mut self, member: MemberAddress, now: Timestamp) -> bool {
        if member.daemon == self.me.daemon {
            return false;
        }
        let before = self.known.get(&member.daemon);
        let was_here = before.is_some_and(|before| self.is_here(before, now));
        self.known.insert(
            member.daemon.clone(),
            Member {
                address: member,
                last_contact: Some(now),
                named_at: now,
                is_told_silent: false,
            },
        );
        !was_here
    }

    /// Takes in whom a control daemon knows.
    pub fn take_roster(&mut self, news: &MembersUpdate, now: Timestamp) {
        for control in &news.controls {
            if control.daemon == self.me.daemon {
                continue;
            }
            let entry = self.known.entry(control.daemon.clone());
            let member = entry.or_insert_with(|| Member {
                address: control.clone(),
                last_contact: None,
                named_at: now,
                is_told_silent: false,
            });
            member.named_at = now;
        }
    }

    /// Returns whom to say hello to now.
    pub fn hello_targets(&self) -> BTreeMap<DaemonId, Address> {
        let controls = self.known.values();
        let controls = controls.filter(|member| member.address.role == DaemonRole::Control);
        let mut greeted: BTreeMap<DaemonId, Address> = controls
            .map(|member| (member.address.daemon.clone(), member.address.address))
            .collect();
        for (daemon, address) in &self.seeds {
            greeted.entry(daemon.clone()).or_insert(*address);
        }
        greeted
    }

    /// Returns the daemons of a role that were heard lately, without this one.
    pub fn live_members(
        &self,
        role: DaemonRole,
        now: Timestamp,
    ) -> impl Iterator<Item = &MemberAddress> {
        self.known
            .values()
            .filter(move |member| member.address.role == role && self.is_here(member, now))
            .map(|member| &member.address)
    }

    /// Returns how long ago a daemon was heard; `None` if it never was.
    pub fn silent_for(&self, daemon: &DaemonId, now: Timestamp) -> Option<Duration> {
        let last_contact = self.known.get(daemon)?.last_contact?;
        Some(now.since(last_contact))
    }

    /// Returns the daemons that have fallen silent since this was last asked, and for how long
    /// they have been.
    pub fn newly_silent(&mut self, now: Timestamp) -> Vec<(DaemonId, Duration)> {
        let mut silent = Vec::new();
        for (daemon, member) in &mut self.known {
            let Some(last_contact) = member.last_contact else {
                continue;
            };
            let silence = now.since(last_contact);
            if silence > self.settings.silent_limit && !member.is_told_silent {
                member.is_told_silent = true;
                silent.push((daemon.clone(), silence));
            }
        }
        silent
    }

    /// Returns what is known of a daemon.
    pub fn get(&self, daemon: &DaemonId) -> Option<&MemberAddress> {
        self.known.get(daemon).map(|member| &member.address)
    }

    /// Returns the control daemons that were heard lately, those to be asked first in front.
    ///
    /// One of the own failure domain comes first; otherwise the choice is spread by name.
    pub fn controls_by_preference(&self, now: Timestamp) -> Vec<DaemonId> {
        let mut controls: Vec<&MemberAddress> =
            self.live_members(DaemonRole::Control, now).collect();
        let name = self.me.daemon.as_str();
        let spread = name.bytes().map(usize::from).sum::<usize>();
        if let Some(first) = spread.checked_rem(controls.len()) {
            controls.rotate_left(first);
        }
        controls.sort_by_key(|control| control.failure_domain != self.me.failure_domain);
        controls
            .into_iter()
            .map(|control| control.daemon.clone())
            .collect()
    }

    /// Forgets daemons that nobody has heard for long.
    pub fn forget_old(&mut self, now: Timestamp) -> BTreeSet<DaemonId> {
        let limit = self.settings.forgotten_after;
        let mut forgotten = BTreeSet::new();
        self.known.retain(|daemon, member| {
            let last = member.last_contact.unwrap_or_default().max(member.named_at);
            let keep = now.since(last) < limit;
            if !keep {
                forgotten.insert(daemon.clone());
            }
            keep
        });
        forgotten
    }

    fn is_here(&self, member: &Member, now: Timestamp) -> bool {
        let last_contact = member.last_contact;
        last_contact.is_some_and(|at| now.since(at) <= self.settings.silent_limit)
    }
}
