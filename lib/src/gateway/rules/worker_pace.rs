//! How fast is an endpoint of a stage at present, and for how long does it get no call?
//!
//! Inputs: how long its calls took, as a multiple of what was expected (`Pace`, a ratio), the clock,
//! and why it gets no call.
//!
//! A pace follows the calls that were answered, half of the way each time, and rises at once to what
//! an overdue call shows. It is believed for `PACE_KEPT` and then counts as usual again, so that a
//! slow endpoint is tried once more. An endpoint at `SLOW_PACE` or above gets no call while any other
//! may take it. One that refused or broke off a call is passed over for `PASSED_OVER`, one without
//! room for a result for `FULL_PASSED_OVER`.
//!
//! A call to a slow endpoint delays each request with a piece in it, and a full endpoint refuses the next call as
//! well. `test_stage_rules` pins the rule.

use {
    crate::shared::units::{Millis, Time, WorkMillis},
    std::cmp::Ordering,
};

/// Weight of a new observation against what was known (a share).
const PACE_GAIN: f64 = 0.5;

/// Time for which a known pace is believed.
const PACE_KEPT: Millis = Millis(3_000);

/// Pace from which on an endpoint gets no call while others may take it (a ratio).
const SLOW_PACE: Pace = Pace(1.8);

/// Bounds of a learnt pace (ratios): one wrong estimate of a call's cost can't make an endpoint look better or worse
/// than this.
const FASTEST_PACE: f64 = 0.5;
const SLOWEST_PACE: f64 = 20.0;

/// Time for which an endpoint is passed over that refused or broke off a call, or wasn't reached.
const PASSED_OVER: Millis = Millis(300);

/// Time for which an endpoint without room for a result is passed over.
const FULL_PASSED_OVER: Millis = Millis(60);

/// Time of calls as a multiple of what was expected; more is slower.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(pub f64);

impl Pace {
    /// The pace of an endpoint of which nothing is known.
    pub const USUAL: Pace = Pace(1.0);

    /// Compares what a call took, or has taken so far, to what was expected.
    pub fn of_call(elapsed: WorkMillis, expected: WorkMillis) -> Self {
        Self(elapsed.0 / expected.0)
    }

    /// Returns whether an endpoint of this pace gets no call while others may take it.
    pub fn is_slow(self) -> bool {
        // A pace that isn't a number, from calls that should take no time, counts as slow.
        self.partial_cmp(&SLOW_PACE) != Some(Ordering::Less)
    }
}

/// The pace of one endpoint as its calls showed it.
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
    /// Returns the pace that is believed at `now`.
    pub fn at(&self, now: Time) -> Pace {
        if now.since(self.observed) > PACE_KEPT.to_duration() {
            Pace::USUAL
        } else {
            self.pace
        }
    }

    /// Returns what is known after a call was answered at `now`.
    #[must_use]
    pub fn after_answer(&self, now: Time, observed: Pace) -> Self {
        let before = self.at(now).0;
        let learnt = before + PACE_GAIN * (observed.0 - before);
        Self {
            pace: Pace(learnt.clamp(FASTEST_PACE, SLOWEST_PACE)),
            observed: now,
        }
    }

    /// Returns what is known after a call became overdue; `so_far` is its pace up to now.
    #[must_use]
    pub fn after_overdue(&self, now: Time, so_far: Pace) -> Self {
        Self {
            pace: Pace(self.pace.0.max(so_far.0)),
            observed: now,
        }
    }
}

/// Why an endpoint gets no call for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PassedOver {
    /// It refused or broke off a call, or wasn't reached.
    NoAnswer,
    /// It had no room for a result.
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
