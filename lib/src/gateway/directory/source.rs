//! The directory that publishes the table and the endpoints, as a trait that an installation
//! implements. The trait only reads.

use {
    crate::{
        gateway::revision::{Era, Revision},
        shared::{ids::DataCentreId, units::ByteSize},
    },
    bytes::Bytes,
    std::{
        collections::HashSet,
        future::{self, Future},
        mem,
        time::Duration,
    },
    thiserror::Error,
};

/// Part of the directory that is read and followed separately.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Topic {
    /// Published by operators: the table, and orders to evacuate data centres. These are one topic, since the directory
    /// counts each call that waits for changes.
    Operator,
    /// The entries of the endpoints.
    Endpoints,
}

/// Key of a value in the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ItemKey {
    /// The published table.
    Table,
    /// An order to evacuate a data centre, in force as long as the key has a value.
    Evacuation(DataCentreId),
    /// The entry of an endpoint, under a name that should be the endpoint's id.
    Endpoint(String),
    /// An item whose key can't be read.
    Unreadable,
}

/// One value of the directory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Item {
    /// Key of the value.
    pub key: ItemKey,
    /// Revision of the last change of the value.
    pub revision: Revision,
    /// The value; `None` if it was removed, and empty if the directory sent an invalid value or an invalid item.
    pub value: Option<Bytes>,
}

impl Item {
    /// Returns about how many bytes of memory the item takes.
    fn size(&self) -> u64 {
        let name = match &self.key {
            ItemKey::Endpoint(name) => name.len(),
            ItemKey::Table | ItemKey::Evacuation(_) | ItemKey::Unreadable => 0,
        };
        let value = self.value.as_ref().map_or(0, Bytes::len);
        (size_of::<Self>() + name + value) as u64
    }
}

/// Items, and the revision up to which they are complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Items {
    /// Values of the topic, all of them or the changed ones.
    pub items: Vec<Item>,
    /// Revision of the directory up to which the items are complete.
    pub revision: Revision,
}

impl Items {
    /// Returns the items with the era set on all revisions.
    #[must_use]
    pub fn in_era(mut self, era: Era) -> Self {
        self.revision.era = era;
        for item in &mut self.items {
            item.revision.era = era;
        }
        self
    }
}

/// The part of a list that was read so far. A call that follows a failed one continues after the last page that was
/// read.
#[derive(Debug, Default)]
pub struct ListRead {
    items: Vec<Item>,
    /// Revision of the first page.
    revision: Option<Revision>,
    /// Last keys of the pages.
    seen: HashSet<Bytes>,
    /// Last key of the last page.
    cursor: Option<Bytes>,
    /// About how much memory the items take.
    size: ByteSize,
}

impl ListRead {
    /// Returns the key after which the next page begins; `None` for the first page.
    pub fn cursor(&self) -> Option<&[u8]> {
        self.cursor.as_deref()
    }

    /// Returns the number of pages that were read.
    pub fn pages(&self) -> usize {
        self.seen.len()
    }

    /// Returns the items that were read.
    pub fn items(&self) -> &[Item] {
        &self.items
    }

    /// Sets the revision of the list, which is that of its first page, and returns it.
    pub fn begin(&mut self, page: Revision) -> Revision {
        *self.revision.get_or_insert(page)
    }

    /// Adds the items of a page.
    pub fn add(&mut self, items: Vec<Item>) {
        self.size.0 += items.iter().map(Item::size).sum::<u64>();
        self.items.extend(items);
    }

    /// Returns about how much memory the items take.
    pub fn size(&self) -> ByteSize {
        self.size
    }

    /// Continues after a page with this last key. Returns false if an earlier page had the same one, so that the list
    /// doesn't advance.
    pub fn advance(&mut self, last_key: Bytes) -> bool {
        let is_new = self.seen.insert(last_key.clone());
        self.cursor = Some(last_key);
        is_new
    }

    /// Returns the items of a list that was read whole. The next call begins anew.
    pub fn take(&mut self) -> Items {
        let read = mem::take(self);
        Items {
            items: read.items,
            revision: read.revision.unwrap_or_default(),
        }
    }
}

/// Number of topics.
pub const TOPIC_COUNT: usize = 2;

/// Reason why a read of the directory failed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum DirectoryError {
    /// The directory no longer keeps the requested changes; the topic has to be read whole again.
    #[error("the directory no longer keeps the requested changes")]
    Compacted,
    /// The directory was restored from an older copy of itself, so that changes are missing; the topic has to be read
    /// whole.
    #[error("the directory was restored from an older copy: era {era}, revision {revision}")]
    Restored {
        /// Era that began with the older copy.
        era: Era,
        /// Current revision of the directory.
        revision: Revision,
    },
    /// The directory answered that it can't serve the request now, or its answer is out of date.
    #[error("the directory refused the request: {0}")]
    Refused(String),
    /// No answer began within the timeout of the call.
    #[error("the directory didn't begin to answer in time")]
    TimedOut,
    /// The connection ended before an answer began.
    #[error("the directory closed the connection: {0}")]
    Cut(String),
    /// There was no usable answer, and the connection can't be used any more.
    #[error("the directory gave no usable answer: {0}")]
    Unreachable(String),
    /// The next page of a list begins again where an earlier one did, no key of a page can be read, or the list has no
    /// end, so that the rest of the list can't be read.
    #[error("the directory's list doesn't advance, or is too long")]
    Stuck,
    /// The rest of a list wasn't read, since other daemons of the fleet read it.
    #[error("the rest of the list is left to other daemons")]
    LeftToPeers,
}

/// Receives the progress of a read of the directory.
pub trait ReadProgress {
    /// Called when the directory has begun to answer.
    fn answer_began(&self) {}

    /// Called when some items of a topic have arrived and more follow.
    fn items_received(&self, _items: &[Item]) {}

    /// Returns whether to read the rest of a topic after `pages` pages, once that is decided.
    fn reads_rest(&self, _pages: usize) -> impl Future<Output = bool> {
        future::ready(true)
    }
}

/// Ignores the progress.
impl ReadProgress for () {}

/// Reads the directory. An answer has to begin within the `limit` of a call; after that it may take any time as long as
/// its bytes keep arriving.
pub trait Directory: 'static {
    /// Reads a whole topic, from where `read` ends. If the call fails or is dropped, `read` holds the pages that were
    /// read, and a later call may continue it.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    fn list(
        &self,
        topic: Topic,
        limit: Duration,
        read: &mut ListRead,
        progress: &impl ReadProgress,
    ) -> impl Future<Output = Result<Items, DirectoryError>>;

    /// Waits for changes of a topic after the revision `since`, at most for `wait`. Returns no items if there were
    /// none. The `limit` begins after the wait.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer; [`DirectoryError::Compacted`] if the directory no longer keeps the changes after
    /// `since`.
    fn changes(
        &self,
        topic: Topic,
        since: Revision,
        wait: Duration,
        limit: Duration,
        progress: &impl ReadProgress,
    ) -> impl Future<Output = Result<Items, DirectoryError>>;
}
