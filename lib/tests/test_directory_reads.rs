//! Reads of the directory: by which daemons, how long a call waits, and the pauses between calls.

use {
    hazelyoke_lib::{
        gateway::{
            directory::source::{DirectoryError, Topic},
            rules::directory_reads::{
                AnswerTimeout, Backoff, COVER_CHECK, LastCall, PAUSE_FRACTIONS, PeerReads,
                ReadDuty, Reader, ReportedRead, call_wait, is_cut_watch, is_stall, next_turn,
                pause_after_answer, read_duty, reported_read, topic_wait, wait_after,
            },
        },
        shared::units::Millis,
    },
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{net::SocketAddr, time::Duration},
};

const FOLLOWER: Reader = Reader {
    small_fleet: false,
    coordinates: false,
};
const COORDINATOR: Reader = Reader {
    small_fleet: false,
    coordinates: true,
};
const SMALL: Reader = Reader {
    small_fleet: true,
    coordinates: false,
};

#[test]
fn covered_daemons() {
    use ReadDuty::{Leave, Probe, Read};
    for (reader, lags, read_age, wait, expected) in [
        (FOLLOWER, false, Some(0), 1_000, Leave),
        (FOLLOWER, false, Some(1_400), 1_000, Leave),
        (FOLLOWER, false, Some(1_401), 1_000, Probe),
        (FOLLOWER, false, Some(600), 200, Leave),
        (FOLLOWER, false, Some(601), 200, Probe),
        (FOLLOWER, false, None, 1_000, Probe),
        (FOLLOWER, true, Some(0), 1_000, Read),
        (FOLLOWER, true, None, 1_000, Read),
        (COORDINATOR, false, Some(0), 1_000, Read),
        (COORDINATOR, false, None, 1_000, Read),
        (SMALL, false, Some(0), 1_000, Read),
    ] {
        let peers = PeerReads {
            lags,
            read_age: read_age.map(Millis),
        };
        let wait = Duration::from_millis(wait);
        let found = read_duty(reader, peers, false, wait);
        assert_eq!(found, expected, "{reader:?} {peers:?} {wait:?}");
        // A substitute reads where another daemon would probe the directory, and nowhere else.
        let substitute = if expected == Probe { Read } else { expected };
        assert_eq!(read_duty(reader, peers, true, wait), substitute);
    }
}

/// Number of calls that a fleet makes in the first five seconds of an outage.
fn outage_calls(daemons: usize) -> usize {
    let mut rng = SmallRng::seed_from_u64(daemons as u64);
    let outage = Duration::from_secs(5);
    (0..daemons)
        .map(|_| {
            let mut at = next_turn(daemons, LastCall::Answered, rng.random());
            let mut calls = 0;
            while at < outage {
                calls += 1;
                at += next_turn(daemons, LastCall::Failed, rng.random());
            }
            calls
        })
        .sum()
}

/// An outage costs as many calls in a fleet of a thousand as in one of a hundred.
#[test]
fn turns_in_outage() {
    for daemons in [14, 61, 90, 295, 1_000] {
        let calls = outage_calls(daemons);
        assert!((50..=88).contains(&calls), "{calls} by {daemons}");
    }
}

/// Times of the calls of a fleet that starts at once, in order. Each daemon's first call, at the start, fails because
/// there is no configuration yet.
fn calls_after_start(daemons: usize) -> Vec<Duration> {
    let mut rng = SmallRng::seed_from_u64(daemons as u64);
    let mut calls = Vec::new();
    for _ in 0..daemons {
        let mut last = LastCall::after_failure(None);
        let mut at = Duration::ZERO;
        while at < Duration::from_secs(30) {
            at += next_turn(daemons, last, rng.random());
            last = LastCall::after_failure(Some(last));
            calls.push(at);
        }
    }
    calls.sort_unstable();
    calls
}

/// A fleet that starts before the directory has a configuration gets the first table soon after it is published. The
/// turns have to be spread evenly from the first call on. A fleet of 985 once called all at once, then each daemon left
/// half a minute to the turns of the others and nobody called: the first table came after 32.5 s, and requests were
/// refused until then.
#[test]
fn fleet_starts_empty() {
    for daemons in [30, 300, 985, 2_000] {
        let calls = calls_after_start(daemons);
        for published in 1..20 {
            let published = Duration::from_millis(published * 500);
            let next = calls.iter().find(|at| **at >= published).unwrap();
            let took = *next - published;
            assert!(took < Duration::from_millis(700), "{took:?} at {daemons}");
            let second = calls.iter().filter(|at| **at >= published);
            let second = second.filter(|at| **at < published + Duration::from_secs(1));
            assert!(second.count() <= 45, "{daemons}");
        }
    }
}

/// A daemon that probes the directory first leaves time to receive what peers have just sent.
#[test]
fn earliest_turn() {
    for daemons in [13, 295] {
        let first = |fraction| next_turn(daemons, LastCall::Answered, fraction);
        assert_eq!(first(0.0), Duration::from_millis(100));
        assert!(next_turn(daemons, LastCall::Failed, 0.0) > first(0.45));
    }
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

/// A coordinator reports its own read while that is fresh, otherwise the same substitute's as all others.
#[test]
fn reported_reads() {
    let wait = Duration::from_millis(1_000);
    let substitutes = [(3, 200), (2, 900), (1, 1_401)];
    let all = substitutes.map(|(number, age)| (address(number), Millis(age)));
    let by = |number, age| ReportedRead {
        age: Millis(age),
        substitute: Some(address(number)),
    };
    let own = |age| ReportedRead::local(Millis(age));
    for (read, known, expected) in [
        (Some(0), &all[..], Some(own(0))),
        (Some(1_400), &all[..], Some(own(1_400))),
        (Some(1_401), &all[..], Some(by(2, 900))),
        (None, &all[..], Some(by(2, 900))),
        (None, &all[..1], Some(by(3, 200))),
        (Some(1_500), &all[2..], Some(own(1_500))),
        (None, &all[2..], None),
    ] {
        let found = reported_read(read.map(Millis), known.iter().copied(), wait);
        assert_eq!(found, expected, "{read:?} {known:?}");
    }
}

#[test]
fn pauses_grow() {
    for (reader, has_list, expected) in [
        (FOLLOWER, true, [60, 120, 240, 480, 960, 1_200, 1_200]),
        (FOLLOWER, false, [60, 120, 240, 400, 400, 400, 400]),
        (COORDINATOR, true, [60, 120, 240, 400, 400, 400, 400]),
        (SMALL, true, [60, 120, 240, 400, 400, 400, 400]),
    ] {
        let mut backoff = Backoff::default();
        for pause in expected {
            assert_eq!(backoff.pause(1.0), Duration::from_millis(pause));
            assert_eq!(backoff.pause(0.5), Duration::from_millis(pause / 2));
            backoff = backoff.next(reader, has_list);
        }
    }
    assert_eq!(PAUSE_FRACTIONS, 0.5..1.0);
}

#[test]
fn shorter_pauses_again() {
    // A daemon that begins to coordinate during an outage calls more often from then on.
    let mut backoff = Backoff::default();
    for _ in 0..6 {
        backoff = backoff.next(FOLLOWER, true);
    }
    assert_eq!(backoff.pause(1.0), Duration::from_millis(1_200));
    let coordinating = backoff.next(COORDINATOR, true);
    assert_eq!(coordinating.pause(1.0), Duration::from_millis(400));
}

#[test]
fn topic_pauses() {
    let wait = Duration::from_millis(1_000);
    assert_eq!(topic_wait(Topic::Operator, wait), wait);
    assert_eq!(topic_wait(Topic::Endpoints, wait), wait / 2);
    let pause = Some(Duration::from_millis(300));
    assert_eq!(pause_after_answer(Topic::Endpoints, true), pause);
    assert_eq!(pause_after_answer(Topic::Endpoints, false), None);
    assert_eq!(pause_after_answer(Topic::Operator, true), None);
}

#[test]
fn late_answers() {
    let mut limit = AnswerTimeout::default();
    for expected in [500, 1_000, 2_000, 2_000] {
        assert_eq!(limit.to_duration(), Duration::from_millis(expected));
        limit = limit.after_timeout();
    }
    // The limit stays raised while answers are slow, and not longer.
    let slow = limit.after_answer(Duration::from_millis(500));
    assert_eq!(slow, limit);
    let quick = limit.after_answer(Duration::from_millis(499));
    assert_eq!(quick, AnswerTimeout::default());
}

#[test]
fn call_wait_spread() {
    // (apply, drain, wait), in milliseconds.
    for (apply, drain, expected) in [
        (0, 0, 200),
        (2_000, 0, 200),
        (399, 2_000, 200),
        (401, 2_000, 200),
        (402, 2_000, 201),
        (2_000, 1_001, 500),
        (1_999, 2_000, 999),
        (2_000, 2_000, 1_000),
        (60_000, 2_001, 1_000),
        (60_000, 60_000, 1_000),
    ] {
        let wait = call_wait(Millis(apply), Millis(drain));
        assert_eq!(wait, Duration::from_millis(expected), "{apply} {drain}");
    }
}

/// A check on time is no stall; a gap in which more than one check is missed is.
#[test]
fn standstill() {
    let check = COVER_CHECK.to_duration();
    assert!(!is_stall(check));
    assert!(!is_stall(check * 2));
    assert!(is_stall(check * 2 + Duration::from_millis(1)));
}

/// Only a connection that ends while the call waits for changes is no failure of the directory.
#[test]
fn cut_watch() {
    let wait = Duration::from_millis(500);
    let cut = DirectoryError::Cut("closed".into());
    for (error, took, wait, expected) in [
        (&cut, 0, wait, true),
        (&cut, 499, wait, true),
        (&cut, 500, wait, false),
        (&cut, 0, Duration::ZERO, false),
        (&DirectoryError::TimedOut, 10, wait, false),
        (
            &DirectoryError::Unreachable("refused".into()),
            10,
            wait,
            false,
        ),
    ] {
        let found = is_cut_watch(error, Duration::from_millis(took), wait);
        assert_eq!(found, expected, "{error} {took} {wait:?}");
    }
}

/// After a failure the directory is asked to answer at once.
#[test]
fn waits_after_calls() {
    let wait = Duration::from_millis(500);
    assert_eq!(wait_after(None, wait), wait);
    assert_eq!(wait_after(Some(LastCall::Answered), wait), wait);
    assert_eq!(
        wait_after(Some(LastCall::FirstFailed), wait),
        Duration::ZERO
    );
    assert_eq!(wait_after(Some(LastCall::Failed), wait), Duration::ZERO);
}
