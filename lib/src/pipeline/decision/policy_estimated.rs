//! Chooses by estimated finish, admits by deadline and priority, retries within a budget.

use {
    crate::{
        pipeline::decision::{
            call_costs::CallPlacement,
            policy::{Needs, Policy},
            pool::Pool,
        },
        settings::values::Priority,
        shared::{
            ids::MemberSerial,
            units::{Millis, Share, Time},
        },
    },
    rand::{RngExt, rngs::SmallRng},
};

/// Endpoints looked at for one choice, in the own data centre and in the others.
const LOCAL_SAMPLE: usize = 4;
const REMOTE_SAMPLE: usize = 2;

/// Chooses the endpoint that would finish first, among a few sampled ones.
#[derive(Debug, Clone, Copy)]
pub struct Estimated {
    /// Cost of a call into another data centre.
    pub hop: Millis,
}

/// Share of the time left beside its own work that a request may spend waiting, by priority.
fn usable_share(priority: Priority) -> f64 {
    match priority {
        Priority::Low => 0.35,
        Priority::Normal => 0.6,
        Priority::High => 0.9,
    }
}

/// The best candidate so far: an endpoint not yet tried goes before a tried one.
#[derive(Default)]
struct Best {
    found: Option<(bool, f64, usize)>,
}

impl Best {
    fn offer(&mut self, tried: bool, finish: f64, index: usize) {
        let better = match self.found {
            None => true,
            Some((old_tried, old_finish, _)) => (tried, finish) < (old_tried, old_finish),
        };
        if better {
            self.found = Some((tried, finish, index));
        }
    }
}

/// A search for the endpoint that would finish a call first.
struct Search<'s> {
    now: Time,
    pool: &'s Pool,
    job: &'s CallPlacement,
    tried: &'s [MemberSerial],
    best: Best,
}

impl Search<'_> {
    /// Looks at one endpoint; returns whether it may get the call.
    fn look(&mut self, index: usize, hop: f64) -> bool {
        let member = &self.pool.members[index];
        if !member.is_open(self.now) {
            return false;
        }
        let work = self.job.work_at(member.serial);
        let finish = member.load.finish(self.now, work).0 + hop;
        let tried = self.tried.contains(&member.serial);
        self.best.offer(tried, finish, index);
        true
    }

    /// Looks at some endpoints of a list, from a random one on.
    fn sample(&mut self, indexes: &[usize], hop: f64, wanted: usize, rng: &mut SmallRng) {
        let mut seen = 0;
        for position in walk(indexes.len(), rng) {
            if seen == wanted {
                return;
            }
            seen += usize::from(self.look(indexes[position], hop));
        }
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
        job: &CallPlacement,
        tried: &[MemberSerial],
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let hop = self.hop.0 as f64;
        let mut search = Search {
            now,
            pool,
            job,
            tried,
            best: Best::default(),
        };
        search.sample(&pool.local, 0.0, LOCAL_SAMPLE, rng);
        let wanted = match search.best.found {
            Some((false, ..)) => REMOTE_SAMPLE,
            _ => REMOTE_SAMPLE + LOCAL_SAMPLE,
        };
        search.sample(&pool.remote, hop, wanted, rng);
        // Who holds the prompt's beginning has less to do; with a long queue it still loses.
        for holder in &job.holders {
            if let Some(index) = pool.index_of(holder.serial) {
                search.look(index, hop);
            }
        }
        search.best.found.map(|(_, _, index)| index)
    }

    fn admits(&self, remaining: Millis, needs: Needs, priority: Priority, room: f64) -> bool {
        let slack = remaining.0 as f64 - needs.work.0;
        slack >= 0.0 && needs.wait.0 <= slack * usable_share(priority) * room
    }

    /// Looser than admission: what was spent on earlier stages is lost by stopping here.
    fn continues(&self, remaining: Millis, needs: Needs) -> bool {
        needs.work.0 + needs.wait.0 <= remaining.0 as f64
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
