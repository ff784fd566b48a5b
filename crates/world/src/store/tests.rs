use super::*;

#[test]
fn the_least_recently_used_value_is_evicted() {
    let mut s = Store::new(3 * (100 + OVERHEAD), None);
    (1..=3).for_each(|key| s.put(0, 0, key, 100));
    assert!(s.get(1, 1));
    s.put(2, 2, 4, 100);
    assert_eq!([1, 2, 3, 4].map(|key| s.get(3, key)), [true, false, true, true]);
    assert_eq!(s.len(), 3);
}

#[test]
fn values_expire_regardless_of_their_use() {
    let mut s = Store::new(10_000, Some(1000));
    s.put(0, 0, 1, 10);
    assert!(s.get(999, 1));
    assert!(!s.get(1000, 1));
    assert_eq!((s.len(), s.used()), (0, 0));
    s.put(2000, 500, 1, 10);
    assert!(!s.get(2000, 1), "made too long ago");
}

#[test]
fn memory_stays_bounded_whatever_is_put() {
    let mut s = Store::new(5_000, None);
    for key in 0..10_000u64 {
        s.put(0, 0, key % 700, (key * 37) % 6_000);
        assert!(s.used() <= 5_000);
    }
    assert!(s.entries.len() <= 5_000 / OVERHEAD as usize + 1, "freed entries are reused");
}
