use super::*;
use rstest::rstest;

fn with(faults: &str) -> Schedule {
    let text = format!("[fleet]\nforwarders = 4\nplanners = 3\nnodes = 4\n{faults}");
    let schedule: Schedule = toml::from_str(&text).expect("TOML");
    assert_eq!(schedule.validate(), Ok(()));
    schedule
}

fn plan_text(faults: &str) -> String {
    with(faults).plan(1).to_string()
}

#[test]
fn links_between_halls_are_cut_and_restored() {
    let text = plan_text("[[faults]]\nkind = \"cut\"\nat_s = 1\nfor_s = 2\nbetween = \"halls\"\n");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(
        lines[0].starts_with("   1.000 s  cut: ") && lines[1].starts_with("   3.000 s  whole: "),
        "{text}"
    );
    // p0 and f1 are in different halls, p0 and f0 in the same one. Links to nodes are cut too; planners have
    // none.
    let plan = with("[[faults]]\nkind = \"cut\"\nat_s = 1\nfor_s = 2\nbetween = \"halls\"\n").plan(1);
    let cut = |a: &str, b: &str| {
        plan.steps.iter().any(|s| {
            matches!(&s.action, Action::Link { from, to, condition } if condition.cut
                    && plan.name(*from) == a && plan.name(*to) == b)
        })
    };
    assert!(cut("p0", "f1") && cut("f1", "p0") && cut("f1", "s0") && cut("s2", "f3"));
    assert!(!cut("p0", "f0") && !cut("f0", "s0") && !cut("p0", "s1") && !cut("p0", "p1"));
}

#[rstest]
#[case("from = \"f1\"\nto = \"role:planner\"", 3)]
#[case("from = \"f1\"\nto = \"role:planner\"\nboth = true", 6)]
#[case("from = \"all\"\nto = \"f0\"", 7)]
#[case("between = \"alone:f1\"", 14)]
#[case("between = \"ring\"", 8)]
#[case("between = \"bridge:p0\"", 24)]
#[case("between = \"pairs:0.25\"", 14)]
fn a_selection_cuts_the_expected_number_of_directions(#[case] which: &str, #[case] count: usize) {
    let plan = with(&format!("[[faults]]\nkind = \"cut\"\nat_s = 1\nfor_s = 2\n{which}\n")).plan(3);
    assert_eq!(plan.steps.iter().filter(|s| s.at == 1_000_000).count(), count, "{plan}");
    assert_eq!(plan.steps.iter().filter(|s| s.at == 3_000_000).count(), count);
}

#[test]
fn faults_on_the_same_link_are_combined_and_end_separately() {
    let both = "[[faults]]\nkind = \"lose\"\nrate = 0.5\nat_s = 1\nfor_s = 4\nfrom = \"f0\"\nto = \"p0\"\n\
            [[faults]]\nkind = \"lose\"\nrate = 0.5\nat_s = 2\nfor_s = 1\nfrom = \"f0\"\nto = \"p0\"\n";
    let text = plan_text(both);
    let expected = "   1.000 s  lose 50 %: f0 > p0\n   2.000 s  lose 75 %: f0 > p0\n   \
            3.000 s  lose 50 %: f0 > p0\n   5.000 s  whole: f0 > p0\n";
    assert_eq!(text, expected);
}

#[test]
fn process_faults_stop_and_start_their_targets() {
    let text = plan_text(
        "[[faults]]\nkind = \"roll\"\nat_s = 1\ndown_s = 0.5\nevery_s = 2\nwho = \"role:planner\"\n\
             [[faults]]\nkind = \"pause\"\nat_s = 0\nfor_s = 0.5\nwho = \"f1+f2\"\n\
             [[faults]]\nkind = \"hang\"\nat_s = 9\nfor_s = 1\nwho = \"s0\"\n",
    );
    let expected = "   0.000 s  stop: f1 f2\n   0.500 s  resume: f1 f2\n   1.000 s  terminate: p0\n   \
            1.500 s  start: p0\n   3.000 s  terminate: p1\n   3.500 s  start: p1\n   5.000 s  terminate: p2\n   \
            5.500 s  start: p2\n   9.000 s  hang: s0\n  10.000 s  serve: s0\n";
    assert_eq!(text, expected);
}

#[test]
fn targets_depend_only_on_the_seed_and_the_selector() {
    let one = "[[faults]]\nkind = \"hang\"\nat_s = 3\nfor_s = 1\nwho = \"role:node+share:0.5\"\n";
    let two = format!("[[faults]]\nkind = \"hang\"\nat_s = 1\nfor_s = 1\nwho = \"s0\"\n{one}");
    let affected = |s: &Schedule, seed| -> Vec<usize> {
        let steps = s.plan(seed).steps;
        let hangs = steps.iter().filter(|s| s.at == 3_000_000).filter_map(|s| match s.action {
            Action::Node { who, what: NodeAction::Hang } => Some(who),
            _ => None,
        });
        hangs.collect()
    };
    let (one, two) = (with(one), with(&two));
    assert_eq!(affected(&one, 4), affected(&two, 4));
    assert!((0..20).any(|seed| affected(&one, seed) != affected(&one, 4)));
    assert_eq!(one.plan(4), one.plan(4));
}

#[rstest]
#[case("kind = \"cut\"\nat_s = 1\nfor_s = 1\nfrom = \"f0\"", "faults[0]: cut wants from and to, or between")]
#[case("kind = \"cut\"\nat_s = 1\nbetween = \"ring\"", "faults[0].for_s: ")]
#[case("kind = \"hang\"\nat_s = 1\nfor_s = 1\nwho = \"f0\"", "faults[0]: hang strikes nothing")]
#[case("kind = \"kill\"\nat_s = 1\nwho = \"f9\"", "faults[0].who: there is no f9")]
#[case("kind = \"kill\"\nat_s = 1\nwho = \"hall:nowhere\"", "faults[0].who: one of the halls hofdi, ")]
#[case("kind = \"kill\"\nat_s = 1\nfor_s = 1\nwho = \"f0\"", "faults[0].for_s: kill happens once")]
#[case("kind = \"lose\"\nat_s = 1\nfor_s = 1\nbetween = \"ring\"", "faults[0]: lose wants rate")]
#[case(
    "kind = \"cut\"\nat_s = 1\nfor_s = 1\nbetween = \"ring\"\nrate = 0.5",
    "faults[0].rate: cut has no rate"
)]
fn validation_reports_errors_that_types_cannot_express(#[case] fault: &str, #[case] expected: &str) {
    let schedule: Schedule = toml::from_str(&format!("[[faults]]\n{fault}\n")).expect("TOML");
    let problem = schedule.validate().expect_err("a problem").to_string();
    assert!(problem.starts_with(expected), "{problem}");
}
