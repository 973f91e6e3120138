//! Metrics about connections that other daemons relay.

use prometheus_client::{
    metrics::{counter::Counter, gauge::Gauge},
    registry::Registry,
};

/// Metrics about relayed connections.
#[derive(Debug, Default)]
pub(crate) struct RelayMetrics {
    used: Counter,
    endpoints: Gauge,
    running: Gauge,
    refused: Counter,
}

impl RelayMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "connects_relayed",
            "Connections to endpoints that another daemon relayed for this one",
            self.used.clone(),
        );
        registry.register(
            "endpoints_relayed",
            "Endpoints that this daemon reaches only through another one",
            self.endpoints.clone(),
        );
        registry.register(
            "relays",
            "Connections that this daemon relays for others",
            self.running.clone(),
        );
        registry.register(
            "relays_refused",
            "Connections that this daemon didn't relay for another one",
            self.refused.clone(),
        );
    }

    /// Counts a connection that another daemon relays.
    pub(crate) fn count_used(&self) {
        self.used.inc();
    }

    /// Sets the number of endpoints that are reached through another daemon.
    pub(crate) fn set_endpoints(&self, endpoints: usize) {
        self.endpoints.set(endpoints as i64);
    }

    /// Sets the number of connections that this daemon relays.
    pub(crate) fn set_running(&self, relays: usize) {
        self.running.set(relays as i64);
    }

    /// Counts a connection that this daemon didn't relay.
    pub(crate) fn count_refused(&self) {
        self.refused.inc();
    }
}
