//! Server-sent events: a bounded reader for engines' streams, a writer for callers' streams.

use {
    bytes::{Bytes, BytesMut},
    serde::Serialize,
    thiserror::Error,
};

/// Longest event accepted from an engine, in bytes.
const MAX_EVENT: usize = 64 * 1024;

/// Reports an event longer than is accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an event has more than {MAX_EVENT} bytes")]
pub struct EventTooLong;

/// Splits a stream of bytes into the data of its events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
}

impl EventReader {
    /// Takes in the next bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when an event is longer than is accepted.
    pub fn feed(&mut self, chunk: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.extend_from_slice(chunk);
        let unfinished = self.buffer.len() > MAX_EVENT && find_end(&self.buffer).is_none();
        if unfinished {
            return Err(EventTooLong);
        }
        Ok(())
    }

    /// Returns the data of the next whole event.
    pub fn next_event(&mut self) -> Option<Bytes> {
        loop {
            let end = find_end(&self.buffer)?;
            let event = self.buffer.split_to(end + 2).freeze();
            if let Some(start) = data_start(&event) {
                return Some(event.slice(start..event.len() - 2));
            }
        }
    }
}

/// Returns where the data of an event starts, after the event's other lines.
fn data_start(event: &[u8]) -> Option<usize> {
    const FIELD: &[u8] = b"data:";
    let line = if event.starts_with(FIELD) {
        0
    } else {
        event
            .windows(FIELD.len() + 1)
            .position(|six| six == b"\ndata:")?
            + 1
    };
    let start = line + FIELD.len();
    let space = usize::from(event.get(start) == Some(&b' '));
    Some(start + space)
}

fn find_end(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n")
}

/// Writes one event with a name and JSON data.
pub fn write_event(name: &str, data: &impl Serialize) -> Bytes {
    let json = serde_json::to_string(data).unwrap_or_else(|_| "null".into());
    Bytes::from(format!("event: {name}\ndata: {json}\n\n"))
}
