//! What daemons tell each other of an endpoint that names a rate.
//!
//! Values only, arrays without names on the wire; `lib/tests/test_message_bytes.rs` pins the bytes. Daemons share no
//! clock, so that a time is an age when the note was sent.

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

/// Thousandths of a request a second in one, as rates are written.
const MILLI: f64 = 1e3;

/// Millionths of a request in one, as tokens are written.
const MICRO: f64 = 1e6;

/// What a daemon knows of an endpoint, and its part in what the endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "RateFields", from = "RateFields")]
pub struct RateNote {
    /// The endpoint.
    pub endpoint: IncarnationHash,
    /// The rate that it names, in thousandths of a request a second; nothing if it names none any more.
    pub rate_milli: Option<u32>,
    /// How long ago it said so, in milliseconds.
    pub age_ms: u32,
    /// Share of the rate that the sender hands on, in millionths of a request.
    pub share_micro: u32,
    /// The sender's wish for a permit.
    pub claim: Option<Claim>,
}

/// A note as it is written: endpoint, rate, age, share, claim.
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
    /// Returns the rate that the endpoint names.
    pub fn rate(&self) -> Option<Rate> {
        self.rate_milli.map(|milli| Rate(f64::from(milli) / MILLI))
    }

    /// Returns how long ago the endpoint said so.
    pub fn age(&self) -> Millis {
        Millis(u64::from(self.age_ms))
    }

    /// Returns the share that the sender hands on.
    pub fn share(&self) -> Tokens {
        Tokens(f64::from(self.share_micro) / MICRO)
    }

    /// Returns whether the sender takes part in what the endpoint takes, and doesn't only tell of it.
    pub fn is_report(&self) -> bool {
        self.share_micro > 0 || self.claim.is_some()
    }
}

/// Writes a rate, rounded down.
pub(crate) fn rate_to_wire(rate: Rate) -> u32 {
    (rate.0 * MILLI) as u32
}

/// Returns a rate as others learn it, so that what they tell of it is no change.
pub(crate) fn as_told(rate: Rate) -> Rate {
    Rate(f64::from(rate_to_wire(rate)) / MILLI)
}

/// Writes tokens, rounded down.
pub(crate) fn tokens_to_wire(tokens: Tokens) -> u32 {
    (tokens.0 * MICRO) as u32
}

/// The answer of a coordinator to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    into = "(IncarnationHash, u32, u32)",
    from = "(IncarnationHash, u32, u32)"
)]
pub struct PermitNote {
    /// The endpoint.
    pub endpoint: IncarnationHash,
    /// Requests that the receiver may send there.
    pub permits: u32,
    /// Time after which it may expect more, in milliseconds.
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
