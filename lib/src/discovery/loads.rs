//! How many requests all entry daemons together have at each upstream.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    prelude::*,
    registry::InstanceId, //
};

/// How long the sums of another control daemon count; they come every 300 ms.
const SUMS_COUNT_FOR: Duration = Duration::from_millis(1_500);

/// Requests by upstream.
pub type InFlight = Vec<(InstanceId, u32)>;

/// The sums that other control daemons tell of the entry daemons that they count.
#[derive(Debug, Default)]
pub(super) struct OthersSums {
    by_control: BTreeMap<DaemonId, (InFlight, Timestamp)>,
}

impl OthersSums {
    pub(super) fn take(&mut self, from: &DaemonId, sums: InFlight, now: Timestamp) {
        self.by_control.insert(from.clone(), (sums, now));
    }

    /// Returns the sums that are not too old.
    pub(super) fn current(&self, now: Timestamp) -> impl Iterator<Item = &InFlight> {
        let sums = self.by_control.values();
        let young = sums.filter(move |(_, at)| now.since(*at) <= SUMS_COUNT_FOR);
        young.map(|(sums, _)| sums)
    }
}

/// Adds up requests by upstream.
pub(super) fn sum<'a>(parts: impl IntoIterator<Item = &'a InFlight>) -> InFlight {
    let mut all: BTreeMap<&InstanceId, u32> = BTreeMap::new();
    for (id, requests) in parts.into_iter().flatten() {
        *all.entry(id).or_default() += requests;
    }
    let all = all.into_iter();
    all.map(|(id, requests)| (id.clone(), requests)).collect()
}

/// What all other entry daemons have at each upstream, as this one was told last.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct OthersLoad {
    /// Requests by upstream; an upstream that is not named has none.
    pub requests: BTreeMap<InstanceId, u32>,
    /// When it was told; `None` before the first time.
    pub at: Option<Timestamp>,
}

impl OthersLoad {
    /// Returns the sum over all daemons without this one's part in it.
    pub(super) fn without(all: InFlight, own: &InFlight, now: Timestamp) -> Self {
        let own: BTreeMap<&InstanceId, u32> = own.iter().map(|(id, part)| (id, *part)).collect();
        let others = all.into_iter().map(|(id, requests)| {
            let part = own.get(&id).copied().unwrap_or_default();
            (id, requests.saturating_sub(part))
        });
        Self {
            requests: others.collect(),
            at: Some(now),
        }
    }
}
