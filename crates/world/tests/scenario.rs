//! Tests of scenario files: what they may contain, and the error messages for invalid ones.

use world::scenario::{Fault, FaultKind, Scenario};

fn problem(change: impl FnOnce(&mut Scenario)) -> String {
    let mut scenario = Scenario::default();
    change(&mut scenario);
    scenario.validate().expect_err("an invalid scenario").to_string()
}

#[test]
fn an_empty_file_yields_the_operators_deployment() {
    let read: Scenario = toml::from_str("").expect("all fields have defaults");
    assert_eq!(read, Scenario::default());
    read.validate().expect("the defaults are valid");
    assert_eq!(read.nodes.iter().map(|g| g.count).sum::<u32>(), 9);
}

#[test]
fn scenarios_round_trip_through_toml() {
    let fault = |kind| Fault { nodes: Some(2), ..Fault::new(kind, 1.5, 2.0) };
    let scenario = Scenario { faults: FaultKind::ALL.map(fault).to_vec(), ..Scenario::default() };
    let text = toml::to_string(&scenario).expect("the scenario serializes");
    assert_eq!(toml::from_str::<Scenario>(&text).expect("the scenario parses"), scenario);
    for kind in FaultKind::ALL {
        assert!(
            text.contains(&format!("kind = \"{}\"", kind.name())),
            "{} is not written by its name",
            kind.name()
        );
    }
}

#[test]
fn unknown_fields_are_errors_at_every_level() {
    for text in ["speed = 1", "[ledger]\nspeed = 1", "[[faults]]\nkind = \"hang\"\nat_s = 1\nsped = 1"] {
        assert!(toml::from_str::<Scenario>(text).is_err(), "{text}");
    }
}

#[test]
fn a_problem_names_its_path() {
    assert!(problem(|s| s.seconds = f64::NAN).starts_with("seconds: "));
    assert!(problem(|s| s.nodes[1].cores = 0).starts_with("nodes[1].cores: "));
    assert!(
        problem(|s| s.nodes[0].pause_ms = [5.0, 1.0]).starts_with("nodes[0].pause_ms: expected [min, max]")
    );
    assert!(
        problem(|s| s.clients.classes[0].patience_ms = 1.0).starts_with("clients.classes[0].patience_ms: ")
    );
    assert!(problem(|s| s.ledger.hall = Some("kjallari".into()))
        .starts_with("ledger.hall: expected one of the halls"));
    assert!(problem(|s| s.expect.served_worth = Some(2.0)).starts_with("expect.served_worth: "));
}

#[test]
fn fault_fields_are_validated_by_kind() {
    let with = |f: Fault| problem(|s| s.faults.push(f));
    let hang = Fault::new(FaultKind::Hang, 1.0, 5.0);
    assert_eq!(with(hang.clone()), "faults[0]: hang requires exactly one of node, nodes and part");
    let hang = Fault { nodes: Some(1), ..hang };
    assert_eq!(with(Fault { times: Some(2.0), ..hang.clone() }), "faults[0].times: hang has no times");
    let both = Fault { proxy: Some(0), part: Some(0.5), ..Fault::new(FaultKind::ProxyCrash, 1.0, 0.0) };
    assert_eq!(with(both), "faults[0]: proxy_crash accepts proxy or part, not both");
    assert!(with(Fault { for_s: 0.0, ..hang.clone() }).starts_with("faults[0].for_s: "));
    assert_eq!(
        with(Fault { node: Some(9), nodes: None, ..hang }),
        "faults[0].node: there are nodes 0 to 8, not 9"
    );
    assert_eq!(with(Fault::new(FaultKind::SlowLedger, 1.0, 5.0)), "faults[0]: slow_ledger requires times");
}
