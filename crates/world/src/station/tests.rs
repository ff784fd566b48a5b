use super::*;

fn ends(s: &mut Station, now: Micros) -> Vec<(Micros, u64)> {
    std::iter::from_fn(|| s.end(now)).collect()
}

#[test]
fn slots_beyond_the_cores_share_them_evenly() {
    let mut s = Station::new(1.0, 2, 2.0);
    s.start(0, 1, 1000.0);
    s.start(0, 2, 2000.0);
    // Both run at 1 per microsecond until job 1 ends; then job 2 has the core to itself and 1000 left.
    assert_eq!(ends(&mut s, 10_000), [(1000, 1), (1500, 2)]);
    assert_eq!(s.spent(), (1500.0, 3000.0));
}

#[test]
fn a_change_of_speed_counts_from_its_moment() {
    let mut s = Station::new(1.0, 1, 1.0);
    s.start(0, 1, 1000.0);
    s.set_speed(400, 0.0);
    assert_eq!(s.next(), None, "nothing ends while it stands still");
    s.set_speed(900, 0.5);
    assert_eq!(ends(&mut s, 5000), [(2100, 1)]);
}

#[test]
fn jobs_that_end_together_come_in_the_order_of_their_start() {
    let mut s = Station::new(4.0, 4, 1.0);
    (0..4).for_each(|job| s.start(0, job, 100.0));
    assert_eq!(ends(&mut s, 100).iter().map(|e| e.1).collect::<Vec<_>>(), [0, 1, 2, 3]);
}
