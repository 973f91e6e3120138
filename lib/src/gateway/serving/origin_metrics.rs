//! Metrics about streams that callers take up.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Label set of streams that are taken up; `origin` tells whether a daemon knew where the stream began.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OriginLabels {
    origin: &'static str,
}

/// Metrics about streams that callers take up.
#[derive(Debug, Default)]
pub(crate) struct OriginMetrics {
    taken_up: Family<OriginLabels, Counter>,
}

impl OriginMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "streams_taken_up",
            "Streams that callers take up, by whether the software version at which they began is known",
            self.taken_up.clone(),
        );
    }

    /// Counts a request that takes a stream up.
    pub(crate) fn count_taken_up(&self, known: bool) {
        let origin = if known { "known" } else { "unknown" };
        self.taken_up.get_or_create(&OriginLabels { origin }).inc();
    }
}
