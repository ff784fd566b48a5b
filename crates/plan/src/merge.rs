//! Merges the plans of several planners at a forwarder.
//!
//! It stores each planner's last plan, the marks in force and since when. Yes-or-no statements (a node is
//! silent, a zone is cut off) are decided by majority, terms by the median; parts are handled in
//! [`crate::parts`]. Accepting a plan decides nothing, so the order of arrival does not matter;
//! [`Merge::settle`] decides from the state at a given time.
//!
//! Marks have hysteresis: two thresholds, for activation and deactivation, and a minimum duration that
//! doubles with each activation (see `docs/design/two-levels.md`, "Why it cannot flap"). The forwarder's own
//! signs of life take precedence over plans, and the node list over both: nodes that are not listed as ready
//! are ignored.

use crate::bounds;
use crate::ids::{Node, PlanNumber, Zone};
use crate::message::{NodeTerms, Plan, Terms};
use crate::observations::Listed;
use crate::rules::{Planted, Rules};
use crate::solve::Queue;
use crate::{spread, Micros};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Why a plan is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanRejection {
    /// Not newer than the plan held. This is normal and not logged.
    #[error("it is not newer than the held plan {}.{}", .0.epoch, .0.count)]
    Outdated(PlanNumber),
    /// The planner slot does not exist.
    #[error("its planner is not configured")]
    UnknownPlanner,
    /// The plan marks more of the fleet than allowed.
    #[error("it marks {marks} of {ready} ready nodes, at most {most} are allowed")]
    TooManyMarks {
        /// Ready nodes that it marks for this zone.
        marks: usize,
        /// Ready nodes on the list.
        ready: usize,
        /// Maximum number of nodes that it may mark.
        most: usize,
    },
    /// The plan marks nodes or reports cuts without any witness.
    #[error("it marks nodes or reports cut zones without any witness")]
    NoEvidence,
    /// The plan reports a zone as cut off from itself.
    #[error("it reports a zone as cut off from itself")]
    OwnZone,
    /// The plan both marks a node as silent and vouches for it.
    #[error("it marks a node as silent and also vouches for it")]
    Contradiction,
}

/// The object of a mark.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MarkTarget {
    /// A silent node.
    Node(Node),
    /// A zone that is cut off.
    Zone(Zone),
}

#[derive(Clone, Debug, Default)]
struct Votes {
    basis: Micros,
    silent: BTreeSet<Node>,
    lives: BTreeSet<Node>,
    cuts: BTreeSet<Zone>,
}

/// The state kept for one planner.
#[derive(Clone, Debug, Default)]
struct PlannerSlot {
    number: PlanNumber,
    /// When the report was taken on which the last plan is based.
    basis: Option<Micros>,
    /// Votes of the last plan from a warmed-up planner. A plan from a cold planner does not replace them;
    /// they expire by age.
    votes: Option<Votes>,
    terms: BTreeMap<Node, (NodeTerms, Micros)>,
    /// Kinds of rejections already logged, and the number of consecutive valid plans since then.
    logged: Vec<std::mem::Discriminant<PlanRejection>>,
    accepted_in_row: u32,
}

/// Number of consecutive valid plans after which rejections are logged again; ten seconds at the default plan
/// rate.
const REFUSAL_LOG_RESET: u32 = 40;

/// A mark in force.
#[derive(Clone, Copy, Debug)]
struct ActiveMark {
    since: Micros,
    /// When a majority last supported it.
    supported: Micros,
}

#[derive(Clone, Debug, Default)]
struct MarkState {
    active: Option<ActiveMark>,
    /// Number of activations since the state was last forgotten.
    activations: u32,
    /// When the pending activation or deactivation takes effect, if the condition still holds.
    due: Option<Micros>,
    /// When the mark was deactivated, and the start of the gradual return.
    ended: Micros,
    return_from: Micros,
}

/// The merged state of all planners; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Merge {
    zone: Zone,
    seed: u64,
    slots: Vec<PlannerSlot>,
    states: BTreeMap<MarkTarget, MarkState>,
    node_zones: BTreeMap<Node, Zone>,
}

impl Merge {
    /// For a forwarder in `zone` with this many planners. The seed spreads its changes over time.
    pub fn new(zone: Zone, seed: u64, planners: usize) -> Self {
        let slots = vec![PlannerSlot::default(); planners.min(bounds::PLANNERS)];
        Merge { zone, seed, slots, ..Merge::default() }
    }

    /// Replaces the list of ready nodes. State about nodes and zones that are no longer listed is dropped.
    pub fn list(&mut self, listed: impl Iterator<Item = Listed>) {
        let ready = listed.filter(|l| l.ready).take(bounds::NODES);
        self.node_zones = ready.map(|l| (l.node, l.zone)).collect();
        let zones: BTreeSet<Zone> = self.node_zones.values().copied().collect();
        let node_zones = &self.node_zones;
        self.states.retain(|target, _| match target {
            MarkTarget::Node(n) => node_zones.contains_key(n),
            MarkTarget::Zone(h) => zones.contains(h),
        });
        for slot in &mut self.slots {
            slot.terms.retain(|n, _| node_zones.contains_key(n));
        }
    }

    /// The greatest plan number accepted from a planner.
    pub fn number(&self, slot: usize) -> PlanNumber {
        self.slots.get(slot).map_or(PlanNumber::default(), |s| s.number)
    }

    /// Accepts or rejects a plan. `basis` is when the report was taken that the plan names, if known. The
    /// second element of the error says whether the rejection should be logged: each kind is logged once,
    /// until the planner has sent enough valid plans in a row.
    pub fn accept_plan(
        &mut self,
        slot: usize,
        plan: &Plan,
        basis: Option<Micros>,
        rules: &Rules,
    ) -> Result<(), (PlanRejection, bool)> {
        let valid = self.validate(slot, plan, rules);
        let Some(s) = self.slots.get_mut(slot) else { return Err((PlanRejection::UnknownPlanner, true)) };
        if let Err(reason) = valid {
            let kind = std::mem::discriminant(&reason);
            let old = matches!(reason, PlanRejection::Outdated(_));
            let news = !old && !s.logged.contains(&kind);
            s.logged.extend(news.then_some(kind));
            s.accepted_in_row = if old { s.accepted_in_row } else { 0 };
            return Err((reason, news));
        }
        (s.number, s.basis) = (plan.number, basis);
        if !s.logged.is_empty() {
            s.accepted_in_row += 1;
            if s.accepted_in_row >= REFUSAL_LOG_RESET {
                (s.logged, s.accepted_in_row) = (Vec::new(), 0);
            }
        }
        let Some(basis) = basis else { return Ok(()) };
        if plan.evidence.warm || rules.has(Planted::EmptyCounts) {
            let mine = |zones: crate::ZoneSet| zones.has(self.zone);
            let known = |n: &Node| self.node_zones.contains_key(n);
            let silent = plan.silent.iter().filter(|m| mine(m.zones)).map(|m| m.node).filter(known).collect();
            let lives = plan.lives.iter().filter(|v| mine(v.zones)).map(|v| v.node).filter(known);
            let cuts = plan.cuts.iter().filter(|c| c.from == self.zone).map(|c| c.to).collect();
            let mut lives: BTreeSet<Node> = lives.collect();
            if rules.has(Planted::EmptyCounts) {
                lives.extend(self.node_zones.keys().filter(|n| !BTreeSet::contains(&silent, n)));
            }
            s.votes = Some(Votes { basis, silent, lives, cuts });
        }
        Ok(())
    }

    fn validate(&self, slot: usize, plan: &Plan, rules: &Rules) -> Result<(), PlanRejection> {
        let held = self.number(slot);
        if plan.number <= held && !rules.has(Planted::OldPlans) {
            return Err(PlanRejection::Outdated(held));
        }
        let mine =
            plan.silent.iter().filter(|m| m.zones.has(self.zone) && self.node_zones.contains_key(&m.node));
        let silent: BTreeSet<Node> = mine.map(|m| m.node).collect();
        let (marks, ready) = (silent.len(), self.node_zones.len());
        let most = rules.max_marked(ready);
        let both = |v: &crate::message::Vouch| v.zones.has(self.zone) && silent.contains(&v.node);
        match () {
            () if marks > most => Err(PlanRejection::TooManyMarks { marks, ready, most }),
            () if plan.silent.iter().any(|m| m.witnesses == 0) => Err(PlanRejection::NoEvidence),
            () if !plan.cuts.is_empty() && plan.evidence.witnesses == 0 => Err(PlanRejection::NoEvidence),
            () if plan.cuts.iter().any(|c| c.from == c.to) => Err(PlanRejection::OwnZone),
            () if plan.lives.iter().any(both) => Err(PlanRejection::Contradiction),
            () => Ok(()),
        }
    }

    /// The connection to a planner ended. Its votes are dropped, so that the remaining planners decide at
    /// once; marks that it supported are held and then fade.
    pub fn planner_disconnected(&mut self, slot: usize) {
        self.slots.get_mut(slot).into_iter().for_each(|s| s.votes = None);
    }

    /// Accepts terms, which are as old as the last accepted plan. Terms of another epoch are ignored.
    pub fn terms(&mut self, slot: usize, terms: &Terms) {
        let Some(s) = self.slots.get_mut(slot).filter(|s| terms.number.epoch == s.number.epoch) else {
            return;
        };
        let Some(basis) = s.basis else { return };
        for t in terms.nodes.iter().filter(|t| self.node_zones.contains_key(&t.node)) {
            let newer = s.terms.get(&t.node).is_none_or(|(_, at)| *at <= basis);
            if newer {
                s.terms.insert(t.node, (*t, basis));
            }
        }
    }

    /// Recomputes the marks in force. `heard` returns when this forwarder itself last received a sign of life
    /// from a node. Returns whether any mark changed.
    pub fn settle(&mut self, now: Micros, heard: impl Fn(Node) -> Option<Micros>, rules: &Rules) -> bool {
        let fresh: Vec<&Votes> = self
            .slots
            .iter()
            .filter_map(|s| s.votes.as_ref())
            .filter(|v| now.saturating_sub(v.basis) <= rules.vote_max_age)
            .collect();
        let zones: BTreeMap<Zone, Option<Micros>> = self
            .node_zones
            .iter()
            .filter(|(_, h)| **h != self.zone)
            .fold(BTreeMap::new(), |mut all, (n, h)| {
                let latest = all.entry(*h).or_insert(None);
                *latest = (*latest).max(heard(*n));
                all
            });
        // All targets with a vote or with state.
        let mut targets: BTreeSet<MarkTarget> = self.states.keys().copied().collect();
        for v in &fresh {
            targets.extend(
                v.silent.iter().filter(|n| self.node_zones.contains_key(n)).map(|n| MarkTarget::Node(*n)),
            );
            targets.extend(v.cuts.iter().filter(|h| zones.contains_key(h)).map(|h| MarkTarget::Zone(*h)));
        }
        let (mut activating, mut changed) = (Vec::new(), false);
        for target in targets {
            let (yes, no, sign) = match target {
                MarkTarget::Node(n) => {
                    let count =
                        |f: fn(&Votes) -> &BTreeSet<Node>| fresh.iter().filter(|v| f(v).contains(&n)).count();
                    (count(|v| &v.silent), count(|v| &v.lives), heard(n))
                }
                MarkTarget::Zone(h) => {
                    let yes = fresh.iter().filter(|v| v.cuts.contains(&h)).count();
                    (yes, 0, zones.get(&h).copied().flatten())
                }
            };
            let majority = yes * 2 > fresh.len();
            let state = self.states.entry(target).or_default();
            match state.active {
                None => {
                    let recent = sign.is_some_and(|s| now.saturating_sub(s) <= rules.own_sign_max_age);
                    if state.activation_due(now, majority && !recent, self.seed ^ spread_key(target), rules) {
                        activating.push((state.due, target));
                    }
                }
                Some(mut out) => {
                    if majority {
                        out.supported = now;
                        state.active = Some(out);
                    }
                    // A sign of life since the activation counts, unless it is old and the planners still
                    // find the node silent.
                    let recent = |s: &Micros| now.saturating_sub(*s) <= rules.vote_max_age;
                    let lives = sign.filter(|s| *s > out.since).is_some_and(|s| recent(&s) || !majority);
                    changed |= state.deactivate_if_due(
                        now,
                        out,
                        no > yes || lives,
                        self.seed ^ spread_key(target),
                        rules,
                    );
                }
            }
        }
        changed |= self.activate_due(now, activating, rules);
        changed |= self.enforce_bounds(now, rules);
        let forgotten = |s: &MarkState| {
            s.active.is_none() && s.due.is_none() && now.saturating_sub(s.ended) >= rules.forget_mark_after
        };
        self.states
            .retain(|_, s| !(forgotten(s) || (s.active.is_none() && s.due.is_none() && s.activations == 0)));
        changed
    }

    /// Activates the marks that are due, earliest first, as long as enough nodes remain.
    fn activate_due(
        &mut self,
        now: Micros,
        mut activating: Vec<(Option<Micros>, MarkTarget)>,
        rules: &Rules,
    ) -> bool {
        activating.sort();
        let mut changed = false;
        for (_, target) in activating {
            let most = rules.max_marked(self.node_zones.len());
            let within_bound = matches!(target, MarkTarget::Zone(_)) || self.active_node_marks() < most;
            let fits = within_bound && self.leaves_a_ready_node(Some(target));
            if let Some(s) = self.states.get_mut(&target).filter(|_| fits) {
                s.activations = s.activations.saturating_add(1);
                (s.active, s.due, changed) = (Some(ActiveMark { since: now, supported: now }), None, true);
            }
        }
        changed
    }

    /// Enforces the bounds after the list shrank: removes the latest node marks until the limit holds, and
    /// all marks if no ready node would remain.
    fn enforce_bounds(&mut self, now: Micros, rules: &Rules) -> bool {
        let most = rules.max_marked(self.node_zones.len());
        let mut changed = false;
        while self.active_node_marks() > most {
            let nodes = self.states.iter().filter(|(m, _)| matches!(m, MarkTarget::Node(_)));
            let latest = nodes.filter_map(|(m, s)| s.active.map(|o| (o.since, *m)));
            let Some(state) = latest.max().and_then(|(_, m)| self.states.get_mut(&m)) else { break };
            state.deactivate(now, now);
            changed = true;
        }
        if !self.node_zones.is_empty() && !self.leaves_a_ready_node(None) {
            for state in self.states.values_mut().filter(|s| s.active.is_some()) {
                state.deactivate(now, now);
                changed = true;
            }
        }
        changed
    }

    fn active_node_marks(&self) -> usize {
        self.states.iter().filter(|(m, s)| matches!(m, MarkTarget::Node(_)) && s.active.is_some()).count()
    }

    /// Whether at least one ready node is neither marked nor in a marked zone, with `more` also marked.
    fn leaves_a_ready_node(&self, more: Option<MarkTarget>) -> bool {
        let out = |m: MarkTarget| more == Some(m) || self.is_active(m);
        self.node_zones.iter().any(|(n, h)| !out(MarkTarget::Node(*n)) && !out(MarkTarget::Zone(*h)))
    }

    fn is_active(&self, target: MarkTarget) -> bool {
        self.states.get(&target).is_some_and(|s| s.active.is_some())
    }

    /// The targets of the marks in force, in order.
    pub fn active(&self) -> impl Iterator<Item = MarkTarget> + '_ {
        self.states.iter().filter(|(_, s)| s.active.is_some()).map(|(m, _)| *m)
    }

    /// Whether a ready node is avoided, by its own mark or by its zone's.
    pub fn avoids(&self, node: Node) -> bool {
        let zone = self.node_zones.get(&node).map(|h| MarkTarget::Zone(*h));
        self.is_active(MarkTarget::Node(node)) || zone.is_some_and(|h| self.is_active(h))
    }

    /// The part of its keys that a node takes: 0 while marked, growing after the mark ends, otherwise 1.
    pub fn part(&self, node: Node, now: Micros, rules: &Rules) -> f64 {
        let of = |m: MarkTarget| self.states.get(&m).map_or(1.0, |s| s.part(now, rules));
        of(MarkTarget::Node(node)).min(self.node_zones.get(&node).map_or(1.0, |h| of(MarkTarget::Zone(*h))))
    }

    /// Nodes that do not take all of their keys, with the part that they take.
    pub fn parts(&self, now: Micros, rules: &Rules) -> Vec<(Node, f64)> {
        if self.states.is_empty() {
            return Vec::new();
        }
        let all = self.node_zones.keys().map(|n| (*n, self.part(*n, now, rules)));
        all.filter(|(_, part)| *part < 1.0).collect()
    }

    /// A node's terms, each field the median over the planners, with their trust: 1 for fresh terms, falling
    /// to 0 with age.
    pub fn queue(&self, node: Node, now: Micros, rules: &Rules) -> Option<(Queue, f64)> {
        let age = |at: Micros| now.saturating_sub(at).max(0);
        let all = self.slots.iter().filter_map(|s| s.terms.get(&node));
        let all: Vec<_> = all.filter(|(_, at)| age(*at) < rules.terms_max_age).collect();
        let of = |f: fn(&Queue) -> f64| median(all.iter().map(|(t, _)| f(&Queue::from(*t))).collect());
        let old = median(all.iter().map(|(_, at)| age(*at) as f64).collect())?;
        let queue = Queue {
            rho: of(|q| q.rho)?,
            service: of(|q| q.service)?,
            arrival_scv: of(|q| q.arrival_scv)?,
            service_scv: of(|q| q.service_scv)?,
        };
        Some((queue, (1.0 - old / rules.terms_max_age.max(1) as f64).clamp(0.0, 1.0)))
    }

    /// When [`Merge::settle`] is needed next: a mark is due or a part is still changing.
    pub fn next(&self, now: Micros, rules: &Rules) -> Option<Micros> {
        let step = now.saturating_add(PART_UPDATE_EVERY);
        self.states.values().filter_map(|s| s.next(now, step, rules)).min()
    }
}

/// How often a changing part is recomputed.
const PART_UPDATE_EVERY: Micros = 100_000;

impl MarkState {
    /// Whether the mark becomes active now; `justified` says whether the condition for it holds.
    fn activation_due(&mut self, now: Micros, justified: bool, seed: u64, rules: &Rules) -> bool {
        let wait = || spread::delay(seed, 1, u64::from(self.activations), rules.enter_spread);
        let due = justified.then(|| self.due.unwrap_or_else(|| now.saturating_add(wait())));
        self.due = due;
        due.is_some_and(|due| due <= now)
    }

    /// Deactivates the mark if it is due; `justified` says whether there is a reason to.
    fn deactivate_if_due(
        &mut self,
        now: Micros,
        out: ActiveMark,
        justified: bool,
        seed: u64,
        rules: &Rules,
    ) -> bool {
        let stayed = now >= out.since.saturating_add(rules.stay_at(self.activations));
        if self.part(now, rules) >= 1.0 && stayed {
            self.deactivate(now, now.saturating_sub(rules.return_over));
            return true;
        }
        if rules.has(Planted::NoStay) && justified {
            self.deactivate(now, now);
            return true;
        }
        let wait = || spread::delay(seed, 2, u64::from(self.activations), rules.return_spread);
        self.due = justified.then(|| self.due.unwrap_or_else(|| now.saturating_add(wait())));
        let goes = stayed && self.due.is_some_and(|due| due <= now);
        if goes {
            // A mark that has begun to fade continues from the part already regained.
            let ahead = self.part(now, rules) * rules.return_over as f64;
            self.deactivate(now, now.saturating_sub(ahead as Micros));
        }
        goes
    }

    fn deactivate(&mut self, now: Micros, return_from: Micros) {
        (self.active, self.due, self.ended, self.return_from) = (None, None, now, return_from);
    }

    fn part(&self, now: Micros, rules: &Rules) -> f64 {
        let (from, over) = match self.active {
            Some(_) if rules.has(Planted::NoFade) => return 0.0,
            Some(out) => (out.supported.saturating_add(rules.hold), rules.fade),
            None if self.activations == 0 => return 1.0,
            None => (self.return_from, rules.return_over),
        };
        (now.saturating_sub(from) as f64 / over.max(1) as f64).clamp(0.0, 1.0)
    }

    fn next(&self, now: Micros, step: Micros, rules: &Rules) -> Option<Micros> {
        let part = self.part(now, rules);
        let grows = (part > 0.0 || self.active.is_none()) && part < 1.0;
        let fades = self.active.map(|o| o.supported.saturating_add(rules.hold).max(step));
        let stays = self.active.map(|o| o.since.saturating_add(rules.stay_at(self.activations)));
        let due = self.due.map(|d| d.max(stays.unwrap_or(d)));
        // A mark that is due but does not fit the bounds is retried later.
        let due = due.map(|d| if d > now { d } else { step });
        [due, grows.then_some(step), fades].into_iter().flatten().min()
    }
}

/// A number that identifies the target, as input to [`spread::delay`].
fn spread_key(target: MarkTarget) -> u64 {
    match target {
        MarkTarget::Node(n) => spread::mix(n.id ^ spread::mix(n.life)),
        MarkTarget::Zone(h) => spread::mix(u64::from(h.0) ^ 0x4a11),
    }
}

/// The median; for an even count, the mean of the two middle values.
fn median(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    let (low, high) = (all.get(all.len().checked_sub(1)? / 2)?, all.get(all.len() / 2)?);
    Some((low + high) / 2.0)
}
