//! Allocations of a request by stage: the same count on every run, and the same at every size.

use cost::counting::{bytes_held, CountingAllocator};
use cost::request::Proxy;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const ROUNDS: u64 = 4_000;

/// Allocations per request by stage, with this many nodes and downstreams.
fn allocations_by_stage(nodes: u64, downstreams: u64) -> Vec<f64> {
    let mut proxy = Proxy::new(nodes, downstreams);
    proxy.run(40_000);
    proxy.reset();
    proxy.run(ROUNDS);
    assert_eq!(proxy.served, ROUNDS, "all are served");
    proxy.allocations.iter().map(|n| *n as f64 / ROUNDS as f64).collect()
}

#[test]
fn request_allocates_at_most_a_third_more_than_expected() {
    // Expected by stage: parse, decide, encode, parse reply, settle, answer; see docs/design/cost.md.
    let expected = [5.0, 4.6, 5.0, 5.0, 0.2, 1.0];
    for (stage, (made, max)) in allocations_by_stage(4, 16).into_iter().zip(expected).enumerate() {
        assert!(made <= max * 4.0 / 3.0, "stage {stage}: {made} allocations, {max} expected");
    }
}

#[test]
fn allocations_do_not_grow_with_nodes_or_downstreams() {
    let total = |nodes, downstreams| allocations_by_stage(nodes, downstreams).iter().sum::<f64>();
    let small = total(4, 16);
    for (nodes, downstreams) in [(1_000, 16), (4, 1_024)] {
        let large = total(nodes, downstreams);
        assert!(
            large <= small * 1.2,
            "{nodes} nodes, {downstreams} downstreams: {large}, {small} at 4 and 16"
        );
    }
}

#[test]
fn memory_for_popular_keys_and_open_streams_is_bounded() {
    let before = bytes_held();
    let mut proxy = Proxy::new(1_000, 1_024);
    // Most of the 20,000 keys are requested, more than lists are cached for.
    proxy.run(200_000);
    let held = bytes_held() - before;
    assert!(held < 32 << 20, "{held} bytes");
}
