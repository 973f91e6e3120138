//! The list of endpoints while the directory is restored from an older copy and assigns revisions a second time.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            directory::{
                catalogue::{Catalogue, EndpointChange},
                endpoint_entry::{EndpointChanges, EndpointEntry, EndpointList, StartTime},
            },
            peers::message::{decode, encode},
            revision::{Era, Revision},
        },
        shared::{
            ids::EndpointId,
            units::{Millis, Time},
        },
    },
    hazelyoke_testutils::draws::Draws,
    std::collections::{BTreeMap, BTreeSet},
};

const START: Time = Time(1_000_000);

/// Time after which an entry that nobody renews has lapsed.
const LAPSE: Millis = Millis(4_800);

fn at(era: u64, number: u64) -> Revision {
    Revision::new(Era(era), number)
}

fn entry(id: &str, revision: Revision, draining: bool) -> EndpointEntry {
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
        revision,
    }
}

/// A whole list of the directory.
fn listed(revision: Revision, entries: &[EndpointEntry]) -> EndpointList {
    EndpointList {
        revision,
        entries: entries.to_vec(),
        unconfirmed: Vec::new(),
        held: Vec::new(),
    }
}

fn id(text: &str) -> EndpointId {
    text.parse().unwrap()
}

/// Returns a catalogue with a list of the first era as of number 100, of endpoints written at 10 and later.
fn known(names: &[&str]) -> Catalogue {
    let mut catalogue = Catalogue::new(Millis(1_400));
    catalogue.set_lapse_time(LAPSE);
    let entries = names.iter().zip(10..);
    let entries = entries.map(|(name, number)| entry(name, at(1, number), false));
    let entries: Vec<EndpointEntry> = entries.collect();
    catalogue.replace(START, listed(at(1, 100), &entries), false);
    catalogue
}

fn names(catalogue: &Catalogue) -> Vec<String> {
    let entries = catalogue.entries().map(|entry| entry.id.to_string());
    let mut names: Vec<String> = entries.collect();
    names.sort();
    names
}

fn is_draining(catalogue: &Catalogue, name: &str) -> bool {
    catalogue.get(&id(name)).unwrap().draining
}

/// Soak seed 5000: a daemon whose list came from another one, which held an entry back, left its endpoint out for good. The
/// entry isn't written again, since it is the same as before.
#[test]
fn held_entry_passed_on() {
    for by_changes in [false, true] {
        let (mut holder, mut other) = (known(&["a", "b"]), known(&["a", "b"]));
        for catalogue in [&mut holder, &mut other] {
            // The entry can't be read any more.
            catalogue.remove(START, &id("a"), at(1, 101), false);
        }
        let copy = ["a", "b"].map(|name| entry(name, at(2, 13), false));
        holder.replace(START, listed(at(2, 15), &copy), false);
        if by_changes {
            let changes = holder.changes_since(other.revision()).unwrap();
            apply(&mut other, START, decode(&encode(&changes)).unwrap());
        } else {
            other.replace(START, decode(&encode(&holder.list())).unwrap(), false);
        }
        for catalogue in [&mut holder, &mut other] {
            assert!(!names(catalogue).contains(&"a".to_owned()));
            catalogue.readmit(START + LAPSE);
            catalogue.readmit(START + LAPSE + LAPSE);
            assert!(
                names(catalogue).contains(&"a".to_owned()),
                "by changes: {by_changes}"
            );
        }
    }
}

/// An entry that is passed on as held back stays out if it vanishes, and if its endpoint is known as gone later.
#[test]
fn held_entry_vanishes() {
    let (mut holder, mut other) = (known(&["a", "b"]), known(&["a", "b"]));
    for catalogue in [&mut holder, &mut other] {
        catalogue.remove(START, &id("a"), at(1, 101), false);
    }
    let copy = ["a", "b"].map(|name| entry(name, at(2, 13), false));
    holder.replace(START, listed(at(2, 15), &copy), false);
    other.replace(START, holder.list(), false);
    other.remove(START, &id("a"), at(2, 16), false);
    other.readmit(START + LAPSE + LAPSE);
    assert_eq!(names(&other), ["b"]);
}

/// Entries that are written again take effect, also with a smaller number than before.
#[test]
fn smaller_numbers() {
    let mut catalogue = known(&["a", "b"]);
    let copy = ["a", "b"].map(|name| entry(name, at(2, 10), false));
    catalogue.replace(START, listed(at(2, 60), &copy), false);
    assert_eq!(catalogue.revision(), at(2, 60));
    let change = catalogue.upsert(entry("a", at(2, 61), true));
    assert!(matches!(change, Some(EndpointChange::Draining(_))));
    let change = catalogue.remove(START, &id("b"), at(2, 62), false);
    assert!(matches!(change, Some(EndpointChange::Gone(_))));
}

/// Changes of the earlier era have no effect any more.
#[test]
fn earlier_era() {
    let mut catalogue = known(&["a"]);
    let copy = [entry("a", at(2, 15), false)];
    catalogue.replace(START, listed(at(2, 20), &copy), false);
    assert!(catalogue.upsert(entry("a", at(1, 500), true)).is_none());
    assert!(!is_draining(&catalogue, "a"));
    assert!(catalogue.upsert(entry("c", at(1, 500), false)).is_none());
    assert!(
        catalogue
            .remove(START, &id("a"), at(1, 501), false)
            .is_none()
    );
    assert_eq!(names(&catalogue), ["a"]);
}

/// An endpoint that leaves keeps draining although the copy is older than its leave; its next incarnation doesn't
/// drain.
#[test]
fn leave_stands() {
    let mut catalogue = known(&["a"]);
    catalogue.upsert(entry("a", at(1, 101), true));
    let copy = [entry("a", at(2, 10), false)];
    catalogue.replace(START, listed(at(2, 50), &copy), false);
    assert!(is_draining(&catalogue, "a"));
    catalogue.upsert(entry("a", at(2, 51), false));
    assert!(is_draining(&catalogue, "a"));
    let next = EndpointEntry {
        started: Some(StartTime(7)),
        version: None,
        ..entry("a", at(2, 52), false)
    };
    catalogue.upsert(next);
    assert!(!is_draining(&catalogue, "a"));
}

/// A departed endpoint isn't used although the copy lists it. Nobody renews its entry, and it lapses.
#[test]
fn departed_stays_away() {
    let mut catalogue = known(&["a", "b"]);
    catalogue.remove(START, &id("b"), at(1, 101), false);
    let copy = ["a", "b"].map(|name| entry(name, at(2, 10), false));
    let changes = catalogue.replace(START, listed(at(2, 50), &copy), false);
    assert_eq!(changes, []);
    assert_eq!(names(&catalogue), ["a"]);
    catalogue.remove(START + Millis(3_700), &id("b"), at(2, 70), false);
    assert!(catalogue.readmit(START + LAPSE).is_empty());
    assert_eq!(names(&catalogue), ["a"]);
}

/// A departed endpoint is used again once it writes its entry, or once its entry has lasted longer than one that nobody
/// renews.
#[test]
fn departed_comes_back() {
    let mut catalogue = known(&["a", "b", "c"]);
    catalogue.remove(START, &id("b"), at(1, 101), false);
    catalogue.remove(START, &id("c"), at(1, 102), false);
    let copy = ["a", "b", "c"].map(|name| entry(name, at(2, 10), false));
    catalogue.replace(START, listed(at(2, 50), &copy), false);
    let change = catalogue.upsert(entry("b", at(2, 51), false));
    assert!(matches!(change, Some(EndpointChange::Added(_))));
    assert!(catalogue.readmit(START + Millis(4_700)).is_empty());
    let changes = catalogue.readmit(START + LAPSE);
    assert!(matches!(changes[..], [EndpointChange::Added(_)]));
    assert_eq!(names(&catalogue), ["a", "b", "c"]);
}

/// An endpoint whose entry lapsed while the directory couldn't be read may be alive, so it isn't held back.
#[test]
fn lapsed_is_back() {
    let mut catalogue = known(&["a"]);
    catalogue.remove(START, &id("a"), at(1, 101), true);
    catalogue.expire_unconfirmed(START + Millis(1_500));
    assert!(names(&catalogue).is_empty());
    let copy = vec![entry("a", at(2, 10), false)];
    catalogue.replace(START + Millis(2_000), listed(at(2, 50), &copy), false);
    assert_eq!(names(&catalogue), ["a"]);
}

/// An endpoint that the copy lacks is used until it has had the time to write its entry again, also while other daemons
/// read steadily.
#[test]
fn missing_is_suspect() {
    let mut catalogue = known(&["a", "b"]);
    let copy = vec![entry("a", at(2, 10), false)];
    let changes = catalogue.replace(START, listed(at(2, 50), &copy), false);
    assert!(matches!(changes[..], [EndpointChange::Unconfirmed(_)]));
    assert_eq!(names(&catalogue), ["a", "b"]);
    catalogue.upsert(entry("b", at(2, 51), false));
    assert!(
        catalogue
            .expire_unconfirmed(START + Millis(60_000))
            .is_empty()
    );
}

/// An entry that the copy lacks and that is written again unchanged is sent to daemons at which it is unconfirmed.
#[test]
fn rewritten_is_told() {
    let mut catalogue = known(&["a", "b"]);
    let copy = [entry("a", at(2, 10), false)];
    catalogue.replace(START, listed(at(2, 50), &copy), false);
    let mut other = known(&["a", "b"]);
    apply(
        &mut other,
        START,
        catalogue.changes_since(at(1, 100)).unwrap(),
    );
    assert_eq!(other.unconfirmed_count(), 1);
    catalogue.upsert(entry("b", at(2, 51), false));
    let changes = catalogue.changes_since(other.revision()).unwrap();
    apply(&mut other, START, changes);
    assert_eq!(other.unconfirmed_count(), 0);
    assert!(other.expire_unconfirmed(START + Millis(60_000)).is_empty());
}

/// A daemon with the same list of the earlier era is sent the changes since then. One that has applied later changes of
/// that era is sent the whole list.
#[test]
fn changes_across_eras() {
    let mut catalogue = known(&["a", "b", "c"]);
    let copy = vec![entry("a", at(2, 10), false), entry("b", at(2, 55), true)];
    catalogue.replace(START, listed(at(2, 60), &copy), false);
    assert!(catalogue.last_change() > at(1, u64::MAX));
    let changes = catalogue.changes_since(at(1, 100)).unwrap();
    assert_eq!(changes.revision, at(2, 60));
    assert_eq!(changes.entries, [entry("b", at(2, 55), true)]);
    assert_eq!(changes.gone.len(), 1);
    assert!(changes.gone[0].unconfirmed);
    assert_eq!(catalogue.changes_since(at(1, 104)), None);
    assert_eq!(catalogue.changes_since(at(2, 30)), None);
    let later = catalogue.changes_since(at(2, 60)).unwrap();
    assert!(later.entries.is_empty() && later.gone.is_empty());
    // The receiver sends these changes on in the same way.
    let mut other = known(&["a", "b", "c"]);
    apply(&mut other, START, changes);
    assert_eq!(other.revision(), at(2, 60));
    assert!(is_draining(&other, "b"));
    assert_eq!(other.changes_since(at(1, 104)), None);
    assert!(other.changes_since(at(1, 100)).is_some());
}

/// Daemons that have a long list of the earlier era are sent only the changes.
#[test]
fn long_list_returns() {
    let names: Vec<String> = (0..10_000).map(|number| format!("e{number}")).collect();
    let entries = names.iter().zip(1..);
    let entries = entries.map(|(name, number)| entry(name, at(1, number), false));
    let entries: Vec<EndpointEntry> = entries.collect();
    let mut catalogue = Catalogue::new(Millis(1_400));
    catalogue.replace(START, listed(at(1, 10_000), &entries), false);
    let mut copy: Vec<EndpointEntry> = entries[..9_980].to_vec();
    for entry in &mut copy {
        entry.revision.era = Era(2);
    }
    for entry in &mut copy[..20] {
        entry.draining = true;
        entry.revision.number += 10_000;
    }
    catalogue.replace(START, listed(at(2, 10_020), &copy), false);
    let changes = catalogue.changes_since(at(1, 10_000)).unwrap();
    assert_eq!((changes.entries.len(), changes.gone.len()), (20, 20));
    let (sent, whole) = (encode(&changes).len(), encode(&catalogue.list()).len());
    println!("{sent} bytes of changes, {whole} of the list");
    assert!(sent * 100 < whole, "{sent} of {whole} bytes");
}

fn apply(catalogue: &mut Catalogue, now: Time, changes: EndpointChanges) {
    catalogue.begin_era(now, changes.revision);
    for entry in changes.entries {
        catalogue.upsert(entry);
    }
    for gone in changes.gone {
        catalogue.remove(now, &gone.id, gone.revision, gone.unconfirmed);
    }
    catalogue.hold_reported(now, changes.held);
    if changes.has_gap {
        catalogue.advance_with_gap(changes.revision);
    } else {
        catalogue.advance_to(changes.revision);
    }
}

/// Messages name the era once; revisions of earlier eras become numbers before all its changes. A daemon of a release
/// without eras reads the numbers.
#[test]
fn eras_in_messages() {
    let list = EndpointList {
        revision: at(2, 60),
        entries: vec![entry("a", at(1, 90), false), entry("b", at(2, 55), true)],
        unconfirmed: vec![id("a")],
        held: Vec::new(),
    };
    let received: EndpointList = decode(&encode(&list)).unwrap();
    assert_eq!(received.revision, at(2, 60));
    let revisions = received.entries.iter().map(|entry| entry.revision);
    assert_eq!(revisions.collect::<Vec<_>>(), [at(2, 0), at(2, 55)]);
    let unnamed = EndpointList {
        revision: 60.into(),
        entries: vec![entry("a", 50.into(), false)],
        unconfirmed: Vec::new(),
        held: Vec::new(),
    };
    let received: EndpointList = decode(&encode(&unnamed)).unwrap();
    assert_eq!(received, unnamed);
}

/// A directory that is restored from older copies of itself, and endpoints that write their entries again.
#[derive(Debug, Clone, Default)]
struct Directory {
    revision: Revision,
    /// Revision at which each entry was last written.
    entries: BTreeMap<u64, Revision>,
    copy: BTreeMap<u64, Revision>,
    copied: u64,
    /// Endpoints that are alive.
    alive: BTreeSet<u64>,
    /// Departed endpoints, each with the revision at which its entry was removed.
    departed: BTreeMap<u64, Revision>,
}

impl Directory {
    fn next(&mut self) -> Revision {
        self.revision.number += 1;
        self.revision
    }

    fn change(&mut self, draws: &mut Draws, number: u64) {
        let at = self.next();
        if self.alive.contains(&number) && draws.percent(40) {
            self.alive.remove(&number);
            self.entries.remove(&number);
            self.departed.insert(number, at);
        } else if !self.departed.contains_key(&number) {
            self.alive.insert(number);
            self.entries.insert(number, at);
        }
    }

    fn take_copy(&mut self) {
        self.copy = self.entries.clone();
        self.copied = self.revision.number;
    }

    fn go_back(&mut self) {
        self.entries = self.copy.clone();
        self.revision = Revision::new(Era(self.revision.era.0 + 1), self.copied);
    }

    /// Writes the entries of the live endpoints, and lets the entries of the others lapse.
    fn settle(&mut self) {
        for number in self.alive.clone() {
            let at = self.next();
            self.entries.insert(number, at);
        }
        let dead = self
            .entries
            .keys()
            .filter(|number| !self.alive.contains(number));
        for number in dead.copied().collect::<Vec<_>>() {
            self.next();
            self.entries.remove(&number);
        }
    }

    fn list(&self) -> EndpointList {
        let era = self.revision.era;
        let entries = self.entries.iter().map(|(number, written)| {
            entry(
                &format!("e{number}"),
                Revision::new(era, written.number),
                false,
            )
        });
        EndpointList {
            revision: self.revision,
            entries: entries.collect(),
            unconfirmed: Vec::new(),
            held: Vec::new(),
        }
    }
}

/// Requests what another daemon has newer, and applies it.
fn request_newer(catalogue: &mut Catalogue, now: Time, newer: &Catalogue) {
    if newer.last_change() <= catalogue.revision() {
        return;
    }
    match newer.changes_since(catalogue.revision()) {
        Some(changes) => apply(catalogue, now, changes),
        None => {
            catalogue.replace(now, newer.list(), false);
        }
    }
}

/// Writes the entries of the live endpoints, lets those of the others lapse, and applies these changes at the daemon
/// that reads the directory.
fn apply_directory_changes(directory: &mut Directory, reader: &mut Catalogue, now: Time) {
    let before = directory.entries.clone();
    directory.settle();
    let written = directory.entries.iter();
    for (number, at) in written.filter(|(number, at)| before.get(number) != Some(at)) {
        let at = Revision::new(directory.revision.era, at.number);
        reader.upsert(entry(&format!("e{number}"), at, false));
    }
    for number in before
        .keys()
        .filter(|number| !directory.entries.contains_key(number))
    {
        reader.remove(now, &id(&format!("e{number}")), directory.revision, false);
    }
    reader.advance_to(directory.revision);
}

/// Returns the endpoints that a daemon uses once none is unconfirmed or held back any more.
fn settled(catalogue: &mut Catalogue, now: Time) -> Vec<String> {
    catalogue.readmit(now + LAPSE);
    catalogue.expire_unconfirmed(now + LAPSE);
    names(catalogue)
}

/// Whatever daemons receive from the directory and from each other, in whatever order, none uses an endpoint that it
/// knew to have departed, and in the end all have the directory's list.
#[test]
fn drawn_returns() {
    for seed in 0..2_000 {
        let mut draws = Draws::new(seed);
        let mut directory = Directory::default();
        directory.revision.era = Era(1);
        for number in 0..8 {
            directory.change(&mut draws, number);
        }
        directory.take_copy();
        let mut now = START;
        let mut daemons: Vec<Catalogue> = Vec::new();
        for _ in 0..3 {
            let mut catalogue = Catalogue::new(Millis(1_400));
            catalogue.set_lapse_time(LAPSE);
            catalogue.replace(now, directory.list(), false);
            daemons.push(catalogue);
        }
        let mut known: Vec<BTreeSet<String>> = vec![BTreeSet::new(); 3];
        let mut gone: Vec<BTreeSet<String>> = vec![BTreeSet::new(); 3];
        for step in 0..60 {
            now = now + Millis(10);
            let (one, other) = (draws.below(3) as usize, draws.below(3) as usize);
            match draws.below(10) {
                0..=4 => {
                    let number = draws.below(12);
                    directory.change(&mut draws, number);
                }
                5 => directory.take_copy(),
                6 if draws.percent(30) => directory.go_back(),
                7 => {
                    daemons[one].replace(now, directory.list(), false);
                }
                8 => {
                    let newer = daemons[other].clone();
                    request_newer(&mut daemons[one], now, &newer);
                }
                _ => {}
            }
            for (place, catalogue) in daemons.iter().enumerate() {
                let (known, gone) = (&mut known[place], &mut gone[place]);
                let used: BTreeSet<String> = names(catalogue).into_iter().collect();
                let again: Vec<&String> = used.intersection(&*gone).collect();
                assert!(again.is_empty(), "seed {seed}, step {step}: {again:?}");
                let stated = catalogue.revision();
                let departed = directory.departed.iter();
                let departed = departed.filter(|(_, at)| at.era == stated.era && **at <= stated);
                let names = departed.map(|(number, _)| format!("e{number}"));
                gone.extend(names.filter(|name| known.contains(name) && !used.contains(name)));
                known.extend(used);
            }
        }
        // The other daemons receive the final list from the one that reads the directory, step by step.
        let mut receivers = daemons.clone();
        receivers[0].replace(now, directory.list(), false);
        for end in 0..4 {
            if end == 1 {
                apply_directory_changes(&mut directory, &mut receivers[0], now);
            }
            let newer = receivers[0].clone();
            for other in &mut receivers[1..] {
                request_newer(other, now, &newer);
            }
        }
        let used: Vec<Vec<String>> = receivers.iter_mut().map(|one| settled(one, now)).collect();
        assert!(
            used.iter().all(|one| *one == used[0]),
            "seed {seed}: {used:?}"
        );
        directory.settle();
        now = now + LAPSE + LAPSE;
        let expected: Vec<String> = directory
            .alive
            .iter()
            .map(|one| format!("e{one}"))
            .collect();
        let expected: BTreeSet<String> = expected.into_iter().collect();
        for catalogue in &mut daemons {
            catalogue.replace(now, directory.list(), false);
            catalogue.readmit(now + LAPSE);
            catalogue.expire_unconfirmed(now + LAPSE);
            let used: BTreeSet<String> = names(catalogue).into_iter().collect();
            assert_eq!(used, expected, "seed {seed}");
        }
    }
}
