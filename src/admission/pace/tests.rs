use super::*;

#[test]
fn the_quantile_converges_to_90_percent_from_any_start() {
    for began in [1_000.0, 1_000_000.0] {
        let mut quantile = Quantile(began);
        let times = (0..4000).map(|i| 1_000 + (i * 7919) % 100_000);
        times.for_each(|time| quantile.record(time));
        assert!((70_000.0..130_000.0).contains(&quantile.0), "{}", quantile.0);
    }
}

#[test]
fn held_connections_stay_as_long_as_the_accept_rate_leaves_room() {
    let mut timing = Timing::new();
    (0..4000).for_each(|i| timing.newcomer(i * 1_000));
    let retention = timing.retention(4_000_000, 40);
    // A room of 40 at 1000 connections a second.
    assert!((35_000..45_000).contains(&retention.of(Rank::Held)), "{retention:?}");
    assert_eq!(timing.retention(4_000_000, 0).of(Rank::Held), MIN_RETENTION);
    assert_eq!(retention.of(Rank::Silent), MAX_RETENTION);
}
