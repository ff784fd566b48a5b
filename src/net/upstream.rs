//! Connections to nodes, one upstream request at a time on each. The core manages the pool.

use super::memcached::node as memcached;
use super::{
    consume, origin, peek, read, read_at_most, send_event, write_all, EventSender, LogEntry, NetEvent,
};
use crate::admission::{HeldBytes, HeldKind, HeldShare, Reservation, ReservationBudget};
use crate::codec::http::PeerState;
use crate::codec::{self, resp, Malformed, Parsed};
use crate::core::{ConnectionId, Input, Job, Reply, Stage, READ_RESULTS};
use crate::interface::Verdict;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use std::cell::Cell;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

/// Bytes of a reply that may arrive without a reservation; most replies are shorter.
const UNRESERVED_REPLY: usize = 4 * 1024;
/// The bytes reserved at a time for the rest of a reply: a value of the largest size with what a protocol
/// adds to it.
pub const RESERVED_REPLY: usize = resp::MAX_VALUE + UNRESERVED_REPLY;
/// The longest reply: in chunks of one byte each, a value takes six times its size.
const MAX_REPLY: usize = UNRESERVED_REPLY + 6 * RESERVED_REPLY;

/// How long to wait for a node to close after it has rejected the first job of a connection; the close
/// follows right behind.
const CLOSE_GRACE: Duration = Duration::from_millis(2);

/// The protocol that a node speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamProtocol {
    Cache,
    /// A cache node with the binary protocol of memcached.
    Memcached,
    Origin,
}

/// A job and the connection that it runs on.
struct JobContext<'a> {
    job: &'a Job,
    address: SocketAddr,
    /// The number of the job on its connection.
    number: u32,
    columns: &'a [String],
}

impl UpstreamProtocol {
    /// Encodes a job, or returns its result at once if the protocol cannot express it.
    fn encode(self, out: &mut Vec<u8>, context: &JobContext) -> Result<(), Reply> {
        match self {
            UpstreamProtocol::Cache => encode_command(out, context.job),
            UpstreamProtocol::Memcached => return memcached::encode(out, context.job, context.number),
            UpstreamProtocol::Origin => origin::encode(out, context.job, context.address),
        }
        Ok(())
    }

    /// Decodes the reply if it is complete.
    fn decode(self, bytes: &[u8], context: &JobContext, rest: PeerState) -> Parsed<Reply> {
        let JobContext { job, columns, number, .. } = *context;
        let probe = matches!(job, Job::Probe);
        match self {
            UpstreamProtocol::Cache => {
                Ok(resp::reply(bytes)?.map(|(r, taken)| (decode_reply(r, probe, columns), taken)))
            }
            UpstreamProtocol::Memcached => memcached::decode(bytes, job, number),
            UpstreamProtocol::Origin => origin::decode(bytes, job, columns, rest),
        }
    }
}

/// Replaces `d` in the list of properties; everything else stays byte for byte.
pub fn with_time_left(text: &[u8], patience_ms: i64) -> Vec<u8> {
    // Leaves room for the digits of any time that a downstream may send.
    let mut out = Vec::with_capacity(text.len() + 16);
    for (i, pair) in text.split(|b| *b == b',').enumerate() {
        out.extend_from_slice(if i > 0 { b"," } else { b"" });
        match pair.starts_with(b"d=") {
            // Writing to a vector cannot fail.
            true => drop(write!(out, "d={}", patience_ms.max(1))),
            false => out.extend_from_slice(pair),
        }
    }
    out
}

fn encode_command(out: &mut Vec<u8>, job: &Job) {
    match job {
        Job::Probe => resp::put_command(out, &[b"INFO", b"load"]),
        Job::Stream { message: m, patience } => {
            let properties = with_time_left(&m.properties, patience / 1000);
            let words: [&[u8]; 5] =
                [&m.verb, &m.key, &m.id, &properties, m.value.as_deref().unwrap_or_default()];
            resp::put_command(out, &words[..if m.value.is_some() { 5 } else { 4 }]);
        }
    }
}

/// The result of a read as the decision module numbers it; `None` for a word that no node sends.
fn read_result(how: Option<&[u8]>) -> Option<u32> {
    how.map_or(Some(0), |how| READ_RESULTS.iter().position(|w| w.as_bytes() == how).map(|at| at as u32 + 1))
}

fn decode_reply(reply: resp::Reply, probe: bool, columns: &[String]) -> Reply {
    let mut r = Reply {
        verdict: Verdict::Error,
        value: Vec::new(),
        note: 0,
        report: Vec::new(),
        keep: true,
        no_place: false,
    };
    match reply {
        resp::Reply::Array(items) if !probe => {
            let whole = <[_; 3]>::try_from(items).ok();
            let known =
                whole.and_then(|[value, how, report]| Some((value, read_result(how.as_deref())?, report)));
            match known {
                Some((value, note, report)) => {
                    r.verdict = if value.is_some() { Verdict::Served } else { Verdict::Miss };
                    r.value = value.unwrap_or_default();
                    r.note = note;
                    r.report = report.map_or_else(Vec::new, |t| codec::report(&t, columns));
                }
                // Not a valid answer of a node: a miss would be taken as proof that nothing ran.
                None => r.keep = false,
            }
        }
        resp::Reply::Bulk(Some(text)) if probe => {
            r.verdict = Verdict::Served;
            r.report = codec::report(&text, columns);
        }
        resp::Reply::Error(text) => {
            let code = text.split(|b| *b == b' ').next().unwrap_or_default();
            r.verdict = if code == b"BUSY" { Verdict::Full } else { Verdict::Error };
            // Bytes that only look like an error line are noise, and more may follow.
            r.keep = !code.is_empty() && code.iter().all(u8::is_ascii_uppercase);
            r.report = codec::report(&text, columns);
        }
        // Not a valid reply to such a job: it may have run, and the connection is out of step.
        _ => r.keep = false,
    }
    r
}

/// The queue of jobs to a connection, and whether the current job is written.
#[derive(Clone, Debug)]
pub struct JobQueue {
    taken: Receiver<Job>,
    /// Whether the last byte of the job is written.
    written: Rc<Cell<bool>>,
}

impl From<Receiver<Job>> for JobQueue {
    fn from(taken: Receiver<Job>) -> Self {
        JobQueue { taken, written: Rc::default() }
    }
}

impl JobQueue {
    /// Records that a job was queued.
    pub fn job_queued(&self) {
        self.written.set(false);
    }

    /// Takes back a job of which no byte is written.
    pub fn take_back(&self) -> bool {
        self.taken.try_recv().is_ok()
    }

    /// Whether the last byte of the job is written, so that it may run.
    pub fn is_fully_written(&self) -> bool {
        self.written.get()
    }
}

/// Connects, then runs one job after the other until the connection breaks or the task is dropped.
pub async fn run_connection(
    id: ConnectionId,
    address: SocketAddr,
    protocol: UpstreamProtocol,
    jobs: impl Into<JobQueue>,
    queue: EventSender,
    columns: Rc<Vec<String>>,
    memory: ReplyMemory,
) {
    let JobQueue { taken: jobs, written } = jobs.into();
    let socket = match Async::<TcpStream>::connect(address).await {
        Ok(socket) => socket,
        Err(_) => return send_event(&queue, Input::Broken(id, Stage::Idle)).await,
    };
    let _ = socket.get_ref().set_nodelay(true);
    send_event(&queue, Input::Connected(id)).await;
    let (number, input, output) = (0, Vec::new(), Vec::new());
    let mut connection =
        Connection { socket, address, protocol, number, written, input, output, columns, memory };
    loop {
        let job = match connection.next_job(&jobs).await {
            Some(job) => job,
            None => return send_event(&queue, Input::Broken(id, Stage::Idle)).await,
        };
        match connection.run_job(&job).await {
            Ok(reply) => {
                // The room for the reply goes with it.
                let replied = Input::Replied(id, reply);
                match connection.memory.reservation.take() {
                    None => send_event(&queue, replied).await,
                    Some(reservation) => send_event(&queue, NetEvent::Reserved(replied, reservation)).await,
                }
            }
            Err((stage, why)) => {
                if let Some(Malformed(what)) = why {
                    let text = format!("node at {address}: malformed answer: {what}");
                    let note = LogEntry::new("malformed_answer", text).node(address).why(what);
                    send_event(&queue, note).await;
                }
                return send_event(&queue, Input::Broken(id, stage)).await;
            }
        }
    }
}

/// The memory of the reply that is arriving on one connection.
#[derive(Debug)]
pub struct ReplyMemory {
    /// What is held, as the log shows it.
    held: HeldShare,
    /// The room for replies, which all connections share.
    budget: Rc<ReservationBudget>,
    reservation: Option<Reservation>,
    /// Bytes that the reply may have without another reservation.
    allowed: usize,
}

impl ReplyMemory {
    pub fn new(held: HeldShare, budget: Rc<ReservationBudget>) -> Self {
        ReplyMemory { held, budget, reservation: None, allowed: UNRESERVED_REPLY }
    }

    /// Waits for room for more of a reply.
    async fn reserve(&mut self) {
        let more = self.budget.wait_for_item().await;
        self.allowed += RESERVED_REPLY;
        match &mut self.reservation {
            Some(reservation) => reservation.absorb(more),
            None => self.reservation = Some(more),
        }
    }

    /// Another reply is to arrive.
    fn restart(&mut self) {
        self.reservation = None;
        self.allowed = UNRESERVED_REPLY;
    }

    /// Reports the bytes that have arrived.
    fn arrived(&mut self, bytes: usize) {
        self.held.set(HeldBytes::default().with(HeldKind::Replies, bytes));
    }
}

struct Connection {
    socket: Async<TcpStream>,
    address: SocketAddr,
    protocol: UpstreamProtocol,
    /// The number of jobs run.
    number: u32,
    /// Whether the last byte of the job is written.
    written: Rc<Cell<bool>>,
    input: Vec<u8>,
    /// The encoded job.
    output: Vec<u8>,
    columns: Rc<Vec<String>>,
    memory: ReplyMemory,
}

impl Connection {
    /// The next job, or `None` once the node has closed or has sent something unasked. The socket is checked
    /// first, even if a job is waiting, so that none is sent on a connection known to be closed.
    async fn next_job(&self, jobs: &Receiver<Job>) -> Option<Job> {
        let closed = async {
            let _ = peek(&self.socket).await;
            None
        };
        if !self.input.is_empty() {
            return None;
        }
        future::or(closed, async { jobs.recv().await.ok() }).await
    }

    /// Whether the node closes within [`CLOSE_GRACE`] without sending anything more.
    async fn closes_soon(&self) -> bool {
        let closed = async { matches!(peek(&self.socket).await, Ok(0) | Err(_)) };
        let stays = async {
            Timer::after(CLOSE_GRACE).await;
            false
        };
        self.input.is_empty() && future::or(closed, stays).await
    }

    /// Writes the job and returns whether its last byte was written. If the node sends something or closes
    /// before that, it has not received the whole job, and the rest is not written. No check is needed for
    /// what is written at once: [`Connection::next_job`] has just checked the socket, so nothing can have
    /// arrived.
    async fn write(&self) -> bool {
        let mut written = std::pin::pin!(write_all(&self.socket, &self.output));
        if let Some(written) = future::poll_once(written.as_mut()).await {
            return written.is_ok();
        }
        let early = async {
            let _ = peek(&self.socket).await;
            false
        };
        future::or(early, async { written.await.is_ok() }).await
    }

    async fn run_job(&mut self, job: &Job) -> Result<Reply, (Stage, Option<Malformed>)> {
        self.number = self.number.wrapping_add(1);
        let context = JobContext { job, address: self.address, number: self.number, columns: &self.columns };
        if let Err(reply) = self.protocol.encode(&mut self.output, &context) {
            self.output.clear();
            self.written.set(true);
            return Ok(reply);
        }
        if !self.write().await {
            // The last byte was not written, so the job never ran. A node may reject a job before it has
            // received all of it; anything else it has sent by then is no answer to it.
            let _ = future::poll_once(read(&self.socket, &mut self.input)).await;
            return match self.protocol.decode(&self.input, &context, PeerState::Open) {
                Ok(Some((r, _))) if r.verdict == Verdict::Full => Ok(Reply { keep: false, ..r }),
                _ => Err((Stage::Writing, None)),
            };
        }
        self.written.set(true);
        let written = self.output.len();
        consume(&mut self.output, written);
        self.memory.restart();
        loop {
            if self.input.len() >= MAX_REPLY {
                return Err((Stage::Reading, Some(Malformed("an oversized reply"))));
            }
            if self.input.len() >= self.memory.allowed {
                self.memory.reserve().await;
            }
            let allowed = self.memory.allowed - self.input.len();
            let rest = match read_at_most(&self.socket, &mut self.input, allowed).await {
                Ok(1..) => PeerState::Open,
                Ok(0) => PeerState::Closed,
                Err(_) => return Err((Stage::Reading, None)),
            };
            let parsed = self.protocol.decode(&self.input, &context, rest);
            let parsed = parsed.map_err(|m| (Stage::Reading, Some(m)))?;
            if let Some((_, taken)) = parsed {
                consume(&mut self.input, taken);
            }
            self.memory.arrived(self.input.len());
            if let Some((mut reply, _)) = parsed {
                if self.number == 1 && reply.verdict == Verdict::Full {
                    reply.no_place = self.closes_soon().await;
                    reply.keep &= !reply.no_place;
                }
                return Ok(reply);
            }
            if rest == PeerState::Closed {
                return Err((Stage::Reading, None));
            }
        }
    }
}
