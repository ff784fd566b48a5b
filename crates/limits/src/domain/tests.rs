use super::*;

const LONG: Micros = 300_000;

#[test]
fn a_hall_is_lost_after_four_silent_nodes_and_found_by_one_answer() {
    let mut hall = FailureDomain::default();
    for node in 0..3 {
        hall.sent(i64::from(node as u8) * 50_000, node, LONG, 0.5);
    }
    assert!(!hall.is_lost(10_000_000, LONG), "three may be bad by themselves");
    hall.sent(10_000_000, 2, LONG, 0.5);
    assert!(!hall.is_lost(10_000_000, LONG), "one asked twice is one");
    hall.sent(10_000_000, 3, LONG, 0.5);
    assert!(hall.is_lost(10_000_000, LONG));
    hall.ended(true);
    assert!(!hall.is_lost(20_000_000, LONG));
}

#[test]
fn a_busy_hall_that_has_not_had_its_time_is_there() {
    let mut hall = FailureDomain::default();
    (0..30).for_each(|node| hall.sent(0, node, LONG, 0.5));
    assert!(!hall.is_lost(LONG, LONG));
    assert!(hall.is_lost(LONG + 1, LONG));
}

/// A hundred proxies before a hall of thirty that is gone for 20 s, each with seven requests a second for it:
/// what they send there together, and how soon the last one is back.
#[test]
fn a_fleet_tries_a_lost_hall_a_bounded_number_of_times() {
    let (mut sent, mut found) = (Vec::new(), Vec::new());
    for proxy in 0..100u64 {
        let mut hall = FailureDomain::default();
        let mut at = 0;
        for k in 0u64.. {
            at += 140_000;
            let draw = (proxy * 37 + k * 61) % 100;
            if hall.allows(at, LONG) {
                if at >= 20_000_000 {
                    found.push(at);
                    break;
                }
                hall.sent(at, k % 30, LONG, draw as f64 / 100.0);
                sent.push(at);
            }
        }
    }
    let later = sent.iter().filter(|at| **at >= 3_000_000).count();
    assert!(later <= 17 * 40, "{later} tries in 17 s, 40 a second at most");
    assert!(found.iter().all(|at| *at < 27_000_000), "back within a pause");
    assert!(sent.len() - later < 100 * 12, "{} before it was known", sent.len() - later);
}
