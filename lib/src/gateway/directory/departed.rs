//! Endpoints whose entries vanished while the directory answered: they have left, or ended.
//!
//! A directory that comes back from an older copy lists them again, and nobody renews their entries. Owns which they are, a
//! bounded number, and those of them whose entries are watched for whether they last.

use {
    crate::{
        gateway::{directory::endpoint_entry::EndpointEntry, revision::Revision},
        shared::{ids::EndpointId, recent_map::RecentMap, units::Time},
    },
    foldhash::{HashMap, HashSet},
};

/// Most endpoints that are remembered; the oldest are forgotten.
const REMEMBERED: usize = 4_096;

/// The entry of an endpoint that is held back; nothing if it wasn't listed yet.
type HeldEntry = Option<EndpointEntry>;

/// Endpoints that have departed.
#[derive(Debug, Clone, Default)]
pub(crate) struct Departed {
    /// In the order in which they departed.
    known: RecentMap<EndpointId, (), REMEMBERED>,
    held: HashMap<EndpointId, HeldEntry>,
    /// Revision from which on they are held back; who writes later lives.
    since: Revision,
    /// When the entries that are held back would have lapsed if nobody had renewed them.
    until: Time,
}

impl Departed {
    /// Records that an endpoint departed.
    pub(crate) fn record(&mut self, id: &EndpointId) {
        self.forget(id);
        self.known.entry(id.clone());
        self.held.insert(id.clone(), None);
    }

    /// Forgets an endpoint that is in the list again.
    pub(crate) fn forget(&mut self, id: &EndpointId) {
        self.known.remove(id);
    }

    /// Holds all of them back until a time, should they be listed: the directory came back from an older copy, and is as of
    /// a revision now.
    pub(crate) fn hold_all(&mut self, until: Time, revision: Revision) {
        self.since = revision;
        self.until = until;
        self.held = self.known.keys().map(|id| (id.clone(), None)).collect();
    }

    /// Holds back an entry; returns it if it isn't one of an endpoint that is held back, or was written since.
    pub(crate) fn hold(&mut self, entry: EndpointEntry) -> Option<EndpointEntry> {
        if entry.revision > self.since {
            self.held.remove(&entry.id);
        }
        let Some(held) = self.held.get_mut(&entry.id) else {
            return Some(entry);
        };
        *held = Some(entry);
        None
    }

    /// Ends the hold of an endpoint whose entry vanished.
    pub(crate) fn end_hold(&mut self, id: &EndpointId) {
        self.held.remove(id);
    }

    /// Drops the entries that a whole list lacks. Other daemons that hold them back don't list them either, so that the
    /// hold goes on.
    pub(crate) fn retain_listed(&mut self, listed: &HashSet<EndpointId>) {
        let unlisted = self.held.iter_mut().filter(|(id, _)| !listed.contains(*id));
        unlisted.for_each(|(_, entry)| *entry = None);
    }

    /// Returns the entries that are still listed although nobody would have renewed them if their endpoints had ended.
    pub(crate) fn take_lasting(&mut self, now: Time) -> Vec<EndpointEntry> {
        if now < self.until || self.held.is_empty() {
            return Vec::new();
        }
        self.held.drain().filter_map(|(_, entry)| entry).collect()
    }
}
