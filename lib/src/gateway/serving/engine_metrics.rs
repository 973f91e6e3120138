//! Metrics about the engines of tight services.

use {
    crate::gateway::serving::labels::KindLabels,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
};

/// Values of the label `kind` of first events: the engine reported requests that wait for a slot, or none.
const WAITING: &str = "waiting";
const FREE: &str = "free";

/// Metrics about the engines of tight services.
#[derive(Debug, Default)]
pub(crate) struct EngineMetrics {
    models: Gauge,
    first_events: Family<KindLabels, Counter>,
}

impl EngineMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "engine_models",
            "Endpoints of which the time to the first event is known",
            self.models.clone(),
        );
        registry.register(
            "engine_first_events",
            "First events from engines, by whether the engine said that requests wait there",
            self.first_events.clone(),
        );
    }

    /// Sets the number of endpoints of which there are samples.
    pub(crate) fn set_models(&self, endpoints: usize) {
        self.models.set(endpoints as i64);
    }

    /// Counts the first event of a reply; `waiting` is the number of waiting requests that the reply reported.
    pub(crate) fn count_first_event(&self, waiting: u32) {
        let kind = if waiting > 0 { WAITING } else { FREE };
        self.first_events.get_or_create(&KindLabels { kind }).inc();
    }
}
