//! A simulated fleet for tests: forwarders with steady traffic, planners, nodes that can fall silent, and
//! paths that can be cut, in virtual time with steps of 10 ms. All randomness is derived from a seed.
#![allow(dead_code)]

use plan::forwarder::{self, Forwarder, Output};
use plan::message::{Message, Verdict};
use plan::observations::Listed;
use plan::planner::{self, PeerId, Planner};
use plan::{frame, spread, ForwarderId, Micros, Node, Rules, Zone, SECOND};
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Micros = 1000;
const STEP: Micros = 10 * MS;

/// Interval at which a forwarder sends to a node that it avoids.
const PROBE_EVERY: Micros = 500 * MS;

pub struct Host {
    pub forwarder: Forwarder,
    pub zone: Zone,
    pub life: u64,
    pub up: bool,
    /// Rejections that were reported for logging.
    pub refusals: usize,
    peers: Vec<Option<PeerId>>,
    next_send: BTreeMap<Node, Micros>,
}

enum Event {
    ToPlanner(usize, PeerId, Message),
    ToForwarder(usize, usize, PeerId, Message),
    End(usize, u64, Node, Verdict, Micros),
}

pub struct World {
    pub now: Micros,
    pub rules: Rules,
    pub planners: Vec<Option<Planner>>,
    pub hosts: Vec<Host>,
    pub nodes: Vec<Listed>,
    /// Nodes that do not answer; forwarders that reach nothing; pairs of zones without a path; pairs of
    /// forwarder and planner without a path.
    pub silent: BTreeSet<Node>,
    pub isolated: BTreeSet<usize>,
    pub zone_cuts: BTreeSet<(Zone, Zone)>,
    pub unreachable: BTreeSet<(usize, usize)>,
    /// Half of the longest interval between two sends to a node.
    pub send_interval: Micros,
    /// Requests per step of each forwarder's first tenant; each needs the origin.
    pub requests_per_step: Vec<u32>,
    /// Additional message delay, by forwarder and planner.
    pub extra_delay: BTreeMap<(usize, usize), Micros>,
    /// Modifies a planner's plans in transit.
    pub alter_plan: fn(usize, &mut Message),
    /// Bytes of messages by direction: reports, plans.
    pub bytes: [usize; 2],
    events: BTreeMap<(Micros, u64), Event>,
    count: u64,
    seed: u64,
}

pub fn node(id: u64) -> Node {
    Node { id, life: 7 }
}

impl World {
    /// Creates planners, forwarders and nodes; forwarders and nodes are distributed over the zones in turn.
    pub fn new(
        rules: Rules,
        planners: usize,
        forwarders: usize,
        nodes: usize,
        zones: u8,
        seed: u64,
    ) -> World {
        let zone = |i: usize| Zone((i % usize::from(zones)) as u8);
        let nodes = (0..nodes).map(|i| Listed { node: node(i as u64), zone: zone(i), ready: true }).collect();
        let rules = Rules { forwarders: forwarders as u32, ..rules };
        let mut world = World {
            now: 1000 * SECOND,
            planners: (0..planners).map(|_| None).collect(),
            hosts: vec![],
            nodes,
            rules,
            silent: BTreeSet::new(),
            isolated: BTreeSet::new(),
            zone_cuts: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            send_interval: 100 * MS,
            requests_per_step: vec![1; forwarders],
            extra_delay: BTreeMap::new(),
            alter_plan: |_, _| {},
            bytes: [0; 2],
            events: BTreeMap::new(),
            count: 0,
            seed,
        };
        for p in 0..planners {
            world.start_planner(p, world.now as u64);
        }
        for f in 0..forwarders {
            let host = world.host(f, zone(f), 1);
            world.hosts.push(host);
        }
        world
    }

    fn host(&self, f: usize, zone: Zone, life: u64) -> Host {
        let config = forwarder::Config {
            id: ForwarderId(f as u64),
            life,
            zone,
            tenants: 2,
            classes: 1,
            planners: self.planners.len(),
            seed: spread::mix(self.seed ^ (f as u64) << 8 ^ life),
        };
        let mut forwarder = Forwarder::new(self.now, self.rules.clone(), config).expect("valid rules");
        forwarder.list(self.now, 1, &self.nodes, &mut vec![]);
        let (peers, next_send) = (vec![None; self.planners.len()], BTreeMap::new());
        Host { forwarder, zone, life, up: true, refusals: 0, peers, next_send }
    }

    pub fn start_planner(&mut self, p: usize, epoch: u64) {
        self.planners[p] = Some(Planner::new(self.now, self.rules.clone(), epoch).expect("valid rules"));
    }

    pub fn kill_planner(&mut self, p: usize) {
        self.planners[p] = None;
        for host in &mut self.hosts {
            if host.peers[p].take().is_some() {
                host.forwarder.down(self.now, p);
            }
        }
    }

    /// Kills a forwarder. [`World::start_forwarder`] starts it again without state.
    pub fn kill_forwarder(&mut self, f: usize) {
        self.hosts[f].up = false;
        for p in 0..self.planners.len() {
            if let (Some(peer), Some(planner)) = (self.hosts[f].peers[p].take(), self.planners[p].as_mut()) {
                planner.down(peer);
            }
        }
    }

    pub fn start_forwarder(&mut self, f: usize) {
        self.hosts[f] = self.host(f, self.hosts[f].zone, self.hosts[f].life + 1);
    }

    pub fn list(&mut self, nodes: Vec<Listed>) {
        self.nodes = nodes;
        for s in &mut self.hosts {
            s.forwarder.list(self.now, 2, &self.nodes, &mut vec![]);
        }
    }

    fn post(&mut self, after: Micros, events: Event) {
        self.count += 1;
        self.events.insert((self.now + after, self.count), events);
    }

    fn delay(&self, f: usize, p: usize) -> Micros {
        MS + self.extra_delay.get(&(f, p)).copied().unwrap_or(0)
    }

    fn is_cut_off(&self, f: usize, p: usize) -> bool {
        self.unreachable.contains(&(f, p)) || self.isolated.contains(&f)
    }

    /// Advances the time by `time` and calls `after_step` after each step.
    pub fn run(&mut self, time: Micros, mut after_step: impl FnMut(&mut World)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for f in 0..self.hosts.len() {
                if self.hosts[f].up {
                    self.traffic(f);
                    self.tick_forwarder(f);
                }
            }
            for p in 0..self.planners.len() {
                self.tick_planner(p);
            }
            after_step(self);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
            match entry.remove() {
                Event::End(f, life, n, verdict, elapsed) => {
                    if self.hosts[f].life == life {
                        self.hosts[f].forwarder.observations().ended(self.now, n, verdict, elapsed);
                    }
                }
                Event::ToPlanner(p, peer, message) => {
                    let mut out = vec![];
                    if let Some(planner) = self.planners[p].as_mut() {
                        // A connection closed by the planner accepts no more messages.
                        let _ = planner.message(self.now, peer, &message, &mut out);
                    }
                    self.handle_planner_output(p, out);
                }
                Event::ToForwarder(f, p, peer, message) => {
                    let host = &mut self.hosts[f];
                    if host.up && host.peers[p] == Some(peer) {
                        let mut out = vec![];
                        host.forwarder
                            .message(self.now, p, &message, &mut out)
                            .expect("a valid message from a planner");
                        self.handle_forwarder_output(f, out);
                    }
                }
            }
        }
    }

    fn traffic(&mut self, f: usize) {
        for _ in 0..self.requests_per_step[f] {
            self.hosts[f].forwarder.observations().request_received(0, 0);
            self.hosts[f].forwarder.observations().origin_needed();
        }
        for i in 0..self.nodes.len() {
            let l = self.nodes[i];
            let host = &mut self.hosts[f];
            let due = host.next_send.entry(l.node).or_insert(self.now);
            if !l.ready || *due > self.now {
                continue;
            }
            let avoided = host.forwarder.merge().avoids(l.node);
            self.count += 1;
            let jitter = spread::delay(self.seed, f as u64, self.count, self.send_interval);
            *due = self.now + if avoided { PROBE_EVERY } else { self.send_interval / 2 } + jitter;
            host.forwarder.observations().sent(self.now, l.node);
            let (life, zone) = (host.life, host.zone);
            let delay = !self.isolated.contains(&f) && !self.zone_cuts.contains(&(zone, l.zone));
            let answers = delay && !self.silent.contains(&l.node);
            let (after, verdict) =
                if answers { (80 * MS + jitter, Verdict::Served) } else { (500 * MS, Verdict::Timeout) };
            self.post(after, Event::End(f, life, l.node, verdict, after));
        }
    }

    fn tick_forwarder(&mut self, f: usize) {
        let host = &mut self.hosts[f];
        if host.forwarder.next(self.now) <= self.now {
            let mut out = vec![];
            host.forwarder.tick(self.now, &mut out);
            self.handle_forwarder_output(f, out);
        }
    }

    fn handle_forwarder_output(&mut self, f: usize, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Dial(p) => self.dial(f, p),
                Output::Send(p, message) => {
                    self.bytes[0] += frame::encode(&message).expect("within bounds").len();
                    if let Some(peer) = self.hosts[f].peers[p].filter(|_| !self.is_cut_off(f, p)) {
                        self.post(self.delay(f, p), Event::ToPlanner(p, peer, message));
                    }
                }
                Output::Refused(..) => self.hosts[f].refusals += 1,
                Output::GuidanceChanged => {}
            }
        }
    }

    fn dial(&mut self, f: usize, p: usize) {
        self.count += 1;
        let peer = self.count;
        let reached =
            !self.is_cut_off(f, p) && self.planners[p].as_mut().is_some_and(|x| x.up(self.now, peer).is_ok());
        if !reached {
            return self.hosts[f].forwarder.down(self.now, p);
        }
        self.hosts[f].peers[p] = Some(peer);
        let mut out = vec![];
        self.hosts[f].forwarder.up(self.now, p, &mut out);
        self.handle_forwarder_output(f, out);
    }

    fn tick_planner(&mut self, p: usize) {
        let Some(planner) = self.planners[p].as_mut() else { return };
        if planner.next() <= self.now {
            let mut out = vec![];
            planner.tick(self.now, &mut out);
            self.handle_planner_output(p, out);
        }
    }

    fn handle_planner_output(&mut self, p: usize, out: Vec<planner::Output>) {
        for o in out {
            match o {
                planner::Output::Send(peer, message) => self.post_plan(p, peer, message),
                planner::Output::Terms(peers, message) => {
                    peers.into_iter().for_each(|peer| self.post_plan(p, peer, message.clone()));
                }
                planner::Output::Close(peer, _) => {
                    for host in &mut self.hosts {
                        if host.peers[p] == Some(peer) {
                            host.peers[p] = None;
                            host.forwarder.down(self.now, p);
                        }
                    }
                }
            }
        }
    }

    fn post_plan(&mut self, p: usize, peer: PeerId, mut message: Message) {
        (self.alter_plan)(p, &mut message);
        self.bytes[1] += frame::encode(&message).expect("within bounds").len();
        let f = self.hosts.iter().position(|s| s.peers[p] == Some(peer));
        if let Some(f) = f.filter(|f| !self.is_cut_off(*f, p)) {
            self.post(self.delay(f, p), Event::ToForwarder(f, p, peer, message));
        }
    }

    /// The nodes that a forwarder avoids.
    pub fn avoided(&self, f: usize) -> BTreeSet<Node> {
        let merge = self.hosts[f].forwarder.merge();
        self.nodes.iter().map(|l| l.node).filter(|n| merge.avoids(*n)).collect()
    }

    /// The sums of the parts over the running forwarders: cold nodes, origin, each tenant.
    pub fn sums(&self) -> Vec<f64> {
        let mut sums = vec![0.0; 4];
        for host in self.hosts.iter().filter(|s| s.up) {
            let s = host.forwarder.guidance(self.now);
            let parts = [s.cold, s.origin].into_iter().chain(s.tenants);
            sums.iter_mut().zip(parts).for_each(|(sum, part)| *sum += part);
        }
        sums
    }
}
