//! Metrics about reservations of refused callers.

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{counter::Counter, family::Family},
    registry::Registry,
};

/// Label set of reservations; `end` is how the reservation ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReservationLabels {
    end: &'static str,
}

/// Values of the label `end`: the caller was served, didn't return in time, or returned too early.
const KEPT: &str = "kept";
const MISSED: &str = "missed";
const EARLY: &str = "early";

/// Metrics about reservations.
#[derive(Debug, Default)]
pub(crate) struct ReservationMetrics {
    ends: Family<ReservationLabels, Counter>,
}

impl ReservationMetrics {
    /// Registers the metrics.
    pub(crate) fn register(&self, registry: &mut Registry) {
        registry.register(
            "reservations",
            "Reservations of refused callers",
            self.ends.clone(),
        );
    }

    /// Counts a request that was admitted by its reservation.
    pub(crate) fn count_kept(&self) {
        self.count(KEPT);
    }

    /// Counts a reservation that wasn't claimed in time.
    pub(crate) fn count_missed(&self) {
        self.count(MISSED);
    }

    /// Counts a request that was refused again because it returned before its reservation could be claimed.
    pub(crate) fn count_early(&self) {
        self.count(EARLY);
    }

    fn count(&self, end: &'static str) {
        self.ends.get_or_create(&ReservationLabels { end }).inc();
    }
}
