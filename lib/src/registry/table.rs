//! The newest report of each run.

use std::{
    collections::{
        BTreeMap,
        HashMap, //
    },
    time::Duration,
};

use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    GroupStatus,
    InstanceId,
    Registration,
    UpstreamState, //
};
use crate::{
    ids::Address,
    prelude::*, //
};

/// How long a run that has ended is remembered, so that its late reports are recognised.
const REMEMBERED: Duration = Duration::from_secs(120);
/// A run that reported within this time holds its address against another one.
const HOLDS_ADDRESS: Duration = Duration::from_millis(2_500);
/// How long a silent run is kept; long after it was taken out of use.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// A report on its way between daemons.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedReport {
    /// What was reported.
    pub registration: Registration,
    /// How long ago a daemon received it from the upstream itself.
    pub age: Duration,
}

/// A sign of life of a run whose last change was told before.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Alive {
    /// The run.
    pub id: InstanceId,
    /// The number of the report that changed something last.
    pub changed_by: u64,
}

/// What is known of one run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownInstance {
    /// Its newest report.
    pub registration: Registration,
    /// When that report, or a later sign of life, was received by some daemon.
    pub last_contact: Timestamp,
    /// The number of the report that last changed something besides the time.
    pub changed_by: u64,
    /// How often a later report, or a sign of life, has followed the first one.
    ///
    /// The first report that is heard of a run may have been long on its way.
    pub confirmations: u32,
}

impl KnownInstance {
    /// Returns whether it takes new work, by its own word.
    pub fn is_ready(&self) -> bool {
        self.registration.state == UpstreamState::Ready
    }

    /// Returns the group that it reports, if it is an engine in one.
    pub fn group(&self) -> Option<&GroupStatus> {
        self.registration.group()
    }

    /// Returns how long it has been silent.
    pub fn silent_for(&self, now: Timestamp) -> Duration {
        now.since(self.last_contact)
    }
}

/// Why a run has ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ended {
    /// It has said that it leaves; it may still work off what it has.
    Left,
    /// Another run has its address, or nothing listens there: it does nothing any more.
    Dead,
}

/// What taking a report in has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Taken {
    /// The run was unknown.
    New,
    /// Something besides the time has changed.
    Changed,
    /// It only shows that the run still lives.
    Refreshed,
    /// It is older than what is known, or of a run that has ended.
    Stale,
}

/// All runs that are known.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    known: BTreeMap<InstanceId, KnownInstance>,
    by_address: HashMap<Address, InstanceId>,
    ended: BTreeMap<InstanceId, (Timestamp, Ended)>,
    /// Strangers at an address that another run holds: the number of their first report
    /// and when it came.
    strangers: HashMap<InstanceId, (u64, Timestamp)>,
}

impl Registry {
    /// Takes a report in.
    pub fn handle_report(&mut self, heard: ReceivedReport, now: Timestamp) -> Taken {
        let ReceivedReport { registration, age } = heard;
        let last_contact = Timestamp(now.0.saturating_sub(millis(age)));
        let id = registration.id.clone();
        if self.ended(&id) == Some(Ended::Left) || self.is_outlived(&id) {
            return Taken::Stale;
        }
        if let Some(known) = self.known.get_mut(&id) {
            return renew(known, registration, last_contact);
        }
        // What is known of an earlier run is void: it was lost with it.
        if let Some(earlier) = self.run_of(&id) {
            self.end(&earlier, Ended::Dead, now);
        }
        if !self.may_take_address(&registration, now) {
            return Taken::Stale;
        }
        let address = registration.address;
        if let Some(before) = self.by_address.remove(&address) {
            self.end(&before, Ended::Dead, now);
        }
        self.by_address.insert(address, id.clone());
        self.strangers.remove(&id);
        self.ended.remove(&id);
        let known = KnownInstance {
            changed_by: registration.sequence,
            registration,
            last_contact,
            confirmations: 0,
        };
        self.known.insert(id, known);
        Taken::New
    }

    /// Returns the run that is known of an upstream, whichever run of it is asked for.
    pub fn run_of(&self, id: &InstanceId) -> Option<InstanceId> {
        let mut runs = self.known.range(id.all_runs());
        runs.next_back().map(|(run, _)| run.clone())
    }

    /// Returns whether a later run of the same upstream was heard.
    ///
    /// A report of an earlier run may be seconds late. It would show an engine in a group that
    /// it has forgotten, and requests would be sent to a group that is not whole.
    fn is_outlived(&self, id: &InstanceId) -> bool {
        let runs = id.all_runs();
        self.known
            .range(runs.clone())
            .next_back()
            .is_some_and(|(run, _)| id.is_before(run))
            || self
                .ended
                .range(runs)
                .next_back()
                .is_some_and(|(run, _)| id.is_before(run))
    }

    /// Returns whether a run that is unknown here has its address.
    ///
    /// A report that was delayed may come from a run that ended long ago, while the
    /// address has another one. Taking that one for dead would set the members of its
    /// group free while it serves. So a stranger gets the address of a run that was
    /// heard lately only if it reports twice, with nothing of the holder in between.
    fn may_take_address(&mut self, registration: &Registration, now: Timestamp) -> bool {
        let id = &registration.id;
        let was_ended = self.ended.contains_key(id);
        let holder = self.by_address.get(&registration.address);
        let holder = holder.and_then(|holder| self.known.get(holder));
        let last_contact = holder.map(|known| known.last_contact);
        let is_held = last_contact.is_some_and(|at| now.since(at) < HOLDS_ADDRESS);
        if !is_held && !was_ended {
            return true;
        }
        let sequence = registration.sequence;
        match self.strangers.get(id) {
            Some((first, at))
                if *first < sequence && last_contact.is_none_or(|heard| heard <= *at) =>
            {
                true
            }
            Some((first, at))
                if *first >= sequence || last_contact.is_none_or(|heard| heard <= *at) =>
            {
                false
            }
            _ => {
                self.strangers.insert(id.clone(), (sequence, now));
                false
            }
        }
    }

    /// Notes that a run has ended; returns whether that is news.
    pub fn end(&mut self, id: &InstanceId, how: Ended, now: Timestamp) -> bool {
        let before = self.ended.insert(id.clone(), (now, how));
        if let Some((at, Ended::Dead)) = before {
            // What is dead does not work off anything any more.
            self.ended.insert(id.clone(), (at, Ended::Dead));
        }
        self.remove(id)
    }

    /// Removes what is known of a run; returns whether anything was.
    fn remove(&mut self, id: &InstanceId) -> bool {
        let Some(known) = self.known.remove(id) else {
            return false;
        };
        let address = known.registration.address;
        if self.by_address.get(&address) == Some(id) {
            self.by_address.remove(&address);
        }
        true
    }

    /// Returns the run that word of an end is about.
    ///
    /// An upstream that leaves gives its name only, and the daemon that it tells may have been
    /// started a moment ago and know no run of it. Whoever knows one takes it to be meant; if
    /// nobody did, the upstream would get requests until it has ended.
    pub fn meant_by(&self, id: &InstanceId) -> InstanceId {
        match id.tells_start() {
            true => id.clone(),
            false => self.run_of(id).unwrap_or_else(|| id.clone()),
        }
    }

    /// Returns how a run has ended, if it has.
    pub fn ended(&self, id: &InstanceId) -> Option<Ended> {
        self.ended.get(id).map(|(_, how)| *how)
    }

    /// Notes a sign of life; returns whether all that it stands for is known here.
    pub fn touch(&mut self, alive: &Alive, age: Duration, now: Timestamp) -> bool {
        let last_contact = Timestamp(now.0.saturating_sub(millis(age)));
        if self.ended.contains_key(&alive.id) || self.is_outlived(&alive.id) {
            return true;
        }
        let Some(known) = self.known.get_mut(&alive.id) else {
            return false;
        };
        known.last_contact = known.last_contact.max(last_contact);
        let is_up_to_date = known.changed_by >= alive.changed_by;
        if is_up_to_date {
            known.confirmations = known.confirmations.saturating_add(1);
        }
        is_up_to_date
    }

    /// Changes a report by what the run itself has answered to an order.
    pub fn amend(&mut self, id: &InstanceId, change: impl FnOnce(&mut Registration)) {
        if let Some(known) = self.known.get_mut(id) {
            change(&mut known.registration);
        }
    }

    /// Returns what is known of a run.
    pub fn get(&self, id: &InstanceId) -> Option<&KnownInstance> {
        self.known.get(id)
    }

    /// Returns all runs, by id.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &KnownInstance)> {
        self.known.iter()
    }

    /// Returns the runs that have ended lately.
    pub fn all_ended(&self) -> impl Iterator<Item = (&InstanceId, Ended)> {
        self.ended.iter().map(|(id, (_, how))| (id, *how))
    }

    /// Drops what is too old to matter; returns the runs that were silent for too long.
    ///
    /// These have not ended: only this daemon has not heard them, as behind a cut of minutes
    /// or while their process was stopped. Taken for ended, their reports were refused for
    /// two more minutes after they could be heard again.
    pub fn forget_old(&mut self, now: Timestamp) -> Vec<InstanceId> {
        self.ended.retain(|_, (at, _)| now.since(*at) < REMEMBERED);
        if self.strangers.len() > self.known.len() + 64 {
            self.strangers.clear();
        }
        let silent = self.known.iter();
        let silent = silent.filter(|(_, known)| known.silent_for(now) > FORGOTTEN_AFTER);
        let silent: Vec<InstanceId> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.remove(id);
        }
        silent
    }
}

fn renew(known: &mut KnownInstance, registration: Registration, last_contact: Timestamp) -> Taken {
    if registration.sequence < known.registration.sequence {
        return Taken::Stale;
    }
    known.last_contact = known.last_contact.max(last_contact);
    // A run that has said that it leaves never takes work again; a report that says
    // otherwise was overtaken on its way.
    let leaves = known.registration.state != UpstreamState::Ready;
    if registration.sequence == known.registration.sequence {
        return Taken::Refreshed;
    }
    known.confirmations = known.confirmations.saturating_add(1);
    let sequence = registration.sequence;
    let state = match leaves {
        true => known.registration.state.max(registration.state),
        false => registration.state,
    };
    let mut next = Registration {
        state,
        ..registration
    };
    next.keep_last_model(&known.registration);
    let is_same = Registration {
        sequence: known.registration.sequence,
        ..next.clone()
    } == known.registration;
    if is_same {
        known.registration.sequence = sequence;
        return Taken::Refreshed;
    }
    known.registration = next;
    known.changed_by = sequence;
    Taken::Changed
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
}
