//! Decides whether a call is kept short, so that its most urgent job ends in time.
//!
//! Load: a service that is nearly full or overloaded, where calls are as large as the table allows. The most urgent
//! pieces of a call then wait for the end of all others in it.
//!
//! Inputs: the clock, the objective of the most urgent job in the call, the time that a call with only the pieces of
//! this job should take at the endpoint (milliseconds).
//!
//! Rule: if the call with only the most urgent job ends by the job's objective, no more pieces are added than end by
//! then. Otherwise the call gets its whole share.
//!
//! Reason: all results of a call arrive at its end. A call that can't be in time anyway is not kept short, since each
//! call costs its endpoint the fixed time. Tests: `test_stage_overload`.

use crate::shared::units::{Time, WorkMillis};

/// Returns the longest time that the call may take; `None` if it needn't be kept short. `alone` is the time of a call
/// with only the most urgent job, whose stage should end by `objective`.
pub fn longest_call(now: Time, objective: Time, alone: WorkMillis) -> Option<WorkMillis> {
    let left = objective.millis_since(now);
    (alone.0 <= left).then_some(WorkMillis(left))
}
