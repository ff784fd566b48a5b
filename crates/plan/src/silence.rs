//! Detects silent nodes, per zone, from the reports of all forwarders at a planner.
//!
//! It stores the marks of this planner, bounded in number, and how long the planner vouches for nodes that it
//! had marked. It does not limit marks by fleet size: forwarders apply that limit, because they know the
//! list. Nor does it damp changes; forwarders do when they merge plans.
//!
//! The rules and their reasons are in `docs/design/two-levels.md`, "Which nodes are silent, and for whom".

use crate::bounds;
use crate::ids::{Node, Zone, ZoneSet};
use crate::join::{FleetView, NodeView, Peer};
use crate::message::{span, Cut, Mark, Vouch};
use crate::rules::{Planted, Rules};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// A forwarder's opinion on a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Opinion {
    Silent(Micros),
    Lives,
}

#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    silent: u16,
    lives: u16,
    since: Option<Micros>,
}

type Tallies = BTreeMap<Node, BTreeMap<Zone, Tally>>;

/// A node that is marked, vouched for, or both for different zones.
#[derive(Clone, Debug, Default)]
struct Suspect {
    silent: ZoneSet,
    since: Micros,
    witnesses: u16,
    lives: ZoneSet,
    /// When it was last found silent or alive.
    last: Micros,
}

/// A node found silent in this assessment.
#[derive(Clone, Copy, Debug)]
struct SilentNode {
    zones: ZoneSet,
    since: Micros,
    witnesses: u16,
}

/// The result of an assessment.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Silent nodes, in order.
    pub silent: Vec<Mark>,
    /// Nodes that are alive although some forwarder suspected them.
    pub lives: Vec<Vouch>,
    /// Zones that are cut off.
    pub cuts: Vec<Cut>,
    /// Number of forwarders with a recent report, and of those that receive answers from any node.
    pub heard: u16,
    /// See [`Findings::heard`].
    pub witnesses: u16,
}

/// The silent nodes known to a planner; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    suspects: BTreeMap<Node, Suspect>,
}

impl Silence {
    /// Assesses all nodes. `long_response` is a response time that few answers exceed.
    pub fn assess(
        &mut self,
        now: Micros,
        fleet: &FleetView,
        long_response: Micros,
        rules: &Rules,
    ) -> Findings {
        let silence_threshold =
            long_response.clamp(rules.silent_after, rules.silent_after_max.max(rules.silent_after));
        let mut findings = Findings::default();
        let mut forwarders_in = BTreeMap::<Zone, u16>::new();
        let (mut witnesses, mut suspects) = (Vec::new(), BTreeSet::new());
        let recent = |p: &Peer| p.number > 0 && now.saturating_sub(p.heard) <= rules.report_max_age;
        let view = View { fleet, now, silence_threshold, rules };
        for (_, p) in fleet.peers().filter(|(_, p)| recent(p)) {
            findings.heard = findings.heard.saturating_add(1);
            *forwarders_in.entry(p.zone).or_default() += 1;
            let finds_silent = |(node, seen): &(Node, &NodeView)| view.since(*node, seen).is_some();
            suspects.extend(p.nodes().filter(finds_silent).map(|(node, _)| node));
            if view.receives_answers(p) {
                witnesses.push(p);
            }
        }
        findings.witnesses = u16::try_from(witnesses.len()).unwrap_or(u16::MAX);
        // Only nodes that a forwarder suspects now, or that were suspected before, need a tally.
        let (mut tallies, mut node_zones) = (Tallies::new(), BTreeMap::new());
        for node in suspects.iter().chain(self.suspects.keys()).copied().collect::<BTreeSet<Node>>() {
            let zones = tallies.entry(node).or_default();
            for p in &witnesses {
                let Some(seen) = p.seen(node) else { continue };
                node_zones.insert(node, seen.zone);
                match view.opinion(node, seen) {
                    Some(Opinion::Lives) => zones.entry(p.zone).or_default().lives += 1,
                    Some(Opinion::Silent(since)) => {
                        let t = zones.entry(p.zone).or_default();
                        t.silent += 1;
                        t.since = Some(t.since.map_or(since, |s| s.min(since)));
                    }
                    None => {}
                }
            }
        }
        let quorum = |zone: &Zone| {
            let all = forwarders_in.get(zone).copied().unwrap_or(0);
            if rules.has(Planted::OneWitness) {
                1
            } else {
                all.clamp(1, 2)
            }
        };
        let forwarders: u16 = forwarders_in.values().sum();
        let mut found: BTreeMap<Node, SilentNode> = BTreeMap::new();
        for (node, zones) in &tallies {
            let finds = |(zone, t): &(&Zone, &Tally)| t.lives == 0 && t.silent >= quorum(zone);
            let finders: Vec<(&Zone, &Tally)> = zones.iter().filter(finds).collect();
            let mut at = finders.iter().fold(ZoneSet::default(), |h, (zone, _)| h.with(**zone));
            let witnesses: u16 = finders.iter().map(|(_, t)| t.silent).sum();
            let heard = zones.values().any(|t| t.lives > 0);
            let in_own_zone = node_zones.get(node).is_some_and(|own_zone| at.has(*own_zone));
            let several = witnesses >= 2 || forwarders == 1 || rules.has(Planted::OneWitness);
            if in_own_zone && several && !heard {
                at = ZoneSet::ALL;
            }
            let since = finders.iter().filter_map(|(_, t)| t.since).min();
            if let Some(since) = since.filter(|_| !at.is_empty()) {
                found.insert(*node, SilentNode { zones: at, since, witnesses });
            }
        }
        findings.cuts = view.cuts(&node_zones, &found, &witnesses);
        self.update(now, &found, &tallies, &node_zones, rules);
        // The nodes of a zone that is being cut off are found silent one by one. Until the cut is confirmed
        // or ruled out, they are not marked individually, because that would look like the loss of half of
        // the fleet.
        let partly_silent = |d: &Suspect| !d.silent.is_empty() && d.silent != ZoneSet::ALL;
        let mut partly_silent_in: BTreeMap<Zone, u32> = BTreeMap::new();
        for (_, own_zone) in self
            .suspects
            .iter()
            .filter(|(_, d)| partly_silent(d))
            .filter_map(|(n, d)| Some((d, node_zones.get(n)?)))
        {
            *partly_silent_in.entry(*own_zone).or_default() += 1;
        }
        let undecided = |d: &Suspect, own_zone: Option<&Zone>| {
            let several = own_zone.and_then(|h| partly_silent_in.get(h)).is_some_and(|n| *n >= 2);
            partly_silent(d)
                && several
                && now.saturating_sub(d.since) < silence_threshold.saturating_add(rules.sign_max_age)
        };
        for (node, d) in &self.suspects {
            let own_zone = node_zones.get(node);
            let cuts_of_zone = findings.cuts.iter().filter(|c| Some(&c.to) == own_zone);
            let cut = cuts_of_zone.fold(ZoneSet::default(), |h, c| h.with(c.from));
            let (node, silent, lives) = (*node, d.silent.minus(cut), d.lives.minus(d.silent).minus(cut));
            if !silent.is_empty() && !undecided(d, own_zone) {
                let (since, witnesses) = (span(d.since, now), d.witnesses);
                findings.silent.push(Mark { node, zones: silent, since, witnesses });
            }
            if !lives.is_empty() {
                findings.lives.push(Vouch { node, zones: lives });
            }
        }
        findings
    }

    /// Marks nodes found silent and vouches for nodes found alive. A mark persists for a while without new
    /// evidence unless a forwarder receives a sign of life; the planner continues to vouch for a node unless
    /// it is found silent again.
    fn update(
        &mut self,
        now: Micros,
        found: &BTreeMap<Node, SilentNode>,
        tallies: &Tallies,
        node_zones: &BTreeMap<Node, Zone>,
        rules: &Rules,
    ) {
        for (node, zones) in tallies {
            let hearing = zones.iter().filter(|(_, t)| t.lives > 0);
            let heard = hearing.fold(ZoneSet::default(), |h, (zone, _)| h.with(*zone));
            if heard.is_empty() {
                continue;
            }
            // A node that answers in its own zone is alive for every zone with a working path to it.
            let heard = if node_zones.get(node).is_some_and(|own_zone| heard.has(*own_zone)) {
                ZoneSet::ALL
            } else {
                heard
            };
            if let Some(d) = self.entry(*node) {
                (d.silent, d.lives, d.last) = (ZoneSet::default(), heard, now);
            }
        }
        for (node, f) in found {
            if let Some(d) = self.entry(*node) {
                let since = if d.silent.is_empty() { f.since } else { d.since.min(f.since) };
                let lives = d.lives.minus(f.zones);
                *d = Suspect { silent: f.zones, since, witnesses: f.witnesses, lives, last: now };
            }
        }
        for d in self.suspects.values_mut().filter(|d| now.saturating_sub(d.last) > rules.hold) {
            d.silent = ZoneSet::default();
        }
        let stays = |d: &Suspect| !d.silent.is_empty() || now.saturating_sub(d.last) <= rules.vouch_for;
        self.suspects.retain(|_, d| stays(d));
    }

    /// The entry of a node, or `None` if there is no room for another.
    fn entry(&mut self, node: Node) -> Option<&mut Suspect> {
        let room = self.suspects.len() < bounds::MARKS || self.suspects.contains_key(&node);
        room.then(|| self.suspects.entry(node).or_default())
    }
}

/// All reports at a point in time.
struct View<'a> {
    fleet: &'a FleetView,
    now: Micros,
    silence_threshold: Micros,
    rules: &'a Rules,
}

impl View<'_> {
    /// Whether a forwarder receives answers from any node. One that does not may have a broken link, so its
    /// opinions on nodes are ignored.
    fn receives_answers(&self, p: &Peer) -> bool {
        let recent = |at: Micros| self.now.saturating_sub(at) <= self.rules.report_max_age;
        self.rules.has(Planted::OneWitness) || p.nodes().any(|(_, s)| s.sign.is_some_and(recent))
    }

    /// Since when a forwarder finds a node silent. Only sends after the last sign of life to any forwarder
    /// count: earlier ones may have been lost in an outage that is over.
    fn since(&self, node: Node, s: &NodeView) -> Option<Micros> {
        let reported =
            self.now.saturating_sub(s.reported_at) <= self.rules.report_max_age && s.unanswered >= 2;
        let quiet = s.quiet.filter(|_| reported)?;
        let last_sign = self.fleet.last_sign(node);
        let after = |t: &Micros| last_sign.is_none_or(|l| *t > l);
        let since = Some(quiet).filter(after).or(s.sent_since_sign.filter(after));
        since.filter(|t| self.now.saturating_sub(*t) >= self.silence_threshold)
    }

    fn lives(&self, s: &NodeView) -> bool {
        s.sign.is_some_and(|at| self.now.saturating_sub(at) <= self.rules.sign_max_age)
    }

    fn opinion(&self, node: Node, s: &NodeView) -> Option<Opinion> {
        let lives = || self.lives(s).then_some(Opinion::Lives);
        self.since(node, s).map(Opinion::Silent).or_else(lives)
    }

    /// Zones in which another zone finds at least two nodes silent and none alive. Nodes that are silent for
    /// all zones do not count.
    fn cuts(
        &self,
        node_zones: &BTreeMap<Node, Zone>,
        found: &BTreeMap<Node, SilentNode>,
        witnesses: &[&Peer],
    ) -> Vec<Cut> {
        let from: BTreeSet<Zone> = witnesses.iter().map(|p| p.zone).collect();
        let mut pairs: BTreeMap<Cut, u32> = BTreeMap::new();
        for (node, f) in found.iter().filter(|(_, f)| f.zones != ZoneSet::ALL) {
            let Some(to) = node_zones.get(node).copied() else { continue };
            for from in from.iter().copied().filter(|from| *from != to && f.zones.has(*from)) {
                *pairs.entry(Cut { from, to }).or_default() += 1;
            }
        }
        let answered_from = |cut: &Cut, p: &&Peer| {
            let lives = |(node, s): (Node, &NodeView)| {
                s.zone == cut.to && self.opinion(node, s) == Some(Opinion::Lives)
            };
            p.zone == cut.from && p.nodes().any(lives)
        };
        let silent = pairs.into_iter().filter(|(_, silent)| *silent >= 2).map(|(cut, _)| cut);
        silent.filter(|cut| !witnesses.iter().any(|p| answered_from(cut, p))).take(bounds::CUTS).collect()
    }
}
