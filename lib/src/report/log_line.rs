//! A line of a daemon's log, with the fields that a report needs.

use {serde::Deserialize, std::borrow::Cow};

/// Start of a line's JSON object. Text before it is a prefix that log collectors added.
const OBJECT_START: char = '{';

/// The fields of a line. Which of them are present depends on the event.
#[derive(Debug, Deserialize)]
pub(super) struct LogLine<'l> {
    pub(super) at_ms: u64,
    #[serde(borrow)]
    pub(super) event: Cow<'l, str>,
    #[serde(borrow)]
    pub(super) request: Option<Cow<'l, str>>,
    #[serde(borrow)]
    pub(super) route: Option<Cow<'l, str>>,
    #[serde(borrow)]
    pub(super) service: Option<Cow<'l, str>>,
    #[serde(borrow)]
    pub(super) data_centre: Option<Cow<'l, str>>,
    #[serde(borrow)]
    pub(super) code: Option<Cow<'l, str>>,
    #[serde(borrow)]
    pub(super) outcome: Option<Cow<'l, str>>,
    #[serde(borrow)]
    pub(super) detail: Option<Cow<'l, str>>,
    pub(super) allowed: Option<bool>,
    pub(super) expected_ms: Option<f64>,
    pub(super) objective_ms: Option<u64>,
    pub(super) took_ms: Option<f64>,
    pub(super) pieces: Option<PieceField>,
    pub(super) repeated: Option<u64>,
    pub(super) waiting: Option<u64>,
    pub(super) made: Option<u64>,
    pub(super) no_room: Option<u64>,
    pub(super) input_gone: Option<u64>,
    /// Number of dropped lines, in the event `log.dropped`.
    pub(super) lines: Option<u64>,
}

/// The field `pieces`: the number of pieces in a call, or a text with the number of each stage of a request.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum PieceField {
    Number(u64),
    #[expect(dead_code, reason = "only told apart from a number")]
    Text(String),
}

/// A line of a log.
pub(super) enum Line<'l> {
    /// The line has an event.
    Event(Box<LogLine<'l>>),
    /// The line contains the start of a JSON object, but can't be parsed as an event.
    Damaged,
    /// The line contains no JSON object, so another program wrote it.
    Other,
}

impl<'l> Line<'l> {
    pub(super) fn parse(text: &'l str) -> Self {
        let Some(start) = text.find(OBJECT_START) else {
            return Self::Other;
        };
        match serde_json::from_str(text[start..].trim_end()) {
            Ok(line) => Self::Event(Box::new(line)),
            Err(_) => Self::Damaged,
        }
    }
}
