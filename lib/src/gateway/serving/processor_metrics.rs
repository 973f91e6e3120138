//! Metrics about the daemon's processor.

use {
    crate::gateway::rules::processor_load::RecentLoad,
    prometheus_client::{
        metrics::{counter::Counter, gauge::Gauge},
        registry::Registry,
    },
    std::sync::atomic::AtomicU64,
};

/// A gauge of a number that isn't whole.
type FloatGauge = Gauge<f64, AtomicU64>;

/// Metrics about the daemon's processor.
#[derive(Debug, Default)]
pub(crate) struct ProcessorMetrics {
    usage: FloatGauge,
    delay: FloatGauge,
    closed: Counter,
}

impl ProcessorMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "processor_usage",
            "Share of the processor capacity of this daemon that it used in the last half second",
            self.usage.clone(),
        );
        registry.register(
            "loop_delay_seconds",
            "Longest delay of the event loop in the last half second",
            self.delay.clone(),
        );
        registry.register(
            "connections_shed",
            "New connections of callers that were closed unread since the processor was used up",
            self.closed.clone(),
        );
    }

    /// Counts a new connection that was closed.
    pub(crate) fn count_closed(&self) {
        self.closed.inc();
    }

    /// Sets what was measured last.
    pub(crate) fn set(&self, recent: &RecentLoad) {
        self.usage.set(recent.usage);
        self.delay.set(recent.delay.as_secs_f64());
    }
}
