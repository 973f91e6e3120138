//! Which daemons count as alive in fleets of some hundred daemons: no living daemon is lost in a calm fleet, and one
//! that dies is noticed soon, whatever the size of the fleet.
//!
//! `HAZELYOKE_MEMBERSHIP=1000 cargo test --release -p hazelyoke-lib --test test_membership -- --nocapture` prints the
//! figures of a fleet of another size.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fleet;

use {
    fleet::{Fleet, STRONG, capacity, plain_report},
    hazelyoke_lib::{
        gateway::{
            peers::message::Phase,
            rules::{coordinator::may_coordinate, gossip::HEARTBEAT},
        },
        shared::units::{Millis, Time},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::env,
};

/// Number of daemons if the variable names none.
const DAEMONS: usize = 295;

/// Number of rounds of heartbeats, five a second, until all daemons know each other.
const START_ROUNDS: usize = 25;

/// Fraction of the datagrams that are lost.
const LOSS_FRACTION: f64 = 0.02;

/// Number of rounds within which all have to notice that one daemon died (4 s), and that a third of them died,
/// coordinators included (6.4 s).
const NOTICE_ROUNDS: [usize; 2] = [20, 32];

fn daemons() -> usize {
    let named = env::var("HAZELYOKE_MEMBERSHIP").ok();
    named.map_or(DAEMONS, |number| number.parse().unwrap())
}

fn started(seed: u64) -> Fleet {
    let mut fleet = Fleet::new(seed, daemons(), plain_report(Some(40)));
    fleet.rounds(START_ROUNDS);
    fleet.false_losses = 0;
    fleet
}

/// A calm fleet in which some datagrams are lost loses no daemon.
#[test]
fn calm_fleet() {
    let mut fleet = started(1);
    let mut rng = SmallRng::seed_from_u64(1);
    let rounds = 50;
    for _ in 0..rounds {
        fleet.round(|_, _| rng.random_bool(LOSS_FRACTION));
    }
    println!("{} false losses in {rounds} rounds", fleet.false_losses);
    assert_eq!(fleet.false_losses, 0);
    let all = fleet.daemons.len();
    for daemon in &fleet.daemons {
        assert_eq!(daemon.daemons(), all);
    }
}

/// Every daemon notices the loss of one daemon, and of every third at once, and loses no other.
#[test]
fn noticed_losses() {
    for (lost, limit) in [1, daemons() / 3].into_iter().zip(NOTICE_ROUNDS) {
        let mut fleet = started(2);
        let every = daemons() / lost;
        for number in 0..lost {
            fleet.down[number * every] = true;
        }
        let living = fleet.living();
        let mut noticed = None;
        for round in 1..=2 * limit {
            fleet.round(|_, _| false);
            let knows = |daemon: &&usize| fleet.daemons[**daemon].daemons() == living.len();
            if living.iter().filter(knows).count() == living.len() {
                noticed = Some(round);
                break;
            }
        }
        println!("{lost} lost: noticed by all after {noticed:?} rounds");
        assert!(noticed.is_some_and(|round| round <= limit), "{noticed:?}");
        assert_eq!(fleet.false_losses, 0);
    }
}

/// Number of rounds by which the strong daemons start later than the others: 0.2 s.
const DELAY_ROUNDS: usize = 1;

/// In a fleet whose strong daemons start last, none of the others coordinates meanwhile.
#[test]
fn start_without_strong() {
    let mut fleet = Fleet::new(3, daemons(), plain_report(Some(40)));
    let is_strong = |number| capacity(number) == STRONG;
    let started = |number| if is_strong(number) { DELAY_ROUNDS } else { 0 };
    for round in 0..20 {
        for number in 0..daemons() {
            fleet.down[number] = round < started(number);
            let age = HEARTBEAT.0 * round.saturating_sub(started(number)) as u64;
            let stronger = fleet.daemons[number].has_stronger();
            let ready = may_coordinate(Time(0) + Millis(age), stronger);
            fleet.phases[number] = if ready { Phase::Ready } else { Phase::Starting };
        }
        fleet.round(|_, _| false);
        for number in fleet.living() {
            let coordinates = fleet.daemons[number].coordinates();
            assert!(
                is_strong(number) || !coordinates,
                "{number} in round {round}"
            );
        }
    }
}
