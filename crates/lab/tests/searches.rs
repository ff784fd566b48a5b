//! Short seeded forms of the searches that found the faults of the proxy and of the lab's rules that `docs/incidents` tells of.

use lab::search::draw::Bounds;
use lab::search::{search, Plan};
use lab::virtual_host::Virtual;
use rstest::rstest;
use std::num::NonZeroUsize;
use world::scenario::{FaultKind, Scenario};

const BURST: &str = include_str!("../../../scenarios/slow_start_burst.toml");
const PAYDAY: &str = include_str!("../../../scenarios/payday.toml");
const ROLLING_RESTART: &str = include_str!("../../../scenarios/rolling_restart.toml");
const FLEET_HERD: &str = include_str!("../../../scenarios/fleet_herd.toml");
const CROWD: &str = include_str!("../../../scenarios/crowd.toml");

/// The runs that fail, and how.
fn failures(base: &Scenario, kinds: &[FaultKind], seed: u64, runs: u64) -> Vec<String> {
    let plan = Plan {
        seed,
        runs,
        bounds: Bounds { kinds: kinds.to_vec(), ..Bounds::default() },
        shrunk: 0,
        shrink_runs: 0,
        threads: std::thread::available_parallelism().unwrap_or(NonZeroUsize::MIN),
    };
    let found = search(&Virtual::default(), base, &plan, None, &|| ()).expect("a search");
    found.into_iter().map(|failure| format!("run {}: {}", failure.position, failure.how)).collect()
}

/// Misses proved capacity (`docs/incidents/misses-as-capacity.md`): 240 and 144 of 300 runs with a zone cut off and with more traffic. In
/// small fleets 21 of 300 broke the rule on calls: there too misses made up to a half more of a server than it can do. A search
/// with `nodes.0.miss_work=1.0` seemed to show a second cause; the scenario has a second group of nodes, and with theirs
/// set as well 0 of 300 broke.
#[rstest]
#[case::a_zone_is_cut_off(BURST, &[FaultKind::HallCut], 4412, 12)]
#[case::more_traffic(BURST, &[FaultKind::Payday], 4412, 12)]
#[case::three_proxies(PAYDAY, &FaultKind::ALL, 4411, 40)]
fn drawn_faults_overload_no_server_in_slow_start(
    #[case] text: &str,
    #[case] kinds: &[FaultKind],
    #[case] seed: u64,
    #[case] runs: u64,
) {
    let base: Scenario = toml::from_str(text).expect("a scenario");
    assert_eq!(failures(&base, kinds, seed, runs), Vec::<String>::new());
}

/// The rules of the lab took proxies for told that no agent had told, and owed answers to clients that had left in time
/// (`docs/incidents/rules-of-the-lab.md`): runs 0 and 27 of the first and run 2 of the last broke by that.
#[rstest]
#[case::discovery_is_silent(ROLLING_RESTART, 4411, 28)]
#[case::proxies_start_with_old_lists(FLEET_HERD, 4411, 12)]
#[case::a_backlog_is_full(CROWD, 4411, 8)]
fn what_the_pages_allow_breaks_no_rule(#[case] text: &str, #[case] seed: u64, #[case] runs: u64) {
    let base: Scenario = toml::from_str(text).expect("a scenario");
    assert_eq!(failures(&base, &FaultKind::ALL, seed, runs), Vec::<String>::new());
}
