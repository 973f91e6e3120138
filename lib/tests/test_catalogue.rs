//! Which endpoints are believed to be there while the directory comes and goes.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::directory::catalogue::{Catalogue, EndpointChange, EndpointEntry},
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
        revision,
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

#[test]
fn an_entry_that_goes_is_gone_at_once() {
    let mut catalogue = catalogue();
    catalogue.put(entry("a", 1, false));
    let learnt = catalogue.remove(Time(0), &id("a"), 9, false);
    assert!(matches!(learnt, Some(EndpointChange::Gone(_))));
    assert!(names(&catalogue).is_empty());
}

#[test]
fn an_entry_that_lapses_in_an_outage_stays_for_a_while() {
    let mut catalogue = catalogue();
    catalogue.put(entry("a", 1, false));
    let learnt = catalogue.remove(Time(0), &id("a"), 9, true);
    assert!(matches!(learnt, Some(EndpointChange::Suspect(_))));
    assert_eq!(names(&catalogue), ["a"]);
    assert!(
        catalogue
            .expire_suspects(Time(0) + Millis(1_000))
            .is_empty()
    );
    let expired = catalogue.expire_suspects(Time(0) + Millis(1_401));
    assert!(matches!(expired[..], [EndpointChange::Gone(_)]));
    assert!(names(&catalogue).is_empty());
}

#[test]
fn a_living_endpoint_that_writes_again_is_no_longer_suspect() {
    let mut catalogue = catalogue();
    catalogue.put(entry("a", 1, false));
    catalogue.remove(Time(0), &id("a"), 4, true);
    catalogue.put(entry("a", 5, false));
    assert!(
        catalogue
            .expire_suspects(Time(0) + Millis(60_000))
            .is_empty()
    );
    assert_eq!(names(&catalogue), ["a"]);
}

#[test]
fn suspects_stay_as_long_as_the_directory_is_out_of_reach() {
    let mut catalogue = catalogue();
    catalogue.put(entry("a", 1, false));
    catalogue.remove(Time(0), &id("a"), 9, true);
    catalogue.extend_suspects(Time(0) + Millis(1_300));
    assert!(
        catalogue
            .expire_suspects(Time(0) + Millis(2_500))
            .is_empty()
    );
    assert_eq!(catalogue.expire_suspects(Time(0) + Millis(4_000)).len(), 1);
}

#[test]
fn an_endpoint_that_said_it_leaves_is_never_suspect() {
    let mut catalogue = catalogue();
    catalogue.put(entry("a", 1, false));
    let learnt = catalogue.put(entry("a", 2, true));
    assert!(matches!(learnt, Some(EndpointChange::Draining(_))));
    let learnt = catalogue.remove(Time(0), &id("a"), 9, true);
    assert!(matches!(learnt, Some(EndpointChange::Gone(_))));
}

#[test]
fn an_older_entry_changes_nothing() {
    let mut catalogue = catalogue();
    catalogue.put(entry("a", 5, true));
    assert!(catalogue.put(entry("a", 4, false)).is_none());
    assert!(catalogue.get(&id("a")).unwrap().draining);
}

#[test]
fn a_list_replaces_what_it_should_have_known() {
    let mut catalogue = catalogue();
    catalogue.put(entry("a", 1, false));
    catalogue.put(entry("b", 2, false));
    catalogue.put(entry("c", 9, false));
    // The list is as of revision 5: it tells that b is gone, and nothing of c.
    let list = vec![entry("a", 1, false), entry("d", 4, false)];
    let learnt = catalogue.replace(Time(0), 5, list, false);
    assert_eq!(learnt.len(), 2);
    assert_eq!(names(&catalogue), ["a", "c", "d"]);
    assert_eq!(catalogue.revision(), 5);
}

#[test]
fn revisions_never_fall() {
    let mut catalogue = catalogue();
    catalogue.advance_to(9);
    catalogue.replace(Time(0), 5, Vec::new(), false);
    assert_eq!(catalogue.revision(), 9);
}

#[test]
fn an_old_end_of_an_entry_that_is_back_changes_nothing() {
    let mut catalogue = catalogue();
    catalogue.put(entry("a", 5, false));
    assert!(catalogue.remove(Time(0), &id("a"), 4, false).is_none());
    assert_eq!(names(&catalogue), ["a"]);
}

#[test]
fn changes_are_told_from_where_the_asker_stands() {
    let mut catalogue = catalogue();
    let list = vec![entry("a", 1, false), entry("b", 2, false)];
    catalogue.replace(Time(0), 3, list, false);
    assert!(
        catalogue.changes_since(2).is_none(),
        "what came before the list isn't known"
    );
    catalogue.put(entry("c", 4, false));
    catalogue.put(entry("a", 5, true));
    catalogue.remove(Time(0), &id("b"), 6, true);
    catalogue.remove(Time(0), &id("a"), 7, false);
    let changes = catalogue.changes_since(3).unwrap();
    assert_eq!(changes.revision, 7);
    assert_eq!(changes.entries, [entry("c", 4, false)]);
    let mut gone: Vec<(String, u64, bool)> = changes
        .gone
        .iter()
        .map(|gone| (gone.id.to_string(), gone.revision, gone.suspect))
        .collect();
    gone.sort();
    assert_eq!(gone, [("a".into(), 7, false), ("b".into(), 6, true)]);
    let later = catalogue.changes_since(5).unwrap();
    assert!(later.entries.is_empty());
    assert_eq!(later.gone.len(), 2);
    assert_eq!(catalogue.changes_since(7).unwrap().gone, []);
}

/// Whoever takes in changes again and again knows what the one knows who told them.
#[test]
fn changes_make_two_catalogues_alike() {
    for_seeds(300, 512, |u| {
        let (mut told, mut asker) = (catalogue(), catalogue());
        let mut revision = 1;
        told.replace(Time(0), revision, vec![entry("n0", 1, false)], false);
        asker.replace(Time(0), revision, vec![entry("n0", 1, false)], false);
        for _ in 0..u.int_in_range(1..=120)? {
            revision += u.int_in_range(1..=3)?;
            let name = format!("n{}", u.int_in_range(0..=5)?);
            match u.int_in_range(0..=3)? {
                0 => {
                    told.remove(Time(0), &id(&name), revision, false);
                }
                1 => {
                    told.put(entry(&name, revision, true));
                }
                _ => {
                    told.put(entry(&name, revision, false));
                }
            }
            if u.ratio(1, 4)? {
                let changes = told.changes_since(asker.changed()).unwrap();
                for entry in changes.entries {
                    asker.put(entry);
                }
                for gone in changes.gone {
                    asker.remove(Time(0), &gone.id, gone.revision, gone.suspect);
                }
                asker.advance_to(changes.revision);
                assert_eq!(names(&asker), names(&told));
                assert_eq!(asker.changed(), told.changed());
            }
        }
        Ok(())
    });
}

#[test]
fn forgotten_changes_are_not_told() {
    let mut catalogue = catalogue();
    catalogue.replace(Time(0), 1, Vec::new(), false);
    for revision in 2..2_000 {
        catalogue.put(entry("a", revision, false));
    }
    assert!(catalogue.changes_since(1).is_none());
    assert_eq!(catalogue.changes_since(1_990).unwrap().entries.len(), 1);
}
