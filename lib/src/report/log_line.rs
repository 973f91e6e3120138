//! One line of a daemon's log, as far as a report needs it.

use {serde::Deserialize, std::borrow::Cow};

/// Start of the object of a line; what stands before it was added on the way.
const OBJECT: char = '{';

/// The fields of a line; each event has some of them.
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
    /// Of `log.dropped`.
    pub(super) lines: Option<u64>,
}

/// The field `pieces`: the number in a call, or the numbers of a request's stages as text.
#[derive(Debug, Deserialize)]
#[serde(untagged)]
pub(super) enum PieceField {
    Number(u64),
    #[expect(dead_code, reason = "only told apart from a number")]
    Text(String),
}

/// A line of a log.
pub(super) enum Line<'l> {
    /// An event.
    Event(Box<LogLine<'l>>),
    /// It begins like an event and can't be read.
    Damaged,
    /// It is of another program.
    Other,
}

impl<'l> Line<'l> {
    pub(super) fn parse(text: &'l str) -> Self {
        let Some(start) = text.find(OBJECT) else {
            return Self::Other;
        };
        match serde_json::from_str(text[start..].trim_end()) {
            Ok(line) => Self::Event(Box::new(line)),
            Err(_) => Self::Damaged,
        }
    }
}
