use super::*;

#[test]
fn the_outbox_of_a_peer_that_does_not_read_is_bounded() {
    let (outbox, _inbox) = outbox();
    let small = (0..).take_while(|_| outbox.push(vec![0; 8].into())).count();
    assert_eq!(small, MAX_QUEUED_FRAMES);
    let (outbox, _inbox) = super::outbox();
    let large = (0..).take_while(|_| outbox.push(vec![0; bounds::FRAME].into())).count();
    assert_eq!((large, outbox.push(vec![0; 8].into())), (4, false));
}

#[test]
fn short_bursts_are_allowed_and_sustained_floods_are_not() {
    let from = Instant::now();
    let mut allowance = Allowance { left: MESSAGE_BURST, filled: from };
    let at_once = (0..1000).take_while(|_| allowance.take(from)).count();
    assert_eq!(at_once, MESSAGE_BURST as usize);
    let mut allowance = Allowance { left: MESSAGE_BURST, filled: from };
    let pace = |ms: u64, n: u64| from + Duration::from_millis(ms * n);
    assert!((1..500).all(|n| allowance.take(pace(60, n))), "17 a second");
    let late = pace(60, 500);
    assert!(!(1..500).all(|n| allowance.take(late + Duration::from_millis(40 * n))), "25 a second");
}
