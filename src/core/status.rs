//! What there is to see of the cluster, for those who watch it: a row for each node, kept for a while after it
//! has left, with what became of the upstream requests there; and how much the core keeps. Nothing is decided
//! by it.

use super::Core;
use crate::codec::discovery::Listed;
use crate::interface::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a node's row stays after the node has left the list: one that returns finds its counters.
pub const KEPT: Micros = 600_000_000;
/// Rows at the most; nodes beyond them have none.
const ROWS: usize = 4096;

/// A table, and how many things it holds.
pub type Size = (&'static str, usize);

impl Core {
    /// How many things each table of the core and of the module holds now: entries, not the room that a table keeps
    /// from its fullest time. Counted when asked; nothing is kept for it.
    pub fn sizes(&self) -> Vec<Size> {
        let mut sizes = vec![
            ("core.streams", self.streams.len()),
            ("core.by_downstream", self.by_downstream.len()),
            ("core.ids", self.ids.len()),
            ("core.upstream", self.upstream.len()),
            ("core.timers", self.wheel.len()),
            ("core.events", self.events.len()),
            ("core.effects", self.effects.len()),
            ("core.rows", self.marks.rows.len()),
            ("core.slow_starts", self.slow_starts.len()),
            ("core.starts", self.starts.len()),
        ];
        sizes.extend(self.pool.sizes());
        sizes.extend(self.balancer.sizes());
        sizes
    }
}

/// So many streams, and so long a time in us, in which a proxy turns all of them away count as a spell of it: the
/// figures of the standing test.
const SPELL: (u64, Micros) = (15, 4_000_000);

/// A time in which all that came was turned away.
#[derive(Default)]
pub(super) struct Spell {
    since: Micros,
    streams: u64,
    counted: bool,
}

impl Spell {
    /// An attempt begins: it is over.
    pub fn over(&mut self) {
        self.streams = 0;
    }

    /// A stream was refused, or failed. Whether the spell is one that counts from now on.
    pub fn turned_away(&mut self, now: Micros) -> bool {
        if self.streams == 0 {
            (self.since, self.counted) = (now, false);
        }
        self.streams += 1;
        let counts = self.streams >= SPELL.0 && now - self.since >= SPELL.1;
        counts && !std::mem::replace(&mut self.counted, true)
    }
}

/// Upstream requests, by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub served: u64,
    pub missed: u64,
    pub refused: u64,
    /// Errors, time-outs, resets and what found no connection.
    pub failed: u64,
}

/// A node, for those who watch.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    pub name: Rc<str>,
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub kind: KindId,
    pub origin: bool,
    pub phase: Phase,
    /// What the module makes of it; nothing once it is gone.
    pub sight: Option<ServerStatus>,
    pub connections: u32,
    pub ends: OutcomeCounts,
    /// Since when `ends` counts.
    pub since: Micros,
}

/// What there is to see at a moment.
#[derive(Clone, Debug)]
pub struct ClusterStatus {
    /// In the order of names.
    pub nodes: Vec<NodeStatus>,
    pub origin: Option<OriginStatus>,
    pub revision: Option<u64>,
    /// When discovery last said anything, and when it last told a list.
    pub heard: Option<Micros>,
    pub told: Option<Micros>,
}

struct Mark {
    name: Rc<str>,
    address: SocketAddr,
    member: Member,
    origin: bool,
    /// Since when it is not listed.
    gone: Option<Micros>,
    ends: OutcomeCounts,
    since: Micros,
}

/// The rows.
#[derive(Default)]
pub(super) struct Marks {
    rows: BTreeMap<ServerId, Mark>,
    heard: Option<Micros>,
    told: Option<Micros>,
}

impl Marks {
    /// Discovery has said something, and perhaps told a list.
    pub fn heard(&mut self, now: Micros, list: bool) {
        self.heard = Some(now);
        self.told = if list { Some(now) } else { self.told };
    }

    /// Takes over a list, or what changed in it.
    pub fn listed(&mut self, now: Micros, nodes: &[Listed], whole: bool, origin: Option<KindId>) {
        let mut absent: Vec<ServerId> = self.rows.keys().copied().filter(|_| whole).collect();
        absent.retain(|id| !nodes.iter().any(|l| l.member.server == *id));
        for id in absent {
            self.rows.entry(id).and_modify(|mark| {
                mark.gone.get_or_insert(now);
            });
        }
        for Listed { member, address, name } in nodes {
            let id = member.server;
            if self.rows.len() >= ROWS && !self.rows.contains_key(&id) {
                continue;
            }
            let (ends, since) =
                self.rows.get(&id).map_or((OutcomeCounts::default(), now), |m| (m.ends, m.since));
            let gone = (member.phase == Phase::Gone).then_some(now);
            let gone = gone.and(self.rows.get(&id).and_then(|m| m.gone).or(gone));
            let (address, name, member) = (*address, name.clone(), member.clone());
            let origin = Some(member.kind) == origin;
            self.rows.insert(id, Mark { name, address, member, origin, gone, ends, since });
        }
    }

    /// Forgets nodes that have been gone for long.
    pub fn forget(&mut self, now: Micros) {
        self.rows.retain(|_, m| m.gone.is_none_or(|at| now - at < KEPT));
    }

    /// An upstream request has ended there; probes do not count.
    pub fn count(&mut self, server: ServerId, verdict: Verdict) {
        let Some(mark) = self.rows.get_mut(&server) else { return };
        match verdict {
            Verdict::Served => mark.ends.served += 1,
            Verdict::Miss => mark.ends.missed += 1,
            Verdict::Full => mark.ends.refused += 1,
            Verdict::Error | Verdict::Timeout | Verdict::ConnectFailed | Verdict::Reset => {
                mark.ends.failed += 1;
            }
            Verdict::Cancelled | Verdict::Moot => {}
        }
    }

    pub fn is_known(&self, server: ServerId) -> bool {
        self.rows.contains_key(&server)
    }

    pub fn is_origin(&self, server: ServerId) -> bool {
        self.rows.get(&server).is_some_and(|m| m.origin)
    }

    /// Whether a node is within its cold time.
    pub fn is_cold(&self, server: ServerId, now: Micros, cold_for: Micros) -> bool {
        self.rows.get(&server).is_some_and(|m| m.member.age(now) < cold_for)
    }

    pub fn status(
        &self,
        sights: &BTreeMap<ServerId, ServerStatus>,
        origin: Option<OriginStatus>,
        held: &BTreeMap<ServerId, u32>,
        revision: Option<u64>,
    ) -> ClusterStatus {
        let seen = |(id, m): (&ServerId, &Mark)| NodeStatus {
            name: m.name.clone(),
            address: m.address,
            zone: m.member.zone,
            kind: m.member.kind,
            origin: m.origin,
            phase: if m.gone.is_some() { Phase::Gone } else { m.member.phase },
            sight: sights.get(id).copied().filter(|_| m.gone.is_none()),
            connections: held.get(id).copied().unwrap_or(0),
            ends: m.ends,
            since: m.since,
        };
        let mut nodes: Vec<NodeStatus> = self.rows.iter().map(seen).collect();
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        ClusterStatus { nodes, origin, revision, heard: self.heard, told: self.told }
    }
}
