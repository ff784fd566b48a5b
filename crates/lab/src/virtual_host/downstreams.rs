//! The connections to one proxy: those of usual clients, who keep and reuse them, and those of a crowd.
//!
//! It owns the backlog and what is accepted, and asks a judge who makes room: `martenweir::admission` itself, or what
//! it is compared with. Only for scenarios with a crowd; without one a try needs no connection here. A command is
//! read in the moment in which its connection is accepted, and closing one never crosses a command: that takes
//! sockets.

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

/// As the program had them before the door: how long one is quiet before it makes room, and how often that is
/// looked at.
const QUIET: Micros = 250_000;
/// Its times for who says nothing, who reads nothing, and who has nothing to do.
const SPEECHLESS: Micros = 2_000_000;
const UNREAD: Micros = 5_000_000;
const IDLE: Micros = 60_000_000;
/// Of the descriptors, one in so many was ample for downstreams, as it is by the door's default.
const AMPLE: usize = 5;
/// A connection that found the backlog full tries again after this long (RFC 6298, 2.1).
pub const AGAIN: Micros = 1_000_000;
/// Where usual clients come from.
const USUAL: IpAddr = IpAddr::V4(Ipv4Addr::new(192, 0, 2, 1));

/// What a guest of the crowd does once it is accepted.
#[derive(Clone, Copy, Debug)]
enum Does {
    Nothing,
    Ping,
    Asks,
    HalfACommand,
    Nonsense,
    Resets,
}

#[derive(Clone, Copy, Debug)]
enum Waiting {
    Usual(TryNo),
    Guest { does: Does, from: IpAddr, until: Micros },
}

#[derive(Clone, Copy, Debug)]
struct One {
    /// `None`: a guest.
    usual: Option<Usual>,
    shown: Activity,
    /// Quiet since then, and when it goes by itself.
    quiet: Option<Micros>,
    ends: Option<Micros>,
}

#[derive(Clone, Copy, Debug)]
struct Usual {
    of: Option<TryNo>,
}

/// What becomes of a try that wants a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// It has one.
    Taken,
    /// It waits to be accepted: [`Downstreams::step`] tells when it is.
    Waits,
    /// The backlog is full.
    Full,
}

pub struct Downstreams {
    crowd: Crowd,
    /// Between two guests, in microseconds.
    gap: f64,
    rng: Random,
    next_guest: Micros,
    backlog: VecDeque<Waiting>,
    /// Of the usual tries in the backlog, those whose clients have left.
    left: BTreeSet<TryNo>,
    waiting: BTreeSet<TryNo>,
    open: Map<DownstreamId, One>,
    /// Usual clients' idle connections, the last used at the end.
    idle: Vec<DownstreamId>,
    carries: Map<TryNo, DownstreamId>,
    /// Without streams, by the time since when they are quiet.
    quiet: BTreeSet<(Micros, DownstreamId)>,
    ends: BTreeSet<(Micros, DownstreamId)>,
    last: u64,
    /// The proxy is busy with accepting until then.
    busy: Micros,
    sweeps: Micros,
    budget: Budget,
    nodes: usize,
    ample: usize,
    door: Option<Admission>,
    bytes: usize,
    pub counts: ConnectionCounts,
}

impl Downstreams {
    /// For one of `proxies`, from `now` on.
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
        let door =
            (crowd.judge == EvictionPolicy::Door).then(|| Admission::new(&Settings::default(), limits));
        let gap = f64::from(proxies) * 1e6 / crowd.connections_per_s;
        let next_guest = after(now, gap, &mut rng);
        Downstreams {
            crowd: crowd.clone(),
            gap,
            rng,
            next_guest,
            backlog: VecDeque::new(),
            left: BTreeSet::new(),
            waiting: BTreeSet::new(),
            open: Map::default(),
            idle: Vec::new(),
            carries: Map::default(),
            quiet: BTreeSet::new(),
            ends: BTreeSet::new(),
            last: 0,
            busy: now,
            sweeps: now + QUIET,
            budget: Budget::new(descriptors, 0),
            nodes: 0,
            ample: descriptors / AMPLE,
            door,
            bytes: 0,
            counts: ConnectionCounts::default(),
        }
    }

    /// A try wants a connection.
    pub fn asks(&mut self, now: Micros, of: TryNo) -> Way {
        if let Some(id) = self.idle.pop() {
            self.carry(now, id, of);
            return Way::Taken;
        }
        if !self.queue(Waiting::Usual(of)) {
            return Way::Full;
        }
        self.waiting.insert(of);
        Way::Waits
    }

    /// A try has its answer: its connection is idle, or carries the first that waits for one.
    pub fn answered(&mut self, now: Micros, of: TryNo) -> Option<TryNo> {
        let id = self.carries.remove(&of)?;
        self.change(now, id, |one| {
            one.usual = Some(Usual { of: None });
            one.shown.waiting_for = WaitingFor::Nothing;
            one.shown.steps += 1;
            one.quiet = Some(now);
            one.ends = Some(now + IDLE);
        });
        let next =
            self.backlog.iter().position(|w| matches!(w, Waiting::Usual(of) if !self.left.contains(of)));
        if let Some(Waiting::Usual(next)) = next.and_then(|place| self.backlog.remove(place)) {
            self.waiting.remove(&next);
            self.carry(now, id, next);
            return Some(next);
        }
        self.idle.push(id);
        None
    }

    /// The client of a try has closed its connection, or will have by the time it is accepted.
    pub fn left(&mut self, of: TryNo) {
        if self.waiting.contains(&of) {
            self.left.insert(of);
        }
        if let Some(id) = self.carries.remove(&of) {
            self.remove(id);
            if let Some(door) = &mut self.door {
                door.left(id);
            }
        }
    }

    /// When there may be something to do.
    pub fn next(&self, now: Micros) -> Micros {
        let ends = self.ends.first().map_or(Micros::MAX, |(at, _)| *at);
        let accepts = match self.backlog.is_empty() || !self.has_room() {
            true => Micros::MAX,
            false => self.busy,
        };
        let judge = match &self.door {
            Some(door) => door.next_deadline(now).unwrap_or(Micros::MAX),
            None => self.sweeps,
        };
        self.next_guest.min(ends).min(accepts).min(judge).max(now + 1)
    }

    /// All that happens by now, with so many connections to nodes. Tries that have got a connection are told.
    pub fn step(&mut self, now: Micros, nodes: usize, taken: &mut Vec<TryNo>) {
        self.nodes = nodes;
        while self.next_guest <= now {
            let at = self.next_guest;
            self.next_guest = after(at, self.gap, &mut self.rng);
            let guest = self.guest(at);
            self.queue(guest);
        }
        while let Some((_, id)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.remove(id);
            if let Some(door) = &mut self.door {
                door.left(id);
            }
        }
        self.make_room(now, false);
        while self.busy <= now && self.has_room() {
            let Some(waiting) = self.backlog.pop_front() else { break };
            self.busy = now + (self.crowd.accept_us as Micros).max(1);
            self.accept(now, waiting, taken);
            self.make_room(now, true);
        }
    }

    // ---- connections

    fn most(&self) -> usize {
        self.door.as_ref().map_or(self.budget.downstream_limit(self.nodes), |door| door.limit(PortKind::Main))
    }

    /// For the proxy, and for the front before it.
    fn has_room(&self) -> bool {
        let front = if self.crowd.connections == 0 { usize::MAX } else { self.crowd.connections as usize };
        self.open.len() < self.most().min(front)
    }

    fn queue(&mut self, waiting: Waiting) -> bool {
        let room = self.backlog.len() < self.crowd.backlog as usize;
        match room {
            true => self.backlog.push_back(waiting),
            false => self.counts.turned_away += 1,
        }
        room
    }

    /// One more of the crowd.
    fn guest(&mut self, at: Micros) -> Waiting {
        let n = self.rng_below(6);
        let does = match self.crowd.manner {
            CrowdBehavior::Silent => Does::Nothing,
            CrowdBehavior::Ping => Does::Ping,
            CrowdBehavior::Mixed => [Does::Nothing, Does::Ping][n as usize % 2],
            CrowdBehavior::SlowReader => Does::Asks,
            CrowdBehavior::Rude => [Does::HalfACommand, Does::Nonsense, Does::Resets][n as usize % 3],
        };
        let from = match self.crowd.sources {
            0 => USUAL,
            sources => {
                let [_, a, b, c] = self.rng_below(sources).to_be_bytes();
                IpAddr::V4(Ipv4Addr::new(10u8.wrapping_add(a), b, c, 1))
            }
        };
        Waiting::Guest { does, from, until: at + seconds(self.crowd.hold_s) }
    }

    fn rng_below(&mut self, n: u32) -> u32 {
        (world::random::within([0.0, f64::from(n)], &mut self.rng) as u32).min(n.saturating_sub(1))
    }

    fn accept(&mut self, now: Micros, waiting: Waiting, taken: &mut Vec<TryNo>) {
        self.last += 1;
        let id = DownstreamId(self.last);
        let from = match waiting {
            Waiting::Usual(_) => USUAL,
            Waiting::Guest { from, .. } => from,
        };
        if let Some(door) = &mut self.door {
            door.accepted(now, id, PortKind::Main, from, WaitingFor::Command);
        }
        let one = One { usual: None, shown: Activity::default(), quiet: None, ends: None };
        self.open.insert(id, one);
        match waiting {
            Waiting::Usual(of) => {
                self.counts.usual += 1;
                self.waiting.remove(&of);
                if self.left.remove(&of) {
                    return self.leaves(id);
                }
                self.carry(now, id, of);
                taken.push(of);
            }
            Waiting::Guest { does, until, .. } => {
                self.counts.crowd += 1;
                if matches!(does, Does::Resets) || until <= now {
                    return self.leaves(id);
                }
                self.acts(now, id, does, until);
            }
        }
    }

    fn acts(&mut self, now: Micros, id: DownstreamId, does: Does, until: Micros) {
        let bytes = self.crowd.bytes as usize;
        let first = Activity::default();
        let (shown, limit) = match does {
            Does::Nothing | Does::Resets => (first, SPEECHLESS),
            Does::Ping => {
                (Activity { waiting_for: WaitingFor::Nothing, steps: 2, local_replies: 1, ..first }, IDLE)
            }
            Does::Asks => (
                Activity { waiting_for: WaitingFor::Peer, steps: 1, streams: 1, held_bytes: bytes, ..first },
                UNREAD,
            ),
            Does::HalfACommand => (Activity { partial_bytes: 20, held_bytes: 20, ..first }, SPEECHLESS),
            Does::Nonsense => {
                (Activity { waiting_for: WaitingFor::Close, steps: 1, malformed: true, ..first }, SPEECHLESS)
            }
        };
        // The door has times of its own.
        let until = if self.door.is_some() { until } else { until.min(now + limit) };
        self.change(now, id, |one| {
            one.shown = shown;
            one.quiet = Some(now).filter(|_| shown.waiting_for != WaitingFor::Peer);
            one.ends = Some(until);
        });
    }

    fn carry(&mut self, now: Micros, id: DownstreamId, of: TryNo) {
        self.carries.insert(of, id);
        self.change(now, id, |one| {
            one.usual = Some(Usual { of: Some(of) });
            one.shown.waiting_for = WaitingFor::Answer;
            one.shown.steps += 1;
            one.shown.streams += 1;
            (one.quiet, one.ends) = (None, None);
        });
    }

    /// The one place where what is known of a connection changes.
    fn change(&mut self, now: Micros, id: DownstreamId, change: impl FnOnce(&mut One)) {
        let Some(one) = self.open.get_mut(&id) else { return };
        let before = *one;
        change(one);
        let one = *one;
        self.forget(id, &before);
        self.quiet.extend(one.quiet.map(|at| (at, id)));
        self.ends.extend(one.ends.map(|at| (at, id)));
        self.bytes += one.shown.held_bytes;
        self.counts.most_bytes = self.counts.most_bytes.max(self.bytes as u64);
        if let Some(door) = &mut self.door {
            door.update(now, id, one.shown);
        }
    }

    fn forget(&mut self, id: DownstreamId, one: &One) {
        if let Some(at) = one.quiet {
            self.quiet.remove(&(at, id));
        }
        if let Some(at) = one.ends {
            self.ends.remove(&(at, id));
        }
        self.bytes -= one.shown.held_bytes;
    }

    /// The one place where a connection is given back.
    fn remove(&mut self, id: DownstreamId) -> Option<One> {
        let one = self.open.remove(&id)?;
        self.forget(id, &one);
        match one.usual {
            Some(Usual { of: Some(of) }) => drop(self.carries.remove(&of)),
            Some(Usual { of: None }) => self.idle.retain(|idle| *idle != id),
            None => {}
        }
        Some(one)
    }

    /// It has closed by itself.
    fn leaves(&mut self, id: DownstreamId) {
        self.remove(id);
        if let Some(door) = &mut self.door {
            door.left(id);
        }
    }

    /// The proxy closes one.
    fn close(&mut self, id: DownstreamId) {
        if self.remove(id).is_some_and(|one| one.usual.is_some()) {
            self.counts.usual_closed += 1;
        }
    }

    // ---- the judges

    fn make_room(&mut self, now: Micros, accepted: bool) {
        match self.crowd.judge {
            EvictionPolicy::Off => {}
            EvictionPolicy::Quiet => self.close_quiet(now, accepted),
            EvictionPolicy::Door => self.keep_door(now),
        }
        if now >= self.sweeps {
            self.sweeps = now + QUIET;
        }
    }

    /// One for each that is accepted, however short it has been quiet if none more fits; all that are too many
    /// when it is time to look.
    fn close_quiet(&mut self, now: Micros, accepted: bool) {
        let over = self.open.len().saturating_sub(self.ample);
        let most = if now >= self.sweeps { over } else { over.min(usize::from(accepted)) };
        let room = self.open.len() < self.most();
        for _ in 0..most {
            let quiet = if room { QUIET } else { 0 };
            let first = self.quiet.first().copied().filter(|(since, _)| now - since >= quiet);
            let Some((_, id)) = first else { return };
            self.close(id);
        }
    }

    /// As the proxy's owner does it.
    fn keep_door(&mut self, now: Micros) {
        let Some(mut door) = self.door.take() else { return };
        door.set_node_connections(self.nodes);
        while let Some((id, why)) = door.next_timeout(now) {
            door.closed(id, why);
            self.close(id);
        }
        while let Some((id, why)) = door.next_eviction(now, false) {
            door.closed(id, why);
            self.close(id);
        }
        while let Some(feed) = door.next_memory_action() {
            if let MemoryAction::Close(id) = feed {
                door.closed(id, martenweir::admission::CloseReason::Bytes);
                self.close(id);
            }
        }
        self.door = Some(door);
    }
}

/// When the next guest comes (a Poisson process).
fn after(now: Micros, gap: f64, rng: &mut Random) -> Micros {
    match gap.is_finite() {
        true => now.saturating_add((gap * exponential(rng)) as Micros),
        false => Micros::MAX,
    }
}
