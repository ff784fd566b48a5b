use super::*;
use crate::fleet::fault::{Fault, Kind};
use crate::fleet::schedule::Schedule;

fn truth(faults: Vec<Fault>) -> (Plan, Truth) {
    let schedule = Schedule { faults, ..Schedule::default() };
    assert_eq!(schedule.validate(), Ok(()));
    let plan = schedule.plan(1);
    let truth = Truth::of(&plan);
    (plan, truth)
}

fn member_index(plan: &Plan, name: &str) -> usize {
    plan.members.iter().position(|m| m.name == name).expect("a member")
}

fn spans(spans: &Spans) -> Vec<(f64, f64)> {
    spans.iter().map(|(a, b)| (a as f64 / 1e6, b as f64 / 1e6)).collect()
}

#[test]
fn a_node_is_silent_while_it_hangs_or_its_link_is_cut_in_either_direction() {
    let hang = Fault { who: "s0".parse().ok(), ..Fault::new(Kind::Hang, 1.0, 2.0) };
    let (from, to) = ("s0".parse().ok(), "f1".parse().ok());
    let cut = Fault { from, to, ..Fault::new(Kind::Cut, 2.0, 4.0) };
    let (plan, truth) = truth(vec![hang, cut]);
    let (s0, f0, f1) = (member_index(&plan, "s0"), member_index(&plan, "f0"), member_index(&plan, "f1"));
    assert_eq!(spans(&truth.silent(s0, f0)), [(1.0, 3.0)]);
    assert_eq!(spans(&truth.silent(s0, f1)), [(1.0, 6.0)]);
    assert_eq!(spans(&truth.silent_to_all(s0)), [(1.0, 3.0)]);
    assert_eq!(spans(&truth.maybe_silent_to_any(s0)), [(1.0, 6.0)]);
    assert!(truth.silent_to_all(member_index(&plan, "s1")).is_empty());
}

#[test]
fn a_forwarder_is_without_planner_while_none_runs_or_reaches_it() {
    let kill = Fault { who: "p0".parse().ok(), ..Fault::new(Kind::Kill, 1.0, 0.0) };
    let pause = Fault { who: "p1".parse().ok(), ..Fault::new(Kind::Pause, 2.0, 3.0) };
    let (from, to) = ("f0".parse().ok(), "p2".parse().ok());
    let cut = Fault { from, to, ..Fault::new(Kind::Cut, 0.0, 4.0) };
    let (plan, truth) = truth(vec![kill, pause, cut]);
    assert_eq!(spans(&truth.without_planner(member_index(&plan, "f0"))), [(2.0, 4.0)]);
    assert!(truth.without_planner(member_index(&plan, "f1")).is_empty());
    assert!(truth.away(member_index(&plan, "p0")).covers(1_000_000, Micros::MAX - 1));
}
