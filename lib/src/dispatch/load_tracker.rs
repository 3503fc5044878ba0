//! Each upstream's load, speed and failures, as one daemon sees them.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::{
    registry::InstanceId,
    time::Timestamp, //
};

/// How long, in milliseconds, the reported number of other daemons' requests is taken to be
/// unchanged.
///
/// If the number decayed from the start, the load of an engine without reports for half a second
/// would seem too low, all daemons would choose this engine, and its queue would grow. Requests
/// take longer than this, so most of those reported are still running.
const OTHERS_STABLE_MS: f64 = 1_000.0;
/// Half-life, in milliseconds, of the reported number after that.
const OTHERS_HALF_LIFE_MS: f64 = 1_500.0;
/// Weight of a new measurement in the moving average of slowness.
const SLOWNESS_WEIGHT: f64 = 0.25;
/// Lower limit of one slowness measurement. Upstreams with few measurements must not seem much
/// worse than those that were measured to be fast.
const MIN_SLOWNESS: f64 = 0.8;
/// Upper limit of one slowness measurement.
const MAX_SLOWNESS: f64 = 20.0;
/// Half-life, in milliseconds, of the deviation of slowness from 1.
const SLOWNESS_HALF_LIFE_MS: f64 = 3_000.0;
/// Weight of a new outcome in the moving averages of the shares of failures and refusals.
const FAILURE_WEIGHT: f64 = 0.2;
/// An upstream with a share of failures above this is paused.
const PAUSE_FAILURE_SHARE: f64 = 0.55;
/// The first pause of a failing upstream; each further pause is twice as long, up to [`MAX_PAUSE`],
/// until the upstream answers a request.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause of a failing upstream.
const MAX_PAUSE: Duration = Duration::from_millis(6_400);
/// How much later the last progress of one stream may be than that of another on a stalled
/// upstream.
const STALL_TOLERANCE: Duration = Duration::from_millis(60);
/// The shortest pause of an upstream that refused a request.
const MIN_REFUSAL_PAUSE: Duration = Duration::from_millis(120);
/// Factor by which the pause grows for an upstream that refuses all requests although it seems to
/// have free slots.
///
/// An upstream that refuses at once has no outstanding requests and seems to be the best choice.
const MAX_REFUSAL_PAUSE_FACTOR: f64 = 16.0;

/// How long an upstream to which an isolated request was sent gets no further one, if possible.
///
/// A request that crashes upstreams mostly does so soon after its start.
const ISOLATION_PERIOD: Duration = Duration::from_secs(1);

/// An upstream's own report on its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Number of requests that are being executed.
    pub running: u32,
    /// Number of requests in the upstream's queue.
    pub waiting: u32,
}

/// How an attempt ended, as far as the outcome says something about the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The upstream answered.
    Answered,
    /// The upstream refused the request because it was full.
    Full,
    /// The upstream refused the request although it seemed to have free slots.
    Refused,
    /// The upstream answered with a server error.
    Failed,
    /// The upstream could not be reached, or its answer broke off.
    Broken,
}

/// The state of one upstream instance.
#[derive(Clone, Debug, Default)]
struct InstanceLoad {
    /// Number of this daemon's requests at the upstream.
    in_flight: u32,
    /// Prompt tokens of this daemon's requests that have no first event yet.
    unread_tokens: u64,
    /// Number of other daemons' requests, by the last report.
    others: f64,
    /// When the last load report arrived.
    others_at: Timestamp,
    /// Average ratio of the measured times to the expected ones, and when it was updated.
    slowness: Option<(f64, Timestamp)>,
    /// Moving average of the share of attempts that fail, from 0 to 1.
    failure_share: f64,
    /// Moving average of the share of requests that are refused although the upstream seems to have
    /// free slots, from 0 to 1.
    refusal_share: f64,
    /// When the current or the last pause ends.
    paused_until: Timestamp,
    /// Length of the last pause after failures; zero once the upstream has answered.
    pause: Duration,
    /// When the upstream last answered a request of this daemon.
    answered_at: Option<Timestamp>,
    /// When this daemon last sent an isolated request to the upstream.
    isolated_at: Option<Timestamp>,
    /// When any stream of this daemon last made progress.
    progress_at: Option<Timestamp>,
}

/// The load, speed and failures of all upstreams that this daemon uses.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    by_instance: HashMap<InstanceId, InstanceLoad>,
}

impl LoadTracker {
    /// Records that a request is sent to an upstream.
    pub fn record_start(&mut self, id: &InstanceId, prompt_tokens: u64) {
        let load = self.entry(id);
        load.in_flight += 1;
        load.unread_tokens += prompt_tokens;
    }

    /// Records that an isolated request is sent to an upstream.
    pub fn record_isolated(&mut self, id: &InstanceId, now: Timestamp) {
        self.entry(id).isolated_at = Some(now);
    }

    /// Returns whether an isolated request was sent to an upstream recently.
    pub(super) fn has_recent_isolated(&self, id: &InstanceId, now: Timestamp) -> bool {
        let isolated_at = self.by_instance.get(id).and_then(|load| load.isolated_at);
        isolated_at.is_some_and(|at| now.since(at) < ISOLATION_PERIOD)
    }

    /// Records that a request's prompt has been read, as its first event shows.
    pub fn read(&mut self, id: &InstanceId, prompt_tokens: u64) {
        let load = self.entry(id);
        load.unread_tokens = load.unread_tokens.saturating_sub(prompt_tokens);
    }

    /// Records the end of a request; to be called once for each call of `record_start`.
    pub fn record_end(&mut self, id: &InstanceId) {
        let load = self.entry(id);
        load.in_flight = load.in_flight.saturating_sub(1);
    }

    /// Takes in an upstream's load report. Reported requests beyond this daemon's own are those of
    /// other daemons.
    pub fn observe_load_report(&mut self, id: &InstanceId, report: LoadReport, now: Timestamp) {
        let load = self.entry(id);
        let all = report.running + report.waiting;
        load.others = f64::from(all.saturating_sub(load.in_flight));
        load.others_at = now;
    }

    /// Records the measured and the expected time to a request's first event.
    pub fn record_first_event_time(
        &mut self,
        id: &InstanceId,
        took_ms: f64,
        expected_ms: f64,
        now: Timestamp,
    ) {
        let ratio = (took_ms / expected_ms.max(1.0)).clamp(MIN_SLOWNESS, MAX_SLOWNESS);
        let before = self.slowness(id, now);
        let load = self.entry(id);
        load.slowness = Some((before + (ratio - before) * SLOWNESS_WEIGHT, now));
    }

    /// Records the outcome of an attempt, and pauses the upstream if necessary.
    pub fn record_outcome(&mut self, id: &InstanceId, outcome: Outcome, now: Timestamp) {
        let load = self.entry(id);
        match outcome {
            Outcome::Answered => {
                load.failure_share *= 1.0 - FAILURE_WEIGHT;
                load.refusal_share *= 1.0 - FAILURE_WEIGHT;
                load.pause = Duration::ZERO;
                load.answered_at = Some(now);
            }
            Outcome::Full => load.paused_until = load.paused_until.max(now + MIN_REFUSAL_PAUSE),
            Outcome::Refused => {
                load.refusal_share += (1.0 - load.refusal_share) * FAILURE_WEIGHT;
                let factor = 1.0 + (MAX_REFUSAL_PAUSE_FACTOR - 1.0) * load.refusal_share;
                let until = now + MIN_REFUSAL_PAUSE.mul_f64(factor);
                load.paused_until = load.paused_until.max(until);
            }
            Outcome::Failed => {
                load.refusal_share *= 1.0 - FAILURE_WEIGHT;
                load.failure_share += (1.0 - load.failure_share) * FAILURE_WEIGHT;
                load.answered_at = Some(now);
                if load.failure_share > PAUSE_FAILURE_SHARE {
                    start_pause(load, now);
                }
            }
            Outcome::Broken => {
                load.failure_share += (1.0 - load.failure_share) * FAILURE_WEIGHT;
                start_pause(load, now);
            }
        }
    }

    /// Records that a part of an answer has arrived.
    pub fn record_progress(&mut self, id: &InstanceId, now: Timestamp) {
        if let Some(load) = self.by_instance.get_mut(id) {
            load.progress_at = Some(now);
        }
    }

    /// Records that one stream has made no progress for `stream_pause`; returns whether all streams
    /// of the upstream are stalled, in which case the upstream is paused.
    ///
    /// Progress of another stream shows that only this one is waiting.
    pub fn record_stall(
        &mut self,
        id: &InstanceId,
        stream_pause: Duration,
        now: Timestamp,
    ) -> bool {
        let load = self.entry(id);
        let is_stalled = load
            .progress_at
            .is_none_or(|at| now.since(at) + STALL_TOLERANCE >= stream_pause);
        if is_stalled {
            start_pause(load, now);
        }
        is_stalled
    }

    /// Returns the number of this daemon's requests at an upstream.
    pub fn in_flight(&self, id: &InstanceId) -> u32 {
        self.by_instance.get(id).map_or(0, |load| load.in_flight)
    }

    /// Returns the estimated number of all daemons' requests at an upstream.
    pub fn outstanding(&self, id: &InstanceId, now: Timestamp) -> f64 {
        let Some(load) = self.by_instance.get(id) else {
            return 0.0;
        };
        let age_ms = now.since(load.others_at).as_millis() as f64;
        let decaying_ms = (age_ms - OTHERS_STABLE_MS).max(0.0);
        let others = load.others * 0.5_f64.powf(decaying_ms / OTHERS_HALF_LIFE_MS);
        f64::from(load.in_flight) + others
    }

    /// Returns the prompt tokens of this daemon's requests that the upstream has still to read.
    pub fn unread_tokens(&self, id: &InstanceId) -> u64 {
        self.by_instance
            .get(id)
            .map_or(0, |load| load.unread_tokens)
    }

    /// Returns the recent ratio of an upstream's measured times to the expected ones.
    ///
    /// The ratio returns to 1 with time: an upstream that was slow once would otherwise get no more
    /// requests and could never show that it has become fast again.
    pub fn slowness(&self, id: &InstanceId, now: Timestamp) -> f64 {
        let load = self.by_instance.get(id);
        let Some((slowness, at)) = load.and_then(|load| load.slowness) else {
            return 1.0;
        };
        let age_ms = now.since(at).as_millis() as f64;
        1.0 + (slowness - 1.0) * 0.5_f64.powf(age_ms / SLOWNESS_HALF_LIFE_MS)
    }

    /// Returns whether an upstream is paused and should get no request.
    ///
    /// After a pause, one request at a time is sent on trial until one is answered. A stalled head
    /// has lost its streams to other heads and seems idle: without trials, all requests that arrive
    /// after its first pause would go there and wait in vain.
    pub fn is_paused(&self, id: &InstanceId, now: Timestamp) -> bool {
        self.by_instance.get(id).is_some_and(|load| {
            let is_on_trial = !load.pause.is_zero() && load.in_flight > 0;
            now < load.paused_until || is_on_trial
        })
    }

    /// Returns when an upstream last answered this daemon.
    pub fn answered_at(&self, id: &InstanceId) -> Option<Timestamp> {
        self.by_instance.get(id)?.answered_at
    }

    /// Drops upstreams that have no request in flight, unless `is_kept` holds for them.
    pub fn forget(&mut self, is_kept: impl Fn(&InstanceId) -> bool) {
        self.by_instance
            .retain(|id, load| load.in_flight > 0 || is_kept(id));
    }

    fn entry(&mut self, id: &InstanceId) -> &mut InstanceLoad {
        if !self.by_instance.contains_key(id) {
            self.by_instance.insert(id.clone(), InstanceLoad::default());
        }
        // PANIC: the entry was inserted just above.
        #[expect(clippy::expect_used, reason = "the entry was inserted just above")]
        self.by_instance.get_mut(id).expect("an entry")
    }
}

/// Starts an upstream's pause, or leaves a running one as it is; each is twice as long as the last.
fn start_pause(load: &mut InstanceLoad, now: Timestamp) {
    // Failures of concurrent requests count once.
    if now < load.paused_until {
        return;
    }
    load.pause = match load.pause.is_zero() {
        true => FIRST_PAUSE,
        false => (load.pause * 2).min(MAX_PAUSE),
    };
    load.paused_until = now + load.pause;
}
