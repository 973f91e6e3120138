//! Decides whether a daemon may send another batch of a table's chunks now.
//!
//! Inputs: the bandwidth of the host's link (bits per second), the size of the batch (bytes), and when the batches sent
//! so far will have been transmitted (microseconds of this daemon's clock).
//!
//! Rule: batches count as transmitted one after the other, over [`LINK_SHARE`] of the link. While those before would
//! take longer than [`MAX_BACKLOG`], another daemon's request is refused as busy, and that daemon asks another one with
//! the table.
//!
//! Reason: a whole fleet asks the first daemons that have a newer table. If all were served at once, all transfers
//! would share the link, and the first would end hardly sooner than the last. One after the other, each daemon that has
//! received the table passes it on while the next ones receive it. The rest of the link is left to callers' requests
//! and to stages.
//!
//! Tests: `lib/tests/test_table_upload.rs`.

use crate::shared::units::{BitRate, ByteSize, Millis, Share, Time};

/// Share of the link's bandwidth that batches may use.
pub const LINK_SHARE: Share = Share(0.5);

/// Longest time for which a batch may wait for those before it.
pub const MAX_BACKLOG: Millis = Millis(150);

/// Batches that are being transmitted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Uploads {
    /// Time at which the last batch will have been transmitted.
    idle_from: Time,
}

impl Uploads {
    /// Returns whether another batch may be sent.
    pub fn may_send(self, now: Time) -> bool {
        self.idle_from <= now + MAX_BACKLOG
    }

    /// Returns the state after another batch of `size` is sent over a link. Over a link of unknown bandwidth it counts
    /// as taking no time.
    #[must_use]
    pub fn with(self, now: Time, size: ByteSize, link: Option<BitRate>) -> Self {
        let Some(BitRate(rate)) = link else {
            return self;
        };
        let took = BitRate(rate * LINK_SHARE.0).time(size);
        Self {
            idle_from: self.idle_from.max(now) + Millis(took.as_millis() as u64),
        }
    }
}
