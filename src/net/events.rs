//! The words between sockets and the owner of the core: who is there, what has come, what is worth a line.

use super::accept::Socket;
use super::framed::Word;
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
pub fn unmapped(address: SocketAddr) -> SocketAddr {
    SocketAddr::new(address.ip().to_canonical(), address.port())
}

/// A port that the proxy listens on, as a number of the owner's: what is spoken there is not the sockets'
/// matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Port(pub usize);

/// What sockets tell the one task that owns the core.
#[derive(Debug)]
pub enum News {
    Core(Input),
    Accepted(Socket, SocketAddr, Port),
    /// Some downstreams show something new.
    Moved,
    /// A front has said for whom a connection is; told in the log, each of them.
    Fronted(DownstreamId, Caller),
    /// No descriptor was left for a connection: something idle has to go.
    Crowded,
    /// A local fault worth a line in the log.
    Note(Box<Note>),
    /// From a watch on discovery, by its number.
    Discovery(u64, Heard),
    /// From the connection to a planner, by its place in the file and the number of the connection.
    Planner(usize, u64, Word),
    /// From the connection to a control machine, and the number of the connection.
    Control(ControlId, u64, Word<Message>),
    /// A planned end.
    End,
    /// The configuration has been replaced.
    Reload,
}

/// What a watch on discovery tells: a list, or `None` for a sign of life.
#[derive(Debug)]
pub enum Heard {
    /// The call is answered: where nothing has changed, nothing more may come for a while.
    Answered,
    Told(Option<Cluster>),
    Ended,
}

/// A line about a peer: its text, and what of it has a name of its own for whoever reads the log by program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Note {
    /// What has happened, in one word that stays.
    pub event: &'static str,
    pub text: String,
    pub caller: Option<Caller>,
    pub node: Option<SocketAddr>,
    pub why: Option<String>,
}

impl Note {
    pub fn new(event: &'static str, text: impl Into<String>) -> Self {
        Note { event, text: text.into(), caller: None, node: None, why: None }
    }

    pub fn caller(self, caller: &Caller) -> Self {
        Note { caller: Some(caller.clone()), ..self }
    }

    pub fn node(self, node: SocketAddr) -> Self {
        Note { node: Some(node), ..self }
    }

    pub fn why(self, why: impl ToString) -> Self {
        Note { why: Some(why.to_string()), ..self }
    }
}

pub type Queue = async_channel::Sender<News>;

impl From<Input> for News {
    fn from(input: Input) -> Self {
        News::Core(input)
    }
}

impl From<Note> for News {
    fn from(note: Note) -> Self {
        News::Note(Box::new(note))
    }
}

/// Tells the owner; it lives as long as every task, so a failure only means that the program ends.
pub(crate) async fn tell(queue: &Queue, news: impl Into<News>) {
    let _ = queue.send(news.into()).await;
}
