//! The last changes of the list of endpoints, for daemons that ask for what they lack.
//!
//! Owns the order of changes, and the spans of revisions of which some may be missing.

use {
    crate::{gateway::revision::Revision, shared::ids::EndpointId},
    foldhash::HashMap,
    std::collections::VecDeque,
};

/// Changes that are remembered of a short list; of a longer one, as many as it has entries: who lacks more is sent the
/// whole list, which is then no longer than its changes.
const CHANGES_KEPT: usize = 512;

/// One change of an endpoint's entry.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Change {
    /// Revision of the directory.
    revision: Revision,
    id: EndpointId,
}

/// Most spans that are remembered; what is before the oldest one is forgotten.
const GAPS_KEPT: usize = 16;

/// Revisions between which changes may be missing: one that knows the list as of a revision inside may have seen an
/// endpoint that came and went unseen here.
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
    /// Revision after which no change is missing; the largest number before the first list.
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

    /// Records a change of a list of so many entries; the oldest ones are forgotten when there are too many.
    pub(crate) fn record(&mut self, revision: Revision, id: &EndpointId, entries: usize) {
        self.last = self.last.max(revision);
        self.changes.push_back(Change {
            revision,
            id: id.clone(),
        });
        let kept = CHANGES_KEPT.max(entries);
        while self.changes.len() > kept
            && let Some(forgotten) = self.changes.pop_front()
        {
            self.complete_from = self.complete_from.max(forgotten.revision);
        }
    }

    /// Starts from the first whole list, as of `revision`. The revisions at which entries vanished before aren't known,
    /// so that only later changes are.
    pub(crate) fn start(&mut self, revision: Revision) {
        self.complete_from = revision;
    }

    /// Returns whether there was no whole list yet.
    pub(crate) fn is_unstarted(&self) -> bool {
        self.complete_from == Revision::MAX
    }

    /// Records that a whole list brought the changes between two revisions.
    pub(crate) fn skip(&mut self, from: Revision, to: Revision) {
        if to.follows(from) {
            return;
        }
        // Others are to learn of a later era even where nothing has changed with it.
        self.last = self.last.max(Revision::new(to.era, 0));
        self.gaps.push_back(Gap { from, to });
        if self.gaps.len() > GAPS_KEPT
            && let Some(forgotten) = self.gaps.pop_front()
        {
            self.complete_from = self.complete_from.max(forgotten.to);
        }
    }

    fn is_in_gap(&self, revision: Revision) -> bool {
        let mut gaps = self.gaps.iter();
        gaps.any(|gap| gap.from < revision && revision < gap.to)
    }

    /// Returns whether changes may be missing among those after a revision: they lead from what was known then to what is
    /// known now, and an endpoint may have come and gone between.
    pub(crate) fn has_gap_after(&self, revision: Revision) -> bool {
        self.gaps.iter().any(|gap| gap.to > revision)
    }

    /// Returns the revision of the last change of each endpoint that changed after `revision`;
    /// nothing if changes since then may be missing.
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
