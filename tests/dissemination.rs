//! Control machines and followers as processes on loopback: three stores, proxies with `control` lines, and every
//! connection between them through a link whose directions are cut apart. Every wait is for an event or for an answer
//! of the command line, with a generous bound; verdicts are on what is told and counted.

use dissemination::frame::{CloseReason, Reader};
use lab::fleet::links::{Condition, Links};
use lab::fleet::log::{Line, Log, Mark, Wanted};
use lab::fleet::processes::{Processes, Spec};
use lab::loopback::children::{guard::in_a_test, Program};
use lab::loopback::Clock;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::Arc;
use std::time::Duration;

/// No step waits longer; far more than any needs.
const PATIENCE: Duration = Duration::from_secs(60);
/// The same for the command line.
const FOR: &str = "60";
const CONTROLS: usize = 3;
/// Nobody listens there.
const NOBODY: &str = "127.0.0.1:1";
const PLACES: [&str; CONTROLS] = ["north/z0/s0", "north/z1/s1", "south/z2/s2"];

/// The program itself: no process of it outlives this test, however that ends.
fn program() -> Program {
    Program::of_test(Path::new(env!("CARGO_BIN_EXE_martenweir")), "guard").expect("the program")
}

/// Not a test of its own: what the processes are started by.
#[test]
#[ignore = "the guard of the other tests' processes"]
fn guard() {
    in_a_test();
}

/// What `martenweir change` says, and its exit status.
fn change(words: &[&str], addresses: &[SocketAddr]) -> (Option<i32>, String) {
    let addresses: Vec<String> = addresses.iter().map(SocketAddr::to_string).collect();
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenweir"));
    let end = command.arg("change").args(words).args(addresses).env_remove("NODE_CONFIG").output();
    let end = end.expect("it runs");
    let said = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (end.status.code(), said(&end.stdout) + &said(&end.stderr))
}

/// The changes that a submission told as acknowledged: stream and number.
fn acknowledged(said: &str) -> Vec<(String, u64)> {
    let change = |line: &str| {
        let (name, _) = line.split_once(" acknowledged: ")?;
        let (stream, number) = name.rsplit_once('.')?;
        Some((stream.to_owned(), number.parse().ok()?))
    };
    said.lines().filter_map(change).collect()
}

struct Fleet {
    processes: Processes,
    links: Links,
    /// Behind what was waited for last, by process.
    heard: BTreeMap<String, Mark>,
    /// Where the control machines listen.
    controls: Vec<SocketAddr>,
    followers: Vec<String>,
    roster: PathBuf,
}

fn control(at: usize) -> String {
    format!("c{at}")
}

impl Fleet {
    /// All of it in service.
    fn new(followers: usize) -> Self {
        let processes = Processes::in_temporary(&Log::new(Clock::start(0))).expect("a fleet");
        let roster = processes.settings("roster").expect("a folder").join("followers");
        let followers: Vec<String> = (0..followers).map(|at| format!("f{at}")).collect();
        std::fs::write(&roster, followers.join("\n")).expect("a file");
        let (links, heard) = (Links::start(1).expect("links"), BTreeMap::new());
        let controls = vec![NOBODY.parse().expect("an address"); CONTROLS];
        let mut fleet = Fleet { processes, links, heard, controls, followers: followers.clone(), roster };
        let all: Vec<usize> = (0..CONTROLS).collect();
        all.iter().for_each(|at| fleet.configure(*at, 1));
        fleet.start_controls(&all);
        followers.iter().for_each(|name| fleet.start_follower(name));
        for name in &followers {
            fleet.hear(name, "in_service");
        }
        fleet
    }

    /// The `control` lines of a process: its own links to all of them.
    fn lines(&self, name: &str) -> String {
        let nobody: SocketAddr = NOBODY.parse().expect("an address");
        let line = |at: usize| {
            let to = self.links.tcp(name, &control(at), "control", nobody).expect("a link");
            format!("control {to} {}\n", PLACES[at])
        };
        (0..CONTROLS).map(line).collect()
    }

    fn file(&self, process: &str, name: &str, text: &str) -> PathBuf {
        let path = self.processes.settings(process).expect("a folder").join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Writes a control machine's file.
    fn configure(&self, at: usize, epoch: u32) {
        let name = control(at);
        let roster = self.roster.display();
        let text = format!(
            "{}controlport 0\ncontrolnumber {at}\ncontrolepoch {epoch}\ncontrolstore store\nfollowers {roster}\n",
            self.lines(&name)
        );
        self.file(&name, "control.conf", &text);
    }

    /// Starts control machines at once; each of them takes submissions when this returns.
    fn start_controls(&mut self, which: &[usize]) {
        for at in which {
            let name = control(*at);
            let conf = self.processes.settings(&name).expect("a folder").join("control.conf");
            let spec = Spec::new(&name, &program()).variable("RUST_LOG", "info");
            let spec = spec.arg("control").arg("--log-format").arg("json").arg("--conf").arg(conf);
            self.processes.start(spec).expect("it starts");
        }
        for at in which {
            let name = control(*at);
            let address = self.hear(&name, "controlling").address().expect("an address");
            self.controls[*at] = address;
            self.links.aim(&name, "control", address).expect("links");
        }
        for at in which {
            self.hear(&control(*at), "takes");
        }
    }

    fn start_follower(&mut self, name: &str) {
        let lines = self.lines(name) + "controlplace north/z0/s9\ntapsample 0.5\n";
        // Links that were made before the control machines were started anew know where they are.
        for at in 0..CONTROLS {
            self.links.aim(&control(at), "control", self.controls[at]).expect("links");
        }
        let conf = self.file(name, "follower.conf", &lines);
        let text = std::fs::read_to_string("examples/config.json").expect("the configuration");
        let mut config: Value = serde_json::from_str(&text).expect("JSON");
        config["name"] = name.into();
        config["listen"] = "127.0.0.1:0".into();
        config["discovery"] = NOBODY.into();
        let config = self.file(name, "follower.json", &config.to_string());
        let spec = Spec::new(name, &program()).variable("RUST_LOG", "info").arg("--log-format").arg("json");
        self.processes.start(spec.arg("--conf").arg(conf).arg(config)).expect("it starts");
    }

    /// Waits for a line of a process, behind those that were waited for before.
    fn hear(&mut self, name: &str, event: &str) -> Arc<Line> {
        self.hear_when(name, Wanted::event(event))
    }

    fn hear_when(&mut self, name: &str, wanted: Wanted) -> Arc<Line> {
        let since = self.heard.entry(name.to_owned()).or_default();
        let line = self.processes.hear(name, *since, &wanted, PATIENCE);
        let line = line.unwrap_or_else(|why| panic!("{why}"));
        *since = line.mark();
        line
    }

    fn kill(&mut self, name: &str) {
        self.processes.kill(name).expect("it runs");
        self.processes.wait(name, PATIENCE).expect("an end");
    }

    /// What befalls both directions between a follower and a control machine.
    fn both(&self, follower: &str, at: usize, condition: &Condition) {
        self.links.set(follower, &control(at), condition.clone()).expect("links");
        self.links.set(&control(at), follower, condition.clone()).expect("links");
    }

    /// Submits; all of it is acknowledged.
    fn submit(&self, words: &[&str]) -> Vec<(String, u64)> {
        let (status, said) = change(&[&["submit"], words].concat(), &self.controls);
        assert_eq!(status, Some(0), "{said}");
        let changes = acknowledged(&said);
        assert!(!changes.is_empty(), "{said}");
        changes
    }

    /// Waits until a change is done; what is said then.
    fn wait(&self, (stream, number): &(String, u64)) -> String {
        let (name, roster) = (format!("{stream}.{number}"), self.roster.display().to_string());
        let words = ["wait", "--for", FOR, "--followers", &roster, &name];
        let (status, said) = change(&words, &self.controls);
        assert_eq!(status, Some(0), "{said}");
        said
    }

    /// Waits until all followers are known to have a change, and nobody is out of service for it.
    fn wait_for_all(&self, change: &(String, u64)) -> String {
        let all = self.followers.len();
        let known = format!("{all} of {all} proxies are known to have it");
        self.until(|| self.wait(change), |said| said.contains(&known))
    }

    fn status(&self, (stream, number): &(String, u64)) -> String {
        let (name, roster) = (format!("{stream}.{number}"), self.roster.display().to_string());
        change(&["status", "--followers", &roster, &name], &self.controls).1
    }

    /// Asks again until the answer is as wanted.
    fn until(&self, ask: impl Fn() -> String, wanted: impl Fn(&str) -> bool) -> String {
        let until = std::time::Instant::now() + PATIENCE;
        loop {
            let said = ask();
            if wanted(&said) {
                return said;
            }
            assert!(std::time::Instant::now() < until, "{said}");
            std::thread::sleep(Duration::from_millis(100));
        }
    }

    /// Ends all; each ends by itself when it is told to.
    fn end(self) {
        assert_eq!(self.processes.end(PATIENCE).expect("an end"), [""; 0]);
    }
}

#[test]
fn what_is_submitted_comes_to_all_and_is_known_to() {
    let mut fleet = Fleet::new(4);
    let purges = fleet.submit(&["--purge", "a", "--purge", "b", "--purge", "c"]);
    assert_eq!(purges.len(), 3);
    let setting = fleet.submit(&["--setting", "tapsample 0.25"]);
    for change in purges.iter().chain(&setting) {
        let said = fleet.wait_for_all(change);
        assert!(!said.contains("not known") && !said.contains("not heard"), "{said}");
    }
    for name in fleet.followers.clone() {
        let line = fleet.hear(&name, "configured");
        assert_eq!(line.text("setting"), Some("tapsample"));
    }
    fleet.end();
}

#[test]
fn a_control_machine_killed_among_changes_loses_none_and_comes_back() {
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
    fleet.end();
}

#[test]
fn a_control_machine_that_hangs_is_named_and_stops_nothing() {
    let fleet = Fleet::new(3);
    fleet.processes.stop("c0").expect("it runs");
    let change = fleet.submit(&["--purge", "a"]).remove(0);
    // Asked of another: the first does not answer.
    fleet.wait_for_all(&change);
    let said = fleet.until(|| fleet.status(&change), |said| said.contains("not heard: 0"));
    assert!(said.contains("3 of 3 proxies"), "{said}");
    fleet.processes.resume("c0").expect("it is held");
    fleet.until(|| fleet.status(&change), |said| said.contains("3 of 3") && !said.contains("not heard"));
    let change = fleet.submit(&["--purge", "b"]).remove(0);
    fleet.wait_for_all(&change);
    fleet.end();
}

/// Each direction between a follower and each control machine alone, in turn: the other way out is enough.
#[test]
fn a_link_cut_one_way_stops_nothing() {
    let fleet = Fleet::new(3);
    for at in 0..CONTROLS {
        let c = control(at);
        for (from, to) in [("f0", c.as_str()), (c.as_str(), "f0")] {
            fleet.links.set(from, to, Condition::cut()).expect("links");
            let change = fleet.submit(&["--purge", &format!("{from}-{to}")]).remove(0);
            fleet.wait_for_all(&change);
            fleet.links.set(from, to, Condition::default()).expect("links");
        }
    }
    fleet.end();
}

#[test]
fn nothing_acknowledged_is_lost_when_all_stores_start_anew_at_once() {
    let mut fleet = Fleet::new(3);
    let mut last: BTreeMap<String, u64> = BTreeMap::new();
    for n in 0..12 {
        last.extend(fleet.submit(&["--purge", &format!("key-{n}")]));
    }
    last.extend(fleet.submit(&["--setting", "tapsample 0.25"]));
    let all: Vec<usize> = (0..CONTROLS).collect();
    all.iter().for_each(|at| fleet.kill(&control(*at)));
    // One of them was writing: the end of what it wrote is missing.
    let store = fleet.processes.folder("c2").join("store");
    let mut file = std::fs::OpenOptions::new().append(true).open(store).expect("the file");
    file.write_all(&[9, 0, 0, 0, 1]).expect("it is written");
    fleet.start_controls(&all);
    let torn = fleet.processes.log().lines(Mark::default(), &Wanted::event("torn"));
    assert_eq!(torn.iter().map(|l| (&*l.process, l.number("bytes"))).collect::<Vec<_>>(), [("c2", Some(5))]);
    for change in &last {
        fleet.wait_for_all(&(change.0.clone(), *change.1));
    }
    // Their numbers go on.
    for n in 0..6 {
        for (stream, number) in fleet.submit(&["--purge", &format!("later-{n}")]) {
            let before = last.insert(stream.clone(), number);
            assert!(before.is_none_or(|b| b < number), "{stream}.{number} behind {before:?}");
        }
    }
    for change in last {
        fleet.wait_for_all(&change);
    }
    fleet.end();
}

#[test]
fn a_follower_that_starts_anew_has_all_of_it() {
    let mut fleet = Fleet::new(3);
    let changes = [fleet.submit(&["--purge", "a"]), fleet.submit(&["--setting", "tapsample 0.25"])].concat();
    changes.iter().for_each(|change| drop(fleet.wait_for_all(change)));
    fleet.kill("f1");
    let late = fleet.submit(&["--setting", "tapbuffer 64 KB"]);
    fleet.start_follower("f1");
    for setting in ["tapsample", "tapbuffer"] {
        let first = fleet.heard.get("f1").copied().unwrap_or_default();
        let wanted = Wanted::event("configured").when(move |l| l.text("setting") == Some(setting));
        fleet.hear_when("f1", wanted);
        // They are numbered by different stores, and come in any order.
        fleet.heard.insert("f1".into(), first);
    }
    for change in changes.iter().chain(&late) {
        fleet.wait_for_all(change);
    }
    fleet.end();
}

#[test]
fn followers_begin_anew_when_the_epoch_is_raised() {
    let mut fleet = Fleet::new(3);
    let change = fleet.submit(&["--setting", "tapsample 0.25"]).remove(0);
    fleet.wait_for_all(&change);
    let all: Vec<usize> = (0..CONTROLS).collect();
    all.iter().for_each(|at| fleet.kill(&control(*at)));
    all.iter().for_each(|at| fleet.configure(*at, 2));
    fleet.start_controls(&all);
    let raised = fleet.processes.log().lines(Mark::default(), &Wanted::event("epoch_raised"));
    assert_eq!(raised.len(), CONTROLS);
    for name in fleet.followers.clone() {
        fleet.hear(&name, "begun_anew");
    }
    let later = fleet.submit(&["--setting", "tapbuffer 64 KB"]).remove(0);
    fleet.wait_for_all(&change);
    fleet.wait_for_all(&later);
    fleet.end();
}

#[test]
fn a_setting_that_all_refuse_is_said_by_all_and_blocks_nothing() {
    let mut fleet = Fleet::new(3);
    let bad = fleet.submit(&["--setting", "tapsample 7"]).remove(0);
    for name in fleet.followers.clone() {
        let line = fleet.hear(&name, "change_refused");
        assert_eq!(line.number("number"), Some(bad.1));
        assert!(line.text("why").is_some_and(|why| why.starts_with("tapsample: a fraction")), "{line}");
    }
    let told = "have it and could not put it in force:\n  f";
    let all = |said: &str| fleet.followers.iter().all(|name| said.contains(name.as_str()));
    fleet.until(|| fleet.wait_for_all(&bad), |said| said.contains(told) && all(said));
    let good = fleet.submit(&["--setting", "tapsample 0.25"]).remove(0);
    fleet.wait_for_all(&good);
    for name in fleet.followers.clone() {
        fleet.hear(&name, "configured");
    }
    fleet.end();
}

#[test]
fn a_follower_cut_from_all_goes_out_of_service_and_is_named() {
    let mut fleet = Fleet::new(3);
    (0..CONTROLS).for_each(|at| fleet.both("f2", at, &Condition::cut()));
    let change = fleet.submit(&["--purge", "a"]).remove(0);
    let said = fleet.wait(&change);
    assert!(said.contains("2 of 3 proxies are known to have it"), "{said}");
    assert!(said.contains("not known to have it:\n  f2\n"), "{said}");
    assert!(said.contains("those not known to have it are out of service"), "{said}");
    fleet.hear("f2", "out_of_service");
    (0..CONTROLS).for_each(|at| fleet.both("f2", at, &Condition::default()));
    fleet.hear("f2", "in_service");
    fleet.wait_for_all(&change);
    fleet.end();
}

#[test]
fn a_submission_beyond_what_can_be_carried_is_refused_with_a_time() {
    let fleet = Fleet::new(1);
    // All about one setting, 3 KB each.
    let lines = (0..160).map(|n| format!("deny 10.0.{n}.0/24")).collect::<Vec<_>>().join("\n");
    let submit = || change(&["submit", "--setting", &lines], &fleet.controls);
    let mut taken = Vec::new();
    let refused = (0..400).find_map(|_| match submit() {
        (Some(0), said) => {
            taken.extend(acknowledged(&said));
            None
        }
        (status, said) => Some((status, said)),
    });
    let (status, said) = refused.expect("it is refused");
    assert_eq!(status, Some(2), "{said}");
    let after = said.split_once("try again after ").and_then(|(_, rest)| rest.split_once(" ms; 1 not taken"));
    assert!(after.is_some_and(|(ms, _)| ms.parse::<u32>().is_ok_and(|ms| ms > 0)), "{said}");
    // It is taken when there is room again, and what was taken before is not lost.
    fleet.until(|| format!("{:?}", submit()), |said| said.contains("acknowledged: "));
    assert!(!taken.is_empty());
    for change in taken {
        fleet.wait_for_all(&change);
    }
    fleet.end();
}

/// What a control machine tells a peer before it closes.
fn last_words(mut socket: TcpStream) -> CloseReason {
    socket.set_read_timeout(Some(PATIENCE)).expect("a time-out");
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
fn a_peer_that_breaks_the_rules_is_told_why_and_cut_while_others_are_served() {
    let fleet = Fleet::new(1);
    let mut stranger = TcpStream::connect(fleet.controls[0]).expect("a connection");
    stranger.write_all(&[2, 9, 0]).expect("it is written");
    assert_eq!(last_words(stranger), CloseReason::ByPeer("version 9 is not spoken here, 1 is".into()));
    let change = fleet.submit(&["--purge", "a"]).remove(0);
    fleet.wait_for_all(&change);
    fleet.end();
}

#[test]
fn a_store_whose_file_is_damaged_does_not_start_and_says_where() {
    let mut fleet = Fleet::new(1);
    fleet.submit(&["--purge", "a", "--purge", "b"]);
    fleet.kill("c0");
    let store = fleet.processes.folder("c0").join("store");
    let mut bytes = std::fs::read(&store).expect("the file");
    let at = bytes.len() - 1;
    bytes[at] ^= 1;
    std::fs::write(&store, &bytes).expect("it is written");
    let conf = fleet.processes.settings("c0").expect("a folder").join("control.conf");
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenweir"));
    let command = command.arg("control").arg("--conf").arg(conf).current_dir(fleet.processes.folder("c0"));
    let end = command.env_remove("NODE_CONFIG").output().expect("it runs");
    let said = String::from_utf8_lossy(&end.stderr).into_owned();
    assert_eq!((end.status.code(), said.lines().count()), (Some(1), 1), "{said}");
    assert!(said.starts_with("martenweir: control: store: byte ") && said.contains("damaged"), "{said}");
    // The others go on.
    let change = fleet.submit(&["--purge", "c"]).remove(0);
    fleet.wait_for_all(&change);
    fleet.end();
}
