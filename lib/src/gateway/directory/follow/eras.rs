//! Notices that the directory has begun another era, by an answer or by what others tell.

use {
    super::Follower,
    crate::gateway::{
        dialect::Dialect,
        directory::source::{Directory, DirectoryError, Items, Topic},
        revision::{Era, Revision},
    },
};

impl<D: Dialect, S: Directory> Follower<D, S> {
    /// Reads the topic whole if this daemon has heard of a later era than that of its place: changes since then are of no
    /// use. It does so once for each era.
    pub(super) fn look_for_era(&mut self) {
        if let Some(era) = self.later_era() {
            let since = self.since.unwrap_or_default();
            log::warn!(topic:? = self.topic, era:%, since:%; "directory.restored");
            self.list_anew();
        }
        self.era = self.era.max(self.gateway.state.borrow().era);
    }

    /// Ends when this daemon hears of a later era than that of its place.
    pub(super) async fn heard_of_era(&self) {
        loop {
            let restored = self.gateway.era_ended.notified();
            if self.later_era().is_some() {
                return;
            }
            restored.await;
        }
    }

    /// Returns the era that this daemon has heard of, if it is later than that of its place and wasn't looked for.
    fn later_era(&self) -> Option<Era> {
        let heard = self.gateway.state.borrow().era;
        let known = self.since?.era.max(self.era);
        (heard > known).then_some(heard)
    }

    /// Returns the items if they continue what is known. Those without an era are of that of its place.
    ///
    /// # Errors
    ///
    /// Returns that the directory came back from an older copy if they are changes in a later era: those before are
    /// missing. An answer of an earlier era is out of date.
    pub(super) fn check_era(&self, items: Items) -> Result<Items, DirectoryError> {
        let known = self.known_era();
        let Revision { era, .. } = items.revision;
        if era.is_unnamed() {
            let here = self.since.map_or(known, |since| since.era);
            return Ok(items.in_era(here));
        }
        if era < known {
            let reason = format!("an answer of era {era} after era {known}");
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
        let own = self.since.unwrap_or_default().era;
        known.into_iter().max().unwrap_or_default().max(own)
    }
}
