//! Headers, paths and bodies of the protocol between daemon and endpoints, as `docs/PROTOCOLS.md` describes it.

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
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the stage's name, echoed by the endpoint.
pub const STAGE_ID_HEADER: &str = "x-stage-id";
/// Header with the attempt's id, echoed by the endpoint.
pub const ATTEMPT_ID_HEADER: &str = "x-attempt-id";
/// Header with the milliseconds left until the request's deadline.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header with the request's priority: `low`, `normal` or `high`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Header with the caller's idempotency key.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header with the W3C trace context.
pub const TRACEPARENT_HEADER: &str = "traceparent";
/// Header by which an endpoint states that it didn't run a call; its value is the cause.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header with the milliseconds that the endpoint spent on the call.
pub const SERVED_HEADER: &str = "x-served-ms";

/// Value of [`NOT_RUN_HEADER`] if the endpoint is shutting down.
pub const NOT_RUN_LEAVING: &str = "leaving";
/// Value of [`NOT_RUN_HEADER`] if the endpoint has no capacity for the call.
pub const NOT_RUN_BUSY: &str = "busy";

/// Path of a call of a plain service.
pub const CALL_PATH: &str = "/v1/call";
/// Path of an engine's generation.
pub const GENERATE_PATH: &str = "/v1/generate";
/// Path at an engine that cancels a generation.
pub const CANCEL_PATH: &str = "/v1/cancel";
/// Path of an engine's cache events. The query `after` is the number of the last one that was read.
pub const CACHE_EVENTS_PATH: &str = "/v1/cache-events";
/// Path of an endpoint's load report.
pub const LOAD_PATH: &str = "/v1/load";

/// Request body of a generation.
#[derive(Debug, Serialize, Deserialize)]
pub struct GenerateBody<'a> {
    /// Name of the model.
    pub model: &'a str,
    /// Input of the stage: a JSON value.
    #[serde(borrow)]
    pub input: &'a RawValue,
    /// Largest number of tokens of the whole generation, `resume_tokens` included.
    pub max_tokens: u32,
    /// Number of tokens that another endpoint has already generated; 0 for a new generation.
    pub resume_tokens: u32,
    /// Text of these tokens.
    pub resume_text: &'a str,
}

/// One event of an engine's stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum StreamEvent {
    /// One token.
    Token {
        /// Position in the whole generation, from 0.
        index: u32,
        /// Text of the token.
        text: String,
    },
    /// The end of the stream.
    Done {
        /// Number of tokens of the whole generation, those before a resume included.
        tokens: u32,
        /// Milliseconds that the engine spent on the call, if it reports them.
        served_ms: Option<WorkMillis>,
        /// Time and cached bytes of the prefill, if the engine reports them.
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
    is(REQUEST_ID_HEADER, &ids.request.to_string())
        && is(STAGE_ID_HEADER, ids.stage.as_str())
        && is(ATTEMPT_ID_HEADER, &ids.attempt.to_string())
}

/// Returns the time that the endpoint spent on the call, as the reply states it.
///
/// Returns `None` if the header is missing or isn't a finite number from 0 on; the core then measures the time itself.
pub fn served_time(headers: &HeaderMap) -> Option<WorkMillis> {
    let text = headers.get(SERVED_HEADER).and_then(header_text)?;
    let ms: f64 = text.parse().ok()?;
    (ms.is_finite() && ms >= 0.0).then_some(WorkMillis(ms))
}

/// Returns a header's value as text, or `None` if it has other characters than visible ASCII.
pub fn header_text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok()
}
