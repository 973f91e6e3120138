//! Ejection of endpoints that fail, and probing them back.

use crate::shared::units::{Millis, Time};

/// Failures in a row after which an endpoint is ejected.
const EJECT_AFTER: u32 = 3;

/// Share of recent calls that fail above which an endpoint is ejected even if some succeed, the
/// weight of one call in it, and the calls it has to rest on.
const EJECT_RATE: f64 = 0.25;
const RATE_GAIN: f64 = 0.1;
const RATE_CALLS: u32 = 10;

/// First and longest time of ejection; each further ejection doubles it.
const FIRST_EJECTION: Millis = Millis(500);
const LONGEST_EJECTION: Millis = Millis(16_000);

/// Successes in a row after which past ejections are forgotten.
const FORGET_AFTER: u32 = 20;

/// What is known of one endpoint's health.
#[derive(Debug, Clone, Default)]
pub struct Health {
    failures: u32,
    successes: u32,
    ejections: u32,
    until: Option<Time>,
    /// Share of recent calls that failed, and the calls seen since the last ejection.
    rate: f64,
    calls: u32,
}

/// Whether an endpoint may get work.
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

    /// Notes a success, which ends an ejection.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.until = None;
        self.count(0.0);
        self.successes += 1;
        if self.successes >= FORGET_AFTER {
            self.successes = 0;
            self.ejections = 0;
        }
    }

    /// Notes a failure; `may_eject` tells whether the pool can spare the endpoint.
    ///
    /// Returns whether the endpoint was ejected now.
    pub fn failed(&mut self, now: Time, may_eject: bool) -> bool {
        self.failures += 1;
        self.successes = 0;
        self.count(1.0);
        let probe_failed = self.state(now) == HealthState::Probing;
        let often = self.rate > EJECT_RATE && self.calls >= RATE_CALLS;
        let failing = self.failures >= EJECT_AFTER || often;
        let due = probe_failed || (failing && self.until.is_none());
        if !due || !(may_eject || probe_failed) {
            return false;
        }
        let doubled = FIRST_EJECTION.0 << self.ejections.min(10);
        self.until = Some(now + Millis(doubled.min(LONGEST_EJECTION.0)));
        self.ejections += 1;
        self.failures = 0;
        self.rate = 0.0;
        self.calls = 0;
        true
    }

    fn count(&mut self, failed: f64) {
        self.calls = self.calls.saturating_add(1);
        self.rate += RATE_GAIN * (failed - self.rate);
    }
}
