//! The prefix cache of a test engine, with limited capacity. It reports its changes late and with gaps.

use {
    hazelyoke_lib::pipeline::decision::prefix::{BLOCK_BYTES, CacheEvent, CacheEvents, Prefix},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Delay after which a change is reported.
const REPORT_DELAY: Duration = Duration::from_millis(100);

/// Number of changes that are kept. A reader that polls too rarely misses changes.
const MAX_KEPT_CHANGES: usize = 2_048;

/// Largest number of changes in one report.
const MAX_REPORTED_CHANGES: usize = 512;

/// Every n-th change is never reported, with this n.
const LOSS_INTERVAL: u64 = 50;

/// One change of the cache.
#[derive(Debug)]
struct Change {
    number: u64,
    at: Instant,
    event: CacheEvent,
}

/// A cache of prompt blocks that evicts the least recently used one.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    uses: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    log: VecDeque<Change>,
    changes: u64,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            log: VecDeque::new(),
            changes: 0,
        }
    }

    /// Adds a prompt. Returns the size of its prefix that was cached before, in bytes.
    pub fn insert(&mut self, input: &[u8]) -> u64 {
        let prefix = Prefix::of(input);
        let blocks = prefix.blocks();
        let held = blocks
            .iter()
            .take_while(|block| self.uses.contains_key(*block));
        let cached = held.count();
        // Touches the first block last, so that the ends of prompts are evicted before their prefixes.
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
        (cached * BLOCK_BYTES) as u64
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        match self.uses.insert(block, self.clock) {
            Some(old) => {
                self.order.remove(&old);
            }
            None => self.log_change(block, true),
        }
        self.order.insert(self.clock, block);
        if self.uses.len() > self.capacity
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.uses.remove(&oldest);
            self.log_change(oldest, false);
        }
    }

    fn log_change(&mut self, block: u64, held: bool) {
        self.changes += 1;
        if self.changes.is_multiple_of(LOSS_INTERVAL) {
            return;
        }
        if self.log.len() == MAX_KEPT_CHANGES {
            self.log.pop_front();
        }
        self.log.push_back(Change {
            number: self.changes,
            at: Instant::now(),
            event: CacheEvent { block, held },
        });
    }

    /// Returns the changes after the change number `after`.
    pub fn events(&self, after: u64) -> CacheEvents {
        let changes = self.log.iter();
        let reported = changes
            .filter(|change| change.number > after && change.at.elapsed() >= REPORT_DELAY)
            .take(MAX_REPORTED_CHANGES);
        let mut events = CacheEvents {
            next: after,
            events: Vec::new(),
        };
        for change in reported {
            events.next = change.number;
            events.events.push(change.event);
        }
        events
    }
}
