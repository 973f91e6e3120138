//! For how long does an endpoint get no work after it couldn't be reached, or answered as another one?
//!
//! **Inputs.** The time of the refused connection, or of the reply that named another endpoint.
//!
//! **Rule.** An endpoint that refused a connection is passed over for a moment, unless no other one is
//! left. One that answered as another endpoint, or as leaving, gets nothing for some seconds although
//! its entry stays. Failures of calls are a matter of `shared::health`.
//!
//! **Reason.** An address may belong to another endpoint since the last reading of the directory. The
//! belief must end by itself: kept for the life of the daemon, one odd reply took an endpoint out for
//! good (soak, seeds 4 and 5).
//!
//! Tests: `lib/tests/test_fleet_choice.rs`.

use crate::shared::units::{Millis, Time};

/// Time for which an endpoint that refused a connection is passed over: about one try by each daemon.
const UNREACHABLE_TIME: Millis = Millis(400);

/// Time for which an endpoint that answered as another one gets nothing: an address that was given to another endpoint
/// costs one attempt that doesn't run.
const REPLACED_TIME: Millis = Millis(5_000);

/// Returns when an endpoint is available again that couldn't be reached at `now`.
pub fn reachable_from(now: Time) -> Time {
    now + UNREACHABLE_TIME
}

/// Returns whether an endpoint may be tried again that answered as another one at `replaced`.
pub fn may_reopen(now: Time, replaced: Time) -> bool {
    now.since(replaced) >= REPLACED_TIME.to_duration()
}
