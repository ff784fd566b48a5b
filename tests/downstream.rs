//! Tests of the task of a downstream: how it handles messages of the owner while bytes of the peer are
//! unread.

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future::yield_now;
use martenweir::admission::{HeldShare, InputMemory, PortKind, ReservationBudget, WaitingFor};
use martenweir::core::{DownstreamId, Input};
use martenweir::net::accept::{accept, ConnectionLimiter, Socket};
use martenweir::net::downstream::{serve, ChangedDownstreams, Link, SharedActivity, TaskMessage};
use martenweir::net::protocol::{resp_command, ParseStep, Parsed, Protocol, WithoutRoom};
use martenweir::net::{Caller, NetEvent, PortIndex};
use rstest::rstest;
use std::cell::Cell;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

struct Echo;

impl Protocol for Echo {
    fn max_streams(&self) -> usize {
        1
    }

    fn parse(&mut self, _: DownstreamId, _: u64, bytes: &[u8]) -> ParseStep {
        resp_command(bytes, |mut command, _| Parsed::Local(command.pop().unwrap_or_default()))
    }

    fn refuse_without_room(&mut self, _: &[u8]) -> WithoutRoom {
        WithoutRoom::ReadPast
    }
}

/// The peer, socket, activity and message queue of a downstream whose task runs on `executor`.
fn spawn_downstream(
    executor: &LocalExecutor<'static>,
    limiter: &Rc<ConnectionLimiter>,
) -> (TcpStream, Rc<Socket>, Rc<SharedActivity>, Sender<TaskMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("it listens");
    let (socket, client) = listener.accept().expect("a connection");
    let socket = Rc::new(Socket::new(Async::new(socket).expect("a socket"), limiter, PortKind::Main));
    let (queue, _) = async_channel::bounded(8);
    let moved = Rc::new(ChangedDownstreams::new(queue.clone()));
    let progress = Rc::new(SharedActivity::new(DownstreamId(1), WaitingFor::Command, moved));
    let (give, orders) = async_channel::bounded(4);
    let caller = Caller { client, via: None };
    let (input, finishing) = (Cell::default(), false);
    let (id, held, shows) = (DownstreamId(1), socket.clone(), progress.clone());
    let link = Link {
        id,
        socket,
        orders,
        queue: queue.clone(),
        progress,
        caller,
        held: HeldShare::new(Rc::default()),
        answers: ReservationBudget::new(1 << 30, 1 << 16),
        input_memory: InputMemory::new(1 << 30),
        turns: Rc::default(),
        input,
        finishing,
    };
    let task = executor.spawn(async move {
        serve(link, Box::new(Echo)).await;
        let _ = queue.send(NetEvent::Core(Input::DownstreamClosed(id))).await;
    });
    task.detach();
    (peer, held, shows, give)
}

/// Guards against work for a paused client that has left: its close is noticed, and so is a reset.
#[test]
fn a_paused_downstream_that_closes_is_noticed() {
    for reset in [false, true] {
        let executor = LocalExecutor::new();
        let limiter = Rc::new(ConnectionLimiter::default());
        let (peer, socket, progress, _orders) = spawn_downstream(&executor, &limiter);
        assert!(progress.pause(true));
        async_io::block_on(executor.run(async {
            for _ in 0..10 {
                yield_now().await;
            }
            if reset {
                socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
            drop(peer);
            // The task drops its socket once it has noticed, within 20 s.
            let deadline = Instant::now() + Duration::from_secs(20);
            while Rc::strong_count(&socket) > 1 {
                assert!(Instant::now() < deadline, "the close was not noticed (reset: {reset})");
                yield_now().await;
            }
        }));
    }
}

/// Guards against serving a paused client that has left. Its close was looked for by peeking at the socket,
/// which shows only the unread bytes in front of it, so attempts began for it long after. The task then still
/// held its socket after 20 s, while poll(2) reports the hang-up at once (POLLRDHUP).
#[rstest]
fn a_paused_downstream_that_closes_behind_unread_bytes_is_noticed(
    #[values(false, true)] reset: bool,
    #[values(1, 2_000)] commands: usize,
) {
    let executor = LocalExecutor::new();
    let limiter = Rc::new(ConnectionLimiter::default());
    let (mut peer, socket, progress, _orders) = spawn_downstream(&executor, &limiter);
    assert!(progress.pause(true));
    async_io::block_on(executor.run(async {
        for _ in 0..10 {
            yield_now().await;
        }
        peer.write_all(&b"*1\r\n$4\r\nhere\r\n".repeat(commands)).expect("the kernel takes all of it");
        for _ in 0..10 {
            yield_now().await;
        }
        if reset {
            socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("a socket");
        }
        drop(peer);
        let deadline = Instant::now() + Duration::from_secs(20);
        while Rc::strong_count(&socket) > 1 {
            assert!(Instant::now() < deadline, "the close was not noticed (reset: {reset})");
            yield_now().await;
        }
    }));
    assert_eq!(progress.snapshot().local_replies, 0, "of {commands} commands");
}

/// Guards the bound on work for clients that have left: one sends many commands at once and closes before any
/// was read. Its close is behind them, so no command may be taken before it is noticed.
#[test]
fn no_command_is_taken_of_a_client_that_closed_before_it_was_read() {
    for commands in [1_200, 5_000, 15_000] {
        let executor = LocalExecutor::new();
        let limiter = Rc::new(ConnectionLimiter::default());
        let (mut peer, socket, progress, _orders) = spawn_downstream(&executor, &limiter);
        peer.set_nonblocking(true).expect("a socket");
        peer.write_all(&b"*1\r\n$4\r\nhere\r\n".repeat(commands)).expect("the kernel takes all of it");
        drop(peer);
        async_io::block_on(executor.run(async {
            let deadline = Instant::now() + Duration::from_secs(20);
            while Rc::strong_count(&socket) > 1 {
                assert!(Instant::now() < deadline, "the close was not noticed behind {commands} commands");
                yield_now().await;
            }
        }));
        assert_eq!(progress.snapshot().local_replies, 0, "of {commands} commands");
    }
}

/// Guards against serving a client that sent more than the 256 KB read ahead and left: only reading further
/// showed its close, so two commands were taken where a connection may have one open. The close is now polled
/// for, which finds it if it has arrived. With 22,000 commands `ss` shows 28,645 bytes unread here and the
/// peer in FIN-WAIT-1 with 17,212 bytes that did not fit the window, its close behind them.
#[rstest]
fn no_command_is_taken_of_a_client_that_closed_after_more_than_the_read_ahead(
    #[values(20_000, 22_000)] commands: usize,
) {
    let executor = LocalExecutor::new();
    let limiter = Rc::new(ConnectionLimiter::default());
    let (mut peer, socket, progress, _orders) = spawn_downstream(&executor, &limiter);
    peer.set_nonblocking(true).expect("a socket");
    peer.write_all(&b"*1\r\n$4\r\nhere\r\n".repeat(commands)).expect("the kernel takes all of it");
    drop(peer);
    async_io::block_on(executor.run(async {
        let deadline = Instant::now() + Duration::from_secs(20);
        while Rc::strong_count(&socket) > 1 {
            assert!(Instant::now() < deadline, "the close was not noticed behind {commands} commands");
            yield_now().await;
        }
    }));
    assert_eq!(progress.snapshot().local_replies, 0, "of {commands} commands");
}

/// A client that keeps sending and stays is answered, however much arrives at once: commands are taken once
/// the read-ahead is full or nothing more is waiting, even if the input ends with a full read.
#[rstest]
fn a_client_that_sends_much_at_once_and_stays_is_answered(#[values(1_024, 5_000, 60_000)] commands: usize) {
    let executor = LocalExecutor::new();
    let limiter = Rc::new(ConnectionLimiter::default());
    let (peer, _socket, progress, _orders) = spawn_downstream(&executor, &limiter);
    let command = b"*1\r\n$6\r\nanswer\r\n";
    assert_eq!(16 * 1024 % command.len(), 0, "so that reads end with a command");
    let all = command.repeat(commands);
    let mut sender = peer.try_clone().expect("a socket");
    let sends = std::thread::spawn(move || sender.write_all(&all).expect("sent"));
    let reads = std::thread::spawn(move || {
        let mut got = vec![0; commands * 6];
        (&peer).read_exact(&mut got).expect("an answer to each");
        got == b"answer".repeat(commands)
    });
    async_io::block_on(executor.run(async {
        let deadline = Instant::now() + Duration::from_secs(20);
        while !reads.is_finished() {
            assert!(
                Instant::now() < deadline,
                "{} of {commands} are answered",
                progress.snapshot().local_replies
            );
            yield_now().await;
        }
    }));
    sends.join().expect("all is sent");
    assert!(reads.join().expect("all is read"), "in their order");
}

/// A command waiting in the kernel counts as unread bytes, is not read while its downstream is paused, and is
/// answered before a downstream that was told to finish closes.
#[rstest]
fn unread_commands_are_answered_before_a_finishing_downstream_closes(#[values(false, true)] leaves: bool) {
    let executor = LocalExecutor::new();
    let limiter = Rc::new(ConnectionLimiter::default());
    let (mut peer, socket, progress, orders) = spawn_downstream(&executor, &limiter);
    assert_eq!((limiter.open(), socket.has_nothing_unread()), ([1, 0], true));
    assert!(progress.pause(true) && !progress.pause(true), "one look at a time is wanted");
    peer.write_all(b"*1\r\n$4\r\nhere\r\n").expect("sent");
    async_io::block_on(executor.run(async {
        while socket.has_nothing_unread() {
            yield_now().await;
        }
        orders
            .send(if leaves { TaskMessage::FinishNow } else { TaskMessage::Finish })
            .await
            .expect("it listens");
        for _ in 0..100 {
            yield_now().await;
        }
        assert!(!socket.has_nothing_unread() && progress.snapshot().steps == 0, "it was read");
        progress.pause(false);
        orders.send(TaskMessage::Refresh).await.expect("it listens");
        while progress.snapshot().waiting_for != WaitingFor::Close {
            yield_now().await;
        }
    }));
    let mut got = String::new();
    peer.read_to_string(&mut got).expect("an answer and the end");
    assert_eq!(got, "here");
    drop((executor, socket));
    assert_eq!(limiter.open(), [0, 0]);
}

/// A peer that has more commands waiting behind those being answered, and sends another for each answer,
/// always has one waiting. When told to finish now, it gets its answers at the first moment with nothing
/// unread, and the close right after.
#[test]
fn a_downstream_that_always_has_a_command_waiting_is_closed_after_its_answers() {
    let executor = LocalExecutor::new();
    let limiter = Rc::new(ConnectionLimiter::default());
    let (mut peer, socket, progress, orders) = spawn_downstream(&executor, &limiter);
    peer.set_nonblocking(true).expect("a socket");
    let command = b"*1\r\n$1\r\n.\r\n";
    let (mut sent, mut answered, mut over) = (0, 0, false);
    async_io::block_on(executor.run(async {
        for turn in 0..2_000 {
            // The peer keeps 8 commands in flight and sends before any other task runs.
            while sent < answered + 8 {
                peer.write_all(command).expect("it is open");
                sent += 1;
            }
            if turn == 100 {
                orders.send(TaskMessage::FinishNow).await.expect("it listens");
            }
            yield_now().await;
            // Everything that has arrived, and the close if it has arrived too.
            let mut got = [0; 64];
            while let Ok(n) = peer.read(&mut got) {
                answered += n;
                over |= n == 0;
                if over {
                    break;
                }
            }
            if over {
                break;
            }
        }
    }));
    assert!(over && answered > 8, "it was never closed");
    assert_eq!(progress.snapshot().waiting_for, WaitingFor::Close);
    assert_eq!((sent, progress.snapshot().local_replies as usize), (answered, answered));
    drop((executor, socket));
}

/// The kernel resets connections in the backlog of a port that closes: all are accepted first, even if they
/// have to wait for room.
#[test]
fn the_backlog_is_accepted_before_the_port_closes() {
    let executor = LocalExecutor::new();
    let limiter = Rc::new(ConnectionLimiter::default());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let (queue, news) = async_channel::bounded(8);
    limiter.set_limits([2, 2], 2);
    let mut peers: Vec<_> = (0..5).map(|_| TcpStream::connect(address).expect("it listens")).collect();
    for peer in &mut peers {
        peer.write_all(b"*1\r\n$4\r\nPING\r\n").expect("sent");
    }
    limiter.stop_accepting();
    let port =
        executor.spawn(accept(listener, PortIndex(0), queue, limiter.for_port(PortKind::Main), |_| true));
    let come = async_io::block_on(executor.run(async {
        let mut come = 0;
        // Each is dropped as soon as it is accepted, which makes room.
        while let Ok(NetEvent::Accepted(socket, ..)) = news.recv().await {
            assert!(limiter.open()[0] <= 2 && !socket.has_nothing_unread());
            come += 1;
        }
        port.await;
        come
    }));
    assert_eq!(come, 5);
    assert!(TcpStream::connect(address).is_err());
}
