//! Decides how many bytes the bodies of requests and replies may hold in memory.
//!
//! Inputs: the memory of the host in bytes, and the bytes held now. Result: the bounds, and whether a request is accepted.
//!
//! Rule: bodies of accepted requests hold at most `REQUEST_SHARE` of the host's memory, replies and events that are read
//! whole at most `REPLY_SHARE`, and those of one endpoint half of that. A request is refused before its body is read
//! if the body doesn't fit, or if replies hold more than `BUSY_SHARE` of their bytes, since its own reply might not fit
//! when it comes. A reply that doesn't fit breaks off.
//!
//! Reason: a process that exceeds the host's memory is killed, and all its requests are lost. The bound for an endpoint
//! keeps one that sends bodies without end from breaking off the replies of others.
//!
//! Tests: `lib/tests/test_body_memory.rs`.

use crate::shared::units::{ByteSize, Millis, Share};

/// Share of the host's memory that bodies of accepted requests may hold.
const REQUEST_SHARE: Share = Share(0.45);

/// Share of the host's memory that replies may hold.
const REPLY_SHARE: Share = Share(0.2);

/// Share of the bytes for replies that those of one endpoint may hold.
const ENDPOINT_SHARE: Share = Share(0.5);

/// Share of the bytes for replies beyond which requests are refused.
const BUSY_SHARE: Share = Share(0.75);

/// Wait of a refused caller. Most bodies are held for less than that.
pub const MEMORY_WAIT: Millis = Millis(1_000);

/// Bounds of the bytes that bodies may hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyBounds {
    /// Bytes of bodies of accepted requests.
    pub requests: ByteSize,
    /// Bytes of replies.
    pub replies: ByteSize,
    /// Bytes of the replies of one endpoint.
    pub endpoint: ByteSize,
}

impl BodyBounds {
    /// Returns the bounds on a host with `memory`.
    pub fn new(memory: ByteSize) -> Self {
        let replies = part(memory, REPLY_SHARE);
        Self {
            requests: part(memory, REQUEST_SHARE),
            replies,
            endpoint: part(replies, ENDPOINT_SHARE),
        }
    }

    /// Returns whether requests are accepted while replies hold `held` bytes.
    pub fn accepts_requests(&self, held: ByteSize) -> bool {
        held <= part(self.replies, BUSY_SHARE)
    }
}

fn part(size: ByteSize, share: Share) -> ByteSize {
    ByteSize((size.0 as f64 * share.0) as u64)
}
