//! The retry budgets of all services, and the tickets of the retries that were withdrawn from them.

use std::{
    cell::RefCell,
    collections::HashMap,
    pin::pin,
    rc::Rc,
    time::Duration, //
};

use cicadabend::{
    prelude::*,
    retry_budget::{
        BudgetSettings,
        RetryBudget,
        RetrySource,
        RoutedRetryReason, //
    },
};
use cicadabend_daemon::{
    clock::Clock,
    ring,
    settings::RetrySettings, //
};
use tokio::time::{
    Instant,
    timeout_at, //
};

use super::events::LogEvent;
use crate::members::{
    GrantWait,
    Grants, //
};

/// Longest time that a request waits for a grant; the leader answers within a few milliseconds.
const GRANT_TIMEOUT: Duration = Duration::from_millis(100);
/// Shortest interval between log lines on the retry budget of one service.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// The retry budgets of all services.
pub(super) struct RetryBudgets {
    settings: BudgetSettings,
    clock: Clock,
    grants: Grants,
    /// Wakes the thread `members`, which requests grants.
    waits: ring::Sender<()>,
    budgets: RefCell<HashMap<ServiceName, CountedBudget>>,
}

/// The budget of one service, with what was withdrawn since the start of the process.
struct CountedBudget {
    budget: RetryBudget,
    own: u64,
    equal: u64,
    granted: u64,
    refused: u64,
    line_due: Timestamp,
}

/// A retry that was withdrawn from a budget.
///
/// An unused one returns to the budget when this is dropped. A used one counts as arriving at its
/// upstream until then.
pub(super) struct RetryTicket {
    budgets: Rc<RetryBudgets>,
    service: ServiceName,
    reason: RoutedRetryReason,
    source: RetrySource,
    is_used: bool,
}

impl RetryTicket {
    /// Returns the part of the budget that pays for the retry.
    pub(super) fn source(&self) -> RetrySource {
        self.source
    }

    /// Sets whether the retry may arrive at an upstream.
    pub(super) fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
    }
}

impl Drop for RetryTicket {
    fn drop(&mut self) {
        let budgets = &self.budgets;
        if let RetrySource::Granted(expires_at) = self.source
            && !self.is_used
        {
            let mut grants = budgets.grants.store();
            grants.put_back(&self.service, expires_at);
        }
        let now = budgets.clock.now();
        budgets.with(&self.service, |counted| {
            let budget = &mut counted.budget;
            budget.settle(self.source, self.reason, self.is_used, now);
        });
    }
}

impl RetryBudgets {
    pub(super) fn new(
        settings: &RetrySettings,
        clock: Clock,
        grants: Grants,
        waits: ring::Sender<()>,
    ) -> Self {
        Self {
            settings: budget_settings(settings),
            clock,
            grants,
            waits,
            budgets: RefCell::default(),
        }
    }

    /// Counts a caller's request, which adds to its service's budget.
    pub(super) fn record_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        let daemons = self.grants.store().daemons();
        self.with(service, |counted| {
            if let Some(daemons) = daemons {
                counted.budget.set_daemons(daemons, now);
            }
            counted.budget.record_request(now);
        });
    }

    /// Withdraws a retry; `None` if there is none at hand.
    pub(super) fn withdraw(
        self: &Rc<Self>,
        service: &ServiceName,
        reason: RoutedRetryReason,
    ) -> Option<RetryTicket> {
        let now = self.clock.now();
        let source = self.with(service, |counted| counted.budget.withdraw(reason, now));
        let granted = || {
            let expires_at = self.grants.store().consume(service, now)?;
            Some(RetrySource::Granted(expires_at))
        };
        Some(RetryTicket {
            budgets: Rc::clone(self),
            service: service.clone(),
            reason,
            source: source.or_else(granted)?,
            is_used: false,
        })
    }

    /// Withdraws a retry; waits for the leader's grant if none is at hand.
    pub(super) async fn obtain(
        self: &Rc<Self>,
        service: &ServiceName,
        reason: RoutedRetryReason,
        deadline: Instant,
    ) -> Option<RetryTicket> {
        if let Some(ticket) = self.withdraw(service, reason) {
            return Some(ticket);
        }
        let _wait = self.request_grant(service, reason)?;
        let until = deadline.min(Instant::now() + GRANT_TIMEOUT);
        loop {
            let mut filled = pin!(self.grants.filled().notified());
            filled.as_mut().enable();
            let ticket = self.withdraw(service, reason);
            if ticket.is_some() || !self.may_wait(service, reason) {
                return ticket;
            }
            if timeout_at(until, filled).await.is_err() {
                return None;
            }
        }
    }

    /// Requests a grant for as long as the returned value exists, unless none can be had.
    pub(super) fn request_grant(
        &self,
        service: &ServiceName,
        reason: RoutedRetryReason,
    ) -> Option<GrantWait> {
        let may_wait = self.may_wait(service, reason);
        may_wait.then(|| self.grants.wait(service, reason, &self.waits))
    }

    /// Returns how many retries the daemon's own requests for the service still pay for.
    pub(super) fn retries_left(&self, service: &ServiceName) -> u32 {
        let now = self.clock.now();
        self.with(service, |counted| counted.budget.retries_left(now))
    }

    /// Counts a withdrawal, or its refusal if there is no source; returns the log line on the
    /// budget if one is due.
    pub(super) fn count_withdrawal(
        &self,
        service: &ServiceName,
        source: Option<RetrySource>,
    ) -> Option<LogEvent> {
        let now = self.clock.now();
        self.with(service, |counted| {
            counted.count(source);
            counted.line_if_due(service, now)
        })
    }

    fn may_wait(&self, service: &ServiceName, reason: RoutedRetryReason) -> bool {
        let now = self.clock.now();
        self.grants.store().may_wait(service, reason, now)
    }

    fn with<T>(&self, service: &ServiceName, act: impl FnOnce(&mut CountedBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        if let Some(counted) = budgets.get_mut(service) {
            return act(counted);
        }
        let counted = CountedBudget::new(self.settings);
        act(budgets.entry(service.clone()).or_insert(counted))
    }
}

impl CountedBudget {
    fn new(settings: BudgetSettings) -> Self {
        Self {
            budget: RetryBudget::new(settings),
            own: 0,
            equal: 0,
            granted: 0,
            refused: 0,
            line_due: Timestamp::default(),
        }
    }

    fn count(&mut self, source: Option<RetrySource>) {
        let counter = match source {
            Some(RetrySource::Own) => &mut self.own,
            Some(RetrySource::Equal) => &mut self.equal,
            Some(RetrySource::Granted(_)) => &mut self.granted,
            None => &mut self.refused,
        };
        *counter += 1;
    }

    fn line_if_due(&mut self, service: &ServiceName, now: Timestamp) -> Option<LogEvent> {
        if now < self.line_due {
            return None;
        }
        self.line_due = now + LINE_INTERVAL;
        let usage = self.budget.usage(now);
        Some(LogEvent::RetryBudgetUsed {
            service: service.clone(),
            requests: usage.requests,
            retries: usage.retries,
            left: usage.left,
            daemons: usage.daemons.unwrap_or_default(),
            own: self.own,
            equal: self.equal,
            granted: self.granted,
            refused: self.refused,
            up_ms: now.0,
        })
    }
}

/// Returns the bound on retries by the daemon's settings.
pub(crate) fn budget_settings(settings: &RetrySettings) -> BudgetSettings {
    BudgetSettings {
        ratio: settings.budget_ratio,
        slack: settings.budget_slack,
        window: Duration::from_millis(settings.window_ms),
    }
}
