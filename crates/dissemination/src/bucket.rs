//! A token bucket of bytes. It may be overdrawn once, by what cannot be cut; nothing more goes until that is
//! made up for.

use crate::{Micros, SECOND};

/// See the file's comment. Levels are kept in bytes times 1e6, so that no fraction is lost.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Bucket {
    rate: i64,
    depth: i64,
    level: i64,
    at: Micros,
}

impl Bucket {
    /// A full one, of so many bytes a second and such a depth in bytes.
    pub fn new(now: Micros, rate: u32, depth: u32) -> Self {
        let depth = i64::from(depth) * SECOND;
        Bucket { rate: i64::from(rate), depth, level: depth, at: now }
    }

    /// Bytes that may be taken; below 0 if overdrawn.
    pub fn level(&mut self, now: Micros) -> i64 {
        let gained = now.saturating_sub(self.at).max(0).saturating_mul(self.rate);
        self.at = self.at.max(now);
        self.level = self.level.saturating_add(gained).min(self.depth);
        self.level.div_euclid(SECOND)
    }

    /// Takes so many, also more than there are.
    pub fn take(&mut self, now: Micros, bytes: usize) {
        self.level(now);
        self.level =
            self.level.saturating_sub(i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(SECOND));
    }

    /// Time until so many can be taken, at most the depth.
    pub fn wait(&mut self, now: Micros, bytes: usize) -> Micros {
        self.level(now);
        let need = i64::try_from(bytes).unwrap_or(i64::MAX).saturating_mul(SECOND).min(self.depth);
        let lack = need.saturating_sub(self.level).max(0);
        lack.div_euclid(self.rate.max(1)) + i64::from(lack % self.rate.max(1) > 0)
    }
}
