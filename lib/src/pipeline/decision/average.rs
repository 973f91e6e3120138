//! A moving average of times, which starts from a guess and bounds outliers.
//!
//! Inputs: observed times in milliseconds. Output: their average, in which a new observation weighs
//! [`GAIN`], or its part of all so far while those are few.
//!
//! The rule of [`Average::observe_bounded`]: once [`SETTLED_AFTER`] observations are in, a
//! further one counts as at most [`OUTLIER_FACTOR`] times the average. The reason: without the
//! bound, one endpoint that was ten times as slow nearly doubled its whole pool's cost with each
//! reply, so that its healthy siblings looked slow and requests were refused (commit e396322;
//! `docs/MEASUREMENTS.md`, "Faults at 0.8 of capacity").
//!
//! `test_policy_pins.rs` (`moving_averages`) pins the rule.

use crate::shared::units::WorkMillis;

/// Weight of a new observation.
pub const GAIN: f64 = 0.1;

/// Observations after which an average counts as settled: from then on each weighs [`GAIN`].
pub const SETTLED_AFTER: u32 = 10;

/// Largest multiple of a settled average that one observation counts as. The bound is measured (see
/// above), the figure chosen.
pub const OUTLIER_FACTOR: f64 = 1.5;

/// A moving average with an initial guess.
#[derive(Debug, Clone, Copy)]
pub struct Average {
    value: f64,
    count: u32,
}

impl Average {
    /// Starts from a guess, which the first observations replace quickly.
    pub fn new(guess: WorkMillis) -> Self {
        Self {
            value: guess.0,
            count: 0,
        }
    }

    /// Adds an observation; anything that isn't a finite number is left out.
    pub fn observe(&mut self, observed: WorkMillis) {
        if !observed.0.is_finite() {
            return;
        }
        self.count = self.count.saturating_add(1);
        let gain = GAIN.max(1.0 / f64::from(self.count));
        self.value += gain * (observed.0 - self.value);
    }

    /// Adds an observation that may be an outlier: once the average is settled, one observation
    /// counts as at most a fixed multiple of it.
    pub fn observe_bounded(&mut self, observed: WorkMillis) {
        let bound = if self.count >= SETTLED_AFTER {
            self.value * OUTLIER_FACTOR
        } else {
            f64::INFINITY
        };
        self.observe(WorkMillis(observed.0.min(bound)));
    }

    /// Returns the average.
    pub fn get(&self) -> WorkMillis {
        WorkMillis(self.value)
    }
}
