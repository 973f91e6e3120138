//! A stand-in engine's prefix cache: limited, and told of late and with gaps.

use {
    hazelyoke_lib::pipeline::decision::prefix::{BLOCK, CacheEvent, CacheEvents, Prefix},
    std::{
        collections::{BTreeMap, HashMap, VecDeque},
        time::Duration,
    },
    tokio::time::Instant,
};

/// Time after which a change is told of.
const LAG: Duration = Duration::from_millis(100);

/// Changes that are kept; older ones are a gap for who asks too late.
const LOG: usize = 2_048;

/// Most changes told at once.
const BATCH: usize = 512;

/// Of so many changes, one is never told of.
const LOST_OF: u64 = 50;

/// Blocks held, by least recent use.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    uses: HashMap<u64, u64>,
    order: BTreeMap<u64, u64>,
    clock: u64,
    log: VecDeque<(u64, Instant, CacheEvent)>,
    next: u64,
}

impl PrefixCache {
    /// Builds an empty cache for so many blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            uses: HashMap::new(),
            order: BTreeMap::new(),
            clock: 0,
            log: VecDeque::new(),
            next: 0,
        }
    }

    /// Takes a prompt in and returns the bytes of its beginning that were held already.
    pub fn take(&mut self, input: &[u8]) -> u64 {
        let prefix = Prefix::of(input);
        let blocks = prefix.blocks();
        let held = blocks
            .iter()
            .take_while(|block| self.uses.contains_key(*block));
        let cached = held.count();
        // The beginning is used last, so that ends of prompts are given up first.
        for block in blocks.iter().rev() {
            self.touch(*block);
        }
        (cached * BLOCK) as u64
    }

    fn touch(&mut self, block: u64) {
        self.clock += 1;
        match self.uses.insert(block, self.clock) {
            Some(old) => {
                self.order.remove(&old);
            }
            None => self.tell(block, true),
        }
        self.order.insert(self.clock, block);
        if self.uses.len() > self.capacity
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.uses.remove(&oldest);
            self.tell(oldest, false);
        }
    }

    fn tell(&mut self, block: u64, held: bool) {
        self.next += 1;
        if self.next.is_multiple_of(LOST_OF) {
            return;
        }
        if self.log.len() == LOG {
            self.log.pop_front();
        }
        let event = CacheEvent { block, held };
        self.log.push_back((self.next, Instant::now(), event));
    }

    /// Returns the changes after a number.
    pub fn events(&self, after: u64) -> CacheEvents {
        let told = self
            .log
            .iter()
            .filter(|(number, at, _)| *number > after && at.elapsed() >= LAG)
            .take(BATCH);
        let mut events = CacheEvents {
            next: after,
            events: Vec::new(),
        };
        for (number, _, event) in told {
            events.next = *number;
            events.events.push(*event);
        }
        events
    }
}
