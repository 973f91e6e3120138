//! Metrics about the admission of requests.

use {
    crate::gateway::rules::calibration::CorrectionFactor,
    prometheus_client::{
        metrics::histogram::{Histogram, exponential_buckets},
        registry::Registry,
    },
};

/// Buckets of the factors: 11 upper bounds from 0.4 to 4, ten for each power of ten.
const FIRST_FACTOR: f64 = 0.4;
const FACTOR_STEP: f64 = 1.259;
const FACTOR_BUCKETS: u16 = 11;

/// Metrics about the admission of requests.
#[derive(Debug)]
pub(crate) struct AdmissionMetrics {
    factor: Histogram,
}

impl Default for AdmissionMetrics {
    fn default() -> Self {
        let buckets = exponential_buckets(FIRST_FACTOR, FACTOR_STEP, FACTOR_BUCKETS);
        Self {
            factor: Histogram::new(buckets),
        }
    }
}

impl AdmissionMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "admission_factor",
            "Factor for the expected time of a request with a tight route",
            self.factor.clone(),
        );
    }

    /// Observes the factor with which a request was admitted or refused.
    pub(crate) fn observe_factor(&self, factor: CorrectionFactor) {
        self.factor.observe(factor.0);
    }
}
