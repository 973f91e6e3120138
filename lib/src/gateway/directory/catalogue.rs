//! The endpoints there are, as the directory and peers tell, and which of them may get work.

use {
    crate::{
        gateway::rules::suspect_entry::is_suspect,
        shared::{
            ids::{DataCentreId, EndpointId, ServiceId},
            units::{Millis, Time},
        },
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
    /// Whether it may have lapsed although the endpoint lives; daemons exchange it as `doubted`.
    #[serde(rename = "doubted")]
    pub suspect: bool,
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
    /// An endpoint's entry vanished while the directory couldn't be read; it is used for a while yet.
    Suspect(Arc<EndpointEntry>),
}

/// The endpoints as of one revision of the directory.
#[derive(Debug, Clone)]
pub struct Catalogue {
    /// Time for which suspect endpoints are used.
    suspect_time: Millis,
    revision: u64,
    /// Revision of the last change that was taken in.
    changed: u64,
    /// The last changes, and the revision after which none is missing.
    changes: VecDeque<(u64, EndpointId)>,
    complete_from: u64,
    entries: HashMap<EndpointId, Arc<EndpointEntry>>,
    /// Endpoints without an entry that may yet be alive, with the time until which they are used.
    suspects: HashMap<EndpointId, Time>,
}

impl Catalogue {
    /// Starts without entries; endpoints whose entries vanish in an outage of the directory are used
    /// for `suspect_time` more.
    pub fn new(suspect_time: Millis) -> Self {
        Self {
            suspect_time,
            revision: 0,
            changed: 0,
            changes: VecDeque::new(),
            complete_from: u64::MAX,
            entries: HashMap::default(),
            suspects: HashMap::default(),
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
            let suspect = self.suspects.contains_key(id);
            match self.entries.get(id) {
                Some(entry) if !suspect => entries.push((**entry).clone()),
                Some(_) | None => gone.push(GoneEndpoint {
                    id: id.clone(),
                    revision,
                    suspect,
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
    pub fn suspects(&self) -> usize {
        self.suspects.len()
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
        self.suspects.remove(&entry.id);
        self.entries.insert(entry.id.clone(), entry.clone());
        match (known, entry.draining) {
            (false, _) => Some(EndpointChange::Added(entry)),
            (true, true) if was_open => Some(EndpointChange::Draining(entry)),
            _ => None,
        }
    }

    /// Records that an entry vanished at `revision`; in an outage of the directory it may have lapsed
    /// although its endpoint lives.
    pub fn remove(
        &mut self,
        now: Time,
        id: &EndpointId,
        revision: u64,
        is_outage: bool,
    ) -> Option<EndpointChange> {
        let known = self.entries.get(id);
        if known.is_some_and(|entry| entry.revision > revision) {
            return None;
        }
        self.note_change(revision, id);
        self.vanish(now, id, is_outage)
    }

    fn vanish(&mut self, now: Time, id: &EndpointId, is_outage: bool) -> Option<EndpointChange> {
        let entry = self.entries.get(id)?.clone();
        if is_suspect(is_outage, entry.draining) {
            if self.suspects.contains_key(id) {
                return None;
            }
            self.suspects.insert(id.clone(), now + self.suspect_time);
            return Some(EndpointChange::Suspect(entry));
        }
        self.suspects.remove(id);
        self.entries.remove(id);
        Some(EndpointChange::Gone(entry))
    }

    /// Records that all changes up to a revision were applied.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Takes in a whole list as of `revision`.
    pub fn replace(
        &mut self,
        now: Time,
        revision: u64,
        list: Vec<EndpointEntry>,
        is_outage: bool,
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
                .filter_map(|id| self.vanish(now, id, is_outage)),
        );
        self.advance_to(revision);
        // What a list lacks tells no revision, so that only later changes are known one by one.
        self.changed = self.changed.max(revision);
        self.changes.clear();
        self.complete_from = self.changed;
        learnt
    }

    /// Removes the suspect endpoints whose time is over.
    pub fn expire_suspects(&mut self, now: Time) -> Vec<EndpointChange> {
        let due: Vec<EndpointId> = self
            .suspects
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter()
            .filter_map(|id| self.vanish(now, id, false))
            .collect()
    }

    /// Starts the time of all suspects anew, since their entries can't be written while the directory
    /// can't be read.
    pub fn extend_suspects(&mut self, now: Time) {
        let until_next = now + self.suspect_time;
        for until in self.suspects.values_mut() {
            *until = until_next;
        }
    }
}
