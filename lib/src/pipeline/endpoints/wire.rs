//! Names and forms of the endpoints' protocol; `docs/PROTOCOLS.md` states each assumption.
//!
//! Owns the headers, paths and bodies that both clients use; holds no rule and does no I/O.

use {
    crate::{
        pipeline::decision::endpoint::Prefill,
        shared::{ids::CallIds, units::WorkMillis},
    },
    http::{HeaderMap, HeaderValue},
    serde::{Deserialize, Serialize},
    serde_json::value::RawValue,
};

/// Header with the request's id, echoed by the endpoint.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Header with the stage's name, echoed by the endpoint.
pub const STAGE_HEADER: &str = "x-stage-id";
/// Header with the attempt's id, echoed by the endpoint.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// Header with the milliseconds left.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the priority.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the caller's idempotency key.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the trace context.
pub const TRACE_HEADER: &str = "traceparent";
/// Header by which an endpoint says that it did not run a call, and why.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header with the milliseconds that the endpoint spent.
pub const SERVED_HEADER: &str = "x-served-ms";

/// Value of [`NOT_RUN_HEADER`] of an endpoint that is leaving.
pub const LEAVING: &str = "leaving";
/// Value of [`NOT_RUN_HEADER`] of an endpoint without room.
pub const BUSY: &str = "busy";

/// Path of a plain service's call.
pub const CALL_PATH: &str = "/v1/call";
/// Path of an engine's generation.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path of the message to an engine that nobody waits any more.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of an engine's cache events; `?after=` and the number of the last known one follow.
pub const CACHE_PATH: &str = "/v1/cache-events";
/// Path of an endpoint's load report.
pub const LOAD_PATH: &str = "/v1/load";

/// Body of a generation.
#[derive(Debug, Serialize, Deserialize)]
pub struct GenerateBody<'a> {
    /// Model that generates.
    pub model: &'a str,
    /// Input of the stage.
    #[serde(borrow)]
    pub input: &'a RawValue,
    /// Most tokens to generate in all.
    pub max_tokens: u32,
    /// Tokens that another replica has generated already.
    pub resume_tokens: u32,
    /// Their text.
    pub resume_text: &'a str,
}

/// One event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StreamEvent {
    /// One token.
    Token {
        /// Position from the start of the whole generation.
        index: u32,
        /// Its text.
        text: String,
    },
    /// The end of the stream.
    Done {
        /// Tokens of the whole generation.
        tokens: u32,
        /// Milliseconds that the engine spent.
        served_ms: Option<WorkMillis>,
        /// Time and cached bytes of its prefill, if the engine reports them.
        #[serde(default)]
        prefill: Option<Prefill>,
    },
}

/// Returns whether a reply carries the ids of the call.
pub fn ids_match(headers: &HeaderMap, ids: &CallIds) -> bool {
    let is = |name: &str, expected: &str| {
        headers
            .get(name)
            .is_some_and(|value| value.as_bytes() == expected.as_bytes())
    };
    is(REQUEST_HEADER, &ids.request.to_string())
        && is(STAGE_HEADER, ids.stage.as_str())
        && is(ATTEMPT_HEADER, &ids.attempt.to_string())
}

/// Returns the endpoint time that a reply states.
///
/// The header is optional; an unusable value counts as none, and the core measures the time itself.
pub fn served(headers: &HeaderMap) -> Option<WorkMillis> {
    let text = headers.get(SERVED_HEADER).and_then(header_text)?;
    let ms: f64 = text.parse().ok()?;
    (ms.is_finite() && ms >= 0.0).then_some(WorkMillis(ms))
}

/// Returns a header's value as text; none if it isn't visible ASCII.
pub fn header_text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok()
}
