//! Metrics about endpoints: failed connections, terminated endpoints, quarantined requests, rate limits, signals.

use {
    crate::gateway::serving::labels::KindLabels,
    prometheus_client::{
        metrics::{counter::Counter, family::Family, gauge::Gauge},
        registry::Registry,
    },
};

/// Values of the label `kind` of failed connections: refused by the endpoint's host, or failed in any other way.
const REFUSED: &str = "refused";
const SILENT: &str = "silent";

/// Values of the label `kind` of endpoint signals: the endpoint is leaving, or asked for a cooldown.
const LEAVING: &str = "leaving";
const COOLDOWN: &str = "resting";

/// Metrics about endpoints.
#[derive(Debug, Default)]
pub(crate) struct EndpointMetrics {
    terminated: Counter,
    connects_failed: Family<KindLabels, Counter>,
    quarantined: Gauge,
    limited: Gauge,
    lent: Gauge,
    borrowed: Gauge,
    isolated: Gauge,
    signals: Family<KindLabels, Counter>,
}

impl EndpointMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "endpoints_ended",
            "Attempts that broke off because their endpoint ended",
            self.terminated.clone(),
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
            "connections_lent",
            "Connections of endpoints that this daemon lends to others",
            self.lent.clone(),
        );
        registry.register(
            "connections_borrowed",
            "Connections of endpoints that other daemons lend to this one",
            self.borrowed.clone(),
        );
        registry.register(
            "isolated",
            "1 while this host reaches no endpoint itself",
            self.isolated.clone(),
        );
        registry.register(
            "endpoint_notices",
            "Endpoints that said in a reply that they leave, or began a rest",
            self.signals.clone(),
        );
    }

    /// Counts an attempt that failed because its endpoint terminated.
    pub(crate) fn count_terminated(&self) {
        self.terminated.inc();
    }

    /// Counts a failed connection to an endpoint; `refused` is set if the connection was refused.
    pub(crate) fn count_failed_connect(&self, refused: bool) {
        self.connect_counter(refused).inc();
    }

    /// Returns the number of refused connections.
    pub(crate) fn refused_connects(&self) -> u64 {
        self.connect_counter(true).get()
    }

    /// Sets the number of quarantined requests, which are refused because endpoints terminated while running them.
    pub(crate) fn set_quarantined(&self, requests: usize) {
        self.quarantined.set(requests as i64);
    }

    /// Sets the numbers of connections of endpoints that this daemon lent to others and borrowed from them.
    pub(crate) fn set_loans(&self, lent: u32, borrowed: u32) {
        self.lent.set(i64::from(lent));
        self.borrowed.set(i64::from(borrowed));
    }

    /// Sets the number of endpoints that advertise a rate limit.
    pub(crate) fn set_limited(&self, endpoints: usize) {
        self.limited.set(endpoints as i64);
    }

    /// Sets whether this host is isolated from the endpoints.
    pub(crate) fn set_isolated(&self, isolated: bool) {
        self.isolated.set(isolated.into());
    }

    /// Counts an endpoint that signalled that it is leaving.
    pub(crate) fn count_leaving(&self) {
        self.signals
            .get_or_create(&KindLabels { kind: LEAVING })
            .inc();
    }

    /// Counts an endpoint that asked for a cooldown.
    pub(crate) fn count_cooldown(&self) {
        self.signals
            .get_or_create(&KindLabels { kind: COOLDOWN })
            .inc();
    }

    fn connect_counter(&self, refused: bool) -> Counter {
        let kind = if refused { REFUSED } else { SILENT };
        let counter = self.connects_failed.get_or_create(&KindLabels { kind });
        counter.clone()
    }
}
