//! A made-up fleet for the tests: forwarders with steady traffic, planners, nodes that fall silent, and ways
//! that can be cut, in virtual time of 10 ms steps. Everything is drawn from a seed.
#![allow(dead_code)]

use plan::forwarder::{self, Forwarder, Output};
use plan::message::{Message, Verdict};
use plan::observations::Listed;
use plan::planner::{self, PeerId, Planner};
use plan::{frame, spread, ForwarderId, Micros, Node, Rules, Zone, SECOND};
use std::collections::{BTreeMap, BTreeSet};

pub const MS: Micros = 1000;
const STEP: Micros = 10 * MS;

/// A forwarder sends to a node that it avoids so often.
const TRIAL: Micros = 500 * MS;

pub struct Site {
    pub forwarder: Forwarder,
    pub zone: Zone,
    pub life: u64,
    pub up: bool,
    /// Refusals that were worth a line.
    pub refusals: usize,
    peers: Vec<Option<PeerId>>,
    next_send: BTreeMap<Node, Micros>,
}

enum Mail {
    ToPlanner(usize, PeerId, Message),
    ToForwarder(usize, usize, PeerId, Message),
    End(usize, u64, Node, Verdict, Micros),
}

pub struct World {
    pub now: Micros,
    pub rules: Rules,
    pub planners: Vec<Option<Planner>>,
    pub sites: Vec<Site>,
    pub nodes: Vec<Listed>,
    /// Nodes that answer nothing; forwarders that reach nothing; pairs of zones without a way; pairs of
    /// forwarder and planner without one.
    pub silent: BTreeSet<Node>,
    pub deaf: BTreeSet<usize>,
    pub cut: BTreeSet<(Zone, Zone)>,
    pub apart: BTreeSet<(usize, usize)>,
    /// Half of the longest time between two sends to a node.
    pub send: Micros,
    /// Requests a step of each forwarder's first tenant, all of which want the origin.
    pub use_of: Vec<u32>,
    /// How long a message takes besides, by forwarder and planner.
    pub late: BTreeMap<(usize, usize), Micros>,
    /// What a planner's plans become on their way.
    pub forge: fn(usize, &mut Message),
    /// Bytes of messages, by direction: reports, plans.
    pub bytes: [usize; 2],
    mail: BTreeMap<(Micros, u64), Mail>,
    count: u64,
    seed: u64,
}

pub fn node(id: u64) -> Node {
    Node { id, life: 7 }
}

impl World {
    /// So many planners, forwarders and nodes, these two spread over so many zones in turn.
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
            sites: vec![],
            nodes,
            rules,
            silent: BTreeSet::new(),
            deaf: BTreeSet::new(),
            cut: BTreeSet::new(),
            apart: BTreeSet::new(),
            send: 100 * MS,
            use_of: vec![1; forwarders],
            late: BTreeMap::new(),
            forge: |_, _| {},
            bytes: [0; 2],
            mail: BTreeMap::new(),
            count: 0,
            seed,
        };
        for p in 0..planners {
            world.start_planner(p, world.now as u64);
        }
        for f in 0..forwarders {
            let site = world.site(f, zone(f), 1);
            world.sites.push(site);
        }
        world
    }

    fn site(&self, f: usize, zone: Zone, life: u64) -> Site {
        let config = forwarder::Config {
            id: ForwarderId(f as u64),
            life,
            zone,
            tenants: 2,
            classes: 1,
            planners: self.planners.len(),
            seed: spread::mix(self.seed ^ (f as u64) << 8 ^ life),
        };
        let mut forwarder = Forwarder::new(self.now, self.rules.clone(), config).expect("sound rules");
        forwarder.list(self.now, 1, &self.nodes, &mut vec![]);
        let (peers, next_send) = (vec![None; self.planners.len()], BTreeMap::new());
        Site { forwarder, zone, life, up: true, refusals: 0, peers, next_send }
    }

    pub fn start_planner(&mut self, p: usize, epoch: u64) {
        self.planners[p] = Some(Planner::new(self.now, self.rules.clone(), epoch).expect("sound rules"));
    }

    pub fn kill_planner(&mut self, p: usize) {
        self.planners[p] = None;
        for site in &mut self.sites {
            if site.peers[p].take().is_some() {
                site.forwarder.down(self.now, p);
            }
        }
    }

    /// Kills a forwarder; it starts again from nothing when told to.
    pub fn kill_forwarder(&mut self, f: usize) {
        self.sites[f].up = false;
        for p in 0..self.planners.len() {
            if let (Some(peer), Some(planner)) = (self.sites[f].peers[p].take(), self.planners[p].as_mut()) {
                planner.down(peer);
            }
        }
    }

    pub fn start_forwarder(&mut self, f: usize) {
        self.sites[f] = self.site(f, self.sites[f].zone, self.sites[f].life + 1);
    }

    pub fn list(&mut self, nodes: Vec<Listed>) {
        self.nodes = nodes;
        for s in &mut self.sites {
            s.forwarder.list(self.now, 2, &self.nodes, &mut vec![]);
        }
    }

    fn post(&mut self, after: Micros, mail: Mail) {
        self.count += 1;
        self.mail.insert((self.now + after, self.count), mail);
    }

    fn way(&self, f: usize, p: usize) -> Micros {
        MS + self.late.get(&(f, p)).copied().unwrap_or(0)
    }

    fn apart(&self, f: usize, p: usize) -> bool {
        self.apart.contains(&(f, p)) || self.deaf.contains(&f)
    }

    /// Goes on for so long, looking after each step.
    pub fn run(&mut self, time: Micros, mut look: impl FnMut(&mut World)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            for f in 0..self.sites.len() {
                if self.sites[f].up {
                    self.traffic(f);
                    self.tick_forwarder(f);
                }
            }
            for p in 0..self.planners.len() {
                self.tick_planner(p);
            }
            look(self);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.mail.first_entry().filter(|e| e.key().0 <= self.now) {
            match entry.remove() {
                Mail::End(f, life, n, verdict, elapsed) => {
                    if self.sites[f].life == life {
                        self.sites[f].forwarder.observations().ended(self.now, n, verdict, elapsed);
                    }
                }
                Mail::ToPlanner(p, peer, message) => {
                    let mut out = vec![];
                    if let Some(planner) = self.planners[p].as_mut() {
                        // A connection that the planner closed takes nothing any more.
                        let _ = planner.message(self.now, peer, &message, &mut out);
                    }
                    self.planner_does(p, out);
                }
                Mail::ToForwarder(f, p, peer, message) => {
                    let site = &mut self.sites[f];
                    if site.up && site.peers[p] == Some(peer) {
                        let mut out = vec![];
                        site.forwarder.message(self.now, p, &message, &mut out).expect("a planner's word");
                        self.forwarder_does(f, out);
                    }
                }
            }
        }
    }

    fn traffic(&mut self, f: usize) {
        for _ in 0..self.use_of[f] {
            self.sites[f].forwarder.observations().request_received(0, 0);
            self.sites[f].forwarder.observations().origin_needed();
        }
        for i in 0..self.nodes.len() {
            let l = self.nodes[i];
            let site = &mut self.sites[f];
            let due = site.next_send.entry(l.node).or_insert(self.now);
            if !l.ready || *due > self.now {
                continue;
            }
            let avoided = site.forwarder.merge().avoids(l.node);
            self.count += 1;
            let jitter = spread::delay(self.seed, f as u64, self.count, self.send);
            *due = self.now + if avoided { TRIAL } else { self.send / 2 } + jitter;
            site.forwarder.observations().sent(self.now, l.node);
            let (life, zone) = (site.life, site.zone);
            let way = !self.deaf.contains(&f) && !self.cut.contains(&(zone, l.zone));
            let answers = way && !self.silent.contains(&l.node);
            let (after, verdict) =
                if answers { (80 * MS + jitter, Verdict::Served) } else { (500 * MS, Verdict::Timeout) };
            self.post(after, Mail::End(f, life, l.node, verdict, after));
        }
    }

    fn tick_forwarder(&mut self, f: usize) {
        let site = &mut self.sites[f];
        if site.forwarder.next(self.now) <= self.now {
            let mut out = vec![];
            site.forwarder.tick(self.now, &mut out);
            self.forwarder_does(f, out);
        }
    }

    fn forwarder_does(&mut self, f: usize, out: Vec<Output>) {
        for o in out {
            match o {
                Output::Dial(p) => self.dial(f, p),
                Output::Send(p, message) => {
                    self.bytes[0] += frame::encode(&message).expect("within its bounds").len();
                    if let Some(peer) = self.sites[f].peers[p].filter(|_| !self.apart(f, p)) {
                        self.post(self.way(f, p), Mail::ToPlanner(p, peer, message));
                    }
                }
                Output::Refused(..) => self.sites[f].refusals += 1,
                Output::GuidanceChanged => {}
            }
        }
    }

    fn dial(&mut self, f: usize, p: usize) {
        self.count += 1;
        let peer = self.count;
        let reached =
            !self.apart(f, p) && self.planners[p].as_mut().is_some_and(|x| x.up(self.now, peer).is_ok());
        if !reached {
            return self.sites[f].forwarder.down(self.now, p);
        }
        self.sites[f].peers[p] = Some(peer);
        let mut out = vec![];
        self.sites[f].forwarder.up(self.now, p, &mut out);
        self.forwarder_does(f, out);
    }

    fn tick_planner(&mut self, p: usize) {
        let Some(planner) = self.planners[p].as_mut() else { return };
        if planner.next() <= self.now {
            let mut out = vec![];
            planner.tick(self.now, &mut out);
            self.planner_does(p, out);
        }
    }

    fn planner_does(&mut self, p: usize, out: Vec<planner::Output>) {
        for o in out {
            match o {
                planner::Output::Send(peer, message) => self.posts_plan(p, peer, message),
                planner::Output::Terms(peers, message) => {
                    peers.into_iter().for_each(|peer| self.posts_plan(p, peer, message.clone()));
                }
                planner::Output::Close(peer, _) => {
                    for site in &mut self.sites {
                        if site.peers[p] == Some(peer) {
                            site.peers[p] = None;
                            site.forwarder.down(self.now, p);
                        }
                    }
                }
            }
        }
    }

    fn posts_plan(&mut self, p: usize, peer: PeerId, mut message: Message) {
        (self.forge)(p, &mut message);
        self.bytes[1] += frame::encode(&message).expect("within its bounds").len();
        let f = self.sites.iter().position(|s| s.peers[p] == Some(peer));
        if let Some(f) = f.filter(|f| !self.apart(*f, p)) {
            self.post(self.way(f, p), Mail::ToForwarder(f, p, peer, message));
        }
    }

    /// Nodes that a forwarder avoids.
    pub fn avoided(&self, f: usize) -> BTreeSet<Node> {
        let merge = self.sites[f].forwarder.merge();
        self.nodes.iter().map(|l| l.node).filter(|n| merge.avoids(*n)).collect()
    }

    /// The sums of the parts over the forwarders that run: cold nodes, origin, each tenant.
    pub fn sums(&self) -> Vec<f64> {
        let mut sums = vec![0.0; 4];
        for site in self.sites.iter().filter(|s| s.up) {
            let s = site.forwarder.guidance(self.now);
            let parts = [s.cold, s.origin].into_iter().chain(s.tenants);
            sums.iter_mut().zip(parts).for_each(|(sum, part)| *sum += part);
        }
        sums
    }
}
