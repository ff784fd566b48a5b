//! Merging of plans: independence of arrival order, and the bounds that always hold.

use plan::merge::{MarkTarget, Merge, PlanRejection};
use plan::message::{Cut, Evidence, Mark, NodeTerms, Plan, Terms, Vouch};
use plan::observations::Listed;
use plan::{Node, PlanNumber, Rules, Zone, ZoneSet, SECOND};
use proptest::prelude::*;

fn node(id: u64) -> Node {
    Node { id, life: 0 }
}

fn listed(n: u64) -> impl Iterator<Item = Listed> {
    (0..n).map(|i| Listed { node: node(i), zone: Zone((i % 2) as u8), ready: true })
}

fn merge(nodes: u64, planners: usize, seed: u64) -> Merge {
    let mut merge = Merge::new(Zone(0), seed, planners);
    merge.list(listed(nodes));
    merge
}

/// A plan of a warmed-up planner that marks some nodes and vouches for others.
fn plan(count: u64, silent: &[u64], lives: &[u64], cut: bool) -> Plan {
    let mark = |n: &u64| Mark { node: node(*n), zones: ZoneSet::ALL, since: 0, witnesses: 2 };
    let vouch = |n: &u64| Vouch { node: node(*n), zones: ZoneSet::ALL };
    Plan {
        number: PlanNumber { epoch: 1, count },
        evidence: Evidence { forwarders: 2, witnesses: 2, warm: true, ..Evidence::default() },
        silent: silent.iter().map(mark).collect(),
        lives: lives.iter().map(vouch).collect(),
        cuts: cut.then_some(Cut { from: Zone(0), to: Zone(1) }).into_iter().collect(),
        ..Plan::default()
    }
}

fn terms(count: u64, rho: f32) -> Terms {
    let t = |n| NodeTerms {
        node: node(n),
        rho,
        service: 1e5 * rho,
        arrival_scv: 1.0,
        service_scv: 1.0,
        share: 0.1,
    };
    Terms { number: PlanNumber { epoch: 1, count }, nodes: (0..4).map(t).collect() }
}

type Arrival = (usize, Plan, i64);

fn arrivals() -> impl Strategy<Value = Vec<Arrival>> {
    let one = (0..3usize, 1..6u64, prop::collection::vec(0..9u64, 0..4), any::<bool>(), 0..SECOND);
    prop::collection::vec(one, 1..12).prop_map(|all| {
        // A planner sends only one plan per number, so further ones drawn with the same number are dropped.
        let mut seen = std::collections::BTreeSet::new();
        let new = |(slot, count, ..): &(usize, u64, Vec<u64>, bool, i64)| seen.insert((*slot, *count));
        let all: Vec<_> = all.into_iter().filter(new).collect();
        all.into_iter().map(|(s, c, silent, cut, basis)| (s, plan(c, &silent, &[], cut), basis)).collect()
    })
}

type MarksInForce = (Vec<MarkTarget>, Vec<(Node, f64)>);

/// The marks in force over the next seconds.
fn after(arrivals: &[Arrival], rules: &Rules) -> Vec<MarksInForce> {
    let mut m = merge(9, 3, 5);
    for (slot, plan, basis) in arrivals {
        let _ = m.accept_plan(*slot, plan, Some(*basis), rules);
    }
    let look = |i: i64| {
        m.settle(SECOND + i * 100_000, |_| None, rules);
        (m.active().collect(), m.parts(SECOND + i * 100_000, rules))
    };
    (0..200).map(look).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_arrival_order_of_plans_does_not_matter(
        (one, other) in arrivals().prop_flat_map(|a| (Just(a.clone()), Just(a).prop_shuffle())),
    ) {
        let rules = Rules::default();
        prop_assert_eq!(after(&one, &rules), after(&other, &rules));
        // Duplicated plans change nothing either.
        let twice: Vec<Arrival> = one.iter().chain(&other).cloned().collect();
        prop_assert_eq!(after(&one, &rules), after(&twice, &rules));
    }

    #[test]
    fn marked_nodes_never_exceed_the_bound_for_any_plans(
        all in arrivals(), shrinks in 1..9u64,
    ) {
        let rules = Rules::default();
        let mut m = merge(9, 3, 1);
        for (i, (slot, plan, basis)) in all.iter().enumerate() {
            let _ = m.accept_plan(*slot, plan, Some(*basis), &rules);
            if i == all.len() / 2 {
                m.list(listed(shrinks));
            }
            let now = SECOND + i as i64 * 200_000;
            m.settle(now, |_| None, &rules);
            let nodes = m.active().filter(|o| matches!(o, MarkTarget::Node(_))).count();
            let ready = if i >= all.len() / 2 { shrinks as usize } else { 9 };
            prop_assert!(nodes <= ready / 3);
            prop_assert!(listed(ready as u64).any(|l| !m.avoids(l.node)), "no ready node is left");
        }
    }
}

#[test]
fn each_kind_of_invalid_plan_is_rejected_and_logged_once() {
    let rules = Rules::default();
    let mut m = merge(9, 1, 1);
    let too_much = plan(1, &[0, 1, 2, 3], &[], false);
    let why = PlanRejection::TooManyMarks { marks: 4, ready: 9, most: 3 };
    assert_eq!(m.accept_plan(0, &too_much, Some(0), &rules), Err((why, true)));
    assert_eq!(
        m.accept_plan(0, &Plan { number: PlanNumber { epoch: 1, count: 2 }, ..too_much }, Some(0), &rules),
        Err((why, false))
    );
    let mut blind = plan(3, &[0], &[], false);
    blind.silent[0].witnesses = 0;
    assert_eq!(m.accept_plan(0, &blind, Some(0), &rules), Err((PlanRejection::NoEvidence, true)));
    let own = Plan { cuts: vec![Cut { from: Zone(0), to: Zone(0) }], ..plan(4, &[], &[], false) };
    assert_eq!(m.accept_plan(0, &own, Some(0), &rules), Err((PlanRejection::OwnZone, true)));
    assert_eq!(
        m.accept_plan(0, &plan(5, &[1], &[1], false), Some(0), &rules),
        Err((PlanRejection::Contradiction, true))
    );
    assert_eq!(
        m.accept_plan(1, &plan(6, &[], &[], false), Some(0), &rules),
        Err((PlanRejection::UnknownPlanner, true))
    );
    assert_eq!(m.accept_plan(0, &plan(7, &[1], &[2], false), Some(0), &rules), Ok(()));
    let old = PlanRejection::Outdated(PlanNumber { epoch: 1, count: 7 });
    assert_eq!(m.accept_plan(0, &plan(6, &[], &[], false), Some(0), &rules), Err((old, false)));
    assert_eq!(m.accept_plan(0, &plan(8, &[0, 1, 2, 3], &[], false), Some(0), &rules), Err((why, false)));
    // After enough valid plans a rejection is logged again.
    (9..60).for_each(|n| assert_eq!(m.accept_plan(0, &plan(n, &[], &[], false), Some(0), &rules), Ok(())));
    assert_eq!(m.accept_plan(0, &plan(60, &[0, 1, 2, 3], &[], false), Some(0), &rules), Err((why, true)));
}

#[test]
fn terms_are_the_median_of_the_planners_and_lose_trust_with_age() {
    let rules = Rules::default();
    let mut m = merge(4, 3, 1);
    for (slot, rho) in [(0, 0.5), (1, 0.9), (2, 0.6)] {
        assert_eq!(m.accept_plan(slot, &plan(1, &[], &[], false), Some(0), &rules), Ok(()));
        m.terms(slot, &terms(1, rho));
    }
    let (queue, trust) = m.queue(node(1), 0, &rules).expect("three told");
    assert!((queue.rho - 0.6).abs() < 1e-6 && (queue.service - 6e4).abs() < 1.0 && trust == 1.0);
    let (_, half) = m.queue(node(1), rules.terms_max_age / 2, &rules).expect("half of the way");
    assert!((half - 0.5).abs() < 1e-9);
    assert_eq!(m.queue(node(1), rules.terms_max_age, &rules), None);
}
