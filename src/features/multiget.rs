//! multi-get: several reads in one command, on a port of their own. It is another protocol before the same
//! core: each read is an [`Ask`] like any other, and the answers are put together here.

use crate::codec::resp;
use crate::core::{Ask, DownstreamId};
use crate::interface::Repeat;
use crate::net::downstream::{error, Parsed, Vocabulary};
use std::cell::Cell;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Reads that all multi-gets together may have open or unread: each can bring a value of 64 KB.
pub const READS: usize = 256;
/// Bytes of the commands of one multi-get: a plain read each, and one with as much as a command may hold.
const READ: usize = 1024;

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

/// The reads of one multi-get among [`READS`]; given back when dropped.
#[derive(Debug)]
struct Seats(Rc<Cell<usize>>, usize);

impl Drop for Seats {
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
    asks: Vec<Ask>,
    /// Why none of it will be asked; the rest is read all the same, to stay in step.
    fault: Option<String>,
}

/// The multi-gets of one downstream, one after the other.
#[derive(Debug)]
pub struct Batches {
    max_keys: usize,
    open: Rc<Cell<usize>>,
    batch: Option<Batch>,
    seats: Option<Seats>,
}

impl Batches {
    /// `open` is the number of reads that all downstreams have open.
    pub fn new(settings: &Settings, open: Rc<Cell<usize>>) -> Self {
        Batches { max_keys: settings.max_keys, open, batch: None, seats: None }
    }

    /// A multi-get has begun and is not whole.
    pub fn unfinished(&self) -> bool {
        self.batch.is_some()
    }

    /// The answer to a multi-get is written, so that another may be read.
    pub fn written(&mut self) {
        self.seats = None;
    }

    /// Takes one whole command of `bytes` bytes. The reads of a multi-get come out together, in places from
    /// `first` on, once all of them are there and every one is sound.
    pub(crate) fn take(
        &mut self,
        words: &Vocabulary,
        downstream: DownstreamId,
        first: u64,
        command: Vec<Vec<u8>>,
        bytes: usize,
    ) -> Parsed {
        let Some(batch) = &mut self.batch else { return self.begin(words, downstream, first, command) };
        batch.bytes += bytes;
        if batch.bytes > resp::COMMAND + batch.wanted * READ {
            return Parsed::Close(error("ERR the reads are too long"));
        }
        let read = read(words, downstream, first + batch.taken as u64, command);
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
            return Parsed::More;
        }
        let Some(batch) = self.batch.take() else { return Parsed::More };
        if let Some(fault) = batch.fault {
            return Parsed::Local(error(&format!("ERR {fault}")));
        }
        if self.open.get() + batch.wanted > READS {
            return Parsed::Local(error("BUSY"));
        }
        self.open.set(self.open.get() + batch.wanted);
        self.seats = Some(Seats(self.open.clone(), batch.wanted));
        Parsed::Asks(batch.asks)
    }

    /// What is no read of a multi-get: the beginning of one, or `PING` and `QUIT` as on the main port.
    fn begin(
        &mut self,
        words: &Vocabulary,
        downstream: DownstreamId,
        place: u64,
        command: Vec<Vec<u8>>,
    ) -> Parsed {
        let verb = command.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
        match (verb.as_slice(), command.get(1), command.len()) {
            (b"CACHE.MGET", Some(n), 2) => {
                // Where no number tells how many commands follow, nothing behind it can be read.
                let n = crate::codec::length(n, self.max_keys).filter(|n| *n > 0);
                let Some(wanted) = n else {
                    let most = self.max_keys;
                    return Parsed::Close(error(&format!("ERR the number of reads is not from 1 to {most}")));
                };
                let asks = Vec::with_capacity(wanted);
                self.batch = Some(Batch { wanted, taken: 0, bytes: 0, asks, fault: None });
                Parsed::More
            }
            (b"CACHE.MGET", ..) => Parsed::Close(error("ERR wrong number of arguments")),
            (b"CACHE.GET" | b"CACHE.SET", ..) => Parsed::Local(error("ERR only CACHE.MGET is taken here")),
            _ => words.parse(downstream, place, command),
        }
    }
}

impl Batch {
    /// The first fault is told, with the number of its read.
    fn fail(&mut self, what: &str) {
        self.fault.get_or_insert_with(|| format!("read {}: {what}", self.taken));
    }
}

/// One read. A class that nodes do not hold for safe to repeat is one of writes, whatever its name.
fn read(
    words: &Vocabulary,
    downstream: DownstreamId,
    place: u64,
    command: Vec<Vec<u8>>,
) -> Result<Ask, &'static str> {
    let verb = command.first().map(Vec::as_slice).unwrap_or_default();
    if !verb.eq_ignore_ascii_case(b"CACHE.GET") {
        return Err("not CACHE.GET");
    }
    if command.len() != 4 {
        return Err("wrong number of arguments");
    }
    let ask = words.ask(downstream, place, command)?;
    let class = words.site.settings.classes.get(usize::from(ask.class.0));
    let safe = class.is_some_and(|c| c.repeat == Repeat::Retryable);
    let instruct = words.site.class(ask.class) == Some("instruct");
    Some(ask).filter(|_| safe && !instruct).ok_or("a class of writes")
}

/// The answer to a multi-get, from the answers to its reads as they would stand alone.
pub(crate) fn put(out: &mut Vec<u8>, answers: impl ExactSizeIterator<Item = Vec<u8>>) {
    let answers: Vec<Vec<u8>> = answers.collect();
    let (n, values) = (answers.len(), answers.iter().filter(|a| a.starts_with(b"$")).count());
    let how = if values == n { "COMPLETE".to_owned() } else { format!("PARTIAL {values}/{n}") };
    out.extend_from_slice(format!("*{}\r\n", n + 1).as_bytes());
    resp::put_bulk(out, how.as_bytes());
    answers.into_iter().for_each(|a| out.extend(a));
}

// ---- the subcommand

/// Without an answer for so long `mget` gives up, if no `d` is longer.
const PATIENCE: Duration = Duration::from_secs(5);

/// `martenweir mget ADDRESS CACHE.GET KEY ID PROPERTIES [CACHE.GET ...]`: asks, prints a line for each element
/// of the answer. It fails where the answer is not COMPLETE.
pub fn command(arguments: &[String]) -> Result<(), String> {
    let Some((address, reads)) = arguments.split_first().filter(|(_, r)| !r.is_empty()) else {
        return Err("usage: martenweir mget ADDRESS CACHE.GET KEY ID PROPERTIES [CACHE.GET ...]".into());
    };
    // A read goes up to the next verb.
    let mut commands: Vec<Vec<&[u8]>> = Vec::new();
    for word in reads {
        match commands.last_mut() {
            Some(command) if !word.to_ascii_uppercase().starts_with("CACHE.") => {
                command.push(word.as_bytes())
            }
            _ => commands.push(vec![word.as_bytes()]),
        }
    }
    let n = commands.len().to_string();
    if !commands[0][0].eq_ignore_ascii_case(b"CACHE.MGET") {
        commands.insert(0, vec![b"CACHE.MGET", n.as_bytes()]);
    }
    let mut out = Vec::new();
    commands.iter().for_each(|c| resp::put_command(&mut out, c));
    let longest = reads.iter().flat_map(|w| w.split(',')).filter_map(|p| p.strip_prefix("d=")?.parse().ok());
    let longest = longest.max().map_or(Duration::ZERO, Duration::from_millis);
    let ask = || -> io::Result<bool> {
        let mut socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(PATIENCE + longest.min(Duration::from_secs(3600))))?;
        socket.write_all(&out)?;
        let mut from = BufReader::new(socket);
        let head = line(&mut from)?;
        let Some(elements) = head.strip_prefix('*').and_then(|n| n.parse::<usize>().ok()) else {
            println(&head)?;
            return Ok(false);
        };
        let mut complete = true;
        for i in 0..elements {
            let text = element(&mut from)?;
            complete &= i > 0 || text == "COMPLETE";
            println(&text)?;
        }
        Ok(complete)
    };
    match ask() {
        Ok(true) => Ok(()),
        Ok(false) => Err("mget: not complete".into()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Err(format!("mget: no answer from {address}"))
        }
        Err(e) => Err(format!("mget: {address}: {e}")),
    }
}

/// Values are bytes; what a terminal would not show as it is stands escaped.
fn println(text: &str) -> io::Result<()> {
    let shown: String = text
        .chars()
        .flat_map(|c| if c.is_control() { c.escape_default().collect() } else { vec![c] })
        .collect();
    writeln!(io::stdout(), "{shown}")
}

fn line(from: &mut impl BufRead) -> io::Result<String> {
    let mut bytes = Vec::new();
    io::Read::take(&mut *from, 4096).read_until(b'\n', &mut bytes)?;
    match bytes.strip_suffix(b"\r\n") {
        Some(text) => Ok(String::from_utf8_lossy(text).into_owned()),
        None => Err(io::Error::new(ErrorKind::UnexpectedEof, "closed without a whole answer")),
    }
}

fn element(from: &mut impl BufRead) -> io::Result<String> {
    let head = line(from)?;
    let Some(digits) = head.strip_prefix('$') else { return Ok(head) };
    let invalid = || io::Error::new(ErrorKind::InvalidData, "an answer that is no multi-get's");
    let n = crate::codec::length(digits.as_bytes(), resp::VALUE).ok_or_else(invalid)?;
    let mut value = vec![0; n + 2];
    from.read_exact(&mut value)?;
    Ok(String::from_utf8_lossy(&value[..n]).into_owned())
}
