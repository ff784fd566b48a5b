//! Cache nodes and the origin.

use super::gateway::NodeReply;
use super::{bulk, line, TIMEOUT, VALUE};
use std::io::{self, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CACHE_NODES: usize = 8;

/// An attempt that has begun: its id, the process that it reached, and when.
#[derive(Clone, Debug)]
pub struct Begun {
    pub id: String,
    pub process: String,
    pub at: Instant,
}

/// The attempts that have begun at all servers.
#[derive(Clone, Debug, Default)]
pub struct Attempts(Arc<Mutex<Vec<Begun>>>);

impl Attempts {
    pub fn add(&self, id: &str, process: &str) {
        let begun = Begun { id: id.to_owned(), process: process.to_owned(), at: Instant::now() };
        self.0.lock().expect("no panic").push(begun);
    }

    pub fn all(&self) -> Vec<Begun> {
        self.0.lock().expect("no panic").clone()
    }

    pub fn of(&self, id: &str) -> Vec<Begun> {
        self.all().into_iter().filter(|begun| begun.id == id).collect()
    }
}

/// Serves each connection to a free port in a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    Server::start("127.0.0.1:0".parse().expect("an address"), handle).address
}

/// A server process: a port and the connections to it.
pub struct Server {
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static,
    ) -> Server {
        // An earlier process at this address may not have closed its port yet.
        let since = Instant::now();
        let listener = loop {
            match TcpListener::bind(address) {
                Ok(listener) => break listener,
                Err(why) => assert!(since.elapsed() < TIMEOUT, "no port: {why}"),
            }
            thread::sleep(Duration::from_millis(1));
        };
        let address = listener.local_addr().expect("an address");
        let (ended, open) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
        let (handle, over, connections) = (Arc::new(handle), ended.clone(), open.clone());
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if over.load(Ordering::Relaxed) {
                    return;
                }
                let _ = socket.set_nodelay(true);
                connections.lock().expect("no panic").extend(socket.try_clone());
                let handle = handle.clone();
                thread::spawn(move || handle(socket));
            }
        });
        Server { address, ended, open }
    }

    /// Ends the process: its port closes. Its connections close too, unless its machine has vanished.
    pub fn end(self, vanished: bool) {
        self.ended.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.address);
        let open = std::mem::take(&mut *self.open.lock().expect("no panic"));
        match vanished {
            true => std::mem::forget(open),
            false => open.into_iter().for_each(|socket| drop(socket.shutdown(Shutdown::Both))),
        }
    }
}

/// What a cache node sends for a read.
#[derive(Clone, Copy, Debug)]
pub enum Reply {
    Value,
    /// A value of this many bytes.
    Short(usize),
    /// An array of this many values, all but the end of the last one.
    Unfinished(usize),
}

impl Reply {
    fn encode(self) -> Vec<u8> {
        let length = if let Reply::Short(length) = self { length } else { VALUE };
        let value = format!("${length}\r\n{}\r\n", "v".repeat(length));
        let text = match self {
            Reply::Value | Reply::Short(_) => format!("*3\r\n{value}$3\r\nhit\r\n$-1\r\n"),
            Reply::Unfinished(values) => format!("*8\r\n{}", value.repeat(values)),
        };
        let unfinished = matches!(self, Reply::Unfinished(_));
        let end = text.len() - if unfinished { 1024 } else { 0 };
        text.into_bytes()[..end].to_vec()
    }
}

/// Reads the commands of a connection and answers each after `delay`.
fn answer_commands(
    mut socket: TcpStream,
    answer: &[u8],
    delay: Duration,
    begun: impl Fn(&str),
) -> io::Result<()> {
    let mut from = BufReader::new(socket.try_clone()?);
    loop {
        let words = line(&mut from)?;
        let mut id = String::new();
        for word in 0..words.trim_start_matches('*').parse().unwrap_or(0) {
            let head = line(&mut from)?;
            let text = bulk(&mut from, &head)?;
            if word == 2 {
                id = String::from_utf8_lossy(&text).into_owned();
            }
        }
        begun(&id);
        thread::sleep(delay);
        socket.write_all(answer)?;
    }
}

/// A cache node that sends this for each read.
pub fn cache_node(reply: Reply) -> impl Fn() -> SocketAddr {
    move || {
        let answer = reply.encode();
        serve(move |socket| answer_commands(socket, &answer, Duration::ZERO, |_| ()))
    }
}

/// A cache node that speaks the memcached protocol.
pub fn memcached_node(reply: NodeReply) -> impl Fn() -> SocketAddr {
    move || {
        let reply = reply.clone();
        serve(move |socket| reply.serve(socket))
    }
}

/// A cache node that answers each command after `delay` and records it.
pub fn recording_node(
    address: SocketAddr,
    process: &str,
    reply: Reply,
    delay: Duration,
    attempts: &Attempts,
) -> Server {
    let (process, attempts, answer) = (process.to_owned(), attempts.clone(), reply.encode());
    Server::start(address, move |socket| {
        answer_commands(socket, &answer, delay, |id| attempts.add(id, &process))
    })
}

/// An origin that answers each request after this time.
pub fn slow_origin(delay: Duration) -> SocketAddr {
    recording_origin(Arc::new(AtomicU64::new(delay.as_millis() as u64)), &Attempts::default())
}

/// An origin that answers each request after `delay_ms` and records it.
pub fn recording_origin(delay_ms: Arc<AtomicU64>, attempts: &Attempts) -> SocketAddr {
    let attempts = attempts.clone();
    serve(move |mut socket| {
        let mut from = BufReader::new(socket.try_clone()?);
        loop {
            let (mut length, mut id) = (0, String::new());
            loop {
                let header = line(&mut from)?;
                if header.is_empty() {
                    break;
                }
                match header.split_once(": ") {
                    Some(("Content-Length", bytes)) => length = bytes.parse().unwrap_or(0),
                    Some(("X-Trace-Id", name)) => id = name.to_owned(),
                    _ => {}
                }
            }
            from.read_exact(&mut vec![0; length])?;
            attempts.add(&id, "origin");
            thread::sleep(Duration::from_millis(delay_ms.load(Ordering::Relaxed)));
            socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nreceipt")?;
        }
    })
}

/// An entry of discovery's list; `started` is a Unix time in ms.
pub fn member(id: &str, flavor: &str, address: SocketAddr, started: u64) -> serde_json::Value {
    serde_json::json!({
        "id": id, "host_port": address.to_string(), "locality": "hofdi", "flavor": flavor, "cell": 0,
        "phase": "SERVING", "size": 1.0, "up_since_ms": started,
    })
}

/// The members of a cluster of eight cache nodes and an origin.
pub fn cluster(cache_node: impl Fn() -> SocketAddr, origin: SocketAddr) -> serde_json::Value {
    let nodes = (0..CACHE_NODES).map(|n| member(&format!("s-{n}"), "half-node", cache_node(), 0));
    nodes.chain([member("o", "origin", origin, 0)]).collect::<Vec<_>>().into()
}
