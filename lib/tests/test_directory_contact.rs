//! The directory as one daemon's own reads show it: out of reach, failed lately, steady.

use hazelyoke_lib::{
    gateway::directory::contact::DirectoryContact,
    shared::units::{Millis, Time},
};

fn at(ms: u64) -> Time {
    Time::default() + Millis(ms)
}

fn contact(heard: Option<u64>, failed: Option<u64>) -> DirectoryContact {
    let mut contact = DirectoryContact::default();
    contact.heard = heard.map(at);
    contact.failed = failed.map(at);
    contact
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
        for heard in [None, Some(9_999)] {
            let found = contact(heard, failed).is_doubtful(now);
            assert_eq!(found, expected, "{heard:?} {failed:?}");
        }
    }
}

#[test]
fn steady_reads() {
    // (now, last answer, last failure, steady)
    for (now, heard, failed, expected) in [
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
        let found = contact(heard, failed).is_steady(at(now));
        assert_eq!(found, expected, "{now} {heard:?} {failed:?}");
    }
}

#[test]
fn lost_directory() {
    for (heard, failed, expected) in [
        (None, None, false),
        (Some(1), None, false),
        (None, Some(1), true),
        (Some(1), Some(1), false),
        (Some(1), Some(2), true),
        (Some(2), Some(1), false),
    ] {
        let found = contact(heard, failed).is_lost();
        assert_eq!(found, expected, "{heard:?} {failed:?}");
    }
}
