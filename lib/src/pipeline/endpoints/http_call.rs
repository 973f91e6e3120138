//! Builds the HTTP request of a call, and reads the body of its reply up to a limit.
//!
//! `wire` defines the headers; `reply_head` checks the head of the reply.

use {
    crate::{
        pipeline::{
            decision::endpoint::{EndpointCall, FailCause},
            endpoints::wire,
        },
        shared::units::ByteSize,
    },
    bytes::Bytes,
    http::{Method, Request, request::Builder},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
};

/// Request body of a call.
pub type CallBody = Full<Bytes>;

/// Returns a builder of a call's request, with the headers set and the body missing.
pub fn call_request(call: &EndpointCall, path: &str) -> Builder {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{path}", call.address))
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(wire::REQUEST_ID_HEADER, call.ids.request.to_string())
        .header(wire::STAGE_ID_HEADER, call.ids.stage.as_str())
        .header(wire::ATTEMPT_ID_HEADER, call.ids.attempt.to_string())
        .header(wire::DEADLINE_HEADER, call.remaining.0)
        .header(wire::PRIORITY_HEADER, call.priority.to_string());
    if let Some(key) = &call.key {
        builder = builder.header(wire::IDEMPOTENCY_KEY_HEADER, key.as_str());
    }
    if let Some(parent) = &call.trace_parent {
        builder = builder.header(wire::TRACEPARENT_HEADER, parent);
    }
    builder
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Returns the cause if the body is too large or the connection fails before its end.
pub async fn read_body(body: Incoming, limit: ByteSize) -> Result<Bytes, FailCause> {
    let limited = Limited::new(body, limit.0 as usize);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(FailCause::TooLarge),
        Err(_) => Err(FailCause::Broken),
    }
}
