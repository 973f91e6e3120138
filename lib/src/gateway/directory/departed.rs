//! Endpoints whose entries vanished while the directory answered: they have left or terminated.
//!
//! A directory restored from an older copy lists them again, although nobody renews their entries. Such entries are
//! held back until they have lasted long enough that their endpoints must have renewed them. Owns a bounded number of
//! departed endpoints, and the entries that are held back.

use {
    crate::{
        gateway::{directory::endpoint_entry::EndpointEntry, revision::Revision},
        shared::{fifo_map::FifoMap, ids::EndpointId, units::Time},
    },
    foldhash::{HashMap, HashSet},
};

/// Number of departed endpoints that are remembered; beyond it the oldest are forgotten.
const MAX_DEPARTED: usize = 4_096;

/// The entry of an endpoint that is held back; `None` if it isn't listed.
type HeldEntry = Option<EndpointEntry>;

/// Departed endpoints, and those among them whose entries are held back.
#[derive(Debug, Clone, Default)]
pub(crate) struct Departed {
    /// Departed endpoints in the order in which they departed.
    departed: FifoMap<EndpointId, (), MAX_DEPARTED>,
    held: HashMap<EndpointId, HeldEntry>,
    /// Revision of the directory when the hold began. An endpoint that writes its entry later is alive.
    hold_start: Revision,
    /// Time by which the entries that are held back have lapsed unless their endpoints renew them.
    hold_end: Time,
}

impl Departed {
    /// Records that an endpoint departed.
    pub(crate) fn record(&mut self, id: &EndpointId) {
        self.forget(id);
        self.departed.entry(id.clone());
        self.held.insert(id.clone(), None);
    }

    /// Forgets an endpoint that was added to the list again.
    pub(crate) fn forget(&mut self, id: &EndpointId) {
        self.departed.remove(id);
    }

    /// Holds back all departed endpoints until a time, if they are listed: the directory was restored from an older
    /// copy and is at `revision` now.
    pub(crate) fn hold_all(&mut self, until: Time, revision: Revision) {
        self.hold_start = revision;
        self.hold_end = until;
        self.held = self.departed.keys().map(|id| (id.clone(), None)).collect();
    }

    /// Holds back an entry. Returns it if its endpoint isn't held back, or if it was written after the hold began.
    pub(crate) fn hold(&mut self, entry: EndpointEntry) -> Option<EndpointEntry> {
        if entry.revision > self.hold_start {
            self.held.remove(&entry.id);
        }
        let Some(held) = self.held.get_mut(&entry.id) else {
            return Some(entry);
        };
        *held = Some(entry);
        None
    }

    /// Holds back an entry that another daemon holds back, until a time at least.
    pub(crate) fn hold_reported(&mut self, entry: EndpointEntry, until: Time) {
        let held = self.held.entry(entry.id.clone()).or_default();
        if held.is_none() {
            *held = Some(entry);
            self.hold_end = self.hold_end.max(until);
        }
    }

    /// Returns the entries that are held back.
    pub(crate) fn held_entries(&self) -> impl Iterator<Item = &EndpointEntry> {
        self.held.values().flatten()
    }

    /// Ends the hold of an endpoint whose entry vanished.
    pub(crate) fn end_hold(&mut self, id: &EndpointId) {
        self.held.remove(id);
    }

    /// Drops the held entries that a whole list lacks. The hold itself continues, since another daemon that sent the
    /// list omits the entries that it holds back.
    pub(crate) fn retain_listed(&mut self, listed: &HashSet<EndpointId>) {
        let unlisted = self.held.iter_mut().filter(|(id, _)| !listed.contains(*id));
        unlisted.for_each(|(_, entry)| *entry = None);
    }

    /// Ends the hold once its time is over, and returns the entries that are still listed: their endpoints are alive,
    /// since otherwise nobody would have renewed the entries.
    pub(crate) fn take_lasting(&mut self, now: Time) -> Vec<EndpointEntry> {
        if now < self.hold_end || self.held.is_empty() {
            return Vec::new();
        }
        self.held.drain().filter_map(|(_, entry)| entry).collect()
    }
}
