//! The store of a cache node: values by key, bounded in bytes, with LRU eviction and an optional time to
//! live.
//!
//! Only sizes are stored, not bytes: hosts generate the values. Not meant as a template for a real cache.

use crate::random::Map;
use crate::Micros;

/// Bytes that an entry takes in addition to its value.
pub const OVERHEAD: u64 = 64;
const NONE: u32 = u32::MAX;

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: u64,
    bytes: u64,
    expires: Micros,
    /// Neighbours in the LRU list: the next less and the next more recently used entry.
    older: u32,
    newer: u32,
}

#[derive(Clone, Debug)]
pub struct Store {
    max_bytes: u64,
    /// Time to live of a value; `None` for unlimited.
    keep_for: Option<Micros>,
    used: u64,
    at: Map<u64, u32>,
    entries: Vec<Entry>,
    free: Vec<u32>,
    oldest: u32,
    newest: u32,
}

impl Store {
    pub fn new(capacity_bytes: u64, keep_for: Option<Micros>) -> Self {
        Store {
            max_bytes: capacity_bytes,
            keep_for,
            used: 0,
            at: Map::default(),
            entries: Vec::new(),
            free: Vec::new(),
            oldest: NONE,
            newest: NONE,
        }
    }

    pub fn len(&self) -> usize {
        self.at.len()
    }

    pub fn is_empty(&self) -> bool {
        self.at.is_empty()
    }

    pub fn used(&self) -> u64 {
        self.used
    }

    /// Whether the store has the key. Counts as a use.
    pub fn get(&mut self, now: Micros, key: u64) -> bool {
        let Some(&i) = self.at.get(&key) else { return false };
        if self.entries[i as usize].expires <= now {
            self.remove_entry(i);
            return false;
        }
        self.unlink(i);
        self.link(i);
        true
    }

    /// Stores a value made at `made`, replacing any value of the key, and evicts old entries to make room. A
    /// value larger than the store is not stored.
    pub fn put(&mut self, now: Micros, made: Micros, key: u64, bytes: u64) {
        self.remove(key);
        let bytes = bytes + OVERHEAD;
        let expires = self.keep_for.map_or(Micros::MAX, |t| made + t);
        if bytes > self.max_bytes || expires <= now {
            return;
        }
        while self.used + bytes > self.max_bytes && self.oldest != NONE {
            self.remove_entry(self.oldest);
        }
        let entry = Entry { key, bytes, expires, older: NONE, newer: NONE };
        let i = match self.free.pop() {
            Some(i) => {
                self.entries[i as usize] = entry;
                i
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as u32
            }
        };
        self.used += bytes;
        self.at.insert(key, i);
        self.link(i);
    }

    pub fn remove(&mut self, key: u64) {
        if let Some(&i) = self.at.get(&key) {
            self.remove_entry(i);
        }
    }

    pub fn clear(&mut self) {
        *self = Store::new(self.max_bytes, self.keep_for);
    }

    /// The only place where an entry is freed.
    fn remove_entry(&mut self, i: u32) {
        self.unlink(i);
        let entry = self.entries[i as usize];
        self.used -= entry.bytes;
        self.at.remove(&entry.key);
        self.free.push(i);
    }

    fn unlink(&mut self, i: u32) {
        let Entry { older, newer, .. } = self.entries[i as usize];
        match older {
            NONE => self.oldest = newer,
            o => self.entries[o as usize].newer = newer,
        }
        match newer {
            NONE => self.newest = older,
            n => self.entries[n as usize].older = older,
        }
    }

    fn link(&mut self, i: u32) {
        let older = self.newest;
        (self.entries[i as usize].older, self.entries[i as usize].newer) = (older, NONE);
        match older {
            NONE => self.oldest = i,
            o => self.entries[o as usize].newer = i,
        }
        self.newest = i;
    }
}

#[cfg(test)]
mod tests;
