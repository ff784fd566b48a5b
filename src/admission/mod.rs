//! The door: whom to accept now and whom to leave in the backlog, who makes room next, whose reading to
//! pause.
//!
//! It owns the budgets of descriptors and bytes and what each downstream has shown. It has no sockets and no
//! clock: whoever holds the connections tells it what happens, with the time, and carries out what it says.
//! It never refuses a request and knows nothing of nodes but how many connections they have; requests are
//! [`crate::choice`]'s. Not for limits on what is sent to nodes: those are the module's too.
//!
//! ```
//! use martenweir::core::DownstreamId;
//! use martenweir::admission::{Admission, Limits, Settings, Activity, PortKind, WaitingFor};
//!
//! let limits = Limits { descriptors: 256, memory: 192 << 20, side_ports: 0 };
//! let mut admission = Admission::new(&Settings::default(), limits);
//! let address = [192, 0, 2, 7].into();
//! for n in 0..100 {
//!     assert!(admission.limit(PortKind::Main) > n as usize);
//!     admission.accepted(n, DownstreamId(n as u64), PortKind::Main, address, WaitingFor::Command);
//! }
//! // The first one asks, and has its answer.
//! let asked = Activity { steps: 1, streams: 1, ..Activity::default() };
//! admission.update(100, DownstreamId(0), Activity { waiting_for: WaitingFor::Answer, ..asked });
//! admission.update(900, DownstreamId(0), Activity { waiting_for: WaitingFor::Nothing, steps: 2, ..asked });
//! // Room is scarce: of those that have been silent for long enough the first goes.
//! let (id, why) = admission.next_eviction(1_000_000, false).expect("one makes room");
//! assert_eq!((id, why.name()), (DownstreamId(1), "silent"));
//! admission.closed(id, why);
//! ```
//!
//! The reasons are in `docs/design/door.md`. Each call is O(log n) in the number of downstreams.

mod budget;
mod bytes;
pub mod drain;
mod idle;
mod pace;
mod rank;
mod sources;

pub use budget::{Budget, PortKind, RESERVE};
pub use rank::{Activity, CloseReason, Rank, WaitingFor};

use crate::core::DownstreamId;
use crate::interface::Micros;
use bytes::Bytes;
use idle::{Idle, Place, UNASKED};
use pace::{Keeps, Pace};
use sources::{Source, Sources};
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

/// A downstream that sends no whole command for this long after it has connected, or begun one, is closed; so
/// is one that reads no answers, and one that has nothing to do at all.
const SPEECHLESS: Micros = 2_000_000;
const UNREAD: Micros = 5_000_000;
const IDLE: Micros = 60_000_000;
/// Nobody makes room that has not been there for this long: what follows the handshake at once has come by
/// then.
const YOUNG: Micros = 5_000;
/// Where a crowd has a source, who comes from elsewhere and has not asked may stay for as long as this while
/// there are slots.
const PATIENT: Micros = 1_000_000;
/// While all slots are taken, how soon it is worth looking again.
const TURN: Micros = 1_000;
/// The last slots, a part of all: from there on newcomers take the place of whoever can go.
const LAST: usize = 32;
/// Room is scarce from ample on, until there are fewer than ample by this part of it.
const HYSTERESIS: usize = 8;

/// What operators may set in our own file.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The part of all descriptors that downstreams may hold before any has to make room.
    pub ample: f64,
    /// The part of the ample room beyond which one source's go first.
    pub source: f64,
    /// Bytes that downstreams may hold; a quarter of the memory if it is not set.
    pub bytes: Option<usize>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { ample: 0.2, source: 0.5, bytes: None }
    }
}

/// What the process may use.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    pub descriptors: usize,
    /// In bytes.
    pub memory: usize,
    /// Ports besides the main one.
    pub side_ports: usize,
}

/// What to do about bytes that run short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryAction {
    /// Read no more of it.
    Pause(DownstreamId),
    Resume(DownstreamId),
    /// Close it: it does not read its answers.
    Close(DownstreamId),
}

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub accepted: u64,
    closed: [u64; CloseReason::ALL.len()],
    /// Left by themselves and had never asked.
    pub unasked: u64,
    /// Were to make room, but a command of theirs was on its way.
    pub spared: u64,
    /// Times that the reading of one was paused.
    pub paused: u64,
    /// Times that all slots were taken.
    pub full: u64,
}

impl Counts {
    pub fn closed(&self, why: CloseReason) -> u64 {
        self.closed[why.index()]
    }

    /// By their names, how many were closed since some counts before; those with none are left out.
    pub fn since(self, before: &Counts) -> impl Iterator<Item = (&'static str, u64)> {
        let before = *before;
        let more = move |why: CloseReason| (why.name(), self.closed(why) - before.closed(why));
        CloseReason::ALL.into_iter().map(more).filter(|(_, n)| *n > 0)
    }

    /// Closed to make room.
    pub fn made_room(&self) -> u64 {
        CloseReason::ALL.iter().filter(|why| why.makes_room()).map(|why| self.closed(*why)).sum()
    }

    /// Closed because a time had passed in which they were to do something.
    pub fn timed_out(&self) -> u64 {
        [CloseReason::Speechless, CloseReason::Unread, CloseReason::Idle, CloseReason::Lingering]
            .iter()
            .map(|why| self.closed(*why))
            .sum()
    }
}

/// What is known of one downstream.
#[derive(Debug)]
struct One {
    side: PortKind,
    /// Its address, its prefix and the tenant that it asks for; none on side ports, which are few.
    sources: [Option<Source>; 3],
    accepted: Micros,
    shown: Activity,
    /// When its `waits` or `steps` changed last.
    moved: Micros,
    /// When it last had nothing more under way.
    rested: Micros,
    /// Where it stands among those that could make room.
    place: Option<Place>,
    /// When it has to go unless it moves.
    due: Option<Micros>,
}

impl One {
    fn holds(&self) -> (usize, bool) {
        (self.shown.held_bytes, self.shown.waiting_for == WaitingFor::Peer)
    }
}

pub struct Admission {
    budget: Budget,
    ample: usize,
    /// More than this makes a source too large.
    part: usize,
    /// Connections to nodes.
    nodes: usize,
    all: HashMap<DownstreamId, One>,
    /// Open, and able to make room, of each side.
    open: [usize; 2],
    idle: [Idle; 2],
    sources: Sources,
    bytes: Bytes,
    pace: Pace,
    due: BTreeSet<(Micros, DownstreamId)>,
    scarce: bool,
    full: bool,
    counts: Counts,
}

impl Admission {
    pub fn new(settings: &Settings, limits: Limits) -> Self {
        let budget = Budget::new(limits.descriptors, limits.side_ports);
        let ample = (limits.descriptors as f64 * settings.ample) as usize;
        let ample = ample.clamp(1, budget.downstream_limit(usize::MAX));
        Admission {
            budget,
            ample,
            part: (ample as f64 * settings.source) as usize,
            nodes: 0,
            all: HashMap::new(),
            open: [0; 2],
            idle: Default::default(),
            sources: Sources::default(),
            bytes: Bytes::new(settings.bytes.unwrap_or(limits.memory / 4)),
            pace: Pace::new(),
            due: BTreeSet::new(),
            scarce: false,
            full: false,
            counts: Counts::default(),
        }
    }

    // ---- what happens

    /// A connection was accepted; `ip` is the peer's until [`Admission::set_client_ip`] tells better.
    pub fn accepted(&mut self, now: Micros, id: DownstreamId, side: PortKind, ip: IpAddr, waits: WaitingFor) {
        let main = side == PortKind::Main;
        let sources = [Source::Address(ip), Source::prefix(ip)].map(|source| Some(source).filter(|_| main));
        let sources = [sources[0], sources[1], None];
        let shown = Activity { waiting_for: waits, ..Activity::default() };
        let one =
            One { side, sources, accepted: now, shown, moved: now, rested: now, place: None, due: None };
        sources.into_iter().flatten().for_each(|source| self.sources.enter(source));
        self.all.insert(id, one);
        self.open[side as usize] += 1;
        self.counts.accepted += 1;
        self.pace.newcomer(now);
        self.place(id, Rank::of(&shown), now);
        self.expire(id, now);
        self.press();
    }

    /// A front has said for whom a connection is.
    pub fn set_client_ip(&mut self, id: DownstreamId, ip: IpAddr) {
        self.source(id, 0, Source::Address(ip));
        self.source(id, 1, Source::prefix(ip));
    }

    /// A downstream has changed.
    pub fn update(&mut self, now: Micros, id: DownstreamId, shown: Activity) {
        let Some(one) = self.all.get_mut(&id) else { return };
        let (was, held) = (one.shown, one.holds());
        let (stood, rank) = (one.place.map(|place| place.0), Rank::of(&shown));
        one.shown = shown;
        self.bytes.change(id, held, one.holds());
        self.counts.closed[CloseReason::Malformed.index()] += u64::from(shown.malformed && !was.malformed);
        if shown.streams > was.streams {
            match was.streams {
                0 => self.pace.asks(Rank::Silent, now - one.accepted),
                1 if stood.is_some() => self.pace.asks(Rank::Held, now - one.rested),
                _ if stood.is_some() => self.pace.asks(Rank::Usual, now - one.rested),
                _ => {}
            }
        }
        let moved = (was.waiting_for, was.steps) != (shown.waiting_for, shown.steps);
        if moved {
            one.moved = now;
        }
        if rank.is_some() && stood.is_none() {
            one.rested = now;
        }
        let anew = moved || stood != rank || was.partial_bytes != shown.partial_bytes;
        // Who has asked for nothing is as old as its connection, however often it pings.
        let since = match rank {
            Some(Rank::Silent | Rank::Pinging) => one.accepted,
            _ => now,
        };
        if moved {
            self.expire(id, now);
        }
        if let Some(tenant) = shown.tenant.filter(|_| shown.tenant != was.tenant) {
            self.source(id, 2, Source::Tenant(tenant));
        }
        if anew {
            self.place(id, rank, since);
        }
    }

    /// One that was to make room has a command on its way: it stays until it shows something else.
    pub fn spare(&mut self, id: DownstreamId) {
        self.counts.spared += 1;
        self.place(id, None, 0);
    }

    /// A downstream has left by itself; one that is not known is nothing to the door.
    pub fn left(&mut self, id: DownstreamId) {
        if let Some(one) = self.remove(id) {
            self.counts.unasked += u64::from(one.shown.streams == 0);
        }
    }

    /// A downstream was closed, as the door said.
    pub fn closed(&mut self, id: DownstreamId, why: CloseReason) {
        if self.remove(id).is_some() {
            self.counts.closed[why.index()] += 1;
        }
    }

    /// So many connections to nodes are open.
    pub fn set_node_connections(&mut self, open: usize) {
        self.nodes = open;
        self.press();
    }

    // ---- what to do

    /// How many downstreams of a side may be open now; beyond that they wait in the backlog.
    pub fn limit(&self, side: PortKind) -> usize {
        self.budget.limit_of(side, self.nodes, self.open[1 - side as usize])
    }

    /// How many of both sides may be open together.
    pub fn total_limit(&self) -> usize {
        self.budget.downstream_limit(self.nodes)
    }

    /// How many connections to nodes may be open, with so many downstreams of each side accepted.
    pub fn node_connection_limit(&self, accepted: [usize; 2]) -> usize {
        self.budget.node_limit(accepted)
    }

    /// Who makes room next, if anybody has to. `forced`: a descriptor is missing whatever the budgets say.
    /// The caller looks at its socket and tells [`Admission::spare`] or [`Admission::closed`], then asks again.
    pub fn next_eviction(&self, now: Micros, forced: bool) -> Option<(DownstreamId, CloseReason)> {
        if !forced && !self.is_under_pressure() {
            return None;
        }
        let keeps = self.keeps(now);
        [PortKind::Main, PortKind::Side].into_iter().find_map(|side| {
            let full = forced || self.is_full(side);
            let past = if full || self.scarce { self.past(now, side, &keeps) } else { None };
            past.or_else(|| if full { self.any(now, side) } else { None })
        })
    }

    /// The next one whose time is up, by the time it had for what it was to do. It comes up once: the caller
    /// closes it or gives it more time ([`Admission::extend_timeout`]).
    pub fn next_timeout(&mut self, now: Micros) -> Option<(DownstreamId, CloseReason)> {
        let (_, id) = self.due.first().copied().filter(|(at, _)| *at <= now)?;
        self.due.pop_first();
        let one = self.all.get_mut(&id)?;
        one.due = None;
        let why = match one.shown.waiting_for {
            WaitingFor::Command | WaitingFor::Header => CloseReason::Speechless,
            WaitingFor::Peer => CloseReason::Unread,
            WaitingFor::Close => CloseReason::Lingering,
            WaitingFor::Nothing | WaitingFor::Answer => CloseReason::Idle,
        };
        Some((id, why))
    }

    /// Gives one as much time as it had at first.
    pub fn extend_timeout(&mut self, now: Micros, id: DownstreamId) {
        if let Some(one) = self.all.get_mut(&id) {
            one.moved = now;
            self.expire(id, now);
        }
    }

    /// One whose time is up has a command on its way, which is read by then: it comes up again at once.
    pub fn retry_timeout(&mut self, now: Micros, id: DownstreamId) {
        if let Some(one) = self.all.get_mut(&id) {
            one.due = Some(now + YOUNG);
            self.due.insert((now + YOUNG, id));
        }
    }

    /// What to do next about bytes; `None`: nothing now.
    pub fn next_memory_action(&mut self) -> Option<MemoryAction> {
        if let Some(id) = self.bytes.over() {
            return Some(MemoryAction::Close(id));
        }
        if let Some(id) = self.bytes.pause() {
            self.counts.paused += 1;
            return Some(MemoryAction::Pause(id));
        }
        let id = self.bytes.resume()?;
        let holds = self.all.get(&id).map_or((0, false), One::holds);
        self.bytes.resumed(id, holds);
        Some(MemoryAction::Resume(id))
    }

    /// When [`Admission::next_timeout`] or [`Admission::next_eviction`] may have something new to say, if nothing happens till then.
    pub fn next_deadline(&self, now: Micros) -> Option<Micros> {
        let due = self.due.first().map(|(at, _)| *at);
        if !self.is_under_pressure() {
            return due.map(|at| at.max(now + YOUNG));
        }
        let keeps = self.keeps(now);
        let room = [PortKind::Main, PortKind::Side].into_iter().flat_map(|side| {
            let full = self.is_full(side);
            let keep = move |rank| if full && rank != Rank::Stalled { YOUNG } else { keeps.of(rank) };
            let first = move |rank: &Rank| self.idle[side as usize].first(*rank);
            Rank::ALL
                .iter()
                .filter(move |_| full || self.scarce)
                .filter_map(first)
                .map(move |(rank, since, _)| since + keep(rank))
        });
        // Who is a little over time goes with the next ones.
        let soon = if self.full { TURN } else { YOUNG };
        due.into_iter().chain(room).min().map(|at| at.max(now + soon))
    }

    /// All downstreams, those in front that miss least if they are told to leave. The one call that looks at
    /// all of them: for a planned end.
    pub fn close_order(&self) -> Vec<DownstreamId> {
        let idle = self.idle.iter().flat_map(Idle::all);
        let busy = self.all.iter().filter(|(_, one)| one.place.is_none()).map(|(id, _)| *id);
        let busy: BTreeSet<_> = busy.collect();
        idle.chain(busy).collect()
    }

    /// Somebody has to make room, or would if more came: what changes matters at once.
    pub fn is_under_pressure(&self) -> bool {
        self.scarce || self.full
    }

    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Open downstreams.
    pub fn len(&self) -> usize {
        self.open.iter().sum()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that downstreams hold, and how many of them are not read at present.
    pub fn bytes(&self) -> (usize, usize) {
        (self.bytes.held(), self.bytes.paused())
    }

    // ---- inside

    /// The last slots of a side are being taken.
    fn is_full(&self, side: PortKind) -> bool {
        let most = self.limit(side);
        self.open[side as usize] + (most / LAST).max(1) > most
    }

    fn press(&mut self) {
        let open = self.len();
        self.scarce = open > self.ample || self.scarce && open > self.ample - self.ample / HYSTERESIS;
        let full = self.is_full(PortKind::Main) || self.is_full(PortKind::Side);
        self.counts.full += u64::from(full && !self.full);
        self.full = full;
    }

    fn keeps(&self, now: Micros) -> Keeps {
        let idle: usize = self.idle.iter().map(Idle::len).sum();
        let usual: usize = self.idle.iter().map(|idle| idle.of(Rank::Usual)).sum();
        self.pace.keeps(now, self.ample.saturating_sub(self.len() - idle + usual))
    }

    /// Puts one where it stands among those that could make room; the only place that does.
    fn place(&mut self, id: DownstreamId, rank: Option<Rank>, since: Micros) {
        let Some(one) = self.all.get_mut(&id) else { return };
        let place = rank.map(|rank| (rank, since, id));
        let was = std::mem::replace(&mut one.place, place);
        let idle = &mut self.idle[one.side as usize];
        if let Some(was) = was {
            idle.remove(was);
            one.sources.into_iter().flatten().for_each(|source| self.sources.remove(source, was));
        }
        if let Some(place) = place {
            idle.insert(place);
            one.sources.into_iter().flatten().for_each(|source| self.sources.insert(source, place));
        }
    }

    /// The one place where a downstream is given back.
    fn remove(&mut self, id: DownstreamId) -> Option<One> {
        self.place(id, None, 0);
        let one = self.all.remove(&id)?;
        one.sources.into_iter().flatten().for_each(|source| self.sources.leave(source));
        if let Some(at) = one.due {
            self.due.remove(&(at, id));
        }
        self.bytes.leave(id, one.holds());
        self.open[one.side as usize] -= 1;
        self.press();
        Some(one)
    }

    /// One belongs to another source than was thought.
    fn source(&mut self, id: DownstreamId, sort: usize, source: Source) {
        let Some(one) = self.all.get_mut(&id).filter(|one| one.side == PortKind::Main) else { return };
        let was = one.sources[sort].replace(source);
        if let Some(was) = was {
            one.place.into_iter().for_each(|place| self.sources.remove(was, place));
            self.sources.leave(was);
        }
        self.sources.enter(source);
        one.place.into_iter().for_each(|place| self.sources.insert(source, place));
    }

    /// Sets the time at which one has to go unless it moves.
    fn expire(&mut self, id: DownstreamId, now: Micros) {
        let Some(one) = self.all.get_mut(&id) else { return };
        if let Some(at) = one.due.take() {
            self.due.remove(&(at, id));
        }
        let after = match one.shown.waiting_for {
            WaitingFor::Command | WaitingFor::Header => SPEECHLESS,
            WaitingFor::Peer => UNREAD,
            WaitingFor::Close => drain::CLOSE_TIMEOUT,
            WaitingFor::Nothing => IDLE,
            WaitingFor::Answer => return,
        };
        one.due = Some(now + after);
        self.due.insert((now + after, id));
    }

    /// The first in the order of ranks that has been there for longer than its rank may while room is scarce.
    fn past(&self, now: Micros, side: PortKind, keeps: &Keeps) -> Option<(DownstreamId, CloseReason)> {
        let over = |idle: &Idle, rank| idle.first(rank).filter(|(_, since, _)| now - since >= keeps.of(rank));
        let all = &self.idle[side as usize];
        // Where a crowd has a source, who comes from elsewhere is not taken for a part of it.
        let crowd = |rank| self.crowds(side).filter_map(|idle| over(idle, rank)).min();
        let calm = self.crowds(side).next().is_none();
        let patient = |place: &Place| calm || place.0 != Rank::Silent || now - place.1 >= PATIENT;
        let first = |rank| crowd(rank).or_else(|| over(all, rank).filter(patient));
        // A usual client's that has not been used for long counts for held, once nobody is left who has never
        // asked.
        let asked = all.unasked() == 0;
        let held = |idle: &Idle| {
            let both = [over(idle, Rank::Held), over(idle, Rank::Usual).filter(|_| asked)];
            both.into_iter().flatten().min_by_key(|(_, since, id)| (*since, *id))
        };
        let place = UNASKED.iter().find_map(|rank| first(*rank)).or_else(|| {
            let sources = self.sources.over(self.part).filter(|_| side == PortKind::Main);
            sources.filter_map(held).min_by_key(|(_, since, id)| (*since, *id)).or_else(|| held(all))
        });
        place.map(|(rank, _, id)| (id, CloseReason::Room(rank)))
    }

    /// Where the last slots are taken: whoever has been there for longest of those that are no usual
    /// client's, and once there is none such, a usual client's.
    fn any(&self, now: Micros, side: PortKind) -> Option<(DownstreamId, CloseReason)> {
        let all = &self.idle[side as usize];
        let ranks = [Rank::Leaving, Rank::Silent, Rank::Pinging, Rank::Held];
        let eldest = |idle: &Idle, ranks: &[Rank]| {
            let first = ranks.iter().filter_map(|rank| idle.first(*rank));
            first.min_by_key(|(_, since, id)| (*since, *id)).filter(|(_, since, _)| now - since >= YOUNG)
        };
        let crowds = self.crowds(side).filter_map(|idle| eldest(idle, &ranks[..3]));
        if let Some((_, _, id)) = crowds.min_by_key(|(_, since, id)| (*since, *id)) {
            return Some((id, CloseReason::Young));
        }
        if let Some((_, _, id)) = eldest(all, &ranks) {
            return Some((id, CloseReason::Young));
        }
        // While there are others, usual ones stay and newcomers wait.
        if all.len() > all.of(Rank::Usual) + all.of(Rank::Stalled) {
            return None;
        }
        let sources = self.sources.over(self.part).filter(|_| side == PortKind::Main);
        let mut usual = sources.filter_map(|idle| eldest(idle, &[Rank::Usual]));
        if let Some((_, _, id)) = usual.next() {
            return Some((id, CloseReason::Source));
        }
        eldest(all, &[Rank::Usual]).map(|(rank, _, id)| (id, CloseReason::Room(rank)))
    }

    fn crowds(&self, side: PortKind) -> impl Iterator<Item = &Idle> {
        self.sources.crowds(self.part).filter(move |_| side == PortKind::Main)
    }
}

#[cfg(test)]
mod tests;
