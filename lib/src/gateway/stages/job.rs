//! The work before a request: pieces, jobs of pieces, and the names of results.

use {
    crate::shared::{
        ids::DataCentreId,
        units::{ByteSize, Millis, Time},
    },
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, sync::Arc},
};

/// Names a result at the endpoint that made it: its address and an id of its own.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResultHandle(pub Arc<str>);

impl ResultHandle {
    /// Returns the address of the endpoint that keeps the result.
    pub fn address(&self) -> Option<SocketAddr> {
        self.0.split_once('/')?.0.parse().ok()
    }
}

impl fmt::Display for ResultHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// What a piece is made from.
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
    /// Place of its stage in the route.
    pub stage: u32,
    /// Its number within the stage.
    pub piece: u32,
    /// Time left.
    pub remaining: Millis,
    /// What it is made from.
    pub input: PieceInput,
}

/// How a piece ended at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceEnd {
    /// Its result is kept under this name.
    Made(ResultHandle),
    /// Its time was over.
    Late,
    /// An input is gone.
    InputGone,
    /// The endpoint has no room for the result.
    NoRoom,
    /// The endpoint failed to make it.
    Failed,
}

/// Identifies a job within one daemon's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// All pieces of one stage of one request.
#[derive(Debug, Clone)]
pub struct StageJob {
    /// Request it belongs to.
    pub request: Arc<str>,
    /// Place of its stage in the route.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// What each is made from.
    pub input: PieceInput,
    /// When the request's time is over.
    pub deadline: Time,
    /// When this stage should be over for the answer to be worth most.
    pub objective: Time,
    /// Rank of the request; 0 goes first.
    pub rank: u32,
    /// Usual size of one result.
    pub result: ByteSize,
    /// Data centre where the results will probably be taken.
    pub home: Option<DataCentreId>,
    /// What crosses between data centres if one piece is made elsewhere: its inputs, and its result
    /// once for each that takes it.
    pub moved: ByteSize,
}

/// How a job ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All results, in the order of their pieces.
    Made(Vec<ResultHandle>),
    /// It can't be made in time.
    Late,
    /// An input is gone, and the stage before has to be made again.
    InputsGone,
    /// It failed as often as it is tried.
    Failed,
}
