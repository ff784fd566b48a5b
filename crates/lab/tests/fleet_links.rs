//! Tests the relays between two scripted peers, one kind of fault at a time: each peer sees exactly the
//! requested fault, only in the requested direction, and none before or after.
//!
//! Checks look at what arrives, in which order and with which contents, never at how long it took: that
//! nothing has arrived is concluded from what the relay reports as held or lost. Each check is also run
//! without the fault and must then report none.

use lab::fleet::links::{Condition, Delay, Links, Traffic};
use rstest::rstest;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::{Duration, Instant};

/// Timeout of every wait for something that must happen.
const TIMEOUT: Duration = Duration::from_secs(40);

fn links() -> Links {
    Links::start(11).expect("the thread starts")
}

/// Waits until the condition holds.
fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let from = Instant::now();
    while !holds() {
        assert!(from.elapsed() < TIMEOUT, "timed out waiting until {what}");
        thread::sleep(Duration::from_millis(1));
    }
}

/// A connection that `a` has opened to `b`'s listener through a link.
struct Pair {
    links: Links,
    listener: TcpListener,
    address: SocketAddr,
    a: TcpStream,
    b: TcpStream,
}

fn ready(socket: &TcpStream) {
    socket.set_read_timeout(Some(TIMEOUT)).expect("the timeout is set");
    socket.set_write_timeout(Some(TIMEOUT)).expect("the timeout is set");
    socket.set_nodelay(true).expect("no delay");
}

fn accept(listener: &TcpListener) -> TcpStream {
    let b = listener.accept().expect("a connection").0;
    ready(&b);
    b
}

fn connect(address: SocketAddr) -> TcpStream {
    let a = TcpStream::connect(address).expect("the relay listens");
    ready(&a);
    a
}

impl Pair {
    fn new() -> Self {
        let links = links();
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let at = listener.local_addr().expect("an address is known");
        let address = links.tcp("a", "b", "main", at).expect("the link is known");
        let a = connect(address);
        let b = accept(&listener);
        Pair { links, listener, address, a, b }
    }

    fn set(&self, direction: Direction, condition: Condition) {
        let (from, to) = direction.names();
        self.links.set(from, to, condition).expect("the condition is set");
    }

    fn traffic(&self, direction: Direction) -> Traffic {
        let (from, to) = direction.names();
        self.links.traffic(from, to)
    }

    /// Returns the sender and the receiver of a direction.
    fn ends(&mut self, direction: Direction) -> (&mut TcpStream, &mut TcpStream) {
        match direction {
            Direction::Forward => (&mut self.a, &mut self.b),
            Direction::Backward => (&mut self.b, &mut self.a),
        }
    }

    /// Whether bytes sent in this direction arrive unchanged.
    fn flows(&mut self, direction: Direction) -> bool {
        let (from, to) = self.ends(direction);
        from.write_all(b"0123456789").expect("the write succeeds");
        let mut got = [0; 10];
        to.read_exact(&mut got).expect("the data arrives");
        got == *b"0123456789"
    }

    /// Sends bytes and waits until the relay has read them. Returns whether nothing has arrived by then.
    fn is_held(&mut self, direction: Direction, bytes: &[u8]) -> bool {
        let (waiting, passed) = (self.traffic(direction).waiting, self.traffic(direction).bytes);
        self.ends(direction).0.write_all(bytes).expect("the write succeeds");
        let all = waiting + passed + bytes.len() as u64;
        until("the relay has read it", || {
            let t = self.traffic(direction);
            t.waiting + t.bytes >= all
        });
        is_silent(self.ends(direction).1)
    }
}

/// Whether there is neither data nor the end of the stream to read now.
fn is_silent(socket: &TcpStream) -> bool {
    socket.set_nonblocking(true).expect("the socket mode is set");
    let seen = socket.peek(&mut [0]);
    socket.set_nonblocking(false).expect("the socket mode is set");
    matches!(seen, Err(e) if e.kind() == ErrorKind::WouldBlock)
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Direction {
    Forward,
    Backward,
}

impl Direction {
    fn names(self) -> (&'static str, &'static str) {
        match self {
            Direction::Forward => ("a", "b"),
            Direction::Backward => ("b", "a"),
        }
    }

    fn other(self) -> Direction {
        match self {
            Direction::Forward => Direction::Backward,
            Direction::Backward => Direction::Forward,
        }
    }
}

#[rstest]
fn a_blocked_direction_holds_its_own_bytes_only(
    #[values(Condition::cut(), Condition::stall(), Condition { lose: 1.0, ..Condition::default() })]
    fault: Condition,
    #[values(Direction::Forward, Direction::Backward)] direction: Direction,
) {
    let mut pair = Pair::new();
    assert!(pair.flows(direction) && pair.flows(direction.other()));
    // The cut happens in the middle of a frame.
    let frame: Vec<u8> = (0..40_000u32).map(|n| (n % 251) as u8).collect();
    let (from, to) = pair.ends(direction);
    from.write_all(&frame[..7]).expect("the write succeeds");
    let mut got = vec![0; 7];
    to.read_exact(&mut got).expect("the data arrives");
    pair.set(direction, fault);
    assert!(pair.is_held(direction, &frame[7..]), "bytes passed a link that is cut");
    // The other direction of the same connection is unaffected.
    assert!(pair.flows(direction.other()) && pair.flows(direction.other()));
    assert!(is_silent(pair.ends(direction).1));
    pair.set(direction, Condition::default());
    let (from, to) = pair.ends(direction);
    got.resize(frame.len(), 0);
    to.read_exact(&mut got[7..]).expect("the data arrives");
    assert!(got == frame, "bytes of the frame were lost, duplicated or reordered");
    assert!(is_silent(to) && is_silent(from));
    assert!(pair.flows(direction) && pair.flows(direction.other()));
}

#[test]
fn the_hold_check_reports_nothing_without_a_fault() {
    let mut pair = Pair::new();
    assert!(!pair.is_held(Direction::Forward, b"whole"), "the check reports a fault though there is none");
    let mut got = [0; 5];
    pair.b.read_exact(&mut got).expect("the data arrives");
    pair.set(Direction::Backward, Condition::cut());
    assert!(!pair.is_held(Direction::Forward, b"whole"), "the fault is in the other direction");
}

/// Bytes in which every position is distinguishable.
fn pattern(count: usize) -> Vec<u8> {
    (0..count as u32).flat_map(|n| n.to_be_bytes()).collect()
}

#[rstest]
fn a_link_healed_with_full_buffers_loses_nothing(
    #[values(Condition::cut(), Condition::stall())] fault: Condition,
) {
    let mut pair = Pair::new();
    pair.set(Direction::Forward, fault);
    let all = pattern(4 << 20);
    // Write until the socket buffers and the relay are full.
    pair.a.set_nonblocking(true).expect("the socket mode is set");
    let mut sent = 0;
    let mut last = u64::MAX;
    loop {
        match pair.a.write(&all[sent..]) {
            Ok(n) => sent += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => {
                let waiting = pair.traffic(Direction::Forward).waiting;
                if waiting == last && waiting > 0 {
                    break;
                }
                last = waiting;
                thread::sleep(Duration::from_millis(5));
            }
            Err(e) => panic!("{e}"),
        }
    }
    assert!(sent < all.len(), "a cut link accepted an unlimited number of bytes");
    let held = pair.traffic(Direction::Forward);
    assert!(held.waiting <= 256 * 1024, "the relay holds {}", held.waiting);
    pair.a.set_nonblocking(false).expect("the socket mode is set");
    assert!(is_silent(&pair.b) && pair.flows(Direction::Backward));
    let mut rest = pair.a.try_clone().expect("the socket is cloned");
    let tail = all[sent..].to_vec();
    let writer = thread::spawn(move || rest.write_all(&tail).and_then(|()| rest.shutdown(Shutdown::Write)));
    pair.set(Direction::Forward, Condition::default());
    let mut got = Vec::new();
    pair.b.read_to_end(&mut got).expect("all data arrives");
    writer.join().expect("it ends").expect("all data is written");
    assert!(got == all, "{} of {} bytes", got.len(), all.len());
    assert_eq!(pair.traffic(Direction::Forward).waiting, 0);
}

#[test]
fn a_half_close_is_forwarded_and_held_by_a_cut_like_bytes() {
    let mut pair = Pair::new();
    pair.set(Direction::Forward, Condition::cut());
    assert!(pair.is_held(Direction::Forward, b"last words"));
    pair.a.shutdown(Shutdown::Write).expect("a half-close");
    assert!(pair.flows(Direction::Backward));
    assert!(is_silent(&pair.b), "the half-close overtook the bytes or passed a cut");
    pair.set(Direction::Forward, Condition::default());
    let mut got = String::new();
    pair.b.read_to_string(&mut got).expect("the end of one direction");
    assert_eq!(got, "last words");
    for _ in 0..3 {
        assert!(pair.flows(Direction::Backward), "the other direction is still open");
    }
    pair.b.shutdown(Shutdown::Write).expect("a half-close");
    assert_eq!(pair.a.read(&mut [0]).expect("an end, no reset"), 0);
}

/// How a connection ended for its reader.
fn ending(socket: &mut TcpStream) -> &'static str {
    match socket.read(&mut [0; 64]) {
        Ok(0) => "closed",
        Ok(_) => "bytes",
        Err(e) if e.kind() == ErrorKind::ConnectionReset => "reset",
        Err(e) => panic!("{e}"),
    }
}

#[test]
fn a_reset_affects_both_ends_of_its_link_only() {
    let mut pair = Pair::new();
    let other = pair.links.tcp("c", "b", "main", pair.listener.local_addr().expect("an address is known"));
    let mut c = connect(other.expect("the link is known"));
    let mut cb = accept(&pair.listener);
    assert_eq!(
        pair.links.reset("b", "a").expect("the reset succeeds"),
        1,
        "the connection is reset whoever opened it"
    );
    assert_eq!((ending(&mut pair.a), ending(&mut pair.b)), ("reset", "reset"));
    c.write_all(b"x").expect("the write succeeds");
    assert_eq!((ending(&mut cb), pair.links.reset("a", "b").expect("the reset succeeds")), ("bytes", 0));
    pair.a = connect(pair.address);
    pair.b = accept(&pair.listener);
    assert!(pair.flows(Direction::Forward) && pair.flows(Direction::Backward));
    // Control: a connection closed by its peer is not reset.
    drop(pair.a);
    assert_eq!(ending(&mut pair.b), "closed");
}

#[test]
fn a_reset_by_a_peer_is_forwarded_and_held_by_a_cut() {
    let mut pair = Pair::new();
    pair.set(Direction::Forward, Condition::cut());
    assert!(pair.is_held(Direction::Forward, b"before"));
    let a = socket2::Socket::from(pair.a.try_clone().expect("the socket is cloned"));
    a.set_linger(Some(Duration::ZERO)).expect("the option is set");
    drop(a);
    drop(std::mem::replace(&mut pair.a, connect(pair.address)));
    until("the relay has seen what came after the reset", || {
        pair.traffic(Direction::Forward).connections == 2
    });
    assert!(is_silent(&pair.b), "a reset passed a cut");
    pair.set(Direction::Forward, Condition::default());
    let mut got = [0; 6];
    pair.b.read_exact(&mut got).expect("what was sent before the reset");
    assert_eq!((&got, ending(&mut pair.b)), (b"before", "reset"));
}

#[test]
fn refusing_connections_does_not_affect_established_ones() {
    let mut pair = Pair::new();
    let refused = |pair: &Pair| TcpStream::connect(pair.address).err().map(|e| e.kind());
    pair.set(Direction::Backward, Condition { refuse: true, ..Condition::default() });
    assert_eq!(refused(&pair), None, "only connections opened by the other peer are refused");
    drop(accept(&pair.listener));
    pair.set(Direction::Forward, Condition { refuse: true, ..Condition::default() });
    assert_eq!(refused(&pair), Some(ErrorKind::ConnectionRefused));
    assert!(pair.flows(Direction::Forward) && pair.flows(Direction::Backward));
    // Established connections can be reset in addition.
    assert_eq!(pair.links.reset("a", "b").expect("the reset succeeds"), 1);
    assert_eq!(ending(&mut pair.a), "reset");
    pair.set(Direction::Forward, Condition::default());
    pair.a = connect(pair.address);
    pair.b = accept(&pair.listener);
    assert!(pair.flows(Direction::Forward) && pair.flows(Direction::Backward));
}

#[rstest]
fn a_connection_is_established_only_after_a_cut_ends(
    #[values(Direction::Forward, Direction::Backward)] direction: Direction,
) {
    let pair = Pair::new();
    pair.set(direction, Condition::cut());
    let mut a = connect(pair.address);
    a.write_all(b"hello").expect("the write succeeds");
    // Connections whose opener gives up during the cut must never reach the target.
    drop(connect(pair.address));
    let mut gone = connect(pair.address);
    gone.write_all(b"stale").expect("the write succeeds");
    drop(gone);
    until("the relay has accepted them", || pair.traffic(Direction::Forward).connections == 4);
    pair.listener.set_nonblocking(true).expect("the socket mode is set");
    let early = pair.listener.accept();
    assert!(
        matches!(early, Err(e) if e.kind() == ErrorKind::WouldBlock),
        "the target was dialled during a cut"
    );
    pair.listener.set_nonblocking(false).expect("the socket mode is set");
    pair.set(direction, Condition::default());
    let mut b = accept(&pair.listener);
    let mut got = [0; 5];
    b.read_exact(&mut got).expect("the data arrives");
    assert_eq!(&got, b"hello");
    // The abandoned connections would have arrived before this one.
    let mut last = connect(pair.address);
    last.write_all(b"after").expect("the write succeeds");
    let mut next = accept(&pair.listener);
    next.read_exact(&mut got).expect("the data arrives");
    assert_eq!(&got, b"after");
}

#[test]
fn a_closed_target_refuses_and_a_restarted_one_is_reached() {
    let mut pair = Pair::new();
    let new = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    drop(std::mem::replace(&mut pair.listener, TcpListener::bind("127.0.0.1:0").expect("a port is free")));
    let mut a = connect(pair.address);
    assert_eq!(ending(&mut a), "reset");
    until("it is counted", || pair.traffic(Direction::Forward).refused == 1);
    pair.links.shut("b", "main").expect("the link is known");
    let refused = TcpStream::connect(pair.address).map_err(|e| e.kind());
    assert_eq!(refused.err(), Some(ErrorKind::ConnectionRefused));
    pair.links.aim("b", "main", new.local_addr().expect("an address is known")).expect("the link is known");
    pair.listener = new;
    assert!(pair.links.aim("b", "other", pair.address).is_err(), "there is no such link");
    pair.a = connect(pair.address);
    pair.b = accept(&pair.listener);
    assert!(pair.flows(Direction::Forward) && pair.flows(Direction::Backward));
}

#[test]
fn a_peer_that_does_not_read_is_written_to_until_its_buffers_are_full() {
    // Like a stopped process: its kernel keeps receiving bytes.
    let mut pair = Pair::new();
    let all = pattern(4 << 20);
    let copy = all.clone();
    let mut a = pair.a.try_clone().expect("the socket is cloned");
    let writer = thread::spawn(move || a.write_all(&copy));
    until("its system takes no more", || pair.traffic(Direction::Forward).waiting > 128 * 1024);
    assert!(pair.traffic(Direction::Forward).bytes > 0 && pair.flows(Direction::Backward));
    let mut got = vec![0; all.len()];
    pair.b.read_exact(&mut got).expect("all data arrives");
    writer.join().expect("it ends").expect("all data is written");
    assert!(got == all, "bytes were lost, duplicated or reordered");
}

#[rstest]
fn delays_losses_and_rate_limits_cost_a_connection_time_but_no_bytes(
    #[values(
        Condition { delay: Delay { fixed_ms: 5.0, jitter_ms: 5.0, tail_one_in: 4, tail_ms: 5.0 }, ..Condition::default() },
        Condition { lose: 0.05, ..Condition::default() },
        Condition { bytes_per_s: Some(400_000), ..Condition::default() },
        Condition { duplicate: 1.0, reorder: 1.0, ..Condition::default() }
    )]
    fault: Condition,
    #[values(Direction::Forward, Direction::Backward)] direction: Direction,
) {
    let mut pair = Pair::new();
    pair.set(direction, fault);
    let all = pattern(8_000);
    let copy = all.clone();
    let (from, to) = pair.ends(direction);
    let mut from = from.try_clone().expect("the socket is cloned");
    let writer = thread::spawn(move || from.write_all(&copy));
    let mut got = vec![0; all.len()];
    to.read_exact(&mut got).expect("all data arrives");
    writer.join().expect("it ends").expect("all data is written");
    assert!(got == all, "bytes were lost, duplicated or reordered");
    pair.set(direction, Condition::default());
    assert!(pair.flows(direction) && pair.flows(direction.other()) && is_silent(pair.ends(direction).1));
}

#[rstest]
fn a_fixed_delay_applies_to_its_direction_and_ends_when_lifted(
    #[values(Direction::Forward, Direction::Backward)] direction: Direction,
) {
    const DELAY: Duration = Duration::from_millis(60);
    let mut pair = Pair::new();
    pair.set(direction, Condition::delayed(60.0));
    let from = Instant::now();
    assert!(pair.flows(direction));
    assert!(from.elapsed() >= DELAY, "data arrived before its due time");
    // Lifting a delay of an hour releases even the data in flight.
    pair.set(direction, Condition::delayed(3_600_000.0));
    assert!(pair.is_held(direction, b"late") && pair.flows(direction.other()));
    pair.set(direction, Condition::default());
    let mut got = [0; 4];
    pair.ends(direction).1.read_exact(&mut got).expect("the data arrives");
    assert_eq!(&got, b"late");
    assert!(pair.flows(direction));
}

/// Number of bytes that differ from what was sent.
fn changed(got: &[u8], sent: &[u8]) -> usize {
    assert_eq!(got.len(), sent.len());
    got.iter().zip(sent).filter(|(a, b)| a != b).count()
}

#[rstest]
fn one_byte_of_a_chunk_is_garbled_in_the_requested_direction(
    #[values(Direction::Forward, Direction::Backward)] direction: Direction,
) {
    let mut pair = Pair::new();
    let exchange = |pair: &mut Pair, direction: Direction| {
        let (from, to) = pair.ends(direction);
        from.write_all(b"0123456789").expect("the write succeeds");
        let mut got = [0; 10];
        to.read_exact(&mut got).expect("the data arrives");
        changed(&got, b"0123456789")
    };
    pair.set(direction, Condition { garble: 1.0, ..Condition::default() });
    // Ten bytes are a single chunk.
    assert_eq!((exchange(&mut pair, direction), exchange(&mut pair, direction.other())), (1, 0));
    assert_eq!(pair.traffic(direction).garbled, 1);
    pair.set(direction, Condition::default());
    assert_eq!((exchange(&mut pair, direction), exchange(&mut pair, direction.other())), (0, 0));
}

#[test]
fn dropping_links_closes_all_connections_and_ports() {
    let mut pair = Pair::new();
    pair.set(Direction::Forward, Condition::delayed(3_600_000.0));
    assert!(pair.is_held(Direction::Forward, b"never"));
    drop(std::mem::replace(&mut pair.links, links()));
    assert_eq!((ending(&mut pair.a), ending(&mut pair.b)), ("reset", "reset"));
    assert_eq!(TcpStream::connect(pair.address).err().map(|e| e.kind()), Some(ErrorKind::ConnectionRefused));
}

/// Two peers with one UDP socket each; `a` sends to `to_b` and `b` to `to_a`.
struct UdpPeers {
    links: Links,
    a: UdpSocket,
    b: UdpSocket,
    to_a: SocketAddr,
    to_b: SocketAddr,
}

impl UdpPeers {
    fn new() -> Self {
        let links = links();
        let socket = || {
            let socket = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
            socket.set_read_timeout(Some(TIMEOUT)).expect("the timeout is set");
            socket
        };
        let (a, b) = (socket(), socket());
        let at = |s: &UdpSocket| s.local_addr().expect("an address is known");
        let (to_b, to_a) = links.udp_pair("a", "b", "gossip", at(&a), at(&b)).expect("the link is known");
        UdpPeers { links, a, b, to_a, to_b }
    }

    fn set(&self, direction: Direction, condition: Condition) {
        let (from, to) = direction.names();
        self.links.set(from, to, condition).expect("the condition is set");
    }

    fn send(&self, direction: Direction, n: u8) {
        let sent = match direction {
            Direction::Forward => self.a.send_to(&[n; 16], self.to_b),
            Direction::Backward => self.b.send_to(&[n; 16], self.to_a),
        };
        assert_eq!(sent.expect("the write succeeds"), 16);
    }

    /// Sends datagrams numbered from 0 and returns what arrives, in order of arrival, once the relay has
    /// handled every datagram and all that it forwarded have arrived.
    fn exchange(&self, direction: Direction, count: u8) -> Vec<Vec<u8>> {
        let (from, to) = direction.names();
        let before = self.links.traffic(from, to);
        (0..count).for_each(|n| self.send(direction, n));
        let mut after = before;
        until("the relay has dealt with all", || {
            after = self.links.traffic(from, to);
            let twice = after.duplicated - before.duplicated;
            let dealt = after.messages - before.messages + after.lost - before.lost;
            dealt == u64::from(count) + twice
        });
        assert_eq!(after.dropped, before.dropped);
        let (receiver, source) = match direction {
            Direction::Forward => (&self.b, self.to_a),
            Direction::Backward => (&self.a, self.to_b),
        };
        let mut got = Vec::new();
        for _ in 0..after.messages - before.messages {
            let mut bytes = [0; 64];
            let (len, sender) = receiver.recv_from(&mut bytes).expect("the data arrives");
            assert_eq!(sender, source, "a member is known by one address");
            got.push(bytes[..len].to_vec());
        }
        receiver.set_nonblocking(true).expect("the socket mode is set");
        assert!(receiver.recv(&mut [0; 64]).is_err(), "more datagrams arrived than the relay reports");
        receiver.set_nonblocking(false).expect("the socket mode is set");
        got
    }
}

/// Faults observed by the receiver of numbered datagrams.
#[derive(Debug, Default, PartialEq)]
struct Seen {
    lost: bool,
    twice: bool,
    out_of_order: bool,
    garbled: bool,
}

fn seen(got: &[Vec<u8>], count: u8) -> Seen {
    // At most one of the 16 equal bytes of a datagram is changed.
    let number = |bytes: &Vec<u8>| if bytes[0] == bytes[1] { bytes[0] } else { bytes[2] };
    let numbers: Vec<u8> = got.iter().map(number).collect();
    for bytes in got {
        assert_eq!(bytes.len(), 16);
        assert!(changed(bytes, &[number(bytes); 16]) <= 1);
    }
    let times = |n: u8| numbers.iter().filter(|m| **m == n).count();
    Seen {
        lost: (0..count).any(|n| times(n) == 0),
        twice: (0..count).any(|n| times(n) > 1),
        out_of_order: numbers.windows(2).any(|w| w[0] > w[1]),
        garbled: got.iter().any(|b| changed(b, &[number(b); 16]) == 1),
    }
}

#[rstest]
fn datagrams_get_the_requested_fault_in_that_direction_only(
    #[values(
        (Condition::cut(), Seen { lost: true, ..Seen::default() }),
        (Condition::stall(), Seen { lost: true, ..Seen::default() }),
        (Condition { lose: 0.5, ..Condition::default() }, Seen { lost: true, ..Seen::default() }),
        (Condition { duplicate: 0.5, ..Condition::default() }, Seen { twice: true, ..Seen::default() }),
        (Condition { reorder: 1.0, ..Condition::default() }, Seen { out_of_order: true, ..Seen::default() }),
        (Condition { garble: 0.5, ..Condition::default() }, Seen { garbled: true, ..Seen::default() }),
        (Condition::delayed(20.0), Seen::default()),
        (Condition { bytes_per_s: Some(4_000), ..Condition::default() }, Seen::default())
    )]
    fault: (Condition, Seen),
    #[values(Direction::Forward, Direction::Backward)] direction: Direction,
) {
    const COUNT: u8 = 40;
    let peers = UdpPeers::new();
    let (condition, expected) = fault;
    let all_lost = condition.blocks_all();
    let nothing = |direction| assert_eq!(seen(&peers.exchange(direction, COUNT), COUNT), Seen::default());
    nothing(direction);
    peers.set(direction, condition);
    let got = peers.exchange(direction, COUNT);
    assert_eq!(seen(&got, COUNT), expected);
    assert_eq!(got.is_empty(), all_lost);
    nothing(direction.other());
    peers.set(direction, Condition::default());
    nothing(direction);
}

#[test]
fn a_datagram_is_not_early_and_a_cut_loses_those_in_flight() {
    let peers = UdpPeers::new();
    peers.set(Direction::Forward, Condition::delayed(50.0));
    let from = Instant::now();
    assert_eq!(peers.exchange(Direction::Forward, 1), [[0; 16]]);
    assert!(from.elapsed() >= Duration::from_millis(50), "data arrived before its due time");
    peers.set(Direction::Forward, Condition::delayed(3_600_000.0));
    // Send more than may be in flight: the excess is dropped, and the cut loses the rest.
    let mut sent = 0;
    until("some found no room", || {
        peers.send(Direction::Forward, 1);
        sent += 1;
        peers.links.traffic("a", "b").dropped > 0
    });
    peers.set(Direction::Forward, Condition::cut());
    let gone = |t: Traffic| t.lost + t.dropped;
    until("those on their way are lost", || gone(peers.links.traffic("a", "b")) == sent);
    assert!(peers.links.traffic("a", "b").lost >= 1024);
    peers.set(Direction::Forward, Condition::default());
    assert_eq!(peers.exchange(Direction::Forward, 1), [[0; 16]]);
}

#[test]
fn replies_to_datagrams_are_returned_and_a_new_target_is_used() -> io::Result<()> {
    let links = links();
    let socket = || -> io::Result<UdpSocket> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(TIMEOUT))?;
        Ok(socket)
    };
    let (a, b, c) = (socket()?, socket()?, socket()?);
    let to_b = links.udp("a", "b", "agent", b.local_addr()?)?;
    assert_eq!(links.udp("a", "b", "agent", b.local_addr()?)?, to_b, "one link, one address");
    let mut bytes = [0; 8];
    for target in [&b, &c, &b] {
        links.aim("b", "agent", target.local_addr()?)?;
        a.send_to(b"ask", to_b)?;
        let (len, source) = target.recv_from(&mut bytes)?;
        assert_eq!((&bytes[..len], source == to_b), (&b"ask"[..], false));
        target.send_to(b"answer", source)?;
        let (len, source) = a.recv_from(&mut bytes)?;
        assert_eq!((&bytes[..len], source), (&b"answer"[..], to_b));
    }
    links.shut("b", "agent")?;
    a.send_to(b"lost", to_b)?;
    until("nobody is there", || links.traffic("a", "b").dropped == 1);
    Ok(())
}
