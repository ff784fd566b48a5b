//! Guarantees of token buckets, retry budgets and cold budgets for any input.

use limits::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn end(now: Micros, ending: Ending) -> Sample {
    Sample { now, sent: now - 1000, ending, out_at_send: 1, kept_waiting: false }
}

fn warm_up(started: Micros) -> WarmUp {
    WarmUp { started, initial_share: 0.15, duration: 23 * SECOND, multiple: 3.0, window: SECOND }
}

proptest! {
    /// The tokens taken within any span are at most its rate's and one burst.
    #[test]
    fn bucket_stays_within_its_rate_and_burst(
        gaps in prop::collection::vec(0i64..400_000, 1..300), rate in 0.1f64..50.0, burst in 1.0f64..20.0,
    ) {
        let (mut bucket, mut now) = (Bucket::default(), 0);
        let mut taken = Vec::new();
        for gap in gaps {
            now += gap;
            let wait = bucket.wait(now, rate, burst);
            let some = bucket.take(now, rate, burst);
            prop_assert_eq!(wait == Some(0), some, "the wait it returns is exact");
            taken.extend(some.then_some(now));
        }
        for (i, first) in taken.iter().enumerate() {
            for (j, last) in taken.iter().enumerate().skip(i) {
                let most = rate * (last - first) as f64 / 1e6 + rate.max(burst);
                prop_assert!((j - i + 1) as f64 <= most + 1e-6);
            }
        }
    }

    /// The extras of any run are at most its depth and `share` of its requests, however requests end.
    #[test]
    fn extras_stay_within_their_share_of_the_requests(
        steps in prop::collection::vec((0u8..4, 0u8..5), 1..500), share in 0.0f64..0.5, depth in 0.0f64..20.0,
    ) {
        let mut budget = Budget::new(share, depth);
        let (mut requests, mut extras) = (0.0, 0.0);
        for (i, (what, how)) in steps.into_iter().enumerate() {
            let now = i as i64 * 10_000;
            match (what, how) {
                (0, _) => { budget.request(now); requests += 1.0; }
                (1, 0) => budget.ended(&end(now, Ending::InTime)),
                (1, 1) => budget.ended(&end(now, Ending::Slow)),
                (1, 2) => budget.ended(&end(now, Ending::Refused)),
                (1, 3) => budget.ended(&end(now, Ending::Broken)),
                (1, _) => budget.ended(&end(now, Ending::Abandoned)),
                (2, _) => extras += f64::from(u8::from(budget.take(Extra::SecondCopy))),
                _ => extras += f64::from(u8::from(budget.take(Extra::Retry))),
            }
            prop_assert!(extras <= depth + share * requests + 1e-6 && budget.left() <= depth);
        }
    }

    /// The rule itself: the work of any window, wherever it begins, stays below the multiple of the
    /// capacity guaranteed at its beginning.
    #[test]
    fn no_window_of_a_cold_server_exceeds_its_budget(
        gaps in prop::collection::vec(0i64..200_000, 1..400), full in 0.0f64..40.0, phase in 0.0f64..1.0,
    ) {
        let w = warm_up(5 * SECOND);
        let (mut cold, mut now) = (ColdBudget::new(w.started, w, full, phase), w.started);
        let mut sent = Vec::new();
        for gap in gaps {
            now += gap;
            if cold.allows(now, 0) {
                cold.sent(now, 1);
                sent.push(now);
            }
        }
        for (i, first) in sent.iter().enumerate() {
            let held = sent[i..].iter().take_while(|t| **t < first + w.window).count() as f64;
            let budget = (w.multiple * full * w.capacity(*first)).max(1.0);
            prop_assert!(held <= budget + 1e-6, "{held} at {first}");
        }
    }

    /// No clock step makes them panic or closes them for good.
    #[test]
    fn clock_steps_neither_panic_nor_close_a_limit(times in prop::collection::vec(any::<i64>(), 1..60)) {
        let (mut bucket, mut budget) = (Bucket::default(), Budget::new(0.2, 10.0));
        let mut cold = ColdBudget::new(0, warm_up(0), 10.0, 0.5);
        for now in times {
            bucket.take(now, 5.0, 5.0);
            bucket.wait(now, 5.0, 5.0);
            budget.request(now);
            budget.ended(&end(now.saturating_add(1000), Ending::Abandoned));
            cold.allows(now, 0);
            cold.sent(now, 1);
            prop_assert!(bucket.tokens <= 5.0 && bucket.tokens >= 0.0 && budget.left() <= 10.0);
            let later = now.saturating_add(3 * SECOND);
            prop_assert!(later == i64::MAX || cold.allows(later, 0));
            prop_assert!(bucket.clone().take(later, 5.0, 5.0) || later == i64::MAX);
        }
    }
}

#[test]
fn small_share_of_a_cold_server_is_one_request_per_several_windows() {
    // A share of one sixty-fourth of 30 a second: 0.2 in the first second's window, so one each 4.7 s at
    // first.
    let w = warm_up(0);
    let mut cold = ColdBudget::new(0, w, 30.0 / 64.0, 0.5);
    let mut sent = Vec::new();
    for now in (0..23 * SECOND).step_by(10_000) {
        if cold.allows(now, 0) {
            cold.sent(now, 1);
            sent.push(now);
        }
    }
    assert!((2 * SECOND..3 * SECOND).contains(&sent[0]), "after half of that time: {}", sent[0]);
    assert!(sent[1] - sent[0] > 3 * SECOND, "{sent:?}");
    assert!((10..20).contains(&sent.len()), "it rises with the capacity: {}", sent.len());
}

#[test]
fn clock_going_back_does_not_renew_the_cold_budget() {
    let mut cold = ColdBudget::new(0, warm_up(0), 20.0, 0.0);
    let mut send =
        |now| (0..100).filter(|_| cold.allows(now, 0).then(|| cold.sent(now, 1)).is_some()).count();
    assert!(send(10 * SECOND) > 20);
    assert_eq!(send(9 * SECOND), 0, "what was sent a moment ago still counts");
    cold.sent(9 * SECOND, 1);
    assert_eq!(
        (0..100).filter(|_| cold.allows(9 * SECOND, 0)).count(),
        0,
        "and after it was moved to the new time"
    );
    assert!(cold.allows(11 * SECOND, 0));
}

#[test]
fn cold_server_of_unknown_capacity_gets_nothing() {
    let mut cold = ColdBudget::new(0, warm_up(0), 0.0, 0.0);
    assert!(!cold.allows(2 * SECOND, 0));
    cold.set_full_rate(20.0);
    assert!(cold.allows(2 * SECOND, 0));
    cold.set_full_rate(f64::NAN);
    assert!(!cold.allows(3 * SECOND, 0));
}

#[test]
fn budget_shrinks_with_failures_and_recovers() {
    let mut budget = Budget::new(0.2, 10.0);
    (0..100).for_each(|i| budget.ended(&end(i, Ending::Abandoned)));
    (0..100).for_each(|i| budget.request(i));
    assert!(!budget.take(Extra::Retry), "nothing while all fails");
    (0..200).for_each(|i| budget.ended(&end(i, Ending::InTime)));
    (0..100).for_each(|i| budget.request(i));
    assert!(budget.take(Extra::Retry));
    assert!(budget.left() > 8.0);
}

#[test]
fn budget_pays_half_at_half_the_failure_range() {
    let mut budget = Budget::new(0.2, 10.0);
    let mut extras = 0;
    for i in 0..2000 {
        budget.request(i);
        let ending = if i % 5 == 0 { Ending::Abandoned } else { Ending::InTime };
        budget.ended(&end(i, ending));
        extras += u32::from(i >= 1000 && budget.take(Extra::Retry));
    }
    assert!((70..130).contains(&extras), "{extras} of 1000, 200 if nothing failed");
}

#[test]
fn budget_resets_failures_only_after_idle_time() {
    let mut budget = Budget::new(1.0, 10.0);
    (0..100).for_each(|i| budget.ended(&end(i, Ending::Refused)));
    budget.request(9 * SECOND);
    assert!(!budget.take(Extra::Retry));
    budget.request(11 * SECOND);
    assert!(budget.take(Extra::Retry));
}

#[test]
fn second_copies_leave_half_of_the_budget_to_retries() {
    let mut budget = Budget::new(0.0, 10.0);
    assert_eq!((0..20).filter(|_| budget.take(Extra::SecondCopy)).count(), 5);
    assert_eq!((0..20).filter(|_| budget.take(Extra::Retry)).count(), 5);
}
