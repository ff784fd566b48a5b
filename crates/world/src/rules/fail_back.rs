//! No cold node is pushed over, and no ledger stopped by misses at cold nodes.
//!
//! A budget over any window: what reaches a cold node stays under a multiple of what it can do now, times the
//! window, and what chance adds to so many requests of mean work. A single request counts for five of them at most:
//! a proxy chooses how many it sends, not how long each takes. It is the proxies' doing where two thirds of it came
//! from such as had been told of the start. At the ledger, a spell of too much is theirs where misses at cold nodes (from when the
//! proxy was told) made more than a part of it, and clearly more than the reads due to those nodes by their weight,
//! cut by the warm-up that proxies are told of.
//!
//! Beside the work, calls are counted: within any window no more than those that the settings allow a node by then, by
//! the ramp that proxies are told of, and what chance adds to so many ([`chance_margin`]). Here no call counts for more than
//! another, whatever it draws.

use super::Findings;
use crate::facts::{Fact, NodeNo, ProxyNo, Status, LEDGER};
use crate::node::{chance_margin, MAX_COUNTED_REQUESTS};
use crate::outcome::Rule;
use crate::random::{ms, seconds, Map};
use crate::scenario::Scenario;
use crate::window_sum::WindowSum;
use crate::Micros;
use std::collections::BTreeMap;

/// The part of the pressure that comes from proxies which knew.
const KNEW: f64 = 2.0 / 3.0;
/// How often the reads due to cold nodes are worked out anew.
const SHARES: Micros = 100_000;

#[derive(Clone, Debug)]
struct Node {
    weight: f64,
    capacity: f64,
    /// `None` since ever.
    started: Option<Micros>,
    sent: WindowSum,
    knowing: WindowSum,
    /// Said once a start.
    broken: bool,
    calls: WindowSum,
    knowing_calls: WindowSum,
    /// Said once a start.
    overloaded: bool,
}

impl Node {
    fn new(weight: f64, capacity: f64, started: Option<Micros>, window: Micros) -> Self {
        let none = WindowSum::new(window);
        Node {
            weight,
            capacity,
            started,
            sent: none.clone(),
            knowing: none.clone(),
            broken: false,
            calls: none.clone(),
            knowing_calls: none,
            overloaded: false,
        }
    }
}

#[derive(Clone, Debug)]
pub struct FailBack {
    multiple: f64,
    window: Micros,
    slack: f64,
    mean_work: f64,
    cold_from: f64,
    cold_for: Micros,
    miss_part: f64,
    miss_multiple: f64,
    nodes: BTreeMap<NodeNo, Node>,
    /// The start of each node as its proxies were told of it; `None` is long ago.
    told: Map<(ProxyNo, NodeNo), Option<Micros>>,
    /// At the ledger, over its own window: all that was asked, what came of misses at cold nodes, and reads due to
    /// such nodes.
    asked: WindowSum,
    misses: WindowSum,
    due: WindowSum,
    /// Classes that read.
    reads: Vec<bool>,
    /// The part of the reads that is due to cold nodes, and when it was worked out.
    share: f64,
    shared: Micros,
}

impl FailBack {
    pub fn new(s: &Scenario) -> Self {
        let r = &s.rules;
        let ledger = WindowSum::new(ms(s.ledger.fall_for_ms));
        FailBack {
            multiple: r.fall_multiple,
            window: ms(r.fall_for_ms),
            slack: MAX_COUNTED_REQUESTS * s.clients.mean_work(),
            mean_work: s.clients.mean_work(),
            cold_from: r.cold_from,
            cold_for: seconds(r.cold_s),
            miss_part: r.cold_miss_part,
            miss_multiple: r.cold_miss_multiple,
            nodes: BTreeMap::new(),
            told: Map::default(),
            asked: ledger.clone(),
            misses: ledger.clone(),
            due: ledger,
            reads: s.clients.classes.iter().map(|c| !c.write).collect(),
            share: 0.0,
            shared: Micros::MIN,
        }
    }

    /// Whether a proxy was told of this start of a node. An entry of an earlier start that a new proxy finds in its first
    /// list is later than this start and yet says nothing of it.
    fn knows(&self, proxy: ProxyNo, node: NodeNo) -> bool {
        let Some(started) = self.nodes.get(&node).and_then(|n| n.started) else { return false };
        let told = self.told.get(&(proxy, node)).copied().flatten();
        told.is_some_and(|told| told >= started)
    }

    /// Cold by what proxies are told: for so long after its start.
    fn is_cold(&self, at: Micros, node: NodeNo) -> bool {
        let started = self.nodes.get(&node).and_then(|n| n.started);
        started.is_some_and(|started| at < started + self.cold_for)
    }

    /// The part of the reads due to cold nodes, by weights cut by the stated warm-up.
    fn cold_share(&mut self, at: Micros) -> f64 {
        if at < self.shared.saturating_add(SHARES) {
            return self.share;
        }
        let (mut all, mut cold) = (0.0, 0.0);
        for node in self.nodes.values() {
            let age = node.started.map_or(self.cold_for, |s| (at - s).clamp(0, self.cold_for));
            let warm = age as f64 / self.cold_for.max(1) as f64;
            let weight = node.weight * (self.cold_from + (1.0 - self.cold_from) * warm).min(1.0);
            all += weight;
            cold += if age < self.cold_for { weight } else { 0.0 };
        }
        (self.share, self.shared) = (if all > 0.0 { cold / all } else { 0.0 }, at);
        self.share
    }

    pub fn observe(&mut self, at: Micros, fact: &Fact, findings: &mut Findings) {
        match *fact {
            Fact::Started { node, weight, capacity, warm } => {
                let started = (!warm).then_some(at);
                self.nodes.insert(node, Node::new(weight, capacity, started, self.window));
                self.shared = Micros::MIN;
            }
            Fact::Ended { node } | Fact::OverloadCrash { node } => {
                self.nodes.remove(&node);
                self.shared = Micros::MIN;
            }
            Fact::Listed { proxy, node, status: Status::Ready, started } => {
                self.told.insert((proxy, node), started);
            }
            Fact::Listed { proxy, node, .. } => drop(self.told.remove(&(proxy, node))),
            Fact::ProxyEnded { proxy, .. } => self.told.retain(|(p, _), _| *p != proxy),
            Fact::Arrived { proxy, node, work, warmth } => {
                self.arrived(at, proxy, node, work as f64, warmth, findings)
            }
            Fact::Taken { class, .. } if self.reads.get(usize::from(class.0)).is_some_and(|r| *r) => {
                let share = self.cold_share(at);
                if share > 0.0 {
                    self.due.add(at, share);
                }
            }
            Fact::LedgerAsked { proxy, after, .. } => {
                self.asked.add(at, 1.0);
                let cold = after.is_some_and(|n| self.is_cold(at, n) && self.knows(proxy, n));
                if cold {
                    self.misses.add(at, 1.0);
                }
            }
            Fact::LedgerOverloaded { stopped, .. } => {
                let (asked, misses, due) = (self.asked.sum(at), self.misses.sum(at), self.due.sum(at));
                if misses > self.miss_part * asked && misses > self.miss_multiple * due {
                    findings.add(Rule::FailBack, at, || {
                        let what = if stopped { "stopped" } else { "swamped" };
                        format!(
                            "the ledger was {what}: {misses:.0} of {asked:.0} reads came of misses at cold nodes, \
                             {due:.0} were due to them"
                        )
                    });
                }
            }
            _ => {}
        }
    }

    fn arrived(
        &mut self,
        at: Micros,
        proxy: ProxyNo,
        node: NodeNo,
        work: f64,
        warmth: f64,
        findings: &mut Findings,
    ) {
        if node == LEDGER {
            return;
        }
        self.called(at, proxy, node, findings);
        if warmth >= 1.0 {
            return;
        }
        let knows = self.knows(proxy, node);
        let Some(n) = self.nodes.get_mut(&node).filter(|n| n.started.is_some()) else { return };
        let work = work.min(self.slack);
        let sent = n.sent.add(at, work);
        let knowing = n.knowing.add(at, if knows { work } else { 0.0 });
        let allowed = self.multiple * n.capacity / 1e6 * warmth * self.window as f64;
        let able = allowed + chance_margin(allowed / self.mean_work) * self.mean_work;
        if sent > able && knowing >= KNEW * sent && !n.broken {
            n.broken = true;
            findings.add(Rule::FailBack, at, || {
                let (sent, able) = (sent / 1e3, able / 1e3);
                format!(
                    "cold node {} was sent {sent:.0} ms of work within the window, {able:.0} at most",
                    node.0
                )
            });
        }
    }

    /// The ramp that proxies are told of: the part of its capacity that a node has at this age at the least.
    fn ramp(&self, age: Micros) -> f64 {
        let along = age.max(0) as f64 / self.cold_for.max(1) as f64;
        (self.cold_from + (1.0 - self.cold_from) * along).min(1.0)
    }

    fn called(&mut self, at: Micros, proxy: ProxyNo, node: NodeNo, findings: &mut Findings) {
        if !self.is_cold(at, node) {
            return;
        }
        let knows = self.knows(proxy, node);
        let Some(started) = self.nodes.get(&node).and_then(|n| n.started) else { return };
        let ramp = self.ramp(at - started);
        let window = self.window as f64 / 1e6;
        let Some(n) = self.nodes.get_mut(&node) else { return };
        let allowed = self.multiple * n.capacity * ramp * window / self.mean_work;
        let most = allowed + chance_margin(allowed);
        let calls = n.calls.add(at, 1.0);
        let knowing = n.knowing_calls.add(at, if knows { 1.0 } else { 0.0 });
        if calls > most && knowing >= KNEW * calls && !n.overloaded {
            n.overloaded = true;
            findings.add(Rule::SlowStart, at, || {
                let age = (at - started) as f64 / 1e6;
                format!(
                    "node {} got {calls:.0} calls within the window {age:.1} s after its start: {allowed:.0} are allowed, \
                     {most:.0} with chance",
                    node.0
                )
            });
        }
    }
}
