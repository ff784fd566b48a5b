//! Tests of a cache node on its own: its answers, their times, and its failures.

use world::node::*;
use world::random::stream;
use world::scenario::{NodeGroup, Rules, WarmBy};
use world::Micros;

const MS: Micros = 1_000;

/// Two standard cores without pauses, errors, noise and slowdown under load; connections 1 to 9 are open and
/// warmed up.
fn group() -> NodeGroup {
    NodeGroup {
        cores: 2,
        speed: 1.0,
        speed_spread: 0.0,
        waiting_per_core: [1.0, 1.0],
        crowd_loss: [0.0, 0.0],
        pause_ms: [0.0, 0.0],
        error_rate: [0.0, 0.0],
        handshake_work_ms: [0.0, 0.0],
        full_table_loss: [0.0, 0.0],
        probe_work_ms: [1.0, 1.0],
        report_noise: [0.0, 0.0],
        connections: 9,
        ..NodeGroup::default()
    }
}

struct TestNode {
    node: Node,
    shared: SharedState,
}

impl TestNode {
    fn new(group: &NodeGroup, cold: bool) -> TestNode {
        let mut rng = stream(1, "test", 0);
        let limits = Limits::new(&Rules::default(), 10_000.0);
        let mut node = Node::new(Machine::draw(group, limits, &mut rng), rng);
        node.start(0, cold);
        (1..=9).for_each(|c| assert_eq!(node.connect(0, c), DialOutcome::Accepted));
        TestNode { node, shared: SharedState::default() }
    }

    /// A read of a key with 10 ms of work, on the connection with the job's number.
    fn read(&mut self, at: Micros, job: u64, key: u64) -> Vec<Event> {
        self.send(at, NodeRequest { key, work: 10_000.0, ..NodeRequest::nothing(job, job) })
    }

    fn send(&mut self, at: Micros, request: NodeRequest) -> Vec<Event> {
        let mut out = Vec::new();
        self.node.arrive(at * MS, request, &mut self.shared, &mut out);
        out
    }

    fn advance_to(&mut self, until: Micros) -> Vec<Event> {
        let mut out = Vec::new();
        self.node.advance(until * MS, &mut self.shared, &mut out);
        out
    }
}

/// Answers by job, with their times in milliseconds.
fn answers(events: &[Event]) -> Vec<(Micros, u64, Answer)> {
    let answer = |e: &Event| match e.kind {
        EventKind::Answered { job, answer, .. } => Some((e.at / MS, job, answer)),
        _ => None,
    };
    events.iter().filter_map(answer).collect()
}

const MISS: Answer = Answer::Miss { pending: false };

#[test]
fn a_key_misses_until_it_is_stored_and_hits_until_it_is_invalidated() {
    let mut p = TestNode::new(&group(), false);
    p.read(0, 1, 7);
    assert_eq!(answers(&p.advance_to(5)), [(1, 1, MISS)], "a miss costs a tenth of the work");
    p.read(10, 1, 7);
    assert_eq!(answers(&p.advance_to(20)), [(11, 1, Answer::Miss { pending: true })]);
    p.node.store_value(20 * MS, 7, 100);
    p.read(30, 1, 7);
    assert_eq!(answers(&p.advance_to(50)), [(40, 1, Answer::Value)]);
    p.node.invalidate(7);
    p.read(50, 1, 7);
    assert_eq!(answers(&p.advance_to(60)), [(51, 1, MISS)]);
}

#[test]
fn requests_beyond_the_queue_are_rejected_at_once() {
    let mut p = TestNode::new(&group(), false);
    p.node.store_value(0, 7, 100);
    let at_once: Vec<_> = (1..=5).flat_map(|job| answers(&p.read(0, job, 7))).collect();
    assert_eq!(at_once, [(0, 5, Answer::Busy)], "two slots and a queue of two");
    let later: Vec<_> = answers(&p.advance_to(100)).iter().map(|a| (a.0, a.1)).collect();
    assert_eq!(later, [(10, 1), (10, 2), (20, 4), (20, 3)], "the work of the rejection delays the next job");
}

#[test]
fn waiting_requests_without_a_waiting_client_are_dropped() {
    let mut p = TestNode::new(&group(), false);
    p.node.store_value(0, 7, 100);
    (1..=3).for_each(|job| drop(p.read(0, job, 7)));
    let impatient = NodeRequest { key: 7, work: 10_000.0, expires: 5 * MS, ..NodeRequest::nothing(4, 4) };
    p.send(0, impatient);
    p.node.disconnect(3);
    let seen = answers(&p.advance_to(100));
    assert_eq!(seen, [(10, 1, Answer::Value), (10, 4, Answer::Busy), (10, 2, Answer::Value)]);
}

#[test]
fn a_hung_node_answers_after_its_release() {
    let mut p = TestNode::new(&group(), false);
    p.node.store_value(0, 7, 100);
    p.read(0, 1, 7);
    let mut out = Vec::new();
    p.node.set_hung(5 * MS, true, &mut p.shared, &mut out);
    p.read(10, 2, 7);
    p.node.probe(10 * MS, 3, 3, &mut p.shared, &mut out);
    assert_eq!(answers(&p.advance_to(1_000)), [], "it accepts requests and answers none");
    p.node.set_hung(1_000 * MS, false, &mut p.shared, &mut out);
    out.extend(p.advance_to(2_000));
    let jobs: Vec<_> = answers(&out).iter().map(|a| (a.0, a.1)).collect();
    assert_eq!(jobs, [(1_001, 3), (1_005, 1), (1_010, 2)]);
}

#[test]
fn a_cold_node_is_slow_warms_up_and_crashes_when_overloaded() {
    let cold = NodeGroup { cold_from: [0.25, 0.25], cold_s: [4.0, 4.0], warm_by: WarmBy::Time, ..group() };
    let mut p = TestNode::new(&cold, true);
    p.node.store_value(0, 7, 100);
    p.read(0, 1, 7);
    let first = answers(&p.advance_to(100))[0].0;
    assert!((38..=40).contains(&first), "10 ms at a quarter of the speed: {first}");
    p.read(4_000, 1, 7);
    assert_eq!(answers(&p.advance_to(5_000))[0].0, 4_010, "warm by now");

    // Two cores at a quarter of the speed do 500 ms of work in the window: three times that is 150 reads, and
    // 5 are the margin for random variation.
    let mut p = TestNode::new(&cold, true);
    let crashed = |e: &Event| e.kind == EventKind::OverloadCrash;
    let at = (0..400).find(|i| p.read(100 + i / 4, 1 + (*i as u64 % 9), 7).iter().any(crashed));
    assert!((150..200).contains(&at.expect("it crashes")), "{at:?}");
    assert_eq!(p.node.connect(1_000 * MS, 77), DialOutcome::Refused, "and stays down");
    let warm = NodeGroup { cold_s: [0.0, 0.0], ..cold };
    let mut p = TestNode::new(&warm, true);
    assert!(
        (0..400).all(|i| !p.read(100 + i / 4, 1 + (i as u64 % 9), 7).iter().any(crashed)),
        "a warm node does not crash"
    );
}

/// Found by `lab search scenarios/grow.toml`: two reads of 3.6 s among nine in one second crashed a node.
#[test]
fn a_few_long_requests_do_not_crash_a_cold_node() {
    let cold = NodeGroup { cold_from: [0.25, 0.25], cold_s: [4.0, 4.0], warm_by: WarmBy::Time, ..group() };
    let mut p = TestNode::new(&cold, true);
    let crashed = |e: &Event| e.kind == EventKind::OverloadCrash;
    // Each is 40 times the mean: five are 2 s of work where 1.55 s are tolerated, but only five requests.
    let long = |job| NodeRequest { key: 7, work: 400_000.0, ..NodeRequest::nothing(job, job) };
    assert!((1..=5).all(|job| !p.send(100 + job as Micros, long(job)).iter().any(crashed)));
    // Many requests still crash it, long or not: 31 of them count for as much as 155 of mean work.
    let at = (0..100).find(|i| p.send(200 + i, long(1 + *i as u64 % 9)).iter().any(crashed));
    assert!(at.is_some_and(|i| (20..40).contains(&i)), "{at:?}");
}

#[test]
fn reports_are_late_and_tell_how_busy_the_cores_were() {
    let g = NodeGroup { report_period_ms: [100.0, 100.0], report_delay_ms: [50.0, 50.0], ..group() };
    let mut p = TestNode::new(&g, false);
    p.node.store_value(0, 7, 100);
    // One of two cores is busy all the time.
    for at in 0..30 {
        p.read(at * 10, 1, 7);
    }
    p.advance_to(300);
    let report = |p: &mut TestNode, at: Micros| {
        let mut out = Vec::new();
        p.node.probe(at * MS, 2, 2, &mut p.shared, &mut out);
        out.extend(p.advance_to(at + 5));
        match answers(&out)[..] {
            [.., (_, 2, Answer::Report(report))] => report.util,
            _ => panic!("no report: {out:?}"),
        }
    };
    assert!((report(&mut p, 310) - 0.5).abs() < 0.02);
    assert!((report(&mut p, 420) - 0.5).abs() < 0.02, "what happened since is not visible yet");
    assert!(report(&mut p, 800) < 0.1);
}

#[test]
fn connections_are_capped_cost_a_handshake_and_are_closed_when_idle() {
    let g = NodeGroup { handshake_work_ms: [30.0, 30.0], idle_close_s: 1.0, ..group() };
    let mut p = TestNode::new(&g, false);
    assert_eq!(p.node.connect(0, 10), DialOutcome::Refused);
    p.node.store_value(0, 7, 100);
    p.read(0, 1, 7);
    assert_eq!(answers(&p.advance_to(100)), [(40, 1, Answer::Value)]);
    p.read(100, 1, 7);
    assert_eq!(
        answers(&p.advance_to(200)),
        [(110, 1, Answer::Value)],
        "the handshake costs the first request only"
    );
    assert_eq!(answers(&p.read(1_200, 1, 7)), [(1_200, 1, Answer::Reset)]);
    assert_eq!(p.node.connect(1_200 * MS, 10), DialOutcome::Accepted);
}

#[test]
fn a_keyed_read_has_its_effect_once_within_the_window() {
    let mut p = TestNode::new(&group(), false);
    p.node.store_value(0, 7, 100);
    let mut effect = |at| {
        let request = NodeRequest {
            key: 7,
            work: 1_000.0,
            repeat: Some((99, 4_000 * MS)),
            ..NodeRequest::nothing(1, 1)
        };
        let began = p.send(at, request).into_iter().find_map(|e| match e.kind {
            EventKind::Began { effect, .. } => Some(effect),
            _ => None,
        });
        p.advance_to(at + 10);
        began.expect("it began")
    };
    assert_eq!([effect(0), effect(3_900), effect(4_100)], [true, false, true]);
}

#[test]
fn a_draining_node_completes_accepted_requests() {
    let mut p = TestNode::new(&group(), false);
    p.node.store_value(0, 7, 100);
    p.read(0, 1, 7);
    p.node.drain();
    assert_eq!(answers(&p.read(1, 2, 7)), [(1, 2, Answer::Busy)]);
    assert_eq!(answers(&p.advance_to(20)), [(10, 1, Answer::Value)]);
}
