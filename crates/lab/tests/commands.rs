//! The program as users meet it: its words, files and exit statuses. Everything is played in virtual time.

use rstest::rstest;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// A scenario small enough to be played dozens of times by a debug build.
const SMALL: &str = "\
seconds = 4
[proxies]
count = 2
[[nodes]]
count = 4
[clients]
rate_per_s = 60
[[faults]]
kind = \"hang\"
at_s = 1
for_s = 1.5
nodes = 1
";

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lab")).args(args).output().expect("the program starts")
}

fn out(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn err(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// A folder that is gone with the test, and a scenario in it.
struct Room(tempfile::TempDir);

impl Room {
    fn with(scenario: &str) -> Self {
        let room = Room(tempfile::tempdir().expect("a temporary folder"));
        std::fs::write(room.path("s.toml"), scenario).expect("a file");
        room
    }

    fn path(&self, name: &str) -> PathBuf {
        self.0.path().join(name)
    }

    fn scenario(&self) -> String {
        self.text("s.toml")
    }

    fn text(&self, name: &str) -> String {
        self.path(name).to_string_lossy().into_owned()
    }

    fn json(&self, name: &str) -> Value {
        serde_json::from_slice(&self.bytes(name)).expect("JSON")
    }

    fn bytes(&self, name: &str) -> Vec<u8> {
        std::fs::read(self.path(name)).expect("a written file")
    }
}

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

#[rstest]
#[case("seconds = 5\n[clients]\nrate_per_s = \"fast\"\n", 3, "clients.rate_per_s: invalid type")]
#[case("seconds = 5\nspeed = 3\n", 2, "speed: unknown field `speed`, expected one of")]
#[case("\n\n[[faults]]\nkind = \"hang\"\nfor_s = 1\n", 3, "faults.0: missing field `at_s`")]
#[case("[[faults]]\nkind = \"earthquake\"\nat_s = 1\n", 2, "faults.0.kind: unknown variant `earthquake`")]
#[case("[[nodes]]\ncount = 2\n\n[[nodes]]\ncount = 1\nhall = \"nowhere\"\n", 6, "nodes[1].hall: ")]
#[case(
    "seconds = 5\n[[faults]]\nkind = \"slow_ledger\"\nat_s = 1\nfor_s = 1\n",
    2,
    "faults[0]: slow_ledger requires times"
)]
#[case("seconds = 1\nname = \n", 2, "")]
fn check_says_in_one_line_where_and_what_is_wrong(
    #[case] text: &str,
    #[case] line: usize,
    #[case] what: &str,
) {
    let room = Room::with(text);
    let output = lab(&["check", &room.scenario()]);
    let message = err(&output);
    assert_eq!(output.status.code(), Some(2));
    assert!(message.starts_with(&format!("{}:{line}: {what}", room.scenario())), "{message}");
    assert_eq!(message.lines().count(), 1, "{message}");
}

#[test]
fn check_reads_every_file_and_all_scenarios_of_the_project_are_right() {
    let files = |folder: &str| -> Vec<String> {
        let entries = std::fs::read_dir(root().join(folder)).expect("the scenarios");
        let files = entries.map(|entry| entry.expect("an entry").path()).filter(|path| path.is_file());
        files.map(|path| path.to_string_lossy().into_owned()).collect()
    };
    let schedules = files("scenarios/fleet");
    assert!(schedules.len() >= 9, "{schedules:?}");
    let mut args = vec!["fleet", "check"];
    args.extend(schedules.iter().map(String::as_str));
    let output = lab(&args);
    assert_eq!((output.status.code(), err(&output)), (Some(0), String::new()));

    let files = files("scenarios");
    assert!(files.len() >= 9, "{files:?}");
    let mut args = vec!["check"];
    args.extend(files.iter().map(String::as_str));
    let output = lab(&args);
    assert_eq!((output.status.code(), err(&output)), (Some(0), String::new()));

    let room = Room::with("seconds = -1\n");
    let scenario = room.scenario();
    args.push(&scenario);
    args.push("/nowhere/at/all.toml");
    let output = lab(&args);
    assert_eq!((output.status.code(), err(&output).lines().count()), (Some(2), 2));
}

#[test]
fn a_run_writes_the_same_result_twice_and_another_for_another_seed() {
    let room = Room::with(SMALL);
    for (folder, seed) in [("a", "7"), ("b", "7"), ("c", "8")] {
        let output = lab(&["run", &room.scenario(), "--seed", seed, "--out", &room.text(folder)]);
        assert!(output.status.code().is_some_and(|code| code < 2), "{}", err(&output));
        assert!(
            out(&output).contains("served worth ") && out(&output).contains(&format!("seed {seed}")),
            "{}",
            out(&output)
        );
    }
    assert_eq!(room.bytes("a/result.json"), room.bytes("b/result.json"));
    assert_ne!(room.bytes("a/result.json"), room.bytes("c/result.json"));
    let page = String::from_utf8(room.bytes("a/report.html")).expect("text");
    assert_eq!(page.matches("<svg ").count(), 5);
    let linked = page.contains("src=") || page.contains("<link") || page.contains("href=");
    assert!(!linked, "one file, nothing to load");
}

#[test]
fn every_key_of_the_result_and_every_field_of_a_scenario_is_documented() {
    let room = Room::with(SMALL);
    lab(&["run", &room.scenario(), "--out", &room.text("a")]);
    let page = std::fs::read_to_string(root().join("docs/lab.md")).expect("the page");
    let documented = |name: &str| page.contains(&format!("`{name}`"));
    let result = room.json("a/result.json");
    let keys = result.as_object().expect("an object").keys().cloned();
    fn fields(v: &Value, found: &mut Vec<String>) {
        match v {
            Value::Object(fields_of) => {
                for (name, inner) in fields_of {
                    found.push(name.clone());
                    fields(inner, found);
                }
            }
            Value::Array(elements) => elements.iter().for_each(|e| fields(e, found)),
            _ => {}
        }
    }
    let mut names: Vec<String> = keys.collect();
    let scenario = serde_json::to_value(world::scenario::Scenario::default()).expect("JSON");
    fields(&scenario, &mut names);
    names.extend(world::scenario::FaultKind::ALL.map(|kind| kind.name().to_owned()));
    let missing: Vec<&String> = names.iter().filter(|name| !documented(name)).collect();
    assert!(missing.is_empty(), "not in docs/lab.md: {missing:?}");
}

#[test]
fn a_sweep_is_the_same_on_any_number_of_threads() {
    let room = Room::with(SMALL);
    for (folder, threads) in [("one", "1"), ("five", "5")] {
        let output = lab(&[
            "sweep",
            &room.scenario(),
            "--over",
            "clients.rate_per_s=40,80",
            "--over",
            "faults.hang.for_s=0.5,1",
            "--seeds",
            "2",
            "--threads",
            threads,
            "--out",
            &room.text(folder),
        ]);
        assert!(output.status.code().is_some_and(|code| code < 2), "{}", err(&output));
        assert_eq!(out(&output).lines().filter(|l| l.starts_with("40 ") || l.starts_with("80 ")).count(), 4);
    }
    assert_eq!(room.bytes("one/result.json"), room.bytes("five/result.json"));
    let points = &room.json("one/result.json")["points"];
    assert_eq!(points[3]["set"], serde_json::json!(["clients.rate_per_s=80", "faults.hang.for_s=1"]));
    assert_eq!(points[3]["runs"].as_array().map(Vec::len), Some(2));
    let requests = |i: usize| points[i]["runs"][0]["requests"].as_f64().expect("a number");
    assert!(requests(2) > 1.5 * requests(0), "the setting takes effect");
}

#[rstest]
#[case("clients.rat_per_s=3", "clients.rat_per_s=3: unknown field `rat_per_s`, expected one of")]
#[case("nodes.0.cores=0", "nodes.0.cores=0: nodes[0].cores: ")]
#[case("faults.payday.for_s=3", "faults.payday.for_s=3: no element 'payday' in faults, which has 1")]
fn a_setting_that_cannot_be_made_is_one_line(#[case] setting: &str, #[case] what: &str) {
    let room = Room::with(SMALL);
    for command in [&["run"][..], &["sweep", "--over", "seconds=1,2"], &["compare", "--a", "seconds=1"]] {
        let output = lab(&[command, &[&room.scenario(), "--set", setting]].concat());
        let message = err(&output);
        assert_eq!(output.status.code(), Some(2), "{command:?}");
        assert!(message.starts_with(what) && message.lines().count() == 1, "{command:?}: {message}");
    }
}

#[test]
fn compare_tells_a_clear_difference_and_none_between_the_same() {
    let room = Room::with(SMALL);
    let verdict = |args: &[&str]| {
        let output = lab(&[&["compare", &room.scenario(), "--seeds", "6"], args].concat());
        assert!(output.status.code().is_some_and(|code| code < 2), "{}", err(&output));
        out(&output).lines().last().expect("a verdict").to_owned()
    };
    let hang = verdict(&["--a", "faults.hang.for_s=0.1", "--b", "faults.hang.nodes=4"]);
    assert!(hang.starts_with("served_worth: a is better by 0."), "{hang}");
    assert_eq!(verdict(&["--a", "seconds=4", "--b", "seconds=4"]), "served_worth: no difference seen");
}

#[test]
fn what_a_run_is_expected_to_keep_decides_its_exit_status() {
    let room = Room::with(SMALL);
    let status = |set: &str| lab(&["run", &room.scenario(), "--set", set]);
    let bad = status("expect.refused=0.0");
    let good = status("expect.served_worth=0.01");
    assert_eq!(good.status.code(), Some(0), "{}", out(&good));
    let unmet = status("expect.served_worth=1.0");
    assert_eq!(unmet.status.code(), Some(1), "{}", out(&unmet));
    assert!(out(&unmet).contains("UNMET: served_worth is 0."), "{}", out(&unmet));
    assert!(bad.status.code().is_some_and(|code| code < 2), "{}", err(&bad));
}

#[rstest]
#[case("", "not a token")]
#[case("lab1", "a damaged token: it is too short")]
#[case("lab1abcdefgh234567", "a damaged token: ")]
#[case("lab9abcdefgh234567", "a token of another version")]
fn a_bad_token_is_a_clear_error(#[case] token: &str, #[case] what: &str) {
    let output = lab(&["replay", token]);
    assert_eq!(output.status.code(), Some(2));
    assert!(err(&output).starts_with(what) && err(&output).lines().count() == 1, "{}", err(&output));
}

/// Quiet but for what the search draws: no errors by chance, short runs.
const QUIET: &str = "\
seconds = 5
[proxies]
count = 2
[[nodes]]
count = 4
error_rate = [0, 0]
[clients]
rate_per_s = 40
";

#[test]
fn search_finds_what_takes_two_faults_at_once_and_shrinks_it_to_these_two() {
    let room = Room::with(QUIET);
    let args = ["search", &room.scenario(), "--plant", "two_at_once", "--runs", "12", "--faults", "4"];
    let kinds = ["--kinds", "drain,errors,payday,forget,slow_ledger,break_connections"];
    let mut found = Vec::new();
    for (folder, threads) in [("one", "1"), ("five", "5")] {
        let more = ["--threads", threads, "--shrink", "2", "--out", &room.text(folder)];
        let output = lab(&[&args[..], &kinds, &more].concat());
        assert_eq!(output.status.code(), Some(1), "{}{}", out(&output), err(&output));
        found.push(room.json(&format!("{folder}/result.json"))["failures"].clone());
    }
    assert_eq!(found[0], found[1], "whatever the number of threads");
    let failures = found[0].as_array().expect("a list");
    assert!(!failures.is_empty());
    for failure in failures.iter().take(2) {
        let mut faults: Vec<&str> =
            failure["faults"].as_array().expect("a list").iter().filter_map(Value::as_str).collect();
        faults.sort_unstable();
        assert_eq!(faults, ["drain", "errors"], "{failure}");
        assert!(failure["seconds"].as_f64().expect("a number") < 5.0, "{failure}");

        let token = failure["token"].as_str().expect("a token");
        let replayed = lab(&["replay", token]);
        assert_eq!(replayed.status.code(), Some(1), "{}", err(&replayed));
        assert!(out(&replayed).contains(&format!("BROKEN {}", failure["what"].as_str().expect("a text"))));
        let shown = lab(&["replay", token, "--show"]);
        std::fs::write(room.path("shown.toml"), shown.stdout).expect("a file");
        assert_eq!(lab(&["check", &room.text("shown.toml")]).status.code(), Some(0));
        let sound = lab(&["run", &room.text("shown.toml")]);
        assert_eq!(sound.status.code(), Some(0), "without the planted fault: {}", out(&sound));
    }
}

#[test]
fn search_finds_nothing_in_the_proxy_as_it_is_and_no_fault_needed_for_a_lost_answer() {
    let room = Room::with(QUIET);
    let kinds = ["--kinds", "hang,forget,slow_node"];
    let sound = lab(&[&["search", &room.scenario(), "--runs", "10"], &kinds[..]].concat());
    assert_eq!(sound.status.code(), Some(0), "{}", out(&sound));
    let planted =
        lab(&[&["search", &room.scenario(), "--runs", "3", "--plant", "lost_answer"], &kinds[..]].concat());
    assert_eq!(planted.status.code(), Some(1), "{}", err(&planted));
    assert!(out(&planted).contains("shrunk to no fault in "), "{}", out(&planted));
}

/// Forty proxies on the three days on which fleets break, a hundred where traffic is thin or the ledger slow besides:
/// the rules and what the scenario expects are kept.
#[rstest]
#[case("fleet_zone")]
#[case("fleet_join")]
#[case("fleet_herd")]
#[case("fleet_join_thin")]
#[case("fleet_zone_slow")]
#[case("fleet_join_slow")]
fn a_fleet_keeps_the_rules(#[case] name: &str) {
    let file = root().join("scenarios").join(format!("{name}.toml"));
    let output = lab(&["run", &file.to_string_lossy()]);
    assert_eq!(output.status.code(), Some(0), "{}{}", out(&output), err(&output));
}
