//! Counters and latency histograms of a forwarding daemon.

use {
    crate::{
        gateway::rules::retry::RetryReason,
        shared::{
            problem::{Code, Outcome},
            status::ProblemCount,
        },
    },
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{
            counter::Counter,
            family::Family,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::{cell::RefCell, collections::BTreeMap, fmt, time::Duration},
};

/// Labels of a request's end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    end: &'static str,
}

/// Labels of something that is counted by its kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabels {
    kind: &'static str,
}

/// What a daemon counts.
pub struct GatewayMetrics {
    registry: Registry,
    ends: Family<EndLabels, Counter>,
    retries: Family<KindLabels, Counter>,
    tables_refused: Counter,
    directory_failures: Counter,
    pieces: Family<KindLabels, Counter>,
    calls: Counter,
    attempts: Counter,
    problems: RefCell<BTreeMap<(Code, Outcome), u64>>,
    duration: Histogram,
    first_event: Histogram,
    stage: Histogram,
}

impl fmt::Debug for GatewayMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayMetrics").finish_non_exhaustive()
    }
}

fn latency() -> Histogram {
    Histogram::new(exponential_buckets(0.005, 2.0, 13))
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("hazelyoke"),
            ends: Family::default(),
            retries: Family::default(),
            tables_refused: Counter::default(),
            directory_failures: Counter::default(),
            pieces: Family::default(),
            calls: Counter::default(),
            attempts: Counter::default(),
            problems: RefCell::default(),
            duration: latency(),
            first_event: latency(),
            stage: latency(),
        };
        metrics.registered()
    }
}

impl GatewayMetrics {
    fn registered(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register("requests", "Ends of requests", self.ends.clone());
        registry.register("repeats", "Repeated sends", self.retries.clone());
        registry.register(
            "tables_refused",
            "Tables refused",
            self.tables_refused.clone(),
        );
        registry.register(
            "directory_failures",
            "Failed reads of the directory",
            self.directory_failures.clone(),
        );
        registry.register("pieces", "Pieces sent to endpoints", self.pieces.clone());
        registry.register("calls", "Calls of pieces", self.calls.clone());
        registry.register(
            "attempts",
            "Requests sent to endpoints",
            self.attempts.clone(),
        );
        registry.register(
            "request_seconds",
            "Time to the end of an answer",
            self.duration.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time to the head of an answer",
            self.first_event.clone(),
        );
        registry.register(
            "stage_seconds",
            "Time of one stage of a request",
            self.stage.clone(),
        );
        self
    }

    /// Counts an answer that came from an endpoint.
    pub fn answered(&self, took: Duration) {
        self.count_end("answered");
        self.duration.observe(took.as_secs_f64());
    }

    /// Counts a caller that left before its answer.
    pub fn caller_left(&self) {
        self.count_end("caller_left");
    }

    /// Counts an answer broken off midway.
    pub fn broken_off(&self) {
        self.count_end("broken_off");
    }

    /// Counts a problem told to a caller.
    pub fn problem(&self, code: Code, outcome: Outcome) {
        self.count_end(code.as_str());
        *self
            .problems
            .borrow_mut()
            .entry((code, outcome))
            .or_default() += 1;
    }

    /// Counts an attempt that is sent.
    pub fn attempt(&self) {
        self.attempts.inc();
    }

    /// Returns the number of answers that came from endpoints.
    pub fn answers(&self) -> u64 {
        let end = "answered";
        self.ends.get_or_create(&EndLabels { end }).get()
    }

    /// Returns the number of attempts.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Returns the number of retries.
    pub fn retries(&self) -> u64 {
        let kinds = ["not_run", "failed", "resume"];
        let count = |kind| self.retries.get_or_create(&KindLabels { kind }).get();
        kinds.into_iter().map(count).sum()
    }

    /// Returns the problems told to callers.
    pub fn problems(&self) -> Vec<ProblemCount> {
        let problems = self.problems.borrow();
        let count = |((code, outcome), count): (&(Code, Outcome), &u64)| ProblemCount {
            code: code.to_string(),
            outcome: outcome.to_string(),
            count: *count,
        };
        problems.iter().map(count).collect()
    }

    fn count_end(&self, end: &'static str) {
        self.ends.get_or_create(&EndLabels { end }).inc();
    }

    /// Notes the time to the head of an answer.
    pub fn head(&self, took: Duration) {
        self.first_event.observe(took.as_secs_f64());
    }

    /// Notes the time of one stage.
    pub fn stage(&self, took: Duration) {
        self.stage.observe(took.as_secs_f64());
    }

    /// Counts a call of pieces.
    pub fn call(&self, firsts: usize, repeated: usize) {
        self.calls.inc();
        let kind = |kind| self.pieces.get_or_create(&KindLabels { kind }).clone();
        kind("first").inc_by(firsts as u64);
        kind("repeated").inc_by(repeated as u64);
    }

    /// Counts a retry.
    pub fn retry(&self, reason: RetryReason) {
        let kind = match reason {
            RetryReason::NotRun => "not_run",
            RetryReason::Failed => "failed",
            RetryReason::Resume => "resume",
        };
        self.retries.get_or_create(&KindLabels { kind }).inc();
    }

    /// Counts a table that was refused.
    pub fn table_refused(&self) {
        self.tables_refused.inc();
    }

    /// Counts a failed read of the directory.
    pub fn directory_failed(&self) {
        self.directory_failures.inc();
    }

    /// Writes everything in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing into a string doesn't fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
