//! May one more retry be sent to a service?
//!
//! Inputs: the installation's limits (`BudgetLimits`: a share, a number of retries and a window in
//! milliseconds), the times of requests and retries so far, and the number of daemons.
//!
//! The installation bounds the retries at a service over any window: a share of the requests for it,
//! and a fixed slack. Each daemon spends the share of its own requests, and its part of the slack,
//! divided among `SPARE_DAEMONS` more than it knows. A daemon that has just started leaves the slack
//! alone for a window, since the process before it may have spent it.
//!
//! So the bound holds for all daemons together although none of them asks another one. Test: `fleet_bound`
//! (`test_window_budget`).

use {
    crate::shared::units::{Millis, Share, Time},
    std::collections::VecDeque,
};

/// Part of what is allowed that is spent (a share); the rest covers differences of clocks and of windows.
const SAFETY: f64 = 0.75;

/// Daemons that may be alive beyond those known (a count).
const SPARE_DAEMONS: f64 = 2.0;

/// Retries that the installation allows at a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Retries for each request.
    pub ratio: Share,
    /// Retries beside those, over all daemons (a count).
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
}

/// Counts requests for a service and retries at it, over a sliding window.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    limits: BudgetLimits,
    started: Time,
    requests: VecDeque<Time>,
    retries: VecDeque<Time>,
}

impl WindowBudget {
    /// Starts with nothing spent; `started` is when the daemon started.
    pub fn new(limits: BudgetLimits, started: Time) -> Self {
        Self {
            limits,
            started,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        }
    }

    /// Sets what the installation allows from now on; what was spent stays spent.
    pub fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request for the service.
    pub fn deposit(&mut self, now: Time) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Counts one retry and returns true if the budget has it; `daemons` is the number of daemons
    /// believed alive, this one included.
    pub fn withdraw(&mut self, now: Time, daemons: usize) -> bool {
        self.expire(now);
        if self.retries.len() as f64 + 1.0 > self.allowed(now, daemons) {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Returns the retries that this daemon may send within one window.
    fn allowed(&self, now: Time, daemons: usize) -> f64 {
        let earned = self.requests.len() as f64 * self.limits.ratio.0 * SAFETY;
        let is_fresh = now.since(self.started) < self.limits.window.to_duration();
        if is_fresh {
            return earned;
        }
        earned + self.limits.slack * SAFETY / (daemons.max(1) as f64 + SPARE_DAEMONS)
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
