//! The tree in which messages spread from a domain leader to the daemons of its failure domain.

use std::collections::BTreeSet;

use crate::prelude::*;

/// The number of children of each daemon in the tree.
pub const FAN_OUT: usize = 4;

/// Returns the daemons to which `daemon` forwards messages.
///
/// The leader is the root; the others follow in the order of their names. Daemons that know the
/// same set therefore build the same tree. A daemon outside the set has no children.
pub fn children(
    leader: &DaemonId,
    daemons: &BTreeSet<DaemonId>,
    daemon: &DaemonId,
) -> Vec<DaemonId> {
    let tree_order = tree_order(leader, daemons);
    let Some(position) = tree_order.iter().position(|known| *known == daemon) else {
        return Vec::new();
    };
    let first = position * FAN_OUT + 1;
    let below = tree_order.into_iter().skip(first).take(FAN_OUT);
    below.cloned().collect()
}

/// Returns the daemon from which `daemon` gets messages; `None` for the leader and for a daemon
/// outside the set.
pub fn parent<'a>(
    leader: &'a DaemonId,
    daemons: &'a BTreeSet<DaemonId>,
    daemon: &DaemonId,
) -> Option<&'a DaemonId> {
    let tree_order = tree_order(leader, daemons);
    let position = tree_order.iter().position(|known| *known == daemon)?;
    let above = position.checked_sub(1)? / FAN_OUT;
    tree_order.get(above).copied()
}

/// Returns the daemons in breadth-first order of the tree.
fn tree_order<'a>(leader: &'a DaemonId, daemons: &'a BTreeSet<DaemonId>) -> Vec<&'a DaemonId> {
    let others = daemons.iter().filter(|daemon| *daemon != leader);
    std::iter::once(leader).chain(others).collect()
}
