//! A replica that advertises a low rate limit for the rest of a run, and a check of the requests that it gets.

use {
    super::{stand_in::replica::Replica, trouble::World},
    rand::{RngExt, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Rates that a replica may advertise, in requests a second.
const ADVERTISED_RATES: [f64; 3] = [1.0, 2.0, 6.0];

/// Upper bound of the random time until it advertises its rate, in milliseconds.
const MAX_START_MS: u64 = 500;

/// Time after the first advertisement from which on the bound holds.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Length of the window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Requests that a daemon may send to the replica from its start until it receives the rate; allowed once for each start
/// in the run. The daemon serves eight callers in that time.
const MAX_UNAWARE_REQUESTS: usize = 16;

/// A replica that advertises a rate limit.
#[derive(Debug)]
pub struct LimitedReplica {
    replica: Replica,
    rate: f64,
    began: Instant,
}

/// Makes a random replica advertise a random rate, after a random time.
pub async fn begin(world: World, mut rng: SmallRng) -> LimitedReplica {
    let wait = Duration::from_millis(rng.random_range(0..MAX_START_MS));
    tokio::time::sleep(wait).await;
    let rate = ADVERTISED_RATES[rng.random_range(0..ADVERTISED_RATES.len())];
    let replica = {
        let members = world.members.borrow();
        members[rng.random_range(0..members.len())].replica.clone()
    };
    replica.set_limit(Some(&rate.to_string()));
    LimitedReplica {
        replica,
        rate,
        began: Instant::now(),
    }
}

impl LimitedReplica {
    /// Checks that all daemons together kept to the rate, and removes the limit.
    pub fn check(&self, world: &World) {
        self.replica.set_limit(None);
        let settled = self.began + SETTLE_TIME;
        let arrivals = self.replica.arrivals();
        let counted: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= settled).collect();
        let in_window = |from: Instant| {
            let inside = counted
                .iter()
                .filter(|at| **at >= from && **at < from + WINDOW);
            inside.count()
        };
        let most = counted.iter().map(|at| in_window(*at)).max();
        let most = most.unwrap_or_default();
        let starts = world.starts.get();
        let allowed = (self.rate * WINDOW.as_secs_f64() * 1.5 + 5.0) as usize;
        println!(
            "{most} requests in 4 s at a replica that advertises {} a second, {} in all, allowed {allowed}, {starts} starts",
            self.rate,
            counted.len()
        );
        if most > allowed + MAX_UNAWARE_REQUESTS * starts {
            world.add_finding(format!(
                "{most} requests in 4 s at a replica that advertises {} a second",
                self.rate
            ));
        }
    }
}
