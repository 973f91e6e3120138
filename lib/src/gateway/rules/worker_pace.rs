//! How slow is an endpoint of a stage at present, and for how long does it get no call?
//!
//! Inputs: how long its calls took as a multiple of the expected time (`Pace`, a ratio), the clock, and why it gets no
//! call.
//!
//! Rule: the slowdown of an endpoint is a moving average over its answered calls, with weight `PACE_GAIN` for the
//! newest. An overdue call raises it at once. It is valid for `PACE_KEPT`; after that the endpoint counts as running at
//! the expected speed, so that a slow endpoint is tried again. An endpoint with a slowdown of at least `SLOW_PACE` gets
//! no call while another may take it. One that refused or broke off a call is excluded for `PASSED_OVER`, one without
//! capacity for a result for `FULL_PASSED_OVER`.
//!
//! Reason: a call to a slow endpoint delays each request with a piece in it, and an endpoint without capacity refuses
//! the next call as well. Test: `test_stage_rules`.

use {
    crate::shared::units::{Millis, Time, WorkMillis},
    std::cmp::Ordering,
};

/// Weight of a new observation in the moving average (a share).
const PACE_GAIN: f64 = 0.5;

/// Time for which a slowdown is valid after it was observed.
const PACE_KEPT: Millis = Millis(3_000);

/// Slowdown from which an endpoint gets no call while another may take it (a ratio).
const SLOW_PACE: Pace = Pace(1.8);

/// Bounds of the moving average (ratios), so that one wrong estimate of a call's cost doesn't make an endpoint look
/// better or worse than this.
const FASTEST_PACE: f64 = 0.5;
const SLOWEST_PACE: f64 = 20.0;

/// Time for which an endpoint is excluded that refused or broke off a call, or wasn't reached.
const PASSED_OVER: Millis = Millis(300);

/// Time for which an endpoint without capacity for a result is excluded.
const FULL_PASSED_OVER: Millis = Millis(60);

/// Time of calls as a multiple of the expected time: 1 is as expected, more is slower.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(pub f64);

impl Pace {
    /// Slowdown of an endpoint without recent calls.
    pub const USUAL: Pace = Pace(1.0);

    /// Returns the slowdown of a call that took `elapsed`, or has run for that long so far.
    pub fn of_call(elapsed: WorkMillis, expected: WorkMillis) -> Self {
        Self(elapsed.0 / expected.0)
    }

    /// Returns whether an endpoint with this slowdown gets no call while another may take it.
    pub fn is_slow(self) -> bool {
        // NaN, from calls with an expected time of zero, counts as slow.
        self.partial_cmp(&SLOW_PACE) != Some(Ordering::Less)
    }
}

/// Slowdown of one endpoint, learnt from its calls.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KnownPace {
    pace: Pace,
    observed: Time,
}

impl Default for KnownPace {
    fn default() -> Self {
        Self {
            pace: Pace::USUAL,
            observed: Time::default(),
        }
    }
}

impl KnownPace {
    /// Returns the slowdown that is valid at `now`.
    pub fn at(&self, now: Time) -> Pace {
        if now.since(self.observed) > PACE_KEPT.to_duration() {
            Pace::USUAL
        } else {
            self.pace
        }
    }

    /// Returns the slowdown after a call was answered at `now`.
    #[must_use]
    pub fn after_answer(&self, now: Time, observed: Pace) -> Self {
        let before = self.at(now).0;
        let learnt = before + PACE_GAIN * (observed.0 - before);
        Self {
            pace: Pace(learnt.clamp(FASTEST_PACE, SLOWEST_PACE)),
            observed: now,
        }
    }

    /// Returns the slowdown after a call became overdue; `so_far` is that of the call up to now.
    #[must_use]
    pub fn after_overdue(&self, now: Time, so_far: Pace) -> Self {
        Self {
            pace: Pace(self.pace.0.max(so_far.0)),
            observed: now,
        }
    }
}

/// Why an endpoint gets no call for a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassedOver {
    /// The endpoint refused or broke off a call, or wasn't reached.
    NoAnswer,
    /// The endpoint had no capacity for a result.
    NoRoom,
}

impl PassedOver {
    /// Returns when the endpoint may get calls again.
    pub fn until(self, now: Time) -> Time {
        match self {
            Self::NoAnswer => now + PASSED_OVER,
            Self::NoRoom => now + FULL_PASSED_OVER,
        }
    }
}
