//! Coarse timers: a hashed timer wheel with one slot per tick of the period.

use crate::interface::Micros;

const SLOTS: usize = 512;
/// How many ticks ahead `next` searches; if nothing is due by then, the caller wakes and searches again.
const MAX_LOOKAHEAD: u64 = 128;

pub struct Wheel<T> {
    period: Micros,
    /// The first tick that is not yet over.
    tick: u64,
    slots: Vec<Vec<(u64, T)>>,
}

impl<T> Wheel<T> {
    pub fn new(period: Micros, now: Micros) -> Self {
        let period = period.max(1_000);
        Wheel { period, tick: (now / period) as u64, slots: (0..SLOTS).map(|_| Vec::new()).collect() }
    }

    pub fn len(&self) -> usize {
        self.slots.iter().map(Vec::len).sum()
    }

    /// Inserts a timer due at the first tick at or after `at`, but never within the present tick.
    pub fn insert(&mut self, at: Micros, item: T) {
        let tick = ((at + self.period - 1) / self.period).max(0) as u64;
        let tick = tick.max(self.tick);
        self.slots[tick as usize % SLOTS].push((tick, item));
    }

    /// Removes and returns all timers due by `now`, in tick order.
    pub fn due(&mut self, now: Micros) -> Vec<T> {
        let last = (now / self.period) as u64;
        let mut due = Vec::new();
        while self.tick <= last {
            let tick = self.tick;
            let slot = &mut self.slots[tick as usize % SLOTS];
            if slot.iter().any(|(t, _)| *t == tick) {
                let (now, later): (Vec<_>, Vec<_>) = slot.drain(..).partition(|(t, _)| *t == tick);
                due.extend(now.into_iter().map(|(_, item)| item));
                *slot = later;
            }
            self.tick += 1;
        }
        due
    }

    /// When to check again: the next tick with a timer, or the end of the search range.
    pub fn next(&self) -> Micros {
        let has_timer = |t: &u64| self.slots[*t as usize % SLOTS].iter().any(|(tick, _)| tick == t);
        let tick =
            (self.tick..self.tick + MAX_LOOKAHEAD).find(has_timer).unwrap_or(self.tick + MAX_LOOKAHEAD);
        tick as Micros * self.period
    }
}
