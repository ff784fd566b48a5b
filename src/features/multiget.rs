//! multi-get: several reads in one command, on a port of their own. It is another protocol before the same
//! core: each read is a [`NewStream`] like any other, and the answers are put together here.

use crate::codec::resp;
use crate::core::{Answer, DownstreamId, NewStream};
use crate::interface::Repeat;
use crate::net::command::CommandParser;
use crate::net::protocol::{self, resp_error, Parsed, Protocol};
use std::cell::Cell;
use std::rc::Rc;

/// Reads that all multi-gets together may have open or unread: each can bring a value of 64 KB.
pub const MAX_OPEN_READS: usize = 256;
/// Bytes of the commands of one multi-get: a plain read each, and one with as much as a command may hold.
const READ_BYTES: usize = 1024;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub port: u16,
    pub max_keys: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { port: 0, max_keys: 32 }
    }
}

/// The reads of one multi-get among [`MAX_OPEN_READS`]; given back when dropped.
#[derive(Debug)]
struct ReadPermits(Rc<Cell<usize>>, usize);

impl Drop for ReadPermits {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

/// A multi-get whose reads are still coming.
#[derive(Debug)]
struct Batch {
    wanted: usize,
    taken: usize,
    bytes: usize,
    asks: Vec<NewStream>,
    /// Why none of it will be asked; the rest is read all the same, to stay in step.
    fault: Option<String>,
}

/// The multi-gets of one downstream, one after the other.
#[derive(Debug)]
pub struct MultigetProtocol {
    words: Rc<CommandParser>,
    max_keys: usize,
    open: Rc<Cell<usize>>,
    batch: Option<Batch>,
    permits: Option<ReadPermits>,
}

impl MultigetProtocol {
    /// `open` is the number of reads that all downstreams have open.
    pub fn new(settings: &Settings, words: Rc<CommandParser>, open: Rc<Cell<usize>>) -> Self {
        MultigetProtocol { words, max_keys: settings.max_keys, open, batch: None, permits: None }
    }
}

impl Protocol for MultigetProtocol {
    fn max_streams(&self) -> usize {
        self.max_keys
    }

    fn is_exclusive(&self) -> bool {
        true
    }

    /// A multi-get has begun and is not whole.
    fn is_mid_command(&self) -> bool {
        self.batch.is_some()
    }

    /// The answer to a multi-get is written, so that another may be read.
    fn flushed(&mut self) {
        self.permits = None;
    }

    fn parse(&mut self, downstream: DownstreamId, first: u64, bytes: &[u8]) -> Option<(usize, Parsed)> {
        protocol::resp_command(bytes, |command, taken| self.command(downstream, first, command, taken))
    }

    fn encode_answer(&mut self, _: u64, answer: Answer) -> Vec<u8> {
        match answer {
            Answer::Late => resp_error("BUSY"),
            other => protocol::resp_answer(other),
        }
    }

    fn combine(&self, out: &mut Vec<u8>, answers: Vec<Vec<u8>>) {
        // A null is no value: nobody has one.
        let value = |a: &&Vec<u8>| a.starts_with(b"$") && a.as_slice() != resp::NULL;
        let (n, values) = (answers.len(), answers.iter().filter(value).count());
        let how = if values == n { "COMPLETE".to_owned() } else { format!("PARTIAL {values}/{n}") };
        out.extend_from_slice(format!("*{}\r\n", n + 1).as_bytes());
        resp::put_bulk(out, how.as_bytes());
        answers.into_iter().for_each(|a| out.extend(a));
    }
}

impl MultigetProtocol {
    /// The reads of a multi-get come out together, in places from `first` on, once all of them are there and
    /// every one is sound.
    fn command(
        &mut self,
        downstream: DownstreamId,
        first: u64,
        command: Vec<Vec<u8>>,
        bytes: usize,
    ) -> Parsed {
        let Some(batch) = &mut self.batch else { return self.begin(downstream, first, command) };
        batch.bytes += bytes;
        if batch.bytes > resp::MAX_COMMAND + batch.wanted * READ_BYTES {
            return Parsed::Close(resp_error("ERR the reads are too long"));
        }
        let read = read(&self.words, downstream, first + batch.taken as u64, command);
        batch.taken += 1;
        match read {
            Ok(ask) if batch.asks.iter().any(|a| a.message.id == ask.message.id) => {
                batch.fail("an id twice");
            }
            Ok(ask) if batch.fault.is_none() => batch.asks.push(ask),
            Ok(_) => {}
            Err(what) => batch.fail(what),
        }
        if batch.taken < batch.wanted {
            return Parsed::Incomplete;
        }
        let Some(batch) = self.batch.take() else { return Parsed::Incomplete };
        if let Some(fault) = batch.fault {
            return Parsed::Local(resp_error(&format!("ERR {fault}")));
        }
        if self.open.get() + batch.wanted > MAX_OPEN_READS {
            return Parsed::Local(resp_error("BUSY"));
        }
        self.open.set(self.open.get() + batch.wanted);
        self.permits = Some(ReadPermits(self.open.clone(), batch.wanted));
        Parsed::Streams(batch.asks)
    }

    /// What is no read of a multi-get: the beginning of one, or `PING` and `QUIT` as on the main port.
    fn begin(&mut self, downstream: DownstreamId, place: u64, command: Vec<Vec<u8>>) -> Parsed {
        let verb = command.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        match (verb.as_slice(), command.get(1), command.len()) {
            (b"CACHE.MGET", Some(n), 2) => {
                // Where no number tells how many commands follow, nothing behind it can be read.
                let n = crate::codec::length(n, self.max_keys).filter(|n| *n > 0);
                let Some(wanted) = n else {
                    let most = self.max_keys;
                    return Parsed::Close(resp_error(&format!(
                        "ERR the number of reads is not from 1 to {most}"
                    )));
                };
                let asks = Vec::with_capacity(wanted);
                self.batch = Some(Batch { wanted, taken: 0, bytes: 0, asks, fault: None });
                Parsed::Incomplete
            }
            (b"CACHE.MGET", ..) => Parsed::Close(resp_error("ERR wrong number of arguments")),
            (b"CACHE.GET" | b"CACHE.SET", ..) => {
                Parsed::Local(resp_error("ERR only CACHE.MGET is taken here"))
            }
            _ => self.words.parse(downstream, place, command),
        }
    }
}

impl Batch {
    /// The first fault is told, with the number of its read.
    fn fail(&mut self, what: &str) {
        self.fault.get_or_insert_with(|| format!("read {}: {what}", self.taken));
    }
}

/// One read. A class that the settings do not hold for safe to repeat is one of writes; its name tells nothing.
fn read(
    words: &CommandParser,
    downstream: DownstreamId,
    place: u64,
    command: Vec<Vec<u8>>,
) -> Result<NewStream, &'static str> {
    let verb = command.first().map(Vec::as_slice).unwrap_or_default();
    if !verb.eq_ignore_ascii_case(b"CACHE.GET") {
        return Err("not CACHE.GET");
    }
    if command.len() != 4 {
        return Err("wrong number of arguments");
    }
    let ask = words.parse_stream(downstream, place, command)?;
    let class = words.site.settings.classes.get(usize::from(ask.class.0));
    let safe = class.is_some_and(|c| c.repeat == Repeat::Retryable);
    Some(ask).filter(|_| safe).ok_or("a class of writes")
}
