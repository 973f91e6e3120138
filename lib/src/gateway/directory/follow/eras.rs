//! Detects that the directory has begun a later era, from an answer or from reports of other daemons.

use {
    super::Follower,
    crate::gateway::{
        dialect::Dialect,
        directory::source::{Directory, DirectoryError, Items, Topic},
        revision::{Era, Revision},
    },
};

impl<D: Dialect, S: Directory> Follower<D, S> {
    /// Makes the next call read the whole topic if a later era than that of `since` was reported: the directory can't
    /// return the changes since then. Does so once for each era.
    pub(super) fn handle_later_era(&mut self) {
        if let Some(era) = self.later_era() {
            let since = self.since.unwrap_or_default();
            log::warn!(topic:? = self.topic, era:%, since:%; "directory.restored");
            self.reset_position();
        }
        self.checked_era = self.checked_era.max(self.gateway.state.borrow().era);
    }

    /// Completes when a later era than that of `since` is reported.
    pub(super) async fn later_era_reported(&self) {
        loop {
            let era_ended = self.gateway.era_ended.notified();
            if self.later_era().is_some() {
                return;
            }
            era_ended.await;
        }
    }

    /// Returns the latest reported era if it is later than that of `since` and wasn't handled yet.
    fn later_era(&self) -> Option<Era> {
        let reported = self.gateway.state.borrow().era;
        let known = self.since?.era.max(self.checked_era);
        (reported > known).then_some(reported)
    }

    /// Returns the items if they continue what is known. Items without an era get the era of `since`.
    ///
    /// # Errors
    ///
    /// Returns [`DirectoryError::Restored`] if the items are changes in a later era, since earlier changes of that era
    /// are missing. Returns [`DirectoryError::Refused`] if they are of an earlier era, since they are out of date.
    pub(super) fn check_era(&self, items: Items) -> Result<Items, DirectoryError> {
        let known = self.known_era();
        let Revision { era, .. } = items.revision;
        if era.is_unnamed() {
            let since_era = self.since.map_or(known, |since| since.era);
            return Ok(items.in_era(since_era));
        }
        if era < known {
            let reason = format!("the answer is of era {era}, but era {known} is known");
            return Err(DirectoryError::Refused(reason));
        }
        match self.since {
            Some(since) if era > since.era => Err(DirectoryError::Restored {
                era,
                revision: items.revision,
            }),
            _ => Ok(items),
        }
    }

    /// Returns the latest era that this daemon knows of.
    fn known_era(&self) -> Era {
        let topics = [Topic::Operator, Topic::Endpoints];
        let known = topics.map(|topic| self.gateway.known_revision(topic).era);
        let local = self.since.unwrap_or_default().era;
        known.into_iter().max().unwrap_or_default().max(local)
    }
}
