//! Tests of the origin model on its own.

use world::dedup::DedupTable;
use world::node::{Answer, DialOutcome, Event, EventKind, NodeRequest};
use world::origin::Origin;
use world::random::stream;
use world::scenario;
use world::Micros;

const MS: Micros = 1_000;

/// 100 reads per second, in ten slots of 100 ms each.
fn origin(change: impl FnOnce(&mut scenario::Origin)) -> Origin {
    let mut settings =
        scenario::Origin { service_sigma: 0.0, crowd_loss: 0.0, ..scenario::Origin::default() };
    change(&mut settings);
    let mut origin = Origin::new(&settings, 100.0, stream(1, "ledger", 0));
    assert_eq!(origin.connect(1), DialOutcome::Accepted);
    origin
}

/// Sends a read every `every` ms from one moment to another. For each overload event, returns whether the
/// origin stopped.
fn send_reads(l: &mut Origin, from: Micros, until: Micros, every: usize) -> Vec<bool> {
    let mut out = Vec::new();
    for at in (from..until).step_by(every) {
        l.connect(1);
        l.arrive(at * MS, NodeRequest::nothing(at as u64, 1), &mut DedupTable::default(), &mut out);
    }
    let overload_stops = |e: &Event| match e.kind {
        EventKind::Overloaded { stopped, .. } => Some(stopped),
        _ => None,
    };
    out.iter().filter_map(overload_stops).collect()
}

#[test]
fn it_serves_its_capacity_and_rejects_the_excess() {
    let mut l = origin(|l| l.fall_multiple = 0.0);
    send_reads(&mut l, 0, 10_000, 5);
    let counted = l.counted();
    // One second's worth is queued; of 200 per second 100 are served.
    assert!((980..=1_010).contains(&counted.served), "{counted:?}");
    assert!((850..=920).contains(&counted.refused), "{counted:?}");
}

#[test]
fn a_slowdown_lasts_until_it_is_reset() {
    let (mut l, r) = (origin(|_| {}), &mut DedupTable::default());
    let mut out = Vec::new();
    l.set_slowdown(0, 4.0, r, &mut out);
    l.arrive(0, NodeRequest::nothing(1, 1), r, &mut out);
    l.advance(200 * MS, r, &mut out);
    l.set_slowdown(200 * MS, 1.0, r, &mut out);
    l.advance(1_000 * MS, r, &mut out);
    let at = out.iter().find(|e| matches!(e.kind, EventKind::Answered { .. })).map(|e| e.at / MS);
    assert_eq!(at, Some(250), "half done at a quarter of the speed in 200 ms, the rest at full speed");
}

#[test]
fn sustained_overload_stops_it_for_some_seconds_and_a_limited_number_of_times() {
    let mut l = origin(|l| l.down_s = [3.0, 3.0]);
    assert!(send_reads(&mut l, 0, 1_400, 2).is_empty(), "a short burst does not stop it");
    let stops = send_reads(&mut l, 1_400, 4_000, 2);
    assert_eq!(stops, [true]);
    assert!(!l.is_up() && l.connect(2) == DialOutcome::Refused);
    l.advance(8_000 * MS, &mut DedupTable::default(), &mut Vec::new());
    assert_eq!((l.is_up(), l.connect(2)), (true, DialOutcome::Accepted));
    let more = send_reads(&mut l, 8_000, 40_000, 2);
    assert_eq!(more.iter().filter(|s| **s).count(), 1, "twice in all: {more:?}");
    assert!(more.len() > 1, "but each period of overload is reported");
}

#[test]
fn a_write_runs_once_within_its_window() {
    let (mut l, r) = (origin(|_| {}), &mut DedupTable::default());
    let mut out = Vec::new();
    for (at, job) in [(0, 1), (3_000, 2), (5_000, 3)] {
        let request = NodeRequest {
            key: 7,
            write: true,
            repeat: Some((99, 4_000 * MS)),
            ..NodeRequest::nothing(job, 1)
        };
        l.arrive(at * MS, request, r, &mut out);
    }
    l.advance(6_000 * MS, r, &mut out);
    let writes: Vec<_> = out
        .iter()
        .filter_map(|e| match e.kind {
            EventKind::Began { effect, writes, .. } => Some((effect, writes)),
            _ => None,
        })
        .collect();
    assert_eq!(writes, [(true, Some(7)), (false, None), (true, Some(7))]);
    let served = out.iter().filter(|e| matches!(e.kind, EventKind::Answered { answer: Answer::Value, .. }));
    assert_eq!(served.count(), 3, "each has its receipt");
}
