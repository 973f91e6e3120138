//! Counters of endpoints that ended, and of the requests that are refused for it.

use {
    crate::gateway::serving::labels::KindLabels,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
};

/// Values of the label `kind` of connections that didn't come up.
const REFUSED: &str = "refused";
const SILENT: &str = "silent";

/// Values of the label `kind` of what endpoints say of the service that they will give.
const LEAVING: &str = "leaving";
const RESTING: &str = "resting";

/// Counters of endpoints that ended.
#[derive(Debug, Default)]
pub(crate) struct EndpointMetrics {
    ended: Counter,
    connects_failed: Family<KindLabels, Counter>,
    quarantined: Gauge,
    limited: Gauge,
    notices: Family<KindLabels, Counter>,
}

impl EndpointMetrics {
    /// Adds the counters to a registry.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "endpoints_ended",
            "Attempts that broke off because their endpoint ended",
            self.ended.clone(),
        );
        registry.register(
            "connects_failed",
            "Requests for which no connection to an endpoint came up",
            self.connects_failed.clone(),
        );
        registry.register(
            "quarantined",
            "Requests that are refused because endpoints ended under them",
            self.quarantined.clone(),
        );
        registry.register(
            "endpoints_limited",
            "Endpoints that name the rate that they take",
            self.limited.clone(),
        );
        registry.register(
            "endpoint_notices",
            "Endpoints that said in a reply that they leave, or began a rest",
            self.notices.clone(),
        );
    }

    /// Counts an attempt that broke off because its endpoint ended.
    pub(crate) fn ended(&self) {
        self.ended.inc();
    }

    /// Counts a connection to an endpoint that didn't come up; `refused` if the endpoint refused it.
    pub(crate) fn connect_failed(&self, refused: bool) {
        self.connect_counter(refused).inc();
    }

    /// Returns how many connections endpoints refused.
    pub(crate) fn refused_connects(&self) -> u64 {
        self.connect_counter(true).get()
    }

    /// Records how many requests are refused because endpoints ended under them.
    pub(crate) fn quarantined(&self, requests: usize) {
        self.quarantined.set(requests as i64);
    }

    /// Records how many endpoints name the rate that they take.
    pub(crate) fn limited(&self, endpoints: usize) {
        self.limited.set(endpoints as i64);
    }

    /// Counts an endpoint that said that it leaves.
    pub(crate) fn leaving(&self) {
        self.notices
            .get_or_create(&KindLabels { kind: LEAVING })
            .inc();
    }

    /// Counts an endpoint that asked for rest.
    pub(crate) fn resting(&self) {
        self.notices
            .get_or_create(&KindLabels { kind: RESTING })
            .inc();
    }

    fn connect_counter(&self, refused: bool) -> Counter {
        let kind = if refused { REFUSED } else { SILENT };
        let counter = self.connects_failed.get_or_create(&KindLabels { kind });
        counter.clone()
    }
}
