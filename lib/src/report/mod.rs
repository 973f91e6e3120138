//! What became of the requests in the logs of forwarding daemons, summed up.
//!
//! It answers where requests were refused or failed, when, and by which decision: by route, by data centre,
//! by second, and by service of stages. [`ReportReader`] takes the lines of one host after the other; memory
//! grows with the requests in flight, routes and seconds, not with the length of the logs.
//!
//! It owns the sums, and relies on the names of events and fields only, and on nothing else of this library.
//! The logs don't say when the first event of a stream came, so that late answers aren't told apart.

mod log_line;
mod reader;
mod spread;

pub use {reader::ReportReader, spread::Spread};

use {serde::Serialize, std::collections::BTreeMap};

/// Sums over the logs of one or more hosts.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LogReport {
    /// Lines that were read.
    pub lines: LineCounts,
    /// Requests by the name of their route.
    pub routes: BTreeMap<String, RouteReport>,
    /// Requests by the data centre of the host that took them; `-` where the log doesn't name it.
    pub centres: BTreeMap<String, RequestCounts>,
    /// Requests by the second in which they came, from the first line's second on.
    pub seconds: BTreeMap<u64, RequestCounts>,
    /// Problems by what they say of the request.
    pub problems: Vec<ReportedProblem>,
    /// Calls by the service of their stage.
    pub services: BTreeMap<String, CallCounts>,
}

/// Lines of logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct LineCounts {
    /// Lines with an event.
    pub events: u64,
    /// Lines that begin like an event and can't be read; they are left out.
    pub damaged: u64,
    /// Lines of other programs; they are left out.
    pub others: u64,
    /// Lines that the daemons dropped because nobody read their logs, as they report at their end.
    pub dropped: u64,
}

/// What became of requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RequestCounts {
    /// They came, and their route was found.
    pub accepted: u64,
    /// Their stages were begun.
    pub admitted: u64,
    /// They were answered by an endpoint, whole.
    pub answered: u64,
    /// They ended with a problem, and have not run.
    pub refused: u64,
    /// They ended with a problem after they may have run, or broke off.
    pub failed: u64,
    /// Their callers left.
    pub left: u64,
    /// Retries that were allowed, and resumed streams.
    pub retries: u64,
}

/// Requests of one route.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RouteReport {
    /// Time within which an answer is worth most, in milliseconds; nothing for a route without stages.
    pub objective_ms: Option<u64>,
    /// What became of them.
    pub counts: RequestCounts,
    /// Times that admitted ones were expected to take, in milliseconds.
    pub expected_ms: Spread,
    /// Times that the stages of admitted ones took until the first attempt, in milliseconds.
    pub staged_ms: Spread,
    /// Times until the end of their answers, in milliseconds.
    pub answered_ms: Spread,
}

/// Requests that ended with the same problem.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct ReportedProblem {
    /// Route; `-` where it wasn't found.
    pub route: String,
    /// Code of the problem.
    pub code: String,
    /// What is promised of the request.
    pub outcome: String,
    /// Number of requests.
    pub count: u64,
    /// Detail of the first one, which has the inputs of the decision.
    pub example: String,
}

/// Calls of pieces of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct CallCounts {
    /// Calls that were sent.
    pub calls: u64,
    /// Pieces in them.
    pub pieces: u64,
    /// Pieces in them that had been sent before.
    pub repeated: u64,
    /// Sum of the pieces that waited when calls were planned.
    pub waiting: u64,
    /// Pieces that brought a result.
    pub made: u64,
    /// Pieces for whose results there was no room.
    pub no_room: u64,
    /// Pieces whose inputs were gone.
    pub input_gone: u64,
    /// Sum of the times that ended calls took, in milliseconds.
    pub took_ms: f64,
    /// Sum of the times that they should have taken, in milliseconds.
    pub expected_ms: f64,
}
