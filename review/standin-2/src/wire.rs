//! The wire of the users' protocol page, as much of it as the stand-ins need: RESP2 commands and replies,
//! and the few parts of HTTP/1.1 that the origin and discovery speak. Blocking sockets, no dependencies.

use std::io::{self, Read};
use std::net::TcpStream;

/// Buffers what has been read and not taken.
pub struct Reader {
    pub stream: TcpStream,
    pub buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Reader { stream, buffer: Vec::new() }
    }

    /// Reads more; an error at the end of the stream.
    pub fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        let n = self.stream.read(&mut chunk)?;
        if n == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&chunk[..n]);
        Ok(())
    }

    /// Takes a line without its end.
    pub fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer.drain(..at + 2);
                return Ok(line);
            }
            self.fill()?;
        }
    }

    pub fn exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < n {
            self.fill()?;
        }
        Ok(self.buffer.drain(..n).collect())
    }

    /// Takes a command: an array of bulk strings.
    pub fn command(&mut self) -> io::Result<Vec<Vec<u8>>> {
        let words = self.line()?;
        let words: usize = number(words.strip_prefix('*'))?;
        (0..words).map(|_| self.bulk()).collect()
    }

    fn bulk(&mut self) -> io::Result<Vec<u8>> {
        let head = self.line()?;
        let length: usize = number(head.strip_prefix('$'))?;
        let value = self.exact(length)?;
        self.exact(2)?;
        Ok(value)
    }

    /// Takes an answer of a proxy.
    pub fn answer(&mut self) -> io::Result<Answer> {
        let head = self.line()?;
        if let Some(text) = head.strip_prefix('-') {
            return Ok(match text.starts_with("BUSY") {
                true => Answer::Refused,
                false => Answer::Failed(text.to_owned()),
            });
        }
        if head == "$-1" {
            return Ok(Answer::Failed("null".into()));
        }
        if let Some(text) = head.strip_prefix('+') {
            return Ok(Answer::Simple(text.to_owned()));
        }
        let length: usize = number(head.strip_prefix('$'))?;
        let value = self.exact(length)?;
        self.exact(2)?;
        Ok(Answer::Served(value))
    }

    /// Takes the head of an HTTP message: its first line and its headers, names in lower case.
    pub fn head(&mut self) -> io::Result<(String, Vec<(String, String)>)> {
        let first = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok((first, headers));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }
}

fn number(text: Option<&str>) -> io::Result<usize> {
    text.and_then(|t| t.parse().ok()).ok_or_else(|| io::ErrorKind::InvalidData.into())
}

/// A final answer as the protocol page sorts them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(String),
    Simple(String),
}

pub fn put_command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// A cache node's array: the value, how the read went, no load report.
pub fn put_node_reply(value: &[u8], how: &str) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend_from_slice(format!("\r\n${}\r\n{how}\r\n$-1\r\n", how.len()).as_bytes());
    out
}

pub fn put_http(status: &str, extra: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status}\r\n{extra}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    out
}
