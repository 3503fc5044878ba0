//! The account of what ran, for tests and the load tool to compare with promises.

use std::collections::{
    HashMap,
    VecDeque, //
};

use cicadabend::prelude::*;
use serde::{
    Deserialize,
    Serialize, //
};

/// How many runs are remembered; older ones are forgotten and counted.
const RUN_LIMIT: usize = 500_000;

/// One request as the VM saw it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Run {
    /// Its place in the account of the VM.
    pub number: u64,
    /// The VM.
    pub vm: VmId,
    /// The run of the VM's process.
    pub boot: BootId,
    /// The request's id as it arrived.
    pub request_id: String,
    /// The idempotency key as it arrived.
    pub idempotency_key: Option<String>,
    /// Whether it was marked as not repeatable when it arrived.
    pub not_repeatable: bool,
    /// The session key as it arrived.
    pub session: Option<String>,
    /// The id of the generation; empty for plain services.
    pub generation: String,
    /// The group it ran in.
    pub group: Option<GroupId>,
    /// Whether it got a slot; a request that waits or was cancelled while waiting did not start.
    pub started: bool,
    /// When it arrived, by the VM's clock.
    pub arrived_ms: u64,
    /// How long it waited for a slot.
    pub queued_ms: u64,
    /// Tokens of the prompt, and how many of them were cached.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were cached.
    pub cached_tokens: u64,
    /// How many tokens were handed to connections, without those sent again on resuming.
    pub tokens_sent: u64,
    /// How many connections resumed it.
    pub resumes: u32,
    /// How it ended last.
    pub state: RunState,
}

/// How far a run is, or how it ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunState {
    /// It waits for a slot.
    Queued,
    /// It runs.
    Running,
    /// All tokens were handed to the connection.
    Complete,
    /// A cancel request stopped it.
    Cancelled,
    /// The connection closed.
    CallerGone,
    /// It broke off: a member died, the group changed or a fault was set.
    Broken,
}

/// What `GET /fake/runs` answers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunReport {
    /// The runs, in order of arrival.
    pub runs: Vec<Run>,
    /// How many older ones were forgotten.
    pub forgotten: u64,
}

/// The account of one VM.
#[derive(Debug, Default)]
pub struct Runs {
    runs: VecDeque<Run>,
    forgotten: u64,
    started_by_key: HashMap<String, u64>,
}

impl Runs {
    /// Adds a run and returns its number.
    pub fn add(&mut self, mut run: Run) -> u64 {
        if self.runs.len() == RUN_LIMIT {
            self.runs.pop_front();
            self.forgotten += 1;
        }
        let number = self.forgotten + self.runs.len() as u64;
        run.number = number;
        self.runs.push_back(run);
        number
    }

    /// Changes a run, unless it is forgotten.
    pub fn change(&mut self, number: u64, change: impl FnOnce(&mut Run)) {
        let index = number.checked_sub(self.forgotten);
        let index = index.and_then(|index| usize::try_from(index).ok());
        if let Some(run) = index.and_then(|index| self.runs.get_mut(index)) {
            change(run);
        }
    }

    /// Marks a run as started and returns how many have started under its idempotency key.
    pub fn start(&mut self, number: u64, change: impl FnOnce(&mut Run)) -> u64 {
        let mut key = None;
        self.change(number, |run| {
            run.started = true;
            run.state = RunState::Running;
            key = run.idempotency_key.clone();
            change(run);
        });
        let Some(key) = key else {
            return 1;
        };
        let count = self.started_by_key.entry(key).or_insert(0);
        *count += 1;
        *count
    }

    /// Returns the whole account.
    pub fn report(&self) -> RunReport {
        RunReport {
            runs: self.runs.iter().cloned().collect(),
            forgotten: self.forgotten,
        }
    }
}
