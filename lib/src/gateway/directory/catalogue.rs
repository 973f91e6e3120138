//! The entries of the endpoints as of one revision of the directory.
//!
//! Owns the entries, the times until which unconfirmed ones are used, and the log of changes. The rule
//! [`unconfirmed_entry`](crate::gateway::rules::unconfirmed_entry) decides whether an entry that vanished is
//! unconfirmed. The catalogue has no clock: callers pass the time.

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
    /// An endpoint was added.
    Added(Arc<EndpointEntry>),
    /// An endpoint started again: it has lost its caches and its requests.
    Restarted(Arc<EndpointEntry>),
    /// An endpoint announced that it is leaving.
    Draining(Arc<EndpointEntry>),
    /// An endpoint was removed.
    Gone(Arc<EndpointEntry>),
    /// An endpoint's entry vanished while the directory couldn't be read. The endpoint is used until its unconfirmed
    /// time is over.
    Unconfirmed(Arc<EndpointEntry>),
}

impl EndpointChange {
    /// Returns whether the change adds an endpoint.
    pub(crate) fn is_added(&self) -> bool {
        matches!(self, Self::Added(_))
    }
}

/// How long an unconfirmed endpoint is used.
#[derive(Debug, Clone, Copy)]
struct Doubt {
    until: Time,
    /// Time beyond which `until` isn't extended.
    latest: Time,
}

/// The endpoints as of one revision of the directory.
#[derive(Debug, Clone)]
pub struct Catalogue {
    /// Time for which unconfirmed endpoints are used.
    unconfirmed_time: Millis,
    /// Time after which an entry that its endpoint no longer renews has certainly lapsed.
    lapse_time: Millis,
    /// Revision up to which all changes are applied.
    revision: Revision,
    log: ChangeLog,
    entries: HashMap<EndpointId, Arc<EndpointEntry>>,
    /// Unconfirmed endpoints.
    unconfirmed: HashMap<EndpointId, Doubt>,
    /// Endpoints whose entries vanished while the directory answered.
    departed: Departed,
}

impl Catalogue {
    /// Creates a catalogue without entries. Endpoints whose entries vanish in an outage of the directory are used for
    /// `unconfirmed_time` after that.
    pub fn new(unconfirmed_time: Millis) -> Self {
        Self {
            unconfirmed_time,
            lapse_time: unconfirmed_time,
            revision: Revision::default(),
            log: ChangeLog::default(),
            entries: HashMap::default(),
            unconfirmed: HashMap::default(),
            departed: Departed::default(),
        }
    }

    /// Sets the time for which endpoints whose entries vanish after this call are used.
    pub fn set_unconfirmed_time(&mut self, time: Millis) {
        self.unconfirmed_time = time;
    }

    /// Sets the time after which an entry that its endpoint no longer renews has certainly lapsed.
    pub fn set_lapse_time(&mut self, time: Millis) {
        self.lapse_time = time;
    }

    /// Returns the revision up to which all changes are applied.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of the last change of any endpoint. Daemons announce this one, not
    /// [`revision`](Self::revision): otherwise all others would fetch a list that has a newer revision but the same
    /// entries.
    pub fn last_change(&self) -> Revision {
        self.log.last()
    }

    /// Returns the changes after a revision; `None` if some of them may be missing from the log.
    pub fn changes_since(&self, since: Revision) -> Option<EndpointChanges> {
        let mut entries = Vec::new();
        let mut gone = Vec::new();
        for (id, revision) in self.log.since(since)? {
            let unconfirmed = self.unconfirmed.contains_key(id);
            match self.entries.get(id) {
                Some(entry) if !unconfirmed => entries.push((**entry).clone()),
                Some(_) | None => gone.push(GoneEndpoint {
                    id: id.clone(),
                    revision,
                    unconfirmed,
                }),
            }
        }
        Some(EndpointChanges {
            revision: self.log.complete_to(),
            entries,
            gone,
            has_gap: self.log.has_gap_after(since),
            held: self.departed.held_entries().cloned().collect(),
        })
    }

    /// Returns all entries, including those of draining and unconfirmed endpoints.
    pub fn entries(&self) -> impl Iterator<Item = &Arc<EndpointEntry>> {
        self.entries.values()
    }

    /// Returns the entry of an endpoint; `None` if the endpoint isn't known.
    pub fn get(&self, id: &EndpointId) -> Option<&Arc<EndpointEntry>> {
        self.entries.get(id)
    }

    /// Returns the whole list, as sent to other daemons.
    pub fn list(&self) -> EndpointList {
        let entries = self.entries.values();
        EndpointList {
            revision: self.revision,
            entries: entries.map(|entry| (**entry).clone()).collect(),
            unconfirmed: self.unconfirmed.keys().cloned().collect(),
            held: self.departed.held_entries().cloned().collect(),
        }
    }

    /// Returns the number of unconfirmed endpoints.
    pub fn unconfirmed_count(&self) -> usize {
        self.unconfirmed.len()
    }

    /// Applies a new or changed entry. An entry older than the known one changes nothing.
    pub fn upsert(&mut self, entry: EndpointEntry) -> Option<EndpointChange> {
        if self.is_removed(&entry) {
            return None;
        }
        let entry = self.departed.hold(entry)?;
        self.apply(entry)
    }

    /// Returns whether an entry was removed after it was written: the catalogue has applied all changes up to the
    /// entry's revision and lacks the entry. Without this check, a delayed report of another daemon adds removed
    /// endpoints again.
    fn is_removed(&self, entry: &EndpointEntry) -> bool {
        entry.revision <= self.revision && !self.entries.contains_key(&entry.id)
    }

    fn apply(&mut self, entry: EndpointEntry) -> Option<EndpointChange> {
        let old = self.entries.get(&entry.id).cloned();
        let was_unconfirmed = self.unconfirmed.contains_key(&entry.id);
        let is_unchanged = |old: &Arc<EndpointEntry>| !is_change(old, &entry, was_unconfirmed);
        if !old.as_ref().is_some_and(is_unchanged) {
            let entries = self.entries.len();
            self.log.record(entry.revision, &entry.id, entries);
        }
        if old.as_ref().is_some_and(|old| !entry.supersedes(old)) {
            return None;
        }
        let entry = Arc::new(match &old {
            Some(old) => replacement(old, entry),
            None => entry,
        });
        self.unconfirmed.remove(&entry.id);
        self.entries.insert(entry.id.clone(), entry.clone());
        match old {
            None => {
                self.departed.forget(&entry.id);
                Some(EndpointChange::Added(entry))
            }
            Some(old) if old.started != entry.started => Some(EndpointChange::Restarted(entry)),
            Some(old) if entry.draining && !old.draining => Some(EndpointChange::Draining(entry)),
            Some(_) => None,
        }
    }

    /// Starts a new era if `revision` is of a later era than the catalogue: from then on, a departed endpoint is added
    /// again only if its entry lasts. Returns whether the era is later.
    pub fn begin_era(&mut self, now: Time, revision: Revision) -> bool {
        let is_later = !self.log.is_unstarted() && revision.era > self.revision.era;
        if is_later {
            self.departed.hold_all(now + self.lapse_time, revision);
        }
        is_later
    }

    /// Records that an entry vanished at `revision`. During an outage of the directory the entry may have lapsed
    /// although its endpoint is alive.
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
            if self.unconfirmed.contains_key(id) {
                return None;
            }
            let until = now + self.unconfirmed_time;
            let latest = until + self.lapse_time;
            self.unconfirmed.insert(id.clone(), Doubt { until, latest });
            return Some(EndpointChange::Unconfirmed(entry));
        }
        self.unconfirmed.remove(id);
        self.entries.remove(id);
        if !is_outage || entry.draining {
            self.departed.record(id);
        }
        Some(EndpointChange::Gone(entry))
    }

    /// Records that all changes up to a revision are applied.
    pub fn advance_to(&mut self, revision: Revision) {
        self.revision = self.revision.max(revision);
    }

    /// Records that another daemon's changes up to a revision are applied, some of which may be missing: a daemon that
    /// knows the list as of a revision in between may know endpoints that were added and removed in the gap.
    pub fn advance_with_gap(&mut self, revision: Revision) {
        if !self.log.is_unstarted() {
            self.log.skip(self.revision, revision);
        }
        self.advance_to(revision);
    }

    /// Applies a whole list: known entries that the list lacks have vanished, unless they are newer than the list. A
    /// list that is older than the catalogue doesn't add endpoints that were removed since.
    ///
    /// The first list of a later era comes from an older copy of the directory. An entry that it lacks becomes
    /// unconfirmed: its endpoint may not have written it again yet.
    ///
    /// Endpoints that are unconfirmed at the sender become unconfirmed here. One that this daemon has already removed
    /// isn't added again.
    pub fn replace(
        &mut self,
        now: Time,
        list: EndpointList,
        is_outage: bool,
    ) -> Vec<EndpointChange> {
        let EndpointList {
            revision,
            entries,
            unconfirmed,
            held,
        } = list;
        let unconfirmed: HashSet<EndpointId> = unconfirmed.into_iter().collect();
        let is_outage = self.begin_era(now, revision) || is_outage;
        let ids = entries.iter().map(|entry| &entry.id);
        let listed = ids.filter(|id| !unconfirmed.contains(id));
        let listed: HashSet<EndpointId> = listed.cloned().collect();
        let missing = self.missing_in(&listed, revision);
        let mut changes = self.apply_listed(entries, revision, &unconfirmed);
        let held_ids = held.iter().map(|entry| entry.id.clone());
        let retained = listed.iter().cloned().chain(held_ids).collect();
        self.departed.retain_listed(&retained);
        for id in &missing {
            self.log.record(revision, id, self.entries.len());
            changes.extend(self.vanish(now, id, is_outage || unconfirmed.contains(id)));
        }
        if self.log.is_unstarted() {
            let unconfirmed = unconfirmed.iter();
            changes.extend(unconfirmed.filter_map(|id| self.vanish(now, id, true)));
            self.log.start(revision);
        } else {
            self.log.skip(self.revision, revision);
        }
        self.hold_reported(now, held);
        self.advance_to(revision);
        changes
    }

    /// Holds back the entries that another daemon holds back. A list or changes that say nothing of them would count as
    /// proof that their endpoints have gone, and entries that are only renewed don't come again.
    pub fn hold_reported(&mut self, now: Time, held: Vec<EndpointEntry>) {
        for entry in held {
            if !self.entries.contains_key(&entry.id) {
                self.departed.hold_reported(entry, now + self.lapse_time);
            }
        }
    }

    /// Returns the known endpoints with entries up to a revision that the list as of that revision lacks.
    fn missing_in(&self, listed: &HashSet<EndpointId>, revision: Revision) -> Vec<EndpointId> {
        let missing = self
            .entries
            .values()
            .filter(|entry| !listed.contains(&entry.id) && entry.revision <= revision);
        missing.map(|entry| entry.id.clone()).collect()
    }

    /// Applies the entries of a list as of a revision. Entries that are unconfirmed at the sender are added only from
    /// the first list.
    fn apply_listed(
        &mut self,
        entries: Vec<EndpointEntry>,
        revision: Revision,
        unconfirmed: &HashSet<EndpointId>,
    ) -> Vec<EndpointChange> {
        let is_first = self.log.is_unstarted();
        let is_older = revision < self.revision;
        let mut changes = Vec::new();
        for entry in entries {
            let is_gone = is_older && self.is_removed(&entry);
            if is_gone || (unconfirmed.contains(&entry.id) && !is_first) {
                continue;
            }
            if let Some(entry) = self.departed.hold(entry) {
                changes.extend(self.apply(entry));
            }
        }
        changes
    }

    /// Adds the departed endpoints whose entries have lasted in a later era.
    pub fn readmit(&mut self, now: Time) -> Vec<EndpointChange> {
        let lasting = self.departed.take_lasting(now);
        let changes = lasting.into_iter().filter_map(|entry| self.apply(entry));
        changes.collect()
    }

    /// Removes the endpoints whose unconfirmed time is over.
    pub fn expire_unconfirmed(&mut self, now: Time) -> Vec<EndpointChange> {
        let due: Vec<EndpointId> = self
            .unconfirmed
            .iter()
            .filter(|(_, doubt)| doubt.until <= now)
            .map(|(id, _)| id.clone())
            .collect();
        due.iter().filter_map(|id| self.expire(id)).collect()
    }

    fn expire(&mut self, id: &EndpointId) -> Option<EndpointChange> {
        self.unconfirmed.remove(id);
        let entry = self.entries.remove(id)?;
        Some(EndpointChange::Gone(entry))
    }

    /// Restarts the unconfirmed time of all unconfirmed endpoints, since their entries can't be written now. An endpoint
    /// isn't used longer than for its unconfirmed time and a lapse time after its entry vanished.
    pub fn extend_unconfirmed(&mut self, now: Time) {
        let until_next = now + self.unconfirmed_time;
        for doubt in self.unconfirmed.values_mut() {
            doubt.until = doubt.until.max(until_next.min(doubt.latest));
        }
    }
}

/// Returns whether an entry changes an older one of the same endpoint. An entry of a later era that differs only in its
/// revision is no change, unless its endpoint was unconfirmed: the directory had it before.
fn is_change(old: &EndpointEntry, entry: &EndpointEntry, was_unconfirmed: bool) -> bool {
    let is_unchanged = entry.revision.era > old.revision.era
        && !was_unconfirmed
        && entry.equals_except_revision(old);
    old.revision < entry.revision && !is_unchanged
}

/// Returns the entry that replaces an older one of the same endpoint. An endpoint that drains keeps draining within one
/// incarnation, also if an older copy of the directory lists it as not draining. Its software version stays known if the
/// entry comes from a daemon of a release that doesn't pass it on.
fn replacement(old: &EndpointEntry, entry: EndpointEntry) -> EndpointEntry {
    let is_same = old.started == entry.started;
    let version = entry.version.clone();
    EndpointEntry {
        draining: entry.draining || (old.draining && is_same),
        version: version.or_else(|| old.version.clone().filter(|_| is_same)),
        ..entry
    }
}
