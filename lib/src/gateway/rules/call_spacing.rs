//! When may a free endpoint of a stage start a call that isn't full?
//!
//! Inputs: the time of the last call in the endpoint's data centre, how long calls there usually take
//! (milliseconds, learnt), and how many endpoints there may be called and are free.
//!
//! Rule: at once if `FREE_PART` of them or more are free, or if the call would be full. Else once
//! `EVENNESS` of an even share of the round has passed since the last call: the usual time of a call,
//! divided by the endpoints.
//!
//! Reason: a call costs a fixed time before its first piece. Whoever is free first takes nearly all that waits,
//! the next one takes two pieces and is gone for as long; full calls last longer than small ones, so
//! that bunches stay bunches. Even calls hold what comes between them, and a piece waits for half of the
//! space between two calls.
//!
//! It needs no knowledge of the work: the usual time is that of the calls that were planned.

use crate::shared::units::{Time, WorkMillis};

/// Part of a data centre's endpoints from which on a free one starts at once. With so many idle, nothing waits for
/// them.
const FREE_PART: f64 = 0.5;

/// Part of an even share of the round that passes between two calls: more of it would hold calls that are nearly
/// full.
const EVENNESS: f64 = 0.8;

/// Weight of a new call in the usual time. Some ten calls, half a second of one data centre at load.
const GAIN: f64 = 0.1;

/// The calls of one data centre.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallSpacing {
    last: Time,
    usual: WorkMillis,
}

impl CallSpacing {
    /// Starts with a first call and the time that it should take.
    pub fn new(now: Time, expected: WorkMillis) -> Self {
        Self {
            last: now,
            usual: expected,
        }
    }

    /// Returns the spacing after another call.
    #[must_use]
    pub fn after_call(self, now: Time, expected: WorkMillis) -> Self {
        Self {
            last: now,
            usual: WorkMillis(self.usual.0 + GAIN * (expected.0 - self.usual.0)),
        }
    }

    /// Returns when a call that isn't full may start, where so many endpoints may be called and are free.
    pub fn due(self, endpoints: usize, free: usize) -> Time {
        if free as f64 >= endpoints as f64 * FREE_PART {
            return self.last;
        }
        let space = self.usual.0 / endpoints as f64 * EVENNESS;
        self.last + WorkMillis(space)
    }
}
