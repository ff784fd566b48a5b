use super::*;
use rstest::rstest;

#[rstest]
#[case("name = \"x\"\nseconds = \"long\"\n", 2, "seconds: invalid type: string \"long\", expected f64")]
#[case("\n\n[clients]\nrat_per_s = 3\n", 4, "clients.rat_per_s: unknown field `rat_per_s`, expected one of")]
#[case("seconds = 5\n[[faults]]\nkind = \"hang\"\n", 2, "faults.0: missing field `at_s`")]
#[case(
    "[[faults]]\nat_s = 1\nkind = \"hagn\"\n",
    3,
    "faults.0.kind: unknown variant `hagn`, expected one of"
)]
#[case("\nseconds = = 5\n", 2, "")]
#[case("seconds = 5\n\n[[nodes]]\ncount = 3\ncores = 0\n", 5, "nodes[0].cores: ")]
#[case("[[faults]]\nat_s = 1\nfor_s = 2\nkind = \"hang\"\n", 1, "faults[0]: hang requires exactly one of")]
fn an_error_gives_its_line_and_what_was_expected(
    #[case] text: &str,
    #[case] line: usize,
    #[case] expected: &str,
) {
    let (at, message) = parse::<Scenario>(text, "x").unwrap_err();
    assert_eq!(at, line, "{message}");
    assert!(message.starts_with(expected) && !message.contains('\n'), "{message}");
}

#[test]
fn a_scenario_without_a_name_gets_the_file_name() {
    assert_eq!(parse::<Scenario>("seconds = 5", "calm").unwrap().name, "calm");
    assert_eq!(parse::<Scenario>("name = \"quiet\"", "calm").unwrap().name, "quiet");
}

#[test]
fn an_error_names_the_change_that_fails_validation() {
    let scenario = Scenario::default();
    let settings: Vec<Setting> =
        ["nodes.0.cores=0", "seconds=5"].iter().map(|s| s.parse().unwrap()).collect();
    let error = change(&scenario, &settings).unwrap_err().to_string();
    assert!(error.starts_with("nodes.0.cores=0: nodes[0].cores: "), "{error}");
}
