//! Stand-ins for tests of the program as a process: the platform that starts it and watches its memory,
//! cache nodes, the origin, discovery, and clients. Each test file uses a part of them.

#![allow(dead_code)]

pub mod clients;
pub mod gateway;
pub mod hostile;
pub mod program;
pub mod registry;
pub mod servers;

use std::io::{self, BufRead};
use std::time::Duration;

/// Longer than any wait that ends.
pub const TIMEOUT: Duration = Duration::from_secs(60);
/// The largest value of the protocol in bytes.
pub const VALUE: usize = 64 * 1024;

/// Reads a line without its end; an error at the end of the stream.
pub fn line(from: &mut impl BufRead) -> io::Result<String> {
    let mut text = String::new();
    match from.read_line(&mut text)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(text.trim_end().to_owned()),
    }
}

/// Reads the rest of a bulk string that begins with this line.
pub fn bulk(from: &mut impl BufRead, head: &str) -> io::Result<Vec<u8>> {
    let length = head.strip_prefix('$').and_then(|n| n.parse::<usize>().ok());
    let mut bytes = vec![0; length.ok_or(io::ErrorKind::InvalidData)? + 2];
    from.read_exact(&mut bytes)?;
    bytes.truncate(bytes.len() - 2);
    Ok(bytes)
}

/// Encodes a command.
pub fn command(words: &[&str]) -> Vec<u8> {
    let text: String = words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())).collect();
    format!("*{}\r\n{text}", words.len()).into_bytes()
}

/// Encodes a read with this deadline in ms.
pub fn read_command(key: &str, id: &str, deadline_ms: u64) -> Vec<u8> {
    command(&["CACHE.GET", key, id, &format!("c=lookup,t=nordurbanki,d={deadline_ms}")])
}
