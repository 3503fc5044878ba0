//! The cluster members that one daemon knows.

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

/// Timeouts of membership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MembersSettings {
    /// The time since the last message from a daemon after which it no longer counts as live.
    pub silent_limit: Duration,
    /// The time after which a daemon that neither sends messages nor is named by a control daemon
    /// is removed; until then a control daemon still gets hellos.
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
    /// When a message from the daemon itself last arrived; `None` if only other daemons have
    /// named it.
    last_contact: Option<Timestamp>,
    /// When the daemon itself last sent a message, or a control daemon last named it.
    last_named_at: Timestamp,
    /// Whether [`Members::newly_silent`] has returned the daemon since its last message.
    is_silence_reported: bool,
}

/// The cluster members that one daemon knows, apart from itself.
#[derive(Clone, Debug)]
pub struct Members {
    me: MemberAddress,
    settings: MembersSettings,
    seeds: BTreeMap<DaemonId, Address>,
    known: BTreeMap<DaemonId, Member>,
}

impl Members {
    /// Returns a list without members; `seeds` are the addresses to contact first.
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

    /// Returns the name, address and role of this daemon.
    pub fn me(&self) -> &MemberAddress {
        &self.me
    }

    /// Replaces the seeds; known members stay.
    pub fn set_seeds(&mut self, seeds: impl IntoIterator<Item = (DaemonId, Address)>) {
        self.seeds = seeds.into_iter().collect();
        self.seeds.remove(&self.me.daemon);
    }

    /// Returns the seeds without this daemon.
    pub fn seeds(&self) -> impl Iterator<Item = (&DaemonId, Address)> {
        self.seeds
            .iter()
            .map(|(daemon, address)| (daemon, *address))
    }

    /// Records a message from a daemon; returns whether the daemon was unknown or silent before.
    pub fn record_contact(&mut self, member: MemberAddress, now: Timestamp) -> bool {
        if member.daemon == self.me.daemon {
            return false;
        }
        let before = self.known.get(&member.daemon);
        let was_live = before.is_some_and(|before| self.is_live(before, now));
        self.known.insert(
            member.daemon.clone(),
            Member {
                address: member,
                last_contact: Some(now),
                last_named_at: now,
                is_silence_reported: false,
            },
        );
        !was_live
    }

    /// Takes in the control daemons that a control daemon has named.
    pub fn handle_update(&mut self, update: &MembersUpdate, now: Timestamp) {
        for control in &update.controls {
            if control.daemon == self.me.daemon {
                continue;
            }
            let entry = self.known.entry(control.daemon.clone());
            let member = entry.or_insert_with(|| Member {
                address: control.clone(),
                last_contact: None,
                last_named_at: now,
                is_silence_reported: false,
            });
            member.last_named_at = now;
        }
    }

    /// Returns the daemons to send a `Hello` to: the known control daemons and all seeds.
    pub fn hello_targets(&self) -> BTreeMap<DaemonId, Address> {
        let controls = self.known.values();
        let controls = controls.filter(|member| member.address.role == DaemonRole::Control);
        let mut targets: BTreeMap<DaemonId, Address> = controls
            .map(|member| (member.address.daemon.clone(), member.address.address))
            .collect();
        for (daemon, address) in &self.seeds {
            targets.entry(daemon.clone()).or_insert(*address);
        }
        targets
    }

    /// Returns the other daemons with this role that sent a message within the silence limit.
    pub fn live_members(
        &self,
        role: DaemonRole,
        now: Timestamp,
    ) -> impl Iterator<Item = &MemberAddress> {
        self.known
            .values()
            .filter(move |member| member.address.role == role && self.is_live(member, now))
            .map(|member| &member.address)
    }

    /// Returns the time since the last message from a daemon; `None` if there was none.
    pub fn silent_for(&self, daemon: &DaemonId, now: Timestamp) -> Option<Duration> {
        let last_contact = self.known.get(daemon)?.last_contact?;
        Some(now.since(last_contact))
    }

    /// Returns the daemons that have become silent since the last call, with the time since the
    /// last message of each.
    pub fn newly_silent(&mut self, now: Timestamp) -> Vec<(DaemonId, Duration)> {
        let mut silent = Vec::new();
        for (daemon, member) in &mut self.known {
            let Some(last_contact) = member.last_contact else {
                continue;
            };
            let silence = now.since(last_contact);
            if silence > self.settings.silent_limit && !member.is_silence_reported {
                member.is_silence_reported = true;
                silent.push((daemon.clone(), silence));
            }
        }
        silent
    }

    /// Returns the address and role of a known daemon.
    pub fn get(&self, daemon: &DaemonId) -> Option<&MemberAddress> {
        self.known.get(daemon).map(|member| &member.address)
    }

    /// Returns the live control daemons, the preferred one first.
    ///
    /// The order is rotated by a number derived from this daemon's name, so that daemons prefer
    /// different control daemons. Then those of this daemon's failure domain are moved to the
    /// front; within both parts the order stays.
    pub fn controls_by_preference(&self, now: Timestamp) -> Vec<DaemonId> {
        let mut controls: Vec<&MemberAddress> =
            self.live_members(DaemonRole::Control, now).collect();
        let name = self.me.daemon.as_str();
        let rotation = name.bytes().map(usize::from).sum::<usize>();
        if let Some(first) = rotation.checked_rem(controls.len()) {
            controls.rotate_left(first);
        }
        controls.sort_by_key(|control| control.failure_domain != self.me.failure_domain);
        controls
            .into_iter()
            .map(|control| control.daemon.clone())
            .collect()
    }

    /// Removes the daemons that have neither sent a message nor been named by a control daemon
    /// within [`MembersSettings::forgotten_after`]; returns them.
    pub fn forget_old(&mut self, now: Timestamp) -> BTreeSet<DaemonId> {
        let limit = self.settings.forgotten_after;
        let mut forgotten = BTreeSet::new();
        self.known.retain(|daemon, member| {
            let last = member
                .last_contact
                .unwrap_or_default()
                .max(member.last_named_at);
            let keep = now.since(last) < limit;
            if !keep {
                forgotten.insert(daemon.clone());
            }
            keep
        });
        forgotten
    }

    fn is_live(&self, member: &Member, now: Timestamp) -> bool {
        let last_contact = member.last_contact;
        last_contact.is_some_and(|at| now.since(at) <= self.settings.silent_limit)
    }
}
