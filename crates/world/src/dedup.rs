//! Idempotency keys seen of late: who carries out keyed requests drops repeats of them for a window.
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
    /// Whether the key was seen within its window. If not, its window begins.
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
        // Windows of several lengths leave the order a little uneven: a key is then kept a little longer, and
        // its own time is what counts.
        self.order.push_back((now + window, key));
        false
    }

    pub fn clear(&mut self) {
        *self = DedupTable::default();
    }
}

#[cfg(test)]
mod tests;
