//! The stand-ins around a proxy: cache nodes, the origin, discovery, and the platform that starts, signals and
//! ends the program. Each behaves as the users' pages say, unless a case scripts otherwise.

use crate::wire::*;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// What was sent, answered and run, in the order in which the stand-ins saw it.
pub struct Journal {
    pub started: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Journal {
    pub fn new() -> Arc<Self> {
        Arc::new(Journal { started: Instant::now(), lines: Mutex::default() })
    }

    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn note(&self, text: impl Into<String>) {
        let at = self.now();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn text(&self) -> String {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut out = String::new();
        for (at, line) in lines {
            let _ = writeln!(out, "{:10.4} {line}", at.as_secs_f64());
        }
        out
    }
}

/// The load that every server reports.
const LOAD: &str = "eps=0.0,util=0.30";

/// The value of a request: no other request has the same.
fn value_of(id: &str, size: usize) -> Vec<u8> {
    let mut value = format!("value-of-{id}").into_bytes();
    while value.len() < size {
        value.push(b'.');
    }
    value
}

/// A cache node or the origin: answers each command with the value or the receipt after the same time.
#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub origin: bool,
    pub value_bytes: usize,
    /// How long a command takes.
    pub work: Duration,
    pub journal: Arc<Journal>,
}

impl Server {
    /// Starts serving on a free port; returns the address.
    pub fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = self.clone();
                // The end of a connection is the proxy's to choose.
                thread::spawn(move || match server.origin {
                    true => server.serve_http(stream),
                    false => server.serve_resp(stream),
                });
            }
        });
        address
    }

    /// Carries out a command; returns the value or the receipt.
    fn run(&self, command: &str, key: &str, id: &str, properties: &str) -> Vec<u8> {
        self.journal.note(format!("{} got {command} id={id} key={key} {properties}", self.name));
        thread::sleep(self.work);
        value_of(id, self.value_bytes)
    }

    fn serve_resp(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        loop {
            let words = reader.command()?;
            let word = |at: usize| {
                words.get(at).map(|w| String::from_utf8_lossy(w).into_owned()).unwrap_or_default()
            };
            match word(0).as_str() {
                command @ ("CACHE.GET" | "CACHE.SET") => {
                    let value = self.run(command, &word(1), &word(2), &word(3));
                    out.write_all(&put_node_reply(&value, "hit"))?;
                }
                "INFO" => out.write_all(format!("${}\r\n{LOAD}\r\n", LOAD.len()).as_bytes())?,
                "PING" => out.write_all(b"+PONG\r\n")?,
                "CLIENT" | "SELECT" => out.write_all(b"+OK\r\n")?,
                _ => out.write_all(b"-SYNTAX\r\n")?,
            }
        }
    }

    fn serve_http(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut out = stream.try_clone()?;
        let mut reader = Reader::new(stream);
        loop {
            let (first, headers) = reader.head()?;
            let header = |name: &str| {
                headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str()).unwrap_or_default()
            };
            reader.exact(header("content-length").parse().unwrap_or(0))?;
            let mut words = first.split(' ');
            let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
            let body = match path {
                "/stats" | "/health/live" => Vec::new(),
                key => self.run(method, key.trim_start_matches('/'), header("x-trace-id"), header("x-props")),
            };
            out.write_all(&put_http("200 OK", &format!("Endpoint-Load-Metrics: {LOAD}\r\n"), &body))?;
        }
    }
}

/// A listed server, which has run for long.
pub struct Entry {
    id: String,
    address: SocketAddr,
    zone: &'static str,
    kind: &'static str,
    cell: usize,
}

impl Entry {
    /// The entry of the server with this number, which runs at `address`.
    pub fn new(site: Site, number: usize, origin: bool, address: SocketAddr) -> Entry {
        Entry {
            id: format!("s-{number}"),
            address,
            zone: site.zones[number % 2],
            kind: if origin { "origin" } else { site.kind },
            cell: number,
        }
    }

    fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":{},\
             \"phase\":\"SERVING\",\"size\":1.0,\"up_since_ms\":0}}",
            self.id, self.address, self.zone, self.kind, self.cell
        )
    }
}

/// The agent of discovery: tells each watch the whole list, and sends an empty line every 2 s. Nothing changes.
pub struct Discovery {
    pub address: SocketAddr,
    /// The whole list.
    pub list: String,
}

impl Discovery {
    pub fn start(entries: &[Entry], journal: &Arc<Journal>) -> Discovery {
        const BLANK_INTERVAL: Duration = Duration::from_secs(2);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let members: Vec<String> = entries.iter().map(Entry::json).collect();
        let list = format!("{{\"revision\":41,\"complete\":true,\"members\":[{}]}}", members.join(","));
        let (told, journal) = (list.clone(), journal.clone());
        let watch = move |stream: TcpStream| -> io::Result<()> {
            stream.set_nodelay(true)?;
            let mut out = stream.try_clone()?;
            let (first, _) = Reader::new(stream).head()?;
            journal.note(format!("discovery got {first}"));
            out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
            put_chunk(&mut out, &told)?;
            loop {
                thread::sleep(BLANK_INTERVAL);
                put_chunk(&mut out, "")?;
            }
        };
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let watch = watch.clone();
                thread::spawn(move || watch(stream));
            }
        });
        Discovery { address, list }
    }
}

fn put_chunk(out: &mut TcpStream, line: &str) -> io::Result<()> {
    out.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

/// A small deployment of a site: its settings, and the names that clients and lists use.
#[derive(Clone, Copy)]
pub struct Site {
    settings: &'static str,
    zones: [&'static str; 2],
    kind: &'static str,
    /// The class of reads and a tenant, as a client names them.
    pub read: &'static str,
    /// The class of writes and a tenant.
    pub write: &'static str,
    memory_mb: u32,
    descriptors: u32,
}

impl Site {
    /// The example of the wire page.
    pub const REYKJAVIK: Site = Site {
        settings: r#"{"balancers":2,"charges":{"connection":0.03,"probe":0.014},
"classes":[{"group":"all","hardLimitMs":2000.0,"lateValue":0.0,"name":"lookup","onTimeMs":750.0,"points":1.0,
"repeat":"retryable","streamed":false,"windowMs":5000.0},{"group":"all","hardLimitMs":2500.0,"lateValue":0.0,
"name":"instruct","onTimeMs":1200.0,"points":3.0,"repeat":"dedup","streamed":false,"windowMs":4000.0}],
"clients":{"marksRetry":true},"discovery":"automatic","familyInfo":{"mode":"aside","originFallMs":3000.0,
"originFallMultiple":2.5,"originKind":1},"flavors":["full-node","origin"],
"limits":{"cancelling":true,"dialTimeoutMs":250.0,"keepaliveMs":60000.0,"maxAttempts":4,"maxOpen":24289,
"maxRetryAfterMs":1000.0,"multiplex":100,"peers":false,"probes":true,"retryAfter":true,"secondCopies":true},
"me":0,"overShareWorth":0.2,"periodMs":5.0,"rules":{"askWithinMs":10000.0,"coldFrom":0.15,"coldMs":23000.0,
"drainGraceMs":2500.0,"fallMultiple":3.0,"graceToAnswerMs":20.0,"overloadForMs":1000.0},
"stages":["lookup-cache"],"stats":{"columns":["err_rps","cpu"],"source":"on_probe"},
"tenants":[{"name":"nordurbanki","quotaPerS":500.0,"share":0.6},{"name":"hafnarbanki","quotaPerS":500.0,
"share":0.4}],"tier":0,"weights":"nominal","workload":"cache","worthBy":"request","zone":0,
"zones":["hofdi","grafarholt"]}"#,
        zones: ["hofdi", "grafarholt"],
        kind: "full-node",
        read: "c=lookup,t=nordurbanki",
        write: "c=instruct,t=nordurbanki",
        memory_mb: 192,
        descriptors: 1024,
    };

    /// The other deployment of the users' kit, from its site file.
    pub const SOFIA: Site = Site {
        settings: r#"{"balancers":4,"charges":{"connection":0.01,"probe":0.01},
"classes":[{"group":"all","hardLimitMs":1200.0,"lateValue":0.25,"name":"fetch","onTimeMs":300.0,"points":3.0,
"repeat":"retryable","streamed":false,"windowMs":5000.0},{"group":"all","hardLimitMs":1000.0,"lateValue":0.3,
"name":"yank","onTimeMs":500.0,"points":2.0,"repeat":"dedup","streamed":false,"windowMs":5000.0},
{"group":"all","hardLimitMs":1200.0,"lateValue":0.3,"name":"publish","onTimeMs":500.0,"points":8.0,
"repeat":"dedup","streamed":false,"windowMs":2500.0}],"clients":{"marksRetry":false},"discovery":"automatic",
"familyInfo":{"mode":"aside","originFallMs":0.0,"originFallMultiple":0.0,"originKind":1},
"flavors":["std-1c","origin"],"limits":{"cancelling":true,"dialTimeoutMs":120.0,"keepaliveMs":10000.0,
"maxAttempts":4,"maxOpen":24289,"multiplex":32,"peers":false,"probes":true,"retryAfter":false,
"secondCopies":true},"me":0,"overShareWorth":0.05,"periodMs":5.0,"rules":{"askWithinMs":10000.0,
"coldFrom":0.32,"coldMs":8900.0,"drainGraceMs":500.0,"fallMultiple":4.0,"graceToAnswerMs":20.0,
"overloadForMs":2000.0},"stages":["mirror-caches"],"stats":{"columns":["avg_ms","waiting"],"source":"inline"},
"tenants":[{"name":"public","quotaPerS":500.0,"share":0.63},{"name":"municipal","quotaPerS":300.0,
"share":0.37}],"tier":0,"weights":"off","workload":"cache","worthBy":"request","zone":0,
"zones":["lozenets","mladost","druzhba"]}"#,
        zones: ["lozenets", "mladost"],
        kind: "std-1c",
        read: "c=fetch,t=public",
        write: "c=publish,t=public",
        ..Site::REYKJAVIK
    };

    /// The site with other limits of the proxy.
    pub const fn with_limits(self, memory_mb: u32, descriptors: u32) -> Site {
        Site { memory_mb, descriptors, ..self }
    }
}

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills every process that was started and has not ended.
pub fn end_processes() {
    for pid in STARTED.lock().map(|started| started.clone()).unwrap_or_default() {
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
    }
}

/// The proxy, as the platform starts it.
pub struct Proxy {
    pub address: SocketAddr,
    child: Child,
    journal: Arc<Journal>,
}

/// A port that nobody listens on.
pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

impl Proxy {
    /// Starts the program by the command `run` of the deploy file. `features` are further lines for a copy of
    /// its file of features.
    pub fn start(
        folder: &Path,
        site: Site,
        discovery: &Discovery,
        journal: &Arc<Journal>,
        features: &str,
    ) -> Proxy {
        let deploy = std::fs::read_to_string("deploy/balancer.toml").expect("the deploy file");
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = ")).expect("run");
        let run = with_features(run.trim().trim_matches('"'), folder, features);
        let address = free_port();
        let config = folder.join("config.json");
        let text = format!(
            "{{\"name\":\"n0\",\"listen\":\"{address}\",\"discovery\":\"{}\",\"seed\":\"8c1f30d27a5be964\",\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{},\"settings\":{}}}",
            discovery.address, site.memory_mb, site.descriptors, discovery.list, site.settings
        );
        std::fs::write(&config, text).expect("the configuration");
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.address.to_string())
            .env("NODE_CONFIG", &config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("the proxy starts");
        STARTED.lock().expect("the list of processes").push(child.id());
        journal.note(format!(
            "proxy {} started at {address} by {run}; further features: {features:?}",
            child.id()
        ));
        Proxy { address, child, journal: journal.clone() }
    }

    /// Waits until PING is answered +PONG.
    pub fn wait_ready(&self) -> bool {
        for _ in 0..300 {
            if let Ok(stream) = TcpStream::connect(self.address) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let mut reader = Reader::new(stream);
                let asked = reader.stream.write_all(&put_command(&[b"PING"]));
                if asked.is_ok() && matches!(reader.answer(), Ok(Answer::Simple(text)) if text == "PONG") {
                    self.journal.note("proxy ready");
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, name: &str) {
        self.journal.note(format!("signal {name}"));
        let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -{name} {}", self.child.id())).status();
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(match status.signal() {
            Some(signal) => format!("killed by signal {signal}"),
            None => format!("exit code {:?}", status.code()),
        })
    }

    /// The time of the processor that it has used, in seconds.
    pub fn processor_seconds(&self) -> f64 {
        const TICKS_PER_SECOND: f64 = 100.0;
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap_or_default();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or_default().split_whitespace().collect();
        let ticks = |at: usize| fields.get(at).and_then(|ticks| ticks.parse::<f64>().ok()).unwrap_or(0.0);
        (ticks(11) + ticks(12)) / TICKS_PER_SECOND
    }

    /// The peak of resident memory, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or_default().to_owned();
        line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

/// The command `run`, with its file of features replaced by a copy that has further lines.
fn with_features(run: &str, folder: &Path, more: &str) -> String {
    let Some(named) =
        run.split_whitespace().skip_while(|word| *word != "--conf").nth(1).filter(|_| !more.is_empty())
    else {
        return run.to_owned();
    };
    let text = std::fs::read_to_string(named).expect("the file of features");
    let file = folder.join("features.conf");
    std::fs::write(&file, format!("{text}\n{more}\n")).expect("a file of features");
    run.replace(named, &file.display().to_string())
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        forget_process(self.child.id());
    }
}

/// Another process of this program, which ends with this value, or once its standard input is closed.
pub struct Helper(Child);

impl Helper {
    pub fn start(arguments: &[&str]) -> Helper {
        let program = std::env::current_exe().expect("the path of this program");
        let child = Command::new(program).args(arguments).stdin(Stdio::piped()).spawn().expect("a process");
        STARTED.lock().expect("the list of processes").push(child.id());
        Helper(child)
    }
}

impl Drop for Helper {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
        forget_process(self.0.id());
    }
}

fn forget_process(pid: u32) {
    if let Ok(mut started) = STARTED.lock() {
        started.retain(|other| *other != pid);
    }
}
