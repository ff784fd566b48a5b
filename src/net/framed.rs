//! Connections between forwarders and planners: the frames of [`plan::frame`] both ways, a task a connection.
//!
//! Both sides use [`carry`]; [`dial`] is a forwarder's. What is to be written waits in an [`Outbox`], bounded in
//! frames and bytes: a peer that does not take it is cut. What is read is bounded by the frames' length and by
//! [`bounds::MESSAGES_A_SECOND`]: past that a peer floods and is cut, with the reason. Nobody ever waits for a
//! peer except its own task.

use super::downstream::farewell;
use super::{read, Queue};
use crate::net::{tell, News};
use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{future, AsyncWriteExt};
use plan::bounds;
use plan::frame::{self, Reader, Refused};
use plan::Message;
use std::cell::Cell;
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
const BURST: f64 = 2.0 * bounds::MESSAGES_A_SECOND;

/// What a connection tells its owner.
#[derive(Debug)]
pub enum Word {
    Up,
    Said(Box<Message>),
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
}

/// The task's end.
pub struct Inbox {
    items: Receiver<Item>,
    held: Rc<Cell<usize>>,
}

/// The two ends.
pub fn outbox() -> (Outbox, Inbox) {
    let (items, taken) = async_channel::bounded(FRAMES);
    let held = Rc::new(Cell::new(0));
    (Outbox { items, held: held.clone() }, Inbox { items: taken, held })
}

impl Outbox {
    /// Whether there was room for a frame: without, the peer does not take what it is told.
    pub fn push(&self, frame: Rc<[u8]>) -> bool {
        let held = self.held.get() + frame.len();
        let sent = held <= BYTES && self.items.try_send(Item::Frame(frame)).is_ok();
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
struct Allowance {
    left: f64,
    filled: Instant,
}

impl Allowance {
    fn take(&mut self, now: Instant) -> bool {
        let since = now.saturating_duration_since(self.filled).as_secs_f64();
        self.left = (self.left + since * bounds::MESSAGES_A_SECOND).min(BURST) - 1.0;
        self.filled = now;
        self.left >= 0.0
    }
}

enum End {
    /// Nothing more can or need be said.
    Over(String),
    /// The peer is told this reason.
    Refuse(Refused),
}

/// Moves frames both ways until the connection is over; tells why. `hear` makes of each message what goes into
/// `news`, where its task waits for room.
pub async fn carry<T>(
    socket: &Async<TcpStream>,
    out: Inbox,
    news: &Sender<T>,
    hear: impl Fn(Box<Message>) -> T,
) -> String {
    let end = future::or(listen(socket, news, hear), write(socket, &out)).await;
    let (last, why) = match end {
        End::Over(why) => return why,
        End::Refuse(why) => (frame::refusal(&why), format!("refused: {why}")),
    };
    let mut writer = socket;
    let goodbye = async {
        if writer.write_all(&last).await.is_ok() {
            farewell(socket).await;
        }
    };
    within(GOODBYE, goodbye).await;
    why
}

async fn listen<T>(socket: &Async<TcpStream>, news: &Sender<T>, hear: impl Fn(Box<Message>) -> T) -> End {
    let (mut reader, mut input) = (Reader::default(), Vec::new());
    let mut allowance = Allowance { left: BURST, filled: Instant::now() };
    loop {
        match within(SILENCE, read(socket, &mut input)).await {
            Some(Ok(1..)) => {}
            Some(Ok(0)) => return End::Over("closed by the other side".into()),
            Some(Err(why)) => return End::Over(why.to_string()),
            None => return End::Refuse(Refused::Unexpected("silence for so long")),
        }
        let mut bytes = &input[..];
        loop {
            match reader.read(&mut bytes) {
                Ok(Some(_)) if !allowance.take(Instant::now()) => return End::Refuse(Refused::Flood),
                Ok(Some(message)) => {
                    // An owner that has gone drops this task.
                    let _ = news.send(hear(Box::new(message))).await;
                }
                Ok(None) => break,
                Err(why @ Refused::ByPeer(_)) => return End::Over(why.to_string()),
                Err(why) => return End::Refuse(why),
            }
        }
        input.clear();
    }
}

async fn write(socket: &Async<TcpStream>, out: &Inbox) -> End {
    let mut writer = socket;
    loop {
        let Ok(item) = out.items.recv().await else { return future::pending().await };
        match item {
            Item::Frame(frame) => {
                if let Err(why) = writer.write_all(&frame).await {
                    return End::Over(why.to_string());
                }
                out.held.set(out.held.get().saturating_sub(frame.len()));
            }
            Item::Last(frame) => {
                let goodbye = async {
                    if writer.write_all(&frame).await.is_ok() {
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

/// A forwarder's connection to a planner, from the dial to its end.
pub async fn dial(address: SocketAddr, slot: usize, connection: u64, out: Inbox, queue: Queue) {
    let why = match within(CONNECT, Async::<TcpStream>::connect(address)).await {
        Some(Ok(socket)) => {
            let _ = socket.get_ref().set_nodelay(true);
            tell(&queue, News::Planner(slot, connection, Word::Up)).await;
            let hear = |message| News::Planner(slot, connection, Word::Said(message));
            carry(&socket, out, &queue, hear).await
        }
        Some(Err(why)) => why.to_string(),
        None => io::Error::from(io::ErrorKind::TimedOut).to_string(),
    };
    tell(&queue, News::Planner(slot, connection, Word::Down(why))).await;
}

#[cfg(test)]
mod tests;
