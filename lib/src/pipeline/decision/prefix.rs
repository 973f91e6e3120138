//! Which engines probably have the start of a prompt in their caches?
//!
//! Inputs: the prompts sent to each engine, the engines' own cache events, and the time. Output: for a prompt, the
//! engines assumed to hold its longest known prefix, and the length of that prefix in blocks of [`BLOCK_BYTES`] bytes.
//!
//! Rule: the whole blocks of a prompt are hashed in a chain, so that equal hashes mean equal prefixes. An engine is
//! assumed to hold a block from the time at which the block was sent to it, or reported by it, until it reports that it
//! has evicted the block, or for [`ENTRY_LIFETIME`]. For each block at most [`MAX_HOLDERS`] engines are remembered, the
//! most recent ones.
//!
//! Reason: engines report late and with gaps, so an entry may be wrong and has to expire. An engine isn't preferred for
//! holding a prefix as such: the work that it saves makes its finish earlier ([`call_costs`](super::call_costs)), so a
//! long queue outweighs it. Measurements: `docs/MEASUREMENTS.md`, "Prefix affinity".

use {
    crate::shared::{
        ids::MemberSerial,
        units::{Millis, Time},
    },
    foldhash::HashMap,
    serde::{Deserialize, Serialize},
    std::sync::Arc,
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Bytes of one block of a prompt. The blocks of the engines' cache events have the same size (`docs/PROTOCOLS.md`).
pub const BLOCK_BYTES: usize = 512;

/// Largest number of blocks of a prompt that are hashed (32 KB); bounds the cost of a prompt.
const MAX_BLOCKS: usize = 64;

/// Number of blocks in each of the two generations of a [`PrefixIndex`]. Bounds the memory, which `bounded_memory` in
/// `test_prefix.rs` checks.
const GENERATION_BLOCKS: usize = 8_192;

/// Largest number of engines remembered for one block.
pub const MAX_HOLDERS: usize = 4;

/// Age after which an entry no longer counts.
pub const ENTRY_LIFETIME: Millis = Millis(60_000);

/// Hashes of a prompt's blocks. Each one covers the whole prefix up to the end of its block.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefix(Arc<[u64]>);

impl Prefix {
    /// Hashes the whole blocks of an input.
    pub fn of(input: &[u8]) -> Self {
        let mut last = 0;
        let hashes = input
            .chunks_exact(BLOCK_BYTES)
            .take(MAX_BLOCKS)
            .map(|block| {
                last = xxh3_64_with_seed(block, last);
                last
            })
            .collect();
        Self(hashes)
    }

    /// Returns the hashes, that of the shortest prefix first.
    pub fn blocks(&self) -> &[u64] {
        &self.0
    }
}

/// One change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Hash of the prefix that ends with the block.
    pub block: u64,
    /// Set if the engine has cached the block, unset if it has evicted it.
    pub held: bool,
}

/// Changes of an engine's cache that are numbered above a given sequence number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the last change in `events`, or the given one if there is none. The next read asks for the
    /// changes above it.
    pub next: u64,
    /// Changes reported, oldest first; those that the engine no longer has are missing.
    pub events: Vec<CacheEvent>,
}

/// An engine that is assumed to hold a prefix of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// Serial of the engine in its pool.
    pub serial: MemberSerial,
    /// Length of the prefix in blocks.
    pub blocks: usize,
}

/// Entry of an engine that is assumed to hold a block since a time.
#[derive(Debug, Clone, Copy)]
struct HolderEntry {
    serial: MemberSerial,
    since: Time,
}

/// Entries of the holders of each block, by the block's hash.
type HolderMap = HashMap<u64, Vec<HolderEntry>>;

/// Assumed content of the caches of one pool's engines. Bounded in memory: new blocks go into the newer of two
/// generations; when it is full, it becomes the older one, and the previous older one is dropped.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    newer: HolderMap,
    older: HolderMap,
}

impl PrefixIndex {
    /// Records that an engine holds all blocks of a prompt that was sent to it.
    pub fn record_prompt(&mut self, now: Time, serial: MemberSerial, prefix: &Prefix) {
        for block in prefix.blocks() {
            self.add(now, serial, *block);
        }
    }

    /// Updates the entries of an engine by its cache events.
    pub fn apply_events(&mut self, now: Time, serial: MemberSerial, events: &[CacheEvent]) {
        for event in events {
            if event.held {
                self.add(now, serial, event.block);
            } else {
                self.remove(serial, event.block);
            }
        }
    }

    fn add(&mut self, now: Time, serial: MemberSerial, block: u64) {
        if self.newer.len() >= GENERATION_BLOCKS && !self.newer.contains_key(&block) {
            self.older = std::mem::take(&mut self.newer);
        }
        let entries = self.newer.entry(block).or_default();
        entries.retain(|entry| entry.serial != serial);
        if entries.len() == MAX_HOLDERS {
            entries.remove(0);
        }
        entries.push(HolderEntry { serial, since: now });
    }

    fn remove(&mut self, serial: MemberSerial, block: u64) {
        for entries in [&mut self.newer, &mut self.older] {
            if let Some(entries) = entries.get_mut(&block) {
                entries.retain(|entry| entry.serial != serial);
            }
        }
    }

    /// Returns the engines that probably hold the longest known prefix of a prompt.
    pub fn holders(&self, now: Time, prefix: &Prefix) -> Vec<Holder> {
        let blocks = prefix.blocks();
        for count in (1..=blocks.len()).rev() {
            let found = self.holders_of(now, blocks[count - 1], count);
            if !found.is_empty() {
                return found;
            }
        }
        Vec::new()
    }

    /// Returns the engines that probably hold a block, the last one of a prefix of `count` blocks.
    fn holders_of(&self, now: Time, block: u64, count: usize) -> Vec<Holder> {
        [&self.newer, &self.older]
            .into_iter()
            .filter_map(|entries| entries.get(&block))
            .flatten()
            .filter(|entry| now.since(entry.since) <= ENTRY_LIFETIME.to_duration())
            .map(|entry| Holder {
                serial: entry.serial,
                blocks: count,
            })
            .take(MAX_HOLDERS)
            .collect()
    }

    /// Returns the number of blocks remembered in both generations.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether no block is remembered.
    pub fn is_empty(&self) -> bool {
        self.newer.is_empty() && self.older.is_empty()
    }
}
