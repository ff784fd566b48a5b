//! Crowds of connections in virtual time: how the eviction policies of a proxy affect the service of regular
//! clients.

use lab::virtual_host::{run, Real};
use rstest::rstest;
use world::outcome::Run;
use world::scenario::{Crowd, CrowdBehavior, EvictionPolicy, Scenario};

/// Runs six seconds with a crowd that opens `connections_per_s` connections. At most 85 connections, those of
/// regular clients included, can be open at each proxy.
fn run_with_crowd(judge: EvictionPolicy, manner: CrowdBehavior, connections_per_s: f64, sources: u32) -> Run {
    let crowd = Crowd { judge, manner, connections_per_s, sources, connections: 85, ..Crowd::default() };
    let mut scenario = Scenario { seconds: 6.0, crowd: Some(crowd), ..Scenario::default() };
    scenario.proxies.sockets = 256;
    run(&scenario, 3, &Real, &mut |_| {}).expect("it runs")
}

#[rstest]
#[case::many_networks(CrowdBehavior::Mixed, 1000)]
#[case::address_of_the_regular_clients(CrowdBehavior::Mixed, 0)]
#[case::rude(CrowdBehavior::Rude, 200)]
fn admission_serves_regular_clients_where_the_older_policies_do_not(
    #[case] manner: CrowdBehavior,
    #[case] sources: u32,
) {
    let [off, quiet, door] = [EvictionPolicy::Off, EvictionPolicy::Quiet, EvictionPolicy::Door]
        .map(|judge| run_with_crowd(judge, manner, 3000.0, sources));
    let [off, quiet, door] = [off, quiet, door].map(|run| run.served_worth());
    assert!(off.max(quiet) + 0.25 < door, "{off} {quiet} {door}");
    assert!(door > 0.7, "{door}");
}

#[test]
fn without_a_crowd_all_policies_serve_alike_and_close_no_regular_connection() {
    let [off, quiet, door] = [EvictionPolicy::Off, EvictionPolicy::Quiet, EvictionPolicy::Door]
        .map(|judge| run_with_crowd(judge, CrowdBehavior::Mixed, 0.0, 0));
    assert_eq!(off.tally, door.tally);
    assert_eq!(quiet.tally, door.tally);
    let counts = door.doorway.expect("connection counts");
    assert!(counts.usual > 0, "regular clients should connect");
    assert_eq!((counts.crowd, counts.usual_closed, counts.turned_away), (0, 0, 0));
}

#[test]
fn one_scenario_and_one_seed_give_one_result() {
    let [a, b] = [0, 1].map(|_| run_with_crowd(EvictionPolicy::Door, CrowdBehavior::Rude, 1000.0, 50));
    assert!(a.doorway.is_some_and(|counts| counts.crowd > 3000), "most of the crowd should be accepted");
    assert_eq!(a, b);
}

#[test]
fn no_crowd_breaks_a_rule() {
    for manner in [
        CrowdBehavior::Silent,
        CrowdBehavior::Ping,
        CrowdBehavior::Mixed,
        CrowdBehavior::SlowReader,
        CrowdBehavior::Rude,
    ] {
        let run = run_with_crowd(EvictionPolicy::Door, manner, 2000.0, 100);
        assert!(run.rules_broken.is_empty(), "{manner:?}: {:?}", run.rules_broken);
    }
}

#[test]
fn an_invalid_crowd_is_reported_by_its_path() {
    let crowd = Crowd { backlog: 0, ..Crowd::default() };
    let problem = Scenario { crowd: Some(crowd), ..Scenario::default() }.validate().expect_err("no backlog");
    assert_eq!(problem.path, "crowd.backlog");
}
