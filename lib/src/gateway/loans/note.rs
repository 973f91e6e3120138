//! Entries of messages between daemons about connections that they lend each other.
//!
//! Entries are serialized as arrays without field names; `lib/tests/test_message_bytes.rs` checks the bytes.

use {
    crate::gateway::hashes::{IncarnationHash, ServiceHash},
    serde::{Deserialize, Serialize},
};

/// Time of a borrower's clock in milliseconds, modulo 2^32. Only the borrower compares it with its clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Stamp(pub u32);

impl Stamp {
    /// Returns whether this stamp is later than another one of the same clock.
    pub fn is_after(self, other: Self) -> bool {
        let ahead = self.0.wrapping_sub(other.0);
        ahead != 0 && ahead < u32::MAX / 2
    }
}

/// A request for connections of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(ServiceHash, u32)", from = "(ServiceHash, u32)")]
pub struct AskNote {
    /// Service whose endpoints' connections are asked for.
    pub service: ServiceHash,
    /// Number of connections, at all endpoints together.
    pub wanted: u32,
}

impl From<AskNote> for (ServiceHash, u32) {
    fn from(note: AskNote) -> Self {
        (note.service, note.wanted)
    }
}

impl From<(ServiceHash, u32)> for AskNote {
    fn from((service, wanted): (ServiceHash, u32)) -> Self {
        Self { service, wanted }
    }
}

/// Connections of one endpoint that a daemon has lent to another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "(IncarnationHash, u32)", from = "(IncarnationHash, u32)")]
pub struct LoanNote {
    /// Incarnation of the endpoint.
    pub endpoint: IncarnationHash,
    /// Number of connections.
    pub count: u32,
}

impl From<LoanNote> for (IncarnationHash, u32) {
    fn from(note: LoanNote) -> Self {
        (note.endpoint, note.count)
    }
}

impl From<(IncarnationHash, u32)> for LoanNote {
    fn from((endpoint, count): (IncarnationHash, u32)) -> Self {
        Self { endpoint, count }
    }
}

/// All that a borrower says to a lender: what it keeps, and what it asks for.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct BorrowerReport {
    /// Connections that the borrower keeps. What it doesn't name, it has given back.
    pub kept: Vec<LoanNote>,
    /// Services of which the borrower needs more connections.
    pub asks: Vec<AskNote>,
}
