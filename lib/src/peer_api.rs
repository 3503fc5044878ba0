//! Messages between cicadabend's own processes, encoded as postcard, over TCP connections.
//!
//! Every message is one-way and may be lost, duplicated or reordered. If a reply must be
//! matched to its request, fields of the two messages themselves do so.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    fmt,
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    fleet::{
        FleetConfig,
        RoutingPolicy,
        Voter, //
    },
    ids::Address,
    prelude::*,
    quarantine::{
        CrashUpdate,
        PartUpdate, //
    },
    rates::{
        PermitAsk,
        PermitUpdate,
        RateUpdate, //
    },
    reach::{
        RelayHello,
        RelayUpdate, //
    },
    registry::{
        Alive,
        Ended,
        InstanceId,
        Registration, //
    },
    retry_budget::{
        GrantRequest,
        GrantUpdate, //
    },
    routes::{
        RouteTable,
        RouteVersion, //
    },
    upstream_api::{
        Announcement,
        LoadReport, //
    },
};

/// The version of this protocol; a process drops and counts messages of another version.
pub const PROTOCOL_VERSION: u16 = 7;

/// A daemon's role, as cluster members that find each other by seeds announce it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonRole {
    /// The daemon takes part in the agreement and stores the agreed state.
    Control,
    /// The daemon takes callers' requests.
    Entry,
}

/// A daemon with its role and its addresses.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberAddress {
    /// The daemon's name.
    pub daemon: DaemonId,
    /// The address at which the daemon accepts connections of other daemons.
    pub address: Address,
    /// The daemon's role.
    pub role: DaemonRole,
    /// The daemon's failure domain.
    pub failure_domain: FailureDomain,
    /// The address at which a control daemon takes operators' requests.
    pub operators: Option<Address>,
    /// The number that identifies a control daemon's disk; `None` for an entry daemon.
    pub disk: Option<u64>,
}

/// A daemon's heartbeat to control daemons, with what it asks of the receiver.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// The sender.
    pub member: MemberAddress,
    /// The version of the route table that the sender uses.
    pub routes: RouteVersion,
    /// Whether the sender asks the receiver to forward the reports of upstreams.
    pub subscribes: bool,
    /// Whether the sender may have missed updates and asks for all reports that the receiver has.
    pub wants_all: bool,
    /// Whether the sender forwards to the receiver the reports that upstreams send to it. Only
    /// control daemons forward reports, and only to daemons from which they receive messages.
    pub passes_on: bool,
    /// Whether the sender has served a caller since its start.
    pub has_served: bool,
    /// The number of the sender's requests for each model of each service: requests that run, that
    /// wait or that were refused recently for lack of capacity.
    pub demand: Vec<(ServiceName, ModelName, u32)>,
    /// Heads of groups all of whose streams through the sender have recently stalled.
    pub stalled: Vec<InstanceId>,
}

/// The cluster members that a control daemon knows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembersUpdate {
    /// The control daemons from which the sender receives messages, and the sender itself.
    pub controls: Vec<MemberAddress>,
    /// The control daemons that forward their upstreams' reports to the sender, and the sender
    /// itself.
    pub told_by: BTreeSet<DaemonId>,
    /// The number of entry daemons from which the sender receives messages.
    pub entries: u32,
    /// The receiver's index among these entry daemons in the order of their names, from zero.
    pub place: u32,
    /// The newest version of the route table that the sender has applied.
    pub routes: RouteVersion,
    /// Whether the sender is in contact with a leader, so that `routes` is almost certainly the
    /// newest version.
    pub is_in_touch: bool,
}

/// Reports of upstreams that one daemon forwards to another.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UpstreamUpdate {
    /// New or changed reports, with their age in milliseconds.
    pub reports: Vec<(Registration, u32)>,
    /// Heartbeats of upstreams whose reports did not change, with their age in milliseconds.
    pub alive: Vec<(Alive, u32)>,
    /// Instances of upstreams that have ended.
    pub ended: Vec<(InstanceId, Ended)>,
    /// Whether `reports` contains all reports that the sender has.
    pub is_all: bool,
}

/// A message with its sender and its delivery numbers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// [`PROTOCOL_VERSION`] of the sender; always the first field.
    pub protocol_version: u16,
    /// The sender's cluster.
    pub cluster: ClusterName,
    /// The sender.
    pub from: DaemonId,
    /// The sender's process instance.
    pub boot: BootId,
    /// The number of this message among those from the sender to the receiver.
    pub number: u64,
    /// The highest message number that the sender has received from the receiver's process
    /// instance.
    pub heard: u64,
    /// The message.
    pub message: PeerMessage,
}

/// The content of a message between two processes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Control to control: a message of the agreement protocol, encoded by the agreement module.
    Agreement(Vec<u8>),
    /// Daemon to daemon in one failure domain: the domain leader's lease.
    Lease(LeaseMessage),
    /// From parent to child in the spread tree: a newer configuration.
    Config(ConfigUpdate),
    /// From child to parent in the spread tree: the revisions that the child's subtree has applied.
    ConfigAck(ConfigAck),
    /// To any process that may have a newer configuration: asks for it.
    ConfigRequest {
        /// The revision that the sender has.
        have: Revision,
    },
    /// Domain leader to its domain's daemons: the members of each group.
    Table(DomainTable),
    /// Daemon to domain leader: the table that the daemon now uses for routing.
    TableAck {
        /// The epoch of the table.
        epoch: u32,
        /// The number of the table within its epoch.
        sequence: u64,
    },
    /// Domain leader to the other domains' leaders and to control: the state of the domain.
    Report(DomainReport),
    /// Daemon to daemon in one failure domain: an upstream's announcement, relayed to a daemon to
    /// which the upstream doesn't announce itself.
    Relay(Box<Announcement>),
    /// Entry to control: an action on the claim of a request that must run at most once.
    Claim(ClaimRequest),
    /// Control to entry: the answer to a claim request.
    ClaimReply(ClaimReply),
    /// Entry to its domain leader, then on to control: statistics by routing policy.
    Figures(Vec<PolicyStatisticsDelta>),
    /// Domain leader to its daemons: each team's share of its limit at that daemon.
    TeamShares(BTreeMap<TeamName, TeamShare>),
    /// Daemon to domain leader: each team's demand at that daemon.
    TeamDemand(BTreeMap<TeamName, TeamShare>),
    /// Control to control: a heartbeat with the sender's state.
    ControlHello(ControlHello),
    /// Daemon to domain leader: the upstreams whose announcements the daemon receives directly.
    Heard(BTreeSet<VmId>),
    /// Domain leader to daemon: for each upstream, the daemons to which its announcements must be
    /// relayed.
    RelayOrder(BTreeMap<VmId, BTreeSet<DaemonId>>),
    /// Any daemon to control daemons, where members find each other by seeds: a heartbeat.
    Hello(Box<Hello>),
    /// Control to the sender of a `Hello`: the cluster members and the version of the route table.
    Roster(Box<MembersUpdate>),
    /// Control to entry: the table of routes.
    Routes(Box<RouteTable>),
    /// Control to control and entry: reports of upstreams.
    Upstreams(Box<UpstreamUpdate>),
    /// Entry to control, control to control and entry: upstreams that ended, with the requests
    /// that they had.
    Crashes(Box<CrashUpdate>),
    /// Entry to control, control to control and entry: the rates that upstreams name.
    Rates(Box<RateUpdate>),
    /// Entry to control: the number of requests for upstreams that name a rate.
    PermitAsk(Box<PermitAsk>),
    /// The leader of the control daemons to entry: permits to send to upstreams that name a rate.
    Permits(Box<PermitUpdate>),
    /// Entry to control: the number of requests that wait for a retry from the slack.
    GrantRequest(Box<GrantRequest>),
    /// The leader of the control daemons to entry: retries from the slack.
    Grants(Box<GrantUpdate>),
    /// Entry to control, after each `Hello`: the sender's offer to relay requests, and the relays
    /// that it knows.
    RelayHello(Box<RelayHello>),
    /// Control to entry: the entry daemons that relay the receiver's requests.
    Relays(Box<RelayUpdate>),
    /// Entry to control, control to control and entry: prompt parts that upstreams had when they
    /// crashed, and parts that were answered.
    Parts(Box<PartUpdate>),
}

/// A control daemon's heartbeat to the other control daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlHello {
    /// The address at which the sender takes operators' requests; `None` if its listener has no
    /// single address.
    pub operators: Option<Address>,
    /// The failure domains from whose leaders the sender has recently received messages.
    pub hears: BTreeSet<FailureDomain>,
    /// Whether the sender knows that it has every revision that was accepted before its start;
    /// see [`crate::fleet::spread`].
    pub is_level: bool,
    /// The accepted revision that a leader has confirmed; `None` from a follower.
    pub confirmed: Option<ConfirmedRevision>,
}

/// The accepted revision that a leader confirmed with a majority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmedRevision {
    /// The revision.
    pub revision: Revision,
    /// The process instances of other control daemons that the leader had received messages from
    /// before it asked the majority. An instance that is listed here knows that the revision was
    /// confirmed after its own start. Without the list it could not know: sockets deliver to a
    /// restarted process what was sent to the instance before it.
    pub runs: BTreeMap<DaemonId, BootId>,
}

/// A message about the domain leader's lease.
///
/// The lease is not stored on disk; a majority of the domain's daemons grants and renews it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseMessage {
    /// Asks whether the receiver would grant a lease, without requesting one.
    Probe {
        /// The epoch in which the sender would lead.
        epoch: u32,
    },
    /// Answers a probe.
    ProbeReply {
        /// The epoch of the probe.
        epoch: u32,
        /// Whether the lease would be granted.
        would_grant: bool,
        /// The highest epoch that the sender knows.
        highest_epoch: u32,
    },
    /// Requests the lease or its renewal.
    Request {
        /// The epoch in which the sender leads or wants to lead.
        epoch: u32,
        /// The number of the request, so that a late grant is not counted for a newer request.
        round: u64,
        /// The newest round for which the sender has received the receiver's grant.
        confirmed_round: Option<u64>,
    },
    /// Answers a request.
    Reply {
        /// The epoch of the request.
        epoch: u32,
        /// The number of the request.
        round: u64,
        /// Whether the lease is granted, from now for the configured length.
        granted: bool,
        /// The highest epoch that the sender knows.
        highest_epoch: u32,
    },
}

/// A configuration that is sent along the spread tree.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigUpdate {
    /// The configuration's revision.
    pub revision: Revision,
    /// The revision that a delta applies to; `None` for a complete configuration.
    pub base: Option<Revision>,
    /// The complete configuration, the changes, or neither.
    pub body: ConfigBody,
}

/// The content of a [`ConfigUpdate`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigBody {
    /// The update carries only the revision's number; the receiver requests the configuration if
    /// it lacks it.
    Digest,
    /// The complete configuration.
    Whole(Box<FleetConfig>),
    /// The changes since the base revision, encoded by the spread module.
    Delta(Vec<u8>),
}

/// The revisions that the daemons of one subtree of the spread tree have applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigAck {
    /// The lowest revision that the sender and all daemons below it have applied.
    pub applied: Revision,
    /// The number of daemons in the subtree, the sender included.
    pub daemons: u32,
    /// Daemons of the subtree that are behind, each with the revision that it has applied.
    pub lagging: BTreeMap<DaemonId, Revision>,
}

/// The members of each group of a failure domain, as the domain leader decided.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainTable {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The leader's epoch.
    pub epoch: u32,
    /// The table's number within the epoch; grows with each table.
    pub sequence: u64,
    /// The revision of the configuration from which the table was made.
    pub revision: Revision,
    /// The daemons from which the leader receives messages; they form the spread tree.
    pub daemons: BTreeSet<DaemonId>,
    /// The domain's groups with their members.
    pub groups: Vec<Assignment>,
}

/// One group with its VMs and its fencing token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// The group.
    pub group: GroupId,
    /// The service that the group serves.
    pub service: ServiceName,
    /// The model whose weights the group loads.
    pub model: ModelName,
    /// The version of the weights.
    pub version: String,
    /// The adapters that the group loads in addition to the weights.
    pub adapters: Vec<String>,
    /// The members in rank order; the first is the head and takes the requests.
    pub members: Vec<VmId>,
    /// The fencing token of the command that formed the group.
    pub token: FencingToken,
    /// Whether requests may be sent to the group once all members announce it.
    pub admits_requests: bool,
}

/// The state of a failure domain, as its leader reports it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainReport {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The domain's leader.
    pub leader: DaemonId,
    /// The leader's epoch.
    pub epoch: u32,
    /// The report's number within the epoch; grows with each report.
    pub sequence: u64,
    /// The lowest revision that all reachable daemons of the domain have applied.
    pub applied: Revision,
    /// Daemons that are behind, each with the revision that it has applied.
    pub lagging: BTreeMap<DaemonId, Revision>,
    /// Daemons of the domain from which the leader receives no messages.
    pub unreachable: Vec<DaemonId>,
    /// The domain's groups and their state.
    pub groups: Vec<GroupReport>,
    /// The VMs that the leader knows.
    pub vms: Vec<VmReport>,
    /// The time in this epoch in which demanded groups did not serve, in milliseconds, summed over
    /// groups.
    pub group_downtime_ms: u64,
    /// The time in this epoch in which healthy accelerators could not serve because their group
    /// did not, in milliseconds, summed over accelerators.
    pub stranded_accelerator_ms: u64,
}

/// One group in a [`DomainReport`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupReport {
    /// The group with its members.
    pub assignment: Assignment,
    /// The group's state, by its name in the state chart of groups.
    pub state: String,
    /// The address at which the group's head takes requests, if known.
    pub address: Option<Address>,
    /// The number of requests that the group runs concurrently.
    pub slots: Slots,
    /// The group's load.
    pub load: LoadReport,
}

/// One VM in a [`DomainReport`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmReport {
    /// The VM.
    pub vm: VmId,
    /// The VM's fabric domain.
    pub fabric_domain: FabricDomain,
    /// The number of the VM's accelerators.
    pub accelerators: Accelerators,
    /// The state of the VM's upstream, by its name in the state chart of upstreams.
    pub state: String,
    /// The group that the VM is assigned to.
    pub group: Option<GroupId>,
    /// The plain service that the VM offers.
    pub plain_service: Option<ServiceName>,
    /// The address at which the VM's upstream takes requests.
    pub address: Address,
    /// The number of requests that the upstream runs concurrently.
    pub slots: Slots,
    /// The upstream's load.
    pub load: LoadReport,
}

/// An action on the claim of one request that must run at most once.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// The number by which the sender matches replies to its requests.
    pub question: u64,
    /// The claimed key.
    pub key: ClaimKey,
    /// The number of the set of voters whose answers the sender counts.
    pub voters_number: u64,
    /// The action that is requested.
    pub action: ClaimAction,
}

/// The subject of a claim: one team's idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The team.
    pub team: TeamName,
    /// The idempotency key that the caller sent.
    pub key: IdempotencyKey,
}

/// The owner of a claim: one attempt of one process instance of an entry daemon.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Claimant {
    /// The entry daemon.
    pub daemon: DaemonId,
    /// The daemon's process instance.
    pub boot: BootId,
    /// The number of the attempt within that instance.
    pub attempt: u64,
}

impl fmt::Display for Claimant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.daemon, self.attempt)
    }
}

/// An action that an entry daemon requests from the control daemons that store a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimAction {
    /// Acquires the claim, so that the attempt may run.
    Acquire {
        /// The attempt.
        claimant: Claimant,
        /// A hash of method, path and body, by which a key that is reused for a different request
        /// is detected.
        fingerprint: u64,
    },
    /// Releases the claim: the attempt certainly did not run, so another attempt may.
    Release {
        /// The attempt.
        claimant: Claimant,
    },
    /// Stores the outcome of the attempt, which has ended.
    Complete {
        /// The attempt.
        claimant: Claimant,
        /// The same hash as in `Acquire`; a control daemon that never received the `Acquire`
        /// checks client retries against this one.
        fingerprint: u64,
        /// The answer that the caller got.
        outcome: StoredOutcome,
    },
    /// Asks whether the attempt could hold the key, and records nothing.
    Probe {
        /// The attempt.
        claimant: Claimant,
        /// The same hash as in `Acquire`.
        fingerprint: u64,
    },
}

/// A recorded answer that is replayed to client retries.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredOutcome {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body, or `None` if it was too large to store.
    pub body: Option<Vec<u8>>,
}

/// A control daemon's answer to a claim request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimReply {
    /// The number of the claim request.
    pub question: u64,
    /// The daemon that answers, with its disk; a daemon with a new disk is another voter, so its
    /// answers are not added to those from before.
    pub voter: Voter,
    /// The answer.
    pub verdict: ClaimVerdict,
}

/// The content of a control daemon's answer to a claim request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimVerdict {
    /// The attempt holds the claim at this daemon, and the daemon has synced that to disk.
    Held,
    /// Another attempt holds the claim.
    HeldByOther {
        /// The attempt that holds the claim.
        holder: Claimant,
        /// Whether the key was used for a different request.
        fingerprint_differs: bool,
    },
    /// The request has ended.
    Completed {
        /// The answer that the first caller got.
        outcome: StoredOutcome,
        /// Whether the key was used for a different request.
        fingerprint_differs: bool,
    },
    /// The release or the outcome is recorded.
    Recorded,
    /// The daemon cannot answer now, for example because its disk is full.
    Unavailable,
    /// The sender counts answers of an outdated set of voters; nothing was recorded.
    VotersChanged(VoterSet),
    /// The answer to `Probe`: the key's state at this daemon.
    Report(ClaimReport),
}

/// The state of a key at one control daemon, unless the key's request has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimReport {
    /// The attempt that holds the key.
    pub holder: Option<Claimant>,
    /// Whether the holder uses the key for a different request.
    pub fingerprint_differs: bool,
    /// Attempts that were released: none of them runs, now or later.
    pub released: Vec<Claimant>,
}

/// The voters of claims: the control daemons whose answers are counted.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// The set's number; grows with each change, zero before the first.
    pub number: u64,
    /// The voters; each change adds or removes one.
    pub voters: BTreeSet<Voter>,
}

impl VoterSet {
    /// Returns the number of voters that form a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Statistics of one routing policy for one service since the sender's last message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PolicyStatisticsDelta {
    /// The service.
    pub service: ServiceName,
    /// The routing policy.
    pub policy: RoutingPolicy,
    /// The number of requests for which the policy chose the replica.
    pub requests: u64,
    /// The number of these requests that failed.
    pub failures: u64,
    /// The number of these requests whose prompt prefix was cached at the replica.
    pub cache_hits: u64,
    /// The sum of the times to the first token, in microseconds.
    pub first_token_sum_us: u64,
    /// The sum of the squares of these times, in square microseconds.
    pub first_token_sum_squares: f64,
    /// The histogram of times to the first token, by
    /// [`bucket_of`](crate::fleet::policy_statistics::bucket_of).
    pub first_token_buckets: Vec<u32>,
    /// The histogram of times between tokens, by
    /// [`bucket_of`](crate::fleet::policy_statistics::bucket_of).
    pub between_tokens_buckets: Vec<u32>,
}

/// A team's share of its limits at one daemon, or its demand there.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamShare {
    /// The rate in thousandths of a request per second.
    pub requests_per_1000_s: u64,
    /// The number of concurrent requests.
    pub concurrent_requests: u32,
}
