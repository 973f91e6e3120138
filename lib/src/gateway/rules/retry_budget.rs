//! Decides whether one more retry may be sent to a service.
//!
//! Inputs: the limits of the installation (`BudgetLimits`: a ratio, a number of retries, and a window in milliseconds),
//! the times of requests and retries so far, and the number of daemons.
//!
//! Rule: the installation limits the retries at a service over any window to a share of the service's requests, plus a
//! fixed slack. Each daemon may retry that share of its own requests, and has an equal part of the slack, which is
//! divided among `UNKNOWN_DAEMONS` more daemons than it knows. A daemon that has just started doesn't use the slack for
//! one window, since its previous process may have used it.
//!
//! Reason: the limit holds for all daemons together although they don't coordinate. Test: `fleet_bound`
//! (`test_window_budget`).

use {
    crate::shared::units::{Millis, Share, Time},
    std::collections::VecDeque,
};

/// Fraction of the allowed retries that a daemon uses; the rest covers differences between clocks and between windows.
const SPENT_FRACTION: f64 = 0.75;

/// Number of daemons that may be alive beyond those known.
const UNKNOWN_DAEMONS: f64 = 2.0;

/// Limits on the retries at a service, for all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries per request.
    pub ratio: Share,
    /// Number of retries per window in addition to the ratio, over all daemons.
    pub slack: f64,
    /// Length of the sliding window.
    pub window: Millis,
}

/// Counts the requests for a service and the retries at it over a sliding window.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    limits: BudgetLimits,
    started: Time,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl WindowBudget {
    /// Creates a budget with nothing used; `started` is the start time of the daemon.
    pub fn new(limits: BudgetLimits, started: Time) -> Self {
        Self {
            limits,
            started,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Replaces the limits; retries that were already counted stay counted.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request for the service.
    pub fn deposit(&mut self, now: Time) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Counts one retry and returns true if the budget allows it. `daemons` is the number of daemons believed to be
    /// alive, including this one.
    pub fn withdraw(&mut self, now: Time, daemons: usize) -> bool {
        let allowed = self.may_withdraw(now, daemons);
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }

    /// Returns whether the budget allows one more retry, without counting it.
    pub fn may_withdraw(&mut self, now: Time, daemons: usize) -> bool {
        self.expire(now);
        self.retries.len() as f64 + 1.0 <= self.allowed(now, daemons)
    }

    /// Returns the number of retries that this daemon may send within one window.
    fn allowed(&self, now: Time, daemons: usize) -> f64 {
        let earned = self.requests.len() as f64 * self.limits.ratio.0 * SPENT_FRACTION;
        let is_fresh = now.since(self.started) < self.limits.window.to_duration();
        if is_fresh {
            return earned;
        }
        earned + self.limits.slack * SPENT_FRACTION / (daemons.max(1) as f64 + UNKNOWN_DAEMONS)
    }

    /// Forgets requests and retries that have left the window.
    fn expire(&mut self, now: Time) {
        let window = self.limits.window.to_duration();
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.since(*time) >= window) {
                times.pop_front();
            }
        }
    }
}
