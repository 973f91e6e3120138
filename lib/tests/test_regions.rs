//! Daemons in two regions with a long round-trip time and little bandwidth between them.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

mod fleet;

use {
    fleet::{Fleet, Traffic, plain_report, services},
    hazelyoke_lib::{
        gateway::{
            hashes::service_hash,
            peers::{
                message::{BacklogNote, QueueNote, RemoteNote},
                self_report::SelfReport,
            },
            rules::{allowed_regions::RegionHash, backlog::Backlog, coordinator::Coordinator},
        },
        shared::units::Time,
    },
};

const REGIONS: usize = 2;

/// Number of heartbeats per second.
const ROUNDS_PER_SECOND: usize = 5;

fn new_fleet(seed: u64, daemons: usize) -> Fleet {
    Fleet::in_regions(seed, daemons, REGIONS, plain_report(Some(40)))
}

/// Asserts that all daemons of a region agree on its coordinators, and that these are in the region.
fn assert_own_coordinators(fleet: &Fleet) {
    for service in services() {
        for region in 0..REGIONS {
            let living = fleet.living().into_iter();
            let there: Vec<usize> = living
                .filter(|daemon| fleet.region(*daemon) == region)
                .collect();
            let first = fleet.coordinator(there[0], &service);
            assert_eq!(fleet.region(first), region, "{service}");
            assert!(!fleet.down[first], "{service}");
            for daemon in there {
                assert_eq!(
                    fleet.coordinator(daemon, &service),
                    first,
                    "{service} at {daemon}"
                );
            }
        }
    }
}

/// Returns the traffic between the regions in a second.
fn traffic_between(fleet: &mut Fleet) -> Traffic {
    fleet.remote_traffic = Traffic::default();
    let seconds = 2;
    fleet.rounds(seconds * ROUNDS_PER_SECOND);
    Traffic {
        datagrams: fleet.remote_traffic.datagrams / seconds,
        bytes: fleet.remote_traffic.bytes / seconds,
    }
}

/// Each region has its own coordinators and knows those of the other one. With one coordinator for both regions, each
/// stage waited for a round trip between them, and its results were transferred between them.
#[test]
fn own_coordinators() {
    for seed in 1..=4 {
        let mut fleet = new_fleet(seed, 60);
        fleet.rounds(25);
        assert_own_coordinators(&fleet);
        for service in services() {
            let there = fleet.coordinator(1, &service);
            let known =
                fleet.daemons[0].remote_coordinator(fleet.now, &service, RegionHash(1), &[]);
            assert_eq!(known, Some(fleet::address(there)));
        }
    }
}

/// Every daemon knows nearly all others, also in the other region, and considers none lost.
#[test]
fn calm_regions() {
    for daemons in [20, 60, 120] {
        let mut fleet = new_fleet(3, daemons);
        fleet.rounds(50);
        fleet.false_losses = 0;
        fleet.rounds(50);
        for daemon in 0..daemons {
            let known = fleet.daemons[daemon].daemons();
            assert!(
                known * 100 >= daemons * 97,
                "{known} of {daemons} at {daemon}"
            );
        }
        assert_eq!(fleet.false_losses, 0, "{daemons}");
    }
}

/// Only coordinators send heartbeats to the other region, and only to coordinators there. When all daemons did, the
/// traffic grew with the fleet and took, with the load digests, half of a link of 60 Mbit/s.
#[test]
fn narrow_way() {
    let crossings = [60, 240].map(|daemons| {
        let mut fleet = new_fleet(5, daemons);
        fleet.rounds(25);
        traffic_between(&mut fleet)
    });
    for traffic in crossings {
        assert!(
            traffic.datagrams <= 2 * 25 * ROUNDS_PER_SECOND + 10,
            "{traffic:?}"
        );
        assert!(traffic.bytes <= 250_000, "{traffic:?}");
    }
}

/// Regions that lose contact continue with their own coordinators, and regain contact afterwards.
#[test]
fn cut_regions() {
    let mut fleet = new_fleet(7, 60);
    fleet.rounds(40);
    for _ in 0..60 {
        fleet.round(|sender, receiver| sender % REGIONS != receiver % REGIONS);
    }
    assert_own_coordinators(&fleet);
    assert!(fleet.daemons[0].daemons() <= 31, "the others are lost");
    fleet.rounds(25);
    assert_own_coordinators(&fleet);
    for daemon in 0..60 {
        assert!(fleet.daemons[daemon].daemons() >= 58, "at {daemon}");
    }
}

/// A coordinator that is lost in one region is replaced there, and the other region finds the new one.
#[test]
fn far_replacement() {
    let mut fleet = new_fleet(9, 60);
    fleet.rounds(40);
    let service = &services()[2];
    let lost = fleet.coordinator(1, service);
    fleet.down[lost] = true;
    fleet.rounds(40);
    assert_own_coordinators(&fleet);
    let next = fleet.coordinator(1, service);
    let here = fleet.coordinator(0, service);
    let known = fleet.daemons[here].remote_coordinator(fleet.now, service, RegionHash(1), &[]);
    assert_eq!(known, Some(fleet::address(next)));
}

/// A coordinator receives the state of its service in the other region in the heartbeats of the coordinator there, and
/// reports it within its own region. Old reports are ignored.
#[test]
fn told_services() {
    let service = services()[0].clone();
    let hash = service_hash(&service);
    let report = SelfReport {
        queues: vec![QueueNote {
            service: hash,
            endpoints: 7,
            short: false,
            outstanding: 90,
        }],
        backlogs: vec![BacklogNote {
            service: hash,
            own: Backlog::unordered(3),
            all: Some(Backlog::unordered(90)),
        }],
        ..plain_report(Some(40))
    };
    let mut fleet = Fleet::in_regions(2, 60, REGIONS, report);
    fleet.rounds(40);
    let (now, there) = (fleet.now, RegionHash(1));
    let Coordinator::Local =
        fleet.daemons[fleet.coordinator(0, &service)].coordinator(now, &service, true, &[])
    else {
        panic!("the coordinator knows that it is one");
    };
    let coordinator = fleet.coordinator(0, &service);
    let notes = fleet.daemons[coordinator].remote_notes(now, std::slice::from_ref(&service), true);
    let expected = RemoteNote {
        region: there,
        service: hash,
        endpoints: 7,
        backlog: Backlog::unordered(90),
    };
    assert_eq!(notes, [expected]);
    let mut daemons = 0..60;
    let other = daemons
        .find(|daemon| {
            fleet.region(*daemon) == 0
                && fleet.daemons[*daemon]
                    .remote_service(now, &service, there)
                    .is_none()
        })
        .unwrap();
    let daemon = &mut fleet.daemons[other];
    assert!(
        daemon
            .remote_notes(now, std::slice::from_ref(&service), true)
            .is_empty()
    );
    daemon.merge_remote_services(now, &notes);
    let known = daemon.remote_service(now, &service, there).unwrap();
    assert_eq!((known.endpoints, known.backlog.total()), (7, 90));
    let later = Time(now.0 + 4_000_000);
    assert_eq!(daemon.remote_service(later, &service, there), None);
}
