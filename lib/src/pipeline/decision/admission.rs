//! Can a request still be finished within its deadline, so that it is worth starting or continuing?
//!
//! Inputs: the time left (`Millis`), the estimated work and wait of all remaining stages ([`RequiredTime`], in
//! milliseconds), the request's priority, and the wait allowance of its customer (a [`Share`], see
//! [`fair`](super::fair)). Output: yes or no.
//!
//! Rule: the time needed is the sum over the remaining stages, each with the work of an average call and the wait at
//! the endpoint that would finish it first. A request is admitted if its own work fits into the time left, and its wait
//! into a share of the time that its work leaves over: [`LOW_WAIT_SHARE`], [`NORMAL_WAIT_SHARE`] or [`HIGH_WAIT_SHARE`]
//! by its priority, times its customer's wait allowance. Once its first stage has run, it continues as long as it can
//! finish before the deadline.
//!
//! Reason: if a queue is as long as the deadline, all work in it is wasted, while a shorter queue wastes nothing;
//! and a request that stops midway wastes the work already done. The shares limit the wait and not the work, since a
//! long generation would otherwise be refused for its length.
//!
//! Measurements: shares of 0.7, 0.9 and 1.1 of the whole time left wasted 14.2% of the endpoint time at 1.5 times the
//! capacity and 22.5% at 3 times; 0.35, 0.6 and 0.9 wasted 0.1% and 1.5% (commit b0c79f2). For shares of the time
//! left beside the work: `docs/MEASUREMENTS.md`, "Load, both policies in one run", right column.
//! `test_policy_pins.rs` (`admission_bounds`) and `test_admission.rs` pin the rule.

use crate::{
    settings::values::Priority,
    shared::units::{Millis, Share, WorkMillis},
};

/// Largest wait of a request of low priority, as a share of the time that its own work leaves over.
pub const LOW_WAIT_SHARE: Share = Share(0.35);

/// Largest wait at normal priority, as a share of the same time.
pub const NORMAL_WAIT_SHARE: Share = Share(0.6);

/// Largest wait at high priority, as a share of the same time.
pub const HIGH_WAIT_SHARE: Share = Share(0.9);

/// Estimated time that a request needs for its remaining stages.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RequiredTime {
    /// Endpoint time of the request's own calls.
    pub work: WorkMillis,
    /// Time spent in the endpoints' queues behind other calls.
    pub wait: WorkMillis,
}

impl RequiredTime {
    /// Adds a stage whose average call takes `work`, but at least `floor`.
    ///
    /// `finish` is the time until the fastest endpoint would finish such a call, its queue included; `None` if no
    /// endpoint may get work now. The wait then counts as zero, and the choice of an endpoint decides whether the
    /// request ends.
    pub fn add_stage(&mut self, floor: Millis, work: WorkMillis, finish: Option<WorkMillis>) {
        self.work.0 += work.0.max(floor.0 as f64);
        self.wait.0 += finish.map_or(0.0, |finish| (finish.0 - work.0).max(0.0));
    }

    /// Adds a stage whose service has no pool: its work counts as `floor`, its wait as zero.
    pub fn add_unknown_stage(&mut self, floor: Millis) {
        self.work.0 += floor.0 as f64;
    }
}

/// Returns whether a request is worth starting with `remaining` left.
///
/// `allowance` is the customer's wait allowance: the fraction of the usual wait that its requests may have.
pub fn admits(
    remaining: Millis,
    required: RequiredTime,
    priority: Priority,
    allowance: Share,
) -> bool {
    let slack = remaining.0 as f64 - required.work.0;
    slack >= 0.0 && required.wait.0 <= slack * wait_share(priority).0 * allowance.0
}

/// Returns whether a request whose first stage has run is worth continuing.
///
/// Looser than [`admits`], since stopping here wastes the work of the earlier stages.
pub fn continues(remaining: Millis, required: RequiredTime) -> bool {
    required.work.0 + required.wait.0 <= remaining.0 as f64
}

fn wait_share(priority: Priority) -> Share {
    match priority {
        Priority::Low => LOW_WAIT_SHARE,
        Priority::Normal => NORMAL_WAIT_SHARE,
        Priority::High => HIGH_WAIT_SHARE,
    }
}
