//! The proof in the head of an endpoint's reply: whose it is, and whether the attempt ran.
//!
//! Inputs: the ids of the call, the reply's status and headers. Output: the attempt's end, or nothing
//! if the body decides.
//!
//! The rule: a reply with other ids than the call's says nothing about this call, so it may have run.
//! A server error with the header `x-not-run` proves that the call didn't run, because the endpoint is
//! leaving or, for every other value, has no room; without that header it may have run. Any other
//! status leaves the decision to the body: a plain service answers with a success or a client error, an
//! engine streams after a success only.
//!
//! The reason: an attempt that certainly did not run may be sent elsewhere even if the call must not run
//! twice, so nothing but the endpoint's own word counts as proof.
//!
//! No constants; `docs/PROTOCOLS.md` states the headers. `test_reply_head.rs` pins the rule.

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

/// Returns true if a reply with this status can be a plain service's answer. A client error is one:
/// another replica would refuse the same input as well.
pub fn is_answer(status: StatusCode) -> bool {
    status.is_success() || status.is_client_error()
}

/// Returns true if an engine's stream follows a head with this status.
pub fn is_stream(status: StatusCode) -> bool {
    status.is_success()
}
