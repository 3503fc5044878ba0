//! What was measured of each service's time to the first token.

use std::{
    collections::HashMap,
    time::Duration, //
};

use cicadabend::{
    admission::HedgeTimer,
    prelude::*, //
};

/// Weight of a new measurement in the moving average.
const NEW_WEIGHT: f64 = 0.1;

/// Times to the first token, by service.
#[derive(Default)]
pub(super) struct ServiceTimes {
    services: HashMap<ServiceName, Measured>,
}

#[derive(Default)]
struct Measured {
    first_token: Option<Duration>,
    hedge: HedgeTimer,
}

impl ServiceTimes {
    /// Notes a measured time.
    pub(super) fn record(&mut self, service: &ServiceName, first_token: Duration) {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Measured::default());
        }
        let Some(measured) = self.services.get_mut(service) else {
            return;
        };
        measured.hedge.record(first_token);
        measured.first_token = Some(match measured.first_token {
            None => first_token,
            Some(mean) => mean.mul_f64(1.0 - NEW_WEIGHT) + first_token.mul_f64(NEW_WEIGHT),
        });
    }

    /// Returns the mean time, zero if nothing was measured.
    pub(super) fn first_token(&self, service: &ServiceName) -> Duration {
        let measured = self.services.get(service);
        measured.and_then(|m| m.first_token).unwrap_or_default()
    }

    /// Returns after which time a second copy is sent; `None` for never.
    pub(super) fn hedge_after(
        &self,
        service: &ServiceName,
        is_repeatable: bool,
        is_first_attempt: bool,
    ) -> Option<Duration> {
        let measured = self.services.get(service)?;
        measured.hedge.hedge_after(is_repeatable, is_first_attempt)
    }
}
