//! Events from the socket tasks to the owner of the core.

use super::accept::Socket;
use super::framed::ConnectionEvent;
use crate::admission::Reservation;
use crate::codec::discovery::Cluster;
use crate::core::{DownstreamId, Input};
use dissemination::{ControlId, Message};
use std::net::SocketAddr;

/// The client at the other end, as the log shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    pub client: SocketAddr,
    /// The front through which it connected.
    pub via: Option<SocketAddr>,
}

impl std::fmt::Display for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "client={}", self.client)?;
        self.via.map_or(Ok(()), |via| write!(f, " via={via}"))
    }
}

/// Turns an IPv4-mapped IPv6 address into the IPv4 address.
pub fn canonical_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

/// The owner's number of a listening port. The sockets don't know what is spoken there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortIndex(pub usize);

/// Events that socket tasks send to the task that owns the core.
#[derive(Debug)]
pub enum NetEvent {
    Core(Input),
    /// As `Core`, with the room that its bytes take until they have left the queue.
    Reserved(Input, Reservation),
    Accepted(Socket, SocketAddr, PortIndex),
    /// The activity of some downstreams has changed.
    DownstreamsChanged,
    /// A PROXY header has named the client of a connection; each is logged.
    ProxyHeader(DownstreamId, Caller),
    /// No descriptor was left for a new connection, so an idle one has to be closed.
    OutOfDescriptors,
    /// A local fault to be logged.
    Log(Box<LogEntry>),
    /// From the watch on discovery with this number.
    Discovery(u64, WatchEvent),
    /// From the connection to a planner: its position in the file and the number of the connection.
    Planner(usize, u64, ConnectionEvent),
    /// From the connection to a control machine, with the number of the connection.
    Control(ControlId, u64, ConnectionEvent<Message>),
    /// A graceful shutdown was requested.
    Drain,
    /// The configuration file was replaced.
    Reload,
}

/// An event of a watch on discovery. An update without a list is a sign of life.
#[derive(Debug)]
pub enum WatchEvent {
    /// The response has begun; if nothing has changed, no update may come for a while.
    Answered,
    Update(Option<Cluster>),
    Ended,
}

/// A log line about a peer: its text, and the fields for programs that read the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// The name of the event in the log, which is stable.
    pub event: &'static str,
    pub text: String,
    pub caller: Option<Caller>,
    pub node: Option<SocketAddr>,
    pub why: Option<String>,
}

impl LogEntry {
    pub fn new(event: &'static str, text: impl Into<String>) -> Self {
        LogEntry { event, text: text.into(), caller: None, node: None, why: None }
    }

    pub fn caller(self, caller: &Caller) -> Self {
        LogEntry { caller: Some(caller.clone()), ..self }
    }

    pub fn node(self, node: SocketAddr) -> Self {
        LogEntry { node: Some(node), ..self }
    }

    pub fn why(self, why: impl ToString) -> Self {
        LogEntry { why: Some(why.to_string()), ..self }
    }
}

pub type EventSender = async_channel::Sender<NetEvent>;

impl From<Input> for NetEvent {
    fn from(input: Input) -> Self {
        NetEvent::Core(input)
    }
}

impl From<LogEntry> for NetEvent {
    fn from(note: LogEntry) -> Self {
        NetEvent::Log(Box::new(note))
    }
}

/// Sends an event to the owner. The owner outlives every task, so a failure only means that the program is
/// exiting.
pub(crate) async fn send_event(queue: &EventSender, news: impl Into<NetEvent>) {
    let _ = queue.send(news.into()).await;
}
