//! Connections on which frames go both ways, a task a connection: between forwarders and planners, and between control
//! machines, followers and whoever submits changes. What a frame is, its message type says ([`Framed`]).
//!
//! Both sides use [`run_connection`]; [`dial`] is for the one that opens it. What is to be written waits in an [`Outbox`],
//! bounded in frames and bytes: a peer that does not take it is cut. What is read is bounded by the frames' length and
//! by messages a second: past that a peer floods and is cut, with the reason. Nobody ever waits for a peer except its
//! own task.

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

/// Frames and bytes that wait to be written; the largest frame fits four times.
const FRAMES: usize = 32;
const BYTES: usize = 4 * bounds::FRAME;
/// How long a dial may take, and a farewell.
const CONNECT: Duration = Duration::from_secs(1);
const GOODBYE: Duration = Duration::from_secs(1);
/// A peer that says nothing for so long is gone: planners and forwarders speak four times a second.
const SILENCE: Duration = Duration::from_secs(5);
/// Messages that may come at once.
const BURST: f64 = 2.0 * bounds::MESSAGES_PER_SECOND;

/// A message that goes over a connection in frames.
pub trait Framed: Debug + Sized + 'static {
    /// Takes messages out of bytes, and holds one frame at most.
    type Reader: Default;
    /// Why a connection cannot go on.
    type Refused: Display;
    /// Bytes that may wait to be written to one peer.
    const WAITING: usize;

    /// As [`plan::frame::Reader::read`].
    ///
    /// # Errors
    ///
    /// What came is no frame, or the peer refuses us.
    fn read(reader: &mut Self::Reader, bytes: &mut &[u8]) -> Result<Option<Self>, Self::Refused>;
    /// The last frame of a connection, which tells the peer the reason.
    fn refusal(why: &Self::Refused) -> Vec<u8>;
    /// Whether the other side gave the reason: then it needs not be told.
    fn is_by_peer(why: &Self::Refused) -> bool;
    fn flood() -> Self::Refused;
    fn unexpected(what: &'static str) -> Self::Refused;
    /// Whether a peer may send one more.
    fn admits(allowance: &mut Allowance, now: Instant) -> bool {
        allowance.take(now)
    }
}

impl Framed for Message {
    type Reader = Reader;
    type Refused = Refused;
    const WAITING: usize = BYTES;

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

/// What a connection tells its owner.
#[derive(Debug)]
pub enum ConnectionEvent<M = Message> {
    Up,
    Message(Box<M>),
    /// It is over; the text says why.
    Down(String),
}

enum Item {
    Frame(Rc<[u8]>),
    /// The last words: the connection is closed behind them.
    Last(Vec<u8>),
}

/// The owner's end of what waits to be written. Dropping it changes nothing: the owner drops the task.
#[derive(Debug)]
pub struct Outbox {
    items: Sender<Item>,
    held: Rc<Cell<usize>>,
    /// Bytes that may be held.
    most: usize,
}

/// The task's end.
pub struct Inbox {
    items: Receiver<Item>,
    held: Rc<Cell<usize>>,
}

/// The two ends, between forwarders and planners.
pub fn outbox() -> (Outbox, Inbox) {
    outbox_for::<Message>()
}

/// The two ends for messages of a kind.
pub fn outbox_for<M: Framed>() -> (Outbox, Inbox) {
    let (items, taken) = async_channel::bounded(FRAMES);
    let held = Rc::new(Cell::new(0));
    (Outbox { items, held: held.clone(), most: M::WAITING }, Inbox { items: taken, held })
}

impl Outbox {
    /// Whether there was room for a frame: without, the peer does not take what it is told.
    pub fn push(&self, frame: Rc<[u8]>) -> bool {
        let held = self.held.get() + frame.len();
        let sent = held <= self.most && self.items.try_send(Item::Frame(frame)).is_ok();
        if sent {
            self.held.set(held);
        }
        sent
    }

    /// Whether all of it is written.
    pub fn is_empty(&self) -> bool {
        self.held.get() == 0
    }

    /// As [`Outbox::push`], for the last frame of all.
    pub fn last(&self, frame: Vec<u8>) -> bool {
        self.items.try_send(Item::Last(frame)).is_ok()
    }
}

/// What a peer may send, in messages: a bucket.
#[derive(Debug)]
pub struct Allowance {
    left: f64,
    filled: Instant,
}

impl Allowance {
    fn take(&mut self, now: Instant) -> bool {
        self.take_part(now, 1.0)
    }

    /// As [`Allowance::take`], of which a message takes but a part: of 0.1 ten times as many may come.
    fn take_part(&mut self, now: Instant, part: f64) -> bool {
        let since = now.saturating_duration_since(self.filled).as_secs_f64();
        self.left = (self.left + since * bounds::MESSAGES_PER_SECOND).min(BURST) - part;
        self.filled = now;
        self.left >= 0.0
    }
}

enum End<R> {
    /// Nothing more can or need be said.
    Over(String),
    /// The peer is told this reason.
    Refuse(R),
}

/// Moves frames both ways until the connection is over; tells why. `hear` makes of each message what goes into
/// `news`, where its task waits for room.
pub async fn run_connection<M: Framed, T>(
    socket: &Async<TcpStream>,
    out: Inbox,
    news: &Sender<T>,
    hear: impl Fn(Box<M>) -> T,
) -> String {
    let end = future::or(listen::<M, T>(socket, news, hear), write(socket, &out)).await;
    let (last, why) = match end {
        End::Over(why) => return why,
        End::Refuse(why) => (M::refusal(&why), format!("refused: {why}")),
    };
    let goodbye = async {
        if write_all(socket, &last).await.is_ok() {
            farewell(socket).await;
        }
    };
    within(GOODBYE, goodbye).await;
    why
}

async fn listen<M: Framed, T>(
    socket: &Async<TcpStream>,
    news: &Sender<T>,
    hear: impl Fn(Box<M>) -> T,
) -> End<M::Refused> {
    let (mut reader, mut input) = (M::Reader::default(), Vec::new());
    let mut allowance = Allowance { left: BURST, filled: Instant::now() };
    loop {
        match within(SILENCE, read(socket, &mut input)).await {
            Some(Ok(1..)) => {}
            Some(Ok(0)) => return End::Over("closed by the other side".into()),
            Some(Err(why)) => return End::Over(why.to_string()),
            None => return End::Refuse(M::unexpected("silence for so long")),
        }
        let mut bytes = &input[..];
        loop {
            match M::read(&mut reader, &mut bytes) {
                Ok(Some(_)) if !M::admits(&mut allowance, Instant::now()) => return End::Refuse(M::flood()),
                Ok(Some(message)) => {
                    // An owner that has gone drops this task.
                    let _ = news.send(hear(Box::new(message))).await;
                }
                Ok(None) => break,
                Err(why) if M::is_by_peer(&why) => return End::Over(why.to_string()),
                Err(why) => return End::Refuse(why),
            }
        }
        input.clear();
    }
}

async fn write<R>(socket: &Async<TcpStream>, out: &Inbox) -> End<R> {
    loop {
        let Ok(item) = out.items.recv().await else { return future::pending().await };
        match item {
            Item::Frame(frame) => {
                if let Err(why) = write_all(socket, &frame).await {
                    return End::Over(why.to_string());
                }
                out.held.set(out.held.get().saturating_sub(frame.len()));
            }
            Item::Last(frame) => {
                let goodbye = async {
                    if write_all(socket, &frame).await.is_ok() {
                        farewell(socket).await;
                    }
                };
                within(GOODBYE, goodbye).await;
                return End::Over("closed by us".into());
            }
        }
    }
}

async fn within<T>(time: Duration, done: impl std::future::Future<Output = T>) -> Option<T> {
    let late = async {
        Timer::after(time).await;
        None
    };
    future::or(async { Some(done.await) }, late).await
}

/// A connection that we open, from the dial to its end; `word` makes of what it tells what goes into `news`.
pub async fn dial<M: Framed, T>(
    address: SocketAddr,
    out: Inbox,
    news: Sender<T>,
    word: impl Fn(ConnectionEvent<M>) -> T,
) {
    let why = match within(CONNECT, Async::<TcpStream>::connect(address)).await {
        Some(Ok(socket)) => {
            let _ = socket.get_ref().set_nodelay(true);
            // An owner that has gone drops this task.
            let _ = news.send(word(ConnectionEvent::Up)).await;
            run_connection(&socket, out, &news, |message| word(ConnectionEvent::Message(message))).await
        }
        Some(Err(why)) => why.to_string(),
        None => io::Error::from(io::ErrorKind::TimedOut).to_string(),
    };
    let _ = news.send(word(ConnectionEvent::Down(why))).await;
}

#[cfg(test)]
mod tests;
