//! What a forwarder observes, accumulated at constant cost per event, and the bounded incremental reports
//! made from it.
//!
//! It stores counts, moments and signs of life per node, usage per tenant and class, and the origin's
//! counters. It draws no conclusions. A report covers what was added since the last report that named the
//! same node. Nodes with unanswered requests come first and the others take turns, so a large fleet is spread
//! over several reports. Nodes without changes are omitted: an idle node takes no bytes.
//!
//! The map from nodes to indexes is never iterated over; the order comes from the list.

use crate::bounds;
use crate::ids::{Node, Zone};
use crate::message::{span, NodeReport, OriginReport, Report, UsageReport, Verdict, VERDICT_COUNT};
use crate::moments::Moments;
use crate::Micros;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher};

/// A node on the forwarder's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The node.
    pub node: Node,
    /// Its zone.
    pub zone: Zone,
    /// Whether it accepts new requests: serving, not draining.
    pub ready: bool,
}

/// Hashed without a random key, so that equal events give equal states. The names come from discovery.
type NodeIndex = HashMap<Node, usize, BuildHasherDefault<DefaultHasher>>;

#[derive(Clone, Debug)]
struct NodeState {
    listed: Listed,
    sends: u32,
    ends: [u32; VERDICT_COUNT],
    gaps: Moments,
    service: Moments,
    last_send: Option<Micros>,
    sign: Option<Micros>,
    /// Since when requests have been unanswered, how many, and how many of those are still pending.
    quiet: Option<Micros>,
    unanswered: u32,
    out: u32,
    load: Option<(f32, Micros)>,
    changed: bool,
}

/// The observations of a forwarder; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    index: NodeIndex,
    nodes: Vec<NodeState>,
    revision: u64,
    ready: u32,
    uses: Vec<UsageReport>,
    classes: usize,
    origin: OriginReport,
    origin_out: u32,
    number: u64,
    next_start: usize,
}

impl Observations {
    /// For this many tenants and classes; those beyond the bounds are not counted.
    pub fn new(tenants: usize, classes: usize) -> Self {
        let classes = classes.clamp(1, bounds::USES);
        let tenants = tenants.min(bounds::TENANTS).min(bounds::USES / classes);
        let pairs = (0..tenants).flat_map(|t| (0..classes).map(move |c| (t as u16, c as u16)));
        let uses =
            pairs.map(|(tenant, class)| UsageReport { tenant, class, ..UsageReport::default() }).collect();
        Observations { uses, classes, ..Observations::default() }
    }

    /// Replaces the node list. Observations of nodes that remain are kept.
    pub fn list(&mut self, revision: u64, listed: &[Listed]) {
        let mut nodes = Vec::with_capacity(listed.len().min(bounds::NODES));
        let mut index = NodeIndex::with_capacity_and_hasher(nodes.capacity(), Default::default());
        for l in listed.iter().take(bounds::NODES) {
            if index.contains_key(&l.node) {
                continue;
            }
            let old = self.index.get(&l.node).and_then(|at| self.nodes.get(*at));
            let kept = old.cloned().unwrap_or_else(|| NodeState::new(*l));
            index.insert(l.node, nodes.len());
            nodes.push(NodeState { listed: *l, ..kept });
        }
        self.ready = nodes.iter().filter(|s| s.listed.ready).count() as u32;
        (self.revision, self.nodes, self.index) = (revision, nodes, index);
    }

    /// The current list.
    pub fn listed(&self) -> impl Iterator<Item = Listed> + '_ {
        self.nodes.iter().map(|s| s.listed)
    }

    /// The revision of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// An upstream request was sent to a node.
    pub fn sent(&mut self, now: Micros, node: Node) {
        let Some(s) = self.node_mut(node) else { return };
        if let Some(last) = s.last_send.replace(now) {
            s.gaps.add(now.saturating_sub(last) as f64);
        }
        s.sends = s.sends.saturating_add(1);
        s.out = s.out.saturating_add(1);
        s.unanswered = s.unanswered.saturating_add(1);
        s.quiet.get_or_insert(now);
        s.changed = true;
    }

    /// An upstream request ended, `elapsed` after it was sent.
    pub fn ended(&mut self, now: Micros, node: Node, verdict: Verdict, elapsed: Micros) {
        let Some(s) = self.node_mut(node) else { return };
        if let Some(n) = s.ends.get_mut(verdict as usize) {
            *n = n.saturating_add(1);
        }
        s.out = s.out.saturating_sub(1);
        s.changed = true;
        if verdict.shows_life() {
            s.record_sign(now);
        }
        if verdict == Verdict::Served {
            s.service.add(elapsed as f64);
        }
    }

    /// A node reported its utilisation, or gave another sign of life.
    pub fn load(&mut self, now: Micros, node: Node, rho: Option<f32>) {
        let Some(s) = self.node_mut(node) else { return };
        s.record_sign(now);
        s.changed = true;
        if let Some(rho) = rho.filter(|r| (0.0..=16.0).contains(r)) {
            s.load = Some((rho, now));
        }
    }

    /// When a node last gave a sign of life.
    pub fn sign(&self, node: Node) -> Option<Micros> {
        self.index.get(&node).and_then(|at| self.nodes.get(*at)).and_then(|s| s.sign)
    }

    /// A request was received from a client.
    pub fn request_received(&mut self, tenant: usize, class: usize) {
        self.count_usage(tenant, class, |u| &mut u.asked);
    }

    /// A client's request was served in time.
    pub fn served(&mut self, tenant: usize, class: usize) {
        self.count_usage(tenant, class, |u| &mut u.served);
    }

    /// A client's request was refused.
    pub fn refused(&mut self, tenant: usize, class: usize) {
        self.count_usage(tenant, class, |u| &mut u.refused);
    }

    /// A request needs the origin, whether it is sent there or not.
    pub fn origin_needed(&mut self) {
        self.origin.asked = self.origin.asked.saturating_add(1);
    }

    /// A request was sent to the origin.
    pub fn fetched(&mut self) {
        self.origin_out = self.origin_out.saturating_add(1);
    }

    /// A request to the origin ended; `answered_in` is its response time, if it was answered.
    pub fn fetch_ended(&mut self, answered_in: Option<Micros>) {
        self.origin_out = self.origin_out.saturating_sub(1);
        answered_in.into_iter().for_each(|t| self.origin.service.add(t as f64));
    }

    /// Makes a report and resets the counts in it. The caller fills in the plan and parts held from each
    /// planner.
    pub fn take_report(&mut self, now: Micros) -> Report {
        self.number += 1;
        let mut nodes = Vec::new();
        let len = self.nodes.len();
        // Nodes with unanswered requests come first, even without changes, because their silence must be
        // reported.
        let quiet = self.nodes.iter_mut().filter(|s| s.quiet.is_some());
        nodes.extend(quiet.take(bounds::NODES_PER_MESSAGE).map(|s| s.take_report(now)));
        let room =
            bounds::ANSWERING_NODES_PER_REPORT.min(bounds::NODES_PER_MESSAGE.saturating_sub(nodes.len()));
        let upto = nodes.len() + room;
        let first = self.next_start;
        for at in (0..len).map(|i| (i + first) % len) {
            if nodes.len() >= upto {
                self.next_start = at;
                break;
            }
            let changed = |s: &&mut NodeState| s.changed && s.quiet.is_none();
            nodes.extend(self.nodes.get_mut(at).filter(changed).map(|s| s.take_report(now)));
        }
        let used = self.uses.iter_mut().filter(|u| u.asked + u.served + u.refused > 0);
        let uses = used
            .map(|u| {
                std::mem::replace(
                    u,
                    UsageReport { tenant: u.tenant, class: u.class, ..UsageReport::default() },
                )
            })
            .collect();
        let origin = OriginReport { out: self.origin_out, ..std::mem::take(&mut self.origin) };
        let (number, list, ready) = (self.number, self.revision, self.ready);
        Report { number, list, ready, nodes, uses, origin, ..Report::default() }
    }

    fn node_mut(&mut self, node: Node) -> Option<&mut NodeState> {
        self.index.get(&node).and_then(|at| self.nodes.get_mut(*at))
    }

    fn count_usage(&mut self, tenant: usize, class: usize, field: impl Fn(&mut UsageReport) -> &mut u32) {
        if class < self.classes {
            if let Some(u) = self.uses.get_mut(tenant.saturating_mul(self.classes).saturating_add(class)) {
                let n = field(u);
                *n = n.saturating_add(1);
            }
        }
    }
}

impl NodeState {
    fn new(listed: Listed) -> Self {
        NodeState {
            listed,
            sends: 0,
            ends: [0; VERDICT_COUNT],
            gaps: Moments::default(),
            service: Moments::default(),
            last_send: None,
            sign: None,
            quiet: None,
            unanswered: 0,
            out: 0,
            load: None,
            changed: false,
        }
    }

    /// Records a sign of life: requests still pending count as unanswered from now on.
    fn record_sign(&mut self, now: Micros) {
        self.sign = Some(self.sign.map_or(now, |s| s.max(now)));
        self.unanswered = self.out;
        self.quiet = (self.out > 0).then_some(now);
    }

    fn take_report(&mut self, now: Micros) -> NodeReport {
        let report = NodeReport {
            node: self.listed.node,
            zone: self.listed.zone,
            sends: self.sends,
            ends: self.ends,
            gaps: self.gaps,
            service: self.service,
            sent: self.last_send.map(|t| span(t, now)),
            sign: self.sign.map(|t| span(t, now)),
            quiet: self.quiet.map(|t| span(t, now)),
            unanswered: self.unanswered,
            load: self.load.map(|(rho, t)| (rho, span(t, now))),
        };
        (self.sends, self.ends, self.changed) = (0, [0; VERDICT_COUNT], false);
        (self.gaps, self.service) = (Moments::default(), Moments::default());
        report
    }
}
