//! The client side of the sockets, on its own thread: sends each try when it is due, reads the answer, pools
//! connections and opens more when all are busy.
//!
//! It makes no decisions about load: the event loop decides which try goes to which proxy and when, drawn
//! ahead from the seed (open loop). It measures how late it sends, which tells whether a run's results are
//! valid.

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

/// Capacity of the queues of tries to send and of events; a full event queue blocks the clients.
const QUEUE_LEN: usize = 65_536;

/// A try to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduledTry {
    pub of: TryNo,
    pub proxy: ProxyNo,
    /// When the first byte should leave, and when the client closes the connection, answered or not.
    pub due: Micros,
    pub closes: Micros,
    pub key: String,
    /// The encoded command.
    pub command: Vec<u8>,
}

/// Outcome of a try as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TryOutcome {
    /// Answered; a refusal may say how long to wait before a retry.
    Answered(Final, Option<Micros>),
    /// The connection ended without a complete answer.
    Dropped,
    /// No connection could be established, so the try was never sent.
    Unreached,
    /// The client closed the connection without an answer.
    TimedOut,
}

/// Events that the clients' thread reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEvent {
    /// The last byte of a try was written, `late` microseconds after it was due.
    Sent { of: TryNo, at: Micros, late: Micros },
    /// The proxy closed an idle connection without reading the try, as the protocol allows between requests;
    /// it is sent again.
    Crossed { of: TryNo, at: Micros },
    /// This machine could not open a client connection: later results say nothing about the proxies.
    LocalFailure(io::ErrorKind),
    /// A try has ended; reported once for each try.
    Ended { of: TryNo, at: Micros, outcome: TryOutcome },
}

/// The clients' thread. Dropping it stops the thread and closes all connections.
#[derive(Debug)]
pub struct Clients {
    scheduled: Option<Sender<ScheduledTry>>,
    events: Receiver<ClientEvent>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Clients {
    /// Starts the thread; `proxies` holds the proxies' addresses in the order of their numbers.
    pub fn start(proxies: Vec<SocketAddr>, clock: Clock) -> io::Result<Self> {
        let (scheduled, receiver) = async_channel::bounded(QUEUE_LEN);
        let (report, events) = async_channel::bounded(QUEUE_LEN);
        let thread = thread::Builder::new()
            .name("clients".into())
            .spawn(move || async_io::block_on(run(proxies, clock, receiver, report)))?;
        Ok(Clients { scheduled: Some(scheduled), events, thread: Some(thread) })
    }

    /// Queues a try; `false` if the queue is full.
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

/// Runs until the queue of tries is closed.
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
    // Unfinished tasks and their connections are dropped with the executor.
    executor.run(work).await;
}
