//! Worlds played to their end on loopback.

use super::proxies;
use lab::host::Silent;
use lab::loopback::play;
use world::outcome::Rule;
use world::scenario::{Fault, FaultKind};
use world::world::World;

#[test]
fn the_real_program_serves_a_calm_run_and_breaks_no_rule() {
    let world = World::builder().seconds(3.0).rate(80.0).build(3).expect("valid world");
    let played = play(world, &proxies(), &Silent).expect("run succeeds");
    let (run, all) = (&played.run, played.run.tally.all());
    assert_eq!(all.requests, all.in_time + all.late + all.refused + all.failed + all.left);
    assert!(all.requests > 150, "{all:?}");
    // A run on a machine without a spare core says nothing about the proxy.
    if !run.late.void {
        assert_eq!(run.rules_broken, []);
        assert!(run.served_worth() > 0.8, "{}: {all:?}", run.served_worth());
    }
    let work = &run.tally.work;
    assert!(work.hits > 0 && work.misses > 0 && work.probes > 0 && work.handshakes > 0, "{work:?}");
    assert!(run.tally.ledger_reads > 0 && run.tally.ledger_writes > 0);
    assert!(played.usage.iter().all(|u| u.memory_kb > 1_000 && u.cpu.as_millis() > 0));
}

#[test]
fn faults_hit_sockets_and_processes_and_the_run_ends() {
    let at = |kind, at_s, for_s| Fault::new(kind, at_s, for_s);
    let world = World::builder()
        .seconds(6.0)
        .rate(80.0)
        .proxies(2)
        .fault(Fault { nodes: Some(1), ..at(FaultKind::Hang, 0.5, 1.0) })
        .fault(Fault { nodes: Some(1), down_s: Some(0.5), ..at(FaultKind::Crash, 0.6, 0.0) })
        .fault(Fault { nodes: Some(1), down_s: Some(0.5), ..at(FaultKind::Replace, 0.7, 0.0) })
        .fault(Fault { nodes: Some(1), ..at(FaultKind::Vanish, 0.8, 0.0) })
        .fault(Fault { nodes: Some(2), ..at(FaultKind::Grow, 0.8, 0.5) })
        .fault(Fault { hall: Some("grafarholt".into()), ..at(FaultKind::HallCut, 1.0, 1.0) })
        .fault(Fault { nodes: Some(1), rate: Some(0.5), ..at(FaultKind::Spoil, 1.5, 1.0) })
        .fault(Fault { rate: Some(0.1), ..at(FaultKind::BreakConnections, 2.0, 1.0) })
        .fault(at(FaultKind::StopLedger, 2.0, 1.0))
        .fault(at(FaultKind::SilentDiscovery, 0.5, 4.0))
        .fault(Fault { proxy: Some(0), down_s: Some(0.6), ..at(FaultKind::ProxyCrash, 2.5, 0.0) })
        .fault(Fault { proxy: Some(1), down_s: Some(1.5), ..at(FaultKind::ProxyRestart, 3.5, 0.0) })
        .build(5)
        .expect("valid world");
    let played = play(world, &proxies(), &Silent).expect("run succeeds");
    let (run, all) = (&played.run, played.run.tally.all());
    assert_eq!(run.faults.len(), 12);
    assert_eq!(all.requests, all.in_time + all.late + all.refused + all.failed + all.left);
    assert_eq!(run.nodes.len(), 9 + 2 + 1, "two nodes were added and one was replaced");
    assert!(all.in_time > 0 && all.failed + all.refused + all.left > 0, "{all:?}");
    assert_eq!(run.tally.ledger_stops, 1);
    let broken = run.rules_broken.iter().filter(|b| b.rule != Rule::OneAnswer).collect::<Vec<_>>();
    assert!(run.late.void || broken.is_empty(), "{broken:?}");
}
