//! What a test can make a VM do wrong.

use serde::{
    Deserialize,
    Serialize, //
};

/// The faults in force; `POST /fake/faults` replaces all of them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// How long everything takes, in hundredths of the set time; above 100 is a straggler.
    pub slow_percent: u64,
    /// After how many tokens of a connection the answer breaks off.
    pub break_after_tokens: Option<u64>,
    /// How many answers break; `None` stands for all.
    pub break_count: Option<u64>,
    /// Whether it answers bytes that are no answer.
    pub garbage: bool,
    /// Whether it refuses each request at once, without starting it.
    pub refuse: bool,
    /// Whether it closes the connection when a request has started, before any answer.
    pub drop_after_start: bool,
    /// Whether it stops announcing itself.
    pub stop_announcing: bool,
    /// Whether it ignores commands though it accepts them.
    pub ignore_commands: bool,
    /// How old the load is that announcements report, in place of the settings' value.
    pub report_lag_ms: Option<u64>,
    /// How late cache events are announced.
    pub cache_event_delay_ms: u64,
    /// One of how many cache events gets lost; zero for none.
    pub lose_cache_event_every: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow_percent: 100,
            break_after_tokens: None,
            break_count: None,
            garbage: false,
            refuse: false,
            drop_after_start: false,
            stop_announcing: false,
            ignore_commands: false,
            report_lag_ms: None,
            cache_event_delay_ms: 0,
            lose_cache_event_every: 0,
        }
    }
}

impl Faults {
    /// Returns after how many tokens the next answer breaks, and counts it.
    pub fn take_break(&mut self) -> Option<u64> {
        let after_tokens = self.break_after_tokens?;
        match &mut self.break_count {
            None => Some(after_tokens),
            Some(0) => None,
            Some(left) => {
                *left -= 1;
                Some(after_tokens)
            }
        }
    }
}
