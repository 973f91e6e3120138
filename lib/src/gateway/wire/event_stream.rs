//! Passes a stream of events on in whole events, and knows which one came last.

use bytes::{Bytes, BytesMut};

/// Longest event that is held back until it is whole, in bytes.
const LONGEST_EVENT: usize = 256 * 1024;

/// Splits a stream into whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    last: Option<u64>,
    broken: bool,
}

impl EventSplitter {
    /// Starts after an event that was delivered before.
    pub fn after(last: Option<u64>) -> Self {
        Self {
            last,
            ..Self::default()
        }
    }

    /// Takes in the next bytes and returns the whole events that they complete, as they came.
    ///
    /// An event that doesn't follow the one before ends the stream's use: see [`Self::is_broken`].
    pub fn feed(&mut self, bytes: &[u8]) -> Bytes {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while !self.broken {
            let Some(length) = event_length(&self.buffer[end..]) else {
                break;
            };
            if !self.take_id(end, length) {
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

    /// Notes the id of the event at `start`; returns whether it follows the one before.
    fn take_id(&mut self, start: usize, length: usize) -> bool {
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

    /// Returns whether the stream has an event out of order or too long.
    pub fn is_broken(&self) -> bool {
        self.broken
    }

    /// Returns whether bytes of an unfinished event are held.
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
