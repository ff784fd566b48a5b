//! Servers in slow start before a fleet of proxies in virtual time: a seeded soak of the scenario whose loopback play is the
//! reproduction of incident 437179.

use lab::search::draw::Bounds;
use lab::search::{search, Plan};
use lab::virtual_host::{run, Real, Virtual};
use std::num::NonZeroUsize;
use world::outcome::Rule;
use world::scenario::{FaultKind, Scenario};

const BURST: &str = include_str!("../../../scenarios/slow_start_burst.toml");
const PAYDAY: &str = include_str!("../../../scenarios/payday.toml");
/// Of the searches, as in the list of known failures.
const SEED: u64 = 4411;

/// The seeds with which what all proxies sent together overloaded a server in slow start.
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

fn scenario(text: &str) -> Scenario {
    toml::from_str(text).expect("a scenario")
}

fn burst() -> Scenario {
    scenario(BURST)
}

/// The runs of a search that overload a server in slow start.
fn overloading_runs(base: &Scenario, kinds: &[FaultKind], seed: u64, runs: u64) -> Vec<u64> {
    let plan = Plan {
        seed,
        runs,
        bounds: Bounds { kinds: kinds.to_vec(), ..Bounds::default() },
        shrunk: 0,
        shrink_runs: 0,
        threads: std::thread::available_parallelism().unwrap_or(NonZeroUsize::MIN),
    };
    let found = search(&Virtual::default(), base, &plan, None, &|| ()).expect("a search");
    let slow_start = |rule| matches!(rule, Some(Rule::FailBack | Rule::SlowStart));
    found
        .into_iter()
        .filter(|failure| slow_start(failure.how.rule()))
        .map(|failure| failure.position)
        .collect()
}

/// Short forms of the searches that found misses counted as capacity: 240 and 144 of 300 runs with a zone cut off and with
/// more traffic. In small fleets 21 of 300 broke the rule on calls: there too misses made up to a half more of a server than
/// it can do. A search with `nodes.0.miss_work=1.0` seemed to show a second cause; the scenario has a second group of
/// nodes, and with theirs set as well 0 of 300 broke.
#[test]
fn drawn_faults_overload_no_server_in_slow_start() {
    let hall_cut = overloading_runs(&burst(), &[FaultKind::HallCut], SEED + 1, 12);
    assert!(hall_cut.is_empty(), "a zone is cut off: runs {hall_cut:?}");
    let more = overloading_runs(&burst(), &[FaultKind::Payday], SEED + 1, 12);
    assert!(more.is_empty(), "more traffic: runs {more:?}");
    let few = overloading_runs(&scenario(PAYDAY), &FaultKind::ALL, SEED, 40);
    assert!(few.is_empty(), "three proxies: runs {few:?}");
}

#[test]
fn bursts_overload_no_server_in_slow_start() {
    let seeds = overloaded(&burst(), 1..9);
    assert!(seeds.is_empty(), "overloaded with seeds {seeds:?}");
}

/// Servers of one weight differ, misses take a tenth of the work of a hit, and traffic stays over capacity: a slow server in
/// slow start fell over. A proxy took every answer of warm servers for a request that they can do, so that misses passed for
/// capacity. What showed it: with `--set nodes.0.miss_work=1.0` a search with `--kinds hall_cut` breaks 0 runs of 300 where 240
/// break without; with answers that hit alone counted, 0 of 300 as it stands.
#[test]
fn unequal_servers_with_misses_of_next_to_no_work_are_not_overloaded() {
    let mut scenario = burst();
    scenario.rules.fall_multiple = 2.0;
    scenario.nodes[0].miss_work = 0.1;
    scenario.nodes[0].speed_spread = 0.18;
    // The scenario as it is, with the seeds that a soak of fifty found.
    let mut seeds = overloaded(&burst(), 1020..1022);
    seeds.extend(overloaded(&scenario, 1..25));
    assert!(seeds.is_empty(), "overloaded with seeds {seeds:?}");
}
