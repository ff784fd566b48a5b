//! The forwarder's state machine: reports observations to planners and derives guidance from their plans.
//!
//! It manages the links to planners without any socket: when to dial, what to send, and how far each
//! planner's plans count. An adapter opens connections, transfers bytes ([`crate::frame`]) and calls
//! [`Forwarder::tick`] at [`Forwarder::next`]. The adapter must bound its write queue and close a connection
//! whose peer does not read. Without planners no `Forwarder` is created, and the proxy decides on its own.

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

/// Number of reports whose time is remembered; 16 s at four reports per second.
const REMEMBERED_REPORTS: usize = 64;

/// Configuration of a forwarder.
#[derive(Clone, Debug)]
pub struct Config {
    /// Its identity, which survives restarts.
    pub id: ForwarderId,
    /// Identifies this start of the process; differs after each restart.
    pub life: u64,
    /// The zone in which the forwarder runs.
    pub zone: Zone,
    /// Number of tenants and classes in the settings.
    pub tenants: usize,
    /// See [`Config::tenants`].
    pub classes: usize,
    /// Number of configured planners, running or not.
    pub planners: usize,
    /// Spreads the times of its actions relative to other forwarders; new at each start.
    pub seed: u64,
}

/// An action for the adapter.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Connect to a planner, then call [`Forwarder::up`] or [`Forwarder::down`].
    Dial(usize),
    /// Send a message to a planner.
    Send(usize, Message),
    /// [`Forwarder::guidance`] has changed.
    GuidanceChanged,
    /// A plan was refused for a reason that is worth one log line.
    Refused(usize, PlanRejection),
}

#[derive(Clone, Copy, Debug)]
enum Link {
    Down { dial_at: Micros, failures: u32 },
    Dialling { failures: u32 },
    Up,
}

/// Input for the decision module, derived from the plans in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Guidance {
    /// Nodes that take only a part of their keys, with that part; 0 means silent. It does not make a node
    /// ready that the list does not have as ready.
    pub takes: Vec<(Node, f64)>,
    /// Queueing terms per node, with their weight against the forwarder's own estimates, 0 to 1.
    pub queues: Vec<(Node, Queue, f64)>,
    /// This forwarder's part of every cold node's budget, of the concurrent requests at the origin, and of
    /// the tenants' quotas.
    pub cold: f64,
    /// See [`Guidance::cold`].
    pub origin: f64,
    /// See [`Guidance::cold`].
    pub tenants: Vec<f64>,
    /// Weight of these parts against the forwarder's own judgement, 0 to 1. It decreases with planners that
    /// have assigned nothing yet, or nothing for long.
    pub parts_trust: f64,
}

/// The forwarder's state machine; see the module documentation.
#[derive(Clone, Debug)]
pub struct Forwarder {
    rules: Rules,
    config: Config,
    observations: Observations,
    merge: Merge,
    held_parts: Vec<HeldParts>,
    links: Vec<Link>,
    damped_terms: DampedTerms,
    report_times: VecDeque<(u64, Micros)>,
    next_report: Micros,
}

impl Forwarder {
    /// Fails if the rules are inconsistent, or if there is no planner or too many.
    pub fn new(now: Micros, rules: Rules, config: Config) -> Result<Self, &'static str> {
        rules.check()?;
        match config.planners {
            0 => return Err("no planner is configured"),
            1..=bounds::PLANNERS => {}
            _ => return Err("too many planners are configured"),
        }
        // Forwarders that start together dial and report at different times.
        let wait = |purpose, within| now.saturating_add(spread::delay(config.seed, purpose, 0, within));
        let down =
            |slot: usize| Link::Down { dial_at: wait(16 + slot as u64, rules.dial_backoff_min), failures: 0 };
        Ok(Forwarder {
            observations: Observations::new(config.tenants, config.classes),
            merge: Merge::new(config.zone, config.seed, config.planners),
            held_parts: vec![HeldParts::new(now); config.planners],
            links: (0..config.planners).map(down).collect(),
            damped_terms: DampedTerms::new(now, config.seed, rules.terms_every / 2),
            report_times: VecDeque::with_capacity(REMEMBERED_REPORTS),
            next_report: wait(4, rules.report_every),
            rules,
            config,
        })
    }

    /// The observations, to be fed with sends, outcomes and usage. Recording an event is cheap.
    pub fn observations(&mut self) -> &mut Observations {
        &mut self.observations
    }

    /// Replaces the node list.
    pub fn list(&mut self, now: Micros, revision: u64, listed: &[Listed], out: &mut Vec<Output>) {
        self.observations.list(revision, listed);
        self.merge.list(self.observations.listed());
        self.settle(now, out);
        out.push(Output::GuidanceChanged);
    }

    /// The connection to a planner was established.
    pub fn up(&mut self, _now: Micros, slot: usize, out: &mut Vec<Output>) {
        let holds = self.merge.number(slot);
        let Some(link) = self.links.get_mut(slot) else { return };
        *link = Link::Up;
        let tenants = u16::try_from(self.config.tenants.min(bounds::TENANTS)).unwrap_or(0);
        let c = &self.config;
        let hello = Hello { forwarder: c.id, life: c.life, zone: c.zone, holds, tenants };
        out.push(Output::Send(slot, Message::Hello(hello)));
    }

    /// The connection to a planner failed to open, broke, or was closed.
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
        self.merge.planner_disconnected(slot);
        // Waits for half of the backoff plus a spread of up to the other half, so that twenty forwarders that
        // lose a planner do not reconnect simultaneously.
        let wait =
            longest / 2 + spread::delay(self.config.seed, 16 + slot as u64, now as u64, longest / 2 + 1);
        *link = Link::Down { dial_at: now.saturating_add(wait), failures };
    }

    /// Handles a message from a planner. After an error the connection must be closed.
    pub fn message(
        &mut self,
        now: Micros,
        slot: usize,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), Refused> {
        match message {
            Message::Plan(plan) => {
                self.apply_plan(now, slot, plan, out);
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

    fn apply_plan(&mut self, now: Micros, slot: usize, plan: &Plan, out: &mut Vec<Output>) {
        let basis = self.basis(&plan.evidence);
        match self.merge.accept_plan(slot, plan, basis, &self.rules) {
            Ok(()) => {
                if let Some((held, basis)) = self.held_parts.get_mut(slot).zip(basis) {
                    held.accept(now, basis, &plan.parts);
                }
                self.settle(now, out);
            }
            Err((reason, true)) => out.push(Output::Refused(slot, reason)),
            Err((_, false)) => {}
        }
    }

    /// The time of the report on which a plan is based, if it is still remembered.
    fn basis(&self, evidence: &Evidence) -> Option<Micros> {
        let mine = evidence.life == self.config.life;
        self.report_times.iter().find(|(n, _)| mine && *n == evidence.heard).map(|(_, at)| *at)
    }

    fn settle(&mut self, now: Micros, out: &mut Vec<Output>) {
        let observations = &self.observations;
        if self.merge.settle(now, |n| observations.sign(n), &self.rules) {
            out.push(Output::GuidanceChanged);
        }
    }

    /// Performs all actions that are due.
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
            self.send_report(now, out);
        }
        self.settle(now, out);
        let (merge, rules) = (&self.merge, &self.rules);
        let nodes = self.observations.listed().filter(|l| l.ready).map(|l| l.node);
        let toward = nodes.filter_map(|n| Some((n, merge.queue(n, now, rules)?)));
        if self.damped_terms.step(now, toward) {
            out.push(Output::GuidanceChanged);
        }
    }

    fn send_report(&mut self, now: Micros, out: &mut Vec<Output>) {
        let late = now.saturating_sub(self.next_report) / self.rules.report_every;
        let periods = self.rules.report_every.saturating_mul(late.saturating_add(1));
        self.next_report = self.next_report.saturating_add(periods);
        let report = self.observations.take_report(now);
        if self.report_times.len() >= REMEMBERED_REPORTS {
            self.report_times.pop_front();
        }
        self.report_times.push_back((report.number, now));
        for (slot, _) in self.links.iter().enumerate().filter(|(_, l)| matches!(l, Link::Up)) {
            let mut report = report.clone();
            report.holds = self.merge.number(slot);
            report.parts = self.held_parts.get(slot).map(HeldParts::version).unwrap_or_default();
            out.push(Output::Send(slot, Message::Report(report)));
        }
    }

    /// The time at which [`Forwarder::tick`] must be called next.
    pub fn next(&self, now: Micros) -> Micros {
        let dials = self.links.iter().filter_map(|l| match l {
            Link::Down { dial_at, .. } => Some(*dial_at),
            _ => None,
        });
        let others =
            [Some(self.next_report), Some(self.damped_terms.next()), self.merge.next(now, &self.rules)];
        dials.chain(others.into_iter().flatten()).min().unwrap_or(self.next_report)
    }

    /// The current guidance.
    pub fn guidance(&self, now: Micros) -> Guidance {
        let part = |at| parts::mean(&self.held_parts, at, now, &self.rules);
        Guidance {
            takes: self.merge.parts(now, &self.rules),
            queues: self.damped_terms.current().collect(),
            cold: part(0),
            origin: part(1),
            tenants: (0..self.config.tenants.min(bounds::TENANTS)).map(|t| part(2 + t)).collect(),
            parts_trust: parts::trust(&self.held_parts, now, &self.rules),
        }
    }

    /// The marks in force, for logging.
    pub fn in_force(&self) -> impl Iterator<Item = MarkTarget> + '_ {
        self.merge.active()
    }

    /// The merge state, for tests and metrics.
    pub fn merge(&self) -> &Merge {
        &self.merge
    }

    /// The parts held from each planner, for tests and metrics.
    pub fn held_parts(&self) -> &[HeldParts] {
        &self.held_parts
    }

    /// The rules in use.
    pub fn rules(&self) -> &Rules {
        &self.rules
    }

    /// Announces a planned shutdown to all connected planners.
    pub fn bye(&mut self, out: &mut Vec<Output>) {
        for (slot, _) in self.links.iter().enumerate().filter(|(_, l)| matches!(l, Link::Up)) {
            out.push(Output::Send(slot, Message::Bye));
        }
    }
}
