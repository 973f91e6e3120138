//! Batches of the table's parts that other daemons ask for: kept once compressed, and sent no faster than
//! the host's link allows.
//!
//! Owns the last batches and how much is on its way out. Whether there is room is the rule
//! [`table_upload`](crate::gateway::rules::table_upload).

use {
    crate::{
        gateway::{rules::table_upload::Uploads, table_parts::PartHash},
        shared::units::{BitRate, ByteSize, Time},
    },
    bytes::Bytes,
    std::collections::VecDeque,
};

/// Batches that are kept. Daemons that had the same table ask for the same batches one after the other; a table of the
/// largest size has eight.
const BATCHES_KEPT: usize = 8;

/// A compressed batch, and the parts that it holds.
#[derive(Debug, Clone)]
struct Batch {
    parts: Vec<PartHash>,
    bytes: Bytes,
}

/// Batches for other daemons.
#[derive(Debug, Clone, Default)]
pub(crate) struct PartBatches {
    kept: VecDeque<Batch>,
    uploads: Uploads,
}

impl PartBatches {
    /// Returns whether another batch may be sent.
    pub(crate) fn has_room(&self, now: Time) -> bool {
        self.uploads.may_send(now)
    }

    /// Returns a batch that was sent before.
    pub(crate) fn get(&self, parts: &[PartHash]) -> Option<Bytes> {
        let kept = self.kept.iter().find(|batch| batch.parts == parts)?;
        Some(kept.bytes.clone())
    }

    /// Keeps a batch for the next daemon that asks for it.
    pub(crate) fn keep(&mut self, parts: Vec<PartHash>, bytes: Bytes) {
        self.kept.push_back(Batch { parts, bytes });
        if self.kept.len() > BATCHES_KEPT {
            self.kept.pop_front();
        }
    }

    /// Records that a batch is sent over a link.
    pub(crate) fn record(&mut self, now: Time, bytes: &Bytes, link: Option<BitRate>) {
        let size = ByteSize(bytes.len() as u64);
        self.uploads = self.uploads.with(now, size, link);
    }
}
