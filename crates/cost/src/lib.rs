//! Cost of a request in instructions and allocations, by stage, for different numbers of nodes and
//! downstreams.
//!
//! Two simulations without sockets and without a clock, [`decision`] (the decision module alone) and
//! [`request`] (codecs and core, by stage), and a counting allocator ([`counting`]). Use it to compare a
//! change with the figures in `docs/design/cost.md`: the same work gives the same counts on every run.
//! Don't use it for the cost of the kernel, the executor and the queues: `lab cost` measures those.
//!
//! Instructions are counted with `callgrind` (`crates/cost/ledger`): those of one stage in each run, which
//! tells callgrind when the stage begins and ends ([`callgrind`]).

pub mod callgrind;
pub mod counting;
pub mod decision;
pub mod request;

use martenweir::interface::*;

/// One second in the unit of the decision module.
pub const SECOND: Micros = 1_000_000;
/// Number of popular keys.
pub const KEYS: u64 = 20_000;

/// Mixes the bits of a number (SplitMix64).
pub fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The key of the n-th request: the rank is drawn with a uniformly distributed logarithm, close to Zipf's
/// law with exponent 1.
pub fn key(n: u64) -> Key {
    let u = (mix(n) >> 11) as f64 / (1u64 << 53) as f64;
    Key(mix((KEYS as f64).powf(u) as u64).max(1))
}

/// The settings of a site with three zones, an origin and reports with answers.
pub fn settings() -> Settings {
    Settings {
        classes: vec![Class::default(); 3],
        quotas: vec![1e9; 3],
        origin_kind: Some(KindId(9)),
        may_copy: true,
        max_attempts: 4,
        max_open: 100_000,
        period: 5_000,
        ..Settings::default()
    }
}

/// A fleet of warm nodes in three zones and two sizes, with one origin behind it.
pub fn fleet(nodes: u64) -> Vec<Member> {
    let node = |n: u64| Member {
        zone: ZoneId((n % 3) as u16),
        kind: KindId((n % 2) as u16),
        weight: if n.is_multiple_of(2) { 1.0 } else { 2.0 },
        ..Member::ready(ServerId(mix(n)))
    };
    let origin = Member { kind: KindId(9), ..Member::ready(ServerId(mix(u64::MAX))) };
    (1..=nodes).map(node).chain([origin]).collect()
}
