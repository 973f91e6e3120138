//! Splits a stream of server-sent events into complete events, and records the id of the last one.
//!
//! An interrupted stream can be resumed after its last complete event, so only complete events are passed on; the bytes
//! of an incomplete event are buffered. Ids must increase within a stream.

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes of one event, and of comments and blank lines before one. This is far more than any event of a
/// generation.
const MAX_EVENT_SIZE: usize = 256 * 1024;

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Start of the first line of the buffer that isn't whole.
    line_start: usize,
    /// Number of bytes of the buffer that were searched for the end of a line, so that none is searched twice.
    searched: usize,
    /// Number of bytes without a field since the last event with one.
    blank: usize,
    last: Option<u64>,
    broken: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last`, which the reader already has.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Appends the next bytes of the stream, and returns the events that they complete, unchanged.
    ///
    /// Returns nothing more after an event that is too long or whose id doesn't increase, or after too many bytes without
    /// an event; see [`Self::is_broken`].
    pub fn feed(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while !self.broken {
            let Some(event_end) = self.event_end() else {
                break;
            };
            if !self.record_event(end, event_end) {
                self.broken = true;
                break;
            }
            end = event_end;
        }
        if self.buffer.len() - end > MAX_EVENT_SIZE {
            self.broken = true;
        }
        self.line_start -= end;
        self.searched -= end;
        self.buffer.split_to(end).freeze()
    }

    /// Returns the end of the event that contains the line at `line_start`, and moves on to the line after it; `None` if
    /// the event is incomplete.
    fn event_end(&mut self) -> Option<usize> {
        loop {
            let mut rest = self.buffer[self.searched..].iter();
            let Some(found) = rest.position(|byte| *byte == b'\n') else {
                self.searched = self.buffer.len();
                return None;
            };
            let line_end = self.searched + found;
            let line = &self.buffer[self.line_start..line_end];
            let is_blank = line.is_empty() || line == b"\r";
            self.line_start = line_end + 1;
            self.searched = self.line_start;
            if is_blank {
                return Some(self.line_start);
            }
        }
    }

    /// Records an event. Returns false if its id isn't greater than the previous one, or if it is the last of too many
    /// without a field.
    fn record_event(&mut self, start: usize, end: usize) -> bool {
        let event = &self.buffer[start..end];
        if has_field(event) {
            self.blank = 0;
        } else {
            self.blank += event.len();
        }
        if self.blank > MAX_EVENT_SIZE {
            return false;
        }
        let Some(id) = event_id(event) else {
            return true;
        };
        if self.last.is_some_and(|last| id <= last) {
            return false;
        }
        self.last = Some(id);
        true
    }

    /// Returns the id of the last complete event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether an event was out of order or too long, so that the stream can't be used further.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Returns the number of bytes of an incomplete event that are buffered.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns whether an event has a line that is neither blank nor a comment.
fn has_field(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| !matches!(line, [] | [b'\r'] | [b':', ..]))
}

/// Returns the number in the `id` field of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
