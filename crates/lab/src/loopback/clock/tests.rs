use super::*;

#[test]
fn a_clock_is_set_forward_for_all_its_copies_and_never_back() {
    let clock = Clock::start(-60_000_000);
    let copy = clock.clone();
    assert!(copy.now() < -1_000_000);
    clock.advance_to(0);
    assert!(copy.now() >= 0);
    clock.advance_to(-30_000_000);
    assert!(copy.now() >= 0);
    let now = copy.now();
    assert!((clock.unix(now) - copy.unix(now + 5)).abs() == 5);
}
