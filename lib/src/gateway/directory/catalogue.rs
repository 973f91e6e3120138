//! The entries of the endpoints as of one revision of the directory.
//!
//! Owns the entries, the suspects among them with the time until which they are used, and the log of
//! changes. Whether an entry that vanished is suspect is the rule
//! [`unconfirmed_entry`](crate::gateway::rules::unconfirmed_entry). It has no clock: callers pass the time.

use {
    crate::{
        gateway::{
            directory::{
                change_log::ChangeLog,
                departed::Departed,
                endpoint_entry::{EndpointChanges, EndpointEntry, EndpointList, GoneEndpoint},
            },
            revision::Revision,
            rules::unconfirmed_entry::is_unconfirmed,
        },
        shared::{
            ids::EndpointId,
            units::{Millis, Time},
        },
    },
    foldhash::{HashMap, HashSet},
    std::sync::Arc,
};

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
    unconfirmed_time: Millis,
    /// Time after which the entry of an endpoint that doesn't write it any more has lapsed for certain.
    lapse_time: Millis,
    /// Revision up to which all changes were applied.
    revision: Revision,
    log: ChangeLog,
    entries: HashMap<EndpointId, Arc<EndpointEntry>>,
    /// Endpoints without an entry that may yet be alive, with the time until which they are used.
    suspects: HashMap<EndpointId, Time>,
    /// Endpoints whose entries vanished for good.
    departed: Departed,
}

impl Catalogue {
    /// Starts without entries; endpoints whose entries vanish in an outage of the directory are used
    /// for `suspect_time` more.
    pub fn new(unconfirmed_time: Millis) -> Self {
        Self {
            unconfirmed_time,
            lapse_time: unconfirmed_time,
            revision: Revision::default(),
            log: ChangeLog::default(),
            entries: HashMap::default(),
            suspects: HashMap::default(),
            departed: Departed::default(),
        }
    }

    /// Sets the time for which endpoints are used whose entries vanish from now on.
    pub fn set_unconfirmed_time(&mut self, time: Millis) {
        self.unconfirmed_time = time;
    }

    /// Sets the time after which the entry of an endpoint that doesn't write it any more has lapsed for certain.
    pub fn set_lapse_time(&mut self, time: Millis) {
        self.lapse_time = time;
    }

    /// Returns the revision up to which all changes were applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of the last change of an endpoint, which others are told: a list that only counts as newer
    /// would be fetched by everybody.
    pub fn changed(&self) -> Revision {
        self.log.last()
    }

    /// Returns the changes after a revision; nothing if too many were forgotten since.
    pub fn changes_since(&self, since: Revision) -> Option<EndpointChanges> {
        let mut entries = Vec::new();
        let mut gone = Vec::new();
        for (id, revision) in self.log.since(since)? {
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
            revision: self.log.complete_to(),
            entries,
            gone,
            has_gap: self.log.has_gap_after(since),
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

    /// Returns the list as other daemons are told it.
    pub fn list(&self) -> EndpointList {
        let entries = self.entries.values();
        EndpointList {
            revision: self.revision,
            entries: entries.map(|entry| (**entry).clone()).collect(),
            suspects: self.suspects.keys().cloned().collect(),
        }
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
        let entry = self.departed.hold(entry)?;
        self.apply(entry)
    }

    /// Returns whether an entry was removed after it was written: all changes up to a revision were applied, and it
    /// isn't there. Without it, news on its way from another daemon brings removed endpoints back.
    fn is_removed(&self, entry: &EndpointEntry) -> bool {
        entry.revision <= self.revision && !self.entries.contains_key(&entry.id)
    }

    fn apply(&mut self, entry: EndpointEntry) -> Option<EndpointChange> {
        let old = self.entries.get(&entry.id).cloned();
        let was_suspect = self.suspects.contains_key(&entry.id);
        let is_known = |old: &Arc<EndpointEntry>| !is_change(old, &entry, was_suspect);
        if !old.as_ref().is_some_and(is_known) {
            let entries = self.entries.len();
            self.log.record(entry.revision, &entry.id, entries);
        }
        if old.as_ref().is_some_and(|old| !entry.supersedes(old)) {
            return None;
        }
        let entry = Arc::new(match &old {
            Some(old) => after(old, entry),
            None => entry,
        });
        self.suspects.remove(&entry.id);
        self.entries.insert(entry.id.clone(), entry.clone());
        match old {
            None => {
                self.departed.forget(&entry.id);
                Some(EndpointChange::Added(entry))
            }
            Some(old) if old.born != entry.born => Some(EndpointChange::Restarted(entry)),
            Some(old) if entry.draining && !old.draining => Some(EndpointChange::Draining(entry)),
            Some(_) => None,
        }
    }

    /// Prepares for what is known as of a revision, if that is of a later era: an endpoint that had departed counts as back
    /// only if its entry lasts. Returns whether it is.
    pub fn begin_era(&mut self, now: Time, revision: Revision) -> bool {
        let is_later = !self.log.is_unstarted() && revision.era > self.revision.era;
        if is_later {
            self.departed.hold_all(now + self.lapse_time, revision);
        }
        is_later
    }

    /// Records that an entry vanished at `revision`; in an outage of the directory it may have lapsed
    /// although its endpoint lives.
    pub fn remove(
        &mut self,
        now: Time,
        id: &EndpointId,
        revision: Revision,
        is_outage: bool,
    ) -> Option<EndpointChange> {
        self.departed.end_hold(id);
        let known = self.entries.get(id);
        if known.is_some_and(|entry| entry.revision > revision) {
            return None;
        }
        self.log.record(revision, id, self.entries.len());
        self.vanish(now, id, is_outage)
    }

    fn vanish(&mut self, now: Time, id: &EndpointId, is_outage: bool) -> Option<EndpointChange> {
        let entry = self.entries.get(id)?.clone();
        if is_unconfirmed(is_outage, entry.draining) {
            if self.suspects.contains_key(id) {
                return None;
            }
            self.suspects
                .insert(id.clone(), now + self.unconfirmed_time);
            return Some(EndpointChange::Suspect(entry));
        }
        self.suspects.remove(id);
        self.entries.remove(id);
        if !is_outage || entry.draining {
            self.departed.record(id);
        }
        Some(EndpointChange::Gone(entry))
    }

    /// Records that all changes up to a revision were applied.
    pub fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Records that what another daemon told of the changes up to a revision was applied, among which some are missing:
    /// whoever knows the list as of a revision between may know of endpoints that came and went.
    pub fn advance_over(&mut self, revision: Revision) {
        if !self.log.is_unstarted() {
            self.log.skip(self.revision, revision);
        }
        self.advance_to(revision);
    }

    /// Applies a whole list as of `revision`: entries that it lacks have vanished, unless they are newer
    /// than the list. One that is older than what is known adds no endpoint that was removed since.
    ///
    /// In the first list of a later era, which comes from an older copy, what is missing may only not have been written
    /// again yet.
    ///
    /// Suspects of another daemon are suspects here as well; one that this daemon has already seen vanish isn't used again.
    pub fn replace(
        &mut self,
        now: Time,
        list: EndpointList,
        is_outage: bool,
    ) -> Vec<EndpointChange> {
        let EndpointList {
            revision,
            entries,
            suspects,
        } = list;
        let suspects: HashSet<EndpointId> = suspects.into_iter().collect();
        let is_outage = self.begin_era(now, revision) || is_outage;
        let ids = entries.iter().map(|entry| &entry.id);
        let listed = ids.filter(|id| !suspects.contains(id));
        let listed: HashSet<EndpointId> = listed.cloned().collect();
        let missing = self.missing_in(&listed, revision);
        let mut changes = self.apply_listed(entries, revision, &suspects);
        self.departed.retain_listed(&listed);
        for id in &missing {
            self.log.record(revision, id, self.entries.len());
            changes.extend(self.vanish(now, id, is_outage || suspects.contains(id)));
        }
        if self.log.is_unstarted() {
            let suspects = suspects.iter();
            changes.extend(suspects.filter_map(|id| self.vanish(now, id, true)));
            self.log.start(revision);
        } else {
            self.log.skip(self.revision, revision);
        }
        self.advance_to(revision);
        changes
    }

    /// Returns the endpoints that a list as of a revision lacks although they were known by then.
    fn missing_in(&self, listed: &HashSet<EndpointId>, revision: Revision) -> Vec<EndpointId> {
        let missing = self
            .entries
            .values()
            .filter(|entry| !listed.contains(&entry.id) && entry.revision <= revision);
        missing.map(|entry| entry.id.clone()).collect()
    }

    /// Applies the entries of a list as of a revision. The first list brings suspects of another daemon as well.
    fn apply_listed(
        &mut self,
        entries: Vec<EndpointEntry>,
        revision: Revision,
        suspects: &HashSet<EndpointId>,
    ) -> Vec<EndpointChange> {
        let is_first = self.log.is_unstarted();
        let is_older = revision < self.revision;
        let mut changes = Vec::new();
        for entry in entries {
            let is_gone = is_older && self.is_removed(&entry);
            if is_gone || (suspects.contains(&entry.id) && !is_first) {
                continue;
            }
            if let Some(entry) = self.departed.hold(entry) {
                changes.extend(self.apply(entry));
            }
        }
        changes
    }

    /// Adds the endpoints that had departed and whose entries have lasted in a later era.
    pub fn readmit(&mut self, now: Time) -> Vec<EndpointChange> {
        let lasting = self.departed.take_lasting(now);
        let changes = lasting.into_iter().filter_map(|entry| self.apply(entry));
        changes.collect()
    }

    /// Removes the suspect endpoints whose time is over.
    pub fn expire_suspects(&mut self, now: Time) -> Vec<EndpointChange> {
        let due: Vec<EndpointId> = self
            .suspects
            .iter()
            .filter(|(_, until)| **until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter().filter_map(|id| self.expire(id)).collect()
    }

    fn expire(&mut self, id: &EndpointId) -> Option<EndpointChange> {
        self.suspects.remove(id);
        let entry = self.entries.remove(id)?;
        Some(EndpointChange::Gone(entry))
    }

    /// Starts the time of all suspects anew, since their entries can't be written while the directory
    /// can't be read.
    pub fn extend_suspects(&mut self, now: Time) {
        let until_next = now + self.unconfirmed_time;
        for until in self.suspects.values_mut() {
            *until = until_next;
        }
    }
}

/// Returns whether an entry is a change to another one of the same endpoint. One that only has another revision in a later
/// era isn't, unless its endpoint was a suspect: it was written before.
fn is_change(old: &EndpointEntry, entry: &EndpointEntry, was_suspect: bool) -> bool {
    let is_known = entry.revision.era > old.revision.era && !was_suspect && entry.says_same(old);
    old.revision < entry.revision && !is_known
}

/// Returns the entry that follows another one of the same endpoint. One that leaves doesn't stay after all in the same life;
/// an older copy of the directory may say so.
fn after(old: &EndpointEntry, entry: EndpointEntry) -> EndpointEntry {
    EndpointEntry {
        draining: entry.draining || (old.draining && old.born == entry.born),
        ..entry
    }
}
