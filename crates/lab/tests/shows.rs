//! Small ones of the two long shows: a release in which seven in ten proxies die at once, and a day of churn after
//! which no table of a proxy has grown. The full ones are `scenarios/mass_herd.toml` and `scenarios/soak.toml`.

use lab::input::file;
use lab::report::run::unmet;
use lab::virtual_host::fault_injection::{FaultyProxies, ProxyFault};
use lab::virtual_host::{run, Real, Start, Subject, Subjects};
use std::collections::BTreeSet;
use std::sync::Mutex;
use world::outcome::Run;
use world::scenario::{Fault, FaultKind, Scenario};

const HERD: &str = include_str!("../../../scenarios/mass_herd.toml");
const SOAK: &str = include_str!("../../../scenarios/soak.toml");

/// A tenth of the fleet and its traffic, of which each proxy and node sees as much as in the full one.
fn herd() -> Scenario {
    let mut s: Scenario = file::parse(HERD, "mass_herd").expect("a right scenario");
    (s.proxies.count, s.nodes[0].count, s.clients.rate_per_s) = (30, 20, 450.0);
    s.clients.popularity.keys = 1_200;
    s.seconds = 22.0;
    s.faults.iter_mut().filter(|f| f.kind == FaultKind::Replace).for_each(|f| f.nodes = Some(4));
    s.expect.served_worth = Some(0.75);
    s
}

/// The first ninety seconds, in which all nodes are replaced, with the day's other faults left out: a proxy keeps what
/// it keeps by then.
fn soak() -> Scenario {
    let mut s: Scenario = file::parse(SOAK, "soak").expect("a right scenario");
    (s.seconds, s.sizes_every_s, s.clients.rate_per_s) = (90.0, Some(1.0), 60.0);
    s.clients.popularity.keys = 200;
    s.clients.popularity.drift_per_s = 0.0;
    s.faults.retain(|f| f.kind == FaultKind::Replace && f.at_s < s.seconds);
    s.faults.iter_mut().for_each(|f| (f.at_s, f.every_s) = (2.0, Some(9.0)));
    s.expect.served_worth = None;
    s
}

/// The proxy as it is, and when each was started.
#[derive(Default)]
struct Starts(Mutex<Vec<(u32, i64)>>);

impl Subjects for Starts {
    fn start(&self, start: Start) -> Box<dyn Subject> {
        self.0.lock().expect("no panic").push((start.proxy.0, start.now));
        Real.start(start)
    }
}

/// Who was started anew.
fn struck(scenario: &Scenario, seed: u64) -> (BTreeSet<u32>, Run) {
    let starts = Starts::default();
    let run = run(scenario, seed, &starts, &mut |_| {}).expect("it runs");
    let starts = starts.0.into_inner().expect("no panic");
    let again: Vec<(u32, i64)> = starts.into_iter().filter(|(_, at)| *at > 0).collect();
    assert!(again.iter().all(|(_, at)| *at == 11_000_000), "all at once: {again:?}");
    (again.into_iter().map(|(proxy, _)| proxy).collect(), run)
}

#[test]
fn seven_in_ten_of_the_proxies_die_at_once_drawn_by_the_seed_and_the_rest_serve() {
    let scenario = herd();
    let (died, run) = struck(&scenario, 1);
    assert_eq!(died.len(), 21);
    let mark = run.faults.iter().find(|f| f.kind == "proxy_crash").expect("it was played");
    assert_eq!(mark.what, "21 of 30 proxies");
    assert_eq!(run.rules_broken, []);
    assert_eq!(unmet(&scenario.expect, &run), Vec::<String>::new());
    let last = &run.timeline[20];
    assert!(last.worth_served > 0.85 * last.worth_asked, "{last:?}");
    assert_ne!(struck(&scenario, 2).0, died, "another seed strikes others");
}

/// The tables that have grown, as a run says it.
fn grown(scenario: &Scenario, subjects: &dyn Subjects) -> Vec<String> {
    let run = run(scenario, 1, subjects, &mut |_| {}).expect("it runs");
    assert_eq!(run.rules_broken, []);
    let sizes = run.sizes.as_ref().expect("they were asked for");
    assert!(sizes.tables.len() > 20 && sizes.tables.values().all(|series| series.len() == 90));
    let grown = unmet(&scenario.expect, &run);
    grown.iter().filter_map(|g| Some(g.split_once(" grew from ")?.0.to_owned())).collect()
}

#[test]
fn no_table_grows_from_the_middle_to_the_end() {
    assert!(grown(&soak(), &Real).is_empty());
}

#[test]
fn a_table_that_keeps_answers_is_found() {
    assert_eq!(grown(&soak(), &FaultyProxies(ProxyFault::KeepsAnswers { one_in: 10 })), ["planted.kept"]);
}

/// Three of nine nodes are replaced every 5 s. The rows of those that left stay for ten minutes, and the times of their
/// starts with them, so they grow here; the long day is long enough to see that they stop.
#[test]
fn nodes_that_are_never_forgotten_are_found_in_the_tables_of_core_and_module() {
    let mut scenario = soak();
    let one = scenario.faults.pop().expect("a replacement");
    let again =
        |k| Fault { at_s: 2.0 + 5.0 * f64::from(k), nodes: Some(3), every_s: Some(0.5), ..one.clone() };
    scenario.faults = (0..16).map(again).collect();
    assert_eq!(grown(&scenario, &Real), ["core.rows", "core.starts"]);
    let found = grown(&scenario, &FaultyProxies(ProxyFault::KeepsGone));
    assert!(["module.servers", "pool.nodes"].iter().all(|t| found.iter().any(|f| f == t)), "{found:?}");
}

#[test]
fn what_no_scenario_asks_for_is_not_taken() {
    let scenario = Scenario { seconds: 1.0, ..Scenario::default() };
    assert_eq!(run(&scenario, 1, &Real, &mut |_| {}).expect("it runs").sizes, None);
}
