//! How fast is an endpoint, compared with what was expected of it?
//!
//! **Inputs.** The expected and the observed time of each call or first event, in milliseconds.
//!
//! **Rule.** Both values are moving averages. The pace of an engine is the ratio of observed to expected
//! time, within bounds; after some seconds without a new observation it counts as 1 again.
//!
//! **Reason.** A slow endpoint gets less work. Since it then gives fewer observations, the pace has to
//! be forgotten, or a recovered endpoint would never be tried again.
//!
//! Tests: `lib/tests/test_fleet_choice.rs`.

use crate::shared::units::{Millis, Time, WorkMillis};

/// Usual time of a plain call before the first one was observed.
const FIRST_CALL: WorkMillis = WorkMillis(15.0);

/// Weight of a new observation in both averages, from 0 to 1.
const GAIN: f64 = 0.15;

/// Least and greatest pace that is believed, as a ratio.
const LEAST_PACE: f64 = 0.5;
const GREATEST_PACE: f64 = 20.0;

/// Time after which a pace is forgotten.
const PACE_LIFETIME: Millis = Millis(4_000);

/// Least expected time that a pace is worked out from: below it, the ratio says more about the network than about the
/// endpoint.
const LEAST_EXPECTED: WorkMillis = WorkMillis(30.0);

/// Usual time of a plain call at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallTime {
    average: WorkMillis,
}

impl Default for CallTime {
    fn default() -> Self {
        Self {
            average: FIRST_CALL,
        }
    }
}

impl CallTime {
    /// Returns the average.
    pub fn get(self) -> WorkMillis {
        self.average
    }

    /// Learns from the time of a call.
    pub fn learn(&mut self, observed: WorkMillis) {
        self.average.0 += GAIN * (observed.0 - self.average.0);
    }
}

/// Observed over expected time to the first event at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EnginePace {
    ratio: f64,
    learned_at: Time,
}

impl Default for EnginePace {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            learned_at: Time::default(),
        }
    }
}

impl EnginePace {
    /// Returns the ratio that holds at `now`: 1 for an endpoint as fast as expected.
    pub fn at(self, now: Time) -> f64 {
        if now.since(self.learned_at) > PACE_LIFETIME.to_duration() {
            1.0
        } else {
            self.ratio
        }
    }

    /// Learns from a first event, from its expected and its observed time.
    pub fn learn(&mut self, now: Time, expected: WorkMillis, waited: WorkMillis) {
        let observed = waited.0 / expected.0.max(LEAST_EXPECTED.0);
        let ratio = self.at(now);
        let next = ratio + GAIN * (observed - ratio);
        self.ratio = next.clamp(LEAST_PACE, GREATEST_PACE);
        self.learned_at = now;
    }
}
