//! The lists of discovery: JSON objects, as cluster members.

use crate::interface::*;
use crate::settings::Site;
use serde_json::Value;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

/// The longest object: a whole list of some thousand nodes.
pub const LINE: usize = 1024 * 1024;
/// The address of an entry whose own cannot be read; nothing is sent there.
const NOWHERE: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);
/// So much of what an entry says is told in the log.
const SHOWN: usize = 40;

/// A list, or what changed in it.
#[derive(Clone, Debug, PartialEq)]
pub struct Cluster {
    pub revision: u64,
    pub complete: bool,
    pub nodes: Vec<Listed>,
}

/// An entry of a list: the module's part of it, and what only sockets and lines need.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    pub member: Member,
    pub address: SocketAddr,
    pub name: Rc<str>,
}

/// An id as a number that is the same at every proxy and every start (FNV-1a, mixed).
pub fn hash_id(id: &[u8]) -> u64 {
    let h =
        id.iter().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3));
    crate::state::mix(h).max(1)
}

fn position(names: &[String], v: &Value, key: &str) -> u16 {
    let name = v.get(key).and_then(Value::as_str);
    names.iter().position(|n| Some(n.as_str()) == name).map_or(u16::MAX, |at| at as u16)
}

/// A zone's position; of one that the settings do not name, one behind theirs by its name. Two such are two: what may
/// be repeated within a zone only must not go from one to the other.
fn zone(names: &[String], v: &Value) -> u16 {
    let named = position(names, v, "locality");
    let free = u64::from(u16::MAX).saturating_sub(names.len() as u64);
    match v.get("locality").and_then(Value::as_str).filter(|_| named == u16::MAX && free > 0) {
        Some(other) => (names.len() as u64 + hash_id(other.as_bytes()) % free) as u16,
        None => named,
    }
}

fn shown(text: &str) -> String {
    text.escape_debug().take(SHOWN).collect()
}

/// An entry, and what in it could not be read. One that has no id is none. Where its phase or its address cannot be
/// read it is taken for one that drains: an entry that is not sure to be served there gets nothing new.
fn node(v: &Value, site: &Site) -> (Option<Listed>, Option<String>) {
    let text = |key: &str| v.get(key).and_then(Value::as_str);
    let Some(name) = text("id").filter(|id| !id.is_empty()) else {
        return (None, Some("an entry without id".into()));
    };
    let phase = match text("phase") {
        Some("SERVING") => Ok(Phase::Ready),
        Some("DRAINING") => Ok(Phase::Draining),
        Some("DELETED") => Ok(Phase::Gone),
        Some(other) => Err(format!("unknown phase {}", shown(other))),
        None => Err("no phase".to_owned()),
    };
    let address = text("host_port").and_then(|a| a.parse().ok()).ok_or("a host_port that is no address");
    let (phase, odd) = match (phase, &address) {
        (Ok(phase @ (Phase::Draining | Phase::Gone)), _) => (phase, None),
        (Ok(phase), Ok(_)) => (phase, None),
        (Ok(_), Err(why)) => (Phase::Draining, Some((*why).to_owned())),
        (Err(why), _) => (Phase::Draining, Some(why)),
    };
    // A time that no clock shows, or a size that is none, is as good as not told.
    let started = v.get("up_since_ms").and_then(Value::as_f64).filter(|ms| (0.0..1e14).contains(ms));
    let weight = v.get("size").and_then(Value::as_f64).filter(|size| *size > 0.0);
    let member = Member {
        server: ServerId(hash_id(name.as_bytes())),
        zone: ZoneId(zone(&site.zones, v)),
        kind: KindId(position(&site.kinds, v, "flavor")),
        cell: CellId(v.get("cell").and_then(Value::as_u64).unwrap_or(0) as u16),
        phase,
        weight: weight.unwrap_or(1.0),
        started: Some((started.unwrap_or(0.0) * 1000.0) as Micros).filter(|t| *t != 0),
    };
    let listed = Listed { member, address: address.unwrap_or(NOWHERE), name: name.into() };
    (Some(listed), odd.map(|why| format!("{}: {why}", shown(name))))
}

/// A list, and what of it could not be read, in a line.
pub fn list_from_json(v: &Value, site: &Site) -> Result<(Cluster, Option<String>), String> {
    let members = v.get("members").and_then(Value::as_array).ok_or("a list without members")?;
    let (nodes, odd): (Vec<_>, Vec<_>) = members.iter().map(|m| node(m, site)).unzip();
    let mut odd = odd.into_iter().flatten();
    let odd = odd.next().map(|first| match odd.count() {
        0 => first,
        more => format!("{first}, and {more} more"),
    });
    let list = Cluster {
        // After none, all is asked for.
        revision: v.get("revision").and_then(Value::as_u64).unwrap_or(0),
        complete: v.get("complete").and_then(Value::as_bool).unwrap_or(false),
        nodes: nodes.into_iter().flatten().collect(),
    };
    Ok((list, odd))
}

pub fn parse_list(bytes: &[u8], site: &Site) -> Result<(Cluster, Option<String>), String> {
    list_from_json(&serde_json::from_slice(bytes).map_err(|e| e.to_string())?, site)
}

/// What stands in a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchItem {
    Object(Vec<u8>),
    /// An empty line.
    Blank,
}

/// Cuts a watch into its objects, whatever white space is in and between them. Each byte is looked at once.
#[derive(Debug, Default)]
pub struct ObjectSplitter {
    /// What has come of the object that is not whole, and how much of it was looked at.
    held: Vec<u8>,
    at: usize,
    depth: usize,
    text: bool,
    escaped: bool,
    /// An object has ended in this line.
    spoken: bool,
    /// So much of the object was well-formed.
    fine: usize,
}

impl ObjectSplitter {
    pub fn feed(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next piece, if it has come; an error if what comes is no object, or one of more than [`LINE`] bytes.
    pub fn piece(&mut self) -> Result<Option<WatchItem>, String> {
        while let Some(&byte) = self.held.get(self.at) {
            self.at += 1;
            if self.depth == 0 {
                match byte {
                    b'{' => {
                        self.held.drain(..self.at - 1);
                        (self.at, self.depth, self.fine) = (1, 1, 1);
                    }
                    b'\n' if !std::mem::take(&mut self.spoken) => return Ok(Some(WatchItem::Blank)),
                    b' ' | b'\t' | b'\r' | b'\n' => {}
                    _ => return Err("no object".into()),
                }
                continue;
            }
            match byte {
                _ if std::mem::take(&mut self.escaped) => {}
                b'\\' if self.text => self.escaped = true,
                b'"' => self.text = !self.text,
                b'\n' if self.text => return Err("a line ends within a text".into()),
                _ if self.text => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth -= 1,
                b'\n' => self.well_formed()?,
                _ => {}
            }
            if self.depth == 0 {
                self.spoken = true;
                let rest = self.held.split_off(self.at);
                self.at = 0;
                return Ok(Some(WatchItem::Object(std::mem::replace(&mut self.held, rest))));
            }
            if self.at > LINE {
                return Err("an object is too long".into());
            }
        }
        if self.depth == 0 {
            self.held.clear();
            self.at = 0;
        }
        Ok(None)
    }

    /// An object that was cut off would take all that follows into itself, and where that is one or two it does
    /// till the watch counts as silent. Looked at again only when it has grown
    /// to twice the length, so that the cost stays that of its length.
    fn well_formed(&mut self) -> Result<(), String> {
        if self.at < 2 * self.fine {
            return Ok(());
        }
        self.fine = self.at;
        match serde_json::from_slice::<Value>(&self.held[..self.at]) {
            Err(e) if !e.is_eof() => Err(e.to_string()),
            _ => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
