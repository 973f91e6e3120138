//! Which engines probably hold the beginning of a prompt in their caches?
//!
//! Inputs: the prompts sent to each engine, the engines' own cache events, and the time. Output:
//! for a prompt, the engines believed to hold the longest known beginning, and its length in blocks
//! of [`BLOCK`] bytes.
//!
//! The rule: a prompt's whole blocks are hashed in a chain, so that equal hashes mean equal
//! beginnings. An engine is believed to hold a block from when it was sent or reported until the
//! engine gives it up, or for [`FORGET_AFTER`]. At most [`HOLDERS`] engines are remembered for a
//! block, the last ones.
//!
//! The reason: engines report late and with gaps, so all of this is belief, and a wrong belief must
//! pass. A holder isn't preferred as such: the work that it saves makes its finish earlier
//! ([`call_costs`](super::call_costs)), so a long queue outweighs it. The measurements:
//! `docs/MEASUREMENTS.md`, "Prefix affinity".

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

/// Bytes of one block of a prompt; those of the engines' cache events are as large
/// (`docs/PROTOCOLS.md`).
pub const BLOCK: usize = 512;

/// Most blocks of a prompt that are kept apart (32 KB): a bound on the cost of a prompt.
const MAX_BLOCKS: usize = 64;

/// Blocks remembered in one generation of beliefs; there are two. A bound on memory;
/// `bounded_memory` in `test_prefix.rs` holds it.
const GENERATION: usize = 8_192;

/// Engines remembered for one block.
pub const HOLDERS: usize = 4;

/// Age after which a belief no longer counts.
pub const FORGET_AFTER: Millis = Millis(60_000);

/// Hashes of a prompt's blocks; each one covers the whole beginning up to its block.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefix(Arc<[u64]>);

impl Prefix {
    /// Hashes the whole blocks of an input.
    pub fn of(input: &[u8]) -> Self {
        let mut last = 0;
        let hashes = input
            .chunks_exact(BLOCK)
            .take(MAX_BLOCKS)
            .map(|block| {
                last = xxh3_64_with_seed(block, last);
                last
            })
            .collect();
        Self(hashes)
    }

    /// Returns the hashes, the shortest beginning first.
    pub fn blocks(&self) -> &[u64] {
        &self.0
    }
}

/// One change of an engine's cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Hash of the block.
    pub block: u64,
    /// True if it is held from now on, false if no longer.
    pub held: bool,
}

/// Changes of an engine's cache since some number.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number after the last change, to ask from next time.
    pub next: u64,
    /// The changes that the engine still knows.
    pub events: Vec<CacheEvent>,
}

/// An engine that is believed to hold some of a prompt's blocks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The engine.
    pub serial: MemberSerial,
    /// Number of blocks from the beginning.
    pub blocks: usize,
}

/// Belief that an engine holds a block.
#[derive(Debug, Clone, Copy)]
struct Belief {
    serial: MemberSerial,
    since: Time,
}

/// Beliefs about the holders of each block, by its hash.
type HolderMap = HashMap<u64, Vec<Belief>>;

/// Beliefs about the caches of one pool's engines, in bounded memory: when the newer generation is
/// full, the older one is dropped.
#[derive(Debug, Clone, Default)]
pub struct PrefixIndex {
    newer: HolderMap,
    older: HolderMap,
}

impl PrefixIndex {
    /// Believes that an engine holds all blocks of a prompt that was sent to it.
    pub fn sent(&mut self, now: Time, serial: MemberSerial, prefix: &Prefix) {
        for block in prefix.blocks() {
            self.add(now, serial, *block);
        }
    }

    /// Updates the beliefs about an engine's cache by its own events.
    pub fn learn(&mut self, now: Time, serial: MemberSerial, events: &[CacheEvent]) {
        for event in events {
            if event.held {
                self.add(now, serial, event.block);
            } else {
                self.remove(serial, event.block);
            }
        }
    }

    fn add(&mut self, now: Time, serial: MemberSerial, block: u64) {
        if self.newer.len() >= GENERATION && !self.newer.contains_key(&block) {
            self.older = std::mem::take(&mut self.newer);
        }
        let beliefs = self.newer.entry(block).or_default();
        beliefs.retain(|belief| belief.serial != serial);
        if beliefs.len() == HOLDERS {
            beliefs.remove(0);
        }
        beliefs.push(Belief { serial, since: now });
    }

    fn remove(&mut self, serial: MemberSerial, block: u64) {
        for beliefs in [&mut self.newer, &mut self.older] {
            if let Some(beliefs) = beliefs.get_mut(&block) {
                beliefs.retain(|belief| belief.serial != serial);
            }
        }
    }

    /// Returns the engines that probably hold the longest known beginning of a prompt.
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

    /// Returns the engines that probably hold a block, the last one of a beginning of `count`
    /// blocks.
    fn holders_of(&self, now: Time, block: u64, count: usize) -> Vec<Holder> {
        [&self.newer, &self.older]
            .into_iter()
            .filter_map(|beliefs| beliefs.get(&block))
            .flatten()
            .filter(|belief| now.since(belief.since) <= FORGET_AFTER.to_duration())
            .map(|belief| Holder {
                serial: belief.serial,
                blocks: count,
            })
            .take(HOLDERS)
            .collect()
    }

    /// Returns the number of blocks that are remembered.
    pub fn len(&self) -> usize {
        self.newer.len() + self.older.len()
    }

    /// Returns whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.newer.is_empty() && self.older.is_empty()
    }
}
