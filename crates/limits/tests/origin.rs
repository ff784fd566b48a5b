//! Documented properties of [`OriginLimit`], step by step and for arbitrary input. Scenarios in which many
//! of them share one origin are in `scenarios.rs`.

use limits::*;
use proptest::prelude::*;

const MS: Micros = 1000;
const SECOND: Micros = 1_000_000;

/// An origin limit with its clock and the number in flight that it is told.
struct FedLimit {
    limit: OriginLimit,
    now: Micros,
    out: u32,
}

impl FedLimit {
    /// A limit that has seen 20 s of normal answers of `time` with four in flight: it was reached, so it
    /// has grown to up to twice that.
    fn calm(time: Micros) -> Self {
        let mut fed = FedLimit { limit: OriginLimit::default(), now: 0, out: 4 };
        fed.answers(20 * SECOND, time);
        fed
    }

    /// One end each 25 ms for `span`, with a report of the number in flight each time.
    fn ends(&mut self, span: Micros, time: Micros, ending: impl Fn(i64) -> Ending) {
        for i in 0..span / (25 * MS) {
            self.now += 25 * MS;
            self.limit.observe_in_flight(self.now, self.out);
            self.limit.sent(self.now - time, self.out);
            self.limit.ended(&Sample {
                now: self.now,
                sent: self.now - time,
                ending: ending(i),
                out_at_send: self.out,
                kept_waiting: true,
            });
        }
    }

    fn answers(&mut self, span: Micros, time: Micros) {
        self.ends(span, time, |_| Ending::InTime);
    }

    fn idle(&mut self, span: Micros) {
        for _ in 0..span / (200 * MS) {
            self.now += 200 * MS;
            self.limit.observe_in_flight(self.now, 0);
        }
    }

    fn limit(&self) -> f64 {
        self.limit.limit(self.now)
    }
}

#[test]
fn latency_ratio_and_headroom_follow_latency() {
    let mut fed = FedLimit::calm(100 * MS);
    assert!((fed.limit.latency_ratio() - 1.0).abs() < 0.05 && fed.limit.headroom() == 1.0);
    fed.answers(2 * SECOND, 225 * MS);
    assert!((2.2..2.3).contains(&fed.limit.latency_ratio()), "{}", fed.limit.latency_ratio());
    assert!((0.45..0.55).contains(&fed.limit.headroom()), "half way from 1.5 to 3: {}", fed.limit.headroom());
    fed.answers(2 * SECOND, 400 * MS);
    assert_eq!(fed.limit.headroom(), 0.0);
    fed.answers(SECOND, 100 * MS);
    assert_eq!(fed.limit.headroom(), 1.0, "a second of good answers is enough");
    fed.answers(2 * SECOND, 100 * MS);
    assert!((99_000.0..110_000.0).contains(&fed.limit.mean_latency().unwrap()));
}

#[test]
fn slower_origin_keeps_two_and_a_half_times_the_usual() {
    for times in [3, 5, 7] {
        let mut fed = FedLimit::calm(100 * MS);
        fed.answers(15 * SECOND, times * 100 * MS);
        assert!((8.0..=10.5).contains(&fed.limit()), "{} at {times} times", fed.limit());
    }
}

#[test]
fn limit_of_little_traffic_falls_below_one_and_pauses() {
    let mut fed = FedLimit { limit: OriginLimit::default(), now: 0, out: 1 };
    for _ in 0..40 {
        // One answer a second of 100 ms: a mean of one tenth in flight.
        fed.answers(25 * MS, 100 * MS);
        (0..4).for_each(|_| fed.idle(200 * MS));
    }
    fed.answers(2 * SECOND, 400 * MS);
    assert!(fed.limit() < 0.5, "{}", fed.limit());
    assert!(!fed.limit.allows(fed.now, 0), "it pauses after an answer");
    assert!(fed.limit.allows(fed.now + 2 * SECOND, 0), "but not forever");
}

#[test]
fn unused_limit_decays_to_a_multiple_of_the_usual() {
    let mut fed = FedLimit::calm(100 * MS);
    let full_use = fed.limit();
    assert!(full_use > 7.9, "{full_use}");
    fed.out = 1;
    fed.answers(90 * SECOND, 100 * MS);
    assert!((2.0..4.0).contains(&fed.limit()), "{} of {full_use}", fed.limit());
}

#[test]
fn idle_minute_changes_nothing_after_the_first_seconds() {
    let mut fed = FedLimit::calm(100 * MS);
    fed.idle(limits::origin::IDLE_SECONDS as Micros * SECOND);
    let before = fed.limit();
    assert!(before >= 4.0, "{before}");
    fed.idle(60 * SECOND);
    assert_eq!(fed.limit(), before);
    assert!(fed.limit.allows(fed.now, 3));
    fed.out = 4;
    fed.answers(SECOND, 100 * MS);
    assert_eq!(fed.limit.headroom(), 1.0);
}

#[test]
fn errors_leave_one_at_a_time_and_answers_restore_the_limit() {
    for ending in [Ending::Abandoned, Ending::Refused, Ending::Slow] {
        let mut fed = FedLimit::calm(100 * MS);
        fed.ends(20 * SECOND, 300 * MS, |_| ending);
        assert!(fed.limit() <= 1.0 && !fed.limit.allows(fed.now, 1), "{ending:?}: {}", fed.limit());
        assert!(fed.limit.allows(fed.now + 2 * SECOND, 0), "{ending:?}: it tries again");
        fed.answers(2 * SECOND, 100 * MS);
        assert!(fed.limit() >= 4.0, "{ending:?}: {} after two seconds of answers", fed.limit());
    }
}

#[test]
fn tenth_of_failures_is_tolerated_and_a_third_is_not() {
    let part = |of: i64| {
        let mut fed = FedLimit::calm(100 * MS);
        let ending = move |i: i64| if i % of == 0 { Ending::Refused } else { Ending::InTime };
        fed.ends(20 * SECOND, 100 * MS, ending);
        (fed.limit(), fed.limit.failure_ratio())
    };
    let (tenth, third) = (part(10), part(3));
    assert!(tenth.0 >= 7.9 && tenth.1 < 0.2, "{tenth:?}");
    assert!(third.0 < tenth.0 / 2.0 && third.1 > 0.2, "{third:?}");
}

#[test]
fn broken_connections_change_nothing() {
    let mut fed = FedLimit::calm(100 * MS);
    let sample = |now| Sample { now, sent: 0, ending: Ending::Broken, out_at_send: 9, kept_waiting: true };
    let before = (fed.limit(), fed.limit.mean_latency(), fed.limit.failure_ratio());
    (0..100).for_each(|i| fed.limit.ended(&sample(fed.now + i)));
    assert_eq!(before, (fed.limit(), fed.limit.mean_latency(), fed.limit.failure_ratio()));
}

#[test]
fn permanently_slower_origin_is_recognized_within_minutes() {
    let mut fed = FedLimit::calm(100 * MS);
    fed.answers(20 * SECOND, 140 * MS);
    let then = fed.limit.latency_ratio();
    fed.answers(300 * SECOND, 140 * MS);
    assert!(then > 1.3 && fed.limit.latency_ratio() < 1.05, "{then}, then {}", fed.limit.latency_ratio());
}

#[test]
fn clock_steps_neither_close_nor_reset_the_limit() {
    for step in [-3600 * SECOND, 3600 * SECOND] {
        let mut fed = FedLimit::calm(100 * MS);
        let before = fed.limit();
        fed.now += step;
        fed.answers(2 * SECOND, 100 * MS);
        assert!(fed.limit.allows(fed.now, 3) && fed.limit.headroom() == 1.0);
        assert!(fed.limit() > before * 0.7, "{before}, then {} after a step of {step}", fed.limit());
    }
}

proptest! {
    /// For any input: finite, within its bounds, and ready again within three seconds.
    #[test]
    fn arbitrary_input_keeps_the_limit_within_bounds(
        fed in prop::collection::vec(any::<(i64, i64, u8, u32, bool)>(), 0..80),
        near in any::<bool>(), later in 0i64..1_000_000_000_000,
    ) {
        let endings = [Ending::InTime, Ending::Slow, Ending::Refused, Ending::Broken, Ending::Abandoned];
        let mut limit = OriginLimit::default();
        for (now, sent, how, out, kept_waiting) in fed {
            let within = if near { 100 * SECOND } else { Micros::MAX };
            let (now, sent, ending) = (now % within, sent % within, endings[usize::from(how) % 5]);
            limit.observe_in_flight(now, out);
            limit.sent(sent, out);
            limit.ended(&Sample { now, sent, ending, out_at_send: out, kept_waiting });
            let l = limit.limit(now);
            prop_assert!((limits::origin::MIN_LIMIT..=limits::origin::MAX_LIMIT).contains(&l), "{l}");
            prop_assert!(limit.latency_ratio().is_finite() && (0.0..=1.0).contains(&limit.headroom()));
            prop_assert!((0.0..=1.0).contains(&limit.failure_ratio()));
        }
        prop_assert!(limit.allows(later, 0) || limit.allows(later + 3 * SECOND, 0), "stays closed");
    }
}
