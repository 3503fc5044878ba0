//! Measures the cost of permits, for upstreams that name a rate, at the leader and an entry daemon.
//!
//! `cargo run --release -p cicadabend --example measure_permits` prints a row for each size.

#![expect(clippy::unwrap_used, reason = "a measurement that fails says so")]

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Instant,
};

use cicadabend::{
    prelude::*,
    rates::{
        Caller,
        IssuerView,
        PermitAsk,
        PermitIssuer,
        Pool,
        PoolDemand,
        RateTable, //
    },
    registry::InstanceId,
};
use serde::Serialize;

/// The simulated time of one measurement.
const LENGTH_MS: u64 = 10_000;
const TICK_MS: u64 = 50;
const ASK_EVERY_MS: u64 = 400;
const POOLS: usize = 10;
const CALLERS: usize = 4;
const RATE_PER_S: f64 = 3.0;

fn pool(number: usize) -> Pool {
    Pool {
        service: "drafting-llm".parse().unwrap(),
        model: Some(format!("model-{number}").parse().unwrap()),
    }
}

fn encoded_bytes(message: &impl Serialize) -> usize {
    postcard::to_allocvec(message).unwrap().len()
}

/// The cost of permits for one number of daemons and upstreams.
struct Cost {
    processor_percent: f64,
    asks_bytes_per_s: f64,
    permits_bytes_per_s: f64,
    permits_per_s: f64,
}

/// Simulates a leader from which each daemon requests permits, for a few callers and pools.
fn measure(daemons: usize, upstreams: usize, is_short: bool) -> Cost {
    let named = (0..upstreams).map(|number| {
        let id: InstanceId = format!("i-{number:010x}").parse().unwrap();
        (id, pool(number % POOLS))
    });
    let pools: BTreeMap<InstanceId, Pool> = named.collect();
    let rate: RequestRate = RATE_PER_S.to_string().parse().unwrap();
    let rates: RateTable = pools.keys().map(|id| (id.clone(), rate)).collect();
    let mixed: BTreeSet<Pool> = match is_short {
        true => BTreeSet::new(),
        false => (0..POOLS).map(pool).collect(),
    };
    let mut issuer = PermitIssuer::new(1, Timestamp(0));
    let (mut asks_bytes, mut permits_bytes, mut permits) = (0, 0, 0_u64);
    let mut spent = std::time::Duration::ZERO;
    for now_ms in (TICK_MS..=LENGTH_MS).step_by(TICK_MS as usize) {
        for daemon in 0..daemons {
            let is_due = (now_ms + daemon as u64 * TICK_MS).is_multiple_of(ASK_EVERY_MS);
            if !is_due {
                continue;
            }
            let ask = permit_request(daemon, now_ms, is_short);
            asks_bytes += encoded_bytes(&ask);
            let name: DaemonId = format!("10.0.{}.{}", daemon / 250, daemon % 250)
                .parse()
                .unwrap();
            let began = Instant::now();
            issuer.handle_permit_request(&name, &ask, Timestamp(now_ms));
            spent += began.elapsed();
        }
        let began = Instant::now();
        let updates = issuer.tick(IssuerView {
            rates: &rates,
            pools: &pools,
            mixed: &mixed,
            live_entries: daemons,
            known_entries: daemons,
            now: Timestamp(now_ms),
        });
        spent += began.elapsed();
        for (_, update) in updates {
            permits_bytes += encoded_bytes(&update);
            permits += update
                .permits
                .iter()
                .map(|(_, count)| u64::from(*count))
                .sum::<u64>();
        }
    }
    let seconds = LENGTH_MS as f64 / 1_000.0;
    Cost {
        processor_percent: spent.as_secs_f64() / seconds * 100.0,
        asks_bytes_per_s: asks_bytes as f64 / seconds,
        permits_bytes_per_s: permits_bytes as f64 / seconds,
        permits_per_s: permits as f64 / seconds,
    }
}

fn permit_request(daemon: usize, now_ms: u64, is_short: bool) -> PermitAsk {
    let asks = (0..CALLERS).map(|number| PoolDemand {
        pool: pool((daemon + number) % POOLS),
        caller: Caller {
            rank: 1,
            team: Some(format!("team-{}", (daemon + number) % 24).parse().unwrap()),
        },
        requests: 4,
        waiting: u32::from(is_short),
    });
    PermitAsk {
        sent_ms: now_ms,
        heard: u64::MAX,
        asks: asks.collect(),
    }
}

fn main() {
    println!(
        "| daemons | upstreams in need | pools short | leader, % of a core | permits/s | leader receives, KB/s | leader sends, KB/s | each daemon, B/s |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for daemons in [9, 71, 520] {
        for (upstreams, is_short) in [(1, false), (80, false), (800, false), (800, true)] {
            let cost = measure(daemons, upstreams, is_short);
            let both = cost.asks_bytes_per_s + cost.permits_bytes_per_s;
            println!(
                "| {daemons} | {upstreams} | {} | {:.2} | {:.0} | {:.1} | {:.1} | {:.0} |",
                if is_short { "all" } else { "none" },
                cost.processor_percent,
                cost.permits_per_s,
                cost.asks_bytes_per_s / 1_000.0,
                cost.permits_bytes_per_s / 1_000.0,
                both / daemons as f64,
            );
        }
    }
}
