//! Which keys are asked for, how often, and how large their values are; and what a cache would hold of them.

use crate::random::{mix, seed_of, unit, unmix, Random};
use crate::scenario;
use crate::Micros;
use rand::RngExt;

/// Zipf and Mandelbrot's law over ranks, with keys that pass on by and by.
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
    /// Of the rejection: the ends of the inverted area, and the shortcut.
    first: f64,
    last: f64,
    close: f64,
    /// The sum of all weights.
    total: f64,
}

const EPOCH: u64 = 1 << 32;
/// The longest value of the protocol.
const MAX_BYTES: f64 = 65_536.0;
/// Ranks that are summed one by one; beyond them the sum is taken as an integral.
const EXACT: u32 = 200;

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
            close: 0.0,
            total: 0.0,
        };
        made.first = made.area(1.5) - made.weight(1.0);
        made.last = made.area(f64::from(p.keys) + 0.5);
        made.close = 1.0 - made.inverse(made.area(1.5) - made.weight(1.0));
        made.total = made.over_ranks(|weight| weight);
        made
    }

    fn weight(&self, rank: f64) -> f64 {
        (rank + self.offset).powf(-self.exponent)
    }

    /// The area under the weights, as an integral of the rank.
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

    /// The sum over all ranks of something that depends on a rank's weight.
    fn over_ranks(&self, of: impl Fn(f64) -> f64) -> f64 {
        let exact = self.keys.min(EXACT);
        let mut sum: f64 = (1..=exact).map(|k| of(self.weight(f64::from(k)))).sum();
        // Beyond, ranks are so alike that steps of a hundredth of the rank do.
        let (mut from, most) = (f64::from(exact), f64::from(self.keys));
        while from < most {
            let to = (from * 1.01).ceil().min(most);
            sum += (to - from) * of(self.weight((from + to + 1.0) / 2.0));
            from = to;
        }
        sum
    }

    /// A rank, the most popular being 1.
    pub fn rank(&self, rng: &mut Random) -> u32 {
        loop {
            let u = self.last + rng.random::<f64>() * (self.first - self.last);
            let x = self.inverse(u);
            let rank = x.round().clamp(1.0, f64::from(self.keys));
            if rank - x <= self.close || u >= self.area(rank + 0.5) - self.weight(rank) {
                return rank as u32;
            }
        }
    }

    /// The key that has this rank at a time; never 0.
    pub fn key(&self, rank: u32, now: Micros) -> u64 {
        let phase = unit(mix(self.salt ^ u64::from(rank)));
        let epoch = (self.drift * now.max(0) as f64 / 1e6 + phase).floor() as u64;
        self.named(u64::from(rank) + EPOCH * epoch)
    }

    /// One of a handful of keys that were not popular before.
    pub fn crowded(&self, which: u32) -> u64 {
        self.named(u64::from(self.keys) + 1 + u64::from(which))
    }

    fn named(&self, number: u64) -> u64 {
        match mix(number ^ self.salt) {
            0 => 1,
            key => key,
        }
    }

    /// The rank that a key had when the world began, if it had one.
    pub fn rank_of(&self, key: u64) -> Option<u32> {
        let number = unmix(key) ^ self.salt;
        u32::try_from(number).ok().filter(|rank| (1..=self.keys).contains(rank))
    }

    /// Size of a key's value.
    pub fn bytes(&self, key: u64) -> u64 {
        if self.sigma <= 0.0 {
            return self.bytes as u64;
        }
        // The sum of four even draws out of one hash is near enough to a normal.
        let hash = mix(key ^ self.salt.rotate_left(17));
        let even: f64 = (0..4).map(|i| f64::from((hash >> (16 * i)) as u16) / 65_536.0).sum();
        let normal = (even - 2.0) * 3f64.sqrt();
        let bytes = self.bytes * (self.sigma * normal - self.sigma * self.sigma / 2.0).exp();
        bytes.clamp(1.0, MAX_BYTES) as u64
    }

    /// The part of all requests that a rank draws.
    pub fn part(&self, rank: u32) -> f64 {
        self.weight(f64::from(rank)) / self.total
    }

    /// How long a cache with room for so many values keeps one that is not asked for again, in seconds, at this
    /// rate (Che, Tung and Wang: Hierarchical web caching systems, 2002). Infinite if it has room for all.
    pub fn stay(&self, values: f64, rate_per_s: f64) -> f64 {
        if values >= f64::from(self.keys) || rate_per_s <= 0.0 {
            return f64::INFINITY;
        }
        let kept = |stay: f64| self.over_ranks(|w| 1.0 - (-rate_per_s * w / self.total * stay).exp());
        let (mut low, mut high) = (0.0, 1.0);
        while kept(high) < values && high < 1e12 {
            high *= 2.0;
        }
        for _ in 0..60 {
            let middle = (low + high) / 2.0;
            if kept(middle) < values {
                low = middle;
            } else {
                high = middle;
            }
        }
        (low + high) / 2.0
    }

    /// The part of the reads that such a cache answers. A value is good for `keep_s` and is voided by writes,
    /// which are `writes` for each read of its key.
    pub fn hits(&self, values: f64, reads_per_s: f64, keep_s: f64, writes: f64) -> f64 {
        let stay = self.stay(values, reads_per_s);
        let hits = self.over_ranks(|w| {
            let rate = reads_per_s * w / self.total;
            // Hits between two fetches: until it is not asked for in time, too old, or written.
            let dropped = (rate * stay).min(500.0).exp() - 1.0;
            let good = 1.0 / (1.0 / keep_s + rate * writes);
            let run = dropped.min(rate * good);
            w * run / (1.0 + run)
        });
        hits / self.total
    }
}

#[cfg(test)]
mod tests;
