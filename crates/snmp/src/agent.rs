//! The agent: a request's datagram in, a response's out, or silence. It owns its counters, the keys of its
//! users and the budget of reports; the tree it answers from is handed in.
//!
//! What is answered, and with what:
//! - SNMPv1 is not spoken: counted as snmpInBadVersions, never answered.
//! - SNMPv2c with a community that is unknown, or known from elsewhere: counted, never answered.
//! - SNMPv3 that cannot be processed: the report that RFC 3414, 3.2, names, if it asks for reports and there is
//!   budget for one. A report is hardly longer than what brings it about.
//! - SET: noAccess (RFC 3416, 4.2.5: no view may be written). What is neither asked nor set is dropped.
//! - What does not fit the datagram: fewer repetitions of a GetBulk, else tooBig with no bindings (RFC 3416,
//!   4.2.1 to 4.2.3).

use crate::access::{Access, Admitted, View};
use crate::message::{self, status, Community, Data, Flags, Header, Kind, Pdu, Scoped, Secured};
use crate::reader::{self, MAX_DATAGRAM};
use crate::stats::{increment, Stats};
use crate::usm::{self, Engine, Keys, Level};
use crate::{Micros, Oid, Tree, Value, SECOND};
use std::net::IpAddr;

/// The longest response: one that no way of 1500 bytes breaks up, also in IPv6.
pub const MAX_RESPONSE: usize = 1432;
/// What a sender must be able to read (RFC 3417, 3.2.1).
const MIN_MESSAGE_SIZE: usize = 484;
/// What the lengths in a message take more than in an empty one: five levels, two bytes each.
const LENGTH_OVERHEAD: usize = 10;
/// Repetitions of a GetBulk that are looked at; the datagram is full before.
const MAX_REPETITIONS: u32 = 256;
/// Reports a second, and in a bunch.
const REPORTS_PER_SECOND: f64 = 50.0;
const REPORT_BURST: f64 = 100.0;

/// The names of the counters that reports tell.
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

/// See the file's comment.
#[derive(Debug)]
pub struct Agent {
    engine: Engine,
    enterprise: u32,
    access: Access,
    /// The users' keys at this engine, in the order of `access.readers`.
    keys: Vec<Keys>,
    salt: u64,
    stats: Stats,
    /// Reports that may be sent, and when that was worked out.
    reports: (f64, Micros),
}

impl std::fmt::Debug for Keys {
    /// Keys never get into a log.
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(f, "Keys({:?})", self.level())
    }
}

/// Why an SNMPv3 message is not processed: the counter that the report tells.
struct Refused {
    counter: &'static [u32],
    value: u32,
    /// Signed with these keys; most reports are not.
    signed: Option<(Vec<u8>, Keys)>,
}

/// What answers a PDU once it is clear who asks.
pub(crate) trait Serve {
    /// Whether it deals with PDUs of this kind.
    fn handles(&self, kind: Kind) -> bool;

    /// Whether it deals with objects of this context's engine; `mine` is the one that speaks.
    fn serves_engine(&self, engine: &[u8], mine: &[u8]) -> bool;

    /// The response, whose bindings may take so much room; none to what wants none.
    fn respond(&mut self, asked: &Pdu, view: &View, room: usize) -> Option<Pdu>;
}

/// The objects of a tree.
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

    fn respond(&mut self, asked: &Pdu, view: &View, room: usize) -> Option<Pdu> {
        Some(respond(self.enterprise, asked, view, self.tree, room))
    }
}

impl Agent {
    /// An agent for those whom `access` lets read. `salt` is where initialisation vectors begin: another one at
    /// each start (RFC 3826, 3.1.2.1).
    pub fn new(now: Micros, engine: Engine, enterprise: u32, access: Access, salt: u64) -> Agent {
        let keys = access.readers.iter().map(|r| r.user.at(&engine.id)).collect();
        let stats = Stats::default();
        Agent { engine, enterprise, access, keys, salt, stats, reports: (REPORT_BURST, now) }
    }

    /// What it has counted.
    pub fn stats(&self) -> Stats {
        self.stats
    }

    /// Which engine it is.
    pub fn engine(&self) -> &Engine {
        &self.engine
    }

    /// The response to a datagram, if it gets one.
    pub fn answer(&mut self, now: Micros, from: IpAddr, datagram: &[u8], tree: &Tree) -> Option<Vec<u8>> {
        let enterprise = self.enterprise;
        self.process(now, from, datagram, &mut Objects { enterprise, tree })
    }

    /// Hands what a datagram asks, once it is clear who asks, to `serve`.
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
            Ok(1) => self.community(from, datagram, serve),
            Ok(3) => self.secured(now, datagram, serve),
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

    fn community(&mut self, from: IpAddr, datagram: &[u8], serve: &mut dyn Serve) -> Option<Vec<u8>> {
        let Ok(asked) = Community::read(datagram) else {
            increment(&mut self.stats.parse_errors);
            return None;
        };
        let view = match self.access.community(&asked.community, from) {
            Admitted::View(view) => view,
            Admitted::Unknown | Admitted::WrongSource => {
                increment(&mut self.stats.bad_community_names);
                return None;
            }
        };
        if !serve.handles(asked.pdu.kind) {
            increment(&mut self.stats.unknown_pdu_handlers);
            return None;
        }
        if asked.pdu.kind == Kind::Set {
            increment(&mut self.stats.bad_community_uses);
        }
        let community = asked.community;
        let wrap = |pdu| Community { community: community.clone(), pdu }.bytes();
        let room = room(MAX_RESPONSE, wrap(empty(&asked.pdu)).len());
        let out = wrap(serve.respond(&asked.pdu, view, room)?);
        if out.len() > MAX_RESPONSE {
            increment(&mut self.stats.silent_drops);
            return None;
        }
        Some(out)
    }

    fn secured(&mut self, now: Micros, datagram: &[u8], serve: &mut dyn Serve) -> Option<Vec<u8>> {
        let asked = match Secured::read(datagram) {
            Ok(asked) => asked,
            Err(what) if what == message::FLAGS => {
                increment(&mut self.stats.invalid_messages);
                return None;
            }
            Err(_) => {
                increment(&mut self.stats.parse_errors);
                return None;
            }
        };
        if asked.header.model != message::USM {
            increment(&mut self.stats.unknown_security_models);
            return None;
        }
        let user = match self.admit(now, datagram, &asked) {
            Ok(user) => user,
            Err(refused) => return self.report(now, &asked, None, refused),
        };
        let keys = self.keys.get(user)?.clone();
        let scoped = match self.unseal(&asked, &keys) {
            Ok(scoped) => scoped?,
            Err(refused) => return self.report(now, &asked, None, refused),
        };
        let refuse = |counter, value| Refused { counter, value, signed: None };
        let pdu = &scoped.pdu;
        if !serve.handles(pdu.kind) || !serve.serves_engine(&scoped.engine, &self.engine.id) {
            increment(&mut self.stats.unknown_pdu_handlers);
            let refused = refuse(counter::UNKNOWN_PDU_HANDLERS, self.stats.unknown_pdu_handlers);
            return self.report(now, &asked, Some(pdu), refused);
        }
        if !scoped.context.is_empty() {
            increment(&mut self.stats.unknown_contexts);
            let refused = refuse(counter::UNKNOWN_CONTEXTS, self.stats.unknown_contexts);
            return self.report(now, &asked, Some(pdu), refused);
        }
        let most = (asked.header.max_size as usize).clamp(MIN_MESSAGE_SIZE, MAX_RESPONSE);
        let size = self.seal(now, &asked, &keys, empty(pdu)).len();
        let reader = self.access.readers.get(user)?;
        let pdu = serve.respond(pdu, &reader.view, room(most, size))?;
        self.salt = self.salt.wrapping_add(1);
        let out = self.seal(now, &asked, &keys, pdu);
        if out.len() > most {
            increment(&mut self.stats.silent_drops);
            return None;
        }
        Some(out)
    }

    /// Who asks: RFC 3414, 3.2, steps 3 to 7, in their order.
    fn admit(&mut self, now: Micros, datagram: &[u8], asked: &Secured) -> Result<usize, Refused> {
        let refuse = |counter, value: &mut u32| {
            increment(value);
            Err(Refused { counter, value: *value, signed: None })
        };
        let (security, stats) = (&asked.security, &mut self.stats);
        if security.engine != self.engine.id {
            return refuse(counter::UNKNOWN_ENGINE_IDS, &mut stats.unknown_engine_ids);
        }
        let Some((at, reader)) = self.access.reader(&security.user) else {
            return refuse(counter::UNKNOWN_USER_NAMES, &mut stats.unknown_user_names);
        };
        let flags = asked.header.flags;
        let level = Level::of(flags);
        let encrypted = matches!(asked.data, Data::Encrypted(_));
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
            // The one report that is signed: it brings a manager up to date (RFC 3414, 3.2, 7a).
            let signed = Some((security.user.clone(), keys.without_privacy()));
            let (counter, value) = (counter::NOT_IN_TIME_WINDOWS, stats.not_in_time_windows);
            return Err(Refused { counter, value, signed });
        }
        Ok(at)
    }

    /// What is asked, decrypted. What cannot be read is dropped if it came in the clear; where it was encrypted
    /// the key was another one.
    fn unseal(&mut self, asked: &Secured, keys: &Keys) -> Result<Option<Scoped>, Refused> {
        let Data::Encrypted(bytes) = &asked.data else {
            let Data::Plain(scoped) = &asked.data else { return Ok(None) };
            return Ok(Some(scoped.clone()));
        };
        let mut bytes = bytes.clone();
        let clock = (asked.security.boots, asked.security.time);
        let scoped =
            Some(()).filter(|()| keys.decrypt(clock, &asked.security.privacy, &mut bytes)).map(|()| bytes);
        match scoped.map(|bytes| Scoped::read(&bytes)) {
            Some(Ok(scoped)) => Ok(Some(scoped)),
            _ => {
                let errors = &mut self.stats.decryption_errors;
                increment(errors);
                Err(Refused { counter: counter::DECRYPTION_ERRORS, value: *errors, signed: None })
            }
        }
    }

    /// A response as it goes out.
    fn seal(&self, now: Micros, asked: &Secured, keys: &Keys, pdu: Pdu) -> Vec<u8> {
        let (boots, time) = self.engine.clock(now);
        let header = header(asked.header.id);
        let scoped = Scoped { engine: self.engine.id.clone(), context: Vec::new(), pdu };
        usm::seal(header, (&self.engine.id, boots, time), &asked.security.user, keys, scoped, self.salt)
    }

    /// The report of a message that is not processed, if it wants one (RFC 3412, 7.1, 3).
    fn report(
        &mut self,
        now: Micros,
        asked: &Secured,
        pdu: Option<&Pdu>,
        refused: Refused,
    ) -> Option<Vec<u8>> {
        let pdu = pdu.or(match &asked.data {
            Data::Plain(scoped) => Some(&scoped.pdu),
            Data::Encrypted(_) => None,
        });
        if !asked.header.flags.reportable || pdu.is_some_and(|p| !p.kind.confirmed()) {
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
        let binding = (Oid::new(refused.counter)?, Value::Counter(refused.value));
        let request = pdu.map_or(0, |p| p.request);
        let pdu = Pdu { kind: Kind::Report, request, status: 0, index: 0, bindings: vec![binding] };
        let scoped = Scoped { engine: self.engine.id.clone(), context: Vec::new(), pdu };
        let (boots, time) = self.engine.clock(now);
        let (user, keys) = refused.signed.unwrap_or((asked.security.user.clone(), Keys::default()));
        Some(usm::seal(header(asked.header.id), (&self.engine.id, boots, time), &user, &keys, scoped, 0))
    }
}

fn header(id: i32) -> Header {
    Header { id, max_size: MAX_DATAGRAM as u32, flags: Flags::default(), model: message::USM }
}

/// A response without bindings.
pub(crate) fn empty(asked: &Pdu) -> Pdu {
    Pdu { kind: Kind::Response, request: asked.request, status: status::NONE, index: 0, bindings: Vec::new() }
}

/// The bytes that bindings may take in a message of `most` that takes `size` without any.
fn room(most: usize, size: usize) -> usize {
    most.saturating_sub(size + LENGTH_OVERHEAD)
}

/// The response to what is asked, in a room of so many bytes (RFC 3416, 4.2).
fn respond(enterprise: u32, asked: &Pdu, view: &View, tree: &Tree, room: usize) -> Pdu {
    let response = |status, index, bindings| Pdu { status, index, bindings, ..empty(asked) };
    let bindings = match asked.kind {
        Kind::Get => {
            let get = |(name, _): &(Oid, Value)| (name.clone(), get(enterprise, view, tree, name));
            asked.bindings.iter().map(get).collect()
        }
        Kind::GetNext => asked.bindings.iter().map(|(name, _)| next(view, tree, name)).collect(),
        Kind::GetBulk => match bulk(asked, view, tree, room) {
            Some(bindings) => bindings,
            None => return response(status::TOO_BIG, 0, Vec::new()),
        },
        Kind::Set => {
            let first = u32::from(!asked.bindings.is_empty());
            let status = if first > 0 { status::NO_ACCESS } else { status::NONE };
            let size = asked.bindings.iter().map(|(n, v)| message::binding_len(n, v)).sum::<usize>();
            // The bindings of the request come back with it, where they fit.
            let bindings = if size > room { Vec::new() } else { asked.bindings.clone() };
            return response(status, first, bindings);
        }
        _ => return response(status::GENERAL, 0, Vec::new()),
    };
    let size: usize = bindings.iter().map(|(n, v)| message::binding_len(n, v)).sum();
    match size > room {
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

/// As many bindings as fit, `None` where not even the first does.
fn bulk(asked: &Pdu, view: &View, tree: &Tree, room: usize) -> Option<Vec<(Oid, Value)>> {
    let (mut out, mut left) = (Vec::new(), room);
    let mut push = |out: &mut Vec<_>, one: (Oid, Value)| {
        let size = message::binding_len(&one.0, &one.1);
        let fits = size <= left;
        if fits {
            left -= size;
            out.push(one);
        }
        fits
    };
    let once = (asked.status as usize).min(asked.bindings.len());
    let (once, repeated) = asked.bindings.split_at(once);
    for (name, _) in once {
        if !push(&mut out, next(view, tree, name)) {
            return Some(out).filter(|out| !out.is_empty());
        }
    }
    let mut names: Vec<Oid> = repeated.iter().map(|(name, _)| name.clone()).collect();
    for _ in 0..asked.index.min(MAX_REPETITIONS) {
        let mut more = false;
        for name in &mut names {
            let one = next(view, tree, name);
            more |= one.1 != Value::EndOfMibView;
            name.clone_from(&one.0);
            if !push(&mut out, one) {
                return Some(out).filter(|out| !out.is_empty());
            }
        }
        if !more {
            break;
        }
    }
    Some(out)
}
