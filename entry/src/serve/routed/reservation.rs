//! A request's place at a replica, for as long as its attempt lasts.

use std::rc::Rc;

use cicadabend::{
    breaker::TrialTicket,
    dispatch::Outcome,
    prelude::*,
    registry::InstanceId, //
};

use super::{
    events::LogEvent,
    server::Server, //
};
use crate::members::{
    Demanded,
    RoutedReplica, //
};

/// Counts a request at its replica, and stops counting it once when dropped.
pub(super) struct Reservation {
    server: Rc<Server>,
    pub(super) replica: RoutedReplica,
    prompt_tokens: u64,
    is_read: bool,
    trial: Option<TrialTicket>,
    _demanded: Option<Demanded>,
}

impl Reservation {
    pub(super) fn make(server: &Rc<Server>, replica: RoutedReplica, prompt_tokens: u64) -> Self {
        server
            .loads
            .borrow_mut()
            .record_start(&replica.id, prompt_tokens);
        let model = replica.model.as_ref();
        let demanded = model.map(|model| server.demand.count(&replica.service, model));
        let trial = server.breakers.borrow_mut().record_sent(&replica.id);
        Self {
            _demanded: demanded,
            server: Rc::clone(server),
            replica,
            prompt_tokens,
            is_read: false,
            trial,
        }
    }

    /// Notes that the prompt has been read: the first event has come.
    pub(super) fn read(&mut self) {
        if !std::mem::replace(&mut self.is_read, true) {
            let mut loads = self.server.loads.borrow_mut();
            loads.read(&self.replica.id, self.prompt_tokens);
        }
    }

    /// Returns whether the request finds out whether the replica takes requests again.
    pub(super) fn is_trial(&self) -> bool {
        self.trial.is_some()
    }

    /// Notes that the replica has taken the request, or that the attempt ended without that.
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

    /// Returns whether as many requests as the replica runs side by side are believed to be there.
    pub(super) fn seems_full(&self) -> bool {
        let now = self.server.clock.now();
        let loads = self.server.loads.borrow();
        let outstanding = loads.outstanding(&self.replica.id, now);
        outstanding >= f64::from(self.replica.slots)
    }

    /// Notes how the attempt ended.
    pub(super) fn outcome(&self, outcome: Outcome) {
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

/// Returns the name of a replica for logs.
pub(super) fn replica_name(id: &InstanceId, group: Option<&GroupId>) -> String {
    match group {
        Some(group) => format!("{id}/{group}"),
        None => id.to_string(),
    }
}
