//! Delays derived from a seed, so that forwarders that learn the same thing at once do not act
//! simultaneously.
//!
//! Use it for any action that many forwarders would otherwise perform at the same time. The functions are
//! pure: equal arguments give equal results.

use crate::Micros;

/// A delay in [0, `within`), determined by forwarder (`seed`), purpose and occasion.
pub fn delay(seed: u64, purpose: u64, occasion: u64, within: Micros) -> Micros {
    let x = mix(seed ^ mix(purpose ^ mix(occasion)));
    // 53 bits as a number in [0, 1).
    ((x >> 11) as f64 / (1u64 << 53) as f64 * within.max(0) as f64) as Micros
}

/// The finaliser of SplitMix64 (Steele, Lea and Flood, OOPSLA 2014), with its increment.
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
