//! The controlled-delay queue: when it drops, in what order it serves, and how it handles clock steps.

use limits::{CoDel, Queue};
use proptest::prelude::*;

const MS: i64 = 1000;

fn queue() -> Queue<u32> {
    Queue::new(100, CoDel::new(50 * MS, 500 * MS))
}

/// When each item left and when it arrived, in ms.
type Outcome = Vec<(i64, i64)>;

/// One item arrives each 10 ms, one is served each 20 ms: what is dropped and what is served.
fn overloaded(queue: &mut Queue<u32>, ms: std::ops::Range<i64>) -> (Outcome, Outcome) {
    let (mut shed, mut served) = (vec![], vec![]);
    for t in ms.step_by(10) {
        let now = t * MS;
        shed.extend(queue.push(now, t as u32).map(|x| (t, i64::from(x))));
        while let Some(x) = queue.shed(now) {
            shed.push((t, i64::from(x)));
        }
        if t % 20 == 0 {
            served.extend(queue.pop().map(|x| (t, i64::from(x))));
        }
    }
    (shed, served)
}

#[test]
fn burst_that_clears_is_served_completely_and_in_order() {
    let mut queue = queue();
    (0..8).for_each(|i| assert_eq!(queue.push(0, i), None));
    for i in 0..8 {
        assert_eq!(queue.shed(i64::from(i) * 40 * MS), None, "300 ms of waiting that clears");
        assert_eq!(queue.pop(), Some(i));
    }
}

#[test]
fn standing_queue_drops_the_oldest_and_serves_the_newest() {
    let mut queue = queue();
    let (shed, served) = overloaded(&mut queue, 0..3000);
    assert!(
        shed.iter().all(|(t, _)| *t >= 500),
        "nothing is dropped before the queue stood for an interval: {:?}",
        shed.first()
    );
    assert!(shed.windows(2).all(|w| w[0].1 < w[1].1), "the oldest first");
    let late = |(t, came): &&(i64, i64)| *t >= 1000 && t - came > 20;
    assert_eq!(served.iter().filter(late).count(), 0, "the newest are served at once while dropping");
    assert!(shed.iter().all(|(t, came)| t - came <= 510), "nothing waits longer than the interval");
    // Half of what arrives cannot be served: that is refused, and no more.
    let refused = shed.len() as f64 / 300.0;
    assert!((0.3..0.52).contains(&refused), "{refused}");
}

#[test]
fn dropping_ends_with_the_queue_and_resumes_at_the_previous_rate() {
    let mut queue = queue();
    let early = |(shed, _): (Outcome, Outcome), from| shed.iter().filter(|(t, _)| t - from < 800).count();
    let fresh = early(overloaded(&mut queue, 0..4000), 0);
    while queue.pop().is_some() {}
    assert_eq!(queue.shed(4000 * MS), None);
    assert!(!queue.is_dropping());
    let again = early(overloaded(&mut queue, 4000..8000), 4000);
    assert!(again > fresh, "{fresh} dropped at first, {again} when the queue came back");
    while queue.pop().is_some() {}
    let later = early(overloaded(&mut queue, 20_000..24_000), 20_000);
    assert_eq!(later, fresh, "after sixteen intervals the previous rate is discarded");
}

#[test]
fn full_queue_refuses_the_newest_normally_and_the_oldest_while_dropping() {
    let mut queue = Queue::new(2, CoDel::new(50 * MS, 500 * MS));
    assert_eq!((queue.push(0, 1), queue.push(0, 2), queue.push(0, 3)), (None, None, Some(3)));
    assert_eq!(queue.shed(100 * MS), None);
    assert_eq!(queue.shed(600 * MS), Some(1));
    assert!(queue.is_dropping());
    assert_eq!((queue.push(600 * MS, 4), queue.push(600 * MS, 5)), (None, Some(2)));
    assert_eq!(Queue::new(0, CoDel::new(1, 1)).push(0, 7), Some(7));
}

proptest! {
    /// Every item leaves exactly once: served, dropped or handed back. A caller that checks again when told
    /// drops in time.
    #[test]
    fn every_item_leaves_once_and_within_the_interval(
        steps in prop::collection::vec((0i64..120_000, 0u8..3), 1..300), back in 0usize..300,
    ) {
        let mut queue = queue();
        let (mut now, mut put, mut out) = (0, 0u32, Vec::new());
        for (i, (gap, what)) in steps.into_iter().enumerate() {
            // A clock that steps once, back by ten minutes.
            now += if i == back { -600_000_000 } else { gap };
            match what {
                0 => out.extend(queue.pop()),
                _ => { out.extend(queue.push(now, put)); put += 1; }
            }
            while let Some(x) = queue.shed(now) {
                out.push(x);
            }
            if let Some(at) = queue.next_check().filter(|at| *at > now && i != back) {
                prop_assert!(at - now <= 601_000_000, "a check is due within the longest wait");
            }
        }
        now += 600_000_000 + 500_000;
        while let Some(x) = queue.shed(now) {
            out.push(x);
        }
        prop_assert!(queue.is_empty(), "the interval is over for every item");
        out.sort_unstable();
        prop_assert_eq!(out, (0..put).collect::<Vec<_>>());
    }
}
