//! RESP2 as the protocol page has it: commands are arrays of bulk strings.

use std::io::{self, BufRead};

/// The largest value, in bytes (PROTOCOL).
pub const MAX_VALUE: usize = 64 * 1024;

/// Encodes a command.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(&bulk(word));
    }
    out
}

/// Encodes a bulk string.
pub fn bulk(word: &[u8]) -> Vec<u8> {
    let mut out = format!("${}\r\n", word.len()).into_bytes();
    out.extend_from_slice(word);
    out.extend_from_slice(b"\r\n");
    out
}

fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// Reads a line without its CRLF; an error at the end of the stream.
pub fn line(from: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    from.read_line(&mut text)?;
    match text.strip_suffix("\r\n") {
        Some(line) => Ok(line.to_owned()),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

fn read_bulk(from: &mut impl BufRead, head: &str) -> io::Result<Option<Vec<u8>>> {
    let length = head.strip_prefix('$').ok_or_else(|| invalid("expected a bulk string"))?;
    if length == "-1" {
        return Ok(None);
    }
    let length: usize = length.parse().map_err(|_| invalid("an invalid length"))?;
    if length > MAX_VALUE {
        return Err(invalid("an oversized bulk string"));
    }
    let mut word = vec![0; length + 2];
    from.read_exact(&mut word)?;
    word.truncate(length);
    Ok(Some(word))
}

/// Reads a command, as a cache node does.
pub fn read_command(from: &mut impl BufRead) -> io::Result<Vec<Vec<u8>>> {
    let head = line(from)?;
    let count = head.strip_prefix('*').and_then(|n| n.parse::<usize>().ok());
    let count = count.ok_or_else(|| invalid("expected an array"))?;
    (0..count)
        .map(|_| {
            let head = line(from)?;
            read_bulk(from, &head)?.ok_or_else(|| invalid("a null word"))
        })
        .collect()
}

/// An answer as a client sees it.
#[derive(Debug, PartialEq, Eq)]
pub enum Answer {
    /// A bulk string that is not null, or an array that begins with one.
    Served(usize),
    /// A line that begins with `-BUSY`.
    Refused,
    /// Anything else.
    Failed(String),
}

/// Reads an answer, as a client does.
pub fn read_answer(from: &mut impl BufRead) -> io::Result<Answer> {
    let head = line(from)?;
    if head.starts_with('$') {
        let value = read_bulk(from, &head)?;
        return Ok(value.map_or_else(|| Answer::Failed("null".into()), |v| Answer::Served(v.len())));
    }
    Ok(if head.starts_with("-BUSY") { Answer::Refused } else { Answer::Failed(head) })
}
