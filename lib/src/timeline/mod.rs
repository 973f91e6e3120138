//! The timeline of one request, collected from the logs of several hosts.
//!
//! Shows what happened to a request, and why. The steps of a request are the lines that name it, and the lines of the
//! calls that contained its pieces. Observations are changes that the same hosts logged during that time, such as a
//! lost peer or an endpoint excluded for a time. The clocks of hosts may differ: lines of one host keep their order,
//! and the hosts are merged by the times in their lines.
//!
//! Depends only on the names of events and fields in the logs, so that it reads logs of any version of the daemon.

mod host_log;

pub use host_log::HostLog;

use {
    host_log::{LogEntry, ParsedLog},
    std::{collections::BTreeSet, fmt, ops::RangeInclusive},
};

/// How long before a request's first step observations are included, in milliseconds.
const OBSERVED_BEFORE_MS: u64 = 2_000;

/// Prefixes of the names of events that are observations.
const OBSERVATION_PREFIXES: &[&str] = &[
    "daemon.",
    "directory.",
    "endpoint.",
    "link.",
    "log.",
    "pause.",
    "peer.",
    "settings.",
    "table.",
];

/// Field that contains the name of an endpoint.
const ENDPOINT_FIELD: &str = "endpoint";

/// The steps of one request, with observations, in order of time.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestTimeline {
    /// Steps and observations in order of time; empty if no log names the request.
    pub lines: Vec<TimelineLine>,
}

/// One line of a timeline.
#[derive(Debug, Clone, PartialEq)]
pub struct TimelineLine {
    /// Host that logged the line.
    pub host: String,
    /// Time of day on that host, in milliseconds since 1970.
    pub at_ms: u64,
    /// Name of the event.
    pub event: String,
    /// Relation of the line to the request.
    pub kind: LineKind,
    /// Other fields of the line, sorted by name.
    pub fields: Vec<LogField>,
}

/// Relation of a line to the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LineKind {
    /// The line is a step of the request.
    Step,
    /// The line is a change that the host logged during the request, which may explain later steps.
    Observation,
}

/// A field of a line, as text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogField {
    /// Name of the field.
    pub name: String,
    /// Value as text; strings have no quotes.
    pub value: String,
}

impl fmt::Display for TimelineLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = match self.kind {
            LineKind::Step => " ",
            LineKind::Observation => "~",
        };
        write!(f, "{} {mark} {:<14} {}", self.at_ms, self.host, self.event)?;
        for field in &self.fields {
            write!(f, " {}={}", field.name, field.value)?;
        }
        Ok(())
    }
}

/// A log entry selected for the timeline.
struct ChosenEntry<'l> {
    host: &'l str,
    entry: &'l LogEntry,
    kind: LineKind,
}

impl RequestTimeline {
    /// Collects the timeline of a request.
    pub fn from_logs(request: &str, logs: &[HostLog]) -> Self {
        let logs: Vec<_> = logs.iter().map(ParsedLog::parse).collect();
        let mut chosen = steps(request, &logs);
        chosen.extend(observations(&chosen, &logs));
        // The sort is stable, so lines of one host with the same time keep their order.
        chosen.sort_by_key(|line| line.entry.order_ms);
        Self {
            lines: chosen.iter().map(TimelineLine::from).collect(),
        }
    }
}

/// Event of an answer that ended before it was whole.
const EARLY_END: &str = "request.broken_off";

impl TimelineLine {
    /// Returns the value of a field; `-` if the line lacks it.
    fn value(&self, name: &str) -> &str {
        let field = self.fields.iter().find(|field| field.name == name);
        field.map_or("-", |field| &field.value)
    }

    /// Explains who ended the answer, if the line is about one that ended before it was whole.
    pub fn explain_early_end(&self) -> Option<String> {
        if self.event != EARLY_END {
            return None;
        }
        let value = |name| self.value(name);
        Some(format!(
            "{} ended the answer after event {}, {} ms before its deadline, by {} ({}); not resumed: {}, left out: {}. \
             {} ({}) had sent nothing for {} ms, of which this host stalled {} ms. Attempts: {}. Table: {}.",
            self.host,
            value("last_event"),
            value("left_ms"),
            value("by"),
            value("why"),
            value("hindrance"),
            value("left_out"),
            value("endpoint"),
            value("endpoint_state"),
            value("silent_ms"),
            value("stalled_ms"),
            value("sent"),
            value("version"),
        ))
    }
}

impl From<&ChosenEntry<'_>> for TimelineLine {
    fn from(chosen: &ChosenEntry<'_>) -> Self {
        Self {
            host: chosen.host.to_owned(),
            at_ms: chosen.entry.at_ms,
            event: chosen.entry.event.clone(),
            kind: chosen.kind,
            fields: chosen.entry.fields().collect(),
        }
    }
}

/// Returns the entries that name the request, and those of the calls that contained its pieces.
fn steps<'l>(request: &str, logs: &'l [ParsedLog<'_>]) -> Vec<ChosenEntry<'l>> {
    let mut steps = Vec::new();
    for log in logs {
        let calls = request_calls(request, log);
        let is_step =
            |entry: &&LogEntry| entry.names_request(request) || entry.is_about_call(&calls);
        steps.extend(log.entries.iter().filter(is_step).map(|entry| ChosenEntry {
            host: log.host,
            entry,
            kind: LineKind::Step,
        }));
    }
    steps
}

/// Returns the names of the calls in which one host sent the request's pieces. Names of calls are unique only within a
/// host.
fn request_calls<'l>(request: &str, log: &'l ParsedLog<'_>) -> BTreeSet<&'l str> {
    let naming = log
        .entries
        .iter()
        .filter(|entry| entry.names_request(request));
    naming.filter_map(LogEntry::call).collect()
}

/// Returns the observations of the hosts that logged `steps`, from [`OBSERVED_BEFORE_MS`] before the first step to the
/// last.
fn observations<'l>(steps: &[ChosenEntry<'l>], logs: &'l [ParsedLog<'_>]) -> Vec<ChosenEntry<'l>> {
    let Some(time_range) = time_range(steps) else {
        return Vec::new();
    };
    let hosts: BTreeSet<&str> = steps.iter().map(|step| step.host).collect();
    let endpoints: BTreeSet<String> = steps
        .iter()
        .filter_map(|step| step.entry.text(ENDPOINT_FIELD))
        .collect();
    let mut observations = Vec::new();
    for log in logs.iter().filter(|log| hosts.contains(log.host)) {
        let meanwhile = log
            .entries
            .iter()
            .filter(|e| time_range.contains(&e.order_ms));
        let noticed = meanwhile.filter(|entry| is_observation(entry, &endpoints));
        observations.extend(noticed.map(|entry| ChosenEntry {
            host: log.host,
            entry,
            kind: LineKind::Observation,
        }));
    }
    observations
}

/// Returns whether an entry is an observation. One about an endpoint counts only if a step names the endpoint too.
fn is_observation(entry: &LogEntry, endpoints: &BTreeSet<String>) -> bool {
    let about = entry.string(ENDPOINT_FIELD);
    OBSERVATION_PREFIXES
        .iter()
        .any(|prefix| entry.event.starts_with(prefix))
        && about.is_none_or(|endpoint| endpoints.contains(endpoint))
}

/// Returns the range of times from which observations are included; `None` without steps.
fn time_range(steps: &[ChosenEntry<'_>]) -> Option<RangeInclusive<u64>> {
    let first = steps.iter().map(|step| step.entry.order_ms).min()?;
    let last = steps.iter().map(|step| step.entry.order_ms).max()?;
    Some(first.saturating_sub(OBSERVED_BEFORE_MS)..=last)
}
