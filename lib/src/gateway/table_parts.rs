//! Splits a table's bytes into chunks, so that a daemon fetches only those that it lacks.
//!
//! Chunk boundaries depend on the content: a change moves only the boundaries near it, and two tables
//! share the chunks of their common content. A chunk is identified by its hash. [`TableParts`] has the
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
const SMALLEST: usize = 1 << 10;
const USUAL: usize = 4 << 10;
const LARGEST: usize = 16 << 10;

/// Size at which a batch is complete, in bytes before compression. A batch takes about 30 ms on an idle network link
/// of 10 Mbit/s, so other messages on the same link wait no longer than that.
const BATCH_BYTES: usize = 128 << 10;

/// Largest table, in bytes: as large as the largest message between daemons.
const LARGEST_TABLE: usize = 8 << 20;

/// XXH3 hash of a chunk's bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartHash(pub u64);

/// Hash and length of one chunk of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartMark {
    /// Hash of the chunk's bytes.
    #[serde(rename = "h")]
    pub hash: PartHash,
    /// Length of the chunk, in bytes.
    #[serde(rename = "l")]
    pub length: u32,
}

/// The list of a table's chunks in order, without their bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartList {
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
    pub marks: Vec<PartMark>,
}

/// Why received chunks or their list can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PartsError {
    /// The chunks of the list have more bytes than a table may have.
    #[error("the table in the chunk list is larger than {LARGEST_TABLE} bytes")]
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
pub struct TableParts {
    marks: Vec<PartMark>,
    parts: HashMap<PartHash, Bytes>,
}

impl TableParts {
    /// Splits a table's bytes into chunks.
    pub fn new(bytes: &Bytes) -> Self {
        let cuts = FastCDC::new(bytes, SMALLEST, USUAL, LARGEST);
        let parts: Vec<Bytes> = cuts
            .map(|cut| bytes.slice(cut.offset..cut.offset + cut.length))
            .collect();
        let mark = |part: &Bytes| PartMark {
            hash: hash(part),
            length: part.len() as u32,
        };
        let marks: Vec<PartMark> = parts.iter().map(mark).collect();
        let hashes = marks.iter().map(|mark| mark.hash);
        Self {
            parts: hashes.zip(parts).collect(),
            marks,
        }
    }

    /// Returns the hashes and lengths of the chunks, in the table's order.
    pub fn marks(&self) -> &[PartMark] {
        &self.marks
    }

    /// Returns a compressed batch of the wanted chunks; `None` if the table lacks any of them.
    pub fn batch(&self, wanted: &[PartHash]) -> Option<Vec<u8>> {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        for hash in wanted {
            let part = self.parts.get(hash)?;
            encoder
                .write_all(part)
                .expect("writing into memory doesn't fail");
        }
        let batch = encoder.finish();
        Some(batch.expect("writing into memory doesn't fail"))
    }
}

/// A table of which a daemon has some chunks.
#[derive(Debug, Clone)]
pub struct PartialTable {
    list: PartList,
    parts: HashMap<PartHash, Bytes>,
    /// Compressed bytes received so far.
    received: usize,
}

impl PartialTable {
    /// Returns the table with the chunks that the daemon already has: those of its current table `own`, and those of
    /// a table `begun` that it began to fetch before.
    ///
    /// # Errors
    ///
    /// Returns an error if the table would be too large.
    pub fn new(
        list: PartList,
        own: Option<&TableParts>,
        begun: Option<PartialTable>,
    ) -> Result<Self, PartsError> {
        let size: usize = list.marks.iter().map(|mark| mark.length as usize).sum();
        if size > LARGEST_TABLE {
            return Err(PartsError::TooLarge);
        }
        let received = begun.as_ref().map_or(0, |begun| begun.received);
        let begun = begun.map(|begun| begun.parts).unwrap_or_default();
        let find = |hash: &PartHash| {
            let own = own.and_then(|own| own.parts.get(hash));
            own.or_else(|| begun.get(hash)).cloned()
        };
        let known = list
            .marks
            .iter()
            .filter_map(|mark| Some((mark.hash, find(&mark.hash)?)));
        Ok(Self {
            parts: known.collect(),
            list,
            received,
        })
    }

    /// Returns the chunk list of the table.
    pub fn list(&self) -> &PartList {
        &self.list
    }

    /// Returns the number of compressed bytes received so far.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Returns the next chunks to request, in the table's order; empty if the table is complete.
    pub fn missing(&self) -> Vec<PartMark> {
        let mut size = 0;
        let mut missing: Vec<PartMark> = Vec::new();
        for mark in &self.list.marks {
            if self.parts.contains_key(&mark.hash) || missing.contains(mark) {
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
    /// Returns an error, and adds nothing, if the batch contains anything else.
    pub fn add(&mut self, wanted: &[PartMark], batch: &[u8]) -> Result<(), PartsError> {
        let parts = read_batch(wanted, batch).map_err(|_| PartsError::Batch)?;
        let hashes = wanted.iter().map(|mark| mark.hash);
        if !hashes.clone().eq(parts.iter().map(hash)) {
            return Err(PartsError::Batch);
        }
        self.parts.extend(hashes.zip(parts));
        self.received += batch.len();
        Ok(())
    }

    /// Joins the chunks of a complete table.
    ///
    /// # Errors
    ///
    /// Returns an error if a chunk is missing, or if the result isn't the announced table.
    pub fn join(&self) -> Result<Bytes, PartsError> {
        let parts = self
            .list
            .marks
            .iter()
            .map(|mark| self.parts.get(&mark.hash));
        let parts: Option<Vec<&Bytes>> = parts.collect();
        let parts = parts.ok_or(PartsError::Fingerprint)?;
        let bytes: Vec<u8> = parts.into_iter().flatten().copied().collect();
        if xxh3_64(&bytes) != self.list.fingerprint {
            return Err(PartsError::Fingerprint);
        }
        Ok(bytes.into())
    }
}

fn hash(part: &Bytes) -> PartHash {
    PartHash(xxh3_64(part))
}

/// Decompresses a batch into chunks of the wanted lengths.
fn read_batch(wanted: &[PartMark], batch: &[u8]) -> io::Result<Vec<Bytes>> {
    let mut decoder = DeflateDecoder::new(batch);
    let mut read = |mark: &PartMark| {
        let mut part = vec![0; mark.length as usize];
        decoder.read_exact(&mut part)?;
        Ok(Bytes::from(part))
    };
    wanted.iter().map(&mut read).collect()
}
