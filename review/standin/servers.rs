//! Stand-ins of the servers: cache nodes, the origin and discovery, as the protocol page describes them.
//! Each connection has a thread, and answers leave in the order of the requests.

use crate::record::{lock, Record};
use crate::resp;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Stack of a connection's thread, in bytes.
const STACK: usize = 256 * 1024;
/// How often discovery sends an empty line (PROTOCOL).
const KEEP_ALIVE: Duration = Duration::from_secs(2);

/// The requests that have begun at the origin, with their times.
#[derive(Default)]
pub struct Begun(Mutex<Vec<(String, Instant)>>);

impl Begun {
    fn add(&self, id: &str) {
        lock(&self.0).push((id.to_owned(), Instant::now()));
    }

    /// Those whose id begins with `prefix`.
    pub fn of(&self, prefix: &str) -> Vec<(String, Instant)> {
        lock(&self.0).iter().filter(|(id, _)| id.starts_with(prefix)).cloned().collect()
    }
}

/// Binds a free port of the loopback address and serves each connection in a thread of its own.
pub fn serve(handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            // The end of a connection is no fault of the stand-in.
            let _ = thread::Builder::new().stack_size(STACK).spawn(move || handle(socket));
        }
    });
    Ok(address)
}

/// A cache node that holds every key, with values of `value_bytes`, and answers after `work`.
pub fn cache_node(
    record: Arc<Record>,
    name: String,
    value_bytes: usize,
    work: Duration,
) -> io::Result<SocketAddr> {
    serve(move |socket| {
        let _ = socket.set_nodelay(true);
        let mut out = socket.try_clone()?;
        let mut from = BufReader::new(socket);
        loop {
            let words = resp::read_command(&mut from)?;
            let answer = match words[0].as_slice() {
                b"CACHE.GET" if words.len() == 4 => {
                    thread::sleep(work);
                    record.line(&format!("{name} answers read {}", String::from_utf8_lossy(&words[2])));
                    let mut answer = b"*3\r\n".to_vec();
                    answer.extend(resp::bulk(&vec![b'v'; value_bytes]));
                    answer.extend(resp::bulk(b"hit"));
                    answer.extend(b"$-1\r\n");
                    answer
                }
                // Writes are for the origin: a cache node does nothing but store.
                b"CACHE.SET" => b"*3\r\n$-1\r\n$-1\r\n$-1\r\n".to_vec(),
                b"PING" => b"+PONG\r\n".to_vec(),
                b"INFO" => resp::bulk(b"eps=0,util=0.30"),
                _ => b"-ERR unknown command\r\n".to_vec(),
            };
            out.write_all(&answer)?;
        }
    })
}

/// The origin: answers each request after `delay_ms`, with `value_bytes` for a read and a receipt for a write.
pub fn origin(
    record: Arc<Record>,
    begun: Arc<Begun>,
    delay_ms: Arc<AtomicU64>,
    value_bytes: usize,
) -> io::Result<SocketAddr> {
    serve(move |socket| {
        let _ = socket.set_nodelay(true);
        let mut out = socket.try_clone()?;
        let mut from = BufReader::new(socket);
        loop {
            let request = resp::line(&mut from)?;
            let (mut length, mut id) = (0, String::new());
            loop {
                let header = resp::line(&mut from)?;
                if header.is_empty() {
                    break;
                }
                let (name, value) = header.split_once(": ").unwrap_or_default();
                match name.to_ascii_lowercase().as_str() {
                    "content-length" => length = value.parse().unwrap_or(0),
                    "x-trace-id" => id = value.to_owned(),
                    _ => {}
                }
            }
            io::copy(&mut from.by_ref().take(length), &mut io::sink())?;
            let method = request.split(' ').next().unwrap_or_default();
            begun.add(&id);
            record.line(&format!("origin begins {method} {id}"));
            thread::sleep(Duration::from_millis(delay_ms.load(Ordering::Relaxed)));
            record.line(&format!("origin has run {method} {id}"));
            let body = if method == "GET" { vec![b'v'; value_bytes] } else { b"receipt".to_vec() };
            out.write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes())?;
            out.write_all(&body)?;
        }
    })
}

/// Discovery: answers each watch with `list`, one line of JSON, and then keeps it alive.
pub fn discovery(list: String) -> io::Result<SocketAddr> {
    serve(move |socket| {
        let mut out = socket.try_clone()?;
        let mut from = BufReader::new(socket);
        let mut line = String::new();
        while from.read_line(&mut line)? > 2 {
            line.clear();
        }
        out.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let mut piece = format!("{list}\n");
        loop {
            out.write_all(format!("{:x}\r\n{piece}\r\n", piece.len()).as_bytes())?;
            piece = "\n".into();
            thread::sleep(KEEP_ALIVE);
        }
    })
}
