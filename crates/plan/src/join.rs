//! What all forwarders see, at a planner: by forwarder and node, with counts that fade.
//!
//! It owns what forwarders told and when, bounded by forwarder and in all, and forgets a forwarder that says
//! nothing. It joins arrivals by Eq. 1 of the paper, and judges nothing.
//!
//! Times that forwarders told as spans are taken from the moment a report came. A delay so makes both a sign
//! of life and a silence look younger than they are: a mark comes later, not wrongly.

use crate::bounds;
use crate::ids::{ForwarderId, Node, PlanNumber, Zone};
use crate::message::{Hello, Report};
use crate::moments::Moments;
use crate::rules::Rules;
use crate::Micros;
use std::collections::BTreeMap;

/// Pairs of forwarder and node that a planner keeps.
pub const PAIRS: usize = 1 << 20;

/// What a forwarder sees of a node.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    /// When it last told.
    pub told: Micros,
    /// The node's zone.
    pub zone: Zone,
    /// The last sign of life.
    pub sign: Option<Micros>,
    /// Since when something is unanswered without one, and how many are.
    pub quiet: Option<Micros>,
    /// See [`Seen::quiet`].
    pub unanswered: u32,
    /// A send after the node was last heard by anyone.
    pub tried: Option<Micros>,
    /// The last reported utilisation, and when.
    pub load: Option<(f32, Micros)>,
    sends: f64,
    gaps: Moments,
    service: Moments,
}

/// A forwarder.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Its start.
    pub life: u64,
    /// Its zone.
    pub zone: Zone,
    /// The last report of this life, and when it came.
    pub number: u64,
    /// See [`Peer::number`]; its hello counts as one.
    pub heard: Micros,
    /// The plan that it holds.
    pub holds: PlanNumber,
    /// The revision of its list.
    pub list: u64,
    nodes: BTreeMap<Node, Seen>,
    /// Use: sends, what was wanted of the origin, then requests by tenant; fading.
    uses: Vec<f64>,
    used: Micros,
}

/// A node, as all forwarders see it together.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeAggregate {
    /// Which.
    pub node: Node,
    /// Requests a second, over all forwarders.
    pub rate: f64,
    /// C_A^2 by Eq. 1, over the forwarders' streams.
    pub arrival_scv: f64,
    /// Times of its answers, in us.
    pub service: Moments,
    /// The latest utilisation that it reported to anyone, and when.
    pub load: Option<(f32, Micros)>,
}

/// See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    peers: BTreeMap<ForwarderId, Peer>,
    pairs: usize,
    /// When anyone last heard a node.
    lived: BTreeMap<Node, Micros>,
}

impl FleetView {
    /// A forwarder began. Another start of it forgets what the one before saw; `false` if there is no room.
    pub fn hello(&mut self, now: Micros, hello: &Hello) -> bool {
        let known = self.peers.get(&hello.forwarder);
        if known.is_none() && self.peers.len() >= bounds::FORWARDERS {
            return false;
        }
        if known.is_none_or(|p| p.life != hello.life) {
            self.forget(hello.forwarder);
            let fresh = Peer {
                life: hello.life,
                uses: vec![0.0; 2 + usize::from(hello.tenants).min(bounds::TENANTS)],
                used: now,
                ..Peer::default()
            };
            self.peers.insert(hello.forwarder, fresh);
        }
        if let Some(p) = self.peers.get_mut(&hello.forwarder) {
            (p.zone, p.heard) = (hello.zone, now);
        }
        true
    }

    /// Takes a report; `false` for one that is old or of a forwarder that never said hello.
    pub fn report(&mut self, now: Micros, from: ForwarderId, report: &Report, rules: &Rules) -> bool {
        let Some(p) = self.peers.get_mut(&from).filter(|p| report.number > p.number) else { return false };
        (p.number, p.heard) = (report.number, now);
        (p.list, p.holds) = (report.list, report.holds);
        p.fade(now, rules.use_memory);
        for n in &report.nodes {
            let full = p.nodes.len() >= bounds::NODES || self.pairs >= PAIRS;
            if full && !p.nodes.contains_key(&n.node) {
                continue;
            }
            let at = |span: u32| now.saturating_sub(Micros::from(span));
            let sign = n.sign.map(at);
            let lived = match sign {
                Some(sign) => {
                    Some(*self.lived.entry(n.node).and_modify(|l| *l = sign.max(*l)).or_insert(sign))
                }
                None => self.lived.get(&n.node).copied(),
            };
            let before = p.nodes.len();
            let s = p.nodes.entry(n.node).or_default();
            s.fade(now, rules.memory);
            (s.zone, s.sign, s.quiet) = (n.zone, sign, n.quiet.map(at));
            s.unanswered = n.unanswered;
            let after = |t: &Micros| lived.is_none_or(|l| *t > l);
            if !s.tried.is_some_and(|t| after(&t)) {
                s.tried = n.sent.map(at).filter(after);
            }
            s.load = n.load.map(|(rho, span)| (rho, at(span)));
            s.sends += f64::from(n.sends);
            s.gaps.pool(&n.gaps);
            s.service.pool(&n.service);
            self.pairs += p.nodes.len() - before;
            p.add_use(0, n.sends);
        }
        p.add_use(1, report.origin.asked);
        for u in &report.uses {
            p.add_use(2 + usize::from(u.tenant), u.asked);
        }
        true
    }

    /// A forwarder ended as planned, or is taken for dead.
    pub fn forget(&mut self, id: ForwarderId) {
        if let Some(p) = self.peers.remove(&id) {
            self.pairs -= p.nodes.len();
        }
    }

    /// Forgets who said nothing for long, and nodes of which nobody told; names the forwarders.
    pub fn sweep(&mut self, now: Micros, rules: &Rules) -> Vec<ForwarderId> {
        let old = |at: Micros| now.saturating_sub(at) >= rules.forget_forwarder_after;
        let gone: Vec<_> = self.peers.iter().filter(|(_, p)| old(p.heard)).map(|(id, _)| *id).collect();
        gone.iter().for_each(|id| self.forget(*id));
        for p in self.peers.values_mut() {
            let before = p.nodes.len();
            p.nodes.retain(|_, s| !old(s.told));
            self.pairs -= before - p.nodes.len();
        }
        let peers = &self.peers;
        self.lived.retain(|node, _| peers.values().any(|p| p.nodes.contains_key(node)));
        gone
    }

    /// The forwarders that are known, in order of their names.
    pub fn peers(&self) -> impl Iterator<Item = (ForwarderId, &Peer)> {
        self.peers.iter().map(|(id, p)| (*id, p))
    }

    /// When anyone last heard a node.
    pub fn lived(&self, node: Node) -> Option<Micros> {
        self.lived.get(&node).copied()
    }

    /// One of them.
    pub fn peer(&self, id: ForwarderId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    /// All nodes, joined over the forwarders, in order.
    ///
    /// Eq. 1: C_A^2 is the mean of the streams' C_j^2, weighed by their rates. A stream of few samples is
    /// shrunk toward 1, a Poisson stream's.
    pub fn aggregated(&self, now: Micros, rules: &Rules) -> Vec<NodeAggregate> {
        let mut all: BTreeMap<Node, NodeAggregate> = BTreeMap::new();
        for p in self.peers.values() {
            for (node, s) in &p.nodes {
                let j = all.entry(*node).or_insert(NodeAggregate { node: *node, ..NodeAggregate::default() });
                let left = faded(now, s.told, rules.memory);
                let rate = s.sends * left / (rules.memory.max(1) as f64 / 1e6);
                let scv = s.gaps.scaled(left).shrunk(PRIOR_SAMPLES, 0.0, PRIOR_SCV).1;
                j.rate += rate;
                j.arrival_scv += rate * scv;
                j.service.pool(&s.service.scaled(left));
                j.load = [j.load, s.load].into_iter().flatten().max_by_key(|l| l.1);
            }
        }
        let weighed = |j: NodeAggregate| match j.rate > 0.0 {
            true => NodeAggregate { arrival_scv: j.arrival_scv / j.rate, ..j },
            false => NodeAggregate { arrival_scv: PRIOR_SCV, ..j },
        };
        all.into_values().map(weighed).collect()
    }
}

/// Samples that weigh as much as what is joined; about what a variance needs to mean anything.
pub const PRIOR_SAMPLES: f64 = 8.0;
/// Prior of every squared coefficient of variation: Poisson arrivals, exponential service.
pub const PRIOR_SCV: f64 = 1.0;

fn faded(now: Micros, since: Micros, memory: Micros) -> f64 {
    (-(now.saturating_sub(since).max(0) as f64) / memory.max(1) as f64).exp()
}

impl Seen {
    fn fade(&mut self, now: Micros, memory: Micros) {
        let left = faded(now, self.told, memory);
        self.sends *= left;
        self.gaps = self.gaps.scaled(left);
        self.service = self.service.scaled(left);
        self.told = now;
    }
}

impl Peer {
    /// What it sees, by node.
    pub fn nodes(&self) -> impl Iterator<Item = (Node, &Seen)> {
        self.nodes.iter().map(|(n, s)| (*n, s))
    }

    /// What it sees of a node.
    pub fn seen(&self, node: Node) -> Option<&Seen> {
        self.nodes.get(&node)
    }

    /// Its use of what is shared, in the order of the parts: cold nodes (by all sends), origin, tenants.
    pub fn uses(&self, now: Micros, rules: &Rules) -> Vec<f64> {
        let left = faded(now, self.used, rules.use_memory);
        self.uses.iter().map(|u| u * left).collect()
    }

    fn fade(&mut self, now: Micros, memory: Micros) {
        let left = faded(now, self.used, memory);
        self.uses.iter_mut().for_each(|u| *u *= left);
        self.used = now;
    }

    fn add_use(&mut self, at: usize, n: u32) {
        self.uses.get_mut(at).into_iter().for_each(|u| *u += f64::from(n));
    }
}
