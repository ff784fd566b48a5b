//! A receiver of notifications, for the command line and for tests: traps and informs of SNMPv2c and SNMPv3,
//! each told once. An inform is acknowledged whenever it comes; one that was told already is not told again.

use crate::access::{Access, View};
use crate::agent::{empty, Agent, Serve};
use crate::message::{Data, Kind, Pdu, Scoped, Secured};
use crate::reader;
use crate::usm::{Engine, Level, TIME_WINDOW};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// Request-ids of informs that are remembered, and senders of SNMPv3 traps.
const MAX_REMEMBERED: usize = 256;
const MAX_SENDERS: usize = 64;

/// See the file's comment.
#[derive(Debug)]
pub struct Listener {
    agent: Agent,
    access: Access,
    delivered: VecDeque<(SocketAddr, i32)>,
    /// The latest boots and time that a sender's signed messages told.
    senders: BTreeMap<Vec<u8>, (u32, u32)>,
}

/// Takes what notifies, and keeps it.
#[derive(Default)]
struct Collector(Option<Pdu>);

impl Serve for Collector {
    fn handles(&self, kind: Kind) -> bool {
        matches!(kind, Kind::Trap | Kind::Inform)
    }

    fn serves_engine(&self, _engine: &[u8], _mine: &[u8]) -> bool {
        // An inform tells of its sender's objects.
        true
    }

    fn respond(&mut self, asked: &Pdu, _view: &View, _room: usize) -> Option<Pdu> {
        self.0 = Some(asked.clone());
        let confirmed = asked.kind.confirmed();
        // RFC 3416, 4.2.7: the response repeats what it was told.
        confirmed.then(|| Pdu { bindings: asked.bindings.clone(), ..empty(asked) })
    }
}

impl Listener {
    /// A listener that is this engine to the senders of informs.
    pub fn new(now: Micros, engine: Engine, access: Access, salt: u64) -> Listener {
        let agent = Agent::new(now, engine, crate::tree::ENTERPRISE, access.clone(), salt);
        Listener { agent, access, delivered: VecDeque::new(), senders: BTreeMap::new() }
    }

    /// Takes a datagram: what to send back, and what it told.
    pub fn receive(
        &mut self,
        now: Micros,
        from: SocketAddr,
        datagram: &[u8],
    ) -> (Option<Vec<u8>>, Option<Pdu>) {
        if let Some(pdu) = self.trap(datagram) {
            return (None, Some(pdu));
        }
        let mut collector = Collector::default();
        let back = self.agent.process(now, from.ip(), datagram, &mut collector);
        let delivered = collector.0.filter(|pdu| {
            let seen = pdu.kind == Kind::Inform && self.delivered.contains(&(from, pdu.request));
            if pdu.kind == Kind::Inform && !seen {
                self.delivered.push_back((from, pdu.request));
                self.delivered.drain(..self.delivered.len().saturating_sub(MAX_REMEMBERED));
            }
            !seen
        });
        (back, delivered)
    }

    /// A trap of SNMPv3, to which its sender is the authoritative engine.
    fn trap(&mut self, datagram: &[u8]) -> Option<Pdu> {
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
            // RFC 3414, 3.2, 7b: what is older than the latest is a replay.
            let is = (m.security.boots, m.security.time);
            let latest = self.senders.get(engine).copied().unwrap_or_default();
            if is.0 < latest.0 || (is.0 == latest.0 && is.1.saturating_add(TIME_WINDOW) < latest.1) {
                return None;
            }
            if self.senders.len() < MAX_SENDERS || self.senders.contains_key(engine) {
                self.senders.insert(engine.clone(), is.max(latest));
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
