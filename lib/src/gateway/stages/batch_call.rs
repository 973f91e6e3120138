//! Calls of pieces: as they are sent, while they run, and how they end.
//!
//! Values only. `batch_plan` composes calls, `call_runner` sends them, `batch_results` applies their
//! ends.

use {
    crate::{
        gateway::{
            directory::endpoint_entry::{EndpointEntry, EndpointLife},
            rules::call_timing::CallCost,
            stages::job::{JobId, PieceEnd, PieceTask},
            table::BatchLimits,
        },
        shared::units::{ByteSize, Time, WorkMillis},
    },
    std::{fmt, sync::Arc},
};

impl BatchLimits {
    /// Returns the cost of a call.
    pub fn call_cost(&self) -> CallCost {
        CallCost {
            fixed: WorkMillis(self.call_ms),
            piece: WorkMillis(self.piece_ms),
        }
    }
}

/// Numbers a call within the queue of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

impl fmt::Display for CallId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One call of one endpoint.
#[derive(Debug, Clone)]
pub struct BatchCall {
    /// Its number.
    pub id: CallId,
    /// Endpoint to call.
    pub entry: Arc<EndpointEntry>,
    /// Its pieces.
    pub pieces: Vec<PieceTask>,
    /// Time it should take.
    pub expected: WorkMillis,
    /// Pieces that waited when it was planned.
    pub waiting: usize,
    /// Pieces in it that were sent before.
    pub retries: usize,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallEnd {
    /// The endpoint answered for each piece.
    Answered(Vec<PieceEnd>),
    /// The endpoint refused it, or wasn't reached; nothing ran.
    Refused,
    /// Another endpoint has its address now, or it is draining; nothing ran.
    Replaced,
    /// There was no valid answer; its pieces may have run.
    Broken,
    /// The endpoint's process ended meanwhile; its pieces may have run.
    Ended,
}

impl CallEnd {
    /// Returns the outcome as the log event `pieces.ended` names it.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::Broken => "broken",
            Self::Ended => "ended",
        }
    }
}

/// Names a piece of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct PieceRef {
    pub(crate) job: JobId,
    /// Its number within the job.
    pub(crate) piece: usize,
}

/// A piece in a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SentPiece {
    pub(crate) piece: PieceRef,
    /// Usual size of its result.
    pub(crate) result: ByteSize,
}

/// A call in flight.
#[derive(Debug)]
pub(crate) struct RunningCall {
    pub(crate) endpoint: EndpointLife,
    pub(crate) sent: Time,
    pub(crate) expected: WorkMillis,
    pub(crate) pieces: Vec<SentPiece>,
    /// Room for its results, reserved at the endpoint.
    pub(crate) reserved: ByteSize,
    /// Set once its pieces were queued again because it took too long.
    pub(crate) overdue: bool,
}
