//! Entries of endpoints that couldn't be read, so that each is logged and counted once and not with each
//! read of the directory.
//!
//! Owns the last of them, a bounded number.

use {crate::gateway::revision::Revision, foldhash::HashMap};

/// Most entries that are remembered; beyond them, some are logged again.
const REMEMBERED: usize = 1_000;

/// Entries that couldn't be read, with the revision of each.
#[derive(Debug, Clone, Default)]
pub(crate) struct RefusedEntries(HashMap<String, Revision>);

impl RefusedEntries {
    /// Records an entry; returns whether it is a new one or has changed since.
    pub(crate) fn record(&mut self, name: &str, revision: Revision) -> bool {
        if self.0.len() >= REMEMBERED && !self.0.contains_key(name) {
            self.0.clear();
        }
        self.0.insert(name.to_owned(), revision) != Some(revision)
    }
}
