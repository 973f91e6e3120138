//! Reads of the directory: by which daemons, how long a call waits, and the pauses between calls.

use {
    hazelyoke_lib::{
        gateway::{
            directory::source::Topic,
            rules::directory_reads::{
                AnswerLimit, Backoff, PAUSE_PARTS, PeerKnowledge, Reader, call_wait, is_covered,
                pause_after_answer, topic_wait,
            },
        },
        shared::units::Millis,
    },
    std::time::Duration,
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
    for (reader, lags, read_age, wait, expected) in [
        (FOLLOWER, false, Some(0), 1_000, true),
        (FOLLOWER, false, Some(1_400), 1_000, true),
        (FOLLOWER, false, Some(1_401), 1_000, false),
        (FOLLOWER, false, Some(600), 200, true),
        (FOLLOWER, false, Some(601), 200, false),
        (FOLLOWER, false, None, 1_000, false),
        (FOLLOWER, true, Some(0), 1_000, false),
        (COORDINATOR, false, Some(0), 1_000, false),
        (SMALL, false, Some(0), 1_000, false),
    ] {
        let peers = PeerKnowledge {
            lags,
            read_age: read_age.map(Millis),
        };
        let found = is_covered(reader, peers, Duration::from_millis(wait));
        assert_eq!(found, expected, "{reader:?} {peers:?} {wait}");
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
    assert_eq!(PAUSE_PARTS, 0.5..1.0);
}

#[test]
fn shorter_pauses_again() {
    // A daemon that begins to coordinate during an outage looks more often from then on.
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
    assert_eq!(topic_wait(Topic::Table, wait), wait);
    assert_eq!(topic_wait(Topic::Endpoints, wait), wait / 2);
    let pause = Some(Duration::from_millis(300));
    assert_eq!(pause_after_answer(Topic::Endpoints, true), pause);
    assert_eq!(pause_after_answer(Topic::Endpoints, false), None);
    assert_eq!(pause_after_answer(Topic::Table, true), None);
}

#[test]
fn late_answers() {
    let mut limit = AnswerLimit::default();
    for expected in [500, 1_000, 2_000, 2_000] {
        assert_eq!(limit.to_duration(), Duration::from_millis(expected));
        limit = limit.after_late();
    }
    // It stays while answers are slow, and not longer.
    let slow = limit.after_answer(Duration::from_millis(500));
    assert_eq!(slow, limit);
    let quick = limit.after_answer(Duration::from_millis(499));
    assert_eq!(quick, AnswerLimit::default());
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
