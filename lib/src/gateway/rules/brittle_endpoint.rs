//! Decides how much a brittle endpoint gets, which terminates if it has to refuse too many requests.
//!
//! Inputs: the number of refusals per second that the endpoint states as its limit, its slots, the requests in flight
//! there from this daemon and from all, and the number of living daemons.
//!
//! Rule: the daemons share the endpoint's slots evenly, each with at least `MIN_SHARE`, and none sends a request while all
//! slots are taken. After a refusal, a daemon sends nothing for a pause with which all daemons together cause at most half of
//! the stated refusals.
//!
//! Reason: what doesn't wait at an endpoint isn't refused for lack of space there. Daemons know each other's load with a
//! delay, so refusals can't be excluded, only kept apart.
//!
//! Tests: `lib/tests/test_brittle_endpoint.rs`.

use crate::shared::units::{Millis, Rate};

/// Minimum number of requests that a daemon may have in flight at a brittle endpoint, so that one slow request doesn't
/// keep the daemon from using it.
const MIN_SHARE: u32 = 2;

/// Fraction of the stated refusals that all daemons together may cause.
const REFUSAL_FRACTION: f64 = 0.5;

/// Bounds of the pause after a refusal.
const MIN_PAUSE: Millis = Millis(100);
const MAX_PAUSE: Millis = Millis(5_000);

/// Number of milliseconds in a second.
const MS_PER_S: f64 = 1e3;

/// Returns how many requests one daemon may have in flight at a brittle endpoint with `slots` slots.
pub fn in_flight_limit(slots: u32, daemons: usize) -> u32 {
    let daemons = u32::try_from(daemons.max(1)).unwrap_or(u32::MAX);
    slots.div_ceil(daemons).max(MIN_SHARE)
}

/// Returns for how long a daemon sends nothing to a brittle endpoint that refused a request and bears `limit` refusals
/// per second.
pub fn refusal_pause(limit: Rate, daemons: usize) -> Millis {
    let allowed = limit.0 * REFUSAL_FRACTION;
    let ms = daemons.max(1) as f64 * MS_PER_S / allowed;
    if ms.is_finite() {
        Millis(ms as u64).clamp(MIN_PAUSE, MAX_PAUSE)
    } else {
        MAX_PAUSE
    }
}
