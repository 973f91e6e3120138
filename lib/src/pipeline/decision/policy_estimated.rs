//! Which endpoint would finish a call first?
//!
//! Inputs: a pool with what is known of its endpoints' load and health, the call's work in milliseconds
//! ([`CallEstimate`]), the endpoints that the call was already sent to, and random numbers. Output: the index of an
//! endpoint, or none if no endpoint may get the call.
//!
//! Rule: the candidates are [`LOCAL_SAMPLE`] endpoints of the local data centre and [`REMOTE_SAMPLE`] of the others,
//! each in the pool's order from a random position on, and all endpoints that probably have the start of the prompt in
//! their cache. The candidate with the earliest estimated finish ([`estimate`](super::estimate)), the cost of a call
//! into another data centre included, gets the call. One that was tried before gets it only if there is no other.
//!
//! Reason: the finish combines queue, speed, distance and cache in one unit, so none of them needs a threshold of its
//! own. A sample keeps the cost of a choice the same in a pool of any size (`docs/MEASUREMENTS.md`, "One decision").
//! Runs against the baseline are there under "Load, both policies in one run" and "Faults at 0.8 of capacity".
//!
//! The policy's other decisions are in [`admission`] and [`retry`](super::retry).
//!
//! `test_policy_pins.rs` (`pool_choices`) pins the rule.

use {
    crate::{
        pipeline::decision::{
            admission::{self, RequiredTime},
            call_costs::CallEstimate,
            policy::Policy,
            pool::Pool,
        },
        settings::values::Priority,
        shared::{
            ids::MemberSerial,
            units::{Millis, Share, Time, WorkMillis},
        },
    },
    rand::{RngExt, rngs::SmallRng},
};

/// Endpoints of the local data centre sampled for one choice.
pub const LOCAL_SAMPLE: usize = 4;

/// Endpoints of other data centres sampled for one choice; [`LOCAL_SAMPLE`] more if the local sample has no endpoint
/// that is still untried.
pub const REMOTE_SAMPLE: usize = 2;

/// Chooses, among a few sampled endpoints, the one that would finish the call first.
#[derive(Debug, Clone, Copy)]
pub struct Estimated {
    /// Time that a call into another data centre takes in addition.
    pub hop: Millis,
}

/// An endpoint that may get the call.
#[derive(Debug, Clone, Copy)]
struct PoolCandidate {
    tried: bool,
    finish: WorkMillis,
    index: usize,
}

impl PoolCandidate {
    /// Returns whether this candidate is preferred to `other`: an untried endpoint to a tried one, then the earlier
    /// finish. Of two equal candidates neither is better, so the one found first stays.
    fn is_better(&self, other: &PoolCandidate) -> bool {
        (self.tried, self.finish.0) < (other.tried, other.finish.0)
    }
}

/// A search for the endpoint that would finish a call first.
struct Search<'s> {
    now: Time,
    pool: &'s Pool,
    estimate: &'s CallEstimate,
    tried: &'s [MemberSerial],
    best: Option<PoolCandidate>,
}

impl Search<'_> {
    /// Compares one endpoint with the best candidate so far; returns whether it may get the call.
    fn check(&mut self, index: usize, hop: WorkMillis) -> bool {
        let member = &self.pool.members[index];
        if !member.is_open(self.now) {
            return false;
        }
        let work = self.estimate.work_at(member.serial);
        let candidate = PoolCandidate {
            tried: self.tried.contains(&member.serial),
            finish: WorkMillis(member.load.time_to_finish(self.now, work).0 + hop.0),
            index,
        };
        if self.best.is_none_or(|best| candidate.is_better(&best)) {
            self.best = Some(candidate);
        }
        true
    }

    /// Checks endpoints of a list, from a random one on, until `wanted` of them may get the call.
    fn sample(&mut self, indexes: &[usize], hop: WorkMillis, wanted: usize, rng: &mut SmallRng) {
        let mut checked = 0;
        for position in rotated_positions(indexes.len(), rng) {
            if checked == wanted {
                return;
            }
            checked += usize::from(self.check(indexes[position], hop));
        }
    }

    /// Returns whether the best candidate is one that the call wasn't sent to yet.
    fn has_untried(&self) -> bool {
        self.best.is_some_and(|best| !best.tried)
    }
}

/// Yields all positions below `count` once, from a random one on, wrapping around at the end.
fn rotated_positions(count: usize, rng: &mut SmallRng) -> impl Iterator<Item = usize> {
    let start = if count == 0 {
        0
    } else {
        rng.random_range(0..count)
    };
    (0..count).map(move |i| (start + i) % count)
}

impl Policy for Estimated {
    fn choose(
        &self,
        now: Time,
        pool: &mut Pool,
        estimate: &CallEstimate,
        tried: &[MemberSerial],
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let local_hop = WorkMillis(0.0);
        let remote_hop = WorkMillis(self.hop.0 as f64);
        let mut search = Search {
            now,
            pool,
            estimate,
            tried,
            best: None,
        };
        search.sample(&pool.local, local_hop, LOCAL_SAMPLE, rng);
        let wanted = if search.has_untried() {
            REMOTE_SAMPLE
        } else {
            REMOTE_SAMPLE + LOCAL_SAMPLE
        };
        search.sample(&pool.remote, remote_hop, wanted, rng);
        // An engine that has the start of the prompt in its cache has less work to do, but a long queue can outweigh
        // that. It is counted as in another data centre wherever it is.
        for holder in &estimate.holders {
            if let Some(index) = pool.index_of(holder.serial) {
                search.check(index, remote_hop);
            }
        }
        search.best.map(|best| best.index)
    }

    fn admits(
        &self,
        remaining: Millis,
        required: RequiredTime,
        priority: Priority,
        allowance: Share,
    ) -> bool {
        admission::admits(remaining, required, priority, allowance)
    }

    fn continues(&self, remaining: Millis, required: RequiredTime) -> bool {
        admission::continues(remaining, required)
    }

    fn grants_retry(&self, pool: &mut Pool) -> bool {
        pool.budget.withdraw()
    }

    fn record_first_attempt(&self, pool: &mut Pool, share: Share) {
        pool.budget.deposit(share);
    }

    fn ejects(&self) -> bool {
        true
    }
}
