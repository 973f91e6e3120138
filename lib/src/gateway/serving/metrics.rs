//! Counters and latency histograms of a forwarding daemon.
//!
//! Dashboards use the names of metrics and the values of labels (see `docs/OPERATIONS.md`), so these stay as they are
//! even if the code uses another word. For example, retries are `repeats` there.

use {
    crate::{
        gateway::{
            rules::retry::RetryReason,
            serving::{
                admission_metrics::AdmissionMetrics, endpoint_metrics::EndpointMetrics,
                engine_metrics::EngineMetrics, labels::KindLabels, origin_metrics::OriginMetrics,
                processor_metrics::ProcessorMetrics, relay_metrics::RelayMetrics,
                reservation_metrics::ReservationMetrics,
            },
            table::Version,
        },
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
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::Registry,
    },
    std::{cell::RefCell, collections::BTreeMap, fmt, time::Duration},
};

/// Label set of completed requests; `end` is how the request ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndLabels {
    end: &'static str,
}

/// Label set of answers that ended before they were whole.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EarlyLabels {
    by: &'static str,
    hindrance: &'static str,
}

/// All reasons for retries.
const RETRY_REASONS: [RetryReason; 3] = [
    RetryReason::NotRun,
    RetryReason::Failed,
    RetryReason::Resume,
];

/// Returns the value of the label `kind` of retries.
fn retry_label(reason: RetryReason) -> &'static str {
    match reason {
        RetryReason::NotRun => "not_run",
        RetryReason::Failed => "failed",
        RetryReason::Resume => "resume",
    }
}

/// Values of the label `end` other than problem codes: answered by an endpoint, left by the caller, answer interrupted.
const ANSWERED: &str = "answered";
const CALLER_LEFT: &str = "caller_left";
const BROKEN_OFF: &str = "broken_off";

/// Values of the label `kind` of pieces: sent for the first time, and sent again.
const FIRST_SEND: &str = "first";
const RETRIED: &str = "repeated";

/// Source that bytes of a table were received from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TableSource {
    /// The directory.
    Directory,
    /// Another daemon.
    Peer,
}

impl TableSource {
    /// Returns the value of the label `kind` of received table bytes.
    fn label(self) -> &'static str {
        match self {
            Self::Directory => "directory",
            Self::Peer => "peer",
        }
    }
}

/// Metrics of a forwarding daemon.
pub struct GatewayMetrics {
    registry: Registry,
    ends: Family<EndLabels, Counter>,
    early_ends: Family<EarlyLabels, Counter>,
    retries: Family<KindLabels, Counter>,
    tables_refused: Counter,
    table_version: Gauge,
    table_bytes: Family<KindLabels, Counter>,
    failed_fetches: Counter,
    directory_failures: Counter,
    entries_refused: Counter,
    tasks_ended: Counter,
    evacuations: Gauge,
    remote_stages: Counter,
    /// Metrics about the admission of requests.
    pub(crate) admission: AdmissionMetrics,
    /// Metrics about endpoints.
    pub(crate) endpoints: EndpointMetrics,
    /// Metrics about relayed connections.
    pub(crate) relays: RelayMetrics,
    /// Metrics about engines of tight services.
    pub(crate) engines: EngineMetrics,
    /// Metrics about reservations.
    pub(crate) reservations: ReservationMetrics,
    /// Metrics about streams that callers take up.
    pub(crate) origins: OriginMetrics,
    /// Metrics about the processor.
    pub(crate) processor: ProcessorMetrics,
    pieces: Family<KindLabels, Counter>,
    calls: Counter,
    calls_shortened: Counter,
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

/// Buckets of the latency histograms: 13 upper bounds from 5 ms to 20.48 s, each twice the previous one.
const FIRST_BUCKET_S: f64 = 0.005;
const BUCKET_FACTOR: f64 = 2.0;
const BUCKET_COUNT: u16 = 13;

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        FIRST_BUCKET_S,
        BUCKET_FACTOR,
        BUCKET_COUNT,
    ))
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("hazelyoke"),
            ends: Family::default(),
            early_ends: Family::default(),
            retries: Family::default(),
            tables_refused: Counter::default(),
            table_version: Gauge::default(),
            table_bytes: Family::default(),
            failed_fetches: Counter::default(),
            directory_failures: Counter::default(),
            entries_refused: Counter::default(),
            tasks_ended: Counter::default(),
            evacuations: Gauge::default(),
            remote_stages: Counter::default(),
            admission: AdmissionMetrics::default(),
            endpoints: EndpointMetrics::default(),
            relays: RelayMetrics::default(),
            engines: EngineMetrics::default(),
            reservations: ReservationMetrics::default(),
            origins: OriginMetrics::default(),
            processor: ProcessorMetrics::default(),
            pieces: Family::default(),
            calls: Counter::default(),
            calls_shortened: Counter::default(),
            attempts: Counter::default(),
            problems: RefCell::default(),
            duration: latency_histogram(),
            first_event: latency_histogram(),
            stage: latency_histogram(),
        };
        metrics.register_all()
    }
}

impl GatewayMetrics {
    fn register_all(mut self) -> Self {
        let registry = &mut self.registry;
        registry.register("requests", "Ends of requests", self.ends.clone());
        registry.register(
            "early_ends",
            "Answers that ended before they were whole, by who ended them and by what kept the stream from being resumed",
            self.early_ends.clone(),
        );
        registry.register("repeats", "Repeated sends", self.retries.clone());
        registry.register(
            "tables_refused",
            "Tables refused",
            self.tables_refused.clone(),
        );
        registry.register(
            "table_version",
            "Version of the table in force",
            self.table_version.clone(),
        );
        registry.register(
            "table_bytes",
            "Bytes of tables received, as they were sent",
            self.table_bytes.clone(),
        );
        registry.register(
            "table_fetch_failures",
            "Fetches of tables from other daemons that failed",
            self.failed_fetches.clone(),
        );
        registry.register(
            "directory_failures",
            "Failed reads of the directory",
            self.directory_failures.clone(),
        );
        registry.register(
            "entries_refused",
            "Entries of endpoints that can't be read",
            self.entries_refused.clone(),
        );
        registry.register(
            "tasks_ended",
            "Tasks of the daemon that ended unexpectedly",
            self.tasks_ended.clone(),
        );
        registry.register(
            "evacuations",
            "Data centres that are evacuated",
            self.evacuations.clone(),
        );
        registry.register(
            "requests_elsewhere",
            "Requests whose stages run in another region",
            self.remote_stages.clone(),
        );
        self.admission.register(registry);
        self.endpoints.register(registry);
        self.relays.register(registry);
        self.engines.register(registry);
        self.reservations.register(registry);
        self.origins.register(registry);
        self.processor.register(registry);
        registry.register("pieces", "Pieces sent to endpoints", self.pieces.clone());
        registry.register("calls", "Calls of pieces", self.calls.clone());
        registry.register(
            "calls_shortened",
            "Calls of pieces kept short for their most urgent job",
            self.calls_shortened.clone(),
        );
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

    /// Counts an answer that came from an endpoint, and observes the time until its end.
    pub fn count_answered(&self, took: Duration) {
        self.count_end(ANSWERED);
        self.duration.observe(took.as_secs_f64());
    }

    /// Counts a request whose caller left before the answer.
    pub fn count_caller_left(&self) {
        self.count_end(CALLER_LEFT);
    }

    /// Counts an answer that was interrupted before its end, by who interrupted it and what kept it from being resumed.
    pub(crate) fn count_interrupted(&self, by: &'static str, hindrance: &'static str) {
        self.count_end(BROKEN_OFF);
        let labels = EarlyLabels { by, hindrance };
        self.early_ends.get_or_create(&labels).inc();
    }

    /// Counts a problem that was sent to a caller as the answer.
    pub fn count_problem(&self, code: Code, outcome: Outcome) {
        self.count_end(code.as_str());
        *self
            .problems
            .borrow_mut()
            .entry((code, outcome))
            .or_default() += 1;
    }

    /// Counts a request that is sent to an endpoint.
    pub fn count_attempt(&self) {
        self.attempts.inc();
    }

    /// Returns the number of answers that came from endpoints.
    pub fn answers(&self) -> u64 {
        self.ends.get_or_create(&EndLabels { end: ANSWERED }).get()
    }

    /// Returns the number of requests that were sent to endpoints.
    pub fn attempts(&self) -> u64 {
        self.attempts.get()
    }

    /// Returns the number of retries.
    pub fn retries(&self) -> u64 {
        let count = |reason: RetryReason| self.retry_counter(reason).get();
        RETRY_REASONS.into_iter().map(count).sum()
    }

    /// Returns the number of problems sent to callers, by code and outcome.
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

    /// Observes the time until the head of an answer arrived.
    pub fn observe_head(&self, took: Duration) {
        self.first_event.observe(took.as_secs_f64());
    }

    /// Observes the duration of one stage of a request.
    pub fn observe_stage(&self, took: Duration) {
        self.stage.observe(took.as_secs_f64());
    }

    /// Counts a call and its pieces: those sent for the first time, and those sent again.
    pub fn count_call(&self, first_sends: usize, retried: usize) {
        self.calls.inc();
        let kind = |kind| self.pieces.get_or_create(&KindLabels { kind }).clone();
        kind(FIRST_SEND).inc_by(first_sends as u64);
        kind(RETRIED).inc_by(retried as u64);
    }

    /// Counts a call of pieces that was kept short for its most urgent job.
    pub fn count_shortened(&self) {
        self.calls_shortened.inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retry_counter(reason).inc();
    }

    fn retry_counter(&self, reason: RetryReason) -> Counter {
        let kind = retry_label(reason);
        self.retries.get_or_create(&KindLabels { kind }).clone()
    }

    /// Counts a table that was refused.
    pub fn count_refused_table(&self) {
        self.tables_refused.inc();
    }

    /// Sets the version of the table in force.
    pub fn set_table_version(&self, version: Version) {
        self.table_version.set(version as i64);
    }

    /// Counts received bytes of a table.
    pub fn count_table_bytes(&self, source: TableSource, bytes: usize) {
        self.table_counter(source).inc_by(bytes as u64);
    }

    /// Returns the number of table bytes that were received from a source.
    pub fn received_table_bytes(&self, source: TableSource) -> u64 {
        self.table_counter(source).get()
    }

    fn table_counter(&self, source: TableSource) -> Counter {
        let kind = source.label();
        self.table_bytes.get_or_create(&KindLabels { kind }).clone()
    }

    /// Counts a failed fetch of a table from another daemon.
    pub fn count_failed_fetch(&self) {
        self.failed_fetches.inc();
    }

    /// Counts a failed read of the directory.
    pub fn count_failed_read(&self) {
        self.directory_failures.inc();
    }

    /// Counts an endpoint's entry that was refused because it is invalid.
    pub fn count_refused_entry(&self) {
        self.entries_refused.inc();
    }

    /// Counts a task of the daemon that ended unexpectedly.
    pub fn count_ended_task(&self) {
        self.tasks_ended.inc();
    }

    /// Sets the number of evacuated data centres.
    pub fn set_evacuated(&self, data_centres: usize) {
        self.evacuations.set(data_centres as i64);
    }

    /// Counts a request whose stages run in another region.
    pub fn count_remote_stages(&self) {
        self.remote_stages.inc();
    }

    /// Returns the number of connections that endpoints refused.
    pub fn refused_connects(&self) -> u64 {
        self.endpoints.refused_connects()
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn text(&self) -> String {
        let mut text = String::new();
        encode(&mut text, &self.registry).expect("writing into a string doesn't fail");
        text
    }
}
