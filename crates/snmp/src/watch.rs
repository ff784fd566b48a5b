//! What changed between snapshots, as far as somebody on watch wants to hear of it: each change once, damped,
//! and never a flood.
//!
//! A subject (a node, the ledger, the fleet, the planners) is in one of a few conditions, and its condition is
//! told when it differs from the one told last: the first [`IMMEDIATE_CHANGES`] changes at once, so that a hall that is cut
//! off and comes back is told as it happens. A subject that goes on changing rests for [`HOLD_DOWN`] after it was
//! told, twice as long each time, up to [`MAX_HOLD_DOWN`]: a node that flaps is told with growing pauses, and the
//! last word is always how it is. All nodes together have a budget; what finds none is told as soon as there is
//! some, unless it has passed by then. What is held back is counted.

use crate::snapshot::{self, LedgerState, Phase, Snapshot, State};
use crate::{Micros, SECOND};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Changes of a subject that are told at once, if it was quiet for [`QUIET_PERIOD`] before.
pub const IMMEDIATE_CHANGES: u32 = 4;
/// See [`IMMEDIATE_CHANGES`].
pub const QUIET_PERIOD: Micros = 60 * SECOND;
/// How long a subject rests after more than that, at first and at the most.
pub const HOLD_DOWN: Micros = 10 * SECOND;
/// See [`HOLD_DOWN`].
pub const MAX_HOLD_DOWN: Micros = 320 * SECOND;
/// Changes of nodes that may be told in a bunch, and one more each so many microseconds.
pub const BURST: f64 = 20.0;
/// See [`BURST`].
pub const REFILL_INTERVAL: Micros = 2 * SECOND;
/// Nodes that are watched at the most, as many as the node table shows.
const MAX_NODES: usize = crate::tree::MAX_NODE_ROWS;

/// What is told, and of which node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Discovery says that a node drains.
    NodeDrains(Node),
    /// A node takes requests and says nothing, or failed in a row: it is left out.
    NodeSilent(Node),
    /// It serves again.
    NodeBack(Node),
    /// Next to nothing goes to the ledger.
    LedgerClosed,
    /// It is fetched from again.
    LedgerBack,
    /// Fewer nodes are usable than the bound.
    FleetUnder {
        /// Usable ones.
        usable: u32,
        /// The bound.
        bound: u32,
    },
    /// Enough of them are again.
    FleetBack {
        /// Usable ones.
        usable: u32,
        /// The bound.
        bound: u32,
    },
    /// A forwarder reaches no planner.
    PlannersLost,
    /// It reaches one again.
    PlannersBack,
    /// A planner's plan was unsound; its number among the planners.
    PlanRefused(u32),
}

/// A node as a change tells it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// As discovery names it.
    pub name: Rc<str>,
    /// Its hall.
    pub hall: Rc<str>,
    /// What the proxy makes of it.
    pub state: State,
}

/// A subject: the condition told last, when, and how long it rests since.
#[derive(Clone, Debug)]
struct Subject<T> {
    told: T,
    at: Option<Micros>,
    hold: Micros,
    /// Changes told since it was quiet.
    changes: u32,
    /// The condition that was counted as held back.
    held: Option<T>,
}

impl<T: Copy + PartialEq> Subject<T> {
    fn new(told: T) -> Self {
        Subject { told, at: None, hold: 0, changes: 0, held: None }
    }

    /// Whether a condition is to be told now; `held` counts it where it has to wait.
    fn observe(&mut self, now: Micros, is: T, room: bool, held: &mut u64) -> bool {
        if is == self.told {
            self.held = None;
            return false;
        }
        // A clock that stepped back ends a rest.
        let rests = self.at.is_some_and(|at| (0..self.hold).contains(&(now - at)));
        if rests || !room {
            if self.held.replace(is) != Some(is) {
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
        (self.told, self.at, self.held) = (is, Some(now), None);
        true
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Condition {
    Healthy,
    Drains,
    Silent,
}

/// A node that is watched.
#[derive(Clone, Debug)]
struct Watched {
    subject: Subject<Condition>,
    /// What it had answered when it was last seen silent, and when that was.
    silent: Option<(u64, Micros)>,
}

impl Watched {
    /// The condition of a node; none of one that left. A node to which nothing is out looks well, so one that
    /// was silent has to answer something before it is well, or to look well for [`QUIET_PERIOD`].
    fn condition(&mut self, now: Micros, node: &snapshot::Node) -> Option<Condition> {
        let answers = node.served + node.missed + node.refused;
        let is = match (node.phase, node.state) {
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
        Some(if self.silent.is_some() && is == Condition::Healthy { Condition::Silent } else { is })
    }
}

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Watch {
    nodes: BTreeMap<Rc<str>, Watched>,
    ledger: Subject<bool>,
    fleet: Subject<bool>,
    planners: Subject<bool>,
    /// Plans refused, by planner, when that was told last.
    refused: BTreeMap<u32, (u64, Option<Micros>)>,
    budget: (f64, Micros),
    held: u64,
}

impl Watch {
    /// Takes all to be well.
    pub fn new(now: Micros) -> Watch {
        Watch {
            nodes: BTreeMap::new(),
            ledger: Subject::new(true),
            fleet: Subject::new(true),
            planners: Subject::new(true),
            refused: BTreeMap::new(),
            budget: (BURST, now),
            held: 0,
        }
    }

    /// Changes that were told late, together, or not at all.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// What is to be told now, in the order in which it came about as far as that can be said: nodes by name,
    /// then what follows from them.
    pub fn update(&mut self, now: Micros, s: &Snapshot) -> Vec<Change> {
        let mut changes = Vec::new();
        let left = self.budget.0 + (now - self.budget.1).max(0) as f64 / REFILL_INTERVAL as f64;
        self.budget = (left.min(BURST), now);
        let (_, mut usable) = s.fleet();
        for node in s.nodes.iter().filter(|n| !n.ledger).take(MAX_NODES) {
            let watched = self
                .nodes
                .entry(node.name.clone())
                .or_insert_with(|| Watched { subject: Subject::new(Condition::Healthy), silent: None });
            // A node that left says nothing more; when it returns it is compared with what was told.
            let Some(is) = watched.condition(now, node) else { continue };
            if is == Condition::Silent && node.phase == Phase::Serving && node.state.usable() {
                usable -= 1;
            }
            let room = self.budget.0 >= 1.0;
            if watched.subject.observe(now, is, room, &mut self.held) {
                self.budget.0 -= 1.0;
                let told = Node { name: node.name.clone(), hall: node.hall.clone(), state: node.state };
                changes.push(match is {
                    Condition::Drains => Change::NodeDrains(told),
                    Condition::Silent => Change::NodeSilent(told),
                    Condition::Healthy => Change::NodeBack(told),
                });
            }
        }
        if self.nodes.len() > s.nodes.len() {
            self.nodes.retain(|name, _| s.nodes.iter().any(|n| n.name == *name));
        }
        let open = s.ledger.state != LedgerState::Closed;
        if self.ledger.observe(now, open, true, &mut self.held) {
            changes.push(if open { Change::LedgerBack } else { Change::LedgerClosed });
        }
        let bound = s.bound();
        let enough = usable >= bound;
        if self.fleet.observe(now, enough, true, &mut self.held) {
            let back = Change::FleetBack { usable, bound };
            changes.push(if enough { back } else { Change::FleetUnder { usable, bound } });
        }
        let planners = &s.plans.planners;
        let reach = planners.is_empty() || planners.iter().any(|p| p.reachable);
        if self.planners.observe(now, reach, true, &mut self.held) {
            changes.push(if reach { Change::PlannersBack } else { Change::PlannersLost });
        }
        for planner in planners {
            let (told, at) = self.refused.entry(planner.index).or_default();
            let rests = at.is_some_and(|at| (0..MAX_HOLD_DOWN).contains(&(now - at)));
            if planner.refused > *told && !rests {
                (*told, *at) = (planner.refused, Some(now));
                changes.push(Change::PlanRefused(planner.index));
            }
        }
        self.refused.retain(|index, _| planners.iter().any(|p| p.index == *index));
        changes
    }
}
