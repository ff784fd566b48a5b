//! Observations of a forwarder and their processing at a planner: signs of life, incremental reports, Eq. 1,
//! Eqs. 2 to 7, and messages that a planner refuses.

use plan::forwarder::{Config, Forwarder, Output};
use plan::frame::Refused;
use plan::join::{FleetView, PRIOR_SAMPLES};
use plan::message::*;
use plan::observations::{Listed, Observations};
use plan::planner::{self, Planner};
use plan::solve::{shares, solve, Queue};
use plan::{bounds, ForwarderId, Micros, Node, PlanNumber, Rules, Zone, SECOND};

const MS: Micros = 1000;

fn node(id: u64) -> Node {
    Node { id, life: 0 }
}

fn observations(nodes: u64) -> Observations {
    let mut observations = Observations::new(2, 2);
    let listed: Vec<_> = (0..nodes).map(|n| Listed { node: node(n), zone: Zone(0), ready: true }).collect();
    observations.list(3, &listed);
    observations
}

#[test]
fn a_node_is_unanswered_since_the_first_send_without_a_sign_of_life() {
    let mut observations = observations(2);
    observations.sent(100 * MS, node(0));
    observations.sent(200 * MS, node(0));
    observations.ended(250 * MS, node(0), Verdict::Timeout, 150 * MS);
    let reported = |report: &Report| {
        let n = report.nodes.first().cloned().unwrap_or_default();
        (n.quiet, n.unanswered, n.sign)
    };
    assert_eq!(reported(&observations.take_report(300 * MS)), (Some(200_000), 2, None));
    assert_eq!(
        reported(&observations.take_report(400 * MS)),
        (Some(300_000), 2, None),
        "silence is reported again"
    );
    // An error is also a sign of life. Requests still pending count as unanswered from then on.
    observations.sent(450 * MS, node(0));
    observations.ended(500 * MS, node(0), Verdict::Error, 300 * MS);
    assert_eq!(reported(&observations.take_report(600 * MS)), (Some(100_000), 1, Some(100_000)));
    observations.ended(700 * MS, node(0), Verdict::Served, 250 * MS);
    assert_eq!(reported(&observations.take_report(700 * MS)), (None, 0, Some(0)));
    assert!(observations.take_report(800 * MS).nodes.is_empty(), "a node without changes is omitted");
}

#[test]
fn reports_add_up_to_all_observations_and_list_unanswered_nodes_first() {
    let many = bounds::ANSWERING_NODES_PER_REPORT as u64 + 100;
    let mut observations = observations(many);
    for n in 0..many {
        observations.sent(0, node(n));
        if n != many - 1 {
            observations.ended(10 * MS, node(n), Verdict::Served, 10 * MS);
        }
    }
    observations.request_received(1, 1);
    let (one, two) = (observations.take_report(20 * MS), observations.take_report(40 * MS));
    assert_eq!(one.nodes.len(), 1 + bounds::ANSWERING_NODES_PER_REPORT);
    assert_eq!(one.nodes.first().map(|n| n.node), Some(node(many - 1)), "the unanswered node is first");
    assert_eq!((one.uses.len(), two.uses.len()), (1, 0));
    let sends = |s: &Report| s.nodes.iter().map(|n| n.sends).sum::<u32>();
    assert_eq!(sends(&one) + sends(&two), many as u32, "each send is reported once");
    assert!(plan::frame::encode(&Message::Report(one)).is_ok());
}

/// A fleet view with reports on one node, given each forwarder's intervals between sends.
fn aggregated(gaps: &[Vec<Micros>]) -> (FleetView, Micros, Rules) {
    let (mut join, rules) = (FleetView::default(), Rules::default());
    for (f, gaps) in gaps.iter().enumerate() {
        let id = ForwarderId(f as u64);
        let hello = Hello { forwarder: id, life: 1, zone: Zone(0), holds: PlanNumber::default(), tenants: 0 };
        assert!(join.hello(0, &hello));
        let mut observations = observations(1);
        let mut now = 0;
        for gap in gaps {
            observations.sent(now, node(0));
            now += gap;
        }
        observations.sent(now, node(0));
        assert!(join.report(0, id, &observations.take_report(now), &rules));
    }
    (join, 0, rules)
}

#[test]
fn arrivals_of_all_forwarders_are_weighted_by_their_rates() {
    // Even intervals have C^2 = 0; intervals alternating between one and three parts have C^2 = 1/4. Shrunk:
    // (n * C^2 + 8)/(n + 8).
    let even = vec![100 * MS; 40];
    let uneven: Vec<Micros> = (0..120).map(|i| if i % 2 == 0 { 50 * MS } else { 150 * MS }).collect();
    let (join, now, rules) = aggregated(&[even, uneven]);
    let j = join.aggregated(now, &rules)[0];
    let scv = |n: f64, own: f64| (n * own + PRIOR_SAMPLES) / (n + PRIOR_SAMPLES);
    let want = (41.0 * scv(40.0, 0.0) + 121.0 * scv(120.0, 0.25)) / 162.0;
    assert!((j.arrival_scv - want).abs() < 1e-3, "{} for {want}", j.arrival_scv);
    assert!((j.rate - 162.0 / 4.0).abs() < 1e-9, "sends over the memory of 4 s: {}", j.rate);
}

#[test]
fn shares_match_a_manual_calculation_from_the_paper() {
    // Gathering queue: rho 0.5, C_A^2 1, C_S^2 2: C_D^2 = 0.25 * 2 + 0.75 * 1 = 1.25 (Eq. 2), I = 1.5 (Eq.
    // 3).
    let g = Queue { rho: 0.5, service: 100.0, arrival_scv: 1.0, service_scv: 2.0 };
    assert!((g.departures() - 1.25).abs() < 1e-12 && (g.index() - 1.5).abs() < 1e-12);
    // Eq. 4 with R = 1/2: C_i^2 = 1.125. For g: W = 100 * 1 * 3.125/2 = 156.25, L = 0.5 * 3.125/2 = 0.78125.
    // For the other, rho 0.8, E[S] 50, C_S^2 1: W = 50 * 4 * 2.125/2 = 212.5, L = 3.2 * 2.125/2 = 3.4.
    let other = Queue { rho: 0.8, service: 50.0, arrival_scv: 1.0, service_scv: 1.0 };
    // Eq. 7: R_g = (0.78125/4.18125 + 156.25/368.75)/2 = 0.30529; shares are 1 - R.
    let shares = shares(&g, &[g, other]);
    assert!((shares[0] - 0.69471).abs() < 1e-4 && (shares[1] - 0.30529).abs() < 1e-4, "{shares:?}");
}

#[test]
fn a_fleet_without_measurements_gets_equal_shares() {
    let (join, now, rules) = aggregated(&[vec![], vec![]]);
    let mut all = join.aggregated(now, &rules);
    let second = plan::join::NodeAggregate { node: node(1), ..all[0] };
    all.push(second);
    let solved = solve(now, &all, &rules);
    assert_eq!(solved.nodes.iter().map(|n| n.share).collect::<Vec<_>>(), vec![0.5, 0.5]);
    assert!(Message::Terms(Terms { number: PlanNumber::default(), nodes: solved.nodes }).check().is_ok());
}

fn hello(id: u64, holds: PlanNumber) -> Message {
    Message::Hello(Hello { forwarder: ForwarderId(id), life: 1, zone: Zone(0), holds, tenants: 1 })
}

#[test]
fn a_planner_refuses_floods_and_unexpected_messages_and_keeps_the_last_connection_of_a_forwarder() {
    let mut p = Planner::new(0, Rules::default(), 5).expect("valid rules");
    let mut out = vec![];
    (1..4).for_each(|peer| assert_eq!(p.up(0, peer), Ok(())));
    let report = Message::Report(Report::default());
    assert!(matches!(p.message(0, 1, &report, &mut out), Err(Refused::Unexpected(_))), "no hello yet");
    assert_eq!(p.message(0, 2, &hello(7, PlanNumber::default()), &mut out), Ok(()));
    let flooded = (0..200).find_map(|_| p.message(0, 2, &report, &mut out).err());
    assert_eq!(flooded, Some(Refused::Flood));
    assert_eq!(p.message(0, 3, &hello(7, PlanNumber::default()), &mut out), Ok(()));
    assert!(matches!(out[..], [planner::Output::Close(2, _)]), "{out:?}");
    assert!(
        matches!(p.message(0, 2, &report, &mut out), Err(Refused::Unexpected(_))),
        "the connection is closed"
    );
}

#[test]
fn the_next_plan_is_numbered_above_what_any_forwarder_holds() {
    let mut p = Planner::new(0, Rules::default(), 5).expect("valid rules");
    let held = PlanNumber { epoch: 9, count: 70 };
    assert_eq!(p.up(0, 1), Ok(()));
    assert_eq!(p.message(0, 1, &hello(7, held), &mut vec![]), Ok(()));
    let mut last = held;
    for i in 1..5 {
        let mut out = vec![];
        p.tick(i * SECOND, &mut out);
        let mut plans = out.iter().filter_map(|o| match o {
            planner::Output::Send(1, Message::Plan(plan)) => Some(plan.number),
            _ => None,
        });
        let number = plans.next_back().expect("a plan each second");
        assert!(number > last, "{number:?} after {last:?}");
        last = number;
    }
    // An epoch beyond the bound does not exhaust the numbers: the message is refused instead.
    assert!(hello(8, PlanNumber { epoch: u64::MAX, count: 1 }).check().is_err());
}

#[test]
fn forwarders_that_lose_a_planner_redial_at_different_times_with_backoff() {
    let dials = |seed| {
        let config = Config {
            id: ForwarderId(seed),
            life: 1,
            zone: Zone(0),
            tenants: 0,
            classes: 1,
            planners: 1,
            seed,
        };
        let mut f = Forwarder::new(0, Rules::default(), config).expect("valid rules");
        let (mut at, mut now) = (vec![], 0);
        while at.len() < 6 {
            let mut out = vec![];
            f.tick(now, &mut out);
            if out.contains(&Output::Dial(0)) {
                at.push(now);
                f.down(now, 0);
            }
            now = f.next(now).max(now + 1);
        }
        at
    };
    let all: Vec<Vec<Micros>> = (0..20).map(dials).collect();
    let mut firsts: Vec<_> = all.iter().map(|d| d[1] / (5 * MS)).collect();
    firsts.sort();
    firsts.dedup();
    assert!(firsts.len() >= 10, "the dials coincide: {firsts:?}");
    assert!(
        all.iter().all(|d| d[5] - d[4] > 4 * (d[1] - d[0]).min(300 * MS)),
        "backoff does not grow: {all:?}"
    );
}
