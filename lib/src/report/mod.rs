//! A summary of how requests ended, from the logs of forwarding daemons.
//!
//! Shows where and when requests were refused or failed, and by which decision: per route, per data centre, per second,
//! and per service of stages. [`ReportReader`] takes the lines of one host after the other. Memory use grows with the
//! number of requests in flight, routes and seconds, not with the length of the logs.
//!
//! Depends only on the names of events and fields in the logs. The logs don't contain the time of a stream's first
//! event, so late answers can't be distinguished.

mod histogram;
mod log_line;
mod reader;

pub use {histogram::Histogram, reader::ReportReader};

use {serde::Serialize, std::collections::BTreeMap};

/// Report on the logs of one or more hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LogReport {
    /// Counts of the lines that were read.
    pub lines: LineCounts,
    /// Requests by the name of their route.
    pub routes: BTreeMap<String, RouteReport>,
    /// Requests by the data centre of the host that accepted them; `-` if the log doesn't contain it.
    pub centres: BTreeMap<String, RequestCounts>,
    /// Requests by the second in which they arrived, counted from the second of the first request.
    pub seconds: BTreeMap<u64, RequestCounts>,
    /// Problems, grouped by route, code and outcome.
    pub problems: Vec<ReportedProblem>,
    /// Calls by service.
    pub services: BTreeMap<String, CallCounts>,
}

/// Numbers of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct LineCounts {
    /// Lines with an event.
    pub events: u64,
    /// Lines with the start of a JSON object that can't be parsed as an event; they are skipped.
    pub damaged: u64,
    /// Lines of other programs; they are skipped.
    pub others: u64,
    /// Lines that the daemons dropped because nothing read their logs, as they report when they stop.
    pub dropped: u64,
}

/// Numbers of requests, by what happened to them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RequestCounts {
    /// Requests that arrived and whose route was found.
    pub accepted: u64,
    /// Requests that were admitted, so that their stages started.
    pub admitted: u64,
    /// Requests that an endpoint answered completely.
    pub answered: u64,
    /// Requests that ended with a problem and didn't run.
    pub refused: u64,
    /// Requests that ended with a problem after they may have run, or whose answer was cut off.
    pub failed: u64,
    /// Requests whose callers disconnected before the end of the answer.
    pub left: u64,
    /// Retries that were allowed, and resumed streams.
    pub retries: u64,
}

/// Requests of one route.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RouteReport {
    /// Latency objective: time within which an answer has its highest value, in milliseconds. `None` for a route
    /// without stages.
    pub objective_ms: Option<u64>,
    /// Numbers of the route's requests.
    pub counts: RequestCounts,
    /// Estimated durations of admitted requests, in milliseconds.
    pub expected_ms: Histogram,
    /// Times from the admission of requests to their first attempts, in milliseconds.
    pub staged_ms: Histogram,
    /// Times from the arrival of requests to the end of their answers, in milliseconds.
    pub answered_ms: Histogram,
}

/// Requests of a route that ended with the same code and outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReportedProblem {
    /// Name of the route; `-` if the route wasn't found.
    pub route: String,
    /// Code of the problem.
    pub code: String,
    /// Outcome of the problem, which says whether the request may have run.
    pub outcome: String,
    /// Number of requests.
    pub count: u64,
    /// Detail of the first problem, which contains the inputs of the decision.
    pub example: String,
}

/// Calls of one service, which process pieces of stages.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct CallCounts {
    /// Calls that were sent.
    pub calls: u64,
    /// Pieces in all calls.
    pub pieces: u64,
    /// Pieces that were retries: an earlier call contained them.
    pub repeated: u64,
    /// Sum, over the calls, of the pieces waiting when the call was scheduled.
    pub waiting: u64,
    /// Pieces for which a call returned a result.
    pub made: u64,
    /// Pieces for whose results the endpoint had no capacity.
    pub no_room: u64,
    /// Pieces whose inputs the endpoint no longer had.
    pub input_gone: u64,
    /// Sum of the durations of completed calls, in milliseconds.
    pub took_ms: f64,
    /// Sum of the durations estimated for these calls, in milliseconds.
    pub expected_ms: f64,
}
