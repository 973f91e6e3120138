//! Which daemon coordinates a service, for various fleets, services and states of the daemons.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            peers::{
                membership::{Identity, Peers},
                message::{Heartbeat, PROTOCOL, Phase},
            },
            rules::coordinator::{
                Coordinator, DaemonCandidate, is_settled, may_coordinate, reads_directory,
            },
        },
        shared::{
            ids::ServiceId,
            units::{Capacity, Millis, Time},
        },
    },
    std::net::SocketAddr,
};

const SERVICES: [&str; 8] = [
    "assist", "pay", "encode", "retrieve", "rerank", "a", "enc", "plan-9",
];

/// IPv4 and IPv6 addresses, with ports of different lengths.
fn address(number: u16) -> SocketAddr {
    match number % 3 {
        0 => SocketAddr::from(([10, 0, 0, number as u8], 7_000 + number)),
        1 => SocketAddr::from(([192, 168, number as u8, 1], 7_000)),
        _ => SocketAddr::from(([0xfd00, 0, 0, 0, 0, 0, 0, number], 65_000)),
    }
}

fn capacity(number: u16) -> Capacity {
    Capacity([250, 250, 500, 120][usize::from(number) % 4])
}

fn peers(number: u16) -> Peers {
    let me = Identity {
        host: format!("h{number}").parse().unwrap(),
        data_centre: "z".parse().unwrap(),
        region: None,
        address: address(number),
        run: 1,
        capacity: capacity(number),
    };
    Peers::new(me, &[])
}

fn heartbeat(number: u16, phase: Phase, capacity: Capacity) -> Heartbeat {
    Heartbeat {
        eras: Default::default(),
        protocol: PROTOCOL,
        host: format!("h{number}").parse().unwrap(),
        run: 1,
        sequence: 1,
        address: address(number),
        data_centre: "z".parse().unwrap(),
        region: None,
        phase,
        table: 0,
        fingerprint: 0,
        table_until: None,
        evacuations: None,
        catalogue: 0,
        steady: false,
        read_ms: None,
        read_by: None,
        broadcasts: false,
        capacity,
        exhausted: false,
        joining: false,
        asked: Vec::new(),
        peers: Vec::new(),
        loads: Vec::new(),
        queues: Vec::new(),
        work: Vec::new(),
        backlogs: Vec::new(),
    }
}

/// Daemon 0 of a fleet of `size` daemons that are all ready.
fn fleet(size: u16) -> Peers {
    let mut me = peers(0);
    for number in 1..size {
        me.receive_heartbeat(Time(0), heartbeat(number, Phase::Ready, capacity(number)));
    }
    me
}

/// The coordinator of each service as the number of its daemon; 0 is the asking daemon.
fn coordinators(me: &Peers, now: Time, ready: bool, except: &[u16]) -> [u16; 8] {
    let except: Vec<SocketAddr> = except.iter().map(|number| address(*number)).collect();
    SERVICES.map(|name| {
        let service: ServiceId = name.parse().unwrap();
        match me.coordinator(now, &service, ready, &except) {
            Coordinator::Local => 0,
            Coordinator::Peer(peer) => (1..40).find(|n| address(*n) == peer).unwrap(),
        }
    })
}

#[test]
fn fleet_sizes() {
    let at = |size| coordinators(&fleet(size), Time(0), true, &[]);
    assert_eq!(at(1), [0; 8]);
    assert_eq!(at(2), [0, 1, 0, 0, 0, 0, 1, 0]);
    assert_eq!(at(3), [2, 2, 2, 2, 2, 2, 2, 2]);
    assert_eq!(at(7), [2, 6, 2, 2, 2, 6, 2, 2]);
    assert_eq!(at(13), [10, 10, 10, 2, 2, 6, 2, 10]);
    assert_eq!(at(40), [14, 34, 26, 34, 2, 6, 14, 34]);
}

#[test]
fn equal_capacities() {
    let mut me = peers(0);
    for number in 1..20 {
        me.receive_heartbeat(Time(0), heartbeat(number, Phase::Ready, capacity(0)));
    }
    assert_eq!(
        coordinators(&me, Time(0), true, &[]),
        [14, 17, 17, 9, 2, 6, 14, 7]
    );
    assert_eq!(
        coordinators(&me, Time(0), false, &[]),
        [14, 17, 17, 9, 2, 6, 14, 7]
    );
}

#[test]
fn excluded_daemons() {
    let me = fleet(13);
    assert_eq!(
        coordinators(&me, Time(0), true, &[2]),
        [10, 10, 10, 10, 10, 6, 6, 10]
    );
    assert_eq!(
        coordinators(&me, Time(0), true, &[2, 6]),
        [10, 10, 10, 10, 10, 10, 10, 10]
    );
    assert_eq!(
        coordinators(&me, Time(0), true, &[2, 6, 10]),
        [0, 1, 4, 9, 12, 0, 8, 0]
    );
    let all: Vec<u16> = (1..13).collect();
    assert_eq!(coordinators(&me, Time(0), true, &all), [0; 8]);
    assert_eq!(coordinators(&me, Time(0), false, &all), [0; 8]);
}

/// A daemon that isn't ready leaves the services to any daemon that is.
#[test]
fn unready_daemon() {
    assert_eq!(coordinators(&fleet(1), Time(0), false, &[]), [0; 8]);
    assert_eq!(coordinators(&fleet(2), Time(0), false, &[]), [1; 8]);
    // Daemon 3 has less capacity than the asking one.
    let mut weak = peers(0);
    weak.receive_heartbeat(Time(0), heartbeat(3, Phase::Ready, capacity(3)));
    assert_eq!(coordinators(&weak, Time(0), true, &[]), [0; 8]);
    assert_eq!(coordinators(&weak, Time(0), false, &[]), [3; 8]);
}

#[test]
fn phases_of_others() {
    for phase in [Phase::Starting, Phase::Stopping] {
        let mut me = peers(0);
        me.receive_heartbeat(Time(0), heartbeat(2, phase, capacity(2)));
        assert_eq!(coordinators(&me, Time(0), true, &[]), [0; 8]);
        assert_eq!(coordinators(&me, Time(0), false, &[]), [0; 8]);
    }
}

#[test]
fn lost_daemons() {
    let mut me = peers(0);
    me.receive_heartbeat(Time(0), heartbeat(2, Phase::Ready, capacity(2)));
    assert_eq!(coordinators(&me, Time(0), true, &[]), [2; 8]);
    me.update_liveness(Time(0) + Millis(5_000));
    assert_eq!(coordinators(&me, Time(0), true, &[]), [0; 8]);
}

#[test]
fn passed_over_daemons() {
    let mut me = peers(0);
    me.receive_heartbeat(Time(0), heartbeat(2, Phase::Ready, capacity(2)));
    me.exclude_coordinator(Time(0), &address(2));
    let until = Time(0) + Millis(1_500);
    let at = |now| coordinators(&me, now, true, &[]);
    assert_eq!(at(Time(0)), [0; 8]);
    assert_eq!(at(Time(until.0 - 1)), [0; 8]);
    assert_eq!(at(until), [2; 8]);
}

#[test]
fn settled_daemons() {
    let end = Time(0) + Millis(600);
    assert!(!is_settled(Time(0)));
    assert!(!is_settled(Time(end.0 - 1)));
    assert!(is_settled(end));
    assert!(is_settled(Time(u64::MAX)));
}

/// For a time after its start, a daemon leaves coordinating to a stronger one that has just started too.
#[test]
fn stronger_first() {
    for (ms, stronger, expected) in [
        (599, false, false),
        (600, false, true),
        (600, true, false),
        (1_999, true, false),
        (2_000, true, true),
    ] {
        let now = Time(0) + Millis(ms);
        assert_eq!(may_coordinate(now, stronger), expected, "{ms} {stronger}");
    }
}

/// Of daemons that start together, only the future coordinator reads the directory, even if others are ready before it.
/// If it isn't ready two seconds later, they read as well.
#[test]
fn first_reader() {
    let service: ServiceId = "assist".parse().unwrap();
    let candidates: Vec<DaemonCandidate> = (0..15)
        .map(|number| DaemonCandidate {
            address: address(number),
            capacity: capacity(number),
        })
        .collect();
    let since = Time(0) + Millis(600);
    let readers = |now: Time| {
        let reads = |me: &&DaemonCandidate| {
            let others = candidates.iter().filter(|other| other != me).copied();
            reads_directory(now, since, &service, **me, others)
        };
        candidates.iter().filter(reads).count()
    };
    assert_eq!(readers(since), 1);
    assert_eq!(readers(since + Millis(1_999)), 1);
    assert_eq!(readers(since + Millis(2_000)), candidates.len());
}
