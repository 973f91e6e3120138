//! Splits a stream of server-sent events into complete events, and records the id of the last one.
//!
//! An interrupted stream can be resumed after its last complete event, so only complete events are passed on; the bytes
//! of an incomplete event are buffered. Ids must increase within a stream.

use bytes::{Bytes, BytesMut};

/// Maximum number of bytes that are buffered for an incomplete event. This is far more than any event of a generation.
const MAX_EVENT_SIZE: usize = 256 * 1024;

/// Splits a stream into complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
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
    /// Returns nothing more after an event that is too long or whose id doesn't increase; see [`Self::is_broken`].
    pub fn feed(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while !self.broken {
            let Some(length) = event_length(&self.buffer[end..]) else {
                break;
            };
            if !self.record_id(end, length) {
                self.broken = true;
                break;
            }
            end += length;
        }
        if self.buffer.len() - end > MAX_EVENT_SIZE {
            self.broken = true;
        }
        self.buffer.split_to(end).freeze()
    }

    /// Records the id of the event at `start`. Returns false if it isn't greater than the previous one.
    fn record_id(&mut self, start: usize, length: usize) -> bool {
        let Some(id) = event_id(&self.buffer[start..start + length]) else {
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

    /// Returns whether bytes of an incomplete event are buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the length of the first event in bytes, including the blank line that ends it; `None` if it is incomplete.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (i, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..i];
        if line.is_empty() || line == b"\r" {
            return Some(i + 1);
        }
        line_start = i + 1;
    }
    None
}

/// Returns the number in the `id` field of an event, if it has one.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
