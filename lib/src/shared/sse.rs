//! Server-sent events: a bounded reader for the streams of engines, a writer for the streams to callers.
//!
//! Handles the framing of events only, not their data.

use {
    bytes::{Bytes, BytesMut},
    serde::Serialize,
    thiserror::Error,
};

/// Longest event accepted from an engine, in bytes.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Start of an event's data field, on the event's first line and on a later line.
const DATA_FIELD: &[u8] = b"data:";
const LATER_DATA_FIELD: &[u8] = b"\ndata:";

/// Reports that an event is longer than the reader accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a server-sent event exceeds {MAX_EVENT_BYTES} bytes")]
pub struct EventTooLong;

/// Splits a stream of bytes into the data of its events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Appends the next bytes of the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if an incomplete event is longer than the reader accepts.
    pub fn feed(&mut self, chunk: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(chunk);
        let unfinished =
            self.buffer.len() > MAX_EVENT_BYTES && find_event_end(&self.buffer).is_none();
        if unfinished {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the data of the next complete event, if one has arrived. Skips events without data.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            let end = find_event_end(&self.buffer)?;
            let event = self.buffer.split_to(end + EVENT_END.len()).freeze();
            if let Some(start) = data_start(&event) {
                return Some(event.slice(start..end));
            }
        }
    }
}

/// Returns the offset of an event's data, which other fields may precede; `None` if the event has no data.
fn data_start(event: &[u8]) -> Option<usize> {
    let start = if event.starts_with(DATA_FIELD) {
        DATA_FIELD.len()
    } else {
        let line = event
            .windows(LATER_DATA_FIELD.len())
            .position(|bytes| bytes == LATER_DATA_FIELD)?;
        line + LATER_DATA_FIELD.len()
    };
    let space = usize::from(event.get(start) == Some(&b' '));
    Some(start + space)
}

/// Returns the offset of the blank line that ends the first event; `None` if the event is incomplete.
fn find_event_end(buffer: &[u8]) -> Option<usize> {
    buffer
        .windows(EVENT_END.len())
        .position(|bytes| bytes == EVENT_END)
}

/// Writes one event with a name and JSON data.
pub fn write_event(name: &str, data: &impl Serialize) -> Bytes {
    // Serialising fails only for maps whose keys aren't strings, and no event has such a map.
    let json = serde_json::to_string(data).unwrap_or_else(|_| "null".into());
    Bytes::from(format!("event: {name}\ndata: {json}\n\n"))
}
