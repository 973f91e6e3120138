//! The endpoints that the catalogue holds while the directory answers, and during its outages.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::directory::{
            catalogue::{Catalogue, EndpointChange},
            endpoint_entry::{EndpointEntry, EndpointList, StartTime},
        },
        shared::{
            ids::EndpointId,
            units::{Millis, Time},
        },
    },
    hazelyoke_testutils::seeds::for_seeds,
};

fn entry(id: &str, revision: u64, draining: bool) -> EndpointEntry {
    EndpointEntry {
        id: id.parse().unwrap(),
        service: "s".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".parse().unwrap(),
        slots: 4,
        draining,
        cold: Millis(0),
        started: None,
        version: None,
        revision: revision.into(),
    }
}

/// A whole list of the directory.
fn listed(revision: u64, entries: Vec<EndpointEntry>) -> EndpointList {
    EndpointList {
        revision: revision.into(),
        entries,
        unconfirmed: Vec::new(),
        held: Vec::new(),
    }
}

fn catalogue() -> Catalogue {
    Catalogue::new(Millis(1_400))
}

fn id(text: &str) -> EndpointId {
    text.parse().unwrap()
}

fn names(catalogue: &Catalogue) -> Vec<String> {
    let mut names: Vec<String> = catalogue
        .entries()
        .map(|entry| entry.id.to_string())
        .collect();
    names.sort();
    names
}

/// A daemon of an older release passes entries on without their software version, which stays known within one
/// incarnation. A later incarnation may be of another version.
#[test]
fn version_kept() {
    let mut catalogue = catalogue();
    let known = EndpointEntry {
        version: Some("v1".parse().unwrap()),
        started: Some(StartTime(1)),
        ..entry("a", 1, false)
    };
    catalogue.upsert(known.clone());
    let passed_on = EndpointEntry {
        version: None,
        revision: 2.into(),
        ..known.clone()
    };
    catalogue.upsert(passed_on);
    let version = |catalogue: &Catalogue| catalogue.get(&id("a")).unwrap().version.clone();
    assert_eq!(version(&catalogue), known.version);
    let restarted = EndpointEntry {
        version: None,
        started: Some(StartTime(2)),
        revision: 3.into(),
        ..known
    };
    catalogue.upsert(restarted);
    assert_eq!(version(&catalogue), None);
}

/// While the directory answers, an endpoint is removed as soon as its entry vanishes.
#[test]
fn removed_entry() {
    let mut catalogue = catalogue();
    catalogue.upsert(entry("a", 1, false));
    let change = catalogue.remove(Time(0), &id("a"), 9.into(), false);
    assert!(matches!(change, Some(EndpointChange::Gone(_))));
    assert!(names(&catalogue).is_empty());
}

/// An entry that lapses during an outage of the directory stays for a limited time, as unconfirmed.
#[test]
fn lapsed_entry_suspect() {
    let mut catalogue = catalogue();
    catalogue.upsert(entry("a", 1, false));
    let change = catalogue.remove(Time(0), &id("a"), 9.into(), true);
    assert!(matches!(change, Some(EndpointChange::Unconfirmed(_))));
    assert_eq!(names(&catalogue), ["a"]);
    assert!(
        catalogue
            .expire_unconfirmed(Time(0) + Millis(1_000))
            .is_empty()
    );
    let expired = catalogue.expire_unconfirmed(Time(0) + Millis(1_401));
    assert!(matches!(expired[..], [EndpointChange::Gone(_)]));
    assert!(names(&catalogue).is_empty());
}

/// An unconfirmed entry that is written again is no longer unconfirmed.
#[test]
fn rewritten_entry() {
    let mut catalogue = catalogue();
    catalogue.upsert(entry("a", 1, false));
    catalogue.remove(Time(0), &id("a"), 4.into(), true);
    catalogue.upsert(entry("a", 5, false));
    assert!(
        catalogue
            .expire_unconfirmed(Time(0) + Millis(60_000))
            .is_empty()
    );
    assert_eq!(names(&catalogue), ["a"]);
}

/// Unconfirmed entries stay as long as the directory is unreachable.
#[test]
fn extended_suspicion() {
    let mut catalogue = catalogue();
    catalogue.upsert(entry("a", 1, false));
    catalogue.remove(Time(0), &id("a"), 9.into(), true);
    catalogue.extend_unconfirmed(Time(0) + Millis(1_300));
    assert!(
        catalogue
            .expire_unconfirmed(Time(0) + Millis(2_500))
            .is_empty()
    );
    assert_eq!(
        catalogue.expire_unconfirmed(Time(0) + Millis(4_000)).len(),
        1
    );
}

/// However often the time begins again, it ends for an endpoint that has left: the unconfirmed time and the lapse time after
/// its entry vanished.
#[test]
fn bounded_suspicion() {
    let mut catalogue = catalogue();
    catalogue.set_lapse_time(Millis(4_800));
    catalogue.upsert(entry("a", 1, false));
    catalogue.remove(Time(0), &id("a"), 9.into(), true);
    for ms in (0..=6_100).step_by(100) {
        let now = Time(0) + Millis(ms);
        catalogue.extend_unconfirmed(now);
        assert!(catalogue.expire_unconfirmed(now).is_empty(), "{ms}");
    }
    let now = Time(0) + Millis(6_200);
    catalogue.extend_unconfirmed(now);
    assert_eq!(catalogue.expire_unconfirmed(now).len(), 1);
}

/// A draining entry is removed at once, also during an outage of the directory.
#[test]
fn draining_never_suspect() {
    let mut catalogue = catalogue();
    catalogue.upsert(entry("a", 1, false));
    let change = catalogue.upsert(entry("a", 2, true));
    assert!(matches!(change, Some(EndpointChange::Draining(_))));
    let change = catalogue.remove(Time(0), &id("a"), 9.into(), true);
    assert!(matches!(change, Some(EndpointChange::Gone(_))));
}

#[test]
fn older_entry_ignored() {
    let mut catalogue = catalogue();
    catalogue.upsert(entry("a", 5, true));
    assert!(catalogue.upsert(entry("a", 4, false)).is_none());
    assert!(catalogue.get(&id("a")).unwrap().draining);
}

/// A list replaces all entries up to its revision and keeps the later ones.
#[test]
fn list_replaces_older() {
    let mut catalogue = catalogue();
    catalogue.upsert(entry("a", 1, false));
    catalogue.upsert(entry("b", 2, false));
    catalogue.upsert(entry("c", 9, false));
    // The list is as of revision 5: it removes b, and doesn't concern c.
    let list = vec![entry("a", 1, false), entry("d", 4, false)];
    let changes = catalogue.replace(Time(0), listed(5, list), false);
    assert_eq!(changes.len(), 2);
    assert_eq!(names(&catalogue), ["a", "c", "d"]);
    assert_eq!(catalogue.revision(), 5.into());
}

#[test]
fn revisions_never_fall() {
    let mut catalogue = catalogue();
    catalogue.advance_to(9.into());
    catalogue.replace(Time(0), listed(5, Vec::new()), false);
    assert_eq!(catalogue.revision(), 9.into());
}

/// The removal of an entry that was written again since changes nothing.
#[test]
fn older_removal_ignored() {
    let mut catalogue = catalogue();
    catalogue.upsert(entry("a", 5, false));
    assert!(
        catalogue
            .remove(Time(0), &id("a"), 4.into(), false)
            .is_none()
    );
    assert_eq!(names(&catalogue), ["a"]);
}

/// Changes are returned from any revision after the last list on.
#[test]
fn changes_since_revision() {
    let mut catalogue = catalogue();
    let list = vec![entry("a", 1, false), entry("b", 2, false)];
    catalogue.replace(Time(0), listed(3, list), false);
    assert!(
        catalogue.changes_since(2.into()).is_none(),
        "what came before the list isn't known"
    );
    catalogue.upsert(entry("c", 4, false));
    catalogue.upsert(entry("a", 5, true));
    catalogue.remove(Time(0), &id("b"), 6.into(), true);
    catalogue.remove(Time(0), &id("a"), 7.into(), false);
    let changes = catalogue.changes_since(3.into()).unwrap();
    assert_eq!(changes.revision, 7.into());
    assert_eq!(changes.entries, [entry("c", 4, false)]);
    let mut gone: Vec<(String, u64, bool)> = changes
        .gone
        .iter()
        .map(|gone| (gone.id.to_string(), gone.revision.number, gone.unconfirmed))
        .collect();
    gone.sort();
    assert_eq!(gone, [("a".into(), 7, false), ("b".into(), 6, true)]);
    let later = catalogue.changes_since(5.into()).unwrap();
    assert!(later.entries.is_empty());
    assert_eq!(later.gone.len(), 2);
    assert_eq!(catalogue.changes_since(7.into()).unwrap().gone, []);
}

/// A daemon that applies another daemon's changes repeatedly has the same entries as that daemon.
#[test]
fn changes_converge() {
    for_seeds(300, 512, |u| {
        let (mut sender, mut receiver) = (catalogue(), catalogue());
        let mut revision = 1;
        sender.replace(
            Time(0),
            listed(revision, vec![entry("n0", 1, false)]),
            false,
        );
        receiver.replace(
            Time(0),
            listed(revision, vec![entry("n0", 1, false)]),
            false,
        );
        for _ in 0..u.int_in_range(1..=120)? {
            revision += u.int_in_range(1..=3)?;
            let name = format!("n{}", u.int_in_range(0..=5)?);
            match u.int_in_range(0..=3)? {
                0 => {
                    sender.remove(Time(0), &id(&name), revision.into(), false);
                }
                1 => {
                    sender.upsert(entry(&name, revision, true));
                }
                _ => {
                    sender.upsert(entry(&name, revision, false));
                }
            }
            if u.ratio(1, 4)? {
                let changes = sender.changes_since(receiver.last_change()).unwrap();
                for entry in changes.entries {
                    receiver.upsert(entry);
                }
                for gone in changes.gone {
                    receiver.remove(Time(0), &gone.id, gone.revision, gone.unconfirmed);
                }
                receiver.advance_to(changes.revision);
                assert_eq!(names(&receiver), names(&sender));
                assert_eq!(receiver.last_change(), sender.last_change());
            }
        }
        Ok(())
    });
}

/// While 9,999 endpoints start, a daemon lacks more than 512 changes after half a second. With only 512 changes kept,
/// it was sent the whole list repeatedly: at 985 daemons the requests for lists took up to 1.3 s, and daemons that
/// waited for them also read the directory. Changes are kept as long as there are no more of them than entries.
#[test]
fn long_list_changes() {
    let mut catalogue = catalogue();
    catalogue.replace(Time(0), listed(1, Vec::new()), false);
    for number in 2..10_000 {
        catalogue.upsert(entry(&format!("e{number}"), number, false));
        catalogue.advance_to(number.into());
    }
    let lacking = 1_500;
    let changes = catalogue.changes_since((9_999 - lacking).into()).unwrap();
    assert_eq!(changes.entries.len() as u64, lacking);
}

/// No changes are returned after a revision that is older than the kept changes.
#[test]
fn forgotten_changes() {
    let mut catalogue = catalogue();
    catalogue.replace(Time(0), listed(1, Vec::new()), false);
    for revision in 2..2_000 {
        catalogue.upsert(entry("a", revision, false));
    }
    assert!(catalogue.changes_since(1.into()).is_none());
    assert_eq!(
        catalogue.changes_since(1_990.into()).unwrap().entries.len(),
        1
    );
}

fn born(revision: u64, born: u64) -> EndpointEntry {
    EndpointEntry {
        started: Some(StartTime(born)),
        version: None,
        ..entry("a", revision, false)
    }
}

/// An endpoint that starts again under its id is distinguished from one that changes its entry.
#[test]
fn started_again() {
    let mut catalogue = catalogue();
    catalogue.upsert(born(5, 1_000));
    let change = catalogue.upsert(born(7, 2_000)).unwrap();
    assert!(matches!(change, EndpointChange::Restarted(_)), "{change:?}");
    assert_eq!(catalogue.upsert(born(8, 2_000)), None);
}

/// An entry written by an earlier incarnation of an endpoint changes nothing, in whatever order it arrives. Its
/// revision is still announced to other daemons.
#[test]
fn former_life() {
    let mut catalogue = catalogue();
    catalogue.upsert(born(7, 2_000));
    assert_eq!(catalogue.upsert(born(9, 1_000)), None);
    assert_eq!(
        catalogue.get(&"a".parse().unwrap()).unwrap().started,
        Some(StartTime(2_000))
    );
    assert_eq!(catalogue.last_change(), 9.into());
    let mut other = Catalogue::new(Millis(1_400));
    other.upsert(born(9, 1_000));
    let change = other.upsert(born(7, 2_000)).unwrap();
    assert!(matches!(change, EndpointChange::Restarted(_)), "{change:?}");
}
