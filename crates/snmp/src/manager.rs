//! The manager's side: encodes requests and decodes responses. Used by the small manager of the command line
//! and for informs, whose sender acts as a manager towards their receiver (RFC 3414, 1.5.1: the receiver is
//! authoritative).
//!
//! With SNMPv3, a session learns the id of the peer's engine from a report and its clock from an
//! authenticated report, as in RFC 3414, 4. Only an authenticated message sets the clock.

use crate::message::{self, Community, Data, Flags, Header, Kind, Pdu, Scoped, Secured};
use crate::reader::{self, MAX_DATAGRAM};
use crate::usm::{self, Keys, Level, User, TIME_WINDOW};
use crate::{Micros, Oid, Value, SECOND};

/// usmStatsUnknownEngineIDs and usmStatsNotInTimeWindows: counters of the reports that a session handles
/// itself.
const UNKNOWN_ENGINE_IDS: [u32; 11] = [1, 3, 6, 1, 6, 3, 15, 1, 1, 4, 0];
const NOT_IN_TIME_WINDOWS: [u32; 11] = [1, 3, 6, 1, 6, 3, 15, 1, 1, 2, 0];

/// Credentials of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Credentials {
    /// A community of SNMPv2c.
    Community(Vec<u8>),
    /// A user of SNMPv3.
    User(User),
}

/// State of the peer's engine.
#[derive(Clone, Debug)]
struct Peer {
    id: Vec<u8>,
    keys: Keys,
    /// Its boots and time, and the local time when they were received.
    clock: (u32, u32, Micros),
}

/// Result of processing a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Received {
    /// The response to the request.
    Response(Pdu),
    /// The session learnt the engine id or the clock of the peer; the request must be sent again.
    Retry,
    /// The peer refused the request with a report of this counter.
    Refused(Oid),
    /// The datagram does not belong to this request and is ignored.
    Ignored,
}

/// A session with one agent, or with one receiver of informs.
#[derive(Clone, Debug)]
pub struct Session {
    credentials: Credentials,
    /// The contextEngineID of requests, if it is not the peer's: an inform concerns its sender's objects.
    context: Option<Vec<u8>>,
    peer: Option<Peer>,
    message_id: i32,
    salt: u64,
}

impl Session {
    /// Creates a session. Message ids and initialisation vectors start from `seed`.
    pub fn new(credentials: Credentials, context: Option<Vec<u8>>, seed: u64) -> Session {
        Session { credentials, context, peer: None, message_id: (seed >> 33) as i32, salt: seed }
    }

    fn header(&self, reportable: bool) -> Header {
        let flags = Flags { reportable, ..Flags::default() };
        Header { id: self.message_id, max_size: MAX_DATAGRAM as u32, flags, model: message::USM }
    }

    /// Encodes a request. As long as the peer's engine is unknown, the datagram is a discovery request
    /// instead.
    pub fn request(&mut self, now: Micros, pdu: &Pdu) -> Vec<u8> {
        self.message_id = self.message_id.wrapping_add(1) & i32::MAX;
        self.salt = self.salt.wrapping_add(1);
        let user = match &self.credentials {
            Credentials::Community(name) => {
                return Community { community: name.clone(), pdu: pdu.clone() }.bytes();
            }
            Credentials::User(user) => user,
        };
        let Some(peer) = &self.peer else {
            let bindings = Vec::new();
            let pdu = Pdu { kind: Kind::Get, request: pdu.request, status: 0, index: 0, bindings };
            let scoped = Scoped { engine: Vec::new(), context: Vec::new(), pdu };
            return usm::seal(self.header(true), (&[], 0, 0), &[], &Keys::default(), scoped, 0);
        };
        let engine = self.context.clone().unwrap_or_else(|| peer.id.clone());
        let scoped = Scoped { engine, context: Vec::new(), pdu: pdu.clone() };
        let (boots, time, at) = peer.clock;
        let time = time.saturating_add(((now - at).max(0) / SECOND) as u32);
        let clock = (peer.id.as_slice(), boots, time);
        usm::seal(self.header(true), clock, &user.name, &peer.keys, scoped, self.salt)
    }

    /// Processes a datagram received in reply to the request with request-id `request`.
    pub fn receive(&mut self, now: Micros, request: i32, datagram: &[u8]) -> Received {
        let version = reader::check(datagram).and_then(|()| reader::version(datagram));
        match (&self.credentials, version) {
            (Credentials::Community(name), Ok(1)) => match Community::read(datagram) {
                Ok(m) if m.community == *name && m.pdu.kind == Kind::Response && m.pdu.request == request => {
                    Received::Response(m.pdu)
                }
                _ => Received::Ignored,
            },
            (Credentials::User(_), Ok(3)) => {
                self.receive_v3(now, request, datagram).unwrap_or(Received::Ignored)
            }
            _ => Received::Ignored,
        }
    }

    fn receive_v3(&mut self, now: Micros, request: i32, datagram: &[u8]) -> Option<Received> {
        let Credentials::User(user) = &self.credentials else { return None };
        let m = Secured::read(datagram).ok().filter(|m| m.header.id == self.message_id)?;
        let level = Level::of(m.header.flags);
        let Some(peer) = self.peer.as_mut().filter(|p| p.id == m.security.engine) else {
            // A report from an engine that is not known yet, or that replaced the known one.
            let report = report_counter(&m).filter(|counter| counter.arcs() == UNKNOWN_ENGINE_IDS);
            report.filter(|_| (5..=32).contains(&m.security.engine.len()))?;
            let keys = user.at(&m.security.engine);
            self.peer = Some(Peer { id: m.security.engine, keys, clock: (0, 0, now) });
            return Some(Received::Retry);
        };
        let authenticated = level > Level::Open;
        if authenticated {
            if !reader::digest(datagram).is_ok_and(|at| peer.keys.verify(datagram, at)) {
                return None;
            }
            // RFC 3414, 3.2, 7b: a message older than an earlier one is a replay.
            let (boots, time, at) = peer.clock;
            let peer_time = u64::from(time) + ((now - at).max(0) / SECOND) as u64;
            let (b, t) = (m.security.boots, m.security.time);
            if b < boots || (b == boots && u64::from(t) + u64::from(TIME_WINDOW) < peer_time) {
                return None;
            }
            if b > boots || (b == boots && t > time) {
                peer.clock = (b, t, now);
            }
        }
        let scoped = match m.data {
            Data::Plain(scoped) => scoped,
            Data::Encrypted(mut bytes) => {
                let clock = (m.security.boots, m.security.time);
                if !peer.keys.decrypt(clock, &m.security.privacy, &mut bytes) {
                    return None;
                }
                Scoped::read(&bytes).ok()?
            }
        };
        match scoped.pdu.kind {
            Kind::Report => {
                let (counter, _) = scoped.pdu.bindings.first()?;
                match counter.arcs() == NOT_IN_TIME_WINDOWS {
                    true if authenticated => Some(Received::Retry),
                    // Anyone could forge this report, and would keep the request from ever being answered.
                    true => None,
                    false => Some(Received::Refused(counter.clone())),
                }
            }
            // A response must have the security level of its request.
            Kind::Response if level == user.level() && scoped.pdu.request == request => {
                Some(Received::Response(scoped.pdu))
            }
            _ => None,
        }
    }
}

/// The counter in an unencrypted report.
fn report_counter(m: &Secured) -> Option<Oid> {
    let Data::Plain(scoped) = &m.data else { return None };
    let report = Some(&scoped.pdu).filter(|p| p.kind == Kind::Report)?;
    report.bindings.first().map(|(name, _)| name.clone())
}

/// A walk over a subtree: the next request and the instances received. An agent whose names do not increase,
/// as RFC 3416, 4.2.2, requires, ends the walk with an error instead of keeping it running forever.
#[derive(Clone, Debug)]
pub struct Walk {
    root: Oid,
    last: Oid,
    repetitions: u32,
    over: bool,
}

/// Why a walk ended before the end of its subtree.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WalkError {
    /// The response has this error-status.
    Status(u32),
    /// This name does not come after the one before it.
    OutOfOrder(Oid),
}

impl Walk {
    /// A walk over the subtree of `root`, requesting `repetitions` instances at a time.
    pub fn new(root: Oid, repetitions: u32) -> Walk {
        Walk { last: root.clone(), root, repetitions, over: false }
    }

    /// The next request; `None` at the end of the subtree.
    pub fn next(&self, request: i32) -> Option<Pdu> {
        let bindings = vec![(self.last.clone(), Value::Unspecified)];
        let bulk = Pdu { kind: Kind::GetBulk, request, status: 0, index: self.repetitions, bindings };
        (!self.over).then_some(bulk)
    }

    /// Processes a response and returns the instances in it that belong to the walk.
    pub fn take(&mut self, response: Pdu) -> Result<Vec<(Oid, Value)>, WalkError> {
        if response.status != 0 {
            return Err(WalkError::Status(response.status));
        }
        let mut out = Vec::new();
        self.over = response.bindings.is_empty();
        for (name, value) in response.bindings {
            if value == Value::EndOfMibView || !name.is_under(&self.root) {
                self.over = true;
                break;
            }
            if name <= self.last {
                return Err(WalkError::OutOfOrder(name));
            }
            self.last.clone_from(&name);
            out.push((name, value));
        }
        Ok(out)
    }
}
