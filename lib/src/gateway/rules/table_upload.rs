//! May a daemon send another batch of a table's parts now?
//!
//! Inputs: the bandwidth of the host's link (bits a second), the size of the batch (bytes), when the
//! batches sent so far have gone out (microseconds of this daemon's clock).
//!
//! Rule: batches count as going out one after the other, over [`SHARE`] of the link. While those
//! before would take longer than [`BACKLOG`], another daemon's request is refused as busy, and it
//! asks one that has the table too.
//!
//! Reason: a whole fleet asks the first daemons that have a newer table. Served at once, all
//! transfers share the link, and the first one ends hardly before the last; one after the other, each
//! daemon that has the table passes it on while the next ones get it. The rest of the link is left to
//! callers' requests and to stages.
//!
//! Tests: `lib/tests/test_table_upload.rs`.

use crate::shared::units::{BitRate, ByteSize, Millis, Share, Time};

/// Share of the link that batches take.
pub const SHARE: Share = Share(0.5);

/// Longest time that batches may wait for those before them.
pub const BACKLOG: Millis = Millis(150);

/// Batches on their way out.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Uploads {
    /// When the last one has gone out.
    free: Time,
}

impl Uploads {
    /// Returns whether another batch may be sent.
    pub fn has_room(self, now: Time) -> bool {
        self.free <= now + BACKLOG
    }

    /// Returns the batches on their way once one of `size` is sent over a link; over one of unknown
    /// bandwidth it takes no time.
    #[must_use]
    pub fn with(self, now: Time, size: ByteSize, link: Option<BitRate>) -> Self {
        let Some(BitRate(rate)) = link else {
            return self;
        };
        let took = BitRate(rate * SHARE.0).time(size);
        Self {
            free: self.free.max(now) + Millis(took.as_millis() as u64),
        }
    }
}
