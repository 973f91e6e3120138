//! The host of the first daemon is partitioned from all replicas now and then, while callers, its store and the other
//! daemons reach it. Replicas are brittle, or silent for a second.

use {
    super::{
        caller::{Kind, send_once},
        fleet::Member,
        proxy::Fault,
        stand_in::{documents::table_of_kinds, store::StandInStore},
        trouble::World,
    },
    rand::{RngExt, rngs::SmallRng},
    std::time::{Duration, Instant},
};

/// Refusals per second that a brittle replica bears.
const REFUSALS: &str = "20";

/// Time of a daemon after its start until it knows the others and serves requests.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Time from the begin of a partition until requests have to be served again.
const CONTACT_TIME: Duration = Duration::from_millis(500);

/// Number of requests in partitions from which their share is checked.
const MIN_REQUESTS: usize = 10;

/// How connections to replicas fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cut {
    /// New ones are refused, and open ones go on.
    NewRefused,
    /// New ones are refused, and open ones are reset.
    Reset,
    /// No bytes pass.
    Silent,
}

/// Gives the first daemon a store and proxies of its own; the entries have the same order as in the other store.
pub async fn add_far_ways(members: &mut [Member]) -> StandInStore {
    let store = StandInStore::start().await;
    store.publish(&table_of_kinds(1));
    for member in members {
        member.add_far_way(&store).await;
    }
    store
}

/// Partitions the first daemon's host again and again, until it is aborted. With `planned`, open connections go on, and
/// requests at the first daemon have to be served.
pub async fn run(world: World, mut rng: SmallRng, planned: bool) {
    for member in world.members.borrow().iter() {
        if rng.random() {
            member.replica.set_signal("Server-Brittle", REFUSALS);
        }
    }
    let (mut tried, mut served) = (0, 0);
    loop {
        pause(&mut rng, 50..600).await;
        let cut = match rng.random_range(0..3) {
            _ if planned => Cut::NewRefused,
            0 => Cut::NewRefused,
            1 => Cut::Reset,
            _ => Cut::Silent,
        };
        begin(&world, cut);
        let until = Instant::now() + Duration::from_millis(rng.random_range(900..2_000));
        tokio::time::sleep(CONTACT_TIME).await;
        while Instant::now() < until {
            if planned && serves(&world) {
                let id = format!("end-cut-{tried}");
                let listen = world.daemons.borrow()[0].listen;
                let status = send_once(listen, &id, Kind::Guarded).await;
                // A stop may have begun meanwhile.
                if serves(&world) {
                    tried += 1;
                    served += usize::from(status == Some(200));
                }
            }
            pause(&mut rng, 20..60).await;
        }
        end(&world);
        if tried >= MIN_REQUESTS && served * 3 < tried * 2 {
            world.add_finding(format!(
                "the partitioned daemon served {served} of {tried} requests"
            ));
        }
        if !planned {
            silence_replica(&world, &mut rng).await;
        }
    }
}

async fn pause(rng: &mut SmallRng, ms: std::ops::Range<u64>) {
    tokio::time::sleep(Duration::from_millis(rng.random_range(ms))).await;
}

/// Returns whether the first daemon and another one are up and have been so for some time.
fn serves(world: &World) -> bool {
    let daemons = world.daemons.borrow();
    let mut up = daemons
        .iter()
        .map(|daemon| !daemon.ending && daemon.started.elapsed() > START_TIME);
    up.next() == Some(true) && up.any(|up| up)
}

fn begin(world: &World, cut: Cut) {
    for member in world.members.borrow().iter() {
        let Some(far) = &member.far else { continue };
        match cut {
            Cut::NewRefused => far.end(),
            Cut::Reset => {
                far.end();
                far.set(Fault::Reset);
            }
            Cut::Silent => far.set(Fault::Silence),
        }
    }
}

/// Ends the partition.
pub fn end(world: &World) {
    for member in world.members.borrow().iter() {
        let Some(far) = &member.far else { continue };
        far.set(Fault::None);
        far.end();
        far.begin_again();
    }
}

/// Makes a replica silent for about a second.
async fn silence_replica(world: &World, rng: &mut SmallRng) {
    let proxies = {
        let members = world.members.borrow();
        let member = &members[rng.random_range(0..members.len())];
        [Some(member.proxy.clone()), member.far.clone()]
    };
    for proxy in proxies.iter().flatten() {
        proxy.set(Fault::Silence);
    }
    pause(rng, 900..1_300).await;
    for proxy in proxies.iter().flatten() {
        proxy.set(Fault::None);
    }
}
