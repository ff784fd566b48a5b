//! Crowds and misbehaving peers at the program's sockets. The decisions are tested in `src/admission`, in
//! virtual time; these tests check that the sockets carry them out.

use rstest::rstest;
use socket2::SockRef;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::{Duration, Instant};

/// Longer than any wait that ends.
const TIMEOUT: Duration = Duration::from_secs(20);
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
const PONG: &[u8] = b"+PONG\r\n";

struct Program {
    child: Child,
    log: BufReader<ChildStderr>,
    address: String,
    config: std::path::PathBuf,
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config);
    }
}

impl Program {
    /// Starts the program with `told` descriptors in its configuration and `has` as its real limit.
    fn start(name: &str, told: usize, has: usize) -> Program {
        let text = std::fs::read_to_string("tests/exchanges/config.json").expect("the configuration");
        let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        config["listen"] = "127.0.0.1:0".into();
        config["discovery"] = "127.0.0.1:1".into();
        config["limits"]["sockets"] = told.into();
        config["known"]["members"] = serde_json::json!([{
            "id": "s-a", "host_port": "127.0.0.1:1", "locality": "hofdi", "flavor": "half-node", "cell": 0,
            "phase": "SERVING", "size": 1.0, "up_since_ms": 0,
        }]);
        let path = std::env::temp_dir().join(format!("martenweir-door-{}-{name}.json", std::process::id()));
        std::fs::write(&path, config.to_string()).expect("a file");
        let run = format!("ulimit -n {has}; exec \"$@\"");
        let command = ["-c", &run, "sh", env!("CARGO_BIN_EXE_martenweir")];
        let child = Command::new("sh").args(command).arg(&path).stderr(Stdio::piped()).spawn();
        let mut child = child.expect("the program starts");
        let mut log = BufReader::new(child.stderr.take().expect("its log"));
        let mut line = String::new();
        log.read_line(&mut line).expect("a line");
        let address = line.split("listening on ").nth(1).and_then(|t| t.split(',').next());
        let address = address.expect("its address").to_owned();
        let mut program = Program { child, log, address, config: path };
        while !line.ends_with("ready\n") {
            line = program.line();
        }
        program
    }

    fn line(&mut self) -> String {
        let mut line = String::new();
        assert!(self.log.read_line(&mut line).expect("a line") > 0, "the log has ended");
        line
    }

    fn connect(&self) -> TcpStream {
        let socket = TcpStream::connect(&self.address).expect("the program listens");
        socket.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
        socket
    }

    /// Shuts the program down gracefully and returns the rest of its log.
    fn end(mut self) -> String {
        let kill = Command::new("kill").arg(self.child.id().to_string()).status();
        assert!(kill.expect("kill").success());
        let mut log = String::new();
        self.log.read_to_string(&mut log).expect("the log");
        assert!(self.child.wait().expect("an end").success(), "{log}");
        log
    }
}

fn expect(socket: &mut TcpStream, wanted: &[u8]) {
    let mut got = vec![0; wanted.len()];
    socket.read_exact(&mut got).expect("an answer");
    assert_eq!(String::from_utf8_lossy(&got), String::from_utf8_lossy(wanted));
}

fn ping(socket: &mut TcpStream) {
    socket.write_all(PING).expect("sent");
    expect(socket, PONG);
}

/// More silent connections than there are descriptors; clients behind them are answered, whether the program
/// stays within its budget or the process has fewer descriptors than configured.
#[rstest]
#[case::by_its_budget("budget", 64, 64, "accept failed", false)]
#[case::by_emfile("emfile", 1024, 48, "accept failed", true)]
fn requests_are_answered_behind_a_crowd_of_silent_connections(
    #[case] name: &str,
    #[case] told: usize,
    #[case] has: usize,
    #[case] line: &str,
    #[case] said: bool,
) {
    let program = Program::start(name, told, has);
    let silent: Vec<_> = (0..100).map(|_| program.connect()).collect();
    let mut clients: Vec<_> = (0..10).map(|_| program.connect()).collect();
    clients.iter_mut().for_each(|client| client.write_all(PING).expect("sent"));
    clients.iter_mut().for_each(|client| expect(client, PONG));
    drop(silent);
    let log = program.end();
    assert_eq!(log.contains(line), said, "{log}");
    assert!(log.contains("closed: silent") || log.contains("closed: young"), "{log}");
    assert!(log.lines().count() < 60, "{log}");
}

/// Accepts the next connection, within [`TIMEOUT`].
fn accepted(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).expect("a socket");
    let deadline = Instant::now() + TIMEOUT;
    loop {
        if let Ok((socket, _)) = listener.accept() {
            socket.set_nonblocking(false).expect("a socket");
            socket.set_read_timeout(Some(TIMEOUT)).expect("a time-out");
            return socket;
        }
        assert!(Instant::now() < deadline, "nobody connects");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Guards the descriptors of sockets other than clients': idle clients take all they can get while discovery
/// is down, and the process has no more descriptors than configured. A reload must still be read, the
/// discovery it names be watched, and the node listed there be connected to for a client's request.
#[test]
fn idle_clients_leave_descriptors_for_a_reload_the_watch_and_nodes() {
    let program = Program::start("down", 64, 64);
    let silent: Vec<_> = (0..100).map(|_| program.connect()).collect();
    let bind = || TcpListener::bind("127.0.0.1:0").expect("a port");
    let (discovery, node) = (bind(), bind());
    let address = |listener: &TcpListener| listener.local_addr().expect("an address").to_string();
    let text = std::fs::read_to_string(&program.config).expect("the configuration");
    let mut config: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    config["discovery"] = address(&discovery).into();
    std::fs::write(&program.config, config.to_string()).expect("a file");
    let hup = Command::new("kill").args(["-HUP", &program.child.id().to_string()]).status();
    assert!(hup.expect("kill").success());
    let mut watch = accepted(&discovery);
    expect(&mut watch, b"GET /registry/instances?watch=1 HTTP/1.1\r\n");
    let list = serde_json::json!({"revision": 1, "complete": true, "members": [{
        "id": "s-b", "host_port": address(&node), "locality": "hofdi", "flavor": "half-node", "cell": 0,
        "phase": "SERVING", "size": 1.0, "up_since_ms": 0,
    }]});
    let list = format!("{list}\n");
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    write!(watch, "{head}{:x}\r\n{list}\r\n", list.len()).expect("sent");
    let mut client = program.connect();
    let words = ["CACHE.GET", "1", "id1", "c=lookup,t=nordurbanki,d=60000"];
    write!(client, "*4\r\n").expect("sent");
    words.iter().for_each(|word| write!(client, "${}\r\n{word}\r\n", word.len()).expect("sent"));
    let mut served = accepted(&node);
    expect(&mut served, b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\n1\r\n$3\r\nid1\r\n");
    served.write_all(b"*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n").expect("sent");
    expect(&mut client, b"$1\r\nx\r\n");
    drop(silent);
    let log = program.end();
    assert!(!log.contains("accept failed") && log.contains("reloaded"), "{log}");
}

/// All clients reconnect at once, each with its command right behind the handshake, and silent connections
/// among them.
#[rstest]
fn simultaneous_reconnects_are_answered() {
    let program = Program::start("back", 128, 128);
    let mut silent = Vec::new();
    let mut clients = Vec::new();
    for n in 0..120 {
        match n % 2 {
            0 => silent.push(program.connect()),
            _ => clients.push(program.connect()),
        }
        if let Some(client) = clients.last_mut().filter(|_| n % 2 > 0) {
            client.write_all(PING).expect("sent");
        }
    }
    clients.iter_mut().for_each(|client| expect(client, PONG));
}

/// Two hundred peers misbehave; afterwards a client is answered, and the log has no line for each of them.
#[rstest]
#[case::resets("resets", &[], &[], "unasked 2")]
#[case::half_commands("half", b"*4\r\n$9\r\nCACHE", &[], "closed: s")]
#[case::malformed(
    "malformed",
    b"no RESP at all",
    b"-ERR Protocol error: expected an array of bulk strings\r\n",
    "malformed 200"
)]
#[case::sixty_megabytes(
    "large",
    b"*5\r\n$9\r\nCACHE.SET\r\n$1\r\n1\r\n$1\r\n1\r\n$1\r\nx\r\n$62914560\r\n",
    b"-ERR Protocol error: invalid or oversized bulk length\r\n",
    "malformed 200"
)]
fn rude_peers_neither_block_others_nor_flood_the_log(
    #[case] name: &str,
    #[case] says: &[u8],
    #[case] told: &[u8],
    #[case] counted: &str,
) {
    let program = Program::start(name, 64, 64);
    let mut peers = Vec::new();
    for _ in 0..200 {
        let mut peer = program.connect();
        peer.write_all(says).expect("sent");
        if says.is_empty() {
            // Closing without lingering resets the connection.
            SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("no linger");
        } else if told.is_empty() {
            peers.push(peer);
        } else {
            expect(&mut peer, told);
            assert!(matches!(peer.read(&mut [0; 1]), Ok(0)), "it is closed");
        }
    }
    ping(&mut program.connect());
    let log = program.end();
    assert!(log.contains(counted), "{log}");
    assert!(log.lines().count() < 60, "{log}");
}

/// Hundreds of commands sent at once are answered one by one, as far as the peer reads.
#[rstest]
fn a_pipeline_of_hundreds_is_answered_in_order() {
    let program = Program::start("pipeline", 64, 64);
    let mut peer = program.connect();
    peer.write_all(&[PING, b"*1\r\n$4\r\nPONG\r\n"].concat().repeat(400)).expect("sent");
    expect(&mut peer, &[PONG, b"-ERR unknown command\r\n"].concat().repeat(400));
}
