//! Which nodes are silent, and for whom: a planner's judgement of what all forwarders tell.
//!
//! It owns the marks that stand at this planner, bounded, and for how long it vouches for what it marked. It
//! never holds anything against the fleet's size: that bound is the forwarder's, which knows the list. Nor
//! does it damp: a forwarder that merges does.
//!
//! The rules and their reasons are in `docs/design/two-levels.md`, "Which nodes are silent, and for whom".

use crate::bounds;
use crate::ids::{Node, Zone, ZoneSet};
use crate::join::{FleetView, Peer, Seen};
use crate::message::{span, Cut, Mark, Vouch};
use crate::rules::{Planted, Rules};
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// What a forwarder says of a node.
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

/// A node that is marked, or vouched for, or both for different zones.
#[derive(Clone, Debug, Default)]
struct Doubted {
    silent: ZoneSet,
    since: Micros,
    witnesses: u16,
    lives: ZoneSet,
    /// When it was last found silent or heard.
    last: Micros,
}

/// What is found now.
#[derive(Clone, Copy, Debug)]
struct Found {
    zones: ZoneSet,
    since: Micros,
    witnesses: u16,
}

/// What is found.
#[derive(Clone, Debug, Default)]
pub struct Findings {
    /// Silent nodes, in order.
    pub silent: Vec<Mark>,
    /// Nodes that live though somebody thought ill of them.
    pub lives: Vec<Vouch>,
    /// Zones cut off.
    pub cuts: Vec<Cut>,
    /// Forwarders heard lately, and those of them that hear any node.
    pub heard: u16,
    /// See [`Findings::heard`].
    pub witnesses: u16,
}

/// See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct Silence {
    doubted: BTreeMap<Node, Doubted>,
}

impl Silence {
    /// Judges. `long` is the time that few answers exceed.
    pub fn assess(&mut self, now: Micros, join: &FleetView, long: Micros, rules: &Rules) -> Findings {
        let patience = long.clamp(rules.silent_after, rules.silent_after_max.max(rules.silent_after));
        let mut findings = Findings::default();
        let mut there = BTreeMap::<Zone, u16>::new();
        let (mut witnesses, mut doubted) = (Vec::new(), BTreeSet::new());
        let recent = |p: &Peer| p.number > 0 && now.saturating_sub(p.heard) <= rules.report_max_age;
        let view = View { join, now, patience, rules };
        for (_, p) in join.peers().filter(|(_, p)| recent(p)) {
            findings.heard = findings.heard.saturating_add(1);
            *there.entry(p.zone).or_default() += 1;
            let finds_silent = |(node, seen): &(Node, &Seen)| view.since(*node, seen).is_some();
            doubted.extend(p.nodes().filter(finds_silent).map(|(node, _)| node));
            if view.hears_any(p) {
                witnesses.push(p);
            }
        }
        findings.witnesses = u16::try_from(witnesses.len()).unwrap_or(u16::MAX);
        // Only of nodes that somebody doubts, or that were doubted, need more be known.
        let (mut tallies, mut stands) = (Tallies::new(), BTreeMap::new());
        for node in doubted.iter().chain(self.doubted.keys()).copied().collect::<BTreeSet<Node>>() {
            let zones = tallies.entry(node).or_default();
            for p in &witnesses {
                let Some(seen) = p.seen(node) else { continue };
                stands.insert(node, seen.zone);
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
        let enough = |zone: &Zone| {
            let all = there.get(zone).copied().unwrap_or(0);
            if rules.has(Planted::OneWitness) {
                1
            } else {
                all.clamp(1, 2)
            }
        };
        let everyone: u16 = there.values().sum();
        let mut found: BTreeMap<Node, Found> = BTreeMap::new();
        for (node, zones) in &tallies {
            let finds = |(zone, t): &(&Zone, &Tally)| t.lives == 0 && t.silent >= enough(zone);
            let finders: Vec<(&Zone, &Tally)> = zones.iter().filter(finds).collect();
            let mut at = finders.iter().fold(ZoneSet::default(), |h, (zone, _)| h.with(**zone));
            let witnesses: u16 = finders.iter().map(|(_, t)| t.silent).sum();
            let heard = zones.values().any(|t| t.lives > 0);
            let at_home = stands.get(node).is_some_and(|home| at.has(*home));
            let several = witnesses >= 2 || everyone == 1 || rules.has(Planted::OneWitness);
            if at_home && several && !heard {
                at = ZoneSet::ALL;
            }
            let since = finders.iter().filter_map(|(_, t)| t.since).min();
            if let Some(since) = since.filter(|_| !at.is_empty()) {
                found.insert(*node, Found { zones: at, since, witnesses });
            }
        }
        findings.cuts = view.cuts(&stands, &found, &witnesses);
        self.keep(now, &found, &tallies, &stands, rules);
        // A zone that is being cut off is found silent node by node. Until it is whole, or clear that it is
        // not, its nodes are not marked one by one: that would look like half of the fleet.
        let away = |d: &Doubted| !d.silent.is_empty() && d.silent != ZoneSet::ALL;
        let mut aways: BTreeMap<Zone, u32> = BTreeMap::new();
        for (_, home) in
            self.doubted.iter().filter(|(_, d)| away(d)).filter_map(|(n, d)| Some((d, stands.get(n)?)))
        {
            *aways.entry(*home).or_default() += 1;
        }
        let unclear = |d: &Doubted, home: Option<&Zone>| {
            let several = home.and_then(|h| aways.get(h)).is_some_and(|n| *n >= 2);
            away(d) && several && now.saturating_sub(d.since) < patience.saturating_add(rules.sign_max_age)
        };
        for (node, d) in &self.doubted {
            let home = stands.get(node);
            let away = findings.cuts.iter().filter(|c| Some(&c.to) == home);
            let cut = away.fold(ZoneSet::default(), |h, c| h.with(c.from));
            let (node, silent, lives) = (*node, d.silent.minus(cut), d.lives.minus(d.silent).minus(cut));
            if !silent.is_empty() && !unclear(d, home) {
                let (since, witnesses) = (span(d.since, now), d.witnesses);
                findings.silent.push(Mark { node, zones: silent, since, witnesses });
            }
            if !lives.is_empty() {
                findings.lives.push(Vouch { node, zones: lives });
            }
        }
        findings
    }

    /// Marks what is found and vouches for what is heard. A mark stands without new evidence for a while,
    /// unless someone hears the node; a planner goes on to vouch for what it once heard, unless it is found
    /// silent again.
    fn keep(
        &mut self,
        now: Micros,
        found: &BTreeMap<Node, Found>,
        tallies: &Tallies,
        stands: &BTreeMap<Node, Zone>,
        rules: &Rules,
    ) {
        for (node, zones) in tallies {
            let lively = zones.iter().filter(|(_, t)| t.lives > 0);
            let heard = lively.fold(ZoneSet::default(), |h, (zone, _)| h.with(*zone));
            if heard.is_empty() {
                continue;
            }
            // Heard where it stands, it lives for everyone whose way to it works.
            let heard =
                if stands.get(node).is_some_and(|home| heard.has(*home)) { ZoneSet::ALL } else { heard };
            if let Some(d) = self.at(*node) {
                (d.silent, d.lives, d.last) = (ZoneSet::default(), heard, now);
            }
        }
        for (node, f) in found {
            if let Some(d) = self.at(*node) {
                let since = if d.silent.is_empty() { f.since } else { d.since.min(f.since) };
                let lives = d.lives.minus(f.zones);
                *d = Doubted { silent: f.zones, since, witnesses: f.witnesses, lives, last: now };
            }
        }
        for d in self.doubted.values_mut().filter(|d| now.saturating_sub(d.last) > rules.hold) {
            d.silent = ZoneSet::default();
        }
        let stays = |d: &Doubted| !d.silent.is_empty() || now.saturating_sub(d.last) <= rules.vouch_for;
        self.doubted.retain(|_, d| stays(d));
    }

    /// A node's entry, unless there is no room for another.
    fn at(&mut self, node: Node) -> Option<&mut Doubted> {
        let room = self.doubted.len() < bounds::MARKS || self.doubted.contains_key(&node);
        room.then(|| self.doubted.entry(node).or_default())
    }
}

/// What all forwarders told, at a moment.
struct View<'a> {
    join: &'a FleetView,
    now: Micros,
    patience: Micros,
    rules: &'a Rules,
}

impl View<'_> {
    /// A forwarder that hears no node at all says nothing about nodes: its own link may be broken.
    fn hears_any(&self, p: &Peer) -> bool {
        let recent = |at: Micros| self.now.saturating_sub(at) <= self.rules.report_max_age;
        self.rules.has(Planted::OneWitness) || p.nodes().any(|(_, s)| s.sign.is_some_and(recent))
    }

    /// Since when a forwarder finds a node silent. That counts from a send after anyone last heard the node:
    /// what was sent before may have been lost with a trouble that is over.
    fn since(&self, node: Node, s: &Seen) -> Option<Micros> {
        let told = self.now.saturating_sub(s.told) <= self.rules.report_max_age && s.unanswered >= 2;
        let quiet = s.quiet.filter(|_| told)?;
        let lived = self.join.lived(node);
        let after = |t: &Micros| lived.is_none_or(|l| *t > l);
        let since = Some(quiet).filter(after).or(s.tried.filter(after));
        since.filter(|t| self.now.saturating_sub(*t) >= self.patience)
    }

    fn lives(&self, s: &Seen) -> bool {
        s.sign.is_some_and(|at| self.now.saturating_sub(at) <= self.rules.sign_max_age)
    }

    fn opinion(&self, node: Node, s: &Seen) -> Option<Opinion> {
        let lives = || self.lives(s).then_some(Opinion::Lives);
        self.since(node, s).map(Opinion::Silent).or_else(lives)
    }

    /// Zones of which another finds two nodes or more silent and hears none. Nodes that are silent to all say
    /// nothing of it.
    fn cuts(
        &self,
        stands: &BTreeMap<Node, Zone>,
        found: &BTreeMap<Node, Found>,
        witnesses: &[&Peer],
    ) -> Vec<Cut> {
        let from: BTreeSet<Zone> = witnesses.iter().map(|p| p.zone).collect();
        let mut pairs: BTreeMap<Cut, u32> = BTreeMap::new();
        for (node, f) in found.iter().filter(|(_, f)| f.zones != ZoneSet::ALL) {
            let Some(to) = stands.get(node).copied() else { continue };
            for from in from.iter().copied().filter(|from| *from != to && f.zones.has(*from)) {
                *pairs.entry(Cut { from, to }).or_default() += 1;
            }
        }
        let hears = |cut: &Cut, p: &&Peer| {
            let lives =
                |(node, s): (Node, &Seen)| s.zone == cut.to && self.opinion(node, s) == Some(Opinion::Lives);
            p.zone == cut.from && p.nodes().any(lives)
        };
        let silent = pairs.into_iter().filter(|(_, silent)| *silent >= 2).map(|(cut, _)| cut);
        silent.filter(|cut| !witnesses.iter().any(|p| hears(cut, p))).take(bounds::CUTS).collect()
    }
}
