//! The next change to the set of voters of the replicated log.

use std::{
    collections::BTreeSet,
    time::Duration, //
};

use crate::{
    fleet::Voter,
    prelude::*, //
};

/// The minimum number of voters that must remain after a silent one is removed.
const MIN_VOTERS: usize = 3;
/// The time without a message from a voter after which it may be removed.
const SILENCE_LIMIT: Duration = Duration::from_secs(6);

/// What the leader knows of voters and live control daemons.
pub struct VoterView<'a> {
    /// The current set of voters.
    pub voters: &'a BTreeSet<Voter>,
    /// The leader's own daemon and disk.
    pub me: &'a Voter,
    /// The other live control daemons, with the disk number that each one reports.
    pub live_controls: &'a [Voter],
    /// Returns the time since the last message from a daemon; `None` if there was none.
    pub silent_for: &'a dyn Fn(&DaemonId) -> Option<Duration>,
    /// The time since this daemon became leader; counts as the silence of a daemon without any
    /// message.
    pub listening_for: Duration,
}

/// Returns the set of voters after the next change, which adds or removes one voter; `None` if no
/// change is needed.
///
/// - A daemon that has lost its disk returns with a new disk number. The voter with the old number
///   can never answer again and is removed first.
/// - A live control daemon that is no voter is added.
/// - A voter that has been silent for `SILENCE_LIMIT` is removed if `MIN_VOTERS` remain.
///   Without this rule a VM that was replaced at another address would count as a voter forever.
pub fn next_voters(view: &VoterView<'_>) -> Option<BTreeSet<Voter>> {
    let has_new_disk = |voter: &&Voter| {
        let of_daemon = |other: &&Voter| other.daemon == voter.daemon && other.disk != voter.disk;
        view.live_controls.iter().any(|live| of_daemon(&live))
    };
    if let Some(lost) = view.voters.iter().find(has_new_disk) {
        return Some(without(view.voters, lost));
    }
    if let Some(new) = view
        .live_controls
        .iter()
        .find(|live| !view.voters.contains(live))
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
    (left.len() >= MIN_VOTERS).then_some(left)
}

fn without(voters: &BTreeSet<Voter>, voter: &Voter) -> BTreeSet<Voter> {
    let mut left = voters.clone();
    left.remove(voter);
    left
}
