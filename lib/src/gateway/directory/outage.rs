//! Records the reads of the directory, and logs when it is lost and regained. A daemon that leaves the reading
//! to others takes their outage for its own.
//!
//! Relies on [`DirectoryContact`](super::contact::DirectoryContact), which holds the times.

use crate::gateway::{dialect::Dialect, directory::source::Topic, revision::Era, state::Gateway};

impl<D: Dialect> Gateway<D> {
    /// Records that the directory answered for a topic.
    pub fn directory_answered(&self, topic: Topic) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let before = state.contact.reads;
        state.contact.record_answer(now, topic);
        drop(state);
        if before.is_lost() {
            let for_ms = before.failed.map_or(0.0, |failed| now.millis_since(failed));
            log::info!(for_ms; "directory.regained");
            self.directory_regained.notify_waiters();
        }
    }

    /// Records that a read of the directory failed, for the reason `error`.
    pub fn directory_failed(&self, error: &str) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let was_lost = state.contact.reads.is_lost();
        state.contact.reads.failed = Some(now);
        state.catalogue.extend_suspects(now);
        drop(state);
        self.metrics.count_failed_read();
        if !was_lost {
            log::warn!(error; "directory.lost");
        }
    }

    /// Records an outage for a daemon that doesn't read, if those live that should: the directory hasn't answered any
    /// of them for too long. Without it, a daemon that reads only after the outage takes endpoints for gone whose
    /// entries lapsed meanwhile.
    pub(crate) fn note_outage(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.peers.read_age(now).is_some() {
            state.contact.reads.failed = Some(now);
            state.catalogue.extend_suspects(now);
        }
    }

    /// Records that the directory is in an era. Others that wait for changes of an earlier one would hear of it only when
    /// their calls end.
    pub(crate) fn hear_era(&self, era: Era) {
        let mut state = self.state.borrow_mut();
        if era <= state.era {
            return;
        }
        state.era = era;
        drop(state);
        self.era_ended.notify_waiters();
        self.announcement.notify_one();
    }

    /// Returns whether the directory has answered this daemon without a failure for a while, and no
    /// entry is suspect any more.
    pub fn is_directory_steady(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        state.contact.reads.is_steady(now) && state.catalogue.suspects() == 0
    }
}
