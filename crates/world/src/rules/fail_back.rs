//! No cold node crashes from overload, and the origin is not stopped by misses at cold nodes.
//!
//! The rule is a budget over a sliding window: the work that reaches a cold node must stay below a multiple
//! of what the node can do now, times the window, plus a margin for random variation of that many requests of
//! mean work. A single request counts for five of them at most: a proxy controls how many requests it sends,
//! not how long each takes. The proxies are responsible if two thirds of the work came from proxies that had
//! been told of the start. Overload of the origin is attributed to the proxies if misses at cold nodes (since
//! the proxy was told) made up more than a part of it, and clearly more than the reads due to those nodes by
//! their weight, reduced by the warm-up that proxies are told of.
//!
//! In addition to the work, calls are counted: within any window no more than the settings allow a node by
//! then, according to the ramp that proxies are told of, plus a margin for random variation of that many
//! ([`chance_margin`]). Here every call counts the same, whatever its work.

use super::Findings;
use crate::facts::{Fact, NodeNo, ProxyNo, Status, ORIGIN};
use crate::node::{chance_margin, MAX_COUNTED_REQUESTS};
use crate::outcome::Rule;
use crate::random::{ms, seconds, Map};
use crate::scenario::Scenario;
use crate::window_sum::WindowSum;
use crate::Micros;
use std::collections::BTreeMap;

/// The part of the load that must come from proxies that had been told of the start.
const INFORMED_PART: f64 = 2.0 / 3.0;
/// Interval at which the reads due to cold nodes are recomputed.
const SHARE_INTERVAL: Micros = 100_000;

#[derive(Clone, Debug)]
struct Node {
    weight: f64,
    capacity: f64,
    /// `None` if it was warm from the beginning.
    started: Option<Micros>,
    sent: WindowSum,
    sent_informed: WindowSum,
    /// Reported once per start.
    work_reported: bool,
    calls: WindowSum,
    calls_informed: WindowSum,
    /// Reported once per start.
    calls_reported: bool,
}

impl Node {
    fn new(weight: f64, capacity: f64, started: Option<Micros>, window: Micros) -> Self {
        let none = WindowSum::new(window);
        Node {
            weight,
            capacity,
            started,
            sent: none.clone(),
            sent_informed: none.clone(),
            work_reported: false,
            calls: none.clone(),
            calls_informed: none,
            calls_reported: false,
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
    /// The start of each node's process as its proxies were told; `None` means long ago.
    starts_reported: Map<(ProxyNo, NodeNo), Option<Micros>>,
    /// At the origin, over its own window: all reads and writes, misses at cold nodes, and reads due to such
    /// nodes.
    asked: WindowSum,
    misses: WindowSum,
    due: WindowSum,
    /// Whether each class reads.
    reads: Vec<bool>,
    /// The part of the reads due to cold nodes, and when it was computed.
    share: f64,
    share_at: Micros,
}

impl FailBack {
    pub fn new(s: &Scenario) -> Self {
        let r = &s.rules;
        let origin = WindowSum::new(ms(s.ledger.fall_for_ms));
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
            starts_reported: Map::default(),
            asked: origin.clone(),
            misses: origin.clone(),
            due: origin,
            reads: s.clients.classes.iter().map(|c| !c.write).collect(),
            share: 0.0,
            share_at: Micros::MIN,
        }
    }

    /// Whether a proxy was told of this start of a node. A new proxy may find an entry of an earlier start in
    /// its first list; it is received after this start but says nothing about it.
    fn is_informed(&self, proxy: ProxyNo, node: NodeNo) -> bool {
        let Some(started) = self.nodes.get(&node).and_then(|n| n.started) else { return false };
        let reported = self.starts_reported.get(&(proxy, node)).copied().flatten();
        reported.is_some_and(|reported| reported >= started)
    }

    /// Cold according to what proxies are told: for a fixed time after its start.
    fn is_cold(&self, at: Micros, node: NodeNo) -> bool {
        let started = self.nodes.get(&node).and_then(|n| n.started);
        started.is_some_and(|started| at < started + self.cold_for)
    }

    /// The part of the reads due to cold nodes, by weights reduced by the stated warm-up.
    fn cold_share(&mut self, at: Micros) -> f64 {
        if at < self.share_at.saturating_add(SHARE_INTERVAL) {
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
        (self.share, self.share_at) = (if all > 0.0 { cold / all } else { 0.0 }, at);
        self.share
    }

    pub fn observe(&mut self, at: Micros, fact: &Fact, findings: &mut Findings) {
        match *fact {
            Fact::Started { node, weight, capacity, warm } => {
                let started = (!warm).then_some(at);
                self.nodes.insert(node, Node::new(weight, capacity, started, self.window));
                self.share_at = Micros::MIN;
            }
            Fact::Ended { node } | Fact::OverloadCrash { node } => {
                self.nodes.remove(&node);
                self.share_at = Micros::MIN;
            }
            Fact::Listed { proxy, node, status: Status::Ready, started } => {
                self.starts_reported.insert((proxy, node), started);
            }
            Fact::Listed { proxy, node, .. } => drop(self.starts_reported.remove(&(proxy, node))),
            Fact::ProxyEnded { proxy, .. } => self.starts_reported.retain(|(p, _), _| *p != proxy),
            Fact::Arrived { proxy, node, work, warmth } => {
                self.check_work(at, proxy, node, work as f64, warmth, findings)
            }
            Fact::Taken { class, .. } if self.reads.get(usize::from(class.0)).is_some_and(|r| *r) => {
                let share = self.cold_share(at);
                if share > 0.0 {
                    self.due.add(at, share);
                }
            }
            Fact::OriginAsked { proxy, after, .. } => {
                self.asked.add(at, 1.0);
                let cold = after.is_some_and(|n| self.is_cold(at, n) && self.is_informed(proxy, n));
                if cold {
                    self.misses.add(at, 1.0);
                }
            }
            Fact::OriginOverloaded { stopped, .. } => {
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

    fn check_work(
        &mut self,
        at: Micros,
        proxy: ProxyNo,
        node: NodeNo,
        work: f64,
        warmth: f64,
        findings: &mut Findings,
    ) {
        if node == ORIGIN {
            return;
        }
        self.check_calls(at, proxy, node, findings);
        if warmth >= 1.0 {
            return;
        }
        let is_informed = self.is_informed(proxy, node);
        let Some(n) = self.nodes.get_mut(&node).filter(|n| n.started.is_some()) else { return };
        let work = work.min(self.slack);
        let sent = n.sent.add(at, work);
        let sent_informed = n.sent_informed.add(at, if is_informed { work } else { 0.0 });
        let allowed = self.multiple * n.capacity / 1e6 * warmth * self.window as f64;
        let able = allowed + chance_margin(allowed / self.mean_work) * self.mean_work;
        if sent > able && sent_informed >= INFORMED_PART * sent && !n.work_reported {
            n.work_reported = true;
            findings.add(Rule::FailBack, at, || {
                let (sent, able) = (sent / 1e3, able / 1e3);
                format!(
                    "cold node {} was sent {sent:.0} ms of work within the window, {able:.0} at most",
                    node.0
                )
            });
        }
    }

    /// The ramp that proxies are told of: the minimum part of its capacity that a node has at this age.
    fn ramp(&self, age: Micros) -> f64 {
        let along = age.max(0) as f64 / self.cold_for.max(1) as f64;
        (self.cold_from + (1.0 - self.cold_from) * along).min(1.0)
    }

    fn check_calls(&mut self, at: Micros, proxy: ProxyNo, node: NodeNo, findings: &mut Findings) {
        if !self.is_cold(at, node) {
            return;
        }
        let is_informed = self.is_informed(proxy, node);
        let Some(started) = self.nodes.get(&node).and_then(|n| n.started) else { return };
        let ramp = self.ramp(at - started);
        let window = self.window as f64 / 1e6;
        let Some(n) = self.nodes.get_mut(&node) else { return };
        let allowed = self.multiple * n.capacity * ramp * window / self.mean_work;
        let most = allowed + chance_margin(allowed);
        let calls = n.calls.add(at, 1.0);
        let sent_informed = n.calls_informed.add(at, if is_informed { 1.0 } else { 0.0 });
        if calls > most && sent_informed >= INFORMED_PART * calls && !n.calls_reported {
            n.calls_reported = true;
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
