//! The planner's state machine: collects reports from forwarders and publishes plans.
//!
//! It manages its peers without any socket, and stores their reports, its findings and its plan numbers. An
//! adapter accepts connections, transfers bytes ([`crate::frame`]) and calls [`Planner::tick`] at
//! [`Planner::next`]. The adapter must bound the write queue of each peer and close peers that do not read.
//! No state survives a restart.

use crate::bounds;
use crate::frame::Refused;
use crate::ids::{ForwarderId, PlanNumber};
use crate::join::FleetView;
use crate::message::{span, Evidence, Hello, Known, Message, Parts, Plan, Shown, Terms};
use crate::parts::Allocator;
use crate::publish::PlanNumbers;
use crate::rules::{Planted, Rules};
use crate::silence::{Findings, Silence};
use crate::solve::{solve, Solved};
use crate::Micros;
use std::collections::BTreeMap;

/// A connection number assigned by the adapter; never reused.
pub type PeerId = u64;

/// Maximum number of open connections: forwarders, connections about to be replaced, and `plan show` clients.
const MAX_PEERS: usize = bounds::FORWARDERS + 64;

/// An action for the adapter.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a peer.
    Send(PeerId, Message),
    /// Send terms to all of these forwarders; the message needs to be encoded only once.
    Terms(Vec<PeerId>, Message),
    /// Send the reason to a peer ([`crate::frame::refusal`]) and close its connection.
    Close(PeerId, Refused),
}

#[derive(Clone, Debug)]
struct Link {
    forwarder: Option<ForwarderId>,
    /// Token bucket for received messages, and when it was last filled, which is when the peer last sent
    /// something.
    tokens: f64,
    filled: Micros,
}

/// The planner's state machine; see the module documentation.
#[derive(Clone, Debug)]
pub struct Planner {
    rules: Rules,
    started: Micros,
    links: BTreeMap<PeerId, Link>,
    peer_of: BTreeMap<ForwarderId, PeerId>,
    fleet: FleetView,
    silence: Silence,
    allocator: Allocator,
    numbers: PlanNumbers,
    solved: Solved,
    findings: Findings,
    next_plan: Micros,
    next_terms: Micros,
}

impl Planner {
    /// Starts without state. `epoch` should increase with each start, as the clock's milliseconds do, but
    /// need not (see [`crate::publish`]).
    pub fn new(now: Micros, rules: Rules, epoch: u64) -> Result<Self, &'static str> {
        rules.check()?;
        Ok(Planner {
            started: now,
            links: BTreeMap::new(),
            peer_of: BTreeMap::new(),
            fleet: FleetView::default(),
            silence: Silence::default(),
            allocator: Allocator::default(),
            numbers: PlanNumbers::new(epoch),
            solved: Solved::default(),
            findings: Findings::default(),
            next_plan: now.saturating_add(rules.plan_every),
            next_terms: now.saturating_add(rules.terms_every),
            rules,
        })
    }

    /// A connection was accepted; an error means that it must be closed.
    pub fn up(&mut self, now: Micros, peer: PeerId) -> Result<(), Refused> {
        if self.links.len() >= MAX_PEERS {
            return Err(Refused::Room);
        }
        let tokens = 2.0 * bounds::MESSAGES_PER_SECOND;
        self.links.insert(peer, Link { forwarder: None, tokens, filled: now });
        Ok(())
    }

    /// A connection ended. The reports of its forwarder are kept until they expire.
    pub fn down(&mut self, peer: PeerId) {
        let Some(link) = self.links.remove(&peer) else { return };
        if let Some(id) = link.forwarder.filter(|id| self.peer_of.get(id) == Some(&peer)) {
            self.peer_of.remove(&id);
        }
    }

    /// Handles a message from a peer. After an error its connection must be closed with that reason.
    pub fn message(
        &mut self,
        now: Micros,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), Refused> {
        let Some(link) = self.links.get_mut(&peer) else {
            return Err(Refused::Unexpected("a word after the end"));
        };
        if !link.take_token(now) {
            return Err(Refused::Flood);
        }
        match (message, link.forwarder) {
            (Message::Hello(hello), None) => self.hello(now, peer, hello, out),
            (Message::Report(report), Some(id)) => {
                self.learn_number(report.holds);
                if self.fleet.report(now, id, report, &self.rules) {
                    let made = self.numbers.made(report.holds);
                    self.allocator.report(now, id, report.parts, made);
                }
                Ok(())
            }
            (Message::Bye, Some(id)) => {
                self.forget(id);
                Ok(())
            }
            (Message::Show, None) => {
                out.push(Output::Send(peer, Message::Shown(self.shown(now))));
                Ok(())
            }
            (Message::Hello(_), Some(_)) => Err(Refused::Unexpected("a second hello")),
            (Message::Show, Some(_)) => Err(Refused::Unexpected("a question about the plan")),
            (Message::Report(_) | Message::Bye, None) => Err(Refused::Unexpected("a word before the hello")),
            (Message::Plan(_) | Message::Terms(_) | Message::Shown(_), _) => {
                Err(Refused::Unexpected("a plan"))
            }
        }
    }

    fn hello(
        &mut self,
        now: Micros,
        peer: PeerId,
        hello: &Hello,
        out: &mut Vec<Output>,
    ) -> Result<(), Refused> {
        let id = hello.forwarder;
        let new_start = self.fleet.peer(id).is_none_or(|p| p.life != hello.life);
        if !self.fleet.hello(now, hello) {
            return Err(Refused::Room);
        }
        self.learn_number(hello.holds);
        if new_start {
            self.allocator.hello(now, id, usize::from(hello.tenants), &self.rules);
        }
        if let Some(old) = self.peer_of.insert(id, peer).filter(|old| *old != peer) {
            self.links.remove(&old);
            out.push(Output::Close(old, Refused::Unexpected("another connection of this forwarder")));
        }
        if let Some(link) = self.links.get_mut(&peer) {
            link.forwarder = Some(id);
        }
        Ok(())
    }

    fn learn_number(&mut self, held: PlanNumber) {
        if !self.rules.has(Planted::NumbersGoBack) {
            self.numbers.learn(held);
        }
    }

    fn forget(&mut self, id: ForwarderId) {
        self.fleet.forget(id);
        self.allocator.forget(id);
    }

    /// Performs all actions that are due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let terms = self.next_terms <= now;
        if terms {
            self.next_terms = next_period(self.next_terms, now, self.rules.terms_every);
            let aggregated = self.fleet.aggregated(now, &self.rules);
            self.solved = solve(now, &aggregated, &self.rules);
        }
        if self.next_plan <= now {
            self.next_plan = next_period(self.next_plan, now, self.rules.plan_every);
            self.publish(now, out);
        }
        if terms && self.is_warm(now) {
            let to: Vec<PeerId> = self.peer_of.values().copied().collect();
            for nodes in self.solved.nodes.chunks(bounds::NODES_PER_MESSAGE).filter(|_| !to.is_empty()) {
                let terms = Terms { number: self.numbers.last(), nodes: nodes.to_vec() };
                out.push(Output::Terms(to.clone(), Message::Terms(terms)));
            }
        }
    }

    fn publish(&mut self, now: Micros, out: &mut Vec<Output>) {
        for id in self.fleet.sweep(now, &self.rules) {
            self.allocator.forget(id);
        }
        // Includes connections that never sent a hello, or that stayed open after a bye.
        let idle = |l: &Link| now.saturating_sub(l.filled) >= self.rules.forget_forwarder_after;
        let idle: Vec<PeerId> = self.links.iter().filter(|(_, l)| idle(l)).map(|(peer, _)| *peer).collect();
        for peer in idle {
            self.down(peer);
            out.push(Output::Close(peer, Refused::Unexpected("silence for so long")));
        }
        let number = self.numbers.next(now);
        let warm = self.is_warm(now);
        if warm {
            self.findings = self.silence.assess(now, &self.fleet, self.solved.long_response, &self.rules);
            let uses = self.fleet.peers().map(|(id, p)| (id, p.uses(now, &self.rules))).collect();
            self.allocator.allocate(now, number, &uses, &self.rules);
        }
        let common = self.common_plan(number, warm);
        for (id, peer) in &self.peer_of {
            let (life, heard) = self.fleet.peer(*id).map_or((0, 0), |p| (p.life, p.number));
            let evidence = Evidence { life, heard, ..common.evidence };
            let plan = Plan { evidence, parts: self.allocator.parts(*id), ..common.clone() };
            out.push(Output::Send(*peer, Message::Plan(plan)));
        }
    }

    /// The content that is the same for all forwarders.
    fn common_plan(&self, number: PlanNumber, warm: bool) -> Plan {
        let (forwarders, witnesses) = (self.findings.heard, self.findings.witnesses);
        Plan {
            number,
            list: self.fleet.peers().map(|(_, p)| p.list).max().unwrap_or(0),
            evidence: Evidence { forwarders, witnesses, warm, life: 0, heard: 0 },
            silent: self.findings.silent.clone(),
            lives: self.findings.lives.clone(),
            cuts: self.findings.cuts.clone(),
            parts: Parts::default(),
        }
    }

    /// Nodes found silent and zones found cut off, for logging.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// The current plan, for `plan show`.
    pub fn shown(&self, now: Micros) -> Shown {
        let known = |(forwarder, p): (ForwarderId, &crate::join::Peer)| {
            let parts = self.allocator.parts(forwarder);
            let (zone, heard, holds) = (p.zone, span(p.heard, now), p.holds);
            Known { forwarder, zone, heard, holds, origin: parts.origin, cold: parts.cold }
        };
        Shown {
            plan: self.common_plan(self.numbers.last(), self.is_warm(now)),
            terms: self.solved.nodes.iter().take(bounds::NODES_PER_MESSAGE).copied().collect(),
            forwarders: self.fleet.peers().take(bounds::NODES_PER_MESSAGE).map(known).collect(),
        }
    }

    /// The time at which [`Planner::tick`] must be called next.
    pub fn next(&self) -> Micros {
        self.next_plan.min(self.next_terms)
    }

    /// Whether it has run long enough to make statements and assign parts.
    pub fn is_warm(&self, now: Micros) -> bool {
        now.saturating_sub(self.started) >= self.rules.warm_up
    }
}

impl Link {
    fn take_token(&mut self, now: Micros) -> bool {
        let seconds = now.saturating_sub(self.filled).max(0) as f64 / 1e6;
        let most = 2.0 * bounds::MESSAGES_PER_SECOND;
        self.tokens = (self.tokens + seconds * bounds::MESSAGES_PER_SECOND).min(most);
        self.filled = now;
        let some = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(some));
        some
    }
}

/// The next due time of a period after `now`; missed periods are skipped.
fn next_period(due: Micros, now: Micros, every: Micros) -> Micros {
    let late = now.saturating_sub(due) / every.max(1);
    due.saturating_add(every.saturating_mul(late.saturating_add(1)))
}
