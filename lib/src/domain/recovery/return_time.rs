//! How long a lost VM is expected to stay away.

use std::{
    collections::BTreeMap,
    time::Duration, //
};

use crate::{
    chart::UpstreamState,
    domain::placement::PlacementVm,
    prelude::*, //
};

/// How many outages the expectation from the settings counts for.
const PRIOR_OUTAGES: u32 = 2;
/// Beyond this many outages a VM's older ones fade.
const REMEMBERED_OUTAGES: u32 = 8;
/// A VM that was lost this often within [`FLAP_WINDOW`] is kept out of new groups.
const FLAP_LOSSES: usize = 3;
/// How long a loss counts against a VM.
const FLAP_WINDOW: Duration = Duration::from_secs(600);

/// What was seen of one VM.
#[derive(Clone, Debug, Default)]
struct VmHistory {
    /// When it was found missing, if it is missing now.
    lost_at: Option<Timestamp>,
    outages: u32,
    outages_total: Duration,
    /// When it was lost, oldest first, within the window.
    losses: Vec<Timestamp>,
}

/// The outages of the failure domain's VMs, as one domain leader has seen them.
///
/// It is lost with the leader; a new one starts from the expectation in the settings.
#[derive(Clone, Debug, Default)]
pub struct OutageHistory {
    vms: BTreeMap<VmId, VmHistory>,
}

impl OutageHistory {
    /// Takes the states of all VMs in.
    pub fn observe<'a>(&mut self, vms: impl IntoIterator<Item = &'a PlacementVm>, now: Timestamp) {
        for vm in vms {
            let history = self.vms.entry(vm.vm.clone()).or_default();
            match vm.state {
                UpstreamState::Dead | UpstreamState::Conflict => history.lose(now),
                UpstreamState::Alive | UpstreamState::Drained | UpstreamState::Leaving => {
                    history.come_back(now);
                }
                UpstreamState::Suspect | UpstreamState::Unknown => {}
            }
            history
                .losses
                .retain(|lost_at| now.since(*lost_at) < FLAP_WINDOW);
        }
    }

    /// Returns when a VM was found missing; `now` if this is the first that is heard of it.
    pub fn lost_at(&self, vm: &VmId, now: Timestamp) -> Timestamp {
        let history = self.vms.get(vm);
        history.and_then(|history| history.lost_at).unwrap_or(now)
    }

    /// Returns how much longer a lost VM is expected to stay away.
    ///
    /// The longer it has been away, the longer it will be: outages are taken to follow
    /// a Lomax distribution of shape 2, whose mean excess grows by the time elapsed.
    /// The mean blends the settings with the VM's own outages.
    pub fn expected_remaining(&self, vm: &VmId, prior: Duration, now: Timestamp) -> Duration {
        let history = self.vms.get(vm);
        let outages = history.map_or(0, |history| history.outages);
        let total = history.map_or(Duration::ZERO, |history| history.outages_total);
        let mean = (prior * PRIOR_OUTAGES + total) / (PRIOR_OUTAGES + outages);
        mean + now.since(self.lost_at(vm, now))
    }

    /// Returns whether a VM was lost so often lately that nothing new is built on it.
    pub fn flaps(&self, vm: &VmId) -> bool {
        let history = self.vms.get(vm);
        history.is_some_and(|history| history.losses.len() >= FLAP_LOSSES)
    }

    /// Returns how many losses still count against a VM.
    pub fn recent_losses(&self, vm: &VmId) -> usize {
        self.vms.get(vm).map_or(0, |history| history.losses.len())
    }
}

impl VmHistory {
    fn lose(&mut self, now: Timestamp) {
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            self.losses.push(now);
        }
    }

    fn come_back(&mut self, now: Timestamp) {
        let Some(lost_at) = self.lost_at.take() else {
            return;
        };
        if self.outages >= REMEMBERED_OUTAGES {
            self.outages_total -= self.outages_total / self.outages;
            self.outages -= 1;
        }
        self.outages += 1;
        self.outages_total += now.since(lost_at);
    }
}
