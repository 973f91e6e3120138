//! For how long does an endpoint that turned a request away want nothing more from this daemon?
//!
//! Inputs: the status of its reply, and the time after which the reply asks to come back.
//!
//! Rule: a refusal for lack of room or for too many requests that names a time asks for so much rest, up to
//! ten minutes; one whose time can't be read for one second. Any other reply asks for none.
//!
//! Reason: what is sent there meanwhile is turned away again, and costs a retry that another request lacks. An endpoint
//! that names a day by mistake must not stay unused for it.
//!
//! Tests: `lib/tests/test_endpoint_rest.rs`.

use {
    crate::{gateway::dialect::ReplyWait, shared::units::Millis},
    http::StatusCode,
};

/// Rest of an endpoint that names a time which can't be read.
const UNCLEAR_REST: Millis = Millis(1_000);

/// Longest rest that is kept.
const LONGEST_REST: Millis = Millis(600_000);

/// Returns the rest that a reply asks for; nothing if it asks for none.
pub fn asked_rest(status: StatusCode, wait: ReplyWait) -> Option<Millis> {
    let refuses = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    if !refuses.contains(&status) {
        return None;
    }
    let rest = match wait {
        ReplyWait::None => return None,
        ReplyWait::Unclear => UNCLEAR_REST,
        ReplyWait::Named(time) => time.min(LONGEST_REST),
    };
    (rest > Millis(0)).then_some(rest)
}
