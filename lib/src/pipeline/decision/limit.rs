//! Limits of one customer at one daemon: a rate and a number in flight.

use crate::{
    settings::values::Settings,
    shared::units::{Millis, Rate, Time},
};

/// Seconds of its rate that a customer may use at once.
const BURST_SECONDS: f64 = 1.0;

/// Wait suggested to a customer with too many requests in flight.
const CONCURRENCY_WAIT: Millis = Millis(100);

/// What one customer has used.
#[derive(Debug, Clone, Default)]
pub struct CustomerUse {
    in_flight: u32,
    tokens: f64,
    filled: Option<Time>,
}

impl CustomerUse {
    /// Counts one request in, or tells after which time another try may fit.
    ///
    /// # Errors
    ///
    /// Returns the wait when the customer is over one of its limits.
    pub fn enter(&mut self, now: Time, settings: &Settings) -> Result<(), Millis> {
        if let Some(limit) = settings.concurrency.value.0
            && self.in_flight >= limit.0
        {
            return Err(CONCURRENCY_WAIT);
        }
        if let Some(rate) = settings.rate.value.0 {
            self.spend(now, rate)?;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Counts one request out.
    pub fn leave(&mut self) {
        crate::invariant!(self.in_flight > 0, "customer left more often than it came");
        self.in_flight -= 1;
    }

    /// Returns whether nothing is in flight, so that the entry may be dropped once refilled.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    fn spend(&mut self, now: Time, rate: Rate) -> Result<(), Millis> {
        let burst = (rate.0 * BURST_SECONDS).max(1.0);
        let gained = match self.filled {
            Some(filled) => now.since(filled).as_secs_f64() * rate.0,
            None => burst,
        };
        self.tokens = (self.tokens + gained).min(burst);
        self.filled = Some(now);
        if self.tokens < 1.0 {
            let wait = (1.0 - self.tokens) / rate.0;
            return Err(Millis((wait * 1000.0).ceil() as u64));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
