//! Entries of messages between daemons about reservations.
//!
//! Entries are serialized as arrays without field names; `lib/tests/test_message_bytes.rs` checks the bytes. Daemons
//! have no common clock, so each time is sent as a span from the moment of sending.

use {
    crate::{
        gateway::{request_digest::RequestDigest, request_memory::queries::Answer},
        shared::units::Millis,
    },
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// A new reservation, sent by its maker to a holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(RequestDigest, u32)", from = "(RequestDigest, u32)")]
pub struct ReservationNote {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Time until the reservation is due, in milliseconds.
    pub due_ms: u32,
}

impl From<ReservationNote> for (RequestDigest, u32) {
    fn from(note: ReservationNote) -> Self {
        (note.digest, note.due_ms)
    }
}

impl From<(RequestDigest, u32)> for ReservationNote {
    fn from((digest, due_ms): (RequestDigest, u32)) -> Self {
        Self { digest, due_ms }
    }
}

/// What a holder says about a claim. A later one in this list decides if holders differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The holder has no reservation of the request.
    Unknown,
    /// The reservation can't be claimed yet.
    Early {
        /// Time until the reservation is due.
        left: Millis,
    },
    /// The reservation was granted before.
    Spent,
    /// The reservation is granted.
    Granted {
        /// Time since the request was refused.
        waited: Millis,
        /// Daemon that made the reservation.
        maker: SocketAddr,
    },
}

impl Answer for Verdict {
    const UNKNOWN: Self = Self::Unknown;

    fn precedence(&self) -> u8 {
        match self {
            Self::Unknown => 0,
            Self::Early { .. } => 1,
            Self::Spent => 2,
            Self::Granted { .. } => 3,
        }
    }

    fn is_final(&self) -> bool {
        matches!(self, Self::Granted { .. })
    }
}

/// A holder's answer to a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "AnswerFields", from = "AnswerFields")]
pub struct AnswerNote {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// What the holder says about the claim.
    pub verdict: Verdict,
}

/// Serialized form of [`AnswerNote`]: digest, precedence of the verdict, its time in milliseconds, maker.
type AnswerFields = (RequestDigest, u8, u32, Option<SocketAddr>);

impl From<AnswerNote> for AnswerFields {
    fn from(note: AnswerNote) -> Self {
        let (time, maker) = match note.verdict {
            Verdict::Unknown | Verdict::Spent => (Millis(0), None),
            Verdict::Early { left } => (left, None),
            Verdict::Granted { waited, maker } => (waited, Some(maker)),
        };
        (note.digest, note.verdict.precedence(), to_wire(time), maker)
    }
}

impl From<AnswerFields> for AnswerNote {
    fn from((digest, kind, time, maker): AnswerFields) -> Self {
        let time = Millis(u64::from(time));
        let verdict = match (kind, maker) {
            (1, _) => Verdict::Early { left: time },
            (2, _) => Verdict::Spent,
            (3, Some(maker)) => Verdict::Granted {
                waited: time,
                maker,
            },
            // A verdict of a later release, or a grant without its maker.
            _ => Verdict::Unknown,
        };
        Self { digest, verdict }
    }
}

/// Returns a time in the form that entries have: whole milliseconds, limited to 32 bits.
pub(crate) fn to_wire(time: Millis) -> u32 {
    u32::try_from(time.0).unwrap_or(u32::MAX)
}

/// The entries for one daemon.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReservationEntries {
    /// New reservations of the sender that the receiver holds.
    pub made: Vec<ReservationNote>,
    /// Digests of requests that the sender would refuse.
    pub claims: Vec<RequestDigest>,
    /// Answers to the receiver's claims.
    pub answers: Vec<AnswerNote>,
    /// Digests of requests whose reservations have ended.
    pub releases: Vec<RequestDigest>,
}
