//! Nodes, their disks, clocks and network inside one test, stepped by a schedule.

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

/// Why a run is wrong, in words.
pub type Violation = String;

/// The longest step of time in [`Cluster::run`].
const RUN_STEP_MS: u64 = 20;

/// What a run does wrong on purpose, to show that the checks notice it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlantedFault {
    None,
    /// The disk says "synced" before it has synced.
    AckBeforeSync,
    /// A node that lost its disk goes on under its old disk's number.
    LostDiskKeepsItsNumber,
    /// One node's clock runs at a third of the speed, far beyond the allowed error.
    SlowClock,
}

/// A disk: what is synced, and what waits for it.
#[derive(Default)]
struct SimDisk {
    synced: Recovered,
    waiting: VecDeque<(PersistTicket, Vec<DurableRecord>)>,
}

/// One process with its disk and clock.
pub struct SimNode {
    pub voter: Voter,
    pub node: Option<Node>,
    disk: SimDisk,
    pub is_paused: bool,
    /// Speed of its clock in hundredths.
    clock_percent: u64,
    /// The set it starts with if it has stored nothing.
    first_voters: VoterSet,
    restarts: u64,
    /// What its state machine shows.
    pub applied: LogIndex,
}

/// All nodes and what is between them.
pub struct Cluster {
    pub nodes: Vec<SimNode>,
    pub settings: Settings,
    pub network: Vec<Message>,
    now_ms: u64,
    /// Which nodes are on the first side of a partition, one bit each.
    partition: Option<u8>,
    fault: PlantedFault,
    checker: Checker,
    /// What disks held that are gone: acknowledgements sent before are still true.
    lost_disks: BTreeMap<Voter, Recovered>,
    next_proposal: u64,
    next_read: u64,
    pub answered: Vec<ProposalId>,
    pub failed: Vec<(ProposalId, ProposalFailure)>,
    pub reads_ready: Vec<ReadId>,
    pub reads_failed: Vec<ReadId>,
    /// How many entries were sent to each daemon, delivered or not.
    pub entries_sent: BTreeMap<DaemonId, usize>,
}

/// Returns how many entries a message carries; a snapshot counts as one.
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
    pub fn new(size: usize, settings: Settings, fault: PlantedFault) -> Self {
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
            let is_slow = fault == PlantedFault::SlowClock && position == 0;
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

    /// Does one step and checks everything after each event in it.
    pub fn step(&mut self, step: &Step) -> Result<(), Violation> {
        match *step {
            Step::Run { ms } => self.run(u64::from(ms)),
            Step::Advance { ms } => self.advance(u64::from(ms)),
            Step::Deliver { pick } => self.deliver(usize::from(pick)),
            Step::Drop { pick } => self.drop_message(usize::from(pick)),
            Step::Duplicate { pick } => self.duplicate(usize::from(pick)),
            Step::Sync { node } => self.sync_one(self.place(node)),
            Step::Propose { node } => self.propose(self.place(node)).map(|_| ()),
            Step::Read { node } => self.read(self.place(node)).map(|_| ()),
            Step::Pause { node } => self.pause(self.place(node)),
            Step::Resume { node } => self.resume(self.place(node)),
            Step::Crash { node } => self.crash(self.place(node)),
            Step::Restart { node } => self.restart(self.place(node)),
            Step::LoseDisk { node } => self.lose_disk(self.place(node)),
            Step::Partition { side } => {
                self.partition = Some(side);
                Ok(())
            }
            Step::Heal => {
                self.partition = None;
                Ok(())
            }
            Step::Recover => self.recover(),
            Step::Compact { node } => self.compact(self.place(node)),
            Step::Transfer { node } => self.tell(self.place(node), Event::Transfer),
            Step::ChangeMember { node } => self.change_member(self.place(node)),
            Step::RemoveLostDisk => self.remove_lost_disk(),
        }
    }

    fn place(&self, node: u8) -> usize {
        usize::from(node) % self.nodes.len()
    }

    /// Tells a node an event, unless it is stopped.
    pub fn tell(&mut self, at: usize, event: Event) -> Result<(), Violation> {
        let now = self.clock(at);
        let sim = &mut self.nodes[at];
        let Some(node) = sim.node.as_mut().filter(|_| !sim.is_paused) else {
            return Ok(());
        };
        let actions = node.handle(event, now);
        for action in actions {
            self.carry_out(at, action)?;
        }
        self.checker.check_node(&self.nodes, &self.lost_disks, at)
    }

    fn clock(&self, at: usize) -> Timestamp {
        Timestamp(self.now_ms * self.nodes[at].clock_percent / 100)
    }

    fn carry_out(&mut self, at: usize, action: Action) -> Result<(), Violation> {
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
        if self.fault == PlantedFault::AckBeforeSync {
            return self.tell(at, Event::Synced { through: ticket });
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
        self.tell(at, Event::Synced { through: ticket })
    }

    /// Syncs all that a node has asked for.
    pub fn sync_all(&mut self, at: usize) -> Result<(), Violation> {
        while !self.nodes[at].disk.waiting.is_empty() {
            self.sync_one(at)?;
        }
        Ok(())
    }

    /// Delivers the messages that wait for these nodes; those they cause stay in the network.
    pub fn deliver_to(&mut self, nodes: &[usize]) -> Result<(), Violation> {
        let (due, kept) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|message| {
                let to = self.position_of(&message.to);
                to.is_some_and(|to| nodes.contains(&to))
            });
        self.network = kept;
        let due: Vec<Message> = due;
        for message in due {
            self.deliver_message(message)?;
        }
        Ok(())
    }

    /// Lets time pass with a network and disks that work, as far as nodes are up.
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
            self.tell(at, Event::Tick)?;
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
        if from.is_none_or(|from| self.are_parted(from, to)) {
            return Ok(());
        }
        if self.nodes[to].is_paused {
            // It waits in the sockets of the stopped process.
            self.network.push(message);
            return Ok(());
        }
        self.tell(to, Event::Message(message))
    }

    fn are_parted(&self, from: usize, to: usize) -> bool {
        let side = |at: usize| self.partition.map(|sides| sides >> at & 1);
        side(from) != side(to)
    }

    /// Returns the node under a daemon's name, whatever disk it has.
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
        self.tell(at, Event::Propose { id, command })?;
        Ok(id)
    }

    pub fn read(&mut self, at: usize) -> Result<ReadId, Violation> {
        let id = ReadId(self.next_read);
        self.next_read += 1;
        self.checker.read_begins(id);
        self.tell(at, Event::Read { id })?;
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

    /// Ends a process; what it had not synced is lost.
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
            self.tell(at, Event::Tick)?;
            return self.checker.check_restart(&self.nodes[at]);
        }
        Ok(())
    }

    /// Everything comes back that can.
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

    /// Ends a process and empties its disk; it comes back as another voter.
    pub fn lose_disk(&mut self, at: usize) -> Result<(), Violation> {
        self.crash(at)?;
        let sim = &mut self.nodes[at];
        let disk = std::mem::take(&mut sim.disk);
        if self.fault != PlantedFault::LostDiskKeepsItsNumber {
            self.lost_disks.insert(sim.voter.clone(), disk.synced);
            sim.voter.disk += 1;
            sim.first_voters = VoterSet::default();
        }
        self.restart(at)
    }

    pub fn compact(&mut self, at: usize) -> Result<(), Violation> {
        let through = self.nodes[at].applied;
        let data = through.0.to_le_bytes().to_vec();
        self.tell(at, Event::Compact { through, data })
    }

    pub fn change(&mut self, at: usize, change: VoterChange) -> Result<ProposalId, Violation> {
        let id = ProposalId(self.next_proposal);
        self.next_proposal += 1;
        self.tell(at, Event::ChangeVoters { id, change })?;
        Ok(id)
    }

    /// Lets the leader take the next step of making a node a voter, or no voter.
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

    /// Lets the leader remove a voter whose disk is gone.
    fn remove_lost_disk(&mut self) -> Result<(), Violation> {
        let Some(leader) = self.leader() else {
            return Ok(());
        };
        let set = self.nodes[leader].node.as_ref().unwrap().status().voters;
        let lives = |voter: &&Voter| self.nodes.iter().any(|node| node.voter == **voter);
        let lost = set.voters.iter().find(|voter| !lives(voter)).cloned();
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
