//! Schedules of faults in a failure domain; proptest generates and shrinks them.

use proptest::prelude::*;

/// The length of a schedule, in true milliseconds (not those of a daemon's clock).
pub const LENGTH_MS: u64 = 40_000;

/// A fault, or a change by the operator.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A daemon is suspended and resumes later with its state.
    PauseDaemon { daemon: usize, length_ms: u64 },
    /// A daemon's process ends; a new one starts without state.
    CrashDaemon { daemon: usize, length_ms: u64 },
    /// A network partition: daemons and engines whose bits differ can't reach each other.
    Partition {
        daemons: u8,
        engines: u8,
        length_ms: u64,
    },
    /// Messages take up to three seconds.
    SlowNetwork { length_ms: u64 },
    /// An engine is suspended and resumes later with its old assignment.
    PauseEngine { engine: usize, length_ms: u64 },
    /// An engine's process ends; a new one starts without weights and group.
    CrashEngine { engine: usize, length_ms: u64 },
    /// An engine's address changes; its process goes on.
    MoveEngine { engine: usize },
    /// A copy of an engine announces itself under the same name for a while, at another
    /// address.
    DuplicateEngine {
        engine: usize,
        length_ms: u64,
        same_boot: bool,
    },
    /// The operator changes the number of groups and their size.
    Regroup { vms_per_group: u32, groups: u32 },
    /// The operator drains one VM and no other.
    Drain { engine: usize },
}

/// A deliberate fault of the system under test, which the invariants must detect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeliberateFault {
    /// No fault; every invariant must hold.
    None,
    /// A restarted daemon grants leases at once, although it has lost its record of grants.
    VoterWithoutMemory,
    /// The clocks' rates differ by far more than the configured error.
    ClocksBeyondError,
    /// Daemons route by the table without a check of the engines' announcements.
    NoAnnouncementCheck,
}

/// One test case: the number of daemons, the engines' behaviour, and the faults by time.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub daemons: usize,
    /// The engines, by bit, that ignore fencing tokens.
    pub ignores_tokens: u8,
    /// Bits that select the pairs of engine and daemon between which no announcements are sent.
    pub unannounced: u8,
    /// Each with its time, in true milliseconds.
    pub faults: Vec<(u64, Fault)>,
}

fn fault() -> impl Strategy<Value = Fault> {
    let daemon = 0..5_usize;
    let engine = 0..8_usize;
    let length = 100..9_000_u64;
    prop_oneof![
        3 => (daemon.clone(), length.clone())
            .prop_map(|(daemon, length_ms)| Fault::PauseDaemon { daemon, length_ms }),
        3 => (daemon, length.clone())
            .prop_map(|(daemon, length_ms)| Fault::CrashDaemon { daemon, length_ms }),
        3 => (any::<u8>(), any::<u8>(), length.clone()).prop_map(
            |(daemons, engines, length_ms)| Fault::Partition { daemons, engines, length_ms }
        ),
        1 => length.clone().prop_map(|length_ms| Fault::SlowNetwork { length_ms }),
        2 => (engine.clone(), length.clone())
            .prop_map(|(engine, length_ms)| Fault::PauseEngine { engine, length_ms }),
        2 => (engine.clone(), length.clone())
            .prop_map(|(engine, length_ms)| Fault::CrashEngine { engine, length_ms }),
        1 => engine.clone().prop_map(|engine| Fault::MoveEngine { engine }),
        1 => (engine.clone(), length, any::<bool>()).prop_map(
            |(engine, length_ms, same_boot)| Fault::DuplicateEngine { engine, length_ms, same_boot }
        ),
        2 => (1..4_u32, 0..4_u32)
            .prop_map(|(vms_per_group, groups)| Fault::Regroup { vms_per_group, groups }),
        1 => engine.prop_map(|engine| Fault::Drain { engine }),
    ]
}

/// Generates schedules.
pub fn schedule() -> impl Strategy<Value = Schedule> {
    let faults = proptest::collection::vec((0..LENGTH_MS, fault()), 0..24);
    let numbers = (any::<u64>(), 1..6_usize, any::<u8>(), any::<u8>());
    (numbers, faults).prop_map(
        |((seed, daemons, ignores_tokens, unannounced), faults)| Schedule {
            seed,
            daemons,
            ignores_tokens,
            unannounced,
            faults,
        },
    )
}
