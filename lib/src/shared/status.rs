//! The read-only view of a daemon's state.

use {
    crate::{
        pipeline::{endpoints::http_call::get, node::Snapshot},
        shared::units::{ByteSize, Millis},
    },
    hyper_util::{client::legacy::Client, rt::TokioExecutor},
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
    std::net::SocketAddr,
};

/// State of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct StatusBody {
    /// Name of the host.
    pub host: String,
    /// Whether the balancer may send requests here.
    pub ready: bool,
    /// Version of the settings tree in force; 0 before the first.
    pub version: u64,
    /// Requests without a final answer.
    pub in_flight: u64,
    /// Requests answered within their deadline.
    pub answered: u64,
    /// Requests answered late.
    pub late: u64,
    /// Problems by code and outcome.
    pub problems: Vec<ProblemCount>,
    /// First attempts at a stage.
    pub attempts: u64,
    /// Retries, hedges and resumes.
    pub extra: u64,
    /// Endpoints as this daemon sees them.
    pub endpoints: Vec<EndpointStatus>,
}

/// Count of one kind of problem.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct ProblemCount {
    /// Stable reason.
    pub code: String,
    /// `not_run` or `unknown`.
    pub outcome: String,
    /// How often.
    pub count: u64,
}

/// One endpoint as a daemon sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct EndpointStatus {
    /// Its service.
    pub service: String,
    /// Its name.
    pub endpoint: String,
    /// Whether it may get new work.
    pub open: bool,
    /// This daemon's calls in flight.
    pub in_flight: u32,
}

impl StatusBody {
    /// Builds the view from a snapshot.
    pub fn new(host: &str, ready: bool, snapshot: &Snapshot) -> Self {
        let counters = &snapshot.counters;
        let problems = counters.problems.iter();
        Self {
            host: host.to_owned(),
            ready,
            version: snapshot.tree.version.0,
            in_flight: snapshot.in_flight as u64,
            answered: counters.answered,
            late: counters.late,
            problems: problems
                .map(|((code, outcome), count)| ProblemCount {
                    code: code.to_string(),
                    outcome: outcome.to_string(),
                    count: *count,
                })
                .collect(),
            attempts: counters.attempts,
            extra: counters.extra,
            endpoints: snapshot
                .endpoints
                .iter()
                .map(|view| EndpointStatus {
                    service: view.service.clone(),
                    endpoint: view.endpoint.clone(),
                    open: view.open,
                    in_flight: view.in_flight,
                })
                .collect(),
        }
    }
}

/// Largest status report accepted, and the longest wait for it.
const STATUS_SIZE: ByteSize = ByteSize(4 << 20);
const STATUS_TIMEOUT: Millis = Millis(5_000);

/// Reads a daemon's state.
///
/// # Errors
///
/// Returns a message for people when the daemon doesn't answer as it should.
pub async fn fetch(address: SocketAddr) -> Result<StatusBody, String> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}/v1/status");
    let (_, status, body) = get(&client, &uri, STATUS_SIZE, STATUS_TIMEOUT).await?;
    if !status.is_success() {
        return Err(format!("{uri}: status {status}"));
    }
    serde_json::from_slice(&body).map_err(|error| format!("{uri}: {error}"))
}
