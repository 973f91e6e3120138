//! The status report that a daemon serves to operators, as JSON.
//!
//! Defines the types of the report only: each daemon fills them from its state, and the pipeline daemon's
//! `status_client` reads them. All counts start at zero when the daemon starts. The doc comments below are part of the
//! interface's document, `docs/openapi.json`.

use {
    schemars::JsonSchema,
    serde::{Deserialize, Serialize},
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
    /// Data centres that are evacuated, by name.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub evacuated: Vec<String>,
    /// Regions of the installation, this daemon's own first; none if it has one alone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub regions: Vec<RegionStatus>,
    /// Digests of the requests that are refused because endpoints ended under them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub quarantined: Vec<String>,
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

/// One region as a daemon sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize, JsonSchema)]
pub struct RegionStatus {
    /// Its name.
    pub region: String,
    /// Daemons alive there, as far as this one knows.
    pub daemons: usize,
    /// Way there and back in milliseconds, as connections show it; 0 for the daemon's own.
    pub way_ms: f64,
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
