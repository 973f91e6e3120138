//! Ejection: may an endpoint get work, judged by how its last calls ended?
//!
//! Inputs: the end of each call (success or failure), the time, and the number of endpoints of the pool that are
//! already out of service. Output: a [`HealthState`], and for each failure whether the endpoint was ejected because of
//! it.
//!
//! Rule: an endpoint is ejected after `EJECT_AFTER` failures in a row, or if more than `EJECT_FAILURE_RATE` of its
//! recent calls fail, provided that the pool can spare it ([`can_spare`]). After the ejection time, one call at a time
//! probes the endpoint: a success returns it to service, a failure ejects it for twice as long.
//!
//! Reason: an endpoint that fails now and then may never fail often enough in a row, yet uses up the retry budget. A
//! pool that ejects all of its endpoints serves nobody. `test_health.rs` and `test_decision_pins.rs` pin the rule. Both
//! daemons use it.

use crate::shared::units::{Millis, Share, Time};

/// Failures in a row after which an endpoint is ejected.
const EJECT_AFTER: u32 = 3;

/// Fraction of failed calls among the recent ones above which an endpoint is ejected, even if some succeed.
const EJECT_FAILURE_RATE: Share = Share(0.25);

/// Weight of one call in the moving average of failed calls.
const FAILURE_RATE_GAIN: f64 = 0.1;

/// Smallest number of calls since the last ejection for which the fraction of failed calls counts.
const MIN_RATE_CALLS: u32 = 10;

/// Duration of the first ejection; each further ejection doubles it.
const FIRST_EJECTION: Millis = Millis(500);

/// Longest duration of an ejection.
const MAX_EJECTION: Millis = Millis(16_000);

/// Largest number of doublings. Keeps the shift within its type; [`MAX_EJECTION`] is reached with fewer.
const MAX_DOUBLINGS: u32 = 10;

/// Successes in a row after which past ejections no longer count.
const FORGET_EJECTIONS_AFTER: u32 = 20;

/// Largest fraction of a pool that may be ejected. With more ejected, the rest would be overloaded, and the failures
/// more likely have a common cause.
const MAX_EJECTED_SHARE: Share = Share(0.5);

/// Returns whether a pool of `endpoints` may eject one more while `unavailable` of them are out of service.
pub fn can_spare(unavailable: usize, endpoints: usize) -> bool {
    unavailable as f64 + 1.0 <= endpoints as f64 * MAX_EJECTED_SHARE.0
}

/// Health of one endpoint, judged by how its calls ended.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Failures since the last success or ejection.
    failures: u32,
    /// Successes since the last failure, counted up to [`FORGET_EJECTIONS_AFTER`].
    successes: u32,
    /// Ejections that still count for the duration of the next one.
    ejections: u32,
    /// End of the last ejection; `None` before the first one and once a call has succeeded after it.
    ejected_until: Option<Time>,
    /// Moving average over the calls since the last ejection, with 1 for a failure and 0 for a success.
    failure_rate: f64,
    /// Calls since the last ejection.
    calls: u32,
}

/// Whether an endpoint may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// The endpoint may get work.
    Healthy,
    /// The endpoint gets no work until its ejection ends.
    Ejected,
    /// The ejection is over, and one call at a time probes whether the endpoint works again.
    Probing,
}

impl Health {
    /// Returns the endpoint's state at `now`.
    pub fn state(&self, now: Time) -> HealthState {
        match self.ejected_until {
            None => HealthState::Healthy,
            Some(ejected_until) if now < ejected_until => HealthState::Ejected,
            Some(_) => HealthState::Probing,
        }
    }

    /// Records a success, which ends an ejection.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.ejected_until = None;
        self.count_call(false);
        self.successes += 1;
        if self.successes >= FORGET_EJECTIONS_AFTER {
            self.successes = 0;
            self.ejections = 0;
        }
    }

    /// Records a failure; `may_eject` is true if the pool can spare the endpoint.
    ///
    /// Returns whether the endpoint was ejected now. A failed probe ejects it whether or not the pool can spare it,
    /// since it was out of service already.
    pub fn failed(&mut self, now: Time, may_eject: bool) -> bool {
        self.failures += 1;
        self.successes = 0;
        self.count_call(true);
        let probe_failed = self.state(now) == HealthState::Probing;
        let due = self.is_failing() && self.ejected_until.is_none() && may_eject;
        if !probe_failed && !due {
            return false;
        }
        self.eject(now);
        true
    }

    fn is_failing(&self) -> bool {
        let often = self.failure_rate > EJECT_FAILURE_RATE.0 && self.calls >= MIN_RATE_CALLS;
        self.failures >= EJECT_AFTER || often
    }

    fn eject(&mut self, now: Time) {
        let doubled = FIRST_EJECTION.0 << self.ejections.min(MAX_DOUBLINGS);
        self.ejected_until = Some(now + Millis(doubled.min(MAX_EJECTION.0)));
        self.ejections += 1;
        self.failures = 0;
        self.failure_rate = 0.0;
        self.calls = 0;
    }

    /// Adds one call to the moving average of failed calls.
    fn count_call(&mut self, failed: bool) {
        let value = if failed { 1.0 } else { 0.0 };
        self.calls = self.calls.saturating_add(1);
        self.failure_rate += FAILURE_RATE_GAIN * (value - self.failure_rate);
    }
}
