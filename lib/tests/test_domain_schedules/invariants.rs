//! The invariants, which must hold after every event.

use std::collections::BTreeMap;

use cicadabend::prelude::*;

use crate::world::{
    CLOCK_RATE_ERROR,
    LEADER_LEASE_MS,
    SLOWEST_MS,
    UPSTREAM_LEASE_MS,
    World, //
};

/// Checks the invariants; keeps the earlier states with which a later one is compared.
#[derive(Default)]
pub struct Invariants {
    /// The newest epoch and sequence number of a table, by daemon instance.
    tables: BTreeMap<u64, (u32, u64)>,
    /// The newest revision, by daemon instance.
    revisions: BTreeMap<u64, Revision>,
    /// When each VM last truly was a ready member of each group, in true milliseconds.
    last_member_ms: BTreeMap<(VmId, GroupId), u64>,
    /// How often a group was found served by a daemon.
    pub groups_served: u64,
}

impl Invariants {
    /// Checks all invariants.
    ///
    /// # Errors
    ///
    /// Returns a description of the first violation.
    pub fn check(&mut self, world: &World) -> Result<(), String> {
        check_one_leader(world)?;
        check_one_group_per_vm(world)?;
        self.check_monotonic_tables_and_revisions(world)?;
        self.record_ready_members(world);
        self.check_only_whole_groups(world)
    }

    fn check_monotonic_tables_and_revisions(&mut self, world: &World) -> Result<(), String> {
        for daemon in &world.daemons {
            let Some(core) = &daemon.core else { continue };
            let order = core
                .table()
                .map_or((0, 0), |table| (table.epoch, table.sequence));
            let known = self.tables.entry(daemon.instance).or_default();
            if order < *known {
                return Err(format!(
                    "{} went back from table {known:?} to {order:?}",
                    daemon.id
                ));
            }
            *known = order;
            let known = self.revisions.entry(daemon.instance).or_default();
            if core.revision() < *known {
                return Err(format!("{} went back from revision {known}", daemon.id));
            }
            *known = core.revision();
        }
        Ok(())
    }

    fn record_ready_members(&mut self, world: &World) {
        for engine in world
            .engines
            .iter()
            .filter(|engine| engine.alive && !engine.paused)
        {
            if let Some(membership) = &engine.state.membership
                && membership.ready
            {
                let key = (engine.vm.clone(), membership.group.clone());
                self.last_member_ms.insert(key, world.now_ms);
            }
        }
    }

    /// Checks that daemons serve only groups whose members were all ready lately.
    ///
    /// A daemon can't detect a lost member sooner than after one upstream lease and the time in
    /// which its last announcement was in transit, in the network or in the queue of a
    /// suspended daemon. A daemon that was suspended for a leader lease has no routing lease on
    /// waking, so it no longer counts an announcement from its arrival.
    fn check_only_whole_groups(&mut self, world: &World) -> Result<(), String> {
        let longest_ms = UPSTREAM_LEASE_MS * (100 + u64::from(CLOCK_RATE_ERROR.0)) / 100
            + SLOWEST_MS
            + LEADER_LEASE_MS
            + 200;
        for daemon in &world.daemons {
            for (group, members) in &daemon.serving {
                self.groups_served += 1;
                for vm in members {
                    let key = (vm.clone(), group.clone());
                    let last_ms = self.last_member_ms.get(&key);
                    let is_known = last_ms.is_some_and(|at| world.now_ms - at <= longest_ms);
                    if !is_known {
                        let daemon = &daemon.id;
                        return Err(format!(
                            "{daemon} serves {group} without {vm}, last its member at {last_ms:?}"
                        ));
                    }
                }
            }
        }
        Ok(())
    }
}

fn check_one_leader(world: &World) -> Result<(), String> {
    let holders = world.daemons.iter().filter(|daemon| {
        let now = daemon.local_time(world.now_ms);
        let core = daemon.core.as_ref();
        core.is_some_and(|core| core.lease().held_epoch(now).is_some())
    });
    let holders: Vec<&DaemonId> = holders.map(|daemon| &daemon.id).collect();
    match holders.len() {
        0 | 1 => Ok(()),
        _ => Err(format!("{holders:?} hold the lease at once")),
    }
}

fn check_one_group_per_vm(world: &World) -> Result<(), String> {
    let mut groups: BTreeMap<&VmId, (&GroupId, &DaemonId)> = BTreeMap::new();
    for daemon in &world.daemons {
        for (group, members) in &daemon.serving {
            for vm in members {
                let (known, at) = *groups.entry(vm).or_insert((group, &daemon.id));
                if known != group {
                    let here = &daemon.id;
                    return Err(format!(
                        "{vm} serves in {known} at {at} and in {group} at {here}"
                    ));
                }
            }
        }
    }
    Ok(())
}
