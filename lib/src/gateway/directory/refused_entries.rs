//! Entries of endpoints that couldn't be read. Remembering them lets each be logged and counted once, not with each
//! read of the directory.
//!
//! Owns a bounded number of these entries.

use {crate::gateway::revision::Revision, foldhash::HashMap};

/// Number of entries that are remembered at most. Beyond it all are forgotten, so that some are logged again.
const MAX_REMEMBERED: usize = 1_000;

/// Entries that couldn't be read, with the revision of each.
#[derive(Debug, Clone, Default)]
pub(crate) struct RefusedEntries(HashMap<String, Revision>);

impl RefusedEntries {
    /// Records an entry by its name and revision. Returns whether it is new or has changed since it was last recorded.
    pub(crate) fn record(&mut self, name: &str, revision: Revision) -> bool {
        if self.0.len() >= MAX_REMEMBERED && !self.0.contains_key(name) {
            self.0.clear();
        }
        self.0.insert(name.to_owned(), revision) != Some(revision)
    }
}
