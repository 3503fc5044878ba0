//! The daemon's links to upstreams: what its connections show, and trials of lost ones.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    pin::pin,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    reach::{
        LinkChange,
        LinkGroup,
        LinkUse,
        LossEvidence,
        ReachTracker,
        Relay,
        RelayFailure,
        RelayTable, //
    },
    registry::InstanceId, //
};
use cicadabend_daemon::ring;
use tokio::{
    sync::{
        Notify,
        oneshot, //
    },
    time::{
        Instant,
        sleep, //
    },
};

use super::{
    super::{
        upstream::{
            AttemptError,
            Lease, //
        },
        wait::{
            Silent,
            wait_for,
            wait_until, //
        },
    },
    counts::Routed,
    events::LogEvent,
    server::Server,
    source::DEFAULT_KEEP_ALIVE, //
};
use crate::members::{
    RoutedReplica,
    RoutedView, //
};

/// How long a request waits for a connection before it goes through a relay.
const CONNECT_PATIENCE: Duration = Duration::from_millis(80);
/// The interval at which a link is checked while a response is late.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The interval at which trials of lost links are considered.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);
/// Connections that are tried at once, so that the loss of thousands of links costs little.
const MAX_TRIALS: usize = 4;

/// The upstreams by service, as in the view.
type Replicas = BTreeMap<ServiceName, Vec<RoutedReplica>>;

/// The state of all links, and of the relays that replace lost ones.
pub(super) struct Links {
    tracker: RefCell<ReachTracker>,
    relays: RefCell<RelayTable>,
    /// The upstreams that the tracker was last told of.
    known: RefCell<Arc<Replicas>>,
    /// Reports the groups of lost links to the thread `members`.
    lost_groups: ring::Sender<Vec<LinkGroup>>,
    /// Wakes the task that tries lost links.
    has_lost: Notify,
    /// By how much the last check of a silent link was late.
    check_delay: Cell<Duration>,
}

impl Links {
    pub(super) fn new(lost_groups: ring::Sender<Vec<LinkGroup>>) -> Self {
        Self {
            tracker: RefCell::default(),
            relays: RefCell::default(),
            known: RefCell::default(),
            lost_groups,
            has_lost: Notify::new(),
            check_delay: Cell::default(),
        }
    }
}

/// Counts a request at its relay until this is dropped.
pub(super) struct RelayUse {
    server: Rc<Server>,
    daemon: DaemonId,
}

impl RelayUse {
    pub(super) fn begin(server: &Rc<Server>, relay: &Relay) -> Self {
        let daemon = relay.daemon.clone();
        server.links.relays.borrow_mut().record_start(&daemon);
        Self {
            server: Rc::clone(server),
            daemon,
        }
    }

    pub(super) fn daemon(&self) -> &DaemonId {
        &self.daemon
    }
}

impl Drop for RelayUse {
    fn drop(&mut self) {
        self.server
            .links
            .relays
            .borrow_mut()
            .record_end(&self.daemon);
    }
}

impl Server {
    /// Returns how a request may be sent to a replica.
    pub(super) fn link_use(&self, view: &RoutedView, replica: &RoutedReplica) -> LinkUse {
        self.update_links(view);
        let tracker = self.links.tracker.borrow();
        tracker.link_use(&replica.id, &replica.link_group())
    }

    /// Returns whether a replica may be reached, by this daemon's own link or through a relay.
    pub(super) fn is_in_reach(&self, view: &RoutedView, replica: &RoutedReplica) -> bool {
        if !self.links.tracker.borrow().has_losses() {
            return true;
        }
        if self.link_use(view, replica) != LinkUse::Relayed {
            return true;
        }
        let group = replica.link_group();
        if self.choose_relay(view, &group, &[]).is_some() {
            return true;
        }
        !self.has_failed_connection(replica)
    }

    /// Returns whether connections have failed by a lost link, or by others of its lost group.
    pub(super) fn has_failed_connection(&self, replica: &RoutedReplica) -> bool {
        let tracker = self.links.tracker.borrow();
        tracker.has_failed_connection(&replica.id, &replica.link_group())
    }

    /// Returns the relay to use for a replica, apart from those in `tried`.
    pub(super) fn choose_relay(
        &self,
        view: &RoutedView,
        group: &LinkGroup,
        tried: &[DaemonId],
    ) -> Option<Relay> {
        if view.relays.is_empty() {
            return None;
        }
        let home = &self.settings.failure_domain;
        let relays = self.links.relays.borrow();
        let now = self.clock.now();
        let chosen = relays.choose(&view.relays, (group, home), tried, now, self.random());
        chosen.cloned()
    }

    /// Records why a relay did not send a request on.
    pub(super) fn record_relay_failure(&self, daemon: &DaemonId, failure: RelayFailure) {
        let now = self.clock.now();
        let mut relays = self.links.relays.borrow_mut();
        relays.record_failure(daemon, failure, now);
    }

    /// Returns when anything was last received from a replica by its own link.
    pub(super) fn heard_at(&self, replica: &RoutedReplica) -> Option<Timestamp> {
        self.links.tracker.borrow().heard_at(&replica.id)
    }

    /// Returns whether anything was received from a replica after `since` by its own link.
    pub(super) fn was_heard_after(&self, replica: &RoutedReplica, since: Timestamp) -> bool {
        self.heard_at(replica)
            .is_some_and(|heard_at| heard_at > since)
    }

    /// Returns whether anything was received from a replica by its own link within `time`.
    pub(super) fn was_heard_within(&self, replica: &RoutedReplica, time: Duration) -> bool {
        let now = self.clock.now();
        self.heard_at(replica)
            .is_some_and(|heard_at| now.since(heard_at) <= time)
    }

    /// Returns whether all links of a group count as lost.
    pub(super) fn is_group_lost(&self, group: &LinkGroup) -> bool {
        self.links.tracker.borrow().is_group_lost(group)
    }

    /// Records that bytes of a replica arrived by its own link.
    pub(super) fn record_heard(&self, replica: &RoutedReplica) {
        let now = self.clock.now();
        let mut tracker = self.links.tracker.borrow_mut();
        tracker.record_heard(&replica.id, &replica.link_group(), now);
        drop(tracker);
        self.handle_link_changes();
    }

    /// Records that nothing has come back for a request that was sent at `sent_at`; returns whether
    /// the link counts as lost now.
    pub(super) fn record_unanswered(&self, replica: &RoutedReplica, sent_at: Timestamp) -> bool {
        self.update_links(&self.view.load());
        let now = self.clock.now();
        let mut tracker = self.links.tracker.borrow_mut();
        let is_lost = tracker.record_unanswered(&replica.id, &replica.link_group(), sent_at, now);
        drop(tracker);
        self.handle_link_changes();
        is_lost
    }

    fn record_connected(&self, replica: &RoutedReplica) {
        let now = self.clock.now();
        let mut tracker = self.links.tracker.borrow_mut();
        tracker.record_connected(&replica.id, &replica.link_group(), now);
        drop(tracker);
        self.handle_link_changes();
    }

    fn record_connect_failure(&self, replica: &RoutedReplica, evidence: LossEvidence) {
        self.update_links(&self.view.load());
        let now = self.clock.now();
        let mut tracker = self.links.tracker.borrow_mut();
        tracker.record_connect_failure(&replica.id, &replica.link_group(), evidence, now);
        drop(tracker);
        self.handle_link_changes();
    }

    /// Waits for a response to a request that is sent now; while it is late, checks whether the link
    /// is lost. `on_late` is called at each check with the time at which the request was sent.
    pub(super) async fn watch_link<T>(
        &self,
        replica: &RoutedReplica,
        late_after: Duration,
        on_late: impl Fn(Timestamp),
        sending: impl Future<Output = T>,
    ) -> T {
        let sent_at = self.clock.now();
        let mut sending = pin!(sending);
        let mut check_due = Instant::now() + late_after;
        loop {
            let timer_delay = match wait_until(check_due, sending.as_mut()).await {
                Ok(outcome) => return outcome,
                Err(Silent { timer_delay }) => timer_delay,
            };
            self.links.check_delay.set(timer_delay);
            on_late(sent_at);
            if self.record_unanswered(replica, sent_at) {
                return sending.await;
            }
            check_due = Instant::now() + SILENCE_CHECK_INTERVAL;
        }
    }

    /// Opens a connection to a replica; gives up early if a relay may be used instead.
    ///
    /// A connection that is made later goes into the pool.
    pub(super) async fn connect(
        self: &Rc<Self>,
        replica: &RoutedReplica,
    ) -> Result<Lease, AttemptError> {
        let (claim, claimed) = oneshot::channel();
        let server = Rc::clone(self);
        let target = replica.clone();
        tokio::task::spawn_local(async move {
            let outcome = server.connect_fully(&target).await;
            if let Err(Ok(unclaimed)) = claim.send(outcome) {
                unclaimed.return_to_pool_for(DEFAULT_KEEP_ALIVE);
            }
        });
        let has_relay = self
            .choose_relay(&self.view.load(), &replica.link_group(), &[])
            .is_some();
        let patience = match has_relay {
            true => CONNECT_PATIENCE,
            // The connection's own timeout ends it sooner.
            false => Duration::from_millis(self.settings.upstreams.connect_timeout_ms * 2),
        };
        if let Ok(Ok(outcome)) = wait_for(patience, claimed).await {
            return outcome;
        }
        self.record_connect_failure(replica, LossEvidence::ConnectSlow);
        Err(AttemptError::NotConnected {
            address: replica.address,
            reason: "the connection took longer than it may if there are relays".to_owned(),
            is_refused: false,
        })
    }

    /// Opens a connection to a replica and records what that shows of the link.
    async fn connect_fully(&self, replica: &RoutedReplica) -> Result<Lease, AttemptError> {
        let outcome = self.pool.lease_new(replica.address).await;
        match &outcome {
            Ok(_) => self.record_connected(replica),
            Err(error) if error.is_refused() => {
                self.record_connect_failure(replica, LossEvidence::Refused);
            }
            Err(_) => self.record_connect_failure(replica, LossEvidence::ConnectFailed),
        }
        outcome
    }

    /// Opens a connection to a replica, to see whether that is possible, and pools it.
    pub(super) async fn connect_and_pool(
        &self,
        replica: &RoutedReplica,
    ) -> Result<(), AttemptError> {
        let lease = self.connect_fully(replica).await?;
        lease.return_to_pool_for(DEFAULT_KEEP_ALIVE);
        Ok(())
    }

    /// Tells the tracker which upstreams there are, if they have changed.
    fn update_links(&self, view: &RoutedView) {
        if Arc::ptr_eq(&self.links.known.borrow(), &view.replicas) {
            return;
        }
        self.links.known.replace(Arc::clone(&view.replicas));
        let replicas = view.replicas.values().flatten();
        let links = replicas.map(|replica| (&replica.id, replica.link_group()));
        let now = self.clock.now();
        self.links.tracker.borrow_mut().set_upstreams(links, now);
        self.handle_link_changes();
    }

    /// Logs changes of links, closes idle connections that may have gone silent, and reports lost
    /// groups to the thread `members`.
    fn handle_link_changes(&self) {
        let changes = self.links.tracker.borrow_mut().take_changes();
        if changes.is_empty() {
            return;
        }
        let mut has_changed_groups = false;
        for change in changes {
            match &change {
                LinkChange::Lost { id, evidence, .. } => {
                    self.counts.count(Routed::LinksLost);
                    self.links.has_lost.notify_one();
                    if *evidence == LossEvidence::Unanswered {
                        self.discard_idle(|replica| replica.id == *id);
                    }
                }
                LinkChange::GroupLost { group, .. } => {
                    has_changed_groups = true;
                    self.discard_idle(|replica| replica.link_group() == *group);
                }
                LinkChange::GroupRegained { .. } => has_changed_groups = true,
                LinkChange::Regained { .. } => {}
            }
            self.log_link_change(change);
        }
        if has_changed_groups {
            let lost = self.links.tracker.borrow().lost_groups();
            self.links.lost_groups.push_dropping_oldest(lost);
        }
    }

    fn log_link_change(&self, change: LinkChange) {
        let is_of_group = matches!(
            change,
            LinkChange::GroupLost { .. } | LinkChange::GroupRegained { .. }
        );
        let event = match change {
            LinkChange::Lost {
                id,
                group,
                evidence,
                silent,
            } => LogEvent::LinkLost {
                instance: id,
                group: group.to_string(),
                why: evidence.to_string(),
                silent_ms: silent.map_or("never heard".to_owned(), |silent| {
                    silent.as_millis().to_string()
                }),
                timer_late_ms: self.links.check_delay.get().as_millis(),
            },
            LinkChange::Regained { id, group, lost } => LogEvent::LinkRegained {
                instance: id,
                group: group.to_string(),
                lost_ms: lost.as_millis(),
            },
            LinkChange::GroupLost { group, links } => LogEvent::LinkGroupLost {
                group: group.to_string(),
                links,
            },
            LinkChange::GroupRegained { group, lost } => LogEvent::LinkGroupRegained {
                group: group.to_string(),
                lost_ms: lost.as_millis(),
            },
        };
        // Links may be many; the lines on groups are few.
        match is_of_group {
            true => event.emit(),
            false => self.log(&event),
        }
    }

    /// Closes idle connections to upstreams, which would swallow the next requests.
    fn discard_idle(&self, is_lost: impl Fn(&RoutedReplica) -> bool) {
        let known = Arc::clone(&self.links.known.borrow());
        let lost = known.values().flatten().filter(|replica| is_lost(replica));
        for replica in lost {
            self.pool.close_idle(replica.address);
        }
    }

    fn replica_of(&self, id: &InstanceId) -> Option<RoutedReplica> {
        let known = self.links.known.borrow();
        let mut all = known.values().flatten();
        all.find(|replica| replica.id == *id).cloned()
    }

    /// Drops the state of relays that are named no more.
    pub(super) fn forget_relays(&self) {
        let view = self.view.load();
        let is_named = |daemon: &DaemonId| view.relays.iter().any(|one| one.daemon == *daemon);
        let mut relays = self.links.relays.borrow_mut();
        relays.forget(is_named, self.clock.now());
    }
}

/// Tries connections to lost upstreams, so that no request has to.
pub(super) async fn try_lost_links(server: Rc<Server>) {
    loop {
        server.links.has_lost.notified().await;
        while server.links.tracker.borrow().has_losses() {
            sleep(TRIAL_INTERVAL).await;
            server.update_links(&server.view.load());
            let now = server.clock.now();
            let due = {
                let mut tracker = server.links.tracker.borrow_mut();
                tracker.take_due_trials(MAX_TRIALS, now)
            };
            for replica in due.iter().filter_map(|id| server.replica_of(id)) {
                let server = Rc::clone(&server);
                // The outcome is recorded, and tried again if the link is still lost.
                tokio::task::spawn_local(async move { server.connect_and_pool(&replica).await });
            }
        }
    }
}
