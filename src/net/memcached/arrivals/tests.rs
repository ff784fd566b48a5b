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
    assert_eq!(arrivals.entries.len(), MAX_ENTRIES);
    assert_eq!(arrivals.take(1000), Some(start + ms(10 * (MAX_ENTRIES as u64 - 1))));
}

/// Guards against a command that is out of time when it arrives: its time ran from one of its first pieces, as
/// there were more pieces than entries.
#[test]
fn a_command_in_many_pieces_counts_from_its_last_byte() {
    let (start, ms) = (Instant::now(), Duration::from_millis);
    for whole in [274, 65_000] {
        let mut arrivals = Arrivals::default();
        arrivals.received(1, start);
        arrivals.awaits(24);
        for n in 2..=whole {
            arrivals.received(1, start + ms(n * 6));
            if n == 24 {
                arrivals.awaits(whole as usize);
            }
            assert!(arrivals.entries.len() <= MAX_ENTRIES);
        }
        // What comes behind it has times of its own.
        arrivals.received(10, start + ms(whole * 6 + 100));
        arrivals.received(10, start + ms(whole * 6 + 200));
        assert_eq!(arrivals.take(whole as usize), Some(start + ms(whole * 6)));
        assert_eq!(arrivals.take(10), Some(start + ms(whole * 6 + 100)));
        assert_eq!(arrivals.take(10), Some(start + ms(whole * 6 + 200)));
    }
}
