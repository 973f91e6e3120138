//! Metrics about streams that callers take up.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Who knew where a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OriginSource {
    /// A daemon remembered it.
    Daemon,
    /// What engines keep proved it.
    Engine,
}

/// Label set of streams that are taken up; `origin` tells whether, and from whom, it is known where the stream began.
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
    pub(crate) fn count_taken_up(&self, source: Option<OriginSource>) {
        let origin = match source {
            Some(OriginSource::Daemon) => "known",
            Some(OriginSource::Engine) => "proven",
            None => "unknown",
        };
        self.taken_up.get_or_create(&OriginLabels { origin }).inc();
    }
}
