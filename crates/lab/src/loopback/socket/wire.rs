//! Wire formats: parses commands to cache nodes (RESP2) and to the origin and discovery (HTTP/1.1), and
//! encodes their answers. Pure, incremental and bounded, like the parsers of the proxy.
//!
//! RESP uses the proxy's own codec, which is tested against recorded exchanges. The server side of HTTP is
//! here because the proxy has only the client side. Source of the formats: the platform's documentation of
//! the protocol.

use martenweir::codec::{http, resp, Malformed, Parsed};
use world::facts::TryNo;
use world::Micros;

/// Longest line of an HTTP request, and the most bytes and headers of its head.
const MAX_LINE_BYTES: usize = 8 * 1024;
const MAX_HEAD_BYTES: usize = http::MAX_HEAD;
const MAX_HEADERS: usize = 64;

/// The protocol of a stand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dialect {
    Cache,
    Origin,
    Discovery,
}

/// A parsed command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// A read, or a write with its value.
    Keyed {
        key: Vec<u8>,
        id: Vec<u8>,
        properties: Vec<u8>,
        value: Option<Vec<u8>>,
    },
    /// Asks for the load.
    Load,
    Ping,
    /// `CLIENT` and `SELECT`, which client libraries send on their own.
    ClientSetup,
    /// Discovery's whole list, or a watch: all changes after a revision for as long as the connection lasts.
    List,
    Watch {
        after: Option<u64>,
    },
    /// Well formed, but not part of the protocol.
    Unknown,
    /// Malformed; says why.
    Malformed(&'static str),
}

impl Dialect {
    /// Parses the next command; a malformed one consumes all bytes.
    pub fn command(self, bytes: &[u8]) -> Option<(Command, usize)> {
        let parsed = match self {
            Dialect::Cache => resp_command(bytes),
            Dialect::Origin | Dialect::Discovery => request(bytes).map(|r| {
                r.map(|(r, taken)| {
                    (if self == Dialect::Origin { origin_command(r) } else { discovery_command(&r) }, taken)
                })
            }),
        };
        match parsed {
            Ok(command) => command,
            Err(Malformed(why)) => Some((Command::Malformed(why), bytes.len())),
        }
    }
}

fn resp_command(bytes: &[u8]) -> Parsed<Command> {
    let resp::Command::Whole(words, taken) = resp::command(bytes)? else { return Ok(None) };
    let name = words.first().map(|w| w.to_ascii_uppercase()).unwrap_or_default();
    let mut rest = words.into_iter().skip(1);
    let count = rest.len();
    let mut next = || rest.next().unwrap_or_default();
    let command = match (name.as_slice(), count) {
        (b"CACHE.GET", 3) => Command::Keyed { key: next(), id: next(), properties: next(), value: None },
        (b"CACHE.SET", 4) => {
            Command::Keyed { key: next(), id: next(), properties: next(), value: Some(next()) }
        }
        (b"PING", 0) => Command::Ping,
        (b"INFO", 1) if next().eq_ignore_ascii_case(b"load") => Command::Load,
        (b"CLIENT" | b"SELECT", _) => Command::ClientSetup,
        (b"CACHE.GET" | b"CACHE.SET", _) => Command::Malformed("wrong number of arguments"),
        _ => Command::Unknown,
    };
    Ok(Some((command, taken)))
}

/// An HTTP request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// Parses a complete request whose body length is given by Content-Length (RFC 9112, 2.1, 6.2).
pub fn request(bytes: &[u8]) -> Parsed<Request> {
    let mut at = 0;
    let mut line = || -> Result<Option<String>, Malformed> {
        let rest = &bytes[at..];
        let Some(end) = rest.iter().take(MAX_LINE_BYTES).position(|b| *b == b'\n') else {
            return if rest.len() >= MAX_LINE_BYTES {
                Err(Malformed("a line is too long"))
            } else {
                Ok(None)
            };
        };
        let text = rest[..end].strip_suffix(b"\r").ok_or(Malformed("a line does not end in CRLF"))?;
        let text = std::str::from_utf8(text).map_err(|_| Malformed("the head is not valid UTF-8"))?;
        at += end + 1;
        if at > MAX_HEAD_BYTES {
            return Err(Malformed("the headers are too long"));
        }
        Ok(Some(text.to_owned()))
    };
    let Some(first) = line()? else { return Ok(None) };
    let mut parts = first.split(' ');
    let (method, path) = (parts.next().unwrap_or_default(), parts.next().unwrap_or_default());
    if method.is_empty()
        || !path.starts_with('/')
        || parts.next() != Some("HTTP/1.1")
        || parts.next().is_some()
    {
        return Err(Malformed("not an HTTP/1.1 request line"));
    }
    let mut request =
        Request { method: method.to_owned(), path: path.to_owned(), headers: Vec::new(), body: Vec::new() };
    loop {
        let Some(text) = line()? else { return Ok(None) };
        if text.is_empty() {
            break;
        }
        if request.headers.len() >= MAX_HEADERS {
            return Err(Malformed("too many headers"));
        }
        let (name, value) = text.split_once(':').ok_or(Malformed("a header without a colon"))?;
        request.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    if request.header("transfer-encoding").is_some() {
        return Err(Malformed("chunked requests are not supported"));
    }
    let length = match request.header("content-length") {
        None => 0,
        Some(n) if n.bytes().all(|b| b.is_ascii_digit()) => n.parse().unwrap_or(usize::MAX),
        Some(_) => usize::MAX,
    };
    if length > resp::MAX_VALUE {
        return Err(Malformed("invalid or oversized content-length"));
    }
    let Some(body) = bytes.get(at..at + length) else { return Ok(None) };
    request.body = body.to_vec();
    Ok(Some((request, at + length)))
}

fn origin_command(request: Request) -> Command {
    let word = |name: &str| request.header(name).unwrap_or_default().as_bytes().to_vec();
    let key = request.path.as_bytes()[1..].to_vec();
    let (id, properties) = (word("X-Trace-Id"), word("X-Props"));
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/stats") => Command::Load,
        ("GET", "/health/live") => Command::Ping,
        ("GET" | "PUT", _) if id.is_empty() || properties.is_empty() => {
            Command::Malformed("a request without X-Trace-Id or X-Props")
        }
        ("GET", _) => Command::Keyed { key, id, properties, value: None },
        ("PUT", _) => Command::Keyed { key, id, properties, value: Some(request.body) },
        _ => Command::Unknown,
    }
}

fn discovery_command(request: &Request) -> Command {
    let (path, query) = request.path.split_once('?').unwrap_or((&request.path, ""));
    if request.method != "GET" || path != "/registry/instances" {
        return Command::Unknown;
    }
    let value = |name: &str| {
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
    };
    match value("watch") {
        Some("1") => Command::Watch { after: value("after").and_then(|n| n.parse().ok()) },
        _ => Command::List,
    }
}

/// Encodes a response with a Content-Length.
pub fn put_response(out: &mut Vec<u8>, status: u16, headers: &[(&str, &str)], body: &[u8]) {
    let reason = match status {
        200 => "OK",
        404 => "Not Found",
        503 => "Service Unavailable",
        _ => "Error",
    };
    out.extend_from_slice(format!("HTTP/1.1 {status} {reason}\r\n").as_bytes());
    for (name, value) in headers {
        out.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    out.extend_from_slice(body);
}

/// Encodes the head of a chunked response that lasts as long as its connection; [`put_chunk`] adds to it.
pub fn put_stream(out: &mut Vec<u8>) {
    out.extend_from_slice(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
}

pub fn put_chunk(out: &mut Vec<u8>, piece: &[u8]) {
    out.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
    out.extend_from_slice(piece);
    out.extend_from_slice(b"\r\n");
}

/// Encodes a cache node's answer: the value or null, the result of the read, the load or null.
pub fn put_array(out: &mut Vec<u8>, items: [Option<&[u8]>; 3]) {
    out.extend_from_slice(b"*3\r\n");
    for item in items {
        match item {
            Some(item) => resp::put_bulk(out, item),
            None => out.extend_from_slice(b"$-1\r\n"),
        }
    }
}

/// A description of a try, carried in its id for the stand-ins: no proxy reads it, and no shared table is
/// needed. Written `TRY.WORK.BYTES` in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TryId {
    pub of: TryNo,
    /// Work of a hit, in microseconds of a standard core, and size of the value.
    pub work: u32,
    pub bytes: u32,
}

impl TryId {
    pub fn read(id: &[u8]) -> Option<TryId> {
        let mut parts = std::str::from_utf8(id).ok()?.split('.');
        let mut part = || u64::from_str_radix(parts.next()?, 16).ok();
        let (of, work, bytes) = (TryNo(part()?), part()?, part()?);
        let (work, bytes) = (u32::try_from(work).ok()?, u32::try_from(bytes).ok()?);
        (parts.next().is_none() && bytes as usize <= resp::MAX_VALUE).then_some(TryId { of, work, bytes })
    }

    pub fn write(self) -> String {
        format!("{:016x}.{:08x}.{:05x}", self.of.0, self.work, self.bytes)
    }
}

/// The value returned for a try: it contains the key and the id, so that the receiver can tell which try it
/// belongs to.
pub fn value(key: &[u8], id: &[u8], bytes: usize) -> Vec<u8> {
    let mut value = [key, b" ", id, b" "].concat();
    value.resize(bytes.clamp(value.len(), resp::MAX_VALUE.max(value.len())), b'.');
    value
}

/// The key and the try that a value was created for.
pub fn made_for(value: &[u8]) -> Option<(&[u8], TryNo)> {
    let mut parts = value.splitn(3, |b| *b == b' ');
    let (key, id) = (parts.next()?, parts.next()?);
    Some((key, TryId::read(id)?.of))
}

/// The properties that are sent with a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Properties {
    pub class: String,
    pub tenant: String,
    /// How long the sender waits, in microseconds.
    pub patience: Micros,
    /// An idempotency key.
    pub repeat: Option<u64>,
    /// Whether this is a client's retry.
    pub again: bool,
}

impl Properties {
    /// `None` if a required property is missing or invalid.
    pub fn read(text: &[u8]) -> Option<Properties> {
        let mut p = Properties::default();
        for pair in std::str::from_utf8(text).ok()?.split(',') {
            match pair.split_once('=')? {
                ("c", class) => p.class = class.to_owned(),
                ("t", tenant) => p.tenant = tenant.to_owned(),
                ("d", ms) => {
                    let ms = ms.parse::<f64>().ok().filter(|ms| (0.0..1e9).contains(ms))?;
                    p.patience = (ms * 1e3) as Micros;
                }
                ("k", key) => p.repeat = Some(u64::from_str_radix(key, 16).ok()?),
                ("r", mark) => p.again = mark == "1",
                _ => {}
            }
        }
        (!p.class.is_empty() && p.patience > 0).then_some(p)
    }

    pub fn write(&self) -> String {
        let mut text = format!("c={}", self.class);
        if !self.tenant.is_empty() {
            text += &format!(",t={}", self.tenant);
        }
        text += &format!(",d={}", (self.patience / 1000).max(1));
        if let Some(key) = self.repeat {
            text += &format!(",k={key:016x}");
        }
        if self.again {
            text += ",r=1";
        }
        text
    }
}

#[cfg(test)]
mod tests;
