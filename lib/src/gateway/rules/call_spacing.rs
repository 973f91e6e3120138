//! Decides when a free endpoint of a stage may start a call that isn't full.
//!
//! Inputs: the time of the last call in the endpoint's data centre, the average time that calls there should take
//! (milliseconds), and how many endpoints there may be called and are free.
//!
//! Rule: at once if at least `FREE_FRACTION` of the endpoints are free, or if the call would be full. Otherwise once
//! `SPACING_FRACTION` of an even interval has passed since the last call. The even interval is the average time of a
//! call divided by the number of endpoints.
//!
//! Reason: a call costs a fixed time before its first piece. Without spacing, the first free endpoint takes nearly all
//! waiting pieces, and the next one takes a few and is busy for almost as long. Full calls last longer than small ones,
//! so calls stay bunched. With even intervals, calls share the pieces that arrive, and a piece waits for half an
//! interval on average.
//!
//! The average time is that of the calls that were scheduled; the rule needs no other knowledge of the work.

use crate::shared::units::{Time, WorkMillis};

/// Fraction of a data centre's endpoints that must be free for a call to start at once. With so many free endpoints,
/// pieces don't wait for one.
const FREE_FRACTION: f64 = 0.5;

/// Fraction of an even interval that must pass between two calls. A larger one would delay calls that are nearly full.
const SPACING_FRACTION: f64 = 0.8;

/// Weight of a new call in the average time: it covers some ten calls, about half a second of one data centre under
/// load.
const CALL_TIME_GAIN: f64 = 0.1;

/// Last call and average time of calls in one data centre.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallSpacing {
    last_call: Time,
    call_time: WorkMillis,
}

impl CallSpacing {
    /// Starts with a first call, which should take `expected`.
    pub fn new(now: Time, expected: WorkMillis) -> Self {
        Self {
            last_call: now,
            call_time: expected,
        }
    }

    /// Returns the spacing after another call, which should take `expected`.
    #[must_use]
    pub fn after_call(self, now: Time, expected: WorkMillis) -> Self {
        Self {
            last_call: now,
            call_time: WorkMillis(
                self.call_time.0 + CALL_TIME_GAIN * (expected.0 - self.call_time.0),
            ),
        }
    }

    /// Returns when a call that isn't full may start, where `endpoints` may be called and `free` of them are free.
    pub fn earliest_start(self, endpoints: usize, free: usize) -> Time {
        if free as f64 >= endpoints as f64 * FREE_FRACTION {
            return self.last_call;
        }
        let space = self.call_time.0 / endpoints as f64 * SPACING_FRACTION;
        self.last_call + WorkMillis(space)
    }
}
