//! The memcached port without sockets: bytes in, streams and answers out; and one test with a real
//! connection.

use async_executor::LocalExecutor;
use martenweir::admission::{HeldShare, InputMemory, PortKind, ReservationBudget};
use martenweir::core::{Answer, DownstreamId, Input, NewStream};
use martenweir::net::accept::Socket;
use martenweir::net::command::CommandParser;
use martenweir::net::downstream::{serve, ChangedDownstreams, Link, SharedActivity, TaskMessage, WaitingFor};
use martenweir::net::memcached::gateway::GatewayConnection;
use martenweir::net::memcached::{PortState, Settings};
use martenweir::net::protocol::{ParseStep, Parsed, Protocol};
use martenweir::net::{Caller, NetEvent};
use martenweir::settings::{self, Site};
use memcached::{frame, Limits, Opcode, Request, Response, Status, Step};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use std::cell::Cell;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

fn site() -> Site {
    let text = std::fs::read("tests/exchanges/config.json").expect("the configuration");
    let config: serde_json::Value = serde_json::from_slice(&text).expect("JSON");
    settings::site(&config["settings"]).expect("sound settings")
}

fn port_state() -> Rc<PortState> {
    let settings = Settings { tenant: Some("nordurbanki".into()), ..Settings::default() };
    Rc::new(PortState::new(&settings, &site(), 1).expect("it fits the site"))
}

fn connection(port_state: &Rc<PortState>) -> GatewayConnection {
    GatewayConnection::new(
        port_state.clone(),
        Rc::new(CommandParser { site: Rc::new(site()), ready: true.into() }),
    )
}

fn written(requests: &[Request]) -> Vec<u8> {
    let mut out = Vec::new();
    requests.iter().for_each(|r| r.put(&mut out).expect("it fits"));
    out
}

/// Takes all complete commands of `bytes`.
fn take(connection: &mut GatewayConnection, place: &mut u64, bytes: &mut Vec<u8>) -> Vec<Parsed> {
    let mut all = Vec::new();
    while !bytes.is_empty() {
        let (taken, parsed) = match connection.parse(DownstreamId(1), *place, bytes) {
            ParseStep::Taken(taken, parsed) => (taken, parsed),
            ParseStep::Incomplete(least) => {
                assert!(least > bytes.len() && least <= Limits::default().max_frame_len());
                break;
            }
        };
        bytes.drain(..taken);
        *place += u64::from(!matches!(parsed, Parsed::Part));
        let closes = matches!(parsed, Parsed::Close(_) | Parsed::Malformed(_));
        all.push(parsed);
        if closes {
            break;
        }
    }
    all
}

fn asks(parsed: &[Parsed]) -> Vec<&NewStream> {
    parsed.iter().filter_map(|p| if let Parsed::Stream(ask) = p { Some(&**ask) } else { None }).collect()
}

fn read(key: &[u8]) -> Request<'_> {
    Request { opaque: 7, key, ..Request::new(Opcode::GETQ) }
}

fn write(value: &[u8], cas: u64) -> Request<'_> {
    Request { opaque: 8, key: b"7f3a", extras: &[0; 8], value, cas, ..Request::new(Opcode::SETQ) }
}

/// The status of the answer to an outcome; `None` if no answer is sent.
fn reported(request: Request, answer: Answer) -> Option<Status> {
    let mut connection = connection(&port_state());
    assert_eq!(asks(&take(&mut connection, &mut 0, &mut written(&[request]))).len(), 1);
    let bytes = connection.encode_answer(0, answer);
    match frame::response(&bytes, &Limits::default()) {
        Ok(Step::Complete(Response { opcode, status, opaque, .. }, _)) => {
            assert_eq!((opcode, opaque), (request.opcode, request.opaque));
            Some(status)
        }
        _ => {
            assert!(bytes.is_empty(), "{bytes:?}");
            None
        }
    }
}

/// The four outcomes without a value are distinguishable, and only the answers that the protocol omits are
/// missing.
#[rstest]
#[case::read_served(read(b"k"), Answer::Value(b"v".to_vec()), Some(Status::OK))]
#[case::read_of_nothing(read(b"k"), Answer::Absent, None)]
#[case::read_refused(read(b"k"), Answer::Busy(Some(500_000)), Some(Status::BUSY))]
#[case::read_failed(read(b"k"), Answer::Failed, Some(Status::INTERNAL))]
#[case::read_late(read(b"k"), Answer::Late, Some(Status::TEMPORARY))]
#[case::read_twice(read(b"k"), Answer::DuplicateId, Some(Status::INTERNAL))]
#[case::write_served(write(b"v", 1), Answer::Value(b"receipt".to_vec()), None)]
#[case::write_refused(write(b"v", 1), Answer::Busy(None), Some(Status::BUSY))]
#[case::write_failed(write(b"v", 1), Answer::Failed, Some(Status::INTERNAL))]
#[case::write_late(write(b"v", 1), Answer::Late, Some(Status::TEMPORARY))]
#[case::write_of_nothing(write(b"v", 1), Answer::Absent, Some(Status::KEY_NOT_FOUND))]
fn a_quiet_command_omits_the_answer_of_one_outcome_only(
    #[case] request: Request,
    #[case] answer: Answer,
    #[case] status: Option<Status>,
) {
    assert_eq!(reported(request, answer), status);
}

/// Streams are released when their answers move to the output, and when a connection ends with open streams.
#[test]
fn the_open_streams_of_all_connections_are_bounded_and_released() {
    let port_state = port_state();
    let mut connections: Vec<_> = (0..17).map(|_| (connection(&port_state), 0)).collect();
    let mut reported = 0;
    for (connection, place) in &mut connections {
        let parsed = take(connection, place, &mut written(&vec![read(b"k"); connection.max_streams()]));
        reported += asks(&parsed).len();
    }
    assert_eq!(reported, 1024, "of {}", 17 * connections[0].0.max_streams());
    let (first, place) = &mut connections[0];
    assert!(!first.encode_answer(0, Answer::Value(Vec::new())).is_empty());
    let mut one = |first: &mut GatewayConnection, n: usize| {
        asks(&take(first, place, &mut written(&[read(b"k")]))).len() == n
    };
    assert!(one(first, 0), "its value is not on its way out");
    first.answers_taken(1);
    assert!(one(first, 1) && one(first, 0));
    drop(connections.pop());
    drop(connections.pop());
    let (first, place) = &mut connections[0];
    assert_eq!(asks(&take(first, place, &mut written(&vec![read(b"k"); 80]))).len(), 64);
}

/// The idempotency key of a write depends on everything that the write says, and on nothing else.
#[test]
fn only_a_retry_has_the_idempotency_key_of_its_first_try() {
    let key = |request: &Request| {
        let parsed = take(&mut connection(&port_state()), &mut 0, &mut written(&[*request]));
        let message = asks(&parsed)[0].message.clone();
        let text = String::from_utf8(message.properties.clone()).expect("text");
        (text.split(",k=").nth(1).expect("a key").to_owned(), message.id.clone())
    };
    let first = write(b"VALUE", 0x5c0f);
    let others = [
        write(b"VALUE", 0x5c10),
        write(b"VALUF", 0x5c0f),
        Request { key: b"7f3b", ..first },
        // The same bytes, split elsewhere.
        Request { key: b"7f3aV", value: b"ALUE", ..first },
    ];
    let (again, loud) = (Request { opaque: 99, ..first }, Request { opcode: Opcode::SET, ..first });
    assert!(key(&again).0 == key(&first).0 && key(&loud).0 == key(&first).0);
    let mut keys: Vec<_> = others.iter().chain([&first]).map(|r| key(r).0).collect();
    keys.sort();
    keys.dedup();
    assert_eq!(keys.len(), 5);
}

#[test]
fn request_ids_are_unique() {
    let port_state = port_state();
    let (mut connection, mut place) = (connection(&port_state), 0);
    let mut ids: Vec<_> = (0..2000)
        .flat_map(|_| {
            let parsed = take(&mut connection, &mut place, &mut written(&[read(b"k")]));
            connection.answers_taken(1);
            asks(&parsed).iter().map(|ask| ask.message.id.clone()).collect::<Vec<_>>()
        })
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 2000);
}

#[rstest]
#[case::no_tenant(Settings::default(), "memcacheport: set memcachepasswords or memcachetenant")]
#[case::tenant(Settings { tenant: Some("x".into()), ..Settings::default() }, "unknown tenant x")]
#[case::class(Settings { reads: Some("x".into()), ..Settings::default() }, "memcachereads: unknown class x")]
#[case::reads(Settings { reads: Some("instruct".into()), ..Settings::default() }, "whose requests may run again")]
#[case::no_file(Settings { passwords: Some("/none".into()), ..Settings::default() }, "/none: ")]
fn settings_that_do_not_fit_the_site_are_rejected(#[case] settings: Settings, #[case] wanted: &str) {
    let reported = PortState::new(&settings, &site(), 1).err().unwrap_or_default();
    assert!(reported.contains(wanted), "{reported}");
}

/// Guards against commands that wait forever: silent answers write nothing, so nothing would wake the
/// connection later. Commands waiting for room have to be taken with the last of the silent answers.
#[test]
fn silent_answers_make_room_for_waiting_commands() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut gateway = TcpStream::connect(listener.local_addr().expect("an address")).expect("connected");
    let (socket, client) = listener.accept().expect("a connection");
    let (tell, news) = async_channel::bounded(100);
    let (give, orders) = async_channel::bounded(100);
    let link = Link {
        id: DownstreamId(1),
        socket: Rc::new(Socket::new(
            async_io::Async::new(socket).expect("a socket"),
            &Rc::default(),
            PortKind::Main,
        )),
        orders,
        queue: tell.clone(),
        progress: Rc::new(SharedActivity::new(
            DownstreamId(1),
            WaitingFor::Command,
            Rc::new(ChangedDownstreams::new(tell)),
        )),
        caller: Caller { client, via: None },
        held: HeldShare::new(Rc::default()),
        answers: ReservationBudget::new(1 << 30, 1 << 16),
        input_memory: InputMemory::new(1 << 30),
        turns: Rc::default(),
        input: Cell::default(),
        finishing: false,
    };
    let connection = connection(&port_state());
    let most = connection.max_streams();
    gateway.write_all(&written(&vec![write(b"v", 1); most + 1])).expect("sent");
    let executor = LocalExecutor::new();
    let _task = executor.spawn(serve(link, Box::new(connection)));
    let taken = async_io::block_on(executor.run(async {
        let mut taken = 0;
        loop {
            let patience = async {
                async_io::Timer::after(Duration::from_secs(20)).await;
                Err(async_channel::RecvError)
            };
            match futures_lite::future::or(news.recv(), patience).await {
                Ok(NetEvent::Core(Input::Stream(_))) => taken += 1,
                Ok(NetEvent::DownstreamsChanged) => continue,
                _ => return taken,
            }
            // The first is answered last, and until then none of them makes room.
            if taken == most {
                for place in (0..most as u64).rev() {
                    give.try_send(TaskMessage::Answer(place, Answer::Value(Vec::new()))).expect("room");
                }
            }
            if taken > most {
                return taken;
            }
        }
    }));
    assert_eq!(taken, most + 1);
}

/// The same cases in each run.
fn cases() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(13);
    ProptestConfig { cases: 300, failure_persistence: None, rng_seed, ..ProptestConfig::default() }
}

proptest! {
    #![proptest_config(cases())]

    /// For any input each command has one place, and the commands are the same however the bytes are split.
    #[test]
    fn commands_are_parsed_alike_for_any_fragmentation(
        opcodes in vec((0u8..0x50, 0usize..8, 0usize..300, any::<bool>()), 1..12),
        noise in vec(any::<u8>(), 0..30),
        piece in 1usize..40,
    ) {
        let (key, value) = ([b'k'; 300], [b'v'; 300]);
        let frame = |(opcode, extras, rest, cas): &(u8, usize, usize, bool)| {
            let (extras, rest) = (&[0; 8][..*extras], (*rest).min(270));
            let cas = u64::from(*cas);
            let request = Request { extras, cas, key: &key[..rest], ..Request::new(Opcode(*opcode)) };
            written(&[Request { value: &value[..rest / 3], ..request }])
        };
        let bytes = [opcodes.iter().flat_map(frame).collect(), noise].concat();
        let all = |piece: usize| {
            let (mut connection, mut place, mut held, mut reported) =
                (connection(&port_state()), 0, Vec::new(), Vec::new());
            for part in bytes.chunks(piece) {
                held.extend_from_slice(part);
                for parsed in take(&mut connection, &mut place, &mut held) {
                    let line = match parsed {
                        Parsed::Part => continue,
                        Parsed::Close(_) | Parsed::Malformed(_) => "closed".to_owned(),
                        Parsed::Stream(ask) => format!("{:?} {:?}", ask.message.verb, ask.message.key),
                        other => format!("{other:?}"),
                    };
                    reported.push(line);
                }
                if reported.last().is_some_and(|last| last == "closed") {
                    break;
                }
                assert!(held.len() < Limits::default().max_frame_len() + piece);
            }
            reported
        };
        prop_assert_eq!(all(piece), all(bytes.len().max(1)));
    }
}
