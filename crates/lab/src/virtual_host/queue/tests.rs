use super::*;

#[test]
fn heap_and_buckets_keep_the_order_of_time_and_planning() {
    let mut q = Queue::new();
    q.plan(5_500, 'c');
    q.plan_late(5_400, 'b');
    q.plan_late(200_000_000, 'e');
    q.plan_late(5_500, 'd');
    q.plan(10, 'a');
    let mut seen = String::new();
    let mut now = 0;
    while q.next() < Micros::MAX {
        now = now.max(q.next());
        while let Some((at, what)) = q.take(now, |_| true) {
            assert!(at <= now);
            seen.push(what);
        }
    }
    assert_eq!(seen, "abcde");
}

#[test]
fn events_that_are_no_longer_relevant_are_dropped() {
    let mut q = Queue::new();
    (0..10).for_each(|i| q.plan_late(1_000_000 + i, i));
    assert_eq!(q.take(999_999, |_| true), None);
    assert_eq!(q.take(1_000_009, |i| *i == 7), Some((1_000_007, 7)));
    assert_eq!((q.take(2_000_000, |_| true), q.next()), (None, Micros::MAX));
}
