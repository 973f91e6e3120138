//! The latest changes of the list of endpoints, for daemons that request the changes they lack.
//!
//! Owns the order of changes, and the ranges of revisions in which changes may be missing.

use {
    crate::{gateway::revision::Revision, shared::ids::EndpointId},
    foldhash::HashMap,
    std::collections::VecDeque,
};

/// Minimum number of changes that are kept. Of a list with more entries, as many changes are kept as it has entries: a
/// daemon that lacks more is sent the whole list, which is then no longer than the changes.
const MIN_CHANGES_KEPT: usize = 512;

/// One change of an endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Change {
    /// Revision of the directory at which the entry changed.
    revision: Revision,
    id: EndpointId,
}

/// Maximum number of gaps that are kept; changes before the end of a dropped gap count as missing.
const MAX_GAPS_KEPT: usize = 16;

/// Range of revisions in which changes may be missing: a daemon that knows the list as of a revision in it may know an
/// endpoint that was added and removed without a change recorded here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Gap {
    from: Revision,
    to: Revision,
}

/// Changes in the order in which they were recorded.
#[derive(Debug, Clone)]
pub(crate) struct ChangeLog {
    changes: VecDeque<Change>,
    /// Revision of the last change.
    last: Revision,
    /// Revision after which no change was dropped from the log; [`Revision::MAX`] before the first whole list.
    complete_from: Revision,
    gaps: VecDeque<Gap>,
}

impl Default for ChangeLog {
    fn default() -> Self {
        Self {
            changes: VecDeque::new(),
            last: Revision::default(),
            complete_from: Revision::MAX,
            gaps: VecDeque::new(),
        }
    }
}

impl ChangeLog {
    /// Returns the revision of the last change.
    pub(crate) fn last(&self) -> Revision {
        self.last
    }

    /// Returns the revision up to which the changes are complete.
    pub(crate) fn complete_to(&self) -> Revision {
        let gap = self.gaps.back().map(|gap| gap.to);
        self.last.max(gap.unwrap_or_default())
    }

    /// Records a change of a list that has `entries` entries. The oldest changes are dropped when there are too many.
    pub(crate) fn record(&mut self, revision: Revision, id: &EndpointId, entries: usize) {
        self.last = self.last.max(revision);
        self.changes.push_back(Change {
            revision,
            id: id.clone(),
        });
        let kept = MIN_CHANGES_KEPT.max(entries);
        while self.changes.len() > kept
            && let Some(forgotten) = self.changes.pop_front()
        {
            self.complete_from = self.complete_from.max(forgotten.revision);
        }
    }

    /// Starts the log at the first whole list, as of `revision`. The log is complete only after it, since the revisions
    /// at which entries vanished before it aren't known.
    pub(crate) fn start(&mut self, revision: Revision) {
        self.complete_from = revision;
    }

    /// Returns whether no whole list was applied yet.
    pub(crate) fn is_unstarted(&self) -> bool {
        self.complete_from == Revision::MAX
    }

    /// Records a gap between two revisions: a whole list, or incomplete changes, led from one to the other.
    pub(crate) fn skip(&mut self, from: Revision, to: Revision) {
        if to.follows(from) {
            return;
        }
        // Other daemons have to learn of a later era also if no entry changed with it.
        self.last = self.last.max(Revision::new(to.era, 0));
        self.gaps.push_back(Gap { from, to });
        if self.gaps.len() > MAX_GAPS_KEPT
            && let Some(forgotten) = self.gaps.pop_front()
        {
            self.complete_from = self.complete_from.max(forgotten.to);
        }
    }

    fn is_in_gap(&self, revision: Revision) -> bool {
        let mut gaps = self.gaps.iter();
        gaps.any(|gap| gap.from < revision && revision < gap.to)
    }

    /// Returns whether changes may be missing among those after a revision: they lead from the list as of that revision
    /// to the current one, but endpoints may have been added and removed in between.
    pub(crate) fn has_gap_after(&self, revision: Revision) -> bool {
        self.gaps.iter().any(|gap| gap.to > revision)
    }

    /// Returns the revision of the last change of each endpoint that changed after `revision`; `None` if the log may
    /// lack changes since then.
    pub(crate) fn since(&self, revision: Revision) -> Option<HashMap<&EndpointId, Revision>> {
        if revision < self.complete_from || self.is_in_gap(revision) {
            return None;
        }
        let later = self
            .changes
            .iter()
            .filter(|change| change.revision > revision);
        Some(later.map(|change| (&change.id, change.revision)).collect())
    }
}
