//! Randomised runs of the daemon program on small hosts: many processes, each with a share of a core, endpoints that are
//! sound but slow and pause, long streams with stages, planned work around them (tables of every kind, reloads, stops,
//! endpoints that leave), and all new connections at one of the smallest hosts now and then. No answer may be lost.
//!
//! `HAZELYOKE_HOSTS=64`, `HAZELYOKE_HOST_CALLERS=3`, `HAZELYOKE_HOST_SEEDS=1..50` and `HAZELYOKE_HOST_SECONDS=30` set the
//! number of hosts, the callers of each, the seeds and the time of each run; `HAZELYOKE_HOST_FACTOR=1` the factor of the hosts' shares, which makes up for a build
//! without optimisation by default. A seed that fails leaves its logs in cargo's folder for temporary files of tests.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod hosts {
    pub(crate) use super::stand_in;

    pub mod callers;
    pub mod changes;
    pub mod endpoints;
    pub mod fleet;
    pub mod losses;
    pub mod quota;
    pub mod settings;
    pub mod work;
}

use {
    hosts::{
        callers::{Outcomes, run_caller},
        changes::Published,
        endpoints::{Endpoints, FEW},
        losses, settings,
        work::World,
    },
    rand::{SeedableRng, rngs::SmallRng},
    stand_in::store::StandInStore,
    std::{cell::Cell, ops::Range, rc::Rc, time::Duration},
};

const DEFAULT_HOSTS: usize = 8;
const DEFAULT_SEEDS: Range<u64> = 1..3;
const DEFAULT_SECONDS: u64 = 10;

#[test]
fn planned_work_loses_nothing() {
    settings::run_seeds(DEFAULT_SEEDS, run_seed);
}

async fn run_seed(seed: u64) -> Vec<String> {
    let store = StandInStore::start().await;
    let published = Published::new();
    store.publish(&published.document());
    let rng = SmallRng::seed_from_u64(seed);
    let endpoints = Endpoints::start(&store, FEW, rng).await;
    let factor = settings::factor();
    let count = settings::setting("HAZELYOKE_HOSTS", DEFAULT_HOSTS);
    let world = World::start(store, published, endpoints, seed, count, factor);
    if !world.wait_until_ready().await {
        return vec!["the daemons weren't ready in time".into()];
    }
    let outcomes = Outcomes::default();
    let done = Rc::new(Cell::new(false));
    let callers_each = settings::callers_each();
    let callers: Vec<_> = (0..count * callers_each)
        .map(|number| {
            let rng = SmallRng::seed_from_u64(seed * 10_000 + number as u64);
            let (hosts, herd) = (world.hosts.clone(), world.herd.clone());
            let caller = run_caller(
                format!("{seed}-{number}"),
                hosts,
                herd,
                outcomes.clone(),
                rng,
                done.clone(),
            );
            tokio::task::spawn_local(caller)
        })
        .collect();
    let work = world.start_work(seed);
    let seconds = settings::setting("HAZELYOKE_HOST_SECONDS", DEFAULT_SECONDS);
    tokio::time::sleep(Duration::from_secs(seconds)).await;
    done.set(true);
    for caller in callers {
        caller.await.unwrap();
    }
    work.end().await;
    let mut findings = world.findings.take();
    findings.extend(losses::check(&outcomes.borrow(), &world));
    if findings.is_empty() {
        world
            .hosts
            .borrow()
            .iter()
            .for_each(|host| host.remove_log());
    }
    findings
}
