//! The words between sockets and the owner of the core: who is there, what has come, what is worth a line.

use super::accept::Socket;
use super::framed::ConnectionEvent;
use crate::codec::discovery::Cluster;
use crate::core::{DownstreamId, Input};
use dissemination::{ControlId, Message};
use std::net::SocketAddr;

/// Who is at the other end, as lines of the log name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Caller {
    pub client: SocketAddr,
    /// The front that it came through.
    pub via: Option<SocketAddr>,
}

impl std::fmt::Display for Caller {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "client={}", self.client)?;
        self.via.map_or(Ok(()), |via| write!(f, " via={via}"))
    }
}

/// An IPv4 address that came mapped into IPv6 is the IPv4 address.
pub fn canonical_address(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

/// A port that the proxy listens on, as a number of the owner's: what is spoken there is not the sockets'
/// matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PortIndex(pub usize);

/// What sockets tell the one task that owns the core.
#[derive(Debug)]
pub enum NetEvent {
    Core(Input),
    Accepted(Socket, SocketAddr, PortIndex),
    /// Some downstreams show something new.
    DownstreamsChanged,
    /// A front has said for whom a connection is; told in the log, each of them.
    ProxyHeader(DownstreamId, Caller),
    /// No descriptor was left for a connection: something idle has to go.
    OutOfDescriptors,
    /// A local fault worth a line in the log.
    Log(Box<LogEntry>),
    /// From a watch on discovery, by its number.
    Discovery(u64, WatchEvent),
    /// From the connection to a planner, by its place in the file and the number of the connection.
    Planner(usize, u64, ConnectionEvent),
    /// From the connection to a control machine, and the number of the connection.
    Control(ControlId, u64, ConnectionEvent<Message>),
    /// A planned end.
    Drain,
    /// The configuration has been replaced.
    Reload,
}

/// What a watch on discovery tells: a list, or `None` for a sign of life.
#[derive(Debug)]
pub enum WatchEvent {
    /// The call is answered: where nothing has changed, nothing more may come for a while.
    Answered,
    Update(Option<Cluster>),
    Ended,
}

/// A line about a peer: its text, and what of it has a name of its own for whoever reads the log by program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// What has happened, in one word that stays.
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

/// Tells the owner; it lives as long as every task, so a failure only means that the program ends.
pub(crate) async fn send_event(queue: &EventSender, news: impl Into<NetEvent>) {
    let _ = queue.send(news.into()).await;
}
