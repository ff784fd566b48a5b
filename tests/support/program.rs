//! The platform: starts the program under test with its limits, sends it signals and watches its memory.

use super::line;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::io::{self, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

/// How often the platform looks at the memory of the process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);

/// What a program is started with.
#[derive(Clone, Debug)]
pub struct Start {
    pub memory_mb: u64,
    pub sockets: u64,
    pub members: serde_json::Value,
    /// Port 1 if there is none.
    pub discovery: Option<SocketAddr>,
    /// Replaces `repeat` of the class of writes.
    pub write_repeat: &'static str,
    /// The lines of the operators' file; there is none without any.
    pub features: Vec<String>,
}

impl Start {
    pub fn new(memory_mb: u64, sockets: u64, members: serde_json::Value) -> Self {
        Start { memory_mb, sockets, members, discovery: None, write_repeat: "dedup", features: Vec::new() }
    }
}

/// When the program was told to end, if it was.
#[derive(Clone, Debug, Default)]
pub struct Signalled(Arc<OnceLock<Instant>>);

impl Signalled {
    pub fn set(&self) {
        let _ = self.0.set(Instant::now());
    }

    /// The time since then.
    pub fn since(&self) -> Option<Duration> {
        self.0.get().map(Instant::elapsed)
    }
}

/// The program under test; it ends with this value.
pub struct Program {
    pub child: Child,
    pub address: SocketAddr,
    /// The addresses of its other ports, by their names in the log.
    pub side_ports: BTreeMap<String, SocketAddr>,
    config: PathBuf,
    features: PathBuf,
}

impl Program {
    pub fn start(memory_mb: u64, sockets: u64, members: serde_json::Value) -> Program {
        Program::start_with(Start::new(memory_mb, sockets, members))
    }

    pub fn start_with(start: Start) -> Program {
        static STARTED: AtomicU64 = AtomicU64::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let text = std::fs::read_to_string("tests/exchanges/config.json").expect("the configuration");
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        config["listen"] = "127.0.0.1:0".into();
        let discovery = start.discovery.map_or("127.0.0.1:1".into(), |address| address.to_string());
        config["discovery"] = discovery.into();
        config["limits"]["memory_mb"] = start.memory_mb.into();
        config["limits"]["sockets"] = start.sockets.into();
        config["known"]["members"] = start.members;
        config["settings"]["classes"][1]["repeat"] = start.write_repeat.into();
        let path =
            std::env::temp_dir().join(format!("martenweir-process-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("a file");
        let features = path.with_extension("conf");
        std::fs::write(&features, start.features.join("\n")).expect("a file");
        // Another build can be put under the same tests, to compare the two.
        let built = std::env::var("MARTENWEIR").unwrap_or(env!("CARGO_BIN_EXE_martenweir").into());
        let mut command = Command::new(built);
        if !start.features.is_empty() {
            command.arg("--conf").arg(&features);
        }
        let mut child = command.arg(&path).stderr(Stdio::piped()).spawn().expect("it starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let (_, address) = listening(&line(&mut log).expect("a line")).expect("its address");
        let mut side_ports = BTreeMap::new();
        loop {
            let logged = line(&mut log).expect("a line");
            side_ports.extend(listening(&logged));
            if logged.ends_with("ready") {
                break;
            }
        }
        // The program must not wait for a reader of its log.
        let shown = std::env::var_os("SHOW_LOG").is_some();
        thread::spawn(move || match shown {
            true => io::copy(&mut log, &mut io::stderr()),
            false => io::copy(&mut log, &mut io::sink()),
        });
        Program { child, address, side_ports, config: path, features }
    }

    pub fn signal(&self, signal: Signal) {
        let id = Pid::from_raw(self.child.id() as i32).expect("a process");
        let _ = kill_process(id, signal);
    }

    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }

    /// The memory of the process now, in bytes.
    pub fn memory(&self) -> u64 {
        memory(&std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default())
    }

    /// Watches the memory of the process until `over` is set; returns the most that was seen, in bytes.
    pub fn watch_memory(&self, over: &Arc<AtomicBool>) -> thread::JoinHandle<u64> {
        let (path, over) = (format!("/proc/{}/status", self.child.id()), over.clone());
        thread::spawn(move || {
            let mut peak = 0;
            while !over.load(Ordering::Relaxed) {
                peak = peak.max(memory(&std::fs::read_to_string(&path).unwrap_or_default()));
                thread::sleep(MEMORY_INTERVAL);
            }
            peak
        })
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
        let _ = std::fs::remove_file(&self.features);
    }
}

/// The name and the address of a port, if this line of the log tells that it is open.
fn listening(logged: &str) -> Option<(String, SocketAddr)> {
    let (name, address) = logged.split_once(": listening on ")?;
    let address = address.split(',').next()?.parse().ok()?;
    Some((name.rsplit(' ').next()?.to_owned(), address))
}

/// The memory that is no file's (`RssAnon` and `RssShmem`, see proc(5)), in bytes.
fn memory(status: &str) -> u64 {
    let fields = status.lines().filter_map(|line| line.split_once(':'));
    let counted = fields.filter(|(name, _)| matches!(*name, "RssAnon" | "RssShmem"));
    counted.filter_map(|(_, size)| size.trim().strip_suffix(" kB")?.parse::<u64>().ok()).sum::<u64>() * 1024
}
