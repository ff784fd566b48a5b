//! The core's interface to its host: the [`Input`]s passed in, the [`Effect`]s to carry out, and the types
//! they are made of.

use crate::codec::discovery::Cluster;
use crate::interface::*;
use std::any::Any;
use std::net::SocketAddr;
use std::rc::Rc;

/// A client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DownstreamId(pub u64);

/// A connection to a node, as a slot in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// The request of a stream, byte for byte as received from the downstream.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Message {
    pub verb: Vec<u8>,
    pub key: Vec<u8>,
    pub id: Vec<u8>,
    pub properties: Vec<u8>,
    /// The value of a write.
    pub value: Option<Vec<u8>>,
    /// The room that these bytes take in a budget of the host.
    pub room: Room,
}

/// Room in a budget of the host, which is given back when this is dropped. All rooms are equal.
#[derive(Default)]
pub struct Room(Option<Box<dyn Any>>);

impl Room {
    /// `reservation` gives the room back when it is dropped.
    pub fn new(reservation: impl Any) -> Self {
        Room(Some(Box::new(reservation)))
    }
}

impl std::fmt::Debug for Room {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(if self.0.is_some() { "Room" } else { "None" })
    }
}

impl PartialEq for Room {
    fn eq(&self, _: &Self) -> bool {
        true
    }
}

impl Eq for Room {}

/// A new stream as parsed by a downstream's protocol.
#[derive(Clone, Debug)]
pub struct NewStream {
    pub downstream: DownstreamId,
    /// Sequence number among the streams of its downstream; answers are returned in this order.
    pub place: u64,
    pub class: ClassId,
    pub tenant: TenantId,
    pub key: Key,
    pub repeat: bool,
    /// How long the downstream waits, counted from now.
    pub patience: Micros,
    pub hint: Option<f64>,
    pub message: Rc<Message>,
}

impl NewStream {
    /// Keeps the room that its message takes until the message is dropped.
    pub fn keep_room(&mut self, room: Room) {
        if let Some(message) = Rc::get_mut(&mut self.message) {
            message.room = room;
        }
    }
}

/// The final answer of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Value(Vec<u8>),
    /// The origin reported that the key does not exist.
    Absent,
    /// Local reply: refused, with the time after which to retry if known.
    Busy(Option<Micros>),
    Failed,
    /// The stream ran out of time.
    Late,
    /// Rejected because an open stream has the same id.
    DuplicateId,
    /// Rejected because an earlier request with the same id may have run, and must not run twice.
    RepeatedId,
}

/// What is written to a connection.
#[derive(Clone, Debug)]
pub enum Job {
    Stream { message: Rc<Message>, patience: Micros },
    Probe,
}

/// What a node answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// One of Served, Miss, Error and Full.
    pub verdict: Verdict,
    pub value: Vec<u8>,
    pub note: u32,
    pub report: Vec<f32>,
    /// Whether the connection can carry another upstream request.
    pub keep: bool,
    /// Whether the node rejected a new connection because its connection table is full.
    pub no_place: bool,
}

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StreamOutcome {
    Served,
    Refused,
    Failed,
    /// The downstream closed its connection before the answer.
    Left,
}

impl StreamOutcome {
    /// The name used in log lines and figures.
    pub fn name(self) -> &'static str {
        match self {
            StreamOutcome::Served => "served",
            StreamOutcome::Refused => "refused",
            StreamOutcome::Failed => "failed",
            StreamOutcome::Left => "left",
        }
    }
}

/// Names of read results as nodes report them; [`Outcome::note`] holds the index counted from 1.
pub const READ_RESULTS: [&str; 3] = ["hit", "miss", "pending"];

/// Why a stream was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The limit on open streams was reached.
    Full,
    /// No upstream request was sent.
    NotSent,
    /// The stream needed the origin, which had no free place or did not answer in time.
    Origin,
    /// None of its upstream requests succeeded.
    Attempts,
}

/// How a stream was handled before it ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamDetails {
    /// Whether another upstream request was made after a failed one.
    pub retried: bool,
    /// Whether it missed and was then served by a cache node that another stream's fetch had filled.
    pub joined: bool,
    pub refused: Option<Refusal>,
}

/// The record of a finished stream.
#[derive(Clone, Debug)]
pub struct Record {
    pub class: ClassId,
    pub tenant: TenantId,
    pub message: Rc<Message>,
    /// The node that served the stream, otherwise the last one tried.
    pub node: Option<Rc<str>>,
    /// How the node reported the read, as in [`Outcome::note`].
    pub note: u32,
    pub ended: StreamOutcome,
    pub details: StreamDetails,
    /// The stream's duration and the time when it ended.
    pub time: Micros,
    pub at: Micros,
}

impl Record {
    /// `hit`, `miss` or `pending`, if a node reported it.
    pub fn read(&self) -> Option<&'static str> {
        READ_RESULTS.get((self.note as usize).checked_sub(1)?).copied()
    }
}

/// An event at a node, from which a forwarder builds its reports for the planners.
#[derive(Clone, Debug)]
pub enum NodeEvent {
    /// A complete list or a change to it, with the nodes' names.
    Listed { revision: u64, form: ListForm, nodes: Vec<(Member, Rc<str>)> },
    /// A new stream was accepted.
    StreamTaken { class: ClassId, tenant: TenantId, write: bool },
    /// An upstream request or a probe was started.
    Sent(ServerId),
    /// An upstream request or a probe ended, with the utilisation reported by the node.
    Ended { server: ServerId, verdict: Verdict, elapsed: Micros, load: Option<f32> },
    /// A node answered a request that had already been abandoned.
    LateAnswer(ServerId),
}

/// How much of its job a connection had written when it broke or the job was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// No byte of a job was written; a job already handed over can still be sent elsewhere.
    Idle,
    /// Part of the job was written, but not its last byte.
    Writing,
    /// The whole job was written; the answer is awaited.
    Reading,
}

/// An input from the host to the core.
#[derive(Debug)]
pub enum Input {
    /// A plan received from the planners.
    Plan(Plan),
    Stream(NewStream),
    DownstreamClosed(DownstreamId),
    Connected(ConnectionId),
    Broken(ConnectionId, Stage),
    /// A job was withdrawn with no byte (idle) or not its last byte (writing) written, so it never ran.
    Withdrawn(ConnectionId, Stage),
    Replied(ConnectionId, Reply),
    /// A list or a change from discovery, or `None` for a keep-alive.
    Cluster(Option<Cluster>),
    /// A list from the previous watch, received while the present one has sent nothing.
    PreviousWatch(Cluster),
    WatchEnded,
    /// The address of discovery has changed.
    DiscoveryMoved,
    /// The proxy shuts down: every stream is answered by this time, including open ones that had longer
    /// deadlines.
    ShutdownBy(Micros),
}

/// An instruction from the core to its host.
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
    /// Nobody waits for the job any more. The host replies with [`Input::Withdrawn`] unless the job's last
    /// byte is written.
    Withdraw {
        connection: ConnectionId,
    },
    /// Open a new watch on discovery for changes after this revision; `None` asks for the whole list.
    Watch {
        after: Option<u64>,
    },
    Note(String),
    /// A stream has ended; emitted only if `Core::wants_records` is set.
    StreamEnded(Record),
    /// An event at a node; emitted only if `Core::wants_node_events` is set.
    NodeEvent(NodeEvent),
}

/// Counters since the start, reported in the log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub taken: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Of the streams in `left`, those that had no upstream request out, or one whose last byte was not
    /// written.
    pub left_unsent: u64,
    pub overdue: u64,
    /// Streams never answered: the proxy closed their downstream or shut down while they were open.
    pub unanswered: u64,
    /// Periods of 4 s or longer in which every stream, 15 at the least, was refused or failed without an
    /// attempt.
    pub refused_all: u64,
    pub upstream: u64,
    pub probes: u64,
    pub dials: u64,
    pub timeouts: u64,
    pub unconnected: u64,
    pub resets: u64,
    /// Lists and changes received from discovery, calls to it, and watches on it that ended.
    pub lists: u64,
    pub calls: u64,
    pub watches_ended: u64,
    /// Outcomes of upstream requests; those in `moot` were never written.
    pub missed: u64,
    pub turned_away: u64,
    pub errors: u64,
    pub moot: u64,
    /// Attempts sent to nodes within their cold time, attempts sent to the origin, and of the latter the
    /// reads that no node had missed.
    pub cold: u64,
    pub fetched: u64,
    pub spilled: u64,
    /// Refused streams by reason, see [`Refusal`].
    pub refused_full: u64,
    pub refused_unsent: u64,
    pub refused_origin: u64,
    pub refused_attempts: u64,
    /// Requests rejected because an earlier one with the same id may have run.
    pub repeated_ids: u64,
}
