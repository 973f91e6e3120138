//! The decisions that differ between the policies that a service's settings can name.
//!
//! The core uses the trait [`Policy`]. [`policy_estimated`](super::policy_estimated) is the policy in use,
//! [`policy_naive`](super::policy_naive) the baseline it is compared with, and [`policy_choice`](super::policy_choice)
//! selects one of them by the settings. The policies have no state of their own; they change only a pool's cursor and
//! retry budget, which nothing else does.

use {
    crate::{
        pipeline::decision::{admission::RequiredTime, call_costs::CallEstimate, pool::Pool},
        settings::values::Priority,
        shared::{
            ids::MemberSerial,
            units::{Millis, Share, Time},
        },
    },
    rand::rngs::SmallRng,
};

/// The decisions that differ between policies.
pub trait Policy {
    /// Chooses an endpoint for a call, by its index in the pool.
    ///
    /// Returns `None` if no endpoint can take the call. Endpoints in `tried` got the call before; a policy may prefer
    /// others.
    fn choose(
        &self,
        now: Time,
        pool: &mut Pool,
        estimate: &CallEstimate,
        tried: &[MemberSerial],
        rng: &mut SmallRng,
    ) -> Option<usize>;

    /// Returns whether a request is worth starting with `remaining` left.
    ///
    /// `allowance` is the customer's wait allowance: the fraction of the usual wait that its requests may have.
    fn admits(
        &self,
        remaining: Millis,
        required: RequiredTime,
        priority: Priority,
        allowance: Share,
    ) -> bool;

    /// Returns whether a request that was admitted is worth continuing.
    fn continues(&self, remaining: Millis, required: RequiredTime) -> bool;

    /// Returns whether the pool's budget allows one more attempt at a stage, and takes it from the budget.
    fn grants_retry(&self, pool: &mut Pool) -> bool;

    /// Records a first attempt, which pays `share` of a retry into the pool's budget.
    fn record_first_attempt(&self, pool: &mut Pool, share: Share);

    /// Returns whether endpoints that fail are ejected.
    fn ejects(&self) -> bool;
}
