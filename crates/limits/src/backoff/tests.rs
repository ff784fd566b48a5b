use super::*;

#[test]
fn doubles_up_to_the_longest_and_never_overflows() {
    let spans: Vec<Micros> = (0..5).map(|n| backoff(500, n, 3_000)).collect();
    assert_eq!(spans, [500, 1_000, 2_000, 3_000, 3_000]);
    assert_eq!(backoff(Micros::MAX / 2, u32::MAX, 7), 7);
}
