//! Which daemons ask which others for something newer, and how fast it reaches a fleet.

use {
    hazelyoke_lib::{
        gateway::rules::{
            catch_up::is_behind,
            fetch_turn::{ASKERS_PER_HOLDER, Holders, is_certain, is_turn, sources, spread_time},
        },
        shared::units::{Millis, Time},
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::index::sample},
};

/// Number of daemons to which a daemon of a large fleet sends each heartbeat: those drawn and its watchers.
const RECEIVERS: usize = 6;

/// Number of heartbeats for which a received one counts as fresh.
const FRESH_HEARTBEATS: usize = 5;

/// Result of a simulated spread.
#[derive(Debug)]
struct Spread {
    /// Number of heartbeats until everybody had it.
    rounds: usize,
    /// Largest number of daemons that asked the same one within a heartbeat.
    most_asked: usize,
}

/// Simulates how something that the first `readers` daemons have reaches a fleet. If there are several, they send to
/// everybody. Each daemon that asks is answered within a heartbeat, by one of those from which it received a heartbeat.
fn spread(daemons: usize, readers: usize, rng: &mut SmallRng) -> Spread {
    let mut has = vec![false; daemons];
    has[..readers].fill(true);
    // Senders received by each daemon, by heartbeat.
    let mut received: Vec<Vec<Vec<usize>>> = Vec::new();
    let mut most_asked = 0;
    for round in 1..100 {
        let mut now = vec![Vec::new(); daemons];
        for sender in 0..daemons {
            if sender < readers {
                now.iter_mut().for_each(|received| received.push(sender));
                continue;
            }
            for receiver in sample(rng, daemons, RECEIVERS.min(daemons)) {
                now[receiver].push(sender);
            }
        }
        received.push(now);
        let recent = &received[received.len().saturating_sub(FRESH_HEARTBEATS)..];
        let mut asked = vec![0; daemons];
        let mut next = has.clone();
        for daemon in (0..daemons).filter(|daemon| !has[*daemon]) {
            let mut others: Vec<usize> =
                recent.iter().flat_map(|now| now[daemon].clone()).collect();
            others.sort_unstable();
            others.dedup();
            let mut holders = Holders::default();
            for other in &others {
                holders.add(*other < readers, has[*other]);
            }
            if !is_turn(holders, daemons, rng.random()) {
                continue;
            }
            let sources = sources(holders, daemons, rng.random());
            others.retain(|other| has[*other] && sources.include(*other < readers));
            asked[others[rng.random_range(0..others.len())]] += 1;
            next[daemon] = true;
        }
        most_asked = most_asked.max(asked.into_iter().max().unwrap_or_default());
        has = next;
        if has.iter().all(|has| *has) {
            return Spread {
                rounds: round,
                most_asked,
            };
        }
    }
    panic!("{daemons} daemons haven't got it");
}

/// Few daemons ask the same one at once, and everybody is served within a few heartbeats. When all of 985 asked the
/// first daemon with a table at once, 74 of 93 whose logs were kept got no reply within 1.5 s and considered it lost.
#[test]
fn few_askers() {
    let mut rng = SmallRng::seed_from_u64(3);
    for daemons in [100, 300, 985] {
        for readers in [1, 5] {
            let Spread { rounds, most_asked } = spread(daemons, readers, &mut rng);
            assert!(
                rounds <= 12,
                "{rounds} heartbeats, {daemons} daemons, {readers} readers"
            );
            assert!(
                most_asked <= 5 * ASKERS_PER_HOLDER,
                "{most_asked} of {daemons} asked one of {readers}"
            );
        }
    }
}

/// In a small fleet, and in one of sixty with five readers, everybody asks at once.
#[test]
fn small_fleets_ask() {
    let holders = |received, holding, broadcasting| Holders {
        received,
        holding,
        broadcasting,
    };
    for daemons in [2, 7, 12] {
        assert!(is_certain(holders(daemons - 1, 1, 0), daemons), "{daemons}");
    }
    assert!(is_certain(holders(30, 0, 5), 60));
    assert!(!is_certain(holders(30, 0, 1), 60));
    assert!(!is_turn(holders(30, 0, 0), 60, 0.0));
    assert!(is_turn(holders(0, 0, 1), 985, 0.0));
}

/// The larger the fleet, the longer a newer state may take to arrive before a daemon reads the directory for it.
#[test]
fn later_behind() {
    for (daemons, expected) in [
        (1, 0),
        (60, 0),
        (61, 200),
        (720, 200),
        (985, 400),
        (2_000, 400),
    ] {
        assert_eq!(spread_time(daemons), Millis(expected), "{daemons}");
    }
    let since = Time(5_000_000);
    assert!(is_behind(since + Millis(601), Some(since), 60));
    assert!(!is_behind(since + Millis(1_000), Some(since), 985));
    assert!(is_behind(since + Millis(1_001), Some(since), 985));
}
