//! Estimates how slow an endpoint of a stage is at present, and decides for how long it gets no call.
//!
//! Inputs: how long its calls took as a multiple of the expected time (`Slowdown`, a ratio), the clock, and the reason
//! for which it is excluded (`WorkerExclusion`).
//!
//! Rule: the slowdown of an endpoint is a moving average over its answered calls, with weight `SLOWDOWN_GAIN` for the
//! newest. An overdue call raises it at once. It is valid for `SLOWDOWN_VALIDITY`; after that the endpoint counts as
//! running at the expected speed, so that a slow endpoint is tried again. An endpoint with a slowdown of at least
//! `SLOW_THRESHOLD` gets no call while another may take it. One that refused or broke off a call is excluded for
//! `NO_ANSWER_EXCLUSION`, one without capacity for a result for `NO_CAPACITY_EXCLUSION`.
//!
//! Reason: a call to a slow endpoint delays each request with a piece in it, and an endpoint without capacity refuses
//! the next call as well. Test: `test_stage_rules`.

use {
    crate::shared::units::{Millis, Time, WorkMillis},
    std::cmp::Ordering,
};

/// Weight of a new observation in the moving average (a share).
const SLOWDOWN_GAIN: f64 = 0.5;

/// Time for which a slowdown is valid after it was observed.
const SLOWDOWN_VALIDITY: Millis = Millis(3_000);

/// Slowdown from which an endpoint gets no call while another may take it (a ratio).
const SLOW_THRESHOLD: Slowdown = Slowdown(1.8);

/// Bounds of the moving average (ratios), so that one wrong estimate of a call's cost doesn't make an endpoint look
/// better or worse than this.
const MIN_SLOWDOWN: f64 = 0.5;
const MAX_SLOWDOWN: f64 = 20.0;

/// Time for which an endpoint that refused or broke off a call, or wasn't reached, is excluded.
const NO_ANSWER_EXCLUSION: Millis = Millis(300);

/// Time for which an endpoint without capacity for a result is excluded.
const NO_CAPACITY_EXCLUSION: Millis = Millis(60);

/// Time of calls as a multiple of the expected time: 1 is as expected, more is slower.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Slowdown(pub f64);

impl Slowdown {
    /// Slowdown of an endpoint without recent calls.
    pub const EXPECTED: Slowdown = Slowdown(1.0);

    /// Returns the slowdown of a call that took `elapsed`, or has run for that long so far.
    pub fn of_call(elapsed: WorkMillis, expected: WorkMillis) -> Self {
        Self(elapsed.0 / expected.0)
    }

    /// Returns whether an endpoint with this slowdown gets no call while another may take it.
    pub fn is_slow(self) -> bool {
        // NaN, from calls with an expected time of zero, counts as slow.
        self.partial_cmp(&SLOW_THRESHOLD) != Some(Ordering::Less)
    }
}

/// Slowdown of one endpoint, learnt from its calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LearntSlowdown {
    slowdown: Slowdown,
    observed: Time,
}

impl Default for LearntSlowdown {
    fn default() -> Self {
        Self {
            slowdown: Slowdown::EXPECTED,
            observed: Time::default(),
        }
    }
}

impl LearntSlowdown {
    /// Returns the slowdown that is valid at `now`.
    pub fn at(&self, now: Time) -> Slowdown {
        if now.since(self.observed) > SLOWDOWN_VALIDITY.to_duration() {
            Slowdown::EXPECTED
        } else {
            self.slowdown
        }
    }

    /// Returns the slowdown after a call was answered at `now`.
    #[must_use]
    pub fn after_answer(&self, now: Time, observed: Slowdown) -> Self {
        let before = self.at(now).0;
        let learnt = before + SLOWDOWN_GAIN * (observed.0 - before);
        Self {
            slowdown: Slowdown(learnt.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN)),
            observed: now,
        }
    }

    /// Returns the slowdown after a call became overdue; `so_far` is that of the call up to now.
    #[must_use]
    pub fn after_overdue(&self, now: Time, so_far: Slowdown) -> Self {
        Self {
            slowdown: Slowdown(self.slowdown.0.max(so_far.0)),
            observed: now,
        }
    }
}

/// Reason for which an endpoint gets no call for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerExclusion {
    /// The endpoint refused or broke off a call, or wasn't reached.
    NoAnswer,
    /// The endpoint had no capacity for a result.
    NoCapacity,
}

impl WorkerExclusion {
    /// Returns when the endpoint may get calls again.
    pub fn until(self, now: Time) -> Time {
        match self {
            Self::NoAnswer => now + NO_ANSWER_EXCLUSION,
            Self::NoCapacity => now + NO_CAPACITY_EXCLUSION,
        }
    }
}
