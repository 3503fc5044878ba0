//! Choice of the upstream for a request, and the budget for retries.

#![expect(clippy::unwrap_used, reason = "a fixture that fails fails its test")]

mod test_crashes;
mod test_decisions;
mod test_demand;
mod test_latency_baseline;
mod test_load;
mod test_permits;
mod test_refusals;

use cicadabend::{
    dispatch::{
        Candidate,
        Chosen,
        LoadTracker,
        RequestNeeds,
        choose, //
    },
    prelude::*,
    registry::InstanceId,
    routes::Timing, //
};

/// Returns the instance ids of group heads: `i-0`, `i-1` and so on.
pub(crate) fn heads(count: usize) -> Vec<InstanceId> {
    let names = (0..count).map(|head| format!("i-{head}"));
    names.map(|name| name.parse().unwrap()).collect()
}

/// A choice among heads of one failure domain, which differ only by the state tracked for them.
pub(crate) struct Choice<'a> {
    pub(crate) ids: &'a [InstanceId],
    pub(crate) slots: u32,
    pub(crate) suspect: Option<usize>,
    pub(crate) prompt_tokens: u64,
    pub(crate) daemons: u32,
    pub(crate) daemon_index: u32,
    pub(crate) is_isolated: bool,
    /// Index of the head that names a rate and for which there is a permit.
    pub(crate) permitted: Option<usize>,
}

impl<'a> Choice<'a> {
    /// Returns the choice that a single daemon makes for a typical prompt among healthy heads.
    pub(crate) fn among(ids: &'a [InstanceId], slots: u32) -> Self {
        Self {
            ids,
            slots,
            suspect: None,
            prompt_tokens: 700,
            daemons: 1,
            daemon_index: 0,
            is_isolated: false,
            permitted: None,
        }
    }

    pub(crate) fn make(&self, loads: &LoadTracker, now: Timestamp, random: u64) -> Chosen {
        let home: FailureDomain = "a".parse().unwrap();
        let timing = timing();
        let candidates: Vec<Candidate<'_>> = self
            .ids
            .iter()
            .enumerate()
            .map(|(index, id)| Candidate {
                id,
                failure_domain: &home,
                slots: self.slots,
                model: None,
                is_suspect: self.suspect == Some(index),
                uses_permit: self.permitted == Some(index),
            })
            .collect();
        let needs = RequestNeeds {
            home: &home,
            prompt_tokens: self.prompt_tokens,
            timing: Some(&timing),
            typical_ms: None,
            daemons: self.daemons,
            daemon_index: self.daemon_index,
            is_isolated: self.is_isolated,
        };
        choose(&candidates, &needs, loads, now, random).unwrap()
    }
}

/// Returns the parameters of the engines' speed in these tests.
pub(crate) fn timing() -> Timing {
    Timing {
        step_ms: 6.0,
        per_request_ms: 0.25,
        read_tokens_per_s: 46_000.0,
        chunk_tokens: 2_048,
        steps_per_pass: 5,
        usual_prompt_tokens: 1_000.0,
        usual_answer_tokens: 120.0,
        ..Timing::default()
    }
}
