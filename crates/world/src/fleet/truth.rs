//! What a plan makes true: when a link lets nothing through, a process does not run, a node answers nobody. Views of
//! processes are held against it.
//!
//! Only what is certain is told: a link that loses a third of its packets still carries a word, and a node behind it
//! may or may not be found silent.

use super::fault::Role;
use super::link::Condition;
use super::schedule::{Action, NodeAction, Plan, ProcessAction, Step};
use crate::Micros;
use std::collections::BTreeMap;

/// Spans of time, apart and in order: from, and until, which is [`Micros::MAX`] where it never ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spans(Vec<(Micros, Micros)>);

impl Spans {
    fn add(&mut self, from: Micros, until: Micros) {
        if from < until {
            self.0.push((from, until));
            self.settle();
        }
    }

    fn settle(&mut self) {
        self.0.sort_unstable();
        let mut apart: Vec<(Micros, Micros)> = Vec::with_capacity(self.0.len());
        for (from, until) in self.0.drain(..) {
            match apart.last_mut() {
                Some((_, end)) if *end >= from => *end = (*end).max(until),
                _ => apart.push((from, until)),
            }
        }
        self.0 = apart;
    }

    /// What is in either.
    pub fn or(mut self, other: &Spans) -> Spans {
        self.0.extend(&other.0);
        self.settle();
        self
    }

    /// What is in both.
    pub fn and(&self, other: &Spans) -> Spans {
        let mut both = Spans::default();
        for (a, b) in &self.0 {
            let meet = other.0.iter().map(|(c, d)| (*a.max(c), *b.min(d))).filter(|(x, y)| x < y);
            both.0.extend(meet);
        }
        both.settle();
        both
    }

    /// Whether all of this time is in it.
    pub fn hold(&self, from: Micros, until: Micros) -> bool {
        self.0.iter().any(|(a, b)| *a <= from && until <= *b)
    }

    /// Whether some of this time is.
    pub fn touch(&self, from: Micros, until: Micros) -> bool {
        self.0.iter().any(|(a, b)| *a <= until && from < *b)
    }

    /// How much of this time is in it.
    pub fn within(&self, from: Micros, until: Micros) -> Micros {
        self.0.iter().map(|(a, b)| (*b.min(&until) - *a.max(&from)).max(0)).sum()
    }

    pub fn iter(&self) -> impl Iterator<Item = (Micros, Micros)> + '_ {
        self.0.iter().copied()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// What is true of a plan.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// Of directions: nothing comes through; and something is wrong.
    shut: BTreeMap<(usize, usize), Spans>,
    troubled: BTreeMap<(usize, usize), Spans>,
    /// Of processes: they do not run, or stand still. Of nodes: they answer nobody.
    away: BTreeMap<usize, Spans>,
    forwarders: Vec<usize>,
    planners: Vec<usize>,
}

impl Truth {
    pub fn of(plan: &Plan) -> Truth {
        let mut truth = Truth {
            forwarders: plan.of(Role::Forwarder).collect(),
            planners: plan.of(Role::Planner).collect(),
            ..Truth::default()
        };
        let mut conditions = BTreeMap::<(usize, usize), (Micros, Condition)>::new();
        // Since when a process is away, in two ways that may overlap: killed, and stopped.
        let mut gone = BTreeMap::<(usize, bool), Micros>::new();
        let mut still = |truth: &mut Truth, who: usize, stopped: bool, at: Micros, away: bool| match away {
            true => drop(gone.entry((who, stopped)).or_insert(at)),
            false => {
                if let Some(from) = gone.remove(&(who, stopped)) {
                    truth.away.entry(who).or_default().add(from, at);
                }
            }
        };
        let never = |at| Step { at, action: Action::Reset { from: usize::MAX, to: usize::MAX } };
        for step in plan.steps.iter().chain(std::iter::once(&never(Micros::MAX))) {
            match &step.action {
                Action::Link { from, to, condition } => {
                    let before = conditions.insert((*from, *to), (step.at, condition.clone()));
                    if let Some((since, before)) = before {
                        truth.condition((*from, *to), since, step.at, &before);
                    }
                }
                Action::Process { who, what } => match what {
                    ProcessAction::Terminate | ProcessAction::Kill => {
                        // What is killed stands still no more.
                        still(&mut truth, *who, true, step.at, false);
                        still(&mut truth, *who, false, step.at, true);
                    }
                    ProcessAction::Start { .. } | ProcessAction::StartLimited => {
                        still(&mut truth, *who, false, step.at, false)
                    }
                    ProcessAction::Stop => still(&mut truth, *who, true, step.at, true),
                    ProcessAction::Resume => still(&mut truth, *who, true, step.at, false),
                    ProcessAction::Twin | ProcessAction::EndTwin | ProcessAction::Damage { .. } => {}
                },
                Action::Node { who, what } => {
                    still(&mut truth, *who, false, step.at, *what != NodeAction::Serve);
                }
                Action::Reset { .. } => {}
            }
        }
        for (direction, (since, condition)) in conditions {
            truth.condition(direction, since, Micros::MAX, &condition);
        }
        for ((who, _), from) in gone {
            truth.away.entry(who).or_default().add(from, Micros::MAX);
        }
        truth
    }

    fn condition(&mut self, direction: (usize, usize), from: Micros, until: Micros, c: &Condition) {
        if c.blocks_all() {
            self.shut.entry(direction).or_default().add(from, until);
        }
        if !c.is_unimpaired() {
            self.troubled.entry(direction).or_default().add(from, until);
        }
    }

    /// When a process does not run or stands still, or a node answers nobody.
    pub fn away(&self, who: usize) -> Spans {
        self.away.get(&who).cloned().unwrap_or_default()
    }

    fn either_way(&self, of: &BTreeMap<(usize, usize), Spans>, a: usize, b: usize) -> Spans {
        let one = |x, y| of.get(&(x, y)).cloned().unwrap_or_default();
        one(a, b).or(&one(b, a))
    }

    /// When a forwarder certainly hears nothing of a node.
    pub fn silent(&self, node: usize, forwarder: usize) -> Spans {
        self.away(node).or(&self.either_way(&self.shut, forwarder, node))
    }

    /// When something may keep a forwarder from hearing a node.
    pub fn maybe_silent(&self, node: usize, forwarder: usize) -> Spans {
        self.away(node).or(&self.either_way(&self.troubled, forwarder, node)).or(&self.away(forwarder))
    }

    /// When a node is silent to all forwarders.
    pub fn silent_to_all(&self, node: usize) -> Spans {
        let mut all = self.forwarders.iter().map(|f| self.silent(node, *f));
        let first = all.next().unwrap_or_default();
        all.fold(first, |a, b| a.and(&b))
    }

    /// When something may keep some forwarder from hearing a node.
    pub fn maybe_silent_to_any(&self, node: usize) -> Spans {
        self.forwarders.iter().fold(Spans::default(), |all, f| all.or(&self.maybe_silent(node, *f)))
    }

    /// When a forwarder and a planner certainly do not hear each other, or one of them does not run.
    pub fn disconnected(&self, planner: usize, forwarder: usize) -> Spans {
        let shut = self.either_way(&self.shut, planner, forwarder);
        shut.or(&self.away(planner)).or(&self.away(forwarder))
    }

    /// When something may keep a forwarder and a planner from hearing each other.
    pub fn maybe_disconnected(&self, planner: usize, forwarder: usize) -> Spans {
        self.disconnected(planner, forwarder).or(&self.either_way(&self.troubled, planner, forwarder))
    }

    /// When a forwarder may hear no planner in time.
    pub fn maybe_without_planner(&self, forwarder: usize) -> Spans {
        let mut all = self.planners.iter().map(|p| self.maybe_disconnected(*p, forwarder));
        match all.next() {
            None => Spans(vec![(Micros::MIN, Micros::MAX)]),
            Some(first) => all.fold(first, |a, b| a.and(&b)),
        }
    }

    /// When a forwarder certainly hears no planner.
    pub fn without_planner(&self, forwarder: usize) -> Spans {
        let mut all = self.planners.iter().map(|p| self.disconnected(*p, forwarder));
        match all.next() {
            None => Spans(vec![(Micros::MIN, Micros::MAX)]),
            Some(first) => all.fold(first, |a, b| a.and(&b)),
        }
    }
}

#[cfg(test)]
mod tests;
