//! The log of one host: a JSON object a line, with an `event`, a time of day in `at_ms`, and fields.

use {
    super::LogField,
    serde_json::{Map, Value},
    std::collections::BTreeSet,
};

/// Log of one host.
#[derive(Debug, Clone)]
pub struct HostLog {
    /// Name to show.
    pub host: String,
    /// Its text; everything before the object of a line is ignored.
    pub text: String,
}

/// A log whose lines are parsed.
pub(super) struct ParsedLog<'l> {
    pub(super) host: &'l str,
    pub(super) entries: Vec<LogEntry>,
}

/// One line of a log.
pub(super) struct LogEntry {
    /// Time of day on the host, in milliseconds since 1970.
    pub(super) at_ms: u64,
    /// Latest time in the log up to this line, so that a clock that steps back changes no order.
    pub(super) order: u64,
    pub(super) event: String,
    fields: Map<String, Value>,
}

impl<'l> ParsedLog<'l> {
    /// Parses a log; lines without event or time are skipped, because logs hold lines of other
    /// programs as well.
    pub(super) fn parse(log: &'l HostLog) -> Self {
        let mut entries: Vec<_> = log.text.lines().filter_map(LogEntry::parse).collect();
        let mut latest = 0;
        for entry in &mut entries {
            latest = entry.at_ms.max(latest);
            entry.order = latest;
        }
        Self {
            host: &log.host,
            entries,
        }
    }
}

impl LogEntry {
    fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let Value::Object(mut fields) = serde_json::from_str(line[start..].trim()).ok()? else {
            return None;
        };
        let at_ms = fields.remove("at_ms")?.as_u64()?;
        let event = fields.remove("event")?.as_str()?.to_owned();
        fields.remove("level");
        Some(Self {
            at_ms,
            order: at_ms,
            event,
            fields,
        })
    }

    /// Returns a field that is a string.
    pub(super) fn string(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns any field as text.
    pub(super) fn text(&self, name: &str) -> Option<String> {
        self.fields.get(name).map(value_text)
    }

    /// Returns the name of the call that the line is about.
    pub(super) fn call(&self) -> Option<&str> {
        self.string("call")
    }

    /// Returns whether the line names the request, alone or in the list of a call's requests.
    pub(super) fn names(&self, request: &str) -> bool {
        let quoted = format!("\"{request}\"");
        let listed = self.string("requests").is_some_and(|l| l.contains(&quoted));
        listed || self.string("request") == Some(request)
    }

    /// Returns whether the line is about one of the calls.
    pub(super) fn is_of_call(&self, calls: &BTreeSet<&str>) -> bool {
        self.call().is_some_and(|call| calls.contains(call))
    }

    /// Returns all fields in the order of their names.
    pub(super) fn fields(&self) -> impl Iterator<Item = LogField> {
        self.fields.iter().map(|(name, value)| LogField {
            name: name.clone(),
            value: value_text(value),
        })
    }
}

fn value_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
