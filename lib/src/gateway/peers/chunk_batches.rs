//! Batches of the table's chunks that other daemons request: cached after compression, and sent no faster than
//! the host's network link allows.
//!
//! Owns the cached batches and the record of uploads. Whether another batch may be sent is decided by the rule
//! [`table_upload`](crate::gateway::rules::table_upload).

use {
    crate::{
        gateway::{rules::table_upload::Uploads, table_chunks::ChunkHash},
        shared::units::{BitRate, ByteSize, Time},
    },
    bytes::Bytes,
    std::collections::VecDeque,
};

/// Number of cached batches. Daemons that had the same previous table request the same batches one after the other; a
/// table of the largest size has eight.
const CACHED_BATCHES: usize = 8;

/// A compressed batch, and the hashes of the chunks in it.
#[derive(Debug, Clone)]
struct Batch {
    chunks: Vec<ChunkHash>,
    bytes: Bytes,
}

/// The cached batches, and the uploads to other daemons.
#[derive(Debug, Clone, Default)]
pub(crate) struct ChunkBatches {
    cached: VecDeque<Batch>,
    uploads: Uploads,
}

impl ChunkBatches {
    /// Returns whether another batch may be sent.
    pub(crate) fn may_send(&self, now: Time) -> bool {
        self.uploads.may_send(now)
    }

    /// Returns the cached batch of these chunks; `None` if there is none.
    pub(crate) fn get(&self, chunks: &[ChunkHash]) -> Option<Bytes> {
        let cached = self.cached.iter().find(|batch| batch.chunks == chunks)?;
        Some(cached.bytes.clone())
    }

    /// Caches a batch for the next daemon that requests it, and drops the oldest one if there are too many.
    pub(crate) fn insert(&mut self, chunks: Vec<ChunkHash>, bytes: Bytes) {
        self.cached.push_back(Batch { chunks, bytes });
        if self.cached.len() > CACHED_BATCHES {
            self.cached.pop_front();
        }
    }

    /// Records that a batch is sent; `link` is the bit rate of the host's network link, if it is known.
    pub(crate) fn record(&mut self, now: Time, bytes: &Bytes, link: Option<BitRate>) {
        let size = ByteSize(bytes.len() as u64);
        self.uploads = self.uploads.with(now, size, link);
    }
}
