//! Which change of the set of voters comes next.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::{
    fleet::Voter,
    prelude::*, //
};

/// The fewest voters that a removal for silence leaves.
const FEWEST_VOTERS: usize = 3;
/// How long a voter may be silent before another one may take its place.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);

/// What the leader knows.
pub struct VoterView<'a> {
    /// The voters.
    pub voters: &'a BTreeSet<Voter>,
    /// This daemon.
    pub me: &'a Voter,
    /// The other control daemons that were heard lately, with their disks.
    pub live_controls: &'a [Voter],
    /// How long a daemon was silent; `None` if it was never heard by this one.
    pub silent_for: &'a dyn Fn(&DaemonId) -> Option<Duration>,
    /// How long this daemon has been listening.
    pub listening_for: Duration,
}

/// Returns the set of voters after the next change by one, if there is one to make.
///
/// A daemon whose disk was lost comes back under a number of its own: the old number is
/// taken out first, since it can never answer again. A daemon that is new is taken in.
/// A voter that fell silent for long is taken out only while enough others are left, so
/// that a VM which was replaced at another address does not count for ever.
pub fn next_voters(view: &VoterView<'_>) -> Option<BTreeSet<Voter>> {
    let has_new_disk = |voter: &&Voter| {
        let of_daemon = |other: &&Voter| other.daemon == voter.daemon && other.disk != voter.disk;
        view.live_controls.iter().any(|here| of_daemon(&here))
    };
    if let Some(lost) = view.voters.iter().find(has_new_disk) {
        return Some(without(view.voters, lost));
    }
    if let Some(new) = view
        .live_controls
        .iter()
        .find(|here| !view.voters.contains(here))
    {
        let mut voters = view.voters.clone();
        voters.insert(new.clone());
        return Some(voters);
    }
    let is_silent = |voter: &&Voter| {
        let silence = (view.silent_for)(&voter.daemon).unwrap_or(view.listening_for);
        *voter != view.me && silence >= SILENCE_LIMIT
    };
    let silent = view.voters.iter().find(is_silent)?;
    let left = without(view.voters, silent);
    (left.len() >= FEWEST_VOTERS).then_some(left)
}

fn without(voters: &BTreeSet<Voter>, voter: &Voter) -> BTreeSet<Voter> {
    let mut left = voters.clone();
    left.remove(voter);
    left
}
