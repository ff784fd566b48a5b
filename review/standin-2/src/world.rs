//! The stand-ins around a proxy: cache nodes, the origin, discovery, and the platform that starts, signals and
//! ends the program. Each behaves as the users' pages say, unless a case scripts otherwise.

use crate::wire::*;
use std::collections::HashMap;
use std::fmt::Write as _;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

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

/// A command that has arrived whole at a cache node or at the origin.
#[derive(Clone, Debug)]
pub struct Arrived {
    pub at: Duration,
    pub server: String,
    /// Its number among all arrivals.
    pub number: usize,
    pub write: bool,
    pub key: String,
    pub id: String,
    pub properties: String,
}

impl Arrived {
    pub fn property(&self, name: &str) -> Option<&str> {
        self.properties
            .split(',')
            .filter_map(|pair| pair.split_once('='))
            .find(|(n, _)| *n == name)
            .map(|(_, v)| v)
    }
}

/// What a server does with a command.
#[derive(Clone, Debug)]
pub enum Act {
    /// The value or the receipt, after this time.
    Serve(Duration),
    Miss(Duration),
    Busy(Duration),
    Fail(Duration),
    /// No answer; the connection stays open.
    Silent,
    /// The connection is reset after this time.
    Reset(Duration),
    /// These bytes after this time.
    Raw(Duration, Vec<u8>),
    /// The value after the first time, and the same bytes again after the second.
    Twice(Duration, Duration),
}

pub type Behaviour = Arc<dyn Fn(&Arrived) -> Act + Send + Sync>;

/// All that arrived at any server.
#[derive(Default)]
pub struct Arrivals(pub Mutex<Vec<Arrived>>);

/// The value of a request: no other request has the same.
pub fn value_of(id: &str, size: usize) -> Vec<u8> {
    let mut value = format!("value-of-{id}").into_bytes();
    while value.len() < size {
        value.push(b'.');
    }
    value
}

pub struct Server {
    pub name: String,
    pub address: SocketAddr,
    connections: Arc<Mutex<HashMap<u64, TcpStream>>>,
    down: Arc<Mutex<bool>>,
}

impl Server {
    /// Starts a cache node, or the origin, on a free port.
    pub fn start(
        name: &str,
        origin: bool,
        size: usize,
        journal: &Arc<Journal>,
        arrivals: &Arc<Arrivals>,
        behaviour: Behaviour,
    ) -> Arc<Server> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let server = Arc::new(Server {
            name: name.to_owned(),
            address,
            connections: Arc::default(),
            down: Arc::default(),
        });
        let (me, journal, arrivals) = (server.clone(), journal.clone(), arrivals.clone());
        thread::spawn(move || {
            for (number, stream) in listener.incoming().enumerate() {
                let Ok(stream) = stream else { continue };
                if *me.down.lock().unwrap() {
                    reset(&stream);
                    continue;
                }
                let _ = stream.set_nodelay(true);
                me.connections
                    .lock()
                    .unwrap()
                    .insert(number as u64, stream.try_clone().expect("a descriptor"));
                let (me, journal, arrivals, behaviour) =
                    (me.clone(), journal.clone(), arrivals.clone(), behaviour.clone());
                thread::spawn(move || {
                    let _ = match origin {
                        true => serve_origin(&me, stream, size, &journal, &arrivals, &behaviour),
                        false => serve_node(&me, stream, size, &journal, &arrivals, &behaviour),
                    };
                    me.connections.lock().unwrap().remove(&(number as u64));
                });
            }
        });
        server
    }

    /// Resets every open connection; while down, new ones are reset too.
    pub fn crash(&self, down: bool) {
        *self.down.lock().unwrap() = down;
        for stream in self.connections.lock().unwrap().values() {
            reset(stream);
        }
    }
}

#[repr(C)]
struct Linger {
    on: i32,
    seconds: i32,
}

extern "C" {
    fn setsockopt(descriptor: i32, level: i32, option: i32, value: *const Linger, length: u32) -> i32;
}

/// Makes the close of a connection a reset (SO_LINGER with 0, which the standard library lacks), and ends it.
pub fn reset(stream: &TcpStream) {
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    let linger = Linger { on: 1, seconds: 0 };
    // SAFETY: the descriptor is open, and the value has the size that is told.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &linger, size_of::<Linger>() as u32) };
    let _ = stream.shutdown(Shutdown::Both);
}

fn record(
    me: &Server,
    journal: &Journal,
    arrivals: &Arrivals,
    write: bool,
    (key, id, properties): (String, String, String),
) -> Arrived {
    let mut all = arrivals.0.lock().unwrap();
    let arrived =
        Arrived { at: journal.now(), server: me.name.clone(), number: all.len(), write, key, id, properties };
    all.push(arrived.clone());
    drop(all);
    journal.note(format!(
        "{} got {} id={} key={} {}",
        arrived.server,
        if write { "SET" } else { "GET" },
        arrived.id,
        arrived.key,
        arrived.properties
    ));
    arrived
}

fn text(word: &[u8]) -> String {
    String::from_utf8_lossy(word).into_owned()
}

fn serve_node(
    me: &Server,
    stream: TcpStream,
    size: usize,
    journal: &Journal,
    arrivals: &Arrivals,
    behaviour: &Behaviour,
) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    loop {
        let words = reader.command()?;
        match words[0].as_slice() {
            b"CACHE.GET" | b"CACHE.SET" if words.len() >= 4 => {
                let said = (text(&words[1]), text(&words[2]), text(&words[3]));
                let write = words[0] == b"CACHE.SET";
                let arrived = record(me, journal, arrivals, write, said);
                let value = value_of(&arrived.id, size);
                let good = put_node_reply(Some(&value), "hit");
                match behaviour(&arrived) {
                    Act::Serve(after) => {
                        thread::sleep(after);
                        out.write_all(&good)?;
                    }
                    Act::Miss(after) => {
                        thread::sleep(after);
                        out.write_all(&put_node_reply(None, "miss"))?;
                    }
                    Act::Busy(after) => {
                        thread::sleep(after);
                        out.write_all(b"-BUSY\r\n")?;
                    }
                    Act::Fail(after) => {
                        thread::sleep(after);
                        out.write_all(b"-ERR failed\r\n")?;
                    }
                    Act::Silent => {}
                    Act::Reset(after) => {
                        thread::sleep(after);
                        reset(&out);
                        return Ok(());
                    }
                    Act::Raw(after, bytes) => {
                        thread::sleep(after);
                        out.write_all(&bytes)?;
                    }
                    Act::Twice(after, again) => {
                        thread::sleep(after);
                        out.write_all(&good)?;
                        thread::sleep(again);
                        out.write_all(&good)?;
                    }
                }
            }
            b"INFO" => out.write_all(b"$17\r\neps=0.0,util=0.30\r\n")?,
            b"PING" => out.write_all(b"+PONG\r\n")?,
            b"CLIENT" | b"SELECT" => out.write_all(b"+OK\r\n")?,
            _ => {
                journal.note(format!("{} got an unknown command {words:?}", me.name));
                out.write_all(b"-SYNTAX\r\n")?;
            }
        }
    }
}

fn serve_origin(
    me: &Server,
    stream: TcpStream,
    size: usize,
    journal: &Journal,
    arrivals: &Arrivals,
    behaviour: &Behaviour,
) -> io::Result<()> {
    let mut out = stream.try_clone()?;
    let mut reader = Reader::new(stream);
    loop {
        let (first, headers) = reader.head()?;
        let header =
            |name: &str| headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.clone()).unwrap_or_default();
        let body = header("content-length").parse().unwrap_or(0);
        reader.exact(body)?;
        let mut words = first.split(' ');
        let (method, path) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
        if path == "/stats" || path == "/health/live" {
            out.write_all(&put_http("200 OK", "Endpoint-Load-Metrics: eps=0.0,util=0.30\r\n", b""))?;
            continue;
        }
        let said = (path.trim_start_matches('/').to_owned(), header("x-trace-id"), header("x-props"));
        let arrived = record(me, journal, arrivals, method == "PUT", said);
        let good = put_http("200 OK", "", &value_of(&arrived.id, size));
        match behaviour(&arrived) {
            Act::Serve(after) | Act::Miss(after) => {
                thread::sleep(after);
                out.write_all(&good)?;
            }
            Act::Busy(after) => {
                thread::sleep(after);
                out.write_all(&put_http("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""))?;
            }
            Act::Fail(after) => {
                thread::sleep(after);
                out.write_all(&put_http("500 Internal Server Error", "", b""))?;
            }
            Act::Silent => {}
            Act::Reset(after) => {
                thread::sleep(after);
                reset(&out);
                return Ok(());
            }
            Act::Raw(after, bytes) => {
                thread::sleep(after);
                out.write_all(&bytes)?;
            }
            Act::Twice(after, again) => {
                thread::sleep(after);
                out.write_all(&good)?;
                thread::sleep(again);
                out.write_all(&good)?;
            }
        }
    }
}

/// A listed server.
#[derive(Clone, Debug)]
pub struct Entry {
    pub id: String,
    pub address: SocketAddr,
    pub zone: String,
    pub kind: String,
    pub cell: u32,
    pub phase: &'static str,
    /// Unix time in ms; 0 means long ago.
    pub up_since_ms: u64,
}

impl Entry {
    pub fn json(&self) -> String {
        format!(
            "{{\"id\":\"{}\",\"host_port\":\"{}\",\"locality\":\"{}\",\"flavor\":\"{}\",\"cell\":{},\"phase\":\"{}\",\
             \"size\":1.0,\"up_since_ms\":{}}}",
            self.id, self.address, self.zone, self.kind, self.cell, self.phase, self.up_since_ms
        )
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

fn list_json(revision: u64, complete: bool, entries: &[Entry]) -> String {
    let members: Vec<String> = entries.iter().map(Entry::json).collect();
    format!("{{\"revision\":{revision},\"complete\":{complete},\"members\":[{}]}}", members.join(","))
}

struct Lists {
    entries: Vec<Entry>,
    revision: u64,
    changes: Vec<(u64, Vec<Entry>)>,
    /// Nothing is written to watches that are open.
    silent: bool,
    /// No new connection is answered.
    down: bool,
    closed: bool,
}

/// The agent of discovery: pushes changes to every watch at once, and an empty line every 2 s.
pub struct Discovery {
    pub address: SocketAddr,
    lists: Mutex<Lists>,
    changed: Condvar,
    journal: Arc<Journal>,
    name: String,
}

impl Discovery {
    pub fn start(name: &str, entries: Vec<Entry>, journal: &Arc<Journal>) -> Arc<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let lists =
            Lists { entries, revision: 41, changes: Vec::new(), silent: false, down: false, closed: false };
        let discovery = Arc::new(Discovery {
            address,
            lists: Mutex::new(lists),
            changed: Condvar::new(),
            journal: journal.clone(),
            name: name.to_owned(),
        });
        let me = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let me = me.clone();
                thread::spawn(move || {
                    let _ = me.serve(stream);
                });
            }
        });
        discovery
    }

    pub fn entries(&self) -> Vec<Entry> {
        self.lists.lock().unwrap().entries.clone()
    }

    pub fn known(&self) -> String {
        let lists = self.lists.lock().unwrap();
        list_json(lists.revision, true, &lists.entries)
    }

    /// Tells a change of one entry; a new id is added.
    pub fn change(&self, entry: Entry) {
        let mut lists = self.lists.lock().unwrap();
        lists.revision += 1;
        let revision = lists.revision;
        self.journal.note(format!("{} revision {revision}: {} {}", self.name, entry.id, entry.phase));
        lists.entries.retain(|e| e.id != entry.id);
        if entry.phase != "DELETED" {
            lists.entries.push(entry.clone());
        }
        lists.changes.push((revision, vec![entry]));
        self.changed.notify_all();
    }

    pub fn set_silent(&self, silent: bool) {
        self.journal.note(format!("{} silent: {silent}", self.name));
        self.lists.lock().unwrap().silent = silent;
        self.changed.notify_all();
    }

    pub fn set_down(&self, down: bool) {
        self.journal.note(format!("{} down: {down}", self.name));
        self.lists.lock().unwrap().down = down;
        self.changed.notify_all();
    }

    /// Accepts no new connection, and closes the open ones.
    pub fn close(&self) {
        self.journal.note(format!("{} closed", self.name));
        self.lists.lock().unwrap().closed = true;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut out = stream.try_clone()?;
        let (first, _) = Reader::new(stream).head()?;
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        self.journal.note(format!("{} asked {path}", self.name));
        let mut lists = self.lists.lock().unwrap();
        while lists.down && !lists.closed {
            lists = self.changed.wait(lists).unwrap();
        }
        if lists.closed {
            return out.shutdown(Shutdown::Both);
        }
        let after = path.split("after=").nth(1).and_then(|a| a.parse::<u64>().ok());
        let mut told = lists.revision;
        let first = match after.filter(|after| *after <= told) {
            Some(after) => {
                let changed = lists.changes.iter().filter(|(r, _)| *r > after).flat_map(|(_, e)| e.clone());
                list_json(told, false, &changed.collect::<Vec<_>>())
            }
            None => list_json(told, true, &lists.entries),
        };
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        put_chunk(&mut out, &first)?;
        let mut beat = Instant::now() + Duration::from_secs(2);
        let opened_silent = lists.silent;
        loop {
            let wait = beat.saturating_duration_since(Instant::now());
            lists = self.changed.wait_timeout(lists, wait).unwrap().0;
            if lists.closed {
                return out.shutdown(Shutdown::Both);
            }
            if (lists.silent && !opened_silent) || lists.down {
                // A watch that has fallen silent stays so.
                drop(lists);
                loop {
                    thread::sleep(Duration::from_secs(3600));
                }
            }
            let news: Vec<_> = lists.changes.iter().filter(|(r, _)| *r > told).cloned().collect();
            for (revision, entries) in news {
                put_chunk(&mut out, &list_json(revision, false, &entries))?;
                told = revision;
                beat = Instant::now() + Duration::from_secs(2);
            }
            if Instant::now() >= beat {
                put_chunk(&mut out, "")?;
                beat = Instant::now() + Duration::from_secs(2);
            }
        }
    }
}

fn put_chunk(out: &mut TcpStream, line: &str) -> io::Result<()> {
    out.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
}

/// One class of the settings.
pub struct ClassSettings {
    pub name: &'static str,
    pub repeat: &'static str,
    pub group: &'static str,
    pub aim_ms: u32,
    pub limit_ms: u32,
    pub window_ms: u32,
}

pub struct Site {
    pub classes: Vec<ClassSettings>,
    pub extra_limits: &'static str,
    pub second_copies: bool,
    pub max_attempts: u32,
    pub keepalive_ms: u32,
    pub proxies: u32,
    pub memory_mb: u32,
    pub sockets: u32,
    pub drain_grace_ms: u32,
    pub period_ms: u32,
    pub dial_ms: u32,
    pub mode: &'static str,
    pub source: &'static str,
    pub discovery: &'static str,
}

impl Default for Site {
    fn default() -> Self {
        Site {
            classes: vec![
                ClassSettings {
                    name: "lookup",
                    repeat: "retryable",
                    group: "all",
                    aim_ms: 750,
                    limit_ms: 2000,
                    window_ms: 5000,
                },
                ClassSettings {
                    name: "instruct",
                    repeat: "dedup",
                    group: "all",
                    aim_ms: 1200,
                    limit_ms: 2500,
                    window_ms: 4000,
                },
            ],
            extra_limits: "",
            second_copies: true,
            max_attempts: 4,
            keepalive_ms: 60_000,
            proxies: 2,
            memory_mb: 192,
            sockets: 1024,
            drain_grace_ms: 2500,
            period_ms: 5,
            dial_ms: 250,
            mode: "aside",
            source: "on_probe",
            discovery: "automatic",
        }
    }
}

impl Site {
    pub fn settings(&self) -> String {
        let classes: Vec<String> = self
            .classes
            .iter()
            .map(|c| {
                format!(
                    "{{\"group\":\"{}\",\"hardLimitMs\":{},\"lateValue\":0.0,\"name\":\"{}\",\"onTimeMs\":{},\
                     \"points\":1.0,\"repeat\":\"{}\",\"streamed\":false,\"windowMs\":{}}}",
                    c.group, c.limit_ms, c.name, c.aim_ms, c.repeat, c.window_ms
                )
            })
            .collect();
        format!(
            "{{\"balancers\":{},\"charges\":{{\"connection\":0.03,\"probe\":0.014}},\"classes\":[{}],\
             \"clients\":{{\"marksRetry\":true}},\"discovery\":\"{}\",\"familyInfo\":{{\"mode\":\"{}\",\
             \"originFallMs\":3000.0,\"originFallMultiple\":2.5,\"originKind\":2}},\
             \"flavors\":[\"full-node\",\"half-node\",\"origin\"],\
             \"limits\":{{\"cancelling\":true,\"dialTimeoutMs\":{},\"keepaliveMs\":{},\"maxAttempts\":{},\
             \"maxOpen\":24289,\"maxRetryAfterMs\":1000.0,\"multiplex\":100,\"peers\":false,\"probes\":true,\
             \"retryAfter\":true,\"secondCopies\":{}}},\"me\":0,\"overShareWorth\":0.2,\"periodMs\":{},\
             \"rules\":{{\"askWithinMs\":10000.0,\"coldFrom\":0.15,\"coldMs\":23000.0,\"drainGraceMs\":{},\
             \"fallMultiple\":3.0,\"graceToAnswerMs\":20.0,\"overloadForMs\":1000.0}},\"stages\":[\"lookup-cache\"],\
             \"stats\":{{\"columns\":[\"err_rps\",\"cpu\"],\"source\":\"{}\"}},\
             \"tenants\":[{{\"name\":\"nordurbanki\",\"quotaPerS\":500.0,\"share\":0.6}},\
             {{\"name\":\"hafnarbanki\",\"quotaPerS\":500.0,\"share\":0.4}}],\"tier\":0,\"weights\":\"nominal\",\
             \"workload\":\"cache\",\"worthBy\":\"request\",\"zone\":0,\"zones\":[\"hofdi\",\"grafarholt\"]}}",
            self.proxies,
            classes.join(","),
            self.discovery,
            self.mode,
            self.dial_ms,
            self.keepalive_ms,
            self.max_attempts,
            self.second_copies,
            self.period_ms,
            self.drain_grace_ms,
            self.source,
        )
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
    pub config: PathBuf,
    child: Child,
    settings: String,
    limits: String,
    known: String,
    journal: Arc<Journal>,
}

/// A port that nobody listens on.
pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a free port")
}

/// The repository's root: the folder two above the folder of this program's sources.
pub fn root() -> PathBuf {
    std::env::var_os("REVIEW_ROOT")
        .map(PathBuf::from)
        .unwrap_or_else(|| std::env::current_dir().expect("a folder"))
}

impl Proxy {
    pub fn start(
        folder: &std::path::Path,
        site: &Site,
        discovery: &Discovery,
        journal: &Arc<Journal>,
    ) -> Proxy {
        Proxy::start_with(folder, site, discovery, journal, "")
    }

    /// As [`Proxy::start`], with further lines in the file of features that the deploy file names.
    pub fn start_with(
        folder: &std::path::Path,
        site: &Site,
        discovery: &Discovery,
        journal: &Arc<Journal>,
        features: &str,
    ) -> Proxy {
        let conf = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("the deploy file");
        let run = conf
            .lines()
            .find_map(|l| l.strip_prefix("run = "))
            .expect("run")
            .trim()
            .trim_matches('"')
            .to_owned();
        let (run, features) = with_features(&run, folder, features);
        journal.note(format!("features: {features}"));
        let address = free_port();
        let config = folder.join("config.json");
        let limits =
            format!("{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}}", site.memory_mb, site.sockets);
        let (settings, known) = (site.settings(), discovery.known());
        write_config(&config, address, discovery.address, &limits, &known, &settings);
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("proxy.log"))
            .expect("a log");
        let child = Command::new("/bin/sh")
            .arg("-c")
            .arg(&run)
            .current_dir(root())
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", address.to_string())
            .env("NODE_DISCOVERY", discovery.address.to_string())
            .env("NODE_CONFIG", &config)
            .env("RUST_LOG", std::env::var("PROXY_LOG").unwrap_or_else(|_| "info".into()))
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the proxy starts");
        STARTED.lock().expect("the list of processes").push(child.id());
        let proxy = Proxy { address, config, child, settings, limits, known, journal: journal.clone() };
        proxy.journal.note(format!("proxy {} started at {address}", proxy.child.id()));
        proxy
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
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

    /// Replaces the configuration file by one that names another discovery, and sends SIGHUP.
    pub fn reload(&self, discovery: &Discovery) {
        write_config(
            &self.config,
            self.address,
            discovery.address,
            &self.limits,
            &self.known,
            &self.settings,
        );
        self.signal("HUP");
    }

    /// How the process ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.try_wait().ok()??;
        Some(match status.signal() {
            Some(signal) => format!("killed by signal {signal}"),
            None => format!("exit code {:?}", status.code()),
        })
    }

    /// The peak of resident memory, in KiB.
    pub fn peak_memory(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap_or_default();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or_default().to_owned();
        line.split_whitespace().next().and_then(|n| n.parse().ok()).unwrap_or(0)
    }
}

/// The command `run`, with its file of features replaced by a copy that has further lines.
fn with_features(run: &str, folder: &std::path::Path, more: &str) -> (String, String) {
    let named =
        run.split_whitespace().skip_while(|word| *word != "--conf").nth(1).unwrap_or_default().to_owned();
    if more.is_empty() {
        return (run.to_owned(), named);
    }
    let text = std::fs::read_to_string(root().join(&named)).unwrap_or_default();
    let file = folder.join("features.conf");
    std::fs::write(&file, format!("{text}\n{more}\n")).expect("the file of features");
    (run.replace(&named, &file.display().to_string()), more.replace('\n', "; "))
}

fn write_config(
    path: &std::path::Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    limits: &str,
    known: &str,
    settings: &str,
) {
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{limits},\"known\":{known},\"settings\":{settings}}}"
    );
    let temporary = path.with_extension("new");
    std::fs::write(&temporary, text)
        .and_then(|()| std::fs::rename(&temporary, path))
        .expect("the configuration");
}

impl Drop for Proxy {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let pid = self.child.id();
        if let Ok(mut started) = STARTED.lock() {
            started.retain(|other| *other != pid);
        }
    }
}
