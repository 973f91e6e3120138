//! The log of one host: one JSON object per line, with an `event`, a time of day in `at_ms`, and other fields.

use {
    super::LogField,
    serde_json::{Map, Value},
    std::collections::BTreeSet,
};

/// The log of one host, as text.
#[derive(Debug, Clone)]
pub struct HostLog {
    /// Name of the host, as the timeline shows it.
    pub host: String,
    /// Text of the log. In each line, everything before the JSON object is ignored.
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
    /// Latest time in the log up to this line. Sorting by it keeps the order of lines if the clock steps back.
    pub(super) order_ms: u64,
    pub(super) event: String,
    fields: Map<String, Value>,
}

impl<'l> ParsedLog<'l> {
    /// Parses a log. Lines without an event or a time are skipped, because logs also contain lines of other programs.
    pub(super) fn parse(log: &'l HostLog) -> Self {
        let mut entries: Vec<_> = log.text.lines().filter_map(LogEntry::parse).collect();
        let mut latest = 0;
        for entry in &mut entries {
            latest = entry.at_ms.max(latest);
            entry.order_ms = latest;
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
            order_ms: at_ms,
            event,
            fields,
        })
    }

    /// Returns the value of a field that is a string.
    pub(super) fn string(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// Returns the value of a field as text, whatever its type.
    pub(super) fn text(&self, name: &str) -> Option<String> {
        self.fields.get(name).map(value_text)
    }

    /// Returns the name of the line's call, if it has one.
    pub(super) fn call(&self) -> Option<&str> {
        self.string("call")
    }

    /// Returns whether the line names the request, in the field `request` or in a call's list `requests`.
    pub(super) fn names_request(&self, request: &str) -> bool {
        let quoted = format!("\"{request}\"");
        let listed = self.string("requests").is_some_and(|l| l.contains(&quoted));
        listed || self.string("request") == Some(request)
    }

    /// Returns whether the line is about one of `calls`.
    pub(super) fn is_about_call(&self, calls: &BTreeSet<&str>) -> bool {
        self.call().is_some_and(|call| calls.contains(call))
    }

    /// Returns all other fields, sorted by name.
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
