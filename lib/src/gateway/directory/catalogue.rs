//! The entries of the endpoints as of one revision of the directory.
//!
//! Owns the entries, the suspects among them with the time until which they are used, and the log of
//! changes. Whether an entry that vanished is suspect is the rule
//! [`suspect_entry`](crate::gateway::rules::suspect_entry). It has no clock: callers pass the time.

use {
    crate::{
        gateway::{directory::change_log::ChangeLog, rules::suspect_entry::is_suspect},
        shared::{
            ids::{DataCentreId, EndpointId, ServiceId},
            units::{Millis, Time},
        },
    },
    foldhash::{HashMap, HashSet},
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, sync::Arc},
};

/// When an endpoint started, as it states it itself: Unix time in milliseconds. Two starts under one id
/// differ in it; the later one has the larger value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Born(pub u64);

/// One life of an endpoint: from one start of its process to the next.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointLife {
    /// The endpoint.
    pub id: EndpointId,
    /// Its start; nothing where endpoints don't state it, and have a new id at each start.
    pub born: Option<Born>,
}

/// One endpoint as the directory publishes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// Its id.
    pub id: EndpointId,
    /// Its service.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Data centre it stands in.
    pub data_centre: DataCentreId,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// It announced that it is leaving.
    pub draining: bool,
    /// Time for which it was still cold when the entry was written: it holds nothing, is slow, and bears few
    /// requests a second.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold: Millis,
    /// Its start.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub born: Option<Born>,
    /// Revision of the entry in the directory.
    pub revision: u64,
}

fn is_zero(time: &Millis) -> bool {
    time.0 == 0
}

impl EndpointEntry {
    /// Returns the life that the entry is about.
    pub fn life(&self) -> EndpointLife {
        EndpointLife {
            id: self.id.clone(),
            born: self.born,
        }
    }

    /// Returns whether this entry stands against another one of the same endpoint: it is of a later life, or
    /// of the same one and not older. What an earlier life wrote last may arrive after the first entry of the
    /// next one, with a later revision.
    pub fn supersedes(&self, other: &Self) -> bool {
        match (self.born, other.born) {
            (Some(mine), Some(theirs)) if mine != theirs => mine > theirs,
            _ => self.revision >= other.revision,
        }
    }
}

/// Changes of the list of endpoints after a revision, as daemons exchange them.
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
    /// Its entry may have lapsed although the endpoint lives; daemons exchange it as `doubted`.
    #[serde(rename = "doubted")]
    pub suspect: bool,
}

/// A change that a catalogue has applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// An endpoint is new.
    Added(Arc<EndpointEntry>),
    /// An endpoint started again: it holds and knows nothing of before.
    Restarted(Arc<EndpointEntry>),
    /// An endpoint announced that it is leaving.
    Draining(Arc<EndpointEntry>),
    /// An endpoint is gone.
    Gone(Arc<EndpointEntry>),
    /// An endpoint's entry vanished while the directory couldn't be read; it is used for a while yet.
    Suspect(Arc<EndpointEntry>),
}

impl EndpointChange {
    /// Returns whether an endpoint is new.
    pub(crate) fn is_added(&self) -> bool {
        matches!(self, Self::Added(_))
    }
}

/// The endpoints as of one revision of the directory.
#[derive(Debug, Clone)]
pub struct Catalogue {
    /// Time for which suspect endpoints are used.
    suspect_time: Millis,
    /// Revision up to which all changes were applied.
    revision: u64,
    log: ChangeLog,
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
            log: ChangeLog::default(),
            entries: HashMap::default(),
            suspects: HashMap::default(),
        }
    }

    /// Sets the time for which endpoints are used whose entries vanish from now on.
    pub fn set_suspect_time(&mut self, time: Millis) {
        self.suspect_time = time;
    }

    /// Returns the revision up to which all changes were applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the last change of an endpoint, which others are told: a list that only counts as newer
    /// would be fetched by everybody.
    pub fn changed(&self) -> u64 {
        self.log.last()
    }

    /// Returns the changes after a revision; nothing if too many were forgotten since.
    pub fn changes_since(&self, revision: u64) -> Option<EndpointChanges> {
        let mut entries = Vec::new();
        let mut gone = Vec::new();
        for (id, revision) in self.log.since(revision)? {
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
            revision: self.log.last(),
            entries,
            gone,
        })
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

    /// Applies a new or changed entry; one that is older than what is known changes nothing.
    pub fn upsert(&mut self, entry: EndpointEntry) -> Option<EndpointChange> {
        if self.is_removed(&entry) {
            return None;
        }
        self.apply(entry)
    }

    /// Returns whether an entry was removed after it was written: all changes up to a revision were applied, and it
    /// isn't there. Without it, news on its way from another daemon brings removed endpoints back.
    fn is_removed(&self, entry: &EndpointEntry) -> bool {
        entry.revision <= self.revision && !self.entries.contains_key(&entry.id)
    }

    fn apply(&mut self, entry: EndpointEntry) -> Option<EndpointChange> {
        let old = self.entries.get(&entry.id).cloned();
        if old.as_ref().is_none_or(|old| old.revision < entry.revision) {
            let entries = self.entries.len();
            self.log.record(entry.revision, &entry.id, entries);
        }
        if old.as_ref().is_some_and(|old| !entry.supersedes(old)) {
            return None;
        }
        let entry = Arc::new(entry);
        self.suspects.remove(&entry.id);
        self.entries.insert(entry.id.clone(), entry.clone());
        match old {
            None => Some(EndpointChange::Added(entry)),
            Some(old) if old.born != entry.born => Some(EndpointChange::Restarted(entry)),
            Some(old) if entry.draining && !old.draining => Some(EndpointChange::Draining(entry)),
            Some(_) => None,
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
        self.log.record(revision, id, self.entries.len());
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

    /// Applies a whole list as of `revision`: entries that it lacks have vanished, unless they are newer
    /// than the list. One that is older than what is known adds no endpoint that was removed since.
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
        let is_older = revision < self.revision;
        let mut changes = Vec::new();
        for entry in list {
            if !(is_older && self.is_removed(&entry)) {
                changes.extend(self.apply(entry));
            }
        }
        for id in &missing {
            self.log.record(revision, id, self.entries.len());
            changes.extend(self.vanish(now, id, is_outage));
        }
        if self.log.is_unstarted() {
            self.log.start(revision);
        } else {
            self.log.skip(self.revision, revision);
        }
        self.advance_to(revision);
        changes
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
