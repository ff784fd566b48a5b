//! Tests of notifications on a simulated clock: which changes are reported and when, damping, and delivery of
//! informs.

mod common;

use common::*;
use rstest::rstest;
use snmp::listener::Listener;
use snmp::manager::Credentials;
use snmp::message::Pdu;
use snmp::notify::{Notifier, Target, MAX_QUEUE};
use snmp::snapshot::{Phase, State};
use snmp::tree::ENTERPRISE;
use snmp::usm::{Engine, User};
use snmp::watch::{Change, Watch, HOLD_DOWN, MAX_HOLD_DOWN, QUIET_PERIOD};
use snmp::{Snapshot, Value, SECOND};
use std::net::SocketAddr;

const SENDER: &str = "127.0.0.1:50001";
const RECEIVER: &str = "127.0.0.1:162";

fn address(text: &str) -> SocketAddr {
    text.parse().expect("an address")
}

fn name(change: &Change) -> String {
    match change {
        Change::NodeDrains(n) => format!("drains {}", n.name),
        Change::NodeSilent(n) => format!("silent {}", n.name),
        Change::NodeBack(n) => format!("back {}", n.name),
        Change::FleetUnder { usable, bound } => format!("under {usable} of {bound}"),
        Change::FleetBack { usable, bound } => format!("enough {usable} of {bound}"),
        other => format!("{other:?}"),
    }
}

/// Reported changes of a fleet in which every usable node has answered something recently.
fn reported(watch: &mut Watch, now: i64, snapshot: &Snapshot) -> Vec<String> {
    let mut snapshot = snapshot.clone();
    snapshot.nodes.iter_mut().filter(|n| n.state.usable()).for_each(|n| n.served = now as u64);
    watch.update(now, &snapshot).iter().map(name).collect()
}

fn snapshot_with(nodes: usize, state: State, which: impl Fn(usize) -> bool) -> Snapshot {
    let mut snapshot = snapshot(nodes);
    let changed = snapshot.nodes.iter_mut().enumerate().filter(|(i, _)| which(*i));
    changed.for_each(|(_, n)| n.state = state);
    snapshot
}

#[test]
fn a_zone_that_is_cut_off_is_reported_once_by_node_and_once_as_a_fleet() {
    let (mut watch, healthy) = (Watch::new(NOW), snapshot(4));
    assert_eq!(reported(&mut watch, NOW, &healthy), Vec::<String>::new());
    let cut = snapshot_with(4, State::Silent, |i| i < 3);
    let now = NOW + 250_000;
    assert_eq!(
        reported(&mut watch, now, &cut),
        ["silent s-000", "silent s-001", "silent s-002", "under 1 of 2"]
    );
    // A silent node that is left out after repeated failures is not reported again.
    assert_eq!(
        reported(&mut watch, now + SECOND, &snapshot_with(4, State::LeftOut, |i| i < 3)),
        Vec::<String>::new()
    );
    // It returns, fails and returns once more: each change is reported as it happens.
    let later = now + 2 * SECOND;
    assert_eq!(
        reported(&mut watch, later, &healthy),
        ["back s-000", "back s-001", "back s-002", "enough 4 of 2"]
    );
    assert_eq!(reported(&mut watch, later + SECOND, &cut).len(), 4);
    assert_eq!(reported(&mut watch, later + 2 * SECOND, &healthy).len(), 4);
    assert_eq!(watch.held(), 0);
    // The fifth change is held down; after a quiet period it is reported at once again.
    assert_eq!(reported(&mut watch, later + 3 * SECOND, &cut).len(), 0);
    assert_eq!((watch.held(), reported(&mut watch, later + 4 * SECOND, &healthy).len()), (4, 0));
    assert_eq!(reported(&mut watch, later + QUIET_PERIOD + 4 * SECOND, &cut).len(), 4);
}

#[test]
fn a_silent_node_is_not_reported_back_before_it_has_answered() {
    let (mut watch, healthy) = (Watch::new(NOW), snapshot(2));
    let mut update =
        |now, snapshot: &Snapshot| watch.update(now, snapshot).iter().map(name).collect::<Vec<_>>();
    assert_eq!(
        update(NOW, &snapshot_with(2, State::Silent, |_| true)),
        ["silent s-000", "silent s-001", "under 0 of 1"]
    );
    // Without outstanding requests no node is silent, but that does not prove that it answers.
    assert_eq!(update(NOW + SECOND, &healthy), Vec::<String>::new());
    let mut answered = healthy.clone();
    answered.nodes[0].missed = 1;
    assert_eq!(update(NOW + 2 * SECOND, &answered), ["back s-000", "enough 1 of 1"]);
    // A node without requests counts as healthy again after a while.
    assert_eq!(update(NOW + QUIET_PERIOD, &answered), ["back s-001"]);
}

#[test]
fn a_node_that_drains_leaves_and_returns_is_reported_draining_and_back() {
    let mut watch = Watch::new(NOW);
    let mut fleet = snapshot(4);
    fleet.nodes[1].phase = Phase::Draining;
    assert_eq!(reported(&mut watch, NOW, &fleet), ["drains s-001"]);
    fleet.nodes[1].phase = Phase::Gone;
    assert_eq!(reported(&mut watch, NOW + 20 * SECOND, &fleet), Vec::<String>::new());
    fleet.nodes[1].phase = Phase::Serving;
    assert_eq!(reported(&mut watch, NOW + 40 * SECOND, &fleet), ["back s-001"]);
}

#[test]
fn a_flapping_node_is_reported_at_growing_intervals_and_finally_as_it_is() {
    let (mut watch, mut all) = (Watch::new(NOW), Vec::new());
    // It changes every second for an hour and is healthy afterwards.
    for step in 0..3600 {
        let state = if step % 2 == 0 { State::Silent } else { State::Serving };
        all.extend(reported(&mut watch, NOW + step * SECOND, &snapshot_with(4, state, |i| i == 2)));
    }
    assert!((12..=28).contains(&all.len()), "{} changes are reported", all.len());
    let end = NOW + 3600 * SECOND + MAX_HOLD_DOWN;
    all.extend(reported(&mut watch, end, &snapshot(4)));
    assert_eq!(all.last().map(String::as_str), Some("back s-002"));
    assert!(all.windows(2).all(|w| w[0] != w[1]), "consecutive reports must differ");
    assert!(watch.held() > 1500);
}

#[test]
fn reports_of_a_large_flapping_fleet_are_rate_limited() {
    let (mut watch, mut all) = (Watch::new(NOW), Vec::new());
    for step in 0..600 {
        let state = if step / 4 % 2 == 0 { State::Silent } else { State::Serving };
        all.push(reported(&mut watch, NOW + step * SECOND / 4, &snapshot_with(200, state, |i| i < 110)));
    }
    assert_eq!((all[0].len(), all[0].last().map(String::as_str)), (21, Some("under 90 of 100")));
    // A burst of 20, one more each 2 s, and the reports on the fleet itself.
    let many: usize = all.iter().map(Vec::len).sum();
    assert!(many <= 20 + 75 + 10, "{many} reports in 150 s");
}

#[test]
fn a_clock_set_back_neither_floods_nor_suppresses_reports() {
    let mut watch = Watch::new(NOW);
    let silent = snapshot_with(2, State::Silent, |i| i == 0);
    assert_eq!(reported(&mut watch, NOW, &silent), ["silent s-000"]);
    assert_eq!(reported(&mut watch, NOW - 3600 * SECOND, &snapshot(2)), ["back s-000"]);
    assert_eq!(reported(&mut watch, NOW - 3599 * SECOND, &snapshot(2)), Vec::<String>::new());
}

fn notifier(informs: bool, credentials: Credentials) -> Notifier {
    let target = Target { address: address(RECEIVER), informs, credentials };
    Notifier::new(ENTERPRISE, engine(NOW), NOW, vec![target], 5)
}

fn listener(now: i64) -> Listener {
    Listener::new(now, Engine::new(b"a listener".to_vec(), 3, now - 500 * SECOND), access(), 11)
}

/// Simulates a span of time. Every datagram reaches the other side at once, unless it is lost.
fn run(
    notifier: &mut Notifier,
    listener: &mut Listener,
    span: std::ops::Range<i64>,
    mut lost: impl FnMut(i64) -> bool,
) -> (Vec<Pdu>, usize) {
    let (mut received, mut sent, mut now) = (Vec::new(), 0, span.start);
    while now < span.end {
        while let Some((to, datagram)) = notifier.send(now) {
            assert_eq!(to, address(RECEIVER));
            sent += 1;
            assert!(sent < 10_000, "too many datagrams");
            if lost(now) {
                continue;
            }
            let (reply, pdu) = listener.receive(now, address(SENDER), &datagram);
            received.extend(pdu);
            if let Some(reply) = reply.filter(|_| !lost(now)) {
                notifier.receive(now, address(RECEIVER), &reply);
            }
        }
        now = notifier.next().unwrap_or(span.end).max(now + 1000);
    }
    (received, sent)
}

fn numbers(received: &[Pdu]) -> Vec<u32> {
    let number = |pdu: &Pdu| match pdu.bindings.last() {
        Some((_, Value::Counter(n))) => *n,
        other => panic!("{other:?}"),
    };
    received.iter().map(number).collect()
}

#[rstest]
#[case::traps_with_a_community(false, Credentials::Community(b"public".to_vec()))]
#[case::traps_signed(false, Credentials::User(user("auth")))]
#[case::traps_encrypted(false, Credentials::User(user("private")))]
#[case::informs_with_a_community(true, Credentials::Community(b"public".to_vec()))]
#[case::informs_in_the_open(true, Credentials::User(user("open")))]
#[case::informs_signed(true, Credentials::User(user("auth")))]
#[case::informs_encrypted(true, Credentials::User(user("private")))]
fn notifications_arrive_once_and_in_order(#[case] informs: bool, #[case] credentials: Credentials) {
    let (mut notifier, mut listener) = (notifier(informs, credentials), listener(NOW));
    notifier.started(NOW, false);
    (0..9).for_each(|_| notifier.change(NOW, &Change::OriginClosed));
    let (received, _) = run(&mut notifier, &mut listener, NOW..NOW + 10 * SECOND, |_| false);
    assert_eq!(numbers(&received), (1..=10).collect::<Vec<_>>());
    let start = Value::Oid(oid("1.3.6.1.6.3.1.1.5.1"));
    assert_eq!(received[0].bindings[1], (oid("1.3.6.1.6.3.1.1.4.1.0"), start));
    let stats = &notifier.stats(0).receivers[0];
    assert_eq!((stats.sent, stats.resent, stats.queued), (10, 0, 0));
    assert_eq!(stats.acknowledged, if informs { 10 } else { 0 });
}

#[rstest]
#[case(Credentials::Community(b"public".to_vec()))]
#[case(Credentials::User(user("private")))]
fn informs_arrive_despite_heavy_loss(#[case] credentials: Credentials) {
    let (mut notifier, mut listener) = (notifier(true, credentials), listener(NOW));
    (0..10).for_each(|_| notifier.change(NOW, &Change::OriginClosed));
    let mut n = 0;
    let (received, _) = run(&mut notifier, &mut listener, NOW..NOW + 600 * SECOND, |_| {
        n += 1;
        n % 5 < 2
    });
    assert_eq!(numbers(&received), (1..=10).collect::<Vec<_>>());
    assert!(notifier.stats(0).receivers[0].resent > 0);
}

#[test]
fn a_receiver_that_is_down_for_an_hour_gets_the_queued_notifications() {
    let (mut notifier, mut listener) = (notifier(true, Credentials::User(user("private"))), listener(NOW));
    let mut sent = 0;
    for minute in 0..58 {
        let now = NOW + minute * 60 * SECOND;
        (0..4).for_each(|_| notifier.change(now, &Change::OriginBack));
        sent += run(&mut notifier, &mut listener, now..now + 60 * SECOND, |_| true).1;
    }
    assert!(sent <= 6 + 58, "{sent} datagrams in 58 minutes");
    let now = NOW + 58 * 60 * SECOND;
    let (received, _) = run(&mut notifier, &mut listener, now..now + 120 * SECOND, |_| false);
    let stats = notifier.stats(0).receivers[0].clone();
    assert_eq!((received.len(), stats.queued, stats.dropped), (MAX_QUEUE, 0, 232 - MAX_QUEUE as u64));
    // The first inform was being sent all the time; the queue behind it holds the latest.
    let kept: Vec<u32> = std::iter::once(1).chain(234 - MAX_QUEUE as u32..=232).collect();
    assert_eq!(numbers(&received), kept);
    // Notifications that have waited for an hour are dropped.
    notifier.change(now, &Change::OriginClosed);
    run(&mut notifier, &mut listener, now..now + 3600 * SECOND, |_| true);
    let (received, sent) =
        run(&mut notifier, &mut listener, now + 3601 * SECOND..now + 4000 * SECOND, |_| false);
    assert_eq!((received.len(), sent, notifier.next()), (0, 0, None));
}

#[test]
fn a_restarted_receiver_is_discovered_again() {
    let mut notifier = notifier(true, Credentials::User(user("auth")));
    notifier.change(NOW, &Change::OriginClosed);
    let (received, _) = run(&mut notifier, &mut listener(NOW), NOW..NOW + 5 * SECOND, |_| false);
    assert_eq!(received.len(), 1);
    // First with another boot, then with another engine.
    for id in [b"a listener", b"Another on"] {
        let engine = Engine::new(id.to_vec(), 4, NOW + 5 * SECOND);
        let mut listener = Listener::new(NOW, engine, access(), 12);
        notifier.change(NOW + 9 * SECOND, &Change::OriginBack);
        let span = NOW + 9 * SECOND..NOW + 12 * SECOND;
        assert_eq!(run(&mut notifier, &mut listener, span, |_| false).0.len(), 1, "{id:?}");
    }
}

#[test]
fn a_trap_received_again_later_is_a_replay() {
    let user: User = user("private");
    let mut notifier = notifier(false, Credentials::User(user));
    let mut listener = listener(NOW);
    notifier.change(NOW, &Change::OriginClosed);
    let (_, old) = notifier.send(NOW).expect("a trap");
    assert!(listener.receive(NOW, address(SENDER), &old).1.is_some());
    notifier.change(NOW + 400 * SECOND, &Change::OriginBack);
    let (_, new) = notifier.send(NOW + 400 * SECOND).expect("a trap");
    assert!(listener.receive(NOW, address(SENDER), &new).1.is_some());
    assert!(listener.receive(NOW, address(SENDER), &old).1.is_none());
}

#[test]
fn lost_planners_and_refused_plans_are_reported() {
    let (mut watch, mut fleet) = (Watch::new(NOW), snapshot(2));
    fleet.plans.planners[0].reachable = false;
    assert_eq!(reported(&mut watch, NOW, &fleet), ["PlannersLost"]);
    fleet.plans.planners[0].reachable = true;
    fleet.plans.planners[0].refused = 3;
    assert_eq!(reported(&mut watch, NOW + HOLD_DOWN, &fleet), ["PlannersBack", "PlanRefused(1)"]);
    fleet.plans.planners[0].refused = 4;
    assert_eq!(reported(&mut watch, NOW + 2 * HOLD_DOWN, &fleet), Vec::<String>::new());
    assert_eq!(reported(&mut watch, NOW + HOLD_DOWN + MAX_HOLD_DOWN, &fleet), ["PlanRefused(1)"]);
    fleet.plans.planners.clear();
    assert_eq!(reported(&mut watch, NOW + 2 * MAX_HOLD_DOWN, &fleet), Vec::<String>::new());
}
