//! Connections to nodes as slots: who holds which, and when one is too many.
//!
//! The order of the tables differs from one process to the next, so what comes out of more than one node is put in
//! order first: the same inputs give the same effects.

use super::status::Size;
use super::{ConnectionId, UpstreamId};
use crate::codec::discovery::Listed;
use crate::id_map::IdMap;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a connection may idle. Open ones fill a node's table; a new one costs it a handshake.
const IDLE: Micros = 10_000_000;
/// Up to so many proxies one beside another of its node may idle as long. A node's table is shared by all: what more
/// proxies keep for their next peak there is divided by how many they are.
const SPARED: Micros = 10;
/// How long a request waits for one of its node's connections to get free before another is dialled, for each proxy
/// of the fleet, in us; half the dial time-out at the most. A handshake costs a busy node about as much as a request,
/// and a hundred proxies ask for many; a few proxies, whose requests are many, do not wait: that is less than a tick.
const BEFORE_DIAL: Micros = 1_200;
/// What a node sends behind an answer has come by then: a second answer may be some milliseconds late. It would be
/// taken for the answer to the next job. Two ticks of the shortest period in use, and more than the way takes.
const SETTLE: Micros = 10_000;
/// How long a connection waits for an answer that nobody wants, and how many do so at a node.
const LINGER: Micros = 1_500_000;
const LINGERING: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dialling,
    /// In its node's list of idle ones, by when it has settled.
    Idle(Micros),
    /// Up, and about to get a job or to idle.
    Between,
    Busy(UpstreamId),
    /// Its answer is awaited to be thrown away, till then.
    Lingering(Micros),
}

struct Slot {
    server: ServerId,
    address: SocketAddr,
    state: State,
    /// From then on nothing can follow that belongs to an earlier job: when it came up, or [`SETTLE`] after its node
    /// said something on it last.
    settled: Micros,
}

/// A place in the queue of those that wait for a connection; later ones are larger.
pub(super) type Turn = u64;

pub(super) struct Node {
    pub name: Rc<str>,
    pub address: SocketAddr,
    pub kind: KindId,
    pub phase: Phase,
    /// By when they have settled, the last that has first out.
    pub idle: Vec<(ConnectionId, Micros)>,
    pub dialling: usize,
    pub lingering: usize,
    /// Connections in all.
    held: usize,
    /// When it last answered or took a connection.
    pub heard: Micros,
    /// Upstream requests that wait for a connection, by their turn.
    pub waiting: BTreeMap<Turn, UpstreamId>,
}

impl Node {
    fn new(listed: &Listed) -> Self {
        Node {
            name: listed.name.clone(),
            address: listed.address,
            kind: listed.member.kind,
            phase: listed.member.phase,
            idle: Vec::new(),
            dialling: 0,
            lingering: 0,
            held: 0,
            heard: 0,
            waiting: BTreeMap::new(),
        }
    }
}

pub(super) struct Pool {
    pub nodes: IdMap<ServerId, Node>,
    slots: IdMap<ConnectionId, Slot>,
    /// All that idle, the longest first.
    idle: BTreeSet<(Micros, ConnectionId)>,
    last_turn: Turn,
    pub most: usize,
    idle_for: Micros,
    /// How long one beside another of its node may.
    spare_for: Micros,
    /// How long a request waits for a connection that is up.
    before_dial: Micros,
}

impl Pool {
    pub fn new(most: usize, settings: &Settings) -> Self {
        let proxies = Micros::from(settings.routers.max(1));
        // Well before the node's own limit: a request that crosses its closing would be a reset. A quarter of its
        // time is for the way, and two ticks: an answer may be noticed one late, and a job written one late. The node
        // counts from its last word, and this from when the connection has settled.
        let idle_for = IDLE.min(settings.keep_alive * 3 / 4 - 2 * settings.period - SETTLE).max(0);
        let spare_for = (idle_for * SPARED / proxies).min(idle_for);
        let (nodes, slots, idle) = (IdMap::default(), IdMap::default(), BTreeSet::new());
        let before_dial = (BEFORE_DIAL * proxies).min(settings.connect_timeout / 2);
        // Less than a tick is nothing that could be waited for.
        let before_dial = if before_dial < settings.period { 0 } else { before_dial };
        Pool { nodes, slots, idle, last_turn: 0, most, idle_for, spare_for, before_dial }
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// How many things each table holds.
    pub fn sizes(&self) -> [Size; 4] {
        [
            ("pool.nodes", self.nodes.len()),
            ("pool.connections", self.slots.len()),
            ("pool.idle", self.idle.len()),
            ("pool.waiting", self.nodes.values().map(|n| n.waiting.len()).sum()),
        ]
    }

    /// Connections by node, dialled ones included.
    pub fn held(&self) -> BTreeMap<ServerId, u32> {
        let mut held = BTreeMap::new();
        self.slots.values().for_each(|s| *held.entry(s.server).or_default() += 1);
        held
    }

    pub fn server(&self, c: ConnectionId) -> Option<ServerId> {
        self.slots.get(&c).map(|s| s.server)
    }

    pub fn carried(&self, c: ConnectionId) -> Option<UpstreamId> {
        match self.slots.get(&c)?.state {
            State::Busy(id) => Some(id),
            _ => None,
        }
    }

    pub fn is_dialling(&self, c: ConnectionId) -> bool {
        self.slots.get(&c).is_some_and(|s| s.state == State::Dialling)
    }

    /// Whether a connection has lingered for as long as it may. One that was used again meanwhile may linger anew.
    pub fn has_lingered(&self, c: ConnectionId, now: Micros) -> bool {
        self.slots.get(&c).is_some_and(|s| matches!(s.state, State::Lingering(until) if until <= now))
    }

    /// Takes out the idle connection that has settled last.
    pub fn take(&mut self, server: ServerId, now: Micros) -> Option<ConnectionId> {
        let idle = &self.nodes.get(&server)?.idle;
        let (c, _) = *idle.get(idle.partition_point(|(_, settled)| *settled <= now).checked_sub(1)?)?;
        self.change(c, Some(State::Between));
        Some(c)
    }

    /// The longest idle connection of a node, if that is too long to give it a job.
    pub fn aged(&self, server: ServerId, now: Micros) -> Option<ConnectionId> {
        let (c, since) = self.nodes.get(&server)?.idle.first()?;
        (now - since >= self.idle_for).then_some(*c)
    }

    pub fn is_settled(&self, c: ConnectionId, now: Micros) -> bool {
        self.slots.get(&c).is_some_and(|s| s.settled <= now)
    }

    /// Its node has said something on it: when it will have settled.
    pub fn answered(&mut self, c: ConnectionId, now: Micros) -> Micros {
        let settled = now + SETTLE;
        self.slots.entry(c).and_modify(|s| s.settled = settled);
        settled
    }

    /// Lets an upstream request wait for a connection: its turn; `None` where the node is not known.
    pub fn wait(&mut self, server: ServerId, id: UpstreamId) -> Option<Turn> {
        let node = self.nodes.get_mut(&server)?;
        self.last_turn += 1;
        node.waiting.insert(self.last_turn, id);
        Some(self.last_turn)
    }

    /// The first of those that wait, if more wait for a connection than are dialled.
    pub fn lacking(&self, server: ServerId) -> Option<UpstreamId> {
        let node = self.nodes.get(&server).filter(|n| n.waiting.len() > n.dialling)?;
        node.waiting.first_key_value().map(|(_, id)| *id)
    }

    pub fn is_ready(&self, server: ServerId) -> bool {
        self.nodes.get(&server).is_some_and(|n| n.phase == Phase::Ready)
    }

    /// How long to wait for a connection that is up before another is dialled. One that settles is free within
    /// milliseconds, which is less than a dial takes, and costs the node no handshake: one for each that waits.
    pub fn before_dial(&self, server: ServerId, now: Micros) -> Micros {
        let Some(n) = self.nodes.get(&server) else { return 0 };
        let up = if n.held > n.dialling + n.lingering { self.before_dial } else { 0 };
        let settling = n.idle.len() - n.idle.partition_point(|(_, settled)| *settled <= now);
        match n.idle.last().filter(|_| n.waiting.len() <= n.dialling + settling) {
            Some((_, settled)) => (settled - now).max(up),
            None => up,
        }
    }

    pub fn is_awaited(&self, server: ServerId) -> bool {
        self.nodes.get(&server).is_some_and(|n| !n.waiting.is_empty())
    }

    /// The upstream request whose turn it is waits no more.
    pub fn next_waiting(&mut self, server: ServerId) -> Option<UpstreamId> {
        Some(self.nodes.get_mut(&server)?.waiting.pop_first()?.1)
    }

    /// An upstream request waits no more, if it still did.
    pub fn wait_no_more(&mut self, server: ServerId, turn: Turn) {
        if let Some(node) = self.nodes.get_mut(&server) {
            node.waiting.remove(&turn);
        }
    }

    pub fn idle(&self, server: ServerId) -> Vec<ConnectionId> {
        self.nodes.get(&server).map_or_else(Vec::new, |n| n.idle.iter().map(|(c, _)| *c).collect())
    }

    /// An idle connection to close where there is no room for another.
    pub fn spare(&self) -> Option<ConnectionId> {
        let full = self.slots.len() >= self.most;
        self.idle.first().filter(|_| full).map(|(_, c)| *c)
    }

    /// Makes room for a connection to be dialled; `None` where there is none.
    pub fn dial(&mut self, server: ServerId, c: ConnectionId) -> Option<(SocketAddr, KindId)> {
        let node = self.nodes.get_mut(&server).filter(|_| self.slots.len() < self.most)?;
        node.dialling += 1;
        node.held += 1;
        let slot = Slot { server, address: node.address, state: State::Dialling, settled: 0 };
        self.slots.insert(c, slot);
        Some((node.address, node.kind))
    }

    /// Puts a slot into another state and keeps the node's counts right; the only place that does.
    fn change(&mut self, c: ConnectionId, to: Option<State>) -> Option<State> {
        let slot = self.slots.get_mut(&c)?;
        let from = slot.state;
        if let Some(node) = self.nodes.get_mut(&slot.server) {
            match from {
                State::Dialling => node.dialling -= 1,
                State::Lingering(_) => node.lingering -= 1,
                State::Idle(since) => {
                    let from = node.idle.partition_point(|(_, at)| *at < since);
                    if let Some(at) = node.idle.iter().skip(from).position(|(i, _)| *i == c) {
                        node.idle.remove(from + at);
                    }
                }
                State::Between | State::Busy(_) => {}
            }
            match to {
                Some(State::Lingering(_)) => node.lingering += 1,
                Some(State::Idle(since)) => {
                    let at = node.idle.partition_point(|(_, at)| *at <= since);
                    node.idle.insert(at, (c, since));
                }
                Some(_) => {}
                None => node.held = node.held.saturating_sub(1),
            }
        }
        if let State::Idle(since) = from {
            self.idle.remove(&(since, c));
        }
        if let Some(State::Idle(since)) = to {
            self.idle.insert((since, c));
        }
        match to {
            Some(state) => slot.state = state,
            None => drop(self.slots.remove(&c)),
        }
        Some(from)
    }

    /// A dialled connection is up.
    pub fn connected(&mut self, c: ConnectionId, now: Micros) -> Option<ServerId> {
        let server = self.change(c, Some(State::Between)).and(self.server(c))?;
        self.slots.entry(c).and_modify(|s| s.settled = now);
        self.heard(server, now);
        Some(server)
    }

    pub fn heard(&mut self, server: ServerId, now: Micros) {
        self.nodes.entry(server).and_modify(|n| n.heard = now);
    }

    /// Whether a node has given no sign of life for as long as a request is out.
    pub fn silent_since(&self, server: ServerId, sent: Micros) -> bool {
        self.nodes.get(&server).is_some_and(|n| n.heard <= sent)
    }

    pub fn busy(&mut self, c: ConnectionId, id: UpstreamId) {
        self.change(c, Some(State::Busy(id)));
    }

    /// Whether a connection's node is found elsewhere by now: what was dialled may be a process that is to end.
    pub fn leads_elsewhere(&self, c: ConnectionId) -> bool {
        let slot = self.slots.get(&c);
        slot.is_some_and(|s| self.nodes.get(&s.server).is_some_and(|n| n.address != s.address))
    }

    /// Lets a connection idle, unless its node is not ready or is found elsewhere by now, or its time would be
    /// over before it could carry another job.
    pub fn rest(&mut self, c: ConnectionId, now: Micros) -> bool {
        let Some(slot) = self.slots.get(&c) else { return false };
        let node = self.nodes.get(&slot.server);
        let (settled, young) = (slot.settled, slot.settled.max(now) - slot.settled < self.idle_for);
        let useful = young && node.is_some_and(|n| n.phase == Phase::Ready && n.address == slot.address);
        self.change(c, Some(if useful { State::Idle(settled) } else { State::Between }));
        useful
    }

    /// Whether a connection whose request was given up may wait for the answer, and till when.
    pub fn linger(&mut self, c: ConnectionId, now: Micros, allowed: bool) -> Option<Micros> {
        let node = self.slots.get(&c).and_then(|s| self.nodes.get(&s.server))?;
        if !allowed || node.lingering >= LINGERING || node.phase != Phase::Ready {
            return None;
        }
        self.change(c, Some(State::Lingering(now + LINGER)));
        Some(now + LINGER)
    }

    pub fn remove(&mut self, c: ConnectionId) -> bool {
        self.change(c, None).is_some()
    }

    /// Connections that have idled too long. Forgets nodes that are gone and hold nothing any more.
    pub fn stale(&mut self, now: Micros) -> Vec<ConnectionId> {
        self.nodes.retain(|_, n| n.phase != Phase::Gone || !n.waiting.is_empty() || n.held > 0);
        let node = |c: &ConnectionId| self.nodes.get(&self.slots.get(c)?.server);
        // The one used last is beside no other.
        let spare =
            |c: &ConnectionId| node(c).is_some_and(|n| n.idle.last().is_some_and(|(last, _)| last != c));
        let aged = self.idle.iter().take_while(|(since, _)| now - since >= self.spare_for);
        let stale = aged.filter(|(since, c)| now - since >= self.idle_for || spare(c));
        in_order(stale.map(|(_, c)| *c))
    }

    /// Takes a list over; the idle connections that it makes useless come back, to be closed.
    pub fn listed(&mut self, nodes: &[Listed], whole: bool) -> Vec<ConnectionId> {
        if whole {
            let named: HashSet<ServerId> = nodes.iter().map(|l| l.member.server).collect();
            let absent = self.nodes.iter_mut().filter(|(id, _)| !named.contains(id));
            absent.for_each(|(_, node)| node.phase = Phase::Gone);
        }
        for listed in nodes {
            let member = &listed.member;
            let node = self.nodes.entry(member.server).or_insert_with(|| Node::new(listed));
            (node.address, node.kind, node.phase) = (listed.address, member.kind, member.phase);
        }
        let useless = |c: &ConnectionId, n: &Node| {
            n.phase != Phase::Ready || self.slots.get(c).is_none_or(|s| s.address != n.address)
        };
        let idle = self.nodes.values().flat_map(|n| n.idle.iter().map(move |(c, _)| (*c, n)));
        in_order(idle.filter(|(c, n)| useless(c, n)).map(|(c, _)| c))
    }
}

fn in_order(connections: impl Iterator<Item = ConnectionId>) -> Vec<ConnectionId> {
    let mut connections: Vec<ConnectionId> = connections.collect();
    connections.sort_unstable();
    connections
}
