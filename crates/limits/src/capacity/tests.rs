use super::*;

#[test]
fn observed_rate_persists_after_its_servers_are_gone() {
    let (mut rate, keep) = (ObservedCapacity::default(), 0.95);
    (0..200).for_each(|_| rate.add(30.0, 10.0, keep));
    let observed = rate.get();
    assert!((2.9..3.01).contains(&observed), "{observed}");
    (0..30).for_each(|_| rate.add(0.0, 0.0, keep));
    assert!((0.8..1.0).contains(&(rate.get() / observed)), "six seconds later");
    (0..3_000).for_each(|_| rate.add(1.0, 10.0, keep));
    assert!((0.09..0.12).contains(&rate.get()), "and is forgotten in minutes: {}", rate.get());
}
