//! The daemon's metrics, in the OpenMetrics text format.
//!
//! `docs/OPERATIONS.md` lists their names and labels. Most values are taken from a snapshot at the time of the read;
//! [`Metrics`] holds those that a snapshot doesn't have.

use {
    crate::pipeline::node::Snapshot,
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::{Registry, Unit},
    },
    std::{
        sync::atomic::{AtomicU64, Ordering},
        time::Duration,
    },
};

/// Media type of the text format.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Upper bound of the first bucket of request times, in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.002;

/// Ratio of each bucket's upper bound to the previous one.
const BUCKET_FACTOR: f64 = 2.0;

/// Number of buckets with an upper bound, the last of which is 16.384 s.
const BUCKET_COUNT: u16 = 14;

/// Milliseconds in a second, the base unit of times in OpenMetrics.
const MILLIS_PER_SECOND: f64 = 1_000.0;

type FloatCounter = Counter<f64, AtomicU64>;

/// Metrics that a snapshot doesn't contain.
#[derive(Debug)]
pub struct Metrics {
    request_seconds: Histogram,
    refused_trees: AtomicU64,
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets = exponential_buckets(FIRST_BUCKET_SECONDS, BUCKET_FACTOR, BUCKET_COUNT);
        Self {
            request_seconds: Histogram::new(buckets),
            refused_trees: AtomicU64::new(0),
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: String,
    code: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StageLabels {
    pipeline: String,
    stage: String,
    result: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

impl Metrics {
    /// Records the time from a request's head to its answer or the start of its stream.
    pub fn observe_request(&self, took: Duration) {
        self.request_seconds.observe(took.as_secs_f64());
    }

    /// Counts a settings tree that was refused.
    pub fn count_refused_tree(&self) {
        self.refused_trees.fetch_add(1, Ordering::Relaxed);
    }

    /// Returns all metrics as text. Labels are names of pipelines, stages and services of the settings tree, never of
    /// customers, so the number of series is bounded.
    pub fn encode(&self, snapshot: &Snapshot, dropped_spans: u64) -> String {
        let mut registry = Registry::with_prefix("hazelyoke");
        registry.register_with_unit(
            "request",
            "Time from a request's head to its answer or the start of its stream",
            Unit::Seconds,
            self.request_seconds.clone(),
        );
        self.register_counts(&mut registry, snapshot, dropped_spans);
        register_requests(&mut registry, snapshot);
        register_costs(&mut registry, snapshot);
        register_endpoints(&mut registry, snapshot);
        let mut text = String::new();
        // Writing to a String can't fail.
        let _ = encode(&mut text, &registry);
        text
    }

    fn register_counts(&self, registry: &mut Registry, snapshot: &Snapshot, dropped: u64) {
        let counters = &snapshot.counters;
        let refused = self.refused_trees.load(Ordering::Relaxed);
        let counts = [
            ("attempts", "First attempts at a stage", counters.attempts),
            (
                "extra_attempts",
                "Retries, hedges and resumes",
                counters.extra,
            ),
            ("ejections", "Endpoints ejected", counters.ejections),
            ("trees_refused", "Settings trees refused", refused),
            (
                "spans_dropped",
                "Spans dropped for lack of room or a collector",
                dropped,
            ),
        ];
        for (name, help, value) in counts {
            let counter = <Counter>::default();
            counter.inc_by(value);
            registry.register(name, help, counter);
        }
        let gauges = [
            (
                "requests_in_flight",
                "Requests without a final answer",
                snapshot.in_flight as i64,
            ),
            (
                "tree_version",
                "Version of the settings tree in force",
                snapshot.tree.version.0 as i64,
            ),
        ];
        for (name, help, value) in gauges {
            let gauge = <Gauge>::default();
            gauge.set(value);
            registry.register(name, help, gauge);
        }
    }
}

fn register_requests(registry: &mut Registry, snapshot: &Snapshot) {
    let requests = Family::<OutcomeLabels, Counter>::default();
    let add = |outcome: &str, code: &str, count: u64| {
        let labels = OutcomeLabels {
            outcome: outcome.to_owned(),
            code: code.to_owned(),
        };
        requests.get_or_create(&labels).inc_by(count);
    };
    add("answered", "in_time", snapshot.counters.answered);
    add("answered", "late", snapshot.counters.late);
    for ((code, outcome), count) in &snapshot.counters.problems {
        add(outcome.as_str(), code.as_str(), *count);
    }
    registry.register("requests", "Requests ended, by outcome", requests);
}

fn register_costs(registry: &mut Registry, snapshot: &Snapshot) {
    let costs = Family::<StageLabels, FloatCounter>::default();
    for view in &snapshot.stage_costs {
        let cost = &view.cost;
        for (result, spent) in [("useful", cost.useful), ("wasted", cost.wasted)] {
            let labels = StageLabels {
                pipeline: view.pipeline.to_string(),
                stage: view.stage.to_string(),
                result: result.to_owned(),
            };
            costs
                .get_or_create(&labels)
                .inc_by(spent.0 / MILLIS_PER_SECOND);
        }
    }
    let help = "Endpoint time spent, by pipeline and stage";
    registry.register_with_unit("stage_cost", help, Unit::Seconds, costs);
}

fn register_endpoints(registry: &mut Registry, snapshot: &Snapshot) {
    let open = Family::<ServiceLabels, Gauge>::default();
    for view in &snapshot.endpoints {
        let labels = ServiceLabels {
            service: view.service.clone(),
        };
        open.get_or_create(&labels).inc_by(i64::from(view.open));
    }
    registry.register("endpoints_open", "Endpoints that may get new work", open);
}
