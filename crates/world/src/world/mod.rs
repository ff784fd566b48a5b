//! All models of one scenario, assembled and advanced together.
//!
//! A [`World`] owns the nodes, the origin, discovery, the network, the front, the injected faults, the rule
//! checkers and the counters. A host owns the clients' sends, the proxies and everything between them: it
//! calls [`World::advance`] when [`World::next`] says so and whenever it has something to pass in, and
//! carries out the [`Occurrence`]s. The host assigns the numbers of jobs and connections. Facts about nodes
//! are passed to the rules here; those about proxies are reported by the host ([`World::observe`]).
//!
//! Tests that need only a node or the origin can use [`crate::node::Node`] or [`crate::origin::Origin`]
//! directly.

mod builder;
mod faults;

pub use builder::Builder;
pub use faults::ProxyChange;

use crate::clients::{Arrivals, RequestTable};
use crate::discovery::{Discovery, Entry, ListUpdate, Notice};
use crate::facts::{Fact, NodeNo, ProxyNo, Status, ORIGIN};
use crate::front::Front;
use crate::initial_contents::InitialContents;
use crate::network::Network;
use crate::node::{
    Answer, DialOutcome, Event, EventKind, Limits, Machine, Node, NodeRequest, Script, SharedState,
};
use crate::origin::Origin;
use crate::outcome::{FaultMark, Lateness, Run};
use crate::random::{seed_of, stream, Map};
use crate::recorder::Recorder;
use crate::rules::Rules;
use crate::scenario::{NodeGroup, Problem, Scenario};
use crate::store::OVERHEAD;
use crate::{Micros, ORIGIN_KIND};
use faults::FaultSchedule;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

const SECOND: Micros = 1_000_000;
/// The minimum part of the reads that the origin is dimensioned for.
const MIN_MISS_PART: f64 = 0.02;

/// The fixed properties of a node or the origin.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    pub no: NodeNo,
    /// Its name in discovery.
    pub name: String,
    pub kind: String,
    /// Index in [`World::kinds`].
    pub kind_no: u16,
    pub zone: u16,
    pub weight: f64,
    /// The address that it listens on: a replacement has that of the node it replaces.
    pub address: u32,
}

/// Something that a host has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Occurrence {
    /// A node or the origin has answered a job, with this much work done for it.
    Answered {
        node: NodeNo,
        job: u64,
        answer: Answer,
        work: f64,
    },
    /// Its process is gone: its connections break and requests in flight are lost.
    Ended {
        node: NodeNo,
    },
    /// Its machine disappeared without notice: its connections stay open and silent.
    Vanished {
        node: NodeNo,
    },
    /// An existing node runs again, or a new node has started.
    Started {
        node: NodeNo,
    },
    /// Discovery has delivered a change to a proxy's agent. Changes that only count as reported do not appear
    /// here.
    ListUpdated(ListUpdate),
    /// A zone is reachable again: connections that lost messages break now.
    CutOver {
        zone: u16,
    },
    Proxy {
        proxy: ProxyNo,
        change: ProxyChange,
    },
}

/// An attempt that reaches a node or the origin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeAttempt {
    pub proxy: ProxyNo,
    pub request: NodeRequest,
    /// At the origin: the node whose miss caused the read.
    pub after: Option<NodeNo>,
}

pub struct World {
    scenario: Scenario,
    seed: u64,
    members: Vec<Member>,
    origin_member: Member,
    kinds: Vec<String>,
    nodes: Vec<Node>,
    origin: Origin,
    shared: SharedState,
    /// The nodes that store a copy of a key, needed when it is written. Copies evicted since then stay
    /// listed.
    copies: Map<u64, Vec<NodeNo>>,
    pub network: Network,
    discovery: Discovery,
    front: Front,
    proxies: Vec<u16>,
    pub recorder: Recorder,
    rules: Rules,
    fault_schedule: FaultSchedule,
    /// When each node needs to be advanced, the origin with the last number; outdated entries are skipped.
    wakes: BinaryHeap<Reverse<(Micros, u32)>>,
    wake_at: Vec<Micros>,
    origin_wake: Micros,
    /// Cached, because they are needed at every step.
    list_update_at: Micros,
    front_update_at: Micros,
    sample_at: Micros,
    events: Vec<Event>,
    list_updates: Vec<ListUpdate>,
}

impl World {
    pub fn builder() -> Builder {
        Builder::default()
    }

    /// Builds the scenario with this seed in place of its own. `slack` is the tolerance of the host that is
    /// added to the rules' time limits: 0 in virtual time, 50 ms on sockets.
    pub fn new(scenario: &Scenario, seed: u64, slack: Micros) -> Result<World, Problem> {
        scenario.validate()?;
        let s = scenario.clone();
        let zones = s.halls.len();
        let zone_no = |name: &Option<String>| {
            name.as_ref().and_then(|n| s.halls.iter().position(|h| h == n)).map(|i| i as u16)
        };
        let mut kinds: Vec<String> = Vec::new();
        for group in &s.nodes {
            if !kinds.contains(&group.kind) {
                kinds.push(group.kind.clone());
            }
        }
        kinds.push(ORIGIN_KIND.to_owned());
        let arrivals = Arrivals::new(&s, seed);
        let stores: f64 = s.nodes.iter().map(|g| f64::from(g.count) * g.store_kb * 1024.0).sum();
        let values = stores / (s.clients.popularity.value_bytes + OVERHEAD as f64);
        let keep = s.nodes.iter().map(|g| if g.ttl_s > 0.0 { g.ttl_s } else { 1e9 }).fold(0.0, f64::max);
        let (reads, writes) = reads_and_writes(&s);
        let capacity = s.ledger.capacity_per_s.unwrap_or_else(|| {
            let hit_ratio = arrivals.popularity().hit_ratio(values, reads, keep, writes / reads.max(1e-9));
            // A cache that holds everything would send nothing to the origin; its capacity has a minimum
            // nevertheless.
            let misses = reads * (1.0 - hit_ratio).max(MIN_MISS_PART);
            s.ledger.headroom * (misses + writes * s.ledger.write_work)
        });
        let proxies: Vec<u16> = (0..s.proxies.count as usize).map(|i| (i % zones) as u16).collect();
        let front_rng = stream(seed, "front", 0);
        let initial_contents = InitialContents::new(
            arrivals.popularity().clone(),
            reads,
            values,
            keep,
            seed_of(seed, "past", 0),
        );
        let mut world = World {
            origin_member: Member {
                no: ORIGIN,
                name: "ledger".into(),
                kind: ORIGIN_KIND.into(),
                kind_no: (kinds.len() - 1) as u16,
                zone: zone_no(&s.ledger.hall).unwrap_or(0),
                weight: 1.0,
                address: 0,
            },
            members: Vec::new(),
            nodes: Vec::new(),
            origin: Origin::new(&s.ledger, capacity.max(0.01), stream(seed, "ledger", 0)),
            shared: SharedState { initial_contents, ..SharedState::default() },
            copies: Map::default(),
            network: Network::new(&s.network, zones, stream(seed, "network", 0)),
            discovery: Discovery::new(&s, stream(seed, "discovery", 0)),
            front: Front::new(s.clients.front.notice_s, zones, proxies.clone(), front_rng),
            proxies,
            recorder: Recorder::new(&s),
            rules: Rules::new(&s, slack),
            fault_schedule: FaultSchedule::new(&s),
            wakes: BinaryHeap::new(),
            wake_at: Vec::new(),
            origin_wake: Micros::MAX,
            list_update_at: Micros::MAX,
            front_update_at: Micros::MAX,
            sample_at: SECOND,
            events: Vec::new(),
            list_updates: Vec::new(),
            kinds,
            seed,
            scenario: scenario.clone(),
        };
        let mut placed = 0;
        for group in scenario.nodes.iter() {
            for _ in 0..group.count {
                let zone = zone_no(&group.hall).unwrap_or((placed % zones) as u16);
                placed += 1;
                let no = world.add_node(group, zone, None);
                world.start_node(0, no, false);
                world.discovery.list(Entry { node: no, status: Status::Ready, started: None });
            }
        }
        world.discovery.list(Entry { node: ORIGIN, status: Status::Ready, started: None });
        Ok(world)
    }

    // ---- fixed properties

    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// The requests of the run; each call generates the same ones.
    pub fn arrivals(&self) -> Arrivals {
        Arrivals::new(&self.scenario, self.seed)
    }

    pub fn request_table(&self) -> RequestTable {
        RequestTable::new(&self.scenario.clients.classes)
    }

    /// The kinds of machines; the origin's is the last.
    pub fn kinds(&self) -> &[String] {
        &self.kinds
    }

    pub fn member(&self, node: NodeNo) -> &Member {
        self.members.get(node.0 as usize).unwrap_or(&self.origin_member)
    }

    /// The nodes so far, in the order in which they were added, without the origin.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    pub fn node(&self, node: NodeNo) -> Option<&Node> {
        self.nodes.get(node.0 as usize)
    }

    pub fn origin(&self) -> &Origin {
        &self.origin
    }

    /// The zone of each proxy.
    pub fn proxies(&self) -> &[u16] {
        &self.proxies
    }

    pub fn front(&self) -> &Front {
        &self.front
    }

    pub fn discovery(&self) -> &Discovery {
        &self.discovery
    }

    /// From now on the node or the origin answers by the script.
    pub fn script(&mut self, node: NodeNo, script: Script) {
        match self.nodes.get_mut(node.0 as usize) {
            Some(n) => n.set_script(script),
            None => self.origin.set_script(script),
        }
    }

    // ---- facts

    /// A fact about a proxy, as observed by the host.
    pub fn observe(&mut self, at: Micros, fact: Fact) {
        self.rules.observe(at, &fact);
    }

    // ---- requests to nodes and the origin

    pub fn connect(&mut self, now: Micros, node: NodeNo, connection: u64) -> DialOutcome {
        let dialled = match self.nodes.get_mut(node.0 as usize) {
            Some(n) => n.connect(now, connection),
            None => self.origin.connect(connection),
        };
        self.recorder.work().handshakes += u64::from(dialled == DialOutcome::Accepted);
        dialled
    }

    pub fn disconnect(&mut self, node: NodeNo, connection: u64) {
        match self.nodes.get_mut(node.0 as usize) {
            Some(n) => n.disconnect(connection),
            None => self.origin.disconnect(connection),
        }
    }

    /// The last byte of an attempt has reached a node or the origin.
    pub fn arrive(
        &mut self,
        now: Micros,
        node: NodeNo,
        visit: &NodeAttempt,
        out: &mut Vec<(Micros, Occurrence)>,
    ) {
        let NodeAttempt { proxy, request, after } = *visit;
        let mut events = std::mem::take(&mut self.events);
        match self.nodes.get_mut(node.0 as usize) {
            Some(n) => {
                let (work, warmth) = (request.work as Micros, n.warmth(now));
                self.rules.observe(now, &Fact::Arrived { proxy, node, work, warmth });
                self.shared.initial_contents.requester = node;
                n.arrive(now, request, &mut self.shared, &mut events);
            }
            None => {
                self.rules.observe(now, &Fact::OriginAsked { proxy, of: request.of, after });
                self.origin.arrive(now, request, &mut self.shared.dedup, &mut events);
            }
        }
        self.publish_events(node, events, out);
    }

    /// A request for a node's current load.
    pub fn probe(
        &mut self,
        now: Micros,
        node: NodeNo,
        job: u64,
        connection: u64,
        out: &mut Vec<(Micros, Occurrence)>,
    ) {
        let Some(n) = self.nodes.get_mut(node.0 as usize) else {
            return out.push((now, Occurrence::Answered { node, job, answer: Answer::Error, work: 0.0 }));
        };
        self.recorder.work().probes += 1;
        let mut events = std::mem::take(&mut self.events);
        self.shared.initial_contents.requester = node;
        n.probe(now, job, connection, &mut self.shared, &mut events);
        self.publish_events(node, events, out);
    }

    /// The origin has answered a read for which these nodes missed: they store the value.
    pub fn store_value(&mut self, now: Micros, nodes: &[Option<NodeNo>], key: u64, bytes: u64) {
        for no in nodes.iter().flatten() {
            if let Some(n) = self.nodes.get_mut(no.0 as usize) {
                n.store_value(now, key, bytes);
                let copies = self.copies.entry(key).or_default();
                if !copies.contains(no) {
                    copies.push(*no);
                }
            }
        }
    }

    /// A key is written: its copies become invalid. Writes executed by the origin model call this themselves.
    pub fn invalidate_copies(&mut self, key: u64) {
        let kept = self.copies.remove(&key).unwrap_or_default();
        for no in kept.into_iter().chain(self.shared.initial_contents.invalidate(key)) {
            if let Some(n) = self.nodes.get_mut(no.0 as usize) {
                n.invalidate(key);
            }
        }
    }

    // ---- time

    /// When it needs to be advanced next.
    pub fn next(&self) -> Micros {
        let wake = self.wakes.peek().map_or(Micros::MAX, |w| w.0 .0);
        let fixed = self.list_update_at.min(self.front_update_at).min(self.sample_at);
        wake.min(self.fault_schedule.next()).min(fixed)
    }

    /// Processes everything due by now, in chronological order.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<(Micros, Occurrence)>) {
        loop {
            let at = self.next();
            if at > now {
                return;
            }
            if let Some(Reverse((_, no))) = self.wakes.peek().copied().filter(|w| w.0 .0 <= at) {
                self.wakes.pop();
                self.wake(at, NodeNo(no), out);
            } else if self.fault_schedule.next() <= at {
                self.run_step(at, out);
            } else if self.list_update_at <= at {
                self.deliver_list_updates(at, out);
            } else if self.front_update_at <= at {
                self.front.advance(at);
                self.front_update_at = self.front.next().unwrap_or(Micros::MAX);
            } else {
                self.sample(at);
            }
        }
    }

    fn wake(&mut self, at: Micros, no: NodeNo, out: &mut Vec<(Micros, Occurrence)>) {
        let mut events = std::mem::take(&mut self.events);
        match self.nodes.get_mut(no.0 as usize) {
            Some(n) if self.wake_at[no.0 as usize] == at => {
                self.wake_at[no.0 as usize] = Micros::MAX;
                self.shared.initial_contents.requester = no;
                n.advance(at, &mut self.shared, &mut events);
            }
            None if self.origin_wake == at => {
                self.origin_wake = Micros::MAX;
                self.origin.advance(at, &mut self.shared.dedup, &mut events);
            }
            // It was advanced in the meantime and needs to be advanced at another time.
            _ => {
                self.events = events;
                return;
            }
        }
        self.publish_events(no, events, out);
    }

    /// Reports the events of a model as occurrences and facts, and schedules its next wake-up.
    fn publish_events(&mut self, no: NodeNo, mut events: Vec<Event>, out: &mut Vec<(Micros, Occurrence)>) {
        for Event { at, kind } in events.drain(..) {
            match kind {
                EventKind::Began { of, class, key, effect, made, writes, .. } => {
                    self.rules.observe(at, &Fact::Ran { node: no, of, class, key, effect, made });
                    if let Some(key) = writes {
                        self.invalidate_copies(key);
                    }
                }
                EventKind::Answered { job, answer, work } => {
                    let counts = self.recorder.work();
                    if no != ORIGIN {
                        counts.hits += u64::from(answer == Answer::Value);
                        counts.misses += u64::from(matches!(answer, Answer::Miss { .. }));
                        counts.turned_away += u64::from(answer == Answer::Busy);
                        counts.work_us += work;
                    }
                    out.push((at, Occurrence::Answered { node: no, job, answer, work }));
                }
                EventKind::OverloadCrash => {
                    self.rules.observe(at, &Fact::OverloadCrash { node: no });
                    self.report_gone(at, no, Notice::Process);
                    out.push((at, Occurrence::Ended { node: no }));
                }
                EventKind::Overloaded { since, stopped } => {
                    self.rules.observe(at, &Fact::OriginOverloaded { since, stopped });
                    if stopped {
                        out.push((at, Occurrence::Ended { node: ORIGIN }));
                    }
                }
            }
        }
        self.events = events;
        self.schedule_wake(no);
    }

    fn schedule_wake(&mut self, no: NodeNo) {
        let (next, wake) = match self.nodes.get(no.0 as usize) {
            Some(n) => (n.next(), &mut self.wake_at[no.0 as usize]),
            None => (self.origin.next(), &mut self.origin_wake),
        };
        // An earlier wake-up stays in the queue: it finds nothing to do and schedules the next one.
        if let Some(next) = next.filter(|next| *next < *wake) {
            *wake = next;
            self.wakes.push(Reverse((next, no.0)));
        }
    }

    fn deliver_list_updates(&mut self, at: Micros, out: &mut Vec<(Micros, Occurrence)>) {
        let mut list_updates = std::mem::take(&mut self.list_updates);
        self.discovery.advance(at, &mut list_updates);
        for update in list_updates.drain(..) {
            let Entry { node, status, started } = update.entry;
            self.rules.observe(at, &Fact::Listed { proxy: update.proxy, node, status, started });
            out.push((at, Occurrence::ListUpdated(update)));
        }
        self.list_updates = list_updates;
        self.refresh_list_update_at();
    }

    fn refresh_list_update_at(&mut self) {
        self.list_update_at = self.discovery.next().unwrap_or(Micros::MAX);
    }

    fn sample(&mut self, at: Micros) {
        let load = self.nodes.iter_mut().map(|n| n.load(at) as f32).collect();
        self.recorder.sampled(at, load, self.origin.out(), self.origin.counted());
        self.sample_at = at + SECOND;
    }

    // ---- starting and ending nodes

    fn add_node(&mut self, group: &NodeGroup, zone: u16, address: Option<u32>) -> NodeNo {
        let no = NodeNo(self.nodes.len() as u32);
        let limits = Limits::new(&self.scenario.rules, self.scenario.clients.mean_work());
        let mut rng = stream(self.seed, "node", u64::from(no.0));
        let machine = Machine::draw(group, limits, &mut rng);
        let kind_no = self.kinds.iter().position(|k| *k == group.kind).unwrap_or(0) as u16;
        self.members.push(Member {
            no,
            name: format!("s-{:08x}", seed_of(self.seed, "name", u64::from(no.0)) >> 32),
            kind: group.kind.clone(),
            kind_no,
            zone,
            weight: machine.weight,
            // 0 is the origin's.
            address: address.unwrap_or(no.0 + 1),
        });
        self.nodes.push(Node::new(machine, rng));
        self.wake_at.push(Micros::MAX);
        no
    }

    fn start_node(&mut self, at: Micros, no: NodeNo, cold: bool) {
        let Some(node) = self.nodes.get_mut(no.0 as usize) else { return };
        node.start(at, cold);
        let (weight, capacity) = (self.members[no.0 as usize].weight, node.capacity() * 1e6);
        self.rules.observe(at, &Fact::Started { node: no, weight, capacity, warm: !cold });
        self.schedule_wake(no);
    }

    /// Discovery notices a process that is gone.
    fn report_gone(&mut self, at: Micros, no: NodeNo, notice: Notice) {
        self.discovery.change(at, Entry { node: no, status: Status::Gone, started: None }, notice);
        self.refresh_list_update_at();
    }

    /// The result of the run; `now` is its end.
    pub fn finish(mut self, now: Micros, late: Lateness) -> Run {
        if now > self.sample_at - SECOND {
            self.sample(now);
        }
        let (rules_broken, breaches) = self.rules.finish(now);
        let (tally, timeline) = self.recorder.finish(now);
        Run {
            scenario: self.scenario.name.clone(),
            seed: self.seed,
            tally,
            timeline,
            nodes: self.members.iter().map(|m| m.name.clone()).collect(),
            faults: self.fault_schedule.marks(),
            rules_broken,
            breaches,
            virtual_s: now as f64 / 1e6,
            late,
            doorway: None,
            sizes: None,
            meetings: None,
        }
    }

    /// The faults that were executed so far.
    pub fn marks(&self) -> Vec<FaultMark> {
        self.fault_schedule.marks()
    }
}

/// Reads and writes per second, from the scenario's average rate.
fn reads_and_writes(s: &Scenario) -> (f64, f64) {
    let all: f64 = s.clients.classes.iter().map(|c| c.share).sum();
    let writes: f64 = s.clients.classes.iter().filter(|c| c.write).map(|c| c.share).sum();
    (s.clients.rate_per_s * (all - writes) / all, s.clients.rate_per_s * writes / all)
}
