use super::*;

#[test]
fn a_command_counts_from_when_its_last_byte_came_and_moments_are_bounded() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    let mut arrivals = Arrivals::default();
    arrivals.came(10, start);
    arrivals.came(10, start + ms(4));
    arrivals.came(10, start + ms(100));
    assert_eq!(arrivals.take(15), Some(start));
    assert_eq!(arrivals.take(6), Some(start + ms(100)));
    assert_eq!(arrivals.take(9), Some(start + ms(100)));
    assert_eq!(arrivals.take(1), None);
    (0..1000).for_each(|i| arrivals.came(1, start + ms(i * 10)));
    assert_eq!(arrivals.0.len(), MOST);
    assert_eq!(arrivals.take(1000), Some(start + ms(10 * (MOST as u64 - 1))));
}
