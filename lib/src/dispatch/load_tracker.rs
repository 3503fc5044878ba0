//! What one daemon knows of each upstream's load, speed and failures.

use std::{
    collections::HashMap,
    time::Duration, //
};

use crate::{
    registry::InstanceId,
    time::Timestamp, //
};

/// How long what was seen of other daemons' requests is taken to be there still.
///
/// Forgotten from the first moment on, the load of an engine that nobody has heard of for half
/// a second looks lower than it is, and all daemons choose just that one, whose queue grows. A
/// request takes longer than this, so most of what was seen is still there.
const OTHERS_HELD_MS: f64 = 1_000.0;
/// How fast it is forgotten after that.
const OTHERS_HALF_LIFE_MS: f64 = 1_500.0;
/// Weight of a new measurement of speed.
const SPEED_WEIGHT: f64 = 0.25;
/// The bounds of what one measurement says. Upstreams that were used little must not
/// look worse than those that were measured to be fast.
const LEAST_SLOWNESS: f64 = 0.8;
const MOST_SLOWNESS: f64 = 20.0;
/// How fast slowness is forgotten.
const SLOWNESS_HALF_LIFE_MS: f64 = 3_000.0;
/// Weight of a new outcome in the share of failures.
const FAILURE_WEIGHT: f64 = 0.2;
/// A share of failures above this takes an upstream out of use.
const FAILING_SHARE: f64 = 0.55;
/// The first pause of an upstream that cannot be used; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(6_400);
/// By how much the last sign of one stream may be later than that of another.
const STALL_MARGIN: Duration = Duration::from_millis(60);
/// How long an upstream that refused a request is left alone at least.
const REFUSED_PAUSE: Duration = Duration::from_millis(120);
/// How many times longer one is left alone that refuses all requests while it seems to have room.
///
/// Whoever refuses at once has nothing outstanding and looks like the best choice.
const REFUSING_FACTOR: f64 = 16.0;

/// How long a request that broke off keeps others like it away from its next upstream.
///
/// One that ends upstreams mostly does so at once.
const KEPT_APART_FOR: Duration = Duration::from_secs(1);

/// An upstream's own word on its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// How an attempt ended, as far as it tells of the upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It answered.
    Answered,
    /// It refused because it is full.
    Full,
    /// It refused though it seemed to have room.
    Refused,
    /// It answered with a failure of its own.
    Failed,
    /// It could not be reached, or its answer broke off.
    Broken,
}

#[derive(Clone, Debug, Default)]
struct InstanceLoad {
    in_flight: u32,
    /// Prompt tokens of own requests that have no first event yet.
    unread_tokens: u64,
    others: f64,
    others_at: Timestamp,
    /// How much slower than expected it is.
    slowness: Option<(f64, Timestamp)>,
    failing: f64,
    /// The share of the last requests that it refused though it seemed to have room.
    refusing: f64,
    paused_until: Timestamp,
    pause: Duration,
    answered_at: Option<Timestamp>,
    /// When a request was sent to it that is to meet no others.
    kept_apart_at: Option<Timestamp>,
    progress_at: Option<Timestamp>,
}

/// All upstreams that were used.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    by_instance: HashMap<InstanceId, InstanceLoad>,
}

impl LoadTracker {
    /// Notes a request that is sent.
    pub fn record_start(&mut self, id: &InstanceId, prompt_tokens: u64) {
        let one = self.entry(id);
        one.in_flight += 1;
        one.unread_tokens += prompt_tokens;
    }

    /// Notes that a request was sent to it that is to meet no others like it.
    pub fn record_isolated(&mut self, id: &InstanceId, now: Timestamp) {
        self.entry(id).kept_apart_at = Some(now);
    }

    /// Returns whether such a request was sent to it lately.
    pub(super) fn has_kept_apart(&self, id: &InstanceId, now: Timestamp) -> bool {
        let kept = self.by_instance.get(id).and_then(|one| one.kept_apart_at);
        kept.is_some_and(|at| now.since(at) < KEPT_APART_FOR)
    }

    /// Notes that the first event of a request has come.
    pub fn read(&mut self, id: &InstanceId, prompt_tokens: u64) {
        let one = self.entry(id);
        one.unread_tokens = one.unread_tokens.saturating_sub(prompt_tokens);
    }

    /// Notes the end of a request, once for each that started.
    pub fn record_end(&mut self, id: &InstanceId) {
        let one = self.entry(id);
        one.in_flight = one.in_flight.saturating_sub(1);
    }

    /// Takes in an upstream's own word; own requests are taken off, the rest are others'.
    pub fn observe_load_report(&mut self, id: &InstanceId, report: LoadReport, now: Timestamp) {
        let one = self.entry(id);
        let all = report.running + report.waiting;
        one.others = f64::from(all.saturating_sub(one.in_flight));
        one.others_at = now;
    }

    /// Notes how long a first event took against what was expected.
    pub fn record_first_event_time(
        &mut self,
        id: &InstanceId,
        took_ms: f64,
        expected_ms: f64,
        now: Timestamp,
    ) {
        let ratio = (took_ms / expected_ms.max(1.0)).clamp(LEAST_SLOWNESS, MOST_SLOWNESS);
        let before = self.slowness(id, now);
        let one = self.entry(id);
        one.slowness = Some((before + (ratio - before) * SPEED_WEIGHT, now));
    }

    /// Notes how an attempt ended.
    pub fn record_outcome(&mut self, id: &InstanceId, outcome: Outcome, now: Timestamp) {
        let one = self.entry(id);
        match outcome {
            Outcome::Answered => {
                one.failing *= 1.0 - FAILURE_WEIGHT;
                one.refusing *= 1.0 - FAILURE_WEIGHT;
                one.pause = Duration::ZERO;
                one.answered_at = Some(now);
            }
            Outcome::Full => one.paused_until = one.paused_until.max(now + REFUSED_PAUSE),
            Outcome::Refused => {
                one.refusing += (1.0 - one.refusing) * FAILURE_WEIGHT;
                let factor = 1.0 + (REFUSING_FACTOR - 1.0) * one.refusing;
                let until = now + REFUSED_PAUSE.mul_f64(factor);
                one.paused_until = one.paused_until.max(until);
            }
            Outcome::Failed => {
                one.refusing *= 1.0 - FAILURE_WEIGHT;
                one.failing += (1.0 - one.failing) * FAILURE_WEIGHT;
                one.answered_at = Some(now);
                if one.failing > FAILING_SHARE {
                    pause(one, now);
                }
            }
            Outcome::Broken => {
                one.failing += (1.0 - one.failing) * FAILURE_WEIGHT;
                pause(one, now);
            }
        }
    }

    /// Notes that something of an answer has come.
    pub fn record_progress(&mut self, id: &InstanceId, now: Timestamp) {
        if let Some(one) = self.by_instance.get_mut(id) {
            one.progress_at = Some(now);
        }
    }

    /// Leaves an upstream alone whose streams stand still; returns whether they all do.
    ///
    /// Another stream that goes on shows that only this one waits.
    pub fn record_stall(
        &mut self,
        id: &InstanceId,
        pause_of_one: Duration,
        now: Timestamp,
    ) -> bool {
        let one = self.entry(id);
        let is_silent = one
            .progress_at
            .is_none_or(|at| now.since(at) + STALL_MARGIN >= pause_of_one);
        if is_silent {
            pause(one, now);
        }
        is_silent
    }

    /// Returns how many requests of this daemon are there.
    pub fn in_flight(&self, id: &InstanceId) -> u32 {
        self.by_instance.get(id).map_or(0, |one| one.in_flight)
    }

    /// Returns how many requests are believed to be there.
    pub fn outstanding(&self, id: &InstanceId, now: Timestamp) -> f64 {
        let Some(one) = self.by_instance.get(id) else {
            return 0.0;
        };
        let age_ms = now.since(one.others_at).as_millis() as f64;
        let decaying_ms = (age_ms - OTHERS_HELD_MS).max(0.0);
        let others = one.others * 0.5_f64.powf(decaying_ms / OTHERS_HALF_LIFE_MS);
        f64::from(one.in_flight) + others
    }

    /// Returns the prompt tokens of own requests that are still to be read there.
    pub fn unread_tokens(&self, id: &InstanceId) -> u64 {
        self.by_instance.get(id).map_or(0, |one| one.unread_tokens)
    }

    /// Returns how much slower than expected an upstream was lately.
    ///
    /// It is forgotten with time: one that was slow once would otherwise get no request
    /// any more, and so never show that it has become fast again.
    pub fn slowness(&self, id: &InstanceId, now: Timestamp) -> f64 {
        let one = self.by_instance.get(id);
        let Some((slowness, at)) = one.and_then(|one| one.slowness) else {
            return 1.0;
        };
        let age_ms = now.since(at).as_millis() as f64;
        1.0 + (slowness - 1.0) * 0.5_f64.powf(age_ms / SLOWNESS_HALF_LIFE_MS)
    }

    /// Returns whether an upstream is left alone for now.
    ///
    /// After a pause one request at a time tries it, until one is answered. A head that stands
    /// still has lost its streams to others, so it looks idle: without this, all that comes in
    /// after its first pause goes there and waits in vain.
    pub fn is_paused(&self, id: &InstanceId, now: Timestamp) -> bool {
        self.by_instance.get(id).is_some_and(|one| {
            let is_on_trial = !one.pause.is_zero() && one.in_flight > 0;
            now < one.paused_until || is_on_trial
        })
    }

    /// Returns when an upstream last answered this daemon.
    pub fn answered_at(&self, id: &InstanceId) -> Option<Timestamp> {
        self.by_instance.get(id)?.answered_at
    }

    /// Drops upstreams that are not kept and have no request.
    pub fn forget(&mut self, is_kept: impl Fn(&InstanceId) -> bool) {
        self.by_instance
            .retain(|id, one| one.in_flight > 0 || is_kept(id));
    }

    fn entry(&mut self, id: &InstanceId) -> &mut InstanceLoad {
        if !self.by_instance.contains_key(id) {
            self.by_instance.insert(id.clone(), InstanceLoad::default());
        }
        // PANIC: it was put in just above.
        #[expect(clippy::expect_used, reason = "it was put in just above")]
        self.by_instance.get_mut(id).expect("an entry")
    }
}

fn pause(one: &mut InstanceLoad, now: Timestamp) {
    // Failures of requests that were sent together count once.
    if now < one.paused_until {
        return;
    }
    one.pause = match one.pause.is_zero() {
        true => FIRST_PAUSE,
        false => (one.pause * 2).min(LONGEST_PAUSE),
    };
    one.paused_until = now + one.pause;
}
