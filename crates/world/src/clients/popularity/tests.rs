use super::*;
use crate::random::stream;

fn popularity(keys: u32, exponent: f64, offset: f64) -> Popularity {
    let p = scenario::Popularity { keys, exponent, offset, ..scenario::Popularity::default() };
    Popularity::new(&p, 3)
}

#[test]
fn ranks_follow_the_distribution() {
    for (exponent, offset) in [(1.0, 5.0), (0.9, 2.0), (1.1, 10.0), (0.0, 0.0), (2.0, 0.0)] {
        let (p, mut rng) = (popularity(500, exponent, offset), stream(1, "ranks", 0));
        let mut seen = vec![0u32; 501];
        let n = 400_000;
        (0..n).for_each(|_| seen[p.rank(&mut rng) as usize] += 1);
        let sum: f64 = (1..=500).map(|rank| p.probability(rank)).sum();
        assert!((sum - 1.0).abs() < 1e-4, "{sum}");
        for rank in [1, 2, 3, 10, 100, 500] {
            let (seen, due) = (f64::from(seen[rank as usize]), p.probability(rank) * f64::from(n));
            assert!(
                (seen - due).abs() < 6.0 * due.sqrt().max(1.0),
                "{exponent}: rank {rank}: seen {seen}, expected {due}"
            );
        }
    }
}

#[test]
fn a_key_encodes_its_rank_and_ranks_change_keys_over_time() {
    let p = scenario::Popularity { drift_per_s: 0.1, ..scenario::Popularity::default() };
    let p = Popularity::new(&p, 9);
    let moved = (1..=1000).filter(|rank| p.key(*rank, 0) != p.key(*rank, 1_000_000)).count();
    assert!(
        (50..150).contains(&moved),
        "about a tenth of the ranks should change keys per second, not {moved}"
    );
    let still = |rank: &u32| p.key(*rank, 0) == p.key(*rank, 1_000_000);
    assert!((1..=1000).filter(still).all(|rank| p.rank_of(p.key(rank, 0)) == Some(rank)));
    assert_eq!(p.rank_of(p.crowd_key(0)), None);
}

#[test]
fn the_computed_hit_ratio_matches_a_simulated_cache() {
    let (p, mut rng) = (popularity(5_000, 1.0, 5.0), stream(2, "played", 0));
    let (rate, keep) = (200.0, 20.0);
    let room = 1_000 * (100 + crate::store::OVERHEAD);
    let mut store = crate::store::Store::new(room, Some((keep * 1e6) as Micros));
    let (mut asked, mut hit) = (0, 0);
    for i in 0..60_000 {
        let now = i * 5_000;
        let key = p.key(p.rank(&mut rng), now);
        let has = store.get(now, key);
        if !has {
            store.put(now, now, key, 100);
        }
        if i > 20_000 {
            (asked, hit) = (asked + 1, hit + i64::from(has));
        }
    }
    let (simulated, computed) = (hit as f64 / f64::from(asked), p.hit_ratio(1_000.0, rate, keep, 0.0));
    assert!((simulated - computed).abs() < 0.03, "simulated {simulated}, computed {computed}");
}
