//! What a request allocates, by stage: the same count on every run, and the same at every size.

use cost::counting::{bytes_held, CountingAllocator};
use cost::request::Proxy;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const ROUNDS: u64 = 4_000;

/// Allocations a request by stage, with as many nodes and downstreams.
fn made(nodes: u64, downstreams: u64) -> Vec<f64> {
    let mut proxy = Proxy::new(nodes, downstreams);
    proxy.run(40_000);
    proxy.reset();
    proxy.run(ROUNDS);
    assert_eq!(proxy.served, ROUNDS, "all are served");
    proxy.made.iter().map(|n| *n as f64 / ROUNDS as f64).collect()
}

#[test]
fn a_request_allocates_no_more_than_a_third_above_the_ledger() {
    // parse, decide, encode, parse reply, settle, answer; see docs/design/cost.md.
    let ledger = [5.0, 4.6, 5.0, 5.0, 0.2, 1.0];
    for (stage, (made, most)) in made(4, 16).into_iter().zip(ledger).enumerate() {
        assert!(made <= most * 4.0 / 3.0, "stage {stage}: {made} allocations, {most} in the ledger");
    }
}

#[test]
fn a_request_allocates_as_little_before_a_thousand_nodes_and_behind_a_thousand_downstreams() {
    let all = |nodes, downstreams| made(nodes, downstreams).iter().sum::<f64>();
    let small = all(4, 16);
    for (nodes, downstreams) in [(1_000, 16), (4, 1_024)] {
        let large = all(nodes, downstreams);
        assert!(
            large <= small * 1.2,
            "{nodes} nodes, {downstreams} downstreams: {large}, {small} at 4 and 16"
        );
    }
}

#[test]
fn what_the_core_holds_for_popular_keys_and_open_streams_is_bounded() {
    let before = bytes_held();
    let mut proxy = Proxy::new(1_000, 1_024);
    // Most of the 20,000 keys come, more than lists are kept for.
    proxy.run(200_000);
    let held = bytes_held() - before;
    assert!(held < 32 << 20, "{held} bytes");
}
