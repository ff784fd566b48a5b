//! What goes in and out of the core: the [`Input`]s that a host hands in, the [`Effect`]s that it carries out, and what
//! both are made of.

use crate::codec::discovery::Cluster;
use crate::interface::*;
use std::net::SocketAddr;
use std::rc::Rc;

/// A connection of a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DownstreamId(pub u64);

/// A connection to a node: a slot in its pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What a stream asks a node, byte for byte as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Message {
    pub verb: Vec<u8>,
    pub key: Vec<u8>,
    pub id: Vec<u8>,
    pub properties: Vec<u8>,
    /// The value of a write.
    pub value: Option<Vec<u8>>,
}

/// A stream as a downstream's protocol hands it over.
#[derive(Clone, Debug)]
pub struct NewStream {
    pub downstream: DownstreamId,
    /// Its place among the streams of its downstream.
    pub place: u64,
    pub class: ClassId,
    pub tenant: TenantId,
    pub key: Key,
    pub repeat: bool,
    /// How long the downstream waits from now on.
    pub patience: Micros,
    pub hint: Option<f64>,
    pub message: Rc<Message>,
}

/// The final answer of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(Vec<u8>),
    /// Nobody has such a key: the origin said so.
    Absent,
    /// A local reply: refused, come again after this time.
    Busy(Option<Micros>),
    Failed,
    /// It ran out of time.
    Late,
    /// Not taken: its id is that of an open stream.
    DuplicateId,
}

/// What goes out on a connection.
#[derive(Clone, Debug)]
pub enum Job {
    Stream { message: Rc<Message>, patience: Micros },
    Probe,
}

/// What a node answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// Served, Miss, Error or Full.
    pub verdict: Verdict,
    pub value: Vec<u8>,
    pub note: u32,
    pub report: Vec<f32>,
    /// The connection can carry another upstream request.
    pub keep: bool,
    /// The node turned a new connection away: it has no place for another.
    pub no_place: bool,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamOutcome {
    Served,
    Refused,
    Failed,
    /// Its downstream was gone.
    Left,
}

impl StreamOutcome {
    /// As lines and figures name it.
    pub fn name(self) -> &'static str {
        match self {
            StreamOutcome::Served => "served",
            StreamOutcome::Refused => "refused",
            StreamOutcome::Failed => "failed",
            StreamOutcome::Left => "left",
        }
    }
}

/// How a node says that a read went: [`Outcome::note`] counts these from 1.
pub const READ_RESULTS: [&str; 3] = ["hit", "miss", "pending"];

/// Why a stream was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// As many streams are open as may be.
    Full,
    /// No upstream request was sent.
    NotSent,
    /// It wanted the origin, and found no place there or no answer in time.
    Origin,
    /// Its upstream requests came to nothing.
    Attempts,
}

/// What became of a stream on its way, beside its end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamDetails {
    /// Another upstream request was made after one had failed.
    pub retried: bool,
    /// It missed, and a cache served it then, which another stream's fetch had filled.
    pub joined: bool,
    pub refused: Option<Refusal>,
}

/// What is told of a stream when it has ended.
#[derive(Clone, Debug)]
pub struct Record {
    pub class: ClassId,
    pub tenant: TenantId,
    pub message: Rc<Message>,
    /// The node that served it, else the last one tried.
    pub node: Option<Rc<str>>,
    /// How a node said that the read went, as in [`Outcome::note`].
    pub note: u32,
    pub ended: StreamOutcome,
    pub details: StreamDetails,
    /// How long it took, and when it was over.
    pub time: Micros,
    pub at: Micros,
}

impl Record {
    /// `hit`, `miss` or `pending`, where a node said so.
    pub fn read(&self) -> Option<&'static str> {
        READ_RESULTS.get((self.note as usize).checked_sub(1)?).copied()
    }
}

/// What goes on at nodes, for whoever joins it with what others see.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// A list, or what changed in it, with the nodes' names.
    Listed { revision: u64, form: ListForm, nodes: Vec<(Member, Rc<str>)> },
    /// A stream was taken.
    StreamTaken { class: ClassId, tenant: TenantId, write: bool },
    /// An upstream request or a probe was made.
    Sent(ServerId),
    /// One ended, with the utilisation that the node reported.
    Ended { server: ServerId, verdict: Verdict, elapsed: Micros, load: Option<f32> },
    /// A node gave an answer that nobody waits for any more.
    LateAnswer(ServerId),
}

/// How far a connection was with its job when it broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Not a byte of a job was written; a job on its way to it is still whole.
    Idle,
    /// The last byte of the job was not written.
    Writing,
    /// It was.
    Reading,
}

/// What a host tells the core.
#[derive(Debug)]
pub enum Input {
    /// What planners say.
    Plan(Plan),
    Stream(NewStream),
    DownstreamClosed(DownstreamId),
    Connected(ConnectionId),
    Broken(ConnectionId, Stage),
    /// A job was taken back, of which no byte was written (idle) or not the last one (writing): it never ran.
    Withdrawn(ConnectionId, Stage),
    Replied(ConnectionId, Reply),
    /// A list, or `None` for a sign of life.
    Cluster(Option<Cluster>),
    /// A list of the watch before, while the present one has told nothing.
    PreviousWatch(Cluster),
    WatchEnded,
    /// Discovery is to be found elsewhere now.
    DiscoveryMoved,
    /// The proxy ends: whatever was taken has its answer by then, also what came before and could have taken longer.
    ShutdownBy(Micros),
}

/// What the core has its host do.
#[derive(Debug)]
pub enum Effect {
    Answer {
        downstream: DownstreamId,
        place: u64,
        answer: Answer,
    },
    Dial {
        connection: ConnectionId,
        address: SocketAddr,
        origin: bool,
    },
    Write {
        connection: ConnectionId,
        job: Job,
    },
    Close {
        connection: ConnectionId,
    },
    /// Nobody waits for the job any more. [`Input::Withdrawn`] follows unless its last byte is out.
    Withdraw {
        connection: ConnectionId,
    },
    /// Watch discovery anew for what changed after this revision; `None` asks for the whole list.
    Watch {
        after: Option<u64>,
    },
    Note(String),
    /// A stream has ended; handed out only if somebody listens.
    StreamEnded(Record),
    /// Something goes on at a node; handed out only if somebody watches.
    NodeEvent(NodeEvent),
}

/// Counted since the start, for the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Of those that left, the ones that waited: nothing was out just then, or its last byte was not.
    pub left_unsent: u64,
    pub overdue: u64,
    /// Never answered: their downstream was closed here, or the proxy ended, with them open.
    pub unanswered: u64,
    /// Spells of 4 s and longer in which all that came, 15 streams at the least, was turned away with no attempt.
    pub refused_all: u64,
    pub upstream: u64,
    pub probes: u64,
    pub dials: u64,
    pub timeouts: u64,
    pub unconnected: u64,
    pub resets: u64,
    /// Lists and changes that discovery told, calls to it, and watches on it that ended.
    pub lists: u64,
    pub calls: u64,
    pub watches_ended: u64,
    /// What nodes answered to upstream requests; `moot` were never written.
    pub missed: u64,
    pub turned_away: u64,
    pub errors: u64,
    pub moot: u64,
    /// Sent to nodes within their cold time, and to the origin; of these reads that no node had missed.
    pub cold: u64,
    pub fetched: u64,
    pub spilled: u64,
    /// Refused, by reason as [`Refusal`] has them.
    pub refused_full: u64,
    pub refused_unsent: u64,
    pub refused_origin: u64,
    pub refused_attempts: u64,
}
