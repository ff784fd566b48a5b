//! The clients' side of the sockets, on a thread of its own: sends a try when it is due, takes the answer, keeps
//! connections and opens more when all are busy.
//!
//! It decides nothing about load: which try goes to which proxy, and when, comes from the owner of the world, drawn
//! ahead by the seed (open loop). It knows how late it sends, which tells whether its figures mean anything.

mod attempt;
mod pool;

use crate::loopback::clock::Clock;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use attempt::TrySender;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread;
use world::facts::{Final, ProxyNo, TryNo};
use world::Micros;

/// Tries that may wait to be sent, and what may wait to be heard, before the other side is waited for.
const QUEUE_LEN: usize = 65_536;

/// A try to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledTry {
    pub of: TryNo,
    pub proxy: ProxyNo,
    /// When its first byte is to leave, and when the client closes, answered or not.
    pub due: Micros,
    pub closes: Micros,
    pub key: String,
    /// The command as it goes out.
    pub command: Vec<u8>,
}

/// What came of a try, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// With how long a refusal tells to stay away.
    Answered(Final, Option<Micros>),
    /// The connection ended without a whole answer.
    Dropped,
    /// No connection came up: the try never left.
    Unreached,
    /// The client has closed, without an answer.
    TimedOut,
}

/// What the clients tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The last byte of a try was written, so long after it was due.
    Sent { of: TryNo, at: Micros, late: Micros },
    /// The proxy has closed the connection without reading the try, as it may between requests: it is sent once more.
    Crossed { of: TryNo, at: Micros },
    /// This machine gives a client no connection: nothing that follows is the proxies' doing.
    LocalFailure(io::ErrorKind),
    /// A try has ended; said once for each.
    Ended { of: TryNo, at: Micros, outcome: TryOutcome },
}

/// The thread of the clients. Dropped, it ends; what is open is closed.
#[derive(Debug)]
pub struct Clients {
    scheduled: Option<Sender<ScheduledTry>>,
    events: Receiver<ClientEvent>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts the thread for proxies at these addresses, each in the place of its number.
    pub fn start(proxies: Vec<SocketAddr>, clock: Clock) -> io::Result<Self> {
        let (scheduled, receiver) = async_channel::bounded(QUEUE_LEN);
        let (report, events) = async_channel::bounded(QUEUE_LEN);
        let thread = thread::Builder::new()
            .name("clients".into())
            .spawn(move || async_io::block_on(run(proxies, clock, receiver, report)))?;
        Ok(Clients { scheduled: Some(scheduled), events, thread: Some(thread) })
    }

    /// Hands over a try; `false` if so many wait that this one cannot.
    #[must_use]
    pub fn send(&self, scheduled_try: ScheduledTry) -> bool {
        self.scheduled.as_ref().is_some_and(|scheduled| scheduled.try_send(scheduled_try).is_ok())
    }

    pub fn events(&self) -> &Receiver<ClientEvent> {
        &self.events
    }
}

impl Drop for Clients {
    fn drop(&mut self) {
        self.scheduled = None;
        self.events.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Until nobody sends any more.
async fn run(
    proxies: Vec<SocketAddr>,
    clock: Clock,
    scheduled: Receiver<ScheduledTry>,
    events: Sender<ClientEvent>,
) {
    let executor = Rc::new(LocalExecutor::new());
    let sender = Rc::new(TrySender::new(proxies, clock, events));
    let work = async {
        while let Ok(scheduled_try) = scheduled.recv().await {
            let sender = sender.clone();
            executor.spawn(async move { sender.run(scheduled_try).await }).detach();
        }
    };
    // Tasks that are not over are dropped with the executor, and their connections with them.
    executor.run(work).await;
}
