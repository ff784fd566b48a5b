//! What of several planners' plans is in force at a forwarder.
//!
//! It owns the last plan of each planner, what is in force, and since when. Use it for what is yes or no (a
//! node is silent, a zone is cut off) by majority, and for terms by the median; parts are in
//! [`crate::parts`]. Taking a plan decides nothing, so the order in which plans come does not matter;
//! [`Merge::settle`] decides, from what there is at a time.
//!
//! Marks come and go by two thresholds and a stay that doubles (see `docs/design/two-levels.md`, "Why it
//! cannot flap"). A forwarder's own ears come first, and the list before them: what is not listed ready is no
//! matter.

use crate::bounds;
use crate::ids::{Node, PlanNumber, Zone};
use crate::message::{NodeTerms, Plan, Terms};
use crate::observations::Listed;
use crate::rules::{Planted, Rules};
use crate::solve::Queue;
use crate::{spread, Micros};
use std::collections::{BTreeMap, BTreeSet};
use thiserror::Error;

/// Why a plan is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PlanRejection {
    /// Not newer than what is held. Nothing is wrong with that, and it is not logged.
    #[error("it is no newer than plan {}.{}", .0.epoch, .0.count)]
    Outdated(PlanNumber),
    /// No such planner.
    #[error("it comes from no planner of ours")]
    UnknownPlanner,
    /// More of the fleet than plans may take out.
    #[error("it takes out {marks} of {ready} ready nodes, {most} at most")]
    TooManyMarks {
        /// Ready nodes that it marks for this zone.
        marks: usize,
        /// Ready nodes.
        ready: usize,
        /// How many it may mark.
        most: usize,
    },
    /// Marks that nobody bears witness of.
    #[error("it marks nodes without a witness")]
    NoEvidence,
    /// It cuts this zone off from itself.
    #[error("it cuts this hall off from itself")]
    OwnZone,
    /// It marks and vouches for one node at once.
    #[error("it contradicts itself")]
    Contradiction,
}

/// What a mark is on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MarkTarget {
    /// A node that is silent.
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

/// One planner's.
#[derive(Clone, Debug, Default)]
struct Slot {
    number: PlanNumber,
    /// What the last plan rests on.
    basis: Option<Micros>,
    /// Of the last plan of a warm planner. What a cold one sends does not replace it: it ages by itself.
    votes: Option<Votes>,
    terms: BTreeMap<Node, (NodeTerms, Micros)>,
    /// Kinds of refusals that were told, and sound plans in a row since.
    told: Vec<std::mem::Discriminant<PlanRejection>>,
    sound: u32,
}

/// Sound plans in a row after which refusals are told again: ten seconds' worth.
const SOUND: u32 = 40;

/// A mark that is in force.
#[derive(Clone, Copy, Debug)]
struct Out {
    since: Micros,
    /// When a majority last supported it.
    supported: Micros,
}

#[derive(Clone, Debug, Default)]
struct State {
    out: Option<Out>,
    /// How often it came into force, since it was last forgotten.
    times: u32,
    /// When it is to come or go, if what speaks for that still does.
    due: Option<Micros>,
    /// When it left, and from when its way back counts.
    left: Micros,
    back: Micros,
}

/// See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct Merge {
    zone: Zone,
    seed: u64,
    slots: Vec<Slot>,
    states: BTreeMap<MarkTarget, State>,
    stands: BTreeMap<Node, Zone>,
}

impl Merge {
    /// For a forwarder in a zone, with so many planners. The seed spreads its moves.
    pub fn new(zone: Zone, seed: u64, planners: usize) -> Self {
        let slots = vec![Slot::default(); planners.min(bounds::PLANNERS)];
        Merge { zone, seed, slots, ..Merge::default() }
    }

    /// Takes the ready nodes of the list. What is no longer on it is no matter any more.
    pub fn list(&mut self, listed: impl Iterator<Item = Listed>) {
        let ready = listed.filter(|l| l.ready).take(bounds::NODES);
        self.stands = ready.map(|l| (l.node, l.zone)).collect();
        let zones: BTreeSet<Zone> = self.stands.values().copied().collect();
        let stands = &self.stands;
        self.states.retain(|matter, _| match matter {
            MarkTarget::Node(n) => stands.contains_key(n),
            MarkTarget::Zone(h) => zones.contains(h),
        });
        for slot in &mut self.slots {
            slot.terms.retain(|n, _| stands.contains_key(n));
        }
    }

    /// The greatest plan taken of a planner.
    pub fn number(&self, slot: usize) -> PlanNumber {
        self.slots.get(slot).map_or(PlanNumber::default(), |s| s.number)
    }

    /// Takes a plan; `basis` is when the report was taken that it names, if that is known. The error's second
    /// half says whether it is worth a line: the same is told once, until the planner has been sound for a
    /// while.
    pub fn take(
        &mut self,
        slot: usize,
        plan: &Plan,
        basis: Option<Micros>,
        rules: &Rules,
    ) -> Result<(), (PlanRejection, bool)> {
        let sound = self.sound(slot, plan, rules);
        let Some(s) = self.slots.get_mut(slot) else { return Err((PlanRejection::UnknownPlanner, true)) };
        if let Err(why) = sound {
            let kind = std::mem::discriminant(&why);
            let old = matches!(why, PlanRejection::Outdated(_));
            let news = !old && !s.told.contains(&kind);
            s.told.extend(news.then_some(kind));
            s.sound = if old { s.sound } else { 0 };
            return Err((why, news));
        }
        (s.number, s.basis) = (plan.number, basis);
        if !s.told.is_empty() {
            s.sound += 1;
            if s.sound >= SOUND {
                (s.told, s.sound) = (Vec::new(), 0);
            }
        }
        let Some(basis) = basis else { return Ok(()) };
        if plan.evidence.warm || rules.has(Planted::EmptyCounts) {
            let mine = |zones: crate::ZoneSet| zones.has(self.zone);
            let known = |n: &Node| self.stands.contains_key(n);
            let silent = plan.silent.iter().filter(|m| mine(m.zones)).map(|m| m.node).filter(known).collect();
            let lives = plan.lives.iter().filter(|v| mine(v.zones)).map(|v| v.node).filter(known);
            let cuts = plan.cuts.iter().filter(|c| c.from == self.zone).map(|c| c.to).collect();
            let mut lives: BTreeSet<Node> = lives.collect();
            if rules.has(Planted::EmptyCounts) {
                lives.extend(self.stands.keys().filter(|n| !BTreeSet::contains(&silent, n)));
            }
            s.votes = Some(Votes { basis, silent, lives, cuts });
        }
        Ok(())
    }

    fn sound(&self, slot: usize, plan: &Plan, rules: &Rules) -> Result<(), PlanRejection> {
        let held = self.number(slot);
        if plan.number <= held && !rules.has(Planted::OldPlans) {
            return Err(PlanRejection::Outdated(held));
        }
        let mine = plan.silent.iter().filter(|m| m.zones.has(self.zone) && self.stands.contains_key(&m.node));
        let silent: BTreeSet<Node> = mine.map(|m| m.node).collect();
        let (marks, ready) = (silent.len(), self.stands.len());
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

    /// A planner's connection is over. It votes no more, so that those that are left decide at once; what it
    /// helped to bring into force holds and fades.
    pub fn lost(&mut self, slot: usize) {
        self.slots.get_mut(slot).into_iter().for_each(|s| s.votes = None);
    }

    /// Takes terms, which are as old as the last plan that was taken. Others are let go.
    pub fn terms(&mut self, slot: usize, terms: &Terms) {
        let Some(s) = self.slots.get_mut(slot).filter(|s| terms.number.epoch == s.number.epoch) else {
            return;
        };
        let Some(basis) = s.basis else { return };
        for t in terms.nodes.iter().filter(|t| self.stands.contains_key(&t.node)) {
            let newer = s.terms.get(&t.node).is_none_or(|(_, at)| *at <= basis);
            if newer {
                s.terms.insert(t.node, (*t, basis));
            }
        }
    }

    /// Decides what is in force now. `heard` is when this forwarder itself last heard a node. Tells whether
    /// anything came or went.
    pub fn settle(&mut self, now: Micros, heard: impl Fn(Node) -> Option<Micros>, rules: &Rules) -> bool {
        let fresh: Vec<&Votes> = self
            .slots
            .iter()
            .filter_map(|s| s.votes.as_ref())
            .filter(|v| now.saturating_sub(v.basis) <= rules.vote_max_age)
            .collect();
        let zones: BTreeMap<Zone, Option<Micros>> =
            self.stands.iter().filter(|(_, h)| **h != self.zone).fold(BTreeMap::new(), |mut all, (n, h)| {
                let latest = all.entry(*h).or_insert(None);
                *latest = (*latest).max(heard(*n));
                all
            });
        // What anybody speaks of, and what stands.
        let mut matters: BTreeSet<MarkTarget> = self.states.keys().copied().collect();
        for v in &fresh {
            matters.extend(
                v.silent.iter().filter(|n| self.stands.contains_key(n)).map(|n| MarkTarget::Node(*n)),
            );
            matters.extend(v.cuts.iter().filter(|h| zones.contains_key(h)).map(|h| MarkTarget::Zone(*h)));
        }
        let (mut entering, mut changed) = (Vec::new(), false);
        for matter in matters {
            let (yes, no, sign) = match matter {
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
            let state = self.states.entry(matter).or_default();
            match state.out {
                None => {
                    let recent = sign.is_some_and(|s| now.saturating_sub(s) <= rules.own_sign_max_age);
                    if state.enters(now, majority && !recent, self.seed ^ key(matter), rules) {
                        entering.push((state.due, matter));
                    }
                }
                Some(mut out) => {
                    if majority {
                        out.supported = now;
                        state.out = Some(out);
                    }
                    // An answer since then, unless it is old and planners still find the node silent.
                    let recent = |s: &Micros| now.saturating_sub(*s) <= rules.vote_max_age;
                    let lives = sign.filter(|s| *s > out.since).is_some_and(|s| recent(&s) || !majority);
                    changed |= state.leaves(now, out, no > yes || lives, self.seed ^ key(matter), rules);
                }
            }
        }
        changed |= self.enter(now, entering, rules);
        changed |= self.trim(now, rules);
        let forgotten = |s: &State| {
            s.out.is_none() && s.due.is_none() && now.saturating_sub(s.left) >= rules.forget_mark_after
        };
        self.states.retain(|_, s| !(forgotten(s) || (s.out.is_none() && s.due.is_none() && s.times == 0)));
        changed
    }

    /// Those whose time has come, the earliest first, as long as enough nodes are left.
    fn enter(&mut self, now: Micros, mut entering: Vec<(Option<Micros>, MarkTarget)>, rules: &Rules) -> bool {
        entering.sort();
        let mut changed = false;
        for (_, matter) in entering {
            let most = rules.max_marked(self.stands.len());
            let few = matches!(matter, MarkTarget::Zone(_)) || self.nodes_out() < most;
            let fits = few && self.leaves_some(Some(matter));
            if let Some(s) = self.states.get_mut(&matter).filter(|_| fits) {
                s.times = s.times.saturating_add(1);
                (s.out, s.due, changed) = (Some(Out { since: now, supported: now }), None, true);
            }
        }
        changed
    }

    /// The list shrank: the latest marks give way until the bound holds again, and zones where nothing is
    /// left.
    fn trim(&mut self, now: Micros, rules: &Rules) -> bool {
        let most = rules.max_marked(self.stands.len());
        let mut changed = false;
        while self.nodes_out() > most {
            let nodes = self.states.iter().filter(|(m, _)| matches!(m, MarkTarget::Node(_)));
            let out = nodes.filter_map(|(m, s)| s.out.map(|o| (o.since, *m)));
            let Some(state) = out.max().and_then(|(_, m)| self.states.get_mut(&m)) else { break };
            state.go(now, now);
            changed = true;
        }
        if !self.stands.is_empty() && !self.leaves_some(None) {
            for state in self.states.values_mut().filter(|s| s.out.is_some()) {
                state.go(now, now);
                changed = true;
            }
        }
        changed
    }

    fn nodes_out(&self) -> usize {
        self.states.iter().filter(|(m, s)| matches!(m, MarkTarget::Node(_)) && s.out.is_some()).count()
    }

    /// Whether some ready node is neither out nor in a zone that is, with one matter more.
    fn leaves_some(&self, more: Option<MarkTarget>) -> bool {
        let out = |m: MarkTarget| more == Some(m) || self.is_out(m);
        self.stands.iter().any(|(n, h)| !out(MarkTarget::Node(*n)) && !out(MarkTarget::Zone(*h)))
    }

    fn is_out(&self, matter: MarkTarget) -> bool {
        self.states.get(&matter).is_some_and(|s| s.out.is_some())
    }

    /// What is in force, in order.
    pub fn out(&self) -> impl Iterator<Item = MarkTarget> + '_ {
        self.states.iter().filter(|(_, s)| s.out.is_some()).map(|(m, _)| *m)
    }

    /// Whether a ready node is out, by itself or with its zone.
    pub fn avoids(&self, node: Node) -> bool {
        let zone = self.stands.get(&node).map(|h| MarkTarget::Zone(*h));
        self.is_out(MarkTarget::Node(node)) || zone.is_some_and(|h| self.is_out(h))
    }

    /// The part of its keys that a node takes: 0 while it is out, growing on its way back, else 1.
    pub fn part(&self, node: Node, now: Micros, rules: &Rules) -> f64 {
        let of = |m: MarkTarget| self.states.get(&m).map_or(1.0, |s| s.part(now, rules));
        of(MarkTarget::Node(node)).min(self.stands.get(&node).map_or(1.0, |h| of(MarkTarget::Zone(*h))))
    }

    /// Nodes that do not take all of their keys, with the part that they take.
    pub fn parts(&self, now: Micros, rules: &Rules) -> Vec<(Node, f64)> {
        if self.states.is_empty() {
            return Vec::new();
        }
        let all = self.stands.keys().map(|n| (*n, self.part(*n, now, rules)));
        all.filter(|(_, part)| *part < 1.0).collect()
    }

    /// The terms of a node, each field the median over the planners, and how far they are to be trusted: 1
    /// for fresh ones, falling to 0 with age.
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

    /// When something is due: a mark to come or go, or a part that still grows.
    pub fn next(&self, now: Micros, rules: &Rules) -> Option<Micros> {
        let step = now.saturating_add(GROW);
        self.states.values().filter_map(|s| s.next(now, step, rules)).min()
    }
}

/// How often a part that grows is looked at.
const GROW: Micros = 100_000;

impl State {
    /// Whether it comes into force now, given whether there is reason to.
    fn enters(&mut self, now: Micros, reason: bool, seed: u64, rules: &Rules) -> bool {
        let wait = || spread::delay(seed, 1, u64::from(self.times), rules.enter_spread);
        let due = reason.then(|| self.due.unwrap_or_else(|| now.saturating_add(wait())));
        self.due = due;
        due.is_some_and(|due| due <= now)
    }

    /// Lets it go if it is time to, given whether there is reason to.
    fn leaves(&mut self, now: Micros, out: Out, reason: bool, seed: u64, rules: &Rules) -> bool {
        let stayed = now >= out.since.saturating_add(rules.stay_at(self.times));
        if self.part(now, rules) >= 1.0 && stayed {
            self.go(now, now.saturating_sub(rules.return_over));
            return true;
        }
        if rules.has(Planted::NoStay) && reason {
            self.go(now, now);
            return true;
        }
        let wait = || spread::delay(seed, 2, u64::from(self.times), rules.return_spread);
        self.due = reason.then(|| self.due.unwrap_or_else(|| now.saturating_add(wait())));
        let goes = stayed && self.due.is_some_and(|due| due <= now);
        if goes {
            // One that has begun to fade goes on from there.
            let ahead = self.part(now, rules) * rules.return_over as f64;
            self.go(now, now.saturating_sub(ahead as Micros));
        }
        goes
    }

    fn go(&mut self, now: Micros, back: Micros) {
        (self.out, self.due, self.left, self.back) = (None, None, now, back);
    }

    fn part(&self, now: Micros, rules: &Rules) -> f64 {
        let (from, over) = match self.out {
            Some(_) if rules.has(Planted::NoFade) => return 0.0,
            Some(out) => (out.supported.saturating_add(rules.hold), rules.fade),
            None if self.times == 0 => return 1.0,
            None => (self.back, rules.return_over),
        };
        (now.saturating_sub(from) as f64 / over.max(1) as f64).clamp(0.0, 1.0)
    }

    fn next(&self, now: Micros, step: Micros, rules: &Rules) -> Option<Micros> {
        let part = self.part(now, rules);
        let grows = (part > 0.0 || self.out.is_none()) && part < 1.0;
        let fades = self.out.map(|o| o.supported.saturating_add(rules.hold).max(step));
        let stays = self.out.map(|o| o.since.saturating_add(rules.stay_at(self.times)));
        let due = self.due.map(|d| d.max(stays.unwrap_or(d)));
        // What was due and waits for room is looked at again later.
        let due = due.map(|d| if d > now { d } else { step });
        [due, grows.then_some(step), fades].into_iter().flatten().min()
    }
}

/// A number for a matter, to spread by.
fn key(matter: MarkTarget) -> u64 {
    match matter {
        MarkTarget::Node(n) => spread::mix(n.id ^ spread::mix(n.life)),
        MarkTarget::Zone(h) => spread::mix(u64::from(h.0) ^ 0x4a11),
    }
}

/// The middle one; of an even number, the mean of the two.
fn median(mut all: Vec<f64>) -> Option<f64> {
    all.sort_by(f64::total_cmp);
    let (low, high) = (all.get(all.len().checked_sub(1)? / 2)?, all.get(all.len() / 2)?);
    Some((low + high) / 2.0)
}
