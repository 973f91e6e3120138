//! Chooses by estimated finish, admits by deadline and priority, retries within a budget.

use {
    crate::{
        policy::Policy,
        pool::{MemberSerial, Pool},
        settings::Priority,
        units::{Millis, Share, Time, WorkMillis},
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

/// Share of the time left that the expected work may take, by priority.
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
            Some((old_tried, old_finish, _)) => {
                (tried, finish) < (old_tried, old_finish) || (old_tried && !tried)
            }
        };
        if better {
            self.found = Some((tried, finish, index));
        }
    }
}

impl Estimated {
    #[allow(clippy::too_many_arguments)]
    fn look(
        self,
        now: Time,
        pool: &Pool,
        indexes: &[usize],
        work: WorkMillis,
        hop: f64,
        tried: &[MemberSerial],
        best: &mut Best,
        mut pick: impl Iterator<Item = usize>,
        wanted: usize,
    ) {
        let mut seen = 0;
        while seen < wanted {
            let Some(position) = pick.next() else {
                return;
            };
            let index = indexes[position];
            let member = &pool.members[index];
            if !member.is_open(now) {
                continue;
            }
            seen += 1;
            let finish = member.load.finish(now, work).0 + hop;
            best.offer(tried.contains(&member.serial), finish, index);
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
        work: WorkMillis,
        tried: &[MemberSerial],
        rng: &mut SmallRng,
    ) -> Option<usize> {
        let mut best = Best::default();
        let near = walk(pool.local.len(), rng);
        self.look(
            now,
            pool,
            &pool.local,
            work,
            0.0,
            tried,
            &mut best,
            near,
            LOCAL_SAMPLE,
        );
        let wanted = match best.found {
            Some((false, ..)) => REMOTE_SAMPLE,
            _ => REMOTE_SAMPLE + LOCAL_SAMPLE,
        };
        let far = walk(pool.remote.len(), rng);
        let hop = self.hop.0 as f64;
        self.look(
            now,
            pool,
            &pool.remote,
            work,
            hop,
            tried,
            &mut best,
            far,
            wanted,
        );
        best.found.map(|(_, _, index)| index)
    }

    fn admits(
        &self,
        remaining: Millis,
        expected: WorkMillis,
        priority: Priority,
        room: f64,
    ) -> bool {
        expected.0 <= remaining.0 as f64 * usable_share(priority) * room
    }

    /// Looser than admission: what was spent on earlier stages is lost by stopping here.
    fn continues(&self, remaining: Millis, expected: WorkMillis) -> bool {
        expected.0 <= remaining.0 as f64
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
