//! The directory that publishes the table and the endpoints, as a trait that an installation
//! implements. It can only be read.

use {
    crate::{
        gateway::revision::{Era, Revision},
        shared::ids::DataCentreId,
    },
    bytes::Bytes,
    std::{
        future::{self, Future},
        time::Duration,
    },
    thiserror::Error,
};

/// Part of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// What operators publish: the table, and orders to evacuate data centres. One topic, since each
    /// waiting call of the directory is counted.
    Operator,
    /// The endpoints' entries.
    Endpoints,
}

/// What a value of the directory is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemKey {
    /// The table.
    Table,
    /// An order to evacuate a data centre; it is in force as long as it has a value.
    Evacuation(DataCentreId),
    /// The entry of an endpoint, by a name that should be the endpoint's id.
    Endpoint(String),
}

/// One value of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// What it is about.
    pub key: ItemKey,
    /// Revision of its last change.
    pub revision: Revision,
    /// The value; nothing if it was removed, and empty if the directory sent something that isn't one.
    pub value: Option<Bytes>,
}

/// Items, and the revision up to which they are complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Items {
    /// The items.
    pub items: Vec<Item>,
    /// Revision of the directory.
    pub revision: Revision,
}

impl Items {
    /// Returns the items as those of another era.
    #[must_use]
    pub fn in_era(mut self, era: Era) -> Self {
        self.revision.era = era;
        for item in &mut self.items {
            item.revision.era = era;
        }
        self
    }
}

/// Number of topics.
pub const TOPICS: usize = 2;

/// Reports that the directory wasn't read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// The changes asked for are no longer kept; the topic has to be read whole again.
    #[error("the changes since then are no longer kept")]
    Compacted,
    /// The directory came back from an older copy of itself, so that changes are missing; the topic has to be read whole.
    #[error("the directory came back from an older copy, era {era}, revision {revision}")]
    Restored {
        /// The era that began with it.
        era: Era,
        /// Its revision now.
        revision: Revision,
    },
    /// The directory answered that it can't serve the request now.
    #[error("the directory refused: {0}")]
    Refused(String),
    /// No answer began within the limit of the call.
    #[error("the directory didn't answer: no answer in time")]
    Late,
    /// There was no usable answer; the connection can't be used any more.
    #[error("the directory didn't answer: {0}")]
    Unreachable(String),
    /// The rest of a list wasn't read: other daemons of the fleet read it.
    #[error("the rest of the list is left to others")]
    Left,
}

/// Hears how a read of the directory goes on.
pub trait ReadProgress {
    /// The directory has begun to answer.
    fn begun(&self) {}

    /// A part of a topic has come, and more follows.
    fn part(&self, _items: &[Item]) {}

    /// Returns whether the rest of a topic is to be read after so many pages, once that is known.
    fn goes_on(&self, _pages: usize) -> impl Future<Output = bool> {
        future::ready(true)
    }
}

/// For readers that only want the answer.
impl ReadProgress for () {}

/// Reads the directory. An answer has to begin within the `limit` of a call, and may then take as long as
/// it keeps coming.
pub trait Directory: 'static {
    /// Reads a topic whole.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn list(
        &self,
        topic: Topic,
        limit: Duration,
        progress: &impl ReadProgress,
    ) -> impl Future<Output = Result<Items, DirectoryError>>;

    /// Waits for changes of a topic after the revision `since`, at most for `wait`; returns no items if
    /// there were none. The limit begins after the wait.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer, [`DirectoryError::Compacted`] if changes after `since` are no
    /// longer kept.
    fn changes(
        &self,
        topic: Topic,
        since: Revision,
        wait: Duration,
        limit: Duration,
        progress: &impl ReadProgress,
    ) -> impl Future<Output = Result<Items, DirectoryError>>;
}
