//! The vocabulary of stages: pieces, jobs of pieces, and the handles of results.
//!
//! Values only; those that cross to other daemons keep their serialised names.

use {
    crate::{
        gateway::{request_digest::RequestDigest, rules::eligibility::AllowedDataCentres},
        shared::{
            ids::DataCentreId,
            units::{ByteSize, Millis, Time},
        },
    },
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, sync::Arc},
};

/// Names a result at the endpoint that keeps it: the endpoint's address and an id of its own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResultHandle(pub Arc<str>);

impl ResultHandle {
    /// Returns the address of the endpoint that keeps the result; nothing if the endpoint wrote a
    /// handle without one, whose result can't be released and is dropped there in time.
    pub fn address(&self) -> Option<SocketAddr> {
        self.0.split_once('/')?.0.parse().ok()
    }
}

impl fmt::Display for ResultHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Input of a piece.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceInput {
    /// The key that the caller gave.
    Key(Arc<str>),
    /// Results of earlier stages.
    Results(Vec<ResultHandle>),
}

/// One piece as it is sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceTask {
    /// Request it belongs to.
    pub request: Arc<str>,
    /// The same for the same request sent again; nothing if its daemon doesn't tell.
    pub digest: Option<RequestDigest>,
    /// Place of its stage in the route.
    pub stage: u32,
    /// Its number within the stage.
    pub piece: u32,
    /// Time until the request's deadline.
    pub remaining: Millis,
    /// Its input.
    pub input: PieceInput,
}

/// How a piece ended at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceEnd {
    /// Its result is kept under this handle.
    Completed(ResultHandle),
    /// Its deadline had passed.
    Late,
    /// The endpoint of an input doesn't keep it any more.
    InputGone,
    /// The endpoint has no room for the result; the piece wasn't run.
    NoRoom,
    /// The endpoint failed to run it.
    Failed,
}

/// Identifies a job within one run of one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// All pieces of one stage of one request.
#[derive(Debug, Clone)]
pub struct StageJob {
    /// Request it belongs to.
    pub request: Arc<str>,
    /// The same for the same request sent again; nothing if its daemon doesn't tell.
    pub digest: Option<RequestDigest>,
    /// Place of its stage in the route.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Input of each.
    pub input: PieceInput,
    /// The request's deadline.
    pub deadline: Time,
    /// When this stage should have ended for the answer to be worth most.
    pub objective: Time,
    /// Rank of the request; 0 goes first.
    pub rank: u32,
    /// Usual size of one result.
    pub result: ByteSize,
    /// Data centre where the results will probably be used.
    pub home: Option<DataCentreId>,
    /// Data centres where the pieces may run.
    pub places: AllowedDataCentres,
    /// Bytes that cross between data centres if one piece runs elsewhere: its inputs, and its result
    /// once for each piece that uses it.
    pub moved: ByteSize,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All results, in the order of their pieces.
    #[serde(rename = "Made")]
    Completed(Vec<ResultHandle>),
    /// It can't end in time.
    Late,
    /// An input is gone, so that the stage before has to run again.
    InputsGone,
    /// A piece failed as often as it may be sent.
    Failed,
}

impl JobEnd {
    /// Returns the outcome as the log event `stage.ended` names it.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Completed(_) => "made",
            Self::Late => "late",
            Self::InputsGone => "inputs_gone",
            Self::Failed => "failed",
        }
    }
}

/// Returns the number of pieces of a stage. Callers may name counts for the first stages only; a
/// stage without a count is left out, as one with no pieces is.
pub fn piece_count(counts: &[u32], stage: usize) -> u32 {
    counts.get(stage).copied().unwrap_or(0)
}
