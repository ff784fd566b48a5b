use super::*;

fn watch(routers: u32, pushed: bool, grace: Micros, seed: u64) -> Watch {
    let settings = Settings { routers, must_subscribe: !pushed, drain_grace: grace, ..Settings::default() };
    Watch::new(0, &settings, seed)
}

/// The times at which proxies call, all cut off at once, while discovery turns every call away at once.
fn calls(routers: u32, until: Micros) -> Vec<Micros> {
    let mut all = Vec::new();
    for seed in 0..u64::from(routers) {
        let mut watch = watch(routers, false, 2_500_000, seed);
        let mut at = watch.ended(0);
        while at <= until {
            assert!(watch.due(at), "what was put off is made");
            assert!(!watch.due(at), "and made once");
            all.push(at);
            at = watch.ended(at);
        }
    }
    all
}

#[test]
fn a_fleet_that_lost_discovery_at_once_calls_it_a_bounded_number_of_times_a_second() {
    // Three hundred have to call more often than that later on: each within what counts as told.
    for (routers, later) in [(16, 40), (100, 40), (200, 40), (300, 60)] {
        let all = calls(routers, 20_000_000);
        let most = (0..20).map(|s| all.iter().filter(|at| **at / 1_000_000 == s).count()).max();
        assert!(most <= Some(75), "{routers} proxies: {most:?} calls in a second");
        let late = all.iter().filter(|at| **at >= 10_000_000).count() / 10;
        assert!(late <= later, "{routers} proxies: {late} a second later on");
    }
}

#[test]
fn a_lone_proxy_calls_again_soon() {
    let mut watch = watch(1, false, 2_500_000, 7);
    assert!((LEAST..=2 * LEAST).contains(&watch.ended(0)));
}

#[test]
fn silence_while_a_call_is_put_off_adds_no_second_chain() {
    let mut watch = watch(1_000, false, 2_500_000, 7);
    let at = watch.ended(0);
    assert!(!watch.is_silent(at.max(60_000_000)), "it is known to be gone");
    assert!(watch.due(at));
    assert!(!watch.is_silent(at + UNANSWERED - 1), "a call may wait its turn");
    assert!(watch.is_silent(at + UNANSWERED) && watch.look(at) == at + UNANSWERED);
    watch.heard(at + UNANSWERED + 2);
    assert!(!watch.is_silent(at + UNANSWERED + 3) && !watch.due(Micros::MAX), "news ends the chain");
}

/// When a proxy whose watch said its last word at 0 calls again.
fn calls_again(mut watch: Watch) -> Micros {
    watch.heard(0);
    let noticed = watch.look(0);
    assert!(watch.is_silent(noticed) && !watch.is_silent(noticed - 1));
    watch.ended(noticed)
}

#[test]
fn a_fleet_whose_watches_fall_silent_at_once_calls_again_before_what_it_missed_counts_as_told() {
    let fleets = [(1, true), (100, false), (273, true), (321, false), (1_000, true), (1_000, false)];
    for ((routers, pushed), grace) in fleets.into_iter().flat_map(|f| GRACES.map(|g| (f, g))) {
        let all = (0..u64::from(routers)).map(|seed| calls_again(watch(routers, pushed, grace, seed)));
        let all: Vec<Micros> = all.collect();
        assert!(
            all.iter().all(|at| (SILENCE..=KNOWN).contains(at)),
            "{routers} proxies: {:?}",
            all.iter().max()
        );
        // Nor all in one moment, where it is one service that is asked.
        let most = (0..12).map(|n| all.iter().filter(|at| **at / 500_000 == n).count()).max();
        assert!(
            pushed || routers < 100 || most <= Some(routers as usize / 3),
            "{routers} proxies: {most:?} in 0.5 s"
        );
    }
}

const GRACES: [Micros; 4] = [200_000, 500_000, 2_500_000, 5_000_000];
/// What the rules on sockets allow on top.
const SLACK: Micros = 50_000;

/// Guards the rule on drains where lists are pushed: a watch that ends, a call that is swallowed after it, and the
/// one after that leave at least a quarter of the grace for the answer, however long discovery was down before.
#[test]
fn where_lists_are_pushed_a_watch_that_ends_and_a_call_that_is_swallowed_fit_well_into_the_grace() {
    for (routers, grace) in [1, 16, 300, 1_000].into_iter().flat_map(|n| GRACES.map(|g| (n, g))) {
        for seed in 0..200 {
            let mut watch = watch(routers, true, grace, seed);
            watch.heard(0);
            let mut ended = 10;
            for call in 0..20 {
                let at = watch.ended(ended);
                let told = format!("{routers} proxies, {grace} us: call {call} {} us later", at - ended);
                assert!((ended + grace / 20..=ended + grace / 4).contains(&at), "{told}");
                assert!(watch.due(at), "{told}");
                let given_up = watch.look(at);
                assert!(watch.is_silent(given_up), "{told}");
                // The agent may hear of a drain right after it swallowed the call.
                let again = watch.ended(given_up);
                assert!(again - at <= grace * 3 / 4, "{told}, and again {} us later", again - at);
                // And before that the watch may have ended.
                assert!(again - ended <= grace + SLACK, "{told}, and {} us", again - ended);
                assert!(watch.due(again), "{told}");
                ended = again + 1;
            }
        }
    }
}

/// An agent that answers, though it takes a moment, is never called in a circle.
#[test]
fn an_answer_within_a_tenth_of_a_second_is_never_given_up() {
    for grace in GRACES {
        let mut watch = watch(300, true, grace, 7);
        let at = watch.ended(0);
        assert!(watch.due(at) && !watch.is_silent(at + ANSWER - 1), "{grace} us");
    }
}

/// How a call comes to nothing.
#[derive(Clone, Copy, Debug)]
enum Fails {
    /// Refused, or turned away, at once.
    AtOnce,
    /// Swallowed, and given up.
    GivenUp,
    /// Turned away after a wait of its turn, in us.
    After(Micros),
}

/// Guards the term that goes before all others on calls that failed: a change counts as told 6 s after discovery had it
/// and could be reached. Discovery may be back right after a call of which nothing came, however many did before; so
/// from one call to the next there are 6 s, less what the answer takes.
#[test]
fn whatever_failed_before_the_next_call_leaves_time_for_its_answer_within_what_counts_as_told() {
    let ways = [Fails::AtOnce, Fails::GivenUp, Fails::After(2_000_000), Fails::After(4_000_000)];
    for (routers, grace) in [1, 16, 100, 300, 1_000].into_iter().flat_map(|n| GRACES.map(|g| (n, g))) {
        for (seed, pushed) in (0..200).flat_map(|seed| [(seed, false), (seed, true)]) {
            let mut watch = watch(routers, pushed, grace, seed);
            let mut called = 0;
            for call in 0..20 {
                // All alike, or each in its turn.
                let way = ways[if seed < 100 { seed as usize % 4 } else { call % 4 }];
                let given_up = watch.look(called);
                let over = match way {
                    Fails::AtOnce => called + 1_000,
                    Fails::GivenUp => given_up,
                    Fails::After(wait) => given_up.min(called + wait),
                };
                let next = watch.ended(over);
                let told = format!("{routers} proxies, {grace} us, pushed {pushed}, call {call} {way:?}");
                assert!(next - called <= KNOWN - ANSWERS, "{told}: the next {} us later", next - called);
                assert!(watch.due(next), "{told}");
                called = next;
            }
        }
    }
}
