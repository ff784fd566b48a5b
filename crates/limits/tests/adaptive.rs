//! Properties of every adaptive limit for any input: bounds, no permanent closing, and the documented
//! behaviour on idle time, errors and clock steps.

use limits::*;
use proptest::prelude::*;

const MS: Micros = 1000;
const SECOND: Micros = 1_000_000;
const RANGE: Range = Range { start: 4.0, min: 0.25, max: 64.0 };

/// The four limits with the minimum of each.
fn all_limits() -> Vec<(&'static str, Box<dyn Limit>, f64)> {
    vec![
        ("aimd", Box::new(Aimd::default()), limits::aimd::MIN_LIMIT),
        ("gradient", Box::new(Gradient::new(RANGE)), RANGE.min),
        ("vegas", Box::new(Vegas::new(RANGE)), RANGE.min),
        ("throughput", Box::new(Throughput::new(RANGE)), RANGE.min),
    ]
}

fn ending(n: u8) -> Ending {
    [Ending::InTime, Ending::Slow, Ending::Refused, Ending::Broken, Ending::Abandoned][usize::from(n) % 5]
}

/// Sends as many as the limit allows and ends each after `time`, for `span`; returns how many were sent,
/// and the maximum in flight.
fn feed(limit: &mut dyn Limit, from: Micros, span: Micros, time: Micros, ending: Ending) -> (u32, u32) {
    let (mut out, mut sent, mut most) = (std::collections::VecDeque::new(), 0, 0);
    for now in (from..from + span).step_by(5 * MS as usize) {
        while out.front().is_some_and(|(t, _)| t + time <= now) {
            let Some((sent, out_at_send)) = out.pop_front() else { break };
            limit.ended(&Sample { now, sent, ending, out_at_send, kept_waiting: true });
        }
        while limit.allows(now, out.len() as u32) && out.len() < 200 {
            limit.sent(now, out.len() as u32 + 1);
            out.push_back((now, out.len() as u32 + 1));
            sent += 1;
        }
        most = most.max(out.len() as u32);
    }
    (sent, most)
}

proptest! {
    /// For any input at any times the limit is a number within its bounds, and after the last end something
    /// may be sent again within three seconds.
    #[test]
    fn arbitrary_input_neither_breaks_a_limit_nor_closes_it_for_good(
        fed in prop::collection::vec(any::<(i64, i64, u8, u32, bool)>(), 0..80),
        near in any::<bool>(), later in 0i64..1_000_000_000_000,
    ) {
        for (name, mut limit, min) in all_limits() {
            for (now, sent, how, out, kept_waiting) in &fed {
                let within = if near { 100 * SECOND } else { Micros::MAX };
                let (now, sent, ending) = (now % within, sent % within, ending(*how));
                limit.sent(sent, *out);
                limit.ended(&Sample { now, sent, ending, out_at_send: *out, kept_waiting: *kept_waiting });
                let l = limit.limit(now);
                prop_assert!(l.is_finite() && l >= min && l <= 4096.0, "{name}: {l}");
            }
            let takes = |t| limit.allows(t, 0);
            prop_assert!(takes(later) || takes(later + 3 * SECOND), "{name} stays closed");
        }
    }

    /// Equal calls give equal limits.
    #[test]
    fn equal_input_gives_equal_limits(
        times in prop::collection::vec(1i64..900_000, 50..200),
    ) {
        let feed_times = |mut limit: Box<dyn Limit>| {
            let mut now = 0;
            for t in &times {
                limit.sent(now, 3);
                now += t;
                let (sent, ending) = (now - t, Ending::InTime);
                limit.ended(&Sample { now, sent, ending, out_at_send: 3, kept_waiting: true });
            }
            limit.limit(now)
        };
        for ((_, one, _), (_, other, _)) in all_limits().into_iter().zip(all_limits()) {
            prop_assert_eq!(feed_times(one), feed_times(other));
        }
    }
}

#[test]
fn limit_sends_one_at_a_time_while_all_fail_and_recovers_with_the_answers() {
    for (name, mut limit, _) in all_limits() {
        for (ending, time) in [(Ending::Abandoned, 300 * MS), (Ending::Refused, 2 * MS)] {
            feed(&mut *limit, 0, 10 * SECOND, 50 * MS, Ending::InTime);
            feed(&mut *limit, 10 * SECOND, 20 * SECOND, time, ending);
            let (tried, out) = feed(&mut *limit, 30 * SECOND, 10 * SECOND, time, ending);
            assert!(out <= 1, "{name}: {out} out while all ends as {ending:?}");
            // Without pauses it would be one each 5 ms; the pauses of aimd depend on the elapsed time of an
            // end, so there are hardly any here.
            let most = if name == "aimd" { 2000 } else { 500 };
            assert!((5..=most).contains(&tried), "{name} tried {tried} times in 10 s, {ending:?}");
            feed(&mut *limit, 40 * SECOND, 3 * SECOND, 50 * MS, Ending::InTime);
            assert!(
                limit.limit(43 * SECOND) >= 2.0,
                "{name}: {} after 3 s of answers",
                limit.limit(43 * SECOND)
            );
            limit = all_limits().into_iter().find(|l| l.0 == name).map(|l| l.1).unwrap();
        }
    }
}

#[test]
fn broken_connections_do_not_change_the_limit() {
    for (name, mut limit, _) in all_limits() {
        feed(&mut *limit, 0, 5 * SECOND, 50 * MS, Ending::InTime);
        let before = limit.limit(5 * SECOND);
        feed(&mut *limit, 5 * SECOND, 5 * SECOND, 20 * MS, Ending::Broken);
        assert_eq!(limit.limit(10 * SECOND), before, "{name}");
    }
}

#[test]
fn broken_connections_do_not_hide_failures() {
    for (name, mut limit, _) in all_limits().into_iter().filter(|l| l.0 != "aimd") {
        feed(&mut *limit, 0, 5 * SECOND, 50 * MS, Ending::InTime);
        let before = limit.limit(5 * SECOND);
        for i in 0..6000 {
            let now = 5 * SECOND + i * 10 * MS;
            limit.sent(now, 1);
            // Four answered and two abandoned for each ninety-four broken.
            let ending = match i % 100 {
                0 | 50 => Ending::Abandoned,
                n if n % 25 == 1 => Ending::InTime,
                _ => Ending::Broken,
            };
            limit.ended(&Sample { now, sent: now - 400 * MS, ending, out_at_send: 1, kept_waiting: false });
        }
        assert!(limit.limit(65 * SECOND) < before / 2.0, "{name}: {} of {before}", limit.limit(65 * SECOND));
    }
}

#[test]
fn idle_minute_resets_every_limit_but_the_baseline() {
    for (name, mut limit, _) in all_limits() {
        let (time, ending) =
            if name == "aimd" { (50 * MS, Ending::InTime) } else { (300 * MS, Ending::Abandoned) };
        feed(&mut *limit, 0, 10 * SECOND, time, ending);
        let before = limit.limit(10 * SECOND);
        assert_ne!(before, RANGE.start, "{name}");
        let after = limit.limit(70 * SECOND);
        assert!(limit.allows(70 * SECOND, 0), "{name}");
        limit.sent(70 * SECOND, 1);
        assert_eq!(after, limit.limit(70 * SECOND), "{name}: the first send changes nothing more");
        match name {
            "aimd" => assert_eq!(after, before),
            // Its first round is the lower one of a pair.
            "throughput" => assert!((3.0..=4.0).contains(&after), "{after}"),
            _ => assert_eq!(after, RANGE.start, "{name}"),
        }
    }
}

#[test]
fn request_abandoned_early_by_its_client_does_not_affect_the_limit() {
    for (name, mut limit, _) in all_limits().into_iter().filter(|l| l.0 != "aimd") {
        feed(&mut *limit, 0, 5 * SECOND, 100 * MS, Ending::InTime);
        let before = limit.limit(5 * SECOND);
        for i in 0..400 {
            let now = 5 * SECOND + i * 10 * MS;
            limit.sent(now, 1);
            let ending = Ending::Abandoned;
            limit.ended(&Sample { now: now + 9 * MS, sent: now, ending, out_at_send: 1, kept_waiting: true });
        }
        assert!(limit.limit(9 * SECOND) >= before * 0.8, "{name}: {} of {before}", limit.limit(9 * SECOND));
    }
}

#[test]
fn abandoned_request_counts_until_a_later_one_is_answered() {
    let mut limit = Vegas::new(Range { start: 2.0, ..RANGE });
    let ended = |limit: &mut Vegas, now, sent, ending| {
        limit.ended(&Sample { now, sent, ending, out_at_send: 1, kept_waiting: false })
    };
    limit.sent(0, 1);
    ended(&mut limit, 100 * MS, 0, Ending::InTime);
    limit.sent(100 * MS, 1);
    limit.sent(110 * MS, 2);
    ended(&mut limit, 250 * MS, 100 * MS, Ending::Abandoned);
    assert!(!limit.allows(260 * MS, 1), "one in flight and one abandoned count as two");
    ended(&mut limit, 270 * MS, 110 * MS, Ending::InTime);
    assert!(limit.allows(280 * MS, 1), "a later request was answered, so it no longer counts");
    limit.sent(300 * MS, 1);
    ended(&mut limit, 400 * MS, 300 * MS, Ending::Abandoned);
    assert!(!limit.allows(410 * MS, 1));
    assert!(limit.allows(700 * MS, 1), "it does not count forever");
}

/// Feeds `vegas` lognormal latencies of mean 113 ms, from a fixed sequence of normal quantiles in scrambled
/// order, modified by `time` according to their index; returns its estimates and its limit.
fn fed_latencies(answers: usize, time: impl Fn(usize, f64) -> f64) -> (QueueingShare, f64) {
    let normal = |i: usize| -> f64 { [-1.4, 0.6, -0.3, 1.4, -0.6, 0.1, 0.95, -0.95, 0.3, -0.1][i * 7 % 10] };
    let (mut limit, mut now) = (Vegas::new(RANGE), 0);
    for i in 0..answers {
        let (sent, ending) = (now, Ending::InTime);
        limit.sent(sent, 4);
        now += time(i, 100_000.0 * (0.5 * normal(i)).exp()) as Micros;
        limit.ended(&Sample { now, sent, ending, out_at_send: 4, kept_waiting: true });
    }
    (limit.queueing(), limit.limit(now))
}

#[test]
fn vegas_tells_slowness_from_queueing_by_uniformity() {
    let then = |times: f64, add: f64| move |i, t| if i < 200 { t } else { t * times + add };
    let (slower, queued) = (fed_latencies(400, then(3.0, 0.0)), fed_latencies(400, then(1.0, 200_000.0)));
    assert!(slower.0.by_latency > 0.5 && queued.0.by_latency > 0.5, "both take three times as long");
    assert!(
        slower.0.by_uniformity < 0.15 && queued.0.by_uniformity > 0.4,
        "only the queue makes them uniform"
    );
    assert!(slower.1 > 2.0 * queued.1, "and so only the queue is cut: {slower:?} {queued:?}");
    // As uniform as in the queue, but no longer than before: work that has become uniform is no queue.
    let even = fed_latencies(400, then(0.05, 100_000.0));
    assert!(even.0.by_uniformity > 0.4 && even.0.by_latency < 0.2, "{even:?}");
    assert!(even.1 > 2.0 * queued.1, "{even:?} {queued:?}");
}

#[test]
fn vegas_detects_a_growing_queue() {
    let grows = fed_latencies(240, |i, t| t + 25_000.0 * i.saturating_sub(200) as f64);
    assert!(grows.0.by_latency > 0.5 && grows.0.by_uniformity > 0.3, "{grows:?}");
}

#[test]
fn vegas_learns_a_shorter_latency_and_detects_a_queue_above_it() {
    let began_slow = |i: usize, t: f64| match i {
        0..200 => t * 4.0,
        200..400 => t,
        _ => t + 200_000.0,
    };
    let queued = fed_latencies(600, began_slow);
    assert!(queued.0.by_latency > 0.4, "shorter than at the start, longer than what it takes: {queued:?}");
}

#[test]
fn aimd_follows_its_rule() {
    // Computed by hand from the rule: 1/limit more for an answer in time, a tenth less while a fifth is
    // slow.
    let mut limit = Aimd::default();
    let mut after = |endings: &[Ending]| {
        for ending in endings {
            limit.ended(&Sample { now: 100, sent: 0, ending: *ending, out_at_send: 1, kept_waiting: false });
        }
        limit.limit(100)
    };
    let close = |is: f64, wanted: f64| assert!((is - wanted).abs() < 1e-9, "{is}, not {wanted}");
    close(after(&[Ending::InTime]), 4.25);
    close(after(&[Ending::Slow]), 4.25 * 0.9);
    close(after(&[Ending::Broken, Ending::Broken]), 3.825);
    // The share of slow answers is 0.262, 0.2358, 0.21222, then 0.190998: no longer a fifth.
    close(after(&[Ending::InTime]), 3.825 + 1.0 / 3.825);
    for _ in 0..200 {
        after(&[Ending::Abandoned]);
    }
    close(after(&[Ending::Refused]), 0.3);
    close(after(&[Ending::InTime]), 0.6);
}
