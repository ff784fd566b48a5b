//! What a forwarder sees, added up at a constant cost an event, and the bounded deltas of it.
//!
//! It owns counts, moments and signs of life by node, use by tenant and class, and the origin's figures. It
//! judges nothing. A delta takes what was added since the last one that named the same node; nodes that are
//! quiet come first, the others in turn, so that a large fleet is told of in several.
//! Something is told of a node when there is something to tell: an idle node takes no bytes.
//!
//! The map from nodes to places is never iterated over; order comes from the list.

use crate::bounds;
use crate::ids::{Node, Zone};
use crate::message::{span, NodeReport, OriginReport, Report, UsageReport, Verdict, VERDICT_COUNT};
use crate::moments::Moments;
use crate::Micros;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, DefaultHasher};

/// A node of the list, as the forwarder has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Which.
    pub node: Node,
    /// Where.
    pub zone: Zone,
    /// Whether it takes new requests: serving, not draining.
    pub ready: bool,
}

/// Without a key of its own, so that equal events give equal states. The names come from discovery.
type Places = HashMap<Node, usize, BuildHasherDefault<DefaultHasher>>;

#[derive(Clone, Debug)]
struct Seen {
    listed: Listed,
    sends: u32,
    ends: [u32; VERDICT_COUNT],
    gaps: Moments,
    service: Moments,
    last_send: Option<Micros>,
    sign: Option<Micros>,
    /// Since when something is unanswered, how many are, and how many of those are still out.
    quiet: Option<Micros>,
    unanswered: u32,
    out: u32,
    load: Option<(f32, Micros)>,
    news: bool,
}

/// See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    places: Places,
    seen: Vec<Seen>,
    revision: u64,
    ready: u32,
    uses: Vec<UsageReport>,
    classes: usize,
    origin: OriginReport,
    origin_out: u32,
    number: u64,
    turn: usize,
}

impl Observations {
    /// For so many tenants and classes; what is beyond the bounds is not counted.
    pub fn new(tenants: usize, classes: usize) -> Self {
        let classes = classes.clamp(1, bounds::USES);
        let tenants = tenants.min(bounds::TENANTS).min(bounds::USES / classes);
        let pairs = (0..tenants).flat_map(|t| (0..classes).map(move |c| (t as u16, c as u16)));
        let uses =
            pairs.map(|(tenant, class)| UsageReport { tenant, class, ..UsageReport::default() }).collect();
        Observations { uses, classes, ..Observations::default() }
    }

    /// Takes the whole list. What was seen of nodes that stay is kept.
    pub fn list(&mut self, revision: u64, listed: &[Listed]) {
        let mut seen = Vec::with_capacity(listed.len().min(bounds::NODES));
        let mut places = Places::with_capacity_and_hasher(seen.capacity(), Default::default());
        for l in listed.iter().take(bounds::NODES) {
            if places.contains_key(&l.node) {
                continue;
            }
            let old = self.places.get(&l.node).and_then(|at| self.seen.get(*at));
            let kept = old.cloned().unwrap_or_else(|| Seen::new(*l));
            places.insert(l.node, seen.len());
            seen.push(Seen { listed: *l, ..kept });
        }
        self.ready = seen.iter().filter(|s| s.listed.ready).count() as u32;
        (self.revision, self.seen, self.places) = (revision, seen, places);
    }

    /// The list as it was taken.
    pub fn listed(&self) -> impl Iterator<Item = Listed> + '_ {
        self.seen.iter().map(|s| s.listed)
    }

    /// The revision of the list.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// An upstream request was sent to a node.
    pub fn sent(&mut self, now: Micros, node: Node) {
        let Some(s) = self.at(node) else { return };
        if let Some(last) = s.last_send.replace(now) {
            s.gaps.add(now.saturating_sub(last) as f64);
        }
        s.sends = s.sends.saturating_add(1);
        s.out = s.out.saturating_add(1);
        s.unanswered = s.unanswered.saturating_add(1);
        s.quiet.get_or_insert(now);
        s.news = true;
    }

    /// An upstream request ended, `elapsed` after it was sent.
    pub fn ended(&mut self, now: Micros, node: Node, verdict: Verdict, elapsed: Micros) {
        let Some(s) = self.at(node) else { return };
        if let Some(n) = s.ends.get_mut(verdict as usize) {
            *n = n.saturating_add(1);
        }
        s.out = s.out.saturating_sub(1);
        s.news = true;
        if verdict.shows_life() {
            s.signed(now);
        }
        if verdict == Verdict::Served {
            s.service.add(elapsed as f64);
        }
    }

    /// A node reported its utilisation, or anything else that shows that it lives.
    pub fn load(&mut self, now: Micros, node: Node, rho: Option<f32>) {
        let Some(s) = self.at(node) else { return };
        s.signed(now);
        s.news = true;
        if let Some(rho) = rho.filter(|r| (0.0..=16.0).contains(r)) {
            s.load = Some((rho, now));
        }
    }

    /// When a node last gave a sign of life.
    pub fn sign(&self, node: Node) -> Option<Micros> {
        self.places.get(&node).and_then(|at| self.seen.get(*at)).and_then(|s| s.sign)
    }

    /// A client's request was taken.
    pub fn request_received(&mut self, tenant: usize, class: usize) {
        self.used(tenant, class, |u| &mut u.asked);
    }

    /// A client's request was served in time.
    pub fn served(&mut self, tenant: usize, class: usize) {
        self.used(tenant, class, |u| &mut u.served);
    }

    /// A client's request was refused.
    pub fn refused(&mut self, tenant: usize, class: usize) {
        self.used(tenant, class, |u| &mut u.refused);
    }

    /// Something is wanted of the origin, whether it is sent or not.
    pub fn origin_needed(&mut self) {
        self.origin.asked = self.origin.asked.saturating_add(1);
    }

    /// Something was sent to the origin.
    pub fn fetched(&mut self) {
        self.origin_out = self.origin_out.saturating_add(1);
    }

    /// What was sent to the origin ended; with its time, if it was answered.
    pub fn fetch_ended(&mut self, answered_in: Option<Micros>) {
        self.origin_out = self.origin_out.saturating_sub(1);
        answered_in.into_iter().for_each(|t| self.origin.service.add(t as f64));
    }

    /// Takes a delta. The caller fills in what this forwarder holds of each planner.
    pub fn take(&mut self, now: Micros) -> Report {
        self.number += 1;
        let mut nodes = Vec::new();
        let len = self.seen.len();
        // The quiet first, whether there is news or not: their silence is the news.
        let quiet = self.seen.iter_mut().filter(|s| s.quiet.is_some());
        nodes.extend(quiet.take(bounds::NODES_PER_MESSAGE).map(|s| s.take(now)));
        let room =
            bounds::ANSWERING_NODES_PER_REPORT.min(bounds::NODES_PER_MESSAGE.saturating_sub(nodes.len()));
        let upto = nodes.len() + room;
        let first = self.turn;
        for at in (0..len).map(|i| (i + first) % len) {
            if nodes.len() >= upto {
                self.turn = at;
                break;
            }
            let news = |s: &&mut Seen| s.news && s.quiet.is_none();
            nodes.extend(self.seen.get_mut(at).filter(news).map(|s| s.take(now)));
        }
        let used = self.uses.iter_mut().filter(|u| u.asked + u.served + u.refused > 0);
        let uses = used
            .map(|u| {
                std::mem::replace(
                    u,
                    UsageReport { tenant: u.tenant, class: u.class, ..UsageReport::default() },
                )
            })
            .collect();
        let origin = OriginReport { out: self.origin_out, ..std::mem::take(&mut self.origin) };
        let (number, list, ready) = (self.number, self.revision, self.ready);
        Report { number, list, ready, nodes, uses, origin, ..Report::default() }
    }

    fn at(&mut self, node: Node) -> Option<&mut Seen> {
        self.places.get(&node).and_then(|at| self.seen.get_mut(*at))
    }

    fn used(&mut self, tenant: usize, class: usize, field: impl Fn(&mut UsageReport) -> &mut u32) {
        if class < self.classes {
            if let Some(u) = self.uses.get_mut(tenant.saturating_mul(self.classes).saturating_add(class)) {
                let n = field(u);
                *n = n.saturating_add(1);
            }
        }
    }
}

impl Seen {
    fn new(listed: Listed) -> Self {
        Seen {
            listed,
            sends: 0,
            ends: [0; VERDICT_COUNT],
            gaps: Moments::default(),
            service: Moments::default(),
            last_send: None,
            sign: None,
            quiet: None,
            unanswered: 0,
            out: 0,
            load: None,
            news: false,
        }
    }

    /// A sign of life: what is still out is waited for from now on.
    fn signed(&mut self, now: Micros) {
        self.sign = Some(self.sign.map_or(now, |s| s.max(now)));
        self.unanswered = self.out;
        self.quiet = (self.out > 0).then_some(now);
    }

    fn take(&mut self, now: Micros) -> NodeReport {
        let report = NodeReport {
            node: self.listed.node,
            zone: self.listed.zone,
            sends: self.sends,
            ends: self.ends,
            gaps: self.gaps,
            service: self.service,
            sent: self.last_send.map(|t| span(t, now)),
            sign: self.sign.map(|t| span(t, now)),
            quiet: self.quiet.map(|t| span(t, now)),
            unanswered: self.unanswered,
            load: self.load.map(|(rho, t)| (rho, span(t, now))),
        };
        (self.sends, self.ends, self.news) = (0, [0; VERDICT_COUNT], false);
        (self.gaps, self.service) = (Moments::default(), Moments::default());
        report
    }
}
