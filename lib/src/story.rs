//! Gathers from logs of several hosts what happened to one request, and why.
//!
//! A line is a JSON object with an `event`, a time of day in `at_ms`, and fields. Lines that name
//! the request belong to its story, and so do the calls that carried its pieces; what a host came
//! to believe meanwhile is told beside it. Hosts' clocks may differ: lines of one host keep their
//! order, and hosts are merged by time as they tell it.

use {
    serde_json::{Map, Value},
    std::{collections::BTreeSet, fmt, ops::RangeInclusive},
};

/// Time before the first line of a request in which beliefs are told, in milliseconds.
const BEFORE_MS: u64 = 2_000;

/// Beginnings of the names of events that tell a belief.
const BELIEFS: &[&str] = &[
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

/// Field that names an endpoint.
const ENDPOINT: &str = "endpoint";

/// Logs of one host.
#[derive(Debug, Clone)]
pub struct HostLog {
    /// Name to show.
    pub host: String,
    /// Its text; whatever stands before the object of a line is passed over.
    pub text: String,
}

/// One line of a story.
#[derive(Debug, Clone, PartialEq)]
pub struct StoryLine {
    /// Host that wrote it.
    pub host: String,
    /// Time of day on that host, in milliseconds.
    pub at_ms: u64,
    /// Name of the event.
    pub event: String,
    /// Whether it is a belief of the host rather than a step of the request.
    pub belief: bool,
    /// The other fields, in the order of their names.
    pub fields: Vec<(String, String)>,
}

impl fmt::Display for StoryLine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mark = if self.belief { "~" } else { " " };
        write!(f, "{} {mark} {:<14} {}", self.at_ms, self.host, self.event)?;
        for (name, value) in &self.fields {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

#[derive(Debug)]
struct LogEntry {
    at_ms: u64,
    /// Latest time that the host told up to here, so that a clock that steps back changes no order.
    order: u64,
    event: String,
    fields: Map<String, Value>,
}

/// Tells the story of a request, in order; empty if no log names it.
pub fn story(request: &str, logs: &[HostLog]) -> Vec<StoryLine> {
    let parsed: Vec<(&str, Vec<LogEntry>)> = logs
        .iter()
        .map(|log| (log.host.as_str(), parse_all(&log.text)))
        .collect();
    let mut lines = Vec::new();
    let mut hosts = BTreeSet::new();
    for (host, entries) in &parsed {
        let calls = calls_of(request, entries);
        for entry in entries {
            if concerns(request, &calls, entry) {
                hosts.insert(*host);
                lines.push((entry.order, line(host, entry, false)));
            }
        }
    }
    if let Some(span) = span(&lines) {
        let endpoints = endpoints_of(&lines);
        for (host, entries) in &parsed {
            let told = entries.iter().filter(|entry| span.contains(&entry.order));
            let beliefs = told.filter(|entry| hosts.contains(host) && is_belief(entry, &endpoints));
            lines.extend(beliefs.map(|entry| (entry.order, line(host, entry, true))));
        }
    }
    // The sort is stable, so that lines of one host and moment keep their order.
    lines.sort_by_key(|(order, _)| *order);
    lines.into_iter().map(|(_, line)| line).collect()
}

fn parse_all(text: &str) -> Vec<LogEntry> {
    let mut latest = 0;
    let mut entries: Vec<LogEntry> = text.lines().filter_map(parse).collect();
    for entry in &mut entries {
        latest = entry.at_ms.max(latest);
        entry.order = latest;
    }
    entries
}

fn parse(line: &str) -> Option<LogEntry> {
    let start = line.find('{')?;
    let Value::Object(mut fields) = serde_json::from_str(line[start..].trim()).ok()? else {
        return None;
    };
    let at_ms = fields.remove("at_ms")?.as_u64()?;
    let event = fields.remove("event")?.as_str()?.to_owned();
    fields.remove("level");
    Some(LogEntry {
        at_ms,
        order: at_ms,
        event,
        fields,
    })
}

/// Returns the names of the calls that carried a request's pieces.
fn calls_of(request: &str, entries: &[LogEntry]) -> BTreeSet<String> {
    entries
        .iter()
        .filter(|entry| names(entry, request))
        .filter_map(|entry| Some(entry.fields.get("call")?.as_str()?.to_owned()))
        .collect()
}

fn names(entry: &LogEntry, request: &str) -> bool {
    let is_it = |name: &str| entry.fields.get(name).and_then(Value::as_str);
    let listed = is_it("requests").is_some_and(|list| list.contains(&format!("\"{request}\"")));
    is_it("request") == Some(request) || listed
}

fn concerns(request: &str, calls: &BTreeSet<String>, entry: &LogEntry) -> bool {
    let call = entry.fields.get("call").and_then(Value::as_str);
    names(entry, request) || call.is_some_and(|call| calls.contains(call))
}

/// Returns whether a line tells a belief that may matter: of endpoints, only those of the story.
fn is_belief(entry: &LogEntry, endpoints: &BTreeSet<String>) -> bool {
    let endpoint = entry.fields.get(ENDPOINT).and_then(Value::as_str);
    BELIEFS.iter().any(|begin| entry.event.starts_with(begin))
        && endpoint.is_none_or(|endpoint| endpoints.contains(endpoint))
}

fn endpoints_of(lines: &[(u64, StoryLine)]) -> BTreeSet<String> {
    lines
        .iter()
        .flat_map(|(_, line)| &line.fields)
        .filter(|(name, _)| name == ENDPOINT)
        .map(|(_, endpoint)| endpoint.clone())
        .collect()
}

fn span(lines: &[(u64, StoryLine)]) -> Option<RangeInclusive<u64>> {
    let first = lines.iter().map(|(order, _)| *order).min()?;
    let last = lines.iter().map(|(order, _)| *order).max()?;
    Some(first.saturating_sub(BEFORE_MS)..=last)
}

fn line(host: &str, entry: &LogEntry, belief: bool) -> StoryLine {
    let text = |value: &Value| match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    StoryLine {
        host: host.to_owned(),
        at_ms: entry.at_ms,
        event: entry.event.clone(),
        belief,
        fields: entry
            .fields
            .iter()
            .map(|(name, value)| (name.clone(), text(value)))
            .collect(),
    }
}
