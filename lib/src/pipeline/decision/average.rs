//! A moving average of times, which starts from an initial value and limits the effect of outliers.
//!
//! Inputs: observed times in milliseconds. Output: their average, in which a new observation has the weight [`GAIN`],
//! or the same weight as each earlier one while there are few.
//!
//! Rule of [`Average::observe_bounded`]: after [`SETTLED_AFTER`] observations, a further one counts as at most
//! [`OUTLIER_FACTOR`] times the average. Reason: without the bound, one endpoint that was ten times as slow nearly
//! doubled the learnt cost of its whole pool with each reply, so that the healthy endpoints looked slow and requests
//! were refused (commit e396322; `docs/MEASUREMENTS.md`, "Faults at 0.8 of capacity").
//!
//! `test_policy_pins.rs` (`moving_averages`) pins the rule.

use crate::shared::units::WorkMillis;

/// Weight of a new observation in a settled average.
pub const GAIN: f64 = 0.1;

/// Number of observations after which an average counts as settled: from then on a new one has the weight [`GAIN`].
pub const SETTLED_AFTER: u32 = 10;

/// Largest multiple of a settled average that one observation counts as.
pub const OUTLIER_FACTOR: f64 = 1.5;

/// A moving average with an initial value.
#[derive(Debug, Clone, Copy)]
pub struct Average {
    value: f64,
    count: u32,
}

impl Average {
    /// Creates an average with an initial value, which the first observation replaces.
    pub fn new(guess: WorkMillis) -> Self {
        Self {
            value: guess.0,
            count: 0,
        }
    }

    /// Adds an observation; one that isn't a finite number is ignored.
    pub fn observe(&mut self, observed: WorkMillis) {
        if !observed.0.is_finite() {
            return;
        }
        self.count = self.count.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.count));
        self.value += gain * (observed.0 - self.value);
    }

    /// Adds an observation that may be an outlier: once the average is settled, it counts as at most [`OUTLIER_FACTOR`]
    /// times the average.
    pub fn observe_bounded(&mut self, observed: WorkMillis) {
        let bound = if self.count >= SETTLED_AFTER {
            self.value * OUTLIER_FACTOR
        } else {
            f64::INFINITY
        };
        self.observe(WorkMillis(observed.0.min(bound)));
    }

    /// Returns the current average.
    pub fn get(&self) -> WorkMillis {
        WorkMillis(self.value)
    }
}
