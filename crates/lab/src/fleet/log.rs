//! The combined log of a fleet: all lines of its processes under one clock, with waiting for lines.
//!
//! It holds the lines that processes write to standard error (`--log-format json`: one JSON object per line,
//! with `event` naming what happened; anything else is kept as text) and the lab's own actions on the
//! processes, under the same clock. Its size is bounded: the oldest lines are dropped and counted. Waiting is
//! not polling: each new line wakes the waiters. The history of client operations is not part of it but a
//! file of its own ([`JsonLinesWriter`]).
//!
//! A line carries the time at which the lab read it. The process's own `at_ms` is among its fields and comes
//! from the clock of the same machine ([`Clock::unix`]), so that the difference shows how late the reader
//! was.

use crate::loopback::Clock;
use serde::Serialize;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::fs::File;
use std::io::{self, BufWriter, Write};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use world::Micros;

/// Maximum number of lines kept for all processes together, and of the bytes of their text.
const MAX_LINES: usize = 100_000;
const MAX_BYTES: usize = 64 << 20;
/// Maximum number of a process's last lines quoted in a [`WaitTimeout`].
const MAX_QUOTED: usize = 8;

/// The author of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum By {
    /// Written by the process to standard error.
    Process,
    /// Written by the lab about an action on the process or an observation of it.
    Lab,
}

/// One line of the log.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Position of the line in the log, counted from 0.
    pub number: u64,
    /// When the lab read it, in microseconds of the log's clock.
    pub at_us: Micros,
    /// The lab's name for the process.
    pub process: Arc<str>,
    /// Incarnation of the process, counted from 1; each restart increments it.
    pub life: u32,
    pub by: By,
    /// Name of the event; empty if the line was not JSON.
    pub event: String,
    /// Human-readable message; the whole line if it was not JSON.
    pub message: String,
    /// All other fields of the line by name.
    pub fields: Map<String, Value>,
}

impl Line {
    fn of(process: &Arc<str>, life: u32, by: By) -> Line {
        let (event, message, fields) = (String::new(), String::new(), Map::new());
        Line { number: 0, at_us: 0, process: process.clone(), life, by, event, message, fields }
    }

    /// Returns a string field.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// Returns an unsigned integer field.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// Returns the position after this line.
    pub fn mark(&self) -> Mark {
        Mark(self.number + 1)
    }

    /// Returns the listening address reported by a `listening`, `planning` or `side_port` event.
    pub fn address(&self) -> Option<SocketAddr> {
        self.text("address")?.parse().ok()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let at = self.at_us as f64 / 1e6;
        write!(f, "{at:.3} {}/{} {} {}", self.process, self.life, self.event, self.message)
    }
}

/// A position in the log; the lines after it are those that came later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark(u64);

type Test = dyn Fn(&Line) -> bool + Send + Sync;

/// Selects lines. A line matches if it meets all criteria that are set.
#[derive(Clone, Default)]
pub struct LineFilter {
    process: Option<String>,
    life: Option<u32>,
    event: Option<String>,
    says: Option<String>,
    test: Option<Arc<Test>>,
}

impl LineFilter {
    /// Matches every line.
    pub fn any() -> LineFilter {
        LineFilter::default()
    }

    /// Matches lines with this event, from a process or from the lab.
    pub fn event(name: &str) -> LineFilter {
        LineFilter { event: Some(name.to_owned()), ..LineFilter::default() }
    }

    /// Restricts to this process.
    pub fn of(self, process: &str) -> LineFilter {
        LineFilter { process: Some(process.to_owned()), ..self }
    }

    /// Restricts to one incarnation of the process; [`super::processes::Processes::life`] returns the current
    /// one.
    pub fn in_life(self, life: u32) -> LineFilter {
        LineFilter { life: Some(life), ..self }
    }

    /// Restricts to messages that contain this text.
    pub fn containing(self, text: &str) -> LineFilter {
        LineFilter { says: Some(text.to_owned()), ..self }
    }

    /// Restricts to lines that satisfy this predicate.
    pub fn when(self, test: impl Fn(&Line) -> bool + Send + Sync + 'static) -> LineFilter {
        LineFilter { test: Some(Arc::new(test)), ..self }
    }

    pub fn matches(&self, line: &Line) -> bool {
        self.process.as_deref().is_none_or(|p| p == &*line.process)
            && self.life.is_none_or(|l| l == line.life)
            && self.event.as_deref().is_none_or(|e| e == line.event)
            && self.says.as_deref().is_none_or(|s| line.message.contains(s))
            && self.test.as_ref().is_none_or(|t| t(line))
    }
}

impl fmt::Debug for LineFilter {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("a line")?;
        self.process.iter().try_for_each(|p| write!(f, " of {p}"))?;
        self.life.iter().try_for_each(|l| write!(f, " in its life {l}"))?;
        self.event.iter().try_for_each(|e| write!(f, " with event {e:?}"))?;
        self.says.iter().try_for_each(|s| write!(f, " that says {s:?}"))?;
        self.test.iter().try_for_each(|_| f.write_str(" of which more holds"))
    }
}

/// The awaited line did not appear in time. Quotes the last lines of the process concerned.
#[derive(Clone, Debug, thiserror::Error)]
#[error("not seen within {within:?}: {wanted}{lost}; last lines:{last}")]
pub struct WaitTimeout {
    within: Duration,
    wanted: String,
    lost: String,
    last: String,
}

#[derive(Debug, Default)]
struct Held {
    lines: VecDeque<(usize, Arc<Line>)>,
    /// Number that the next line gets.
    next: u64,
    bytes: usize,
    /// Number of dropped lines per process.
    lost: BTreeMap<Arc<str>, u64>,
}

impl Held {
    /// Number of the oldest line still kept.
    fn first(&self) -> u64 {
        self.next - self.lines.len() as u64
    }

    fn since(&self, mark: Mark) -> impl Iterator<Item = &Arc<Line>> {
        let skip = mark.0.saturating_sub(self.first()) as usize;
        self.lines.range(skip.min(self.lines.len())..).map(|(_, line)| line)
    }
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    held: Mutex<Held>,
    came: Condvar,
}

/// The log of a fleet; clones share the same lines.
#[derive(Clone, Debug)]
pub struct Log {
    shared: Arc<Shared>,
}

impl Log {
    /// Creates an empty log with times from `clock`.
    pub fn new(clock: Clock) -> Log {
        Log { shared: Arc::new(Shared { clock, held: Mutex::default(), came: Condvar::new() }) }
    }

    pub fn clock(&self) -> &Clock {
        &self.shared.clock
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.shared.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line read from a process.
    pub fn push_output(&self, process: &Arc<str>, life: u32, said: &str) {
        let object = serde_json::from_str::<Value>(said).ok();
        let (event, message, fields) = match object {
            Some(Value::Object(mut fields)) => {
                let mut take = |name: &str| match fields.remove(name) {
                    Some(Value::String(text)) => text,
                    Some(other) => other.to_string(),
                    None => String::new(),
                };
                (take("event"), take("message"), fields)
            }
            _ => (String::new(), said.to_owned(), Map::new()),
        };
        let line = Line { event, message, fields, ..Line::of(process, life, By::Process) };
        self.push(said.len(), line);
    }

    /// Adds a line about the lab's own action or observation.
    pub fn push_event(&self, process: &Arc<str>, life: u32, event: &str, message: String) {
        let bytes = event.len() + message.len();
        self.push(bytes, Line { event: event.to_owned(), message, ..Line::of(process, life, By::Lab) });
    }

    /// Numbers and stores a line of the given size in bytes.
    fn push(&self, bytes: usize, line: Line) {
        let mut held = self.held();
        // Read under the lock so that times increase with line numbers.
        let line = Line { number: held.next, at_us: self.shared.clock.now(), ..line };
        held.next += 1;
        held.bytes += bytes;
        held.lines.push_back((bytes, Arc::new(line)));
        while held.lines.len() > MAX_LINES || held.bytes > MAX_BYTES {
            let Some((bytes, line)) = held.lines.pop_front() else { break };
            held.bytes -= bytes;
            *held.lost.entry(line.process.clone()).or_default() += 1;
        }
        drop(held);
        self.shared.came.notify_all();
    }

    /// Returns the current end of the log.
    pub fn mark(&self) -> Mark {
        Mark(self.held().next)
    }

    /// Returns the matching lines after a mark that are still kept, in order of arrival.
    pub fn lines(&self, since: Mark, wanted: &LineFilter) -> Vec<Arc<Line>> {
        self.held().since(since).filter(|l| wanted.matches(l)).cloned().collect()
    }

    /// Number of dropped lines per process.
    pub fn lost(&self) -> BTreeMap<Arc<str>, u64> {
        self.held().lost.clone()
    }

    /// Returns the first matching line after a mark, waiting up to `most` for it.
    ///
    /// # Errors
    ///
    /// No matching line came, or it was dropped before it could be seen; the error tells how many lines were.
    pub fn wait_for(
        &self,
        since: Mark,
        wanted: &LineFilter,
        most: Duration,
    ) -> Result<Arc<Line>, WaitTimeout> {
        let until = Instant::now().checked_add(most);
        let (mut held, mut from, mut missed) = (self.held(), since, 0);
        loop {
            missed += held.first().saturating_sub(from.0);
            if let Some(line) = held.since(from).find(|l| wanted.matches(l)) {
                return Ok(line.clone());
            }
            from = Mark(held.next);
            let left = until.map_or(most, |until| until.saturating_duration_since(Instant::now()));
            if left.is_zero() {
                break;
            }
            held = self.shared.came.wait_timeout(held, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        let whose = |l: &&Arc<Line>| wanted.process.as_deref().is_none_or(|p| p == &*l.process);
        let last: Vec<_> = held.lines.iter().rev().map(|(_, l)| l).filter(whose).take(MAX_QUOTED).collect();
        let last = match last.is_empty() {
            true => " none".to_owned(),
            false => last.iter().rev().map(|l| format!("\n  {l}")).collect(),
        };
        let lost = match missed {
            0 => String::new(),
            n => format!(" ({n} lines were dropped unseen)"),
        };
        Err(WaitTimeout { within: most, wanted: format!("{wanted:?}"), lost, last })
    }

    /// Returns the first line with this event of a process since the start of the log.
    ///
    /// # Errors
    ///
    /// As [`Log::wait_for`].
    pub fn event(&self, process: &str, event: &str, most: Duration) -> Result<Arc<Line>, WaitTimeout> {
        self.wait_for(Mark::default(), &LineFilter::event(event).of(process), most)
    }

    /// Writes all kept lines to a file as JSON lines.
    ///
    /// # Errors
    ///
    /// I/O errors of the file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines(Mark::default(), &LineFilter::any());
        let written = JsonLinesWriter::create(path)?;
        lines.iter().try_for_each(|line| written.push(&**line))?;
        written.finish().map(drop)
    }
}

/// Writes a file of JSON lines from several threads, for example the history of client operations. It buffers no
/// more than a usual write buffer holds, and refuses records beyond [`MAX_RECORDS`].
#[derive(Debug)]
pub struct JsonLinesWriter {
    to: Mutex<(BufWriter<File>, u64)>,
}

/// Maximum number of records of a file; the checkers of histories accept no more.
pub const MAX_RECORDS: u64 = 1 << 20;

impl JsonLinesWriter {
    /// Creates a file; an existing one is truncated.
    ///
    /// # Errors
    ///
    /// I/O errors of the file.
    pub fn create(path: &Path) -> io::Result<JsonLinesWriter> {
        Ok(JsonLinesWriter { to: Mutex::new((BufWriter::new(File::create(path)?), 0)) })
    }

    /// Appends a record. Records of one thread keep their order.
    ///
    /// # Errors
    ///
    /// I/O errors of the file; a record that cannot be serialized; a file with [`MAX_RECORDS`] records.
    pub fn push(&self, record: &impl Serialize) -> io::Result<()> {
        let mut text = serde_json::to_vec(record)?;
        text.push(b'\n');
        let mut to = self.to.lock().unwrap_or_else(PoisonError::into_inner);
        if to.1 == MAX_RECORDS {
            return Err(io::Error::new(
                io::ErrorKind::QuotaExceeded,
                "the file has reached its maximum number of records",
            ));
        }
        to.1 += 1;
        to.0.write_all(&text)
    }

    /// Flushes the file and returns the number of records.
    ///
    /// # Errors
    ///
    /// I/O errors of the file.
    pub fn finish(self) -> io::Result<u64> {
        let (mut to, records) = self.to.into_inner().unwrap_or_else(PoisonError::into_inner);
        to.flush()?;
        Ok(records)
    }
}
