//! Lists and changes that are older than a daemon's catalogue don't add removed endpoints again.
//!
//! Guards against requests to an endpoint 3.9 s after the directory accepted its removal (3 s are allowed). A daemon
//! that had applied removals up to revision 163 received a whole list as of 149 from another daemon, and added three
//! removed endpoints again. It continued to state revision 163, so that it sent the 145 entries to others as of 163,
//! while other daemons held 142. No later change corrected this.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use {
    hazelyoke_lib::{
        gateway::{
            directory::{
                catalogue::Catalogue,
                endpoint_entry::{EndpointChanges, EndpointEntry, EndpointList},
            },
            revision::Revision,
        },
        shared::units::{Millis, Time},
    },
    hazelyoke_testutils::draws::Draws,
    std::collections::{BTreeMap, BTreeSet},
};

const NOW: Time = Time(1_000_000);

fn entry(number: u64, revision: u64) -> EndpointEntry {
    EndpointEntry {
        id: format!("e{number}").parse().unwrap(),
        service: "s".parse().unwrap(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "z".parse().unwrap(),
        slots: 4,
        draining: false,
        cold: Millis(0),
        started: None,
        version: None,
        revision: revision.into(),
    }
}

/// A whole list as of a revision.
#[derive(Debug, Clone)]
struct Listed {
    revision: u64,
    entries: Vec<EndpointEntry>,
}

/// The directory, with the history of its changes from the first revision on.
#[derive(Debug, Default)]
struct Directory {
    revision: u64,
    entries: BTreeMap<u64, u64>,
    /// Last revision at which each endpoint was removed.
    removed: BTreeMap<u64, u64>,
    /// Changed endpoints, by revision.
    log: Vec<u64>,
}

impl Directory {
    fn change(&mut self, draws: &mut Draws) {
        self.revision += 1;
        let number = draws.below(12);
        self.log.push(number);
        if self.entries.contains_key(&number) && draws.percent(60) {
            self.entries.remove(&number);
            self.removed.insert(number, self.revision);
        } else {
            self.entries.insert(number, self.revision);
        }
    }

    /// Makes a change that concerns no endpoint: a table or an order of operators.
    fn other_change(&mut self) {
        self.revision += 1;
        self.log.push(u64::MAX);
    }

    fn list(&self) -> Listed {
        let entries = self.entries.iter();
        Listed {
            revision: self.revision,
            entries: entries.map(|(number, at)| entry(*number, *at)).collect(),
        }
    }

    /// Applies at a daemon the changes that it lacks, as a call for changes does.
    fn send_changes(&self, daemon: &mut Daemon) {
        let changed: BTreeSet<u64> = self.log[daemon.read as usize..].iter().copied().collect();
        for number in changed {
            match self.entries.get(&number) {
                Some(at) => {
                    daemon.catalogue.upsert(entry(number, *at));
                }
                None => {
                    let id = format!("e{number}").parse().unwrap();
                    if let Some(at) = self.removed.get(&number) {
                        daemon.catalogue.remove(NOW, &id, (*at).into(), false);
                    }
                }
            }
        }
        daemon.catalogue.advance_to(self.revision.into());
        daemon.read = self.revision;
    }

    /// Checks that a daemon uses no endpoint that was removed at or before the revision that it states.
    fn check(&self, daemon: &Daemon, what: &str) {
        let stated = daemon.catalogue.last_change();
        for used in daemon.catalogue.entries() {
            let number: u64 = used.id.as_str()[1..].parse().unwrap();
            let removed = self.removed.get(&number).copied().unwrap_or_default();
            assert!(
                used.revision > removed.into() || Revision::from(removed) > stated,
                "{what}: {} of {} was removed at {removed}, stated {stated}",
                used.id,
                used.revision
            );
        }
    }
}

struct Daemon {
    catalogue: Catalogue,
    /// Revision up to which the daemon has read the directory itself.
    read: u64,
}

impl Daemon {
    fn new(listed: Listed) -> Self {
        let mut daemon = Self {
            catalogue: Catalogue::new(Millis(1_400)),
            read: listed.revision,
        };
        daemon.apply_list(listed);
        daemon
    }

    fn apply_list(&mut self, listed: Listed) {
        let list = EndpointList {
            revision: listed.revision.into(),
            entries: listed.entries,
            unconfirmed: Vec::new(),
            held: Vec::new(),
        };
        self.catalogue.replace(NOW, list, false);
    }

    fn list(&self) -> Listed {
        Listed {
            revision: self.catalogue.revision().number,
            entries: self
                .catalogue
                .entries()
                .map(|one| (**one).clone())
                .collect(),
        }
    }

    fn apply_changes(&mut self, changes: EndpointChanges) {
        for entry in changes.entries {
            self.catalogue.upsert(entry);
        }
        for gone in changes.gone {
            self.catalogue.remove(NOW, &gone.id, gone.revision, false);
        }
        self.catalogue.advance_to(changes.revision);
    }

    fn names(&self) -> BTreeMap<String, u64> {
        let entries = self.catalogue.entries();
        entries
            .map(|one| (one.id.to_string(), one.revision.number))
            .collect()
    }
}

/// The observed case: three endpoints are removed, and then an older list arrives that has them.
#[test]
fn older_whole_list() {
    let entries: Vec<EndpointEntry> = (0..145).map(|number| entry(number, 1 + number)).collect();
    let older = Listed {
        revision: 149,
        entries,
    };
    let mut daemon = Daemon::new(older.clone());
    for number in 0..3 {
        let id = format!("e{number}").parse().unwrap();
        daemon
            .catalogue
            .remove(NOW, &id, (161 + number).into(), false);
    }
    daemon.catalogue.advance_to(163.into());
    daemon.apply_list(older);
    assert_eq!(daemon.names().len(), 142);
    assert_eq!(daemon.catalogue.revision(), 163.into());
}

/// Changes that were requested before a removal was known, and arrive after it, add nothing.
#[test]
fn older_changes() {
    let mut daemon = Daemon::new(Listed {
        revision: 149,
        entries: vec![entry(0, 5), entry(1, 6)],
    });
    let late = EndpointChanges {
        revision: 155.into(),
        entries: vec![entry(0, 152), entry(2, 155)],
        gone: Vec::new(),
        has_gap: false,
        held: Vec::new(),
    };
    daemon.apply_changes(late.clone());
    for (number, revision) in [(0, 160), (2, 161)] {
        let id = format!("e{number}").parse().unwrap();
        daemon.catalogue.remove(NOW, &id, revision.into(), false);
    }
    daemon.catalogue.advance_to(161.into());
    daemon.apply_changes(late);
    assert_eq!(daemon.names(), BTreeMap::from([("e1".into(), 6)]));
}

/// A list that isn't older than the catalogue takes precedence over it: entries that the daemon lacks at the same
/// revision are added.
#[test]
fn newer_whole_list() {
    let mut daemon = Daemon::new(Listed {
        revision: 149,
        entries: vec![entry(0, 5)],
    });
    daemon.catalogue.advance_to(160.into());
    daemon.apply_list(Listed {
        revision: 160,
        entries: vec![entry(0, 5), entry(1, 158)],
    });
    assert_eq!(daemon.names().len(), 2);
}

/// Daemons receive whole lists and changes from the directory and from each other, at once or late. None uses an
/// endpoint that was removed by the revision that it states, and all end with the directory's list.
#[test]
fn drawn_orders() {
    for seed in 0..3_000 {
        let mut draws = Draws::new(seed);
        let mut directory = Directory::default();
        for _ in 0..8 {
            directory.change(&mut draws);
        }
        let count = 2 + draws.below(4) as usize;
        let mut daemons: Vec<Daemon> = (0..count).map(|_| Daemon::new(directory.list())).collect();
        let mut late_lists: Vec<Listed> = Vec::new();
        let mut late_changes: Vec<(usize, EndpointChanges)> = Vec::new();
        for step in 0..60 {
            let one = draws.below(count as u64) as usize;
            let other = draws.below(count as u64) as usize;
            match draws.below(9) {
                0 | 1 => directory.change(&mut draws),
                2 => directory.other_change(),
                3 => directory.send_changes(&mut daemons[one]),
                4 => late_lists.push(directory.list()),
                5 => late_lists.push(daemons[one].list()),
                6 => {
                    let catalogue = &daemons[one].catalogue;
                    let known = *draws.pick(&[catalogue.last_change(), catalogue.revision()]);
                    if daemons[other].catalogue.last_change() <= known {
                        continue;
                    }
                    match daemons[other].catalogue.changes_since(known) {
                        Some(changes) => late_changes.push((one, changes)),
                        None => late_lists.push(daemons[other].list()),
                    }
                }
                7 => {
                    if let Some((to, changes)) = late_changes.pop() {
                        daemons[to].apply_changes(changes);
                    }
                }
                _ => {
                    if !late_lists.is_empty() {
                        let at = draws.below(late_lists.len() as u64) as usize;
                        daemons[one].apply_list(late_lists[at].clone());
                    }
                }
            }
            for daemon in &daemons {
                directory.check(daemon, &format!("seed {seed}, step {step}"));
            }
        }
        for daemon in &mut daemons {
            directory.send_changes(daemon);
            let expected = directory.list().entries.into_iter();
            let expected: BTreeMap<String, u64> = expected
                .map(|one| (one.id.to_string(), one.revision.number))
                .collect();
            assert_eq!(daemon.names(), expected, "seed {seed}");
        }
    }
}

/// A daemon that has all changes of endpoints needs no whole list because of changes that concern no endpoint.
#[test]
fn changes_after_list() {
    let mut directory = Directory::default();
    let mut draws = Draws::new(1);
    for _ in 0..9 {
        directory.change(&mut draws);
    }
    let settled = Daemon::new(directory.list());
    for _ in 0..4 {
        directory.other_change();
    }
    // It applies a whole list, as after a compaction, and announces no change that the others lack.
    let mut again = Daemon::new(settled.list());
    again.apply_list(directory.list());
    assert_eq!(
        again.catalogue.last_change(),
        settled.catalogue.last_change()
    );
    directory.change(&mut draws);
    again.apply_list(directory.list());
    let known = settled.catalogue.last_change();
    let changes = again.catalogue.changes_since(known).unwrap();
    assert_eq!(changes.entries.len() + changes.gone.len(), 1);
}
