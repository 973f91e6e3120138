//! A map with a fixed capacity that evicts entries in the order in which they were added (FIFO).

use {
    foldhash::HashMap,
    std::{collections::VecDeque, hash::Hash},
};

/// A map of at most `CAPACITY` entries that evicts the entry added first.
#[derive(Debug, Clone)]
pub(crate) struct FifoMap<K, V, const CAPACITY: usize> {
    entries: HashMap<K, V>,
    order: VecDeque<K>,
}

impl<K, V, const CAPACITY: usize> Default for FifoMap<K, V, CAPACITY> {
    fn default() -> Self {
        Self {
            entries: HashMap::default(),
            order: VecDeque::new(),
        }
    }
}

impl<K: Clone + Eq + Hash, V: Default, const CAPACITY: usize> FifoMap<K, V, CAPACITY> {
    /// Returns the value of a key. If there is none, inserts the default, and evicts the oldest entry from a full map.
    pub(crate) fn entry(&mut self, key: K) -> &mut V {
        if !self.entries.contains_key(&key) {
            self.order.push_back(key.clone());
        }
        if self.order.len() > CAPACITY
            && let Some(oldest) = self.order.pop_front()
        {
            self.entries.remove(&oldest);
        }
        self.entries.entry(key).or_default()
    }

    /// Removes a key and returns its value, if the map has it.
    pub(crate) fn remove(&mut self, key: &K) -> Option<V> {
        let value = self.entries.remove(key)?;
        self.order.retain(|other| other != key);
        Some(value)
    }

    /// Returns the keys, from the oldest entry to the newest.
    pub(crate) fn keys(&self) -> impl Iterator<Item = &K> {
        self.order.iter()
    }
}
