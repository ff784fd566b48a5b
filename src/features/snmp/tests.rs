use super::*;

#[test]
fn the_agent_stays_within_its_cpu_share_under_constant_load() {
    let start = Instant::now();
    let (mut budget, mut now, mut spent) = (Budget::new(start), start, Duration::ZERO);
    // Requests arrive without a pause for ten seconds; each answer takes 80 us.
    while now - start < Duration::from_secs(10) {
        let one = Duration::from_micros(80);
        (now, spent) = (now + one, spent + one);
        now += budget.spend(now, one).unwrap_or_default();
    }
    let part = spent.as_secs_f64() / (now - start).as_secs_f64();
    assert!((0.045..=0.0505).contains(&part), "{part}");
    // With only occasional requests the agent never pauses.
    for _ in 0..100 {
        now += Duration::from_millis(10);
        assert_eq!(budget.spend(now, Duration::from_micros(80)), None);
    }
}
