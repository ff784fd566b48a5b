//! The load generator against scripted proxies: what a proxy does must show in the measured results.

use lab::host::Silent;
use lab::loopback::scripted::Answering;
use lab::loopback::{play, Proxies};
use std::sync::Mutex;
use std::time::{Duration, Instant};
use world::outcome::{Rule, Run};
use world::world::World;

/// Plays 1.5 seconds of one class of requests against one proxy.
fn run_against(proxy: &Answering) -> Run {
    let world =
        World::builder().seconds(1.5).rate(200.0).proxies(1).class(|_| {}).build(1).expect("valid world");
    play(world, &Proxies::External(vec![proxy.address()]), &Silent).expect("run succeeds").run
}

fn p99(run: &Run) -> i64 {
    run.tally.classes[0].latency_us.quantile(0.99).expect("requests were served")
}

#[test]
fn a_proxy_that_stops_for_200_ms_shows_it_in_the_99th_percentile() {
    let quick = Answering::start(|key, id| Some(Answering::made(key, id))).expect("proxy starts");
    let calm = run_against(&quick);
    // The proxy stops once, half a second after its first request, for every request in that time and not
    // only one.
    let first = Mutex::new(None);
    let stops = Answering::start(move |key, id| {
        let now = Instant::now();
        let since = *first.lock().expect("lock").get_or_insert(now);
        let (from, until) = (since + Duration::from_millis(500), since + Duration::from_millis(700));
        if (from..until).contains(&now) {
            std::thread::sleep(until - now);
        }
        Some(Answering::made(key, id))
    });
    let stopped = run_against(&stops.expect("proxy starts"));
    assert!(p99(&stopped) > 150_000, "{}", p99(&stopped));
    // A pause of the machine itself would look the same, so a run that is void is not checked.
    for run in [&calm, &stopped].into_iter().filter(|run| !run.late.void) {
        // The proxy asks no node, so that its made-up answers are the only rule it may break.
        assert!(
            run.rules_broken.iter().all(|b| b.what.ends_with("for which nothing was made")),
            "{:?}",
            run.rules_broken
        );
        assert_eq!(run.served_worth(), 1.0, "{:?}", run.tally.all());
    }
    assert!(calm.late.void || p99(&calm) < 150_000, "{}", p99(&calm));
    let middle = stopped.tally.classes[0].latency_us.quantile(0.5).expect("requests were served");
    assert!(stopped.late.void || middle < 150_000, "most did not meet the stop: {middle}");
}

#[test]
fn a_value_that_was_made_for_another_request_breaks_a_rule() {
    let last = Mutex::new(None);
    let proxy = Answering::start(move |key, id| {
        let made = Answering::made(key, id);
        let before = last.lock().expect("lock").replace(made.clone());
        Some(before.unwrap_or(made))
    });
    let run = run_against(&proxy.expect("proxy starts"));
    assert!(run.rules_broken.iter().any(|b| b.rule == Rule::OneAnswer && b.what.contains("with what")));
}
