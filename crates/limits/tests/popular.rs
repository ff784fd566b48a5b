//! Approximate request counts of keys: never too low, decaying, and of bounded size.

use limits::PopularityCounter;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The finaliser of SplitMix64 (Steele and others, OOPSLA 2014).
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

proptest! {
    /// Requests and decays in any order, with few hashes that also share cells: never below the true count.
    #[test]
    fn a_count_is_never_below_the_true_one(
        steps in prop::collection::vec((0u64..300, 0u8..20), 1..600), spread in any::<bool>(),
    ) {
        let (mut popular, mut truth) = (PopularityCounter::default(), BTreeMap::<u64, f64>::new());
        for (key, what) in steps {
            // Without mixing, many keys share all cells but those of one row.
            let hash = if spread { mix(key) } else { key << 54 };
            if what == 0 {
                popular.decay(0.5);
                truth.values_mut().for_each(|n| *n *= 0.5);
            } else {
                popular.record(hash);
                *truth.entry(hash).or_default() += 1.0;
            }
        }
        for (hash, count) in truth {
            prop_assert!(popular.count(hash) >= count * 0.999, "{} of {count}", popular.count(hash));
        }
    }
}

#[test]
fn counts_are_rarely_too_high() {
    let mut popular = PopularityCounter::default();
    (0..1000).for_each(|key| popular.record(mix(key)));
    let high = (0..1000).filter(|key| popular.count(mix(*key)) > 1.5).count();
    assert!(high < 1000 / 5, "{high} of 1000 keys asked for once");
    let unasked = (1000..2000).filter(|key| popular.count(mix(*key)) > 0.5).count();
    assert!(unasked < 1000 / 5, "{unasked} of 1000 keys never asked for");
}

#[test]
fn old_requests_decay_and_new_ones_count_in_full() {
    let mut popular = PopularityCounter::default();
    (0..1000).for_each(|_| popular.record(mix(1)));
    // 200 s of decay at the proxy's rate, through many rewrites of the cells.
    (0..1000).for_each(|_| popular.decay(0.98));
    assert!(popular.count(mix(1)) < 1e-5, "{}", popular.count(mix(1)));
    (0..3).for_each(|_| popular.record(mix(2)));
    assert!((popular.count(mix(2)) - 3.0).abs() < 0.01, "{}", popular.count(mix(2)));
    for _ in 0..100_000 {
        popular.decay(0.9);
        popular.record(mix(3));
    }
    assert!((popular.count(mix(3)) - 10.0).abs() < 0.1, "1/(1 - 0.9): {}", popular.count(mix(3)));
}

#[test]
fn invalid_decay_factor_changes_nothing() {
    let mut popular = PopularityCounter::default();
    popular.record(mix(1));
    [0.0, -1.0, 2.0, f64::NAN, f64::INFINITY].into_iter().for_each(|keep| popular.decay(keep));
    assert!((popular.count(mix(1)) - 1.0).abs() < 1e-6, "{}", popular.count(mix(1)));
}
