use super::*;

#[test]
fn nine_of_ten_times_are_below_a_quantile_wherever_it_began() {
    for began in [1_000.0, 1_000_000.0] {
        let mut quantile = Quantile(began);
        let times = (0..4000).map(|i| 1_000 + (i * 7919) % 100_000);
        times.for_each(|time| quantile.see(time));
        assert!((70_000.0..130_000.0).contains(&quantile.0), "{}", quantile.0);
    }
}

#[test]
fn held_ones_stay_for_as_long_as_the_room_lasts_at_the_rate_of_newcomers() {
    let mut pace = Pace::new();
    (0..4000).for_each(|i| pace.newcomer(i * 1_000));
    let keeps = pace.keeps(4_000_000, 40);
    // 40 at 1000 a second.
    assert!((35_000..45_000).contains(&keeps.of(Rank::Held)), "{keeps:?}");
    assert_eq!(pace.keeps(4_000_000, 0).of(Rank::Held), LEAST);
    assert_eq!(keeps.of(Rank::Silent), MOST);
}
