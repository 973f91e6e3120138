//! The decisions that differ between the policies a service's settings can name.
//!
//! [`Policy`] is what the core relies on; [`policy_estimated`](super::policy_estimated) is the
//! policy in use, [`policy_naive`](super::policy_naive) the baseline it is measured against, and
//! [`policy_choice`](super::policy_choice) picks one by the settings. All of them are pure but for
//! a pool's cursor and retry budget, which they own the use of.

use {
    crate::{
        pipeline::decision::{admission::Needs, call_costs::CallPlacement, pool::Pool},
        settings::values::Priority,
        shared::{
            ids::MemberSerial,
            units::{Millis, Share, Time},
        },
    },
    rand::rngs::SmallRng,
};

/// The decisions that differ between implementations.
pub trait Policy {
    /// Chooses an endpoint for a call, by its index in the pool.
    ///
    /// Endpoints in `tried` come last: they are chosen only when no other can take the call.
    fn choose(
        &self,
        now: Time,
        pool: &mut Pool,
        placement: &CallPlacement,
        tried: &[MemberSerial],
        rng: &mut SmallRng,
    ) -> Option<usize>;

    /// Decides whether work is worth starting with `remaining` left.
    ///
    /// `room` is the part of the usual room that the customer has by its share.
    fn admits(&self, remaining: Millis, needs: Needs, priority: Priority, room: Share) -> bool;

    /// Decides whether work that was admitted is worth going on with.
    fn continues(&self, remaining: Millis, needs: Needs) -> bool;

    /// Decides whether a stage may be sent once more, as far as its pool's budget goes.
    fn grants_retry(&self, pool: &mut Pool) -> bool;

    /// Records a first attempt, which pays `share` of a retry into the pool's budget.
    fn first_attempt(&self, pool: &mut Pool, share: Share);

    /// Returns whether endpoints that fail are ejected.
    fn ejects(&self) -> bool;
}
