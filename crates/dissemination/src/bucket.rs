//! A token bucket of bytes. It may be overdrawn once, by what cannot be cut; nothing more goes until that is
//! made up for.

use crate::{Micros, SECOND};

/// See the file's comment. Levels are kept in bytes times 1e6, so that no fraction is lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bucket {
    rate: i64,
    capacity: i64,
    level: i64,
    updated_at: Micros,
}

impl Bucket {
    /// A full one, of so many bytes a second and such a capacity in bytes.
    pub fn new(now: Micros, rate: u32, capacity: u32) -> Self {
        let capacity = i64::from(capacity) * SECOND;
        Bucket { rate: i64::from(rate), capacity, level: capacity, updated_at: now }
    }

    /// One that owes its capacity: where it takes the place of another, both together give no more than one.
    pub fn new_in_debt(now: Micros, rate: u32, capacity: u32) -> Self {
        let full = Bucket::new(now, rate, capacity);
        Bucket { level: -full.capacity, ..full }
    }

    /// Bytes that may be taken; below 0 if overdrawn.
    pub fn level(&mut self, now: Micros) -> i64 {
        let refilled = now.saturating_sub(self.updated_at).max(0).saturating_mul(self.rate);
        self.updated_at = self.updated_at.max(now);
        self.level = self.level.saturating_add(refilled).min(self.capacity);
        self.level.div_euclid(SECOND)
    }

    /// Takes so many, also more than there are.
    pub fn take(&mut self, now: Micros, bytes: usize) {
        self.level(now);
        self.level =
            self.level.saturating_sub(i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(SECOND));
    }

    /// Time until so many can be taken, at most the capacity.
    pub fn time_until_available(&mut self, now: Micros, bytes: usize) -> Micros {
        self.level(now);
        let needed = i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(SECOND).min(self.capacity);
        let missing = needed.saturating_sub(self.level).max(0);
        missing.div_euclid(self.rate.max(1)) + i64::from(missing % self.rate.max(1) > 0)
    }
}
