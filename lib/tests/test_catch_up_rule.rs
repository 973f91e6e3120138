//! When a peer is asked for a newer table or list, pinned around the bounds.

use {
    hazelyoke_lib::{
        gateway::rules::catch_up::{
            DirectoryReading, ListFetch, Offer, behind_since, is_behind, list_fetch, newest,
        },
        shared::units::{Millis, Time},
    },
    std::{net::SocketAddr, time::Duration},
};

const WAIT: Duration = Duration::from_millis(1_000);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn offers(revisions: &[u64]) -> impl Iterator<Item = Offer> {
    (1..).zip(revisions).map(|(number, revision)| Offer {
        address: address(number),
        revision: *revision,
    })
}

#[test]
fn newest_offer() {
    let at = |known, revisions: &[u64]| newest(offers(revisions), known);
    assert_eq!(at(0, &[]), None);
    assert_eq!(at(0, &[0, 0]), None);
    assert_eq!(at(0, &[0, 1]), Some(address(2)));
    assert_eq!(at(3, &[1, 5, 4, 3]), Some(address(2)));
    assert_eq!(at(5, &[1, 5, 4, 3]), None);
    assert_eq!(at(4, &[9, 5, 7]), Some(address(1)));
}

#[test]
fn reader_list() {
    for (silent_ms, fetch) in [
        (0, None),
        (1_000, None),
        (1_499, None),
        (1_500, Some(ListFetch::Changes(7))),
        (9_000, Some(ListFetch::Changes(7))),
    ] {
        let answered = Time(0) + Millis(4_000);
        let reading = DirectoryReading {
            covered: false,
            answered,
            wait: WAIT,
        };
        let now = answered + Millis(silent_ms);
        assert_eq!(list_fetch(now, Some(7), reading), fetch, "{silent_ms} ms");
        assert_eq!(list_fetch(now, None, reading), Some(ListFetch::Whole));
    }
}

#[test]
fn covered_daemon_list() {
    for silent_ms in [0, 1_499, 1_500, 9_000] {
        let reading = DirectoryReading {
            covered: true,
            answered: Time(0),
            wait: WAIT,
        };
        let now = Time(0) + Millis(silent_ms);
        let fetch = list_fetch(now, Some(7), reading);
        assert_eq!(fetch, Some(ListFetch::Changes(7)));
        assert_eq!(fetch.map(ListFetch::known), Some(7));
        let fetch = list_fetch(now, None, reading);
        assert_eq!(fetch, Some(ListFetch::Whole));
        assert_eq!(fetch.map(ListFetch::known), Some(0));
    }
}

#[test]
fn time_behind() {
    let (start, later) = (Time(5), Time(9));
    assert_eq!(behind_since(start, None, false), None);
    assert_eq!(behind_since(start, None, true), Some(start));
    assert_eq!(behind_since(later, Some(start), true), Some(start));
    assert_eq!(behind_since(later, Some(start), false), None);
    assert!(!is_behind(later, None));
    assert!(!is_behind(start + Millis(600), Some(start)));
    assert!(is_behind(Time(start.0 + 600_001), Some(start)));
}
