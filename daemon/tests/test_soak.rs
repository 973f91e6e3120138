//! Randomised runs of the daemon program: several daemon processes, faults injected from outside, and checks of the
//! daemons' guarantees against what callers and replicas observed.
//!
//! The environment variable `HAZELYOKE_SOAK_SEEDS=100..150` replaces the default seeds, and
//! `HAZELYOKE_SOAK_SECONDS=20` sets the time with faults of each run, in seconds. A seed that fails leaves its logs in
//! cargo's folder for temporary files of tests, and is added to `REGRESSIONS`.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod soak {
    pub(crate) use super::stand_in;

    pub mod caller;
    pub mod checks;
    pub mod fleet;
    pub mod harm;
    pub mod need;
    pub mod proxy;
    pub mod trouble;
}

use {
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    serde_json::Value,
    soak::{
        caller::{Kind, Outcomes, run_caller, send_once},
        checks::check,
        fleet::{Daemon, Member, start_daemons, start_members},
        harm, need,
        stand_in::{documents::table_of_kinds, store::StandInStore},
        trouble::World,
    },
    stand_in::client,
    std::{
        cell::{Cell, RefCell},
        collections::{BTreeMap, BTreeSet},
        env,
        rc::Rc,
        time::Duration,
    },
    tokio::task::LocalSet,
};

/// Default seeds beside `REGRESSIONS`: without and with faults of links, with evacuations, with harmful requests, with
/// a replica that advertises a low rate, and with a store that is restored from older copies.
const SHORT: [u64; 12] = [
    2, 3, 1_000, 1_001, 2_000, 2_002, 3_001, 3_002, 4_001, 4_003, 5_000, 5_002,
];

/// First seed that also disturbs the links between daemons and lets tables grow large. Seeds below it keep the sequence
/// of faults with which they once failed.
const LINKS_FROM: u64 = 1_000;

/// First seed that also evacuates the replicas' data centre and writes invalid entries into the directory.
const EVACUATIONS_FROM: u64 = 2_000;

/// First seed that also sends a harmful request again and again: it terminates each replica that starts to run it.
const HARMFUL_FROM: u64 = 3_000;

/// First seed in which a replica also advertises a low rate limit.
const NEED_FROM: u64 = 4_000;

/// First seed in which the store is also restored from older copies.
const RETURNS_FROM: u64 = 5_000;

/// Seeds that failed once, each with the fault that it found.
const REGRESSIONS: [(u64, &str); 7] = [
    (
        4,
        "an endpoint that had once identified itself as another was never used again",
    ),
    (5, "the same fault as seed 4, in a large fleet"),
    (
        116,
        "a signal received while the daemon started terminated it",
    ),
    (
        302,
        "a replica left while the store didn't answer, and the final check began before all daemons had noticed",
    ),
    (
        3_107,
        "both daemons were killed in short succession, and the record of a harmful request was lost",
    ),
    (
        3_137,
        "a daemon that started behind a cut link let a harmful request terminate as many replicas as without reports",
    ),
    (
        5_105,
        "an entry rewritten unchanged after a restore of the store wasn't reported to other daemons, which dropped it",
    ),
];

/// Default time with faults of one run, in seconds.
const SHORT_SECONDS: u64 = 4;

/// Upper bound of the random time between two faults, in milliseconds.
const LONGEST_GAP_MS: u64 = 260;

/// Number of concurrent callers in one run.
const CALLERS: usize = 8;

/// Longest wait until all daemons have the current table and endpoints, or until one serves a kind of request.
const SETTLE_LIMIT: Duration = Duration::from_secs(25);

/// Seeds divisible by this number have planned work only: no daemon is killed and nothing fails.
const PLANNED_EVERY: u64 = 3;

/// Seeds divisible by this number start a large fleet, in which not every daemon receives messages from every other.
const MANY_EVERY: u64 = 5;

/// Number of daemons in a large fleet.
const MANY: usize = 18;

fn seeds() -> Vec<u64> {
    let text = env::var("HAZELYOKE_SOAK_SEEDS").ok();
    let range = text.as_deref().and_then(|text| {
        let (from, to) = text.split_once("..")?;
        Some(from.parse().ok()?..to.parse().ok()?)
    });
    match range {
        Some(range) => range.collect(),
        None => REGRESSIONS
            .iter()
            .map(|(seed, _)| *seed)
            .chain(SHORT)
            .collect(),
    }
}

fn seconds() -> u64 {
    let text = env::var("HAZELYOKE_SOAK_SECONDS").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(SHORT_SECONDS)
}

#[test]
fn promises_under_faults() {
    run_seeds(&seeds());
}

/// Runs all seeds, then panics with the findings of those that failed.
fn run_seeds(seeds: &[u64]) {
    let mut failed = Vec::new();
    for seed in seeds.iter().copied() {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .unwrap();
        let findings = LocalSet::new().block_on(&runtime, run_seed(seed));
        println!("seed {seed}: {} findings", findings.len());
        if !findings.is_empty() {
            failed.push(format!("seed {seed}:\n  {}", findings.join("\n  ")));
        }
    }
    assert!(failed.is_empty(), "{}", failed.join("\n"));
}

async fn run_seed(seed: u64) -> Vec<String> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let planned = seed.is_multiple_of(PLANNED_EVERY);
    let count = if seed.is_multiple_of(MANY_EVERY) {
        MANY
    } else {
        rng.random_range(2..=6)
    };
    let store = StandInStore::start().await;
    store.publish(&table_of_kinds(1));
    let members = start_members(&store).await;
    let daemons = start_daemons(count, seed, store.address).await;
    let world = World {
        store,
        daemons: Rc::new(RefCell::new(daemons)),
        members: Rc::new(RefCell::new(members)),
        version: Rc::new(Cell::new(1)),
        findings: Rc::default(),
        harms_links: seed >= LINKS_FROM && !planned,
        evacuates: seed >= EVACUATIONS_FROM && !planned,
        returns: seed >= RETURNS_FROM && !planned,
        forgotten: Rc::default(),
        starts: Rc::default(),
    };
    if !until_settled(&world).await {
        return vec!["the daemons weren't ready in time".into()];
    }
    let outcomes = Outcomes::default();
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let name = format!("{seed:04x}{number:x}");
            let rng = SmallRng::seed_from_u64(seed * 1_000 + number as u64);
            let daemons = world.daemons.clone();
            tokio::task::spawn_local(run_caller(
                name,
                daemons,
                outcomes.clone(),
                rng,
                stop.clone(),
            ))
        })
        .collect();
    let link_harm = world.harms_links.then(|| {
        let rng = SmallRng::seed_from_u64(!seed);
        tokio::task::spawn_local(world.clone().harm_links(rng))
    });
    let harm = is_harmed(seed).then(|| {
        let rng = SmallRng::seed_from_u64(seed << 1);
        tokio::task::spawn_local(harm::run(world.clone(), rng))
    });
    let in_need = (seed >= NEED_FROM).then(|| {
        let rng = SmallRng::seed_from_u64(seed << 2);
        tokio::task::spawn_local(need::begin(world.clone(), rng))
    });
    let version_check = tokio::task::spawn_local(check_versions(world.clone()));
    let end = tokio::time::Instant::now() + Duration::from_secs(seconds());
    while tokio::time::Instant::now() < end {
        world.trouble(&mut rng, planned).await;
        let gap = rng.random_range(0..LONGEST_GAP_MS);
        tokio::time::sleep(Duration::from_millis(gap)).await;
        world.record_unexpected_ends();
    }
    stop.set(true);
    for caller in callers {
        caller.await.unwrap();
    }
    if let Some(in_need) = in_need {
        in_need.await.unwrap().check(&world);
    }
    if let Some(harm) = link_harm {
        harm.abort();
    }
    if let Some(harm) = harm {
        harm.abort();
        harm::until_replaced(&world).await;
        harm::check_ended(&world);
    }
    world.heal().await;
    world.publish();
    if !until_settled(&world).await {
        let states = states(&world).await;
        world.find(format!(
            "the daemons didn't settle after the faults: {states:?}"
        ));
    }
    check_service(&world, seed).await;
    world.record_unexpected_ends();
    version_check.abort();
    let mut findings = world.findings.take();
    findings.extend(check(&outcomes.borrow(), &world.members.borrow(), planned));
    if findings.is_empty() {
        for daemon in world.daemons.borrow().iter() {
            daemon.remove_files();
        }
    }
    findings
}

/// Returns whether a seed sends requests that terminate replicas.
fn is_harmed(seed: u64) -> bool {
    seed >= HARMFUL_FROM && !seed.is_multiple_of(PLANNED_EVERY)
}

/// The status that a daemon reports.
#[derive(Debug, PartialEq)]
struct DaemonStatus {
    ready: bool,
    version: u64,
    /// Ids of the endpoints that are eligible for requests.
    open: BTreeSet<String>,
}

/// Reads a daemon's status; returns `None` if it doesn't answer within half a second.
async fn read_status(daemon: std::net::SocketAddr) -> Option<DaemonStatus> {
    // A paused process accepts connections and doesn't answer.
    let read = tokio::time::timeout(Duration::from_millis(500), async {
        let text = "GET /v1/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = client::try_send(daemon, text).await.ok()?;
        let status: Value = serde_json::from_str(&answer.text()).ok()?;
        let endpoints = status["endpoints"].as_array()?.iter();
        let open = endpoints.filter(|endpoint| endpoint["open"] == true);
        let ids = open.map(|endpoint| endpoint["endpoint"].as_str().map(str::to_owned));
        Some(DaemonStatus {
            ready: status["ready"].as_bool()?,
            version: status["version"].as_u64()?,
            open: ids.collect::<Option<_>>()?,
        })
    });
    read.await.ok().flatten()
}

fn addresses(
    world: &World,
    of: impl Fn(&Daemon) -> std::net::SocketAddr,
) -> Vec<std::net::SocketAddr> {
    world.daemons.borrow().iter().map(of).collect()
}

async fn states(world: &World) -> Vec<Option<DaemonStatus>> {
    let mut states = Vec::new();
    for address in addresses(world, |daemon| daemon.ready) {
        states.push(read_status(address).await);
    }
    states
}

/// Returns the ids of the replicas that aren't draining and weren't removed.
fn staying(members: &[Member]) -> BTreeSet<String> {
    let staying = members.iter().filter(|member| !member.left);
    staying.map(|member| member.replica.id.clone()).collect()
}

/// Waits until every daemon is ready with the newest table and exactly the present endpoints; returns false on timeout.
/// Compares ids, because a daemon that missed a replacement has the right number of endpoints.
async fn until_settled(world: &World) -> bool {
    let settled = async {
        loop {
            let wanted = DaemonStatus {
                ready: true,
                version: world.version.get(),
                open: staying(&world.members.borrow()),
            };
            let states = states(world).await;
            if states.iter().all(|state| state.as_ref() == Some(&wanted)) {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(SETTLE_LIMIT, settled).await.is_ok()
}

/// Checks that a daemon's table version never decreases while its process runs.
async fn check_versions(world: World) {
    let mut last: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    loop {
        for (number, address) in addresses(&world, |daemon| daemon.ready)
            .into_iter()
            .enumerate()
        {
            let life = world.daemons.borrow()[number].life;
            let Some(status) = read_status(address).await else {
                continue;
            };
            if world.daemons.borrow()[number].life != life {
                continue;
            }
            let before = last.insert((number, life), status.version).unwrap_or(0);
            if status.version < before {
                world.find(format!(
                    "daemon {number} went back from table {before} to {}",
                    status.version
                ));
            }
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
}

/// Checks that every daemon serves every kind of request after the faults, and that replicas that left get no requests.
async fn check_service(world: &World, seed: u64) {
    let ran_by_left = |world: &World| -> usize {
        let members = world.members.borrow();
        members
            .iter()
            .filter(|m| m.left)
            .map(|m| m.replica.ran().len())
            .sum()
    };
    let before = ran_by_left(world);
    for (number, listen) in addresses(world, |daemon| daemon.listen)
        .into_iter()
        .enumerate()
    {
        for kind in Kind::ALL {
            let served = tokio::time::timeout(SETTLE_LIMIT, async {
                let mut tries = 0;
                loop {
                    let id = format!("end-{seed}-{number}-{}-{tries}", kind.path().len());
                    let id = format!("{id}{}", &kind.path()[1..2]);
                    if send_once(listen, &id, kind).await == Some(200) {
                        return;
                    }
                    tries += 1;
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            });
            if served.await.is_err() {
                world.find(format!(
                    "daemon {number} doesn't serve {kind:?} after the faults"
                ));
            }
        }
    }
    if ran_by_left(world) > before {
        world.find("a replica that left still gets requests".into());
    }
}
