//! Counts a request at its replica while an attempt lasts.

use std::{
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    breaker::TrialTicket,
    dispatch::Outcome,
    prelude::*,
    registry::InstanceId, //
};

use super::{
    events::LogEvent,
    retry_budget::RetryTicket,
    server::Server, //
};
use crate::members::{
    Demanded,
    RoutedReplica, //
};

/// A request that counts towards its replica's load until this is dropped.
pub(super) struct Reservation {
    server: Rc<Server>,
    pub(super) replica: RoutedReplica,
    prompt_tokens: u64,
    is_read: bool,
    /// When the attempt was made.
    pub(super) made_at: Timestamp,
    /// When the first chunk of the response arrived.
    first_chunk_at: Option<Timestamp>,
    trial: Option<TrialTicket>,
    /// The ticket of the attempt until its first response, if it is a retry.
    retry: Option<RetryTicket>,
    _demanded: Option<Demanded>,
}

impl Reservation {
    /// Counts an attempt at the replica; `retry` is its ticket if it is a retry.
    pub(super) fn make(
        server: &Rc<Server>,
        replica: RoutedReplica,
        prompt_tokens: u64,
        mut retry: Option<RetryTicket>,
    ) -> Self {
        if let Some(ticket) = &mut retry {
            ticket.set_used(true);
        }
        let model = replica.model.as_ref();
        let demanded = model.map(|model| server.demand.count(&replica.service, model));
        let mut reservation = Self::for_relay(server, replica, prompt_tokens);
        reservation._demanded = demanded;
        reservation.retry = retry;
        reservation
    }

    /// Counts an attempt that another entry daemon makes through this one; its demand and its retry
    /// are counted there.
    pub(super) fn for_relay(
        server: &Rc<Server>,
        replica: RoutedReplica,
        prompt_tokens: u64,
    ) -> Self {
        server
            .loads
            .borrow_mut()
            .record_start(&replica.id, prompt_tokens);
        let trial = server.breakers.borrow_mut().record_sent(&replica.id);
        Self {
            _demanded: None,
            server: Rc::clone(server),
            replica,
            prompt_tokens,
            is_read: false,
            made_at: server.clock.now(),
            first_chunk_at: None,
            trial,
            retry: None,
        }
    }

    /// Records that the attempt has arrived, if it is a retry: its ticket has done its work.
    pub(super) fn end_retry(&mut self) {
        self.retry = None;
    }

    /// Returns the ticket of an attempt that was not sent, which pays for the next one.
    pub(super) fn take_back_retry(&mut self) -> Option<RetryTicket> {
        let mut ticket = self.retry.take()?;
        ticket.set_used(false);
        Some(ticket)
    }

    /// Records that the engine has read the prompt: the first chunk of the response is here.
    pub(super) fn read(&mut self) {
        let now = self.server.clock.now();
        self.first_chunk_at.get_or_insert(now);
        if !std::mem::replace(&mut self.is_read, true) {
            let mut loads = self.server.loads.borrow_mut();
            loads.read(&self.replica.id, self.prompt_tokens);
        }
    }

    /// Returns the time since the first chunk of the response, zero if there was none.
    pub(super) fn writing_for(&self) -> Duration {
        let first_chunk_at = self.first_chunk_at;
        first_chunk_at.map_or(Duration::ZERO, |at| self.server.clock.now().since(at))
    }

    /// Returns whether this is a trial request, which tests a replica after its backoff.
    pub(super) fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Ends the trial, if this request is one; `is_answered` says whether the replica answered.
    pub(super) fn end_trial(&mut self, is_answered: bool) {
        let Some(ticket) = self.trial.take() else {
            return;
        };
        let now = self.server.clock.now();
        let mut breakers = self.server.breakers.borrow_mut();
        if breakers.end_trial(&self.replica.id, ticket, is_answered, now) {
            let instance = self.replica.id.clone();
            self.server.log(&LogEvent::UpstreamRecovered { instance });
        }
    }

    /// Returns whether the replica's estimated requests fill all its slots.
    pub(super) fn seems_full(&self) -> bool {
        let now = self.server.clock.now();
        let loads = self.server.loads.borrow();
        let outstanding = loads.outstanding(&self.replica.id, now);
        outstanding >= f64::from(self.replica.slots)
    }

    /// Records the attempt's outcome for the replica's load tracking.
    pub(super) fn record_outcome(&self, outcome: Outcome) {
        let now = self.server.clock.now();
        let mut loads = self.server.loads.borrow_mut();
        loads.record_outcome(&self.replica.id, outcome, now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.read();
        self.end_trial(false);
        self.server.loads.borrow_mut().record_end(&self.replica.id);
    }
}

/// Returns a replica's name for logs: the instance, and its group if there is one.
pub(super) fn replica_name(id: &InstanceId, group: Option<&GroupId>) -> String {
    match group {
        Some(group) => format!("{id}/{group}"),
        None => id.to_string(),
    }
}
