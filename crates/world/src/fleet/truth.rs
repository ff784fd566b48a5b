//! Ground truth derived from a plan: when a link delivers nothing, a process does not run, or a node does not
//! answer. The views reported by processes are compared with it.
//!
//! Certain and possible states are kept apart: a link that loses a third of its packets still delivers some
//! messages, so the node behind it may or may not be found silent.

use super::fault::Role;
use super::link::Condition;
use super::schedule::{Action, NodeAction, Plan, ProcessAction, Step};
use crate::Micros;
use std::collections::BTreeMap;

/// Disjoint time spans in ascending order, each as start and end; the end is [`Micros::MAX`] if it is open.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Spans(Vec<(Micros, Micros)>);

impl Spans {
    fn add(&mut self, from: Micros, until: Micros) {
        if from < until {
            self.0.push((from, until));
            self.normalize();
        }
    }

    fn normalize(&mut self) {
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

    /// Union.
    pub fn union(mut self, other: &Spans) -> Spans {
        self.0.extend(&other.0);
        self.normalize();
        self
    }

    /// Intersection.
    pub fn intersection(&self, other: &Spans) -> Spans {
        let mut both = Spans::default();
        for (a, b) in &self.0 {
            let meet = other.0.iter().map(|(c, d)| (*a.max(c), *b.min(d))).filter(|(x, y)| x < y);
            both.0.extend(meet);
        }
        both.normalize();
        both
    }

    /// Whether the whole interval is covered.
    pub fn covers(&self, from: Micros, until: Micros) -> bool {
        self.0.iter().any(|(a, b)| *a <= from && until <= *b)
    }

    /// Whether any part of the interval is covered.
    pub fn overlaps(&self, from: Micros, until: Micros) -> bool {
        self.0.iter().any(|(a, b)| *a <= until && from < *b)
    }

    /// How much of the interval is covered.
    pub fn covered_time(&self, from: Micros, until: Micros) -> Micros {
        self.0.iter().map(|(a, b)| (*b.min(&until) - *a.max(&from)).max(0)).sum()
    }

    pub fn iter(&self) -> impl Iterator<Item = (Micros, Micros)> + '_ {
        self.0.iter().copied()
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Ground truth of a plan.
#[derive(Clone, Debug, Default)]
pub struct Truth {
    /// Per direction: when nothing is delivered (`blocked`), and when there is any impairment (`impaired`).
    blocked: BTreeMap<(usize, usize), Spans>,
    impaired: BTreeMap<(usize, usize), Spans>,
    /// Per process: when it is not running or is paused. Per node: when it answers nobody.
    away: BTreeMap<usize, Spans>,
    forwarders: Vec<usize>,
    planners: Vec<usize>,
}

impl Truth {
    pub fn of(plan: &Plan) -> Truth {
        let mut truth = Truth {
            forwarders: plan.with_role(Role::Forwarder).collect(),
            planners: plan.with_role(Role::Planner).collect(),
            ..Truth::default()
        };
        let mut conditions = BTreeMap::<(usize, usize), (Micros, Condition)>::new();
        // Since when a process is unavailable, for two reasons that may overlap: killed and paused.
        let mut unavailable_since = BTreeMap::<(usize, bool), Micros>::new();
        let mut set_state = |truth: &mut Truth, who: usize, stopped: bool, at: Micros, away: bool| match away
        {
            true => drop(unavailable_since.entry((who, stopped)).or_insert(at)),
            false => {
                if let Some(from) = unavailable_since.remove(&(who, stopped)) {
                    truth.away.entry(who).or_default().add(from, at);
                }
            }
        };
        let end_marker = |at| Step { at, action: Action::Reset { from: usize::MAX, to: usize::MAX } };
        for step in plan.steps.iter().chain(std::iter::once(&end_marker(Micros::MAX))) {
            match &step.action {
                Action::Link { from, to, condition } => {
                    let before = conditions.insert((*from, *to), (step.at, condition.clone()));
                    if let Some((since, before)) = before {
                        truth.condition((*from, *to), since, step.at, &before);
                    }
                }
                Action::Process { who, what } => match what {
                    ProcessAction::Terminate | ProcessAction::Kill => {
                        // A killed process is no longer paused.
                        set_state(&mut truth, *who, true, step.at, false);
                        set_state(&mut truth, *who, false, step.at, true);
                    }
                    ProcessAction::Start { .. } | ProcessAction::StartLimited => {
                        set_state(&mut truth, *who, false, step.at, false)
                    }
                    ProcessAction::Stop => set_state(&mut truth, *who, true, step.at, true),
                    ProcessAction::Resume => set_state(&mut truth, *who, true, step.at, false),
                    ProcessAction::Twin | ProcessAction::EndTwin | ProcessAction::Damage { .. } => {}
                },
                Action::Node { who, what } => {
                    set_state(&mut truth, *who, false, step.at, *what != NodeAction::Serve);
                }
                Action::Reset { .. } => {}
            }
        }
        for (direction, (since, condition)) in conditions {
            truth.condition(direction, since, Micros::MAX, &condition);
        }
        for ((who, _), from) in unavailable_since {
            truth.away.entry(who).or_default().add(from, Micros::MAX);
        }
        truth
    }

    fn condition(&mut self, direction: (usize, usize), from: Micros, until: Micros, c: &Condition) {
        if c.blocks_all() {
            self.blocked.entry(direction).or_default().add(from, until);
        }
        if !c.is_unimpaired() {
            self.impaired.entry(direction).or_default().add(from, until);
        }
    }

    /// When a process is not running or is paused, or a node answers nobody.
    pub fn away(&self, who: usize) -> Spans {
        self.away.get(&who).cloned().unwrap_or_default()
    }

    fn either_direction(&self, of: &BTreeMap<(usize, usize), Spans>, a: usize, b: usize) -> Spans {
        let one = |x, y| of.get(&(x, y)).cloned().unwrap_or_default();
        one(a, b).union(&one(b, a))
    }

    /// When a forwarder certainly hears nothing from a node.
    pub fn silent(&self, node: usize, forwarder: usize) -> Spans {
        self.away(node).union(&self.either_direction(&self.blocked, forwarder, node))
    }

    /// When a forwarder may hear nothing from a node.
    pub fn maybe_silent(&self, node: usize, forwarder: usize) -> Spans {
        self.away(node)
            .union(&self.either_direction(&self.impaired, forwarder, node))
            .union(&self.away(forwarder))
    }

    /// When a node is certainly silent to all forwarders.
    pub fn silent_to_all(&self, node: usize) -> Spans {
        let mut all = self.forwarders.iter().map(|f| self.silent(node, *f));
        let first = all.next().unwrap_or_default();
        all.fold(first, |a, b| a.intersection(&b))
    }

    /// When any forwarder may hear nothing from a node.
    pub fn maybe_silent_to_any(&self, node: usize) -> Spans {
        self.forwarders.iter().fold(Spans::default(), |all, f| all.union(&self.maybe_silent(node, *f)))
    }

    /// When a forwarder and a planner certainly cannot communicate, or one of them is not running.
    pub fn disconnected(&self, planner: usize, forwarder: usize) -> Spans {
        let blocked = self.either_direction(&self.blocked, planner, forwarder);
        blocked.union(&self.away(planner)).union(&self.away(forwarder))
    }

    /// When a forwarder and a planner may be unable to communicate.
    pub fn maybe_disconnected(&self, planner: usize, forwarder: usize) -> Spans {
        self.disconnected(planner, forwarder).union(&self.either_direction(
            &self.impaired,
            planner,
            forwarder,
        ))
    }

    /// When a forwarder may be without contact to any planner.
    pub fn maybe_without_planner(&self, forwarder: usize) -> Spans {
        let mut all = self.planners.iter().map(|p| self.maybe_disconnected(*p, forwarder));
        match all.next() {
            None => Spans(vec![(Micros::MIN, Micros::MAX)]),
            Some(first) => all.fold(first, |a, b| a.intersection(&b)),
        }
    }

    /// When a forwarder is certainly without contact to any planner.
    pub fn without_planner(&self, forwarder: usize) -> Spans {
        let mut all = self.planners.iter().map(|p| self.disconnected(*p, forwarder));
        match all.next() {
            None => Spans(vec![(Micros::MIN, Micros::MAX)]),
            Some(first) => all.fold(first, |a, b| a.intersection(&b)),
        }
    }
}

#[cfg(test)]
mod tests;
