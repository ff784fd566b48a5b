//! Proxies that die, hang or violate the protocol, and labs that are killed or interrupted.

use lab::host::{HostError, Silent};
use lab::loopback::children::{Child, Limits, Program};
use lab::loopback::{play, Proxies};
use std::io::{Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};
use world::world::World;

/// Writes an executable shell script with these lines.
fn script(dir: &Path, lines: &str) -> PathBuf {
    let path = dir.join("proxy");
    let mut file = std::fs::File::create(&path).expect("file is created");
    write!(file, "#!/bin/sh\n{lines}\n").expect("file is written");
    file.set_permissions(std::fs::Permissions::from_mode(0o755)).expect("permissions are set");
    path
}

/// The error of a run whose proxies are such scripts.
fn run_error(lines: &str) -> String {
    let dir = tempfile::tempdir().expect("temporary directory");
    let program = Program::unguarded(&script(dir.path(), lines)).expect("program exists");
    let world = World::builder().seconds(20.0).rate(20.0).proxies(1).build(1).expect("valid world");
    let error = play(world, &Proxies::Program(program), &Silent).expect_err("run fails");
    assert!(matches!(error, HostError::Child { .. }), "{error}");
    error.to_string()
}

#[test]
fn a_proxy_that_dies_ends_the_run_with_its_last_log_lines() {
    let message = run_error("echo no room at the inn >&2; exit 4");
    assert!(message.starts_with("n0: died (exit status: 4)"), "{message}");
    assert!(message.contains("no room at the inn"), "{message}");
}

#[test]
fn a_proxy_that_dies_during_the_run_ends_it() {
    // The real proxy, killed behind the lab's back.
    let real = env!("CARGO_BIN_EXE_lab");
    let message = run_error(&format!(
        "{real} guarded-proxy $$ 1024 & child=$!; sleep 1.5; kill -9 $child; wait $child; exit 9"
    ));
    assert!(message.contains("died (exit status: 9)"), "{message}");
}

#[test]
fn a_proxy_that_hangs_ends_the_run() {
    let real = env!("CARGO_BIN_EXE_lab");
    // Stopped after it has logged that it is ready and the lab has seen it answer.
    let message = run_error(&format!(
        "{real} guarded-proxy $$ 1024 2>log & child=$!
         until grep -q ready log; do sleep 0.1; done
         sleep 2; kill -STOP $child; sleep 600"
    ));
    assert!(message.contains("hangs: it has not answered PING"), "{message}");
}

/// Whether a process exists and is not a zombie.
fn runs(pid: u32) -> bool {
    std::fs::read_to_string(format!("/proc/{pid}/stat")).is_ok_and(|s| !s.contains(") Z "))
}

#[test]
fn no_process_outlives_a_lab_that_is_killed() {
    // The lab is a separate process: this test binary, which starts a child and waits.
    let mut lab = Command::new(std::env::current_exe().expect("current executable"))
        .args(["--exact", "children::starts_a_child_and_waits", "--ignored", "--nocapture"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("process starts");
    let stdout = std::io::BufReader::new(lab.stdout.take().expect("piped output"));
    let mut lines = std::io::BufRead::lines(stdout).map_while(Result::ok);
    let pid = lines
        .find_map(|l| l.split_once("child ")?.1.trim().parse::<u32>().ok())
        .expect("child pid is printed");
    assert!(runs(pid));
    lab.kill().expect("kill succeeds");
    lab.wait().expect("process exits");
    let until = Instant::now() + Duration::from_secs(20);
    while runs(pid) && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(!runs(pid), "the child outlived the lab");
}

/// Helper for the test above, which kills this process in place of a lab.
#[test]
#[ignore = "started by the test above it"]
fn starts_a_child_and_waits() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let sleeper = script(dir.path(), "exec sleep 600");
    let guarded = Program::guarded(Path::new(env!("CARGO_BIN_EXE_lab")), &sleeper).expect("program exists");
    let limits = Limits { memory_kb: 1 << 20, descriptors: 64, file_bytes: None };
    let child = Child::start("n0", &guarded, limits, dir.path(), &[], &[]).expect("process starts");
    // Wait until the guard has executed the program.
    while std::fs::read_to_string(format!("/proc/{}/comm", child.pid())).is_ok_and(|c| c.trim() != "sleep") {
        std::thread::sleep(Duration::from_millis(5));
    }
    println!("child {}", child.pid());
    std::thread::sleep(Duration::from_secs(600));
    drop(child);
}

#[test]
fn a_malformed_command_from_a_proxy_voids_the_run() {
    let message = run_error(
        "port=$(grep -o 'host_port\":\"127.0.0.1:[0-9]*' $NODE_CONFIG | head -n 1 | cut -d: -f3)
         exec bash -c \"exec 3<>/dev/tcp/127.0.0.1/$port; printf 'GET / HTTP/1.1' >&3; sleep 60\"",
    );
    assert!(message.starts_with("n0: sent a malformed command to a node"), "{message}");
}

/// Process ids of the direct children of a process.
fn children_of(pid: u32) -> Vec<u32> {
    let all = std::fs::read_dir("/proc").expect("/proc is readable").flatten();
    let number = |e: std::fs::DirEntry| e.file_name().to_str()?.parse::<u32>().ok();
    let parent = |pid: u32| {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        stat.rsplit_once(") ")?.1.split(' ').nth(1)?.parse::<u32>().ok()
    };
    all.filter_map(number).filter(|p| parent(*p) == Some(pid)).collect()
}

#[test]
fn a_lab_that_is_interrupted_leaves_nothing_behind() {
    let dir = tempfile::tempdir().expect("temporary directory");
    let scenario = concat!(env!("CARGO_MANIFEST_DIR"), "/../../scenarios/calm.toml");
    let mut lab = Command::new(env!("CARGO_BIN_EXE_lab"))
        .args(["run", scenario, "--world", "loopback"])
        .env("TMPDIR", dir.path())
        .stderr(Stdio::piped())
        .spawn()
        .expect("process starts");
    let until = Instant::now() + Duration::from_secs(20);
    let mut children = Vec::new();
    // All three processes exist, so that the lab has begun to listen to signals.
    while children.len() < 3 && Instant::now() < until {
        std::thread::sleep(Duration::from_millis(20));
        children = children_of(lab.id());
    }
    assert_eq!(children.len(), 3);
    let kill = Command::new("kill").args(["-INT", &lab.id().to_string()]).status();
    assert!(kill.expect("kill").success());
    let ended = lab.wait().expect("process exits");
    let mut stderr = String::new();
    lab.stderr.take().expect("piped output").read_to_string(&mut stderr).expect("text");
    assert_eq!(ended.code(), Some(2), "{stderr}");
    assert!(stderr.contains("interrupted"), "{stderr}");
    assert!(!children.iter().any(|pid| runs(*pid)), "a proxy is still there");
    assert_eq!(std::fs::read_dir(dir.path()).expect("temporary directory").count(), 0, "its folder is gone");
}
