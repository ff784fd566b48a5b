//! The client side of HTTP/1.1, used with the origin and discovery.

use super::{length, line, Malformed, Parsed};

const MAX_LINE: usize = 8 * 1024;
const MAX_HEADERS: usize = 64;
/// The maximum number of interim responses (status 1xx) before the final one.
const MAX_INTERIM: usize = 8;
/// The maximum size of a head; a longer one without an end is malformed.
pub const MAX_HEAD: usize = 16 * 1024;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length(usize),
    Chunked,
    /// The body ends with the connection.
    Close,
}

/// Whether more input may follow the bytes received so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// More bytes may follow.
    Open,
    /// The peer has closed the connection in order. A reset does not count.
    Closed,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Head {
    pub status: u16,
    pub headers: Vec<(String, Vec<u8>)>,
    pub framing: Framing,
    /// Whether the connection can carry another request.
    pub keep: bool,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&[u8]> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_slice())
    }
}

/// Parses a response's status line and headers. `most` limits the length of the body.
pub fn head(bytes: &[u8], most: usize) -> Parsed<Head> {
    let Some((status, mut at)) = line(bytes, MAX_LINE)? else { return Ok(None) };
    let version = status.get(..9).ok_or(Malformed("a short status line"))?;
    if !matches!(version, b"HTTP/1.1 " | b"HTTP/1.0 ") {
        return Err(Malformed("not HTTP/1.x"));
    }
    let code = status.get(9..12).and_then(|d| length(d, 999)).ok_or(Malformed("an invalid status"))?;
    let mut head = Head {
        status: code as u16,
        headers: Vec::new(),
        framing: Framing::Close,
        keep: version == b"HTTP/1.1 ",
    };
    let (mut lengths, mut chunked) = (None, false);
    loop {
        if at > MAX_HEAD || head.headers.len() > MAX_HEADERS {
            return Err(Malformed("the headers are too long"));
        }
        let Some((text, taken)) = line(&bytes[at..], MAX_LINE)? else { return Ok(None) };
        at += taken;
        if text.is_empty() {
            head.framing = match (lengths, chunked) {
                _ if matches!(code, 100..=199 | 204 | 304) => Framing::Length(0),
                (Some(_), true) => return Err(Malformed("conflicting lengths")),
                (Some(n), false) => Framing::Length(n),
                (None, true) => Framing::Chunked,
                (None, false) => Framing::Close,
            };
            head.keep &= head.framing != Framing::Close;
            return Ok(Some((head, at)));
        }
        let colon = text.iter().position(|b| *b == b':').ok_or(Malformed("a header without a colon"))?;
        let name = std::str::from_utf8(&text[..colon]).unwrap_or_default();
        if name.is_empty() || !name.bytes().all(|b| b.is_ascii_graphic()) {
            return Err(Malformed("an invalid header name"));
        }
        let value = text[colon + 1..].trim_ascii();
        if name.eq_ignore_ascii_case("content-length") {
            let n = length(value, most).ok_or(Malformed("an invalid or oversized content-length"))?;
            // With two different lengths, or a length and chunked encoding, the end of the body is ambiguous.
            if lengths.replace(n).is_some_and(|other| other != n) {
                return Err(Malformed("conflicting lengths"));
            }
        } else if name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Malformed("an unknown transfer-encoding"));
            }
            chunked = true;
        } else if name.eq_ignore_ascii_case("connection") {
            head.keep &= !value.eq_ignore_ascii_case(b"close");
        }
        head.headers.push((name.to_owned(), value.to_vec()));
    }
}

/// Parses the next chunk of a chunked body; it is empty at the end of the body.
pub fn chunk(bytes: &[u8], most: usize) -> Parsed<Vec<u8>> {
    let Some((size, at)) = line(bytes, 64)? else { return Ok(None) };
    let size = size.split(|b| *b == b';').next().unwrap_or_default().trim_ascii();
    let size = std::str::from_utf8(size)
        .ok()
        .filter(|s| !s.starts_with('+'))
        .and_then(|s| usize::from_str_radix(s, 16).ok());
    let size = size.filter(|n| *n <= most).ok_or(Malformed("an invalid or oversized chunk"))?;
    if size == 0 {
        // Trailers, then an empty line.
        let mut end = at;
        loop {
            let Some((text, taken)) = line(&bytes[end..], MAX_LINE)? else { return Ok(None) };
            end += taken;
            if text.is_empty() {
                return Ok(Some((Vec::new(), end)));
            }
            if end - at > MAX_HEAD {
                return Err(Malformed("the trailers are too long"));
            }
        }
    }
    match bytes.get(at + size..at + size + 2) {
        Some(b"\r\n") => Ok(Some((bytes[at..at + size].to_vec(), at + size + 2))),
        Some(_) => Err(Malformed("a chunk does not end in CRLF")),
        None => Ok(None),
    }
}

/// Parses the head of the final response, skipping a few interim ones (1xx).
fn final_head(bytes: &[u8], most: usize) -> Parsed<Head> {
    let mut at = 0;
    for _ in 0..=MAX_INTERIM {
        let Some((head, taken)) = head(&bytes[at..], most)? else { return Ok(None) };
        at += taken;
        match head.status {
            // A protocol upgrade was not requested.
            101 => return Err(Malformed("an invalid status")),
            100..=199 => {}
            200.. => return Ok(Some((head, at))),
            _ => return Err(Malformed("an invalid status")),
        }
    }
    Err(Malformed("too many interim responses"))
}

/// Parses a complete response with a body of at most `most` bytes; `None` if it is incomplete.
///
/// A body without a length is complete once the peer has closed in order (RFC 9112, section 6.3). If it is
/// empty then, the response counts as incomplete, because a connection lost after the head looks the same.
pub fn response(bytes: &[u8], most: usize, peer: PeerState) -> Parsed<(Head, Vec<u8>)> {
    let Some((head, mut at)) = final_head(bytes, most)? else { return Ok(None) };
    match head.framing {
        Framing::Length(n) => match bytes.get(at..at + n) {
            Some(body) => Ok(Some(((head, body.to_vec()), at + n))),
            None => Ok(None),
        },
        Framing::Chunked => {
            let mut body = Vec::new();
            loop {
                let Some((piece, taken)) = chunk(&bytes[at..], most)? else { return Ok(None) };
                at += taken;
                if piece.is_empty() {
                    return Ok(Some(((head, body), at)));
                }
                body.extend_from_slice(&piece);
                if body.len() > most {
                    return Err(Malformed("an oversized body"));
                }
            }
        }
        Framing::Close => {
            let body = &bytes[at..];
            if body.len() > most {
                return Err(Malformed("an oversized body"));
            }
            let complete = peer == PeerState::Closed && !body.is_empty();
            Ok(complete.then(|| ((head, body.to_vec()), bytes.len())))
        }
    }
}

/// Encodes a request. Header values are written unchanged, so they must not contain line ends.
pub fn put_request(
    out: &mut Vec<u8>,
    method: &str,
    path: &[u8],
    host: &str,
    headers: &[(&str, &[u8])],
    body: Option<&[u8]>,
) {
    out.extend_from_slice(method.as_bytes());
    out.push(b' ');
    out.extend_from_slice(path);
    out.extend_from_slice(format!(" HTTP/1.1\r\nHost: {host}\r\n").as_bytes());
    for (name, value) in headers {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value);
        out.extend_from_slice(b"\r\n");
    }
    if let Some(body) = body {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body.unwrap_or_default());
}
