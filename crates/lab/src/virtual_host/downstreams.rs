//! The downstream connections of one proxy: those of regular clients, which keep and reuse them, and those of
//! a crowd.
//!
//! [`Downstreams`] owns the backlog and the accepted connections. An eviction policy decides which
//! connections are closed to make room: `martenweir::admission` itself, or one of the policies that it is
//! compared with. Used only in scenarios with a crowd; without one, a try needs no connection here.
//! Simplifications: a command is read at the moment when its connection is accepted, and a close by the proxy
//! never races with a command on its way. Only a host with real sockets shows such races.

use martenweir::admission::{
    Activity, Admission, Budget, Limits, MemoryAction, PortKind, Settings, WaitingFor,
};
use martenweir::core::DownstreamId;
use martenweir::interface::Micros;
use std::collections::{BTreeSet, VecDeque};
use std::net::{IpAddr, Ipv4Addr};
use world::facts::TryNo;
use world::outcome::ConnectionCounts;
use world::random::{exponential, seconds, Map, Random};
use world::scenario::{Crowd, CrowdBehavior, EvictionPolicy};

/// `EvictionPolicy::Quiet`, the policy of the proxy before `martenweir::admission`: how long a connection
/// must have been quiet to be evicted, and the interval of the periodic check.
const QUIET_PERIOD: Micros = 250_000;
/// That version's timeouts for clients that send no command, that do not read their answers, and that are
/// idle.
const FIRST_COMMAND_TIMEOUT: Micros = 2_000_000;
const UNREAD_ANSWER_TIMEOUT: Micros = 5_000_000;
const IDLE_TIMEOUT: Micros = 60_000_000;
/// `EvictionPolicy::Quiet` evicts once downstreams hold more than one in this many of the descriptors, the
/// same part as the default of `martenweir::admission`.
const EVICTION_THRESHOLD_DIVISOR: usize = 5;
/// A connection that found the backlog full is retried after this long: the initial retransmission timeout of
/// TCP (RFC 6298, 2.1).
pub const SYN_RETRY: Micros = 1_000_000;
/// The address of all regular clients.
const REGULAR_CLIENT_ADDRESS: IpAddr = IpAddr::V4(Ipv4Addr::new(192, 0, 2, 1));

/// What a client of the crowd does once its connection is accepted.
#[derive(Clone, Copy, Debug)]
enum CrowdAction {
    Nothing,
    Ping,
    SendCommand,
    PartialCommand,
    MalformedCommand,
    Reset,
}

#[derive(Clone, Copy, Debug)]
enum Pending {
    Regular(TryNo),
    Crowd { action: CrowdAction, from: IpAddr, until: Micros },
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// `None` for a connection of the crowd.
    regular: Option<Regular>,
    activity: Activity,
    /// Since when the connection is quiet, and when it is closed without an eviction: by its client, or by a
    /// timeout.
    quiet_since: Option<Micros>,
    ends_at: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct Regular {
    of: Option<TryNo>,
}

/// The result of requesting a connection for a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admittance {
    /// The try is assigned to an idle connection.
    Assigned,
    /// Its new connection is in the backlog; [`Downstreams::step`] reports when it is accepted.
    Queued,
    /// The backlog is full; the client retries after [`SYN_RETRY`].
    BacklogFull,
}

/// The downstream connections of one proxy process, with their backlog and eviction policy.
pub struct Downstreams {
    crowd: Crowd,
    /// Mean time between two connections of the crowd, in microseconds.
    mean_interval: f64,
    rng: Random,
    next_crowd_arrival: Micros,
    backlog: VecDeque<Pending>,
    /// Tries in the backlog whose clients have closed their connections meanwhile.
    left: BTreeSet<TryNo>,
    waiting: BTreeSet<TryNo>,
    open: Map<DownstreamId, Connection>,
    /// Idle connections of regular clients, the most recently used last.
    idle: Vec<DownstreamId>,
    connection_of: Map<TryNo, DownstreamId>,
    /// Connections without streams, by the time since when they are quiet.
    by_quiet_since: BTreeSet<(Micros, DownstreamId)>,
    by_end: BTreeSet<(Micros, DownstreamId)>,
    last_id: u64,
    /// The proxy is busy accepting a connection until then.
    busy_until: Micros,
    next_check: Micros,
    budget: Budget,
    node_connections: usize,
    eviction_threshold: usize,
    admission: Option<Admission>,
    held_bytes: usize,
    pub counts: ConnectionCounts,
}

impl Downstreams {
    /// Creates the connections of one of `proxies` proxies, which share the crowd evenly.
    pub fn new(
        crowd: &Crowd,
        proxies: u32,
        sockets: u32,
        memory_mb: u32,
        mut rng: Random,
        now: Micros,
    ) -> Self {
        let (descriptors, memory) = (sockets as usize, (memory_mb as usize) << 20);
        let limits = Limits { descriptors, memory, side_ports: 0 };
        let admission =
            (crowd.judge == EvictionPolicy::Door).then(|| Admission::new(&Settings::default(), limits));
        let mean_interval = f64::from(proxies) * 1e6 / crowd.connections_per_s;
        let next_crowd_arrival = next_arrival(now, mean_interval, &mut rng);
        Downstreams {
            crowd: crowd.clone(),
            mean_interval,
            rng,
            next_crowd_arrival,
            backlog: VecDeque::new(),
            left: BTreeSet::new(),
            waiting: BTreeSet::new(),
            open: Map::default(),
            idle: Vec::new(),
            connection_of: Map::default(),
            by_quiet_since: BTreeSet::new(),
            by_end: BTreeSet::new(),
            last_id: 0,
            busy_until: now,
            next_check: now + QUIET_PERIOD,
            budget: Budget::new(descriptors, 0),
            node_connections: 0,
            eviction_threshold: descriptors / EVICTION_THRESHOLD_DIVISOR,
            admission,
            held_bytes: 0,
            counts: ConnectionCounts::default(),
        }
    }

    /// Requests a connection for a try: an idle one, or else a new one by way of the backlog.
    pub fn request_connection(&mut self, now: Micros, of: TryNo) -> Admittance {
        if let Some(id) = self.idle.pop() {
            self.assign(now, id, of);
            return Admittance::Assigned;
        }
        if !self.enqueue(Pending::Regular(of)) {
            return Admittance::BacklogFull;
        }
        self.waiting.insert(of);
        Admittance::Queued
    }

    /// Ends the try on its connection. Returns the first waiting try, which the connection carries next;
    /// without one the connection becomes idle.
    pub fn answered(&mut self, now: Micros, of: TryNo) -> Option<TryNo> {
        let id = self.connection_of.remove(&of)?;
        self.change(now, id, |connection| {
            connection.regular = Some(Regular { of: None });
            connection.activity.waiting_for = WaitingFor::Nothing;
            connection.activity.steps += 1;
            connection.quiet_since = Some(now);
            connection.ends_at = Some(now + IDLE_TIMEOUT);
        });
        let next = self
            .backlog
            .iter()
            .position(|pending| matches!(pending, Pending::Regular(of) if !self.left.contains(of)));
        if let Some(Pending::Regular(next)) = next.and_then(|place| self.backlog.remove(place)) {
            self.waiting.remove(&next);
            self.assign(now, id, next);
            return Some(next);
        }
        self.idle.push(id);
        None
    }

    /// Handles a client that closes the connection of a try; one that is still in the backlog is found closed
    /// when it is accepted.
    pub fn left(&mut self, of: TryNo) {
        if self.waiting.contains(&of) {
            self.left.insert(of);
        }
        if let Some(id) = self.connection_of.remove(&of) {
            self.remove(id);
            if let Some(admission) = &mut self.admission {
                admission.left(id);
            }
        }
    }

    /// When [`Self::step`] is to be called next; there may be nothing to do by then.
    pub fn next(&self, now: Micros) -> Micros {
        let next_end = self.by_end.first().map_or(Micros::MAX, |(at, _)| *at);
        let accepts = match self.backlog.is_empty() || !self.has_room() {
            true => Micros::MAX,
            false => self.busy_until,
        };
        let policy = match &self.admission {
            Some(admission) => admission.next_deadline(now).unwrap_or(Micros::MAX),
            None => self.next_check,
        };
        self.next_crowd_arrival.min(next_end).min(accepts).min(policy).max(now + 1)
    }

    /// Carries out all that is due by `now`, while the proxy has `node_connections` connections to nodes.
    /// Tries whose connections are accepted are appended to `taken`.
    pub fn step(&mut self, now: Micros, node_connections: usize, taken: &mut Vec<TryNo>) {
        self.node_connections = node_connections;
        while self.next_crowd_arrival <= now {
            let at = self.next_crowd_arrival;
            self.next_crowd_arrival = next_arrival(at, self.mean_interval, &mut self.rng);
            let connection = self.draw_crowd_connection(at);
            self.enqueue(connection);
        }
        while let Some((_, id)) = self.by_end.first().copied().filter(|(at, _)| *at <= now) {
            self.remove(id);
            if let Some(admission) = &mut self.admission {
                admission.left(id);
            }
        }
        self.evict(now, false);
        while self.busy_until <= now && self.has_room() {
            let Some(waiting) = self.backlog.pop_front() else { break };
            self.busy_until = now + (self.crowd.accept_us as Micros).max(1);
            self.accept(now, waiting, taken);
            self.evict(now, true);
        }
    }

    // ---- connections

    fn max_open(&self) -> usize {
        self.admission.as_ref().map_or(self.budget.downstream_limit(self.node_connections), |admission| {
            admission.limit(PortKind::Main)
        })
    }

    /// Whether one more connection fits: under the proxy's limit, and under that of the load balancer before
    /// it.
    fn has_room(&self) -> bool {
        let front = if self.crowd.connections == 0 { usize::MAX } else { self.crowd.connections as usize };
        self.open.len() < self.max_open().min(front)
    }

    fn enqueue(&mut self, waiting: Pending) -> bool {
        let room = self.backlog.len() < self.crowd.backlog as usize;
        match room {
            true => self.backlog.push_back(waiting),
            false => self.counts.turned_away += 1,
        }
        room
    }

    /// Draws the next connection of the crowd.
    fn draw_crowd_connection(&mut self, at: Micros) -> Pending {
        let n = self.rng_below(6);
        let action = match self.crowd.manner {
            CrowdBehavior::Silent => CrowdAction::Nothing,
            CrowdBehavior::Ping => CrowdAction::Ping,
            CrowdBehavior::Mixed => [CrowdAction::Nothing, CrowdAction::Ping][n as usize % 2],
            CrowdBehavior::SlowReader => CrowdAction::SendCommand,
            CrowdBehavior::Rude => {
                [CrowdAction::PartialCommand, CrowdAction::MalformedCommand, CrowdAction::Reset]
                    [n as usize % 3]
            }
        };
        let from = match self.crowd.sources {
            0 => REGULAR_CLIENT_ADDRESS,
            sources => {
                let [_, a, b, c] = self.rng_below(sources).to_be_bytes();
                IpAddr::V4(Ipv4Addr::new(10u8.wrapping_add(a), b, c, 1))
            }
        };
        Pending::Crowd { action, from, until: at + seconds(self.crowd.hold_s) }
    }

    fn rng_below(&mut self, n: u32) -> u32 {
        (world::random::within([0.0, f64::from(n)], &mut self.rng) as u32).min(n.saturating_sub(1))
    }

    fn accept(&mut self, now: Micros, waiting: Pending, taken: &mut Vec<TryNo>) {
        self.last_id += 1;
        let id = DownstreamId(self.last_id);
        let from = match waiting {
            Pending::Regular(_) => REGULAR_CLIENT_ADDRESS,
            Pending::Crowd { from, .. } => from,
        };
        if let Some(admission) = &mut self.admission {
            admission.accepted(now, id, PortKind::Main, from, WaitingFor::Command);
        }
        let connection =
            Connection { regular: None, activity: Activity::default(), quiet_since: None, ends_at: None };
        self.open.insert(id, connection);
        match waiting {
            Pending::Regular(of) => {
                self.counts.usual += 1;
                self.waiting.remove(&of);
                if self.left.remove(&of) {
                    return self.client_closed(id);
                }
                self.assign(now, id, of);
                taken.push(of);
            }
            Pending::Crowd { action, until, .. } => {
                self.counts.crowd += 1;
                if matches!(action, CrowdAction::Reset) || until <= now {
                    return self.client_closed(id);
                }
                self.start_crowd_action(now, id, action, until);
            }
        }
    }

    fn start_crowd_action(&mut self, now: Micros, id: DownstreamId, action: CrowdAction, until: Micros) {
        let crowd_bytes = self.crowd.bytes as usize;
        let first = Activity::default();
        let (activity, limit) = match action {
            CrowdAction::Nothing | CrowdAction::Reset => (first, FIRST_COMMAND_TIMEOUT),
            CrowdAction::Ping => (
                Activity { waiting_for: WaitingFor::Nothing, steps: 2, local_replies: 1, ..first },
                IDLE_TIMEOUT,
            ),
            CrowdAction::SendCommand => (
                Activity {
                    waiting_for: WaitingFor::Peer,
                    steps: 1,
                    streams: 1,
                    held_bytes: crowd_bytes,
                    ..first
                },
                UNREAD_ANSWER_TIMEOUT,
            ),
            CrowdAction::PartialCommand => {
                (Activity { partial_bytes: 20, held_bytes: 20, ..first }, FIRST_COMMAND_TIMEOUT)
            }
            CrowdAction::MalformedCommand => (
                Activity { waiting_for: WaitingFor::Close, steps: 1, malformed: true, ..first },
                FIRST_COMMAND_TIMEOUT,
            ),
        };
        // The admission module applies its own timeouts.
        let until = if self.admission.is_some() { until } else { until.min(now + limit) };
        self.change(now, id, |connection| {
            connection.activity = activity;
            connection.quiet_since = Some(now).filter(|_| activity.waiting_for != WaitingFor::Peer);
            connection.ends_at = Some(until);
        });
    }

    fn assign(&mut self, now: Micros, id: DownstreamId, of: TryNo) {
        self.connection_of.insert(of, id);
        self.change(now, id, |connection| {
            connection.regular = Some(Regular { of: Some(of) });
            connection.activity.waiting_for = WaitingFor::Answer;
            connection.activity.steps += 1;
            connection.activity.streams += 1;
            (connection.quiet_since, connection.ends_at) = (None, None);
        });
    }

    /// Changes the state of a connection and updates all indexes. No other code changes that state.
    fn change(&mut self, now: Micros, id: DownstreamId, change: impl FnOnce(&mut Connection)) {
        let Some(connection) = self.open.get_mut(&id) else { return };
        let before = *connection;
        change(connection);
        let connection = *connection;
        self.unindex(id, &before);
        self.by_quiet_since.extend(connection.quiet_since.map(|at| (at, id)));
        self.by_end.extend(connection.ends_at.map(|at| (at, id)));
        self.held_bytes += connection.activity.held_bytes;
        self.counts.most_bytes = self.counts.most_bytes.max(self.held_bytes as u64);
        if let Some(admission) = &mut self.admission {
            admission.update(now, id, connection.activity);
        }
    }

    fn unindex(&mut self, id: DownstreamId, connection: &Connection) {
        if let Some(at) = connection.quiet_since {
            self.by_quiet_since.remove(&(at, id));
        }
        if let Some(at) = connection.ends_at {
            self.by_end.remove(&(at, id));
        }
        self.held_bytes -= connection.activity.held_bytes;
    }

    /// Removes a connection from all indexes. No other code removes one.
    fn remove(&mut self, id: DownstreamId) -> Option<Connection> {
        let connection = self.open.remove(&id)?;
        self.unindex(id, &connection);
        match connection.regular {
            Some(Regular { of: Some(of) }) => drop(self.connection_of.remove(&of)),
            Some(Regular { of: None }) => self.idle.retain(|idle| *idle != id),
            None => {}
        }
        Some(connection)
    }

    /// Handles a connection that its client closes.
    fn client_closed(&mut self, id: DownstreamId) {
        self.remove(id);
        if let Some(admission) = &mut self.admission {
            admission.left(id);
        }
    }

    /// Closes a connection on the proxy's side.
    fn close(&mut self, id: DownstreamId) {
        if self.remove(id).is_some_and(|connection| connection.regular.is_some()) {
            self.counts.usual_closed += 1;
        }
    }

    // ---- eviction policies

    fn evict(&mut self, now: Micros, accepted: bool) {
        match self.crowd.judge {
            EvictionPolicy::Off => {}
            EvictionPolicy::Quiet => self.evict_quiet(now, accepted),
            EvictionPolicy::Door => self.run_admission(now),
        }
        if now >= self.next_check {
            self.next_check = now + QUIET_PERIOD;
        }
    }

    /// Evicts down to the threshold at a periodic check, and otherwise at most one connection per accepted
    /// one. While one more connection fits, only connections that have been quiet for [`QUIET_PERIOD`] are
    /// evicted.
    fn evict_quiet(&mut self, now: Micros, accepted: bool) {
        let over = self.open.len().saturating_sub(self.eviction_threshold);
        let count = if now >= self.next_check { over } else { over.min(usize::from(accepted)) };
        let room = self.open.len() < self.max_open();
        for _ in 0..count {
            let min_quiet = if room { QUIET_PERIOD } else { 0 };
            let first = self.by_quiet_since.first().copied().filter(|(since, _)| now - since >= min_quiet);
            let Some((_, id)) = first else { return };
            self.close(id);
        }
    }

    /// Applies the timeouts, evictions and memory actions of `martenweir::admission`, as the proxy's owner
    /// task does.
    fn run_admission(&mut self, now: Micros) {
        let Some(mut admission) = self.admission.take() else { return };
        admission.set_node_connections(self.node_connections);
        while let Some((id, why)) = admission.next_timeout(now) {
            admission.closed(id, why);
            self.close(id);
        }
        while let Some((id, why)) = admission.next_eviction(now, false) {
            admission.closed(id, why);
            self.close(id);
        }
        while let Some(memory_action) = admission.next_memory_action() {
            if let MemoryAction::Close(id) = memory_action {
                admission.closed(id, martenweir::admission::CloseReason::Bytes);
                self.close(id);
            }
        }
        self.admission = Some(admission);
    }
}

/// When the next connection of the crowd arrives (a Poisson process).
fn next_arrival(now: Micros, mean_interval: f64, rng: &mut Random) -> Micros {
    match mean_interval.is_finite() {
        true => now.saturating_add((mean_interval * exponential(rng)) as Micros),
        false => Micros::MAX,
    }
}
