//! Detects changes between snapshots that are worth a notification. Each change is reported once, and changes
//! are damped and rate-limited so that they never flood the receivers.
//!
//! Each subject (a node, the origin, the fleet, the planners) has a condition, which is reported when it
//! differs from the last one reported. The first [`IMMEDIATE_CHANGES`] changes are reported at once, so that
//! a zone that is cut off and returns is reported as it happens. After further changes the subject is held
//! down for [`HOLD_DOWN`], doubled each time up to [`MAX_HOLD_DOWN`]: a flapping node is reported at growing
//! intervals, and the last report always matches its condition. All nodes share one rate limit; a change that
//! exceeds it is reported as soon as the limit permits, unless it has been reverted by then. Changes that are
//! held back are counted.

use crate::snapshot::{self, OriginState, Phase, Snapshot, State};
use crate::{Micros, SECOND};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of changes of a subject that are reported at once, if it did not change for [`QUIET_PERIOD`]
/// before.
pub const IMMEDIATE_CHANGES: u32 = 4;
/// Time without changes after which a subject counts as quiet.
pub const QUIET_PERIOD: Micros = 60 * SECOND;
/// Initial time for which further reports on a subject are held back.
pub const HOLD_DOWN: Micros = 10 * SECOND;
/// Maximum time for which further reports on a subject are held back.
pub const MAX_HOLD_DOWN: Micros = 320 * SECOND;
/// Rate limit on reports of node changes: size of a burst.
pub const BURST: f64 = 20.0;
/// Rate limit on reports of node changes: interval in which one more is permitted.
pub const REFILL_INTERVAL: Micros = 2 * SECOND;
/// Maximum number of nodes that are watched, which is the number of rows in the node table.
const MAX_NODES: usize = crate::tree::MAX_NODE_ROWS;

/// A change to report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Discovery lists the node as draining.
    NodeDrains(Node),
    /// The node accepts requests without answering, or failed repeatedly, and is not used.
    NodeSilent(Node),
    /// The node serves again.
    NodeBack(Node),
    /// Almost no requests are sent to the origin.
    OriginClosed,
    /// Requests are sent to the origin again.
    OriginBack,
    /// Fewer nodes are usable than the bound.
    FleetUnder {
        /// Number of usable nodes.
        usable: u32,
        /// The bound.
        bound: u32,
    },
    /// As many nodes are usable again as the bound requires.
    FleetBack {
        /// Number of usable nodes.
        usable: u32,
        /// The bound.
        bound: u32,
    },
    /// The forwarder cannot reach any planner.
    PlannersLost,
    /// The forwarder reaches a planner again.
    PlannersBack,
    /// A plan of the planner with this number was refused as invalid.
    PlanRefused(u32),
}

/// The node in a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its name in discovery.
    pub name: Rc<str>,
    /// The name of its zone.
    pub zone: Rc<str>,
    /// Its state as seen by the proxy.
    pub state: State,
}

/// A subject: the condition last reported, when, and how long further reports are held back.
#[derive(Clone, Debug)]
struct Subject<T> {
    reported: T,
    at: Option<Micros>,
    hold: Micros,
    /// Changes reported since the subject was last quiet.
    changes: u32,
    /// The condition that was counted as held back.
    held: Option<T>,
}

impl<T: Copy + PartialEq> Subject<T> {
    fn new(reported: T) -> Self {
        Subject { reported, at: None, hold: 0, changes: 0, held: None }
    }

    /// Whether a condition must be reported now; increments `held` if it has to wait.
    fn observe(&mut self, now: Micros, current: T, permitted: bool, held: &mut u64) -> bool {
        if current == self.reported {
            self.held = None;
            return false;
        }
        // A clock that was set back ends the hold-down.
        let held_down = self.at.is_some_and(|at| (0..self.hold).contains(&(now - at)));
        if held_down || !permitted {
            if self.held.replace(current) != Some(current) {
                *held += 1;
            }
            return false;
        }
        let quiet = self.at.is_none_or(|at| !(0..QUIET_PERIOD.max(2 * self.hold)).contains(&(now - at)));
        self.changes = if quiet { 1 } else { self.changes.saturating_add(1) };
        self.hold = match self.changes.checked_sub(IMMEDIATE_CHANGES) {
            None => 0,
            Some(doublings) => (HOLD_DOWN << doublings.min(5)).min(MAX_HOLD_DOWN),
        };
        (self.reported, self.at, self.held) = (current, Some(now), None);
        true
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Healthy,
    Drains,
    Silent,
}

/// State of a watched node.
#[derive(Clone, Debug)]
struct Watched {
    subject: Subject<Condition>,
    /// Number of its answers when it was last seen silent, and when that was.
    silent: Option<(u64, Micros)>,
}

impl Watched {
    /// The condition of a node; `None` if it is no longer listed. A node without outstanding requests looks
    /// healthy, so a node that was silent counts as healthy only after it has answered something, or has
    /// looked healthy for [`QUIET_PERIOD`].
    fn condition(&mut self, now: Micros, node: &snapshot::Node) -> Option<Condition> {
        let answers = node.served + node.missed + node.refused;
        let current = match (node.phase, node.state) {
            (Phase::Gone, _) | (_, State::Gone) => return None,
            (Phase::Draining, _) | (_, State::Draining) => Condition::Drains,
            (_, State::Silent | State::LeftOut) => {
                self.silent = Some((answers, now));
                return Some(Condition::Silent);
            }
            _ => Condition::Healthy,
        };
        let proven = |(then, at): (u64, Micros)| answers != then || !(0..QUIET_PERIOD).contains(&(now - at));
        self.silent = self.silent.filter(|silent| !proven(*silent));
        Some(if self.silent.is_some() && current == Condition::Healthy { Condition::Silent } else { current })
    }
}

/// Detects changes between snapshots; see the module documentation.
#[derive(Clone, Debug)]
pub struct Watch {
    nodes: BTreeMap<Rc<str>, Watched>,
    origin: Subject<bool>,
    fleet: Subject<bool>,
    planners: Subject<bool>,
    /// Number of refused plans of each planner that was last reported, and when.
    refused: BTreeMap<u32, (u64, Option<Micros>)>,
    budget: (f64, Micros),
    held: u64,
}

impl Watch {
    /// Creates a watch that assumes everything to be healthy.
    pub fn new(now: Micros) -> Watch {
        Watch {
            nodes: BTreeMap::new(),
            origin: Subject::new(true),
            fleet: Subject::new(true),
            planners: Subject::new(true),
            refused: BTreeMap::new(),
            budget: (BURST, now),
            held: 0,
        }
    }

    /// Number of changes that were reported late, merged with others, or not at all.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the changes to report now, as far as known in the order they occurred: nodes by name, then
    /// changes that result from them.
    pub fn update(&mut self, now: Micros, s: &Snapshot) -> Vec<Change> {
        let mut changes = Vec::new();
        let left = self.budget.0 + (now - self.budget.1).max(0) as f64 / REFILL_INTERVAL as f64;
        self.budget = (left.min(BURST), now);
        let (_, mut usable) = s.fleet();
        for node in s.nodes.iter().filter(|n| !n.origin).take(MAX_NODES) {
            let watched = self
                .nodes
                .entry(node.name.clone())
                .or_insert_with(|| Watched { subject: Subject::new(Condition::Healthy), silent: None });
            // A node that is no longer listed is not reported. When it returns, it is compared with its last
            // reported condition.
            let Some(current) = watched.condition(now, node) else { continue };
            if current == Condition::Silent && node.phase == Phase::Serving && node.state.usable() {
                usable -= 1;
            }
            let permitted = self.budget.0 >= 1.0;
            if watched.subject.observe(now, current, permitted, &mut self.held) {
                self.budget.0 -= 1.0;
                let reported = Node { name: node.name.clone(), zone: node.zone.clone(), state: node.state };
                changes.push(match current {
                    Condition::Drains => Change::NodeDrains(reported),
                    Condition::Silent => Change::NodeSilent(reported),
                    Condition::Healthy => Change::NodeBack(reported),
                });
            }
        }
        if self.nodes.len() > s.nodes.len() {
            self.nodes.retain(|name, _| s.nodes.iter().any(|n| n.name == *name));
        }
        let open = s.origin.state != OriginState::Closed;
        if self.origin.observe(now, open, true, &mut self.held) {
            changes.push(if open { Change::OriginBack } else { Change::OriginClosed });
        }
        let bound = s.bound();
        let enough = usable >= bound;
        if self.fleet.observe(now, enough, true, &mut self.held) {
            let back = Change::FleetBack { usable, bound };
            changes.push(if enough { back } else { Change::FleetUnder { usable, bound } });
        }
        let planners = &s.plans.planners;
        let reachable = planners.is_empty() || planners.iter().any(|p| p.reachable);
        if self.planners.observe(now, reachable, true, &mut self.held) {
            changes.push(if reachable { Change::PlannersBack } else { Change::PlannersLost });
        }
        for planner in planners {
            let (reported, at) = self.refused.entry(planner.index).or_default();
            let held_down = at.is_some_and(|at| (0..MAX_HOLD_DOWN).contains(&(now - at)));
            if planner.refused > *reported && !held_down {
                (*reported, *at) = (planner.refused, Some(now));
                changes.push(Change::PlanRefused(planner.index));
            }
        }
        self.refused.retain(|index, _| planners.iter().any(|p| p.index == *index));
        changes
    }
}
