//! Splits a stream of server-sent events into whole events, and keeps the id of the last one.
//!
//! A stream that breaks off can be resumed after its last whole event, so only whole events are passed
//! on. It owns the bytes of the unfinished event, and relies on ids that rise within a stream.

use bytes::{Bytes, BytesMut};

/// Longest event that is buffered until it is whole, in bytes: far above any event of a generation.
const LONGEST_EVENT: usize = 256 * 1024;

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last: Option<u64>,
    broken: bool,
}

impl EventSplitter {
    /// Starts after the event with the id `last`, which the reader already has.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Appends the next bytes and returns the events that they complete, byte for byte.
    ///
    /// After an event whose id doesn't rise, nothing more is returned: see [`Self::is_broken`].
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
        if self.buffer.len() - end > LONGEST_EVENT {
            self.broken = true;
        }
        self.buffer.split_to(end).freeze()
    }

    /// Records the id of the event at `start`; returns false if it doesn't rise.
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

    /// Returns the id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether an event was out of order or too long, so that the stream can't be used any more.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Returns whether bytes of an unfinished event are buffered.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Returns the length of the first event, its closing blank line included.
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

/// Returns the number in an event's `id` field.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .find_map(|value| std::str::from_utf8(value).ok()?.trim().parse().ok())
}
