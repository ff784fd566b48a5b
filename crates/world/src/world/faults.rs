//! The faults of a scenario, played: each begins, may have further steps, and ends.

use super::{Occurrence, World};
use crate::discovery::{Entry, Notice};
use crate::facts::{Fact, NodeNo, ProxyNo, Status, LEDGER};
use crate::node::Event;
use crate::outcome::FaultMark;
use crate::random::{seconds, stream};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::Micros;
use rand::RngExt;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// What becomes of a proxy's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyChange {
    /// It is told to end: it completes what it has.
    End,
    /// It dies at once.
    Die,
    Start,
}

/// Until a drained node ends, where the fault does not say.
const DRAIN_S: f64 = 4.0;
/// Until what died or was replaced is back.
const BACK_S: f64 = 2.0;
/// From one node or proxy to the next.
const EVERY_S: f64 = 5.0;
/// A restart ends a process and starts it this much later.
const EXEC_S: f64 = 0.5;
/// A planned end of a proxy: connections still come for this long.
const STILL_S: f64 = 0.3;
/// A planned end is cut short this long after the longest patience (counted as 3 s at most) at the earliest.
const KILL_S: f64 = 0.7;
const PATIENCE_S: f64 = 3.0;
/// Names that a mark lists; the rest are only counted.
const NAMED: usize = 4;

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

/// So many are this part of all: at least one, unless it is nothing.
fn part_of(part: f64, all: usize) -> usize {
    ((part * all as f64).round() as usize).max(usize::from(part > 0.0))
}

impl World {
    /// Carries out the next step, due now.
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
                // Of a process that is gone already, discovery has nothing to tell.
                if self.nodes.get(no.0 as usize).is_some_and(|n| n.is_up()) {
                    let entry = Entry { node: no, status: Status::Draining, started: None };
                    self.at_node(no, &mut events, |n, _, _| n.drain());
                    self.discovery.change(at, entry, Notice::Process);
                }
            }
            Step::End(no) => self.end_node(at, no, out),
            Step::Start(no) if self.is_taken(no) => {}
            Step::Replace(old) if self.is_taken(old) || self.is_up(old) => {}
            Step::Start(no) => self.add_started(at, no, out),
            Step::Replace(old) => {
                let member = self.member(old).clone();
                let group = self.scenario.nodes.iter().find(|g| g.kind == member.kind).cloned();
                if let Some(group) = group {
                    let no = self.add_node(&group, member.hall, Some(member.address));
                    self.add_started(at, no, out);
                }
            }
            Step::Grow(i, count) => self.grow(at, i, count, out),
            Step::Cut(hall, on) => {
                self.network.cut(hall, on);
                if !on {
                    out.push((at, Occurrence::CutOver { hall }));
                }
            }
            Step::Break(on, i) => {
                let usual = self.scenario.network.broken;
                let part = if on { self.fault_schedule.faults[i].rate.unwrap_or(0.0) } else { usual };
                self.network.break_connections(part);
            }
            Step::SlowLedger(on, i) => {
                let times = if on { self.fault_schedule.faults[i].times.unwrap_or(1.0) } else { 1.0 };
                self.ledger.set_slowdown(at, times, &mut self.shared.dedup, &mut events);
                self.publish_events(LEDGER, events, out);
                events = std::mem::take(&mut self.events);
            }
            Step::Silence(on) => self.discovery.silence(at, on),
            Step::ProxyEnds(proxy) => {
                self.fault_schedule.plan(at + seconds(STILL_S), Step::ProxyUnlisted(proxy));
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
        self.shared.initial_contents.asker = no;
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

    /// The address of this node is another's: that of the node that replaced it, whether or not that one runs just now, or of
    /// one that runs there. A second cannot listen there, and what is sent to the one would count as sent to the other.
    fn is_taken(&self, no: NodeNo) -> bool {
        let address = self.member(no).address;
        let mut others = self.members.iter().filter(|m| m.no != no && m.address == address);
        others.any(|m| m.no > no || self.is_up(m.no))
    }

    fn grow(&mut self, at: Micros, fault: usize, which: u32, out: &mut Vec<(Micros, Occurrence)>) {
        let Some(group) = self.scenario.nodes.first().cloned() else { return };
        let named = group.hall.as_ref().and_then(|h| self.scenario.halls.iter().position(|x| x == h));
        let hall = named.unwrap_or((fault + which as usize) % self.scenario.halls.len());
        let no = self.add_node(&group, hall as u16, None);
        self.add_started(at, no, out);
    }

    /// The nodes that a fault strikes, drawn from those that serve, in the order in which they are struck.
    fn affected_nodes(&self, fault: &Fault, i: usize) -> Vec<NodeNo> {
        if let Some(node) = fault.node {
            return vec![NodeNo(node)];
        }
        let mut serving: Vec<NodeNo> =
            self.members.iter().map(|m| m.no).filter(|no| self.nodes[no.0 as usize].serves()).collect();
        let wanted = match (fault.nodes, fault.part) {
            (Some(nodes), _) => nodes as usize,
            (None, Some(part)) => part_of(part, serving.len()),
            (None, None) => 0,
        };
        self.draw(i, wanted, &mut serving);
        serving
    }

    /// Leaves so many of all, drawn by the seed and the fault's place, in the order in which they were drawn.
    fn draw<T>(&self, i: usize, wanted: usize, all: &mut Vec<T>) {
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
        let every = seconds(fault.every_s.unwrap_or(EVERY_S));
        let down = |or: f64| seconds(fault.down_s.unwrap_or(or));
        let mut end = until;
        let mut struck = Vec::new();
        if fault.kind.reads().nodes && fault.kind != FaultKind::Grow {
            struck = self.affected_nodes(&fault, i);
        }
        let names = |struck: &[NodeNo]| {
            let mut names: Vec<&str> =
                struck.iter().take(NAMED).map(|no| self.member(*no).name.as_str()).collect();
            let more = format!("{} more", struck.len().saturating_sub(NAMED));
            if struck.len() > NAMED {
                names.push(&more);
            }
            names.join(", ")
        };
        let mut what = names(&struck);
        let count = struck.len() as i64;
        // Over its time, where it strikes one after the other.
        let spread = |k: usize| at + (until - at) * k as i64 / count.max(1);
        for (k, no) in struck.iter().copied().enumerate() {
            let turn = at + every * k as i64;
            match fault.kind {
                FaultKind::Hang => self.plan_start_and_end(at, until, |on| Step::Hang(no, on)),
                FaultKind::SlowNode => self.plan_start_and_end(at, until, |on| Step::Slow(no, on, i)),
                FaultKind::Errors | FaultKind::Spoil => {
                    self.plan_start_and_end(at, until, |on| Step::Fail(no, on, i))
                }
                FaultKind::Crash => {
                    self.fault_schedule.plan(at, Step::End(no));
                    end = at + down(BACK_S);
                    self.fault_schedule.plan(end, Step::Start(no));
                }
                FaultKind::Restart | FaultKind::Replace => {
                    let over = turn + down(DRAIN_S);
                    end = over + seconds(EXEC_S);
                    self.fault_schedule.plan(turn, Step::Drain(no));
                    self.fault_schedule.plan(over, Step::End(no));
                    let next =
                        if fault.kind == FaultKind::Restart { Step::Start(no) } else { Step::Replace(no) };
                    self.fault_schedule.plan(end, next);
                }
                FaultKind::Drain | FaultKind::Shrink => {
                    end = until.max(spread(k) + down(DRAIN_S));
                    self.fault_schedule.plan(spread(k), Step::Drain(no));
                    self.fault_schedule.plan(spread(k) + down(DRAIN_S), Step::End(no));
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
                let hall = self.scenario.halls.iter().position(|h| *h == name).unwrap_or(0) as u16;
                self.plan_start_and_end(at, until, |on| Step::Cut(hall, on));
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
                self.ledger.stop(at, until);
                self.schedule_wake(LEDGER);
                out.push((at, Occurrence::Ended { node: LEDGER }));
            }
            FaultKind::SilentDiscovery => self.plan_start_and_end(at, until, Step::Silence),
            FaultKind::ProxyRestart | FaultKind::ProxyCrash => {
                let all = 0..self.scenario.proxies.count;
                let mut proxies: Vec<u32> = all.filter(|p| fault.proxy.is_none_or(|f| f == *p)).collect();
                let count = proxies.len();
                if let Some(part) = fault.part {
                    self.draw(i, part_of(part, count), &mut proxies);
                }
                // A part goes at once.
                let every = if fault.part.is_some() && fault.every_s.is_none() { 0 } else { every };
                for (k, proxy) in proxies.iter().enumerate() {
                    let (turn, proxy) = (at + every * k as i64, ProxyNo(*proxy));
                    let planned = fault.kind == FaultKind::ProxyRestart;
                    let (step, back) = if planned {
                        (Step::ProxyEnds(proxy), DRAIN_S)
                    } else {
                        (Step::ProxyDies(proxy), BACK_S)
                    };
                    self.fault_schedule.plan(turn, step);
                    // Who is told to end has the time to answer what it took.
                    let least = if planned { self.longest_patience() + seconds(KILL_S) } else { 0 };
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
        seconds(classes.map(|c| c.patience_ms / 1e3).fold(0.0, f64::max).min(PATIENCE_S))
    }

    fn plan_start_and_end(&mut self, at: Micros, until: Micros, step: impl Fn(bool) -> Step) {
        self.fault_schedule.plan(at, step(true));
        self.fault_schedule.plan(until, step(false));
    }
}
