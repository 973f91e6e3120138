//! Membership and coordination in a fleet where not every daemon receives the heartbeats of every other one.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fleet;

use {
    fleet::{Fleet, WEAK, address, plain_report, services},
    hazelyoke_lib::{
        gateway::{
            hashes::{EndpointHash, ServiceHash},
            peers::{
                membership::{Identity, Peers},
                message::{BacklogNote, LoadNote, QueueNote, WorkNote},
                outgoing::OutgoingHeartbeat,
                self_report::SelfReport,
            },
            rules::{backlog::Backlog, coordinator::Coordinator, gossip::HEARTBEAT},
        },
        shared::units::{Millis, Time},
    },
    hazelyoke_testutils::seeds::for_seeds,
};

const DAEMONS: usize = 80;
fn load(endpoint: u32, running: u32, prefill: u32) -> LoadNote {
    LoadNote {
        endpoint: EndpointHash(endpoint),
        running,
        prefill,
    }
}

fn queue(service: u32, endpoints: u32, short: bool, outstanding: u32) -> QueueNote {
    QueueNote {
        service: ServiceHash(service),
        endpoints,
        short,
        outstanding,
    }
}

fn work(service: u32, pieces: u32) -> WorkNote {
    WorkNote {
        service: ServiceHash(service),
        pieces,
    }
}

fn backlog(own: Backlog, all: Option<Backlog>) -> BacklogNote {
    BacklogNote {
        service: ServiceHash(9),
        own,
        all,
    }
}

fn report(read_ms: Option<u32>) -> SelfReport {
    SelfReport {
        loads: vec![load(1, 2, 300)],
        work: vec![work(9, 3)],
        backlogs: vec![backlog(Backlog::unordered(3), None)],
        ..plain_report(read_ms)
    }
}

fn new_fleet(seed: u64) -> Fleet {
    Fleet::new(seed, DAEMONS, report(Some(40)))
}

/// All daemons discover each other and agree on the coordinator of each service.
#[test]
fn fleet_agreement() {
    for seed in 1..=5 {
        let mut fleet = new_fleet(seed);
        fleet.rounds(25);
        for daemon in 0..DAEMONS {
            assert!(
                fleet.daemons[daemon].daemons() >= DAEMONS - 2,
                "at {daemon}"
            );
        }
        fleet.assert_agreed();
    }
}

#[test]
fn coordinators_are_strong() {
    let mut fleet = new_fleet(1);
    fleet.rounds(25);
    for service in services() {
        assert_eq!(fleet.coordinator(7, &service) % 10, 0);
    }
}

/// A daemon that coordinates no service receives few heartbeats per round.
#[test]
fn received_heartbeats() {
    let mut fleet = new_fleet(1);
    fleet.rounds(25);
    fleet.received.fill(0);
    fleet.rounds(10);
    let coordinators: Vec<usize> = services()
        .iter()
        .map(|service| fleet.coordinator(0, service))
        .collect();
    for daemon in (0..DAEMONS).filter(|daemon| !coordinators.contains(daemon)) {
        let each = fleet.received[daemon] / 10;
        assert!(each <= 20, "{each} a round at {daemon}");
    }
}

/// Lost coordinators are replaced within ten rounds of heartbeats.
#[test]
fn coordinator_replacement() {
    for seed in 1..=5 {
        let mut fleet = new_fleet(seed);
        fleet.rounds(25);
        for service in services() {
            let coordinator = fleet.coordinator(0, &service);
            fleet.down[coordinator] = true;
        }
        fleet.rounds(10);
        fleet.assert_agreed();
    }
}

/// After half of the fleet is lost at once, the rest agrees again and forgets the lost ones.
#[test]
fn half_fleet_lost() {
    for_seeds(4, 256, |u| {
        let mut fleet = new_fleet(u.int_in_range(1..=1_000)?);
        fleet.rounds(25);
        for daemon in 0..DAEMONS {
            fleet.down[daemon] = u.ratio(1, 2)?;
        }
        if fleet.living().is_empty() {
            return Ok(());
        }
        // The coordinators and their successors may be lost, each detected only after the time limit for gossip.
        fleet.rounds(30);
        fleet.assert_agreed();
        let living = fleet.living().len();
        for daemon in fleet.living() {
            assert!(
                fleet.daemons[daemon].daemons() <= living,
                "the dead are forgotten"
            );
        }
        Ok(())
    });
}

/// A daemon that receives nothing from a coordinator chooses another one.
#[test]
fn silent_coordinator() {
    let mut fleet = new_fleet(2);
    fleet.rounds(25);
    let service = &services()[2];
    let coordinator = fleet.coordinator(7, service);
    assert!(fleet.daemons[7].read_age(fleet.now).is_some());
    for _ in 0..10 {
        fleet.round(|sender, receiver| receiver == 7 && sender == coordinator);
    }
    assert_ne!(
        fleet.coordinator(7, service),
        coordinator,
        "others hear it, this one doesn't"
    );
    for _ in 0..10 {
        fleet.round(|_, receiver| receiver == 7);
    }
    assert_eq!(
        fleet.daemons[7].read_age(fleet.now),
        None,
        "nobody tells what he reads"
    );
}

/// A coordinator that failed to accept a job is excluded for a time.
#[test]
fn passed_over_coordinator() {
    let mut fleet = new_fleet(2);
    fleet.rounds(25);
    let service = &services()[2];
    let coordinator = fleet.coordinator(7, service);
    let now = fleet.now;
    fleet.daemons[7].exclude_coordinator(now, &address(coordinator));
    assert_ne!(fleet.coordinator(7, service), coordinator);
    fleet.rounds(10);
    assert_eq!(fleet.coordinator(7, service), coordinator);
}

/// After a pause no daemon is considered lost at once, and old gossip is forwarded with its age.
#[test]
fn pause_keeps_ages() {
    let mut fleet = new_fleet(2);
    fleet.rounds(25);
    fleet.now = fleet.now + Millis(5_000);
    let now = fleet.now;
    let woken = &mut fleet.daemons[7];
    woken.end_pause(now);
    assert!(
        woken.update_liveness(now).is_empty(),
        "nobody is lost before he could be heard"
    );
    let OutgoingHeartbeat { heartbeat, .. } = woken.heartbeat(now, report(None));
    assert!(!heartbeat.peers.is_empty());
    for note in &heartbeat.peers {
        assert!(
            note.age_ms >= 5_000,
            "an old sign of life is passed on as old"
        );
    }
    assert!(woken.read_age(now).is_none_or(|age| age >= Millis(5_000)));
}

/// The coordinator reports the outstanding pieces of all daemons.
#[test]
fn coordinator_outstanding() {
    let mut fleet = new_fleet(3);
    fleet.rounds(25);
    let service = &services()[3];
    let coordinator = fleet.coordinator(7, service);
    assert_ne!(coordinator, 7);
    let now = fleet.now + HEARTBEAT;
    let summed = SelfReport {
        queues: vec![queue(9, 5, false, 240)],
        ..report(Some(40))
    };
    let OutgoingHeartbeat { heartbeat, .. } = fleet.daemons[coordinator].heartbeat(now, summed);
    fleet.daemons[7].receive_heartbeat(now, heartbeat);
    let at = Coordinator::Peer(address(coordinator));
    // This daemon's own three pieces are subtracted from the coordinator's sum.
    assert_eq!(fleet.daemons[7].backlog(ServiceHash(9), at).total(), 237);
    let now = now + HEARTBEAT;
    let ordered = SelfReport {
        backlogs: vec![backlog(
            Backlog::unordered(40),
            Some(Backlog::unordered(250)),
        )],
        ..report(Some(40))
    };
    let OutgoingHeartbeat { heartbeat, .. } = fleet.daemons[coordinator].heartbeat(now, ordered);
    fleet.daemons[7].receive_heartbeat(now, heartbeat);
    assert_eq!(fleet.daemons[7].backlog(ServiceHash(9), at).total(), 247);
}

/// One roster gives a joining daemon the whole fleet.
#[test]
fn newcomer_roster() {
    let mut fleet = new_fleet(4);
    fleet.rounds(25);
    let now = fleet.now;
    assert!(fleet.daemons[3].roster(now, address(7)).len() >= DAEMONS - 3);
    assert_eq!(
        fleet.daemons[3].roster(now, address(7)),
        [],
        "not twice at once"
    );
    let me = Identity {
        host: "new".parse().unwrap(),
        data_centre: "z".parse().unwrap(),
        region: None,
        address: address(200),
        run: 1,
        capacity: WEAK,
    };
    let mut newcomer = Peers::new(me, &[address(3)]);
    assert!(newcomer.is_joining(Time(0)));
    assert!(!newcomer.is_joining(Time(0) + Millis(5_000)));
    let OutgoingHeartbeat { heartbeat, targets } = newcomer.heartbeat(Time(0), report(None));
    assert!(heartbeat.joining);
    assert_eq!(targets, [address(3)]);
    // The seed's heartbeat reports that there are more daemons, its roster which ones.
    let seed = fleet.daemons[3].heartbeat(now, report(Some(40))).heartbeat;
    let roster = fleet.daemons[3].roster(now, address(200));
    newcomer.receive_heartbeat(Time(0), seed);
    newcomer.merge_roster(Time(0), &roster);
    // Daemons received before the fleet was known to be large count as alive from the next update on.
    newcomer.update_liveness(Time(0));
    let known = newcomer.daemons();
    assert!(
        known >= DAEMONS - 3,
        "{known} of {} in the roster",
        roster.len()
    );
    let service = &services()[1];
    let chosen = newcomer.coordinator(Time(0), service, false, &[]);
    let agreed = fleet.coordinator(7, service);
    assert_eq!(chosen, Coordinator::Peer(address(agreed)));
}

/// The roster of a small fleet is empty, as each heartbeat reaches every daemon.
#[test]
fn small_fleet_roster() {
    let mut small = new_fleet(4);
    small.down = (0..DAEMONS).map(|number| number % 10 != 3).collect();
    small.rounds(10);
    assert!(small.daemons[3].is_small());
    let now = small.now;
    assert_eq!(small.daemons[3].roster(now, address(7)), []);
}
