//! Admission of connections: how many to accept now (the rest waits in the backlog), which downstream to
//! evict next, and whose reading to pause.
//!
//! [`Admission`] owns the budgets of descriptors and bytes and the activity of each downstream. It has no
//! sockets and no clock: the owner of the connections reports each event with its time and carries out the
//! decisions. It never refuses a request and knows of nodes only the number of their connections; requests
//! are handled by [`crate::choice`], as are limits on what is sent to nodes.
//!
//! ```
//! use martenweir::admission::{Activity, Admission, Limits, PortKind, Settings, WaitingFor};
//! use martenweir::core::DownstreamId;
//!
//! let limits = Limits { descriptors: 256, memory: 192 << 20, side_ports: 0 };
//! let mut admission = Admission::new(&Settings::default(), limits);
//! let address = [192, 0, 2, 7].into();
//! for n in 0..100 {
//!     assert!(admission.limit(PortKind::Main) > n as usize);
//!     admission.accepted(n, DownstreamId(n as u64), PortKind::Main, address, WaitingFor::Command);
//! }
//! // The first downstream makes a request and gets its answer.
//! let asked = Activity { steps: 1, streams: 1, ..Activity::default() };
//! admission.update(100, DownstreamId(0), Activity { waiting_for: WaitingFor::Answer, ..asked });
//! admission.update(900, DownstreamId(0), Activity { waiting_for: WaitingFor::Nothing, steps: 2, ..asked });
//! // Past the soft limit the downstream that has been silent for longest is evicted first.
//! let (id, why) = admission.next_eviction(1_000_000, false).expect("one is evicted");
//! assert_eq!((id, why.name()), (DownstreamId(1), "silent"));
//! admission.closed(id, why);
//! ```
//!
//! The design is explained in `docs/design/door.md`. Each call is O(log n) in the number of downstreams.

mod budget;
mod bytes;
pub mod drain;
mod held;
mod idle;
mod input;
mod pace;
mod rank;
mod reservations;
mod sources;

pub use budget::{Budget, PortKind, RESERVE};
pub use held::{HeldBytes, HeldKind, HeldMemory, HeldShare};
pub use input::{ArrivalGuard, InputMemory, UNRESERVED_INPUT};
pub use rank::{Activity, CloseReason, Rank, WaitingFor};
pub use reservations::{Priority, QueueTicket, Reservation, ReservationBudget};

use crate::core::DownstreamId;
use crate::interface::Micros;
use bytes::ByteBudget;
use idle::{IdleSet, Position, NEVER_REQUESTED};
use pace::{Retention, Timing, MAX_RETENTION};
use sources::{Source, Sources};
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

/// Timeouts. A downstream is closed if it sends no whole command for this long after connecting or after
/// beginning one, if it does not read its answers, or if it has nothing to do at all.
const COMMAND_TIMEOUT: Micros = 2_000_000;
const UNREAD_TIMEOUT: Micros = 5_000_000;
const IDLE_TIMEOUT: Micros = 60_000_000;
/// No downstream younger than this is evicted: by then a command sent right behind the handshake has arrived.
const MIN_AGE: Micros = 5_000;
/// While some source is a crowd, a silent downstream of another source may stay this long, as long as there
/// are free slots.
const OUTSIDE_CROWD_GRACE: Micros = 1_000_000;
/// How long a downstream whose eviction was cancelled may go on sending its command before the next attempt.
const SPARED_PARTIAL: Micros = 100_000;
/// How soon to check again while all slots are taken.
const FULL_RECHECK: Micros = 1_000;
/// The last slots, as a fraction of all: once only these are free, newcomers replace whichever downstream can
/// be evicted.
const LAST_SLOTS_DIVISOR: usize = 32;
/// Eviction starts above the soft limit and stops this fraction below it.
const HYSTERESIS_DIVISOR: usize = 8;
/// The shares of the memory limit that downstreams may hold, and that answers may take that wait for the one
/// ahead of them on their connection.
const HELD_DIVISOR: usize = 4;
const WAITING_ANSWERS_DIVISOR: usize = 8;

/// Settings from the proxy's own configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The share of all descriptors that downstreams may hold before any is evicted.
    pub soft_limit_ratio: f64,
    /// The share of the soft limit above which the downstreams of one source are evicted first.
    pub source_ratio: f64,
    /// Bytes that downstreams may hold; a quarter of the memory if not set.
    pub memory_bytes: Option<usize>,
}

impl Settings {
    /// Bytes that the input and the commands of downstreams may take, and as many their unread output, of
    /// `memory` bytes.
    pub fn held_limit(&self, memory: usize) -> usize {
        self.memory_bytes.unwrap_or(memory / HELD_DIVISOR)
    }

    /// Bytes that answers may take that wait for the one ahead of them, of `memory` bytes.
    pub fn waiting_answers_limit(&self, memory: usize) -> usize {
        self.held_limit(memory) / (WAITING_ANSWERS_DIVISOR / HELD_DIVISOR)
    }
}

impl Default for Settings {
    fn default() -> Self {
        Settings { soft_limit_ratio: 0.2, source_ratio: 0.5, memory_bytes: None }
    }
}

/// The resources of the process.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub descriptors: usize,
    /// In bytes.
    pub memory: usize,
    /// Listening ports besides the main one.
    pub side_ports: usize,
}

/// A decision about the byte budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryAction {
    /// Stop reading from this downstream.
    Pause(DownstreamId),
    Resume(DownstreamId),
    /// Close this downstream, which does not read its answers.
    Close(DownstreamId),
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub accepted: u64,
    closed: [u64; CloseReason::ALL.len()],
    /// Downstreams that left by themselves without any request.
    pub unasked: u64,
    /// Evictions cancelled because a command had arrived.
    pub spared: u64,
    /// How often the reading of a downstream was paused.
    pub paused: u64,
    /// How often all slots became taken.
    pub full: u64,
}

impl Counts {
    pub fn closed(&self, why: CloseReason) -> u64 {
        self.closed[why.index()]
    }

    /// The number closed for each reason since `before`; reasons without any are left out.
    pub fn since(self, before: &Counts) -> impl Iterator<Item = (&'static str, u64)> {
        let before = *before;
        let more = move |why: CloseReason| (why.name(), self.closed(why) - before.closed(why));
        CloseReason::ALL.into_iter().map(more).filter(|(_, n)| *n > 0)
    }

    /// Downstreams evicted to make room.
    pub fn made_room(&self) -> u64 {
        CloseReason::ALL.iter().filter(|why| why.makes_room()).map(|why| self.closed(*why)).sum()
    }

    /// Downstreams closed because a timeout expired.
    pub fn timed_out(&self) -> u64 {
        [CloseReason::Speechless, CloseReason::Unread, CloseReason::Idle, CloseReason::Lingering]
            .iter()
            .map(|why| self.closed(*why))
            .sum()
    }
}

/// What is known of one downstream.
#[derive(Debug)]
struct Connection {
    side: PortKind,
    /// Its address, its network prefix and the tenant it names. Downstreams of side ports, which are few,
    /// have none.
    sources: [Option<Source>; 3],
    accepted: Micros,
    activity: Activity,
    /// When its `waiting_for` or `steps` last changed.
    changed: Micros,
    /// When it last became idle.
    idle_since: Micros,
    /// Its position in the eviction order, if it can be evicted.
    position: Option<Position>,
    /// When its timeout expires.
    due: Option<Micros>,
    /// Since when it has been sending a command, while it can be evicted for it.
    partial_since: Option<Micros>,
}

impl Connection {
    fn held(&self) -> (usize, bool) {
        (self.activity.held_bytes, self.activity.waiting_for == WaitingFor::Peer)
    }
}

pub struct Admission {
    budget: Budget,
    soft_limit: usize,
    /// A source with more downstreams than this is over its limit.
    source_limit: usize,
    /// Open connections to nodes.
    nodes: usize,
    connections: HashMap<DownstreamId, Connection>,
    /// Open downstreams, and evictable ones, of each kind of port.
    open: [usize; 2],
    idle: [IdleSet; 2],
    /// Downstreams that are sending a command, by when they began, of each kind of port.
    partials: [BTreeSet<(Micros, DownstreamId)>; 2],
    sources: Sources,
    bytes: ByteBudget,
    timing: Timing,
    due: BTreeSet<(Micros, DownstreamId)>,
    over_soft_limit: bool,
    full: bool,
    counts: Counts,
}

impl Admission {
    pub fn new(settings: &Settings, limits: Limits) -> Self {
        let budget = Budget::new(limits.descriptors, limits.side_ports);
        let soft_limit = (limits.descriptors as f64 * settings.soft_limit_ratio) as usize;
        let soft_limit = soft_limit.clamp(1, budget.downstream_limit(usize::MAX));
        Admission {
            budget,
            soft_limit,
            source_limit: (soft_limit as f64 * settings.source_ratio) as usize,
            nodes: 0,
            connections: HashMap::new(),
            open: [0; 2],
            idle: Default::default(),
            partials: Default::default(),
            sources: Sources::default(),
            bytes: ByteBudget::new(settings.held_limit(limits.memory)),
            timing: Timing::new(),
            due: BTreeSet::new(),
            over_soft_limit: false,
            full: false,
            counts: Counts::default(),
        }
    }

    // ---- events

    /// Records an accepted connection; `ip` is the peer's until [`Admission::set_client_ip`] corrects it.
    pub fn accepted(
        &mut self,
        now: Micros,
        id: DownstreamId,
        side: PortKind,
        ip: IpAddr,
        waiting_for: WaitingFor,
    ) {
        let main = side == PortKind::Main;
        let sources = [Source::Address(ip), Source::prefix(ip)].map(|source| Some(source).filter(|_| main));
        let sources = [sources[0], sources[1], None];
        let activity = Activity { waiting_for, ..Activity::default() };
        let connection = Connection {
            side,
            sources,
            accepted: now,
            activity,
            changed: now,
            idle_since: now,
            position: None,
            due: None,
            partial_since: None,
        };
        sources.into_iter().flatten().for_each(|source| self.sources.add(source));
        self.connections.insert(id, connection);
        self.open[side as usize] += 1;
        self.counts.accepted += 1;
        self.timing.newcomer(now);
        self.set_position(id, Rank::of(&activity), now);
        self.schedule_timeout(id, now);
        self.update_pressure();
    }

    /// Sets the client's address that a PROXY header named.
    pub fn set_client_ip(&mut self, id: DownstreamId, ip: IpAddr) {
        self.set_source(id, 0, Source::Address(ip));
        self.set_source(id, 1, Source::prefix(ip));
    }

    /// Records the current activity of a downstream.
    pub fn update(&mut self, now: Micros, id: DownstreamId, activity: Activity) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (was, held) = (connection.activity, connection.held());
        let (was_rank, rank) = (connection.position.map(|position| position.0), Rank::of(&activity));
        connection.activity = activity;
        self.bytes.update(id, held, connection.held());
        self.counts.closed[CloseReason::Malformed.index()] += u64::from(activity.malformed && !was.malformed);
        if activity.streams > was.streams {
            match was.streams {
                0 => self.timing.requested(Rank::Silent, now - connection.accepted),
                1 if was_rank.is_some() => self.timing.requested(Rank::Held, now - connection.idle_since),
                _ if was_rank.is_some() => self.timing.requested(Rank::Usual, now - connection.idle_since),
                _ => {}
            }
        }
        let changed = (was.waiting_for, was.steps) != (activity.waiting_for, activity.steps);
        if changed {
            connection.changed = now;
        }
        if rank.is_some() && was_rank.is_none() {
            connection.idle_since = now;
        }
        let anew = changed || was_rank != rank || was.partial_bytes != activity.partial_bytes;
        // A downstream without any request counts from its accept time, however often it pings.
        let since = match rank {
            Some(Rank::Abusive | Rank::Silent | Rank::Pinging) => connection.accepted,
            _ => now,
        };
        if changed {
            self.schedule_timeout(id, now);
        }
        if let Some(tenant) = activity.tenant.filter(|_| activity.tenant != was.tenant) {
            self.set_source(id, 2, Source::Tenant(tenant));
        }
        if anew {
            self.set_position(id, rank, since);
        }
        self.track_partial(now, id, rank == Some(Rank::Stalled), was.steps != activity.steps);
    }

    /// Records since when a downstream has been sending a command; `anew` if an earlier one was completed.
    fn track_partial(&mut self, now: Micros, id: DownstreamId, sends_part: bool, anew: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let since = match connection.partial_since {
            Some(since) if !anew => since,
            _ => now,
        };
        let was = std::mem::replace(&mut connection.partial_since, sends_part.then_some(since));
        if was == connection.partial_since {
            return;
        }
        let partials = &mut self.partials[connection.side as usize];
        if let Some(since) = was {
            partials.remove(&(since, id));
        }
        if let Some(since) = connection.partial_since {
            partials.insert((since, id));
        }
    }

    /// Cancels the eviction of a downstream whose command has arrived: it cannot be evicted until its
    /// activity changes.
    pub fn spare(&mut self, id: DownstreamId) {
        self.counts.spared += 1;
        self.set_position(id, None, 0);
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(since) = connection.partial_since {
            let later = since + SPARED_PARTIAL;
            let partials = &mut self.partials[connection.side as usize];
            partials.remove(&(since, id));
            partials.insert((later, id));
            connection.partial_since = Some(later);
        }
    }

    /// A downstream has left by itself. Unknown ids are ignored.
    pub fn left(&mut self, id: DownstreamId) {
        if let Some(connection) = self.remove(id) {
            self.counts.unasked += u64::from(connection.activity.streams == 0);
        }
    }

    /// A downstream was closed by decision of this module.
    pub fn closed(&mut self, id: DownstreamId, why: CloseReason) {
        if self.remove(id).is_some() {
            self.counts.closed[why.index()] += 1;
        }
    }

    /// Sets the number of open connections to nodes.
    pub fn set_node_connections(&mut self, open: usize) {
        self.nodes = open;
        self.update_pressure();
    }

    // ---- decisions

    /// How many downstreams of this kind may be open now; further connections wait in the backlog.
    pub fn limit(&self, side: PortKind) -> usize {
        self.budget.limit_of(side, self.nodes, self.open[1 - side as usize])
    }

    /// How many downstreams of both kinds may be open together.
    pub fn total_limit(&self) -> usize {
        self.budget.downstream_limit(self.nodes)
    }

    /// How many connections to nodes may be open with this many downstreams of each kind accepted.
    pub fn node_connection_limit(&self, accepted: [usize; 2]) -> usize {
        self.budget.node_limit(accepted)
    }

    /// The next downstream to evict, if any has to go. `forced` means that a descriptor is missing whatever
    /// the budgets say. The caller checks the socket, reports [`Admission::spare`] or [`Admission::closed`],
    /// and asks again.
    pub fn next_eviction(&self, now: Micros, forced: bool) -> Option<(DownstreamId, CloseReason)> {
        if !forced && !self.is_under_pressure() {
            return None;
        }
        let retention = self.retention(now);
        [PortKind::Main, PortKind::Side].into_iter().find_map(|side| {
            let full = forced || self.is_full(side);
            let expired =
                if full || self.over_soft_limit { self.expired(now, side, &retention) } else { None };
            expired.or_else(|| if full { self.oldest(now, side) } else { None })
        })
    }

    /// The next downstream whose timeout has expired, with the reason by what it was waiting for. Each is
    /// returned once: the caller closes it or calls [`Admission::extend_timeout`].
    pub fn next_timeout(&mut self, now: Micros) -> Option<(DownstreamId, CloseReason)> {
        let (_, id) = self.due.first().copied().filter(|(at, _)| *at <= now)?;
        self.due.pop_first();
        let connection = self.connections.get_mut(&id)?;
        connection.due = None;
        let why = match connection.activity.waiting_for {
            WaitingFor::Command | WaitingFor::Header => CloseReason::Speechless,
            WaitingFor::Peer => CloseReason::Unread,
            WaitingFor::Close => CloseReason::Lingering,
            WaitingFor::Nothing | WaitingFor::Answer => CloseReason::Idle,
        };
        Some((id, why))
    }

    /// Restarts the timeout of a downstream.
    pub fn extend_timeout(&mut self, now: Micros, id: DownstreamId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.changed = now;
            self.schedule_timeout(id, now);
        }
    }

    /// A downstream whose timeout expired has a command in its socket; it is returned again after `MIN_AGE`,
    /// when that has been read.
    pub fn retry_timeout(&mut self, now: Micros, id: DownstreamId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.due = Some(now + MIN_AGE);
            self.due.insert((now + MIN_AGE, id));
        }
    }

    /// The next decision about the byte budget, or `None`.
    pub fn next_memory_action(&mut self) -> Option<MemoryAction> {
        if let Some(id) = self.bytes.next_to_close() {
            return Some(MemoryAction::Close(id));
        }
        if let Some(id) = self.bytes.pause() {
            self.counts.paused += 1;
            return Some(MemoryAction::Pause(id));
        }
        let id = self.bytes.resume()?;
        let holds = self.connections.get(&id).map_or((0, false), Connection::held);
        self.bytes.resumed(id, holds);
        Some(MemoryAction::Resume(id))
    }

    /// When [`Admission::next_timeout`] or [`Admission::next_eviction`] may next return something new if no
    /// event happens before.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let due = self.due.first().map(|(at, _)| *at);
        if !self.is_under_pressure() {
            return due.map(|at| at.max(now + MIN_AGE));
        }
        let retention = self.retention(now);
        let room = [PortKind::Main, PortKind::Side].into_iter().flat_map(|side| {
            let full = self.is_full(side);
            let keep = move |rank| if full && rank != Rank::Stalled { MIN_AGE } else { retention.of(rank) };
            let first = move |rank: &Rank| self.idle[side as usize].first(*rank);
            Rank::ALL
                .iter()
                .filter(move |_| full || self.over_soft_limit)
                .filter_map(first)
                .map(move |(rank, since, _)| since + keep(rank))
        });
        // Downstreams that are slightly past their time are evicted together with the next ones.
        let soon = if self.full { FULL_RECHECK } else { MIN_AGE };
        due.into_iter().chain(room).min().map(|at| at.max(now + soon))
    }

    /// All downstreams, those that lose least by being closed first. This is the only call that visits all of
    /// them; it is made for a graceful shutdown.
    pub fn close_order(&self) -> Vec<DownstreamId> {
        let idle = self.idle.iter().flat_map(IdleSet::ids);
        let busy = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.position.is_none())
            .map(|(id, _)| *id);
        let busy: BTreeSet<_> = busy.collect();
        idle.chain(busy).collect()
    }

    /// Whether a downstream has to be evicted now or would be if more arrived, so that changes of activity
    /// matter at once.
    pub fn is_under_pressure(&self) -> bool {
        self.over_soft_limit || self.full
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// The number of open downstreams.
    pub fn len(&self) -> usize {
        self.open.iter().sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The bytes that downstreams hold, and the number of paused downstreams.
    pub fn bytes(&self) -> (usize, usize) {
        (self.bytes.held(), self.bytes.paused())
    }

    // ---- internals

    /// Whether only the last slots of a kind of port are free.
    fn is_full(&self, side: PortKind) -> bool {
        let most = self.limit(side);
        self.open[side as usize] + (most / LAST_SLOTS_DIVISOR).max(1) > most
    }

    fn update_pressure(&mut self) {
        let open = self.len();
        self.over_soft_limit = open > self.soft_limit
            || self.over_soft_limit && open > self.soft_limit - self.soft_limit / HYSTERESIS_DIVISOR;
        let full = self.is_full(PortKind::Main) || self.is_full(PortKind::Side);
        self.counts.full += u64::from(full && !self.full);
        self.full = full;
    }

    fn retention(&self, now: Micros) -> Retention {
        let idle: usize = self.idle.iter().map(IdleSet::len).sum();
        let usual: usize = self.idle.iter().map(|idle| idle.count(Rank::Usual)).sum();
        self.timing.retention(now, self.soft_limit.saturating_sub(self.len() - idle + usual))
    }

    /// Sets the position of a downstream in the eviction order. Every change of position goes through here.
    fn set_position(&mut self, id: DownstreamId, rank: Option<Rank>, since: Micros) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let position = rank.map(|rank| (rank, since, id));
        let was = std::mem::replace(&mut connection.position, position);
        let idle = &mut self.idle[connection.side as usize];
        if let Some(was) = was {
            idle.remove(was);
            connection.sources.into_iter().flatten().for_each(|source| self.sources.remove(source, was));
        }
        if let Some(position) = position {
            idle.insert(position);
            connection.sources.into_iter().flatten().for_each(|source| self.sources.insert(source, position));
        }
    }

    /// Removes a downstream from all tables. Every removal goes through here.
    fn remove(&mut self, id: DownstreamId) -> Option<Connection> {
        self.set_position(id, None, 0);
        self.track_partial(0, id, false, true);
        let connection = self.connections.remove(&id)?;
        connection.sources.into_iter().flatten().for_each(|source| self.sources.remove_one(source));
        if let Some(at) = connection.due {
            self.due.remove(&(at, id));
        }
        self.bytes.remove(id, connection.held());
        self.open[connection.side as usize] -= 1;
        self.update_pressure();
        Some(connection)
    }

    /// Corrects one of the sources of a downstream.
    fn set_source(&mut self, id: DownstreamId, sort: usize, source: Source) {
        let Some(connection) =
            self.connections.get_mut(&id).filter(|connection| connection.side == PortKind::Main)
        else {
            return;
        };
        let was = connection.sources[sort].replace(source);
        if let Some(was) = was {
            connection.position.into_iter().for_each(|position| self.sources.remove(was, position));
            self.sources.remove_one(was);
        }
        self.sources.add(source);
        connection.position.into_iter().for_each(|position| self.sources.insert(source, position));
    }

    /// Schedules the timeout that fits what a downstream waits for.
    fn schedule_timeout(&mut self, id: DownstreamId, now: Micros) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if let Some(at) = connection.due.take() {
            self.due.remove(&(at, id));
        }
        let after = match connection.activity.waiting_for {
            WaitingFor::Command | WaitingFor::Header => COMMAND_TIMEOUT,
            WaitingFor::Peer => UNREAD_TIMEOUT,
            WaitingFor::Close => drain::CLOSE_TIMEOUT,
            WaitingFor::Nothing => IDLE_TIMEOUT,
            WaitingFor::Answer => return,
        };
        connection.due = Some(now + after);
        self.due.insert((now + after, id));
    }

    /// The first downstream in rank order that has been idle for longer than its rank may be under pressure.
    fn expired(
        &self,
        now: Micros,
        side: PortKind,
        retention: &Retention,
    ) -> Option<(DownstreamId, CloseReason)> {
        let over =
            |idle: &IdleSet, rank| idle.first(rank).filter(|(_, since, _)| now - since >= retention.of(rank));
        let all = &self.idle[side as usize];
        // While some source is a crowd, silent downstreams of other sources get `OUTSIDE_CROWD_GRACE`: they
        // are not taken for a part of it.
        let crowd = |rank| self.crowds(side).filter_map(|idle| over(idle, rank)).min();
        let calm = self.crowds(side).next().is_none();
        let patient = |position: &Position| {
            calm || position.0 != Rank::Silent || now - position.1 >= OUTSIDE_CROWD_GRACE
        };
        let first = |rank| crowd(rank).or_else(|| over(all, rank).filter(patient));
        // Once every idle downstream has made a request, a regularly used connection that has been idle for
        // long counts as held.
        let without_requests = all.count_without_requests();
        let asked = without_requests == 0;
        let held = |idle: &IdleSet| {
            let both = [over(idle, Rank::Held), over(idle, Rank::Usual).filter(|_| asked)];
            both.into_iter().flatten().min_by_key(|(_, since, id)| (*since, *id))
        };
        // While enough others have made no request, they go once their time is over.
        let spares_held = !asked && without_requests >= self.len().saturating_sub(self.soft_limit);
        let position = NEVER_REQUESTED.iter().find_map(|rank| first(*rank)).or_else(|| {
            if spares_held {
                return None;
            }
            let sources = self.sources.over_limit(self.source_limit).filter(|_| side == PortKind::Main);
            sources.filter_map(held).min_by_key(|(_, since, id)| (*since, *id)).or_else(|| held(all))
        });
        position.map(|(rank, _, id)| (id, CloseReason::Room(rank)))
    }

    /// While only the last slots are free: the downstream that has been idle for longest among those that are
    /// not in regular use, and if there is none, one in regular use.
    fn oldest(&self, now: Micros, side: PortKind) -> Option<(DownstreamId, CloseReason)> {
        let all = &self.idle[side as usize];
        let ranks = [Rank::Leaving, Rank::Abusive, Rank::Silent, Rank::Pinging];
        let eldest = |idle: &IdleSet, ranks: &[Rank]| {
            let first = ranks.iter().filter_map(|rank| idle.first(*rank));
            first.min_by_key(|(_, since, id)| (*since, *id)).filter(|(_, since, _)| now - since >= MIN_AGE)
        };
        let crowds = self.crowds(side).filter_map(|idle| eldest(idle, &ranks));
        if let Some((_, _, id)) = crowds.min_by_key(|(_, since, id)| (*since, *id)) {
            return Some((id, CloseReason::Young));
        }
        if let Some((_, _, id)) = eldest(all, &ranks) {
            return Some((id, CloseReason::Young));
        }
        // Whoever goes on sending a command for long is not known from one that never ends it.
        if let Some((begun, id)) = self.partials[side as usize].first() {
            if now - begun >= MAX_RETENTION {
                return Some((*id, CloseReason::Room(Rank::Stalled)));
            }
        }
        // Where most stall, newcomers wait until the first of those is over its time.
        let most_stall = self.partials[side as usize].len() >= all.count(Rank::Held);
        if let Some((_, _, id)) = eldest(all, &[Rank::Held]).filter(|_| !most_stall) {
            return Some((id, CloseReason::Young));
        }
        // While there are others, regularly used connections stay and newcomers wait.
        if all.len() > all.count(Rank::Usual) + all.count(Rank::Stalled) {
            return None;
        }
        let sources = self.sources.over_limit(self.source_limit).filter(|_| side == PortKind::Main);
        let mut usual = sources.filter_map(|idle| eldest(idle, &[Rank::Usual]));
        if let Some((_, _, id)) = usual.next() {
            return Some((id, CloseReason::Source));
        }
        eldest(all, &[Rank::Usual]).map(|(rank, _, id)| (id, CloseReason::Room(rank)))
    }

    fn crowds(&self, side: PortKind) -> impl Iterator<Item = &IdleSet> {
        self.sources.crowds(self.source_limit).filter(move |_| side == PortKind::Main)
    }
}

#[cfg(test)]
mod tests;
