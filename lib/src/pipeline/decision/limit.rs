//! Is a customer within its limits at this daemon?
//!
//! Inputs: the customer's requests in flight, its `concurrency`, its `rate` in requests a second,
//! and the time. Output: yes, or the wait in milliseconds after which another try may fit.
//!
//! The rule: at most `concurrency` requests in flight; of the rate a bucket of [`BURST_SECONDS`]
//! may be used at once, one request at least, and it is refilled evenly. A request over a limit
//! isn't queued.
//!
//! The reason: a queue would only hide the limit from the customer, and take the daemon's memory.
//! `test_policy_pins.rs` (`customer_limits`) pins the rule.

use crate::{
    settings::values::Settings,
    shared::units::{Millis, Rate, Time},
};

/// Seconds of its rate that a customer may use at once.
pub const BURST_SECONDS: f64 = 1.0;

/// Wait suggested to a customer with too many requests in flight. When one of them ends isn't estimated.
const CONCURRENCY_WAIT: Millis = Millis(100);

/// Price of one request, in tokens of the bucket.
const REQUEST_PRICE: f64 = 1.0;

/// Milliseconds of a second.
const MILLIS: f64 = 1_000.0;

/// Use that one customer makes of its limits.
#[derive(Debug, Clone, Default)]
pub struct CustomerUse {
    in_flight: u32,
    /// Requests that the bucket has room for, with a fraction.
    tokens: f64,
    /// When the bucket was last refilled; none before the first request.
    filled: Option<Time>,
}

impl CustomerUse {
    /// Counts one request in.
    ///
    /// # Errors
    ///
    /// Returns the wait after which another try may fit, if the customer is over one of its limits.
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
    ///
    /// # Panics
    ///
    /// Panics if none is in flight: an invariant, which `test_core_random.rs` checks.
    pub fn leave(&mut self) {
        crate::invariant!(
            self.in_flight > 0,
            "more requests of a customer ended than were counted"
        );
        self.in_flight -= 1;
    }

    /// Returns whether nothing is in flight, so that the entry may be dropped once refilled.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Takes one request out of the bucket.
    fn spend(&mut self, now: Time, rate: Rate) -> Result<(), Millis> {
        let burst = (rate.0 * BURST_SECONDS).max(REQUEST_PRICE);
        let gained = match self.filled {
            Some(filled) => now.since(filled).as_secs_f64() * rate.0,
            None => burst,
        };
        self.tokens = (self.tokens + gained).min(burst);
        self.filled = Some(now);
        if self.tokens < REQUEST_PRICE {
            let seconds = (REQUEST_PRICE - self.tokens) / rate.0;
            return Err(Millis((seconds * MILLIS).ceil() as u64));
        }
        self.tokens -= REQUEST_PRICE;
        Ok(())
    }
}
