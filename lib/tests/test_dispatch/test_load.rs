//! Choice among few heads by many daemons, each of which sends few requests.

use std::collections::VecDeque;

use cicadabend::{
    dispatch::{
        LoadReport,
        LoadTracker, //
    },
    prelude::*,
    registry::InstanceId,
};
use rand::{
    Rng,
    SeedableRng,
    rngs::SmallRng, //
};
use rstest::rstest;

use crate::{
    Choice,
    heads, //
};

const DAEMONS: usize = 71;
const HEADS: usize = 27;
const SLOTS: u32 = 34;
/// How long a request occupies a slot.
const SERVICE_MS: u64 = 900;
/// Two thirds of the capacity of all heads.
const REQUESTS_PER_S: f64 = 680.0;
const LENGTH_MS: u64 = 20_000;

/// A request that is being executed at a head.
struct Running {
    daemon: usize,
    ends_ms: u64,
}

struct World {
    now_ms: u64,
    ids: Vec<InstanceId>,
    loads: Vec<LoadTracker>,
    running: Vec<VecDeque<Running>>,
    waiting: Vec<VecDeque<usize>>,
    random: SmallRng,
    sent: u32,
    waited: u32,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            now_ms: 0,
            ids: heads(HEADS),
            loads: vec![LoadTracker::default(); DAEMONS],
            running: (0..HEADS).map(|_| VecDeque::new()).collect(),
            waiting: (0..HEADS).map(|_| VecDeque::new()).collect(),
            random: SmallRng::seed_from_u64(seed),
            sent: 0,
            waited: 0,
        }
    }

    /// Returns the percentage of requests that waited for a slot.
    fn waited_percent(&self) -> f64 {
        f64::from(self.waited) * 100.0 / f64::from(self.sent)
    }

    /// Runs the load; `daemons_known` is the number of daemons that each of them assumes.
    fn run_load(mut self, daemons_known: u32) -> Self {
        while self.now_ms < LENGTH_MS {
            self.now_ms += 1;
            self.finish();
            if self.random.random_bool(REQUESTS_PER_S / 1_000.0) {
                self.arrive(daemons_known);
            }
        }
        self
    }

    fn arrive(&mut self, daemons_known: u32) {
        let daemon = self.random.random_range(0..DAEMONS);
        let choice = Choice {
            daemons: daemons_known,
            ..Choice::among(&self.ids, SLOTS)
        };
        let now = Timestamp(self.now_ms);
        let random_value = self.random.random();
        let head = choice.make(&self.loads[daemon], now, random_value).index;
        self.loads[daemon].record_start(&self.ids[head], 700);
        self.sent += 1;
        match self.running[head].len() < SLOTS as usize {
            true => self.run(head, daemon),
            false => {
                self.waited += 1;
                self.waiting[head].push_back(daemon);
            }
        }
    }

    fn run(&mut self, head: usize, daemon: usize) {
        let ends_ms = self.now_ms + SERVICE_MS;
        self.running[head].push_back(Running { daemon, ends_ms });
        self.loads[daemon].read(&self.ids[head], 700);
    }

    fn finish(&mut self) {
        for head in 0..HEADS {
            let now_ms = self.now_ms;
            while let Some(done) = self.running[head].pop_front_if(|one| one.ends_ms <= now_ms) {
                let report = LoadReport {
                    running: self.running[head].len() as u32 + 1,
                    waiting: self.waiting[head].len() as u32,
                };
                let loads = &mut self.loads[done.daemon];
                loads.observe_load_report(&self.ids[head], report, Timestamp(now_ms));
                loads.record_end(&self.ids[head]);
                if let Some(daemon) = self.waiting[head].pop_front() {
                    self.run(head, daemon);
                }
            }
        }
    }
}

#[rstest]
fn requests_seldom_wait_while_a_third_of_all_slots_is_free(#[values(1, 2, 3, 4)] seed: u64) {
    // Guards against requests that queue at one head while others have free slots. Each of 71
    // daemons sends a request to any one of 27 heads only every few seconds, so the load that the
    // last answer reported is out of date when the next request goes there.
    let by_free_capacity = World::new(seed).run_load(DAEMONS as u32).waited_percent();
    let by_cost = World::new(seed).run_load(1).waited_percent();

    // 0.8 % to 1.7 % of the requests wait if chosen by free capacity, 21.1 % to 24.0 % by cost.
    assert!(by_free_capacity < 3.0, "{by_free_capacity:.1} %");
    assert!(by_cost > 15.0, "{by_cost:.1} %");
}
