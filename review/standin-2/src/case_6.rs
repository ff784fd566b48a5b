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
/// The give-up time of the classes, which is longer than any wait of the port, and what an answer may be late.
const GIVE_UP: Duration = Duration::from_millis(2500);
const BEYOND_TIME: Duration = Duration::from_millis(500);

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

/// One gateway: reads, writes and quiet reads with a NOOP behind them.
fn gateway(number: u32, address: SocketAddr, case: &Case, broken: Sender<String>) -> impl FnOnce() + use<> {
    let (journal, pieces) = (case.journal.clone(), case.trouble);
    move || {
        for round in 0..ROUNDS {
            let Ok(stream) = TcpStream::connect(address) else { continue };
            let _ = stream.set_nodelay(true);
            let name = format!("gateway {number} round {round}");
            let reader = Reader::new(stream);
            let mut gateway =
                Gateway { reader, journal: journal.clone(), broken: broken.clone(), name, pieces };
            let key = format!("account-{number}-{round}");
            // The cut is in the header, behind it, or in the body.
            let cut = [10, 24, 30, 33][round as usize % 4];
            let get = memcached::request(memcached::GET, 1, key.as_bytes(), b"", 0);
            gateway.send("GET", &get, cut);
            if !gateway.expect("GET") {
                continue;
            }
            let cas = u64::from(number) << 32 | u64::from(round) + 1;
            let set = memcached::request(memcached::SET, 2, key.as_bytes(), &[b'x'; 200], cas);
            gateway.send("SET", &set, cut + 40);
            if !gateway.expect("SET") {
                continue;
            }
            let mut quiet: Vec<u8> = Vec::new();
            for n in 0..4 {
                quiet.extend(memcached::request(memcached::GETKQ, 10 + n, key.as_bytes(), b"", 0));
            }
            quiet.extend(memcached::request(memcached::NOOP, 20, b"", b"", 0));
            gateway.send("four GETKQ and a NOOP", &quiet, quiet.len() - 7);
            let _ = (0..5).all(|_| gateway.expect("GETKQ or NOOP"));
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
    let (journal, ledger, pieces) = (case.journal.clone(), case.ledger.clone(), case.trouble);
    move || {
        for round in 0..u64::from(ROUNDS) {
            let Ok(mut client) = Client::connect(address, &journal, &ledger) else { continue };
            let asked = request(number * 100 + round, "lookup", false, 1500, 0);
            let cut = if pieces { 10 } else { asked.bytes.len() };
            let _ = client.reader.stream.write_all(&asked.bytes[..cut]);
            thread::sleep(PAUSE);
            let _ = client.reader.stream.write_all(&asked.bytes[cut..]);
            let _ = client.reader.stream.set_read_timeout(Some(asked.patience + BEYOND_TIME));
            let answer = client.reader.answer();
            journal.note(format!("client {number} got id={} {answer:?}", asked.id));
            if let Err(why) = answer {
                let _ = broken.send(format!("client {number}: id={} has no answer, {why}", asked.id));
            }
        }
    }
}

pub fn run(mut case: Case) -> ! {
    let (_servers, entries) =
        case.start_servers(4, 100, |_| std::sync::Arc::new(|_: &Arrived| Act::Serve(WORK)));
    let discovery = Discovery::start("discovery", entries, &case.journal);
    let port = free_port().port();
    let features = format!("memcacheport {port}\nmemcachetenant nordurbanki");
    let proxy = Proxy::start_with(&case.temporary, &Site::default(), &discovery, &case.journal, &features);
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
