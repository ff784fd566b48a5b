//! Runs control machines and followers as processes on loopback: three stores, proxies with `control` lines,
//! and a link for every connection, whose directions can be cut separately. Every wait is for a log event or
//! for an answer of the command line, with a generous timeout. Assertions are on the output and on counts.

use dissemination::frame::{CloseReason, Reader};
use lab::fleet::links::{Condition, Links};
use lab::fleet::log::{Line, LineFilter, Log, Mark};
use lab::fleet::processes::{Processes, Spec};
use lab::loopback::children::{guard::run_in_test, Program};
use lab::loopback::Clock;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

/// Timeout of each step; far longer than any needs.
const TIMEOUT: Duration = Duration::from_secs(60);
/// The same timeout in seconds, for the command line.
const WAIT_SECONDS: &str = "60";
const CONTROLS: usize = 3;
/// An address without a listener.
const UNUSED_ADDRESS: &str = "127.0.0.1:1";
const PLACES: [&str; CONTROLS] = ["north/z0/s0", "north/z1/s1", "south/z2/s2"];

/// The program under test. Its processes never outlive this test, however the test ends.
fn program() -> Program {
    Program::of_test(Path::new(env!("CARGO_BIN_EXE_martenweir")), "guard").expect("the program is found")
}

/// Not a test: the entry point of the process that starts and supervises the others.
#[test]
#[ignore = "the guard of the other tests' processes"]
fn guard() {
    run_in_test();
}

/// Runs `martenweir change`; returns its exit status and output.
fn change(args: &[&str], addresses: &[SocketAddr]) -> (Option<i32>, String) {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenweir"));
    let result = command.arg("change").args(args).args(addresses).env_remove("NODE_CONFIG").output();
    let result = result.expect("running");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (result.status.code(), text(&result.stdout) + &text(&result.stderr))
}

/// The acknowledged changes in the output of a submission, as stream and number.
fn acknowledged(output: &str) -> Vec<(String, u64)> {
    let change = |line: &str| {
        let (name, _) = line.split_once(" acknowledged: ")?;
        let (stream, number) = name.rsplit_once('.')?;
        Some((stream.to_owned(), number.parse().ok()?))
    };
    output.lines().filter_map(change).collect()
}

struct Fleet {
    processes: Processes,
    links: Links,
    /// Per process, the log position after the last awaited line.
    log_position: BTreeMap<String, Mark>,
    /// The addresses of the control machines.
    controls: Vec<SocketAddr>,
    followers: Vec<String>,
    roster: PathBuf,
}

fn control(at: usize) -> String {
    format!("c{at}")
}

impl Fleet {
    /// Starts all processes and waits until the followers are in service.
    fn new(followers: usize) -> Self {
        let processes =
            Processes::in_temporary(&Log::new(Clock::start(0))).expect("the processes are set up");
        let roster = processes.settings("roster").expect("a settings folder").join("followers");
        let followers: Vec<String> = (0..followers).map(|at| format!("f{at}")).collect();
        std::fs::write(&roster, followers.join("\n")).expect("the file is written");
        let (links, log_position) = (Links::start(1).expect("the links are set"), BTreeMap::new());
        let controls = vec![UNUSED_ADDRESS.parse().expect("an address"); CONTROLS];
        let mut fleet =
            Fleet { processes, links, log_position, controls, followers: followers.clone(), roster };
        let all: Vec<usize> = (0..CONTROLS).collect();
        all.iter().for_each(|at| fleet.configure(*at, 1));
        fleet.start_controls(&all);
        followers.iter().for_each(|name| fleet.start_follower(name));
        for name in &followers {
            fleet.wait_for_event(name, "in_service");
        }
        fleet
    }

    /// The `control` lines of a process, which point to its own links to all control machines.
    fn control_lines(&self, name: &str) -> String {
        let unused: SocketAddr = UNUSED_ADDRESS.parse().expect("an address");
        let line = |at: usize| {
            let to = self.links.tcp(name, &control(at), "control", unused).expect("a link exists");
            format!("control {to} {}\n", PLACES[at])
        };
        (0..CONTROLS).map(line).collect()
    }

    fn file(&self, process: &str, name: &str, text: &str) -> PathBuf {
        let path = self.processes.settings(process).expect("a settings folder").join(name);
        std::fs::write(&path, text).expect("the file is written");
        path
    }

    /// Writes a control machine's configuration file.
    fn configure(&self, at: usize, epoch: u32) {
        let name = control(at);
        let roster = self.roster.display();
        let text = format!(
            "{}controlport 0\ncontrolnumber {at}\ncontrolepoch {epoch}\ncontrolstore store\nfollowers {roster}\n",
            self.control_lines(&name)
        );
        self.file(&name, "control.conf", &text);
    }

    /// Starts control machines together; returns when each of them accepts submissions.
    fn start_controls(&mut self, which: &[usize]) {
        for at in which {
            let name = control(*at);
            let conf = self.processes.settings(&name).expect("a settings folder").join("control.conf");
            let spec = Spec::new(&name, &program()).variable("RUST_LOG", "info");
            let spec = spec.arg("control").arg("--log-format").arg("json").arg("--conf").arg(conf);
            self.processes.start(spec).expect("the process starts");
        }
        for at in which {
            let name = control(*at);
            let address = self.wait_for_event(&name, "controlling").address().expect("an address");
            self.controls[*at] = address;
            self.links.aim(&name, "control", address).expect("the links are set");
        }
        for at in which {
            self.wait_for_event(&control(*at), "takes");
        }
    }

    fn start_follower(&mut self, name: &str) {
        let lines = self.control_lines(name) + "controlplace north/z0/s9\ntapsample 0.5\n";
        // Links created before the control machines were restarted need the new addresses.
        for at in 0..CONTROLS {
            self.links.aim(&control(at), "control", self.controls[at]).expect("the links are set");
        }
        let conf = self.file(name, "follower.conf", &lines);
        let text = std::fs::read_to_string("examples/config.json").expect("the configuration is readable");
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["name"] = name.into();
        config["listen"] = "127.0.0.1:0".into();
        config["discovery"] = UNUSED_ADDRESS.into();
        let config = self.file(name, "follower.json", &config.to_string());
        let spec = Spec::new(name, &program()).variable("RUST_LOG", "info").arg("--log-format").arg("json");
        self.processes.start(spec.arg("--conf").arg(conf).arg(config)).expect("the process starts");
    }

    /// Waits for a log event of a process after the previously awaited one.
    fn wait_for_event(&mut self, name: &str, event: &str) -> Arc<Line> {
        self.wait_for_line(name, LineFilter::event(event))
    }

    fn wait_for_line(&mut self, name: &str, wanted: LineFilter) -> Arc<Line> {
        let since = self.log_position.entry(name.to_owned()).or_default();
        let line = self.processes.wait_for_line(name, *since, &wanted, TIMEOUT);
        let line = line.unwrap_or_else(|why| panic!("{why}"));
        *since = line.mark();
        line
    }

    fn kill(&mut self, name: &str) {
        self.processes.kill(name).expect("running");
        self.processes.wait(name, TIMEOUT).expect("it exits");
    }

    /// Sets the condition of both directions between a follower and a control machine.
    fn set_both_directions(&self, follower: &str, at: usize, condition: &Condition) {
        self.links.set(follower, &control(at), condition.clone()).expect("the links are set");
        self.links.set(&control(at), follower, condition.clone()).expect("the links are set");
    }

    /// Submits changes and asserts that all are acknowledged.
    fn submit(&self, args: &[&str]) -> Vec<(String, u64)> {
        let (status, output) = change(&[&["submit"], args].concat(), &self.controls);
        assert_eq!(status, Some(0), "{output}");
        let changes = acknowledged(&output);
        assert!(!changes.is_empty(), "{output}");
        changes
    }

    /// Waits until a change is done; returns the output.
    fn wait(&self, (stream, number): &(String, u64)) -> String {
        let (name, roster) = (format!("{stream}.{number}"), self.roster.display().to_string());
        let args = ["wait", "--for", WAIT_SECONDS, "--followers", &roster, &name];
        let (status, output) = change(&args, &self.controls);
        assert_eq!(status, Some(0), "{output}");
        output
    }

    /// Waits until all followers are known to have a change, instead of being counted as out of service.
    fn wait_for_all(&self, change: &(String, u64)) -> String {
        let all = self.followers.len();
        let known = format!("{all} of {all} proxies are known to have it");
        self.poll_until(|| self.wait(change), |output| output.contains(&known))
    }

    fn status(&self, (stream, number): &(String, u64)) -> String {
        let (name, roster) = (format!("{stream}.{number}"), self.roster.display().to_string());
        change(&["status", "--followers", &roster, &name], &self.controls).1
    }

    /// Repeats a query until the answer satisfies the condition.
    fn poll_until(&self, ask: impl Fn() -> String, wanted: impl Fn(&str) -> bool) -> String {
        let until = std::time::Instant::now() + TIMEOUT;
        loop {
            let output = ask();
            if wanted(&output) {
                return output;
            }
            assert!(std::time::Instant::now() < until, "{output}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Ends all processes and asserts that each exits by itself when told to.
    fn shut_down(self) {
        assert_eq!(self.processes.end(TIMEOUT).expect("it exits"), [""; 0]);
    }
}

#[test]
fn submitted_changes_reach_all_followers_and_are_confirmed() {
    let mut fleet = Fleet::new(4);
    let purges = fleet.submit(&["--purge", "a", "--purge", "b", "--purge", "c"]);
    assert_eq!(purges.len(), 3);
    let setting = fleet.submit(&["--setting", "tapsample 0.25"]);
    for change in purges.iter().chain(&setting) {
        let output = fleet.wait_for_all(change);
        assert!(!output.contains("not known") && !output.contains("not heard"), "{output}");
    }
    for name in fleet.followers.clone() {
        let line = fleet.wait_for_event(&name, "configured");
        assert_eq!(line.text("setting"), Some("tapsample"));
    }
    fleet.shut_down();
}

#[test]
fn a_control_machine_killed_during_submissions_loses_no_change_and_recovers() {
    let mut fleet = Fleet::new(3);
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    for n in 0..30 {
        if n == 10 {
            fleet.kill("c1");
        }
        if n == 20 {
            fleet.start_controls(&[1]);
        }
        for (stream, number) in fleet.submit(&["--purge", &format!("key-{n}")]) {
            let before = last.insert(stream.clone(), number);
            assert!(before.is_none_or(|b| b < number), "{stream}.{number} behind {before:?}");
        }
    }
    for change in last {
        fleet.wait_for_all(&change);
    }
    fleet.shut_down();
}

#[test]
fn a_hung_control_machine_is_reported_and_blocks_nothing() {
    let fleet = Fleet::new(3);
    fleet.processes.stop("c0").expect("running");
    let change = fleet.submit(&["--purge", "a"]).remove(0);
    // Another control machine is asked, because the first does not answer.
    fleet.wait_for_all(&change);
    let output = fleet.poll_until(|| fleet.status(&change), |output| output.contains("not heard: 0"));
    assert!(output.contains("3 of 3 proxies"), "{output}");
    fleet.processes.resume("c0").expect("it was stopped");
    fleet.poll_until(
        || fleet.status(&change),
        |output| output.contains("3 of 3") && !output.contains("not heard"),
    );
    let change = fleet.submit(&["--purge", "b"]).remove(0);
    fleet.wait_for_all(&change);
    fleet.shut_down();
}

/// Cuts each direction between a follower and each control machine in turn; the other control machines must
/// suffice.
#[test]
fn a_link_cut_in_one_direction_blocks_nothing() {
    let fleet = Fleet::new(3);
    for at in 0..CONTROLS {
        let c = control(at);
        for (from, to) in [("f0", c.as_str()), (c.as_str(), "f0")] {
            fleet.links.set(from, to, Condition::cut()).expect("the links are set");
            let change = fleet.submit(&["--purge", &format!("{from}-{to}")]).remove(0);
            fleet.wait_for_all(&change);
            fleet.links.set(from, to, Condition::default()).expect("the links are set");
        }
    }
    fleet.shut_down();
}

#[test]
fn no_acknowledged_change_is_lost_when_all_stores_restart_at_once() {
    let mut fleet = Fleet::new(3);
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    for n in 0..12 {
        last.extend(fleet.submit(&["--purge", &format!("key-{n}")]));
    }
    last.extend(fleet.submit(&["--setting", "tapsample 0.25"]));
    let all: Vec<usize> = (0..CONTROLS).collect();
    all.iter().for_each(|at| fleet.kill(&control(*at)));
    // Simulate a write that was interrupted: the end of the last record is missing.
    let store = fleet.processes.folder("c2").join("store");
    let mut file = std::fs::OpenOptions::new().append(true).open(store).expect("the file");
    file.write_all(&[9, 0, 0, 0, 1]).expect("the bytes are written");
    fleet.start_controls(&all);
    let torn = fleet.processes.log().lines(Mark::default(), &LineFilter::event("torn"));
    assert_eq!(torn.iter().map(|l| (&*l.process, l.number("bytes"))).collect::<Vec<_>>(), [("c2", Some(5))]);
    for change in &last {
        fleet.wait_for_all(&(change.0.clone(), *change.1));
    }
    // Numbering continues.
    for n in 0..6 {
        for (stream, number) in fleet.submit(&["--purge", &format!("later-{n}")]) {
            let before = last.insert(stream.clone(), number);
            assert!(before.is_none_or(|b| b < number), "{stream}.{number} behind {before:?}");
        }
    }
    for change in last {
        fleet.wait_for_all(&change);
    }
    fleet.shut_down();
}

#[test]
fn a_restarted_follower_receives_everything() {
    let mut fleet = Fleet::new(3);
    let changes = [fleet.submit(&["--purge", "a"]), fleet.submit(&["--setting", "tapsample 0.25"])].concat();
    changes.iter().for_each(|change| drop(fleet.wait_for_all(change)));
    fleet.kill("f1");
    let late = fleet.submit(&["--setting", "tapbuffer 64 KB"]);
    fleet.start_follower("f1");
    for setting in ["tapsample", "tapbuffer"] {
        let first = fleet.log_position.get("f1").copied().unwrap_or_default();
        let wanted = LineFilter::event("configured").when(move |l| l.text("setting") == Some(setting));
        fleet.wait_for_line("f1", wanted);
        // They are numbered by different stores and may arrive in any order.
        fleet.log_position.insert("f1".into(), first);
    }
    for change in changes.iter().chain(&late) {
        fleet.wait_for_all(change);
    }
    fleet.shut_down();
}

#[test]
fn followers_reset_when_the_epoch_is_raised() {
    let mut fleet = Fleet::new(3);
    let change = fleet.submit(&["--setting", "tapsample 0.25"]).remove(0);
    fleet.wait_for_all(&change);
    let all: Vec<usize> = (0..CONTROLS).collect();
    all.iter().for_each(|at| fleet.kill(&control(*at)));
    all.iter().for_each(|at| fleet.configure(*at, 2));
    fleet.start_controls(&all);
    let raised = fleet.processes.log().lines(Mark::default(), &LineFilter::event("epoch_raised"));
    assert_eq!(raised.len(), CONTROLS);
    for name in fleet.followers.clone() {
        fleet.wait_for_event(&name, "begun_anew");
    }
    let later = fleet.submit(&["--setting", "tapbuffer 64 KB"]).remove(0);
    fleet.wait_for_all(&change);
    fleet.wait_for_all(&later);
    fleet.shut_down();
}

#[test]
fn a_setting_refused_by_all_is_reported_by_all_and_blocks_nothing() {
    let mut fleet = Fleet::new(3);
    let bad = fleet.submit(&["--setting", "tapsample 7"]).remove(0);
    for name in fleet.followers.clone() {
        let line = fleet.wait_for_event(&name, "change_refused");
        assert_eq!(line.number("number"), Some(bad.1));
        assert!(line.text("why").is_some_and(|why| why.starts_with("tapsample: a fraction")), "{line}");
    }
    let told = "have it and could not put it in force:\n  f";
    let all = |output: &str| fleet.followers.iter().all(|name| output.contains(name.as_str()));
    fleet.poll_until(|| fleet.wait_for_all(&bad), |output| output.contains(told) && all(output));
    let good = fleet.submit(&["--setting", "tapsample 0.25"]).remove(0);
    fleet.wait_for_all(&good);
    for name in fleet.followers.clone() {
        fleet.wait_for_event(&name, "configured");
    }
    fleet.shut_down();
}

#[test]
fn a_follower_cut_from_all_control_machines_leaves_service_and_is_listed() {
    let mut fleet = Fleet::new(3);
    (0..CONTROLS).for_each(|at| fleet.set_both_directions("f2", at, &Condition::cut()));
    let change = fleet.submit(&["--purge", "a"]).remove(0);
    let output = fleet.wait(&change);
    assert!(output.contains("2 of 3 proxies are known to have it"), "{output}");
    assert!(output.contains("not known to have it:\n  f2\n"), "{output}");
    assert!(output.contains("those not known to have it are out of service"), "{output}");
    fleet.wait_for_event("f2", "out_of_service");
    (0..CONTROLS).for_each(|at| fleet.set_both_directions("f2", at, &Condition::default()));
    fleet.wait_for_event("f2", "in_service");
    fleet.wait_for_all(&change);
    fleet.shut_down();
}

#[test]
fn a_submission_beyond_capacity_is_rejected_with_a_retry_time() {
    let fleet = Fleet::new(1);
    // All change one setting, 3 KB each.
    let lines = (0..160).map(|n| format!("deny 10.0.{n}.0/24")).collect::<Vec<_>>().join("\n");
    let submit = || change(&["submit", "--setting", &lines], &fleet.controls);
    let mut taken = Vec::new();
    let refused = (0..400).find_map(|_| match submit() {
        (Some(0), output) => {
            taken.extend(acknowledged(&output));
            None
        }
        (status, output) => Some((status, output)),
    });
    let (status, output) = refused.expect("a submission is rejected");
    assert_eq!(status, Some(2), "{output}");
    let after =
        output.split_once("try again after ").and_then(|(_, rest)| rest.split_once(" ms; 1 not taken"));
    assert!(after.is_some_and(|(ms, _)| ms.parse::<u32>().is_ok_and(|ms| ms > 0)), "{output}");
    // It is accepted once there is capacity again, and what was accepted before is not lost.
    fleet.poll_until(|| format!("{:?}", submit()), |output| output.contains("acknowledged: "));
    assert!(!taken.is_empty());
    for change in taken {
        fleet.wait_for_all(&change);
    }
    fleet.shut_down();
}

/// Returns the reason that a control machine sends before it closes.
fn refusal_reason(mut socket: TcpStream) -> CloseReason {
    socket.set_read_timeout(Some(TIMEOUT)).expect("the read timeout is set");
    let (mut reader, mut bytes) = (Reader::default(), [0; 4096]);
    loop {
        let n = match socket.read(&mut bytes) {
            Ok(n @ 1..) => n,
            Err(e) if e.kind() == ErrorKind::Interrupted => continue,
            end => panic!("no reason came: {end:?}"),
        };
        let mut come = &bytes[..n];
        loop {
            match reader.read(&mut come) {
                Ok(Some(_)) => {}
                Ok(None) => break,
                Err(why) => return why,
            }
        }
    }
}

#[test]
fn a_peer_that_violates_the_protocol_is_refused_with_a_reason_while_others_are_served() {
    let fleet = Fleet::new(1);
    let mut peer = TcpStream::connect(fleet.controls[0]).expect("it connects");
    peer.write_all(&[2, 9, 0]).expect("the bytes are written");
    assert_eq!(refusal_reason(peer), CloseReason::ByPeer("version 9 is not spoken here, 1 is".into()));
    let change = fleet.submit(&["--purge", "a"]).remove(0);
    fleet.wait_for_all(&change);
    fleet.shut_down();
}

#[test]
fn a_store_with_a_damaged_file_does_not_start_and_reports_the_position() {
    let mut fleet = Fleet::new(1);
    fleet.submit(&["--purge", "a", "--purge", "b"]);
    fleet.kill("c0");
    let store = fleet.processes.folder("c0").join("store");
    let mut bytes = std::fs::read(&store).expect("the file");
    let at = bytes.len() - 1;
    bytes[at] ^= 1;
    std::fs::write(&store, &bytes).expect("the bytes are written");
    let conf = fleet.processes.settings("c0").expect("a settings folder").join("control.conf");
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenweir"));
    let command = command.arg("control").arg("--conf").arg(conf).current_dir(fleet.processes.folder("c0"));
    let result = command.env_remove("NODE_CONFIG").output().expect("running");
    let output = String::from_utf8_lossy(&result.stderr).into_owned();
    assert_eq!((result.status.code(), output.lines().count()), (Some(1), 1), "{output}");
    assert!(
        output.starts_with("martenweir: control: store: byte ") && output.contains("damaged"),
        "{output}"
    );
    // The others keep working.
    let change = fleet.submit(&["--purge", "c"]).remove(0);
    fleet.wait_for_all(&change);
    fleet.shut_down();
}
