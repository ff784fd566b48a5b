//! Parsing of discovery's JSON lists into cluster members.

use crate::interface::*;
use crate::settings::Site;
use serde_json::Value;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// The maximum size of an object: a complete list of a few thousand nodes.
pub const LINE: usize = 1024 * 1024;
/// The placeholder address for an entry whose own cannot be parsed; nothing is sent there.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// The maximum number of characters of an entry's text shown in the log.
const MAX_SHOWN: usize = 40;

/// A complete list or a change to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    pub revision: u64,
    pub complete: bool,
    pub nodes: Vec<Listed>,
}

/// An entry of a list: the member for the decision module, and the address and name used by the rest of the
/// proxy.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub member: Member,
    pub address: SocketAddr,
    pub name: Rc<str>,
}

/// Hashes an id to a number that is the same at every proxy and after every start (FNV-1a with a final mix).
pub fn hash_id(id: &[u8]) -> u64 {
    let h =
        id.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    crate::state::mix(h).max(1)
}

fn index_of(names: &[String], v: &Value, key: &str) -> u16 {
    let name = v.get(key).and_then(Value::as_str);
    names.iter().position(|n| Some(n.as_str()) == name).map_or(u16::MAX, |at| at as u16)
}

/// The position of a zone in the settings. A zone that the settings do not name gets a position behind
/// theirs, derived from its name, so that two unknown zones stay distinct: requests that may be repeated only
/// within a zone must not move between them.
fn zone_index(names: &[String], v: &Value) -> u16 {
    let named = index_of(names, v, "locality");
    let free = u64::from(u16::MAX).saturating_sub(names.len() as u64);
    match v.get("locality").and_then(Value::as_str).filter(|_| named == u16::MAX && free > 0) {
        Some(other) => (names.len() as u64 + hash_id(other.as_bytes()) % free) as u16,
        None => named,
    }
}

fn excerpt(text: &str) -> String {
    text.escape_debug().take(MAX_SHOWN).collect()
}

/// Parses an entry; also returns what in it could not be read. An entry without an id is dropped. An entry
/// whose phase or address cannot be read counts as draining, so that nothing new is sent to it.
fn parse_entry(v: &Value, site: &Site) -> (Option<Listed>, Option<String>) {
    let text = |key: &str| v.get(key).and_then(Value::as_str);
    let Some(name) = text("id").filter(|id| !id.is_empty()) else {
        return (None, Some("an entry without an id".into()));
    };
    let phase = match text("phase") {
        Some("SERVING") => Ok(Phase::Ready),
        Some("DRAINING") => Ok(Phase::Draining),
        Some("DELETED") => Ok(Phase::Gone),
        Some(other) => Err(format!("unknown phase {}", excerpt(other))),
        None => Err("no phase".to_owned()),
    };
    let address = text("host_port").and_then(|a| a.parse().ok()).ok_or("a host_port that is no address");
    let (phase, invalid) = match (phase, &address) {
        (Ok(phase @ (Phase::Draining | Phase::Gone)), _) => (phase, None),
        (Ok(phase), Ok(_)) => (phase, None),
        (Ok(_), Err(why)) => (Phase::Draining, Some((*why).to_owned())),
        (Err(why), _) => (Phase::Draining, Some(why)),
    };
    // An impossible time or size is treated as absent.
    let started = v.get("up_since_ms").and_then(Value::as_f64).filter(|ms| (0.0..1e14).contains(ms));
    let weight = v.get("size").and_then(Value::as_f64).filter(|size| *size > 0.0);
    let member = Member {
        server: ServerId(hash_id(name.as_bytes())),
        zone: ZoneId(zone_index(&site.zones, v)),
        kind: KindId(index_of(&site.kinds, v, "flavor")),
        cell: CellId(v.get("cell").and_then(Value::as_u64).unwrap_or(0) as u16),
        phase,
        weight: weight.unwrap_or(1.0),
        started: Some((started.unwrap_or(0.0) * 1000.0) as Micros).filter(|t| *t != 0),
    };
    let listed = Listed { member, address: address.unwrap_or(UNKNOWN_ADDRESS), name: name.into() };
    (Some(listed), invalid.map(|why| format!("{}: {why}", excerpt(name))))
}

/// Parses a list; also returns a one-line description of what could not be read.
pub fn list_from_json(v: &Value, site: &Site) -> Result<(Cluster, Option<String>), String> {
    let members = v.get("members").and_then(Value::as_array).ok_or("a list without a members array")?;
    let (nodes, invalid): (Vec<_>, Vec<_>) = members.iter().map(|m| parse_entry(m, site)).unzip();
    let mut invalid = invalid.into_iter().flatten();
    let invalid = invalid.next().map(|first| match invalid.count() {
        0 => first,
        more => format!("{first}, and {more} more"),
    });
    let list = Cluster {
        // Without a revision the whole list is requested next time.
        revision: v.get("revision").and_then(Value::as_u64).unwrap_or(0),
        complete: v.get("complete").and_then(Value::as_bool).unwrap_or(false),
        nodes: nodes.into_iter().flatten().collect(),
    };
    Ok((list, invalid))
}

pub fn parse_list(bytes: &[u8], site: &Site) -> Result<(Cluster, Option<String>), String> {
    list_from_json(&serde_json::from_slice(bytes).map_err(|e| e.to_string())?, site)
}

/// An item in the stream of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchItem {
    Object(Vec<u8>),
    /// An empty line.
    Blank,
}

/// Splits the stream of a watch into its JSON objects, whatever whitespace is in and between them. Each byte
/// is scanned once.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    /// The bytes of the incomplete object, and how many of them have been scanned.
    buffer: Vec<u8>,
    scanned: usize,
    depth: usize,
    in_string: bool,
    escaped: bool,
    /// Whether an object has ended in the current line.
    line_has_object: bool,
    /// How many bytes of the object were well-formed at the last check.
    checked: usize,
}

impl ObjectSplitter {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next item, if complete; an error if the input is not an object, or exceeds [`LINE`] bytes.
    pub fn next_item(&mut self) -> Result<Option<WatchItem>, String> {
        while let Some(&byte) = self.buffer.get(self.scanned) {
            self.scanned += 1;
            if self.depth == 0 {
                match byte {
                    b'{' => {
                        self.buffer.drain(..self.scanned - 1);
                        (self.scanned, self.depth, self.checked) = (1, 1, 1);
                    }
                    b'\n' if !std::mem::take(&mut self.line_has_object) => return Ok(Some(WatchItem::Blank)),
                    b' ' | b'\t' | b'\r' | b'\n' => {}
                    _ => return Err("expected a JSON object".into()),
                }
                continue;
            }
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                b'\n' if self.in_string => return Err("a line ends within a JSON string".into()),
                _ if self.in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                b'\n' => self.check_prefix()?,
                _ => {}
            }
            if self.depth == 0 {
                self.line_has_object = true;
                let rest = self.buffer.split_off(self.scanned);
                self.scanned = 0;
                return Ok(Some(WatchItem::Object(std::mem::replace(&mut self.buffer, rest))));
            }
            if self.scanned > LINE {
                return Err("a JSON object is too long".into());
            }
        }
        if self.depth == 0 {
            self.buffer.clear();
            self.scanned = 0;
        }
        Ok(None)
    }

    /// Detects a truncated object early. It would otherwise absorb everything that follows, and if that is
    /// only an object or two, until the watch timeout. Checked again only once the object has grown to twice
    /// the length, so that the total cost stays linear.
    fn check_prefix(&mut self) -> Result<(), String> {
        if self.scanned < 2 * self.checked {
            return Ok(());
        }
        self.checked = self.scanned;
        match serde_json::from_slice::<Value>(&self.buffer[..self.scanned]) {
            Err(e) if !e.is_eof() => Err(e.to_string()),
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
