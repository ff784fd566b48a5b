//! One connection of a gateway: parses frames and sends the answers in the order of the commands, so that a
//! NOOP behind quiet commands waits for all of them and every silent one before it has its outcome.
//!
//! Every limit of a connection is here or in [`PortState`]: the length of a frame, open streams, skipped
//! bytes and login attempts. A frame that is refused for its form keeps the connection in step; input without
//! a known end closes it.

use super::answers::{encode_error, encode_response, PendingCommand};
use super::arrivals::Arrivals;
use super::logins::{FAILURE_DELAY, MAX_FAILED_LOGINS};
use super::mapping::Tenant;
use super::PortState;
use crate::codec::resp;
use crate::core::{Answer, DownstreamId};
use crate::net::command::CommandParser;
use crate::net::protocol::{ParseStep, Parsed, Protocol, WithoutRoom};
use memcached::{frame, header, sasl, Fault, Header, Limits, Opcode, Request, Response, Status, Step};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;

/// Answers that one connection may be owed: hundreds of quiet reads arrive in one packet, and each takes a
/// node's time.
const MAX_STREAMS: usize = 64;
/// Streams of all connections of this port that may be open or not yet written out: each can bring a value of
/// 64 KiB.
const MAX_OPEN_STREAMS: usize = 1024;
/// The longest body of a refused frame that is skipped; after a longer one the connection is closed.
const MAX_SKIPPED_BODY: u32 = 1024 * 1024;
const LIMITS: Limits = Limits { key: frame::MAX_KEY_LEN, value: resp::MAX_VALUE };
const TEXT_PROTOCOL_ERROR: &[u8] = b"ERROR this port speaks the memcached binary protocol\r\n";

/// The state of one connection.
pub struct GatewayConnection {
    port: Rc<PortState>,
    parser: Rc<CommandParser>,
    tenant: Option<Tenant>,
    /// PLAIN was begun without its message, which is to follow.
    awaiting_step: bool,
    failed_logins: u32,
    /// The commands whose answers are not in the output yet, from place `first` on. Those of streams carry
    /// what their answers need and count towards [`MAX_OPEN_STREAMS`].
    pending: VecDeque<Option<PendingCommand>>,
    first: u64,
    /// Bytes of the body of a refused frame that are still to arrive.
    skip_bytes: usize,
    arrivals: Arrivals,
}

impl GatewayConnection {
    pub fn new(port: Rc<PortState>, parser: Rc<CommandParser>) -> Self {
        GatewayConnection {
            tenant: port.mapping.tenant.clone().filter(|_| port.logins.is_none()),
            port,
            parser,
            awaiting_step: false,
            failed_logins: 0,
            pending: VecDeque::new(),
            first: 0,
            skip_bytes: 0,
            arrivals: Arrivals::default(),
        }
    }
}

impl Drop for GatewayConnection {
    fn drop(&mut self) {
        let freed = self.pending.iter().flatten().count();
        self.port.open.set(self.port.open.get() - freed);
    }
}

impl Protocol for GatewayConnection {
    fn max_streams(&self) -> usize {
        MAX_STREAMS
    }

    fn is_mid_command(&self) -> bool {
        self.skip_bytes > 0
    }

    fn received(&mut self, n: usize) {
        self.arrivals.received(n, Instant::now());
    }

    fn parse(&mut self, downstream: DownstreamId, place: u64, bytes: &[u8]) -> ParseStep {
        if self.skip_bytes > 0 {
            let passed = self.skip_bytes.min(bytes.len());
            self.skip_bytes -= passed;
            self.arrivals.take(passed);
            return ParseStep::Taken(passed, Parsed::Part);
        }
        let (taken, parsed) = match frame::request(bytes, &LIMITS) {
            Ok(Step::Incomplete(least)) => {
                self.arrivals.awaits(least);
                return ParseStep::Incomplete(least);
            }
            Ok(Step::Complete(request, taken)) => {
                let received_at = self.arrivals.take(taken);
                (taken, self.command(downstream, place, &request, received_at))
            }
            Err(fault) => {
                let (taken, parsed) = self.fault(fault);
                self.arrivals.take(taken);
                (taken, parsed)
            }
        };
        match &parsed {
            Parsed::Part => {}
            // It was added to `pending` when the stream was started.
            Parsed::Stream(_) => {}
            _ => self.pending.push_back(None),
        }
        ParseStep::Taken(taken, parsed)
    }

    fn refuse_without_room(&mut self, bytes: &[u8]) -> WithoutRoom {
        self.arrivals.take(bytes.len());
        self.pending.push_back(None);
        // A frame that needs room has its header; nothing else tells where it ends.
        let Some((_, header)) = Header::read(bytes) else { return WithoutRoom::Closed(Vec::new()) };
        self.skip_bytes = (header::LEN + header.body as usize).saturating_sub(bytes.len());
        WithoutRoom::Refused(encode_error(Opcode(header.opcode), header.opaque, Status::BUSY, "busy"))
    }

    fn encode_answer(&mut self, place: u64, answer: Answer) -> Vec<u8> {
        let at = usize::try_from(place.wrapping_sub(self.first)).ok();
        let asked = at.and_then(|at| self.pending.get(at)).and_then(Option::as_ref);
        asked.map_or_else(Vec::new, |asked| asked.encode(answer))
    }

    fn answers_taken(&mut self, n: usize) {
        let freed = self.pending.drain(..n.min(self.pending.len())).flatten().count();
        self.first += n as u64;
        self.port.open.set(self.port.open.get() - freed);
    }
}

impl GatewayConnection {
    /// Handles input that is no valid frame: the number of bytes to take, and the reply.
    fn fault(&mut self, fault: Fault) -> (usize, Parsed) {
        let stats = &self.port.stats;
        let reply =
            |header: &Header, status, why| encode_error(Opcode(header.opcode), header.opaque, status, why);
        match fault {
            Fault::Text => {
                stats.text.one();
                (0, Parsed::Malformed(TEXT_PROTOCOL_ERROR.to_vec()))
            }
            Fault::Magic(_) => {
                stats.malformed.one();
                (
                    0,
                    Parsed::Malformed(encode_error(
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
                (0, Parsed::Malformed(reply(&header, Status::INVALID, why)))
            }
            Fault::Refused(header, status, why) if header.body <= MAX_SKIPPED_BODY => {
                stats.invalid.one();
                self.skip_bytes = header.body as usize;
                (header::LEN, Parsed::Local(reply(&header, status, why)))
            }
            Fault::Refused(header, status, why) => {
                stats.invalid.one();
                (0, Parsed::Close(reply(&header, status, why)))
            }
        }
    }

    fn command(
        &mut self,
        downstream: DownstreamId,
        place: u64,
        request: &Request,
        received_at: Option<Instant>,
    ) -> Parsed {
        let Request { opcode, opaque, .. } = *request;
        let reply = |status, text: &str| Parsed::Local(encode_error(opcode, opaque, status, text));
        let ok = |value: &[u8]| encode_response(Response { value, ..Response::new(opcode, opaque) });
        let free = matches!(
            opcode.non_quiet(),
            Opcode::SASL_LIST | Opcode::SASL_AUTH | Opcode::SASL_STEP | Opcode::VERSION | Opcode::QUIT
        );
        if self.tenant.is_none() && !free {
            return reply(Status::AUTH_ERROR, "log in first");
        }
        if let Err(why) = request.check() {
            self.port.stats.invalid.one();
            return reply(Status::INVALID, why);
        }
        match opcode.non_quiet() {
            Opcode::GET | Opcode::GETK | Opcode::SET => {
                self.start_stream(downstream, place, request, received_at)
            }
            // As PING on the main port: not before there are nodes to ask.
            Opcode::NOOP if !self.parser.ready.get() => reply(Status::TEMPORARY, "not ready yet"),
            Opcode::NOOP => Parsed::Local(ok(b"")),
            Opcode::VERSION => Parsed::Local(ok(env!("CARGO_PKG_VERSION").as_bytes())),
            Opcode::QUIT if opcode.is_quiet() => Parsed::Close(Vec::new()),
            Opcode::QUIT => Parsed::Close(ok(b"")),
            Opcode::STAT => match self.port.stats.group(request.key, self.port.open.get()) {
                Some(group) => Parsed::Local(stat_responses(opaque, &group)),
                None => reply(Status::KEY_NOT_FOUND, "no such group"),
            },
            Opcode::SASL_LIST | Opcode::SASL_AUTH | Opcode::SASL_STEP if self.port.logins.is_none() => {
                reply(Status::UNKNOWN_COMMAND, "nobody logs in here")
            }
            Opcode::SASL_LIST => Parsed::Local(ok(sasl::PLAIN.as_bytes())),
            Opcode::SASL_AUTH | Opcode::SASL_STEP => self.login(request),
            known => {
                self.port.stats.unsupported.one();
                match known.name() {
                    Some(name) => reply(Status::NOT_SUPPORTED, &format!("{name} is not supported")),
                    None => reply(Status::UNKNOWN_COMMAND, "unknown command"),
                }
            }
        }
    }

    fn start_stream(
        &mut self,
        downstream: DownstreamId,
        place: u64,
        request: &Request,
        received_at: Option<Instant>,
    ) -> Parsed {
        let Request { opcode, opaque, cas, key, .. } = *request;
        let (port, reply) =
            (&self.port, |status, text| Parsed::Local(encode_error(opcode, opaque, status, text)));
        let Some(tenant) = &self.tenant else { return reply(Status::AUTH_ERROR, "log in first") };
        let waited = received_at.map_or_else(Default::default, |received_at| received_at.elapsed());
        let ask = match port.mapping.to_stream(downstream, place, tenant, request, waited) {
            Ok(ask) => ask,
            Err((status, why)) => {
                let counter = match status {
                    Status::TEMPORARY => &port.stats.late,
                    Status::NOT_SUPPORTED => &port.stats.unsupported,
                    _ => &port.stats.invalid,
                };
                counter.one();
                return reply(status, why);
            }
        };
        if port.open.get() >= MAX_OPEN_STREAMS {
            port.stats.crowded.one();
            return reply(Status::BUSY, "busy");
        }
        port.open.set(port.open.get() + 1);
        let key = if opcode.returns_key() { key.to_vec() } else { Vec::new() };
        let asked = PendingCommand { opcode, opaque, cas, key };
        if asked.is_write() { &port.stats.writes } else { &port.stats.reads }.one();
        self.pending.push_back(Some(asked));
        Parsed::Stream(Box::new(ask))
    }

    /// AUTH and STEP with PLAIN, whose message may come with either of them.
    fn login(&mut self, request: &Request) -> Parsed {
        let Request { opcode, opaque, .. } = *request;
        let reply = |status, text| encode_error(opcode, opaque, status, text);
        if self.failed_logins >= MAX_FAILED_LOGINS {
            return Parsed::Close(reply(Status::AUTH_ERROR, "too many wrong passwords"));
        }
        let step = std::mem::take(&mut self.awaiting_step);
        let plain = request.key == sasl::PLAIN.as_bytes();
        let begins = opcode == Opcode::SASL_AUTH;
        if plain && begins && request.value.is_empty() {
            self.awaiting_step = true;
            return Parsed::Local(reply(Status::AUTH_CONTINUE, ""));
        }
        // A connection that logs in again has no tenant until that succeeds.
        self.tenant = None;
        let message = if plain && (begins || step) { request.value } else { b"" };
        self.tenant = self.port.logins.as_ref().and_then(|logins| logins.login(message));
        match self.tenant {
            Some(_) => {
                self.port.stats.logins.one();
                self.failed_logins = 0;
                Parsed::Local(encode_response(Response {
                    value: b"Authenticated",
                    ..Response::new(opcode, opaque)
                }))
            }
            None => {
                self.port.stats.logins_refused.one();
                self.failed_logins += 1;
                Parsed::Delayed(reply(Status::AUTH_ERROR, "wrong user or password"), FAILURE_DELAY)
            }
        }
    }
}

/// Encodes a group of statistics: one response for each, followed by an empty one.
fn stat_responses(opaque: u32, group: &[(&str, String)]) -> Vec<u8> {
    let of = |(name, value): &(&str, String)| {
        let (key, value) = (name.as_bytes(), value.as_bytes());
        encode_response(Response { key, value, ..Response::new(Opcode::STAT, opaque) })
    };
    let mut out: Vec<u8> = group.iter().flat_map(of).collect();
    out.extend(encode_response(Response::new(Opcode::STAT, opaque)));
    out
}
