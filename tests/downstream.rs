//! The task of a downstream, driven by hand: what it does with orders while bytes of the peer wait unread.

use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::future::yield_now;
use martenweir::admission::{PortKind, WaitingFor};
use martenweir::core::{DownstreamId, Input};
use martenweir::net::accept::{accept, ConnectionLimiter, Socket};
use martenweir::net::downstream::{serve, ChangedDownstreams, Link, SharedActivity, TaskMessage};
use martenweir::net::protocol::{resp_command, Parsed, Protocol};
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

    fn parse(&mut self, _: DownstreamId, _: u64, bytes: &[u8]) -> Option<(usize, Parsed)> {
        resp_command(bytes, |mut command, _| Parsed::Local(command.pop().unwrap_or_default()))
    }
}

/// A downstream's peer, socket and progress, and the way for its orders; its task runs on `executor`.
fn downstream(
    executor: &LocalExecutor<'static>,
    gate: &Rc<ConnectionLimiter>,
) -> (TcpStream, Rc<Socket>, Rc<SharedActivity>, Sender<TaskMessage>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let peer = TcpStream::connect(listener.local_addr().expect("an address")).expect("it listens");
    let (socket, client) = listener.accept().expect("a connection");
    let socket = Rc::new(Socket::new(Async::new(socket).expect("a socket"), gate, PortKind::Main));
    let (queue, _) = async_channel::bounded(8);
    let moved = Rc::new(ChangedDownstreams::new(queue.clone()));
    let progress = Rc::new(SharedActivity::new(DownstreamId(1), WaitingFor::Command, moved));
    let (give, orders) = async_channel::bounded(4);
    let caller = Caller { client, via: None };
    let (input, finishing) = (Cell::default(), false);
    let (id, held, shows) = (DownstreamId(1), socket.clone(), progress.clone());
    let link = Link { id, socket, orders, queue: queue.clone(), progress, caller, input, finishing };
    let task = executor.spawn(async move {
        serve(link, Box::new(Echo)).await;
        let _ = queue.send(NetEvent::Core(Input::DownstreamClosed(id))).await;
    });
    task.detach();
    (peer, held, shows, give)
}

/// Guards against work for who has left while nothing of it was read: its end shows, and a reset does.
#[test]
fn a_downstream_that_leaves_while_it_is_not_read_has_left() {
    for reset in [false, true] {
        let executor = LocalExecutor::new();
        let gate = Rc::new(ConnectionLimiter::default());
        let (peer, socket, progress, _orders) = downstream(&executor, &gate);
        assert!(progress.pause(true));
        async_io::block_on(executor.run(async {
            for _ in 0..10 {
                yield_now().await;
            }
            if reset {
                socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
            drop(peer);
            // The task lets go of its socket. No step waits longer.
            let late = Instant::now() + Duration::from_secs(20);
            while Rc::strong_count(&socket) > 1 {
                assert!(Instant::now() < late, "its end is not seen (reset: {reset})");
                yield_now().await;
            }
        }));
    }
}

/// A client that had left was served: paused for the budget of bytes, its end was looked for by peeking at the socket, and a
/// peek shows what waits unread in front of the end. The end was noticed once it was read again, so attempts began for it
/// long after it had closed. Seen here, as the evidence: the task still holds its socket after 20 s, while poll(2) says at
/// once that the peer has hung up (POLLRDHUP).
#[rstest]
fn a_downstream_that_leaves_behind_unread_bytes_while_it_is_not_read_has_left(
    #[values(false, true)] reset: bool,
    #[values(1, 2_000)] commands: usize,
) {
    let executor = LocalExecutor::new();
    let gate = Rc::new(ConnectionLimiter::default());
    let (mut peer, socket, progress, _orders) = downstream(&executor, &gate);
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
        let late = Instant::now() + Duration::from_secs(20);
        while Rc::strong_count(&socket) > 1 {
            assert!(Instant::now() < late, "its end is not seen (reset: {reset})");
            yield_now().await;
        }
    }));
    assert_eq!(progress.snapshot().local_replies, 0, "of {commands} commands");
}

/// Guards the term on clients that have gone: one that sends many commands at once and goes, before any of them was
/// read. Its end lies behind them, so no command is taken before that is seen.
#[test]
fn who_sends_much_at_once_and_goes_before_it_is_read_has_no_command_taken() {
    for commands in [1_200, 5_000, 15_000] {
        let executor = LocalExecutor::new();
        let gate = Rc::new(ConnectionLimiter::default());
        let (mut peer, socket, progress, _orders) = downstream(&executor, &gate);
        peer.set_nonblocking(true).expect("a socket");
        peer.write_all(&b"*1\r\n$4\r\nhere\r\n".repeat(commands)).expect("the kernel takes all of it");
        drop(peer);
        async_io::block_on(executor.run(async {
            let late = Instant::now() + Duration::from_secs(20);
            while Rc::strong_count(&socket) > 1 {
                assert!(Instant::now() < late, "its end is not seen behind {commands} commands");
                yield_now().await;
            }
        }));
        assert_eq!(progress.snapshot().local_replies, 0, "of {commands} commands");
    }
}

/// A client that had left was served: it sent more than the 256 KB that are read ahead of the commands that may be taken, and
/// only reading further showed its end. Seen here: two commands are taken where one connection may have one open. The end is
/// asked for now, which finds it if it has come: with 22,000 commands `ss` shows 28,645 bytes unread here, and the peer in
/// FIN-WAIT-1 with 17,212 bytes that the window had no room for, its end behind them.
#[rstest]
fn who_sends_more_than_is_read_ahead_and_goes_has_no_command_taken(
    #[values(20_000, 22_000)] commands: usize,
) {
    let executor = LocalExecutor::new();
    let gate = Rc::new(ConnectionLimiter::default());
    let (mut peer, socket, progress, _orders) = downstream(&executor, &gate);
    peer.set_nonblocking(true).expect("a socket");
    peer.write_all(&b"*1\r\n$4\r\nhere\r\n".repeat(commands)).expect("the kernel takes all of it");
    drop(peer);
    async_io::block_on(executor.run(async {
        let late = Instant::now() + Duration::from_secs(20);
        while Rc::strong_count(&socket) > 1 {
            assert!(Instant::now() < late, "its end is not seen behind {commands} commands");
            yield_now().await;
        }
    }));
    assert_eq!(progress.snapshot().local_replies, 0, "of {commands} commands");
}

/// Who sends on and stays is answered, however much comes at once: what has come is taken once as much is here as may be,
/// or nothing more waits, also where that ends with a whole read.
#[rstest]
fn who_sends_much_at_once_and_stays_is_answered(#[values(1_024, 5_000, 60_000)] commands: usize) {
    let executor = LocalExecutor::new();
    let gate = Rc::new(ConnectionLimiter::default());
    let (peer, _socket, progress, _orders) = downstream(&executor, &gate);
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
        let late = Instant::now() + Duration::from_secs(20);
        while !reads.is_finished() {
            assert!(
                Instant::now() < late,
                "{} of {commands} are answered",
                progress.snapshot().local_replies
            );
            yield_now().await;
        }
    }));
    sends.join().expect("all is sent");
    assert!(reads.join().expect("all is read"), "in their order");
}

/// A command that waits in the kernel is bytes to the door, is not read while its downstream is paused, and
/// is answered before the downstream closes that was told to finish.
#[rstest]
fn what_waits_unread_is_answered_before_a_downstream_that_was_told_to_finish_closes(
    #[values(false, true)] leaves: bool,
) {
    let executor = LocalExecutor::new();
    let gate = Rc::new(ConnectionLimiter::default());
    let (mut peer, socket, progress, orders) = downstream(&executor, &gate);
    assert_eq!((gate.open(), socket.has_nothing_unread()), ([1, 0], true));
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
    assert_eq!(gate.open(), [0, 0]);
}

/// A peer that has more commands behind the ones being answered, and sends another for each answer, is never without
/// one: told to leave, it gets its answers at the first moment with nothing unread, and the end right behind.
#[test]
fn who_sends_again_for_each_answer_is_closed_with_every_command_answered() {
    let executor = LocalExecutor::new();
    let gate = Rc::new(ConnectionLimiter::default());
    let (mut peer, socket, progress, orders) = downstream(&executor, &gate);
    peer.set_nonblocking(true).expect("a socket");
    let command = b"*1\r\n$1\r\n.\r\n";
    let (mut sent, mut answered, mut over) = (0, 0, false);
    async_io::block_on(executor.run(async {
        for turn in 0..2_000 {
            // Its window: as many are out as fit a pipeline, and it sends before anybody else has a turn.
            while sent < answered + 8 {
                peer.write_all(command).expect("it is open");
                sent += 1;
            }
            if turn == 100 {
                orders.send(TaskMessage::FinishNow).await.expect("it listens");
            }
            yield_now().await;
            // All that has come, and the end if that has too.
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

/// The kernel resets what waits at a port that closes: all of it comes in first, also where it had to wait for room.
#[test]
fn who_waits_in_the_backlog_comes_in_before_the_port_closes() {
    let executor = LocalExecutor::new();
    let gate = Rc::new(ConnectionLimiter::default());
    let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0)).expect("a port");
    let address = listener.get_ref().local_addr().expect("an address");
    let (queue, news) = async_channel::bounded(8);
    gate.set_limits([2, 2], 2);
    let mut peers: Vec<_> = (0..5).map(|_| TcpStream::connect(address).expect("it listens")).collect();
    for peer in &mut peers {
        peer.write_all(b"*1\r\n$4\r\nPING\r\n").expect("sent");
    }
    gate.stop_accepting();
    let port = executor.spawn(accept(listener, PortIndex(0), queue, gate.for_port(PortKind::Main), |_| true));
    let come = async_io::block_on(executor.run(async {
        let mut come = 0;
        // Each goes as soon as it has come, which makes room.
        while let Ok(NetEvent::Accepted(socket, ..)) = news.recv().await {
            assert!(gate.open()[0] <= 2 && !socket.has_nothing_unread());
            come += 1;
        }
        port.await;
        come
    }));
    assert_eq!(come, 5);
    assert!(TcpStream::connect(address).is_err());
}
