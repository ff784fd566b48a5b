//! `lab capacity` on small fleets: what it fits, and whether what it works out holds at a larger size that it did not see.
//! The verdict hangs on counts alone, which are the same on every run.

use cost::counting::CountingAllocator;
use lab::capacity::fit::{Fits, Form, Observed};
use lab::capacity::{meter, roles, Axis, Series, Size};
use rstest::rstest;
use serde_json::Value;
use std::process::{Command, Output};

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

const SEED: u64 = 7;

/// The series of a role that has a quantity, and the quantity's place in it.
fn series(role: &str, quantity: &str) -> (Series, usize) {
    let role = roles::all().into_iter().find(|r| r.name() == role).expect("a role");
    let of = |s: Series| Some((s.quantities.iter().position(|q| q.name == quantity)?, s));
    let (at, series) = role.series().into_iter().find_map(of).expect("a quantity of it");
    (series, at)
}

fn measure(series: &Series, at: usize, size: &Size) -> f64 {
    let measured = (series.run)(size, SEED).expect("a run");
    measured.values.get(at).copied().flatten().expect("a value")
}

fn observed(series: &Series, size: &Size, value: f64) -> Observed {
    let along = |i: usize| series.axes.get(i).map_or(1.0, |(axis, _)| size.along(*axis) as f64);
    Observed { n: along(0), m: along(1), value }
}

/// Fits a quantity at small sizes, and holds the interval at a larger one against a run there.
fn fitted(role: &str, quantity: &str, sizes: &[&[u64]], held_out: Size) -> (Fits, f64) {
    let (mut series, at) = series(role, quantity);
    for ((_, own), sizes) in series.axes.iter_mut().zip(sizes) {
        *own = sizes.to_vec();
    }
    series.more.clear();
    let points: Vec<Observed> =
        series.sizes().iter().map(|size| observed(&series, size, measure(&series, at, size))).collect();
    let fits = Fits::of(&points, series.axes.len() > 1).expect("a fit");
    let is = measure(&series, at, &held_out);
    let there = observed(&series, &held_out, is);
    let told = fits.at(there.n, there.m);
    println!("{role} {quantity}: {:?}, told {told:?}, is {is}", fits.best());
    assert!(told.low <= is && is <= told.high, "{quantity} at {held_out}: {told:?}, is {is}");
    (fits, is)
}

const PROXIES: &[u64] = &[4, 8, 16, 64];
const NODES: &[u64] = &[8, 32, 64, 128];

fn larger() -> Size {
    Size::of([(Axis::Proxies, 128), (Axis::Nodes, 192)])
}

#[rstest]
// A sight names up to 256 nodes that answer: below, what a planner hears grows with both too.
#[case("bytes_in_per_s")]
#[case("bytes_out_per_s")]
fn a_planners_bytes_grow_as_proxies_times_nodes(#[case] quantity: &str) {
    let (fits, _) = fitted("planner", quantity, &[PROXIES, NODES], larger());
    // With or without what each proxy takes whatever the nodes.
    assert!(matches!(fits.best().form, Form::NM | Form::NAndNM), "{:?}", fits.tried);
    assert!(fits.best().slope > 1.0, "{:?}", fits.best());
    assert!(fits.best().relative < 0.1, "{:?}", fits.best());
}

#[test]
fn a_planners_messages_grow_as_proxies_alone() {
    let (fits, is) = fitted("planner", "messages_in_per_s", &[PROXIES, NODES], larger());
    assert_eq!(fits.best().form, Form::N, "{:?}", fits.tried);
    // A sight each quarter of a second.
    assert_eq!(is, 128.0 * 4.0);
}

#[rstest]
#[case("list_bytes")]
#[case("parsed_bytes")]
#[case("parse_allocations")]
fn a_list_grows_as_its_nodes(#[case] quantity: &str) {
    let held_out = Size::of([(Axis::Nodes, 2_000)]);
    let (fits, _) = fitted("discovery", quantity, &[&[16, 64, 256, 1_000]], held_out);
    assert_eq!(fits.best().form, Form::N, "{:?}", fits.tried);
    assert!(fits.best().relative < 0.1, "{:?}", fits.best());
}

#[test]
fn lists_to_all_at_once_grow_as_proxies_times_nodes() {
    let held_out = Size::of([(Axis::Proxies, 11_000), (Axis::Nodes, 1_000)]);
    let sizes: [&[u64]; 2] = [&[16, 64, 256, 1_024], &[16, 64, 128, 512]];
    let (fits, _) = fitted("discovery", "lists_at_once_bytes", &sizes, held_out);
    assert!(matches!(fits.best().form, Form::NM | Form::NAndNM), "{:?}", fits.tried);
    assert!((150.0..200.0).contains(&fits.best().slope), "{:?}", fits.best());
}

#[test]
fn a_core_holds_so_many_bytes_for_each_node() {
    assert!(meter::counts(), "this test's allocator counts");
    let held_out = Size::of([(Axis::Nodes, 2_000)]);
    let (fits, is) = fitted("core", "allocated_bytes", &[&[16, 64, 256, 1_000]], held_out);
    assert_eq!(fits.best().form, Form::N, "{:?}", fits.tried);
    assert!(is / 2_000.0 > 100.0, "{is} bytes for 2,000 nodes");
}

#[test]
fn proxies_that_echo_load_a_planner_as_real_ones_do() {
    // 64 are real; with 128, half echo. Twice 64 real ones are the same but for the last bytes of a few numbers.
    for quantity in ["bytes_in_per_s", "bytes_out_per_s", "messages_out_per_s", "allocations_per_s"] {
        let (series, at) = series("planner", quantity);
        let of = |proxies| measure(&series, at, &Size::of([(Axis::Proxies, proxies), (Axis::Nodes, 64)]));
        let (real, echoed) = (of(64), of(128));
        let ratio = echoed / real;
        println!("{quantity}: {real} by 64 real ones, {echoed} with as many echoes");
        assert!((1.9..=2.1).contains(&ratio), "{quantity}: {ratio}");
    }
}

#[test]
fn counts_are_the_same_on_every_run() {
    // Hollow proxies are processes of the program: below.
    for role in roles::all().into_iter().filter(|r| r.name() != "hollow") {
        for series in role.series() {
            // Smaller than its own sizes, so that it takes no time.
            let mut series = series;
            series.axes.iter_mut().for_each(|(_, sizes)| *sizes = vec![8]);
            series.more.clear();
            let small = series.sizes().remove(0);
            let run = || (series.run)(&small, SEED).expect("a run").values;
            let kinds = series.quantities.iter().map(|q| q.kind);
            for ((kind, a), b) in kinds.zip(run()).zip(run()) {
                assert!(kind != lab::capacity::Kind::Count || a == b, "{} at {small}", role.name());
            }
        }
    }
}

fn lab(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_lab")).args(args).output().expect("the program starts")
}

#[test]
fn the_program_prints_a_table_and_writes_its_files() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let out = folder.path().join("out");
    let ended = lab(&[
        "capacity",
        "--role",
        "forwarder,connections",
        "--sizes",
        "nodes=8,16,64,128",
        "--seed",
        "5",
        "--out",
        &out.to_string_lossy(),
    ]);
    assert!(ended.status.success(), "{}", String::from_utf8_lossy(&ended.stderr));
    let table = String::from_utf8_lossy(&ended.stdout).into_owned();
    assert!(table.contains("bytes_out_per_s") && table.contains("assumed"), "{table}");
    let read = |name: &str| -> Value {
        serde_json::from_slice(&std::fs::read(out.join(name)).expect("a file")).expect("JSON")
    };
    let (result, forwarder) = (read("result.json"), read("forwarder.json"));
    assert_eq!(result["schema"], 1);
    assert_eq!(result["roles"][0], forwarder);
    assert_eq!(result["roles"][1], read("connections.json"));
    assert_eq!(forwarder["seed"], 5);
    let probe = &forwarder["probes"][0];
    assert_eq!(probe["points"].as_array().map(Vec::len), Some(4));
    assert_eq!(probe["targets"][0]["size"]["nodes"], 4_200);
    assert_eq!(probe["targets"][0]["factor"], 4_200.0 / 128.0);
    assert!(probe["best"].is_string() && probe["assumed"].is_null(), "{probe}");
    let assumed = &result["roles"][1]["probes"][0];
    assert!(assumed["best"].is_null() && assumed["assumed"].is_string(), "{assumed}");
}

/// A folder that `lab capacity` wrote into, and the file of a role there.
fn written(role: &str, args: &[&str]) -> Value {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let out = folder.path().to_string_lossy().into_owned();
    let ended = lab(&[&["capacity", "--role", role, "--out", &out], args].concat());
    assert!(ended.status.success(), "{}", String::from_utf8_lossy(&ended.stderr));
    let file = std::fs::read(folder.path().join(format!("{role}.json"))).expect("a file");
    serde_json::from_slice(&file).expect("JSON")
}

#[test]
fn hollow_proxies_take_the_lists_that_they_are_told_by_one_call_each() {
    let hollow = written("hollow", &["--sizes", "proxies=1,2,4,16", "--sizes", "nodes=4,16,32,64"]);
    let probes = hollow["probes"].as_array().expect("probes");
    let points = |name: &str| -> Vec<(u64, u64, f64)> {
        let probe = probes.iter().find(|p| p["name"] == name).expect("a probe");
        let points = probe["points"].as_array().expect("points").iter();
        let number = |v: &Value| v.as_u64().expect("a size");
        points
            .map(|p| {
                (
                    number(&p["size"]["proxies"]),
                    number(&p["size"]["nodes"]),
                    p["value"].as_f64().expect("a value"),
                )
            })
            .collect()
    };
    for name in ["calls", "list_messages", "change_messages"] {
        assert!(
            points(name).iter().all(|(proxies, _, n)| *n == *proxies as f64),
            "{name}: {:?}",
            points(name)
        );
    }
    // What goes over sockets is what the codec's world counts for the same lists.
    let (series, at) = series("discovery", "lists_at_once_bytes");
    for (proxies, nodes, bytes) in points("list_bytes") {
        let size = Size::of([(Axis::Proxies, proxies), (Axis::Nodes, nodes)]);
        assert_eq!(bytes, measure(&series, at, &size), "{size}");
    }
    let spreads = hollow["spreads"].as_array().expect("spreads");
    let of = |name: &str| {
        spreads.iter().filter(|s| s["name"] == name).map(|s| s["of"].as_u64().unwrap_or(0)).sum::<u64>()
    };
    assert_eq!((of("list_taken"), of("change_taken")), (4 * (1 + 2 + 4 + 16), 4 * (1 + 2 + 4 + 16)));
}

#[rstest]
#[case(&["--role", "hollow", "--sizes", "proxies=10000000,20000000,40000000,160000000"], "hollow proxies want")]
#[case(&["--role", "nobody"], "the roles are planner")]
#[case(&["--sizes", "nodes=1,2,3,4"], "span a factor of 16")]
#[case(&["--sizes", "moons=1,2,3,64"], "the axes are proxies")]
#[case(&["--role", "planner", "--sizes", "proxies=8,16,64,5000", "--sizes", "nodes=4,8,16,64"], "refuses more than 4096")]
fn what_cannot_be_measured_is_a_line(#[case] args: &[&str], #[case] why: &str) {
    let ended = lab(&[&["capacity"], args].concat());
    assert_eq!(ended.status.code(), Some(2));
    let said = String::from_utf8_lossy(&ended.stderr);
    assert!(said.contains(why), "{said}");
}
