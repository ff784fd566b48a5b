//! The index returns the same nodes as ranking all of them: over random fleets, weights, changes and keys.

use placement::{mix, unit, Index, Place, Ranked, FAR, NEAR};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A node with its current weight as a share of the placed one, and whether it may be used.
#[derive(Clone, Copy, Debug)]
struct Node {
    id: u64,
    side: usize,
    weight: f64,
    warmth: f64,
    usable: bool,
}

#[derive(Debug, Default)]
struct Fleet {
    nodes: Vec<Option<Node>>,
    index: Index,
}

impl Fleet {
    fn set(&mut self, slot: usize, node: Option<Node>) {
        if slot >= self.nodes.len() {
            self.nodes.resize(slot + 1, None);
        }
        self.nodes[slot] = node;
        let place = node.map(|n| Place { side: n.side, weight: n.weight, id_hash: mix(n.id) });
        self.index.set(slot as u32, place);
    }

    fn score(n: &Node, distance: f64, far: f64) -> f64 {
        distance / (n.weight * n.warmth * if n.side == NEAR { 1.0 } else { far })
    }

    /// Ranks all nodes.
    fn ranked(&self, key: u64, want: usize, far: f64) -> Vec<(f64, u64)> {
        let usable = self.nodes.iter().flatten().filter(|n| n.usable);
        let score = |n: &Node| (Self::score(n, -unit(mix(key ^ mix(n.id))).ln(), far), n.id);
        let mut all: Vec<(f64, u64)> = usable.map(score).collect();
        all.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
        all.truncate(want);
        all
    }

    fn best(&self, key: u64, want: usize, far: f64) -> Vec<(f64, u64)> {
        let mut best: Vec<Ranked> = Vec::new();
        let score = |slot: u32, distance: f64| {
            let n = self.nodes[slot as usize].as_ref().filter(|n| n.usable)?;
            Some((Self::score(n, distance, far), n.id))
        };
        self.index.best(key, want, [1.0, far], score, &mut best);
        best.iter().map(|b| (b.score, b.id)).collect()
    }
}

fn node() -> impl Strategy<Value = Node> {
    let weight = prop_oneof![6 => Just(1.0), 3 => Just(2.0), 1 => 0.01f64..50.0, 1 => prop_oneof![Just(1e-42), Just(1e45), Just(1e300)]];
    let warmth = prop_oneof![3 => Just(1.0), 1 => 0.05f64..1.0];
    (1u64..100_000, NEAR..FAR + 1, weight, warmth, prop::bool::weighted(0.9))
        .prop_map(|(id, side, weight, warmth, usable)| Node { id, side, weight, warmth, usable })
}

#[derive(Clone, Debug)]
enum Step {
    Set(usize, Option<Node>),
    /// The weights of some nodes change.
    Warm(usize, f64),
    /// Some nodes may not be used, or may be again.
    Use(usize, bool),
    Ask(u64, usize, f64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0usize..400, prop::option::weighted(0.7, node())).prop_map(|(at, n)| Step::Set(at, n)),
        1 => (1usize..40, 0.05f64..1.0).prop_map(|(every, warmth)| Step::Warm(every, warmth)),
        1 => (1usize..6, any::<bool>()).prop_map(|(every, usable)| Step::Use(every, usable)),
        6 => (0u64..24, 1usize..16, prop_oneof![Just(0.05), Just(1.0), 0.05f64..1.0])
            .prop_map(|(key, want, far)| Step::Ask(mix(key), want, far)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: RngSeed::Fixed(14), ..ProptestConfig::default() })]

    #[test]
    fn index_equals_full_ranking_after_any_changes(
        nodes in prop::collection::vec(node(), 0..400),
        steps in prop::collection::vec(step(), 1..200),
    ) {
        let mut fleet = Fleet::default();
        nodes.into_iter().enumerate().for_each(|(slot, n)| fleet.set(slot, Some(n)));
        fleet.index.update_floors();
        for step in steps {
            match step {
                Step::Set(slot, n) => {
                    fleet.set(slot, n);
                    fleet.index.update_floors();
                }
                Step::Warm(every, warmth) => {
                    fleet.nodes.iter_mut().step_by(every).flatten().for_each(|n| n.warmth = warmth);
                }
                Step::Use(every, usable) => {
                    fleet.nodes.iter_mut().step_by(every).flatten().for_each(|n| n.usable = usable);
                }
                Step::Ask(key, want, far) => {
                    prop_assert_eq!(fleet.best(key, want, far), fleet.ranked(key, want, far));
                }
            }
        }
    }
}

/// This many equal nodes, alternating between the sides.
fn uniform_fleet(nodes: usize) -> Fleet {
    let node = |id: usize| Node { id: id as u64, side: id % 2, weight: 1.0, warmth: 1.0, usable: true };
    let mut fleet = Fleet::default();
    (0..nodes).for_each(|slot| fleet.set(slot, Some(node(slot + 1))));
    fleet.index.update_floors();
    fleet
}

#[test]
fn more_changes_than_the_log_holds_do_not_affect_results() {
    let mut fleet = uniform_fleet(2_000);
    let matches_ranking =
        |fleet: &Fleet| (0..50).all(|k| fleet.best(mix(k), 12, 0.3) == fleet.ranked(mix(k), 12, 0.3));
    // Twice, so that lists are cached.
    assert!(matches_ranking(&fleet) && matches_ranking(&fleet));
    let node = |id: u64| Node { id, side: NEAR, weight: 3.0, warmth: 1.0, usable: true };
    (0..1_000).for_each(|slot| fleet.set(slot, Some(node(1_000_000 + slot as u64))));
    fleet.index.update_floors();
    assert!(matches_ranking(&fleet));
    (0..1_990).for_each(|slot| fleet.set(slot, None));
    fleet.index.update_floors();
    assert!(matches_ranking(&fleet));
}

#[test]
fn repeated_key_scores_few_nodes_of_a_large_fleet() {
    let fleet = uniform_fleet(4_000);
    let nodes_scored = |key: u64| {
        let (mut n, mut best) = (0, Vec::new());
        let score = |slot: u32, distance: f64| {
            n += 1;
            Some((distance, u64::from(slot)))
        };
        fleet.index.best(key, 1, [1.0, 1.0], score, &mut best);
        n
    };
    assert!((0..1_000).map(|k| nodes_scored(mix(k))).sum::<usize>() < 5_000);
}

#[test]
fn more_keys_than_cached_lists_still_get_their_nodes() {
    let fleet = uniform_fleet(64);
    for round in 0..2 {
        for key in (0..placement::MAX_CACHED_LISTS as u64 + 500).map(mix) {
            // Twice in a row, so that each is cached at its second time.
            assert_eq!(fleet.best(key, 1, 0.5), fleet.best(key, 1, 0.5));
            if key % 64 == 0 {
                assert_eq!(fleet.best(key, 2, 0.5), fleet.ranked(key, 2, 0.5), "round {round}");
            }
        }
    }
}
