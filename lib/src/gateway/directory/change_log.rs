//! The last changes of the list of endpoints, for daemons that ask for what they lack.
//!
//! Owns the order of changes and the revision after which none is missing.

use {crate::shared::ids::EndpointId, foldhash::HashMap, std::collections::VecDeque};

/// Most changes that are remembered. Chosen, not measured.
const CHANGES_KEPT: usize = 512;

/// One change of an endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Change {
    /// Revision of the directory.
    revision: u64,
    id: EndpointId,
}

/// Changes in the order in which they were recorded.
#[derive(Debug, Clone)]
pub(crate) struct ChangeLog {
    changes: VecDeque<Change>,
    /// Revision of the last change.
    last: u64,
    /// Revision after which no change is missing; the largest number before the first list.
    complete_from: u64,
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self {
            changes: VecDeque::new(),
            last: 0,
            complete_from: u64::MAX,
        }
    }
}

impl ChangeLog {
    /// Returns the revision of the last change.
    pub(crate) fn last(&self) -> u64 {
        self.last
    }

    /// Records a change; the oldest one is forgotten when there are too many.
    pub(crate) fn record(&mut self, revision: u64, id: &EndpointId) {
        self.last = self.last.max(revision);
        self.changes.push_back(Change {
            revision,
            id: id.clone(),
        });
        if self.changes.len() > CHANGES_KEPT
            && let Some(forgotten) = self.changes.pop_front()
        {
            self.complete_from = self.complete_from.max(forgotten.revision);
        }
    }

    /// Starts over from a whole list. The revisions at which the entries that it lacks vanished aren't
    /// known, so that only later changes are.
    pub(crate) fn restart(&mut self, revision: u64) {
        self.last = self.last.max(revision);
        self.changes.clear();
        self.complete_from = self.last;
    }

    /// Returns the revision of the last change of each endpoint that changed after `revision`;
    /// nothing if changes since then were forgotten.
    pub(crate) fn since(&self, revision: u64) -> Option<HashMap<&EndpointId, u64>> {
        if revision < self.complete_from {
            return None;
        }
        let later = self
            .changes
            .iter()
            .filter(|change| change.revision > revision);
        Some(later.map(|change| (&change.id, change.revision)).collect())
    }
}
