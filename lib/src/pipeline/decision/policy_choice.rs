//! Selects the policy that the `policy` setting names.
//!
//! An enum rather than `dyn`, since each call dispatches through it.

use {
    crate::{
        pipeline::decision::{
            admission::RequiredTime, call_costs::CallEstimate, policy::Policy,
            policy_estimated::Estimated, policy_naive::Naive, pool::Pool,
        },
        settings::values::{PolicyKind, Priority},
        shared::{
            ids::MemberSerial,
            units::{Millis, Share, Time},
        },
    },
    rand::rngs::SmallRng,
};

/// One of the policies, selected by the `policy` setting.
#[derive(Debug, Clone, Copy)]
pub enum AnyPolicy {
    /// Chooses the endpoint with the earliest estimated finish.
    Estimated(Estimated),
    /// Chooses endpoints in turn (round robin).
    Naive(Naive),
}

impl AnyPolicy {
    /// Returns the policy that a setting names; `hop` is the cost of a call into another data centre.
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
        estimate: &CallEstimate,
        tried: &[MemberSerial],
        rng: &mut SmallRng,
    ) -> Option<usize> {
        delegate!(self, policy => policy.choose(now, pool, estimate, tried, rng))
    }

    fn admits(
        &self,
        remaining: Millis,
        required: RequiredTime,
        priority: Priority,
        allowance: Share,
    ) -> bool {
        delegate!(self, policy => policy.admits(remaining, required, priority, allowance))
    }

    fn continues(&self, remaining: Millis, required: RequiredTime) -> bool {
        delegate!(self, policy => policy.continues(remaining, required))
    }

    fn grants_retry(&self, pool: &mut Pool) -> bool {
        delegate!(self, policy => policy.grants_retry(pool))
    }

    fn record_first_attempt(&self, pool: &mut Pool, share: Share) {
        delegate!(self, policy => policy.record_first_attempt(pool, share));
    }

    fn ejects(&self) -> bool {
        delegate!(self, policy => policy.ejects())
    }
}
