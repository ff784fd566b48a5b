//! The memory of the program as the platform judges it: stand-ins play clients, cache nodes and the origin,
//! and the process must stay within `limits.memory_mb` whatever they do.

use rstest::rstest;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Longer than any wait that ends.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How often the platform looks at the memory of the process.
const MEMORY_INTERVAL: Duration = Duration::from_millis(5);
/// The largest value of the protocol in bytes.
const VALUE: usize = 64 * 1024;
const CACHE_NODES: usize = 8;

/// Serves each connection to a free port in a thread of its own.
fn serve(handle: impl Fn(TcpStream) -> io::Result<()> + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for socket in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(socket));
        }
    });
    address
}

/// Reads a line without its end; an error at the end of the stream.
fn line(from: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    match from.read_line(&mut text)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(text.trim_end().to_owned()),
    }
}

fn bulk(from: &mut impl BufRead, head: &str) -> io::Result<Vec<u8>> {
    let length = head.strip_prefix('$').and_then(|n| n.parse::<usize>().ok());
    let mut bytes = vec![0; length.ok_or(io::ErrorKind::InvalidData)? + 2];
    from.read_exact(&mut bytes)?;
    bytes.truncate(bytes.len() - 2);
    Ok(bytes)
}

fn command(words: &[&str]) -> Vec<u8> {
    let words: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{words}", words.matches('$').count()).into_bytes()
}

/// What a cache node sends for a read.
#[derive(Clone, Copy, Debug)]
enum Reply {
    Value,
    /// An array of this many values, all but the end of the last one.
    Unfinished(usize),
}

impl Reply {
    fn encode(self) -> Vec<u8> {
        let value = format!("${VALUE}\r\n{}\r\n", "v".repeat(VALUE));
        let text = match self {
            Reply::Value => format!("*3\r\n{value}$3\r\nhit\r\n$-1\r\n"),
            Reply::Unfinished(values) => format!("*8\r\n{}", value.repeat(values)),
        };
        let unfinished = matches!(self, Reply::Unfinished(_));
        let end = text.len() - if unfinished { 1024 } else { 0 };
        text.into_bytes()[..end].to_vec()
    }
}

/// A cache node that sends this for each read.
fn cache_node(reply: Reply) -> impl Fn() -> SocketAddr {
    move || {
        let answer = reply.encode();
        serve(move |mut socket| {
            let mut from = BufReader::new(socket.try_clone()?);
            loop {
                let words = line(&mut from)?;
                for _ in 0..words.trim_start_matches('*').parse().unwrap_or(0) {
                    let head = line(&mut from)?;
                    bulk(&mut from, &head)?;
                }
                socket.write_all(&answer)?;
            }
        })
    }
}

/// An origin that answers each write after this time.
fn slow_origin(delay: Duration) -> SocketAddr {
    serve(move |mut socket| {
        let mut from = BufReader::new(socket.try_clone()?);
        loop {
            let mut length = 0;
            loop {
                let header = line(&mut from)?;
                if header.is_empty() {
                    break;
                }
                if let Some(bytes) = header.strip_prefix("Content-Length: ") {
                    length = bytes.parse().unwrap_or(0);
                }
            }
            from.read_exact(&mut vec![0; length])?;
            thread::sleep(delay);
            socket.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nreceipt")?;
        }
    })
}

/// The program under test; it ends with this value.
struct Program {
    child: Child,
    address: SocketAddr,
    config: std::path::PathBuf,
}

impl Program {
    fn start(memory_mb: u64, sockets: u64, members: serde_json::Value) -> Program {
        static STARTED: AtomicU64 = AtomicU64::new(0);
        let number = STARTED.fetch_add(1, Ordering::Relaxed);
        let text = std::fs::read_to_string("tests/exchanges/config.json").expect("the configuration");
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        config["listen"] = "127.0.0.1:0".into();
        config["discovery"] = "127.0.0.1:1".into();
        config["limits"]["memory_mb"] = memory_mb.into();
        config["limits"]["sockets"] = sockets.into();
        config["known"]["members"] = members;
        let path =
            std::env::temp_dir().join(format!("martenweir-memory-{}-{number}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("a file");
        let mut child = Command::new(env!("CARGO_BIN_EXE_martenweir"))
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let listening = line(&mut log).expect("a line");
        let address = listening.split("listening on ").nth(1).and_then(|text| text.split(',').next());
        let address = address.and_then(|text| text.parse().ok()).expect("its address");
        while !line(&mut log).expect("a line").ends_with("ready") {}
        // Nobody else reads the log, and the program must not wait for a reader.
        thread::spawn(move || io::copy(&mut log, &mut io::sink()));
        Program { child, address, config: path }
    }

    /// Watches the memory of the process until `over` is set; returns the most that was seen, in bytes.
    fn watch_memory(&self, over: &Arc<AtomicBool>) -> thread::JoinHandle<u64> {
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
    }
}

/// The memory that is no file's (`RssAnon` and `RssShmem`, see proc(5)), in bytes.
fn memory(status: &str) -> u64 {
    let fields = status.lines().filter_map(|line| line.split_once(':'));
    let counted = fields.filter(|(name, _)| matches!(*name, "RssAnon" | "RssShmem"));
    counted.filter_map(|(_, size)| size.trim().strip_suffix(" kB")?.parse::<u64>().ok()).sum::<u64>() * 1024
}

fn member(id: &str, flavor: &str, address: SocketAddr) -> serde_json::Value {
    serde_json::json!({
        "id": id, "host_port": address.to_string(), "locality": "hofdi", "flavor": flavor, "cell": 0,
        "phase": "SERVING", "size": 1.0, "up_since_ms": 0,
    })
}

/// The members of a cluster of eight cache nodes and an origin.
fn cluster(cache_node: impl Fn() -> SocketAddr, origin: SocketAddr) -> serde_json::Value {
    let nodes = (0..CACHE_NODES).map(|n| member(&format!("s-{n}"), "half-node", cache_node()));
    nodes.chain([member("o", "origin", origin)]).collect::<Vec<_>>().into()
}

/// Sends a write and 15 reads at once, then reads the answers; returns how many were values.
fn pipeline(address: SocketAddr, client: usize) -> io::Result<usize> {
    let mut socket = TcpStream::connect(address)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    let mut commands = Vec::new();
    for n in 0..16 {
        let (key, id) = (format!("{:x}", client * 100 + n + 1), format!("{client}-{n}"));
        let write = format!("c=instruct,t=nordurbanki,d=60000,k={id}");
        let read = "c=lookup,t=nordurbanki,d=60000";
        commands.extend(match n {
            0 => command(&["CACHE.SET", &key, &id, &write, "x"]),
            _ => command(&["CACHE.GET", &key, &id, read]),
        });
    }
    socket.write_all(&commands)?;
    let mut from = BufReader::new(socket);
    let mut values = 0;
    for _ in 0..16 {
        let head = line(&mut from)?;
        if head.starts_with('$') {
            bulk(&mut from, &head)?;
            values += 1;
        }
    }
    Ok(values)
}

/// Sends one read and reads its answer.
fn single_read(address: SocketAddr, client: usize) -> io::Result<String> {
    let mut socket = TcpStream::connect(address)?;
    socket.set_read_timeout(Some(TIMEOUT))?;
    let (key, id) = (format!("{:x}", client + 1), format!("single-{client}"));
    socket.write_all(&command(&["CACHE.GET", &key, &id, "c=lookup,t=nordurbanki,d=2000"]))?;
    line(&mut BufReader::new(socket))
}

/// Plays `clients` threads, started one after the other, and returns what each came to and the most memory
/// that the program used, in bytes.
fn play<T: Send + 'static>(
    program: &Program,
    clients: usize,
    pause: Duration,
    client: impl Fn(SocketAddr, usize) -> T + Send + Copy + 'static,
) -> (Vec<T>, u64) {
    let over = Arc::new(AtomicBool::new(false));
    let (watch, address) = (program.watch_memory(&over), program.address);
    let start = |number| {
        thread::sleep(pause);
        thread::spawn(move || client(address, number))
    };
    let clients: Vec<_> = (0..clients).map(start).collect();
    let results = clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    over.store(true, Ordering::Relaxed);
    (results, watch.join().expect("no panic"))
}

/// Guards against a kill for memory: reads behind a slow write on the same connection are answered at once
/// and wait for the write, and nothing bounded the sum of what waited.
#[rstest]
#[case::least_memory(32, 256)]
#[case::many_descriptors(32, 1024)]
#[case::more_memory(48, 256)]
fn answers_that_wait_for_a_slow_write_stay_within_the_memory(#[case] memory_mb: u64, #[case] sockets: u64) {
    let node = cache_node(Reply::Value);
    let program = Program::start(memory_mb, sockets, cluster(node, slow_origin(Duration::from_millis(900))));
    // 15 values of 64 KiB for each of them: twice the memory.
    let clients = memory_mb as usize * 2;
    let (values, peak) = play(&program, clients, Duration::from_millis(20), pipeline);
    assert!(peak < memory_mb << 20, "{} KB of {memory_mb} MB", peak >> 10);
    for (client, values) in values.iter().enumerate() {
        assert!(matches!(values, Ok(15..)), "client {client}: {values:?}");
    }
}

/// Guards against lost commands: those that wait for room, unparsed, are answered too when the program is told
/// to end.
#[test]
fn commands_without_room_are_answered_at_a_planned_end() {
    let node = cache_node(Reply::Value);
    let program = Program::start(32, 256, cluster(node, slow_origin(Duration::from_millis(900))));
    let id = program.child.id().to_string();
    let told = thread::spawn(move || {
        thread::sleep(Duration::from_secs(1));
        Command::new("kill").arg(id).status()
    });
    let (answers, _) = play(&program, 60, Duration::from_millis(20), pipeline);
    assert!(told.join().expect("no panic").expect("kill").success());
    for (client, answers) in answers.iter().enumerate() {
        assert!(answers.is_ok(), "client {client}: {answers:?}");
    }
}

/// Guards against a kill for memory: cache nodes send replies that never end, and nothing but the number of
/// connections bounded the sum of what had arrived.
#[rstest]
#[case::one_value(1)]
#[case::many_values(8)]
fn replies_that_never_end_stay_within_the_memory(#[case] values: usize) {
    let memory_mb = 32;
    let node = cache_node(Reply::Unfinished(values));
    let program = Program::start(memory_mb, 1024, cluster(node, slow_origin(Duration::from_millis(900))));
    // Clients hold a third of the descriptors at the most.
    let (answers, peak) = play(&program, 1024 / 3, Duration::from_millis(3), single_read);
    assert!(peak < memory_mb << 20, "{} KB of {memory_mb} MB", peak >> 10);
    for (client, answer) in answers.iter().enumerate() {
        assert!(answer.is_ok(), "client {client}: {answer:?}");
    }
}
