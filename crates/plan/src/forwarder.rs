//! The forwarder's side: tells planners what it sees, and says what of their plans stands.
//!
//! It owns the links to planners as far as they need no socket: when to dial, what to send, what each one's
//! plans are worth. An adapter opens connections, moves bytes ([`crate::frame`]) and calls
//! [`Forwarder::tick`] at [`Forwarder::next`]; it bounds what waits to be written and closes a connection
//! that does not take it. Without planners do not make one: the proxy is then as it was.

use crate::bounds;
use crate::damp::DampedTerms;
use crate::frame::Refused;
use crate::ids::{ForwarderId, Node, Zone};
use crate::merge::{MarkTarget, Merge, PlanRejection};
use crate::message::{Evidence, Hello, Message, Plan};
use crate::observations::{Listed, Observations};
use crate::parts::{self, HeldParts};
use crate::rules::Rules;
use crate::solve::Queue;
use crate::{spread, Micros};
use std::collections::VecDeque;

/// Reports of which the time is remembered; at four a second 16 s.
const REMEMBERED: usize = 64;

/// What a forwarder is told at its start.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its name, the same after a restart.
    pub id: ForwarderId,
    /// This start; another one has another.
    pub life: u64,
    /// Where it stands.
    pub zone: Zone,
    /// Tenants and classes of the settings.
    pub tenants: usize,
    /// See [`Config::tenants`].
    pub classes: usize,
    /// How many planners are configured, whether they run or not.
    pub planners: usize,
    /// Spreads its moves over those of others; new with each start.
    pub seed: u64,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Open a connection to a planner, and tell [`Forwarder::up`] or [`Forwarder::down`].
    Dial(usize),
    /// Send a message to a planner.
    Send(usize, Message),
    /// [`Forwarder::guidance`] is another.
    GuidanceChanged,
    /// A plan was refused; worth one line of the log.
    Refused(usize, PlanRejection),
}

#[derive(Clone, Copy, Debug)]
enum Link {
    Down { dial_at: Micros, failures: u32 },
    Dialling { failures: u32 },
    Up,
}

/// What stands: the input of the decision module.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Guidance {
    /// Nodes that take less than all of their keys, with the part that they take: 0 is silent. It says
    /// nothing of readiness, and never gives to a node that the list does not have ready.
    pub takes: Vec<(Node, f64)>,
    /// Terms by node, with the trust that they have beside the forwarder's own: 1 to 0.
    pub queues: Vec<(Node, Queue, f64)>,
    /// This forwarder's part of every cold node's budget, of what may be out at the origin, and of the
    /// tenants' quotas.
    pub cold: f64,
    /// See [`Guidance::cold`].
    pub origin: f64,
    /// See [`Guidance::cold`].
    pub tenants: Vec<f64>,
    /// How far these parts are to be trusted beside the forwarder's own judgement: 1 to 0. Planners that have
    /// given nothing yet, or nothing for long, take from it.
    pub parts_trust: f64,
}

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Forwarder {
    rules: Rules,
    config: Config,
    observations: Observations,
    merge: Merge,
    held_parts: Vec<HeldParts>,
    links: Vec<Link>,
    damped_terms: DampedTerms,
    taken: VecDeque<(u64, Micros)>,
    next_report: Micros,
}

impl Forwarder {
    /// Begins. It fails where the rules contradict each other, and with no planner or too many.
    pub fn new(now: Micros, rules: Rules, config: Config) -> Result<Self, &'static str> {
        rules.check()?;
        match config.planners {
            0 => return Err("no planner: a forwarder without one needs no plan"),
            1..=bounds::PLANNERS => {}
            _ => return Err("too many planners"),
        }
        // Forwarders that start together dial and tell at moments of their own.
        let wait = |matter, within| now.saturating_add(spread::delay(config.seed, matter, 0, within));
        let down =
            |slot: usize| Link::Down { dial_at: wait(16 + slot as u64, rules.dial_backoff_min), failures: 0 };
        Ok(Forwarder {
            observations: Observations::new(config.tenants, config.classes),
            merge: Merge::new(config.zone, config.seed, config.planners),
            held_parts: vec![HeldParts::new(now); config.planners],
            links: (0..config.planners).map(down).collect(),
            damped_terms: DampedTerms::new(now, config.seed, rules.terms_every / 2),
            taken: VecDeque::with_capacity(REMEMBERED),
            next_report: wait(4, rules.report_every),
            rules,
            config,
        })
    }

    /// What it sees, for events that cost next to nothing: sends, outcomes, use.
    pub fn observations(&mut self) -> &mut Observations {
        &mut self.observations
    }

    /// Takes the whole list.
    pub fn list(&mut self, now: Micros, revision: u64, listed: &[Listed], out: &mut Vec<Output>) {
        self.observations.list(revision, listed);
        self.merge.list(self.observations.listed());
        self.settle(now, out);
        out.push(Output::GuidanceChanged);
    }

    /// A connection to a planner is up.
    pub fn up(&mut self, _now: Micros, slot: usize, out: &mut Vec<Output>) {
        let holds = self.merge.number(slot);
        let Some(link) = self.links.get_mut(slot) else { return };
        *link = Link::Up;
        let tenants = u16::try_from(self.config.tenants.min(bounds::TENANTS)).unwrap_or(0);
        let c = &self.config;
        let hello = Hello { forwarder: c.id, life: c.life, zone: c.zone, holds, tenants };
        out.push(Output::Send(slot, Message::Hello(hello)));
    }

    /// A connection to a planner did not come up, broke, or was closed.
    pub fn down(&mut self, now: Micros, slot: usize) {
        let Some(link) = self.links.get_mut(slot) else { return };
        let failures = match *link {
            Link::Down { .. } => return,
            Link::Dialling { failures } => failures.saturating_add(1),
            Link::Up => 0,
        };
        let longest = self
            .rules
            .dial_backoff_min
            .saturating_mul(1 << failures.min(16))
            .min(self.rules.dial_backoff_max);
        self.merge.lost(slot);
        // Between half of it and all: twenty forwarders that lose a planner do not come back as one.
        let wait =
            longest / 2 + spread::delay(self.config.seed, 16 + slot as u64, now as u64, longest / 2 + 1);
        *link = Link::Down { dial_at: now.saturating_add(wait), failures };
    }

    /// Takes a message of a planner. After an error the connection is to be closed.
    pub fn message(
        &mut self,
        now: Micros,
        slot: usize,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), Refused> {
        match message {
            Message::Plan(plan) => {
                self.plan(now, slot, plan, out);
                Ok(())
            }
            Message::Terms(terms) => {
                self.merge.terms(slot, terms);
                Ok(())
            }
            Message::Hello(_) => Err(Refused::Unexpected("a hello")),
            Message::Report(_) => Err(Refused::Unexpected("a sight")),
            Message::Bye => Err(Refused::Unexpected("a farewell")),
            Message::Show | Message::Shown(_) => Err(Refused::Unexpected("a question about the plan")),
        }
    }

    fn plan(&mut self, now: Micros, slot: usize, plan: &Plan, out: &mut Vec<Output>) {
        let basis = self.basis(&plan.evidence);
        match self.merge.take(slot, plan, basis, &self.rules) {
            Ok(()) => {
                if let Some((held, basis)) = self.held_parts.get_mut(slot).zip(basis) {
                    held.take(now, basis, &plan.parts);
                }
                self.settle(now, out);
            }
            Err((why, true)) => out.push(Output::Refused(slot, why)),
            Err((_, false)) => {}
        }
    }

    /// When the report was taken that a plan rests on.
    fn basis(&self, evidence: &Evidence) -> Option<Micros> {
        let mine = evidence.life == self.config.life;
        self.taken.iter().find(|(n, _)| mine && *n == evidence.heard).map(|(_, at)| *at)
    }

    fn settle(&mut self, now: Micros, out: &mut Vec<Output>) {
        let observations = &self.observations;
        if self.merge.settle(now, |n| observations.sign(n), &self.rules) {
            out.push(Output::GuidanceChanged);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        for (slot, link) in self.links.iter_mut().enumerate() {
            if let Link::Down { dial_at, failures } = *link {
                if dial_at <= now {
                    *link = Link::Dialling { failures };
                    out.push(Output::Dial(slot));
                }
            }
        }
        if self.next_report <= now {
            self.tell(now, out);
        }
        self.settle(now, out);
        let (merge, rules) = (&self.merge, &self.rules);
        let nodes = self.observations.listed().filter(|l| l.ready).map(|l| l.node);
        let toward = nodes.filter_map(|n| Some((n, merge.queue(n, now, rules)?)));
        if self.damped_terms.step(now, toward) {
            out.push(Output::GuidanceChanged);
        }
    }

    fn tell(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late = now.saturating_sub(self.next_report) / self.rules.report_every;
        let periods = self.rules.report_every.saturating_mul(late.saturating_add(1));
        self.next_report = self.next_report.saturating_add(periods);
        let report = self.observations.take(now);
        if self.taken.len() >= REMEMBERED {
            self.taken.pop_front();
        }
        self.taken.push_back((report.number, now));
        for (slot, _) in self.links.iter().enumerate().filter(|(_, l)| matches!(l, Link::Up)) {
            let mut report = report.clone();
            report.holds = self.merge.number(slot);
            report.parts = self.held_parts.get(slot).map(HeldParts::version).unwrap_or_default();
            out.push(Output::Send(slot, Message::Report(report)));
        }
    }

    /// When [`Forwarder::tick`] has something to do.
    pub fn next(&self, now: Micros) -> Micros {
        let dials = self.links.iter().filter_map(|l| match l {
            Link::Down { dial_at, .. } => Some(*dial_at),
            _ => None,
        });
        let others =
            [Some(self.next_report), Some(self.damped_terms.next()), self.merge.next(now, &self.rules)];
        dials.chain(others.into_iter().flatten()).min().unwrap_or(self.next_report)
    }

    /// What stands now.
    pub fn guidance(&self, now: Micros) -> Guidance {
        let part = |at| parts::mean(&self.held_parts, at, now, &self.rules);
        Guidance {
            takes: self.merge.parts(now, &self.rules),
            queues: self.damped_terms.used().collect(),
            cold: part(0),
            origin: part(1),
            tenants: (0..self.config.tenants.min(bounds::TENANTS)).map(|t| part(2 + t)).collect(),
            parts_trust: parts::trust(&self.held_parts, now, &self.rules),
        }
    }

    /// What is in force, for a line of the log.
    pub fn in_force(&self) -> impl Iterator<Item = MarkTarget> + '_ {
        self.merge.out()
    }

    /// The merge, for tests and figures.
    pub fn merge(&self) -> &Merge {
        &self.merge
    }

    /// What it holds of each planner, for tests and figures.
    pub fn held_parts(&self) -> &[HeldParts] {
        &self.held_parts
    }

    /// The rules that it keeps to.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// The planned end: says farewell where there is a connection.
    pub fn bye(&mut self, out: &mut Vec<Output>) {
        for (slot, _) in self.links.iter().enumerate().filter(|(_, l)| matches!(l, Link::Up)) {
            out.push(Output::Send(slot, Message::Bye));
        }
    }
}
