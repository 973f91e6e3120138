//! Most new connections go to one of the smallest hosts, and then to others in turn. Requests have to be served as often at the
//! first try that is read as while they are spread over all hosts.
//!
//! `HAZELYOKE_HOSTS=82`, `HAZELYOKE_HERD_RATE=450`, `HAZELYOKE_HERD_SECONDS=4`, `HAZELYOKE_HOST_SEEDS=1..4` and
//! `HAZELYOKE_HOST_FACTOR=1` set the number of hosts, the new connections a second, the time of each spell, the seeds and the
//! factor of the hosts' shares, which makes up for a build without optimisation by default.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

#[path = "../../platform/tests/stand_in/mod.rs"]
mod stand_in;

mod hosts {
    pub(crate) use super::stand_in;

    pub mod changes;
    pub mod endpoints;
    pub mod fleet;
    pub mod herd;
    pub mod quota;
    pub mod settings;
    pub mod work;
}

use {
    hosts::{
        changes::Published,
        endpoints::{Endpoints, Services},
        fleet::{Host, SMALLEST_SHARE},
        herd::{Callers, Spell},
        settings,
        work::World,
    },
    rand::{SeedableRng, rngs::SmallRng},
    stand_in::store::StandInStore,
    std::{fs, ops::Range, time::Duration},
};

const DEFAULT_HOSTS: usize = 12;
const DEFAULT_SEEDS: Range<u64> = 1..2;
const DEFAULT_RATE: f64 = 150.0;
const DEFAULT_SECONDS: u64 = 6;
const DEFAULT_FACTOR: f64 = 2.0;

/// Endpoints of each service, enough for all requests.
const MANY: Services = [("llm", 60), ("llm2", 4), ("plain", 24), ("enc", 60)];

/// Number of hosts that are struck in turn.
const HERDS: usize = 3;

/// Time of service before what is measured.
const FIRST_TIME: Duration = Duration::from_secs(2);

/// Share of the requests of an even spell that has to be served in each herd.
const SERVED_SHARE: f64 = 0.98;

/// How many times as long as in an even spell half of the answers may take.
const MEDIAN_FACTOR: f64 = 2.0;

#[test]
fn herded_hosts_serve() {
    settings::run_seeds(DEFAULT_SEEDS, run_seed);
}

async fn run_seed(seed: u64) -> Vec<String> {
    let store = StandInStore::start().await;
    let published = Published::new();
    store.publish(&published.document());
    let endpoints = Endpoints::start_steady(&store, MANY).await;
    let factor = settings::setting("HAZELYOKE_HOST_FACTOR", DEFAULT_FACTOR);
    let count = settings::setting("HAZELYOKE_HOSTS", DEFAULT_HOSTS);
    let world = World::start(store, published, endpoints, seed, count, factor);
    if !world.wait_until_ready().await {
        return vec!["the daemons weren't ready in time".into()];
    }
    let herds = play(&world, seed).await;
    let mut findings = check_served(&herds);
    findings.extend(check_runs(&herds, &world.endpoints));
    for host in world.hosts.borrow_mut().iter_mut() {
        if let Some(status) = host.ended() {
            findings.push(format!("{} ended: {status}", host.name));
        }
        findings.extend(host.check_memory());
        findings.extend(check_log(host));
    }
    if findings.is_empty() {
        world.hosts.borrow().iter().for_each(Host::remove_log);
    }
    findings
}

/// Sends requests spread over all hosts, and then most of them to one small host after the other. Returns the spells, the
/// even one first.
async fn play(world: &World, seed: u64) -> Vec<Spell> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (listens, small): (Vec<_>, Vec<_>) = {
        let hosts = world.hosts.borrow();
        let is_small = |number: &usize| hosts[*number].share == SMALLEST_SHARE;
        let small = (0..hosts.len()).filter(is_small).take(HERDS);
        let listens = hosts.iter().map(|host| host.listen).collect();
        (listens, small.collect())
    };
    let callers = Callers {
        hosts: listens,
        rate: settings::setting("HAZELYOKE_HERD_RATE", DEFAULT_RATE),
    };
    let seconds = settings::setting("HAZELYOKE_HERD_SECONDS", DEFAULT_SECONDS);
    let time = Duration::from_secs(seconds);
    let (_, mut tasks) = callers.send("first", None, FIRST_TIME, &mut rng).await;
    let mut spells = Vec::new();
    let targets = [None].into_iter().chain(small.into_iter().map(Some));
    for (number, herded) in targets.enumerate() {
        let name = format!("{seed}-{number}");
        let (spell, sent) = callers.send(&name, herded, time, &mut rng).await;
        spells.push(spell);
        tasks.extend(sent);
    }
    for task in tasks {
        task.await.unwrap();
    }
    for (number, spell) in spells.iter().enumerate() {
        spell.print(&format!("seed {seed}, spell {number}"));
    }
    spells
}

fn check_served(spells: &[Spell]) -> Vec<String> {
    let even = &spells[0];
    let mut findings = Vec::new();
    for (number, herd) in spells.iter().enumerate().skip(1) {
        let (share, usual) = (herd.share_served(), even.share_served());
        if share < SERVED_SHARE * usual {
            findings.push(format!(
                "herd {number}: {share:.3} served, {usual:.3} while spread evenly"
            ));
        }
        let (median, usual) = (herd.time_served(0.5), even.time_served(0.5));
        if median > usual.mul_f64(MEDIAN_FACTOR) {
            findings.push(format!(
                "herd {number}: half served within {median:?}, within {usual:?} while spread evenly"
            ));
        }
    }
    findings
}

/// Checks that no endpoint ran a request whose connection closed without an answer.
fn check_runs(spells: &[Spell], endpoints: &Endpoints) -> Vec<String> {
    let unread: Vec<String> = spells
        .iter()
        .flat_map(|spell| spell.unread.take())
        .collect();
    let ran = unread.into_iter().filter(|id| endpoints.has_run(id));
    ran.map(|id| format!("{id} ran, and its connection closed without an answer"))
        .collect()
}

/// Checks that a daemon didn't set aside any endpoint, which are all sound.
fn check_log(host: &Host) -> Option<String> {
    let log = fs::read_to_string(&host.log).unwrap();
    let count = log
        .lines()
        .filter(|line| line.contains("endpoint.set_aside"))
        .count();
    (count > 0).then(|| format!("{} set {count} sound endpoints aside", host.name))
}
