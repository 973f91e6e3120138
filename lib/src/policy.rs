//! How endpoints are chosen, requests admitted and retries granted.

use {
    crate::{
        policy_estimated::Estimated,
        policy_naive::Naive,
        pool::{Job, MemberSerial, Pool},
        settings::{PolicyKind, Priority},
        units::{Millis, Share, Time, WorkMillis},
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
        job: &Job,
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

/// Any of the implementations, chosen by the `policy` setting.
#[derive(Debug, Clone, Copy)]
pub enum AnyPolicy {
    /// Chooses by estimated finish.
    Estimated(Estimated),
    /// Round robin.
    Naive(Naive),
}

impl AnyPolicy {
    /// Returns the implementation that a setting names.
    pub fn new(kind: PolicyKind, hop: Millis) -> Self {
        match kind {
            PolicyKind::Estimated => AnyPolicy::Estimated(Estimated { hop }),
            PolicyKind::Naive => AnyPolicy::Naive(Naive),
        }
    }
}

macro_rules! delegate {
    ($self:ident, $policy:ident => $call:expr) => {
        match $self {
            AnyPolicy::Estimated($policy) => $call,
            AnyPolicy::Naive($policy) => $call,
        }
    };
}

impl Policy for AnyPolicy {
    fn choose(
        &self,
        now: Time,
        pool: &mut Pool,
        job: &Job,
        tried: &[MemberSerial],
        rng: &mut SmallRng,
    ) -> Option<usize> {
        delegate!(self, policy => policy.choose(now, pool, job, tried, rng))
    }

    fn admits(&self, remaining: Millis, needs: Needs, priority: Priority, room: f64) -> bool {
        delegate!(self, policy => policy.admits(remaining, needs, priority, room))
    }

    fn continues(&self, remaining: Millis, needs: Needs) -> bool {
        delegate!(self, policy => policy.continues(remaining, needs))
    }

    fn grants_retry(&self, pool: &mut Pool) -> bool {
        delegate!(self, policy => policy.grants_retry(pool))
    }

    fn first_attempt(&self, pool: &mut Pool, share: Share) {
        delegate!(self, policy => policy.first_attempt(pool, share));
    }

    fn ejects(&self) -> bool {
        delegate!(self, policy => policy.ejects())
    }
}
