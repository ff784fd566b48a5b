//! Executes the faults of a scenario: each begins, may have further steps, and ends.

use super::{Occurrence, World};
use crate::discovery::{Entry, Notice};
use crate::facts::{Fact, NodeNo, ProxyNo, Status, ORIGIN};
use crate::node::Event;
use crate::outcome::FaultMark;
use crate::random::{seconds, stream};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::Micros;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A change of a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyChange {
    /// It is told to shut down and completes what it has accepted.
    End,
    /// It dies at once.
    Die,
    Start,
}

/// Default time until a drained node ends.
const DEFAULT_DRAIN_S: f64 = 4.0;
/// Default time until a crashed or replaced process is back.
const DEFAULT_DOWN_S: f64 = 2.0;
/// Default interval between one affected node or proxy and the next.
const DEFAULT_INTERVAL_S: f64 = 5.0;
/// Time between the end of a process and its restart.
const RESTART_DELAY_S: f64 = 0.5;
/// After a planned shutdown of a proxy begins, new connections still arrive for this long.
const UNLIST_DELAY_S: f64 = 0.3;
/// A planned shutdown ends no earlier than this long after the longest patience (counted as 3 s at most).
const SHUTDOWN_MARGIN_S: f64 = 0.7;
const MAX_PATIENCE_S: f64 = 3.0;
/// Number of names that a fault mark lists; the rest is only counted.
const MAX_NAMES: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Begin(usize),
    Hang(NodeNo, bool),
    Slow(NodeNo, bool, usize),
    Fail(NodeNo, bool, usize),
    Drain(NodeNo),
    End(NodeNo),
    Start(NodeNo),
    Replace(NodeNo),
    Grow(usize, u32),
    Cut(u16, bool),
    Break(bool, usize),
    SlowLedger(bool, usize),
    Silence(bool),
    ProxyEnds(ProxyNo),
    ProxyDies(ProxyNo),
    ProxyUnlisted(ProxyNo),
    ProxyStarts(ProxyNo),
}

pub(super) struct FaultSchedule {
    steps: BinaryHeap<Reverse<(Micros, u64, Step)>>,
    planned: u64,
    faults: Vec<Fault>,
    marks: Vec<FaultMark>,
}

impl FaultSchedule {
    pub fn new(s: &Scenario) -> Self {
        let mut fault_schedule = FaultSchedule {
            steps: BinaryHeap::new(),
            planned: 0,
            faults: s.faults.clone(),
            marks: Vec::new(),
        };
        for (i, fault) in s.faults.iter().enumerate() {
            fault_schedule.plan(seconds(fault.at_s), Step::Begin(i));
        }
        fault_schedule
    }

    fn plan(&mut self, at: Micros, step: Step) {
        self.planned += 1;
        self.steps.push(Reverse((at, self.planned, step)));
    }

    pub fn next(&self) -> Micros {
        self.steps.peek().map_or(Micros::MAX, |s| s.0 .0)
    }

    pub fn marks(&self) -> Vec<FaultMark> {
        self.marks.clone()
    }
}

/// The number of items in this part of all: at least one, unless the part is zero.
fn count_of_part(part: f64, all: usize) -> usize {
    ((part * all as f64).round() as usize).max(usize::from(part > 0.0))
}

impl World {
    /// Executes the next step, which is due now.
    pub(super) fn run_step(&mut self, at: Micros, out: &mut Vec<(Micros, Occurrence)>) {
        let Some(Reverse((_, _, step))) = self.fault_schedule.steps.pop() else { return };
        let mut events = std::mem::take(&mut self.events);
        match step {
            Step::Begin(i) => self.begin(at, i, out),
            Step::Hang(no, on) => {
                self.at_node(no, &mut events, |n, shared, out| n.set_hung(at, on, shared, out))
            }
            Step::Slow(no, on, i) => {
                let times = if on { self.fault_schedule.faults[i].times.unwrap_or(1.0) } else { 1.0 };
                self.at_node(no, &mut events, |n, shared, out| n.set_slowdown(at, times, shared, out));
            }
            Step::Fail(no, on, i) => {
                let fault = &self.fault_schedule.faults[i];
                let rate = if on { fault.rate.unwrap_or(0.0) } else { 0.0 };
                let spoils = fault.kind == FaultKind::Spoil;
                let (errors, spoils) = if spoils { (0.0, rate) } else { (rate, 0.0) };
                self.at_node(no, &mut events, |n, _, _| n.set_failure_rates(errors, spoils));
            }
            Step::Drain(no) => {
                // Discovery has nothing to report about a process that is already gone.
                if self.nodes.get(no.0 as usize).is_some_and(|n| n.is_up()) {
                    let entry = Entry { node: no, status: Status::Draining, started: None };
                    self.at_node(no, &mut events, |n, _, _| n.drain());
                    self.discovery.change(at, entry, Notice::Process);
                }
            }
            Step::End(no) => self.end_node(at, no, out),
            Step::Start(no) if self.is_address_taken(no) => {}
            Step::Replace(old) if self.is_address_taken(old) || self.is_up(old) => {}
            Step::Start(no) => self.add_started(at, no, out),
            Step::Replace(old) => {
                let member = self.member(old).clone();
                let group = self.scenario.nodes.iter().find(|g| g.kind == member.kind).cloned();
                if let Some(group) = group {
                    let no = self.add_node(&group, member.zone, Some(member.address));
                    self.add_started(at, no, out);
                }
            }
            Step::Grow(i, count) => self.grow(at, i, count, out),
            Step::Cut(zone, on) => {
                self.network.cut(zone, on);
                if !on {
                    out.push((at, Occurrence::CutOver { zone }));
                }
            }
            Step::Break(on, i) => {
                let usual = self.scenario.network.broken;
                let part = if on { self.fault_schedule.faults[i].rate.unwrap_or(0.0) } else { usual };
                self.network.break_connections(part);
            }
            Step::SlowLedger(on, i) => {
                let times = if on { self.fault_schedule.faults[i].times.unwrap_or(1.0) } else { 1.0 };
                self.origin.set_slowdown(at, times, &mut self.shared.dedup, &mut events);
                self.publish_events(ORIGIN, events, out);
                events = std::mem::take(&mut self.events);
            }
            Step::Silence(on) => self.discovery.silence(at, on),
            Step::ProxyEnds(proxy) => {
                self.fault_schedule.plan(at + seconds(UNLIST_DELAY_S), Step::ProxyUnlisted(proxy));
                out.push((at, Occurrence::Proxy { proxy, change: ProxyChange::End }));
            }
            Step::ProxyDies(proxy) => {
                self.front.changed(at, proxy, false);
                out.push((at, Occurrence::Proxy { proxy, change: ProxyChange::Die }));
            }
            Step::ProxyUnlisted(proxy) => self.front.told(proxy, false),
            Step::ProxyStarts(proxy) => {
                self.front.changed(at, proxy, true);
                out.push((at, Occurrence::Proxy { proxy, change: ProxyChange::Start }));
            }
        }
        match step {
            Step::Hang(no, _) | Step::Slow(no, ..) => self.publish_events(no, events, out),
            _ => self.events = events,
        }
        self.refresh_list_update_at();
        self.front_update_at = self.front.next().unwrap_or(Micros::MAX);
    }

    fn at_node(
        &mut self,
        no: NodeNo,
        events: &mut Vec<Event>,
        act: impl FnOnce(&mut crate::node::Node, &mut crate::node::SharedState, &mut Vec<Event>),
    ) {
        self.shared.initial_contents.requester = no;
        if let Some(node) = self.nodes.get_mut(no.0 as usize).filter(|n| n.is_up()) {
            act(node, &mut self.shared, events);
        }
    }

    fn end_node(&mut self, at: Micros, no: NodeNo, out: &mut Vec<(Micros, Occurrence)>) {
        if let Some(node) = self.nodes.get_mut(no.0 as usize).filter(|n| n.is_up()) {
            node.end(at);
            self.rules.observe(at, &Fact::Ended { node: no });
            self.report_gone(at, no, Notice::Process);
            out.push((at, Occurrence::Ended { node: no }));
        }
    }

    fn add_started(&mut self, at: Micros, no: NodeNo, out: &mut Vec<(Micros, Occurrence)>) {
        self.start_node(at, no, true);
        self.discovery.change(
            at,
            Entry { node: no, status: Status::Ready, started: Some(at) },
            Notice::Added,
        );
        out.push((at, Occurrence::Started { node: no }));
    }

    fn is_up(&self, no: NodeNo) -> bool {
        self.nodes.get(no.0 as usize).is_some_and(|n| n.is_up())
    }

    /// Whether the address of this node is used by another one: by its replacement, whether or not that is
    /// running at the moment, or by any node running there. A second process cannot listen there, and
    /// requests sent to one would count as sent to the other.
    fn is_address_taken(&self, no: NodeNo) -> bool {
        let address = self.member(no).address;
        let mut others = self.members.iter().filter(|m| m.no != no && m.address == address);
        others.any(|m| m.no > no || self.is_up(m.no))
    }

    fn grow(&mut self, at: Micros, fault: usize, which: u32, out: &mut Vec<(Micros, Occurrence)>) {
        let Some(group) = self.scenario.nodes.first().cloned() else { return };
        let named = group.hall.as_ref().and_then(|h| self.scenario.halls.iter().position(|x| x == h));
        let zone = named.unwrap_or((fault + which as usize) % self.scenario.halls.len());
        let no = self.add_node(&group, zone as u16, None);
        self.add_started(at, no, out);
    }

    /// The nodes affected by a fault, chosen at random from those that serve, in the order in which they are
    /// affected.
    fn affected_nodes(&self, fault: &Fault, i: usize) -> Vec<NodeNo> {
        if let Some(node) = fault.node {
            return vec![NodeNo(node)];
        }
        let mut serving: Vec<NodeNo> =
            self.members.iter().map(|m| m.no).filter(|no| self.nodes[no.0 as usize].serves()).collect();
        let wanted = match (fault.nodes, fault.part) {
            (Some(nodes), _) => nodes as usize,
            (None, Some(part)) => count_of_part(part, serving.len()),
            (None, None) => 0,
        };
        self.choose(i, wanted, &mut serving);
        serving
    }

    /// Keeps `wanted` random items, chosen by the seed and the fault's index, in the order in which they were
    /// drawn.
    fn choose<T>(&self, i: usize, wanted: usize, all: &mut Vec<T>) {
        let mut rng = stream(self.seed, "struck", i as u64);
        let wanted = wanted.min(all.len());
        for at in 0..wanted {
            let other = rng.random_range(at..all.len());
            all.swap(at, other);
        }
        all.truncate(wanted);
    }

    fn begin(&mut self, at: Micros, i: usize, out: &mut Vec<(Micros, Occurrence)>) {
        let fault = self.fault_schedule.faults[i].clone();
        let until = at + seconds(fault.for_s);
        let every = seconds(fault.every_s.unwrap_or(DEFAULT_INTERVAL_S));
        let down = |or: f64| seconds(fault.down_s.unwrap_or(or));
        let mut end = until;
        let mut affected = Vec::new();
        if fault.kind.reads().nodes && fault.kind != FaultKind::Grow {
            affected = self.affected_nodes(&fault, i);
        }
        let names = |affected: &[NodeNo]| {
            let mut names: Vec<&str> =
                affected.iter().take(MAX_NAMES).map(|no| self.member(*no).name.as_str()).collect();
            let more = format!("{} more", affected.len().saturating_sub(MAX_NAMES));
            if affected.len() > MAX_NAMES {
                names.push(&more);
            }
            names.join(", ")
        };
        let mut what = names(&affected);
        let count = affected.len() as i64;
        // Spread over the fault's duration if it affects one after the other.
        let spread = |k: usize| at + (until - at) * k as i64 / count.max(1);
        for (k, no) in affected.iter().copied().enumerate() {
            let turn = at + every * k as i64;
            match fault.kind {
                FaultKind::Hang => self.plan_start_and_end(at, until, |on| Step::Hang(no, on)),
                FaultKind::SlowNode => self.plan_start_and_end(at, until, |on| Step::Slow(no, on, i)),
                FaultKind::Errors | FaultKind::Spoil => {
                    self.plan_start_and_end(at, until, |on| Step::Fail(no, on, i))
                }
                FaultKind::Crash => {
                    self.fault_schedule.plan(at, Step::End(no));
                    end = at + down(DEFAULT_DOWN_S);
                    self.fault_schedule.plan(end, Step::Start(no));
                }
                FaultKind::Restart | FaultKind::Replace => {
                    let over = turn + down(DEFAULT_DRAIN_S);
                    end = over + seconds(RESTART_DELAY_S);
                    self.fault_schedule.plan(turn, Step::Drain(no));
                    self.fault_schedule.plan(over, Step::End(no));
                    let next =
                        if fault.kind == FaultKind::Restart { Step::Start(no) } else { Step::Replace(no) };
                    self.fault_schedule.plan(end, next);
                }
                FaultKind::Drain | FaultKind::Shrink => {
                    end = until.max(spread(k) + down(DEFAULT_DRAIN_S));
                    self.fault_schedule.plan(spread(k), Step::Drain(no));
                    self.fault_schedule.plan(spread(k) + down(DEFAULT_DRAIN_S), Step::End(no));
                }
                FaultKind::Vanish => {
                    let node = &mut self.nodes[no.0 as usize];
                    if node.is_up() {
                        node.vanish(at);
                        self.rules.observe(at, &Fact::Ended { node: no });
                        self.report_gone(at, no, Notice::Vanished);
                        out.push((at, Occurrence::Vanished { node: no }));
                    }
                }
                FaultKind::Forget => self.nodes[no.0 as usize].forget(),
                _ => {}
            }
        }
        let times = fault.times.unwrap_or(1.0);
        let part = fault.rate.unwrap_or(0.0) * 100.0;
        match fault.kind {
            FaultKind::Grow => {
                let count = fault.nodes.unwrap_or(0);
                for k in 0..count {
                    let turn = at + (until - at) * Micros::from(k) / Micros::from(count);
                    self.fault_schedule.plan(turn, Step::Grow(i, k));
                }
                what = format!("{count} new nodes");
            }
            FaultKind::HallCut => {
                let name = fault.hall.clone().unwrap_or_default();
                let zone = self.scenario.halls.iter().position(|h| *h == name).unwrap_or(0) as u16;
                self.plan_start_and_end(at, until, |on| Step::Cut(zone, on));
                what = name;
            }
            FaultKind::BreakConnections => {
                self.plan_start_and_end(at, until, |on| Step::Break(on, i));
                what = format!("{part:.0} % of the attempts");
            }
            FaultKind::SlowLedger => {
                self.plan_start_and_end(at, until, |on| Step::SlowLedger(on, i));
                what = format!("{times} times slower");
            }
            FaultKind::StopLedger => {
                self.origin.stop(at, until);
                self.schedule_wake(ORIGIN);
                out.push((at, Occurrence::Ended { node: ORIGIN }));
            }
            FaultKind::SilentDiscovery => self.plan_start_and_end(at, until, Step::Silence),
            FaultKind::ProxyRestart | FaultKind::ProxyCrash => {
                let all = 0..self.scenario.proxies.count;
                let mut proxies: Vec<u32> = all.filter(|p| fault.proxy.is_none_or(|f| f == *p)).collect();
                let count = proxies.len();
                if let Some(part) = fault.part {
                    self.choose(i, count_of_part(part, count), &mut proxies);
                }
                // A part of the proxies is affected at once.
                let every = if fault.part.is_some() && fault.every_s.is_none() { 0 } else { every };
                for (k, proxy) in proxies.iter().enumerate() {
                    let (turn, proxy) = (at + every * k as i64, ProxyNo(*proxy));
                    let planned = fault.kind == FaultKind::ProxyRestart;
                    let (step, back) = if planned {
                        (Step::ProxyEnds(proxy), DEFAULT_DRAIN_S)
                    } else {
                        (Step::ProxyDies(proxy), DEFAULT_DOWN_S)
                    };
                    self.fault_schedule.plan(turn, step);
                    // A proxy that is told to shut down gets the time to answer what it has accepted.
                    let least =
                        if planned { self.longest_patience() + seconds(SHUTDOWN_MARGIN_S) } else { 0 };
                    end = turn + down(back).max(least);
                    self.fault_schedule.plan(end, Step::ProxyStarts(proxy));
                }
                what = match fault.proxy {
                    Some(proxy) => format!("proxy {proxy}"),
                    None if fault.part.is_some() => format!("{} of {count} proxies", proxies.len()),
                    None => format!("{count} proxies"),
                };
            }
            FaultKind::Payday => what = format!("{times} times the traffic"),
            FaultKind::Crowd => what = format!("{part:.0} % of the reads"),
            FaultKind::Surge => {
                what = format!("{} sends {times} times", fault.tenant.clone().unwrap_or_default())
            }
            _ => {}
        }
        self.fault_schedule.marks.push(FaultMark {
            kind: fault.kind.name().into(),
            from_s: at as f64 / 1e6,
            until_s: end as f64 / 1e6,
            what,
        });
    }

    fn longest_patience(&self) -> Micros {
        let classes = self.scenario.clients.classes.iter();
        seconds(classes.map(|c| c.patience_ms / 1e3).fold(0.0, f64::max).min(MAX_PATIENCE_S))
    }

    fn plan_start_and_end(&mut self, at: Micros, until: Micros, step: impl Fn(bool) -> Step) {
        self.fault_schedule.plan(at, step(true));
        self.fault_schedule.plan(until, step(false));
    }
}
