//! Estimates how fast an engine is, compared with the figures of its service.
//!
//! Inputs: of each first event the observed and the expected time at an endpoint of factor 1, in milliseconds, without
//! the slowdown that the engine reported. Sums of such samples from other daemons.
//!
//! Rule: the factor of an endpoint is the mean ratio of observed to expected time, on a logarithmic scale, together
//! with a prior of 1. A sample has the more weight the more samples the figures of the service have. It counts as at
//! most `MAX_STEP` away from the present factor. The mean of all samples of the service is taken off, a rest below
//! `MIN_DIFFERENCE` counts as none, and the result stays within bounds. Weights of samples halve as those of the
//! [`engine_model`](crate::gateway::rules::engine_model) do.
//!
//! Reason: without the mean taken off, the same times could be explained by slow figures and fast endpoints or the other
//! way round, and daemons that disagree on this couldn't merge their sums. While the figures are still near their prior,
//! their error is the same at all endpoints, and would make the endpoint that happened to be used first look faster or
//! slower than the others.
//!
//! Tests: `lib/tests/test_engine_model.rs`.

use crate::shared::units::WorkMillis;

/// Bounds on the factor: ten times beyond what engines of one service differ by.
const MIN_SPEED: f64 = 0.2;
const MAX_SPEED: f64 = 20.0;

/// Weight of the prior, in samples. One daemon of a large fleet has less than one recent sample of most endpoints.
const PRIOR_WEIGHT: f64 = 1.0;

/// Difference of the logarithm from that of a usual endpoint below which it counts as none. A few samples of equal engines differ by
/// as much, and the one that looks fastest would get all requests until it is full.
const MIN_DIFFERENCE: f64 = 0.08;

/// Largest weight of one daemon's samples of an endpoint. With more, what an engine did in a slow period would outweigh
/// the prior for longer than ten seconds after the last sample, and the engine would not be used again meanwhile.
pub const MAX_WEIGHT: f64 = 4.0;

/// Number of samples of the service from which on a sample of an endpoint has half of its weight: several times the
/// weight of the figures' prior.
const CONFIDENT_SAMPLES: f64 = 16.0;

/// Largest difference of a sample from the present factor that counts, as a logarithm: a time half as long again.
const MAX_STEP: f64 = 0.4;

/// Shortest time that is compared, in milliseconds, so that a ratio is always finite.
const MIN_TIME_MS: f64 = 1.0;

/// Weighted sum of the logarithms of observed over expected times at one endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedSums {
    /// Number of samples, less the weight that they have lost.
    pub weight: f64,
    /// Sum of the logarithms.
    pub logs: f64,
}

impl SpeedSums {
    /// Returns the sums of one sample. `present` is the logarithm of the present factor, `known` the number of samples
    /// from which `expected` was estimated.
    pub fn of(observed: WorkMillis, expected: WorkMillis, present: f64, known: f64) -> Self {
        let ratio = observed.0.max(MIN_TIME_MS) / expected.0.max(MIN_TIME_MS);
        let weight = known / (known + CONFIDENT_SAMPLES);
        let log = ratio.ln().clamp(present - MAX_STEP, present + MAX_STEP);
        Self {
            weight,
            logs: weight * log,
        }
    }

    /// Returns whether the sums can be those of samples.
    pub fn are_possible(&self) -> bool {
        let longest = self.weight * (MAX_SPEED / MIN_SPEED).ln();
        self.weight.is_finite() && self.weight >= 0.0 && self.logs.abs() <= longest
    }

    /// Returns the logarithm of the factor; `centre` is the mean of all endpoints of the service.
    pub fn log_speed(&self, centre: f64) -> f64 {
        let log = (self.logs - self.weight * centre) / (self.weight + PRIOR_WEIGHT);
        let log = if log.abs() < MIN_DIFFERENCE { 0.0 } else { log };
        log.clamp(MIN_SPEED.ln(), MAX_SPEED.ln())
    }
}

/// Returns the mean logarithm over all samples of the endpoints of a service; 0 without samples. An endpoint that is
/// used little has little influence on it: with equal weights, the old samples of the others would make an endpoint
/// that is used much look faster than it is while the figures still improve, so that it alone would be used.
pub fn centre(endpoints: impl Iterator<Item = SpeedSums>) -> f64 {
    let (weight, logs) = endpoints.fold((0.0, 0.0), |(weight, logs), sums| {
        (weight + sums.weight, logs + sums.logs)
    });
    if weight > 0.0 { logs / weight } else { 0.0 }
}
