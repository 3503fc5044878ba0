//! What upstreams report, gathered until it is passed on.

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
    quarantine::CrashUpdate,
    rates::RateUpdate,
    registry::{
        Alive,
        Ended,
        InstanceId,
        Registry, //
    },
};

/// For how long the end of a run is told again, since a message may be lost.
pub(super) const ENDS_REPEATED_FOR: Duration = Duration::from_millis(1_500);

/// What has come since the last time it was passed on.
#[derive(Debug, Default)]
pub(super) struct Gathered {
    changed: BTreeMap<InstanceId, ()>,
    alive: BTreeMap<InstanceId, ()>,
}

impl Gathered {
    /// Notes a run whose report is new or has changed.
    pub(super) fn changed(&mut self, id: InstanceId) {
        self.changed.insert(id, ());
    }

    /// Notes a sign of life.
    pub(super) fn alive(&mut self, id: InstanceId) {
        self.alive.insert(id, ());
    }

    /// Takes what has changed; signs of life too, if they are due.
    pub(super) fn take(
        &mut self,
        registry: &Registry,
        with_alive: bool,
        now: Timestamp,
    ) -> UpstreamUpdate {
        let mut news = UpstreamUpdate::default();
        for id in std::mem::take(&mut self.changed).into_keys() {
            self.alive.remove(&id);
            if let Some(known) = registry.get(&id) {
                let age_ms = age_ms(known.silent_for(now));
                news.reports.push((known.registration.clone(), age_ms));
            }
        }
        if !with_alive {
            return news;
        }
        for id in std::mem::take(&mut self.alive).into_keys() {
            if let Some(known) = registry.get(&id) {
                let changed_by = known.changed_by;
                let alive = Alive { id, changed_by };
                news.alive.push((alive, age_ms(known.silent_for(now))));
            }
        }
        news
    }
}

/// Runs that have ended lately and are told again for a while.
#[derive(Debug, Default)]
pub(super) struct Ends {
    recent: BTreeMap<InstanceId, (Ended, Timestamp)>,
}

impl Ends {
    /// Notes an end.
    pub(super) fn note(&mut self, id: InstanceId, how: Ended, now: Timestamp) {
        self.recent.insert(id, (how, now));
    }

    /// Returns what is still to be told.
    pub(super) fn still_told(&mut self, now: Timestamp) -> Vec<(InstanceId, Ended)> {
        self.recent
            .retain(|_, (_, at)| now.since(*at) < ENDS_REPEATED_FOR);
        let recent = self.recent.iter();
        recent.map(|(id, (how, _))| (id.clone(), *how)).collect()
    }
}

/// Returns all that is known, for a daemon that lacks something.
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

/// Returns the message that tells of crashes, if there are any.
pub(super) fn crashes(news: CrashUpdate) -> Option<PeerMessage> {
    (!news.is_empty()).then(|| PeerMessage::Crashes(Box::new(news)))
}

/// Returns the message that tells of named rates, if there are any.
pub(super) fn rates(news: RateUpdate) -> Option<PeerMessage> {
    (!news.is_empty()).then(|| PeerMessage::Rates(Box::new(news)))
}

/// Returns whether there is nothing to pass on.
pub(super) fn is_empty(news: &UpstreamUpdate) -> bool {
    news.reports.is_empty() && news.alive.is_empty() && news.ended.is_empty()
}

fn age_ms(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}
