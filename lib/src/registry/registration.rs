//! One report.

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

/// What separates an upstream's name from its start where a run is written as text.
const BORN_MARK: char = '@';

/// One run of an upstream; a restart makes another one.
///
/// A restarted upstream may keep its name, and then knows nothing of what it did before. Its
/// start tells the runs apart, so that nothing known of one is taken for another's.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct InstanceId {
    name: VmId,
    born_ms: u64,
}

impl InstanceId {
    /// Returns the run of an upstream that started at a Unix time in milliseconds.
    pub fn born_at(self, born_ms: u64) -> Self {
        Self { born_ms, ..self }
    }

    /// Returns the upstream's own name, which its runs may share.
    pub fn name(&self) -> &str {
        self.name.as_str()
    }

    /// Returns whether this names one run, and not only an upstream.
    pub fn tells_start(&self) -> bool {
        self.born_ms != 0
    }

    /// Returns whether this is an earlier run of the same upstream.
    pub fn is_before(&self, other: &Self) -> bool {
        self.name == other.name && self.born_ms < other.born_ms
    }

    /// Returns the least and the greatest run that the upstream may have.
    pub(super) fn all_runs(&self) -> RangeInclusive<Self> {
        self.clone().born_at(0)..=self.clone().born_at(u64::MAX)
    }
}

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.born_ms {
            0 => self.name.fmt(f),
            born_ms => write!(f, "{}{BORN_MARK}{born_ms}", self.name),
        }
    }
}

impl FromStr for InstanceId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let (name, born) = text.split_once(BORN_MARK).unwrap_or((text, "0"));
        let born_ms = born.parse().map_err(|_| IdError::Number {
            found: born.to_owned(),
        })?;
        let name = name.parse()?;
        Ok(Self { name, born_ms })
    }
}

/// What an upstream says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Registration {
    /// Which run of which upstream.
    pub id: InstanceId,
    /// What it serves.
    pub service: ServiceName,
    /// Where it takes requests.
    pub address: Address,
    /// Where it is.
    pub failure_domain: FailureDomain,
    /// How many requests it runs side by side.
    pub slots: Slots,
    /// Whether it takes new work.
    pub state: UpstreamState,
    /// Grows with each report of a run.
    pub sequence: u64,
    /// What only engines have.
    pub engine: Option<EngineStatus>,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamState {
    /// It does.
    Ready,
    /// It ends soon and must get nothing new.
    Draining,
    /// It has said that it leaves, or has been replaced; it must get nothing new.
    Gone,
}

/// What an engine says of its groups and weights.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStatus {
    /// The part of the fabric it is in.
    pub fabric_domain: Option<FabricDomain>,
    /// The models on its host.
    pub staged: Vec<ModelName>,
    /// The model it runs; none while it is in no group.
    pub model: Option<ModelName>,
    /// The model of the last group that this run was in; it runs that again at once.
    ///
    /// Engines tell the model only while they run it, so the registry keeps it.
    pub last_model: Option<ModelName>,
    /// The group it is in.
    pub group: Option<GroupStatus>,
}

impl Registration {
    /// Returns the group that it tells, if it is an engine in one.
    pub fn group(&self) -> Option<&GroupStatus> {
        self.engine.as_ref()?.group.as_ref()
    }

    /// Keeps the last model that an earlier report of the same run told.
    ///
    /// Without it the survivors of a broken group, which have just left it, seem to have
    /// nothing at hand but the other model on their host: they were put into groups of that
    /// model while their own was short.
    pub(super) fn keep_last_model(&mut self, earlier: &Self) {
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

/// An engine's place in a group.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct GroupStatus {
    /// The group.
    pub group: GroupId,
    /// The number of the order that formed it; orders with lower numbers are refused.
    pub epoch: u64,
    /// Its place in the list of members; 0 is the head, which takes the requests.
    pub rank: u32,
    /// How far it is.
    pub state: MemberState,
}

/// How far a member is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It gets ready.
    Joining,
    /// It is ready; a head does not take requests yet.
    Ready,
    /// A head that takes requests.
    Open,
    /// A head that finishes what it has.
    Closing,
    /// A head that has lost a member.
    Broken,
}
