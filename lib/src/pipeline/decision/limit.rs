//! Is a customer within its limits at this daemon?
//!
//! Inputs: the customer's requests in flight, its `concurrency` limit, its `rate` in requests per second, and the time.
//! Output: yes, or the wait in milliseconds after which another request may fit.
//!
//! Rule: at most `concurrency` requests may be in flight. The rate is a token bucket that holds [`BURST_SECONDS`] of
//! the rate, but at least one request, and is refilled evenly. A request over a limit isn't queued.
//!
//! Reason: a queue would only hide the limit from the customer, and take the daemon's memory.
//! `test_policy_pins.rs` (`customer_limits`) pins the rule.

use crate::{
    settings::values::Settings,
    shared::units::{Millis, Rate, Time},
};

/// Size of the token bucket, in seconds of the customer's rate.
pub const BURST_SECONDS: f64 = 1.0;

/// Wait suggested to a customer with too many requests in flight. Fixed, since the end of those requests isn't
/// estimated.
const CONCURRENCY_WAIT: Millis = Millis(100);

/// Tokens of the bucket that one request takes.
const REQUEST_COST: f64 = 1.0;

/// Milliseconds per second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Current use of one customer's limits.
#[derive(Debug, Clone, Default)]
pub struct CustomerUsage {
    in_flight: u32,
    /// Tokens in the bucket, one per request; may be fractional.
    tokens: f64,
    /// Time of the last refill; `None` before the first request.
    refilled: Option<Time>,
}

impl CustomerUsage {
    /// Counts a request as in flight.
    ///
    /// # Errors
    ///
    /// Returns the wait after which another request may fit, if the customer is over one of its limits.
    pub fn start_request(&mut self, now: Time, settings: &Settings) -> Result<(), Millis> {
        if let Some(limit) = settings.concurrency.value.0
            && self.in_flight >= limit.0
        {
            return Err(CONCURRENCY_WAIT);
        }
        if let Some(rate) = settings.rate.value.0 {
            self.take_token(now, rate)?;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Counts a request as no longer in flight.
    ///
    /// # Panics
    ///
    /// Panics if no request is in flight, an invariant that `test_core_random.rs` checks.
    pub fn end_request(&mut self) {
        crate::invariant!(
            self.in_flight > 0,
            "a customer's request ended while none was counted as in flight"
        );
        self.in_flight -= 1;
    }

    /// Returns whether no request is in flight, so that the entry of a removed customer may be dropped.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0
    }

    /// Refills the bucket and takes the tokens of one request.
    ///
    /// # Errors
    ///
    /// Returns the wait until the bucket holds enough, if it doesn't yet.
    fn take_token(&mut self, now: Time, rate: Rate) -> Result<(), Millis> {
        let burst = (rate.0 * BURST_SECONDS).max(REQUEST_COST);
        let gained = match self.refilled {
            Some(refilled) => now.since(refilled).as_secs_f64() * rate.0,
            None => burst,
        };
        self.tokens = (self.tokens + gained).min(burst);
        self.refilled = Some(now);
        if self.tokens < REQUEST_COST {
            let seconds = (REQUEST_COST - self.tokens) / rate.0;
            return Err(Millis((seconds * MILLIS_PER_SECOND).ceil() as u64));
        }
        self.tokens -= REQUEST_COST;
        Ok(())
    }
}
