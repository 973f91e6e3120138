//! Decides for how long this daemon sends nothing to an endpoint that refused a request.
//!
//! Inputs: the status of the endpoint's reply, and the time after which the reply asks to retry.
//!
//! Rule: a reply with status 503 or 429 that states a time asks for a cooldown of that length, limited to ten minutes;
//! if the time can't be parsed, for one second. Any other reply asks for no cooldown.
//!
//! Reason: requests that are sent there during the cooldown are refused again, and each costs a retry that another
//! request may need. An endpoint that states a day by mistake must not stay unused for that long.
//!
//! Tests: `lib/tests/test_endpoint_rest.rs`.

use {
    crate::{gateway::dialect::ReplyWait, shared::units::Millis},
    http::StatusCode,
};

/// Cooldown of an endpoint whose stated time can't be parsed.
const UNCLEAR_REST: Millis = Millis(1_000);

/// Upper bound on a cooldown.
const LONGEST_REST: Millis = Millis(600_000);

/// Returns the cooldown that a reply asks for; `None` if it asks for none.
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
