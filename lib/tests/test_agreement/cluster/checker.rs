//! The safety properties that are checked after every event.

use std::collections::{
    BTreeMap,
    BTreeSet,
    HashMap, //
};

use cicadabend::{
    agreement::{
        AppendOutcome,
        Entry,
        EntryBody,
        LogIndex,
        Message,
        MessageBody,
        Node,
        ProposalFailure,
        ProposalId,
        ReadId,
        Recovered,
        RoleName,
        Snapshot,
        Status,
        Term, //
    },
    fleet::Voter, //
};

use super::{
    SimNode,
    Violation, //
};

/// The history of the run so far, with which later events are compared.
#[derive(Default)]
pub struct Checker {
    leaders: BTreeMap<Term, Voter>,
    committed: BTreeMap<LogIndex, Entry>,
    /// Every entry seen in any log, with the term of the entry before it.
    seen: HashMap<(LogIndex, Term), (Entry, Option<Term>)>,
    /// The highest entry that each voter's state machine has applied.
    applied_by_voter: BTreeMap<Voter, LogIndex>,
    /// Commands whose proposals were reported as failed for good.
    failed_commands: BTreeSet<u64>,
    highest_applied: LogIndex,
    /// The highest entry applied on any node when each read began.
    reads: BTreeMap<ReadId, LogIndex>,
}

fn command_of(entry: &Entry) -> Option<u64> {
    match &entry.body {
        EntryBody::Command(bytes) => Some(u64::from_le_bytes(bytes[..].try_into().unwrap())),
        _ => None,
    }
}

fn require(holds: bool, violation: impl FnOnce() -> Violation) -> Result<(), Violation> {
    if holds { Ok(()) } else { Err(violation()) }
}

impl Checker {
    /// Checks that the state a message promises is on the sender's disk when it is sent.
    pub fn check_send(&self, sim: &SimNode, message: &Message) -> Result<(), Violation> {
        let stored = &sim.disk.synced;
        let hard_state = &stored.hard_state;
        let has_stored_term = hard_state.term >= message.term;
        let is_stored = match message.body {
            MessageBody::Vote { .. } => has_stored_term,
            MessageBody::VoteReply { granted: true } => {
                let voted = hard_state.vote.as_ref() == Some(&message.to);
                hard_state.term > message.term || (has_stored_term && voted)
            }
            MessageBody::AppendReply { outcome, .. } => {
                has_stored_term && has_stored(sim, matched_by(outcome))
            }
            _ => true,
        };
        require(is_stored, || {
            format!("{message:?} is sent, but only {stored:?} is stored")
        })
    }

    /// Checks a node's log, leadership and commit index after an event.
    pub fn check_node(
        &mut self,
        nodes: &[SimNode],
        lost_disks: &BTreeMap<Voter, Recovered>,
        at: usize,
    ) -> Result<(), Violation> {
        let Some(node) = &nodes[at].node else {
            return Ok(());
        };
        let status = node.status();
        self.check_log(node, &status)?;
        self.check_leader(node, &status)?;
        self.check_commit(nodes, lost_disks, node, &status)
    }

    /// Checks that entries with equal index and term are equal and follow equal entries.
    fn check_log(&mut self, node: &Node, status: &Status) -> Result<(), Violation> {
        let mut index = status.last;
        while let Some(entry) = node.entry(index) {
            let before = node.entry(index.previous()).map(|entry| entry.term);
            let key = (index, entry.term);
            let (seen, seen_before) = self
                .seen
                .entry(key)
                .or_insert_with(|| (entry.clone(), before));
            require(seen == entry, || format!("two entries at {key:?}"))?;
            if let (Some(one), Some(other)) = (&seen_before, before) {
                require(*one == other, || format!("different logs before {key:?}"))?;
            }
            *seen_before = seen_before.or(before);
            index = index.previous();
        }
        Ok(())
    }

    /// Checks that a term has one leader only, which has all entries committed before.
    fn check_leader(&mut self, node: &Node, status: &Status) -> Result<(), Violation> {
        if status.role != RoleName::Leader {
            return Ok(());
        }
        let known = self.leaders.get(&status.term);
        if let Some(leader) = known {
            return require(*leader == status.voter, || {
                let term = status.term;
                format!("{leader:?} and {:?} lead in term {term}", status.voter)
            });
        }
        self.leaders.insert(status.term, status.voter.clone());
        for (index, entry) in &self.committed {
            let lacks = *index > status.last;
            let differs = node.entry(*index).is_some_and(|own| own != entry);
            require(!lacks && !differs, || {
                format!("the leader of term {} lacks committed {index}", status.term)
            })?;
        }
        Ok(())
    }

    /// Checks that committed entries do not change and are on the disks of a majority.
    fn check_commit(
        &mut self,
        nodes: &[SimNode],
        lost_disks: &BTreeMap<Voter, Recovered>,
        node: &Node,
        status: &Status,
    ) -> Result<(), Violation> {
        let mut index = status.commit;
        while let Some(entry) = node.entry(index) {
            if let Some(committed) = self.committed.get(&index) {
                require(committed == entry, || format!("committed {index} changed"))?;
            } else {
                if status.role == RoleName::Leader {
                    check_on_majority_of_disks(nodes, lost_disks, status, entry)?;
                }
                self.commit(entry)?;
            }
            index = index.previous();
        }
        Ok(())
    }

    fn commit(&mut self, entry: &Entry) -> Result<(), Violation> {
        let command = command_of(entry);
        let had_failed = command.is_some_and(|command| self.failed_commands.contains(&command));
        require(!had_failed, || {
            format!("{command:?} was committed after its proposal was reported as failed")
        })?;
        self.committed.insert(entry.index, entry.clone());
        Ok(())
    }

    pub fn check_apply(&mut self, sim: &SimNode, entry: &Entry) -> Result<(), Violation> {
        let index = entry.index;
        require(index == sim.applied.next(), || {
            format!("{:?} applies {index} after {}", sim.voter, sim.applied)
        })?;
        // An entry that is not recorded as committed yet is checked after the event.
        if let Some(committed) = self.committed.get(&index) {
            require(committed == entry, || {
                format!("applied {index} is not what was committed")
            })?;
        }
        self.record_applied(sim, index);
        Ok(())
    }

    pub fn check_restore(&mut self, sim: &SimNode, snapshot: &Snapshot) -> Result<(), Violation> {
        let index = snapshot.index;
        require(snapshot.data == index.0.to_le_bytes(), || {
            format!("the snapshot of {index} holds another state")
        })?;
        require(index > sim.applied, || {
            format!("{:?} goes back to {index}", sim.voter)
        })?;
        let committed = self.committed.get(&index).map(|entry| entry.term);
        require(committed == Some(snapshot.term), || {
            format!("the snapshot of {index} is not what was committed")
        })?;
        self.record_applied(sim, index);
        Ok(())
    }

    fn record_applied(&mut self, sim: &SimNode, index: LogIndex) {
        let highest = self.applied_by_voter.entry(sim.voter.clone()).or_default();
        *highest = index.max(*highest);
        self.highest_applied = self.highest_applied.max(index);
    }

    /// Checks that a restarted process shows no older state than before the restart.
    pub fn check_restart(&self, sim: &SimNode) -> Result<(), Violation> {
        let highest = self
            .applied_by_voter
            .get(&sim.voter)
            .copied()
            .unwrap_or_default();
        require(sim.applied >= highest, || {
            format!(
                "{:?} shows {} after it had shown {highest}",
                sim.voter, sim.applied
            )
        })
    }

    pub fn check_failure(
        &mut self,
        id: ProposalId,
        reason: &ProposalFailure,
    ) -> Result<(), Violation> {
        if *reason == ProposalFailure::Unknown {
            return Ok(());
        }
        self.failed_commands.insert(id.0);
        let mut committed = self.committed.values();
        let is_committed = committed.any(|entry| command_of(entry) == Some(id.0));
        require(!is_committed, || {
            format!("{id:?} is committed, but its proposal failed with {reason:?}")
        })
    }

    pub fn record_read_start(&mut self, id: ReadId) {
        self.reads.insert(id, self.highest_applied);
    }

    /// Checks that a read shows every entry that any node had applied before it began.
    pub fn check_read(&self, sim: &SimNode, id: ReadId) -> Result<(), Violation> {
        let needed = self.reads[&id];
        require(sim.applied >= needed, || {
            format!(
                "{:?} reads {} although {needed} was shown",
                sim.voter, sim.applied
            )
        })
    }
}

fn matched_by(outcome: AppendOutcome) -> LogIndex {
    match outcome {
        AppendOutcome::Matched(index) => index,
        AppendOutcome::Rejected(_) => LogIndex(0),
    }
}

/// Returns whether the disk has the node's own entry at an index, or a snapshot that includes it.
fn has_stored(sim: &SimNode, index: LogIndex) -> bool {
    let stored = &sim.disk.synced;
    let own = sim.node.as_ref().and_then(|node| node.entry(index));
    let mut entries = stored.entries.iter();
    index <= stored.snapshot.index
        || entries.any(|entry| entry.index == index && own.is_none_or(|own| own == entry))
}

fn check_on_majority_of_disks(
    nodes: &[SimNode],
    lost_disks: &BTreeMap<Voter, Recovered>,
    status: &Status,
    entry: &Entry,
) -> Result<(), Violation> {
    let on_disk = |voter: &Voter| {
        let mut nodes = nodes.iter();
        let sim = nodes.find(|sim| sim.voter == *voter);
        let disk = sim.map(|sim| &sim.disk.synced);
        disk.or(lost_disks.get(voter)).is_some_and(|stored| {
            stored.snapshot.index >= entry.index || stored.entries.contains(entry)
        })
    };
    require(status.voters.has_majority(on_disk), || {
        let index = entry.index;
        format!("{index} is committed without being on a majority's disks")
    })
}
