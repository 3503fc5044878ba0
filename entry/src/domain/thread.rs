//! The `domain` thread: events into the coordinator, its actions out.

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

/// How often the coordinator is told the time.
const TICK: Duration = Duration::from_millis(50);
/// How many waiting events are taken before requests are served by a new snapshot.
const EVENTS_AT_ONCE: usize = 256;

/// Everything the thread owns.
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
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let mut publish = false;
            tokio::select! {
                incoming = inbox.next() => match incoming {
                    Some(incoming) => publish |= self.receive(incoming),
                    None => return,
                },
                event = events.next() => match event {
                    Some(event) => publish |= self.take(event),
                    None => return,
                },
                notice = next_notice(&mut notices) => self.take_notice(notice),
                _ = ticker.tick() => publish |= self.tick(),
                _ = stop.wait_for(|stopping| *stopping) => return,
            }
            publish |= self.drain(&mut inbox, &mut events);
            if publish {
                self.publish();
            }
        }
    }

    /// Takes what else is waiting, so that a burst costs one snapshot.
    fn drain(
        &mut self,
        inbox: &mut Receiver<Incoming>,
        events: &mut Receiver<DomainEvent>,
    ) -> bool {
        let mut publish = false;
        for _ in 0..EVENTS_AT_ONCE {
            let incoming = inbox.try_next();
            let event = events.try_next();
            if incoming.is_none() && event.is_none() {
                break;
            }
            publish |= incoming.is_some_and(|incoming| self.receive(incoming));
            publish |= event.is_some_and(|event| self.take(event));
        }
        publish
    }

    fn take_notice(&mut self, notice: ServeNotice) {
        match notice {
            ServeNotice::Figures(figures) => {
                let dropped = self.coordinator.queue_policy_statistics(figures);
                if dropped > 0 {
                    let metrics = self.observation.metrics();
                    metrics.count_many(DomainChange::FiguresDropped, dropped as u64);
                }
            }
            // TODO: divide limits by demand once daemons hold back what they may lend.
            ServeNotice::Demand(_) => {}
        }
    }

    fn receive(&mut self, incoming: Incoming) -> bool {
        if let PeerMessage::ClaimReply(reply) = incoming.message {
            if let Some(claim_replies) = &self.context.claim_replies {
                // The claimant asks again for what does not fit.
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
        self.act(actions)
    }

    fn take(&mut self, event: DomainEvent) -> bool {
        let DomainEvent::Announced {
            announcement,
            made_after,
            verdict,
        } = event;
        let outcome = self.hear(*announcement, made_after);
        // The listener is gone only if the upstream has closed its connection.
        let _ = verdict.send(outcome.as_ref().map(|_| ()).map_err(Clone::clone));
        match outcome {
            Ok(actions) => self.act(actions),
            Err(refusal) => {
                self.tell_refusal(&refusal);
                false
            }
        }
    }

    fn tell_refusal(&self, refusal: &AnnouncementRefusal) {
        let metrics = self.observation.metrics();
        let reason = refusal.to_string();
        match refusal {
            // Ordinary where messages are doubled or overtake each other.
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

    fn hear(
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
                // A gap in the events' numbers shows the receiver what is missing.
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
        self.observation.notice_pause(now);
        self.observation.show(&self.coordinator, &self.peers, now);
        let actions = self.coordinator.tick(now);
        self.act(actions)
    }

    /// Does what the coordinator wants; returns whether the snapshot is outdated.
    fn act(&mut self, actions: Vec<Action>) -> bool {
        self.permit.set(self.coordinator.command_permit());
        let mut publish = false;
        for action in actions {
            match action {
                Action::Send(to, message) => self.peers.send(&to, message),
                Action::Command(command) => {
                    // The leader repeats what the engine does not announce.
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
        self.observation.look(&self.coordinator, &snapshot, now);
        self.snapshot.store(Arc::new(snapshot));
    }
}

/// Waits for a notice; for ever if none can come.
async fn next_notice(notices: &mut Option<Receiver<ServeNotice>>) -> ServeNotice {
    if let Some(receiver) = notices
        && let Some(notice) = receiver.next().await
    {
        return notice;
    }
    *notices = None;
    std::future::pending().await
}
