//! Can a request still be finished within its deadline, so that it's worth starting or going on?
//!
//! Inputs: the time left (`Millis`), the estimated work and wait of all stages that remain
//! ([`Needs`], in milliseconds), the request's priority, and the room of its customer (a [`Share`],
//! see [`fair`](super::fair)). Output: yes or no.
//!
//! The rule: the need is the sum over the stages that remain, each with the work of a usual call
//! and the wait at the endpoint that would finish it first. A request is admitted if its own work
//! fits into the time left, and its wait into a share of what is then left over: [`LOW_WAIT`],
//! [`NORMAL_WAIT`] or [`HIGH_WAIT`] by its priority, times its customer's room. Once its first
//! stage has run, it goes on as long as it can finish at all.
//!
//! The reason: a queue that reaches the deadline loses all of its work, a shorter one loses
//! nothing; and stopping midway loses what was spent. The shares limit the wait and not the work,
//! since a long generation would else be refused for its length.
//!
//! The measurements: with shares of the whole time left, 0.7, 0.9 and 1.1 wasted 14.2% of the
//! endpoint time at 1.5 times the capacity and 22.5% at 3 times; 0.35, 0.6 and 0.9 wasted 0.1% and
//! 1.5% (commit b0c79f2). Of the wait alone: `docs/MEASUREMENTS.md`, "Load, both policies in one
//! run", right column.
//! `test_policy_pins.rs` (`admission_bounds`) and `test_admission.rs` pin the rule.

use crate::{
    settings::values::Priority,
    shared::units::{Millis, Share, WorkMillis},
};

/// Share of the time left beside its own work that a request of low priority may spend waiting.
pub const LOW_WAIT: Share = Share(0.35);

/// The same at normal priority.
pub const NORMAL_WAIT: Share = Share(0.6);

/// The same at high priority.
pub const HIGH_WAIT: Share = Share(0.9);

/// Time that a request still needs, by the estimate.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Needs {
    /// Its own work at the endpoints.
    pub work: WorkMillis,
    /// Waiting for others' work before it.
    pub wait: WorkMillis,
}

impl Needs {
    /// Adds a stage whose usual call takes `work`, at least `floor`, and would be finished at the
    /// endpoint that is free first after `finish`; none if no endpoint may get it now.
    ///
    /// Without an endpoint the wait counts as none: the request is then refused, or goes on, by
    /// what the choice of an endpoint finds.
    pub fn add_stage(&mut self, floor: Millis, work: WorkMillis, finish: Option<WorkMillis>) {
        self.work.0 += work.0.max(floor.0 as f64);
        self.wait.0 += finish.map_or(0.0, |finish| (finish.0 - work.0).max(0.0));
    }

    /// Adds a stage of whose service nothing is known but its `floor`.
    pub fn add_unknown(&mut self, floor: Millis) {
        self.work.0 += floor.0 as f64;
    }
}

/// Returns whether a request is worth starting with `remaining` left.
///
/// `room` is the part of the usual room that the customer has by its share.
pub fn admits(remaining: Millis, needs: Needs, priority: Priority, room: Share) -> bool {
    let slack = remaining.0 as f64 - needs.work.0;
    slack >= 0.0 && needs.wait.0 <= slack * wait_share(priority).0 * room.0
}

/// Returns whether a request whose first stage has run is worth going on with.
///
/// Looser than [`admits`]: what was spent on earlier stages is lost by stopping here.
pub fn continues(remaining: Millis, needs: Needs) -> bool {
    needs.work.0 + needs.wait.0 <= remaining.0 as f64
}

fn wait_share(priority: Priority) -> Share {
    match priority {
        Priority::Low => LOW_WAIT,
        Priority::Normal => NORMAL_WAIT,
        Priority::High => HIGH_WAIT,
    }
}
