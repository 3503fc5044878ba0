//! A simulated cluster: nodes with their disks, clocks and network, driven by a schedule.

mod checker;
mod schedule;

use std::collections::{
    BTreeMap,
    VecDeque, //
};

use checker::Checker;
use cicadabend::{
    agreement::{
        Action,
        DurableRecord,
        Event,
        LogIndex,
        Message,
        MessageBody,
        Node,
        Persist,
        PersistTicket,
        ProposalFailure,
        ProposalId,
        ReadId,
        Recovered,
        RoleName,
        Settings,
        VoterChange,
        VoterSet, //
    },
    fleet::Voter,
    prelude::DaemonId,
    time::Timestamp, //
};
pub use schedule::{
    Step,
    steps, //
};

/// The description of a violated safety property.
pub type Violation = String;

/// The longest step of time in [`Cluster::run`], in milliseconds.
const RUN_STEP_MS: u64 = 20;

/// A fault that is injected into a run to show that the checks find it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InjectedFault {
    None,
    /// The disk reports records as synced before it has synced them.
    AckBeforeSync,
    /// A node that lost its disk continues under its old disk's number.
    LostDiskKeepsItsNumber,
    /// One node's clock runs at a third of the speed, far beyond the allowed error.
    SlowClock,
}

/// A simulated disk with its synced state and the persists that wait for a sync.
#[derive(Default)]
struct SimDisk {
    synced: Recovered,
    waiting: VecDeque<(PersistTicket, Vec<DurableRecord>)>,
}

/// A simulated process with its disk and clock.
pub struct SimNode {
    pub voter: Voter,
    pub node: Option<Node>,
    disk: SimDisk,
    pub is_paused: bool,
    /// The rate of the node's clock in percent of real time.
    clock_percent: u64,
    /// The set of voters that the node starts with if it has stored nothing.
    first_voters: VoterSet,
    restarts: u64,
    /// The last entry that the node's state machine has applied.
    pub applied: LogIndex,
}

/// All nodes, the messages in flight between them, and the results of proposals and reads.
pub struct Cluster {
    pub nodes: Vec<SimNode>,
    pub settings: Settings,
    pub network: Vec<Message>,
    now_ms: u64,
    /// The current partition: bit n is set if node n is on its first side.
    partition: Option<u8>,
    fault: InjectedFault,
    checker: Checker,
    /// The state of lost disks by voter; it still counts for the acknowledgements sent before.
    lost_disks: BTreeMap<Voter, Recovered>,
    next_proposal: u64,
    next_read: u64,
    pub answered: Vec<ProposalId>,
    pub failed: Vec<(ProposalId, ProposalFailure)>,
    pub reads_ready: Vec<ReadId>,
    pub reads_failed: Vec<ReadId>,
    /// The number of entries sent to each daemon, whether delivered or lost.
    pub entries_sent: BTreeMap<DaemonId, usize>,
}

/// Returns the number of entries in a message; a snapshot counts as one.
pub fn entries_in(body: &MessageBody) -> usize {
    match body {
        MessageBody::Append { entries, .. } => entries.len(),
        MessageBody::InstallSnapshot { .. } => 1,
        _ => 0,
    }
}

pub fn voter(position: usize, disk: u64) -> Voter {
    Voter {
        daemon: format!("control-{position}").parse().unwrap(),
        disk,
    }
}

impl Cluster {
    pub fn new(size: usize, settings: Settings, fault: InjectedFault) -> Self {
        let set = VoterSet::of((0..size).map(|position| voter(position, 1)));
        let mut cluster = Self {
            nodes: Vec::new(),
            settings,
            network: Vec::new(),
            now_ms: 10_000,
            partition: None,
            fault,
            checker: Checker::default(),
            lost_disks: BTreeMap::new(),
            next_proposal: 1,
            next_read: 1,
            answered: Vec::new(),
            failed: Vec::new(),
            reads_ready: Vec::new(),
            reads_failed: Vec::new(),
            entries_sent: BTreeMap::new(),
        };
        for position in 0..size {
            let is_slow = fault == InjectedFault::SlowClock && position == 0;
            cluster.nodes.push(SimNode {
                voter: voter(position, 1),
                node: None,
                disk: SimDisk::default(),
                is_paused: false,
                clock_percent: if is_slow {
                    33
                } else {
                    95 + 5 * (position as u64 % 3)
                },
                first_voters: set.clone(),
                restarts: 0,
                applied: LogIndex(0),
            });
            cluster.start(position);
        }
        cluster
    }

    /// Performs one step of a schedule and checks all properties after each event in it.
    pub fn step(&mut self, step: &Step) -> Result<(), Violation> {
        match *step {
            Step::Run { ms } => self.run(u64::from(ms)),
            Step::Advance { ms } => self.advance(u64::from(ms)),
            Step::Deliver { pick } => self.deliver(usize::from(pick)),
            Step::Drop { pick } => self.drop_message(usize::from(pick)),
            Step::Duplicate { pick } => self.duplicate(usize::from(pick)),
            Step::Sync { node } => self.sync_one(self.node_index(node)),
            Step::Propose { node } => self.propose(self.node_index(node)).map(|_| ()),
            Step::Read { node } => self.read(self.node_index(node)).map(|_| ()),
            Step::Pause { node } => self.pause(self.node_index(node)),
            Step::Resume { node } => self.resume(self.node_index(node)),
            Step::Crash { node } => self.crash(self.node_index(node)),
            Step::Restart { node } => self.restart(self.node_index(node)),
            Step::LoseDisk { node } => self.lose_disk(self.node_index(node)),
            Step::Partition { side } => {
                self.partition = Some(side);
                Ok(())
            }
            Step::Heal => {
                self.partition = None;
                Ok(())
            }
            Step::Recover => self.recover(),
            Step::Compact { node } => self.compact(self.node_index(node)),
            Step::Transfer { node } => self.handle_event(self.node_index(node), Event::Transfer),
            Step::ChangeMember { node } => self.change_member(self.node_index(node)),
            Step::RemoveLostDisk => self.remove_lost_disk(),
        }
    }

    fn node_index(&self, node: u8) -> usize {
        usize::from(node) % self.nodes.len()
    }

    /// Lets a node handle an event and performs its actions, unless it is paused or crashed.
    pub fn handle_event(&mut self, at: usize, event: Event) -> Result<(), Violation> {
        let now = self.clock(at);
        let sim = &mut self.nodes[at];
        let Some(node) = sim.node.as_mut().filter(|_| !sim.is_paused) else {
            return Ok(());
        };
        let actions = node.handle(event, now);
        for action in actions {
            self.perform(at, action)?;
        }
        self.checker.check_node(&self.nodes, &self.lost_disks, at)
    }

    fn clock(&self, at: usize) -> Timestamp {
        Timestamp(self.now_ms * self.nodes[at].clock_percent / 100)
    }

    fn perform(&mut self, at: usize, action: Action) -> Result<(), Violation> {
        match action {
            Action::Send(message) => {
                self.checker.check_send(&self.nodes[at], &message)?;
                let sent = self.entries_sent.entry(message.to.daemon.clone());
                *sent.or_default() += entries_in(&message.body);
                self.network.push(message);
            }
            Action::Persist(persist) => return self.persist(at, persist),
            Action::Apply { entry, proposal } => {
                self.checker.check_apply(&self.nodes[at], &entry)?;
                self.nodes[at].applied = entry.index;
                self.answered.extend(proposal);
            }
            Action::Restore(snapshot) => {
                self.checker.check_restore(&self.nodes[at], &snapshot)?;
                self.nodes[at].applied = snapshot.index;
            }
            Action::ProposalFailed { id, reason } => {
                self.checker.check_failure(id, &reason)?;
                self.failed.push((id, reason));
            }
            Action::ReadReady { id } => {
                self.checker.check_read(&self.nodes[at], id)?;
                self.reads_ready.push(id);
            }
            Action::ReadFailed { id, .. } => self.reads_failed.push(id),
        }
        Ok(())
    }

    fn persist(&mut self, at: usize, persist: Persist) -> Result<(), Violation> {
        let ticket = persist.ticket;
        let records = persist.into_records();
        self.nodes[at].disk.waiting.push_back((ticket, records));
        if self.fault == InjectedFault::AckBeforeSync {
            return self.handle_event(at, Event::Synced { through: ticket });
        }
        Ok(())
    }

    /// Syncs the oldest waiting persist of a node.
    pub fn sync_one(&mut self, at: usize) -> Result<(), Violation> {
        let sim = &mut self.nodes[at];
        if sim.is_paused || sim.node.is_none() {
            return Ok(());
        }
        let Some((ticket, records)) = sim.disk.waiting.pop_front() else {
            return Ok(());
        };
        for record in records {
            sim.disk.synced.add(record);
        }
        self.handle_event(at, Event::Synced { through: ticket })
    }

    /// Syncs all waiting persists of a node.
    pub fn sync_all(&mut self, at: usize) -> Result<(), Violation> {
        while !self.nodes[at].disk.waiting.is_empty() {
            self.sync_one(at)?;
        }
        Ok(())
    }

    /// Delivers the messages in flight to these nodes; messages sent in response stay in flight.
    pub fn deliver_to(&mut self, nodes: &[usize]) -> Result<(), Violation> {
        let (due, remaining) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|message| {
                let to = self.position_of(&message.to);
                to.is_some_and(|to| nodes.contains(&to))
            });
        self.network = remaining;
        let due: Vec<Message> = due;
        for message in due {
            self.deliver_message(message)?;
        }
        Ok(())
    }

    /// Lets time pass while all messages are delivered and the disks of running nodes sync.
    pub fn run(&mut self, ms: u64) -> Result<(), Violation> {
        let end = self.now_ms + ms;
        while self.now_ms < end {
            self.advance(RUN_STEP_MS.min(end - self.now_ms))?;
            for _ in 0..4 {
                self.deliver_all()?;
                for at in 0..self.nodes.len() {
                    if self.is_running(at) {
                        self.sync_all(at)?;
                    }
                }
            }
        }
        Ok(())
    }

    fn is_running(&self, at: usize) -> bool {
        self.nodes[at].node.is_some() && !self.nodes[at].is_paused
    }

    pub fn advance(&mut self, ms: u64) -> Result<(), Violation> {
        self.now_ms += ms;
        for at in 0..self.nodes.len() {
            self.handle_event(at, Event::Tick)?;
        }
        Ok(())
    }

    fn deliver_all(&mut self) -> Result<(), Violation> {
        for message in std::mem::take(&mut self.network) {
            self.deliver_message(message)?;
        }
        Ok(())
    }

    fn deliver(&mut self, pick: usize) -> Result<(), Violation> {
        if self.network.is_empty() {
            return Ok(());
        }
        let message = self.network.remove(pick % self.network.len());
        self.deliver_message(message)
    }

    fn deliver_message(&mut self, message: Message) -> Result<(), Violation> {
        let from = self.position_of(&message.from);
        let Some(to) = self.position_of(&message.to) else {
            return Ok(());
        };
        if from.is_none_or(|from| self.are_partitioned(from, to)) {
            return Ok(());
        }
        if self.nodes[to].is_paused {
            // The message waits in the socket of the paused process.
            self.network.push(message);
            return Ok(());
        }
        self.handle_event(to, Event::Message(message))
    }

    fn are_partitioned(&self, from: usize, to: usize) -> bool {
        let side = |at: usize| self.partition.map(|sides| sides >> at & 1);
        side(from) != side(to)
    }

    /// Returns the index of the node with this daemon name, whatever its disk.
    fn position_of(&self, voter: &Voter) -> Option<usize> {
        let mut nodes = self.nodes.iter();
        nodes.position(|node| node.voter.daemon == voter.daemon)
    }

    fn drop_message(&mut self, pick: usize) -> Result<(), Violation> {
        if !self.network.is_empty() {
            self.network.remove(pick % self.network.len());
        }
        Ok(())
    }

    fn duplicate(&mut self, pick: usize) -> Result<(), Violation> {
        if !self.network.is_empty() {
            let message = self.network[pick % self.network.len()].clone();
            self.network.push(message);
        }
        Ok(())
    }

    pub fn propose(&mut self, at: usize) -> Result<ProposalId, Violation> {
        let id = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        let command = id.0.to_le_bytes().to_vec();
        self.handle_event(at, Event::Propose { id, command })?;
        Ok(id)
    }

    pub fn read(&mut self, at: usize) -> Result<ReadId, Violation> {
        let id = ReadId(self.next_read);
        self.next_read += 1;
        self.checker.record_read_start(id);
        self.handle_event(at, Event::Read { id })?;
        Ok(id)
    }

    pub fn pause(&mut self, at: usize) -> Result<(), Violation> {
        self.nodes[at].is_paused = self.nodes[at].node.is_some();
        Ok(())
    }

    pub fn resume(&mut self, at: usize) -> Result<(), Violation> {
        self.nodes[at].is_paused = false;
        Ok(())
    }

    /// Ends a process; its unsynced records are lost.
    pub fn crash(&mut self, at: usize) -> Result<(), Violation> {
        let sim = &mut self.nodes[at];
        sim.node = None;
        sim.is_paused = false;
        sim.disk.waiting.clear();
        Ok(())
    }

    pub fn restart(&mut self, at: usize) -> Result<(), Violation> {
        if self.nodes[at].node.is_none() {
            self.start(at);
            self.handle_event(at, Event::Tick)?;
            return self.checker.check_restart(&self.nodes[at]);
        }
        Ok(())
    }

    /// Ends the partition, and resumes or restarts all nodes.
    pub fn recover(&mut self) -> Result<(), Violation> {
        self.partition = None;
        for at in 0..self.nodes.len() {
            self.resume(at)?;
            self.restart(at)?;
        }
        Ok(())
    }

    fn start(&mut self, at: usize) {
        let now = self.clock(at);
        let sim = &mut self.nodes[at];
        sim.restarts += 1;
        sim.applied = LogIndex(0);
        sim.node = Some(Node::new(
            self.settings,
            sim.voter.clone(),
            sim.first_voters.clone(),
            sim.disk.synced.clone(),
            1_000 * at as u64 + sim.restarts,
            now,
        ));
    }

    /// Ends a process, empties its disk and restarts it as another voter.
    pub fn lose_disk(&mut self, at: usize) -> Result<(), Violation> {
        self.crash(at)?;
        let sim = &mut self.nodes[at];
        let disk = std::mem::take(&mut sim.disk);
        if self.fault != InjectedFault::LostDiskKeepsItsNumber {
            self.lost_disks.insert(sim.voter.clone(), disk.synced);
            sim.voter.disk += 1;
            sim.first_voters = VoterSet::default();
        }
        self.restart(at)
    }

    pub fn compact(&mut self, at: usize) -> Result<(), Violation> {
        let through = self.nodes[at].applied;
        let data = through.0.to_le_bytes().to_vec();
        self.handle_event(at, Event::Compact { through, data })
    }

    pub fn change(&mut self, at: usize, change: VoterChange) -> Result<ProposalId, Violation> {
        let id = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        self.handle_event(at, Event::ChangeVoters { id, change })?;
        Ok(id)
    }

    /// Lets the leader propose the next change for a node: learner, then voter, then removed.
    fn change_member(&mut self, of: usize) -> Result<(), Violation> {
        let Some(leader) = self.leader() else {
            return Ok(());
        };
        let set = self.nodes[leader].node.as_ref().unwrap().status().voters;
        let voter = self.nodes[of].voter.clone();
        let change = if set.voters.contains(&voter) {
            VoterChange::Remove(voter)
        } else if set.learners.contains(&voter) {
            VoterChange::Promote(voter)
        } else {
            VoterChange::AddLearner(voter)
        };
        self.change(leader, change).map(|_| ())
    }

    /// Lets the leader remove a voter whose disk is lost.
    fn remove_lost_disk(&mut self) -> Result<(), Violation> {
        let Some(leader) = self.leader() else {
            return Ok(());
        };
        let set = self.nodes[leader].node.as_ref().unwrap().status().voters;
        let is_present = |voter: &&Voter| self.nodes.iter().any(|node| node.voter == **voter);
        let lost = set.voters.iter().find(|voter| !is_present(voter)).cloned();
        match lost {
            Some(lost) => self.change(leader, VoterChange::Remove(lost)).map(|_| ()),
            None => Ok(()),
        }
    }

    /// Returns the leader with the highest term among the nodes that run.
    pub fn leader(&self) -> Option<usize> {
        let running = (0..self.nodes.len()).filter(|at| self.is_running(*at));
        let leaders = running.filter_map(|at| {
            let status = self.nodes[at].node.as_ref()?.status();
            (status.role == RoleName::Leader).then_some((status.term, at))
        });
        leaders.max().map(|(_, at)| at)
    }
}
