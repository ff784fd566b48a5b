//! Recently seen idempotency keys. Nodes and the origin, which execute keyed requests, use them to drop
//! repeats within a window.
//!
//! Bounded by time, and by a number of keys beyond which the oldest are forgotten early.

use crate::random::Map;
use crate::Micros;
use std::collections::VecDeque;

const MAX_ENTRIES: usize = 1 << 20;

#[derive(Clone, Debug, Default)]
pub struct DedupTable {
    until: Map<u64, Micros>,
    order: VecDeque<(Micros, u64)>,
}

impl DedupTable {
    /// Whether the key was seen within its window. If not, its window begins now.
    pub fn seen(&mut self, now: Micros, key: u64, window: Micros) -> bool {
        while self.order.front().is_some_and(|(until, _)| *until <= now) || self.order.len() >= MAX_ENTRIES {
            let Some((until, old)) = self.order.pop_front() else { break };
            if self.until.get(&old) == Some(&until) {
                self.until.remove(&old);
            }
        }
        if self.until.get(&key).is_some_and(|until| *until > now) {
            return true;
        }
        self.until.insert(key, now + window);
        // Windows of different lengths leave the queue slightly out of order. A key is then kept a little
        // longer, but only its own expiry time counts.
        self.order.push_back((now + window, key));
        false
    }

    pub fn clear(&mut self) {
        *self = DedupTable::default();
    }
}

#[cfg(test)]
mod tests;
