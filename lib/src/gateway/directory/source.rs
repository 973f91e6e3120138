//! The directory that publishes the table and the endpoints, as a trait that an installation
//! implements. It can only be read.

use {
    bytes::Bytes,
    std::{future::Future, time::Duration},
    thiserror::Error,
};

/// Part of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// The published table.
    Table,
    /// The endpoints' entries.
    Endpoints,
}

/// One value of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Name below its topic: the endpoint's id, or empty for the table.
    pub name: String,
    /// Revision of its last change.
    pub revision: u64,
    /// The value; nothing if it was removed.
    pub value: Option<Bytes>,
}

/// Items, and the revision up to which they are complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Items {
    /// The items.
    pub items: Vec<Item>,
    /// Revision of the directory.
    pub revision: u64,
}

/// Number of topics.
pub const TOPICS: usize = 2;

/// Reports that the directory wasn't read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// The changes asked for are no longer kept; the topic has to be read whole again.
    #[error("the changes since then are no longer kept")]
    Compacted,
    /// The directory answered that it can't serve the request now.
    #[error("the directory refused: {0}")]
    Refused(String),
    /// No answer began within the limit of the call.
    #[error("the directory didn't answer: no answer in time")]
    Late,
    /// There was no usable answer; the connection can't be used any more.
    #[error("the directory didn't answer: {0}")]
    Unreachable(String),
}

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
        since: u64,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = Result<Items, DirectoryError>>;
}
