use super::*;

#[test]
fn cells_are_contiguous() {
    for at in 0..HISTOGRAM_CELLS - 1 {
        assert_eq!((cell_index(cell_upper_bound(at)), cell_index(cell_upper_bound(at) + 1)), (at, at + 1));
    }
    assert_eq!(cell_index(Micros::MAX), HISTOGRAM_CELLS - 1);
}

#[test]
fn percentiles_cover_the_last_minute_and_histograms_all_time() {
    let (classes, tenants) = (["read".to_owned()], ["a".to_owned(), "b".to_owned()]);
    let mut tally = Tally::new(7, &classes, &tenants);
    let stream =
        |time| Stream { class: 0, tenant: 1, outcome: Outcome::Served, time, retried: false, joined: false };
    (1..=1000).for_each(|ms| tally.record(8, stream(ms * 1000)));
    let times = &tally.times(8)[0];
    let near = |got: Micros, ms: Micros| got >= ms * 1000 && got <= ms * 1000 * 17 / 16;
    assert!(times.percentiles.iter().zip([500, 900, 990, 999]).all(|(p, ms)| near(*p, ms)), "{times:?}");
    tally.record(40 * SECOND, stream(2_000));
    let times = &tally.times(61 * SECOND)[0];
    assert_eq!((times.recent, times.mean, times.percentiles[3]), (1, 2_000, 2_047));
    assert_eq!(times.histogram.iter().sum::<u64>(), 1001);
    // 5 ms falls into the second bucket, since a bucket's upper bound is exclusive.
    assert_eq!(&times.histogram[..3], &[5, 5, 10]);
    assert_eq!(tally.requests()[1].counts.served, 1001);
}
