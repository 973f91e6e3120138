//! The baseline policy: which endpoint is next in turn?
//!
//! Inputs: the pool and its cursor. Output: the index of the next endpoint in turn that isn't leaving, or none. Load,
//! health, distance and endpoints tried before are ignored. Every request is admitted, every retry is granted up to the
//! settings' `attempts`, and no endpoint is ejected.
//!
//! Reason: the estimated policy is compared with it (`docs/MEASUREMENTS.md`, "Load, both policies in one run"), and it
//! has no parameters.

use {
    crate::{
        pipeline::decision::{
            admission::RequiredTime, call_costs::CallEstimate, policy::Policy, pool::Pool,
        },
        settings::values::Priority,
        shared::{
            ids::MemberSerial,
            units::{Millis, Share, Time},
        },
    },
    rand::rngs::SmallRng,
};

/// Chooses endpoints in turn, without regard to their load or health.
#[derive(Debug, Clone, Copy)]
pub struct Naive;

impl Policy for Naive {
    fn choose(
        &self,
        _now: Time,
        pool: &mut Pool,
        _estimate: &CallEstimate,
        _tried: &[MemberSerial],
        _rng: &mut SmallRng,
    ) -> Option<usize> {
        let count = pool.members.len();
        for _ in 0..count {
            let i = pool.cursor % count;
            pool.cursor = pool.cursor.wrapping_add(1);
            let member = &pool.members[i];
            if !member.is_leaving() {
                return Some(i);
            }
        }
        None
    }

    fn admits(
        &self,
        _remaining: Millis,
        _required: RequiredTime,
        _priority: Priority,
        _allowance: Share,
    ) -> bool {
        true
    }

    fn continues(&self, _remaining: Millis, _required: RequiredTime) -> bool {
        true
    }

    fn grants_retry(&self, _pool: &mut Pool) -> bool {
        true
    }

    fn record_first_attempt(&self, _pool: &mut Pool, _share: Share) {}

    fn ejects(&self) -> bool {
        false
    }
}
