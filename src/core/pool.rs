//! The pool of connections to nodes: which request holds which slot, and which connections are surplus.
//!
//! The iteration order of the maps differs between processes, so anything collected across nodes is sorted:
//! the same inputs give the same effects.

use super::status::Size;
use super::{ConnectionId, UpstreamId};
use crate::codec::discovery::Listed;
use crate::id_map::IdMap;
use crate::interface::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a connection may idle. Open connections fill a node's connection table; a new one costs a
/// handshake.
const MAX_IDLE: Micros = 10_000_000;
/// In fleets of up to this many proxies, every idle connection of a node is kept that long. A node's
/// connection table is shared by all proxies: in larger fleets the idle time of all but the connection used
/// last shrinks in inverse proportion to the number of proxies.
const FULL_IDLE_PROXIES: Micros = 10;
/// How long a request waits for a busy connection of its node before another is dialled, for each proxy of
/// the fleet, in us; at most half the dial timeout. A handshake costs a busy node about as much as a request,
/// and a hundred proxies cause many. In a small fleet, with many requests per proxy, the wait is shorter than
/// a tick and is skipped.
const DIAL_DELAY_PER_PROXY: Micros = 1_200;
/// Anything a node sends after an answer has arrived by then: a duplicate answer may follow some milliseconds
/// later and would be taken for the answer to the next job. Two ticks of the shortest period in use, and more
/// than the network delay.
const SETTLE_TIME: Micros = 10_000;
/// How long a connection lingers for the answer to an abandoned request, and how many may do so per node.
const LINGER_TIME: Micros = 1_500_000;
const MAX_LINGERING: usize = 6;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Dialling,
    /// In its node's list of idle connections; holds the time when the connection has settled.
    Idle(Micros),
    /// Open, and about to be given a job or made idle.
    Unassigned,
    Busy(UpstreamId),
    /// Waits until the given time for an answer that is discarded.
    Lingering(Micros),
}

/// The process that a connection leads to. A process that starts at the address of an earlier one is another
/// process, whether or not it has another id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Process {
    address: SocketAddr,
    /// When it started, as discovery tells it; `None` means long ago.
    started: Option<Micros>,
}

impl Process {
    fn of(listed: &Listed) -> Self {
        Process { address: listed.address, started: listed.member.started }
    }
}

struct Slot {
    server: ServerId,
    process: Process,
    state: State,
    /// From this time on nothing that belongs to an earlier job can arrive: when the connection was
    /// established, or [`SETTLE_TIME`] after the node last sent something on it.
    settled: Micros,
}

/// A position in the queue for a connection; later requests have larger ones.
pub(super) type Turn = u64;

pub(super) struct Node {
    pub name: Rc<str>,
    process: Process,
    pub kind: KindId,
    pub phase: Phase,
    /// Idle connections sorted by when they have settled; the last one is used first.
    pub idle: Vec<(ConnectionId, Micros)>,
    pub dialling: usize,
    pub lingering: usize,
    /// All connections, whatever their state.
    held: usize,
    /// When the node last answered or accepted a connection.
    pub last_heard: Micros,
    /// Upstream requests waiting for a connection, by queue position.
    pub waiting: BTreeMap<Turn, UpstreamId>,
}

impl Node {
    fn new(listed: &Listed) -> Self {
        Node {
            name: listed.name.clone(),
            process: Process::of(listed),
            kind: listed.member.kind,
            phase: listed.member.phase,
            idle: Vec::new(),
            dialling: 0,
            lingering: 0,
            held: 0,
            last_heard: 0,
            waiting: BTreeMap::new(),
        }
    }
}

pub(super) struct Pool {
    pub nodes: IdMap<ServerId, Node>,
    slots: IdMap<ConnectionId, Slot>,
    /// All idle connections, the longest idle first.
    idle: BTreeSet<(Micros, ConnectionId)>,
    last_turn: Turn,
    pub max_connections: usize,
    idle_for: Micros,
    /// How long a connection may idle if its node has another idle one.
    surplus_idle_for: Micros,
    /// How long a request waits for an open connection before another is dialled.
    dial_delay: Micros,
}

impl Pool {
    pub fn new(max_connections: usize, settings: &Settings) -> Self {
        let proxies = Micros::from(settings.routers.max(1));
        // Close well before the node's own idle limit: a request that crosses the node's closing would end in
        // a reset. A quarter of the limit is left for the network, and two ticks because an answer may be
        // noticed one tick late and a job written one tick late. The node counts from its last answer, the
        // pool from when the connection has settled.
        let idle_for = MAX_IDLE.min(settings.keep_alive * 3 / 4 - 2 * settings.period - SETTLE_TIME).max(0);
        let surplus_idle_for = (idle_for * FULL_IDLE_PROXIES / proxies).min(idle_for);
        let (nodes, slots, idle) = (IdMap::default(), IdMap::default(), BTreeSet::new());
        let dial_delay = (DIAL_DELAY_PER_PROXY * proxies).min(settings.connect_timeout / 2);
        // A wait shorter than a tick cannot be timed.
        let dial_delay = if dial_delay < settings.period { 0 } else { dial_delay };
        Pool { nodes, slots, idle, last_turn: 0, max_connections, idle_for, surplus_idle_for, dial_delay }
    }

    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// The number of entries in each table.
    pub fn sizes(&self) -> [Size; 4] {
        [
            ("pool.nodes", self.nodes.len()),
            ("pool.connections", self.slots.len()),
            ("pool.idle", self.idle.len()),
            ("pool.waiting", self.nodes.values().map(|n| n.waiting.len()).sum()),
        ]
    }

    /// Connections by node, including those being dialled.
    pub fn held(&self) -> BTreeMap<ServerId, u32> {
        let mut held = BTreeMap::new();
        self.slots.values().for_each(|s| *held.entry(s.server).or_default() += 1);
        held
    }

    pub fn server(&self, c: ConnectionId) -> Option<ServerId> {
        self.slots.get(&c).map(|s| s.server)
    }

    pub fn carried_request(&self, c: ConnectionId) -> Option<UpstreamId> {
        match self.slots.get(&c)?.state {
            State::Busy(id) => Some(id),
            _ => None,
        }
    }

    pub fn is_dialling(&self, c: ConnectionId) -> bool {
        self.slots.get(&c).is_some_and(|s| s.state == State::Dialling)
    }

    /// Whether a connection has lingered for its full time. A connection used again since then may linger
    /// once more.
    pub fn linger_ended(&self, c: ConnectionId, now: Micros) -> bool {
        self.slots.get(&c).is_some_and(|s| matches!(s.state, State::Lingering(until) if until <= now))
    }

    /// Takes the idle connection that has settled last.
    pub fn take(&mut self, server: ServerId, now: Micros) -> Option<ConnectionId> {
        let idle = &self.nodes.get(&server)?.idle;
        let (c, _) = *idle.get(idle.partition_point(|(_, settled)| *settled <= now).checked_sub(1)?)?;
        self.set_state(c, Some(State::Unassigned));
        Some(c)
    }

    /// The longest idle connection of a node, if it has idled too long to be given a job.
    pub fn too_old(&self, server: ServerId, now: Micros) -> Option<ConnectionId> {
        let (c, since) = self.nodes.get(&server)?.idle.first()?;
        (now - since >= self.idle_for).then_some(*c)
    }

    pub fn is_settled(&self, c: ConnectionId, now: Micros) -> bool {
        self.slots.get(&c).is_some_and(|s| s.settled <= now)
    }

    /// The node has sent something on the connection: returns when the connection will have settled.
    pub fn start_settling(&mut self, c: ConnectionId, now: Micros) -> Micros {
        let settled = now + SETTLE_TIME;
        self.slots.entry(c).and_modify(|s| s.settled = settled);
        settled
    }

    /// Queues an upstream request for a connection and returns its position; `None` if the node is not known.
    pub fn wait(&mut self, server: ServerId, id: UpstreamId) -> Option<Turn> {
        let node = self.nodes.get_mut(&server)?;
        self.last_turn += 1;
        node.waiting.insert(self.last_turn, id);
        Some(self.last_turn)
    }

    /// The first queued request, if more requests are queued than connections are being dialled.
    pub fn first_without_dial(&self, server: ServerId) -> Option<UpstreamId> {
        let node = self.nodes.get(&server).filter(|n| n.waiting.len() > n.dialling)?;
        node.waiting.first_key_value().map(|(_, id)| *id)
    }

    pub fn is_ready(&self, server: ServerId) -> bool {
        self.nodes.get(&server).is_some_and(|n| n.phase == Phase::Ready)
    }

    /// How long to wait for an open connection before another is dialled. A settling connection is free
    /// within milliseconds, sooner than a dial completes, and costs the node no handshake; each one serves
    /// one queued request.
    pub fn dial_delay(&self, server: ServerId, now: Micros) -> Micros {
        let Some(n) = self.nodes.get(&server) else { return 0 };
        let up = if n.held > n.dialling + n.lingering { self.dial_delay } else { 0 };
        let settling = n.idle.len() - n.idle.partition_point(|(_, settled)| *settled <= now);
        match n.idle.last().filter(|_| n.waiting.len() <= n.dialling + settling) {
            Some((_, settled)) => (settled - now).max(up),
            None => up,
        }
    }

    pub fn has_waiting(&self, server: ServerId) -> bool {
        self.nodes.get(&server).is_some_and(|n| !n.waiting.is_empty())
    }

    /// Removes and returns the next upstream request in the queue.
    pub fn take_waiting(&mut self, server: ServerId) -> Option<UpstreamId> {
        Some(self.nodes.get_mut(&server)?.waiting.pop_first()?.1)
    }

    /// Removes an upstream request from the queue if it is still there.
    pub fn stop_waiting(&mut self, server: ServerId, turn: Turn) {
        if let Some(node) = self.nodes.get_mut(&server) {
            node.waiting.remove(&turn);
        }
    }

    pub fn idle(&self, server: ServerId) -> Vec<ConnectionId> {
        self.nodes.get(&server).map_or_else(Vec::new, |n| n.idle.iter().map(|(c, _)| *c).collect())
    }

    /// An idle connection to close if the pool is full.
    pub fn evictable(&self) -> Option<ConnectionId> {
        let full = self.slots.len() >= self.max_connections;
        self.idle.first().filter(|_| full).map(|(_, c)| *c)
    }

    /// Adds a slot for a connection to be dialled; `None` if the pool is full or the node is not known.
    pub fn dial(&mut self, server: ServerId, c: ConnectionId) -> Option<(SocketAddr, KindId)> {
        let node = self.nodes.get_mut(&server).filter(|_| self.slots.len() < self.max_connections)?;
        node.dialling += 1;
        node.held += 1;
        let slot = Slot { server, process: node.process, state: State::Dialling, settled: 0 };
        self.slots.insert(c, slot);
        Some((node.process.address, node.kind))
    }

    /// Changes a slot's state, or removes the slot, and updates the node's counts. All state changes go
    /// through here.
    fn set_state(&mut self, c: ConnectionId, to: Option<State>) -> Option<State> {
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
                State::Unassigned | State::Busy(_) => {}
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

    /// A dialled connection has been established.
    pub fn connected(&mut self, c: ConnectionId, now: Micros) -> Option<ServerId> {
        let server = self.set_state(c, Some(State::Unassigned)).and(self.server(c))?;
        self.slots.entry(c).and_modify(|s| s.settled = now);
        self.mark_alive(server, now);
        Some(server)
    }

    pub fn mark_alive(&mut self, server: ServerId, now: Micros) {
        self.nodes.entry(server).and_modify(|n| n.last_heard = now);
    }

    /// Whether the node has sent nothing since a request was sent at `sent`.
    pub fn silent_during(&self, server: ServerId, sent: Micros) -> bool {
        self.nodes.get(&server).is_some_and(|n| n.last_heard <= sent)
    }

    pub fn busy(&mut self, c: ConnectionId, id: UpstreamId) {
        self.set_state(c, Some(State::Busy(id)));
    }

    /// Whether the node is another process than the one the connection was dialled to: that one has ended, or
    /// is about to.
    pub fn process_changed(&self, c: ConnectionId) -> bool {
        let slot = self.slots.get(&c);
        slot.is_some_and(|s| self.nodes.get(&s.server).is_some_and(|n| n.process != s.process))
    }

    /// Makes a connection idle, unless its node is not ready or is another process, or its idle time
    /// would be over before it could carry another job. Returns whether it is idle.
    pub fn make_idle(&mut self, c: ConnectionId, now: Micros) -> bool {
        let Some(slot) = self.slots.get(&c) else { return false };
        let node = self.nodes.get(&slot.server);
        let (settled, young) = (slot.settled, slot.settled.max(now) - slot.settled < self.idle_for);
        let useful = young && node.is_some_and(|n| n.phase == Phase::Ready && n.process == slot.process);
        self.set_state(c, Some(if useful { State::Idle(settled) } else { State::Unassigned }));
        useful
    }

    /// Lets a connection whose request was abandoned wait for the answer, if allowed; returns until when.
    pub fn linger(&mut self, c: ConnectionId, now: Micros, allowed: bool) -> Option<Micros> {
        let node = self.slots.get(&c).and_then(|s| self.nodes.get(&s.server))?;
        if !allowed || node.lingering >= MAX_LINGERING || node.phase != Phase::Ready {
            return None;
        }
        self.set_state(c, Some(State::Lingering(now + LINGER_TIME)));
        Some(now + LINGER_TIME)
    }

    pub fn remove(&mut self, c: ConnectionId) -> bool {
        self.set_state(c, None).is_some()
    }

    /// Returns the connections that have idled too long, and removes nodes that are gone and have no
    /// connections or queued requests left.
    pub fn idle_too_long(&mut self, now: Micros) -> Vec<ConnectionId> {
        self.nodes.retain(|_, n| n.phase != Phase::Gone || !n.waiting.is_empty() || n.held > 0);
        let node = |c: &ConnectionId| self.nodes.get(&self.slots.get(c)?.server);
        // The connection used last does not count as surplus.
        let surplus =
            |c: &ConnectionId| node(c).is_some_and(|n| n.idle.last().is_some_and(|(last, _)| last != c));
        let expired = self.idle.iter().take_while(|(since, _)| now - since >= self.surplus_idle_for);
        let too_long = expired.filter(|(since, c)| now - since >= self.idle_for || surplus(c));
        sorted(too_long.map(|(_, c)| *c))
    }

    /// Finds the ready nodes whose address belongs to another one: one that started later, or one in `nodes`
    /// where they are not and that did not start earlier. Their process has ended, whatever discovery has told
    /// of them. Those in `nodes` are marked as gone there, the others are returned.
    pub fn replaced(&self, nodes: &mut [Listed]) -> Vec<ServerId> {
        let mut owners: HashMap<SocketAddr, (Option<Micros>, ServerId)> = HashMap::new();
        let ready = |listed: &&Listed| listed.member.phase == Phase::Ready && listed.address.port() != 0;
        for listed in nodes.iter().filter(ready) {
            let owner = owners.entry(listed.address).or_insert((listed.member.started, listed.member.server));
            if listed.member.started >= owner.0 {
                *owner = (listed.member.started, listed.member.server);
            }
        }
        let listed: HashSet<ServerId> = nodes.iter().map(|listed| listed.member.server).collect();
        let mut replaced = Vec::new();
        for (id, node) in self.nodes.iter().filter(|(id, n)| n.phase == Phase::Ready && !listed.contains(id))
        {
            let Some(owner) = owners.get_mut(&node.process.address) else { continue };
            match node.process.started > owner.0 {
                true => *owner = (node.process.started, *id),
                false => replaced.push(*id),
            }
        }
        for listed in nodes.iter_mut().filter(|listed| listed.member.phase == Phase::Ready) {
            let owner = owners.get(&listed.address);
            if owner.is_some_and(|(started, _)| *started > listed.member.started) {
                listed.member.phase = Phase::Gone;
            }
        }
        replaced.sort_unstable();
        replaced
    }

    /// The entry of a node that is gone.
    pub fn gone_entry(&self, id: ServerId) -> Option<Listed> {
        let node = self.nodes.get(&id)?;
        let member = Member {
            kind: node.kind,
            phase: Phase::Gone,
            started: node.process.started,
            ..Member::ready(id)
        };
        Some(Listed { member, address: node.process.address, name: node.name.clone() })
    }

    /// Applies a list; returns the idle connections that have become useless, to be closed.
    pub fn apply_list(&mut self, nodes: &[Listed], whole: bool) -> Vec<ConnectionId> {
        if whole {
            let named: HashSet<ServerId> = nodes.iter().map(|l| l.member.server).collect();
            let absent = self.nodes.iter_mut().filter(|(id, _)| !named.contains(id));
            absent.for_each(|(_, node)| node.phase = Phase::Gone);
        }
        for listed in nodes {
            let member = &listed.member;
            let node = self.nodes.entry(member.server).or_insert_with(|| Node::new(listed));
            (node.process, node.kind, node.phase) = (Process::of(listed), member.kind, member.phase);
        }
        let useless = |c: &ConnectionId, n: &Node| {
            n.phase != Phase::Ready || self.slots.get(c).is_none_or(|s| s.process != n.process)
        };
        let idle = self.nodes.values().flat_map(|n| n.idle.iter().map(move |(c, _)| (*c, n)));
        sorted(idle.filter(|(c, n)| useless(c, n)).map(|(c, _)| c))
    }
}

fn sorted(connections: impl Iterator<Item = ConnectionId>) -> Vec<ConnectionId> {
    let mut connections: Vec<ConnectionId> = connections.collect();
    connections.sort_unstable();
    connections
}
