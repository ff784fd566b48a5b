//! The planner's side: takes what forwarders see, and publishes plans.
//!
//! It owns its peers as far as they need no socket, what they told, its judgements, and the numbers of its
//! plans. An adapter accepts connections, moves bytes ([`crate::frame`]), calls [`Planner::tick`] at
//! [`Planner::next`], bounds what waits to be written to a peer and cuts one that does not take it. Nothing
//! is kept over a restart.

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

/// A connection, as the adapter numbers it; never the same number again.
pub type PeerId = u64;

/// Connections that may be open: forwarders, some that are about to be replaced, and those who ask for the
/// plan.
const PEERS: usize = bounds::FORWARDERS + 64;

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a message to a peer.
    Send(PeerId, Message),
    /// Send terms to all forwarders; encoded once.
    Terms(Vec<PeerId>, Message),
    /// Tell a peer the reason ([`crate::frame::refusal`]), and close its connection.
    Close(PeerId, Refused),
}

#[derive(Clone, Debug)]
struct Link {
    forwarder: Option<ForwarderId>,
    /// What it may send, in messages: a bucket, and when it was last filled, which is when the peer last
    /// spoke.
    tokens: f64,
    filled: Micros,
}

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Planner {
    rules: Rules,
    started: Micros,
    links: BTreeMap<PeerId, Link>,
    of: BTreeMap<ForwarderId, PeerId>,
    join: FleetView,
    silence: Silence,
    allocator: Allocator,
    numbers: PlanNumbers,
    solved: Solved,
    findings: Findings,
    next_plan: Micros,
    next_terms: Micros,
}

impl Planner {
    /// Begins with nothing. `epoch` should grow from start to start, as the clock's milliseconds do; it need
    /// not (see [`crate::publish`]).
    pub fn new(now: Micros, rules: Rules, epoch: u64) -> Result<Self, &'static str> {
        rules.check()?;
        Ok(Planner {
            started: now,
            links: BTreeMap::new(),
            of: BTreeMap::new(),
            join: FleetView::default(),
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

    /// A connection was accepted; an error says why it must not stay.
    pub fn up(&mut self, now: Micros, peer: PeerId) -> Result<(), Refused> {
        if self.links.len() >= PEERS {
            return Err(Refused::Room);
        }
        let tokens = 2.0 * bounds::MESSAGES_PER_SECOND;
        self.links.insert(peer, Link { forwarder: None, tokens, filled: now });
        Ok(())
    }

    /// A connection is over. What its forwarder told stays until it is old.
    pub fn down(&mut self, peer: PeerId) {
        let Some(link) = self.links.remove(&peer) else { return };
        if let Some(id) = link.forwarder.filter(|id| self.of.get(id) == Some(&peer)) {
            self.of.remove(&id);
        }
    }

    /// Takes a message of a peer. After an error its connection is to be closed, with the reason.
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
        if !link.takes(now) {
            return Err(Refused::Flood);
        }
        match (message, link.forwarder) {
            (Message::Hello(hello), None) => self.hello(now, peer, hello, out),
            (Message::Report(report), Some(id)) => {
                self.learn(report.holds);
                if self.join.report(now, id, report, &self.rules) {
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
        let another = self.join.peer(id).is_none_or(|p| p.life != hello.life);
        if !self.join.hello(now, hello) {
            return Err(Refused::Room);
        }
        self.learn(hello.holds);
        if another {
            self.allocator.hello(now, id, usize::from(hello.tenants), &self.rules);
        }
        if let Some(old) = self.of.insert(id, peer).filter(|old| *old != peer) {
            self.links.remove(&old);
            out.push(Output::Close(old, Refused::Unexpected("another connection of this forwarder")));
        }
        if let Some(link) = self.links.get_mut(&peer) {
            link.forwarder = Some(id);
        }
        Ok(())
    }

    fn learn(&mut self, held: PlanNumber) {
        if !self.rules.has(Planted::NumbersGoBack) {
            self.numbers.learn(held);
        }
    }

    fn forget(&mut self, id: ForwarderId) {
        self.join.forget(id);
        self.allocator.forget(id);
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let terms = self.next_terms <= now;
        if terms {
            self.next_terms = after(self.next_terms, now, self.rules.terms_every);
            let aggregated = self.join.aggregated(now, &self.rules);
            self.solved = solve(now, &aggregated, &self.rules);
        }
        if self.next_plan <= now {
            self.next_plan = after(self.next_plan, now, self.rules.plan_every);
            self.publish(now, out);
        }
        if terms && self.is_warm(now) {
            let to: Vec<PeerId> = self.of.values().copied().collect();
            for nodes in self.solved.nodes.chunks(bounds::NODES_PER_MESSAGE).filter(|_| !to.is_empty()) {
                let terms = Terms { number: self.numbers.last(), nodes: nodes.to_vec() };
                out.push(Output::Terms(to.clone(), Message::Terms(terms)));
            }
        }
    }

    fn publish(&mut self, now: Micros, out: &mut Vec<Output>) {
        for id in self.join.sweep(now, &self.rules) {
            self.allocator.forget(id);
        }
        // Also connections that said no hello, or farewell, and then stayed.
        let idle = |l: &Link| now.saturating_sub(l.filled) >= self.rules.forget_forwarder_after;
        let idle: Vec<PeerId> = self.links.iter().filter(|(_, l)| idle(l)).map(|(peer, _)| *peer).collect();
        for peer in idle {
            self.down(peer);
            out.push(Output::Close(peer, Refused::Unexpected("silence for so long")));
        }
        let number = self.numbers.next(now);
        let warm = self.is_warm(now);
        if warm {
            self.findings = self.silence.assess(now, &self.join, self.solved.long, &self.rules);
            let uses = self.join.peers().map(|(id, p)| (id, p.uses(now, &self.rules))).collect();
            self.allocator.allocate(now, number, &uses, &self.rules);
        }
        let common = self.common(number, warm);
        for (id, peer) in &self.of {
            let (life, heard) = self.join.peer(*id).map_or((0, 0), |p| (p.life, p.number));
            let evidence = Evidence { life, heard, ..common.evidence };
            let plan = Plan { evidence, parts: self.allocator.parts(*id), ..common.clone() };
            out.push(Output::Send(*peer, Message::Plan(plan)));
        }
    }

    /// What all forwarders get alike.
    fn common(&self, number: PlanNumber, warm: bool) -> Plan {
        let (forwarders, witnesses) = (self.findings.heard, self.findings.witnesses);
        Plan {
            number,
            list: self.join.peers().map(|(_, p)| p.list).max().unwrap_or(0),
            evidence: Evidence { forwarders, witnesses, warm, life: 0, heard: 0 },
            silent: self.findings.silent.clone(),
            lives: self.findings.lives.clone(),
            cuts: self.findings.cuts.clone(),
            parts: Parts::default(),
        }
    }

    /// What it finds silent or cut off, for a line of the log.
    pub fn findings(&self) -> &Findings {
        &self.findings
    }

    /// The plan as it stands, for whoever asks.
    pub fn shown(&self, now: Micros) -> Shown {
        let known = |(forwarder, p): (ForwarderId, &crate::join::Peer)| {
            let parts = self.allocator.parts(forwarder);
            let (zone, heard, holds) = (p.zone, span(p.heard, now), p.holds);
            Known { forwarder, zone, heard, holds, origin: parts.origin, cold: parts.cold }
        };
        Shown {
            plan: self.common(self.numbers.last(), self.is_warm(now)),
            terms: self.solved.nodes.iter().take(bounds::NODES_PER_MESSAGE).copied().collect(),
            forwarders: self.join.peers().take(bounds::NODES_PER_MESSAGE).map(known).collect(),
        }
    }

    /// When [`Planner::tick`] has something to do.
    pub fn next(&self) -> Micros {
        self.next_plan.min(self.next_terms)
    }

    /// Whether it has run long enough to have opinions and to give parts.
    pub fn is_warm(&self, now: Micros) -> bool {
        now.saturating_sub(self.started) >= self.rules.warm_up
    }
}

impl Link {
    fn takes(&mut self, now: Micros) -> bool {
        let seconds = now.saturating_sub(self.filled).max(0) as f64 / 1e6;
        let most = 2.0 * bounds::MESSAGES_PER_SECOND;
        self.tokens = (self.tokens + seconds * bounds::MESSAGES_PER_SECOND).min(most);
        self.filled = now;
        let some = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(some));
        some
    }
}

/// The next moment of a period that has come; periods that were missed are left out.
fn after(due: Micros, now: Micros, every: Micros) -> Micros {
    let late = now.saturating_sub(due) / every.max(1);
    due.saturating_add(every.saturating_mul(late.saturating_add(1)))
}
