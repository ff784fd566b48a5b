//! Seeded random numbers, with a separate stream for each consumer, so that an additional draw in one place
//! changes nothing elsewhere. Also fast hash tables for ids that behave the same in every run.
//!
//! Nothing here is suitable for secrets, and the hash tables are not suitable for keys chosen by an attacker.

use crate::scenario::{Range, Spread};
use crate::Micros;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp1, StandardNormal};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};

pub type Random = Xoshiro256PlusPlus;

/// No draw exceeds this multiple of the mean, since a Pareto tail is unbounded.
const MAX_MULTIPLE: f64 = 40.0;

/// The finalizer of SplitMix64 (Steele, Lea, Flood: Fast Splittable Pseudorandom Number Generators, 2014): a
/// bijection on 64-bit integers.
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The inverse of [`mix`].
pub fn unmix(x: u64) -> u64 {
    let x = (x ^ (x >> 31) ^ (x >> 62)).wrapping_mul(0x3196_42b2_d24d_8ec3);
    let x = (x ^ (x >> 27) ^ (x >> 54)).wrapping_mul(0x96de_1b17_3f11_9089);
    x ^ (x >> 30) ^ (x >> 60)
}

/// Derives the seed of the `number`-th consumer of a name (FNV-1a over the name, mixed).
pub fn seed_of(seed: u64, name: &str, number: u64) -> u64 {
    let h =
        name.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    mix(mix(seed ^ h).wrapping_add(mix(number.wrapping_add(0x9e37_79b9_7f4a_7c15))))
}

/// The random stream of the `number`-th consumer of a name.
pub fn stream(seed: u64, name: &str, number: u64) -> Random {
    Random::seed_from_u64(seed_of(seed, name, number))
}

/// Maps a hash to a number in [0, 1).
pub fn unit(x: u64) -> f64 {
    (x >> 11) as f64 / (1u64 << 53) as f64
}

pub fn within(range: Range, rng: &mut Random) -> f64 {
    range[0] + (range[1] - range[0]) * rng.random::<f64>()
}

pub fn chance(part: f64, rng: &mut Random) -> bool {
    part > 0.0 && rng.random::<f64>() < part
}

/// An exponential variate with mean 1.
pub fn exponential(rng: &mut Random) -> f64 {
    Exp1.sample(rng)
}

/// A lognormal variate with mean 1 and this sigma.
pub fn lognormal(sigma: f64, rng: &mut Random) -> f64 {
    if sigma <= 0.0 {
        return 1.0;
    }
    let normal: f64 = StandardNormal.sample(rng);
    (sigma * normal - sigma * sigma / 2.0).exp().min(MAX_MULTIPLE)
}

/// A positive factor with mean 1 and this coefficient of variation.
pub fn factor(cv: f64, rng: &mut Random) -> f64 {
    lognormal((1.0 + cv * cv).ln().sqrt(), rng)
}

impl Spread {
    /// A variate with mean 1 and this coefficient of variation, at most 40.
    pub fn draw(self, cv: f64, rng: &mut Random) -> f64 {
        match self {
            Spread::Constant => 1.0,
            Spread::Exponential => exponential(rng).min(MAX_MULTIPLE),
            Spread::Lognormal => factor(cv, rng),
            Spread::Pareto if cv <= 0.0 => 1.0,
            // The mean of a Pareto distribution is a/(a-1) times its minimum and cv^2 = 1/(a(a-2)), so a = 1
            // + sqrt(1 + 1/cv^2).
            Spread::Pareto => {
                let a = 1.0 + (1.0 + 1.0 / (cv * cv)).sqrt();
                let least = (a - 1.0) / a;
                (least * (1.0 - rng.random::<f64>()).powf(-1.0 / a)).min(MAX_MULTIPLE)
            }
        }
    }
}

pub fn ms(x: f64) -> Micros {
    (x * 1e3).round() as Micros
}

pub fn seconds(x: f64) -> Micros {
    (x * 1e6).round() as Micros
}

/// A hash table with integer keys. No result may depend on its iteration order, which can differ between
/// versions of the standard library.
pub type Map<K, V> = HashMap<K, V, BuildHasherDefault<MixHasher>>;

/// Hashes integers with [`mix`].
#[derive(Clone, Copy, Default)]
pub struct MixHasher(u64);

impl Hasher for MixHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.write_u64(u64::from(*b)));
    }

    fn write_u32(&mut self, x: u32) {
        self.write_u64(u64::from(x));
    }

    fn write_u64(&mut self, x: u64) {
        self.0 = mix(self.0.rotate_left(5) ^ x);
    }

    fn write_usize(&mut self, x: usize) {
        self.write_u64(x as u64);
    }
}

#[cfg(test)]
mod tests;
