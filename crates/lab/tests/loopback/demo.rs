//! The demo, started from the command line as a new user does.

use std::process::Command;

#[test]
fn the_demo_succeeds_with_a_table_and_a_report() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let mut lab = Command::new(env!("CARGO_BIN_EXE_lab"));
    let ended = lab.args(["demo", "--out"]).arg(dir.path()).output().expect("process is running");
    let (stdout, stderr) = (String::from_utf8_lossy(&ended.stdout), String::from_utf8_lossy(&ended.stderr));
    assert!(ended.status.success(), "{stdout}{stderr}");
    for part in ["served worth", "lookup", "slow_ledger", "memory MB", "CPU a request"] {
        assert!(stdout.contains(part), "{part}: {stdout}");
    }
    let result = std::fs::read_to_string(dir.path().join("result.json")).expect("a result");
    let result: serde_json::Value = serde_json::from_str(&result).expect("JSON");
    assert_eq!((&result["name"], &result["world"]), (&"demo".into(), &"loopback".into()));
    assert!(result["requests"].as_u64().is_some_and(|n| n > 5_000), "{}", result["requests"]);
    let page = std::fs::read_to_string(dir.path().join("report.html")).expect("a report");
    assert!(page.contains("<svg"));
}
