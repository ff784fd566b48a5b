use super::*;
use world::scenario::FaultKind::{self, *};

fn with_faults(kinds: &[(FaultKind, f64)]) -> Scenario {
    let fault = |&(kind, at): &(FaultKind, f64)| {
        let mut fault = Fault::new(kind, at, 8.0);
        match kind {
            Hang => fault.nodes = Some(3),
            SlowLedger | Payday => fault.times = Some(3.0),
            HallCut => fault.hall = Some("hofdi".into()),
            _ => {}
        }
        fault
    };
    Scenario { faults: kinds.iter().map(fault).collect(), ..Scenario::default() }
}

/// Fails if a hang and a cut overlap for at least 0.4 s before the end of the run.
fn hang_and_cut_overlap(s: &Scenario) -> bool {
    let span = |kind| s.faults.iter().find(|f| f.kind == kind).map(|f| (f.at_s, f.at_s + f.for_s));
    let (Some(a), Some(b)) = (span(Hang), span(HallCut)) else { return false };
    a.1.min(b.1).min(s.seconds) - a.0.max(b.0) >= 0.4
}

#[test]
fn only_the_two_necessary_faults_remain_and_are_as_short_as_possible() {
    let start =
        with_faults(&[(Payday, 2.0), (Hang, 10.0), (SlowLedger, 12.0), (HallCut, 14.0), (StopLedger, 40.0)]);
    let mut calls = 0;
    let small = shrink(&start, 18.0, 2_000, |s| {
        calls += 1;
        hang_and_cut_overlap(s)
    });
    let mut kinds: Vec<FaultKind> = small.faults.iter().map(|f| f.kind).collect();
    kinds.sort();
    assert_eq!(kinds, [Hang, HallCut]);
    assert!(small.seconds <= 0.6, "{}", small.seconds);
    assert_eq!((small.clients.rate_per_s, small.proxies.count), (1.0, 1));
    assert!(hang_and_cut_overlap(&small) && calls <= 300, "{calls} calls");
}

#[test]
fn no_more_calls_are_made_than_allowed_and_the_result_still_fails() {
    let start = with_faults(&[(Payday, 2.0), (Hang, 10.0), (HallCut, 14.0)]);
    for allowed in 0..12 {
        let mut calls = 0;
        let small = shrink(&start, 18.0, allowed, |s| {
            calls += 1;
            hang_and_cut_overlap(s)
        });
        assert!(calls <= allowed && hang_and_cut_overlap(&small));
    }
}

#[test]
fn all_faults_are_dropped_if_the_failure_needs_none() {
    let start = with_faults(&[(Payday, 2.0), (Hang, 10.0)]);
    assert!(shrink(&start, 60.0, 500, |_| true).faults.is_empty());
}
