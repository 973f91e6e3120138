//! The directory that publishes the table and the endpoints; it can only be read.

use {bytes::Bytes, std::future::Future, std::time::Duration, thiserror::Error};

/// Which part of the directory is meant.
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
    /// The value; nothing if it was taken away.
    pub value: Option<Bytes>,
}

/// Items together with the revision up to which they tell everything.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Items {
    /// The items.
    pub items: Vec<Item>,
    /// Revision of the directory.
    pub revision: u64,
}

/// Number of topics.
pub const TOPICS: usize = 2;

/// Why the directory wasn't read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// The changes asked for are no longer kept; the whole has to be read again.
    #[error("the changes since then are no longer kept")]
    Compacted,
    /// The directory said that it can't answer now.
    #[error("the directory refused: {0}")]
    Refused(String),
    /// There was no usable answer; the connection is of no more use.
    #[error("the directory didn't answer: {0}")]
    Unreachable(String),
}

/// Reads the directory; each call has its own bound in time.
pub trait Directory: 'static {
    /// Reads everything of a topic.
    fn list(&self, topic: Topic) -> impl Future<Output = Result<Items, DirectoryError>>;

    /// Waits for changes of a topic after a revision, at most for `wait`.
    fn changes(
        &self,
        topic: Topic,
        since: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Items, DirectoryError>>;
}
