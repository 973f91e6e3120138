//! Decides for how long an endpoint gets no work after it was unreachable or another endpoint replied at its address.
//!
//! Inputs: the time of the failed connect, or of the reply from another endpoint.
//!
//! Rule: an endpoint that couldn't be reached is excluded for a moment, unless no other one is left. An endpoint at
//! whose address another one replied, or that replied that it is leaving, gets nothing for some seconds even if its
//! entry stays. Failed calls are handled by `shared::health`, refused connections by `routing::endpoint_check`.
//!
//! Reason: the address may have been given to another endpoint since the directory was last read. The exclusion has
//! to expire: if it lasted as long as the daemon runs, a single wrong reply would exclude an endpoint forever (soak
//! test, seeds 4 and 5).
//!
//! Tests: `lib/tests/test_fleet_choice.rs`.

use crate::shared::units::{Millis, Time};

/// Time for which an endpoint that couldn't be reached is excluded: each daemon makes about one attempt.
const UNREACHABLE_TIME: Millis = Millis(400);

/// Time for which an endpoint gets nothing after another one replied at its address. An address that was given to
/// another endpoint thus costs one attempt that doesn't run.
const REPLACED_TIME: Millis = Millis(5_000);

/// Returns when an endpoint that couldn't be reached at `now` is available again.
pub fn available_from(now: Time) -> Time {
    now + UNREACHABLE_TIME
}

/// Returns whether an endpoint at whose address another one replied at `replaced` may be used again.
pub fn may_use_replaced(now: Time, replaced: Time) -> bool {
    now.since(replaced) >= REPLACED_TIME.to_duration()
}
