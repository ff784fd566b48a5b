//! `docs/CAPACITY.md` says what the files of `docs/capacity` say, and the check that holds it there notices one changed
//! digit on either side.

use lab::report::page::figures::{Figure, Figures, Known, Term, Worked};
use lab::report::page::shown::{extent, shown, Unit};
use lab::report::page::{check, fill, Fault};
use rstest::rstest;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn files() -> Figures {
    Figures::read(&docs().join("capacity")).expect("figures that can be read")
}

fn page() -> String {
    std::fs::read_to_string(docs().join("CAPACITY.md")).expect("the page")
}

/// Another digit in the place of one.
fn other(digit: char) -> char {
    char::from_digit((digit.to_digit(10).expect("a digit") + 1) % 10, 10).expect("a digit")
}

/// A role as `lab capacity` writes it, with one probe that is measured and one that is assumed.
fn role(value: f64) -> Value {
    json!({
        "schema": 1, "role": "planner", "about": "", "mechanism": null, "seed": 1, "users": {},
        "probes": [{
            "name": "bytes_in_per_s", "about": "", "unit": "B/s", "kind": "count", "level": "virtual", "n": "proxies", "m": "nodes",
            "points": [{"size": {"proxies": 16, "nodes": 64}, "value": 4096.0}],
            "fits": [
                {"form": "n", "intercept": 1.0, "slope": 2.0, "residual": 9.0, "relative": 0.5, "left_out": 9.0},
                {"form": "n m", "intercept": 12.0, "slope": 30.5, "residual": 90.0, "relative": 0.0123, "left_out": 95.0}
            ],
            "best": "n m", "close": ["n"], "largest": {"proxies": 458, "nodes": 4200},
            "targets": [
                {"name": "users", "size": {"proxies": 11000, "nodes": 4200}, "factors": {"proxies": 24.0, "nodes": 1.0}, "factor": 24.0,
                 "value": value, "low": 1.38e9, "high": 1.4e9},
                {"name": "share", "size": {"proxies": 458, "nodes": 4200}, "factors": {"proxies": 1.0, "nodes": 1.0}, "factor": 1.0,
                 "value": 57_512_345.0, "low": 57_000_000.0, "high": 58_000_000.0}
            ],
            "assumed": null
        }, {
            "name": "places", "about": "", "unit": "1", "kind": "arithmetic", "level": "arithmetic", "n": "proxies", "m": null,
            "points": [], "fits": [], "best": null, "close": [], "largest": {},
            "targets": [{"name": "users", "size": {"proxies": 11000}, "factors": {}, "factor": 1.0, "value": 134.146, "low": 134.146, "high": 134.146}],
            "assumed": "11,000 over 82"
        }],
    "spreads": [
            {"name": "all", "about": "", "size": {"proxies": 300}, "unit": "s", "median": 0.25, "p99": 0.5, "worst": 1.25, "of": 300},
            {"name": "some", "about": "Till some have it", "size": {"proxies": 30, "nodes": 4}, "unit": "s", "median": 0.25, "p99": 0.5, "worst": 1.5, "of": 30},
            {"name": "some", "about": "Till some have it", "size": {"proxies": 30, "nodes": 8}, "unit": "s", "median": 0.25, "p99": 0.5, "worst": 2.5, "of": 30}
        ]
    })
}

/// A run of a fleet, with no more than the page wants of it.
fn fleet_run(scenario: &str, proxies: u64, worst: f64) -> Value {
    let times = json!({"of": 1900, "median": 0.25, "p999": 1.0, "worst": worst});
    json!({
        "dissemination": {
            "scenario": scenario, "proxies": proxies, "seed": 1, "broken": {},
            "everywhere": times, "known_all": times, "known": times, "not_everywhere": 0, "not_known": 0,
            "proxy_bytes_per_s": 1612.5, "proxy_window_worst": 3800, "proxy_cpu": 0.0012, "proxy_heap": null, "were_out": 7, "out_s": 15.25
        },
        "baseline": {"proxy_bytes_per_s": 182_400.0, "without": 0, "age": times}
    })
}

/// Figures as of files of our own.
fn figures(value: f64) -> Figures {
    let known = |value, source: &str| Known { value, unit: Unit::Count, source: source.to_owned() };
    let name = |name: &str| Term::Name(name.to_owned());
    Figures {
        known: [
            ("proxies".to_owned(), known(11_000.0, "letter")),
            ("places".to_owned(), known(88.0, "a page")),
        ]
        .into(),
        worked: [
            (
                "a_machine".to_owned(),
                Worked { times: vec![name("proxies")], over: vec![Term::Number(24.0)], ..Worked::default() },
            ),
            (
                "a_proxy".to_owned(),
                Worked {
                    unit: Unit::ByteRate,
                    times: vec![name("planner.bytes_in_per_s.users")],
                    over: vec![name("proxies")],
                    ..Worked::default()
                },
            ),
            ("circle".to_owned(), Worked { plus: vec![name("round")], ..Worked::default() }),
            ("round".to_owned(), Worked { plus: vec![name("circle")], ..Worked::default() }),
            (
                "nothing".to_owned(),
                Worked { times: vec![Term::Number(1.0)], over: vec![Term::Number(0.0)], ..Worked::default() },
            ),
        ]
        .into(),
        roles: [("planner".to_owned(), role(value))].into(),
        runs: [
            ("100-zone-1".to_owned(), fleet_run("zone", 100, 3.25)),
            ("1000-zone-1".to_owned(), fleet_run("zone", 1000, 4.5)),
            ("100-calm-1".to_owned(), fleet_run("calm", 100, 1.5)),
        ]
        .into(),
    }
}

const SMALL: &str = "# Of planners

A planner hears <!--planner.bytes_in_per_s.users-->1.39 GB/s of <!--proxies-->11,000 proxies, <!--a_machine-->458† for
each machine; `page.rs`, [told](there2.md). All have it in <!--planner.spread.all.worst-->1.25 s.

<!-- table slopes planner -->
| probe | kind, level | form | slope | residual | largest run | size | factor | there | 95% interval |
| --- | --- | --- | ---: | ---: | --- | --- | ---: | ---: | --- |
| `bytes_in_per_s` | count, virtual | n m (or n) | 30.5 B/s | 1.23% | 4,200 nodes, 458 proxies | 4,200 nodes, 11,000 proxies | 24 | 1.39 GB/s | 1.38 GB/s to 1.4 GB/s |
|  |  |  |  |  |  | 4,200 nodes, 458 proxies | 1 | 57.5 MB/s | 57 MB/s to 58 MB/s |
| `places` | arithmetic, arithmetic | assumed: 11,000 over 82 |  |  |  | 11,000 proxies |  | 134† |  |
<!-- end -->
";

#[test]
fn every_number_of_the_page_is_the_files() {
    let faults = check(&page(), &files());
    let told: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(
        faults.is_empty(),
        "run `cargo run -p lab --example capacity_page`, and read what it changes:\n{}",
        told.join("\n")
    );
}

#[test]
fn filling_the_page_changes_nothing() {
    // Not `assert_eq`, which would print the page twice.
    assert!(fill(&page(), &files()) == Ok(page()), "run `cargo run -p lab --example capacity_page`");
}

/// Each digit of the page that is outside of comments, code and links' targets, changed alone, is noticed. Those of the
/// tables that are made whole are some thousands and held by one comparison: every 29th of them is changed.
#[test]
fn one_changed_digit_of_the_page_is_noticed() {
    let (page, files) = (page(), files());
    let (mut changed, mut in_table, mut tried, mut free) = (page.clone(), false, 0, 0);
    for (at, c) in page.char_indices() {
        let rest = &page[at..];
        if rest.starts_with("<!-- table ") {
            in_table = true;
        } else if rest.starts_with("<!-- end -->") {
            in_table = false;
        }
        if !c.is_ascii_digit() || (in_table && at % 29 != 0) {
            continue;
        }
        changed.replace_range(at..at + 1, &other(c).to_string());
        // Within comments, code and links' targets a digit belongs to a name.
        let (before, line) = (&page[..at], page[..at].rfind('\n').map_or(0, |n| n + 1));
        let within = |open: &str, close: &str| {
            before.rfind(open).is_some_and(|o| !before[o + open.len()..].contains(close))
        };
        let code = page[line..at].matches('`').count() % 2 == 1;
        if !in_table && (within("<!--", "-->") || within("](", ")") || code) {
            free += 1;
        } else {
            tried += 1;
            assert!(
                !check(&changed, &files).is_empty(),
                "not noticed: {:?}",
                &changed[line..at + 20.min(changed.len() - at)]
            );
        }
        changed.replace_range(at..at + 1, &c.to_string());
    }
    assert!(tried > 400, "{tried} digits changed, {free} left as names");
}

/// A value of the files that the page shows, changed in its first digit, is noticed.
#[test]
fn one_changed_digit_of_the_files_is_noticed() {
    let (page, files) = (page(), files());
    let mut tried = 0;
    for name in files.known.keys().filter(|n| page.contains(&format!("<!--{n}-->"))) {
        let mut changed = files.clone();
        let known = changed.known.get_mut(name).expect("this name");
        let text = format!("{:e}", known.value);
        let digit = text.chars().next().expect("a digit");
        let digit = if digit == '9' { '8' } else { other(digit) };
        known.value = format!("{digit}{}", &text[1..]).parse().expect("a number");
        let now = known.value;
        assert!(!check(&page, &changed).is_empty(), "{name} is {text} and {now} alike");
        tried += 1;
    }
    assert!(tried > 20, "{tried} values changed");
    for name in files.runs.keys() {
        let mut changed = files.clone();
        let value =
            &mut changed.runs.get_mut(name).expect("this run")["dissemination"]["everywhere"]["worst"];
        *value = json!(value.as_f64().expect("a number") * 1.1 + 1.0);
        assert!(!check(&page, &changed).is_empty(), "{name}");
    }
    for (name, role) in &files.roles {
        // Spreads of a role with runs are the runs' own, which have been changed above.
        let spreads = role["spreads"].as_array().filter(|_| role["runs"].is_null());
        for s in 0..spreads.map_or(0, Vec::len) {
            let mut changed = files.clone();
            let worst = &mut changed.roles.get_mut(name).expect("this role")["spreads"][s]["worst"];
            *worst = json!(worst.as_f64().expect("a number") * 1.1);
            assert!(!check(&page, &changed).is_empty(), "{name}, spread {s}");
        }
        for (p, probe) in role["probes"].as_array().expect("probes").iter().enumerate() {
            for t in 0..probe["targets"].as_array().expect("targets").len() {
                let mut changed = files.clone();
                let value =
                    &mut changed.roles.get_mut(name).expect("this role")["probes"][p]["targets"][t]["value"];
                *value = json!(value.as_f64().expect("a number") * 1.1 + 1.0);
                assert!(!check(&page, &changed).is_empty(), "{name} {}", probe["name"]);
            }
        }
    }
}

#[test]
fn the_small_page_is_right() {
    assert_eq!(check(SMALL, &figures(1.39e9)), vec![]);
}

#[rstest]
#[case::rounded_the_same(1.394e9, true)]
#[case::one_digit_more(1.396e9, false)]
#[case::ten_times(1.39e10, false)]
fn a_changed_file_is_noticed_where_it_shows(#[case] value: f64, #[case] same: bool) {
    assert_eq!(check(SMALL, &figures(value)).is_empty(), same);
}

#[rstest]
#[case::a_digit("1.39 GB/s of", "1.38 GB/s of")]
#[case::a_digit_more("1.39 GB/s of", "1.392 GB/s of")]
#[case::a_prefix("1.39 GB/s of", "1.39 MB/s of")]
#[case::a_unit("1.39 GB/s of", "1.39 GB of")]
#[case::no_value("1.39 GB/s of", " of")]
#[case::another_behind("1.39 GB/s of", "1.39 GB/s 7 of")]
#[case::assumed_is_not_said("458†", "458")]
#[case::measured_is_called_assumed("1.25 s", "1.25 s†")]
#[case::in_a_table("24 | 1.39 GB/s", "24 | 1.38 GB/s")]
#[case::a_line_of_a_table("| 30.5 B/s | 1.23% |", "| 30.5 B/s | 1.24% |")]
#[case::a_loose_number("A planner", "3 planners")]
#[case::a_loose_number_in_code("`page.rs`", "`57.5`")]
#[case::no_such_figure("<!--proxies-->", "<!--forwarders-->")]
#[case::no_such_file("<!--proxies-->", "<!--hollow.bytes_in_per_s.users-->")]
#[case::no_such_probe("<!--proxies-->", "<!--planner.bytes.users-->")]
#[case::no_such_target("<!--proxies-->", "<!--planner.bytes_in_per_s.all-->")]
#[case::no_such_spread("<!--proxies-->", "<!--planner.spread.none.worst-->")]
#[case::one_of_two_spreads("<!--proxies-->", "<!--planner.spread.some.worst-->")]
#[case::one_of_two_spreads_by_one_axis("<!--proxies-->", "<!--planner.spread.some.worst.proxies=30-->")]
#[case::a_spread_of_another_size("<!--proxies-->", "<!--planner.spread.all.worst.proxies=30-->")]
#[case::a_spread_of_no_size("<!--proxies-->", "<!--planner.spread.all.worst.proxies-->")]
#[case::a_spread_of_no_part("<!--proxies-->", "<!--planner.spread.all-->")]
#[case::no_such_run("<!--proxies-->", "<!--run.100-hang-1.everywhere.worst-->")]
#[case::no_such_key_of_a_run("<!--proxies-->", "<!--run.100-zone-1.everywhere.least-->")]
#[case::no_baseline("<!--proxies-->", "<!--run.100-zone-1.baseline.everywhere.worst-->")]
#[case::a_circle("<!--proxies-->", "<!--circle-->")]
#[case::no_number("<!--proxies-->", "<!--nothing-->")]
#[case::no_such_table("table slopes", "table hills")]
#[case::a_comment_without_end("<!--proxies-->", "<!--proxies-")]
#[case::a_table_without_end("<!-- end -->", "")]
#[case::code_without_end("`page.rs`", "page.rs`")]
fn a_changed_page_is_noticed(#[case] from: &str, #[case] to: &str) {
    assert_eq!(SMALL.matches(from).count(), 1, "{from:?} stands once");
    let faults = check(&SMALL.replacen(from, to, 1), &figures(1.39e9));
    assert!(!faults.is_empty(), "{to:?} in place of {from:?}");
}

#[test]
fn faults_name_their_line_and_what_the_files_say() {
    let page = SMALL.replacen("1.39 GB/s of", "1.38 GB/s of", 1);
    let fault = Fault::Differs {
        line: 3,
        name: "planner.bytes_in_per_s.users".to_owned(),
        is: "1.39 GB/s".to_owned(),
        says: "1.38 GB/s".to_owned(),
    };
    assert_eq!(check(&page, &figures(1.39e9)), vec![fault]);
}

/// A bound of the mechanism, an axis along which it grows no further, and a form of two slopes.
#[test]
fn what_bounds_a_quantity_stands_in_its_table() {
    let mut figures = figures(1.39e9);
    let planner = figures.roles.get_mut("planner").expect("a role");
    planner["bounds"] = json!(["4,096 proxies at most"]);
    let probe = &mut planner["probes"][0];
    probe["capped"] = json!({"nodes": 256});
    probe["best"] = json!("n + n m");
    probe["fits"][1]["form"] = json!("n + n m");
    probe["fits"][1]["slope_n"] = json!(7.5);
    let filled = fill(SMALL, &figures).expect("a table");
    for part in [
        "| n + n m (or n), up to 256 nodes | 30.5 B/s n m, 7.5 B/s n |",
        "\n\n- 4,096 proxies at most\n<!-- end -->",
    ] {
        assert!(filled.contains(part), "{part:?} in {filled}");
    }
    assert!(!check(SMALL, &figures).is_empty());
    assert_eq!(check(&filled, &figures), vec![]);
}

#[test]
fn filling_puts_the_files_figures_in() {
    let empty = SMALL.replace("1.39 GB/s of", " of").replace("458†", "12 ms");
    assert_eq!(fill(&empty, &figures(1.39e9)).as_deref(), Ok(SMALL));
    // A file that isn't there leaves its table empty, and a figure of it is a fault.
    let mut none = figures(1.39e9);
    none.roles.clear();
    assert_eq!(
        fill("<!-- table slopes planner -->\n<!-- end -->", &none).as_deref(),
        Ok("<!-- table slopes planner -->\nnot run\n<!-- end -->")
    );
    assert!(fill(SMALL, &none).is_err());
}

#[test]
fn spreads_stand_in_a_table() {
    let filled = fill("<!-- table spreads planner --><!-- end -->", &figures(1.39e9)).expect("a table");
    let row = "\n| Till some have it | 8 nodes, 30 proxies | 30 | 250 ms | 500 ms | 2.5 s |\n";
    assert!(filled.contains(row), "{filled}");
    assert_eq!(check(&filled, &figures(1.39e9)), vec![]);
    assert_eq!(check(&filled.replace("2.5 s", "2.6 s"), &figures(1.39e9)).len(), 1);
}

const FLEET: &str = "<!-- table fleet times -->
| scenario | proxies | seed | changes | all have it: median | 99.9th part | worst | known that all have it: median | worst | known, or lapsed: worst | not everywhere | not known | rules broken |
| --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- |
| `calm` | 100 | 1 | 1,900 | 250 ms | 1 s | 1.5 s | 250 ms | 1.5 s | 1.5 s | 0 | 0 | none |
| `zone` | 100 | 1 | 1,900 | 250 ms | 1 s | 3.25 s | 250 ms | 3.25 s | 3.25 s | 0 | 0 | none |
| `zone` | 1,000 | 1 | 1,900 | 250 ms | 1 s | 4.5 s | 250 ms | 4.5 s | 4.5 s | 0 | 0 | none |
<!-- end -->";

#[test]
fn runs_of_fleets_stand_by_scenario_and_size() {
    let mut figures = figures(1.39e9);
    assert_eq!(fill("<!-- table fleet times --><!-- end -->", &figures).as_deref(), Ok(FLEET));
    assert_eq!(check(FLEET, &figures), vec![]);
    figures.runs.get_mut("100-zone-1").expect("a run")["dissemination"]["broken"] = json!({"order": 2});
    assert_eq!(check(FLEET, &figures).len(), 1, "a rule that a run broke is told");
    figures.runs.get_mut("100-zone-1").expect("a run")["dissemination"]["everywhere"] = json!({});
    assert_eq!(
        fill(FLEET, &figures).expect_err("it lacks a key")[0].to_string(),
        "line 1: 100-zone-1.json has no everywhere"
    );
    figures.runs.clear();
    assert_eq!(fill(FLEET, &figures).as_deref(), Ok("<!-- table fleet times -->\nnot run\n<!-- end -->"));
}

#[test]
fn what_rests_on_a_run_is_told_from_what_is_assumed() {
    let figures = figures(1.39e9);
    let assumed = |name: &str| figures.get(name).expect("a figure").assumed;
    let all =
        ["proxies", "places", "a_machine", "a_proxy", "planner.bytes_in_per_s.users", "planner.places.users"];
    assert_eq!(all.map(assumed), [false, true, true, false, false, true]);
}

#[rstest]
#[case("planner.bytes_in_per_s.share.low", 57e6, Unit::ByteRate)]
#[case("planner.bytes_in_per_s.users.high", 1.4e9, Unit::ByteRate)]
#[case("planner.bytes_in_per_s.users.factor", 24.0, Unit::Count)]
#[case("planner.bytes_in_per_s.relative", 0.0123, Unit::Part)]
#[case("planner.bytes_in_per_s.slope", 30.5, Unit::ByteRate)]
#[case("planner.bytes_in_per_s.largest.proxies", 458.0, Unit::Count)]
#[case("planner.bytes_in_per_s.point.0", 4096.0, Unit::ByteRate)]
#[case("planner.spread.all.of", 300.0, Unit::Count)]
#[case("planner.spread.all.worst.proxies=300", 1.25, Unit::Seconds)]
#[case("planner.spread.some.worst.proxies=30.nodes=4", 1.5, Unit::Seconds)]
#[case("planner.spread.some.worst.proxies=30.nodes=8", 2.5, Unit::Seconds)]
#[case("run.100-zone-1.everywhere.worst", 3.25, Unit::Seconds)]
#[case("run.100-zone-1.everywhere.of", 1900.0, Unit::Count)]
#[case("run.100-zone-1.out_s", 15.25, Unit::Seconds)]
#[case("run.100-zone-1.were_out", 7.0, Unit::Count)]
#[case("run.100-zone-1.proxy_window_worst", 3800.0, Unit::Bytes)]
#[case("run.100-zone-1.proxy_cpu", 0.0012, Unit::Part)]
#[case("run.100-zone-1.baseline.proxy_bytes_per_s", 182_400.0, Unit::ByteRate)]
fn figures_by_name(#[case] name: &str, #[case] value: f64, #[case] unit: Unit) {
    assert_eq!(figures(1.39e9).get(name), Ok(Figure { value, unit, assumed: false }));
}

#[rstest]
#[case(0.0, Unit::Count, "0")]
#[case(0.588, Unit::Count, "0.588")]
#[case(0.59027, Unit::Rate, "0.59/s")]
#[case(9.996, Unit::Count, "10")]
#[case(458.33, Unit::Count, "458")]
#[case(1595.2, Unit::Rate, "1,600/s")]
#[case(11_000.0, Unit::Count, "11,000")]
#[case(123_456.0, Unit::Count, "123,456")]
#[case(6_700_000.0, Unit::Rate, "6.7 million/s")]
#[case(2.5e9, Unit::Count, "2.5 billion")]
#[case(3.908e-7, Unit::Count, "3.91e-7")]
#[case(4096.0, Unit::ByteRate, "4,096 B/s")]
#[case(1892.7, Unit::ByteRate, "1.89 KB/s")]
#[case(999.6, Unit::Bytes, "1 KB")]
#[case(999_600.0, Unit::Bytes, "1 MB")]
#[case(57_512_345.0, Unit::ByteRate, "57.5 MB/s")]
#[case(14e12, Unit::BitRate, "14 Tbit/s")]
#[case(64.0, Unit::Kibibytes, "64 KiB")]
#[case(0.000_025, Unit::Seconds, "25 us")]
#[case(0.2504, Unit::Seconds, "250 ms")]
#[case(0.9996, Unit::Seconds, "1 s")]
#[case(7.8, Unit::Seconds, "7.8 s")]
#[case(0.012, Unit::Part, "1.2%")]
#[case(1.19e-7, Unit::Part, "1.19e-5%")]
fn rounding(#[case] value: f64, #[case] unit: Unit, #[case] text: &str) {
    assert_eq!(shown(value, unit), text);
    // What is shown is found again as far as it reaches, whatever stands behind.
    for behind in ["", " |", ", x", ". End", " proxies", " bytes", "† 7", ") of"] {
        let whole = format!("{text}{behind}");
        let reach = if behind.starts_with('†') { format!("{text}†") } else { text.to_owned() };
        assert_eq!(extent(&whole), reach, "in {whole:?}");
    }
}

#[rstest]
#[case("", "")]
#[case("none", "")]
#[case("12 seconds", "12")]
#[case("12 Bits", "12")]
#[case("12 MBit", "12")]
#[case("1,2,3", "1,2,3")]
#[case("1, 2", "1")]
#[case("-3.5 ms later", "-3.5 ms")]
fn what_belongs_to_a_figure(#[case] text: &str, #[case] reach: &str) {
    assert_eq!(extent(text), reach);
}

#[test]
fn a_role_in_a_file_of_another_name_is_refused() {
    let folder = tempfile::tempdir().expect("a folder");
    std::fs::write(folder.path().join("page.json"), r#"{"known": {}, "worked": {}}"#).expect("written");
    std::fs::write(folder.path().join("core.json"), role(1.0).to_string()).expect("written");
    let error = Figures::read(folder.path()).expect_err("a planner is no core");
    assert!(error.to_string().ends_with("core.json: its role is \"planner\""), "{error}");
    std::fs::write(folder.path().join("core.json"), "{").expect("written");
    assert!(Figures::read(folder.path()).is_err());
    std::fs::write(folder.path().join("core.json"), "{}").expect("written");
    assert!(Figures::read(folder.path()).is_err());
    std::fs::remove_file(folder.path().join("core.json")).expect("removed");
    std::fs::create_dir(folder.path().join("fleet")).expect("a folder");
    let run = fleet_run("calm", 100, 1.5).to_string();
    std::fs::write(folder.path().join("fleet/100-calm-1.json"), run).expect("written");
    let figures = Figures::read(folder.path()).expect("a run and no role");
    assert_eq!(figures.get("run.100-calm-1.everywhere.worst").map(|f| f.value), Ok(1.5));
    // Runs may come within a role as well; one that doesn't say which it is is refused.
    let mut dissemination = json!({"role": "dissemination", "runs": [fleet_run("zone", 1000, 4.5)]});
    let path = folder.path().join("dissemination.json");
    std::fs::write(&path, dissemination.to_string()).expect("written");
    let figures = Figures::read(folder.path()).expect("two runs");
    assert_eq!(figures.get("run.1000-zone-1.everywhere.worst").map(|f| f.value), Ok(4.5));
    dissemination["runs"][0]["dissemination"]["seed"] = json!(null);
    std::fs::write(&path, dissemination.to_string()).expect("written");
    assert!(Figures::read(folder.path()).is_err());
}
