//! Tests of a connection to a node, with the node scripted by the test.

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use martenweir::admission::{HeldShare, ReservationBudget};
use martenweir::codec::http::{self, PeerState};
use martenweir::core::{ConnectionId, Input, Job, Message, Stage};
use martenweir::interface::Verdict;
use martenweir::net::upstream::{run_connection, ReplyMemory, UpstreamProtocol, RESERVED_REPLY};
use martenweir::net::NetEvent;
use rstest::rstest;
use std::future::Future;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;

/// Runs `script` on an established connection, with the node's listener, the sender of its jobs and the
/// receiver of its events.
fn with_connection<F: Future>(
    script: impl FnOnce(TcpListener, Sender<Job>, Receiver<NetEvent>) -> F,
) -> F::Output {
    with_connection_as(UpstreamProtocol::Cache, script)
}

/// The same with a node that speaks `dialect`.
fn with_connection_as<F: Future>(
    dialect: UpstreamProtocol,
    script: impl FnOnce(TcpListener, Sender<Job>, Receiver<NetEvent>) -> F,
) -> F::Output {
    with_connection_within(ReservationBudget::new(1 << 30, 1 << 16), dialect, script)
}

/// The same with a budget for replies.
fn with_connection_within<F: Future>(
    budget: Rc<ReservationBudget>,
    dialect: UpstreamProtocol,
    script: impl FnOnce(TcpListener, Sender<Job>, Receiver<NetEvent>) -> F,
) -> F::Output {
    let node = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = node.local_addr().expect("an address");
    let (event_sender, news) = async_channel::bounded(4);
    let (send_job, jobs) = async_channel::bounded(1);
    let executor = LocalExecutor::new();
    let memory = ReplyMemory::new(HeldShare::new(Rc::default()), budget);
    let columns = Rc::new(Vec::new());
    let connection_task =
        run_connection(ConnectionId(1), address, dialect, jobs, event_sender, columns, memory);
    let _task = executor.spawn(connection_task);
    async_io::block_on(executor.run(async {
        assert!(matches!(news.recv().await, Ok(NetEvent::Core(Input::Connected(_)))));
        script(node, send_job, news).await
    }))
}

/// A job must not be written to a connection that is already known to be closed when both are seen at once:
/// it would end in a reset, and a job that may have run cannot always be sent again.
#[test]
fn a_job_is_not_written_to_a_connection_that_was_just_closed() {
    let ended = with_connection(|node, send_job, news| async move {
        for _ in 0..10 {
            futures_lite::future::yield_now().await;
        }
        let (socket, peer) = node.accept().expect("a connection");
        drop(socket);
        // Wait until the kernel has seen the close (CLOSE_WAIT is 08), without yielding, so that the poller
        // does not report it.
        let closed = |l: &str| l.contains(&format!(":{:04X} ", peer.port())) && l.contains(" 08 ");
        while !std::fs::read_to_string("/proc/net/tcp").expect("the table").lines().any(closed) {}
        send_job.try_send(Job::Probe).expect("room for a job");
        news.recv().await
    });
    assert!(matches!(ended, Ok(NetEvent::Core(Input::Broken(_, Stage::Idle)))));
}

/// A node with a full connection table rejects a new connection and closes it; this must not be taken for a
/// busy node.
#[rstest]
#[case(true)]
#[case(false)]
fn a_node_that_rejects_a_new_connection_and_closes_it_has_no_place(#[case] closes: bool) {
    let event = with_connection(|node, send_job, news| async move {
        let (mut socket, peer) = node.accept().expect("a connection");
        send_job.try_send(Job::Probe).expect("room for a job");
        socket.set_nonblocking(true).expect("a socket");
        while socket.read(&mut [0; 256]).is_err() {
            futures_lite::future::yield_now().await;
        }
        socket.write_all(b"-BUSY\r\n").expect("it is written");
        let kept = (!closes).then_some(socket);
        let closed = |l: &str| l.contains(&format!(":{:04X} ", peer.port())) && l.contains(" 08 ");
        while closes && !std::fs::read_to_string("/proc/net/tcp").expect("the table").lines().any(closed) {}
        let event = news.recv().await;
        drop(kept);
        event
    });
    let Ok(NetEvent::Core(Input::Replied(_, reply))) = event else { panic!("no reply") };
    assert_eq!((reply.verdict, reply.no_place, reply.keep), (Verdict::Full, closes, !closes));
}

/// A node may answer a large job before it has read all of it: the job has not run. A refusal is valid then;
/// a value cannot be an answer to it and must not be served.
#[rstest]
#[case(Some("-BUSY\r\n"), false, Some(Verdict::Full))]
#[case(Some("-BUSY\r\n"), true, Some(Verdict::Full))]
#[case(Some("*3\r\n$1\r\nx\r\n$-1\r\n$-1\r\n"), false, None)]
#[case(Some("-ERR failed\r\n"), false, None)]
#[case(None, true, None)]
fn an_answer_before_the_last_byte_of_the_job_is_no_answer(
    #[case] sent: Option<&str>,
    #[case] closes: bool,
    #[case] verdict: Option<Verdict>,
) {
    let event = with_connection(|node, send_job, news| async move {
        let (mut socket, _) = node.accept().expect("a connection");
        // Far more than the socket buffers on both sides hold.
        let message = Message { value: Some(vec![b'x'; 64 << 20]), ..Message::default() };
        send_job
            .try_send(Job::Stream { message: Rc::new(message), patience: 1_000_000 })
            .expect("room for a job");
        socket.set_nonblocking(true).expect("a socket");
        while socket.peek(&mut [0; 1]).is_err() {
            futures_lite::future::yield_now().await;
        }
        socket.write_all(sent.unwrap_or_default().as_bytes()).expect("it is written");
        if closes {
            socket.shutdown(std::net::Shutdown::Write).expect("a socket");
        }
        let event = news.recv().await;
        drop(socket);
        event
    });
    match (event, verdict) {
        (Ok(NetEvent::Core(Input::Replied(_, reply))), Some(verdict)) => {
            assert_eq!((reply.verdict, reply.keep), (verdict, false))
        }
        (Ok(NetEvent::Core(Input::Broken(_, stage))), None) => assert_eq!(stage, Stage::Writing),
        (event, _) => panic!("{event:?}"),
    }
}

/// Trailers that never end must not exhaust the proxy's memory: they are limited like the head.
#[test]
fn endless_trailers_are_no_answer() {
    let response = |trailers: usize| {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
        let bytes = [&head[..], &b"a: b\r\n".repeat(trailers)].concat();
        http::response(&bytes, 1024, PeerState::Open).map(|whole| whole.is_some())
    };
    assert_eq!((response(100), response(4_000).is_err()), (Ok(false), true));
}

/// How an origin ends its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Ending {
    Closes,
    Resets,
}

/// An answer without a length used to be rejected as malformed with its head, even if complete. Closing in
/// order completes it; a reset does not, nor does a close before the end of an answer with a length.
#[rstest]
#[case::whole("HTTP/1.1 200 OK\r\n\r\na value", Ending::Closes, Some("a value"))]
#[case::whole_by_its_word(
    "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\na value",
    Ending::Closes,
    Some("a value")
)]
#[case::reset("HTTP/1.1 200 OK\r\n\r\nhalf a val", Ending::Resets, None)]
#[case::no_byte_of_it("HTTP/1.1 200 OK\r\n\r\n", Ending::Closes, None)]
#[case::no_whole_head("HTTP/1.1 200 OK\r\nX-A: b\r\n", Ending::Closes, None)]
#[case::less_than_its_length("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf", Ending::Closes, None)]
#[case::half_a_chunk("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhal", Ending::Closes, None)]
fn an_answer_without_a_length_is_complete_once_the_origin_has_closed(
    #[case] sent: &str,
    #[case] ending: Ending,
    #[case] value: Option<&str>,
) {
    let event = with_connection_as(UpstreamProtocol::Origin, |node, send_job, news| async move {
        let (mut socket, _) = node.accept().expect("a connection");
        let job = Job::Stream { message: Rc::new(Message::default()), patience: 1_000_000 };
        send_job.try_send(job).expect("room for a job");
        socket.set_nonblocking(true).expect("a socket");
        while socket.read(&mut [0; 1024]).is_err() {
            futures_lite::future::yield_now().await;
        }
        socket.write_all(sent.as_bytes()).expect("it is written");
        // Let the connection read the bytes first; the way the connection ends then decides.
        for _ in 0..100 {
            futures_lite::future::yield_now().await;
        }
        if ending == Ending::Resets {
            let linger = socket2::SockRef::from(&socket).set_linger(Some(std::time::Duration::ZERO));
            linger.expect("a socket");
        }
        drop(socket);
        news.recv().await
    });
    match (event, value) {
        (Ok(NetEvent::Core(Input::Replied(_, reply))), Some(value)) => {
            assert_eq!((reply.verdict, reply.value.as_slice()), (Verdict::Served, value.as_bytes()));
            assert!(!reply.keep, "the connection is over");
        }
        (Ok(NetEvent::Core(Input::Broken(_, stage))), None) => assert_eq!(stage, Stage::Reading),
        (event, _) => panic!("{event:?}"),
    }
}

/// Guards the bound on replies that are arriving: what is longer than most waits for room, is read on once there
/// is some, and gives it back when its event is dropped. A reply that is longer than any value is malformed.
#[rstest]
#[case::one_value(1, true)]
#[case::many_values(8, false)]
fn a_long_reply_is_read_once_there_is_room_for_it(#[case] values: usize, #[case] valid: bool) {
    let budget = ReservationBudget::new(8 * RESERVED_REPLY, RESERVED_REPLY);
    let taken = budget.reserve(8 * RESERVED_REPLY).expect("it is empty");
    let value = format!("${}\r\n{}\r\n", 64 * 1024, "v".repeat(64 * 1024));
    let reply = match values {
        1 => format!("*3\r\n{value}$3\r\nhit\r\n$-1\r\n"),
        _ => format!("*{values}\r\n{}", value.repeat(values)),
    };
    let event =
        with_connection_within(budget.clone(), UpstreamProtocol::Cache, |node, send_job, news| async move {
            let (mut socket, _) = node.accept().expect("a connection");
            let job = Job::Stream { message: Rc::new(Message::default()), patience: 1_000_000 };
            send_job.try_send(job).expect("room for a job");
            socket.set_nonblocking(true).expect("a socket");
            while socket.read(&mut [0; 1024]).is_err() {
                futures_lite::future::yield_now().await;
            }
            socket.set_nonblocking(false).expect("a socket");
            let sends = std::thread::spawn(move || socket.write_all(reply.as_bytes()).map(|()| socket));
            for _ in 0..1_000 {
                futures_lite::future::yield_now().await;
            }
            assert!(news.is_empty(), "it has not waited");
            drop(taken);
            let event = news.recv().await;
            drop(sends);
            event
        });
    match (event, valid) {
        (Ok(NetEvent::Reserved(Input::Replied(_, reply), room)), true) => {
            assert_eq!((reply.verdict, reply.value.len()), (Verdict::Served, 64 * 1024));
            assert_eq!(budget.reserved(), RESERVED_REPLY);
            drop(room);
        }
        (Ok(NetEvent::Log(_)), false) => {}
        (event, _) => panic!("{event:?}"),
    }
    assert_eq!(budget.reserved(), 0);
}

/// A body without a length that never ends must not exhaust the proxy's memory.
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

/// A load report with an invalid value must be ignored completely, so that it cannot distort the module's
/// estimates.
#[rstest]
#[case("eps=0.5,util=0.61", &[0.5, 0.61])]
#[case("ERR failed util=1", &[f32::NAN, 1.0])]
#[case("eps=0.5,util=inf", &[])]
#[case("eps=0.5,util=nan", &[])]
#[case("eps=-1,util=0.61", &[])]
#[case("eps=0.5,util=0.6x", &[])]
#[case("ERR failed", &[])]
fn a_report_is_accepted_whole_or_not_at_all(#[case] text: &str, #[case] values: &[f32]) {
    let read = martenweir::codec::report(text.as_bytes(), &["eps".to_owned(), "util".to_owned()]);
    let same = |(a, b): (&f32, &f32)| a == b || (a.is_nan() && b.is_nan());
    assert!(read.len() == values.len() && read.iter().zip(values).all(same), "{read:?}");
}
