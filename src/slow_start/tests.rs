use super::*;

const SECOND: Micros = 1_000_000;
/// How often attempts are issued.
const TICK: Micros = 200_000;
const STEP: Micros = 10_000;

/// A number from 0 to 1 that follows from two others.
fn unit(a: u64, b: u64) -> f64 {
    let x = (a.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ b).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    ((x ^ (x >> 31)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 11) as f64 / (1u64 << 53) as f64
}

/// When each of so many routers makes an attempt at one server, all of them together allowed `n` within a second, where
/// requests want it from `idle` on: each router has one every step.
fn storm(routers: u64, n: f64, idle: Micros, seed: u64) -> Vec<Micros> {
    let rate = SHARE * n / routers as f64;
    let mut all: Vec<Allowance> = (0..routers).map(|r| Allowance::new(unit(r, seed))).collect();
    let mut made = Vec::new();
    for now in (0..idle + 5 * SECOND).step_by(STEP as usize) {
        for (router, allowance) in all.iter_mut().enumerate() {
            let offset = (unit(router as u64, seed + 1) * TICK as f64) as Micros / STEP * STEP;
            if (now + offset) % TICK == 0 {
                allowance.issue(now, TICK, rate, SECOND);
            }
            if now >= idle && allowance.admits(now, Demand::Excess, SECOND) {
                allowance.spend(1.0);
                made.push(now);
            }
        }
    }
    made
}

fn most_within_a_second(made: &[Micros]) -> usize {
    let within = |at: &Micros| made.iter().filter(|t| (*at..at + SECOND).contains(t)).count();
    made.iter().map(within).max().unwrap_or(0)
}

#[test]
fn routers_without_a_word_between_them_stay_under_what_overloads_a_server() {
    for routers in [1, 3, 12, 28, 60, 300, 900] {
        for n in [10.0, 20.0, 36.0, 62.0, 200.0] {
            for (idle, seed) in [(0, 1), (2 * SECOND, 2), (9 * SECOND, 3), (20 * SECOND, 4)] {
                let most = most_within_a_second(&storm(routers, n, idle, seed));
                let overloads = n + 2.0 * n.sqrt() + 2.0;
                assert!(
                    (most as f64) < overloads,
                    "{routers} routers after {idle} us without a request: {most}, {overloads:.1} overload it"
                );
            }
        }
    }
}

#[test]
fn a_storm_gets_most_of_what_routers_are_issued() {
    for routers in [3, 28, 300] {
        let made = storm(routers, 40.0, 5 * SECOND, 7).len() as f64;
        assert!(made > 0.8 * SHARE * 40.0 * 5.0, "{routers} routers: {made} in 5 s");
    }
}

#[test]
fn an_attempt_that_is_no_longer_fresh_is_kept_for_the_keys_own_server() {
    let mut allowance = Allowance::new(0.0);
    allowance.issue(SECOND, TICK, 5.0, SECOND);
    assert!(allowance.admits(SECOND, Demand::Excess, SECOND));
    let later = 2 * SECOND;
    assert!(!allowance.admits(later, Demand::Excess, SECOND));
    assert!(allowance.admits(later, Demand::Expected, SECOND));
    allowance.spend(1.0);
    assert!(!allowance.admits(later, Demand::Expected, SECOND));
}

#[test]
fn a_request_of_far_more_than_the_mean_work_is_paid_for_by_those_behind_it() {
    let mut allowance = Allowance::new(0.0);
    allowance.issue(0, TICK, 5.0, SECOND);
    allowance.spend(3.0);
    allowance.issue(TICK, TICK, 10.0, SECOND);
    assert!(!allowance.admits(TICK, Demand::Expected, SECOND));
    allowance.issue(2 * TICK, TICK, 10.0, SECOND);
    assert!(allowance.admits(2 * TICK, Demand::Expected, SECOND));
}

#[test]
fn the_ramp_rises_evenly_from_what_a_server_starts_with() {
    let settings = Settings { slow_start_from: 0.2, slow_start_duration: 20 * SECOND, ..Settings::default() };
    let policy = SlowStart::new(&settings);
    let near = |age, part: f64| policy.ramp(age).is_some_and(|r| (r - part).abs() < 1e-9);
    assert!(near(0, 0.2) && near(10 * SECOND, 0.6) && near(15 * SECOND, 0.8));
    assert_eq!(policy.ramp(20 * SECOND), None);
}

#[test]
fn requests_are_expected_while_no_more_of_them_come_than_are_issued() {
    let mut policy = SlowStart::new(&Settings::default());
    policy.listed(10.0, 1);
    for _ in 0..50 {
        (0..4).for_each(|_| policy.request());
        policy.refresh(TICK);
    }
    // 20 a second, of which a server of weight 1 has a tenth.
    assert_eq!(policy.demand(1.0, 2.5, 0.0), Demand::Expected);
    assert_eq!(policy.demand(1.0, 1.5, 0.0), Demand::Excess, "the list sends it more than it may be sent");
    assert_eq!(policy.demand(1.0, 2.5, 3.0), Demand::Excess, "its key alone is asked for more often");
}
