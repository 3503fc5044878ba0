//! Reports and ends of upstream instances, collected until they are relayed to other daemons.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    peer_api::{
        PeerMessage,
        UpstreamUpdate, //
    },
    prelude::*,
    quarantine::{
        CrashUpdate,
        PartUpdate, //
    },
    rates::RateUpdate,
    registry::{
        Alive,
        Ended,
        InstanceId,
        Registry, //
    },
};

/// The time for which the end of an instance is sent repeatedly, since a message may be lost.
pub(super) const ENDS_RESEND_PERIOD: Duration = Duration::from_millis(1_500);

/// The instances of which a report or a sign of life has arrived since it was last relayed.
#[derive(Debug, Default)]
pub(super) struct PendingReports {
    changed: BTreeMap<InstanceId, ()>,
    alive: BTreeMap<InstanceId, ()>,
}

impl PendingReports {
    /// Marks an instance whose report is new or has changed.
    pub(super) fn mark_changed(&mut self, id: InstanceId) {
        self.changed.insert(id, ());
    }

    /// Marks an instance of which a sign of life has arrived.
    pub(super) fn mark_alive(&mut self, id: InstanceId) {
        self.alive.insert(id, ());
    }

    /// Returns an update with the changed reports and, if `with_alive`, with the signs of life;
    /// clears what it returns.
    pub(super) fn take_update(
        &mut self,
        registry: &Registry,
        with_alive: bool,
        now: Timestamp,
    ) -> UpstreamUpdate {
        let mut update = UpstreamUpdate::default();
        for id in std::mem::take(&mut self.changed).into_keys() {
            self.alive.remove(&id);
            if let Some(known) = registry.get(&id) {
                let age_ms = age_ms(known.silent_for(now));
                update.reports.push((known.registration.clone(), age_ms));
            }
        }
        if !with_alive {
            return update;
        }
        for id in std::mem::take(&mut self.alive).into_keys() {
            if let Some(known) = registry.get(&id) {
                let changed_by = known.changed_by;
                let alive = Alive { id, changed_by };
                update.alive.push((alive, age_ms(known.silent_for(now))));
            }
        }
        update
    }
}

/// Recently ended instances, whose ends are still being sent.
#[derive(Debug, Default)]
pub(super) struct RecentEnds {
    recent: BTreeMap<InstanceId, (Ended, Timestamp)>,
}

impl RecentEnds {
    /// Records the end of an instance.
    pub(super) fn record(&mut self, id: InstanceId, how: Ended, now: Timestamp) {
        self.recent.insert(id, (how, now));
    }

    /// Drops the ends older than [`ENDS_RESEND_PERIOD`] and returns the others.
    pub(super) fn retain_unexpired(&mut self, now: Timestamp) -> Vec<(InstanceId, Ended)> {
        self.recent
            .retain(|_, (_, at)| now.since(*at) < ENDS_RESEND_PERIOD);
        let recent = self.recent.iter();
        recent.map(|(id, (how, _))| (id.clone(), *how)).collect()
    }
}

/// Returns an update with the whole registry, for a daemon that lacks some of it.
pub(super) fn all(registry: &Registry, now: Timestamp) -> UpstreamUpdate {
    let reports = registry.iter().map(|(_, known)| {
        let age_ms = age_ms(known.silent_for(now));
        (known.registration.clone(), age_ms)
    });
    UpstreamUpdate {
        reports: reports.collect(),
        alive: Vec::new(),
        ended: registry
            .all_ended()
            .map(|(id, how)| (id.clone(), how))
            .collect(),
        is_all: true,
    }
}

/// Returns the message with these crashes; `None` if there are none.
pub(super) fn crashes_message(update: CrashUpdate) -> Option<PeerMessage> {
    (!update.is_empty()).then(|| PeerMessage::Crashes(Box::new(update)))
}

/// Returns the message with these observations of prompt parts; `None` if there are none.
pub(super) fn parts_message(update: PartUpdate) -> Option<PeerMessage> {
    (!update.is_empty()).then(|| PeerMessage::Parts(Box::new(update)))
}

/// Returns the message with these rates; `None` if there are none.
pub(super) fn rates_message(update: RateUpdate) -> Option<PeerMessage> {
    (!update.is_empty()).then(|| PeerMessage::Rates(Box::new(update)))
}

/// Returns whether the update holds nothing to relay.
pub(super) fn is_empty(update: &UpstreamUpdate) -> bool {
    update.reports.is_empty() && update.alive.is_empty() && update.ended.is_empty()
}

fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
