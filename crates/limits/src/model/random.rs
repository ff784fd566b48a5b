//! Random streams. Each purpose has a stream of its own, derived from one seed, so that drawing from one
//! does not affect the others.

use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, LogNormal};
use rand_xoshiro::Xoshiro256PlusPlus;

/// A random stream.
pub struct Random(Xoshiro256PlusPlus);

impl Random {
    /// The stream for this purpose.
    pub fn new(seed: u64, purpose: u64) -> Self {
        Random(Xoshiro256PlusPlus::seed_from_u64(hash(seed) ^ hash(!purpose)))
    }

    /// Uniform over 0 to 1.
    pub fn unit(&mut self) -> f64 {
        self.0.random()
    }

    /// Exponential, of mean 1.
    pub fn exp(&mut self) -> f64 {
        Exp1.sample(&mut self.0)
    }

    /// Lognormal, of mean 1.
    pub fn lognormal(&mut self, sigma: f64) -> f64 {
        // An invalid sigma yields no spread.
        LogNormal::new(-sigma * sigma / 2.0, sigma).map_or(1.0, |d| d.sample(&mut self.0))
    }
}

/// Zipf distribution over a number of keys, as a table of cumulative weights.
pub struct Zipf(Vec<f64>);

impl Zipf {
    pub fn new(keys: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        Zipf(
            (1..=keys.max(1))
                .map(|rank| {
                    sum += (rank as f64).powf(-exponent);
                    sum
                })
                .collect(),
        )
    }

    /// The rank, from 0, for a uniform number of 0 to 1.
    pub fn rank(&self, unit: f64) -> u64 {
        let all = self.0.last().copied().unwrap_or(1.0);
        self.0.partition_point(|sum| *sum < unit * all) as u64
    }
}

/// Mixes a number into 64 bits: the finaliser of SplitMix64 (Steele and others, OOPSLA 2014).
pub fn hash(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash as a number of 0 to 1.
pub fn fraction(x: u64) -> f64 {
    (hash(x) >> 11) as f64 / (1u64 << 53) as f64
}
