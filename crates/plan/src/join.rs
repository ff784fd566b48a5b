//! The reports of all forwarders at a planner, per forwarder and node, with exponentially decaying counts.
//!
//! It stores what forwarders reported and when, bounded per forwarder and in total, and forgets forwarders
//! that stop reporting. It aggregates arrivals by Eq. 1 of the paper and draws no conclusions.
//!
//! Durations in a report are counted back from its arrival. Transit delay therefore makes both signs of life
//! and silences look younger than they are: a mark is set later, never wrongly.

use crate::bounds;
use crate::ids::{ForwarderId, Node, PlanNumber, Zone};
use crate::message::{Hello, Report};
use crate::moments::Moments;
use crate::rules::Rules;
use crate::Micros;
use std::collections::BTreeMap;

/// Maximum number of pairs of forwarder and node that a planner stores.
pub const PAIRS: usize = 1 << 20;

/// What one forwarder reported about one node.
#[derive(Clone, Debug, Default)]
pub struct NodeView {
    /// When the forwarder last reported on the node.
    pub reported_at: Micros,
    /// The node's zone.
    pub zone: Zone,
    /// The last sign of life.
    pub sign: Option<Micros>,
    /// Since when requests have been unanswered without a sign of life, and how many.
    pub quiet: Option<Micros>,
    /// See [`NodeView::quiet`].
    pub unanswered: u32,
    /// Time of a send after the last sign of life that any forwarder received from the node.
    pub sent_since_sign: Option<Micros>,
    /// The last reported utilisation, and when it was reported.
    pub load: Option<(f32, Micros)>,
    sends: f64,
    gaps: Moments,
    service: Moments,
}

/// A known forwarder.
#[derive(Clone, Debug, Default)]
pub struct Peer {
    /// Identifies its current start.
    pub life: u64,
    /// Its zone.
    pub zone: Zone,
    /// Number of the last report of this start, and when it arrived.
    pub number: u64,
    /// See [`Peer::number`]; a hello counts as a report.
    pub heard: Micros,
    /// The plan that it holds.
    pub holds: PlanNumber,
    /// The revision of its node list.
    pub list: u64,
    nodes: BTreeMap<Node, NodeView>,
    /// Decaying usage counts: sends, origin requests, then requests per tenant.
    uses: Vec<f64>,
    used: Micros,
}

/// A node, aggregated over all forwarders.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeAggregate {
    /// The node.
    pub node: Node,
    /// Requests per second, over all forwarders.
    pub rate: f64,
    /// C_A^2 by Eq. 1, over the forwarders' streams.
    pub arrival_scv: f64,
    /// Response times, in us.
    pub service: Moments,
    /// The latest utilisation that it reported to any forwarder, and when.
    pub load: Option<(f32, Micros)>,
}

/// All known forwarders and their reports; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct FleetView {
    peers: BTreeMap<ForwarderId, Peer>,
    pairs: usize,
    /// The last sign of life that any forwarder received from each node.
    last_sign: BTreeMap<Node, Micros>,
}

impl FleetView {
    /// Registers a forwarder. A new start of the same forwarder discards its earlier reports. Returns `false`
    /// if there is no room for another forwarder.
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

    /// Stores a report. Returns `false` if it is outdated or if the forwarder never sent a hello.
    pub fn report(&mut self, now: Micros, from: ForwarderId, report: &Report, rules: &Rules) -> bool {
        let Some(p) = self.peers.get_mut(&from).filter(|p| report.number > p.number) else { return false };
        (p.number, p.heard) = (report.number, now);
        (p.list, p.holds) = (report.list, report.holds);
        p.decay(now, rules.use_memory);
        for n in &report.nodes {
            let full = p.nodes.len() >= bounds::NODES || self.pairs >= PAIRS;
            if full && !p.nodes.contains_key(&n.node) {
                continue;
            }
            let at = |span: u32| now.saturating_sub(Micros::from(span));
            let sign = n.sign.map(at);
            let last_sign = match sign {
                Some(sign) => {
                    Some(*self.last_sign.entry(n.node).and_modify(|l| *l = sign.max(*l)).or_insert(sign))
                }
                None => self.last_sign.get(&n.node).copied(),
            };
            let before = p.nodes.len();
            let s = p.nodes.entry(n.node).or_default();
            s.decay(now, rules.memory);
            (s.zone, s.sign, s.quiet) = (n.zone, sign, n.quiet.map(at));
            s.unanswered = n.unanswered;
            let after = |t: &Micros| last_sign.is_none_or(|l| *t > l);
            if !s.sent_since_sign.is_some_and(|t| after(&t)) {
                s.sent_since_sign = n.sent.map(at).filter(after);
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

    /// Removes a forwarder that shut down or is considered dead.
    pub fn forget(&mut self, id: ForwarderId) {
        if let Some(p) = self.peers.remove(&id) {
            self.pairs -= p.nodes.len();
        }
    }

    /// Removes forwarders that have not reported for long and nodes that nobody reports any more; returns the
    /// removed forwarders.
    pub fn sweep(&mut self, now: Micros, rules: &Rules) -> Vec<ForwarderId> {
        let old = |at: Micros| now.saturating_sub(at) >= rules.forget_forwarder_after;
        let gone: Vec<_> = self.peers.iter().filter(|(_, p)| old(p.heard)).map(|(id, _)| *id).collect();
        gone.iter().for_each(|id| self.forget(*id));
        for p in self.peers.values_mut() {
            let before = p.nodes.len();
            p.nodes.retain(|_, s| !old(s.reported_at));
            self.pairs -= before - p.nodes.len();
        }
        let peers = &self.peers;
        self.last_sign.retain(|node, _| peers.values().any(|p| p.nodes.contains_key(node)));
        gone
    }

    /// The known forwarders, ordered by id.
    pub fn peers(&self) -> impl Iterator<Item = (ForwarderId, &Peer)> {
        self.peers.iter().map(|(id, p)| (*id, p))
    }

    /// When any forwarder last received a sign of life from the node.
    pub fn last_sign(&self, node: Node) -> Option<Micros> {
        self.last_sign.get(&node).copied()
    }

    /// The forwarder with this id, if known.
    pub fn peer(&self, id: ForwarderId) -> Option<&Peer> {
        self.peers.get(&id)
    }

    /// All nodes, aggregated over the forwarders, ordered by node.
    ///
    /// Eq. 1: C_A^2 is the mean of the streams' C_j^2, weighted by their rates. The C_j^2 of a stream with
    /// few samples is shrunk toward 1, that of a Poisson stream.
    pub fn aggregated(&self, now: Micros, rules: &Rules) -> Vec<NodeAggregate> {
        let mut all: BTreeMap<Node, NodeAggregate> = BTreeMap::new();
        for p in self.peers.values() {
            for (node, s) in &p.nodes {
                let j = all.entry(*node).or_insert(NodeAggregate { node: *node, ..NodeAggregate::default() });
                let left = decay_factor(now, s.reported_at, rules.memory);
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

/// Weight of a prior in samples; roughly the number of samples needed for a meaningful variance.
pub const PRIOR_SAMPLES: f64 = 8.0;
/// Prior of every squared coefficient of variation: Poisson arrivals, exponential service.
pub const PRIOR_SCV: f64 = 1.0;

fn decay_factor(now: Micros, since: Micros, memory: Micros) -> f64 {
    (-(now.saturating_sub(since).max(0) as f64) / memory.max(1) as f64).exp()
}

impl NodeView {
    fn decay(&mut self, now: Micros, memory: Micros) {
        let left = decay_factor(now, self.reported_at, memory);
        self.sends *= left;
        self.gaps = self.gaps.scaled(left);
        self.service = self.service.scaled(left);
        self.reported_at = now;
    }
}

impl Peer {
    /// Its view of all nodes, ordered by node.
    pub fn nodes(&self) -> impl Iterator<Item = (Node, &NodeView)> {
        self.nodes.iter().map(|(n, s)| (*n, s))
    }

    /// Its view of a node.
    pub fn seen(&self, node: Node) -> Option<&NodeView> {
        self.nodes.get(&node)
    }

    /// Its usage of the shared budgets, in the order of the parts: cold nodes (measured by all sends),
    /// origin, tenants.
    pub fn uses(&self, now: Micros, rules: &Rules) -> Vec<f64> {
        let left = decay_factor(now, self.used, rules.use_memory);
        self.uses.iter().map(|u| u * left).collect()
    }

    fn decay(&mut self, now: Micros, memory: Micros) {
        let left = decay_factor(now, self.used, memory);
        self.uses.iter_mut().for_each(|u| *u *= left);
        self.used = now;
    }

    fn add_use(&mut self, at: usize, n: u32) {
        self.uses.get_mut(at).into_iter().for_each(|u| *u += f64::from(n));
    }
}
