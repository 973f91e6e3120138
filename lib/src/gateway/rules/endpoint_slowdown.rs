//! Estimates how slow an endpoint is compared with expectations.
//!
//! Inputs: the expected and the observed time of each call or first event, in milliseconds.
//!
//! Rule: both estimates are moving averages. The slowdown of an engine is the ratio of observed to expected time,
//! within bounds. It returns to 1 after some seconds without a new observation.
//!
//! Reason: a slow endpoint gets less work. Since it then gives fewer observations, the slowdown has to expire;
//! otherwise an endpoint that recovered would never be used again.
//!
//! Tests: `lib/tests/test_fleet_choice.rs`.

use crate::shared::units::{Millis, Time, WorkMillis};

/// Assumed time of a plain call before the first one was observed.
const INITIAL_CALL_TIME: WorkMillis = WorkMillis(15.0);

/// Weight of a new observation in both averages, from 0 to 1.
const SMOOTHING_WEIGHT: f64 = 0.15;

/// Bounds on the slowdown, as a ratio.
const MIN_SLOWDOWN: f64 = 0.5;
const MAX_SLOWDOWN: f64 = 20.0;

/// Time without observations after which a slowdown expires.
const SLOWDOWN_LIFETIME: Millis = Millis(4_000);

/// Minimum expected time that a slowdown is computed from: below it, the ratio depends more on the network than on the
/// endpoint.
const MIN_EXPECTED: WorkMillis = WorkMillis(30.0);

/// Usual time of a plain call at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallTime {
    average: WorkMillis,
}

impl Default for CallTime {
    fn default() -> Self {
        Self {
            average: INITIAL_CALL_TIME,
        }
    }
}

impl CallTime {
    /// Returns the moving average.
    pub fn get(self) -> WorkMillis {
        self.average
    }

    /// Adds the observed time of a call to the average.
    pub fn record(&mut self, observed: WorkMillis) {
        self.average.0 += SMOOTHING_WEIGHT * (observed.0 - self.average.0);
    }
}

/// Ratio of observed to expected time to the first event at one engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSlowdown {
    ratio: f64,
    recorded_at: Time,
}

impl Default for EngineSlowdown {
    fn default() -> Self {
        Self {
            ratio: 1.0,
            recorded_at: Time::default(),
        }
    }
}

impl EngineSlowdown {
    /// Returns the ratio at `now`: 1 for an endpoint that is as fast as expected.
    pub fn at(self, now: Time) -> f64 {
        if now.since(self.recorded_at) > SLOWDOWN_LIFETIME.to_duration() {
            1.0
        } else {
            self.ratio
        }
    }

    /// Adds the expected and the observed time of a first event to the ratio.
    pub fn record(&mut self, now: Time, expected: WorkMillis, waited: WorkMillis) {
        let observed = waited.0 / expected.0.max(MIN_EXPECTED.0);
        let ratio = self.at(now);
        let next = ratio + SMOOTHING_WEIGHT * (observed - ratio);
        self.ratio = next.clamp(MIN_SLOWDOWN, MAX_SLOWDOWN);
        self.recorded_at = now;
    }
}
