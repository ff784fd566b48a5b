//! RESP2: parsing and encoding of commands and replies, for both downstreams and cache nodes.

mod skip;

pub use skip::CommandSkipper;

use super::{length, line, Malformed, Parsed};

/// The maximum sizes of a value and of any other word, and the maximum number of words of a command.
pub const MAX_VALUE: usize = 64 * 1024;
pub const MAX_WORD: usize = 4 * 1024;
pub const MAX_WORDS: usize = 8;
/// The maximum size of a command: any longer input holds a complete command or is malformed.
pub const MAX_COMMAND: usize = MAX_VALUE + MAX_WORDS * (MAX_WORD + 16);
const MAX_LINE: usize = 1024;
/// The maximum length of the line that begins a command or a word.
const MAX_HEAD: usize = 16;
/// A null bulk string.
pub const NULL: &[u8] = b"$-1\r\n";

/// The extent of a command at the beginning of some bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// The command is complete and has this many bytes.
    Whole(usize),
    /// The command is incomplete and will have this many bytes at least.
    AtLeast(usize),
}

/// The shortest word in bytes, with its line.
const MIN_WORD: usize = b"$0\r\n\r\n".len();

/// Walks through the words of a command and passes the position of each to `word`, in a single pass without
/// copying. Only the last word may be as long as a value.
fn walk(bytes: &[u8], mut word: impl FnMut(std::ops::Range<usize>)) -> Result<Extent, Malformed> {
    // A wrong first byte is reported at once, not only when the line is complete.
    if bytes.first().is_some_and(|b| *b != b'*') {
        return Err(Malformed("expected an array of bulk strings"));
    }
    let Some((head, mut at)) = line(bytes, MAX_HEAD)? else { return Ok(Extent::AtLeast(bytes.len() + 1)) };
    let n = words_of(head)?;
    for i in 0..n {
        let Some((head, taken)) = line(&bytes[at..], MAX_HEAD)? else {
            return Ok(Extent::AtLeast((at + (n - i) * MIN_WORD).max(bytes.len() + 1)));
        };
        let len = word_length(head, i + 1 == n)?;
        at += taken;
        if bulk(&bytes[at..], len)?.is_none() {
            return Ok(Extent::AtLeast(at + len + 2 + (n - i - 1) * MIN_WORD));
        }
        word(at..at + len);
        at += len + 2;
    }
    Ok(Extent::Whole(at))
}

/// The number of words of a command that begins with this line.
fn words_of(head: &[u8]) -> Result<usize, Malformed> {
    let n = head.strip_prefix(b"*").ok_or(Malformed("expected an array of bulk strings"))?;
    length(n, MAX_WORDS).ok_or(Malformed("invalid number of words"))
}

/// The length of a word that begins with this line.
fn word_length(head: &[u8], last: bool) -> Result<usize, Malformed> {
    let len = head.strip_prefix(b"$").ok_or(Malformed("expected a bulk string"))?;
    let most = if last { MAX_VALUE } else { MAX_WORD };
    length(len, most).ok_or(Malformed("invalid or oversized bulk length"))
}

/// How far the first command of `bytes` extends.
///
/// # Errors
///
/// The bytes are not the beginning of a command.
pub fn extent(bytes: &[u8]) -> Result<Extent, Malformed> {
    walk(bytes, |_| ())
}

/// The first command of some bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Its words, and how many bytes it takes.
    Whole(Vec<Vec<u8>>, usize),
    /// The command is incomplete and will have this many bytes at least.
    AtLeast(usize),
}

/// Parses a command: the words of an array of bulk strings. Words are copied once the command is complete.
///
/// # Errors
///
/// The bytes are not the beginning of a command.
pub fn command(bytes: &[u8]) -> Result<Command, Malformed> {
    let (mut ranges, mut n) = ([const { 0..0 }; MAX_WORDS], 0);
    let extent = walk(bytes, |range| {
        ranges[n] = range;
        n += 1;
    })?;
    Ok(match extent {
        Extent::Whole(taken) => {
            Command::Whole(ranges.into_iter().take(n).map(|range| bytes[range].to_vec()).collect(), taken)
        }
        Extent::AtLeast(least) => Command::AtLeast(least),
    })
}

fn bulk(bytes: &[u8], len: usize) -> Result<Option<&[u8]>, Malformed> {
    match bytes.get(len..len + 2) {
        Some(b"\r\n") => Ok(Some(&bytes[..len])),
        Some(_) => Err(Malformed("a bulk string does not end in CRLF")),
        None => Ok(None),
    }
}

/// A reply. Arrays hold only bulk strings and nulls, as cache nodes send them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    Simple(Vec<u8>),
    Error(Vec<u8>),
    Bulk(Option<Vec<u8>>),
    Array(Vec<Option<Vec<u8>>>),
}

pub fn reply(bytes: &[u8]) -> Parsed<Reply> {
    let Some((head, mut at)) = line(bytes, MAX_LINE)? else { return Ok(None) };
    let Some((&kind, rest)) = head.split_first() else { return Err(Malformed("an empty reply line")) };
    let item = |bytes: &[u8], head: &[u8]| -> Parsed<Option<Vec<u8>>> {
        match head.strip_prefix(b"$") {
            Some(b"-1") => Ok(Some((None, 0))),
            Some(len) => {
                let len = length(len, MAX_VALUE).ok_or(Malformed("invalid or oversized bulk length"))?;
                Ok(bulk(bytes, len)?.map(|b| (Some(b.to_vec()), len + 2)))
            }
            None if head == b"*-1" => Ok(Some((None, 0))),
            None => Err(Malformed("expected a bulk string")),
        }
    };
    let reply = match kind {
        b'+' => Reply::Simple(rest.to_vec()),
        b'-' => Reply::Error(rest.to_vec()),
        b'$' => {
            let Some((value, taken)) = item(&bytes[at..], head)? else { return Ok(None) };
            at += taken;
            Reply::Bulk(value)
        }
        b'*' if rest == b"-1" => Reply::Bulk(None),
        b'*' => {
            let n = length(rest, MAX_WORDS).ok_or(Malformed("invalid array length"))?;
            let mut items = Vec::with_capacity(n);
            for _ in 0..n {
                let Some((head, taken)) = line(&bytes[at..], MAX_LINE)? else { return Ok(None) };
                at += taken;
                let Some((value, taken)) = item(&bytes[at..], head)? else { return Ok(None) };
                at += taken;
                items.push(value);
            }
            Reply::Array(items)
        }
        _ => return Err(Malformed("unknown type of reply")),
    };
    Ok(Some((reply, at)))
}

/// Writes a line consisting of a type byte and a length.
fn put_length(out: &mut Vec<u8>, kind: u8, length: usize) {
    // Digits are written from the last on; a length has at most twenty.
    let (mut digits, mut at, mut remaining) = ([0; 20], 20, length);
    while at == 20 || (remaining > 0 && at > 0) {
        at -= 1;
        digits[at] = b'0' + (remaining % 10) as u8;
        remaining /= 10;
    }
    out.push(kind);
    out.extend_from_slice(&digits[at..]);
    out.extend_from_slice(b"\r\n");
}

pub fn put_bulk(out: &mut Vec<u8>, word: &[u8]) {
    // Reserve once: a type byte, twenty digits and two line ends at most.
    out.reserve(word.len() + 25);
    put_length(out, b'$', word.len());
    out.extend_from_slice(word);
    out.extend_from_slice(b"\r\n");
}

pub fn put_command(out: &mut Vec<u8>, words: &[&[u8]]) {
    put_length(out, b'*', words.len());
    words.iter().for_each(|w| put_bulk(out, w));
}

/// Writes an error line; `text` begins with its code (`ERR`, `BUSY`).
pub fn put_error(out: &mut Vec<u8>, text: &str) {
    out.extend_from_slice(format!("-{text}\r\n").as_bytes());
}
