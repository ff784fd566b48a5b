//! What the processes of a fleet say, line by line, by one clock; and what tests wait for in it.
//!
//! It owns the lines: those that processes write to standard error (`--log-format json`, an object a line with `event`
//! as the word that names what happened; what is no such object is kept as text), and what the lab itself did to a
//! process, under the same clock. All that is held is bounded, the oldest lines go first and are counted. Nobody polls: who waits is
//! woken by each line that comes. Not the client operations' history, which is a file of its own ([`JsonLinesWriter`]).
//!
//! A line bears the moment at which the lab read it. The process's own `at_ms` is among its fields; it is of the same
//! machine's clock ([`Clock::unix`]), so that the two tell how late the reader was.

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

/// Lines that are held, of all processes together, and bytes of what they said.
const MAX_LINES: usize = 100_000;
const MAX_BYTES: usize = 64 << 20;
/// Lines of a process that a message about what was not seen quotes.
const MAX_QUOTED: usize = 8;

/// Who says a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum By {
    /// The process, on its standard error.
    Process,
    /// The lab, of what it did to the process or saw of it.
    Lab,
}

/// One line.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Counts all lines of a log from 0.
    pub number: u64,
    /// When the lab had it, in microseconds of the log's clock.
    pub at_us: Micros,
    /// The process by the name that the lab knows it by.
    pub process: Arc<str>,
    /// Which process of this name, from 1: one that was started again is another one.
    pub life: u32,
    pub by: By,
    /// The word that names what happened; empty in what is no JSON.
    pub event: String,
    /// For people; the whole line in what is no JSON.
    pub message: String,
    /// All else that the line has, by its names.
    pub fields: Map<String, Value>,
}

impl Line {
    fn of(process: &Arc<str>, life: u32, by: By) -> Line {
        let (event, message, fields) = (String::new(), String::new(), Map::new());
        Line { number: 0, at_us: 0, process: process.clone(), life, by, event, message, fields }
    }

    /// A field that is text.
    pub fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field)?.as_str()
    }

    /// A field that is a whole number.
    pub fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field)?.as_u64()
    }

    /// The place behind this line.
    pub fn mark(&self) -> Mark {
        Mark(self.number + 1)
    }

    /// The address that the line tells: where somebody listens, in `listening`, `planning` and `side_port`.
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

/// A place in a log: the lines behind it are those that came later.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mark(u64);

type Test = dyn Fn(&Line) -> bool + Send + Sync;

/// What is looked for: a line that is all that was asked for.
#[derive(Clone, Default)]
pub struct LineFilter {
    process: Option<String>,
    life: Option<u32>,
    event: Option<String>,
    says: Option<String>,
    test: Option<Arc<Test>>,
}

impl LineFilter {
    /// Any line.
    pub fn any() -> LineFilter {
        LineFilter::default()
    }

    /// A line of this event, from a process or from the lab.
    pub fn event(name: &str) -> LineFilter {
        LineFilter { event: Some(name.to_owned()), ..LineFilter::default() }
    }

    /// Of this process alone.
    pub fn of(self, process: &str) -> LineFilter {
        LineFilter { process: Some(process.to_owned()), ..self }
    }

    /// Of that process of the name alone; [`super::processes::Processes::life`] tells which one runs.
    pub fn in_life(self, life: u32) -> LineFilter {
        LineFilter { life: Some(life), ..self }
    }

    /// Whose message holds this.
    pub fn saying(self, text: &str) -> LineFilter {
        LineFilter { says: Some(text.to_owned()), ..self }
    }

    /// Of which this holds.
    pub fn when(self, test: impl Fn(&Line) -> bool + Send + Sync + 'static) -> LineFilter {
        LineFilter { test: Some(Arc::new(test)), ..self }
    }

    pub fn is(&self, line: &Line) -> bool {
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

/// What was waited for did not come in time. Tells the last lines of who was to say it.
#[derive(Clone, Debug, thiserror::Error)]
#[error("not seen within {within:?}: {wanted}{lost}; last:{last}")]
pub struct WaitTimeout {
    within: Duration,
    wanted: String,
    lost: String,
    last: String,
}

#[derive(Debug, Default)]
struct Held {
    lines: VecDeque<(usize, Arc<Line>)>,
    /// Number of the next line.
    next: u64,
    bytes: usize,
    /// Lines that had to go, by process.
    lost: BTreeMap<Arc<str>, u64>,
}

impl Held {
    /// Number of the first line that is still here.
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

/// The log of a fleet; copies are the same log.
#[derive(Clone, Debug)]
pub struct Log {
    shared: Arc<Shared>,
}

impl Log {
    /// An empty log whose times are those of `clock`.
    pub fn new(clock: Clock) -> Log {
        Log { shared: Arc::new(Shared { clock, held: Mutex::default(), came: Condvar::new() }) }
    }

    pub fn clock(&self) -> &Clock {
        &self.shared.clock
    }

    fn held(&self) -> MutexGuard<'_, Held> {
        self.shared.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What a process said, as it was read.
    pub fn hear(&self, process: &Arc<str>, life: u32, said: &str) {
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

    /// What the lab did to a process, or saw of it.
    pub fn tell(&self, process: &Arc<str>, life: u32, event: &str, message: String) {
        let bytes = event.len() + message.len();
        self.push(bytes, Line { event: event.to_owned(), message, ..Line::of(process, life, By::Lab) });
    }

    /// Numbers a line, which had so many bytes, and keeps it.
    fn push(&self, bytes: usize, line: Line) {
        let mut held = self.held();
        // The time is read under the lock, so that times rise with numbers.
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

    /// The end of the log as it is now.
    pub fn mark(&self) -> Mark {
        Mark(self.held().next)
    }

    /// The lines behind a mark that are wanted and still held, in the order in which they came.
    pub fn lines(&self, since: Mark, wanted: &LineFilter) -> Vec<Arc<Line>> {
        self.held().since(since).filter(|l| wanted.is(l)).cloned().collect()
    }

    /// Lines that were let go for want of room, by process.
    pub fn lost(&self) -> BTreeMap<Arc<str>, u64> {
        self.held().lost.clone()
    }

    /// The first wanted line behind a mark, whether it is there already or comes within `most`.
    ///
    /// # Errors
    ///
    /// None came, or it was let go before anyone looked, which the error tells.
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
            if let Some(line) = held.since(from).find(|l| wanted.is(l)) {
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
            true => " nothing was said".to_owned(),
            false => last.iter().rev().map(|l| format!("\n  {l}")).collect(),
        };
        let lost = match missed {
            0 => String::new(),
            n => format!(" ({n} lines were let go unseen)"),
        };
        Err(WaitTimeout { within: most, wanted: format!("{wanted:?}"), lost, last })
    }

    /// The first line with this event that a process has said since the log began.
    ///
    /// # Errors
    ///
    /// As [`Log::wait_for`].
    pub fn event(&self, process: &str, event: &str, most: Duration) -> Result<Arc<Line>, WaitTimeout> {
        self.wait_for(Mark::default(), &LineFilter::event(event).of(process), most)
    }

    /// Writes all lines that are held to a file, an object a line.
    ///
    /// # Errors
    ///
    /// Those of the file.
    pub fn write(&self, path: &Path) -> io::Result<()> {
        let lines = self.lines(Mark::default(), &LineFilter::any());
        let written = JsonLinesWriter::create(path)?;
        lines.iter().try_for_each(|line| written.push(&**line))?;
        written.finish().map(drop)
    }
}

/// Records a file of JSON lines, from several threads: the history of client operations, say. It holds nothing back but what
/// a buffer of the system's usual size holds, and stops at [`MAX_RECORDS`] records.
#[derive(Debug)]
pub struct JsonLinesWriter {
    to: Mutex<(BufWriter<File>, u64)>,
}

/// Records that a file may have, as many as the judges of histories take.
pub const MAX_RECORDS: u64 = 1 << 20;

impl JsonLinesWriter {
    /// A new file; one that is there is begun anew.
    ///
    /// # Errors
    ///
    /// Those of the file.
    pub fn create(path: &Path) -> io::Result<JsonLinesWriter> {
        Ok(JsonLinesWriter { to: Mutex::new((BufWriter::new(File::create(path)?), 0)) })
    }

    /// Adds a record. Those of one thread are in its order.
    ///
    /// # Errors
    ///
    /// Those of the file; a record that is no JSON; a file that is full.
    pub fn push(&self, record: &impl Serialize) -> io::Result<()> {
        let mut text = serde_json::to_vec(record)?;
        text.push(b'\n');
        let mut to = self.to.lock().unwrap_or_else(PoisonError::into_inner);
        if to.1 == MAX_RECORDS {
            return Err(io::Error::new(
                io::ErrorKind::QuotaExceeded,
                "the file has as many records as it may",
            ));
        }
        to.1 += 1;
        to.0.write_all(&text)
    }

    /// Writes out what is left; how many records there are.
    ///
    /// # Errors
    ///
    /// Those of the file.
    pub fn finish(self) -> io::Result<u64> {
        let (mut to, records) = self.to.into_inner().unwrap_or_else(PoisonError::into_inner);
        to.flush()?;
        Ok(records)
    }
}
