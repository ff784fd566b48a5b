//! Gateways that speak the memcached binary protocol; their messages come in two pieces. Every request has to
//! get its final answer.

use crate::case::Case;
use crate::clients::*;
use crate::memcached;
use crate::wire::*;
use crate::world::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Sender};
use std::thread;
use std::time::Duration;

const GATEWAYS: u32 = 12;
const ROUNDS: u32 = 4;
/// The time between the two pieces of a message.
const PAUSE: Duration = Duration::from_millis(20);
/// How long a node takes for a request.
const WORK: Duration = Duration::from_millis(20);
/// The longest give-up time of a class, which is longer than any wait of the port; and how much later an answer may
/// come, with the 50 ms by which limits are longer on sockets.
const GIVE_UP: Duration = Duration::from_millis(2500);
const BEYOND_TIME: Duration = Duration::from_millis(500 + 50);

struct Gateway {
    reader: Reader,
    journal: std::sync::Arc<Journal>,
    broken: Sender<String>,
    name: String,
    pieces: bool,
}

impl Gateway {
    /// Sends a message, in two pieces if the case is to; the second begins behind the first `first` bytes.
    fn send(&mut self, what: &str, message: &[u8], first: usize) {
        let first = if self.pieces { first.clamp(1, message.len() - 1) } else { message.len() };
        let stream = &mut self.reader.stream;
        let mut written = stream.write_all(&message[..first]);
        if first < message.len() {
            thread::sleep(PAUSE);
            written = written.and_then(|()| stream.write_all(&message[first..]));
        }
        self.journal.note(format!(
            "{} sent {what}, {} bytes, the first {first} ahead: {written:?}",
            self.name,
            message.len()
        ));
    }

    /// Waits for a response; says so if none comes in time. Returns whether the connection can go on.
    fn expect(&mut self, what: &str) -> bool {
        let _ = self.reader.stream.set_read_timeout(Some(GIVE_UP + BEYOND_TIME));
        let sent = self.journal.now();
        match memcached::response(&mut self.reader) {
            Ok(response) => {
                self.journal.note(format!(
                    "{} got status {:#04x} for {what} number {}, {} bytes",
                    self.name,
                    response.status,
                    response.opaque,
                    response.body.len()
                ));
                true
            }
            Err(why) => {
                let waited = self.journal.now() - sent;
                let _ =
                    self.broken.send(format!("{}: {what} has no answer, {why} after {waited:?}", self.name));
                false
            }
        }
    }
}

/// A message of a gateway: what it is, where it is cut, and how many responses it wants.
struct Message {
    what: &'static str,
    bytes: Vec<u8>,
    cut: usize,
    responses: usize,
}

/// A read, a write, and quiet reads with a NOOP behind them; the cut is in the header, behind it or in the body.
fn messages(number: u32, round: u32) -> [Message; 3] {
    let key = format!("account-{number}-{round}");
    let frame = |opcode, opaque, value: &[u8], cas| {
        let key = if opcode == memcached::NOOP { "" } else { &key };
        memcached::request(opcode, opaque, key.as_bytes(), value, cas)
    };
    let cut = [10, 24, 30, 33][round as usize % 4];
    let token = u64::from(number + 1) << 32 | u64::from(round);
    let quiet = (0..4).map(|n| frame(memcached::GETKQ, 10 + n, b"", 0));
    let quiet = quiet.chain([frame(memcached::NOOP, 20, b"", 0)]).collect::<Vec<_>>().concat();
    [
        Message { what: "GET", bytes: frame(memcached::GET, 1, b"", 0), cut, responses: 1 },
        Message {
            what: "SET",
            bytes: frame(memcached::SET, 2, &[b'x'; 200], token),
            cut: cut + 40,
            responses: 1,
        },
        Message { what: "four GETKQ and a NOOP", cut: quiet.len() - 7, bytes: quiet, responses: 5 },
    ]
}

/// One gateway, with a connection for each message.
fn gateway(number: u32, address: SocketAddr, case: &Case, broken: Sender<String>) -> impl FnOnce() + use<> {
    let (journal, pieces) = (case.journal.clone(), case.trouble);
    move || {
        for message in (0..ROUNDS).flat_map(|round| messages(number, round)) {
            let Ok(stream) = TcpStream::connect(address) else { continue };
            let _ = stream.set_nodelay(true);
            let (name, reader) = (format!("gateway {number}"), Reader::new(stream));
            let (journal, broken) = (journal.clone(), broken.clone());
            let mut gateway = Gateway { reader, journal, broken, name, pieces };
            gateway.send(message.what, &message.bytes, message.cut);
            let _ = (0..message.responses).all(|_| gateway.expect(message.what));
        }
    }
}

/// Clients of the main port whose messages come in the same pieces.
fn resp_client(
    number: u64,
    address: SocketAddr,
    case: &Case,
    broken: Sender<String>,
) -> impl FnOnce() + use<> {
    let (journal, pieces) = (case.journal.clone(), case.trouble);
    move || {
        for round in 0..u64::from(ROUNDS) {
            let Ok(mut stream) = TcpStream::connect(address) else { continue };
            let _ = stream.set_nodelay(true);
            let asked = read(Site::REYKJAVIK, number * 100 + round, 1500);
            let cut = if pieces { 10 } else { asked.bytes.len() };
            let _ = stream.write_all(&asked.bytes[..cut]);
            thread::sleep(PAUSE);
            let _ = stream.write_all(&asked.bytes[cut..]);
            let _ = stream.set_read_timeout(Some(asked.patience + BEYOND_TIME));
            let answer = Reader::new(stream).answer();
            journal.note(format!("client {number} id={} got {answer:?}", asked.id));
            if let Err(why) = answer {
                let _ = broken.send(format!("client {number}: id={} has no answer, {why}", asked.id));
            }
        }
    }
}

pub fn run(mut case: Case) -> ! {
    let discovery = case.start_platform(Site::REYKJAVIK, WORK);
    let port = free_port().port();
    let features = format!("memcacheport {port}\nmemcachetenant nordurbanki");
    let proxy = Proxy::start(&case.temporary, Site::REYKJAVIK, &discovery, &case.journal, &features);
    if !proxy.wait_ready() {
        case.could_not_run("the proxy is not ready");
    }
    let (broken, told) = channel();
    let gateways = SocketAddr::new(proxy.address.ip(), port);
    let mut threads = Vec::new();
    for n in 0..GATEWAYS {
        threads.push(thread::spawn(gateway(n, gateways, &case, broken.clone())));
        threads.push(thread::spawn(resp_client(u64::from(n), proxy.address, &case, broken.clone())));
    }
    threads.into_iter().for_each(|thread| drop(thread.join()));
    drop(broken);
    told.iter().for_each(|what| case.broken(what));
    case.end(vec![proxy])
}
