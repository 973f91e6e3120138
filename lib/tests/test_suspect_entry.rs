//! Entries that vanish from the directory: when they are unconfirmed, and for how long.

use hazelyoke_lib::{
    gateway::rules::unconfirmed_entry::{
        ReadHistory, is_dark, is_outage, is_unconfirmed, unconfirmed_time,
    },
    shared::units::{Millis, Time},
};

fn at(ms: u64) -> Time {
    Time::default() + Millis(ms)
}

fn reads(answered: Option<u64>, failed: Option<u64>) -> ReadHistory {
    ReadHistory {
        answered: answered.map(at),
        failed: failed.map(at),
    }
}

#[test]
fn recent_failure() {
    let now = at(10_000);
    for (failed, expected) in [
        (None, false),
        (Some(0), false),
        (Some(8_499), false),
        (Some(8_500), false),
        (Some(8_501), true),
        (Some(10_000), true),
        (Some(10_001), true),
    ] {
        for answered in [None, Some(9_999)] {
            let found = reads(answered, failed).failed_lately(now);
            assert_eq!(found, expected, "{answered:?} {failed:?}");
        }
    }
}

#[test]
fn steady_reads() {
    // (now, last answer, last failure, steady)
    for (now, answered, failed, expected) in [
        (10_000, None, None, false),
        (10_000, Some(7_000), None, false),
        (10_000, Some(7_001), None, true),
        (10_000, Some(10_000), Some(6_999), true),
        (10_000, Some(10_000), Some(7_000), false),
        (10_000, Some(10_000), Some(9_000), false),
        (10_000, Some(7_500), Some(7_600), false),
        (3_000, Some(3_000), None, false),
        (3_001, Some(3_000), None, true),
    ] {
        let found = reads(answered, failed).is_steady(at(now));
        assert_eq!(found, expected, "{now} {answered:?} {failed:?}");
    }
}

#[test]
fn lost_directory() {
    for (answered, failed, expected) in [
        (None, None, false),
        (Some(1), None, false),
        (None, Some(1), true),
        (Some(1), Some(1), false),
        (Some(1), Some(2), true),
        (Some(2), Some(1), false),
    ] {
        let found = reads(answered, failed).is_lost();
        assert_eq!(found, expected, "{answered:?} {failed:?}");
    }
}

#[test]
fn outage_of_all() {
    let now = at(10_000);
    for (failed, has_steady_peer, expected) in [
        (None, false, false),
        (Some(9_000), false, true),
        (Some(9_000), true, false),
        (Some(8_000), false, false),
    ] {
        let found = is_outage(now, reads(Some(9_999), failed), has_steady_peer);
        assert_eq!(found, expected, "{failed:?} {has_steady_peer}");
    }
}

#[test]
fn draining_endpoints() {
    assert!(is_unconfirmed(true, false));
    assert!(!is_unconfirmed(true, true));
    assert!(!is_unconfirmed(false, false));
    assert!(!is_unconfirmed(false, true));
}

#[test]
fn suspect_time_spread() {
    // (drain, heartbeat, time for which an unconfirmed entry is used), in milliseconds.
    for (drain, heartbeat, expected) in [
        (0, 0, 200),
        (2_000, 0, 200),
        (2_000, 171, 200),
        (2_000, 172, 200),
        (2_000, 173, 201),
        (2_000, 600, 700),
        (2_000, 1_199, 1_398),
        (2_000, 1_200, 1_400),
        (2_000, 1_201, 1_400),
        (2_000, 60_000, 1_400),
        (799, 1_200, 200),
        (800, 1_200, 200),
        (801, 1_200, 201),
        (60_000, 30_000, 35_000),
    ] {
        let time = unconfirmed_time(Millis(heartbeat), Millis(drain));
        assert_eq!(time, Millis(expected), "{drain} {heartbeat}");
    }
}

/// A failure that the next call makes good isn't dark, and neither is one that only this daemon sees.
#[test]
fn dark_directory() {
    // (now, first failure, age of the last answer to another daemon, dark)
    for (now, lost, read_age, expected) in [
        (10_499, 10_000, None, false),
        (10_500, 10_000, None, true),
        (11_000, 10_000, Some(1_000), true),
        (11_000, 10_000, Some(999), false),
        (12_000, 10_000, Some(5_000), true),
        // The others' answers have ended since.
        (20_000, 10_000, Some(1_499), false),
        (20_000, 10_000, Some(1_500), true),
    ] {
        let found = is_dark(at(now), at(lost), read_age.map(Millis));
        assert_eq!(found, expected, "{now} {lost} {read_age:?}");
    }
}
