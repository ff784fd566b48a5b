//! A connection to a node, driven by hand.

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use martenweir::codec::http::{self, PeerState};
use martenweir::core::{ConnectionId, Input, Job, Message, Stage};
use martenweir::interface::Verdict;
use martenweir::net::upstream::{run_connection, UpstreamProtocol};
use martenweir::net::NetEvent;
use rstest::rstest;
use std::future::Future;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;

/// A connection that has come up, as `play` drives it: the node's port, the way of its jobs, and what it tells.
fn driven<F: Future>(play: impl FnOnce(TcpListener, Sender<Job>, Receiver<NetEvent>) -> F) -> F::Output {
    driven_as(UpstreamProtocol::Cache, play)
}

/// The same with a node that speaks this.
fn driven_as<F: Future>(
    dialect: UpstreamProtocol,
    play: impl FnOnce(TcpListener, Sender<Job>, Receiver<NetEvent>) -> F,
) -> F::Output {
    let node = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = node.local_addr().expect("an address");
    let (tell, news) = async_channel::bounded(4);
    let (give, jobs) = async_channel::bounded(1);
    let executor = LocalExecutor::new();
    let carried = run_connection(ConnectionId(1), address, dialect, jobs, tell, Rc::new(Vec::new()));
    let _task = executor.spawn(carried);
    async_io::block_on(executor.run(async {
        assert!(matches!(news.recv().await, Ok(NetEvent::Core(Input::Connected(_)))));
        play(node, give, news).await
    }))
}

/// Guards against a job written to a connection that is known to be closed, where both are seen at once: it would
/// be a reset, and what may have run must not always go again.
#[test]
fn a_job_is_not_written_to_a_connection_that_was_just_closed() {
    let ended = driven(|node, give, news| async move {
        for _ in 0..10 {
            futures_lite::future::yield_now().await;
        }
        let (socket, peer) = node.accept().expect("a connection");
        drop(socket);
        // The kernel knows of the close (CLOSE_WAIT is 08); nothing here waits, so the poller is not asked.
        let closed = |l: &str| l.contains(&format!(":{:04X} ", peer.port())) && l.contains(" 08 ");
        while !std::fs::read_to_string("/proc/net/tcp").expect("the table").lines().any(closed) {}
        give.try_send(Job::Probe).expect("room for a job");
        news.recv().await
    });
    assert!(matches!(ended, Ok(NetEvent::Core(Input::Broken(_, Stage::Idle)))));
}

/// Guards what is believed of a node with a full table: it turns a new connection away and closes it, and is not busy.
#[rstest]
#[case(true)]
#[case(false)]
fn a_node_that_turns_a_new_connection_away_and_closes_it_has_no_place(#[case] closes: bool) {
    let told = driven(|node, give, news| async move {
        let (mut socket, peer) = node.accept().expect("a connection");
        give.try_send(Job::Probe).expect("room for a job");
        socket.set_nonblocking(true).expect("a socket");
        while socket.read(&mut [0; 256]).is_err() {
            futures_lite::future::yield_now().await;
        }
        socket.write_all(b"-BUSY\r\n").expect("it is written");
        let kept = (!closes).then_some(socket);
        let closed = |l: &str| l.contains(&format!(":{:04X} ", peer.port())) && l.contains(" 08 ");
        while closes && !std::fs::read_to_string("/proc/net/tcp").expect("the table").lines().any(closed) {}
        let told = news.recv().await;
        drop(kept);
        told
    });
    let Ok(NetEvent::Core(Input::Replied(_, reply))) = told else { panic!("no reply") };
    assert_eq!((reply.verdict, reply.no_place, reply.keep), (Verdict::Full, closes, !closes));
}

/// Guards what is said of a large job that its node speaks into, before it has heard all of it: nothing ran. A refusal
/// is one; a value can be no answer to it, and must not be served.
#[rstest]
#[case(Some("-BUSY\r\n"), false, Some(Verdict::Full))]
#[case(Some("-BUSY\r\n"), true, Some(Verdict::Full))]
#[case(Some("*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n"), false, None)]
#[case(Some("-ERR failed\r\n"), false, None)]
#[case(None, true, None)]
fn what_comes_before_the_last_byte_is_no_answer(
    #[case] said: Option<&str>,
    #[case] closes: bool,
    #[case] verdict: Option<Verdict>,
) {
    let told = driven(|node, give, news| async move {
        let (mut socket, _) = node.accept().expect("a connection");
        // Far more than both kernels hold while nobody reads.
        let message = Message { value: Some(vec![b'x'; 64 << 20]), ..Message::default() };
        give.try_send(Job::Stream { message: Rc::new(message), patience: 1_000_000 })
            .expect("room for a job");
        socket.set_nonblocking(true).expect("a socket");
        while socket.peek(&mut [0; 1]).is_err() {
            futures_lite::future::yield_now().await;
        }
        socket.write_all(said.unwrap_or_default().as_bytes()).expect("it is written");
        if closes {
            socket.shutdown(std::net::Shutdown::Write).expect("a socket");
        }
        let told = news.recv().await;
        drop(socket);
        told
    });
    match (told, verdict) {
        (Ok(NetEvent::Core(Input::Replied(_, reply))), Some(verdict)) => {
            assert_eq!((reply.verdict, reply.keep), (verdict, false))
        }
        (Ok(NetEvent::Core(Input::Broken(_, stage))), None) => assert_eq!(stage, Stage::Writing),
        (told, _) => panic!("{told:?}"),
    }
}

/// Guards the memory of a proxy whose origin's answer never ends: its trailers are bounded like its head.
#[test]
fn trailers_that_never_end_are_no_answer() {
    let response = |trailers: usize| {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        let bytes = [&head[..], &b"a: b\r\n".repeat(trailers)].concat();
        http::response(&bytes, 1024, PeerState::Open).map(|whole| whole.is_some())
    };
    assert_eq!((response(100), response(4_000).is_err()), (Ok(false), true));
}

/// How an origin ends its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ends {
    Closes,
    Resets,
}

/// An answer without a length was never forwarded, also where it came whole: it was taken for malformed with its head. Its
/// end says that it is whole; a reset does not, nor does the end of one that has a length and not all of it.
#[rstest]
#[case::whole("HTTP/1.1 200 OK\r\n\r\na value", Ends::Closes, Some("a value"))]
#[case::whole_by_its_word(
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na value",
    Ends::Closes,
    Some("a value")
)]
#[case::reset("HTTP/1.1 200 OK\r\n\r\nhalf a val", Ends::Resets, None)]
#[case::no_byte_of_it("HTTP/1.1 200 OK\r\n\r\n", Ends::Closes, None)]
#[case::no_whole_head("HTTP/1.1 200 OK\r\nX-A: b\r\n", Ends::Closes, None)]
#[case::less_than_its_length("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", Ends::Closes, None)]
#[case::half_a_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", Ends::Closes, None)]
fn an_answer_without_a_length_is_whole_once_the_origin_has_closed(
    #[case] said: &str,
    #[case] ends: Ends,
    #[case] value: Option<&str>,
) {
    let told = driven_as(UpstreamProtocol::Origin, |node, give, news| async move {
        let (mut socket, _) = node.accept().expect("a connection");
        let job = Job::Stream { message: Rc::new(Message::default()), patience: 1_000_000 };
        give.try_send(job).expect("room for a job");
        socket.set_nonblocking(true).expect("a socket");
        while socket.read(&mut [0; 1024]).is_err() {
            futures_lite::future::yield_now().await;
        }
        socket.write_all(said.as_bytes()).expect("it is written");
        // What was read before is whole or not by what ends it.
        for _ in 0..100 {
            futures_lite::future::yield_now().await;
        }
        if ends == Ends::Resets {
            let linger = socket2::SockRef::from(&socket).set_linger(Some(std::time::Duration::ZERO));
            linger.expect("a socket");
        }
        drop(socket);
        news.recv().await
    });
    match (told, value) {
        (Ok(NetEvent::Core(Input::Replied(_, reply))), Some(value)) => {
            assert_eq!((reply.verdict, reply.value.as_slice()), (Verdict::Served, value.as_bytes()));
            assert!(!reply.keep, "the connection is over");
        }
        (Ok(NetEvent::Core(Input::Broken(_, stage))), None) => assert_eq!(stage, Stage::Reading),
        (told, _) => panic!("{told:?}"),
    }
}

/// Guards the memory of a proxy whose origin never ends a body without a length.
#[test]
fn a_body_without_a_length_is_bounded() {
    let response = |length: usize, rest| {
        let bytes = [&b"HTTP/1.1 200 OK\r\n\r\n"[..], &b"x".repeat(length)].concat();
        http::response(&bytes, 1024, rest).map(|whole| whole.is_some())
    };
    assert_eq!(response(1024, PeerState::Open), Ok(false));
    assert_eq!(response(1024, PeerState::Closed), Ok(true));
    assert!(response(1025, PeerState::Open).is_err() && response(1025, PeerState::Closed).is_err());
}

/// Guards the module's beliefs: a report with a value that is no load counts for nothing, not even in part.
#[rstest]
#[case("eps=0.5,util=0.61", &[0.5, 0.61])]
#[case("ERR failed util=1", &[f32::NAN, 1.0])]
#[case("eps=0.5,util=inf", &[])]
#[case("eps=0.5,util=nan", &[])]
#[case("eps=-1,util=0.61", &[])]
#[case("eps=0.5,util=0.6x", &[])]
#[case("ERR failed", &[])]
fn a_report_is_whole_or_none(#[case] text: &str, #[case] values: &[f32]) {
    let read = martenweir::codec::report(text.as_bytes(), &["eps".to_owned(), "util".to_owned()]);
    let same = |(a, b): (&f32, &f32)| a == b || (a.is_nan() && b.is_nan());
    assert!(read.len() == values.len() && read.iter().zip(values).all(same), "{read:?}");
}
