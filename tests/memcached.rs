//! The memcached port without sockets: bytes in, streams and answers out; and one connection of it by hand.

use async_executor::LocalExecutor;
use martenweir::core::{Answer, DownstreamId, Input, NewStream};
use martenweir::door::Side;
use martenweir::net::accept::Socket;
use martenweir::net::downstream::{serve, Link, Moved, Order, Progress, Waits};
use martenweir::net::memcached::front::Front;
use martenweir::net::memcached::{Desk, Settings};
use martenweir::net::protocol::{Parsed, Protocol};
use martenweir::net::vocabulary::Vocabulary;
use martenweir::net::{Caller, News};
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

fn desk() -> Rc<Desk> {
    let settings = Settings { tenant: Some("nordurbanki".into()), ..Settings::default() };
    Rc::new(Desk::new(&settings, &site(), 1).expect("it fits the site"))
}

fn front(desk: &Rc<Desk>) -> Front {
    Front::new(desk.clone(), Rc::new(Vocabulary { site: Rc::new(site()), ready: true.into() }))
}

fn written(requests: &[Request]) -> Vec<u8> {
    let mut out = Vec::new();
    requests.iter().for_each(|r| r.put(&mut out).expect("it fits"));
    out
}

/// Takes all that is whole in `bytes`, and what each command became.
fn take(front: &mut Front, place: &mut u64, bytes: &mut Vec<u8>) -> Vec<Parsed> {
    let mut all = Vec::new();
    while let Some((taken, parsed)) = front.take(DownstreamId(1), *place, bytes).filter(|_| !bytes.is_empty())
    {
        bytes.drain(..taken);
        *place += u64::from(!matches!(parsed, Parsed::More));
        let closes = matches!(parsed, Parsed::Close(_) | Parsed::Malformed(_));
        all.push(parsed);
        if closes {
            break;
        }
    }
    all
}

fn asks(parsed: &[Parsed]) -> Vec<&NewStream> {
    parsed.iter().filter_map(|p| if let Parsed::Ask(ask) = p { Some(&**ask) } else { None }).collect()
}

fn read(key: &[u8]) -> Request<'_> {
    Request { opaque: 7, key, ..Request::new(Opcode::GETQ) }
}

fn write(value: &[u8], cas: u64) -> Request<'_> {
    Request { opaque: 8, key: b"7f3a", extras: &[0; 8], value, cas, ..Request::new(Opcode::SETQ) }
}

/// What is told of an outcome, as a status; `None` for silence.
fn told(request: Request, answer: Answer) -> Option<Status> {
    let mut front = front(&desk());
    assert_eq!(asks(&take(&mut front, &mut 0, &mut written(&[request]))).len(), 1);
    let bytes = front.answer(0, answer);
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

/// The four ends without a value are told apart, and only what the protocol leaves out is silent.
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
fn a_quiet_command_is_silent_about_one_outcome_only(
    #[case] request: Request,
    #[case] answer: Answer,
    #[case] status: Option<Status>,
) {
    assert_eq!(told(request, answer), status);
}

/// Seats are given back with what is on its way out, and with a connection that leaves its streams open.
#[test]
fn all_connections_together_have_a_bound_and_give_back_what_they_took() {
    let desk = desk();
    let mut fronts: Vec<_> = (0..17).map(|_| (front(&desk), 0)).collect();
    let mut told = 0;
    for (front, place) in &mut fronts {
        let parsed = take(front, place, &mut written(&vec![read(b"k"); front.streams()]));
        told += asks(&parsed).len();
    }
    assert_eq!(told, 1024, "of {}", 17 * fronts[0].0.streams());
    let (first, place) = &mut fronts[0];
    assert!(!first.answer(0, Answer::Value(Vec::new())).is_empty());
    let mut one =
        |first: &mut Front, n: usize| asks(&take(first, place, &mut written(&[read(b"k")]))).len() == n;
    assert!(one(first, 0), "its value is not on its way out");
    first.sent(1);
    assert!(one(first, 1) && one(first, 0));
    drop(fronts.pop());
    drop(fronts.pop());
    let (first, place) = &mut fronts[0];
    assert_eq!(asks(&take(first, place, &mut written(&vec![read(b"k"); 80]))).len(), 64);
}

/// What of a write makes its idempotency key: all that it says, and nothing else.
#[test]
fn a_retry_has_the_key_of_its_first_try_and_nothing_else_has() {
    let key = |request: &Request| {
        let parsed = take(&mut front(&desk()), &mut 0, &mut written(&[*request]));
        let message = asks(&parsed)[0].message.clone();
        let text = String::from_utf8(message.properties.clone()).expect("text");
        (text.split(",k=").nth(1).expect("a key").to_owned(), message.id.clone())
    };
    let first = write(b"VALUE", 0x5c0f);
    let others = [
        write(b"VALUE", 0x5c10),
        write(b"VALUF", 0x5c0f),
        Request { key: b"7f3b", ..first },
        // The same bytes, cut elsewhere.
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
fn no_two_requests_have_an_id_in_common() {
    let desk = desk();
    let (mut front, mut place) = (front(&desk), 0);
    let mut ids: Vec<_> = (0..2000)
        .flat_map(|_| {
            let parsed = take(&mut front, &mut place, &mut written(&[read(b"k")]));
            front.sent(1);
            asks(&parsed).iter().map(|ask| ask.message.id.clone()).collect::<Vec<_>>()
        })
        .collect();
    ids.sort();
    ids.dedup();
    assert_eq!(ids.len(), 2000);
}

#[rstest]
#[case::no_tenant(Settings::default(), "memcacheport: memcachepasswords or memcachetenant is wanted")]
#[case::tenant(Settings { tenant: Some("x".into()), ..Settings::default() }, "unknown tenant x")]
#[case::class(Settings { reads: Some("x".into()), ..Settings::default() }, "memcachereads: unknown class x")]
#[case::reads(Settings { reads: Some("instruct".into()), ..Settings::default() }, "which may run again")]
#[case::no_file(Settings { passwords: Some("/none".into()), ..Settings::default() }, "/none: ")]
fn settings_that_do_not_fit_the_site_are_told(#[case] settings: Settings, #[case] wanted: &str) {
    let told = Desk::new(&settings, &site(), 1).err().unwrap_or_default();
    assert!(told.contains(wanted), "{told}");
}

/// Answers that are all silent bring nothing to write, and so nothing that would wake a connection later:
/// what waits behind them for room has to be taken with the last of them.
#[test]
fn silent_answers_make_room_for_the_commands_that_wait() {
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
            Side::Main,
        )),
        orders,
        queue: tell.clone(),
        progress: Rc::new(Progress::new(DownstreamId(1), Waits::Command, Rc::new(Moved::new(tell)))),
        caller: Caller { client, via: None },
        input: Cell::default(),
        finishing: false,
    };
    let front = front(&desk());
    let most = front.streams();
    gateway.write_all(&written(&vec![write(b"v", 1); most + 1])).expect("sent");
    let executor = LocalExecutor::new();
    let _task = executor.spawn(serve(link, Box::new(front)));
    let taken = async_io::block_on(executor.run(async {
        let mut taken = 0;
        loop {
            let patience = async {
                async_io::Timer::after(Duration::from_secs(20)).await;
                Err(async_channel::RecvError)
            };
            match futures_lite::future::or(news.recv(), patience).await {
                Ok(News::Core(Input::Stream(_))) => taken += 1,
                Ok(News::Moved) => continue,
                _ => return taken,
            }
            // The first is answered last, and until then none of them makes room.
            if taken == most {
                for place in (0..most as u64).rev() {
                    give.try_send(Order::Answer(place, Answer::Value(Vec::new()))).expect("room");
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

    /// Whatever comes: every command has one place, and its answers come in whichever pieces the bytes do.
    #[test]
    fn any_bytes_become_the_same_commands_in_any_pieces(
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
            let (mut front, mut place, mut held, mut told) = (front(&desk()), 0, Vec::new(), Vec::new());
            for part in bytes.chunks(piece) {
                held.extend_from_slice(part);
                for parsed in take(&mut front, &mut place, &mut held) {
                    let line = match parsed {
                        Parsed::More => continue,
                        Parsed::Close(_) | Parsed::Malformed(_) => "closed".to_owned(),
                        Parsed::Ask(ask) => format!("{:?} {:?}", ask.message.verb, ask.message.key),
                        other => format!("{other:?}"),
                    };
                    told.push(line);
                }
                if told.last().is_some_and(|last| last == "closed") {
                    break;
                }
                assert!(held.len() < front.longest() + piece);
            }
            told
        };
        prop_assert_eq!(all(piece), all(bytes.len().max(1)));
    }
}
