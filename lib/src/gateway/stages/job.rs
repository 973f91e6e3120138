//! Types of the stages: pieces, jobs (all pieces of one stage of one request), and handles of results.
//!
//! Makes no decisions. Types that are sent to other daemons keep their serialized names.

use {
    crate::{
        gateway::{request_digest::RequestDigest, rules::eligibility::AllowedDataCentres},
        shared::{
            ids::{CustomerId, DataCentreId},
            units::{ByteSize, Millis, Time},
        },
    },
    serde::{Deserialize, Serialize},
    std::{fmt, net::SocketAddr, sync::Arc},
    xxhash_rust::xxh3::xxh3_64,
};

/// Identifies a result: the address of the endpoint that stores it, a slash, and an id that this endpoint assigned.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResultHandle(pub Arc<str>);

impl ResultHandle {
    /// Returns the address of the endpoint that stores the result. Returns `None` if the handle contains no address;
    /// such a result can't be released, and its endpoint drops it after a timeout.
    pub fn address(&self) -> Option<SocketAddr> {
        self.0.split_once('/')?.0.parse().ok()
    }
}

impl fmt::Display for ResultHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Input of a piece of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PieceInput {
    /// Key that the caller sent.
    Key(Arc<str>),
    /// Results of earlier stages.
    Results(Vec<ResultHandle>),
}

/// A piece as it is sent to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PieceTask {
    /// Id of the request.
    pub request: Arc<str>,
    /// Digest, which is the same when the caller sends the same request again; `None` if its daemon didn't send it.
    pub digest: Option<RequestDigest>,
    /// Index of the stage in the route.
    pub stage: u32,
    /// Index of the piece within the stage.
    pub piece: u32,
    /// Time left until the request's deadline.
    pub remaining: Millis,
    /// Input of the piece.
    pub input: PieceInput,
}

/// Outcome of a piece at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PieceEnd {
    /// The piece ran; the endpoint stores the result under this handle.
    Completed(ResultHandle),
    /// The deadline had passed.
    Late,
    /// An input is no longer stored at its endpoint.
    InputGone,
    /// The endpoint has no capacity for the result; the piece didn't run.
    NoCapacity,
    /// The endpoint failed to run the piece.
    Failed,
}

/// Identifies a job of one daemon until its process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

/// Hash of a customer's name: the lower half of the name's XXH3. Customers with the same hash share their capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CustomerHash(pub u32);

impl CustomerHash {
    /// Returns the hash of a customer. Requests without a customer are those of one customer without a name.
    pub fn of(customer: Option<&CustomerId>) -> Self {
        let name = customer.map_or("", CustomerId::as_str);
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// All pieces of one stage of one request.
#[derive(Debug, Clone)]
pub struct StageJob {
    /// Id of the request.
    pub request: Arc<str>,
    /// Digest, which is the same when the caller sends the same request again; `None` if its daemon didn't send it.
    pub digest: Option<RequestDigest>,
    /// Index of the stage in the route.
    pub stage: u32,
    /// Number of pieces.
    pub pieces: u32,
    /// Input of every piece.
    pub input: PieceInput,
    /// Time by which the stage has to end: the request's deadline, for a tight route less the time of what follows.
    pub deadline: Time,
    /// Time by which the stage should end so that the request can be answered by its objective.
    pub objective: Time,
    /// Rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// Customer of the request; `None` if the route isn't tight, or if its daemon is of an older release.
    pub customer: Option<CustomerHash>,
    /// Usual size of the result of one piece.
    pub result: ByteSize,
    /// Data centre in which the pieces should run, since their results will probably be used there; `None` without
    /// a preference.
    pub preferred: Option<DataCentreId>,
    /// Data centres in which the pieces may run.
    pub allowed: AllowedDataCentres,
    /// Bytes that cross between data centres if one piece runs outside the preferred data centre: its inputs, and
    /// its result once for each piece that uses it.
    pub crossing_size: ByteSize,
}

/// Outcome of a job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobEnd {
    /// All pieces ran; the results are in the order of the pieces.
    #[serde(rename = "Made")]
    Completed(Vec<ResultHandle>),
    /// The job can't end before its deadline.
    Late,
    /// An input is no longer stored at its endpoint, so the stage that made it has to run again.
    InputsGone,
    /// A piece failed as often as it may be sent, the request is quarantined, or no coordinator runs the service.
    Failed,
}

impl JobEnd {
    /// Returns the name of the outcome in the log event `stage.ended`.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Completed(_) => "made",
            Self::Late => "late",
            Self::InputsGone => "inputs_gone",
            Self::Failed => "failed",
        }
    }
}

/// Returns the number of pieces of a stage. Callers may send counts for the first stages only; a stage without a
/// count has no pieces and is skipped.
pub fn piece_count(counts: &[u32], stage: usize) -> u32 {
    counts.get(stage).copied().unwrap_or(0)
}
