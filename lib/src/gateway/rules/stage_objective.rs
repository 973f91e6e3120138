//! Decides when a stage of a request should have ended, for the request to meet its objective.
//!
//! Inputs: the request's objective (a time), the number of stages after this one along the longest path, and the time
//! that the request itself needs (milliseconds).
//!
//! Rule: the request's objective, less `LATER_STAGE_TIME` for each later stage and less the time of the request itself.
//!
//! Reason: waiting pieces are ordered by this time (`rules::piece_order`). Without it, the first stages of a request
//! would be served after the last stages of less urgent requests. Test: `test_stage_rules`.

use crate::shared::units::{Millis, Time};

/// Time reserved for each later stage.
const LATER_STAGE_TIME: Millis = Millis(350);

/// Returns when a stage should have ended; `request` is the objective of the request.
pub fn stage_objective(request: Time, later_stages: u64, request_time: Millis) -> Time {
    let reserved = Millis(LATER_STAGE_TIME.0 * later_stages + request_time.0);
    request - reserved
}
