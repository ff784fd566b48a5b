//! Parses single commands of the main port, a form that other ports share for their reads. Names become
//! positions in the settings, and errors become local replies. [`MainProtocol`] is the protocol of the main
//! port, which has no other commands.

use super::protocol::{resp_answer, resp_command, resp_error, ParseStep, Parsed, Protocol, WithoutRoom};
use crate::codec::discovery;
use crate::core::{Answer, DownstreamId, Message, NewStream};
use crate::interface::*;
use crate::settings::Site;
use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;

/// The maximum number of open streams of one downstream of the main port.
const MAX_STREAMS: usize = 16;
/// The largest accepted `d`, in ms: an hour, or the limit that the settings give the class if that is longer.
const MAX_PATIENCE_MS: f64 = 3.6e6;

/// The maximum number of properties of a command.
const MAX_PROPERTIES: usize = 256;

/// Parses commands according to the settings of the site.
#[derive(Debug)]
pub struct CommandParser {
    pub site: Rc<Site>,
    /// Whether `PING` is answered with `+PONG`.
    pub ready: Cell<bool>,
}

/// The key as a number: its value if it is hexadecimal, else its hash.
pub(crate) fn hash_key(text: &[u8]) -> Key {
    let hex = std::str::from_utf8(text).ok().filter(|t| t.len() <= 16 && !t.starts_with('+'));
    Key(hex.and_then(|t| u64::from_str_radix(t, 16).ok()).unwrap_or_else(|| discovery::hash_id(text)).max(1))
}

/// The names and values of a list of properties, of which there are at most [`MAX_PROPERTIES`].
fn parse_properties(text: &str) -> Result<Vec<(&str, &str)>, &'static str> {
    let mut names = HashSet::new();
    let mut pairs = Vec::new();
    for pair in text.split(',') {
        let (name, value) = pair.split_once('=').ok_or("invalid properties")?;
        // A repeated name would be two requests in one: a node could take the other value than this proxy.
        if !names.insert(name) {
            return Err("invalid properties");
        }
        pairs.push((name, value));
    }
    Ok(pairs)
}

impl CommandParser {
    pub(crate) fn parse(&self, downstream: DownstreamId, place: u64, words: Vec<Vec<u8>>) -> Parsed {
        let Some(verb) = words.first().map(|w| w.to_ascii_uppercase()) else {
            return Parsed::Local(resp_error("ERR empty command"));
        };
        match (verb.as_slice(), words.len()) {
            (b"CACHE.GET", 4) | (b"CACHE.SET", 5) => match self.parse_stream(downstream, place, words) {
                Ok(ask) => Parsed::Stream(Box::new(ask)),
                Err(what) => Parsed::Local(resp_error(&format!("ERR {what}"))),
            },
            (b"PING", 1) if self.ready.get() => Parsed::Local(b"+PONG\r\n".to_vec()),
            (b"PING", 1) => Parsed::Local(resp_error("LOADING not ready yet")),
            (b"QUIT", 1) => Parsed::Close(b"+OK\r\n".to_vec()),
            (b"CACHE.GET" | b"CACHE.SET" | b"PING" | b"QUIT", _) => {
                Parsed::Local(resp_error("ERR wrong number of arguments"))
            }
            _ => Parsed::Local(resp_error("ERR unknown command")),
        }
    }

    pub(crate) fn parse_stream(
        &self,
        downstream: DownstreamId,
        place: u64,
        words: Vec<Vec<u8>>,
    ) -> Result<NewStream, &'static str> {
        let mut words = words.into_iter();
        let mut word = || words.next().unwrap_or_default();
        let (verb, name, id, properties) = (word(), word(), word(), word());
        let value = words.next();
        // Key and id are written into the lines of an HTTP request when the origin is asked.
        let printable = |w: &[u8]| w.iter().all(|b| b.is_ascii_graphic());
        // Names come from the settings: any letters, with spaces between them. An HTTP header may hold
        // everything but control characters.
        if properties.iter().filter(|byte| **byte == b',').count() >= MAX_PROPERTIES {
            return Err("too many properties");
        }
        let ascii = properties.iter().all(|byte| matches!(byte, b' '..=b'~'));
        let has_control = |text: &str| !ascii && text.contains(char::is_control);
        let text = std::str::from_utf8(&properties).ok().filter(|text| !has_control(text));
        let text = text.filter(|_| !name.is_empty() && !id.is_empty() && printable(&name) && printable(&id));
        let text = text.ok_or("invalid key, id or properties")?;
        let pairs = parse_properties(text)?;
        let value_of = |key: &str| pairs.iter().find(|(name, _)| *name == key).map(|(_, value)| *value);
        let class = value_of("c").and_then(|c| self.site.classes.iter().position(|n| n == c));
        let class = class.ok_or("unknown class")?;
        let tenant = match value_of("t") {
            // Without tenants in the settings all requests belong to the same one, whatever they say.
            _ if self.site.tenants.is_empty() => 0,
            None => return Err("no tenant"),
            Some(t) => self.site.tenants.iter().position(|n| n == t).ok_or("unknown tenant")?,
        };
        let digits = |d: &&str| d.bytes().all(|b| b.is_ascii_digit() || b == b'.');
        let patience = value_of("d").filter(digits).and_then(|d| d.parse::<f64>().ok());
        let limit = self.site.settings.classes.get(class).map_or(0.0, |c| c.limit as f64 / 1000.0);
        let patience =
            patience.filter(|d| (1.0..=MAX_PATIENCE_MS.max(limit)).contains(d)).ok_or("invalid d")?;
        let hint = value_of("hint").and_then(|h| h.parse::<f64>().ok()).filter(|h| *h > 0.0 && h.is_finite());
        Ok(NewStream {
            downstream,
            place,
            class: ClassId(class as u16),
            tenant: TenantId(tenant as u32),
            key: hash_key(&name),
            repeat: value_of("r") == Some("1"),
            patience: (patience * 1000.0) as Micros,
            hint: hint.map(|ms| ms * 1000.0),
            message: Rc::new(Message { verb, key: name, id, properties, value, ..Message::default() }),
        })
    }
}

/// The protocol of the main port: each command is one stream.
#[derive(Debug)]
pub struct MainProtocol(pub Rc<CommandParser>);

impl Protocol for MainProtocol {
    fn max_streams(&self) -> usize {
        MAX_STREAMS
    }

    fn parse(&mut self, downstream: DownstreamId, place: u64, bytes: &[u8]) -> ParseStep {
        resp_command(bytes, |command, _| self.0.parse(downstream, place, command))
    }

    fn refuse_without_room(&mut self, _: &[u8]) -> WithoutRoom {
        WithoutRoom::ReadPast
    }

    fn skips(&self) -> bool {
        true
    }

    fn refusal(&self) -> Vec<u8> {
        resp_answer(Answer::Busy(self.0.site.settings.max_retry_after))
    }
}

#[cfg(test)]
mod tests;
