//! Servers in slow start behind several proxies in virtual time. Runs the scenario that reproduces incident
//! 437179 on loopback, with a range of seeds.

use lab::virtual_host::{run, Real};
use world::outcome::Rule;
use world::scenario::Scenario;

const BURST: &str = include_str!("../../../scenarios/slow_start_burst.toml");

/// Returns the seeds with which the proxies together overloaded a server in slow start.
fn overloaded(scenario: &Scenario, seeds: std::ops::Range<u64>) -> Vec<u64> {
    let breaks = |seed: &u64| {
        let run = run(scenario, *seed, &Real, &mut |_| {}).expect("a run");
        run.rules_broken.iter().any(|b| matches!(b.rule, Rule::FailBack | Rule::SlowStart))
    };
    std::thread::scope(|scope| {
        let threads: Vec<_> = seeds.map(|seed| (seed, scope.spawn(move || breaks(&seed)))).collect();
        let broken =
            threads.into_iter().filter_map(|(seed, thread)| thread.join().expect("a play").then_some(seed));
        broken.collect()
    })
}

fn burst() -> Scenario {
    toml::from_str(BURST).expect("a scenario")
}

#[test]
fn bursts_overload_no_server_in_slow_start() {
    let seeds = overloaded(&burst(), 1..9);
    assert!(seeds.is_empty(), "overloaded with seeds {seeds:?}");
}

/// Guards against an overload of a slow server in slow start, when servers of equal weight differ in speed, a
/// miss costs a tenth of the work of a hit, and the load stays above capacity. A proxy counted every answer
/// of warm servers towards their capacity, also cheap misses, and so overestimated it. A search with `--kinds
/// hall_cut` broke rules in 240 of 300 runs; with `--set nodes.0.miss_work=1.0` in 0 of 300; with only hits
/// counted, in 0 of 300 of the unchanged scenario.
#[test]
fn servers_of_unequal_speed_with_cheap_misses_are_not_overloaded() {
    let mut scenario = burst();
    scenario.rules.fall_multiple = 2.0;
    scenario.nodes[0].miss_work = 0.1;
    scenario.nodes[0].speed_spread = 0.18;
    // The unchanged scenario, with the seeds that failed among fifty.
    let mut seeds = overloaded(&burst(), 1020..1022);
    seeds.extend(overloaded(&scenario, 1..25));
    assert!(seeds.is_empty(), "overloaded with seeds {seeds:?}");
}
