//! PROXY protocol headers, versions 1 and 2: they name the client a load balancer forwards, ahead of the
//! first byte of the proxied protocol.

use super::{length, line, Malformed, Parsed};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};

const V1_PREFIX: &[u8] = b"PROXY ";
const V2_SIGNATURE: &[u8] = b"\r\n\r\n\0\r\nQUIT\n";
/// The maximum line length of version 1, without its CRLF.
const MAX_V1_LINE: usize = 105;
/// The maximum size of version 2 after its fixed part: addresses, and further data that is skipped.
const MAX_V2_REST: usize = 2048;

/// The client address given by a header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    Client(SocketAddr),
    /// The sender of the header itself, or a client that it does not name: use the socket's address.
    Socket,
}

/// Whether these bytes begin a header; `None` while there are too few to tell.
pub fn begins(bytes: &[u8]) -> Option<bool> {
    let alike = |start: &[u8]| bytes.iter().zip(start).all(|(a, b)| a == b);
    match [V1_PREFIX, V2_SIGNATURE].into_iter().find(|start| alike(start)) {
        Some(start) if bytes.len() < start.len() => None,
        Some(_) => Some(true),
        None => Some(false),
    }
}

/// Parses a complete header.
pub fn header(bytes: &[u8]) -> Parsed<Source> {
    match begins(bytes) {
        None => Ok(None),
        Some(false) => Err(Malformed("no PROXY header")),
        Some(true) if bytes.starts_with(V1_PREFIX) => {
            let Some((text, taken)) = line(bytes, MAX_V1_LINE)? else { return Ok(None) };
            Ok(Some((parse_v1(text)?, taken)))
        }
        Some(true) => parse_v2(bytes),
    }
}

/// Parses a line of version 1, such as `PROXY TCP4 203.0.113.7 10.0.0.5 51022 6379`.
fn parse_v1(text: &[u8]) -> Result<Source, Malformed> {
    let text = std::str::from_utf8(text).map_err(|_| Malformed("a PROXY header that is no text"))?;
    let words: Vec<&str> = text.split(' ').collect();
    let ip = |family: &str, word: &str| match family {
        "TCP4" => word.parse::<Ipv4Addr>().ok().map(IpAddr::V4),
        _ => word.parse::<Ipv6Addr>().ok().map(IpAddr::V6),
    };
    let port = |word: &str| {
        let plain = word == "0" || !word.starts_with('0');
        length(word.as_bytes(), usize::from(u16::MAX)).filter(|_| plain).map(|n| n as u16)
    };
    let client = match words[..] {
        [_, "UNKNOWN", ..] => return Ok(Source::Socket),
        [_, family @ ("TCP4" | "TCP6"), from, to, from_port, to_port] => {
            let to = ip(family, to).zip(port(to_port));
            ip(family, from).zip(port(from_port)).filter(|_| to.is_some())
        }
        _ => None,
    };
    let (ip, port) = client.ok_or(Malformed("an invalid PROXY header"))?;
    Ok(Source::Client(SocketAddr::new(ip, port)))
}

fn parse_v2(bytes: &[u8]) -> Parsed<Source> {
    let Some(&[command, family, high, low]) = bytes.get(V2_SIGNATURE.len()..V2_SIGNATURE.len() + 4) else {
        return Ok(None);
    };
    let rest = usize::from(u16::from_be_bytes([high, low]));
    if rest > MAX_V2_REST {
        return Err(Malformed("a PROXY header is too long"));
    }
    let local = match command {
        0x20 => true,
        0x21 => false,
        _ => return Err(Malformed("an unknown version or command in a PROXY header")),
    };
    // Only the TCP families give the client's address.
    let needed = match family {
        _ if local => 0,
        0x00 => 0,
        0x11 | 0x12 => 12,
        0x21 | 0x22 => 36,
        0x31 | 0x32 => 216,
        _ => return Err(Malformed("an unknown family in a PROXY header")),
    };
    if rest < needed {
        return Err(Malformed("a PROXY header without its addresses"));
    }
    let start = V2_SIGNATURE.len() + 4;
    let Some(rest) = bytes.get(start..start + rest) else { return Ok(None) };
    let port = |at: usize| u16::from_be_bytes([rest[at], rest[at + 1]]);
    let source = match (family, local) {
        (0x11, false) => {
            let ip: Option<[u8; 4]> = rest[..4].try_into().ok();
            ip.map(|ip| SocketAddr::new(Ipv4Addr::from(ip).into(), port(8)))
        }
        (0x21, false) => {
            let ip: Option<[u8; 16]> = rest[..16].try_into().ok();
            ip.map(|ip| SocketAddr::new(Ipv6Addr::from(ip).into(), port(32)))
        }
        _ => None,
    };
    Ok(Some((source.map_or(Source::Socket, Source::Client), start + rest.len())))
}
