//! The endpoints there are, as the directory and peers tell, and which of them may get work.

use {
    crate::shared::{
        ids::{DataCentreId, EndpointId, ServiceId},
        units::{Millis, Time},
    },
    foldhash::{HashMap, HashSet},
    serde::{Deserialize, Serialize},
    std::{collections::VecDeque, net::SocketAddr, sync::Arc},
};

/// Changes that are remembered for daemons that ask for them.
const CHANGES_KEPT: usize = 512;

/// One endpoint as the directory has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its id; a new one at each of its starts.
    pub id: EndpointId,
    /// Service it belongs to.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Requests it works on at the same time.
    pub slots: u32,
    /// Whether it said that it is leaving.
    pub draining: bool,
    /// Revision of the entry in the directory.
    pub revision: u64,
}

/// What changed in a list of endpoints after a revision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointChanges {
    /// Revision of the last change.
    pub revision: u64,
    /// Entries that are new or changed.
    pub entries: Vec<EndpointEntry>,
    /// Entries that vanished.
    pub gone: Vec<GoneEndpoint>,
}

/// An entry that vanished from the directory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GoneEndpoint {
    /// The endpoint.
    pub id: EndpointId,
    /// Revision at which it vanished.
    pub revision: u64,
    /// Whether it may have lapsed although the endpoint lives.
    pub doubted: bool,
}

/// Why a catalogue changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// An endpoint is new.
    Added(Arc<EndpointEntry>),
    /// An endpoint said that it is leaving.
    Draining(Arc<EndpointEntry>),
    /// An endpoint's entry is gone.
    Gone(Arc<EndpointEntry>),
    /// An endpoint's entry vanished while the directory couldn't be read; it stays for a while.
    Doubted(Arc<EndpointEntry>),
}

/// The endpoints as of one revision of the directory.
#[derive(Debug, Clone)]
pub struct Catalogue {
    /// Time for which vanished entries are doubted.
    doubt: Millis,
    revision: u64,
    /// Revision of the last change that was taken in.
    changed: u64,
    /// The last changes, and the revision after which none is missing.
    changes: VecDeque<(u64, EndpointId)>,
    complete_from: u64,
    entries: HashMap<EndpointId, Arc<EndpointEntry>>,
    /// Endpoints without an entry that may yet be alive, with the time until which they are used.
    doubted: HashMap<EndpointId, Time>,
}

impl Catalogue {
    /// Starts without entries; `doubt` is the time for which entries stay in use that vanished while
    /// the directory was out of reach.
    pub fn new(doubt: Millis) -> Self {
        Self {
            doubt,
            revision: 0,
            changed: 0,
            changes: VecDeque::new(),
            complete_from: u64::MAX,
            entries: HashMap::default(),
            doubted: HashMap::default(),
        }
    }

    /// Returns the revision up to which changes were taken in.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the last change of an endpoint.
    pub fn changed(&self) -> u64 {
        self.changed
    }

    /// Returns what changed after a revision; nothing if too much has been forgotten since.
    pub fn changes_since(&self, revision: u64) -> Option<EndpointChanges> {
        if revision < self.complete_from {
            return None;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        let last: HashMap<&EndpointId, u64> = later.map(|(at, id)| (id, *at)).collect();
        let mut entries = Vec::new();
        let mut gone = Vec::new();
        for (id, revision) in last {
            let doubted = self.doubted.contains_key(id);
            match self.entries.get(id) {
                Some(entry) if !doubted => entries.push((**entry).clone()),
                Some(_) | None => gone.push(GoneEndpoint {
                    id: id.clone(),
                    revision,
                    doubted,
                }),
            }
        }
        Some(EndpointChanges {
            revision: self.changed,
            entries,
            gone,
        })
    }

    fn note_change(&mut self, revision: u64, id: &EndpointId) {
        self.changed = self.changed.max(revision);
        self.changes.push_back((revision, id.clone()));
        if self.changes.len() > CHANGES_KEPT
            && let Some((forgotten, _)) = self.changes.pop_front()
        {
            self.complete_from = self.complete_from.max(forgotten);
        }
    }

    /// Returns all entries, those of leaving endpoints included.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        self.entries.values()
    }

    /// Returns an entry.
    pub fn get(&self, id: &EndpointId) -> Option<&Arc<EndpointEntry>> {
        self.entries.get(id)
    }

    /// Returns the number of endpoints without an entry that are still used.
    pub fn doubted(&self) -> usize {
        self.doubted.len()
    }

    /// Takes in one changed entry.
    pub fn put(&mut self, entry: EndpointEntry) -> Option<EndpointChange> {
        let old = self.entries.get(&entry.id);
        if old.is_some_and(|old| old.revision > entry.revision) {
            return None;
        }
        let is_newer = old.is_none_or(|old| old.revision < entry.revision);
        let was_open = old.is_some_and(|old| !old.draining);
        let known = old.is_some();
        if is_newer {
            self.note_change(entry.revision, &entry.id);
        }
        let entry = Arc::new(entry);
        self.doubted.remove(&entry.id);
        self.entries.insert(entry.id.clone(), entry.clone());
        match (known, entry.draining) {
            (false, _) => Some(EndpointChange::Added(entry)),
            (true, true) if was_open => Some(EndpointChange::Draining(entry)),
            _ => None,
        }
    }

    /// Takes in that an entry is gone as of `revision`; `doubt` tells that the directory was out of
    /// reach, so that it may have lapsed although its endpoint lives.
    pub fn remove(
        &mut self,
        now: Time,
        id: &EndpointId,
        revision: u64,
        doubt: bool,
    ) -> Option<EndpointChange> {
        let known = self.entries.get(id);
        if known.is_some_and(|entry| entry.revision > revision) {
            return None;
        }
        self.note_change(revision, id);
        self.take_out(now, id, doubt)
    }

    fn take_out(&mut self, now: Time, id: &EndpointId, doubt: bool) -> Option<EndpointChange> {
        let entry = self.entries.get(id)?.clone();
        if doubt && !entry.draining {
            if self.doubted.contains_key(id) {
                return None;
            }
            self.doubted.insert(id.clone(), now + self.doubt);
            return Some(EndpointChange::Doubted(entry));
        }
        self.doubted.remove(id);
        self.entries.remove(id);
        Some(EndpointChange::Gone(entry))
    }

    /// Notes that all changes up to a revision were taken in.
    pub fn reached(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes in a whole list as of `revision`.
    pub fn replace(
        &mut self,
        now: Time,
        revision: u64,
        list: Vec<EndpointEntry>,
        doubt: bool,
    ) -> Vec<EndpointChange> {
        let listed: HashSet<EndpointId> = list.iter().map(|entry| entry.id.clone()).collect();
        let missing: Vec<EndpointId> = self
            .entries
            .values()
            .filter(|entry| !listed.contains(&entry.id) && entry.revision <= revision)
            .map(|entry| entry.id.clone())
            .collect();
        let mut learnt: Vec<EndpointChange> = list
            .into_iter()
            .filter_map(|entry| self.put(entry))
            .collect();
        learnt.extend(
            missing
                .iter()
                .filter_map(|id| self.take_out(now, id, doubt)),
        );
        self.reached(revision);
        // What a list lacks tells no revision, so that only later changes are known one by one.
        self.changed = self.changed.max(revision);
        self.changes.clear();
        self.complete_from = self.changed;
        learnt
    }

    /// Drops the endpoints whose time of doubt is over.
    pub fn settle(&mut self, now: Time) -> Vec<EndpointChange> {
        let due: Vec<EndpointId> = self
            .doubted
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter()
            .filter_map(|id| self.take_out(now, id, false))
            .collect()
    }

    /// Postpones the end of all doubts while the directory can't be read at all.
    pub fn extend_doubts(&mut self, now: Time) {
        let until_next = now + self.doubt;
        for until in self.doubted.values_mut() {
            *until = until_next;
        }
    }
}
