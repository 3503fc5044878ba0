//! Messages between cicadabend's own processes; postcard over TCP connections.
//!
//! Every message is one-way and may be lost, doubled or reordered; what needs an
//! answer says so in its own fields.

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
    quarantine::CrashUpdate,
    rates::{
        PermitAsk,
        PermitUpdate,
        RateUpdate, //
    },
    registry::{
        Alive,
        Ended,
        InstanceId,
        Registration, //
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

/// The version of this protocol; a process drops messages of another one and counts them.
pub const PROTOCOL_VERSION: u16 = 7;

/// A daemon's role, as members that find each other by seeds tell it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DaemonRole {
    /// It keeps the agreed state.
    Control,
    /// It takes callers' requests.
    Entry,
}

/// A daemon and where it hears its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberAddress {
    /// Its name.
    pub daemon: DaemonId,
    /// Where it hears peers.
    pub address: Address,
    /// Its role.
    pub role: DaemonRole,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// Where a control daemon takes operators' requests.
    pub operators: Option<Address>,
    /// The number of a control daemon's disk.
    pub disk: Option<u64>,
}

/// A daemon's sign of life.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hello {
    /// Who it is.
    pub member: MemberAddress,
    /// The table of routes it serves by.
    pub routes: RouteVersion,
    /// Whether the receiver is asked to pass on what upstreams report.
    pub subscribes: bool,
    /// Whether it lacks something, so that only all that the receiver knows helps.
    pub wants_all: bool,
    /// Whether the receiver gets the reports that upstreams send to the sender itself; only
    /// control daemons pass any on, and only to those that they hear.
    pub passes_on: bool,
    /// Whether it has served a caller since its start.
    pub has_served: bool,
    /// How much of its requests each model has, by service: those that run, wait or were
    /// refused lately for want of room.
    pub demand: Vec<(ServiceName, ModelName, u32)>,
    /// Heads whose streams have all stood still lately, as this daemon sees them.
    pub stalled: Vec<InstanceId>,
}

/// What a control daemon knows of the membership.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MembersUpdate {
    /// The control daemons it hears, itself included.
    pub controls: Vec<MemberAddress>,
    /// The control daemons of which it gets the reports that upstreams send to them, itself
    /// included.
    pub told_by: BTreeSet<DaemonId>,
    /// How many entry daemons it hears.
    pub entries: u32,
    /// Where the receiver stands among them by name, from zero on.
    pub place: u32,
    /// The newest table of routes it has applied.
    pub routes: RouteVersion,
    /// Whether it is in touch with a leader, so that `routes` is the newest but for moments.
    pub is_in_touch: bool,
}

/// Reports of upstreams on their way between daemons.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct UpstreamUpdate {
    /// New or changed reports, with their age in milliseconds.
    pub reports: Vec<(Registration, u32)>,
    /// Signs of life, with their age in milliseconds.
    pub alive: Vec<(Alive, u32)>,
    /// Runs that have ended.
    pub ended: Vec<(InstanceId, Ended)>,
    /// Whether `reports` holds all that the sender knows.
    pub is_all: bool,
}

/// What surrounds every message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Envelope {
    /// [`PROTOCOL_VERSION`] of the sender; always the first field.
    pub protocol_version: u16,
    /// The sender's cluster.
    pub cluster: ClusterName,
    /// The sender.
    pub from: DaemonId,
    /// The sender's run.
    pub boot: BootId,
    /// The number of this message among those from the sender to the receiver.
    pub number: u64,
    /// The highest number of a message that the sender has heard from the receiver's run.
    pub heard: u64,
    /// The message.
    pub message: PeerMessage,
}

/// What one process tells another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// Control to control: a message of the agreement, encoded by that module.
    Agreement(Vec<u8>),
    /// Daemon to daemon in one failure domain: the domain leader's lease.
    Lease(LeaseMessage),
    /// Downwards along the spread tree: a newer configuration.
    Config(ConfigUpdate),
    /// Upwards along the spread tree: what this subtree has applied.
    ConfigAck(ConfigAck),
    /// To any process that may know: send the configuration if it is newer than this.
    ConfigRequest {
        /// What the sender has.
        have: Revision,
    },
    /// Domain leader to its domain's daemons: who is in which group.
    Table(DomainTable),
    /// Daemon to domain leader: the table it now routes by.
    TableAck {
        /// The epoch of the table.
        epoch: u32,
        /// The number of the table within its epoch.
        sequence: u64,
    },
    /// Domain leader to the other domains' leaders and to control: a digest.
    Report(DomainReport),
    /// Daemon to daemon in one failure domain: an announcement heard by one only.
    Relay(Box<Announcement>),
    /// Entry to control: about a request that must run at most once.
    Claim(ClaimRequest),
    /// Control to entry: the answer.
    ClaimReply(ClaimReply),
    /// Entry to its domain leader, then on to control: figures by policy.
    Figures(Vec<PolicyStatisticsDelta>),
    /// Domain leader to its daemons: each team's share of its limit at that daemon.
    TeamShares(BTreeMap<TeamName, TeamShare>),
    /// Daemon to domain leader: each team's demand there.
    TeamDemand(BTreeMap<TeamName, TeamShare>),
    /// Control to control: a sign of life, and what the others need of the sender.
    ControlHello(ControlHello),
    /// Daemon to domain leader: the upstreams whose own announcements it receives.
    Heard(BTreeSet<VmId>),
    /// Domain leader to daemon: relay these upstreams' announcements to these daemons.
    RelayOrder(BTreeMap<VmId, BTreeSet<DaemonId>>),
    /// Any daemon to control daemons, where members find each other by seeds.
    Hello(Box<Hello>),
    /// Control to whoever said hello: who is there, and what is in force.
    Roster(Box<MembersUpdate>),
    /// Control to entry: the table of routes.
    Routes(Box<RouteTable>),
    /// Control to control and entry: what upstreams report.
    Upstreams(Box<UpstreamUpdate>),
    /// Entry to control, control to control and entry: upstreams that ended, with the requests
    /// that they had.
    Crashes(Box<CrashUpdate>),
    /// Entry to control, control to control and entry: the rates that upstreams name.
    Rates(Box<RateUpdate>),
    /// Entry to control: how many requests there are for upstreams that name a rate.
    PermitAsk(Box<PermitAsk>),
    /// The leader of the control daemons to entry: permits to send to such upstreams.
    Permits(Box<PermitUpdate>),
}

/// A control daemon's sign of life to the other control daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ControlHello {
    /// Where it takes operators' requests; `None` if its listener has no single address.
    pub operators: Option<Address>,
    /// The failure domains whose leaders it has heard lately.
    pub hears: BTreeSet<FailureDomain>,
    /// Whether it knows that it is level; see [`crate::fleet::spread`].
    pub is_level: bool,
    /// What a leader has found to be accepted; `None` from a follower.
    pub confirmed: Option<ConfirmedRevision>,
}

/// The accepted revision, as a leader found it by asking a majority.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfirmedRevision {
    /// The revision.
    pub revision: Revision,
    /// The runs of other control daemons that the leader had heard before it asked. A run
    /// that finds itself here knows that the revision was not found before its start:
    /// the sockets deliver what was sent to an earlier run to the next one.
    pub runs: BTreeMap<DaemonId, BootId>,
}

/// The domain leader's lease; volatile, renewed by a majority of the domain's daemons.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum LeaseMessage {
    /// Asks whether a lease would be granted, without asking for it.
    Probe {
        /// The epoch the sender would lead in.
        epoch: u32,
    },
    /// Answers a probe.
    ProbeReply {
        /// The epoch probed.
        epoch: u32,
        /// Whether the lease would be granted.
        would_grant: bool,
        /// The highest epoch the sender knows.
        highest_epoch: u32,
    },
    /// Asks for the lease or its renewal.
    Request {
        /// The epoch to lead in.
        epoch: u32,
        /// The number of the request, so that a late grant is not counted for a newer one.
        round: u64,
        /// The newest round for which the sender has the receiver's grant.
        confirmed_round: Option<u64>,
    },
    /// Answers a request.
    Reply {
        /// The epoch asked for.
        epoch: u32,
        /// The request's number.
        round: u64,
        /// Whether the lease is granted, from now for the configured length.
        granted: bool,
        /// The highest epoch the sender knows.
        highest_epoch: u32,
    },
}

/// A configuration on its way down.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ConfigUpdate {
    /// Its number.
    pub revision: Revision,
    /// The revision that a delta starts from; `None` for a whole configuration.
    pub base: Option<Revision>,
    /// The configuration, whole or the parts that changed.
    pub body: ConfigBody,
}

/// The content of a [`ConfigUpdate`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ConfigBody {
    /// Only the number: the receiver has it or asks for it.
    Digest,
    /// All of it.
    Whole(Box<FleetConfig>),
    /// A change, encoded by the spread module.
    Delta(Vec<u8>),
}

/// What a daemon and those below it in the spread tree have applied.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigAck {
    /// The lowest revision applied by the sender and all below it.
    pub applied: Revision,
    /// How many daemons that covers.
    pub daemons: u32,
    /// Those that are behind, with what they have applied.
    pub lagging: BTreeMap<DaemonId, Revision>,
}

/// Who is in which group of a failure domain; the domain leader's decision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainTable {
    /// The domain.
    pub failure_domain: FailureDomain,
    /// The leader's epoch.
    pub epoch: u32,
    /// Grows with each table of the epoch.
    pub sequence: u64,
    /// The configuration it follows.
    pub revision: Revision,
    /// The daemons that the leader hears; they form the spread tree.
    pub daemons: BTreeSet<DaemonId>,
    /// The assignments.
    pub groups: Vec<Assignment>,
}

/// One group: which VMs it has, in rank order, under which token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Assignment {
    /// The group.
    pub group: GroupId,
    /// What it serves.
    pub service: ServiceName,
    /// The weights.
    pub model: ModelName,
    /// Their version.
    pub version: String,
    /// Adapters beside them.
    pub adapters: Vec<String>,
    /// Members in rank order; the first takes the requests.
    pub members: Vec<VmId>,
    /// The token of the command that formed it.
    pub token: FencingToken,
    /// Whether requests may be sent to it once all members announce it.
    pub admits_requests: bool,
}

/// A failure domain as others see it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct DomainReport {
    /// The domain.
    pub failure_domain: FailureDomain,
    /// Its leader.
    pub leader: DaemonId,
    /// The leader's epoch.
    pub epoch: u32,
    /// Grows with each report of the epoch.
    pub sequence: u64,
    /// The lowest revision applied by all reachable daemons of the domain.
    pub applied: Revision,
    /// Daemons that are behind.
    pub lagging: BTreeMap<DaemonId, Revision>,
    /// Daemons of the domain that the leader does not hear.
    pub unreachable: Vec<DaemonId>,
    /// The groups and their state.
    pub groups: Vec<GroupReport>,
    /// The VMs known.
    pub vms: Vec<VmReport>,
    /// Seconds in which a wanted group did not serve, summed over groups, this epoch.
    pub group_downtime_ms: u64,
    /// Seconds in which a healthy accelerator could not serve, summed, this epoch.
    pub stranded_accelerator_ms: u64,
}

/// One group in a [`DomainReport`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupReport {
    /// The assignment.
    pub assignment: Assignment,
    /// Its state, by the name in the group's state chart.
    pub state: String,
    /// Where the first member takes requests, if known.
    pub address: Option<Address>,
    /// How many requests it runs side by side.
    pub slots: Slots,
    /// Its load.
    pub load: LoadReport,
}

/// One VM in a [`DomainReport`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmReport {
    /// The VM.
    pub vm: VmId,
    /// Its fabric domain.
    pub fabric_domain: FabricDomain,
    /// Its accelerators.
    pub accelerators: Accelerators,
    /// Its state, by the name in the upstream's state chart.
    pub state: String,
    /// The group it is assigned to.
    pub group: Option<GroupId>,
    /// The plain service it offers.
    pub plain_service: Option<ServiceName>,
    /// Where it takes requests.
    pub address: Address,
    /// How many requests it runs side by side.
    pub slots: Slots,
    /// Its load.
    pub load: LoadReport,
}

/// About one request that must run at most once.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimRequest {
    /// Tells the answers to several questions apart.
    pub question: u64,
    /// What is claimed.
    pub key: ClaimKey,
    /// The number of the set of voters that the sender counts answers by.
    pub voters_number: u64,
    /// What is asked.
    pub action: ClaimAction,
}

/// What is claimed: one team's idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey {
    /// The team.
    pub team: TeamName,
    /// The key the caller sent.
    pub key: IdempotencyKey,
}

/// Who claims: one attempt of one run of an entry daemon.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Claimant {
    /// The entry daemon.
    pub daemon: DaemonId,
    /// Its run.
    pub boot: BootId,
    /// The number of the attempt in that run.
    pub attempt: u64,
}

impl fmt::Display for Claimant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.daemon, self.attempt)
    }
}

/// What an entry daemon asks of the replicas of a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimAction {
    /// May this attempt run?
    Acquire {
        /// The attempt.
        claimant: Claimant,
        /// Hash of method, path and body, to notice a key used twice for different requests.
        fingerprint: u64,
    },
    /// The attempt certainly did not run; another may.
    Release {
        /// The attempt.
        claimant: Claimant,
    },
    /// The attempt ended with this outcome.
    Complete {
        /// The attempt.
        claimant: Claimant,
        /// As in `Acquire`; a replica that never saw that checks resends by this one.
        fingerprint: u64,
        /// What the caller got.
        outcome: StoredOutcome,
    },
    /// Could this attempt hold the key? Nothing is recorded.
    Probe {
        /// The attempt.
        claimant: Claimant,
        /// As in `Acquire`.
        fingerprint: u64,
    },
}

/// The answer that a resend gets again.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredOutcome {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: String,
    /// The body, or `None` if it was too large to keep.
    pub body: Option<Vec<u8>>,
}

/// A claim replica's answer.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimReply {
    /// The question's number.
    pub question: u64,
    /// The replica's run; answers of two runs are not added up.
    pub voter: Voter,
    /// The answer.
    pub verdict: ClaimVerdict,
}

/// What a claim replica says.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum ClaimVerdict {
    /// The attempt holds the claim here, and that is on disk.
    Held,
    /// Another attempt holds it.
    HeldByOther {
        /// The holder.
        holder: Claimant,
        /// Whether the key was used for a different request.
        fingerprint_differs: bool,
    },
    /// The request has ended.
    Completed {
        /// What the first caller got.
        outcome: StoredOutcome,
        /// Whether the key was used for a different request.
        fingerprint_differs: bool,
    },
    /// Recorded.
    Recorded,
    /// The replica cannot answer now, for example because its disk is full.
    Unavailable,
    /// The sender counts by an outdated set of voters; nothing was recorded.
    VotersChanged(VoterSet),
    /// To `Probe`: how the key stands here.
    Report(ClaimReport),
}

/// How a key stands at one replica, unless its request has ended.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ClaimReport {
    /// The attempt that holds it.
    pub holder: Option<Claimant>,
    /// Whether the holder uses the key for a different request.
    pub fingerprint_differs: bool,
    /// Attempts that were given up: none of them runs, now or later.
    pub released: Vec<Claimant>,
}

/// The control daemons whose answers about claims count.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VoterSet {
    /// Grows with each change; zero before the first.
    pub number: u64,
    /// The voters; each change adds or removes one.
    pub voters: BTreeSet<Voter>,
}

impl VoterSet {
    /// Returns how many voters are a majority.
    pub fn majority(&self) -> usize {
        self.voters.len() / 2 + 1
    }
}

/// Figures of one policy since the last message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PolicyStatisticsDelta {
    /// The service.
    pub service: ServiceName,
    /// The policy.
    pub policy: RoutingPolicy,
    /// Requests decided.
    pub requests: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Requests whose prefix was cached.
    pub cache_hits: u64,
    /// Sum of times to the first token.
    pub first_token_sum_us: u64,
    /// Sum of their squares.
    pub first_token_sum_squares: f64,
    /// Times to the first token, by [`bucket_of`](crate::fleet::policy_statistics::bucket_of).
    pub first_token_buckets: Vec<u32>,
    /// Times between tokens, by [`bucket_of`](crate::fleet::policy_statistics::bucket_of).
    pub between_tokens_buckets: Vec<u32>,
}

/// A team's share of its limits at one daemon, or its demand there.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct TeamShare {
    /// Requests a second, in thousandths.
    pub requests_per_1000_s: u64,
    /// Requests at once.
    pub concurrent_requests: u32,
}
