//! The tree by which a domain leader reaches the daemons of its failure domain.

use std::collections::BTreeSet;

use crate::prelude::*;

/// How many daemons each daemon passes a configuration on to.
pub const FAN_OUT: usize = 4;

/// Returns the daemons that `daemon` passes messages on to.
///
/// The leader is the root and the others follow by name, so that all daemons
/// that know the same set build the same tree. A daemon outside the set has no
/// children.
pub fn children(
    leader: &DaemonId,
    daemons: &BTreeSet<DaemonId>,
    daemon: &DaemonId,
) -> Vec<DaemonId> {
    let order = order(leader, daemons);
    let Some(position) = order.iter().position(|known| *known == daemon) else {
        return Vec::new();
    };
    let first = position * FAN_OUT + 1;
    let below = order.into_iter().skip(first).take(FAN_OUT);
    below.cloned().collect()
}

/// Returns the daemon that `daemon` gets messages from; `None` for the leader.
pub fn parent<'a>(
    leader: &'a DaemonId,
    daemons: &'a BTreeSet<DaemonId>,
    daemon: &DaemonId,
) -> Option<&'a DaemonId> {
    let order = order(leader, daemons);
    let position = order.iter().position(|known| *known == daemon)?;
    let above = position.checked_sub(1)? / FAN_OUT;
    order.get(above).copied()
}

fn order<'a>(leader: &'a DaemonId, daemons: &'a BTreeSet<DaemonId>) -> Vec<&'a DaemonId> {
    let others = daemons.iter().filter(|daemon| *daemon != leader);
    std::iter::once(leader).chain(others).collect()
}
