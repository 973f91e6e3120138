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
//! **Measured.** The constants were chosen, not measured; `test_fleet_choice` pins the effect.

use crate::shared::units::{Millis, Time};

/// Usual time of a plain call before the first one was observed, in milliseconds. Chosen, not measured.
const FIRST_CALL_MS: f64 = 15.0;

/// Weight of a new observation in both averages, from 0 to 1. Chosen, not measured.
const GAIN: f64 = 0.15;

/// Least and greatest pace that is believed, as a ratio. Chosen, not measured.
const LEAST_PACE: f64 = 0.5;
const GREATEST_PACE: f64 = 20.0;

/// Time after which a pace is forgotten. Chosen, not measured.
const PACE_LIFETIME: Millis = Millis(4_000);

/// Least expected time that a pace is worked out from, in milliseconds: below it, the ratio says more
/// about the network than about the endpoint. Chosen, not measured.
const LEAST_EXPECTED_MS: f64 = 30.0;

/// Usual time of a plain call at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CallTime {
    ms: f64,
}

impl Default for CallTime {
    fn default() -> Self {
        Self { ms: FIRST_CALL_MS }
    }
}

impl CallTime {
    /// Returns the average, in milliseconds.
    pub fn ms(self) -> f64 {
        self.ms
    }

    /// Learns from a call that took `observed_ms` milliseconds.
    pub fn learn(&mut self, observed_ms: f64) {
        self.ms += GAIN * (observed_ms - self.ms);
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

    /// Learns from a first event that was expected after `expected_ms` and came after `waited_ms`.
    pub fn learn(&mut self, now: Time, expected_ms: f64, waited_ms: f64) {
        let observed = waited_ms / expected_ms.max(LEAST_EXPECTED_MS);
        let ratio = self.at(now);
        let next = ratio + GAIN * (observed - ratio);
        self.ratio = next.clamp(LEAST_PACE, GREATEST_PACE);
        self.learned_at = now;
    }
}
