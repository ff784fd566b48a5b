//! The agent: takes the datagram of a request and returns the datagram of the response, if any. It owns its
//! counters, the keys of its users and the rate limit of reports; the tree it answers from is passed in with
//! each request.
//!
//! Responses:
//! - SNMPv1 is not supported: counted as snmpInBadVersions, never answered.
//! - SNMPv2c with an unknown community, or from a source address outside the community's range: counted,
//!   never answered.
//! - SNMPv3 messages that cannot be processed: the report required by RFC 3414, 3.2, if the message is
//!   reportable and the rate limit permits it. A report is hardly longer than the message that causes it.
//! - SET: noAccess (RFC 3416, 4.2.5: nothing is writable). PDUs other than requests are dropped.
//! - Responses that do not fit a datagram: fewer repetitions for a GetBulk, otherwise tooBig without bindings
//!   (RFC 3416, 4.2.1 to 4.2.3).

use crate::access::{Access, Admitted, View};
use crate::message::{self, status, Community, Data, Flags, Header, Kind, Pdu, Scoped, Secured};
use crate::reader::{self, MAX_DATAGRAM};
use crate::stats::{increment, Stats};
use crate::usm::{self, Engine, Keys, Level};
use crate::{Micros, Oid, Tree, Value, SECOND};
use std::net::IpAddr;

/// Maximum length of a response: fits a path MTU of 1500 bytes without fragmentation, also over IPv6.
pub const MAX_RESPONSE: usize = 1432;
/// Message size that every sender must accept (RFC 3417, 3.2.1).
const MIN_MESSAGE_SIZE: usize = 484;
/// Extra bytes that the length fields of a full message need compared with an empty one: five levels, two
/// bytes each.
const LENGTH_OVERHEAD: usize = 10;
/// Maximum number of repetitions of a GetBulk that are processed; a datagram is full before that.
const MAX_REPETITIONS: u32 = 256;
/// Rate limit of reports: per second, and burst.
const REPORTS_PER_SECOND: f64 = 50.0;
const REPORT_BURST: f64 = 100.0;

/// Names of the counters sent in reports.
mod counter {
    pub const UNKNOWN_PDU_HANDLERS: &[u32] = &[1, 3, 6, 1, 6, 3, 11, 2, 1, 3, 0];
    pub const UNKNOWN_CONTEXTS: &[u32] = &[1, 3, 6, 1, 6, 3, 12, 1, 5, 0];
    pub const UNSUPPORTED_LEVELS: &[u32] = &[1, 3, 6, 1, 6, 3, 15, 1, 1, 1, 0];
    pub const NOT_IN_TIME_WINDOWS: &[u32] = &[1, 3, 6, 1, 6, 3, 15, 1, 1, 2, 0];
    pub const UNKNOWN_USER_NAMES: &[u32] = &[1, 3, 6, 1, 6, 3, 15, 1, 1, 3, 0];
    pub const UNKNOWN_ENGINE_IDS: &[u32] = &[1, 3, 6, 1, 6, 3, 15, 1, 1, 4, 0];
    pub const WRONG_DIGESTS: &[u32] = &[1, 3, 6, 1, 6, 3, 15, 1, 1, 5, 0];
    pub const DECRYPTION_ERRORS: &[u32] = &[1, 3, 6, 1, 6, 3, 15, 1, 1, 6, 0];
}

/// Answers requests; see the module documentation.
#[derive(Debug)]
pub struct Agent {
    engine: Engine,
    enterprise: u32,
    access: Access,
    /// The users' keys localised to this engine, in the order of `access.readers`.
    keys: Vec<Keys>,
    salt: u64,
    stats: Stats,
    /// Reports that may still be sent, and when that was computed.
    reports: (f64, Micros),
}

impl std::fmt::Debug for Keys {
    /// Omits the keys, so that they cannot reach a log.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Keys({:?})", self.level())
    }
}

/// Why an SNMPv3 message is not processed: the counter and its value for the report.
struct ReportCause {
    counter: &'static [u32],
    value: u32,
    /// User and keys that authenticate the report; most reports are not authenticated.
    authenticated_by: Option<(Vec<u8>, Keys)>,
}

/// Processes a PDU after access control.
pub(crate) trait Serve {
    /// Whether PDUs of this kind are processed.
    fn handles(&self, kind: Kind) -> bool;

    /// Whether the context engine `engine` is served; `mine` is this agent's own engine.
    fn serves_engine(&self, engine: &[u8], mine: &[u8]) -> bool;

    /// Returns the response, with bindings of at most `space` bytes; `None` if the PDU is not confirmed.
    fn respond(&mut self, incoming: &Pdu, view: &View, space: usize) -> Option<Pdu>;
}

/// Serves the objects of a tree.
struct Objects<'a> {
    enterprise: u32,
    tree: &'a Tree,
}

impl Serve for Objects<'_> {
    fn handles(&self, kind: Kind) -> bool {
        matches!(kind, Kind::Get | Kind::GetNext | Kind::GetBulk | Kind::Set)
    }

    fn serves_engine(&self, engine: &[u8], mine: &[u8]) -> bool {
        engine == mine
    }

    fn respond(&mut self, incoming: &Pdu, view: &View, space: usize) -> Option<Pdu> {
        Some(respond(self.enterprise, incoming, view, self.tree, space))
    }
}

impl Agent {
    /// Creates an agent for the communities and users in `access`. Initialisation vectors start from `salt`,
    /// which must differ at each start (RFC 3826, 3.1.2.1).
    pub fn new(now: Micros, engine: Engine, enterprise: u32, access: Access, salt: u64) -> Agent {
        let keys = access.readers.iter().map(|r| r.user.at(&engine.id)).collect();
        let stats = Stats::default();
        Agent { engine, enterprise, access, keys, salt, stats, reports: (REPORT_BURST, now) }
    }

    /// The agent's counters.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// The agent's engine.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// Processes a datagram and returns the response, if any.
    pub fn answer(&mut self, now: Micros, from: IpAddr, datagram: &[u8], tree: &Tree) -> Option<Vec<u8>> {
        let enterprise = self.enterprise;
        self.process(now, from, datagram, &mut Objects { enterprise, tree })
    }

    /// Processes a datagram, passing its PDU to `serve` after access control.
    pub(crate) fn process(
        &mut self,
        now: Micros,
        from: IpAddr,
        datagram: &[u8],
        serve: &mut dyn Serve,
    ) -> Option<Vec<u8>> {
        increment(&mut self.stats.in_packets);
        let version = reader::check(datagram).and_then(|()| reader::version(datagram));
        match version {
            Ok(1) => self.process_v2c(from, datagram, serve),
            Ok(3) => self.process_v3(now, datagram, serve),
            Ok(_) => {
                increment(&mut self.stats.bad_versions);
                None
            }
            Err(_) => {
                increment(&mut self.stats.parse_errors);
                None
            }
        }
    }

    fn process_v2c(&mut self, from: IpAddr, datagram: &[u8], serve: &mut dyn Serve) -> Option<Vec<u8>> {
        let Ok(incoming) = Community::read(datagram) else {
            increment(&mut self.stats.parse_errors);
            return None;
        };
        let view = match self.access.community(&incoming.community, from) {
            Admitted::View(view) => view,
            Admitted::Unknown | Admitted::WrongSource => {
                increment(&mut self.stats.bad_community_names);
                return None;
            }
        };
        if !serve.handles(incoming.pdu.kind) {
            increment(&mut self.stats.unknown_pdu_handlers);
            return None;
        }
        if incoming.pdu.kind == Kind::Set {
            increment(&mut self.stats.bad_community_uses);
        }
        let community = incoming.community;
        let wrap = |pdu| Community { community: community.clone(), pdu }.bytes();
        let space = space(MAX_RESPONSE, wrap(empty_response(&incoming.pdu)).len());
        let out = wrap(serve.respond(&incoming.pdu, view, space)?);
        if out.len() > MAX_RESPONSE {
            increment(&mut self.stats.silent_drops);
            return None;
        }
        Some(out)
    }

    fn process_v3(&mut self, now: Micros, datagram: &[u8], serve: &mut dyn Serve) -> Option<Vec<u8>> {
        let incoming = match Secured::read(datagram) {
            Ok(incoming) => incoming,
            Err(error) if error == message::INVALID_FLAGS => {
                increment(&mut self.stats.invalid_messages);
                return None;
            }
            Err(_) => {
                increment(&mut self.stats.parse_errors);
                return None;
            }
        };
        if incoming.header.model != message::USM {
            increment(&mut self.stats.unknown_security_models);
            return None;
        }
        let user = match self.admit(now, datagram, &incoming) {
            Ok(user) => user,
            Err(cause) => return self.report(now, &incoming, None, cause),
        };
        let keys = self.keys.get(user)?.clone();
        let scoped = match self.decrypt_scoped(&incoming, &keys) {
            Ok(scoped) => scoped?,
            Err(cause) => return self.report(now, &incoming, None, cause),
        };
        let refuse = |counter, value| ReportCause { counter, value, authenticated_by: None };
        let pdu = &scoped.pdu;
        if !serve.handles(pdu.kind) || !serve.serves_engine(&scoped.engine, &self.engine.id) {
            increment(&mut self.stats.unknown_pdu_handlers);
            let cause = refuse(counter::UNKNOWN_PDU_HANDLERS, self.stats.unknown_pdu_handlers);
            return self.report(now, &incoming, Some(pdu), cause);
        }
        if !scoped.context.is_empty() {
            increment(&mut self.stats.unknown_contexts);
            let cause = refuse(counter::UNKNOWN_CONTEXTS, self.stats.unknown_contexts);
            return self.report(now, &incoming, Some(pdu), cause);
        }
        let max_size = (incoming.header.max_size as usize).clamp(MIN_MESSAGE_SIZE, MAX_RESPONSE);
        let size = self.seal(now, &incoming, &keys, empty_response(pdu)).len();
        let reader = self.access.readers.get(user)?;
        let pdu = serve.respond(pdu, &reader.view, space(max_size, size))?;
        self.salt = self.salt.wrapping_add(1);
        let out = self.seal(now, &incoming, &keys, pdu);
        if out.len() > max_size {
            increment(&mut self.stats.silent_drops);
            return None;
        }
        Some(out)
    }

    /// Authenticates the sender and returns the index of the user: RFC 3414, 3.2, steps 3 to 7, in that
    /// order.
    fn admit(&mut self, now: Micros, datagram: &[u8], incoming: &Secured) -> Result<usize, ReportCause> {
        let refuse = |counter, value: &mut u32| {
            increment(value);
            Err(ReportCause { counter, value: *value, authenticated_by: None })
        };
        let (security, stats) = (&incoming.security, &mut self.stats);
        if security.engine != self.engine.id {
            return refuse(counter::UNKNOWN_ENGINE_IDS, &mut stats.unknown_engine_ids);
        }
        let Some((at, reader)) = self.access.reader(&security.user) else {
            return refuse(counter::UNKNOWN_USER_NAMES, &mut stats.unknown_user_names);
        };
        let flags = incoming.header.flags;
        let level = Level::of(flags);
        let encrypted = matches!(incoming.data, Data::Encrypted(_));
        let keys = self.keys.get(at).filter(|_| level == reader.user.level() && encrypted == flags.privacy);
        let Some(keys) = keys else {
            return refuse(counter::UNSUPPORTED_LEVELS, &mut stats.unsupported_levels);
        };
        if level == Level::Open {
            return Ok(at);
        }
        if !reader::digest(datagram).is_ok_and(|digest| keys.verify(datagram, digest)) {
            return refuse(counter::WRONG_DIGESTS, &mut stats.wrong_digests);
        }
        if !self.engine.in_time(now, security.boots, security.time) {
            increment(&mut stats.not_in_time_windows);
            // The only report that is authenticated: it lets a manager synchronize its clock (RFC 3414, 3.2,
            // 7a).
            let authenticated_by = Some((security.user.clone(), keys.without_privacy()));
            let (counter, value) = (counter::NOT_IN_TIME_WINDOWS, stats.not_in_time_windows);
            return Err(ReportCause { counter, value, authenticated_by });
        }
        Ok(at)
    }

    /// Decrypts the scoped PDU. An encrypted PDU that cannot be decoded was encrypted with another key.
    fn decrypt_scoped(&mut self, incoming: &Secured, keys: &Keys) -> Result<Option<Scoped>, ReportCause> {
        let Data::Encrypted(bytes) = &incoming.data else {
            let Data::Plain(scoped) = &incoming.data else { return Ok(None) };
            return Ok(Some(scoped.clone()));
        };
        let mut bytes = bytes.clone();
        let clock = (incoming.security.boots, incoming.security.time);
        let scoped =
            Some(()).filter(|()| keys.decrypt(clock, &incoming.security.privacy, &mut bytes)).map(|()| bytes);
        match scoped.map(|bytes| Scoped::read(&bytes)) {
            Some(Ok(scoped)) => Ok(Some(scoped)),
            _ => {
                let errors = &mut self.stats.decryption_errors;
                increment(errors);
                Err(ReportCause {
                    counter: counter::DECRYPTION_ERRORS,
                    value: *errors,
                    authenticated_by: None,
                })
            }
        }
    }

    /// Encodes a response.
    fn seal(&self, now: Micros, incoming: &Secured, keys: &Keys, pdu: Pdu) -> Vec<u8> {
        let (boots, time) = self.engine.clock(now);
        let header = header(incoming.header.id);
        let scoped = Scoped { engine: self.engine.id.clone(), context: Vec::new(), pdu };
        usm::seal(header, (&self.engine.id, boots, time), &incoming.security.user, keys, scoped, self.salt)
    }

    /// Encodes the report on a message that is not processed, if it may be sent (RFC 3412, 7.1, 3).
    fn report(
        &mut self,
        now: Micros,
        incoming: &Secured,
        pdu: Option<&Pdu>,
        cause: ReportCause,
    ) -> Option<Vec<u8>> {
        let pdu = pdu.or(match &incoming.data {
            Data::Plain(scoped) => Some(&scoped.pdu),
            Data::Encrypted(_) => None,
        });
        if !incoming.header.flags.reportable || pdu.is_some_and(|p| !p.kind.confirmed()) {
            return None;
        }
        let (left, at) = self.reports;
        let left = (left + (now - at).max(0) as f64 / SECOND as f64 * REPORTS_PER_SECOND).min(REPORT_BURST);
        self.reports = (left, now);
        if left < 1.0 {
            increment(&mut self.stats.silent_drops);
            return None;
        }
        self.reports.0 -= 1.0;
        let binding = (Oid::new(cause.counter)?, Value::Counter(cause.value));
        let request = pdu.map_or(0, |p| p.request);
        let pdu = Pdu { kind: Kind::Report, request, status: 0, index: 0, bindings: vec![binding] };
        let scoped = Scoped { engine: self.engine.id.clone(), context: Vec::new(), pdu };
        let (boots, time) = self.engine.clock(now);
        let (user, keys) =
            cause.authenticated_by.unwrap_or((incoming.security.user.clone(), Keys::default()));
        Some(usm::seal(header(incoming.header.id), (&self.engine.id, boots, time), &user, &keys, scoped, 0))
    }
}

fn header(id: i32) -> Header {
    Header { id, max_size: MAX_DATAGRAM as u32, flags: Flags::default(), model: message::USM }
}

/// A response without bindings.
pub(crate) fn empty_response(incoming: &Pdu) -> Pdu {
    Pdu {
        kind: Kind::Response,
        request: incoming.request,
        status: status::NONE,
        index: 0,
        bindings: Vec::new(),
    }
}

/// Bytes available for bindings in a message of at most `most` bytes that has `size` bytes without bindings.
fn space(max_size: usize, size: usize) -> usize {
    max_size.saturating_sub(size + LENGTH_OVERHEAD)
}

/// Builds the response to a request, with bindings of at most `space` bytes (RFC 3416, 4.2).
fn respond(enterprise: u32, incoming: &Pdu, view: &View, tree: &Tree, space: usize) -> Pdu {
    let response = |status, index, bindings| Pdu { status, index, bindings, ..empty_response(incoming) };
    let bindings = match incoming.kind {
        Kind::Get => {
            let get = |(name, _): &(Oid, Value)| (name.clone(), get(enterprise, view, tree, name));
            incoming.bindings.iter().map(get).collect()
        }
        Kind::GetNext => incoming.bindings.iter().map(|(name, _)| next(view, tree, name)).collect(),
        Kind::GetBulk => match bulk(incoming, view, tree, space) {
            Some(bindings) => bindings,
            None => return response(status::TOO_BIG, 0, Vec::new()),
        },
        Kind::Set => {
            let first = u32::from(!incoming.bindings.is_empty());
            let status = if first > 0 { status::NO_ACCESS } else { status::NONE };
            let size = incoming.bindings.iter().map(|(n, v)| message::binding_len(n, v)).sum::<usize>();
            // The response repeats the bindings of the request if they fit.
            let bindings = if size > space { Vec::new() } else { incoming.bindings.clone() };
            return response(status, first, bindings);
        }
        _ => return response(status::GENERAL, 0, Vec::new()),
    };
    let size: usize = bindings.iter().map(|(n, v)| message::binding_len(n, v)).sum();
    match size > space {
        true => response(status::TOO_BIG, 0, Vec::new()),
        false => response(status::NONE, 0, bindings),
    }
}

fn get(enterprise: u32, view: &View, tree: &Tree, name: &Oid) -> Value {
    match tree.get(name).filter(|_| view.contains(name)) {
        Some(value) => value.clone(),
        None if view.contains(name) && tree.has_object(enterprise, name) => Value::NoSuchInstance,
        None => Value::NoSuchObject,
    }
}

fn next(view: &View, tree: &Tree, name: &Oid) -> (Oid, Value) {
    view.next(tree, name).cloned().unwrap_or_else(|| (name.clone(), Value::EndOfMibView))
}

/// As many bindings as fit; `None` if not even the first one fits.
fn bulk(incoming: &Pdu, view: &View, tree: &Tree, space: usize) -> Option<Vec<(Oid, Value)>> {
    let (mut out, mut left) = (Vec::new(), space);
    let mut push = |out: &mut Vec<_>, binding: (Oid, Value)| {
        let size = message::binding_len(&binding.0, &binding.1);
        let fits = size <= left;
        if fits {
            left -= size;
            out.push(binding);
        }
        fits
    };
    let non_repeaters = (incoming.status as usize).min(incoming.bindings.len());
    let (non_repeaters, repeated) = incoming.bindings.split_at(non_repeaters);
    for (name, _) in non_repeaters {
        if !push(&mut out, next(view, tree, name)) {
            return Some(out).filter(|out| !out.is_empty());
        }
    }
    let mut names: Vec<Oid> = repeated.iter().map(|(name, _)| name.clone()).collect();
    for _ in 0..incoming.index.min(MAX_REPETITIONS) {
        let mut more = false;
        for name in &mut names {
            let binding = next(view, tree, name);
            more |= binding.1 != Value::EndOfMibView;
            name.clone_from(&binding.0);
            if !push(&mut out, binding) {
                return Some(out).filter(|out| !out.is_empty());
            }
        }
        if !more {
            break;
        }
    }
    Some(out)
}
