//! A table's bytes as parts, so that a daemon fetches those that it lacks.
//!
//! Parts are cut where the content says so: a change moves the cuts around itself alone, and two tables
//! share the parts of all that they have in common. A part is known by its hash. [`TableParts`] are the
//! parts of a whole table, [`PartialTable`] those that a daemon has of one that it fetches; nothing of a
//! partial table is lost when a source fails. Relies on `fastcdc` for the cuts and on `flate2` for the
//! batches in which parts are sent.

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

/// Smallest, usual and largest part, in bytes. A route takes about 200 bytes; the list of the parts of a table of 0.85
/// MB takes 3 KB.
const SMALLEST: usize = 1 << 10;
const USUAL: usize = 4 << 10;
const LARGEST: usize = 16 << 10;

/// Bytes of parts, not compressed, from which on a batch isn't made larger. A batch takes about 30 ms on an idle link
/// of 10 Mbit/s, and other messages on its link wait no longer.
const BATCH_BYTES: usize = 128 << 10;

/// Largest table, in bytes: as large as a message between daemons.
const LARGEST_TABLE: usize = 8 << 20;

/// Hash of a part's bytes: their XXH3.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PartHash(pub u64);

/// One part of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartMark {
    /// Hash of its bytes.
    #[serde(rename = "h")]
    pub hash: PartHash,
    /// Number of its bytes.
    #[serde(rename = "l")]
    pub length: u32,
}

/// The parts of a table, in their order, without their bytes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartList {
    /// Version of the table.
    pub version: Version,
    /// Fingerprint of its bytes.
    pub fingerprint: u64,
    /// Revision of the directory up to which its sender knows of no newer table.
    pub revision: u64,
    /// Its era; nothing from a daemon of a release that knows none.
    #[serde(default, skip_serializing_if = "Era::is_unnamed")]
    pub era: Era,
    /// Its parts.
    pub marks: Vec<PartMark>,
}

/// Why parts can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum PartsError {
    /// The list names more bytes than a table may have.
    #[error("the table is too large")]
    TooLarge,
    /// A batch can't be decompressed, or doesn't hold the parts that were asked for.
    #[error("a batch doesn't hold the parts that were asked for")]
    Batch,
    /// The parts don't make up the table that was announced.
    #[error("the parts don't make up the table")]
    Fingerprint,
}

/// The parts of a whole table.
#[derive(Debug, Clone)]
pub struct TableParts {
    marks: Vec<PartMark>,
    parts: HashMap<PartHash, Bytes>,
}

impl TableParts {
    /// Cuts a table's bytes into parts.
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

    /// Returns the parts' marks in their order.
    pub fn marks(&self) -> &[PartMark] {
        &self.marks
    }

    /// Returns a compressed batch of parts; nothing if there is one that the table doesn't have.
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

/// A table of which a daemon has some parts.
#[derive(Debug, Clone)]
pub struct PartialTable {
    list: PartList,
    parts: HashMap<PartHash, Bytes>,
    /// Compressed bytes received so far.
    received: usize,
}

impl PartialTable {
    /// Starts with what a daemon has: the parts of its own table, and those of another one that it
    /// began to fetch.
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

    /// Returns the list of its parts.
    pub fn list(&self) -> &PartList {
        &self.list
    }

    /// Returns the compressed bytes that were received for it.
    pub fn received(&self) -> usize {
        self.received
    }

    /// Returns the next parts to ask for, in the table's order; none if it is whole.
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

    /// Adds a batch that holds the wanted parts.
    ///
    /// # Errors
    ///
    /// Returns an error, and adds nothing, if it holds anything else.
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

    /// Joins the parts of a table that is whole.
    ///
    /// # Errors
    ///
    /// Returns an error if they don't make up the announced table.
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

/// Decompresses a batch into parts of the wanted lengths.
fn read_batch(wanted: &[PartMark], batch: &[u8]) -> io::Result<Vec<Bytes>> {
    let mut decoder = DeflateDecoder::new(batch);
    let mut read = |mark: &PartMark| {
        let mut part = vec![0; mark.length as usize];
        decoder.read_exact(&mut part)?;
        Ok(Bytes::from(part))
    };
    wanted.iter().map(&mut read).collect()
}
