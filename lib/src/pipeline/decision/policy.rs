//! How endpoints are chosen, requests admitted and retries granted.

use {
    crate::{
        pipeline::decision::{call_costs::CallPlacement, pool::Pool},
        settings::values::Priority,
        shared::{
            ids::MemberSerial,
            units::{Millis, Share, Time, WorkMillis},
        },
    },
    rand::rngs::SmallRng,
};

/// Time that a request still needs, by the estimate.
#[derive(Debug, Clone, Copy)]
pub struct Needs {
    /// Its own work at the endpoints.
    pub work: WorkMillis,
    /// Waiting for others' work before it.
    pub wait: WorkMillis,
}

/// The decisions that differ between implementations.
pub trait Policy {
    /// Chooses an endpoint for a call, by its index in the pool.
    ///
    /// Endpoints in `tried` come last: they are chosen only when no other can take the call.
    fn choose(
        &self,
        now: Time,
        pool: &mut Pool,
        job: &CallPlacement,
        tried: &[MemberSerial],
        rng: &mut SmallRng,
    ) -> Option<usize>;

    /// Decides whether work is worth starting with `remaining` left.
    ///
    /// `room` is the part of the usual room that the customer has by its share.
    fn admits(&self, remaining: Millis, needs: Needs, priority: Priority, room: f64) -> bool;

    /// Decides whether work that was admitted is worth going on with.
    fn continues(&self, remaining: Millis, needs: Needs) -> bool;

    /// Decides whether a first attempt, once failed, may be followed by another one.
    fn grants_retry(&self, pool: &mut Pool) -> bool;

    /// Notes a first attempt.
    fn first_attempt(&self, pool: &mut Pool, share: Share);

    /// Tells whether endpoints that fail are ejected.
    fn ejects(&self) -> bool;
}
