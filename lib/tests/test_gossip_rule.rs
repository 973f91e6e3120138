//! Which daemons get a heartbeat, and what it names, checked on both sides of each bound.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            directory::evacuations::Evacuations,
            hashes::EndpointHash,
            peers::{
                membership::{Identity, Peers},
                message::{Heartbeat, LoadNote, Phase},
                outgoing::OutgoingHeartbeat,
                self_report::SelfReport,
            },
            rules::coordinator::Coordinator,
        },
        shared::{
            ids::ServiceId,
            units::{Capacity, Time},
        },
    },
    std::{collections::HashSet, net::SocketAddr},
};

const WEAK: Capacity = Capacity(120);
const STRONG: Capacity = Capacity(500);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn peers(number: u8, capacity: Capacity, seeds: &[SocketAddr]) -> Peers {
    let me = Identity {
        host: format!("h{number}").parse().unwrap(),
        data_centre: "z".parse().unwrap(),
        region: None,
        address: address(number),
        run: u64::from(number),
        capacity,
    };
    Peers::new(me, seeds)
}

fn report(phase: Phase, services: &[&str]) -> SelfReport {
    SelfReport {
        phase,
        table: 0,
        fingerprint: 0,
        table_until: 0.into(),
        evacuations: Evacuations::default(),
        exhausted: false,
        catalogue: 0.into(),
        steady: false,
        read_ms: None,
        read_by: None,
        loads: Vec::new(),
        queues: Vec::new(),
        work: Vec::new(),
        backlogs: Vec::new(),
        services: services.iter().map(|name| name.parse().unwrap()).collect(),
    }
}

/// A daemon that knows `others` daemons, of which number 1 (if any) has the most capacity.
fn fleet(capacity: Capacity, others: u8, seeds: &[SocketAddr]) -> Peers {
    let mut me = peers(0, capacity, seeds);
    for number in 1..=others {
        let strength = if number == 1 { Capacity(400) } else { WEAK };
        let mut other = peers(number, strength, &[]);
        me.receive_heartbeat(Time(0), heartbeat(&mut other, Phase::Ready, &[]).0);
    }
    me
}

fn heartbeat(
    peers: &mut Peers,
    phase: Phase,
    services: &[&str],
) -> (Heartbeat, HashSet<SocketAddr>) {
    let OutgoingHeartbeat { heartbeat, targets } =
        peers.heartbeat(Time(0), report(phase, services));
    let distinct: HashSet<SocketAddr> = targets.iter().copied().collect();
    assert_eq!(distinct.len(), targets.len(), "nobody gets it twice");
    (heartbeat, distinct)
}

#[test]
fn small_fleets() {
    for others in [0, 1, 6, 12] {
        let mut me = fleet(WEAK, others, &[]);
        assert!(me.is_small());
        let (_, targets) = heartbeat(&mut me, Phase::Ready, &["pay"]);
        assert_eq!(targets, (1..=others).map(address).collect());
    }
}

#[test]
fn drawn_daemons() {
    for others in [13, 40, 200] {
        let mut me = fleet(WEAK, others, &[]);
        assert!(!me.is_small());
        for _ in 0..20 {
            let (_, targets) = heartbeat(&mut me, Phase::Ready, &[]);
            assert_eq!(targets.len(), 6);
        }
    }
}

/// Each heartbeat goes to the coordinators of the daemon's services.
#[test]
fn coordinator_targets() {
    let mut me = fleet(WEAK, 40, &[]);
    let service: ServiceId = "pay".parse().unwrap();
    let coordinator = me.coordinator(Time(0), &service, true, &[]);
    assert_eq!(coordinator, Coordinator::Peer(address(1)));
    for _ in 0..20 {
        let (heartbeat, targets) = heartbeat(&mut me, Phase::Ready, &["pay", "assist"]);
        assert!(!heartbeat.broadcasts);
        assert!(targets.contains(&address(1)));
        assert!((6..=7).contains(&targets.len()));
    }
}

#[test]
fn absent_seeds() {
    let mut me = fleet(WEAK, 40, &[address(0), address(2), address(250)]);
    for _ in 0..20 {
        let (_, targets) = heartbeat(&mut me, Phase::Ready, &[]);
        assert!(targets.contains(&address(250)));
        assert!(!targets.contains(&address(0)));
        assert_eq!(targets.len(), 7);
    }
}

/// A daemon that stops coordinating its last service sends two further heartbeats to everybody.
#[test]
fn last_broadcasts() {
    let mut me = fleet(STRONG, 40, &[]);
    assert!(!me.coordinates());
    for _ in 0..5 {
        let (heartbeat, targets) = heartbeat(&mut me, Phase::Ready, &["pay"]);
        assert!(heartbeat.broadcasts);
        assert!(me.coordinates());
        assert_eq!(targets.len(), 40);
    }
    let mut sizes = Vec::new();
    for _ in 0..5 {
        let (heartbeat, targets) = heartbeat(&mut me, Phase::Ready, &[]);
        assert!(!heartbeat.broadcasts);
        assert!(!me.coordinates());
        sizes.push(targets.len());
    }
    assert_eq!(sizes, [40, 40, 6, 6, 6]);
}

/// Only a ready daemon broadcasts its heartbeats.
#[test]
fn ready_daemon_broadcasts() {
    for phase in [Phase::Starting, Phase::Stopping] {
        let mut me = fleet(STRONG, 40, &[]);
        let (heartbeat, targets) = heartbeat(&mut me, phase, &["pay"]);
        assert!(!heartbeat.broadcasts);
        assert!(targets.contains(&address(1)));
    }
}

#[test]
fn named_daemons() {
    for (others, named) in [(0, 0), (4, 4), (10, 10), (11, 10), (60, 10)] {
        let mut me = fleet(WEAK, others, &[]);
        let (heartbeat, _) = heartbeat(&mut me, Phase::Ready, &[]);
        let distinct: HashSet<SocketAddr> =
            heartbeat.peers.iter().map(|note| note.address).collect();
        assert_eq!(distinct.len(), named);
        assert_eq!(heartbeat.peers.len(), named);
    }
}

#[test]
fn largest_loads() {
    let mut me = peers(0, WEAK, &[]);
    let loads = (0..40)
        .map(|n| LoadNote {
            endpoint: EndpointHash(n),
            running: n * 7 % 5,
            prefill: n * 11 % 13,
        })
        .collect();
    let full = SelfReport {
        loads,
        ..report(Phase::Ready, &[])
    };
    let OutgoingHeartbeat { heartbeat, .. } = me.heartbeat(Time(0), full);
    let sent: Vec<(u32, u32)> = heartbeat
        .loads
        .iter()
        .map(|load| (load.prefill, load.running))
        .collect();
    assert_eq!(sent.len(), 24);
    assert!(sent.is_sorted_by(|a, b| a >= b));
    assert_eq!(sent[0].0, 12);
    assert_eq!(sent[23].0, 5);
}
