//! Follows the directory: reads a whole topic, then its changes, and reads it whole again when the directory no longer
//! keeps the changes since then. While the directory doesn't answer, everything in force stays in force.
//!
//! Owns the position in each topic's history. The rule
//! [`directory_reads`](crate::gateway::rules::directory_reads) decides when a call is due. `adopt_table`, `apply` and
//! `evacuate` apply what was read.

use {
    crate::{
        gateway::{
            dialect::Dialect,
            directory::{
                coverage::wait_for_duty,
                follow::items::{
                    DIRECTORY_SOURCE, apply_changes, apply_list, apply_operator, apply_tables,
                    read_entries,
                },
                source::{Directory, DirectoryError, Item, Items, ListRead, ReadProgress, Topic},
            },
            revision::{Era, Revision},
            rules::directory_reads::{
                AnswerTimeout, Backoff, COVER_CHECK, LastCall, PAUSE_FRACTIONS, ReadDuty,
                START_PAGES, is_cut_watch, pause_after_answer, topic_wait, wait_after,
            },
            state::Gateway,
        },
        shared::units::Time,
    },
    std::{mem, rc::Rc, time::Duration},
};

mod eras;
mod items;

/// Follows one topic as long as the process runs.
pub async fn follow<D: Dialect>(
    gateway: Rc<Gateway<D>>,
    directory: Rc<impl Directory>,
    topic: Topic,
) {
    let mut follower = Follower {
        gateway,
        directory,
        topic,
        since: None,
        began: None,
        list_began: None,
        list: ListRead::default(),
        failed_page: None,
        must_list: false,
        checked_era: Era::default(),
        has_called: false,
        last_call: None,
        is_probe: false,
        backoff: Backoff::default(),
        timeout: AnswerTimeout::default(),
    };
    loop {
        let wait = follower.wait_for_turn().await;
        follower.handle_later_era();
        let began = follower.gateway.now();
        follower.began = Some(began);
        if follower.since.is_none() && follower.list.pages() == 0 {
            follower.list_began = Some(began);
        }
        let read = follower.read(wait).await;
        follower.end_read();
        let Some(read) = read else {
            continue;
        };
        let took = follower.gateway.now().since(began);
        follower.adapt_timeout(&read, took.saturating_sub(wait));
        follower.apply(read, took, wait).await;
    }
}

/// The position of this daemon in one topic's history, and the state of its calls.
struct Follower<D: Dialect, S> {
    gateway: Rc<Gateway<D>>,
    directory: Rc<S>,
    topic: Topic,
    /// Revision up to which all changes are known; `None` if the topic has to be read whole.
    since: Option<Revision>,
    /// Time at which the last call began.
    began: Option<Time>,
    /// The part of the topic that was read, while it is read whole.
    list: ListRead,
    /// Time at which the call began that read the first page of the list.
    list_began: Option<Time>,
    /// Number of pages that were read before the last call for a list failed.
    failed_page: Option<usize>,
    /// The directory no longer kept the changes since the last read, or began a new era. The topic has to be read whole
    /// whatever other daemons report, since they may lack the same change.
    must_list: bool,
    /// Latest reported era that was compared with the era of `since`.
    checked_era: Era,
    /// A call was made. The first call of a process is made without waiting for a turn.
    has_called: bool,
    /// Result of the last call; `None` before the first one has ended.
    last_call: Option<LastCall>,
    /// The current call is made in this daemon's turn to probe the directory.
    is_probe: bool,
    backoff: Backoff,
    timeout: AnswerTimeout,
}

impl<D: Dialect, S: Directory> Follower<D, S> {
    /// Waits while peers read the directory for this daemon, or until its turn to probe the directory. Returns how long
    /// the next call may wait for changes.
    async fn wait_for_turn(&mut self) -> Duration {
        let is_first = !self.has_called;
        self.has_called = true;
        if is_first || self.gateway.read_duty() == ReadDuty::Read {
            self.skip_known_table();
            self.is_probe = false;
            return self.change_wait();
        }
        self.is_probe = true;
        let last_call = self.last_call.unwrap_or(LastCall::Answered);
        tokio::select! {
            () = wait_for_duty(&self.gateway, self.topic, last_call) => {}
            () = self.list_wanted() => {}
        }
        let known = self.gateway.known_revision(self.topic);
        self.since = self.since.map(|since| known.max(since));
        self.skip_known_table();
        // The first call doesn't wait for changes, so that peers soon receive how recent this daemon's read is.
        Duration::ZERO
    }

    /// Completes when a request needs a list of endpoints that is more recent than the last call.
    async fn list_wanted(&self) {
        if self.topic != Topic::Endpoints || self.since.is_none() {
            std::future::pending::<()>().await;
        }
        loop {
            let wanted = self.gateway.list_wanted.notified();
            if self.gateway.state.borrow().contact.wants_call(self.began) {
                return;
            }
            wanted.await;
        }
    }

    /// Returns the time for which the next call waits for changes under the settings in force.
    fn change_wait(&self) -> Duration {
        let is_wanted = self.gateway.state.borrow().contact.wants_call(self.began);
        if self.topic == Topic::Endpoints && is_wanted {
            return Duration::ZERO;
        }
        let bounds = self.gateway.settings().bounds;
        let wait = topic_wait(self.topic, bounds.directory_wait());
        wait_after(self.last_call, wait)
    }

    /// Moves the position past the changes of the operator topic that this daemon received from others, so that it
    /// doesn't read a table again that it already has. Reading a table of 0.96 MB takes 1 s on a link of 10 Mbit/s.
    fn skip_known_table(&mut self) {
        let known = self.gateway.known_revision(self.topic);
        if self.topic == Topic::Operator && known > Revision::default() && !self.must_list {
            self.since = Some(self.since.map_or(known, |since| known.max(since)));
        }
    }

    /// Calls the directory; returns `None` if the call was abandoned because it was superseded.
    async fn read(&mut self, wait: Duration) -> Option<Result<Items, DirectoryError>> {
        let mut list = mem::take(&mut self.list);
        let read = tokio::select! {
            read = self.call(wait, &mut list) => Some(read),
            () = self.superseded() => None,
            // A call that doesn't wait is awaited, so that requests that follow each other don't keep it from its end.
            () = self.list_wanted(), if !wait.is_zero() => None,
        };
        self.list = list;
        read
    }

    /// Records that no answer is being received any more.
    fn end_read(&self) {
        let mut state = self.gateway.state.borrow_mut();
        state.contact.end_answer(self.topic);
    }

    /// Completes when the current call is superseded:
    ///
    /// - for the operator topic, when another daemon has sent a table: the call would probably return the same one;
    /// - for endpoints, when the directory answers again after an outage: the connection of a call made during the
    ///   outage may get no answer. A call for the table isn't abandoned for this reason;
    /// - when peers read for this daemon again;
    /// - when a later era is reported.
    async fn superseded(&self) {
        let superseded = match self.topic {
            Topic::Operator => &self.gateway.table_changed,
            Topic::Endpoints => &self.gateway.directory_regained,
        };
        tokio::select! {
            () = superseded.notified() => {}
            () = self.covered_by_peers() => {}
            () = self.later_era_reported() => {}
        }
    }

    /// Completes when peers read the directory for this daemon again, if the current call asks for changes and no
    /// answer has begun. Without this, a former substitute also reads the next table from the directory.
    async fn covered_by_peers(&self) {
        if self.since.is_none() {
            // A whole list is needed whichever daemon reads changes.
            std::future::pending::<()>().await;
        }
        loop {
            tokio::time::sleep(COVER_CHECK.to_duration()).await;
            let is_receiving = self.gateway.state.borrow().contact.is_receiving(self.topic);
            if !is_receiving && self.gateway.is_covered() {
                return;
            }
        }
    }

    async fn call(&self, wait: Duration, list: &mut ListRead) -> Result<Items, DirectoryError> {
        let (directory, topic) = (&self.directory, self.topic);
        let timeout = self.timeout.to_duration();
        match self.since {
            None => directory.list(topic, timeout, list, self).await,
            Some(since) => directory.changes(topic, since, wait, timeout, self).await,
        }
    }

    /// Adapts the timeout of the next answer to this one, which took the time `took` beyond its wait for changes.
    fn adapt_timeout(&mut self, read: &Result<Items, DirectoryError>, took: Duration) {
        self.timeout = match read {
            Err(DirectoryError::TimedOut) => self.timeout.after_timeout(),
            _ => self.timeout.after_answer(took),
        };
    }

    /// Applies the result of a call that waited up to `wait` for changes and took the time `took`, and pauses until the
    /// next call is due.
    async fn apply(&mut self, read: Result<Items, DirectoryError>, took: Duration, wait: Duration) {
        match read.and_then(|items| self.check_era(items)) {
            Ok(items) => self.apply_items(items).await,
            Err(DirectoryError::Compacted) => {
                log::info!(topic:? = self.topic; "directory.compacted");
                self.reset_position();
            }
            Err(DirectoryError::Restored { era, revision }) => {
                let since = self.since.unwrap_or_default();
                log::warn!(topic:? = self.topic, era:%, since:%, revision:%; "directory.restored");
                self.checked_era = self.checked_era.max(era);
                self.gateway.record_era(era);
                self.reset_position();
            }
            Err(DirectoryError::LeftToPeers) => {
                log::info!(topic:? = self.topic; "directory.left");
                self.last_call = Some(LastCall::FirstFailed);
                self.list = ListRead::default();
            }
            Err(error) => {
                if self.since.is_none() {
                    self.handle_failed_list(&error);
                }
                self.back_off(&error, took, wait).await;
            }
        }
    }

    /// Decides how to go on after a call for a list failed. The next call continues after the last page that was read.
    /// If it can't, since the list doesn't advance or the same page failed before, what was read is used, and the next
    /// call begins anew.
    fn handle_failed_list(&mut self, error: &DirectoryError) {
        let pages = self.list.pages();
        let is_stuck = *error == DirectoryError::Stuck;
        if !is_stuck && self.failed_page.replace(pages) != Some(pages) {
            return;
        }
        self.failed_page = None;
        let list = mem::take(&mut self.list);
        let gateway = &self.gateway;
        match self.topic {
            // Evacuations of pages that weren't read are known from peers at best. Without a table no request is served.
            Topic::Operator => apply_tables(gateway, list.items()),
            Topic::Endpoints if is_stuck => {
                let entries = read_entries(gateway, list.items());
                gateway.end_partial_list(entries, DIRECTORY_SOURCE);
            }
            // The endpoints of a first list are in use since each page arrived; a list in force stays.
            Topic::Endpoints => {}
        }
    }

    async fn apply_items(&mut self, items: Items) {
        self.gateway.directory_answered(self.topic);
        self.gateway.probe_answered();
        let whole = self.since.is_none();
        self.last_call = Some(LastCall::Answered);
        self.must_list = false;
        self.since = Some(items.revision);
        self.failed_page = None;
        self.gateway.record_era(items.revision.era);
        match self.topic {
            Topic::Operator => apply_operator(&self.gateway, &items, whole),
            Topic::Endpoints if whole => {
                apply_list(&self.gateway, &items);
                self.record_changes(self.list_began);
            }
            Topic::Endpoints => {
                apply_changes(&self.gateway, &items);
                self.record_changes(self.began);
            }
        }
        self.gateway.announce_read(self.topic);
        self.backoff = Backoff::default();
        let is_steady = self.gateway.is_directory_steady();
        if let Some(pause) = pause_after_answer(self.topic, is_steady) {
            tokio::time::sleep(pause).await;
        }
    }

    /// Records that this daemon knows all changes of endpoints up to a time.
    fn record_changes(&self, until: Option<Time>) {
        let mut state = self.gateway.state.borrow_mut();
        state.contact.record_changes(until);
        drop(state);
        self.gateway.list_read.notify_waiters();
    }

    fn reset_position(&mut self) {
        self.must_list = true;
        self.since = None;
        self.list = ListRead::default();
        self.failed_page = None;
    }

    async fn back_off(&mut self, error: &DirectoryError, took: Duration, wait: Duration) {
        let took_ms = took.as_millis() as u64;
        let (pages, items) = (self.list.pages(), self.list.items().len());
        log::info!(topic:? = self.topic, took_ms, pages, items, error:% = error; "directory.read_failed");
        self.last_call = Some(LastCall::after_failure(self.last_call));
        if is_cut_watch(error, took, wait) {
            self.gateway.metrics.count_failed_read();
        } else {
            self.gateway.end_substitution();
            self.gateway.directory_failed(&error.to_string());
        }
        let fraction = rand::random_range(PAUSE_FRACTIONS);
        tokio::time::sleep(self.backoff.pause(fraction)).await;
        let now = self.gateway.now();
        let state = self.gateway.state.borrow();
        self.backoff = self.backoff.next(state.reader(now), state.has_list);
    }
}

impl<D: Dialect, S> ReadProgress for Follower<D, S> {
    fn answer_began(&self) {
        let mut state = self.gateway.state.borrow_mut();
        state.contact.begin_answer(self.topic);
    }

    /// Waits until this daemon knows its fleet. In a large fleet a few daemons read a long list, each in its turn; the
    /// others receive it from them.
    async fn reads_rest(&self, pages: usize) -> bool {
        if self.is_probe || pages < START_PAGES || self.gateway.read_duty() == ReadDuty::Read {
            return true;
        }
        while !self.gateway.knows_fleet() {
            tokio::time::sleep(COVER_CHECK.to_duration()).await;
        }
        !self.gateway.is_spread()
    }

    /// Uses the endpoints of a first list before the rest of it has arrived.
    fn items_received(&self, items: &[Item]) {
        if self.topic == Topic::Endpoints {
            let entries = read_entries(&self.gateway, items);
            self.gateway.add_partial_list(entries);
        }
    }
}
