//! Requests claims from the control daemons, for requests that must run at most once.

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

/// Sends a claim request to a control daemon.
pub type SendClaim = Box<dyn Fn(&DaemonId, ClaimRequest) + Send>;

/// The serving thread's link to the control daemons.
pub struct ClaimLink {
    /// Sends a claim request to a control daemon; lost ones are retransmitted.
    pub send: SendClaim,
    /// The control daemons' replies.
    pub replies: ring::Receiver<ClaimReply>,
    /// The control daemons that the settings name, to which the first requests are sent.
    pub control_daemons: Vec<DaemonId>,
}

/// Whether an attempt may run; if not, the reason and the answers of the voters.
pub(super) type AttemptVerdict = Result<(), (ClaimRefusal, Vec<VoterAnswer>)>;

/// The coordinator of claims, and the requests that wait for its verdicts.
pub(super) struct ClaimClient {
    coordinator: RefCell<ClaimCoordinator>,
    /// Notifies the request that waits for a claim, by the attempt's number.
    verdict_senders: RefCell<HashMap<u64, oneshot::Sender<AttemptVerdict>>>,
    /// Notifies the request that waits for its outcome to be recorded, by the attempt's number.
    settled_senders: RefCell<HashMap<u64, oneshot::Sender<()>>>,
    /// Notified when an attempt begins or ends, since that changes the time of the next tick.
    changed: Notify,
    send: SendClaim,
    clock: Clock,
}

impl ClaimClient {
    /// Makes a client and starts the task that handles the control daemons' replies.
    pub(super) fn start(link: ClaimLink, daemon: DaemonId, boot: BootId, clock: Clock) -> Rc<Self> {
        let timing = ClaimTiming::default();
        let coordinator = ClaimCoordinator::new(daemon, boot, timing, link.control_daemons);
        let client = Rc::new(Self {
            coordinator: RefCell::new(coordinator),
            verdict_senders: RefCell::default(),
            settled_senders: RefCell::default(),
            changed: Notify::new(),
            send: link.send,
            clock,
        });
        tokio::task::spawn_local(Rc::clone(&client).run(link.replies));
        client
    }

    /// Requests a claim; returns the attempt's number and the receiver of the verdict.
    ///
    /// The attempt may run only if the verdict grants the claim.
    pub(super) fn begin(
        &self,
        key: ClaimKey,
        fingerprint: u64,
    ) -> (u64, oneshot::Receiver<AttemptVerdict>) {
        let now = self.clock.now();
        let begun = self.coordinator.borrow_mut().begin(key, fingerprint, now);
        let (attempt, outputs) = begun;
        let (sender, receiver) = oneshot::channel();
        self.verdict_senders.borrow_mut().insert(attempt, sender);
        self.perform(outputs);
        self.changed.notify_one();
        (attempt, receiver)
    }

    /// Returns whether the claim of an attempt is recent enough for the request to be sent.
    pub(super) fn may_start(&self, attempt: u64) -> bool {
        let now = self.clock.now();
        self.coordinator.borrow().may_start(attempt, now)
    }

    /// Sends the outcome of an attempt that ran, or may have run, to the control daemons.
    ///
    /// The receiver is notified once a majority of them has recorded the outcome.
    pub(super) fn complete(&self, attempt: u64, outcome: StoredOutcome) -> oneshot::Receiver<()> {
        let settled = self.expect_settlement(attempt);
        let now = self.clock.now();
        let mut coordinator = self.coordinator.borrow_mut();
        let outputs = coordinator.complete(attempt, outcome, now);
        drop(coordinator);
        self.perform(outputs);
        self.changed.notify_one();
        settled
    }

    /// Returns a receiver that is notified when the attempt's outcome or release is recorded.
    fn expect_settlement(&self, attempt: u64) -> oneshot::Receiver<()> {
        let (sender, settled) = oneshot::channel();
        self.settled_senders.borrow_mut().insert(attempt, sender);
        settled
    }

    /// Releases the claim of an attempt that certainly did not run and never will.
    ///
    /// The receiver is notified once a majority of the control daemons has recorded the release.
    pub(super) fn release(&self, attempt: u64) -> oneshot::Receiver<()> {
        self.verdict_senders.borrow_mut().remove(&attempt);
        let settled = self.expect_settlement(attempt);
        let now = self.clock.now();
        let outputs = self.coordinator.borrow_mut().release(attempt, now);
        self.perform(outputs);
        self.changed.notify_one();
        settled
    }

    /// Drops the notification of an attempt, whose outcome or release is still retransmitted.
    pub(super) fn stop_awaiting(&self, attempt: u64) {
        self.settled_senders.borrow_mut().remove(&attempt);
    }

    /// Waits until every outcome is recorded; those that are not are lost when the daemon stops.
    pub(super) async fn all_recorded(&self) {
        const POLL_INTERVAL_MS: u64 = 10;
        while !self.coordinator.borrow().is_empty() {
            sleep(Duration::from_millis(POLL_INTERVAL_MS)).await;
        }
    }

    async fn run(self: Rc<Self>, mut replies: ring::Receiver<ClaimReply>) {
        loop {
            let outputs = tokio::select! {
                reply = replies.next() => match reply {
                    Some(reply) => self.handle_reply(&reply),
                    None => return,
                },
                () = self.wait_for_next_wake() => self.tick(),
                () = self.changed.notified() => Vec::new(),
            };
            self.perform(outputs);
        }
    }

    fn handle_reply(&self, reply: &ClaimReply) -> Vec<ClaimOutput> {
        let now = self.clock.now();
        self.coordinator.borrow_mut().handle_reply(reply, now)
    }

    fn tick(&self) -> Vec<ClaimOutput> {
        self.coordinator.borrow_mut().tick(self.clock.now())
    }

    /// Waits until the coordinator needs a tick.
    async fn wait_for_next_wake(&self) {
        let next = self.coordinator.borrow().next_wake();
        match next {
            Some(at) => sleep(at.since(self.clock.now())).await,
            None => std::future::pending().await,
        }
    }

    fn perform(&self, outputs: Vec<ClaimOutput>) {
        for output in outputs {
            match output {
                ClaimOutput::Send { to, request } => (self.send)(&to, request),
                ClaimOutput::Granted { attempt } => self.send_verdict(attempt, Ok(())),
                ClaimOutput::Settled { attempt } => self.notify_settled(attempt),
                ClaimOutput::Refused {
                    attempt,
                    refusal,
                    answers,
                } => self.send_verdict(attempt, Err((refusal, answers))),
            }
        }
    }

    fn notify_settled(&self, attempt: u64) {
        if let Some(sender) = self.settled_senders.borrow_mut().remove(&attempt) {
            // A failed send means that the request no longer waits.
            let _ = sender.send(());
        }
    }

    fn send_verdict(&self, attempt: u64, verdict: AttemptVerdict) {
        if let Some(sender) = self.verdict_senders.borrow_mut().remove(&attempt) {
            // A failed send means that the request has ended, which releases its claim.
            let _ = sender.send(verdict);
        }
    }
}
