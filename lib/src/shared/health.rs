//! Ejection: may an endpoint get work, judged by how its last calls ended?
//!
//! Inputs: the end of each call (success or failure), the time, and how many endpoints of the pool
//! are out of service already. Output: a [`HealthState`], and with each failure whether the
//! endpoint was ejected for it.
//!
//! The rule: an endpoint is ejected after `EJECT_AFTER` failures in a row, or while more than
//! `EJECT_RATE` of its recent calls fail, if the pool can spare it ([`can_spare`]). When its time
//! is over, one call at a time probes it: a success returns it to service, a failure ejects it for
//! twice as long.
//!
//! The reason: an endpoint that fails now and then never fails often enough in a row, yet uses up the retry budget;
//! and a pool that ejects everybody serves nobody. `test_health.rs` and `test_decision_pins.rs` pin the rule. Both
//! daemons use it.

use crate::shared::units::{Millis, Share, Time};

/// Failures in a row after which an endpoint is ejected.
const EJECT_AFTER: u32 = 3;

/// Share of recent calls that fail above which an endpoint is ejected even if some succeed.
const EJECT_RATE: Share = Share(0.25);

/// Weight of one call in the share of recent calls that failed.
const RATE_GAIN: f64 = 0.1;

/// Calls since the last ejection that the share has to rest on.
const RATE_CALLS: u32 = 10;

/// First time of ejection; each further ejection doubles it.
const FIRST_EJECTION: Millis = Millis(500);

/// Longest time of ejection.
const LONGEST_EJECTION: Millis = Millis(16_000);

/// Doublings beyond which the time of ejection no longer grows: keeps the shift within its type,
/// and is above what [`LONGEST_EJECTION`] allows.
const MOST_DOUBLINGS: u32 = 10;

/// Successes in a row after which past ejections are forgotten.
const FORGET_AFTER: u32 = 20;

/// Largest share of a pool that may be out of service through ejection. With more out, the rest would be overloaded,
/// and the cause is more likely a common one.
const MAX_EJECTED: Share = Share(0.5);

/// Returns whether a pool of `endpoints` may eject one more while `out` of them are out of service.
pub fn can_spare(out: usize, endpoints: usize) -> bool {
    out as f64 + 1.0 <= endpoints as f64 * MAX_EJECTED.0
}

/// Health of one endpoint, by the ends of its calls.
#[derive(Debug, Clone, Default)]
pub struct Health {
    /// Failures since the last success or ejection.
    failures: u32,
    /// Successes since the last failure, counted up to [`FORGET_AFTER`].
    successes: u32,
    /// Ejections that aren't forgotten.
    ejections: u32,
    /// End of the last ejection; none once a call succeeded.
    until: Option<Time>,
    /// Moving share of recent calls that failed.
    rate: f64,
    /// Calls since the last ejection.
    calls: u32,
}

/// Tells whether an endpoint may get work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthState {
    /// In service.
    Healthy,
    /// Ejected for the time being.
    Ejected,
    /// Its ejection is over: one call at a time decides whether it comes back.
    Probing,
}

impl Health {
    /// Returns the state at `now`.
    pub fn state(&self, now: Time) -> HealthState {
        match self.until {
            None => HealthState::Healthy,
            Some(until) if now < until => HealthState::Ejected,
            Some(_) => HealthState::Probing,
        }
    }

    /// Records a success, which ends an ejection.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.until = None;
        self.count(false);
        self.successes += 1;
        if self.successes >= FORGET_AFTER {
            self.successes = 0;
            self.ejections = 0;
        }
    }

    /// Records a failure; `may_eject` says whether the pool can spare the endpoint.
    ///
    /// Returns whether the endpoint was ejected now. A failed probe ejects whatever the pool can
    /// spare: the endpoint was out of service already.
    pub fn failed(&mut self, now: Time, may_eject: bool) -> bool {
        self.failures += 1;
        self.successes = 0;
        self.count(true);
        let probe_failed = self.state(now) == HealthState::Probing;
        let due = self.is_failing() && self.until.is_none() && may_eject;
        if !probe_failed && !due {
            return false;
        }
        self.eject(now);
        true
    }

    fn is_failing(&self) -> bool {
        let often = self.rate > EJECT_RATE.0 && self.calls >= RATE_CALLS;
        self.failures >= EJECT_AFTER || often
    }

    fn eject(&mut self, now: Time) {
        let doubled = FIRST_EJECTION.0 << self.ejections.min(MOST_DOUBLINGS);
        self.until = Some(now + Millis(doubled.min(LONGEST_EJECTION.0)));
        self.ejections += 1;
        self.failures = 0;
        self.rate = 0.0;
        self.calls = 0;
    }

    /// Adds one call to the share of recent calls that failed.
    fn count(&mut self, failed: bool) {
        let value = if failed { 1.0 } else { 0.0 };
        self.calls = self.calls.saturating_add(1);
        self.rate += RATE_GAIN * (value - self.rate);
    }
}
