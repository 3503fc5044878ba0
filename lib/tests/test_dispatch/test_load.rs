//! Many daemons choose among few heads, each with few requests of its own.

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
/// How long a request has a slot.
const SERVICE_MS: u64 = 900;
/// Two thirds of what all heads can serve.
const REQUESTS_PER_S: f64 = 680.0;
const LENGTH_MS: u64 = 20_000;
/// A request that runs or waits at a head.
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

    /// Returns how many hundredths of all requests waited for a slot.
    fn waited_percent(&self) -> f64 {
        f64::from(self.waited) * 100.0 / f64::from(self.sent)
    }

    /// Plays the load.
    fn play(mut self, daemons_known: u32) -> Self {
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
        let drawn = self.random.random();
        let head = choice.make(&self.loads[daemon], now, drawn).index;
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
    // Callers wait in the queue of one head while others stand empty. 71 daemons send to 27
    // heads, each to one and the same head every few seconds, and what an answer tells of its
    // head's load is long out of date when the next request goes there.
    let by_room = World::new(seed).play(DAEMONS as u32).waited_percent();
    let cheapest = World::new(seed).play(1).waited_percent();

    // Measured: 0.8 % to 1.7 % of the requests wait, and 21.1 % to 24.0 % by the cheapest.
    assert!(by_room < 3.0, "{by_room:.1} %");
    assert!(cheapest > 15.0, "{cheapest:.1} %");
}
