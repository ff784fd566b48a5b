//! Coarse timers: a hashed wheel whose slots are ticks of one period.

use crate::interface::Micros;

const SLOTS: usize = 512;
/// The furthest that one look ahead goes; a sleeper then looks again.
const AHEAD: u64 = 128;

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

    /// Due at the first tick at or after `at`, and never within the present one.
    pub fn insert(&mut self, at: Micros, what: T) {
        let tick = ((at + self.period - 1) / self.period).max(0) as u64;
        let tick = tick.max(self.tick);
        self.slots[tick as usize % SLOTS].push((tick, what));
    }

    /// Takes out all that is due by `now`, in the order of ticks.
    pub fn due(&mut self, now: Micros) -> Vec<T> {
        let last = (now / self.period) as u64;
        let mut due = Vec::new();
        while self.tick <= last {
            let tick = self.tick;
            let slot = &mut self.slots[tick as usize % SLOTS];
            if slot.iter().any(|(t, _)| *t == tick) {
                let (now, later): (Vec<_>, Vec<_>) = slot.drain(..).partition(|(t, _)| *t == tick);
                due.extend(now.into_iter().map(|(_, what)| what));
                *slot = later;
            }
            self.tick += 1;
        }
        due
    }

    /// When to look again: the next tick that holds something, or the end of the look ahead.
    pub fn next(&self) -> Micros {
        let holds = |t: &u64| self.slots[*t as usize % SLOTS].iter().any(|(tick, _)| tick == t);
        let tick = (self.tick..self.tick + AHEAD).find(holds).unwrap_or(self.tick + AHEAD);
        tick as Micros * self.period
    }
}
