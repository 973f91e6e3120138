//! Types for calls, each of which sends a batch of pieces to one endpoint of a stage service.
//!
//! Makes no decisions: `call_scheduling` builds calls, `call_runner` sends them, and `batch_results` applies their
//! outcomes.

use {
    crate::{
        gateway::{
            directory::endpoint_entry::{EndpointEntry, EndpointIncarnation},
            rules::call_timing::CallCost,
            stages::job::{JobId, PieceEnd, PieceTask},
            table::BatchLimits,
        },
        shared::units::{ByteSize, Time, WorkMillis},
    },
    std::{fmt, sync::Arc},
};

impl BatchLimits {
    /// Returns the time that a call takes: a fixed time and a time per piece.
    pub fn call_cost(&self) -> CallCost {
        CallCost {
            fixed: WorkMillis(self.call_ms),
            piece: WorkMillis(self.piece_ms),
        }
    }
}

/// Identifies a call within the queue of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A call to be sent to an endpoint.
#[derive(Debug, Clone)]
pub struct BatchCall {
    /// Id of the call.
    pub id: CallId,
    /// Entry of the endpoint that gets the call.
    pub entry: Arc<EndpointEntry>,
    /// Pieces to run, in the order in which the endpoint reports their results.
    pub pieces: Vec<PieceTask>,
    /// Time that the call is expected to take.
    pub expected: WorkMillis,
    /// Number of pieces of the service that were waiting when the call was scheduled, those of the call included.
    pub waiting: usize,
    /// Number of pieces in the call that were sent before.
    pub retries: usize,
    /// Number of pieces that the call would have had, if it was kept short for its most urgent job.
    pub shortened: Option<usize>,
}

/// Outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The endpoint reported an outcome for each piece.
    Answered(Vec<PieceEnd>),
    /// The endpoint refused the call; no piece ran.
    Refused,
    /// No connection to the endpoint came up; no piece ran.
    Unconnected,
    /// Another endpoint uses the address now, or the endpoint is draining; no piece ran.
    Replaced,
    /// There was no valid answer; the pieces may have run.
    Broken,
    /// The endpoint's process terminated during the call; the pieces may have run.
    Ended,
}

impl CallEnd {
    /// Returns the name of the outcome in the log event `pieces.ended`.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused => "refused",
            Self::Unconnected => "unconnected",
            Self::Replaced => "replaced",
            Self::Broken => "broken",
            Self::Ended => "ended",
        }
    }
}

/// Identifies a piece of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PieceRef {
    pub(crate) job: JobId,
    /// Index of the piece within the job.
    pub(crate) piece: usize,
}

/// A piece that was sent in a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SentPiece {
    pub(crate) piece: PieceRef,
    /// Usual size of the piece's result.
    pub(crate) result: ByteSize,
}

/// A call that was sent and whose outcome is not known yet.
#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) endpoint: EndpointIncarnation,
    pub(crate) sent: Time,
    pub(crate) expected: WorkMillis,
    pub(crate) pieces: Vec<SentPiece>,
    /// Result capacity of the endpoint that is reserved for the results of the call.
    pub(crate) reserved: ByteSize,
    /// Set if the pieces were queued again because the call took too long.
    pub(crate) overdue: bool,
}
