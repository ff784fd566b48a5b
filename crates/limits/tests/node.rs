//! Limit for a cache node: what it learns from rejections, and how a hang is told from an idle node.

use limits::*;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;

fn end(node: &mut NodeLimit, now: Micros, ending: Ending) {
    let sample = Sample { now, sent: now - 50_000, ending, out_at_send: 1, kept_waiting: false };
    node.ended(&sample);
}

fn send(node: &mut NodeLimit, now: Micros, count: u32) {
    (0..count).for_each(|_| node.sent(now, node.out() + 1));
}

#[test]
fn node_without_rejections_has_no_limit() {
    let mut node = NodeLimit::default();
    send(&mut node, 0, 500);
    assert!(node.limit(0).is_infinite() && node.allows(0, 500));
    for ending in [Ending::InTime, Ending::Slow, Ending::Broken, Ending::Abandoned] {
        end(&mut node, SECOND, ending);
        assert!(node.limit(SECOND).is_infinite(), "{ending:?}");
    }
}

#[test]
fn rejection_leaves_nine_tenths_and_answers_add_three_per_round() {
    let mut node = NodeLimit::default();
    send(&mut node, 0, 20);
    end(&mut node, 10, Ending::Refused);
    assert!((node.limit(10) - 18.0).abs() < 1e-9);
    assert!(!node.allows(10, 18) && node.allows(10, 17));
    // A round: as many answers as are in flight, with that many in flight all the while.
    for i in 0..18 {
        let room = 19 - node.out();
        send(&mut node, 20 + i, room);
        end(&mut node, 30 + i, Ending::InTime);
    }
    assert!((20.5..=21.0).contains(&node.limit(50)), "{}", node.limit(50));
    let before = node.limit(50);
    (0..15).for_each(|i| end(&mut node, 60 + i, Ending::InTime));
    assert!(node.limit(80) < before + 1.5, "a limit that is not reached hardly rises");
}

#[test]
fn node_with_capacity_again_loses_its_limit() {
    let mut node = NodeLimit::default();
    send(&mut node, 0, 4);
    end(&mut node, 10, Ending::Refused);
    let mut rounds = 0;
    while node.limit(0).is_finite() && rounds < 200_000 {
        let room = (node.limit(0).ceil() as u32).saturating_sub(node.out());
        send(&mut node, 20, room);
        end(&mut node, 30, Ending::InTime);
        rounds += 1;
    }
    assert!(node.limit(0).is_infinite());
}

#[test]
fn silence_counts_from_the_last_answer_to_the_next() {
    let mut node = NodeLimit::default();
    send(&mut node, 0, 3);
    end(&mut node, 100, Ending::InTime);
    assert_eq!(node.silence(700_100), 700_000);
    end(&mut node, 800_000, Ending::Abandoned);
    assert_eq!(node.silence(900_000), 899_900, "an abandoned request is no sign of life");
    end(&mut node, 900_000, Ending::Refused);
    assert_eq!((node.out(), node.silence(950_000)), (0, 0), "nothing is in flight");
}

#[test]
fn idle_node_is_not_silent_and_a_later_send_starts_the_count() {
    let mut node = NodeLimit::default();
    send(&mut node, 0, 1);
    end(&mut node, 1000, Ending::InTime);
    assert_eq!(node.silence(60 * SECOND), 0);
    send(&mut node, 60 * SECOND, 1);
    assert_eq!(node.silence(60 * SECOND + 5), 5);
    send(&mut node, 61 * SECOND, 1);
    assert_eq!(node.silence(61 * SECOND), SECOND, "a further send is no sign of life");
    assert_eq!(node.silence(0), 0, "a clock that went back");
}

proptest! {
    /// Whatever happens, one request is always allowed, and the number in flight is what was sent and has
    /// not ended.
    #[test]
    fn node_counts_requests_in_flight_and_always_admits_one(
        steps in prop::collection::vec((any::<bool>(), 0u8..5, -SECOND..SECOND), 0..200),
    ) {
        let endings = [Ending::InTime, Ending::Slow, Ending::Refused, Ending::Broken, Ending::Abandoned];
        let (mut node, mut out, mut now) = (NodeLimit::default(), 0u32, 0);
        for (sends, how, step) in steps {
            now += step;
            if sends || out == 0 {
                send(&mut node, now, 1);
                out += 1;
            } else {
                end(&mut node, now, endings[usize::from(how)]);
                out -= 1;
            }
            prop_assert_eq!(node.out(), out);
            prop_assert!(node.allows(now, 0) && node.limit(now) >= 1.0);
            prop_assert!(node.silence(now) >= 0 && (out > 0 || node.silence(now) == 0));
        }
    }
}
