//! Measured times to the first token, by service.

use std::{
    collections::HashMap,
    time::Duration, //
};

use cicadabend::{
    admission::HedgeTimer,
    prelude::*, //
};

/// Weight of a new measurement in the moving average.
const NEW_SAMPLE_WEIGHT: f64 = 0.1;

/// Mean times to the first token, and when to send hedges, by service.
#[derive(Default)]
pub(super) struct ServiceTimes {
    services: HashMap<ServiceName, Measured>,
}

/// The measurements of one service.
#[derive(Default)]
struct Measured {
    /// Moving average of the time to the first token.
    first_token: Option<Duration>,
    hedge: HedgeTimer,
}

impl ServiceTimes {
    /// Records a measured time.
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
            Some(mean) => {
                mean.mul_f64(1.0 - NEW_SAMPLE_WEIGHT) + first_token.mul_f64(NEW_SAMPLE_WEIGHT)
            }
        });
    }

    /// Returns the mean time to the first token; zero if nothing was measured.
    pub(super) fn mean_first_token(&self, service: &ServiceName) -> Duration {
        let measured = self.services.get(service);
        measured.and_then(|m| m.first_token).unwrap_or_default()
    }

    /// Returns the time after which a hedge is sent; `None` for never.
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
