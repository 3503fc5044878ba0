//! Schedules of events in a cluster, as values that proptest can shrink when a test fails.

use proptest::prelude::*;

/// One step of a schedule.
#[derive(Clone, Debug)]
pub enum Step {
    /// Time passes while messages are delivered and disks sync on all running nodes.
    Run {
        ms: u16,
    },
    /// Time passes without message deliveries and syncs.
    Advance {
        ms: u16,
    },
    Deliver {
        pick: u8,
    },
    Drop {
        pick: u8,
    },
    Duplicate {
        pick: u8,
    },
    Sync {
        node: u8,
    },
    Propose {
        node: u8,
    },
    Read {
        node: u8,
    },
    Pause {
        node: u8,
    },
    Resume {
        node: u8,
    },
    Crash {
        node: u8,
    },
    Restart {
        node: u8,
    },
    LoseDisk {
        node: u8,
    },
    Partition {
        side: u8,
    },
    Heal,
    /// All processes run again and no partition is left.
    Recover,
    Compact {
        node: u8,
    },
    Transfer {
        node: u8,
    },
    ChangeMember {
        node: u8,
    },
    RemoveLostDisk,
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..5_u8;
    let pick = any::<u8>();
    prop_oneof![
        32 => (20..4_000_u16).prop_map(|ms| Step::Run { ms }),
        20 => (1..1_200_u16).prop_map(|ms| Step::Advance { ms }),
        60 => pick.prop_map(|pick| Step::Deliver { pick }),
        12 => any::<u8>().prop_map(|pick| Step::Drop { pick }),
        12 => any::<u8>().prop_map(|pick| Step::Duplicate { pick }),
        40 => node.clone().prop_map(|node| Step::Sync { node }),
        40 => node.clone().prop_map(|node| Step::Propose { node }),
        20 => node.clone().prop_map(|node| Step::Read { node }),
        6 => node.clone().prop_map(|node| Step::Pause { node }),
        10 => node.clone().prop_map(|node| Step::Resume { node }),
        8 => node.clone().prop_map(|node| Step::Crash { node }),
        12 => node.clone().prop_map(|node| Step::Restart { node }),
        1 => node.clone().prop_map(|node| Step::LoseDisk { node }),
        5 => any::<u8>().prop_map(|side| Step::Partition { side }),
        8 => Just(Step::Heal),
        8 => Just(Step::Recover),
        6 => node.clone().prop_map(|node| Step::Compact { node }),
        3 => node.clone().prop_map(|node| Step::Transfer { node }),
        4 => node.prop_map(|node| Step::ChangeMember { node }),
        4 => Just(Step::RemoveLostDisk),
    ]
}

/// Returns a strategy for schedules of fewer than `most` steps.
pub fn steps(most: usize) -> impl Strategy<Value = Vec<Step>> {
    proptest::collection::vec(step(), 1..most)
}
