//! Records whether reads of the directory succeed, and logs when the directory is lost and regained. A daemon that
//! leaves the reads to peers treats an outage of theirs as an outage here.
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
        state.contact.record_failure(now);
        drop(state);
        self.metrics.count_failed_read();
        if !was_lost {
            log::warn!(error; "directory.lost");
        }
    }

    /// Records an outage at a daemon that doesn't read, if peers have reported reads: the directory hasn't answered any
    /// of them for too long. Without this, a daemon that reads only after the outage removes endpoints whose entries
    /// lapsed during it.
    pub(crate) fn record_outage(&self) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if state.peers.read_age(now).is_some() {
            state.contact.record_failure(now);
        }
    }

    /// Records that the directory is in an era. A later one is announced at once: daemons that wait for changes of an
    /// earlier era would otherwise detect it only when their calls end.
    pub(crate) fn record_era(&self, era: Era) {
        let mut state = self.state.borrow_mut();
        if era <= state.era || !era.is_plausible() {
            return;
        }
        state.era = era;
        drop(state);
        self.era_ended.notify_waiters();
        self.announcement.notify_one();
    }

    /// Returns whether the directory has answered this daemon without a failure for a while, and no endpoint is
    /// unconfirmed.
    pub fn is_directory_steady(&self) -> bool {
        let now = self.now();
        let state = self.state.borrow();
        state.contact.reads.is_steady(now) && state.catalogue.unconfirmed_count() == 0
    }
}
