//! Whether an answer can end before a daemon that stops.

use {
    hazelyoke_lib::{
        gateway::rules::reply_time::{ReplyTime, ends_within},
        shared::units::WorkMillis,
    },
    std::time::Duration,
};

/// Steady times are expected as they are, and uneven ones longer than their average.
#[test]
fn expected_times() {
    let mut steady = ReplyTime::default();
    assert_eq!(steady.expected(0), WorkMillis(0.0));
    for _ in 0..10 {
        steady.record(WorkMillis(700.0), 0);
    }
    assert_eq!(steady.expected(0), WorkMillis(700.0));
    let mut uneven = ReplyTime::default();
    for turn in 0..200 {
        uneven.record(WorkMillis(if turn % 2 == 0 { 400.0 } else { 1_000.0 }), 0);
    }
    let expected = uneven.expected(0).0;
    assert!((1_100.0..1_500.0).contains(&expected), "{expected}");
}

/// Answers with tokens are expected by the tokens that a request allows.
#[test]
fn tokens_allowed() {
    let mut time = ReplyTime::default();
    time.record(WorkMillis(2_000.0), 100);
    assert_eq!(time.expected(100), WorkMillis(2_000.0));
    assert_eq!(time.expected(400), WorkMillis(8_000.0));
}

/// Without an observation nothing is refused but what already takes too long elsewhere.
#[test]
fn time_left() {
    let left = Duration::from_millis(1_000);
    for (expected, elapsed, ends) in [
        (0.0, 0.0, true),
        (900.0, 0.0, true),
        (901.0, 0.0, false),
        (0.0, 900.0, true),
        (0.0, 901.0, false),
        (500.0, 901.0, false),
    ] {
        let is_in_time = ends_within(WorkMillis(expected), WorkMillis(elapsed), left);
        assert_eq!(is_in_time, ends, "{expected} {elapsed}");
    }
    assert!(!ends_within(
        WorkMillis(0.0),
        WorkMillis(0.0),
        Duration::ZERO
    ));
}
