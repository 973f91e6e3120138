//! Randomised runs of the daemon program on small hosts that are all lost at once, or half of them, once or three times
//! in series, while the store is sound or in trouble. Service has to be back in time.
//!
//! `HAZELYOKE_HOSTS=82`, `HAZELYOKE_HOST_CALLERS=3`, `HAZELYOKE_HOST_SEEDS=1..50` and `HAZELYOKE_HOST_FACTOR=1` set the
//! number of hosts, the callers of each, the seeds and the factor of the hosts' shares, as for `test_small_hosts`. A seed
//! that fails leaves its logs in cargo's folder for temporary files of tests.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod hosts {
    pub(crate) use super::stand_in;

    pub mod changes;
    pub mod endpoints;
    pub mod entry;
    pub mod fleet;
    pub mod outage;
    pub mod quota;
    pub mod settings;
    pub mod visits;
    pub mod work;
}

use {
    hosts::{
        changes::Published,
        endpoints::{Endpoints, Services},
        entry::Entry,
        fleet::SEED_COUNT,
        outage::{Outage, OutageRun},
        settings,
        visits::{Visits, print_seconds, run_visitor, share_served},
        work::World,
    },
    rand::{SeedableRng, rngs::SmallRng},
    stand_in::store::StandInStore,
    std::{
        cell::Cell,
        ops::Range,
        rc::Rc,
        time::{Duration, Instant},
    },
};

const DEFAULT_HOSTS: usize = 8;
const DEFAULT_SEEDS: Range<u64> = 1..2;

/// Endpoints of each service.
const MANY: Services = [("llm", 24), ("llm2", 4), ("plain", 6), ("enc", 12)];

/// Time of usual service before the outage.
const USUAL_TIME: Duration = Duration::from_secs(6);

/// Time after the hosts are back within which service has to be back, which the platform sets.
const RECOVERY_TIME: Duration = Duration::from_secs(15);

/// Time for which service is looked at after that.
const LOOK_TIME: Duration = Duration::from_secs(6);

/// Share of the requests that has to be served, before the outage for the rule to hold, and after it.
const SERVED_SHARE: f64 = 0.25;

#[test]
fn lost_fleet_recovers() {
    settings::run_seeds(DEFAULT_SEEDS, run_seed);
}

/// Prints the time and the processor time that the start took, the latter at most of all hosts.
fn print_start(world: &World, started: Instant) {
    let hosts = world.hosts.borrow();
    let used = hosts.iter().map(|host| host.processor_time().as_millis());
    let (took, used) = (started.elapsed().as_millis(), used.max().unwrap());
    println!("ready after {took} ms and at most {used} ms of processor time");
}

async fn run_seed(seed: u64) -> Vec<String> {
    let store = StandInStore::start().await;
    let mut rng = SmallRng::seed_from_u64(seed);
    let outage = Outage::draw(&mut rng);
    println!("seed {seed}: {outage:?}");
    let mut published = Published::new();
    published.set_routes(outage.routes);
    store.publish(&published.document());
    let endpoints = Endpoints::start(&store, MANY, SmallRng::seed_from_u64(seed)).await;
    let factor = settings::factor();
    let count = settings::setting("HAZELYOKE_HOSTS", DEFAULT_HOSTS);
    let started = Instant::now();
    let world = World::start(store, published, endpoints, seed, count, factor);
    if !world.wait_until_ready().await {
        return vec!["the daemons weren't ready in time".into()];
    }
    print_start(&world, started);
    let lacks_seeds = outage.lacks_seeds;
    let run = OutageRun::new(world.clone(), outage);
    let entry = Entry::default();
    let mut tasks = vec![
        tokio::task::spawn_local(entry.clone().run(world.hosts.clone())),
        tokio::task::spawn_local(run.clone().write_entries()),
        tokio::task::spawn_local(run.clone().cut_watches()),
    ];
    tokio::task::yield_now().await;
    let (visits, done) = (Visits::default(), Rc::new(Cell::new(false)));
    let callers = count * settings::callers_each();
    let begun = Instant::now();
    tasks.extend((0..callers).map(|number| {
        tokio::task::spawn_local(run_visitor(
            format!("{seed}-{number}"),
            run.clone(),
            entry.clone(),
            visits.clone(),
            SmallRng::seed_from_u64(seed * 10_000 + number as u64),
            done.clone(),
        ))
    }));
    tokio::time::sleep(USUAL_TIME).await;
    let lost = Instant::now();
    let back = run.lose_fleet(&mut rng).await;
    tokio::time::sleep_until((back + RECOVERY_TIME + LOOK_TIME).into()).await;
    done.set(true);
    tasks.iter().for_each(|task| task.abort());
    let visits = visits.borrow();
    print_seconds(&visits, &entry, back);
    let (sent_before, before) = share_served(&visits, begun, lost);
    // Requests of the last moments had no time to be served.
    let end = back + RECOVERY_TIME + LOOK_TIME / 2;
    let (sent_after, after) = share_served(&visits, back + RECOVERY_TIME, end);
    println!("served {before:.2} of {sent_before} before, {after:.2} of {sent_after} after");
    let mut findings = world.findings.take();
    if before >= SERVED_SHARE && after < SERVED_SHARE {
        findings.push(format!(
            "{after:.2} served after the outage, {before:.2} before"
        ));
    }
    if before < SERVED_SHARE {
        findings.push(format!("only {before:.2} served before the outage"));
    }
    let stays_down = if lacks_seeds { SEED_COUNT } else { 0 };
    for host in world.hosts.borrow_mut().iter_mut().skip(stays_down) {
        if let Some(status) = host.ended() {
            findings.push(format!("{} ended: {status}", host.name));
        }
        findings.extend(host.check_memory());
    }
    if findings.is_empty() {
        world
            .hosts
            .borrow()
            .iter()
            .for_each(|host| host.remove_log());
    }
    findings
}
