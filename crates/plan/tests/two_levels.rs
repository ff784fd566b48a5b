//! Forwarders and planners together in virtual time: the situations that operators test on a fleet.

mod world;

use plan::message::{Mark, Message};
use plan::observations::Listed;
use plan::{Micros, Rules, Zone, ZoneSet, SECOND};
use std::collections::BTreeSet;
use world::{node, World, MS};

fn set(ids: impl IntoIterator<Item = u64>) -> BTreeSet<plan::Node> {
    ids.into_iter().map(node).collect()
}

/// A world whose planners have warmed up.
fn warm(planners: usize, forwarders: usize, nodes: usize, zones: u8, seed: u64) -> World {
    let mut w = World::new(Rules::default(), planners, forwarders, nodes, zones, seed);
    w.run(8 * SECOND, |_| {});
    w
}

/// How long each forwarder takes until it avoids exactly these nodes.
fn times(
    w: &mut World,
    nodes: &BTreeSet<plan::Node>,
    within: Micros,
    mut each: impl FnMut(&mut World),
) -> Vec<Micros> {
    let (start, mut at) = (w.now, vec![None; w.hosts.len()]);
    w.run(within, |w| {
        each(w);
        for (f, at) in at.iter_mut().enumerate() {
            if at.is_none() && w.avoided(f) == *nodes {
                *at = Some(w.now - start);
            }
        }
    });
    at.into_iter().map(|t| t.unwrap_or(Micros::MAX)).collect()
}

#[test]
fn twenty_forwarders_avoid_three_silent_nodes_within_two_seconds_while_planners_die() {
    for seed in 0..5 {
        let mut w = warm(3, 20, 10, 2, seed);
        w.silent = set([1, 4, 7]);
        let start = w.now;
        let dies = [400 * MS, 900 * MS];
        let nodes = w.silent.clone();
        let took = times(&mut w, &nodes, 2 * SECOND, |w| {
            for (p, after) in dies.iter().enumerate() {
                if w.now == start + after {
                    w.kill_planner(p);
                }
            }
        });
        let mut sorted = took.clone();
        sorted.sort();
        println!("seed {seed}: median {} ms, worst {} ms", sorted[10] / MS, sorted[19] / MS);
        assert!(took.iter().all(|t| *t <= 2 * SECOND), "seed {seed}: {took:?}");
    }
}

#[test]
fn a_forwarder_with_a_broken_link_causes_no_avoidance_elsewhere() {
    let mut w = warm(3, 4, 10, 2, 1);
    w.isolated.insert(0);
    w.run(10 * SECOND, |w| (1..4).for_each(|f| assert_eq!(w.avoided(f), set([]))));
}

#[test]
fn zones_cut_off_from_each_other_avoid_each_other_and_return_at_different_times() {
    for seed in 0..6 {
        let mut w = warm(4, 8, 10, 2, seed);
        let (a, b) = (Zone(0), Zone(1));
        // With so few requests the nodes of a zone are found silent one after another.
        w.send_interval = 500 * MS;
        w.run(3 * SECOND, |_| {});
        w.zone_cuts = [(a, b), (b, a)].into();
        // Planners are distributed over the zones in turn and reach only their own zone.
        w.unreachable =
            (0..8).flat_map(|f| (0..4).map(move |p| (f, p))).filter(|(f, p)| f % 2 != p % 2).collect();
        w.run(5 * SECOND, |_| {});
        for f in 0..8 {
            let other: BTreeSet<_> = (0..10).filter(|n| n % 2 != f as u64 % 2).collect();
            assert_eq!(w.avoided(f), set(other), "forwarder {f}");
        }
        assert!(w.hosts.iter().all(|s| s.refusals == 0), "a cut of half of the fleet is a valid plan");
        (w.zone_cuts, w.unreachable) = (BTreeSet::new(), BTreeSet::new());
        let mut back = [None; 8];
        let start = w.now;
        w.run(15 * SECOND, |w| {
            for (f, back) in back.iter_mut().enumerate() {
                if back.is_none() && w.avoided(f).is_empty() {
                    *back = Some((w.now - start) / (100 * MS));
                }
            }
        });
        let slots: BTreeSet<_> = back.iter().flatten().collect();
        assert!(back.iter().all(Option::is_some), "{back:?}");
        assert!(slots.len() >= 4, "all returned at once: {back:?}");
    }
}

#[test]
fn without_planners_marks_are_held_and_then_fade_without_steps() {
    let mut w = warm(3, 4, 10, 1, 3);
    w.silent = set([2]);
    w.run(3 * SECOND, |_| {});
    assert_eq!(w.avoided(0), set([2]));
    (0..3).for_each(|p| w.kill_planner(p));
    let lost = w.now;
    let mut before = w.hosts[0].forwarder.guidance(w.now);
    w.run(25 * SECOND, |w| {
        let s = w.hosts[0].forwarder.guidance(w.now);
        let part = |s: &plan::Guidance| s.takes.iter().find(|t| t.0 == node(2)).map_or(1.0, |t| t.1);
        assert!(w.now > lost + 4500 * MS || part(&s) == 0.0, "the mark is held");
        for (name, was, is) in [("keys", part(&before), part(&s)), ("ledger", before.origin, s.origin)] {
            assert!((was - is).abs() <= 0.02, "{name} went from {was} to {is} within 10 ms");
        }
        before = s;
    });
    assert_eq!(w.avoided(0), set([]), "the mark has faded");
    assert!((before.origin - 0.25).abs() < 1e-9, "the even part: {}", before.origin);
}

#[test]
fn planners_that_restart_without_state_clear_no_marks() {
    let mut w = warm(3, 4, 10, 2, 4);
    w.silent = set([2]);
    w.run(3 * SECOND, |_| {});
    // All planners restart, one of them with a clock that went back.
    for (p, epoch) in [(0, 1), (1, w.now as u64), (2, w.now as u64)] {
        w.kill_planner(p);
        w.start_planner(p, epoch);
    }
    w.run(15 * SECOND, |w| (0..4).for_each(|f| assert_eq!(w.avoided(f), set([2]), "{} us", w.now)));
    // Plans of the planner whose clock went back are accepted again: with it alone a new silence is still
    // detected.
    (1..3).for_each(|p| w.kill_planner(p));
    w.silent = set([2, 3]);
    w.run(3 * SECOND, |_| {});
    (0..4).for_each(|f| assert_eq!(w.avoided(f), set([2, 3])));
}

#[test]
fn a_node_that_hangs_repeatedly_is_avoided_each_time_within_the_limit_of_changes() {
    let mut w = warm(3, 4, 10, 2, 5);
    let mut changes = [0; 4];
    let mut was = [false; 4];
    let start = w.now;
    let mut longest = 0;
    w.run(60 * SECOND, |w| {
        let hangs = (w.now - start) / (3 * SECOND) % 2 == 0;
        w.silent = if hangs { set([2]) } else { set([]) };
        for f in 0..4 {
            let is = w.avoided(f) == set([2]);
            changes[f] += usize::from(is != was[f]);
            was[f] = is;
        }
        longest = longest.max(changes[0]);
    });
    let most = Rules::default().max_changes(60 * SECOND);
    assert!(changes.iter().all(|c| (2..=most).contains(c)), "{changes:?}, {most} at most");
}

#[test]
fn a_planner_that_marks_half_of_the_fleet_is_rejected_and_logged_once() {
    let mut w = warm(1, 4, 10, 2, 6);
    w.alter_plan = |_, message| {
        if let Message::Plan(plan) = message {
            let mark = |id| Mark { node: node(id), zones: ZoneSet::ALL, since: 0, witnesses: 4 };
            plan.silent = (0..5).map(mark).collect();
        }
    };
    w.run(10 * SECOND, |w| (0..4).for_each(|f| assert_eq!(w.avoided(f), set([]))));
    assert!(w.hosts.iter().all(|s| s.refusals == 1));
}

#[test]
fn a_wrong_mark_has_no_effect_at_a_forwarder_that_receives_answers() {
    let mut w = warm(1, 4, 10, 2, 7);
    w.alter_plan = |_, message| {
        if let Message::Plan(plan) = message {
            plan.silent = vec![Mark { node: node(3), zones: ZoneSet::ALL, since: 0, witnesses: 4 }];
        }
    };
    w.run(10 * SECOND, |w| (0..4).for_each(|f| assert_eq!(w.avoided(f), set([]))));
    assert!(w.hosts.iter().all(|s| s.refusals == 0), "valid, but overridden by own signs of life");
}

#[test]
fn the_node_list_takes_precedence_over_plans() {
    let mut w = warm(3, 4, 10, 2, 8);
    w.silent = set([2]);
    w.run(3 * SECOND, |_| {});
    let mut nodes: Vec<Listed> = w.nodes.clone();
    // The node drains and then restarts: the mark applied to the old incarnation.
    nodes[2].ready = false;
    w.list(nodes.clone());
    let takes = |w: &World| w.hosts[0].forwarder.guidance(w.now).takes;
    assert_eq!(takes(&w), vec![]);
    nodes[2] = Listed { node: plan::Node { id: 2, life: 8 }, zone: nodes[2].zone, ready: true };
    w.list(nodes);
    w.silent = set([]);
    w.run(3 * SECOND, |w| assert_eq!(takes(w), vec![]));
}

#[test]
fn twenty_forwarders_with_the_same_terms_adjust_at_different_times() {
    let mut w = warm(3, 20, 10, 2, 9);
    let used = |w: &World, f: usize| w.hosts[f].forwarder.guidance(w.now).queues;
    let mut before: Vec<_> = (0..20).map(|f| used(&w, f)).collect();
    let mut most = 0;
    w.run(2 * SECOND, |w| {
        let mut moved = 0;
        for (f, before) in before.iter_mut().enumerate() {
            let now = used(w, f);
            moved += usize::from(now != *before);
            *before = now;
        }
        most = most.max(moved);
    });
    assert!((1..=5).contains(&most), "{most} of twenty moved within 10 ms");
}
