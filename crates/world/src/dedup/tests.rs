use super::*;

#[test]
fn a_repeat_is_detected_within_the_window_and_not_after_it() {
    let mut r = DedupTable::default();
    assert!(!r.seen(0, 7, 1000));
    assert!(r.seen(999, 7, 1000), "the window runs from the first");
    assert!(!r.seen(1000, 7, 1000));
    assert!(r.seen(1500, 7, 1000));
    assert!(!r.seen(5000, 8, 1000));
    assert_eq!((r.until.len(), r.order.len()), (1, 1), "expired keys are removed");
}
