//! What happens to a failure domain, and when; proptest draws and shrinks it.

use proptest::prelude::*;

/// How long a schedule runs, in true milliseconds.
pub const LENGTH_MS: u64 = 40_000;

/// A fault or change.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A daemon is stopped and goes on later, as if nothing had happened.
    PauseDaemon { daemon: usize, length_ms: u64 },
    /// A daemon ends and starts again without its memory.
    CrashDaemon { daemon: usize, length_ms: u64 },
    /// Daemons and engines whose bit differs do not hear each other.
    Partition {
        daemons: u8,
        engines: u8,
        length_ms: u64,
    },
    /// Messages take up to a few seconds.
    SlowNetwork { length_ms: u64 },
    /// An engine is stopped and goes on later with its old assignment.
    PauseEngine { engine: usize, length_ms: u64 },
    /// An engine ends and starts again empty.
    CrashEngine { engine: usize, length_ms: u64 },
    /// An engine goes on under another address.
    MoveEngine { engine: usize },
    /// A second engine uses the name of the first for a while.
    DoubleEngine {
        engine: usize,
        length_ms: u64,
        same_boot: bool,
    },
    /// The operator changes the size of groups.
    Regroup { vms_per_group: u32, groups: u32 },
    /// The operator drains one VM and no other.
    Drain { engine: usize },
}

/// A reason for which a schedule must be found to break a rule.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlantedFault {
    /// None; no rule may break.
    None,
    /// A restarted daemon grants leases at once, though it forgot what it granted.
    ForgetfulVoter,
    /// Clocks differ by far more than the settings say.
    WildClocks,
    /// Daemons route by the table alone.
    NoAnnouncementCheck,
}

/// One run.
#[derive(Clone, Debug)]
pub struct Schedule {
    pub seed: u64,
    pub daemons: usize,
    /// Bit set: that engine ignores fencing tokens.
    pub ignores_tokens: u8,
    /// Which engines do not announce themselves to which daemons.
    pub unheard: u8,
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
            |(engine, length_ms, same_boot)| Fault::DoubleEngine { engine, length_ms, same_boot }
        ),
        2 => (1..4_u32, 0..4_u32)
            .prop_map(|(vms_per_group, groups)| Fault::Regroup { vms_per_group, groups }),
        1 => engine.prop_map(|engine| Fault::Drain { engine }),
    ]
}

/// Draws schedules.
pub fn schedule() -> impl Strategy<Value = Schedule> {
    let faults = proptest::collection::vec((0..LENGTH_MS, fault()), 0..24);
    let numbers = (any::<u64>(), 1..6_usize, any::<u8>(), any::<u8>());
    (numbers, faults).prop_map(
        |((seed, daemons, ignores_tokens, unheard), faults)| Schedule {
            seed,
            daemons,
            ignores_tokens,
            unheard,
            faults,
        },
    )
}
