//! A token bucket of bytes. A single indivisible send may overdraw it; nothing more is sent until the debt is
//! paid back.

use crate::{Micros, SECOND};

/// A token bucket. Levels are stored in bytes times 1e6, so that refilling loses no fraction.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bucket {
    rate: i64,
    capacity: i64,
    level: i64,
    updated_at: Micros,
}

impl Bucket {
    /// A full bucket with a rate in bytes per second and a capacity in bytes.
    pub fn new(now: Micros, rate: u32, capacity: u32) -> Self {
        let capacity = i64::from(capacity) * SECOND;
        Bucket { rate: i64::from(rate), capacity, level: capacity, updated_at: now }
    }

    /// A bucket that starts with a debt of its capacity. When it replaces another bucket, the two together
    /// allow no more than one would.
    pub fn new_in_debt(now: Micros, rate: u32, capacity: u32) -> Self {
        let full = Bucket::new(now, rate, capacity);
        Bucket { level: -full.capacity, ..full }
    }

    /// Bytes that may be sent now; below 0 if overdrawn.
    pub fn level(&mut self, now: Micros) -> i64 {
        let refilled = now.saturating_sub(self.updated_at).max(0).saturating_mul(self.rate);
        self.updated_at = self.updated_at.max(now);
        self.level = self.level.saturating_add(refilled).min(self.capacity);
        self.level.div_euclid(SECOND)
    }

    /// Removes tokens, even more than are available.
    pub fn take(&mut self, now: Micros, bytes: usize) {
        self.level(now);
        self.level =
            self.level.saturating_sub(i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(SECOND));
    }

    /// Time until `bytes` tokens are available, or until the bucket is full if `bytes` exceeds its capacity.
    pub fn time_until_available(&mut self, now: Micros, bytes: usize) -> Micros {
        self.level(now);
        let needed = i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(SECOND).min(self.capacity);
        let missing = needed.saturating_sub(self.level).max(0);
        missing.div_euclid(self.rate.max(1)) + i64::from(missing % self.rate.max(1) > 0)
    }
}
