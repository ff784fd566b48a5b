use super::*;

const TIMEOUT: Micros = 300_000;

#[test]
fn lost_after_four_silent_nodes_and_recovered_by_one_answer() {
    let mut domain = FailureDomain::default();
    for node in 0..3 {
        domain.sent(i64::from(node as u8) * 50_000, node, TIMEOUT, 0.5);
    }
    assert!(!domain.is_lost(10_000_000, TIMEOUT), "three nodes may have failed independently");
    domain.sent(10_000_000, 2, TIMEOUT, 0.5);
    assert!(!domain.is_lost(10_000_000, TIMEOUT), "a node asked twice counts once");
    domain.sent(10_000_000, 3, TIMEOUT, 0.5);
    assert!(domain.is_lost(10_000_000, TIMEOUT));
    domain.ended(true);
    assert!(!domain.is_lost(20_000_000, TIMEOUT));
}

#[test]
fn busy_domain_is_not_lost_before_the_timeout() {
    let mut domain = FailureDomain::default();
    (0..30).for_each(|node| domain.sent(0, node, TIMEOUT, 0.5));
    assert!(!domain.is_lost(TIMEOUT, TIMEOUT));
    assert!(domain.is_lost(TIMEOUT + 1, TIMEOUT));
}

/// A hundred proxies in front of a domain of thirty nodes that is unreachable for 20 s, each with seven
/// requests a second for it: the total number of probes is bounded, and so is the time until the last proxy
/// uses the domain again.
#[test]
fn fleet_probes_a_lost_domain_a_bounded_number_of_times() {
    let (mut sent, mut recovered) = (Vec::new(), Vec::new());
    for proxy in 0..100u64 {
        let mut domain = FailureDomain::default();
        let mut at = 0;
        for k in 0u64.. {
            at += 140_000;
            let jitter = (proxy * 37 + k * 61) % 100;
            if domain.allows(at, TIMEOUT) {
                if at >= 20_000_000 {
                    recovered.push(at);
                    break;
                }
                domain.sent(at, k % 30, TIMEOUT, jitter as f64 / 100.0);
                sent.push(at);
            }
        }
    }
    let probes = sent.iter().filter(|at| **at >= 3_000_000).count();
    assert!(probes <= 17 * 40, "{probes} probes in 17 s, 40 a second at most");
    assert!(recovered.iter().all(|at| *at < 27_000_000), "recovered within one pause");
    assert!(sent.len() - probes < 100 * 12, "{} requests before the loss was detected", sent.len() - probes);
}
