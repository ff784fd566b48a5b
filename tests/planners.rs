//! Tests of planners and forwarders as processes on loopback: which nodes planners find silent, which peers
//! they refuse, and how they shut down. The test plays the nodes, discovery and the clients. It only waits
//! for events, with a generous timeout.

use lab::fleet::log::{Line, LineFilter, Log, Mark};
use lab::fleet::processes::{Processes, Spec};
use lab::loopback::children::{guard::run_in_test, Program};
use lab::loopback::Clock;
use plan::frame::{self, Reader, Refused};
use plan::message::{Hello, Message, Report};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::ffi::OsStr;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of every step, far longer than any of them needs.
const TIMEOUT: Duration = Duration::from_secs(40);
const FORWARDERS: usize = 3;
const NODES: usize = 4;

/// The program under test, started through a guard so that no process outlives the test.
fn program() -> Program {
    Program::of_test(Path::new(env!("CARGO_BIN_EXE_martenweir")), "guard").expect("the program")
}

/// Not a test itself: the guard process that starts the others.
#[test]
#[ignore = "the guard of the other tests' processes"]
fn guard() {
    run_in_test();
}

/// The running planners and forwarders.
struct Fleet {
    processes: Processes,
    /// The position in each process's log up to which lines have been waited for.
    log_marks: BTreeMap<String, Mark>,
}

impl Fleet {
    fn new() -> Self {
        let processes = Processes::in_temporary(&Log::new(Clock::start(0))).expect("a fleet");
        Fleet { processes, log_marks: BTreeMap::new() }
    }

    fn start(&mut self, name: &str, words: &[&OsStr], event: &str) -> SocketAddr {
        let spec = Spec::new(name, &program()).variable("RUST_LOG", "info").arg("--log-format").arg("json");
        let spec = match event {
            // The options of a subcommand follow its name.
            "planning" => Spec { arguments: vec!["planner".into()], ..spec }.arg("--log-format").arg("json"),
            _ => spec,
        };
        let spec = words.iter().fold(spec, |spec, word| spec.arg(word));
        self.processes.start(spec).expect("it starts");
        self.wait_for_line(name, LineFilter::event(event)).address().expect("an address")
    }

    fn planner(&mut self, name: &str, forwarders: usize) -> SocketAddr {
        let lines = format!("plannerport 0\nplanforwarders {forwarders}\n");
        let conf = self.file(name, "planner.conf", &lines);
        self.start(name, &["--conf".as_ref(), conf.as_ref()], "planning")
    }

    /// Writes a configuration file of a process.
    fn file(&self, process: &str, name: &str, text: &str) -> PathBuf {
        let path = self.processes.settings(process).expect("a folder").join(name);
        std::fs::write(&path, text).expect("a file");
        path
    }

    /// Waits for a log line of a process after the last one that was waited for.
    fn wait_for_line(&mut self, name: &str, wanted: LineFilter) -> Arc<Line> {
        let since = self.log_marks.entry(name.to_owned()).or_default();
        let line = self.processes.wait_for_line(name, *since, &wanted, TIMEOUT);
        let line = line.unwrap_or_else(|why| panic!("{why}"));
        *since = line.mark();
        line
    }

    fn terminate(&mut self, name: &str) {
        self.processes.terminate(name).expect("it runs");
        self.wait_for_line(name, LineFilter::event("ended"));
        let status = self.processes.wait(name, TIMEOUT).expect("an end");
        assert!(status.success(), "{name}: {status}");
    }
}

fn line(from: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (from.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
}

/// Serves each connection on its own thread.
fn serve(each: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let each = each.clone();
            thread::spawn(move || each(socket));
        }
    });
    address
}

/// A node that answers every request with a hit, unless it is silent.
fn node(socket: TcpStream, silent: &AtomicBool) {
    let mut from = BufReader::new(socket.try_clone().expect("a socket"));
    let mut to = socket;
    while let Some(head) = line(&mut from) {
        let words = head.trim_start_matches('*').parse().unwrap_or(0);
        let words: Vec<Option<String>> = (0..2 * words).map(|_| line(&mut from)).collect();
        let asked = words.get(1).is_some_and(|w| w.as_deref() == Some("CACHE.GET"));
        if !silent.load(Ordering::SeqCst) {
            let hit: &[u8] = b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n";
            let _ = to.write_all(if asked { hit } else { b"$14\r\nutil=0.1,eps=0\r\n" });
        }
    }
}

fn discovery(mut socket: TcpStream) {
    let _ = socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    while socket.write_all(b"1\r\n\n\r\n").is_ok() {
        thread::sleep(Duration::from_secs(1));
    }
}

/// Sends reads of many keys, 8 at a time, until `over` is set; counts the returned values.
fn client(address: SocketAddr, served: &AtomicUsize, over: &AtomicBool) {
    let mut to = TcpStream::connect(address).expect("a connection");
    let mut from = BufReader::new(to.try_clone().expect("a socket"));
    let mut n = 0;
    while !over.load(Ordering::SeqCst) {
        for _ in 0..8 {
            n += 1;
            let (key, id) = (format!("{n:x}"), format!("{}-{n}", address.port()));
            let words = ["CACHE.GET", &key, &id, "c=lookup,t=nordurbanki,d=500"];
            let words: String = words.iter().map(|w| format!("${}\r\n{w}\r\n", w.len())).collect();
            to.write_all(format!("*4\r\n{words}").as_bytes()).expect("it is written");
        }
        for _ in 0..8 {
            let Some(head) = line(&mut from) else { return };
            if head.starts_with('$') {
                line(&mut from);
                served.fetch_add(1, Ordering::SeqCst);
            }
        }
        thread::sleep(Duration::from_millis(40));
    }
}

fn configuration(at: usize, nodes: &[SocketAddr], discovery: SocketAddr) -> String {
    let text = std::fs::read_to_string("examples/config.json").expect("the configuration");
    let mut config: Value = serde_json::from_str(&text).expect("JSON");
    let member = |(i, address): (usize, &SocketAddr)| {
        json!({ "id": format!("s-{i}"), "host_port": address.to_string(), "locality": "hofdi",
            "flavor": "full-node", "cell": 0, "phase": "SERVING", "size": 1.0, "up_since_ms": 0 })
    };
    config["name"] = format!("f-{at}").into();
    config["listen"] = "127.0.0.1:0".into();
    config["discovery"] = discovery.to_string().into();
    config["known"]["members"] = nodes.iter().enumerate().map(member).collect();
    config["settings"]["balancers"] = FORWARDERS.into();
    config["settings"]["tenants"][0]["quotaPerS"] = 1e6.into();
    config.to_string()
}

fn show(planner: SocketAddr, words: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_martenweir"));
    let command = command.args(["plan", "show", &planner.to_string()]).args(words).env_remove("NODE_CONFIG");
    command.output().expect("it runs")
}

#[test]
fn all_forwarders_avoid_a_silent_node_until_it_answers_again() {
    let (silent, over) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    let nodes: Vec<SocketAddr> = (0..NODES)
        .map(|at| {
            let silent = if at == 0 { silent.clone() } else { Arc::default() };
            serve(move |socket| node(socket, &silent))
        })
        .collect();
    let discovery = serve(discovery);
    let mut fleet = Fleet::new();
    let planners = ["p0", "p1"].map(|name| fleet.planner(name, FORWARDERS));
    let lines = planners.iter().map(|p| format!("planner {p}\n")).collect::<String>();
    let names: Vec<String> = (0..FORWARDERS).map(|at| format!("f{at}")).collect();
    let (served, mut clients) = (Arc::new(AtomicUsize::new(0)), Vec::new());
    for (at, name) in names.iter().enumerate() {
        let conf = fleet.file(name, "forwarder.conf", &lines);
        let config = fleet.file(name, "forwarder.json", &configuration(at, &nodes, discovery));
        let words = ["--conf".as_ref(), conf.as_ref(), config.as_ref()];
        let address = fleet.start(name, &words, "listening");
        let (served, over) = (served.clone(), over.clone());
        clients.push(thread::spawn(move || client(address, &served, &over)));
    }
    let until = Instant::now() + TIMEOUT;
    let shown = loop {
        let shown: Value = serde_json::from_slice(&show(planners[0], &["--json"]).stdout).expect("JSON");
        if shown["warm"] == true && shown["terms"].as_array().is_some_and(|t| t.len() == NODES) {
            break shown;
        }
        assert!(Instant::now() < until, "{shown:#}");
        thread::sleep(Duration::from_millis(100));
    };
    assert_eq!(shown["evidence"], json!({ "forwarders": FORWARDERS, "witnesses": FORWARDERS }));
    assert_eq!(shown["silent"], json!([]), "{shown:#}");

    silent.store(true, Ordering::SeqCst);
    let what = |event| LineFilter::event(event).when(|l| l.text("what") == Some("node s-0"));
    names.iter().for_each(|name| drop(fleet.wait_for_line(name, what("plan_avoids"))));
    let table = String::from_utf8(show(planners[0], &[]).stdout).expect("text");
    assert!(table.contains("witnesses\n") && table.contains(" all "), "{table}");

    // The first forwarder that probes the node gets an answer, and the planners pass that on to the others.
    fleet.terminate("p1");
    silent.store(false, Ordering::SeqCst);
    names.iter().for_each(|name| drop(fleet.wait_for_line(name, what("plan_returns"))));

    // The forwarders keep serving without any planner.
    fleet.terminate("p0");
    let before = served.load(Ordering::SeqCst);
    let until = Instant::now() + TIMEOUT;
    while served.load(Ordering::SeqCst) < before + 200 {
        assert!(Instant::now() < until, "nothing is served");
        thread::sleep(Duration::from_millis(20));
    }
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|client| client.join().expect("a client"));
    names.iter().for_each(|name| fleet.terminate(name));
}

/// The reason that a planner sends before it closes a connection.
fn close_reason(mut socket: TcpStream) -> Refused {
    socket.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
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
fn a_peer_that_violates_the_protocol_is_closed_with_a_reason_and_others_are_served() {
    let mut fleet = Fleet::new();
    let planner = fleet.planner("p0", 1);
    let connect = || TcpStream::connect(planner).expect("a connection");
    let mut stranger = connect();
    stranger.write_all(&[0, 0, 0, 2, 9, 0]).expect("it is written");
    let why = close_reason(stranger);
    assert_eq!(why, Refused::ByPeer("version 9 is not spoken here, 1 is".into()));

    let mut flood = connect();
    let hello = Hello {
        forwarder: plan::ForwarderId(1),
        life: 1,
        zone: plan::Zone(0),
        holds: plan::PlanNumber::default(),
        tenants: 0,
    };
    let mut bytes = frame::encode(&Message::Hello(hello)).expect("a frame");
    for number in 1..200 {
        let report = Message::Report(Report { number, ..Report::default() });
        bytes.extend(frame::encode(&report).expect("a frame"));
    }
    flood.write_all(&bytes).expect("it is written");
    assert_eq!(close_reason(flood), Refused::ByPeer("more messages than a peer may send".into()));

    let shown = show(planner, &["--json"]);
    assert!(shown.status.success(), "{shown:?}");
    fleet.terminate("p0");
}
