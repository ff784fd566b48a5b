//! Crowds at the proxies' door, in virtual time: who is let in and who makes room decides what usual clients get.

use lab::virtual_host::{run, Real};
use rstest::rstest;
use world::outcome::Run;
use world::scenario::{Crowd, CrowdBehavior, EvictionPolicy, Scenario};

/// Six seconds beside a crowd of so many connections a second, from clients that may have 85 open to a proxy.
fn beside(judge: EvictionPolicy, manner: CrowdBehavior, connections_per_s: f64, sources: u32) -> Run {
    let crowd = Crowd { judge, manner, connections_per_s, sources, connections: 85, ..Crowd::default() };
    let mut scenario = Scenario { seconds: 6.0, crowd: Some(crowd), ..Scenario::default() };
    scenario.proxies.sockets = 256;
    run(&scenario, 3, &Real, &mut |_| {}).expect("it runs")
}

#[rstest]
#[case::many_networks(CrowdBehavior::Mixed, 1000)]
#[case::the_clients_own_address(CrowdBehavior::Mixed, 0)]
#[case::rude(CrowdBehavior::Rude, 200)]
fn the_door_serves_usual_clients_where_the_old_judgement_loses_them(
    #[case] manner: CrowdBehavior,
    #[case] sources: u32,
) {
    let [off, quiet, door] = [EvictionPolicy::Off, EvictionPolicy::Quiet, EvictionPolicy::Door]
        .map(|judge| beside(judge, manner, 3000.0, sources));
    let [off, quiet, door] = [off, quiet, door].map(|run| run.served_worth());
    assert!(off.max(quiet) + 0.25 < door, "{off} {quiet} {door}");
    assert!(door > 0.7, "{door}");
}

#[test]
fn without_a_crowd_all_judges_serve_alike_and_close_no_usual_connection() {
    let [off, quiet, door] = [EvictionPolicy::Off, EvictionPolicy::Quiet, EvictionPolicy::Door]
        .map(|judge| beside(judge, CrowdBehavior::Mixed, 0.0, 0));
    assert_eq!(off.tally, door.tally);
    assert_eq!(quiet.tally, door.tally);
    let met = door.doorway.expect("counts of the door");
    assert!(met.usual > 0, "clients have connected");
    assert_eq!((met.crowd, met.usual_closed, met.turned_away), (0, 0, 0));
}

#[test]
fn one_crowd_and_one_seed_give_one_result() {
    let [a, b] = [0, 1].map(|_| beside(EvictionPolicy::Door, CrowdBehavior::Rude, 1000.0, 50));
    assert!(a.doorway.is_some_and(|met| met.crowd > 3000), "most of the crowd was accepted");
    assert_eq!(a, b);
}

#[test]
fn a_rule_is_broken_by_no_crowd() {
    for manner in [
        CrowdBehavior::Silent,
        CrowdBehavior::Ping,
        CrowdBehavior::Mixed,
        CrowdBehavior::SlowReader,
        CrowdBehavior::Rude,
    ] {
        let run = beside(EvictionPolicy::Door, manner, 2000.0, 100);
        assert!(run.rules_broken.is_empty(), "{manner:?}: {:?}", run.rules_broken);
    }
}

#[test]
fn a_crowd_that_cannot_be_is_named_by_its_path() {
    let crowd = Crowd { backlog: 0, ..Crowd::default() };
    let problem = Scenario { crowd: Some(crowd), ..Scenario::default() }.validate().expect_err("no backlog");
    assert_eq!(problem.path, "crowd.backlog");
}
