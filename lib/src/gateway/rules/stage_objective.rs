//! When should a stage of a request have ended, for the request to meet its objective?
//!
//! Inputs: the request's objective (a time), the number of stages that come after the stage along
//! the longest way, and the time that the request itself needs (milliseconds).
//!
//! `LATER_STAGE` is kept for each later stage, and the request's own time. Waiting pieces are ordered by this time
//! (`rules::piece_order`): without it, first stages would go after last ones of requests that are less pressed.
//! `test_stage_rules` pins the rule.

use crate::shared::units::{Millis, Time};

/// Time kept for each later stage.
const LATER_STAGE: Millis = Millis(350);

/// Returns when a stage should have ended.
pub fn stage_objective(request: Time, later_stages: u64, own_time: Millis) -> Time {
    let kept = Millis(LATER_STAGE.0 * later_stages + own_time.0);
    request - kept
}
