//! One request on its way: where it goes, and what follows a failed attempt.

use std::{
    rc::Rc,
    time::Duration, //
};

use super::{
    plan::Plan,
    reservation::Reservation,
    server::Server,
    trials::{
        CrashTrail,
        Trial, //
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

/// A request from its arrival to its end; dropping it earlier means that its caller left.
pub(super) struct RoutedRun {
    pub(super) server: Rc<Server>,
    pub(super) plan: Rc<Plan>,
    pub(super) reservation: Option<Reservation>,
    pub(super) life: RequestLife,
    pub(super) tried: Vec<InstanceId>,
    /// Attempts that reached an upstream, the present one included.
    pub(super) attempts: u32,
    pub(super) connects: u32,
    /// What decided for the present replica.
    pub(super) chosen: Chosen,
    pub(super) first_part: Option<Duration>,
    /// Whether the next attempt has been paid for.
    pub(super) is_paid: bool,
    pub(super) is_over: bool,
    pub(super) trail: CrashTrail,
    /// Whether the answer that is passed on is a success.
    pub(super) is_success: bool,
    pub(super) trial: Option<Trial>,
    /// Whether it may use a permit to send to an upstream that names a rate.
    pub(super) verdict: Verdict,
    /// The rate that the present replica names.
    pub(super) rate: Option<RequestRate>,
}

impl RoutedRun {
    /// Takes a request in; the charts were checked when the daemon started.
    pub(super) fn new(server: &Rc<Server>, plan: Plan) -> Option<Self> {
        let traits = RequestTraits {
            needs_claim: false,
            is_repeatable: plan.terms.route.kind.is_repeatable(),
        };
        Some(Self {
            server: Rc::clone(server),
            plan: Rc::new(plan),
            reservation: None,
            life: RequestLife::new(traits).ok()?,
            tried: Vec::new(),
            attempts: 0,
            connects: 0,
            chosen: Chosen::default(),
            first_part: None,
            is_paid: false,
            is_over: false,
            trail: CrashTrail::default(),
            is_success: false,
            trial: None,
            verdict: Verdict::MayUse,
            rate: None,
        })
    }

    /// Chooses a replica that was not tried, and counts the request there.
    pub(super) fn choose(&mut self) -> bool {
        let view = self.server.view.load_full();
        let Some((replica, chosen)) = self.best(&view) else {
            return false;
        };
        let id = replica.id.clone();
        self.chosen = chosen;
        let known_crashes = self.known_crashes();
        self.trail.sent(known_crashes, self.tried.is_empty());
        if !self.use_permit(&id, &view) {
            return false;
        }
        if self.is_isolated() {
            let now = self.server.clock.now();
            self.server.loads.borrow_mut().record_isolated(&id, now);
        }
        self.tried.push(id);
        let tokens = self.plan.prompt_tokens();
        let reservation = Reservation::make(&self.server, replica, tokens);
        self.note_trial(&reservation);
        self.reservation = Some(reservation);
        true
    }

    /// Returns whether it is to meet no others that were at an upstream which ended.
    fn is_isolated(&self) -> bool {
        self.trail.has_met_an_end() || self.standing() != SuspectStatus::Trusted
    }

    pub(super) fn best(&self, view: &RoutedView) -> Option<(RoutedReplica, Chosen)> {
        let plan = &self.plan;
        let table = view.routes.as_ref()?.table();
        let engine = table.engine(&plan.terms.service);
        let model = plan.words.model.as_deref();
        let replicas = view
            .replicas_of(&plan.terms.service, model)
            .filter(|replica| !self.tried.contains(&replica.id))
            .filter(|replica| self.is_permitted(replica, view))
            .collect();
        let replicas: Vec<&RoutedReplica> = self.admitted(replicas);
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
            prompt_tokens: plan.prompt_tokens(),
            timing: engine.map(|engine| &engine.timing),
            typical_ms: match engine {
                Some(_) => None,
                None => self.usual(None).map(|usual| usual.typical_ms),
            },
            daemons: view.entries,
            daemon_index: view.place,
            is_isolated: self.is_isolated(),
        };
        let now = self.server.clock.now();
        let loads = self.server.loads.borrow();
        let chosen = choose(&candidates, &wanted, &loads, now, self.server.random())?;
        let replica = (*replicas.get(chosen.index)?).clone();
        Some((replica, chosen))
    }
}
