//! Connections that carry frames in both directions, one task each: between forwarders and planners, and
//! between control machines, followers and clients that submit changes. The message type defines the frames
//! ([`Framed`]).
//!
//! Both sides use [`run_connection`]; [`dial`] is for the side that opens the connection. Outgoing frames
//! wait in an [`Outbox`], bounded in frames and bytes; a peer that doesn't read them is disconnected. Input
//! is bounded by the length of a frame and by messages per second; a peer that sends more is disconnected
//! with the reason. Only the connection's own task ever waits for the peer.

mod changes;

use super::downstream::farewell;
use super::{read, write_all};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::future;
use plan::bounds;
use plan::frame::{self, Reader, Refused};
use plan::Message;
use std::cell::Cell;
use std::fmt::{Debug, Display};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The limits of an outbox in frames and bytes; the largest frame fits four times.
const MAX_QUEUED_FRAMES: usize = 32;
const MAX_QUEUED_BYTES: usize = 4 * bounds::FRAME;
/// How long connecting, and the last exchange before closing, may take.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// A peer that sends nothing for this long is considered gone: planners and forwarders send four messages a
/// second.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);
/// How many messages may arrive at once.
const MESSAGE_BURST: f64 = 2.0 * bounds::MESSAGES_PER_SECOND;

/// A message type that is sent in frames.
pub trait Framed: Debug + Sized + 'static {
    /// Parses messages from bytes; holds at most one frame.
    type Reader: Default;
    /// Why a connection cannot continue.
    type Refused: Display;
    /// Bytes that may wait to be written to one peer.
    const MAX_WAITING_BYTES: usize;

    /// As [`plan::frame::Reader::read`].
    ///
    /// # Errors
    ///
    /// The bytes are not a valid frame, or the peer refuses the connection.
    fn read(reader: &mut Self::Reader, bytes: &mut &[u8]) -> Result<Option<Self>, Self::Refused>;
    /// The last frame of a connection, which tells the peer the reason.
    fn refusal(why: &Self::Refused) -> Vec<u8>;
    /// Whether the peer gave the reason, so that it need not be told.
    fn is_by_peer(why: &Self::Refused) -> bool;
    fn flood() -> Self::Refused;
    fn unexpected(what: &'static str) -> Self::Refused;
    /// Whether the peer may send one more message.
    fn admits(allowance: &mut Allowance, now: Instant) -> bool {
        allowance.take(now)
    }
}

impl Framed for Message {
    type Reader = Reader;
    type Refused = Refused;
    const MAX_WAITING_BYTES: usize = MAX_QUEUED_BYTES;

    fn read(reader: &mut Reader, bytes: &mut &[u8]) -> Result<Option<Self>, Refused> {
        reader.read(bytes)
    }

    fn refusal(why: &Refused) -> Vec<u8> {
        frame::refusal(why)
    }

    fn is_by_peer(why: &Refused) -> bool {
        matches!(why, Refused::ByPeer(_))
    }

    fn flood() -> Refused {
        Refused::Flood
    }

    fn unexpected(what: &'static str) -> Refused {
        Refused::Unexpected(what)
    }
}

/// What a connection reports to its owner.
#[derive(Debug)]
pub enum ConnectionEvent<M = Message> {
    Up,
    Message(Box<M>),
    /// The connection has ended, for this reason.
    Down(String),
}

enum Item {
    Frame(Rc<[u8]>),
    /// The last frame; the connection is closed after it.
    Last(Vec<u8>),
}

/// The owner's end of the queue of outgoing frames. Dropping it has no effect on the connection; to close it
/// the owner drops the task.
#[derive(Debug)]
pub struct Outbox {
    items: Sender<Item>,
    held: Rc<Cell<usize>>,
    /// Bytes that may be queued.
    max_bytes: usize,
}

/// The task's end of the queue.
pub struct Inbox {
    items: Receiver<Item>,
    held: Rc<Cell<usize>>,
}

/// Creates both ends of a queue for messages between forwarders and planners.
pub fn outbox() -> (Outbox, Inbox) {
    outbox_for::<Message>()
}

/// Creates both ends of a queue for messages of type `M`.
pub fn outbox_for<M: Framed>() -> (Outbox, Inbox) {
    let (items, receiver) = async_channel::bounded(MAX_QUEUED_FRAMES);
    let held = Rc::new(Cell::new(0));
    (Outbox { items, held: held.clone(), max_bytes: M::MAX_WAITING_BYTES }, Inbox { items: receiver, held })
}

impl Outbox {
    /// Queues a frame. Returns false if there is no room, because the peer doesn't read.
    pub fn push(&self, frame: Rc<[u8]>) -> bool {
        let held = self.held.get() + frame.len();
        let sent = held <= self.max_bytes && self.items.try_send(Item::Frame(frame)).is_ok();
        if sent {
            self.held.set(held);
        }
        sent
    }

    /// Whether everything is written.
    pub fn is_empty(&self) -> bool {
        self.held.get() == 0
    }

    /// As [`Outbox::push`], for the last frame before closing.
    pub fn last(&self, frame: Vec<u8>) -> bool {
        self.items.try_send(Item::Last(frame)).is_ok()
    }
}

/// The token bucket of the messages that a peer may send.
#[derive(Debug)]
pub struct Allowance {
    left: f64,
    filled: Instant,
}

impl Allowance {
    fn take(&mut self, now: Instant) -> bool {
        self.take_fraction(now, 1.0)
    }

    /// As [`Allowance::take`], but a message costs only a fraction of a token: with 0.1, ten times as many
    /// may arrive.
    fn take_fraction(&mut self, now: Instant, fraction: f64) -> bool {
        let since = now.saturating_duration_since(self.filled).as_secs_f64();
        self.left = (self.left + since * bounds::MESSAGES_PER_SECOND).min(MESSAGE_BURST) - fraction;
        self.filled = now;
        self.left >= 0.0
    }
}

enum Outcome<R> {
    /// Nothing more can or need be said.
    Closed(String),
    /// The peer is told this reason.
    Refuse(R),
}

/// Moves frames both ways until the connection ends, and returns the reason. `to_event` turns each message
/// into an event for `news`; this task waits while that queue is full.
pub async fn run_connection<M: Framed, T>(
    socket: &Async<TcpStream>,
    out: Inbox,
    news: &Sender<T>,
    to_event: impl Fn(Box<M>) -> T,
) -> String {
    let outcome = future::or(read_messages::<M, T>(socket, news, to_event), write_frames(socket, &out)).await;
    let (last, why) = match outcome {
        Outcome::Closed(why) => return why,
        Outcome::Refuse(why) => (M::refusal(&why), format!("refused: {why}")),
    };
    let close = async {
        if write_all(socket, &last).await.is_ok() {
            farewell(socket).await;
        }
    };
    with_timeout(CLOSE_TIMEOUT, close).await;
    why
}

async fn read_messages<M: Framed, T>(
    socket: &Async<TcpStream>,
    news: &Sender<T>,
    to_event: impl Fn(Box<M>) -> T,
) -> Outcome<M::Refused> {
    let (mut reader, mut input) = (M::Reader::default(), Vec::new());
    let mut allowance = Allowance { left: MESSAGE_BURST, filled: Instant::now() };
    loop {
        match with_timeout(SILENCE_TIMEOUT, read(socket, &mut input)).await {
            Some(Ok(1..)) => {}
            Some(Ok(0)) => return Outcome::Closed("closed by the other side".into()),
            Some(Err(why)) => return Outcome::Closed(why.to_string()),
            None => return Outcome::Refuse(M::unexpected("silence for so long")),
        }
        let mut bytes = &input[..];
        loop {
            match M::read(&mut reader, &mut bytes) {
                Ok(Some(_)) if !M::admits(&mut allowance, Instant::now()) => {
                    return Outcome::Refuse(M::flood())
                }
                Ok(Some(message)) => {
                    // If the owner is gone, this task is about to be dropped.
                    let _ = news.send(to_event(Box::new(message))).await;
                }
                Ok(None) => break,
                Err(why) if M::is_by_peer(&why) => return Outcome::Closed(why.to_string()),
                Err(why) => return Outcome::Refuse(why),
            }
        }
        input.clear();
    }
}

async fn write_frames<R>(socket: &Async<TcpStream>, out: &Inbox) -> Outcome<R> {
    loop {
        let Ok(item) = out.items.recv().await else { return future::pending().await };
        match item {
            Item::Frame(frame) => {
                if let Err(why) = write_all(socket, &frame).await {
                    return Outcome::Closed(why.to_string());
                }
                out.held.set(out.held.get().saturating_sub(frame.len()));
            }
            Item::Last(frame) => {
                let close = async {
                    if write_all(socket, &frame).await.is_ok() {
                        farewell(socket).await;
                    }
                };
                with_timeout(CLOSE_TIMEOUT, close).await;
                return Outcome::Closed("closed by us".into());
            }
        }
    }
}

async fn with_timeout<T>(time: Duration, done: impl std::future::Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(time).await;
        None
    };
    future::or(async { Some(done.await) }, late).await
}

/// Opens a connection and runs it to its end. `to_event` turns its reports into events for `news`.
pub async fn dial<M: Framed, T>(
    address: SocketAddr,
    out: Inbox,
    news: Sender<T>,
    to_event: impl Fn(ConnectionEvent<M>) -> T,
) {
    let why = match with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await {
        Some(Ok(socket)) => {
            let _ = socket.get_ref().set_nodelay(true);
            // If the owner is gone, this task is about to be dropped.
            let _ = news.send(to_event(ConnectionEvent::Up)).await;
            run_connection(&socket, out, &news, |message| to_event(ConnectionEvent::Message(message))).await
        }
        Some(Err(why)) => why.to_string(),
        None => io::Error::from(io::ErrorKind::TimedOut).to_string(),
    };
    let _ = news.send(to_event(ConnectionEvent::Down(why))).await;
}

#[cfg(test)]
mod tests;
