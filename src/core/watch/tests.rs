use super::*;

fn watch(routers: u32, pushed: bool, grace: Micros, seed: u64) -> WatchSchedule {
    let settings = Settings { routers, must_subscribe: !pushed, drain_grace: grace, ..Settings::default() };
    WatchSchedule::new(0, &settings, seed)
}

/// The times at which proxies call discovery when all lose it at once and every call is rejected immediately.
fn calls(routers: u32, until: Micros) -> Vec<Micros> {
    let mut all = Vec::new();
    for seed in 0..u64::from(routers) {
        let mut watch = watch(routers, false, 2_500_000, seed);
        let mut at = watch.ended(0);
        while at <= until {
            assert!(watch.due(at), "the scheduled call is due");
            assert!(!watch.due(at), "and is due only once");
            all.push(at);
            at = watch.ended(at);
        }
    }
    all
}

#[test]
fn a_fleet_that_loses_discovery_at_once_calls_it_at_a_bounded_rate() {
    // Three hundred proxies have to call more often later on: each within the time after which changes count
    // as delivered.
    for (routers, max_late_rate) in [(16, 40), (100, 40), (200, 40), (300, 60)] {
        let all = calls(routers, 20_000_000);
        let most = (0..20).map(|s| all.iter().filter(|at| **at / 1_000_000 == s).count()).max();
        assert!(most <= Some(75), "{routers} proxies: {most:?} calls in a second");
        let late_rate = all.iter().filter(|at| **at >= 10_000_000).count() / 10;
        assert!(late_rate <= max_late_rate, "{routers} proxies: {late_rate} a second later on");
    }
}

#[test]
fn a_lone_proxy_calls_again_soon() {
    let mut watch = watch(1, false, 2_500_000, 7);
    assert!((MIN_PAUSE..=2 * MIN_PAUSE).contains(&watch.ended(0)));
}

#[test]
fn silence_while_a_call_is_scheduled_starts_no_second_sequence() {
    let mut watch = watch(1_000, false, 2_500_000, 7);
    let at = watch.ended(0);
    assert!(!watch.is_silent(at.max(60_000_000)), "the watch is already known to be gone");
    assert!(watch.due(at));
    assert!(!watch.is_silent(at + CALL_TIMEOUT - 1), "a call may be queued at discovery");
    assert!(watch.is_silent(at + CALL_TIMEOUT) && watch.next_check(at) == at + CALL_TIMEOUT);
    watch.heard(at + CALL_TIMEOUT + 2);
    assert!(
        !watch.is_silent(at + CALL_TIMEOUT + 3) && !watch.due(Micros::MAX),
        "news cancels the sequence of calls"
    );
}

/// When a proxy calls again whose watch sent its last message at 0.
fn next_call_after_silence(mut watch: WatchSchedule) -> Micros {
    watch.heard(0);
    let noticed = watch.next_check(0);
    assert!(watch.is_silent(noticed) && !watch.is_silent(noticed - 1));
    watch.ended(noticed)
}

#[test]
fn a_fleet_whose_watches_fall_silent_at_once_calls_again_before_missed_changes_count_as_delivered() {
    let fleets = [(1, true), (100, false), (273, true), (321, false), (1_000, true), (1_000, false)];
    for ((routers, pushed), grace) in fleets.into_iter().flat_map(|f| GRACES.map(|g| (f, g))) {
        let all =
            (0..u64::from(routers)).map(|seed| next_call_after_silence(watch(routers, pushed, grace, seed)));
        let all: Vec<Micros> = all.collect();
        assert!(
            all.iter().all(|at| (WATCH_TIMEOUT..=KNOWN_AFTER).contains(at)),
            "{routers} proxies: {:?}",
            all.iter().max()
        );
        // With one shared discovery service the calls must not coincide either.
        let most = (0..12).map(|n| all.iter().filter(|at| **at / 500_000 == n).count()).max();
        assert!(
            pushed || routers < 100 || most <= Some(routers as usize / 3),
            "{routers} proxies: {most:?} in 0.5 s"
        );
    }
}

const GRACES: [Micros; 4] = [200_000, 500_000, 2_500_000, 5_000_000];
/// The tolerance that the socket tests add.
const SLACK: Micros = 50_000;

/// Guards the drain rule where lists are pushed: the end of a watch, an unanswered call after it and the next
/// call leave at least a quarter of the grace period for the answer, however long discovery was down before.
#[test]
fn with_pushed_lists_an_ended_watch_and_an_unanswered_call_fit_into_the_grace_period() {
    for (routers, grace) in [1, 16, 300, 1_000].into_iter().flat_map(|n| GRACES.map(|g| (n, g))) {
        for seed in 0..200 {
            let mut watch = watch(routers, true, grace, seed);
            watch.heard(0);
            let mut ended = 10;
            for call in 0..20 {
                let at = watch.ended(ended);
                let context = format!("{routers} proxies, {grace} us: call {call} {} us later", at - ended);
                assert!((ended + grace / 20..=ended + grace / 4).contains(&at), "{context}");
                assert!(watch.due(at), "{context}");
                let given_up = watch.next_check(at);
                assert!(watch.is_silent(given_up), "{context}");
                // The agent may learn of a drain right after it dropped the call.
                let again = watch.ended(given_up);
                assert!(again - at <= grace * 3 / 4, "{context}, and again {} us later", again - at);
                // The watch may have ended before that.
                assert!(again - ended <= grace + SLACK, "{context}, and {} us", again - ended);
                assert!(watch.due(again), "{context}");
                ended = again + 1;
            }
        }
    }
}

/// A slow agent must not be called in an endless loop without its answer being accepted.
#[test]
fn an_answer_within_a_tenth_of_a_second_is_never_given_up() {
    for grace in GRACES {
        let mut watch = watch(300, true, grace, 7);
        let at = watch.ended(0);
        assert!(watch.due(at) && !watch.is_silent(at + MIN_ANSWER_TIME - 1), "{grace} us");
    }
}

/// How a call fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    /// Refused or rejected at once.
    AtOnce,
    /// Unanswered, and given up.
    GivenUp,
    /// Rejected after queueing for this time, in us.
    After(Micros),
}

/// Guards the rule that overrides backoff after failed calls: a change counts as delivered 6 s after
/// discovery had it and was reachable. Discovery may come back right after a failed call, however many failed
/// before, so successive calls are at most 6 s apart, less the time for the answer.
#[test]
fn after_any_failure_the_next_call_leaves_time_for_its_answer() {
    let failures = [Failure::AtOnce, Failure::GivenUp, Failure::After(2_000_000), Failure::After(4_000_000)];
    for (routers, grace) in [1, 16, 100, 300, 1_000].into_iter().flat_map(|n| GRACES.map(|g| (n, g))) {
        for (seed, pushed) in (0..200).flat_map(|seed| [(seed, false), (seed, true)]) {
            let mut watch = watch(routers, pushed, grace, seed);
            let mut called = 0;
            for call in 0..20 {
                // Every call fails the same way, or the ways alternate.
                let failure = failures[if seed < 100 { seed as usize % 4 } else { call % 4 }];
                let given_up = watch.next_check(called);
                let ended_at = match failure {
                    Failure::AtOnce => called + 1_000,
                    Failure::GivenUp => given_up,
                    Failure::After(wait) => given_up.min(called + wait),
                };
                let next = watch.ended(ended_at);
                let context =
                    format!("{routers} proxies, {grace} us, pushed {pushed}, call {call} {failure:?}");
                assert!(
                    next - called <= KNOWN_AFTER - ANSWER_MARGIN,
                    "{context}: the next {} us later",
                    next - called
                );
                assert!(watch.due(next), "{context}");
                called = next;
            }
        }
    }
}
