//! Decides when a stage of a request should have ended, for the request to meet its objective, and by when it has to
//! end at the latest.
//!
//! Inputs: the request's objective (a time), the number of stages after this one along the longest path, and the time
//! that the request itself needs (milliseconds).
//!
//! Rule: the request's objective, less `LATER_STAGE_TIME` for each later stage and less the time of the request itself.
//!
//! In a tight route, the deadline of a stage is that of the request less the fixed time of a call of each later stage
//! with pieces and less the time of the request itself, but no earlier than the request's objective. The bound keeps a
//! time that is estimated far too long from ending a request that could still be in time.
//!
//! Reason: waiting pieces are ordered by this time (`rules::piece_order`). Without it, the first stages of a request
//! would be served after the last stages of less urgent requests. A request whose later stages can't end by its
//! deadline takes calls from requests that can be served; it is ended before its next call (`rules::piece_retry`).
//! Tests: `test_stage_rules`, `test_stage_overload`.

use crate::shared::units::{Millis, Time, WorkMillis};

/// Time reserved for each later stage.
const LATER_STAGE_TIME: Millis = Millis(350);

/// Returns when a stage should have ended; `request` is the objective of the request.
pub fn stage_objective(request: Time, later_stages: u64, request_time: Millis) -> Time {
    let reserved = Millis(LATER_STAGE_TIME.0 * later_stages + request_time.0);
    request - reserved
}

/// Returns the time by which a stage of a tight route has to end, so that the request can end by its `deadline`.
/// `later_calls` is the fixed time of the calls of later stages, `request` the time of the request itself, and
/// `objective` that of the request.
pub fn stage_deadline(
    deadline: Time,
    objective: Time,
    later_calls: WorkMillis,
    request: Millis,
) -> Time {
    let reserved = Millis(later_calls.0.max(0.0) as u64 + request.0);
    (deadline - reserved).max(objective.min(deadline))
}
