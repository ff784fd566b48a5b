//! Messages that come in pieces, at every port and in both directions, through real connections to the program
//! as a process. A message gets the responses that it would get in one piece, however it is cut.

mod support;

use rand::{Rng, RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use rstest::rstest;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use support::gateway::{frame, response, NodeReply};
use support::program::{Program, Start};
use support::servers::{cache_node, cluster, memcached_node, slow_origin, Reply};
use support::{bulk, command, line, VALUE};

/// The time between two pieces.
const PAUSE: Duration = Duration::from_millis(10);
/// The longest give-up time of a class, half a second, and the 50 ms by which every limit is longer on sockets.
const ANSWERED_WITHIN: Duration = Duration::from_millis(2500 + 500 + 50);
/// Connections at once: side ports have room for a few dozen for sure.
const BATCH: usize = 64;
/// The seeds of the drawn cuts that are always played; `PIECES_SEEDS=1..50` plays these in their place.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// A port of the program, with the protocol that is spoken there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Port {
    Main,
    Multiget,
    Tap,
    Memcached,
}

impl Port {
    fn address(self, program: &Program) -> SocketAddr {
        match self {
            Port::Main => program.address,
            Port::Multiget => program.side_ports["multi-get"],
            Port::Tap => program.side_ports["tap"],
            Port::Memcached => program.side_ports["memcached"],
        }
    }

    /// Reads one response: its name and how it ended.
    fn response(self, from: &mut BufReader<TcpStream>) -> io::Result<String> {
        match self {
            Port::Main => resp_reply(from),
            Port::Tap => line(from),
            Port::Multiget => {
                let head = line(from)?;
                let items = head.strip_prefix('*').and_then(|n| n.parse().ok()).unwrap_or(0);
                let items: io::Result<Vec<_>> = (0..items).map(|_| resp_reply(from)).collect();
                items.map(|items| if items.is_empty() { head } else { items.join(" ") })
            }
            Port::Memcached => response(from),
        }
    }
}

/// Reads one reply that is no array; of a value its length.
fn resp_reply(from: &mut BufReader<TcpStream>) -> io::Result<String> {
    let head = line(from)?;
    if head.starts_with('$') {
        bulk(from, &head)?;
    }
    Ok(head)
}

/// Wanted where each final answer will do.
const ANY_ANSWER: &str = "any answer";
const NO_RESPONSE: &str = "no response";

/// A message of a client and the responses that it wants.
#[derive(Clone, Debug)]
struct Message {
    port: Port,
    bytes: Vec<u8>,
    responses: Vec<&'static str>,
}

fn message(port: Port, bytes: Vec<u8>, responses: &[&'static str]) -> Message {
    Message { port, bytes, responses: responses.to_vec() }
}

/// Each kind of message of a gateway. `number` makes those of different connections differ.
fn gateway_messages(number: u64) -> Vec<Message> {
    let of =
        |frames: &[Vec<u8>], responses: &[&'static str]| message(Port::Memcached, frames.concat(), responses);
    let (key, noop) = (format!("key-{number}"), frame(0x0a, "", &[], b"", 0));
    let read = |opcode| frame(opcode, &key, &[], b"", 0);
    let write = |opcode| frame(opcode, &key, &[0; 8], &[b'v'; 40], number + 1);
    let long_key = "k".repeat(251);
    let mut data_type = read(0x00);
    data_type[5] = 1;
    vec![
        of(&[read(0x00)], &["GET 0x00"]),
        of(&[read(0x0c)], &["GETK 0x00"]),
        of(&[read(0x09), read(0x0d), noop.clone()], &["GETQ 0x00", "GETKQ 0x00", "NOOP 0x00"]),
        of(&[write(0x01)], &["SET 0x00"]),
        of(&[write(0x11), noop.clone()], &["NOOP 0x00"]),
        of(std::slice::from_ref(&noop), &["NOOP 0x00"]),
        of(&[frame(0x0b, "", &[], b"", 0)], &["VERSION 0x00"]),
        of(&[frame(0x10, "nobody", &[], b"", 0)], &["STAT 0x01"]),
        of(&[frame(0x04, &key, &[], b"", 0)], &["DELETE 0x83"]),
        of(&[frame(0x4f, &key, &[], b"", 0)], &["0x4f 0x81"]),
        of(&[frame(0x07, "", &[], b"", 0)], &["QUIT 0x00", "closed"]),
        of(&[frame(0x17, "", &[], b"", 0)], &["closed"]),
        // The body of a refused frame is skipped, whatever piece it comes in.
        of(&[frame(0x00, &long_key, &[], b"", 0), noop.clone()], &["GET 0x04", "NOOP 0x00"]),
        of(&[data_type, noop], &["GET 0x04", "NOOP 0x00"]),
    ]
}

/// Each kind of message with a login, where one is wanted.
fn login_messages(number: u64) -> Vec<Message> {
    let of =
        |frames: &[Vec<u8>], responses: &[&'static str]| message(Port::Memcached, frames.concat(), responses);
    let login = |opcode, message: &[u8]| frame(opcode, "PLAIN", &[], message, 0);
    let (plain, read) = (b"\0anna\0secret", frame(0x00, &format!("key-{number}"), &[], b"", 0));
    vec![
        of(&[frame(0x20, "", &[], b"", 0)], &["SASL_LIST 0x00"]),
        of(std::slice::from_ref(&read), &["GET 0x20"]),
        of(&[login(0x21, plain), read.clone()], &["SASL_AUTH 0x00", "GET 0x00"]),
        // The message of PLAIN may come in a step of its own.
        of(&[login(0x21, b""), login(0x22, plain), read], &["SASL_AUTH 0x21", "SASL_STEP 0x00", "GET 0x00"]),
    ]
}

/// Each kind of message of the ports that speak text.
fn text_messages(number: u64) -> Vec<Message> {
    let (key, id) = (format!("{number:x}"), format!("id-{number}"));
    let read = command(&["CACHE.GET", &key, &id, "c=lookup,t=nordurbanki,d=1500"]);
    let other = command(&["CACHE.GET", &key, &format!("{id}-b"), "c=lookup,t=nordurbanki,d=1500"]);
    let properties = format!("c=instruct,t=nordurbanki,d=1500,k={id}");
    let write = command(&["CACHE.SET", &key, &format!("{id}-w"), &properties, "value"]);
    let ping = command(&["PING"]);
    let several = [command(&["CACHE.MGET", "2"]), read.clone(), other.clone()].concat();
    vec![
        message(Port::Main, ping.clone(), &["+PONG"]),
        message(Port::Main, [read, ping.clone(), other].concat(), &["$1", "+PONG", "$1"]),
        message(Port::Main, write, &["$7"]),
        message(Port::Main, command(&["CACHE.PUT", &key]), &["-ERR unknown command"]),
        message(Port::Multiget, [several, ping].concat(), &["$8 $1 $1", "+PONG"]),
        message(Port::Tap, b"class=nobody\n".to_vec(), &["# refused: unknown class=nobody", "closed"]),
    ]
}

/// Whether a response is as wanted. A read or a write may be refused as well.
fn fits(wanted: &str, got: &str) -> bool {
    let refused = match wanted {
        "GET 0x00" | "GETK 0x00" | "GETQ 0x00" | "GETKQ 0x00" | "SET 0x00" => got.ends_with("0x85"),
        ANY_ANSWER => !got.starts_with(NO_RESPONSE),
        "$1" | "$7" => got.starts_with("-BUSY"),
        _ => false,
    };
    got == wanted || refused
}

/// Sends a message in pieces on a connection of its own, and reads the responses.
struct Sender {
    message: Message,
    cuts: Vec<usize>,
    socket: TcpStream,
}

impl Sender {
    fn connect(message: Message, cuts: Vec<usize>, program: &Program) -> io::Result<Sender> {
        let socket = TcpStream::connect(message.port.address(program))?;
        socket.set_nodelay(true)?;
        socket.set_read_timeout(Some(ANSWERED_WITHIN))?;
        Ok(Sender { message, cuts, socket })
    }

    /// Sends piece number `n`; whether there are more.
    fn send(&mut self, n: usize) -> io::Result<bool> {
        let from = if n == 0 { 0 } else { self.cuts[n - 1] };
        let to = self.cuts.get(n).copied().unwrap_or(self.message.bytes.len());
        self.socket.write_all(&self.message.bytes[from..to])?;
        Ok(n < self.cuts.len())
    }

    /// Reads the responses; the error tells how they differ from what is wanted.
    fn expect(self) -> Result<usize, String> {
        let Sender { message, cuts, socket } = self;
        let mut from = BufReader::new(socket);
        let mut refused = 0;
        for wanted in &message.responses {
            let got = match *wanted {
                "closed" => from.read(&mut [0; 1]).map(|n| if n == 0 { "closed" } else { "more" }.to_owned()),
                _ => message.port.response(&mut from),
            };
            let got = got.unwrap_or_else(|why| format!("{NO_RESPONSE}: {why}"));
            if !fits(wanted, &got) {
                let (port, length) = (message.port, message.bytes.len());
                return Err(format!("{port:?}, {length} bytes cut at {cuts:?}: {got}, not {wanted}"));
            }
            refused += usize::from(got != *wanted);
        }
        Ok(refused)
    }
}

/// Sends messages in two pieces each, many at once, and checks the responses to all of them.
fn play(program: &Program, messages: Vec<(Message, usize)>) {
    let (mut faults, total, mut refused) = (Vec::new(), messages.len(), 0);
    let mut rest = messages.into_iter().peekable();
    while rest.peek().is_some() {
        let batch = rest.by_ref().take(BATCH);
        let mut senders: Vec<_> = batch
            .map(|(message, cut)| Sender::connect(message, vec![cut], program).expect("it listens"))
            .collect();
        for piece in 0..2 {
            for sender in &mut senders {
                sender.send(piece).expect("it is open");
            }
            thread::sleep(PAUSE);
        }
        for sender in senders {
            match sender.expect() {
                Ok(n) => refused += n,
                Err(fault) => faults.push(fault),
            }
        }
    }
    assert!(faults.is_empty(), "{} of {total} messages: {:#?}", faults.len(), &faults[..faults.len().min(5)]);
    assert!(refused * 10 <= total, "{refused} of {total} refused");
}

/// The program with all ports, before quick servers, with these lines of the operators' file.
fn start(memory_mb: u64, sockets: u64, features: &[&str]) -> Program {
    let members = cluster(cache_node(Reply::Short(1)), slow_origin(Duration::ZERO));
    let ports = ["memcacheport 0", "multigetport 0", "tapport 0"];
    let features = ports.iter().chain(features).map(|line| (*line).to_owned()).collect();
    Program::start_with(Start { features, ..Start::new(memory_mb, sockets, members) })
}

const TENANT: &str = "memcachetenant nordurbanki";

/// Writes a file of logins, which its owner alone may read.
fn logins(name: &str) -> String {
    let path = std::env::temp_dir().join(format!("martenweir-logins-{}-{name}", std::process::id()));
    std::fs::write(&path, "anna nordurbanki secret\n").expect("a file");
    std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o600)).expect("it is ours");
    path.to_string_lossy().into_owned()
}

/// All messages that `messages` makes, one for each byte at which they can be cut.
fn cut_at_each_byte(messages: impl Fn(u64) -> Vec<Message>) -> Vec<(Message, usize)> {
    let mut number = 0;
    let mut all = Vec::new();
    for kind in 0..messages(0).len() {
        for cut in 1..messages(0)[kind].bytes.len() {
            number += 1;
            // Its number may make it a few bytes longer than the first.
            all.push((messages(number).swap_remove(kind), cut));
        }
    }
    all
}

/// Guards against a port that waits for more bytes than a message has: a gateway's frame that came in two
/// pieces was never parsed, and its connection was closed after 2 s.
#[rstest]
#[case::gateways(gateway_messages)]
#[case::text(text_messages)]
fn a_message_in_two_pieces_is_answered_wherever_it_is_cut(#[case] messages: fn(u64) -> Vec<Message>) {
    play(&start(64, 1024, &[TENANT]), cut_at_each_byte(messages));
}

/// Guards a login, whose message may come in a step of its own, against the same.
#[test]
fn a_login_in_two_pieces_is_answered_wherever_it_is_cut() {
    let path = logins("cut");
    let program = start(64, 1024, &[&format!("memcachepasswords {path}")]);
    play(&program, cut_at_each_byte(login_messages));
    std::fs::remove_file(path).expect("it is ours");
}

/// Guards a message behind a PROXY header against the same: what has come with the header is parsed first.
#[rstest]
#[case::version_1(b"PROXY TCP4 192.0.2.7 127.0.0.1 51022 6379\r\n")]
#[case::version_2(b"\r\n\r\n\x00\r\nQUIT\n\x21\x11\x00\x0c\xc0\x00\x02\x08\x7f\x00\x00\x01\xc7\x4e\x18\xeb")]
fn a_message_behind_a_proxy_header_is_answered_wherever_it_is_cut(#[case] header: &'static [u8]) {
    let program = start(64, 1024, &[TENANT, "proxyfrom 127.0.0.1"]);
    let messages = |number| {
        let of = |all: Vec<Message>, kinds: [usize; 2]| kinds.map(|kind| all[kind].clone());
        let all = of(gateway_messages(number), [0, 3]).into_iter().chain(of(text_messages(number), [1, 4]));
        all.map(|message| Message { bytes: [header, &message.bytes].concat(), ..message }).collect()
    };
    play(&program, cut_at_each_byte(messages));
}

/// Guards large values against the same: they take several reads, which are of 16 KiB.
#[rstest]
#[case::least_memory(32, 256)]
#[case::many_descriptors(32, 1024)]
#[case::more_memory(192, 1024)]
fn a_large_value_is_taken_wherever_it_is_cut(
    #[case] memory_mb: u64,
    #[case] sockets: u64,
    #[values(Port::Main, Port::Memcached)] port: Port,
) {
    const READ: usize = 16 * 1024;
    let program = start(memory_mb, sockets, &[TENANT]);
    let (mut number, mut messages) = (0, Vec::new());
    for length in [READ - 60, READ, READ + 1, 3 * READ, VALUE] {
        let around = |at: usize| [at - 1, at, at + 1];
        let cuts: Vec<_> = [READ / 4, READ, 2 * READ, 3 * READ].into_iter().flat_map(around).collect();
        let whole = large_write(port, 0, length).bytes.len();
        for cut in cuts.into_iter().chain([24, 33, whole - 2, whole - 1]).filter(|cut| *cut < whole) {
            number += 1;
            messages.push((large_write(port, number, length), cut));
        }
    }
    // A few at once, so that room is never short.
    for few in messages.chunks(8) {
        play(&program, few.to_vec());
    }
}

/// A write of a value of this many bytes.
fn large_write(port: Port, number: u64, length: usize) -> Message {
    let value = "v".repeat(length);
    match port {
        Port::Memcached => {
            let bytes = frame(0x01, &format!("key-{number:04}"), &[0; 8], value.as_bytes(), number + 1);
            message(port, bytes, &["SET 0x00"])
        }
        _ => {
            let properties = format!("c=instruct,t=nordurbanki,d=1500,k=large-{number:04}");
            let id = format!("large-{number:04}");
            message(port, command(&["CACHE.SET", "1", &id, &properties, &value]), &["$7"])
        }
    }
}

/// Guards against the same with cuts that nobody chose: clients of all ports at once send messages in up to
/// six drawn pieces with drawn pauses, some of them behind each other on one connection.
#[test]
fn messages_in_drawn_pieces_are_answered() {
    let range = std::env::var("PIECES_SEEDS").ok().and_then(|text| {
        let (first, last) = text.split_once("..")?;
        Some(first.parse().ok()?..=last.parse().ok()?)
    });
    let program = start(32, 1024, &[TENANT]);
    let faults: Vec<_> = range.unwrap_or(SEEDS).flat_map(|seed| play_seed(&program, seed)).collect();
    assert!(faults.is_empty(), "{} messages: {:#?}", faults.len(), &faults[..faults.len().min(5)]);
}

/// Plays a seed; returns the responses that were not as wanted.
fn play_seed(program: &Program, seed: u64) -> Vec<String> {
    const CLIENTS: u64 = 24;
    const MESSAGES: u64 = 12;
    thread::scope(|scope| {
        let client = |client: u64| {
            let mut draws = Xoshiro256PlusPlus::seed_from_u64(seed * CLIENTS + client);
            let first = (seed * CLIENTS + client) * MESSAGES;
            let play = move |number| {
                let message = drawn_message(&mut draws, first + number);
                let played = send_in_drawn_pieces(&mut draws, message, program);
                played.err().map(|fault| format!("seed {seed} client {client}: {fault}"))
            };
            scope.spawn(move || (0..MESSAGES).filter_map(play).collect::<Vec<_>>())
        };
        let clients: Vec<_> = (0..CLIENTS).map(client).collect();
        clients.into_iter().flat_map(|client| client.join().expect("no panic")).collect()
    })
}

fn drawn_message(draws: &mut impl Rng, number: u64) -> Message {
    let large = |port, draws: &mut _| {
        let length = RngExt::random_range(draws, 1..=VALUE);
        large_write(port, 1_000_000 + number, length)
    };
    match draws.random_range(0..8) {
        0 => large(Port::Memcached, draws),
        1 => large(Port::Main, draws),
        2..=4 => {
            let mut all = text_messages(10_000_000 + number);
            all.swap_remove(draws.random_range(0..all.len()))
        }
        _ => {
            let mut all = gateway_messages(10_000_000 + number);
            all.swap_remove(draws.random_range(0..all.len()))
        }
    }
}

fn send_in_drawn_pieces(draws: &mut impl Rng, message: Message, program: &Program) -> Result<usize, String> {
    let whole = message.bytes.len();
    let pieces = draws.random_range(1..=6);
    let mut cuts: Vec<_> = (1..pieces).map(|_| draws.random_range(1..whole)).collect();
    cuts.sort_unstable();
    cuts.dedup();
    let mut sender = Sender::connect(message, cuts, program).map_err(|why| why.to_string())?;
    let mut piece = 0;
    while sender.send(piece).map_err(|why| why.to_string())? {
        thread::sleep(Duration::from_millis(draws.random_range(0..=60)));
        piece += 1;
    }
    sender.expect()
}

/// Guards the other direction: the responses of nodes that speak the memcached protocol come in two pieces.
#[test]
fn a_response_of_a_memcached_node_is_taken_wherever_it_is_cut() {
    const LENGTH: usize = 300;
    let responses = Arc::new(AtomicUsize::new(0));
    let node = memcached_node(NodeReply { value: LENGTH, pause: PAUSE, responses: responses.clone() });
    let features = vec!["memcachenodes kind half-node".to_owned()];
    let members = cluster(node, slow_origin(Duration::ZERO));
    let program = Program::start_with(Start { features, ..Start::new(64, 256, members) });
    let whole = 24 + 4 + LENGTH;
    for number in 0..whole {
        let id = format!("id-{number}");
        let read = command(&["CACHE.GET", &format!("{number:x}"), &id, "c=lookup,t=nordurbanki,d=1500"]);
        play(&program, vec![(message(Port::Main, read, &["$300"]), 10)]);
    }
    assert!(responses.load(Ordering::Relaxed) >= whole);
}

/// Guards commands that wait for room of the memory budget, which only the main port refused: others hold all of
/// it with large writes that they do not end, or that the origin works on.
#[rstest]
#[case::unfinished_frames(Port::Memcached, 1)]
#[case::unfinished_commands(Port::Main, 1)]
#[case::commands_in_flight(Port::Main, 0)]
fn a_command_without_room_is_answered_in_time(
    #[case] holder: Port,
    #[case] lacking: usize,
    #[values(Port::Memcached, Port::Multiget)] port: Port,
) {
    /// How long a gateway waits for a write: half of its class's time.
    const WRITE_WAIT: Duration = Duration::from_millis(1250);
    const LOST_AFTER: Duration = Duration::from_millis(550);
    let members = cluster(cache_node(Reply::Short(1)), slow_origin(Duration::from_secs(5)));
    let features = ["memcacheport 0", "multigetport 0", TENANT, "doorbytes 256 KB"].map(str::to_owned);
    let start = Start { features: features.to_vec(), ..Start::new(64, 1024, members) };
    let program = Program::start_with(start);
    let hold = |number: u64| {
        let write = large_write(holder, number, VALUE);
        let mut socket = TcpStream::connect(holder.address(&program)).expect("it listens");
        socket.write_all(&write.bytes[..write.bytes.len() - lacking]).expect("it is open");
        socket
    };
    let holders: Vec<_> = (0..8).map(hold).collect();
    thread::sleep(PAUSE);
    let sent = Instant::now();
    let send = |number: u64| {
        let message = command_that_needs_room(port, 100 + number);
        let mut sender = Sender::connect(message, Vec::new(), &program).expect("it listens");
        sender.send(0).expect("it is open");
        sender
    };
    let senders: Vec<_> = (0..8).map(send).collect();
    for sender in senders {
        sender.expect().expect("an answer");
        assert!(sent.elapsed() < WRITE_WAIT + LOST_AFTER, "after {:?}", sent.elapsed());
    }
    drop(holders);
}

/// A command that is longer than what a connection may hold without room.
fn command_that_needs_room(port: Port, number: u64) -> Message {
    match port {
        Port::Multiget => {
            let long = "k".repeat(4000);
            let properties = format!("c=lookup,t=nordurbanki,d=1500,x={}", "x".repeat(4000));
            let read = command(&["CACHE.GET", &long, &format!("{long}-{number}"), &properties]);
            message(port, [command(&["CACHE.MGET", "1"]), read].concat(), &[ANY_ANSWER])
        }
        // It is refused and its rest passed over, or it finds room in the end and its time is up.
        _ => {
            let write = large_write(Port::Memcached, number, VALUE).bytes;
            let noop = frame(0x0a, "", &[], b"", 0);
            message(Port::Memcached, [write, noop].concat(), &[ANY_ANSWER, "NOOP 0x00"])
        }
    }
}
