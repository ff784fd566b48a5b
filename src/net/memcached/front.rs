//! The port of gateways: frames in, what they mean out, and answers in the order of the commands, so that a
//! NOOP behind quiet ones waits for all of them and what is silent before it had its outcome.
//!
//! Every bound of a connection is here or in [`Desk`]: a frame's length, streams open, bytes passed over,
//! logins tried. What is refused for its form keeps the connection in step; what has no known end closes it.

use super::answers::{error, put, Asked};
use super::arrivals::Arrivals;
use super::logins::{COST, TRIES};
use super::words::Tenant;
use super::Desk;
use crate::codec::resp;
use crate::core::{Answer, DownstreamId};
use crate::net::protocol::{Parsed, Protocol};
use crate::net::vocabulary::Vocabulary;
use memcached::{frame, header, sasl, Fault, Header, Limits, Opcode, Request, Response, Status, Step};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

/// Answers that one connection may be owed: hundreds of quiet reads come in a packet, and each takes a node's
/// time.
const STREAMS: usize = 64;
/// Streams that all connections of this port may have open or unread: each can bring a value of 64 KiB.
const OPEN: usize = 1024;
/// The longest body of a frame that is refused but passed over; behind a longer one the connection is closed.
const PASSED_OVER: u32 = 1024 * 1024;
const LIMITS: Limits = Limits { key: frame::MAX_KEY_LEN, value: resp::MAX_VALUE };
const TEXT: &[u8] = b"ERROR this port speaks the memcached binary protocol\r\n";

/// One connection.
pub struct Front {
    desk: Rc<Desk>,
    words: Rc<Vocabulary>,
    tenant: Option<Tenant>,
    /// PLAIN was begun without its message, which is to follow.
    stepping: bool,
    wrong: u32,
    /// The commands whose answers are not on their way out, from place `first` on; those of streams bear what
    /// their answers need, and a seat among [`OPEN`].
    owed: VecDeque<Option<Asked>>,
    first: u64,
    /// Bytes of a refused frame's body that are still to come.
    over: usize,
    arrivals: Arrivals,
}

impl Front {
    pub fn new(desk: Rc<Desk>, words: Rc<Vocabulary>) -> Self {
        Front {
            tenant: desk.words.tenant.clone().filter(|_| desk.logins.is_none()),
            desk,
            words,
            stepping: false,
            wrong: 0,
            owed: VecDeque::new(),
            first: 0,
            over: 0,
            arrivals: Arrivals::default(),
        }
    }
}

impl Drop for Front {
    fn drop(&mut self) {
        let seats = self.owed.iter().flatten().count();
        self.desk.open.set(self.desk.open.get() - seats);
    }
}

impl Protocol for Front {
    fn streams(&self) -> usize {
        STREAMS
    }

    fn longest(&self) -> usize {
        LIMITS.max_frame_len()
    }

    fn unfinished(&self) -> bool {
        self.over > 0
    }

    fn came(&mut self, n: usize) {
        self.arrivals.came(n, Instant::now());
    }

    fn take(&mut self, downstream: DownstreamId, place: u64, bytes: &[u8]) -> Option<(usize, Parsed)> {
        if self.over > 0 {
            let passed = self.over.min(bytes.len());
            self.over -= passed;
            self.arrivals.take(passed);
            return Some((passed, Parsed::More));
        }
        let (taken, parsed) = match frame::request(bytes, &LIMITS) {
            Ok(Step::Incomplete(_)) => return None,
            Ok(Step::Complete(request, taken)) => {
                let came = self.arrivals.take(taken);
                (taken, self.command(downstream, place, &request, came))
            }
            Err(fault) => {
                let (taken, parsed) = self.fault(fault);
                self.arrivals.take(taken);
                (taken, parsed)
            }
        };
        match &parsed {
            Parsed::More => {}
            // Its seat was taken with the stream.
            Parsed::Ask(_) => {}
            _ => self.owed.push_back(None),
        }
        Some((taken, parsed))
    }

    fn answer(&mut self, place: u64, answer: Answer) -> Vec<u8> {
        let at = usize::try_from(place.wrapping_sub(self.first)).ok();
        let asked = at.and_then(|at| self.owed.get(at)).and_then(Option::as_ref);
        asked.map_or_else(Vec::new, |asked| asked.answer(answer))
    }

    fn sent(&mut self, n: usize) {
        let seats = self.owed.drain(..n.min(self.owed.len())).flatten().count();
        self.first += n as u64;
        self.desk.open.set(self.desk.open.get() - seats);
    }
}

impl Front {
    /// What begins no frame: the bytes to take, and what is said.
    fn fault(&mut self, fault: Fault) -> (usize, Parsed) {
        let stats = &self.desk.stats;
        let told = |header: &Header, status, why| error(Opcode(header.opcode), header.opaque, status, why);
        match fault {
            Fault::Text => {
                stats.text.one();
                (0, Parsed::Malformed(TEXT.to_vec()))
            }
            Fault::Magic(_) => {
                stats.malformed.one();
                (
                    0,
                    Parsed::Malformed(error(
                        Opcode(0),
                        0,
                        Status::INVALID,
                        "no request of the binary protocol",
                    )),
                )
            }
            Fault::Lengths(header) => {
                stats.malformed.one();
                let why = "the body is shorter than extras and key";
                (0, Parsed::Malformed(told(&header, Status::INVALID, why)))
            }
            Fault::Refused(header, status, why) if header.body <= PASSED_OVER => {
                stats.invalid.one();
                self.over = header.body as usize;
                (header::LEN, Parsed::Local(told(&header, status, why)))
            }
            Fault::Refused(header, status, why) => {
                stats.invalid.one();
                (0, Parsed::Close(told(&header, status, why)))
            }
        }
    }

    fn command(
        &mut self,
        downstream: DownstreamId,
        place: u64,
        request: &Request,
        came: Option<Instant>,
    ) -> Parsed {
        let Request { opcode, opaque, .. } = *request;
        let told = |status, text: &str| Parsed::Local(error(opcode, opaque, status, text));
        let ok = |value: &[u8]| put(Response { value, ..Response::new(opcode, opaque) });
        let free = matches!(
            opcode.non_quiet(),
            Opcode::SASL_LIST | Opcode::SASL_AUTH | Opcode::SASL_STEP | Opcode::VERSION | Opcode::QUIT
        );
        if self.tenant.is_none() && !free {
            return told(Status::AUTH_ERROR, "log in first");
        }
        if let Err(why) = request.check() {
            self.desk.stats.invalid.one();
            return told(Status::INVALID, why);
        }
        match opcode.non_quiet() {
            Opcode::GET | Opcode::GETK | Opcode::SET => self.ask(downstream, place, request, came),
            // As PING is on the main port: not before there are nodes to ask.
            Opcode::NOOP if !self.words.ready.get() => told(Status::TEMPORARY, "not ready yet"),
            Opcode::NOOP => Parsed::Local(ok(b"")),
            Opcode::VERSION => Parsed::Local(ok(env!("CARGO_PKG_VERSION").as_bytes())),
            Opcode::QUIT if opcode.is_quiet() => Parsed::Close(Vec::new()),
            Opcode::QUIT => Parsed::Close(ok(b"")),
            Opcode::STAT => match self.desk.stats.group(request.key, self.desk.open.get()) {
                Some(group) => Parsed::Local(listed(opaque, &group)),
                None => told(Status::KEY_NOT_FOUND, "no such group"),
            },
            Opcode::SASL_LIST | Opcode::SASL_AUTH | Opcode::SASL_STEP if self.desk.logins.is_none() => {
                told(Status::UNKNOWN_COMMAND, "nobody logs in here")
            }
            Opcode::SASL_LIST => Parsed::Local(ok(sasl::PLAIN.as_bytes())),
            Opcode::SASL_AUTH | Opcode::SASL_STEP => self.login(request),
            known => {
                self.desk.stats.unsupported.one();
                match known.name() {
                    Some(name) => told(Status::NOT_SUPPORTED, &format!("{name} is not supported")),
                    None => told(Status::UNKNOWN_COMMAND, "unknown command"),
                }
            }
        }
    }

    fn ask(
        &mut self,
        downstream: DownstreamId,
        place: u64,
        request: &Request,
        came: Option<Instant>,
    ) -> Parsed {
        let Request { opcode, opaque, cas, key, .. } = *request;
        let (desk, told) = (&self.desk, |status, text| Parsed::Local(error(opcode, opaque, status, text)));
        let Some(tenant) = &self.tenant else { return told(Status::AUTH_ERROR, "log in first") };
        let waited = came.map_or_else(Default::default, |came| came.elapsed());
        let ask = match desk.words.ask(downstream, place, tenant, request, waited) {
            Ok(ask) => ask,
            Err((status, why)) => {
                let counter = match status {
                    Status::TEMPORARY => &desk.stats.late,
                    Status::NOT_SUPPORTED => &desk.stats.unsupported,
                    _ => &desk.stats.invalid,
                };
                counter.one();
                return told(status, why);
            }
        };
        if desk.open.get() >= OPEN {
            desk.stats.crowded.one();
            return told(Status::BUSY, "busy");
        }
        desk.open.set(desk.open.get() + 1);
        let key = if opcode.returns_key() { key.to_vec() } else { Vec::new() };
        let asked = Asked { opcode, opaque, cas, key };
        if asked.write() { &desk.stats.writes } else { &desk.stats.reads }.one();
        self.owed.push_back(Some(asked));
        Parsed::Ask(Box::new(ask))
    }

    /// AUTH and STEP with PLAIN, whose message comes with either of them.
    fn login(&mut self, request: &Request) -> Parsed {
        let Request { opcode, opaque, .. } = *request;
        let told = |status, text| error(opcode, opaque, status, text);
        if self.wrong >= TRIES {
            return Parsed::Close(told(Status::AUTH_ERROR, "too many wrong passwords"));
        }
        let step = std::mem::take(&mut self.stepping);
        let plain = request.key == sasl::PLAIN.as_bytes();
        let begins = opcode == Opcode::SASL_AUTH;
        if plain && begins && request.value.is_empty() {
            self.stepping = true;
            return Parsed::Local(told(Status::AUTH_CONTINUE, ""));
        }
        // Who logs in anew is nobody until that has gone well.
        self.tenant = None;
        let message = if plain && (begins || step) { request.value } else { b"" };
        self.tenant = self.desk.logins.as_ref().and_then(|logins| logins.login(message));
        match self.tenant {
            Some(_) => {
                self.desk.stats.logins.one();
                self.wrong = 0;
                Parsed::Local(put(Response { value: b"Authenticated", ..Response::new(opcode, opaque) }))
            }
            None => {
                self.desk.stats.logins_refused.one();
                self.wrong += 1;
                Parsed::Slow(told(Status::AUTH_ERROR, "wrong user or password"), COST)
            }
        }
    }
}

/// A group of figures: a response each, and one with nothing in it behind them.
fn listed(opaque: u32, group: &[(&str, String)]) -> Vec<u8> {
    let of = |(name, value): &(&str, String)| {
        let (key, value) = (name.as_bytes(), value.as_bytes());
        put(Response { key, value, ..Response::new(Opcode::STAT, opaque) })
    };
    let mut out: Vec<u8> = group.iter().flat_map(of).collect();
    out.extend(put(Response::new(Opcode::STAT, opaque)));
    out
}
