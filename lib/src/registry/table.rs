//! The newest report of each upstream instance.

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

/// The time for which an ended instance is remembered, so that its delayed reports are recognised.
const ENDED_RETENTION: Duration = Duration::from_secs(120);
/// The time since its last contact for which an instance keeps its address against another one.
const ADDRESS_HOLD_TIME: Duration = Duration::from_millis(2_500);
/// The time since its last contact after which an instance is removed; its use has ended long
/// before.
const SILENT_RETENTION: Duration = Duration::from_secs(60);

/// A report as received from the upstream itself or from another daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedReport {
    /// The content of the report.
    pub registration: Registration,
    /// The time since a daemon received the report from the upstream itself.
    pub age: Duration,
}

/// A sign of life of an instance, sent between daemons instead of a report without changes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Alive {
    /// The instance that is alive.
    pub id: InstanceId,
    /// The sequence number of the instance's last report that changed anything.
    pub changed_by: u64,
}

/// What the registry stores about one upstream instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownInstance {
    /// The newest report of the instance.
    pub registration: Registration,
    /// When any daemon received this report, or a later sign of life, from the instance.
    pub last_contact: Timestamp,
    /// The sequence number of the last report that changed anything besides the sequence number.
    pub changed_by: u64,
    /// The number of later reports and signs of life since the first report.
    ///
    /// The first report of an instance alone doesn't prove that it is alive, since that report may
    /// have been delayed.
    pub confirmations: u32,
}

impl KnownInstance {
    /// Returns whether the instance reports that it takes new requests.
    pub fn is_ready(&self) -> bool {
        self.registration.state == UpstreamState::Ready
    }

    /// Returns the reported group, if the instance is an engine and in a group.
    pub fn group(&self) -> Option<&GroupStatus> {
        self.registration.group()
    }

    /// Returns the time since the last contact with the instance.
    pub fn silent_for(&self, now: Timestamp) -> Duration {
        now.since(self.last_contact)
    }
}

/// Why an instance counts as ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Ended {
    /// The instance has announced that it leaves; it may still finish the requests that it has.
    Left,
    /// The process has ended: a later instance of the upstream has reported, or another instance
    /// has its address.
    Dead,
}

/// The effect of a report on the registry.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportEffect {
    /// The instance was unknown and has been added.
    New,
    /// The stored report has changed in more than its sequence number.
    Changed,
    /// The report only shows that the instance is still alive.
    Refreshed,
    /// The report was ignored: it is outdated, its instance has ended, or its address still belongs
    /// to another instance.
    Stale,
}

/// All known upstream instances, and those that have ended recently.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    known: BTreeMap<InstanceId, KnownInstance>,
    by_address: HashMap<Address, InstanceId>,
    ended: BTreeMap<InstanceId, (Timestamp, Ended)>,
    /// Unknown instances that report an address which they may not take yet: the sequence number
    /// of their first report and its time of arrival.
    claimants: HashMap<InstanceId, (u64, Timestamp)>,
}

impl Registry {
    /// Applies a report; returns its effect.
    pub fn handle_report(&mut self, received: ReceivedReport, now: Timestamp) -> ReportEffect {
        let ReceivedReport { registration, age } = received;
        let last_contact = Timestamp(now.0.saturating_sub(millis(age)));
        let id = registration.id.clone();
        if self.ended(&id) == Some(Ended::Left) || self.is_superseded(&id) {
            return ReportEffect::Stale;
        }
        if let Some(known) = self.known.get_mut(&id) {
            return apply_report(known, registration, last_contact);
        }
        // An earlier instance has lost its state with its process, so its report is void.
        if let Some(earlier) = self.latest_instance_of(&id) {
            self.end(&earlier, Ended::Dead, now);
        }
        if !self.may_take_address(&registration, now) {
            return ReportEffect::Stale;
        }
        let address = registration.address;
        if let Some(before) = self.by_address.remove(&address) {
            self.end(&before, Ended::Dead, now);
        }
        self.by_address.insert(address, id.clone());
        self.claimants.remove(&id);
        self.ended.remove(&id);
        let known = KnownInstance {
            changed_by: registration.sequence,
            registration,
            last_contact,
            confirmations: 0,
        };
        self.known.insert(id, known);
        ReportEffect::New
    }

    /// Returns the latest known instance of the upstream that `id` belongs to.
    pub fn latest_instance_of(&self, id: &InstanceId) -> Option<InstanceId> {
        let mut instances = self.known.range(id.all_instances());
        instances.next_back().map(|(instance, _)| instance.clone())
    }

    /// Returns whether a later instance of the same upstream is known or has ended.
    ///
    /// A report of the earlier instance may be seconds late. It would show an engine in a group of
    /// which the restarted engine knows nothing, and requests would go to an incomplete group.
    fn is_superseded(&self, id: &InstanceId) -> bool {
        let instances = id.all_instances();
        self.known
            .range(instances.clone())
            .next_back()
            .is_some_and(|(instance, _)| id.is_earlier_instance_of(instance))
            || self
                .ended
                .range(instances)
                .next_back()
                .is_some_and(|(instance, _)| id.is_earlier_instance_of(instance))
    }

    /// Returns whether an unknown instance may take over the address that it reports.
    ///
    /// A delayed report may come from an instance that ended long ago, while another one now has the
    /// address. Treating the current one as dead would release the other members of its group while
    /// it still serves. An unknown instance therefore takes over the address of an instance with
    /// recent contact only by two reports without any contact with the holder in between.
    fn may_take_address(&mut self, registration: &Registration, now: Timestamp) -> bool {
        let id = &registration.id;
        let was_ended = self.ended.contains_key(id);
        let holder = self.by_address.get(&registration.address);
        let holder = holder.and_then(|holder| self.known.get(holder));
        let last_contact = holder.map(|known| known.last_contact);
        let is_held = last_contact.is_some_and(|at| now.since(at) < ADDRESS_HOLD_TIME);
        if !is_held && !was_ended {
            return true;
        }
        let sequence = registration.sequence;
        match self.claimants.get(id) {
            Some((first, at))
                if *first < sequence && last_contact.is_none_or(|contact| contact <= *at) =>
            {
                true
            }
            Some((first, at))
                if *first >= sequence || last_contact.is_none_or(|contact| contact <= *at) =>
            {
                false
            }
            _ => {
                self.claimants.insert(id.clone(), (sequence, now));
                false
            }
        }
    }

    /// Records that an instance has ended; returns whether the instance was known until now.
    pub fn end(&mut self, id: &InstanceId, how: Ended, now: Timestamp) -> bool {
        let before = self.ended.insert(id.clone(), (now, how));
        if let Some((at, Ended::Dead)) = before {
            // A dead instance finishes no requests any more, so `Left` must not replace `Dead`.
            self.ended.insert(id.clone(), (at, Ended::Dead));
        }
        self.remove(id)
    }

    /// Removes an instance and its address; returns whether the instance was known.
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

    /// Returns the instance that an end refers to: `id` itself if it has a start time, otherwise the
    /// latest known instance of the upstream.
    ///
    /// A leaving upstream sends only its name, and the daemon that receives it may have just started
    /// and know no instance of that upstream. That daemon relays the name, and the daemons that do
    /// know an instance resolve it here; otherwise the upstream would get requests until it has
    /// ended.
    pub fn resolve_instance(&self, id: &InstanceId) -> InstanceId {
        match id.has_start_time() {
            true => id.clone(),
            false => self.latest_instance_of(id).unwrap_or_else(|| id.clone()),
        }
    }

    /// Returns why an instance has ended, if it is remembered as ended.
    pub fn ended(&self, id: &InstanceId) -> Option<Ended> {
        self.ended.get(id).map(|(_, how)| *how)
    }

    /// Records a sign of life; returns false if a report is missing here, so that the sender's whole
    /// state is needed.
    pub fn touch(&mut self, alive: &Alive, age: Duration, now: Timestamp) -> bool {
        let last_contact = Timestamp(now.0.saturating_sub(millis(age)));
        if self.ended.contains_key(&alive.id) || self.is_superseded(&alive.id) {
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

    /// Changes the stored report according to the instance's answer to a command.
    pub fn amend(&mut self, id: &InstanceId, change: impl FnOnce(&mut Registration)) {
        if let Some(known) = self.known.get_mut(id) {
            change(&mut known.registration);
        }
    }

    /// Returns the stored data of an instance.
    pub fn get(&self, id: &InstanceId) -> Option<&KnownInstance> {
        self.known.get(id)
    }

    /// Returns all known instances, sorted by id.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &KnownInstance)> {
        self.known.iter()
    }

    /// Returns the instances that have ended within `ENDED_RETENTION`.
    pub fn all_ended(&self) -> impl Iterator<Item = (&InstanceId, Ended)> {
        self.ended.iter().map(|(id, (_, how))| (id, *how))
    }

    /// Removes expired entries; returns the instances that were removed because of their silence.
    ///
    /// Silent instances are not recorded as ended: they may only be unreachable, e.g. during a
    /// network partition of minutes or while their process is stopped. If they were, their reports
    /// would be refused for two more minutes after contact is restored.
    pub fn forget_old(&mut self, now: Timestamp) -> Vec<InstanceId> {
        self.ended
            .retain(|_, (at, _)| now.since(*at) < ENDED_RETENTION);
        if self.claimants.len() > self.known.len() + 64 {
            self.claimants.clear();
        }
        let silent = self.known.iter();
        let silent = silent.filter(|(_, known)| known.silent_for(now) > SILENT_RETENTION);
        let silent: Vec<InstanceId> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.remove(id);
        }
        silent
    }
}

fn apply_report(
    known: &mut KnownInstance,
    registration: Registration,
    last_contact: Timestamp,
) -> ReportEffect {
    if registration.sequence < known.registration.sequence {
        return ReportEffect::Stale;
    }
    known.last_contact = known.last_contact.max(last_contact);
    // An instance that has announced that it leaves never takes requests again; a report that
    // says otherwise is outdated.
    let leaves = known.registration.state != UpstreamState::Ready;
    if registration.sequence == known.registration.sequence {
        return ReportEffect::Refreshed;
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
    next.inherit_last_model(&known.registration);
    let is_same = Registration {
        sequence: known.registration.sequence,
        ..next.clone()
    } == known.registration;
    if is_same {
        known.registration.sequence = sequence;
        return ReportEffect::Refreshed;
    }
    known.registration = next;
    known.changed_by = sequence;
    ReportEffect::Changed
}

fn millis(length: Duration) -> u64 {
    u64::try_from(length.as_millis()).unwrap_or(u64::MAX)
}
