//! Connections to nodes: one upstream request at a time on each, the pool of them is the core's.

use super::memcached::node as memcached;
use super::{consume, origin, peek, read, send_event, write_all, EventSender, LogEntry};
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

/// How long a node that turns the first job of a connection away is given to close it too: that comes right behind.
const CLOSING: Duration = Duration::from_millis(2);

/// What a node speaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UpstreamProtocol {
    Cache,
    /// A cache node with the binary protocol of memcached.
    Memcached,
    Origin,
}

/// A job as it stands on one connection.
struct Turn<'a> {
    job: &'a Job,
    address: SocketAddr,
    /// Which of the connection's jobs it is.
    number: u32,
    columns: &'a [String],
}

impl UpstreamProtocol {
    /// Writes a job down; or says at once how it went, where the dialect has no words for it.
    fn put(self, out: &mut Vec<u8>, turn: &Turn) -> Result<(), Reply> {
        match self {
            UpstreamProtocol::Cache => put(out, turn.job),
            UpstreamProtocol::Memcached => return memcached::put(out, turn.job, turn.number),
            UpstreamProtocol::Origin => origin::put(out, turn.job, turn.address),
        }
        Ok(())
    }

    /// The reply that has come, if it is whole.
    fn reply(self, bytes: &[u8], turn: &Turn, rest: PeerState) -> Parsed<Reply> {
        let Turn { job, columns, number, .. } = *turn;
        let probe = matches!(job, Job::Probe);
        match self {
            UpstreamProtocol::Cache => {
                Ok(resp::reply(bytes)?.map(|(r, taken)| (reply(r, probe, columns), taken)))
            }
            UpstreamProtocol::Memcached => memcached::reply(bytes, job, number),
            UpstreamProtocol::Origin => origin::reply(bytes, job, columns, rest),
        }
    }
}

/// The list of names and values with another `d`; the rest byte for byte.
pub fn with_time_left(text: &[u8], patience_ms: i64) -> Vec<u8> {
    // Room for the digits of any time that a downstream may name, and more.
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

fn put(out: &mut Vec<u8>, job: &Job) {
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

/// How a read went, as the module counts it; `None` for a word that no node says.
fn note(how: Option<&[u8]>) -> Option<u32> {
    how.map_or(Some(0), |how| READ_RESULTS.iter().position(|w| w.as_bytes() == how).map(|at| at as u32 + 1))
}

fn reply(reply: resp::Reply, probe: bool, columns: &[String]) -> Reply {
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
            let known = whole.and_then(|[value, how, report]| Some((value, note(how.as_deref())?, report)));
            match known {
                Some((value, note, report)) => {
                    r.verdict = if value.is_some() { Verdict::Served } else { Verdict::Miss };
                    r.value = value.unwrap_or_default();
                    r.note = note;
                    r.report = report.map_or_else(Vec::new, |t| codec::report(&t, columns));
                }
                // No answer that a node makes: a miss would be taken for a proof that nothing ran.
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
            // What only looks like an error line is noise, and more of it may follow.
            r.keep = !code.is_empty() && code.iter().all(u8::is_ascii_uppercase);
            r.report = codec::report(&text, columns);
        }
        // Nothing a node says to such a job: it may have run, and the connection is out of step.
        _ => r.keep = false,
    }
    r
}

/// The way of jobs to a connection, and how far it is with the last one.
#[derive(Clone, Debug)]
pub struct JobQueue {
    taken: Receiver<Job>,
    /// The job's last byte is out.
    whole: Rc<Cell<bool>>,
}

impl From<Receiver<Job>> for JobQueue {
    fn from(taken: Receiver<Job>) -> Self {
        JobQueue { taken, whole: Rc::default() }
    }
}

impl JobQueue {
    /// A job is on its way.
    pub fn job_queued(&self) {
        self.whole.set(false);
    }

    /// Takes a job back of which not a byte is out.
    pub fn take_back(&self) -> bool {
        self.taken.try_recv().is_ok()
    }

    /// Whether the job's last byte is out: it may run.
    pub fn is_fully_written(&self) -> bool {
        self.whole.get()
    }
}

/// Connects, then carries one job after the other until the connection breaks or the task is dropped.
pub async fn run_connection(
    id: ConnectionId,
    address: SocketAddr,
    dialect: UpstreamProtocol,
    jobs: impl Into<JobQueue>,
    queue: EventSender,
    columns: Rc<Vec<String>>,
) {
    let JobQueue { taken: jobs, whole } = jobs.into();
    let socket = match Async::<TcpStream>::connect(address).await {
        Ok(socket) => socket,
        Err(_) => return send_event(&queue, Input::Broken(id, Stage::Idle)).await,
    };
    let _ = socket.get_ref().set_nodelay(true);
    send_event(&queue, Input::Connected(id)).await;
    let (number, input, output) = (0, Vec::new(), Vec::new());
    let mut connection = Connection { socket, address, dialect, number, whole, input, output, columns };
    loop {
        let job = match connection.idle(&jobs).await {
            Some(job) => job,
            None => return send_event(&queue, Input::Broken(id, Stage::Idle)).await,
        };
        match connection.carry(&job).await {
            Ok(reply) => send_event(&queue, Input::Replied(id, reply)).await,
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

struct Connection {
    socket: Async<TcpStream>,
    address: SocketAddr,
    dialect: UpstreamProtocol,
    /// Jobs it has carried.
    number: u32,
    /// The last byte of the job is written.
    whole: Rc<Cell<bool>>,
    input: Vec<u8>,
    /// The job that is written.
    output: Vec<u8>,
    columns: Rc<Vec<String>>,
}

impl Connection {
    /// The next job; `None` once the node has closed, or has said something unasked. The socket is looked at
    /// first, with a job in hand too, so that none goes out on a connection that is known to be closed.
    async fn idle(&self, jobs: &Receiver<Job>) -> Option<Job> {
        let closed = async {
            let _ = peek(&self.socket).await;
            None
        };
        if !self.input.is_empty() {
            return None;
        }
        future::or(closed, async { jobs.recv().await.ok() }).await
    }

    /// Whether the node closes within [`CLOSING`], with nothing more to say.
    async fn closes(&self) -> bool {
        let closed = async { matches!(peek(&self.socket).await, Ok(0) | Err(_)) };
        let stays = async {
            Timer::after(CLOSING).await;
            false
        };
        self.input.is_empty() && future::or(closed, stays).await
    }

    /// Writes the job: whether to its last byte. A node that says something or ends before that has not heard it
    /// whole, and the rest is not written. The socket was looked at just before, in [`Connection::idle`]: with what
    /// goes out at once nothing can have come.
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

    async fn carry(&mut self, job: &Job) -> Result<Reply, (Stage, Option<Malformed>)> {
        self.number = self.number.wrapping_add(1);
        let turn = Turn { job, address: self.address, number: self.number, columns: &self.columns };
        if let Err(reply) = self.dialect.put(&mut self.output, &turn) {
            self.output.clear();
            self.whole.set(true);
            return Ok(reply);
        }
        if !self.write().await {
            // Not its last byte was written, so it never ran. A node may turn a job away before it has heard all of
            // it; what else it says by then is no answer to it.
            let _ = future::poll_once(read(&self.socket, &mut self.input)).await;
            return match self.dialect.reply(&self.input, &turn, PeerState::Open) {
                Ok(Some((r, _))) if r.verdict == Verdict::Full => Ok(Reply { keep: false, ..r }),
                _ => Err((Stage::Writing, None)),
            };
        }
        self.whole.set(true);
        let written = self.output.len();
        consume(&mut self.output, written);
        loop {
            let rest = match read(&self.socket, &mut self.input).await {
                Ok(1..) => PeerState::Open,
                Ok(0) => PeerState::Closed,
                Err(_) => return Err((Stage::Reading, None)),
            };
            let parsed = self.dialect.reply(&self.input, &turn, rest);
            let parsed = parsed.map_err(|m| (Stage::Reading, Some(m)))?;
            if let Some((mut reply, taken)) = parsed {
                consume(&mut self.input, taken);
                if self.number == 1 && reply.verdict == Verdict::Full {
                    reply.no_place = self.closes().await;
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
