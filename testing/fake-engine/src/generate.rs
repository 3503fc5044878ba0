//! One generation, from its slot to its last token.

use std::{
    collections::{
        HashMap,
        VecDeque, //
    },
    rc::Rc,
    time::Duration,
};

use cicadabend::{
    prelude::*,
    upstream_api::session_prefix_hash, //
};
use tokio::{
    sync::watch,
    time::Instant, //
};

use crate::{
    batch::Slot,
    run::{
        Run,
        RunState, //
    },
    text,
    vm::Vm, //
};

/// How many generations are remembered for resuming.
const GENERATION_LIMIT: usize = 4_096;
/// How long hyper may take to write tokens out before a set break.
const WRITE_TIME: Duration = Duration::from_millis(5);
/// By how much a stalled stream may catch up at once.
const LONGEST_CATCH_UP: Duration = Duration::from_millis(100);

/// What a request asks for, whichever API it came by.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Its id.
    pub request_id: String,
    /// Its idempotency key.
    pub idempotency_key: Option<String>,
    /// Whether it is marked as not repeatable.
    pub not_repeatable: bool,
    /// Its session key.
    pub session: Option<String>,
    /// Its priority; lower goes first.
    pub priority: u8,
    /// The position from which to resume.
    pub resume_from: Option<u64>,
    /// The prompt.
    pub prompt: String,
    /// How many tokens to generate.
    pub max_tokens: u64,
}

/// Why a generation did not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotStarted {
    /// There is nothing to resume, or it does not belong to this prompt.
    UnknownGeneration,
    /// A cancel request came before it had a slot.
    Cancelled,
    /// The group changed before it had a slot.
    Regrouped,
}

/// One token.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Token {
    /// Its position, from zero.
    pub position: u64,
    /// Its text.
    pub text: String,
    /// Whether it is the last one.
    pub last: bool,
}

/// Generations that can be resumed, the latest of each request.
#[derive(Debug, Default)]
pub struct Generations {
    by_request: HashMap<String, Known>,
    order: VecDeque<String>,
    made: u64,
}

#[derive(Clone, Debug)]
struct Known {
    generation: String,
    run: u64,
    prompt_check: u32,
    sent: u64,
}

impl Generations {
    fn remember(&mut self, request_id: &str, known: Known) {
        let before = self.by_request.insert(request_id.to_owned(), known);
        if before.is_some() {
            return;
        }
        self.order.push_back(request_id.to_owned());
        if self.order.len() > GENERATION_LIMIT
            && let Some(oldest) = self.order.pop_front()
        {
            self.by_request.remove(&oldest);
        }
    }

    fn sent(&mut self, request_id: &str, run: u64, sent: u64) {
        if let Some(known) = self.by_request.get_mut(request_id)
            && known.run == run
        {
            known.sent = known.sent.max(sent);
        }
    }

    fn resumable(&self, ask: &Ask, from: u64) -> Option<Known> {
        let known = self.by_request.get(&ask.request_id)?;
        let same = known.prompt_check == text::prompt_check(&ask.prompt);
        (same && from <= known.sent).then(|| known.clone())
    }
}

/// A generation in progress; dropping it frees its slot and closes its run.
#[derive(Debug)]
pub struct Generating {
    vm: Rc<Vm>,
    ask: Ask,
    generation: String,
    run: u64,
    prompt_check: u32,
    position: u64,
    due: Instant,
    break_at: Option<u64>,
    stop: watch::Receiver<Option<RunState>>,
    state: RunState,
    slot: Option<Slot>,
}

impl Generating {
    /// Opens a run, waits for a slot and does the prefill.
    ///
    /// # Errors
    ///
    /// Returns why nothing started.
    pub async fn begin(vm: Rc<Vm>, ask: Ask) -> Result<Self, NotStarted> {
        let mut this = Self::open(vm, ask)?;
        let arrived = this.vm.clock.now();
        let batch = this.vm.batch.clone();
        let slot = tokio::select! {
            biased;
            state = stopped(&mut this.stop) => {
                this.state = state;
                return Err(match state {
                    RunState::Cancelled => NotStarted::Cancelled,
                    _ => NotStarted::Regrouped,
                });
            }
            slot = batch.acquire(this.ask.priority) => slot,
        };
        this.slot = Some(slot);
        this.start(arrived);
        Ok(this)
    }

    /// Returns the id of the generation.
    pub fn id(&self) -> &str {
        &self.generation
    }

    /// Returns what was asked for.
    pub fn ask(&self) -> &Ask {
        &self.ask
    }

    /// Waits for the next token; `None` after the last one.
    ///
    /// # Errors
    ///
    /// Returns how the run ended if it was stopped.
    pub async fn next(&mut self) -> Result<Option<Token>, RunState> {
        if self.position >= self.ask.max_tokens {
            self.state = RunState::Complete;
            return Ok(None);
        }
        if self.break_at.is_some_and(|at| self.position >= at) {
            // hyper throws away what it has not written yet when a body fails, and
            // the test counts on the tokens before the break.
            tokio::time::sleep(WRITE_TIME).await;
            self.state = RunState::Broken;
            return Err(self.state);
        }
        tokio::select! {
            biased;
            state = stopped(&mut self.stop) => {
                self.state = state;
                return Err(state);
            }
            () = until(self.due) => {}
        }
        Ok(Some(self.take_token()))
    }

    fn open(vm: Rc<Vm>, ask: Ask) -> Result<Self, NotStarted> {
        let prompt_check = text::prompt_check(&ask.prompt);
        let (generation, run, position) = match ask.resume_from {
            None => open_new(&vm, &ask, prompt_check),
            Some(from) => reopen(&vm, &ask, from)?,
        };
        let break_after = vm.faults.borrow_mut().take_break();
        Ok(Self {
            stop: vm.watch_run(run, &ask.request_id),
            break_at: break_after.map(|after| position + after),
            due: Instant::now(),
            state: RunState::CallerGone,
            slot: None,
            vm,
            ask,
            generation,
            run,
            prompt_check,
            position,
        })
    }

    /// Marks the run as started and sets when its first token is due.
    fn start(&mut self, arrived: Timestamp) {
        let now = self.vm.clock.now();
        let prompt_tokens = text::prompt_tokens(&self.ask.prompt);
        let cached_tokens = match &self.ask.session {
            Some(session) => {
                let hash = session_prefix_hash(session);
                let mut cache = self.vm.cache.borrow_mut();
                cache.use_prefix(hash, prompt_tokens, now)
            }
            None => 0,
        };
        if self.ask.resume_from.is_none() {
            self.vm.runs.borrow_mut().start(self.run, |run| {
                run.queued_ms = now.0.saturating_sub(arrived.0);
                run.prompt_tokens = prompt_tokens;
                run.cached_tokens = cached_tokens;
            });
        }
        let per_token_us = self
            .vm
            .engine_settings()
            .map_or(0, |e| e.prefill_us_per_token);
        let prefill_us = (prompt_tokens - cached_tokens) * per_token_us;
        self.due = Instant::now() + Duration::from_micros(self.vm.slowed_us(prefill_us));
    }

    fn take_token(&mut self) -> Token {
        let position = self.position;
        self.position += 1;
        let sent = self.position;
        self.vm.runs.borrow_mut().change(self.run, |run| {
            run.tokens_sent = run.tokens_sent.max(sent);
        });
        let mut generations = self.vm.generations.borrow_mut();
        generations.sent(&self.ask.request_id, self.run, sent);
        let earliest = Instant::now().checked_sub(LONGEST_CATCH_UP);
        self.due = self.due.max(earliest.unwrap_or(self.due)) + self.interval();
        Token {
            position,
            text: text::token_text(&self.ask.request_id, self.prompt_check, position),
            last: sent == self.ask.max_tokens,
        }
    }

    /// Returns the time between two tokens, which grows with the batch.
    fn interval(&self) -> Duration {
        let Some(settings) = self.vm.engine_settings() else {
            return Duration::ZERO;
        };
        let others = u64::from(self.vm.batch.running().saturating_sub(1));
        let percent = 100 + others * settings.batch_slowdown_percent;
        let interval_us = settings.token_interval_us * percent / 100;
        Duration::from_micros(self.vm.slowed_us(interval_us))
    }
}

impl Drop for Generating {
    fn drop(&mut self) {
        self.vm.close_watched_run(self.run, &self.stop, self.state);
    }
}

/// Waits for a time; one that has come takes no time, where tokio's timer, which counts
/// whole milliseconds, would take up to one.
async fn until(due: Instant) {
    if due > Instant::now() {
        tokio::time::sleep_until(due).await;
    }
}

async fn stopped(stop: &mut watch::Receiver<Option<RunState>>) -> RunState {
    match stop.wait_for(Option::is_some).await {
        Ok(state) => state.unwrap_or(RunState::Broken),
        // The sender is only dropped together with the run.
        Err(_) => RunState::Broken,
    }
}

fn open_new(vm: &Vm, ask: &Ask, prompt_check: u32) -> (String, u64, u64) {
    let made = {
        let mut generations = vm.generations.borrow_mut();
        generations.made += 1;
        generations.made
    };
    let generation = format!("gen-{}-{:x}-{made}", vm.settings.vm, vm.boot.0);
    let run = vm.open_run(Run {
        number: 0,
        vm: vm.settings.vm.clone(),
        boot: vm.boot,
        request_id: ask.request_id.clone(),
        idempotency_key: ask.idempotency_key.clone(),
        not_repeatable: ask.not_repeatable,
        session: ask.session.clone(),
        generation: generation.clone(),
        group: vm.membership().map(|membership| membership.group),
        started: false,
        arrived_ms: vm.clock.now().0,
        queued_ms: 0,
        prompt_tokens: 0,
        cached_tokens: 0,
        tokens_sent: 0,
        resumes: 0,
        state: RunState::Queued,
    });
    let known = Known {
        generation: generation.clone(),
        run,
        prompt_check,
        sent: 0,
    };
    let mut generations = vm.generations.borrow_mut();
    generations.remember(&ask.request_id, known);
    (generation, run, 0)
}

fn reopen(vm: &Vm, ask: &Ask, from: u64) -> Result<(String, u64, u64), NotStarted> {
    let known = vm.generations.borrow().resumable(ask, from);
    let known = known.ok_or(NotStarted::UnknownGeneration)?;
    // The connection that broke may not be noticed yet; two must not feed one generation.
    vm.stop_runs(Some(&ask.request_id), RunState::CallerGone);
    vm.runs.borrow_mut().change(known.run, |run| {
        run.resumes += 1;
        run.state = RunState::Running;
    });
    Ok((known.generation, known.run, from))
}
