//! Which keys are requested, how often, the size of their values, and the hit ratio of a cache over them.

use crate::random::{mix, seed_of, unit, unmix, Random};
use crate::scenario;
use crate::Micros;
use rand::RngExt;

/// Zipf-Mandelbrot distribution over ranks, with keys that change ranks over time.
///
/// Ranks are drawn by rejection-inversion, in constant time and without tables (Hörmann and Derflinger:
/// Rejection-inversion to generate variates from monotone discrete distributions, 1996).
#[derive(Clone, Debug)]
pub struct Popularity {
    keys: u32,
    exponent: f64,
    offset: f64,
    drift: f64,
    bytes: f64,
    sigma: f64,
    salt: u64,
    /// Constants of the rejection-inversion: the ends of the inverted area, and the shortcut for acceptance.
    first: f64,
    last: f64,
    acceptance: f64,
    /// The sum of all weights.
    total: f64,
}

const RANKS_PER_EPOCH: u64 = 1 << 32;
/// The longest value that the protocol allows.
const MAX_BYTES: f64 = 65_536.0;
/// Ranks that are summed one by one; the sum beyond them is approximated like an integral.
const MAX_EXACT_RANKS: u32 = 200;

impl Popularity {
    pub fn new(p: &scenario::Popularity, seed: u64) -> Self {
        let mut made = Popularity {
            keys: p.keys,
            exponent: p.exponent,
            offset: p.offset,
            drift: p.drift_per_s,
            bytes: p.value_bytes,
            sigma: p.value_sigma,
            salt: seed_of(seed, "keys", 0),
            first: 0.0,
            last: 0.0,
            acceptance: 0.0,
            total: 0.0,
        };
        made.first = made.area(1.5) - made.weight(1.0);
        made.last = made.area(f64::from(p.keys) + 0.5);
        made.acceptance = 1.0 - made.inverse(made.area(1.5) - made.weight(1.0));
        made.total = made.sum_over_ranks(|weight| weight);
        made
    }

    fn weight(&self, rank: f64) -> f64 {
        (rank + self.offset).powf(-self.exponent)
    }

    /// The integral of the weights up to a rank.
    fn area(&self, rank: f64) -> f64 {
        let x = rank + self.offset;
        if (self.exponent - 1.0).abs() < 1e-9 {
            x.ln()
        } else {
            x.powf(1.0 - self.exponent) / (1.0 - self.exponent)
        }
    }

    fn inverse(&self, area: f64) -> f64 {
        let x = if (self.exponent - 1.0).abs() < 1e-9 {
            area.exp()
        } else {
            ((1.0 - self.exponent) * area).powf(1.0 / (1.0 - self.exponent))
        };
        x - self.offset
    }

    /// Sums a function of the weight over all ranks.
    fn sum_over_ranks(&self, of: impl Fn(f64) -> f64) -> f64 {
        let exact = self.keys.min(MAX_EXACT_RANKS);
        let mut sum: f64 = (1..=exact).map(|k| of(self.weight(f64::from(k)))).sum();
        // Beyond that, ranks are so similar that steps of one hundredth of the rank suffice.
        let (mut from, most) = (f64::from(exact), f64::from(self.keys));
        while from < most {
            let to = (from * 1.01).ceil().min(most);
            sum += (to - from) * of(self.weight((from + to + 1.0) / 2.0));
            from = to;
        }
        sum
    }

    /// Draws a rank; 1 is the most popular.
    pub fn rank(&self, rng: &mut Random) -> u32 {
        loop {
            let u = self.last + rng.random::<f64>() * (self.first - self.last);
            let x = self.inverse(u);
            let rank = x.round().clamp(1.0, f64::from(self.keys));
            if rank - x <= self.acceptance || u >= self.area(rank + 0.5) - self.weight(rank) {
                return rank as u32;
            }
        }
    }

    /// The key that has this rank at a given time; never 0.
    pub fn key(&self, rank: u32, now: Micros) -> u64 {
        let phase = unit(mix(self.salt ^ u64::from(rank)));
        let epoch = (self.drift * now.max(0) as f64 / 1e6 + phase).floor() as u64;
        self.key_of(u64::from(rank) + RANKS_PER_EPOCH * epoch)
    }

    /// One of the few keys of a crowd, which were not popular before.
    pub fn crowd_key(&self, which: u32) -> u64 {
        self.key_of(u64::from(self.keys) + 1 + u64::from(which))
    }

    fn key_of(&self, number: u64) -> u64 {
        match mix(number ^ self.salt) {
            0 => 1,
            key => key,
        }
    }

    /// The rank that a key had at the start of the run, if any.
    pub fn rank_of(&self, key: u64) -> Option<u32> {
        let number = unmix(key) ^ self.salt;
        u32::try_from(number).ok().filter(|rank| (1..=self.keys).contains(rank))
    }

    /// Size of a key's value.
    pub fn bytes(&self, key: u64) -> u64 {
        if self.sigma <= 0.0 {
            return self.bytes as u64;
        }
        // The sum of four uniform numbers from one hash is close enough to a normal distribution.
        let hash = mix(key ^ self.salt.rotate_left(17));
        let even: f64 = (0..4).map(|i| f64::from((hash >> (16 * i)) as u16) / 65_536.0).sum();
        let normal = (even - 2.0) * 3f64.sqrt();
        let bytes = self.bytes * (self.sigma * normal - self.sigma * self.sigma / 2.0).exp();
        bytes.clamp(1.0, MAX_BYTES) as u64
    }

    /// The part of all requests that go to a rank.
    pub fn probability(&self, rank: u32) -> f64 {
        self.weight(f64::from(rank)) / self.total
    }

    /// How long, in seconds, a cache with room for this many values keeps a value that is not requested
    /// again, at this request rate (Che, Tung and Wang: Hierarchical web caching systems, 2002). Infinite if
    /// all values fit.
    pub fn residence_time(&self, values: f64, rate_per_s: f64) -> f64 {
        if values >= f64::from(self.keys) || rate_per_s <= 0.0 {
            return f64::INFINITY;
        }
        let values_held =
            |time: f64| self.sum_over_ranks(|w| 1.0 - (-rate_per_s * w / self.total * time).exp());
        let (mut low, mut high) = (0.0, 1.0);
        while values_held(high) < values && high < 1e12 {
            high *= 2.0;
        }
        for _ in 0..60 {
            let middle = (low + high) / 2.0;
            if values_held(middle) < values {
                low = middle;
            } else {
                high = middle;
            }
        }
        (low + high) / 2.0
    }

    /// The hit ratio of such a cache. A value is valid for `keep_s` and is invalidated by writes; `writes` is
    /// their number per read of the key.
    pub fn hit_ratio(&self, values: f64, reads_per_s: f64, keep_s: f64, writes: f64) -> f64 {
        let residence_time = self.residence_time(values, reads_per_s);
        let hit_ratio = self.sum_over_ranks(|w| {
            let rate = reads_per_s * w / self.total;
            // Hits between two fetches: until the value is evicted, expires or is written.
            let dropped = (rate * residence_time).min(500.0).exp() - 1.0;
            let good = 1.0 / (1.0 / keep_s + rate * writes);
            let run = dropped.min(rate * good);
            w * run / (1.0 + run)
        });
        hit_ratio / self.total
    }
}

#[cfg(test)]
mod tests;
