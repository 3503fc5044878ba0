//! The state of one routed request, and the choice of its replica.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    prepared_request::PreparedRequest,
    reservation::Reservation,
    retry_budget::RetryTicket,
    server::Server,
    trials::{
        CrashHistory,
        QuarantineTrial, //
    },
};
use crate::members::{
    RoutedReplica,
    RoutedView, //
};
use cicadabend::{
    dispatch::{
        Candidate,
        Chosen,
        RequestNeeds,
        choose, //
    },
    prelude::*,
    quarantine::SuspectStatus,
    rates::Verdict,
    registry::InstanceId,
    request::{
        RequestLife,
        RequestTraits, //
    },
};

/// A request from its admission to the end of its response.
///
/// Dropping this earlier ends the request: its caller left or reads no more, or the daemon stops.
pub(super) struct RoutedExecution {
    pub(super) server: Rc<Server>,
    pub(super) prepared: Rc<PreparedRequest>,
    pub(super) reservation: Option<Reservation>,
    pub(super) life: RequestLife,
    pub(super) tried: Vec<InstanceId>,
    /// Number of attempts that were made, or that were begun by one of the ways below.
    ///
    /// An attempt is added when it is answered or fails. Two kinds are added earlier: a slow
    /// attempt when its hedge begins, and an attempt to resume a stream before its replica is
    /// chosen.
    pub(super) attempts: u32,
    pub(super) connect_failures: u32,
    /// Expected latency and load by which the current replica was chosen.
    pub(super) chosen: Chosen,
    pub(super) first_chunk: Option<Duration>,
    /// Pays for the next attempt, if that is a retry.
    pub(super) ticket: Option<RetryTicket>,
    pub(super) is_over: bool,
    pub(super) crash_history: CrashHistory,
    /// Whether the response that is passed on has a success status.
    pub(super) is_success: bool,
    pub(super) trial: Option<QuarantineTrial>,
    /// Whether the current replica's answer has shown that the prompt's parts crash no upstream.
    pub(super) is_writing_proven: bool,
    /// Whether the request may use permits, which upstreams with a request rate require.
    pub(super) verdict: Verdict,
    /// Request rate that the current replica names; `None` if it names none.
    pub(super) rate: Option<RequestRate>,
    /// How the response's stream first broke off or paused; `None` if it did not.
    pub(super) first_break: Option<StreamBreak>,
}

/// How a stream broke off or paused, after which another replica was asked for the rest.
#[derive(Clone, Debug, Default)]
pub(super) struct StreamBreak {
    /// Name of the replica that was writing the stream.
    pub(super) replica: String,
    /// Number of the last event that had been passed on; `None` if no event had a number.
    pub(super) after_event: Option<u64>,
    /// Time since the stream's last event.
    pub(super) pause: Duration,
    /// By how much the daemon noticed the pause too late; zero if the stream broke off.
    pub(super) timer_delay: Duration,
    pub(super) why: String,
}

impl RoutedExecution {
    /// Starts a request; `None` if the state chart is invalid, which the daemon's start rules out.
    pub(super) fn new(server: &Rc<Server>, prepared: PreparedRequest) -> Option<Self> {
        let traits = RequestTraits {
            needs_claim: false,
            is_repeatable: prepared.terms.route.kind.is_repeatable(),
        };
        Some(Self {
            server: Rc::clone(server),
            prepared: Rc::new(prepared),
            reservation: None,
            life: RequestLife::new(traits).ok()?,
            tried: Vec::new(),
            attempts: 0,
            connect_failures: 0,
            chosen: Chosen::default(),
            first_chunk: None,
            ticket: None,
            is_over: false,
            crash_history: CrashHistory::default(),
            is_success: false,
            trial: None,
            is_writing_proven: false,
            verdict: Verdict::MayUse,
            rate: None,
            first_break: None,
        })
    }

    /// Chooses a replica that was not tried, and counts the request there.
    ///
    /// Returns whether there is one, with a permit if it needs one. All requests that upstreams get
    /// are counted here first, so no retry arrives that its retry budget has not paid for.
    pub(super) fn choose_replica(&mut self) -> bool {
        let is_retry = self.attempts > 0;
        if is_retry && self.ticket.is_none() {
            return false;
        }
        // The request may have waited for a permit or a retry since this was checked.
        if self.is_quarantined() {
            return false;
        }
        let view = self.server.view.load_full();
        let Some((replica, chosen)) = self.best_replica(&view) else {
            return false;
        };
        let id = replica.id.clone();
        self.chosen = chosen;
        let known_crashes = self.known_crashes();
        self.crash_history
            .record_sent(known_crashes, self.tried.is_empty());
        if !self.take_permit(&id, &view) {
            return false;
        }
        if self.must_be_isolated() {
            let now = self.server.clock.now();
            self.server.loads.borrow_mut().record_isolated(&id, now);
        }
        self.tried.push(id);
        let tokens = self.prepared.prompt_tokens();
        let retry = self.ticket.take();
        let reservation = Reservation::make(&self.server, replica, tokens, retry);
        self.is_writing_proven = false;
        self.record_trial(&reservation);
        self.reservation = Some(reservation);
        true
    }

    /// Returns whether the request must avoid upstreams with other suspects of a crash.
    ///
    /// Otherwise the request that caused a crash and its victims would meet again.
    fn must_be_isolated(&self) -> bool {
        self.crash_history.may_have_met_crash() || self.suspect_status() != SuspectStatus::Trusted
    }

    /// Returns the best replica that was not tried and may be sent the request now.
    pub(super) fn best_replica(&self, view: &RoutedView) -> Option<(RoutedReplica, Chosen)> {
        let prepared = &self.prepared;
        let table = view.routes.as_ref()?.table();
        let engine = table.engine(&prepared.terms.service);
        let model = prepared.caller_headers.model.as_deref();
        let replicas = view
            .replicas_of(&prepared.terms.service, model)
            .filter(|replica| !self.tried.contains(&replica.id))
            .filter(|replica| self.has_needed_permit(replica, view))
            .filter(|replica| self.server.is_in_reach(view, replica))
            .collect();
        let replicas: Vec<&RoutedReplica> = self.select_admitted(replicas);
        let candidates: Vec<Candidate<'_>> = replicas
            .iter()
            .map(|replica| Candidate {
                id: &replica.id,
                failure_domain: &replica.failure_domain,
                slots: replica.slots,
                model: engine.and_then(|engine| engine.model(replica.model.as_ref()?)),
                is_suspect: replica.is_suspect,
                uses_permit: view.rates.contains_key(&replica.id),
            })
            .collect();
        let wanted = RequestNeeds {
            home: &self.server.settings.failure_domain,
            prompt_tokens: prepared.prompt_tokens(),
            timing: engine.map(|engine| &engine.timing),
            typical_ms: match engine {
                Some(_) => None,
                None => self.latency_baseline(None).map(|usual| usual.typical_ms),
            },
            daemons: view.entries,
            daemon_index: view.place,
            is_isolated: self.must_be_isolated(),
        };
        let now = self.server.clock.now();
        let loads = self.server.loads.borrow();
        let chosen = choose(&candidates, &wanted, &loads, now, self.server.random())?;
        let replica = (*replicas.get(chosen.index)?).clone();
        Some((replica, chosen))
    }
}
