use super::*;

#[test]
fn a_command_counts_from_its_last_byte_and_entries_are_bounded() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut arrivals = Arrivals::default();
    arrivals.received(10, start);
    arrivals.received(10, start + ms(4));
    arrivals.received(10, start + ms(100));
    assert_eq!(arrivals.take(15), Some(start));
    assert_eq!(arrivals.take(6), Some(start + ms(100)));
    assert_eq!(arrivals.take(9), Some(start + ms(100)));
    assert_eq!(arrivals.take(1), None);
    (0..1000).for_each(|i| arrivals.received(1, start + ms(i * 10)));
    assert_eq!(arrivals.0.len(), MAX_ENTRIES);
    assert_eq!(arrivals.take(1000), Some(start + ms(10 * (MAX_ENTRIES as u64 - 1))));
}
