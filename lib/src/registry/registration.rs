//! The report that an upstream sends about itself.

use std::{
    fmt,
    ops::RangeInclusive,
    str::FromStr, //
};

use serde::{
    Deserialize,
    Serialize, //
};

use crate::{
    ids::{
        Address,
        IdError, //
    },
    prelude::*,
};

/// Separates an upstream's name from its start time in the text form of an [`InstanceId`].
const START_SEPARATOR: char = '@';

/// Identifies one instance of an upstream; each restart of its process creates a new instance.
///
/// A restarted upstream may keep its name although it has lost its state. The start time
/// distinguishes the instances, so that the state of one is never attributed to another.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstanceId {
    name: VmId,
    /// The start time, in Unix milliseconds; zero if unknown.
    born_ms: u64,
}

impl InstanceId {
    /// Returns the instance of the same upstream that started at `born_ms`, in Unix milliseconds.
    pub fn born_at(self, born_ms: u64) -> Self {
        Self { born_ms, ..self }
    }

    /// Returns the upstream's name, which several of its instances may share.
    pub fn name(&self) -> &str {
        self.name.as_str()
    }

    /// Returns whether the start time is known; without it, only the upstream is identified.
    pub fn has_start_time(&self) -> bool {
        self.born_ms != 0
    }

    /// Returns whether both are instances of the same upstream and `self` started earlier.
    pub fn is_earlier_instance_of(&self, other: &Self) -> bool {
        self.name == other.name && self.born_ms < other.born_ms
    }

    /// Returns the range of all possible instances of this upstream.
    pub(super) fn all_instances(&self) -> RangeInclusive<Self> {
        self.clone().born_at(0)..=self.clone().born_at(u64::MAX)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            0 => self.name.fmt(f),
            born_ms => write!(f, "{}{START_SEPARATOR}{born_ms}", self.name),
        }
    }
}

impl FromStr for InstanceId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (name, born) = text.split_once(START_SEPARATOR).unwrap_or((text, "0"));
        let born_ms = born.parse().map_err(|_| IdError::Number {
            found: born.to_owned(),
        })?;
        let name = name.parse()?;
        Ok(Self { name, born_ms })
    }
}

/// An upstream's report about itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// The instance that reports.
    pub id: InstanceId,
    /// The service that it offers.
    pub service: ServiceName,
    /// The address at which it takes requests.
    pub address: Address,
    /// The failure domain that it runs in.
    pub failure_domain: FailureDomain,
    /// The number of requests that it executes concurrently.
    pub slots: Slots,
    /// Whether it takes new requests.
    pub state: UpstreamState,
    /// The number of this report among those of the instance; grows with each report.
    pub sequence: u64,
    /// The status of groups and weights; `None` for plain services.
    pub engine: Option<EngineStatus>,
}

/// Whether an upstream takes new requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// The upstream takes new requests.
    Ready,
    /// The upstream will end soon and must get no new requests.
    Draining,
    /// The upstream has announced that it leaves, or has been replaced; it must get no new requests.
    Gone,
}

/// What an engine reports about its group and its model weights.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStatus {
    /// The fabric domain of the engine's host, if it reports one.
    pub fabric_domain: Option<FabricDomain>,
    /// The models whose weights are stored on the engine's host.
    pub staged: Vec<ModelName>,
    /// The model that it runs; `None` while it is in no group.
    pub model: Option<ModelName>,
    /// The model of the last group that this instance was in, which it can run again at once.
    ///
    /// Engines report a model only while they run it, so the registry carries this value over from
    /// report to report.
    pub last_model: Option<ModelName>,
    /// The group that it is a member of.
    pub group: Option<GroupStatus>,
}

impl Registration {
    /// Returns the reported group, if the upstream is an engine and in a group.
    pub fn group(&self) -> Option<&GroupStatus> {
        self.engine.as_ref()?.group.as_ref()
    }

    /// Copies `last_model` from an earlier report of the same instance, unless this report has one.
    ///
    /// Without this, the remaining engines of a broken group, once out of it, would seem able to
    /// run at once only the other model on their host. They would be placed in groups of that model
    /// while their own model lacks groups.
    pub(super) fn inherit_last_model(&mut self, earlier: &Self) {
        let Some(engine) = &mut self.engine else {
            return;
        };
        let earlier = earlier.engine.as_ref();
        let earlier = earlier.and_then(|engine| engine.last_model.as_ref());
        if engine.last_model.is_none() {
            engine.last_model = earlier.cloned();
        }
    }
}

/// An engine's membership in a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupStatus {
    /// The group's id.
    pub group: GroupId,
    /// The number of the command that formed the group; the engine refuses commands with lower
    /// numbers.
    pub epoch: u64,
    /// The engine's position in the list of members; 0 is the head, which takes the requests.
    pub rank: u32,
    /// The progress of the engine's membership.
    pub state: MemberState,
}

/// The state of a group's member.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member is not ready yet.
    Joining,
    /// The member is ready. A head in this state does not take requests yet.
    Ready,
    /// The head takes requests.
    Open,
    /// The head takes no new requests and finishes those that it has.
    Closing,
    /// The head has lost a member of its group.
    Broken,
}
