//! One call of an endpoint over HTTP: its request, and the checks of its reply.
//!
//! Owns the order of the checks that are the same for all kinds of services: ids first, since a reply
//! to another call says nothing about this one, then the status. Relies on `wire` for names.

use {
    crate::{
        pipeline::{
            decision::endpoint::{AttemptEnd, EndpointCall, FailCause, NotRunCause},
            endpoints::wire,
        },
        shared::{ids::CallIds, units::ByteSize},
    },
    bytes::Bytes,
    http::{HeaderValue, Method, Request, Response, request::Builder},
    http_body_util::{BodyExt, Full, Limited},
    hyper::body::Incoming,
};

/// Body of a call's request.
pub type CallBody = Full<Bytes>;

/// Starts the request of a call, with all of its headers.
pub fn call_request(call: &EndpointCall, path: &str) -> Builder {
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(format!("http://{}{path}", call.address))
        .header(http::header::CONTENT_TYPE, "application/json")
        .header(wire::REQUEST_HEADER, call.ids.request.to_string())
        .header(wire::STAGE_HEADER, call.ids.stage.as_str())
        .header(wire::ATTEMPT_HEADER, call.ids.attempt.to_string())
        .header(wire::DEADLINE_HEADER, call.remaining.0)
        .header(wire::PRIORITY_HEADER, call.priority.to_string());
    if let Some(key) = &call.key {
        builder = builder.header(wire::KEY_HEADER, key.as_str());
    }
    if let Some(parent) = &call.trace_parent {
        builder = builder.header(wire::TRACE_HEADER, parent);
    }
    builder
}

/// Checks the head of a reply before its body is read.
///
/// # Errors
///
/// Returns the attempt's end when the body doesn't matter any more.
pub fn check_head<B>(ids: &CallIds, response: &Response<B>) -> Result<(), AttemptEnd> {
    let headers = response.headers();
    if !wire::ids_match(headers, ids) {
        return Err(AttemptEnd::Failed(FailCause::WrongIds));
    }
    if response.status().is_server_error() {
        let not_run = headers.get(wire::NOT_RUN_HEADER).map(HeaderValue::as_bytes);
        return Err(match not_run {
            Some(cause) if cause == wire::LEAVING.as_bytes() => {
                AttemptEnd::NotRun(NotRunCause::Leaving)
            }
            Some(_) => AttemptEnd::NotRun(NotRunCause::Busy),
            None => AttemptEnd::Failed(FailCause::ServerError),
        });
    }
    Ok(())
}

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns the cause when the body is too large or breaks off.
pub async fn read_body(body: Incoming, limit: ByteSize) -> Result<Bytes, FailCause> {
    let limited = Limited::new(body, limit.0 as usize);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => Err(FailCause::TooLarge),
        Err(_) => Err(FailCause::Broken),
    }
}
