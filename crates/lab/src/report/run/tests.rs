use super::*;
use world::outcome::{Breach, ClassTally, FaultMark, Rule, Tally};

fn run() -> Run {
    let counts = Counts {
        requests: 2_000,
        in_time: 1_900,
        refused: 100,
        worth_asked: 2_000.0,
        worth_served: 1_900.0,
        ..Counts::default()
    };
    let mut lookup = ClassTally { name: "lookup".into(), counts, ..ClassTally::default() };
    (1..=1_000).for_each(|i| lookup.latency_us.add(i * 1_000));
    let second = Second {
        worth_asked: 10.0,
        worth_served: 9.0,
        p50_us: vec![Some(5_000)],
        p99_us: vec![None],
        node_load: vec![0.2, 0.9],
        ..Second::default()
    };
    Run {
        scenario: "hang".into(),
        seed: 3,
        tally: Tally { classes: vec![lookup], ..Tally::default() },
        timeline: vec![second; 4],
        nodes: vec!["s-1".into(), "s-2".into()],
        faults: vec![FaultMark { kind: "hang".into(), from_s: 1.0, until_s: 2.0, what: "s-2".into() }],
        rules_broken: vec![Breach { rule: Rule::Drain, at_us: 1_500_000, what: "a send".into() }],
        breaches: 5,
        virtual_s: 4.0,
        ..Run::default()
    }
}

#[test]
fn the_file_has_the_documented_keys_and_no_measured_time_in_the_virtual_world() {
    let value: serde_json::Value =
        serde_json::from_str(&ResultFile::new(&run(), World::Virtual, &[], 12.5).json()).unwrap();
    for key in [
        "served_worth",
        "requests",
        "rules_broken",
        "latency_ms",
        "refused",
        "failed",
        "left",
        "retries",
        "ledger_reads",
        "virtual_s",
        "wall_s",
        "late",
    ] {
        assert!(value.get(key).is_some(), "{key}");
    }
    assert_eq!(value["served_worth"], 0.95);
    assert_eq!(value["wall_s"], 0.0);
    assert_eq!(value["rules_broken"][0]["rule"], "drain");
    let p99 = value["latency_ms"]["lookup"]["p99"].as_f64().unwrap();
    assert!((985.0..=995.0).contains(&p99), "{p99}");
    assert_eq!(ResultFile::new(&run(), World::Loopback, &[], 12.5).wall_s, 12.5);
}

#[test]
fn the_page_holds_every_plot_and_the_broken_rules() {
    let (scenario, run) = (Scenario::default(), run());
    let result = ResultFile::new(&run, World::Virtual, &[], 0.0);
    let shown = Shown { scenario: &scenario, run: &run, result: &result, took: Duration::from_millis(20) };
    let page = shown.page().unwrap();
    assert_eq!(page.matches("<svg ").count(), 5);
    assert!(page.contains("BROKEN drain at 1.500 s: a send") && page.contains("and 4 more breaches"));
    assert!(!page.contains("http://") || page.matches("http://").count() == 5, "only namespaces of SVG");
    assert!(!shown.verdict().1);
}

#[test]
fn a_bound_that_is_not_kept_is_named_and_one_that_is_kept_is_not() {
    let expect =
        Expect { served_worth: Some(0.96), refused: Some(0.04), failed: Some(0.0), ..Expect::default() };
    let unmet = unmet(&expect, &run());
    assert_eq!(unmet.len(), 2, "{unmet:?}");
    assert!(unmet[0].starts_with("served_worth is 0.9500") && unmet[1].starts_with("refused is 0.05"));
}

#[test]
fn numbers_are_grouped_by_three() {
    assert_eq!([0, 999, 1_000, 1_234_567].map(grouped), ["0", "999", "1,000", "1,234,567"]);
}
