//! The keys cached by a node, up to its capacity, with least-recently-used eviction.

use std::collections::BTreeMap;

#[derive(Default)]
pub struct Cache {
    capacity: usize,
    clock: u64,
    by_use: BTreeMap<u64, u64>,
    keys: BTreeMap<u64, u64>,
}

impl Cache {
    pub fn new(capacity: usize) -> Self {
        Cache { capacity, ..Cache::default() }
    }

    /// Whether the key is cached; a hit counts as a use.
    pub fn get(&mut self, key: u64) -> bool {
        let hit = self.keys.contains_key(&key);
        if hit {
            self.insert(key);
        }
        hit
    }

    /// Caches the key, or marks it as used.
    pub fn insert(&mut self, key: u64) {
        self.clock += 1;
        if let Some(last_used) = self.keys.insert(key, self.clock) {
            self.by_use.remove(&last_used);
        }
        self.by_use.insert(self.clock, key);
        while self.keys.len() > self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.keys.remove(&oldest);
        }
    }

    pub fn remove(&mut self, key: u64) {
        if let Some(last_used) = self.keys.remove(&key) {
            self.by_use.remove(&last_used);
        }
    }
}
