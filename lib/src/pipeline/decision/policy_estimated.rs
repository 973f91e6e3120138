//! Which endpoint would finish a call first?
//!
//! Inputs: a pool with what is known of its endpoints' load and health, the call's work in
//! milliseconds ([`CallPlacement`]), the endpoints it was already sent to, and a random start.
//! Output: the index of an endpoint, or none if no endpoint may get the call.
//!
//! The rule: [`LOCAL_SAMPLE`] endpoints of the own data centre and [`REMOTE_SAMPLE`] of the others
//! are looked at, from a random one on, and all that probably hold the prompt's beginning. The one
//! with the earliest estimated finish ([`estimate`](super::estimate)), the way to another data
//! centre included, gets the call; one that was tried before only if there is no other.
//!
//! The reason: the finish weighs queue, speed, distance and cache against each other in one unit,
//! so that none needs a threshold of its own; a sample keeps the cost of a choice the same in a
//! pool of any size (`docs/MEASUREMENTS.md`, "One decision"). Runs against the baseline are there
//! under "Load, both policies in one run" and "Faults at 0.8 of capacity".
//!
//! The policy's other decisions stand in [`admission`] and [`retry`](super::retry).
//!
//! `test_policy_pins.rs` (`pool_choices`) pins the rule.

use {
    crate::{
        pipeline::decision::{
            admission::{self, Needs},
            call_costs::CallPlacement,
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

/// Endpoints of the own data centre looked at for one choice.
pub const LOCAL_SAMPLE: usize = 4;

/// Endpoints of other data centres looked at for one choice; [`LOCAL_SAMPLE`] more if the own data centre has none that
/// wasn't tried.
pub const REMOTE_SAMPLE: usize = 2;

/// Chooses the endpoint that would finish first, among a few sampled ones.
#[derive(Debug, Clone, Copy)]
pub struct Estimated {
    /// Cost of a call into another data centre.
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
    /// Returns whether the endpoint goes before another: one not yet tried before a tried one, then
    /// the earlier finish. Of equals, the one that was found first stays.
    fn is_better(&self, other: &PoolCandidate) -> bool {
        (self.tried, self.finish.0) < (other.tried, other.finish.0)
    }
}

/// A search for the endpoint that would finish a call first.
struct Search<'s> {
    now: Time,
    pool: &'s Pool,
    placement: &'s CallPlacement,
    tried: &'s [MemberSerial],
    best: Option<PoolCandidate>,
}

impl Search<'_> {
    /// Looks at one endpoint; returns whether it may get the call.
    fn look(&mut self, index: usize, hop: WorkMillis) -> bool {
        let member = &self.pool.members[index];
        if !member.is_open(self.now) {
            return false;
        }
        let work = self.placement.work_at(member.serial);
        let found = PoolCandidate {
            tried: self.tried.contains(&member.serial),
            finish: WorkMillis(member.load.finish(self.now, work).0 + hop.0),
            index,
        };
        if self.best.is_none_or(|best| found.is_better(&best)) {
            self.best = Some(found);
        }
        true
    }

    /// Looks at some endpoints of a list, from a random one on.
    fn sample(&mut self, indexes: &[usize], hop: WorkMillis, wanted: usize, rng: &mut SmallRng) {
        let mut seen = 0;
        for position in walk(indexes.len(), rng) {
            if seen == wanted {
                return;
            }
            seen += usize::from(self.look(indexes[position], hop));
        }
    }

    /// Returns whether an endpoint was found that the call wasn't sent to yet.
    fn has_untried(&self) -> bool {
        self.best.is_some_and(|best| !best.tried)
    }
}

/// Walks over all positions once, from a random one on; the first few are the sample.
fn walk(count: usize, rng: &mut SmallRng) -> impl Iterator<Item = usize> {
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
        placement: &CallPlacement,
        tried: &[MemberSerial],
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let near = WorkMillis(0.0);
        let far = WorkMillis(self.hop.0 as f64);
        let mut search = Search {
            now,
            pool,
            placement,
            tried,
            best: None,
        };
        search.sample(&pool.local, near, LOCAL_SAMPLE, rng);
        let wanted = if search.has_untried() {
            REMOTE_SAMPLE
        } else {
            REMOTE_SAMPLE + LOCAL_SAMPLE
        };
        search.sample(&pool.remote, far, wanted, rng);
        // A holder of the prompt's beginning has less to do; with a long queue it still loses. Its
        // distance counts as a hop wherever it stands.
        for holder in &placement.holders {
            if let Some(index) = pool.index_of(holder.serial) {
                search.look(index, far);
            }
        }
        search.best.map(|best| best.index)
    }

    fn admits(&self, remaining: Millis, needs: Needs, priority: Priority, room: Share) -> bool {
        admission::admits(remaining, needs, priority, room)
    }

    fn continues(&self, remaining: Millis, needs: Needs) -> bool {
        admission::continues(remaining, needs)
    }

    fn grants_retry(&self, pool: &mut Pool) -> bool {
        pool.budget.withdraw()
    }

    fn first_attempt(&self, pool: &mut Pool, share: Share) {
        pool.budget.deposit(share);
    }

    fn ejects(&self) -> bool {
        true
    }
}
