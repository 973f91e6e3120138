//! Budget of repeated sends, shared by all daemons without a word between them.
//!
//! The installation bounds the repeats at a service over any window: a share of the requests for
//! it, and a fixed slack. A daemon spends the share of its own requests, and its part of the slack,
//! worked out for more daemons than there are. A daemon that has just started leaves the slack
//! alone, since the process before it may have spent it.

use {
    crate::shared::units::{Millis, Share, Time},
    std::collections::VecDeque,
};

/// Part of the share that is spent; the rest covers differences of clocks and of windows.
const SAFETY: f64 = 0.75;

/// What the installation allows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetLimits {
    /// Repeats allowed for each request.
    pub ratio: Share,
    /// Repeats allowed beside those, over all daemons.
    pub slack: f64,
    /// Length of the window.
    pub window: Millis,
}

/// Counts requests for a service and repeats at it, over a sliding window.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    limits: BudgetLimits,
    started: Time,
    firsts: VecDeque<Time>,
    repeats: VecDeque<Time>,
}

impl WindowBudget {
    /// Starts with nothing spent.
    pub fn new(limits: BudgetLimits, started: Time) -> Self {
        Self {
            limits,
            started,
            firsts: VecDeque::new(),
            repeats: VecDeque::new(),
        }
    }

    /// Counts a request for the service.
    pub fn deposit(&mut self, now: Time) {
        self.expire(now);
        self.firsts.push_back(now);
    }

    /// Counts one repeat if the budget has it; `daemons` is the number of daemons believed alive.
    pub fn withdraw(&mut self, now: Time, daemons: usize) -> bool {
        self.expire(now);
        if self.repeats.len() as f64 + 1.0 > self.allowed(now, daemons) {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn allowed(&self, now: Time, daemons: usize) -> f64 {
        let earned = self.firsts.len() as f64 * self.limits.ratio.0 * SAFETY;
        let fresh = now.since(self.started) < self.limits.window.to_duration();
        if fresh {
            return earned;
        }
        earned + self.limits.slack * SAFETY / (daemons.max(1) as f64 + 2.0)
    }

    fn expire(&mut self, now: Time) {
        let window = self.limits.window.to_duration();
        for times in [&mut self.firsts, &mut self.repeats] {
            while times.front().is_some_and(|time| now.since(*time) >= window) {
                times.pop_front();
            }
        }
    }
}
