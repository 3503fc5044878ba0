//! The main loop of the thread `domain`: passes inputs to the coordinator and performs the actions
//! that the coordinator returns.

use std::{
    sync::Arc,
    time::Duration, //
};

use arc_swap::ArcSwap;
use cicadabend::{
    domain::{
        coordinator::{
            Action,
            Coordinator, //
        },
        leader::AddressedCommand,
        membership::{
            AnnouncementRefusal,
            Source, //
        },
    },
    peer_api::PeerMessage,
    prelude::*,
    routing::{
        CacheNotice,
        ReplicaId,
        RoutingSnapshot, //
    },
    upstream_api::Announcement,
};
use cicadabend_daemon::{
    clock::Clock,
    peers::{
        Incoming,
        PeerSender, //
    },
    ring::{
        Receiver,
        Sender, //
    },
};
use tokio::{
    sync::watch,
    time::MissedTickBehavior, //
};

use super::{
    DomainContext, DomainEvent, ServeNotice,
    counters::{
        AnnouncementDrop,
        CommandOutcome,
        DomainChange, //
    },
    events::LogEvent,
    observation::Observation,
};
use crate::commands::CommandPermit;

/// How often the coordinator gets a tick, by which it notices that time has passed.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// The maximum number of queued events that are handled before a new snapshot is published.
const MAX_EVENTS_PER_BATCH: usize = 256;

/// The state of the thread `domain`.
pub(super) struct DomainThread {
    pub(super) coordinator: Coordinator,
    pub(super) peers: PeerSender,
    pub(super) snapshot: Arc<ArcSwap<RoutingSnapshot>>,
    pub(super) clock: Clock,
    pub(super) commands: Sender<AddressedCommand>,
    pub(super) permit: Arc<CommandPermit>,
    pub(super) observation: Observation,
    pub(super) context: DomainContext,
}

impl DomainThread {
    /// Runs until the process stops.
    pub(super) async fn run(
        mut self,
        mut inbox: Receiver<Incoming>,
        mut events: Receiver<DomainEvent>,
        mut stop: watch::Receiver<bool>,
    ) {
        let mut notices = self.context.serve_notices.take();
        let mut ticker = tokio::time::interval(TICK_INTERVAL);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut publish = false;
            tokio::select! {
                incoming = inbox.next() => match incoming {
                    Some(incoming) => publish |= self.handle_message(incoming),
                    None => return,
                },
                event = events.next() => match event {
                    Some(event) => publish |= self.handle_event(event),
                    None => return,
                },
                notice = next_notice(&mut notices) => self.handle_notice(notice),
                _ = ticker.tick() => publish |= self.tick(),
                _ = stop.wait_for(|stopping| *stopping) => return,
            }
            publish |= self.handle_queued(&mut inbox, &mut events);
            if publish {
                self.publish();
            }
        }
    }

    /// Handles the inputs that have queued up, so that a burst leads to one snapshot only.
    ///
    /// Returns whether the snapshot is outdated, like the other handlers of inputs.
    fn handle_queued(
        &mut self,
        inbox: &mut Receiver<Incoming>,
        events: &mut Receiver<DomainEvent>,
    ) -> bool {
        let mut publish = false;
        for _ in 0..MAX_EVENTS_PER_BATCH {
            let incoming = inbox.try_next();
            let event = events.try_next();
            if incoming.is_none() && event.is_none() {
                break;
            }
            publish |= incoming.is_some_and(|incoming| self.handle_message(incoming));
            publish |= event.is_some_and(|event| self.handle_event(event));
        }
        publish
    }

    fn handle_notice(&mut self, notice: ServeNotice) {
        match notice {
            ServeNotice::Figures(statistics) => {
                let dropped = self.coordinator.queue_policy_statistics(statistics);
                if dropped > 0 {
                    let metrics = self.observation.metrics();
                    metrics.count_many(DomainChange::FiguresDropped, dropped as u64);
                }
            }
            // TODO: divide limits by demand once daemons hold back what they may lend.
            ServeNotice::Demand(_) => {}
        }
    }

    fn handle_message(&mut self, incoming: Incoming) -> bool {
        if let PeerMessage::ClaimReply(reply) = incoming.message {
            if let Some(claim_replies) = &self.context.claim_replies {
                // The claimant retransmits the claim if its reply is dropped.
                if claim_replies.push(reply).is_err() {
                    self.count(DomainChange::ClaimReplyDropped);
                }
            }
            return false;
        }
        let now = self.clock.now();
        let actions = self
            .coordinator
            .receive(&incoming.from, incoming.message, now);
        self.perform_actions(actions)
    }

    fn handle_event(&mut self, event: DomainEvent) -> bool {
        let DomainEvent::Announced {
            announcement,
            made_after,
            verdict,
        } = event;
        let outcome = self.handle_announcement(*announcement, made_after);
        // The receiver is dropped only if the upstream has closed its connection.
        let _ = verdict.send(outcome.as_ref().map(|_| ()).map_err(Clone::clone));
        match outcome {
            Ok(actions) => self.perform_actions(actions),
            Err(refusal) => {
                self.record_refusal(&refusal);
                false
            }
        }
    }

    /// Counts a refused announcement, and logs it unless it is merely outdated.
    fn record_refusal(&self, refusal: &AnnouncementRefusal) {
        let metrics = self.observation.metrics();
        let reason = refusal.to_string();
        match refusal {
            // Outdated announcements are normal: messages can be duplicated or reordered.
            AnnouncementRefusal::Outdated { .. } => metrics.count(AnnouncementDrop::Outdated),
            AnnouncementRefusal::TwoVmsOneId { .. } => {
                metrics.count(AnnouncementDrop::TwoVmsOneId);
                LogEvent::AnnouncementRefused { reason }.emit();
            }
            AnnouncementRefusal::OtherDomain { .. } => {
                metrics.count(AnnouncementDrop::OtherDomain);
                LogEvent::AnnouncementRefused { reason }.emit();
            }
        }
    }

    fn count(&self, change: DomainChange) {
        self.observation.metrics().count(change);
    }

    /// Passes an announcement to the coordinator and its cache events to the thread `serve`.
    fn handle_announcement(
        &mut self,
        mut announcement: Announcement,
        made_after: Option<Timestamp>,
    ) -> Result<Vec<Action>, AnnouncementRefusal> {
        let events = std::mem::take(&mut announcement.cache_events);
        let (vm, boot) = (announcement.vm.clone(), announcement.boot);
        let source = Source::Direct { made_after };
        let actions =
            self.coordinator
                .handle_announcement(announcement, source, self.clock.now())?;
        if let Some(cache_notices) = &self.context.cache_notices {
            let replica = self.replica_of(&vm);
            for event in events {
                let notice = CacheNotice {
                    replica: replica.clone(),
                    boot,
                    event,
                };
                // The receiver detects a dropped event by the gap in the events' numbers.
                if cache_notices.push(notice).is_err() {
                    self.count(DomainChange::CacheNoticeDropped);
                }
            }
        }
        Ok(actions)
    }

    fn replica_of(&self, vm: &VmId) -> ReplicaId {
        let upstream = self.coordinator.upstreams().get(vm);
        let membership = upstream.and_then(|upstream| upstream.membership());
        match membership {
            Some(membership) => ReplicaId::Group(membership.group.clone()),
            None => ReplicaId::Vm(vm.clone()),
        }
    }

    fn tick(&mut self) -> bool {
        let now = self.clock.now();
        self.observation.detect_pause(now);
        self.observation
            .update_gauges(&self.coordinator, &self.peers, now);
        let actions = self.coordinator.tick(now);
        self.perform_actions(actions)
    }

    /// Performs the coordinator's actions; returns whether the snapshot is outdated.
    fn perform_actions(&mut self, actions: Vec<Action>) -> bool {
        self.permit.set(self.coordinator.command_permit());
        let mut publish = false;
        for action in actions {
            match action {
                Action::Send(to, message) => self.peers.send(&to, message),
                Action::Command(command) => {
                    // The leader sends a command again until the engine announces its result.
                    if self.commands.push_dropping_oldest(command).is_some() {
                        self.observation.metrics().count(CommandOutcome::RingFull);
                    }
                }
                Action::Publish => publish = true,
            }
        }
        publish
    }

    fn publish(&mut self) {
        let now = self.clock.now();
        let snapshot = self.coordinator.snapshot(now);
        self.observation
            .log_changes(&self.coordinator, &snapshot, now);
        self.snapshot.store(Arc::new(snapshot));
    }
}

/// Waits for the next notice; never returns if there is no ring or the ring is closed.
async fn next_notice(notices: &mut Option<Receiver<ServeNotice>>) -> ServeNotice {
    if let Some(receiver) = notices
        && let Some(notice) = receiver.next().await
    {
        return notice;
    }
    *notices = None;
    std::future::pending().await
}
