//! Splits a table's bytes into chunks, so that a daemon fetches only those that it lacks.
//!
//! Chunk boundaries depend on the content: a change moves only the boundaries near it, and two tables
//! share the chunks of their common content. A chunk is identified by its hash. [`TableChunks`] has the
//! chunks of a whole table, [`PartialTable`] those that a daemon already has of a table that it fetches; they are
//! kept when a source fails. Uses `fastcdc` to find the boundaries and `flate2` to compress the
//! batches in which chunks are sent.

use {
    crate::gateway::{revision::Era, table::Version},
    bytes::Bytes,
    fastcdc::v2020::FastCDC,
    flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder},
    foldhash::HashMap,
    serde::{Deserialize, Serialize},
    std::io::{self, Read, Write},
    thiserror::Error,
    xxhash_rust::xxh3::xxh3_64,
};

/// Smallest, usual and largest chunk, in bytes. A route takes about 200 bytes; the chunk list of a table of 0.85
/// MB takes 3 KB.
const MIN_CHUNK: usize = 1 << 10;
const AVERAGE_CHUNK: usize = 4 << 10;
const MAX_CHUNK: usize = 16 << 10;

/// Size at which a batch is complete, in bytes before compression. A batch takes about 30 ms on an idle network link
/// of 10 Mbit/s, so other messages on the same link wait no longer than that.
const BATCH_BYTES: usize = 128 << 10;

/// Largest table, in bytes: as large as the largest message between daemons.
const MAX_TABLE: usize = 8 << 20;

/// XXH3 hash of a chunk's bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ChunkHash(pub u64);

/// Hash and length of one chunk of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkMark {
    /// Hash of the chunk's bytes.
    #[serde(rename = "h")]
    pub hash: ChunkHash,
    /// Length of the chunk, in bytes.
    #[serde(rename = "l")]
    pub length: u32,
}

/// The list of a table's chunks in order, without their bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkList {
    /// Version of the table.
    pub version: Version,
    /// Fingerprint of the table's bytes.
    pub fingerprint: u64,
    /// Number of the directory revision up to which the sender knows of no newer table.
    pub revision: u64,
    /// Era of the directory revision; absent from a daemon of an older release, which knows no eras.
    #[serde(default, skip_serializing_if = "Era::is_unnamed")]
    pub era: Era,
    /// Hashes and lengths of the chunks, in the table's order.
    pub marks: Vec<ChunkMark>,
}

/// Reason for which received chunks or their list can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum ChunkError {
    /// The chunks of the list have more bytes than a table may have.
    #[error("the table in the chunk list is larger than {MAX_TABLE} bytes")]
    TooLarge,
    /// A batch can't be decompressed, or doesn't contain the requested chunks.
    #[error("the batch doesn't contain the requested chunks")]
    Batch,
    /// A chunk is missing, or the joined chunks don't have the fingerprint of the list.
    #[error("the joined chunks don't have the announced fingerprint of the table")]
    Fingerprint,
}

/// The chunks of a whole table.
#[derive(Debug, Clone)]
pub struct TableChunks {
    marks: Vec<ChunkMark>,
    chunks: HashMap<ChunkHash, Bytes>,
}

impl TableChunks {
    /// Splits a table's bytes into chunks.
    pub fn new(bytes: &Bytes) -> Self {
        let cuts = FastCDC::new(bytes, MIN_CHUNK, AVERAGE_CHUNK, MAX_CHUNK);
        let chunks: Vec<Bytes> = cuts
            .map(|cut| bytes.slice(cut.offset..cut.offset + cut.length))
            .collect();
        let mark = |chunk: &Bytes| ChunkMark {
            hash: hash(chunk),
            length: chunk.len() as u32,
        };
        let marks: Vec<ChunkMark> = chunks.iter().map(mark).collect();
        let hashes = marks.iter().map(|mark| mark.hash);
        Self {
            chunks: hashes.zip(chunks).collect(),
            marks,
        }
    }

    /// Returns the hashes and lengths of the chunks, in the table's order.
    pub fn marks(&self) -> &[ChunkMark] {
        &self.marks
    }

    /// Returns a compressed batch of the wanted chunks; `None` if the table lacks any of them.
    pub fn batch(&self, wanted: &[ChunkHash]) -> Option<Vec<u8>> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        for hash in wanted {
            let chunk = self.chunks.get(hash)?;
            encoder
                .write_all(chunk)
                .expect("writing into memory doesn't fail");
        }
        let batch = encoder.finish();
        Some(batch.expect("writing into memory doesn't fail"))
    }
}

/// A table of which a daemon has some chunks.
#[derive(Debug, Clone)]
pub struct PartialTable {
    list: ChunkList,
    chunks: HashMap<ChunkHash, Bytes>,
    /// Compressed bytes received so far.
    received: usize,
}

impl PartialTable {
    /// Returns the table with the chunks that the daemon already has: those of its `current` table, and those of
    /// a table `begun` that it began to fetch before.
    ///
    /// # Errors
    ///
    /// Returns an error if the table would be too large.
    pub fn new(
        list: ChunkList,
        current: Option<&TableChunks>,
        begun: Option<PartialTable>,
    ) -> Result<Self, ChunkError> {
        let size: usize = list.marks.iter().map(|mark| mark.length as usize).sum();
        if size > MAX_TABLE {
            return Err(ChunkError::TooLarge);
        }
        let received = begun.as_ref().map_or(0, |begun| begun.received);
        let begun = begun.map(|begun| begun.chunks).unwrap_or_default();
        let find = |hash: &ChunkHash| {
            let held = current.and_then(|current| current.chunks.get(hash));
            held.or_else(|| begun.get(hash)).cloned()
        };
        let known = list
            .marks
            .iter()
            .filter_map(|mark| Some((mark.hash, find(&mark.hash)?)));
        Ok(Self {
            chunks: known.collect(),
            list,
            received,
        })
    }

    /// Returns the chunk list of the table.
    pub fn list(&self) -> &ChunkList {
        &self.list
    }

    /// Returns the number of compressed bytes received so far.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Returns the next chunks to request, in the table's order; empty if the table is complete.
    pub fn missing(&self) -> Vec<ChunkMark> {
        let mut size = 0;
        let mut missing: Vec<ChunkMark> = Vec::new();
        for mark in &self.list.marks {
            if self.chunks.contains_key(&mark.hash) || missing.contains(mark) {
                continue;
            }
            missing.push(*mark);
            size += mark.length as usize;
            if size >= BATCH_BYTES {
                break;
            }
        }
        missing
    }

    /// Adds a batch with the wanted chunks.
    ///
    /// # Errors
    ///
    /// Returns an error, and adds nothing, if the batch doesn't begin with the wanted chunks in their order.
    pub fn add(&mut self, wanted: &[ChunkMark], batch: &[u8]) -> Result<(), ChunkError> {
        let chunks = read_batch(wanted, batch).map_err(|_| ChunkError::Batch)?;
        let hashes = wanted.iter().map(|mark| mark.hash);
        if !hashes.clone().eq(chunks.iter().map(hash)) {
            return Err(ChunkError::Batch);
        }
        self.chunks.extend(hashes.zip(chunks));
        self.received += batch.len();
        Ok(())
    }

    /// Joins the chunks of a complete table.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is missing, or if the result isn't the announced table.
    pub fn join(&self) -> Result<Bytes, ChunkError> {
        let chunks = self
            .list
            .marks
            .iter()
            .map(|mark| self.chunks.get(&mark.hash));
        let chunks: Option<Vec<&Bytes>> = chunks.collect();
        let chunks = chunks.ok_or(ChunkError::Fingerprint)?;
        let bytes: Vec<u8> = chunks.into_iter().flatten().copied().collect();
        if xxh3_64(&bytes) != self.list.fingerprint {
            return Err(ChunkError::Fingerprint);
        }
        Ok(bytes.into())
    }
}

fn hash(chunk: &Bytes) -> ChunkHash {
    ChunkHash(xxh3_64(chunk))
}

/// Decompresses a batch into chunks of the wanted lengths.
fn read_batch(wanted: &[ChunkMark], batch: &[u8]) -> io::Result<Vec<Bytes>> {
    let mut decoder = DeflateDecoder::new(batch);
    let mut read = |mark: &ChunkMark| {
        let mut chunk = vec![0; mark.length as usize];
        decoder.read_exact(&mut chunk)?;
        Ok(Bytes::from(chunk))
    };
    wanted.iter().map(&mut read).collect()
}
