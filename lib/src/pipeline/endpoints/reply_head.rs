//! What the head of an endpoint's reply proves: whether it belongs to the call, and whether the call ran.
//!
//! Inputs: the ids of the call, and the status and headers of the reply. Output: the end of the attempt, or nothing if
//! the body has to be read first.
//!
//! Rule:
//! - A reply whose ids differ from the call's proves nothing about the call, which may have run.
//! - A server error with the header `x-not-run` proves that the call didn't run. With the value `leaving` the endpoint
//!   is shutting down; any other value counts as a lack of capacity.
//! - After a server error without this header, the call may have run.
//! - With any other status the body decides. A plain service answers with a success or a client error; an engine
//!   streams only after a success.
//!
//! Reason: a call that certainly didn't run may be sent to another endpoint even if it must not run twice. So only
//! the endpoint's explicit statement counts as proof.
//!
//! `docs/PROTOCOLS.md` describes the headers.

use {
    crate::{
        pipeline::{
            decision::endpoint::{AttemptEnd, FailCause, NotRunCause},
            endpoints::wire,
        },
        shared::ids::CallIds,
    },
    http::{HeaderValue, Response, StatusCode},
};

/// Checks the head of a reply, before its body is read.
///
/// # Errors
///
/// Returns the end of the attempt if the head alone decides it.
pub fn check_head<B>(ids: &CallIds, response: &Response<B>) -> Result<(), AttemptEnd> {
    let headers = response.headers();
    if !wire::ids_match(headers, ids) {
        return Err(AttemptEnd::Failed(FailCause::WrongIds));
    }
    if response.status().is_server_error() {
        let not_run = headers.get(wire::NOT_RUN_HEADER).map(HeaderValue::as_bytes);
        return Err(match not_run {
            Some(cause) if cause == wire::NOT_RUN_LEAVING.as_bytes() => {
                AttemptEnd::NotRun(NotRunCause::Leaving)
            }
            Some(_) => AttemptEnd::NotRun(NotRunCause::Busy),
            None => AttemptEnd::Failed(FailCause::ServerError),
        });
    }
    Ok(())
}

/// Returns whether a plain service's reply with this status is an answer. A client error is one, since another
/// endpoint would refuse the same input as well.
pub fn is_answer_status(status: StatusCode) -> bool {
    status.is_success() || status.is_client_error()
}

/// Returns whether an engine's reply with this status has a stream as its body.
pub fn is_stream_status(status: StatusCode) -> bool {
    status.is_success()
}
