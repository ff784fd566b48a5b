//! Multi-get: several reads in one command, on a separate port. It is a protocol on top of the same core:
//! each read becomes a regular [`NewStream`], and the answers are combined here.

use crate::codec::resp;
use crate::core::{Answer, DownstreamId, NewStream};
use crate::interface::Repeat;
use crate::net::command::CommandParser;
use crate::net::protocol::{self, resp_error, ParseStep, Parsed, Protocol, WithoutRoom};
use std::cell::Cell;
use std::rc::Rc;

/// Maximum number of reads of all multi-gets that are open or whose answers are unread; each can return a
/// value of 64 KB.
pub const MAX_OPEN_READS: usize = 256;
/// Allowed size per read of a multi-get, beside one command of the maximum size.
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

/// The share of one multi-get in [`MAX_OPEN_READS`], returned on drop.
#[derive(Debug)]
struct ReadPermits(Rc<Cell<usize>>, usize);

impl Drop for ReadPermits {
    fn drop(&mut self) {
        self.0.set(self.0.get() - self.1);
    }
}

/// A multi-get that has not been received completely.
#[derive(Debug)]
struct Batch {
    wanted: usize,
    received: usize,
    bytes: usize,
    streams: Vec<NewStream>,
    /// Why the multi-get is rejected. Its remaining reads are still parsed, to stay in sync with the client.
    fault: Option<String>,
}

/// The multi-gets of one downstream, which are processed one after the other.
#[derive(Debug)]
pub struct MultigetProtocol {
    words: Rc<CommandParser>,
    max_keys: usize,
    open: Rc<Cell<usize>>,
    batch: Option<Batch>,
    permits: Option<ReadPermits>,
}

impl MultigetProtocol {
    /// `open` is the number of open reads of all downstreams.
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

    /// Whether a multi-get has been received in part.
    fn is_mid_command(&self) -> bool {
        self.batch.is_some()
    }

    /// The answer to a multi-get has been written, so the next one may be read.
    fn flushed(&mut self) {
        self.permits = None;
    }

    fn parse(&mut self, downstream: DownstreamId, first: u64, bytes: &[u8]) -> ParseStep {
        protocol::resp_command(bytes, |command, taken| self.command(downstream, first, command, taken))
    }

    /// A multi-get is one command of many arrays, and its rest cannot be told from the next.
    fn refuse_without_room(&mut self, _: &[u8]) -> WithoutRoom {
        WithoutRoom::Closed(resp_error("BUSY"))
    }

    fn encode_answer(&mut self, _: u64, answer: Answer) -> Vec<u8> {
        match answer {
            Answer::Late => resp_error("BUSY"),
            other => protocol::resp_answer(other),
        }
    }

    fn combine(&self, out: &mut Vec<u8>, answers: Vec<Vec<u8>>) {
        // A null is not a value: no node has one.
        let value = |a: &&Vec<u8>| a.starts_with(b"$") && a.as_slice() != resp::NULL;
        let (n, values) = (answers.len(), answers.iter().filter(value).count());
        let how = if values == n { "COMPLETE".to_owned() } else { format!("PARTIAL {values}/{n}") };
        out.extend_from_slice(format!("*{}\r\n", n + 1).as_bytes());
        resp::put_bulk(out, how.as_bytes());
        answers.into_iter().for_each(|a| out.extend(a));
    }
}

impl MultigetProtocol {
    /// Handles one command. The reads of a multi-get are returned together, with places from `first` on, once
    /// all of them have arrived and are valid.
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
        let read = read(&self.words, downstream, first + batch.received as u64, command);
        batch.received += 1;
        match read {
            Ok(stream) if batch.streams.iter().any(|a| a.message.id == stream.message.id) => {
                batch.fail("an id twice");
            }
            Ok(stream) if batch.fault.is_none() => batch.streams.push(stream),
            Ok(_) => {}
            Err(what) => batch.fail(what),
        }
        if batch.received < batch.wanted {
            return Parsed::Part;
        }
        let Some(batch) = self.batch.take() else { return Parsed::Part };
        if let Some(reason) = batch.fault {
            return Parsed::Local(resp_error(&format!("ERR {reason}")));
        }
        if self.open.get() + batch.wanted > MAX_OPEN_READS {
            return Parsed::Local(resp_error("BUSY"));
        }
        self.open.set(self.open.get() + batch.wanted);
        self.permits = Some(ReadPermits(self.open.clone(), batch.wanted));
        Parsed::Streams(batch.streams)
    }

    /// Handles a command outside a multi-get: the start of one, or `PING` and `QUIT` as on the main port.
    fn begin(&mut self, downstream: DownstreamId, place: u64, command: Vec<Vec<u8>>) -> Parsed {
        let verb = command.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        match (verb.as_slice(), command.get(1), command.len()) {
            (b"CACHE.MGET", Some(n), 2) => {
                // Without a valid number of commands, the rest of the connection cannot be parsed.
                let n = crate::codec::length(n, self.max_keys).filter(|n| *n > 0);
                let Some(wanted) = n else {
                    let most = self.max_keys;
                    return Parsed::Close(resp_error(&format!(
                        "ERR the number of reads is not from 1 to {most}"
                    )));
                };
                let streams = Vec::with_capacity(wanted);
                self.batch = Some(Batch { wanted, received: 0, bytes: 0, streams, fault: None });
                Parsed::Part
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
    /// Rejects the multi-get; only the first error is reported, with the index of its read.
    fn fail(&mut self, what: &str) {
        self.fault.get_or_insert_with(|| format!("read {}: {what}", self.received));
    }
}

/// Parses one read. A class that the settings do not mark as safe to repeat is a class of writes, whatever
/// its name.
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
    let stream = words.parse_stream(downstream, place, command)?;
    let class = words.site.settings.classes.get(usize::from(stream.class.0));
    let safe = class.is_some_and(|c| c.repeat == Repeat::Retryable);
    Some(stream).filter(|_| safe).ok_or("a class of writes")
}
