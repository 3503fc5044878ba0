//! The outages of each VM, and the expected time until a lost VM returns.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    chart::UpstreamState,
    domain::placement::PlacementVm,
    prelude::*, //
};

/// How many outages the configured expectation counts for in the mean.
const PRIOR_OUTAGES: u32 = 2;
/// Beyond this many outages of a VM, each further one replaces an average earlier one, so that
/// old outages fade from the mean.
const RETAINED_OUTAGES: u32 = 8;
/// A VM with this many losses within [`FLAP_WINDOW`] is kept out of new groups.
const FLAP_LOSSES: usize = 3;
/// How long a loss counts towards [`FLAP_LOSSES`].
const FLAP_WINDOW: Duration = Duration::from_secs(600);

/// The outages of one VM.
#[derive(Clone, Debug, Default)]
struct VmHistory {
    /// When the VM was found lost; `None` if it isn't lost now.
    lost_at: Option<Timestamp>,
    /// The number of outages that the mean counts.
    outages: u32,
    /// The sum of their durations.
    outages_total: Duration,
    /// The times of losses within [`FLAP_WINDOW`], oldest first.
    losses: Vec<Timestamp>,
}

/// The outages of the failure domain's VMs, as seen by one domain leader.
///
/// A new leader starts with an empty history, and so with the configured expectation.
#[derive(Clone, Debug, Default)]
pub struct OutageHistory {
    vms: BTreeMap<VmId, VmHistory>,
}

impl OutageHistory {
    /// Takes in the present state of all VMs.
    pub fn observe<'a>(&mut self, vms: impl IntoIterator<Item = &'a PlacementVm>, now: Timestamp) {
        for vm in vms {
            let history = self.vms.entry(vm.vm.clone()).or_default();
            match vm.state {
                UpstreamState::Dead | UpstreamState::Conflict => history.record_loss(now),
                UpstreamState::Alive | UpstreamState::Drained | UpstreamState::Leaving => {
                    history.record_return(now);
                }
                UpstreamState::Suspect | UpstreamState::Unknown => {}
            }
            history
                .losses
                .retain(|lost_at| now.since(*lost_at) < FLAP_WINDOW);
        }
    }

    /// Returns when a VM was found lost; `now` if its loss isn't recorded.
    pub fn lost_at(&self, vm: &VmId, now: Timestamp) -> Timestamp {
        let history = self.vms.get(vm);
        history.and_then(|history| history.lost_at).unwrap_or(now)
    }

    /// Returns the expected time until a lost VM returns.
    ///
    /// Outages are assumed to follow a Lomax distribution of shape 2, whose mean excess grows
    /// by the time elapsed: the longer a VM has been away, the longer it is expected to stay
    /// away. The mean combines the configured expectation, `prior`, with the VM's own outages.
    pub fn expected_remaining(&self, vm: &VmId, prior: Duration, now: Timestamp) -> Duration {
        let history = self.vms.get(vm);
        let outages = history.map_or(0, |history| history.outages);
        let total = history.map_or(Duration::ZERO, |history| history.outages_total);
        let mean = (prior * PRIOR_OUTAGES + total) / (PRIOR_OUTAGES + outages);
        mean + now.since(self.lost_at(vm, now))
    }

    /// Returns whether a VM was lost so often lately that new groups should avoid it.
    pub fn is_flapping(&self, vm: &VmId) -> bool {
        let history = self.vms.get(vm);
        history.is_some_and(|history| history.losses.len() >= FLAP_LOSSES)
    }

    /// Returns the number of a VM's losses within `FLAP_WINDOW`.
    pub fn recent_losses(&self, vm: &VmId) -> usize {
        self.vms.get(vm).map_or(0, |history| history.losses.len())
    }
}

impl VmHistory {
    fn record_loss(&mut self, now: Timestamp) {
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            self.losses.push(now);
        }
    }

    fn record_return(&mut self, now: Timestamp) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        if self.outages >= RETAINED_OUTAGES {
            self.outages_total -= self.outages_total / self.outages;
            self.outages -= 1;
        }
        self.outages += 1;
        self.outages_total += now.since(lost_at);
    }
}
