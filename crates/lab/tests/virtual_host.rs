//! The virtual host: the same run each time, a proxy that keeps the rules, and planted faults that are found.

use lab::virtual_host::fault_injection::{FaultyProxies, ProxyFault};
use lab::virtual_host::{play, run, Real, Start, Subject, Subjects};
use martenweir::core::{Effect, Input};
use rstest::rstest;
use world::node::{Answer, Script, Step};
use world::outcome::{Breach, Rule, Run};
use world::scenario::{Fault, FaultKind, Scenario};
use world::world::{Builder, World};

/// Ten seconds of the operators' world, with two proxies.
fn short() -> Builder {
    World::builder().seconds(10.0).proxies(2).with(|s| s.discovery.notice_s = [0.3, 0.5])
}

fn played(builder: Builder, subjects: &dyn Subjects) -> Run {
    play(builder.build(3).expect("a valid world"), subjects, &mut |_| {}).expect("it runs")
}

fn json(scenario: &Scenario, seed: u64) -> String {
    let run = run(scenario, seed, &Real, &mut |_| {}).expect("it runs");
    serde_json::to_string(&run).expect("it can be written")
}

/// A run in which much goes wrong.
fn rough() -> Scenario {
    let fault = |kind, at, long| Fault::new(kind, at, long);
    let faults = vec![
        Fault { part: Some(0.15), ..fault(FaultKind::Hang, 1.0, 3.0) },
        Fault { times: Some(5.0), ..fault(FaultKind::SlowLedger, 2.0, 3.0) },
        Fault { hall: Some("hofdi".into()), ..fault(FaultKind::HallCut, 3.0, 2.0) },
        Fault { nodes: Some(2), ..fault(FaultKind::Crash, 4.0, 0.0) },
        Fault { nodes: Some(1), ..fault(FaultKind::Replace, 5.0, 0.0) },
        Fault { proxy: Some(0), ..fault(FaultKind::ProxyCrash, 5.5, 0.0) },
        Fault { rate: Some(0.05), ..fault(FaultKind::BreakConnections, 6.0, 2.0) },
        Fault { nodes: Some(2), ..fault(FaultKind::Grow, 6.0, 1.0) },
        fault(FaultKind::StopLedger, 8.0, 1.0),
    ];
    Scenario { seconds: 10.0, faults, ..Scenario::default() }
}

#[test]
fn one_scenario_and_one_seed_give_one_result_on_any_thread() {
    let scenario = rough();
    let first = json(&scenario, 5);
    let threads = std::thread::scope(|s| {
        let started: Vec<_> = (0..4)
            .map(|i| {
                s.spawn({
                    let scenario = &scenario;
                    move || json(scenario, 5 + i % 2)
                })
            })
            .collect();
        started.into_iter().map(|t| t.join().expect("no panic")).collect::<Vec<_>>()
    });
    assert_eq!(first, threads[0]);
    assert_eq!(first, threads[2]);
    assert_ne!(first, threads[1], "another seed is another run");
}

#[test]
fn every_request_has_one_end() {
    let run = run(&rough(), 1, &Real, &mut |_| {}).expect("it runs");
    let all = run.tally.all();
    assert!(all.requests > 2_000);
    assert_eq!(all.requests, all.in_time + all.late + all.refused + all.failed + all.left);
    let sums = run.timeline.iter().fold((0.0, 0.0), |s, t| (s.0 + t.worth_asked, s.1 + t.worth_served));
    assert!((sums.0 - all.worth_asked).abs() < 1e-6 && (sums.1 - all.worth_served).abs() < 1e-6);
    assert_eq!(run.faults.len(), 9);
}

#[test]
fn the_proxy_as_it_is_keeps_the_rules_and_serves_a_calm_world() {
    let run = played(short(), &Real);
    assert_eq!(run.rules_broken, []);
    assert!(run.served_worth() > 0.9, "{}", run.served_worth());
}

#[rstest]
#[case::a_lost_request(ProxyFault::LosesAnswer { one_in: 500 }, None, Rule::OneAnswer)]
#[case::anothers_value(ProxyFault::SwapsAnswer { one_in: 500 }, None, Rule::OneAnswer)]
#[case::an_invented_value(
    ProxyFault::InventsAnswer,
    Some(Fault::new(FaultKind::StopLedger, 2.0, 3.0)),
    Rule::OneAnswer
)]
#[case::a_second_run(ProxyFault::RunsAgain { one_in: 20, after: 4_200_000 }, None, Rule::RunOnce)]
#[case::a_send_after_a_drain(
    ProxyFault::SendsAfterDrain { after: 2_600_000 },
    Some(Fault { nodes: Some(1), down_s: Some(8.0), ..Fault::new(FaultKind::Drain, 1.0, 0.0) }),
    Rule::Drain
)]
#[case::a_flood_on_a_cold_node(
    ProxyFault::FloodsCold,
    Some(Fault { nodes: Some(1), ..Fault::new(FaultKind::Grow, 1.0, 0.0) }),
    Rule::FailBack
)]
fn a_planted_fault_is_found(#[case] plant: ProxyFault, #[case] fault: Option<Fault>, #[case] rule: Rule) {
    let world = |fault: &Option<Fault>| fault.iter().fold(short(), |b, f| b.fault(f.clone()));
    let run = played(world(&fault), &FaultyProxies(plant));
    assert!(!run.rules_broken.is_empty(), "{plant:?} was not found");
    assert!(run.rules_broken.iter().any(|b| b.rule == rule), "{:?}", run.rules_broken);
    // A flood on a cold node is too much work in too many calls.
    let both = |b: &Breach| rule == Rule::FailBack && b.rule == Rule::SlowStart;
    assert!(run.rules_broken.iter().all(|b| b.rule == rule || both(b)), "{:?}", run.rules_broken);
    assert_eq!(played(world(&fault), &Real).rules_broken, [], "without the plant nothing is found");
}

/// Guards the model: a proxy that is told to end has the time to answer what it took, however soon it is to start
/// anew, and a start of one that runs changes nothing.
#[test]
fn proxies_that_are_restarted_in_haste_lose_nothing() {
    let restart =
        Fault { every_s: Some(1.0), down_s: Some(0.1), ..Fault::new(FaultKind::ProxyRestart, 1.0, 0.0) };
    let again = Fault { proxy: Some(1), ..Fault { at_s: 3.5, ..restart.clone() } };
    let run = played(short().fault(restart).fault(again), &Real);
    assert_eq!(run.rules_broken, []);
    assert!(run.timeline[9].served > 200, "all are back by then: {}", run.timeline[9].served);
    let crash = Fault { proxy: Some(0), down_s: Some(0.5), ..Fault::new(FaultKind::ProxyCrash, 2.0, 0.0) };
    let run = played(short().fault(crash), &Real);
    assert!(run.tally.all().failed > 0, "what a dead proxy had is lost to its clients");
    assert_eq!(run.rules_broken, [], "and not by its fault");
}

#[test]
fn a_ledger_swamped_by_misses_at_a_cold_node_is_found() {
    // The cold node itself bears it here; the ledger is made for a small world.
    let bears = |s: &mut Scenario| (s.rules.fall_multiple, s.clients.rate_per_s) = (1_000.0, 60.0);
    let grow = Fault { nodes: Some(1), ..Fault::new(FaultKind::Grow, 1.0, 0.0) };
    let world = || short().with(bears).fault(grow.clone());
    let run = played(world(), &FaultyProxies(ProxyFault::FetchesForCold));
    assert!(!run.rules_broken.is_empty() && run.rules_broken.iter().all(|b| b.rule == Rule::FailBack));
    assert!(run.tally.ledger_stops > 0);
    assert_eq!(played(world(), &Real).rules_broken, []);
}

#[test]
fn a_keyed_read_that_ran_at_a_node_has_no_effect_at_the_ledger() {
    let keyed = |s: &mut Scenario| s.clients.classes[1].write = false;
    assert_eq!(played(short().with(keyed), &Real).rules_broken, []);
}

#[test]
fn a_repeat_within_the_window_runs_once() {
    let run = played(short(), &FaultyProxies(ProxyFault::RunsAgain { one_in: 20, after: 3_000_000 }));
    assert_eq!(run.rules_broken, [], "the ledger drops it");
}

#[test]
fn a_fault_that_needs_two_at_once_is_not_seen_with_one() {
    let drain = Fault { nodes: Some(1), down_s: Some(8.0), ..Fault::new(FaultKind::Drain, 1.0, 0.0) };
    let errors = Fault { nodes: Some(2), rate: Some(0.5), ..Fault::new(FaultKind::Errors, 2.0, 4.0) };
    let broken = |faults: &[&Fault]| {
        let world = faults.iter().fold(short(), |b, f| b.fault((*f).clone()));
        played(world, &FaultyProxies(ProxyFault::LosesWhileDrainedAndFailing)).breaches
    };
    assert_eq!(broken(&[&drain]), 0);
    assert_eq!(broken(&[&errors]), 0);
    assert!(broken(&[&drain, &errors]) > 0);
}

/// The proxy as it is, but for a stop: from a moment on it hears nothing for a while, and then all at once.
struct Stops {
    inner: Box<dyn Subject>,
    from: i64,
    until: i64,
    kept: Vec<Input>,
}

impl Subject for Stops {
    fn input(&mut self, now: i64, input: Input) {
        match (self.from..self.until).contains(&now) {
            true => self.kept.push(input),
            false => self.inner.input(now, input),
        }
    }
    fn tick(&mut self, now: i64) {
        if !(self.from..self.until).contains(&now) {
            self.kept.drain(..).for_each(|input| self.inner.input(now, input));
            self.inner.tick(now);
        }
    }
    fn take_effects(&mut self, into: &mut Vec<Effect>) {
        self.inner.take_effects(into);
    }
    fn open_streams(&self) -> usize {
        self.inner.open_streams()
    }
}

#[test]
fn a_proxy_that_stops_for_200_ms_shows_it_in_the_99th_percentile() {
    // One node that answers all after 20 ms; one proxy.
    let answer = Step::answer(Answer::Value).after(20_000);
    let world = || {
        let b = World::builder().seconds(5.0).halls(["hofdi"]).proxies(1).nodes("full-node", 1, |_| {});
        b.rate(200.0).class(|_| {}).script(0, Script::new([]).then(answer))
    };
    let p99 = |subjects: &dyn Subjects| {
        let run = played(world(), subjects);
        assert_eq!(run.rules_broken, []);
        run.tally.classes[0].latency_us.quantile(0.99).expect("something was served")
    };
    let calm = p99(&Real);
    let stopped = p99(&|start: Start| -> Box<dyn Subject> {
        Box::new(Stops { inner: Real.start(start), from: 2_000_000, until: 2_200_000, kept: Vec::new() })
    });
    assert!(calm < 80_000, "{calm}");
    assert!(stopped > calm + 90_000, "a twenty-fifth of the requests waited, half of them 100 ms: {stopped}");
}

#[test]
fn a_proxy_that_panics_ends_the_run_with_its_words() {
    struct Panics;
    impl Subject for Panics {
        fn input(&mut self, _: i64, _: Input) {
            panic!("out of its depth");
        }
        fn tick(&mut self, _: i64) {}
        fn take_effects(&mut self, _: &mut Vec<Effect>) {}
        fn open_streams(&self) -> usize {
            0
        }
    }
    let subjects = |_: Start| -> Box<dyn Subject> { Box::new(Panics) };
    let world = short().build(1).expect("a valid world");
    let failure = play(world, &subjects, &mut |_| {}).expect_err("it crashed");
    assert_eq!(failure.to_string(), "the proxy crashed: out of its depth");
}
