//! The operators' test of planners, on one machine: twenty forwarders and three planners as processes, ten
//! stand-in nodes of which three go silent at once. It tells when each forwarder has stopped sending to them,
//! while planners are killed one after the other, and then the same without planners.
//!
//! `cargo run --release -p lab --example operators_planners [SECONDS]`
//!
//! A forwarder avoids a silent node from its last request there that came within a second of another one of
//! its: trials, which are seconds apart, are none. What its clients lose is told beside it. Processes are this
//! very program, guarded; they end when this one does. Whether the machine was the cause is told as well.

use lab::fleet::log::{LineFilter, Log, Mark};
use lab::fleet::machine::{Bound, Machine, Seen};
use lab::fleet::processes::{Processes, Spec};
use lab::loopback::children::{guard, Program};
use lab::loopback::Clock;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

const FORWARDERS: usize = 20;
const PLANNERS: usize = 3;
const NODES: usize = 10;
const SILENT: usize = 3;
/// Requests a second to each forwarder, and connections that they go over.
const RATE: f64 = 40.0;
const CONNECTIONS: usize = 8;
/// What a node takes to answer.
const SERVICE: Duration = Duration::from_millis(4);
/// Before the nodes fall silent, and after; the aim is that all avoid them within two seconds.
const BEFORE: f64 = 8.0;
const AFTER: f64 = 10.0;
/// When planners are killed, after the nodes fell silent.
const KILLS: [f64; 2] = [0.4, 0.9];
/// Two requests of a forwarder to a node within this time mean that it does not avoid it.
const TOGETHER: f64 = 1.0;
/// How long a process has until it listens.
const READY: Duration = Duration::from_secs(10);

/// What the stand-in nodes and clients see.
struct Scene {
    from: Instant,
    silent: AtomicBool,
    /// Arrivals at silent nodes since they are, by node and forwarder, in seconds of the scene.
    arrivals: Mutex<BTreeMap<(usize, usize), Vec<f64>>>,
    asked: AtomicUsize,
    served: AtomicUsize,
    over: AtomicBool,
}

impl Scene {
    fn now(&self) -> f64 {
        self.from.elapsed().as_secs_f64()
    }
}

fn line(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = String::new();
    Ok((from.read_line(&mut line)? > 0).then(|| line.trim_end().to_owned()))
}

fn serve(each: impl Fn(TcpStream) -> io::Result<()> + Clone + Send + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let each = each.clone();
            let _ = thread::Builder::new().stack_size(128 * 1024).spawn(move || each(socket));
        }
    });
    Ok(address)
}

/// A stand-in node: answers everything with a hit, until it says nothing any more.
fn node(at: usize, socket: TcpStream, scene: &Scene) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let mut from = BufReader::new(socket.try_clone()?);
    let mut to = socket;
    while let Some(head) = line(&mut from)? {
        let mut words = Vec::new();
        for _ in 0..head.trim_start_matches('*').parse().unwrap_or(0) {
            line(&mut from)?;
            words.extend(line(&mut from)?);
        }
        let asked = words.first().is_some_and(|w| w == "CACHE.GET");
        if at < SILENT && scene.silent.load(Ordering::SeqCst) {
            let of = words.get(2).and_then(|id| id.split('-').next()?.parse().ok());
            if let Some(of) = of.filter(|_| asked) {
                let mut all = scene.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
                all.entry((at, of)).or_default().push(scene.now());
            }
            continue;
        }
        thread::sleep(SERVICE);
        match asked {
            true => to.write_all(b"*3\r\n$5\r\nvalue\r\n$3\r\nhit\r\n$-1\r\n")?,
            false => to.write_all(b"$14\r\nutil=0.1,eps=0\r\n")?,
        }
    }
    Ok(())
}

fn discovery(mut socket: TcpStream) -> io::Result<()> {
    let mut from = BufReader::new(socket.try_clone()?);
    while line(&mut from)?.is_some_and(|l| !l.is_empty()) {}
    socket.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    loop {
        socket.write_all(b"1\r\n\n\r\n")?;
        thread::sleep(Duration::from_secs(2));
    }
}

/// The clients of one forwarder: requests at an even pace with drawn gaps, over some connections.
fn clients(of: usize, address: SocketAddr, scene: &Arc<Scene>) -> io::Result<()> {
    let mut sockets = Vec::new();
    for _ in 0..CONNECTIONS {
        let socket = TcpStream::connect(address)?;
        socket.set_nodelay(true)?;
        let (reader, scene) = (socket.try_clone()?, scene.clone());
        thread::Builder::new().stack_size(128 * 1024).spawn(move || {
            let mut from = BufReader::new(reader);
            while let Ok(Some(head)) = line(&mut from) {
                if let Some(n) = head.strip_prefix('$').and_then(|n| n.parse::<usize>().ok()) {
                    if from.read_exact(&mut vec![0; n + 2]).is_err() {
                        return;
                    }
                    scene.served.fetch_add(1, Ordering::Relaxed);
                }
            }
        })?;
        sockets.push(socket);
    }
    let mut random = Xoshiro256PlusPlus::seed_from_u64(of as u64);
    let mut at = scene.now();
    let mut n = 0;
    while !scene.over.load(Ordering::Relaxed) {
        at += -(1.0 - random.random::<f64>()).ln() / RATE;
        thread::sleep(Duration::from_secs_f64((at - scene.now()).max(0.0)));
        let key = format!("{:x}", random.random_range(1..100_000u32));
        let id = format!("{of}-{n}");
        let mut command = String::from("*4\r\n");
        for word in ["CACHE.GET", &key, &id, "c=lookup,d=1000"] {
            let _ = write!(command, "${}\r\n{word}\r\n", word.len());
        }
        scene.asked.fetch_add(1, Ordering::Relaxed);
        sockets[n % CONNECTIONS].write_all(command.as_bytes())?;
        n += 1;
    }
    Ok(())
}

fn config(at: usize, discovery: SocketAddr, nodes: &[SocketAddr]) -> String {
    let members: Vec<_> = nodes
        .iter()
        .enumerate()
        .map(|(i, address)| {
            json!({ "id": format!("s-{i}"), "host_port": address.to_string(), "locality": "one",
                "flavor": "node", "cell": 0, "phase": "SERVING", "size": 1.0, "up_since_ms": 0 })
        })
        .collect();
    let class = json!({ "name": "lookup", "onTimeMs": 500.0, "hardLimitMs": 1000.0, "repeat": "retryable" });
    json!({
        "name": format!("f-{at}"),
        "listen": "127.0.0.1:0",
        "discovery": discovery.to_string(),
        "seed": format!("{at:x}"),
        "known": { "revision": 1, "complete": true, "members": members },
        "settings": {
            "balancers": FORWARDERS, "me": at, "zone": 0, "periodMs": 5.0, "discovery": "automatic",
            "classes": [class], "tenants": [], "zones": ["one"], "flavors": ["node"],
            "limits": { "dialTimeoutMs": 500.0, "keepaliveMs": 60000.0, "maxAttempts": 3, "maxOpen": 1000,
                "probes": false, "secondCopies": true },
            "rules": { "coldFrom": 0.2, "coldMs": 20000.0, "fallMultiple": 3.0, "graceToAnswerMs": 20.0,
                "overloadForMs": 1000.0 },
            "stats": { "columns": ["err_rps", "cpu"], "source": "on_probe" }
        }
    })
    .to_string()
}

struct Told {
    /// When each forwarder avoided all silent nodes, in seconds since they were; sorted.
    avoided: Vec<f64>,
    asked: usize,
    lost: usize,
    /// Requests that reached silent nodes.
    reached: usize,
    machine: Seen,
}

/// What is started, with the form of the log that the fleet reads.
fn spec(name: &str, words: &[&str], conf: &Path) -> io::Result<Spec> {
    let spec = words.iter().fold(Spec::new(name, &Program::own()?), |spec, word| spec.arg(word));
    Ok(spec.arg("--conf").arg(conf).arg("--log-format").arg("json").variable("RUST_LOG", "info"))
}

/// Where a process listens, once it does.
fn listening(processes: &Processes, name: &str, event: &str) -> io::Result<SocketAddr> {
    let line = processes
        .wait_for_line(name, Mark::default(), &LineFilter::event(event), READY)
        .map_err(io::Error::other)?;
    line.address().ok_or_else(|| io::Error::other(format!("{name} does not tell where it listens")))
}

fn play(processes: &Processes, with_planners: bool, after: f64) -> io::Result<Told> {
    let machine = Machine::watch(Some(processes.roster()))?;
    let scene = Arc::new(Scene {
        from: Instant::now(),
        silent: AtomicBool::new(false),
        arrivals: Mutex::default(),
        asked: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        over: AtomicBool::new(false),
    });
    let mut nodes = Vec::new();
    for at in 0..NODES {
        let scene = scene.clone();
        nodes.push(serve(move |socket| node(at, socket, &scene))?);
    }
    let discovery = serve(discovery)?;
    let settings = |name: &str, file: &str, text: &str| -> io::Result<PathBuf> {
        let path = processes.settings(name).map_err(io::Error::other)?.join(file);
        std::fs::write(&path, text)?;
        Ok(path)
    };
    let mut planners: Vec<String> = Vec::new();
    let mut lines = String::new();
    for at in 0..if with_planners { PLANNERS } else { 0 } {
        let name = format!("p{at}");
        let text = format!("plannerport 0\nplanforwarders {FORWARDERS}\n");
        let conf = settings(&name, "planner.conf", &text)?;
        processes.start(spec(&name, &["planner"], &conf)?).map_err(io::Error::other)?;
        let _ = writeln!(lines, "planner {}", listening(processes, &name, "planning")?);
        planners.push(name);
    }
    let mut forwarders = Vec::new();
    for at in 0..FORWARDERS {
        let name = format!("f{at}");
        let conf = settings(&name, "forwarder.conf", &lines)?;
        let config = settings(&name, "config.json", &config(at, discovery, &nodes))?;
        forwarders.push(spec(&name, &[], &conf)?.arg(config));
    }
    processes.start_many(forwarders).map_err(io::Error::other)?;
    let mut senders = Vec::new();
    for at in 0..FORWARDERS {
        let listen = listening(processes, &format!("f{at}"), "listening")?;
        let scene = scene.clone();
        senders.push(thread::spawn(move || clients(at, listen, &scene)));
    }
    thread::sleep(Duration::from_secs_f64(BEFORE));
    let (asked, served) = (scene.asked.load(Ordering::Relaxed), scene.served.load(Ordering::Relaxed));
    let hang = scene.now();
    scene.silent.store(true, Ordering::SeqCst);
    for kill in KILLS {
        thread::sleep(Duration::from_secs_f64((hang + kill - scene.now()).max(0.0)));
        if let Some(planner) = planners.pop() {
            processes.kill(&planner).map_err(io::Error::other)?;
        }
    }
    thread::sleep(Duration::from_secs_f64((hang + after - scene.now()).max(0.0)));
    scene.over.store(true, Ordering::Relaxed);
    let broken = senders.into_iter().filter(|s| !s.is_finished()).count();
    thread::sleep(Duration::from_millis(1500));
    let asked = scene.asked.load(Ordering::Relaxed) - asked;
    let served = scene.served.load(Ordering::Relaxed) - served;
    let machine = machine.seen();
    if broken < FORWARDERS {
        return Err(io::Error::other(format!("{} forwarders lost their clients", FORWARDERS - broken)));
    }
    let arrivals = scene.arrivals.lock().unwrap_or_else(PoisonError::into_inner);
    let last = |of: usize| {
        let each = (0..SILENT).filter_map(|at| arrivals.get(&(at, of))).map(|times| {
            let together = times.windows(2).filter(|w| w[1] - w[0] <= TOGETHER).map(|w| w[1]).next_back();
            together.or(times.first().copied()).unwrap_or(hang) - hang
        });
        each.fold(0.0, f64::max)
    };
    let mut avoided: Vec<f64> = (0..FORWARDERS).map(last).collect();
    avoided.sort_by(f64::total_cmp);
    let reached = arrivals.values().map(Vec::len).sum();
    Ok(Told { avoided, asked, lost: asked.saturating_sub(served), reached, machine })
}

fn tell(name: &str, told: &Told) {
    let times: Vec<String> = told.avoided.iter().map(|t| format!("{t:.2}")).collect();
    let median = (told.avoided[FORWARDERS / 2 - 1] + told.avoided[FORWARDERS / 2]) / 2.0;
    let worst = told.avoided.last().copied().unwrap_or_default();
    println!("{name}: median {median:.2} s, worst {worst:.2} s; each: {}", times.join(" "));
    let (asked, lost, reached) = (told.asked, told.lost, told.reached);
    println!("  of {asked} requests since, {reached} reached silent nodes and {lost} got no value");
    println!("  {}", told.machine);
    if let Some(why) = told.machine.void(&Bound::default()) {
        println!("  {why}");
    }
}

fn operators(after: f64) -> io::Result<()> {
    println!("{FORWARDERS} forwarders, {NODES} nodes, {SILENT} go silent; {RATE} requests a second each");
    for (name, planners) in [("three planners, killed after 0.4 and 0.9 s", true), ("no planners", false)] {
        let log = Log::new(Clock::start(0));
        let processes = Processes::in_temporary(&log)?;
        let told = play(&processes, planners, after);
        if told.is_err() || std::env::var_os("KEEP_LOGS").is_some() {
            let kept = tempfile::Builder::new().prefix("operators_planners-").suffix(".jsonl").tempfile()?;
            log.write(kept.path())?;
            eprintln!("the log is kept in {}", kept.into_temp_path().keep()?.display());
        }
        tell(name, &told?);
    }
    Ok(())
}

fn main() -> ExitCode {
    // Its processes are this same program, started by itself.
    if let Some(ended) = guard::run_if_child() {
        return ended;
    }
    let seconds = std::env::args().nth(1).and_then(|w| w.parse().ok()).unwrap_or(AFTER);
    match operators(seconds) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("operators_planners: {e}");
            ExitCode::FAILURE
        }
    }
}
