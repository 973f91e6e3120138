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
    pub mod partition;
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
        harm, need, partition,
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
/// a replica that advertises a low rate, with a store that is restored from older copies, with a host that is partitioned
/// from all replicas, and with a harmful part of prompts and herded callers.
const DEFAULT_SEEDS: [u64; 18] = [
    2, 3, 1_000, 1_001, 2_000, 2_002, 3_001, 3_002, 4_001, 4_003, 5_000, 5_002, 6_000, 6_001,
    6_003, 7_000, 7_001, 7_004,
];

/// First seed that also disturbs the links between daemons and lets tables grow large. Seeds below it keep the sequence
/// of faults with which they once failed.
const FIRST_LINK_FAULT_SEED: u64 = 1_000;

/// First seed that also evacuates the replicas' data centre and writes invalid entries into the store.
const FIRST_EVACUATION_SEED: u64 = 2_000;

/// First seed that also sends a harmful request again and again: it terminates each replica that starts to run it.
const FIRST_HARMFUL_SEED: u64 = 3_000;

/// First seed in which a replica also advertises a low rate limit.
const FIRST_RATE_LIMIT_SEED: u64 = 4_000;

/// First seed in which the store is also restored from older copies.
const FIRST_RESTORE_SEED: u64 = 5_000;

/// First seed in which the host of the first daemon is partitioned from all replicas now and then, and replicas are
/// brittle or silent for a second. The faults that earlier ranges add are absent.
const FIRST_PARTITION_SEED: u64 = 6_000;

/// First seed in which a harmful part of prompts replaces the harmful request, and all callers go to one daemon now and
/// then. These seeds have the faults of those below the partitions.
const FIRST_PART_SEED: u64 = 7_000;

/// Seeds that failed once, each with the fault that it found.
const REGRESSIONS: [(u64, &str); 11] = [
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
        "a replica left while the store didn't answer, and the check began before all daemons had noticed",
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
    (
        6_030,
        "daemons that didn't list one endpoint any more counted as unable to relay to any",
    ),
    (
        7_010,
        "a sound part of prompts that came with a harmful one from the start stayed refused",
    ),
    (
        7_021,
        "a sound part whose trial failed for another reason stayed refused for half a minute",
    ),
    (
        7_015,
        "a sound part was tried by a request that also had the harmful one, and stayed refused for half a minute",
    ),
];

/// Default time with faults of one run, in seconds.
const DEFAULT_SECONDS: u64 = 4;

/// Upper bound of the random time between two faults, in milliseconds.
const MAX_FAULT_GAP_MS: u64 = 260;

/// Number of concurrent callers in one run.
const CALLERS: usize = 8;

/// Longest wait until all daemons have the current table and endpoints, or until one serves a kind of request.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(25);

/// Seeds divisible by this number have planned work only: no daemon is killed and nothing fails.
const PLANNED_DIVISOR: u64 = 3;

/// Seeds divisible by this number start a large fleet, in which not every daemon receives messages from every other.
const LARGE_FLEET_DIVISOR: u64 = 5;

/// Number of daemons in a large fleet.
const LARGE_FLEET_DAEMONS: usize = 18;

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
            .chain(DEFAULT_SEEDS)
            .collect(),
    }
}

fn seconds() -> u64 {
    let text = env::var("HAZELYOKE_SOAK_SECONDS").ok();
    text.and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_SECONDS)
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
    let planned = seed.is_multiple_of(PLANNED_DIVISOR);
    let partitions = (FIRST_PARTITION_SEED..FIRST_PART_SEED).contains(&seed);
    let count = if seed.is_multiple_of(LARGE_FLEET_DIVISOR) && !partitions {
        LARGE_FLEET_DAEMONS
    } else {
        rng.random_range(2..=6)
    };
    let store = StandInStore::start().await;
    store.publish(&table_of_kinds(1));
    let mut members = start_members(&store).await;
    let far_store = if partitions {
        Some(partition::add_far_ways(&mut members).await)
    } else {
        None
    };
    let first = far_store.as_ref().unwrap_or(&store).address;
    let daemons = start_daemons(count, seed, first, store.address).await;
    let world = World {
        store,
        far_store,
        daemons: Rc::new(RefCell::new(daemons)),
        members: Rc::new(RefCell::new(members)),
        version: Rc::new(Cell::new(1)),
        findings: Rc::default(),
        disturbs_links: seed >= FIRST_LINK_FAULT_SEED && !planned && !partitions,
        evacuates: seed >= FIRST_EVACUATION_SEED && !planned && !partitions,
        restores: seed >= FIRST_RESTORE_SEED && !planned && !partitions,
        isolated_starts: Rc::default(),
        starts: Rc::default(),
    };
    if !wait_until_settled(&world).await {
        return vec!["the daemons weren't ready in time".into()];
    }
    let outcomes = Outcomes::default();
    let herd = Rc::new(Cell::new(None));
    let herding = (seed >= FIRST_PART_SEED).then(|| {
        let rng = SmallRng::seed_from_u64(seed << 4);
        tokio::task::spawn_local(herd_callers(herd.clone(), count, rng))
    });
    let stop = Rc::new(Cell::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let name = format!("{seed:04x}{number:x}");
            let rng = SmallRng::seed_from_u64(seed * 1_000 + number as u64);
            let daemons = world.daemons.clone();
            tokio::task::spawn_local(run_caller(
                name,
                daemons,
                herd.clone(),
                outcomes.clone(),
                rng,
                stop.clone(),
            ))
        })
        .collect();
    let link_faults = world.disturbs_links.then(|| {
        let rng = SmallRng::seed_from_u64(!seed);
        tokio::task::spawn_local(world.clone().disturb_links(rng))
    });
    let harm = has_harmful_requests(seed).then(|| {
        let rng = SmallRng::seed_from_u64(seed << 1);
        tokio::task::spawn_local(harm::run(world.clone(), rng, seed >= FIRST_PART_SEED))
    });
    let partitioned = partitions.then(|| {
        let rng = SmallRng::seed_from_u64(seed << 3);
        tokio::task::spawn_local(partition::run(world.clone(), rng, planned))
    });
    let limited_replica = (seed >= FIRST_RATE_LIMIT_SEED && !partitions).then(|| {
        let rng = SmallRng::seed_from_u64(seed << 2);
        tokio::task::spawn_local(need::begin(world.clone(), rng))
    });
    let version_check = tokio::task::spawn_local(check_versions(world.clone()));
    let end = tokio::time::Instant::now() + Duration::from_secs(seconds());
    while tokio::time::Instant::now() < end {
        world.start_fault(&mut rng, planned).await;
        let gap = rng.random_range(0..MAX_FAULT_GAP_MS);
        tokio::time::sleep(Duration::from_millis(gap)).await;
        world.record_unexpected_ends();
    }
    stop.set(true);
    for caller in callers {
        caller.await.unwrap();
    }
    if let Some(limited_replica) = limited_replica {
        limited_replica.await.unwrap().check(&world);
    }
    if let Some(herding) = herding {
        herding.abort();
    }
    if let Some(link_faults) = link_faults {
        link_faults.abort();
    }
    if let Some(harm) = harm {
        harm.abort();
        harm::replace_remaining(&world).await;
        harm::check_terminated(&world);
    }
    if let Some(partitioned) = partitioned {
        partitioned.abort();
        partition::end(&world);
    }
    world.heal().await;
    world.publish();
    if !wait_until_settled(&world).await {
        let statuses = daemon_statuses(&world).await;
        world.add_finding(format!(
            "the daemons didn't settle after the faults: {statuses:?}"
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
fn has_harmful_requests(seed: u64) -> bool {
    let is_partitioned = (FIRST_PARTITION_SEED..FIRST_PART_SEED).contains(&seed);
    seed >= FIRST_HARMFUL_SEED && !is_partitioned && !seed.is_multiple_of(PLANNED_DIVISOR)
}

/// Sends the callers' new connections to one daemon for some time now and then, until it is aborted.
async fn herd_callers(herd: Rc<Cell<Option<usize>>>, daemons: usize, mut rng: SmallRng) {
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(100..800))).await;
        herd.set(Some(rng.random_range(0..daemons)));
        tokio::time::sleep(Duration::from_millis(rng.random_range(300..1_500))).await;
        herd.set(None);
    }
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

fn daemon_addresses(
    world: &World,
    of: impl Fn(&Daemon) -> std::net::SocketAddr,
) -> Vec<std::net::SocketAddr> {
    world.daemons.borrow().iter().map(of).collect()
}

async fn daemon_statuses(world: &World) -> Vec<Option<DaemonStatus>> {
    let mut statuses = Vec::new();
    for address in daemon_addresses(world, |daemon| daemon.ready) {
        statuses.push(read_status(address).await);
    }
    statuses
}

/// Returns the ids of the replicas that aren't draining and weren't removed.
fn present_ids(members: &[Member]) -> BTreeSet<String> {
    let staying = members.iter().filter(|member| !member.left);
    staying.map(|member| member.replica.id.clone()).collect()
}

/// Waits until every daemon is ready with the newest table and exactly the present endpoints; returns false on timeout.
/// Compares ids, because a daemon that missed a replacement has the right number of endpoints.
async fn wait_until_settled(world: &World) -> bool {
    let settled = async {
        loop {
            let wanted = DaemonStatus {
                ready: true,
                version: world.version.get(),
                open: present_ids(&world.members.borrow()),
            };
            let statuses = daemon_statuses(world).await;
            if statuses
                .iter()
                .all(|status| status.as_ref() == Some(&wanted))
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(SETTLE_TIMEOUT, settled).await.is_ok()
}

/// Checks that a daemon's table version never decreases while its process runs.
async fn check_versions(world: World) {
    let mut last: BTreeMap<(usize, u32), u64> = BTreeMap::new();
    loop {
        for (number, address) in daemon_addresses(&world, |daemon| daemon.ready)
            .into_iter()
            .enumerate()
        {
            let incarnation = world.daemons.borrow()[number].incarnation;
            let Some(status) = read_status(address).await else {
                continue;
            };
            if world.daemons.borrow()[number].incarnation != incarnation {
                continue;
            }
            let before = last
                .insert((number, incarnation), status.version)
                .unwrap_or(0);
            if status.version < before {
                world.add_finding(format!(
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
    let runs_after_leaving = |world: &World| -> usize {
        let members = world.members.borrow();
        members
            .iter()
            .filter(|m| m.left)
            .map(|m| m.replica.ran().len())
            .sum()
    };
    let before = runs_after_leaving(world);
    for (number, listen) in daemon_addresses(world, |daemon| daemon.listen)
        .into_iter()
        .enumerate()
    {
        for kind in Kind::ALL {
            let served = tokio::time::timeout(SETTLE_TIMEOUT, async {
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
                world.add_finding(format!(
                    "daemon {number} doesn't serve {kind:?} after the faults"
                ));
            }
        }
    }
    if runs_after_leaving(world) > before {
        world.add_finding("a replica that left still gets requests".into());
    }
}
