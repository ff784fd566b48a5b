//! Tests of the virtual host: runs are deterministic, the real proxy keeps the rules, and injected faults are
//! found.

use lab::virtual_host::fault_injection::{FaultyProxies, ProxyFault};
use lab::virtual_host::{play, run, Real, Start, Subject, Subjects};
use martenweir::core::{Effect, Input};
use rstest::rstest;
use world::node::{Answer, Script, Step};
use world::outcome::{Breach, Rule, Run};
use world::scenario::{Fault, FaultKind, Scenario};
use world::world::{Builder, World};

/// Ten seconds of the default world with two proxies.
fn ten_seconds() -> Builder {
    World::builder().seconds(10.0).proxies(2).with(|s| s.discovery.notice_s = [0.3, 0.5])
}

fn play_world(builder: Builder, subjects: &dyn Subjects) -> Run {
    play(builder.build(3).expect("a valid world"), subjects, &mut |_| {}).expect("it runs")
}

fn json(scenario: &Scenario, seed: u64) -> String {
    let run = run(scenario, seed, &Real, &mut |_| {}).expect("it runs");
    serde_json::to_string(&run).expect("it can be written")
}

/// A scenario with nine faults of different kinds.
fn faulty_scenario() -> Scenario {
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
    let scenario = faulty_scenario();
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
    let run = run(&faulty_scenario(), 1, &Real, &mut |_| {}).expect("it runs");
    let all = run.tally.all();
    assert!(all.requests > 2_000);
    assert_eq!(all.requests, all.in_time + all.late + all.refused + all.failed + all.left);
    let sums = run.timeline.iter().fold((0.0, 0.0), |s, t| (s.0 + t.worth_asked, s.1 + t.worth_served));
    assert!((sums.0 - all.worth_asked).abs() < 1e-6 && (sums.1 - all.worth_served).abs() < 1e-6);
    assert_eq!(run.faults.len(), 9);
}

#[test]
fn real_proxy_keeps_the_rules_in_a_world_without_faults() {
    let run = play_world(ten_seconds(), &Real);
    assert_eq!(run.rules_broken, []);
    assert!(run.served_worth() > 0.9, "{}", run.served_worth());
}

#[rstest]
#[case::lost_answer(ProxyFault::LosesAnswer { one_in: 500 }, None, Rule::OneAnswer)]
#[case::value_of_another_request(ProxyFault::SwapsAnswer { one_in: 500 }, None, Rule::OneAnswer)]
#[case::invented_value(
    ProxyFault::InventsAnswer,
    Some(Fault::new(FaultKind::StopLedger, 2.0, 3.0)),
    Rule::OneAnswer
)]
#[case::second_execution(ProxyFault::RunsAgain { one_in: 20, after: 4_200_000 }, None, Rule::RunOnce)]
#[case::send_after_drain(
    ProxyFault::SendsAfterDrain { after: 2_600_000 },
    Some(Fault { nodes: Some(1), down_s: Some(8.0), ..Fault::new(FaultKind::Drain, 1.0, 0.0) }),
    Rule::Drain
)]
#[case::flood_on_a_cold_node(
    ProxyFault::FloodsCold,
    Some(Fault { nodes: Some(1), ..Fault::new(FaultKind::Grow, 1.0, 0.0) }),
    Rule::FailBack
)]
fn an_injected_fault_is_found(
    #[case] proxy_fault: ProxyFault,
    #[case] fault: Option<Fault>,
    #[case] rule: Rule,
) {
    let world = |fault: &Option<Fault>| fault.iter().fold(ten_seconds(), |b, f| b.fault(f.clone()));
    let run = play_world(world(&fault), &FaultyProxies(proxy_fault));
    assert!(!run.rules_broken.is_empty(), "{proxy_fault:?} was not found");
    assert!(run.rules_broken.iter().any(|b| b.rule == rule), "{:?}", run.rules_broken);
    // A flood on a node in slow start also breaks the rule of slow start.
    let both = |b: &Breach| rule == Rule::FailBack && b.rule == Rule::SlowStart;
    assert!(run.rules_broken.iter().all(|b| b.rule == rule || both(b)), "{:?}", run.rules_broken);
    assert_eq!(
        play_world(world(&fault), &Real).rules_broken,
        [],
        "no rule is broken without the injected fault"
    );
}

/// Guards the model of restarts: a proxy that shuts down must have the time to answer its open requests even
/// if its restart is due before that, and starting a proxy that runs must change nothing.
#[test]
fn proxies_restarted_at_short_intervals_lose_no_request() {
    let restart =
        Fault { every_s: Some(1.0), down_s: Some(0.1), ..Fault::new(FaultKind::ProxyRestart, 1.0, 0.0) };
    let again = Fault { proxy: Some(1), ..Fault { at_s: 3.5, ..restart.clone() } };
    let run = play_world(ten_seconds().fault(restart).fault(again), &Real);
    assert_eq!(run.rules_broken, []);
    assert!(run.timeline[9].served > 200, "all proxies should be back by then: {}", run.timeline[9].served);
    let crash = Fault { proxy: Some(0), down_s: Some(0.5), ..Fault::new(FaultKind::ProxyCrash, 2.0, 0.0) };
    let run = play_world(ten_seconds().fault(crash), &Real);
    assert!(run.tally.all().failed > 0, "the open requests of a crashed proxy should fail");
    assert_eq!(run.rules_broken, [], "a crash itself breaks no rule");
}

#[test]
fn origin_overload_by_misses_of_a_cold_node_is_found() {
    // The high fall_multiple keeps the cold node from overload. The origin is sized for a small world.
    let cold_node_not_overloaded =
        |s: &mut Scenario| (s.rules.fall_multiple, s.clients.rate_per_s) = (1_000.0, 60.0);
    let grow = Fault { nodes: Some(1), ..Fault::new(FaultKind::Grow, 1.0, 0.0) };
    let world = || ten_seconds().with(cold_node_not_overloaded).fault(grow.clone());
    let run = play_world(world(), &FaultyProxies(ProxyFault::FetchesForCold));
    assert!(!run.rules_broken.is_empty() && run.rules_broken.iter().all(|b| b.rule == Rule::FailBack));
    assert!(run.tally.ledger_stops > 0);
    assert_eq!(play_world(world(), &Real).rules_broken, []);
}

#[test]
fn a_keyed_read_executed_at_a_node_has_no_effect_at_the_origin() {
    let keyed = |s: &mut Scenario| s.clients.classes[1].write = false;
    assert_eq!(play_world(ten_seconds().with(keyed), &Real).rules_broken, []);
}

#[test]
fn a_repeated_write_within_the_window_is_executed_once() {
    let run =
        play_world(ten_seconds(), &FaultyProxies(ProxyFault::RunsAgain { one_in: 20, after: 3_000_000 }));
    assert_eq!(run.rules_broken, [], "the origin drops the duplicate");
}

#[test]
fn a_fault_triggered_by_two_conditions_is_not_found_with_one() {
    let drain = Fault { nodes: Some(1), down_s: Some(8.0), ..Fault::new(FaultKind::Drain, 1.0, 0.0) };
    let errors = Fault { nodes: Some(2), rate: Some(0.5), ..Fault::new(FaultKind::Errors, 2.0, 4.0) };
    let broken = |faults: &[&Fault]| {
        let world = faults.iter().fold(ten_seconds(), |b, f| b.fault((*f).clone()));
        play_world(world, &FaultyProxies(ProxyFault::LosesWhileDrainedAndFailing)).breaches
    };
    assert_eq!(broken(&[&drain]), 0);
    assert_eq!(broken(&[&errors]), 0);
    assert!(broken(&[&drain, &errors]) > 0);
}

/// The real proxy with a pause: its input between `from` and `until` is held back and delivered all at once
/// afterwards.
struct Pauses {
    inner: Box<dyn Subject>,
    from: i64,
    until: i64,
    held_back: Vec<Input>,
}

impl Subject for Pauses {
    fn input(&mut self, now: i64, input: Input) {
        match (self.from..self.until).contains(&now) {
            true => self.held_back.push(input),
            false => self.inner.input(now, input),
        }
    }
    fn tick(&mut self, now: i64) {
        if !(self.from..self.until).contains(&now) {
            self.held_back.drain(..).for_each(|input| self.inner.input(now, input));
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
fn a_pause_of_200_ms_shows_in_the_99th_percentile() {
    // One proxy and one node, which answers every request after 20 ms.
    let answer = Step::answer(Answer::Value).after(20_000);
    let world = || {
        let b = World::builder().seconds(5.0).halls(["hofdi"]).proxies(1).nodes("full-node", 1, |_| {});
        b.rate(200.0).class(|_| {}).script(0, Script::new([]).then(answer))
    };
    let p99 = |subjects: &dyn Subjects| {
        let run = play_world(world(), subjects);
        assert_eq!(run.rules_broken, []);
        run.tally.classes[0].latency_us.quantile(0.99).expect("something was served")
    };
    let without_pause = p99(&Real);
    let paused = p99(&|start: Start| -> Box<dyn Subject> {
        Box::new(Pauses {
            inner: Real.start(start),
            from: 2_000_000,
            until: 2_200_000,
            held_back: Vec::new(),
        })
    });
    assert!(without_pause < 80_000, "{without_pause}");
    assert!(
        paused > without_pause + 90_000,
        "1 in 25 requests arrives in the pause, and half of those wait 100 ms: {paused}"
    );
}

#[test]
fn a_panic_of_the_proxy_ends_the_run_with_its_message() {
    struct Panics;
    impl Subject for Panics {
        fn input(&mut self, _: i64, _: Input) {
            panic!("index out of range");
        }
        fn tick(&mut self, _: i64) {}
        fn take_effects(&mut self, _: &mut Vec<Effect>) {}
        fn open_streams(&self) -> usize {
            0
        }
    }
    let subjects = |_: Start| -> Box<dyn Subject> { Box::new(Panics) };
    let world = ten_seconds().build(1).expect("a valid world");
    let failure = play(world, &subjects, &mut |_| {}).expect_err("it crashed");
    assert_eq!(failure.to_string(), "the proxy crashed: index out of range");
}
