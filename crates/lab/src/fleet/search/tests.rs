use super::*;
use world::fleet::fault::Kind;

fn fault(kind: Kind, at_s: f64, for_s: f64, who: &str) -> Fault {
    let down_s = kind.reads().down_s.then_some(2.0);
    Fault { who: who.parse().ok(), down_s, ..Fault::new(kind, at_s, for_s) }
}

/// Fails if planners restart while a node hangs.
fn fails(s: &Schedule) -> bool {
    let of = |kind| s.faults.iter().find(|f| f.kind == kind);
    let (Some(hang), Some(restart)) = (of(Kind::Hang), of(Kind::Restart)) else { return false };
    (hang.at_s..hang.at_s + hang.for_s).contains(&restart.at_s)
}

#[test]
fn a_schedule_is_shrunk_to_the_two_faults_needed() {
    let cut = Fault { between: "ring".parse().ok(), ..Fault::new(Kind::Cut, 1.0, 2.0) };
    let schedule = Schedule {
        faults: vec![
            cut,
            fault(Kind::Hang, 2.0, 6.0, "s0"),
            fault(Kind::Restart, 4.0, 0.0, "role:planner"),
            fault(Kind::Pause, 5.0, 1.0, "f0"),
        ],
        ..Schedule::default()
    };
    assert!(fails(&schedule) && schedule.may_run());
    let mut calls = 0;
    let small = shrink(&schedule, schedule.seconds, 400, |s| {
        calls += 1;
        fails(s)
    });
    let kinds: Vec<Kind> = small.faults.iter().map(|f| f.kind).collect();
    assert_eq!(kinds, [Kind::Hang, Kind::Restart]);
    assert!(small.fleet.forwarders == 1 && small.seconds < 1.0, "{small:?}");
    assert!(calls < 150, "{calls}");
}
