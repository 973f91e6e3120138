//! When a peer is asked for a newer table or list, checked on both sides of each bound.

use {
    hazelyoke_lib::{
        gateway::rules::catch_up::{
            BehindSince, DirectoryReading, ListFetch, ListOffer, TableOffer, behind_since,
            is_behind, is_fetch_due, list_fetch, list_source, table_source,
        },
        shared::units::{Millis, Time},
    },
    std::{net::SocketAddr, time::Duration},
};

const WAIT: Duration = Duration::from_millis(1_000);

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 7_000))
}

fn offers(revisions: &[u64]) -> impl Iterator<Item = ListOffer> {
    (1..).zip(revisions).map(|(number, revision)| ListOffer {
        address: address(number),
        revision: (*revision).into(),
    })
}

/// Number of daemons in a fleet in which everybody may ask at once.
const SMALL: usize = 60;

#[test]
fn newest_offer() {
    let at = |known, revisions: &[u64]| list_source(offers(revisions), known, 0.0);
    assert_eq!(at(0.into(), &[]), None);
    assert_eq!(at(0.into(), &[0, 0]), None);
    assert_eq!(at(0.into(), &[0, 1]), Some(address(2)));
    assert_eq!(at(3.into(), &[1, 5, 4, 3]), Some(address(2)));
    assert_eq!(at(5.into(), &[1, 5, 4, 3]), None);
    assert_eq!(at(4.into(), &[9, 5, 7]), Some(address(1)));
}

/// Tables of the given versions, in chunks where the flag is set.
fn tables(offers: &[(u64, bool)]) -> Vec<TableOffer> {
    (1..)
        .zip(offers)
        .map(|(number, (version, in_chunks))| TableOffer {
            address: address(number),
            version: *version,
            fingerprint: *version,
            in_chunks: *in_chunks,
        })
        .collect()
}

#[test]
fn table_sources() {
    let source = |offers: &[(u64, bool)], known, avoid: Option<u8>, fraction| {
        let offers = tables(offers);
        let source = table_source(&offers, known, avoid.map(address), fraction);
        source.map(|offer| offer.address)
    };
    assert_eq!(source(&[], 0, None, 0.0), None);
    assert_eq!(source(&[(3, true), (3, true)], 3, None, 0.0), None);
    // Every daemon with the newest table may be drawn.
    let three = [(5, true), (4, true), (5, true), (5, true)];
    assert_eq!(source(&three, 3, None, 0.0), Some(address(1)));
    assert_eq!(source(&three, 3, None, 0.5), Some(address(3)));
    assert_eq!(source(&three, 3, None, 0.99), Some(address(4)));
    // A daemon that sends chunks is preferred to one that can't, whatever the fraction.
    assert_eq!(
        source(&[(5, false), (5, true)], 3, None, 0.0),
        Some(address(2))
    );
    assert_eq!(
        source(&[(5, false), (4, true)], 3, None, 0.9),
        Some(address(1))
    );
    // The daemon to avoid is asked only if there is no other.
    assert_eq!(source(&three, 3, Some(1), 0.0), Some(address(3)));
    assert_eq!(
        source(&[(5, true), (4, true)], 3, Some(1), 0.0),
        Some(address(1))
    );
}

#[test]
fn whole_list_sources() {
    let source = |revisions: &[u64], fraction| list_source(offers(revisions), 0.into(), fraction);
    assert_eq!(source(&[], 0.0), None);
    assert_eq!(source(&[0, 0], 0.0), None);
    assert_eq!(source(&[0, 4], 0.9), Some(address(2)));
    // Only the newer half is drawn from.
    assert_eq!(source(&[9, 1, 8, 2], 0.0), Some(address(1)));
    assert_eq!(source(&[9, 1, 8, 2], 0.9), Some(address(3)));
}

#[test]
fn fetch_start() {
    let start = Time(0) + Millis(4_000);
    assert!(!is_fetch_due(start, None, false));
    assert!(is_fetch_due(start, Some(start), false));
    assert!(!is_fetch_due(start + Millis(199), Some(start), true));
    assert!(is_fetch_due(start + Millis(200), Some(start), true));
}

/// A daemon that receives changes of the list isn't behind, even if a newer list is always known; its table is judged
/// separately. While 9,999 endpoints started, daemons that received changes twice a second counted as behind. All 985
/// read the directory, which then refused connections (107 of 225 failed reads: "not connected: timed out").
#[test]
fn changes_keep_waiting() {
    let start = Time(0) + Millis(4_000);
    let behind = BehindSince {
        table: None,
        list: Some(start),
    };
    let later = start + Millis(601);
    assert!(behind.is_behind(later, SMALL));
    assert!(
        !behind
            .after_changes(start + Millis(300))
            .is_behind(later, SMALL)
    );
    let both = BehindSince {
        table: Some(start),
        ..behind
    };
    assert!(
        both.after_changes(start + Millis(300))
            .is_behind(later, SMALL)
    );
    let none = BehindSince::default();
    assert_eq!(none.after_changes(later), none);
}

/// While chunks of a table arrive, a daemon isn't behind; its list is judged separately.
#[test]
fn parts_keep_waiting() {
    let start = Time(0) + Millis(4_000);
    let behind = BehindSince {
        table: Some(start),
        list: None,
    };
    let later = start + Millis(601);
    assert!(behind.is_behind(later, SMALL));
    assert!(
        !behind
            .after_chunk(start + Millis(300))
            .is_behind(later, SMALL)
    );
    let both = BehindSince {
        list: Some(start),
        ..behind
    };
    assert!(
        both.after_chunk(start + Millis(300))
            .is_behind(later, SMALL)
    );
    assert_eq!(
        BehindSince::default().after_chunk(later),
        BehindSince::default()
    );
}

#[test]
fn reader_list() {
    for (silent_ms, fetch) in [
        (0, None),
        (1_000, None),
        (1_499, None),
        (1_500, Some(ListFetch::Changes(7.into()))),
        (9_000, Some(ListFetch::Changes(7.into()))),
    ] {
        let answered = Time(0) + Millis(4_000);
        let reading = DirectoryReading {
            covered: false,
            answered,
            wait: WAIT,
        };
        let now = answered + Millis(silent_ms);
        assert_eq!(
            list_fetch(now, Some(7.into()), reading),
            fetch,
            "{silent_ms} ms"
        );
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
        let fetch = list_fetch(now, Some(7.into()), reading);
        assert_eq!(fetch, Some(ListFetch::Changes(7.into())));
        assert_eq!(fetch.map(ListFetch::known), Some(7.into()));
        let fetch = list_fetch(now, None, reading);
        assert_eq!(fetch, Some(ListFetch::Whole));
        assert_eq!(fetch.map(ListFetch::known), Some(0.into()));
    }
}

#[test]
fn time_behind() {
    let (start, later) = (Time(5), Time(9));
    assert_eq!(behind_since(start, None, false), None);
    assert_eq!(behind_since(start, None, true), Some(start));
    assert_eq!(behind_since(later, Some(start), true), Some(start));
    assert_eq!(behind_since(later, Some(start), false), None);
    assert!(!is_behind(later, None, SMALL));
    assert!(!is_behind(start + Millis(600), Some(start), SMALL));
    assert!(is_behind(Time(start.0 + 600_001), Some(start), SMALL));
}
