//! Protocols of a measurement: RESP2 or the memcached binary protocol. Covers only reads, and the answers of
//! nodes that always hit to reads and probes.

use crate::loopback::socket::wire::{self, Command, Dialect};
use martenweir::codec::resp::{self, Reply};
use martenweir::codec::Malformed;
use memcached::{frame, Limits, Opcode, Request, Response, Status, Step};

const LIMITS: Limits = Limits { key: frame::MAX_KEY_LEN, value: resp::MAX_VALUE };

/// Protocol of clients or nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Protocol {
    /// RESP2.
    #[default]
    Resp,
    /// The memcached binary protocol.
    Memcached,
}

/// A read as the client sends it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Read<'a> {
    /// Distinguishes the read from others; memcached answers carry it.
    pub number: u32,
    pub key: &'a str,
    /// The memcached protocol has no field for the id and the properties.
    pub id: &'a str,
    pub properties: &'a str,
}

impl Read<'_> {
    fn frame(&self) -> Request<'_> {
        Request { opaque: self.number, key: self.key.as_bytes(), ..Request::new(Opcode::GET) }
    }
}

impl Protocol {
    pub fn name(self) -> &'static str {
        match self {
            Protocol::Resp => "resp",
            Protocol::Memcached => "memcached",
        }
    }

    pub(super) fn put_read(self, out: &mut Vec<u8>, read: &Read) -> Result<(), Malformed> {
        match self {
            Protocol::Resp => {
                let words = ["CACHE.GET", read.key, read.id, read.properties].map(str::as_bytes);
                resp::put_command(out, &words);
                Ok(())
            }
            Protocol::Memcached => read.frame().put(out).map_err(|_| Malformed("the key is too long")),
        }
    }

    /// Whether the answer to a read carries a value; `None` while it is incomplete.
    pub(super) fn served(self, bytes: &[u8], read: &Read) -> Result<Option<bool>, Malformed> {
        match self {
            Protocol::Resp => {
                Ok(resp::reply(bytes)?
                    .map(|(reply, _)| matches!(reply, Reply::Bulk(Some(_)) | Reply::Array(_))))
            }
            Protocol::Memcached => match frame::response(bytes, &LIMITS) {
                Ok(Step::Incomplete(_)) => Ok(None),
                Ok(Step::Complete(response, _)) => {
                    response.answers(&read.frame()).map_err(Malformed)?;
                    Ok(Some(response.status == Status::OK))
                }
                Err(_) => Err(Malformed("not a memcached response")),
            },
        }
    }

    /// Answers the first request in `bytes`, every read with `value`, as a node does. Returns the number of
    /// bytes consumed; `None` while the request is incomplete.
    pub(super) fn answer(
        self,
        bytes: &[u8],
        value: &[u8],
        out: &mut Vec<u8>,
    ) -> Result<Option<usize>, Malformed> {
        match self {
            Protocol::Resp => {
                let Some((command, taken)) = Dialect::Cache.command(bytes) else { return Ok(None) };
                match command {
                    Command::Keyed { .. } => wire::put_array(out, [Some(value), Some(b"hit"), None]),
                    Command::Load => resp::put_bulk(out, b"eps=0,util=0.1"),
                    Command::Ping => out.extend_from_slice(b"+PONG\r\n"),
                    Command::Malformed(why) => return Err(Malformed(why)),
                    _ => resp::put_error(out, "ERR unknown"),
                }
                Ok(Some(taken))
            }
            Protocol::Memcached => {
                let (request, taken) = match frame::request(bytes, &LIMITS) {
                    Ok(Step::Incomplete(_)) => return Ok(None),
                    Ok(Step::Complete(request, taken)) => (request, taken),
                    Err(_) => return Err(Malformed("not a memcached request")),
                };
                let response = Response::new(request.opcode, request.opaque);
                let response = match request.opcode {
                    Opcode::GET => Response { extras: &[0; 4], value, ..response },
                    Opcode::NOOP => response,
                    _ => Response { status: Status::UNKNOWN_COMMAND, ..response },
                };
                response.put(out).map_err(|_| Malformed("the value is too long"))?;
                Ok(Some(taken))
            }
        }
    }
}

#[cfg(test)]
mod tests;
