//! When another daemon counts as alive, lost or forgotten, checked on both sides of each bound.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            peers::{
                membership::{Identity, Peers},
                message::{Heartbeat, PROTOCOL, PeerNote, Phase},
                peer_change::PeerChange,
            },
            rules::stall::PauseDetector,
        },
        shared::units::{Capacity, Millis, Time},
    },
    std::{net::SocketAddr, time::Duration},
};

/// Largest number of known daemons in a small fleet.
const SMALL: u8 = 12;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn peers() -> Peers {
    let me = Identity {
        host: "h0".parse().unwrap(),
        data_centre: "z".parse().unwrap(),
        region: None,
        address: address(0),
        run: 1,
        capacity: Capacity(250),
    };
    Peers::new(me, &[])
}

fn heartbeat(number: u8, sequence: u64, broadcasts: bool) -> Heartbeat {
    Heartbeat {
        eras: Default::default(),
        protocol: PROTOCOL,
        host: format!("h{number}").parse().unwrap(),
        run: 1,
        sequence,
        address: address(number),
        data_centre: "z".parse().unwrap(),
        region: None,
        phase: Phase::Ready,
        table: 0,
        fingerprint: 0,
        table_until: None,
        evacuations: None,
        catalogue: 0,
        steady: false,
        read_ms: None,
        read_by: None,
        broadcasts,
        capacity: Capacity(250),
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

fn note(number: u8, age_ms: u32) -> PeerNote {
    PeerNote {
        address: address(number),
        age_ms,
        phase: Phase::Ready,
        capacity: Capacity(250),
        suspect: false,
        region: None,
    }
}

/// Makes a fleet large by gossip on others that is too old to make any of them alive.
fn enlarge(me: &mut Peers, now: Time) {
    let notes: Vec<PeerNote> = (100..=100 + SMALL).map(|n| note(n, 20_000)).collect();
    me.merge_roster(now, &notes);
}

/// Returns whether a daemon whose heartbeat was received at time 0 is alive at a time, in a fleet of either size.
fn is_alive_at(large: bool, broadcasts: bool, now: Time) -> bool {
    let mut me = peers();
    me.receive_heartbeat(Time(0), heartbeat(1, 1, broadcasts));
    if large {
        enlarge(&mut me, Time(0));
    }
    assert_eq!(me.is_small(), !large);
    me.update_liveness(now);
    me.is_alive(&address(1))
}

/// A daemon may be silent for longer if the fleet is large and it doesn't broadcast.
#[test]
fn silence_limits() {
    for (large, broadcasts, limit) in [
        (false, false, Millis(1_000)),
        (false, true, Millis(1_000)),
        (true, true, Millis(1_000)),
        (true, false, Millis(2_500)),
    ] {
        let last = Time(0) + limit;
        assert!(is_alive_at(large, broadcasts, Time(0)));
        assert!(is_alive_at(large, broadcasts, last));
        assert!(!is_alive_at(large, broadcasts, Time(last.0 + 1)));
    }
}

#[test]
fn large_fleet_gossip() {
    for (age_ms, alive) in [(0, true), (2_500, true), (2_501, false), (20_000, false)] {
        let now = Time(0) + Millis(40_000);
        let mut me = peers();
        enlarge(&mut me, now);
        let changes = me.merge_roster(now, &[note(1, age_ms)]);
        assert_eq!(me.is_alive(&address(1)), alive, "{age_ms} ms");
        assert_eq!(changes.len(), usize::from(alive));
        me.update_liveness(now);
        assert_eq!(me.is_alive(&address(1)), alive, "{age_ms} ms");
    }
}

#[test]
fn small_fleet_gossip() {
    let mut me = peers();
    assert!(me.merge_roster(Time(0), &[note(1, 0)]).is_empty());
    me.update_liveness(Time(0));
    assert!(!me.is_alive(&address(1)));
    assert_eq!(me.addresses().collect::<Vec<_>>(), [address(1)]);
}

/// Gossip keeps a silent daemon alive in a large fleet.
#[test]
fn silence_with_gossip() {
    let mut me = peers();
    me.receive_heartbeat(Time(0), heartbeat(1, 1, false));
    enlarge(&mut me, Time(0));
    let later = Time(0) + Millis(4_000);
    me.merge_roster(later, &[note(1, 1_000)]);
    me.update_liveness(later);
    assert!(me.is_alive(&address(1)));
    me.update_liveness(later + Millis(1_500));
    assert!(me.is_alive(&address(1)));
    me.update_liveness(later + Millis(1_501));
    assert!(!me.is_alive(&address(1)));
}

#[test]
fn age_of_gossip() {
    let now = Time(0) + Millis(100_000);
    for (age_ms, known) in [(0, 1), (29_999, 1), (30_000, 0), (u32::MAX, 0)] {
        let mut me = peers();
        me.merge_roster(now, &[note(1, age_ms)]);
        assert_eq!(me.addresses().count(), known, "{age_ms} ms");
    }
}

#[test]
fn forgotten_daemons() {
    let mut me = peers();
    me.receive_heartbeat(Time(0), heartbeat(1, 1, false));
    let limit = Time(0) + Millis(60_000);
    me.update_liveness(Time(limit.0 - 1));
    assert_eq!(me.addresses().count(), 1);
    me.update_liveness(limit);
    assert_eq!(me.addresses().count(), 0);
}

#[test]
fn own_pause() {
    let mut me = peers();
    me.receive_heartbeat(Time(0), heartbeat(1, 1, false));
    me.receive_heartbeat(Time(0), heartbeat(2, 1, false));
    let first = Time(0) + Millis(2_000);
    me.receive_heartbeat(first, heartbeat(2, 2, false));
    let lost = me.update_liveness(first);
    assert!(matches!(lost[..], [PeerChange::Lost(..)]));
    // The pause isn't silence of daemon 2, so it is lost a second after it; daemon 1 was lost before it.
    let woken = Time(0) + Millis(9_000);
    me.end_pause(woken);
    assert!(me.update_liveness(woken + Millis(1_000)).is_empty());
    assert!(me.is_alive(&address(2)));
    assert!(!me.is_alive(&address(1)));
    let lost = me.update_liveness(Time(woken.0 + 1_000_001));
    assert!(matches!(lost[..], [PeerChange::Lost(..)]));
}

#[test]
fn joining_time() {
    let me = peers();
    let end = Time(0) + Millis(1_500);
    assert!(me.is_joining(Time(0)));
    assert!(me.is_joining(Time(end.0 - 1)));
    assert!(!me.is_joining(end));
}

#[test]
fn pause_length() {
    let mut pauses = PauseDetector::default();
    assert_eq!(pauses.check(Time(5)), None);
    assert_eq!(pauses.check(Time(5 + 599_999)), None);
    let gap = pauses.check(Time(5 + 599_999 + 600_000));
    assert_eq!(gap, Some(Duration::from_millis(600)));
    assert_eq!(pauses.check(Time(5 + 599_999 + 600_000)), None);
}
