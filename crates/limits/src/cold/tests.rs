use super::*;

#[test]
fn a_rate_that_was_proved_outlasts_the_loss_of_those_that_proved_it() {
    let (mut rate, keep) = (Proven::default(), 0.95);
    (0..200).for_each(|_| rate.add(30.0, 10.0, keep));
    let proved = rate.get();
    assert!((2.9..3.01).contains(&proved), "{proved}");
    (0..30).for_each(|_| rate.add(0.0, 0.0, keep));
    assert!((0.8..1.0).contains(&(rate.get() / proved)), "six seconds later");
    (0..3_000).for_each(|_| rate.add(1.0, 10.0, keep));
    assert!((0.09..0.12).contains(&rate.get()), "and is forgotten in minutes: {}", rate.get());
}

/// Fifty proxies before thirty cold servers, each of which answers quickly up to what it can do in a second and
/// turns the rest away. The proxies are sure of half of that, and would ask for three times as much.
#[test]
fn a_fleet_finds_what_cold_servers_do_and_stays_under_what_brings_them_down() {
    const CAN: f64 = 12.0;
    let mut proxies = vec![Trust::default(); 50];
    let (mut most, mut last) = (0.0f64, 0.0);
    for second in 0..20 {
        let mut sent = [0.0; 30];
        for (p, proxy) in proxies.iter_mut().enumerate() {
            for (s, sent) in sent.iter_mut().enumerate() {
                // What it may send there in this second; the part of one is sent by so many proxies.
                let part = proxy.of(CAN / 2.0 / 50.0, 1.0);
                if unit(p * 977 + s * 31 + second * 7919) < part {
                    *sent += 1.0;
                    proxy.ended(*sent <= CAN);
                }
            }
        }
        last = sent.iter().sum::<f64>() / 30.0;
        most = sent.iter().fold(most, |m, s| m.max(*s));
    }
    assert!(most < 2.3 * CAN, "{most} a second, {CAN} can be done");
    assert!(last > 0.6 * CAN, "{last} a second in the end");
}

fn unit(x: usize) -> f64 {
    let x = (x as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    ((x ^ (x >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 11) as f64 / (1u64 << 53) as f64
}
