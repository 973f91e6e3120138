//! Entries of messages between daemons about an endpoint that advertises a rate limit.
//!
//! Entries are serialized as arrays without field names; `lib/tests/test_message_bytes.rs` checks the bytes. Daemons
//! have no common clock, so each time is sent as an age at the moment of sending.

use {
    crate::{
        gateway::{
            hashes::IncarnationHash,
            rules::endpoint_rate::{Claim, Tokens},
        },
        shared::units::{Millis, Rate},
    },
    serde::{Deserialize, Serialize},
};

/// Wire units in one request per second: rates are sent in thousandths.
const RATE_WIRE_SCALE: f64 = 1e3;

/// Wire units in one token, which stands for one request: tokens are sent in millionths.
const TOKEN_WIRE_SCALE: f64 = 1e6;

/// A daemon's entry about the rate limit of an endpoint, with the daemon's share and claim if it goes to the
/// coordinator.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "RateFields", from = "RateFields")]
pub struct RateNote {
    /// Incarnation of the endpoint that the entry is about.
    pub endpoint: IncarnationHash,
    /// Rate limit that the endpoint advertises, in thousandths of a request per second; absent if it advertises none
    /// any more.
    pub rate_milli: Option<u32>,
    /// Age of the reply with this limit, or without any, in milliseconds.
    pub age_ms: u32,
    /// Tokens of the sender's share that it hands to the coordinator, in millionths of a request.
    pub share_micro: u32,
    /// The sender's claim for a permit, if it needs one.
    pub claim: Option<Claim>,
}

/// Serialized form of [`RateNote`]: endpoint, rate, age, share, claim.
type RateFields = (IncarnationHash, Option<u32>, u32, u32, Option<Claim>);

impl From<RateNote> for RateFields {
    fn from(note: RateNote) -> Self {
        (
            note.endpoint,
            note.rate_milli,
            note.age_ms,
            note.share_micro,
            note.claim,
        )
    }
}

impl From<RateFields> for RateNote {
    fn from((endpoint, rate_milli, age_ms, share_micro, claim): RateFields) -> Self {
        Self {
            endpoint,
            rate_milli,
            age_ms,
            share_micro,
            claim,
        }
    }
}

impl RateNote {
    /// Returns the rate limit that the endpoint advertises, if any.
    pub fn rate(&self) -> Option<Rate> {
        self.rate_milli
            .map(|milli| Rate(f64::from(milli) / RATE_WIRE_SCALE))
    }

    /// Returns the age of the reply with this limit, or without any.
    pub fn age(&self) -> Millis {
        Millis(u64::from(self.age_ms))
    }

    /// Returns the tokens that the sender hands to the coordinator.
    pub fn share(&self) -> Tokens {
        Tokens(f64::from(self.share_micro) / TOKEN_WIRE_SCALE)
    }

    /// Returns whether the entry is a report to the coordinator, with tokens or a claim, rather than only an
    /// announcement of the limit.
    pub fn is_report(&self) -> bool {
        self.share_micro > 0 || self.claim.is_some()
    }
}

/// Converts a rate to its wire unit, rounded down.
pub(crate) fn rate_to_wire(rate: Rate) -> u32 {
    (rate.0 * RATE_WIRE_SCALE) as u32
}

/// Returns a rate with the precision of the wire, so that a report of the same rate by another daemon is no change.
pub(crate) fn at_wire_precision(rate: Rate) -> Rate {
    Rate(f64::from(rate_to_wire(rate)) / RATE_WIRE_SCALE)
}

/// Converts tokens to their wire unit, rounded down.
pub(crate) fn tokens_to_wire(tokens: Tokens) -> u32 {
    (tokens.0 * TOKEN_WIRE_SCALE) as u32
}

/// A coordinator's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(IncarnationHash, u32, u32)",
    from = "(IncarnationHash, u32, u32)"
)]
pub struct PermitNote {
    /// Incarnation of the endpoint that the permits are for.
    pub endpoint: IncarnationHash,
    /// Number of requests that the receiver may send to the endpoint.
    pub permits: u32,
    /// Time after which the receiver may expect further permits, in milliseconds.
    pub wait_ms: u32,
}

impl From<PermitNote> for (IncarnationHash, u32, u32) {
    fn from(note: PermitNote) -> Self {
        (note.endpoint, note.permits, note.wait_ms)
    }
}

impl From<(IncarnationHash, u32, u32)> for PermitNote {
    fn from((endpoint, permits, wait_ms): (IncarnationHash, u32, u32)) -> Self {
        Self {
            endpoint,
            permits,
            wait_ms,
        }
    }
}
