//! A receiver of notifications for the command line and for tests: traps and informs of SNMPv2c and SNMPv3,
//! each delivered once. Every copy of an inform is acknowledged, but repeated copies are not delivered again.

use crate::access::{Access, View};
use crate::agent::{empty_response, Agent, Serve};
use crate::message::{Data, Kind, Pdu, Scoped, Secured};
use crate::reader;
use crate::usm::{Engine, Level, TIME_WINDOW};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Maximum number of request-ids of informs to remember, and of senders of SNMPv3 traps to track.
const MAX_REMEMBERED: usize = 256;
const MAX_SENDERS: usize = 64;

/// Receives notifications; see the module documentation.
#[derive(Debug)]
pub struct Listener {
    agent: Agent,
    access: Access,
    delivered: VecDeque<(SocketAddr, i32)>,
    /// Latest boots and time in an authenticated message, by the engine id of the sender.
    senders: BTreeMap<Vec<u8>, (u32, u32)>,
}

/// Accepts notifications and keeps the last one.
#[derive(Default)]
struct Collector(Option<Pdu>);

impl Serve for Collector {
    fn handles(&self, kind: Kind) -> bool {
        matches!(kind, Kind::Trap | Kind::Inform)
    }

    fn serves_engine(&self, _engine: &[u8], _mine: &[u8]) -> bool {
        // The context of an inform is its sender's engine, so any engine id is accepted.
        true
    }

    fn respond(&mut self, incoming: &Pdu, _view: &View, _space: usize) -> Option<Pdu> {
        self.0 = Some(incoming.clone());
        let confirmed = incoming.kind.confirmed();
        // RFC 3416, 4.2.7: the response repeats the bindings of the inform.
        confirmed.then(|| Pdu { bindings: incoming.bindings.clone(), ..empty_response(incoming) })
    }
}

impl Listener {
    /// A listener that is the engine `engine` to the senders of informs.
    pub fn new(now: Micros, engine: Engine, access: Access, salt: u64) -> Listener {
        let agent = Agent::new(now, engine, crate::tree::ENTERPRISE, access.clone(), salt);
        Listener { agent, access, delivered: VecDeque::new(), senders: BTreeMap::new() }
    }

    /// Processes a datagram. Returns the datagram to send back and the notification to deliver, if any.
    pub fn receive(
        &mut self,
        now: Micros,
        from: SocketAddr,
        datagram: &[u8],
    ) -> (Option<Vec<u8>>, Option<Pdu>) {
        if let Some(pdu) = self.decode_trap(datagram) {
            return (None, Some(pdu));
        }
        let mut collector = Collector::default();
        let reply = self.agent.process(now, from.ip(), datagram, &mut collector);
        let delivered = collector.0.filter(|pdu| {
            let seen = pdu.kind == Kind::Inform && self.delivered.contains(&(from, pdu.request));
            if pdu.kind == Kind::Inform && !seen {
                self.delivered.push_back((from, pdu.request));
                self.delivered.drain(..self.delivered.len().saturating_sub(MAX_REMEMBERED));
            }
            !seen
        });
        (reply, delivered)
    }

    /// Decodes a trap of SNMPv3, for which the sender is the authoritative engine.
    fn decode_trap(&mut self, datagram: &[u8]) -> Option<Pdu> {
        reader::check(datagram).ok()?;
        if reader::version(datagram) != Ok(3) {
            return None;
        }
        let m = Secured::read(datagram).ok()?;
        let engine = &m.security.engine;
        if m.header.flags.reportable || engine.is_empty() || *engine == self.agent.engine().id {
            return None;
        }
        let (_, reader) = self.access.reader(&m.security.user)?;
        let keys = reader.user.at(engine);
        let level = Level::of(m.header.flags);
        if level != reader.user.level() {
            return None;
        }
        if level > Level::Open {
            if !reader::digest(datagram).is_ok_and(|at| keys.verify(datagram, at)) {
                return None;
            }
            // RFC 3414, 3.2, 7b: a message older than the latest one is a replay.
            let current = (m.security.boots, m.security.time);
            let latest = self.senders.get(engine).copied().unwrap_or_default();
            if current.0 < latest.0
                || (current.0 == latest.0 && current.1.saturating_add(TIME_WINDOW) < latest.1)
            {
                return None;
            }
            if self.senders.len() < MAX_SENDERS || self.senders.contains_key(engine) {
                self.senders.insert(engine.clone(), current.max(latest));
            }
        }
        let scoped = match m.data {
            Data::Plain(scoped) => scoped,
            Data::Encrypted(mut bytes) => {
                let clock = (m.security.boots, m.security.time);
                let decrypted = keys.decrypt(clock, &m.security.privacy, &mut bytes);
                Scoped::read(Some(&bytes).filter(|_| decrypted)?).ok()?
            }
        };
        Some(scoped.pdu).filter(|pdu| pdu.kind == Kind::Trap)
    }
}
