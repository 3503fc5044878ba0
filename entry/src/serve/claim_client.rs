//! Claims of requests that must run at most once, as the serving thread asks for them.

use std::{
    cell::RefCell,
    collections::HashMap,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    claims::{
        ClaimCoordinator,
        ClaimOutput,
        ClaimRefusal,
        ClaimTiming,
        VoterAnswer, //
    },
    peer_api::{
        ClaimKey,
        ClaimReply,
        ClaimRequest,
        StoredOutcome, //
    },
    prelude::*,
};
use cicadabend_daemon::{
    clock::Clock,
    ring, //
};
use tokio::{
    sync::{
        Notify,
        oneshot, //
    },
    time::sleep,
};

/// Sends a question to a control daemon.
pub type SendClaim = Box<dyn Fn(&DaemonId, ClaimRequest) + Send>;

/// How the serving thread reaches the control daemons.
pub struct ClaimLink {
    /// Sends a question to a control daemon; a lost one is sent again.
    pub send: SendClaim,
    /// The answers.
    pub replies: ring::Receiver<ClaimReply>,
    /// The control daemons of the settings, who are asked first.
    pub control_daemons: Vec<DaemonId>,
}

/// Whether an attempt may run; if not, why, and what each voter had said.
pub(super) type Verdict = Result<(), (ClaimRefusal, Vec<VoterAnswer>)>;

/// The coordinator and who waits for its verdicts.
pub(super) struct ClaimClient {
    coordinator: RefCell<ClaimCoordinator>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<Verdict>>>,
    settling: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// Set when an attempt was begun or ended, which moves the next wake-up.
    changed: Notify,
    send: SendClaim,
    clock: Clock,
}

impl ClaimClient {
    /// Makes a desk and starts the task that takes in answers.
    pub(super) fn start(link: ClaimLink, daemon: DaemonId, boot: BootId, clock: Clock) -> Rc<Self> {
        let timing = ClaimTiming::default();
        let coordinator = ClaimCoordinator::new(daemon, boot, timing, link.control_daemons);
        let desk = Rc::new(Self {
            coordinator: RefCell::new(coordinator),
            waiting: RefCell::default(),
            settling: RefCell::default(),
            changed: Notify::new(),
            send: link.send,
            clock,
        });
        tokio::task::spawn_local(Rc::clone(&desk).run(link.replies));
        desk
    }

    /// Begins an attempt; it may run only after a good verdict.
    pub(super) fn begin(
        &self,
        key: ClaimKey,
        fingerprint: u64,
    ) -> (u64, oneshot::Receiver<Verdict>) {
        let now = self.clock.now();
        let begun = self.coordinator.borrow_mut().begin(key, fingerprint, now);
        let (attempt, outputs) = begun;
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().insert(attempt, sender);
        self.carry_out(outputs);
        self.changed.notify_one();
        (attempt, receiver)
    }

    /// Returns whether a granted attempt may still be sent.
    pub(super) fn may_start(&self, attempt: u64) -> bool {
        let now = self.clock.now();
        self.coordinator.borrow().may_start(attempt, now)
    }

    /// Records the outcome of an attempt that ran, or may have.
    ///
    /// The receiver gets word once a majority of the control daemons has it.
    pub(super) fn complete(&self, attempt: u64, outcome: StoredOutcome) -> oneshot::Receiver<()> {
        let settled = self.await_settling(attempt);
        let now = self.clock.now();
        let mut coordinator = self.coordinator.borrow_mut();
        let outputs = coordinator.complete(attempt, outcome, now);
        drop(coordinator);
        self.carry_out(outputs);
        self.changed.notify_one();
        settled
    }

    fn await_settling(&self, attempt: u64) -> oneshot::Receiver<()> {
        let (sender, settled) = oneshot::channel();
        self.settling.borrow_mut().insert(attempt, sender);
        settled
    }

    /// Gives up an attempt that certainly did not run and never will.
    ///
    /// The receiver gets word once a majority of the control daemons knows.
    pub(super) fn release(&self, attempt: u64) -> oneshot::Receiver<()> {
        self.waiting.borrow_mut().remove(&attempt);
        let settled = self.await_settling(attempt);
        let now = self.clock.now();
        let outputs = self.coordinator.borrow_mut().release(attempt, now);
        self.carry_out(outputs);
        self.changed.notify_one();
        settled
    }

    /// Stops waiting for word of an attempt, which goes on being told to the control daemons.
    pub(super) fn stop_awaiting(&self, attempt: u64) {
        self.settling.borrow_mut().remove(&attempt);
    }

    /// Waits until every outcome is recorded; a daemon that stops would lose the rest.
    pub(super) async fn all_recorded(&self) {
        const LOOK_MS: u64 = 10;
        while !self.coordinator.borrow().is_empty() {
            sleep(Duration::from_millis(LOOK_MS)).await;
        }
    }

    async fn run(self: Rc<Self>, mut replies: ring::Receiver<ClaimReply>) {
        loop {
            let outputs = tokio::select! {
                reply = replies.next() => match reply {
                    Some(reply) => self.handle_reply(&reply),
                    None => return,
                },
                () = self.wake() => self.tick(),
                () = self.changed.notified() => Vec::new(),
            };
            self.carry_out(outputs);
        }
    }

    fn handle_reply(&self, reply: &ClaimReply) -> Vec<ClaimOutput> {
        let now = self.clock.now();
        self.coordinator.borrow_mut().handle_reply(reply, now)
    }

    fn tick(&self) -> Vec<ClaimOutput> {
        self.coordinator.borrow_mut().tick(self.clock.now())
    }

    async fn wake(&self) {
        let next = self.coordinator.borrow().next_wake();
        match next {
            Some(at) => sleep(at.since(self.clock.now())).await,
            None => std::future::pending().await,
        }
    }

    fn carry_out(&self, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Send { to, request } => (self.send)(&to, request),
                ClaimOutput::Granted { attempt } => self.tell(attempt, Ok(())),
                ClaimOutput::Settled { attempt } => self.tell_settled(attempt),
                ClaimOutput::Refused {
                    attempt,
                    refusal,
                    answers,
                } => self.tell(attempt, Err((refusal, answers))),
            }
        }
    }

    fn tell_settled(&self, attempt: u64) {
        if let Some(settling) = self.settling.borrow_mut().remove(&attempt) {
            // Whoever waited has given up.
            let _ = settling.send(());
        }
    }

    fn tell(&self, attempt: u64, verdict: Verdict) {
        if let Some(waiting) = self.waiting.borrow_mut().remove(&attempt) {
            // A request that has gone meanwhile has released its attempt.
            let _ = waiting.send(verdict);
        }
    }
}
