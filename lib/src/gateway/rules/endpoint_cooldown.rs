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
    crate::{gateway::dialect::RetryAfter, shared::units::Millis},
    http::StatusCode,
};

/// Cooldown of an endpoint whose stated time can't be parsed.
const DEFAULT_COOLDOWN: Millis = Millis(1_000);

/// Upper bound on a cooldown.
const MAX_COOLDOWN: Millis = Millis(600_000);

/// Returns the cooldown that a reply asks for; `None` if it asks for none.
pub fn requested_cooldown(status: StatusCode, wait: RetryAfter) -> Option<Millis> {
    if !is_refusal(status) {
        return None;
    }
    let cooldown = match wait {
        RetryAfter::None => return None,
        RetryAfter::Invalid => DEFAULT_COOLDOWN,
        RetryAfter::Valid(time) => time.min(MAX_COOLDOWN),
    };
    (cooldown > Millis(0)).then_some(cooldown)
}

/// Returns whether an endpoint refuses a request for lack of capacity with a status.
pub fn is_refusal(status: StatusCode) -> bool {
    status == StatusCode::SERVICE_UNAVAILABLE || status == StatusCode::TOO_MANY_REQUESTS
}
