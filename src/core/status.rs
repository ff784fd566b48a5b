//! The state of the cluster for monitoring: one row per node, kept for a while after the node has left, with
//! the outcomes of its upstream requests, and the sizes of the core's tables. Nothing here affects decisions.

use super::Core;
use crate::codec::discovery::Listed;
use crate::interface::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a row is kept after its node has left the list, so that a returning node keeps its counters.
pub const ROW_RETENTION: Micros = 600_000_000;
/// The maximum number of rows; further nodes have none.
const MAX_ROWS: usize = 4096;

/// The name of a table and its number of entries.
pub type Size = (&'static str, usize);

impl Core {
    /// The number of entries in each table of the core and the module, not their allocated capacity. Counted
    /// on request; nothing is maintained for it.
    pub fn sizes(&self) -> Vec<Size> {
        let mut sizes = vec![
            ("core.streams", self.streams.len()),
            ("core.by_downstream", self.by_downstream.len()),
            ("core.ids", self.ids.sizes()[0]),
            ("core.ended_ids", self.ids.sizes()[1]),
            ("core.upstream", self.upstream.len()),
            ("core.timers", self.wheel.len()),
            ("core.events", self.events.len()),
            ("core.effects", self.effects.len()),
            ("core.rows", self.node_table.rows.len()),
            ("core.slow_starts", self.slow_starts.len()),
            ("core.starts", self.start_times.len()),
        ];
        sizes.extend(self.pool.sizes());
        sizes.extend(self.balancer.sizes());
        sizes
    }
}

/// The minimum number of streams and the minimum duration, in us, for a period in which all streams are
/// rejected to be counted; the same figures as in the continuous test.
const MIN_REFUSAL_PERIOD: (u64, Micros) = (15, 4_000_000);

/// A period in which every stream was refused or failed without an attempt.
#[derive(Default)]
pub(super) struct RefusalPeriod {
    since: Micros,
    streams: u64,
    counted: bool,
}

impl RefusalPeriod {
    /// Ends the period because an attempt is being written.
    pub fn end(&mut self) {
        self.streams = 0;
    }

    /// A stream was refused or failed. Returns true once per period, when it becomes long enough to be
    /// counted.
    pub fn record_rejection(&mut self, now: Micros) -> bool {
        if self.streams == 0 {
            (self.since, self.counted) = (now, false);
        }
        self.streams += 1;
        let counts = self.streams >= MIN_REFUSAL_PERIOD.0 && now - self.since >= MIN_REFUSAL_PERIOD.1;
        counts && !std::mem::replace(&mut self.counted, true)
    }
}

/// Upstream request counts by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    pub served: u64,
    pub missed: u64,
    pub refused: u64,
    /// Errors, timeouts, resets and requests that found no connection.
    pub failed: u64,
}

/// The state of a node for monitoring.
#[derive(Clone, Debug)]
pub struct NodeStatus {
    pub name: Rc<str>,
    pub address: SocketAddr,
    pub zone: ZoneId,
    pub kind: KindId,
    pub origin: bool,
    pub phase: Phase,
    /// The module's state of the node; `None` once it is gone.
    pub server_status: Option<ServerStatus>,
    pub connections: u32,
    pub outcomes: OutcomeCounts,
    /// Since when `outcomes` counts.
    pub since: Micros,
}

/// A snapshot of the cluster state.
#[derive(Clone, Debug)]
pub struct ClusterStatus {
    /// Sorted by name.
    pub nodes: Vec<NodeStatus>,
    pub origin: Option<OriginStatus>,
    pub revision: Option<u64>,
    /// When discovery last sent anything, and when it last sent a list.
    pub heard: Option<Micros>,
    pub told: Option<Micros>,
}

struct NodeRow {
    name: Rc<str>,
    address: SocketAddr,
    member: Member,
    origin: bool,
    /// Since when the node is no longer listed.
    gone: Option<Micros>,
    outcomes: OutcomeCounts,
    since: Micros,
}

/// The rows by node, and when discovery was last in contact.
#[derive(Default)]
pub(super) struct NodeTable {
    rows: BTreeMap<ServerId, NodeRow>,
    heard: Option<Micros>,
    told: Option<Micros>,
}

impl NodeTable {
    /// Discovery has sent something; `list` tells whether it was a list.
    pub fn heard(&mut self, now: Micros, list: bool) {
        self.heard = Some(now);
        self.told = if list { Some(now) } else { self.told };
    }

    /// Applies a complete list or a change to it.
    pub fn apply_list(&mut self, now: Micros, nodes: &[Listed], whole: bool, origin: Option<KindId>) {
        let mut absent: Vec<ServerId> = self.rows.keys().copied().filter(|_| whole).collect();
        absent.retain(|id| !nodes.iter().any(|l| l.member.server == *id));
        for id in absent {
            self.rows.entry(id).and_modify(|row| {
                row.gone.get_or_insert(now);
            });
        }
        for Listed { member, address, name } in nodes {
            let id = member.server;
            if self.rows.len() >= MAX_ROWS && !self.rows.contains_key(&id) {
                continue;
            }
            let (outcomes, since) =
                self.rows.get(&id).map_or((OutcomeCounts::default(), now), |m| (m.outcomes, m.since));
            let gone = (member.phase == Phase::Gone).then_some(now);
            let gone = gone.and(self.rows.get(&id).and_then(|m| m.gone).or(gone));
            let (address, name, member) = (*address, name.clone(), member.clone());
            let origin = Some(member.kind) == origin;
            self.rows.insert(id, NodeRow { name, address, member, origin, gone, outcomes, since });
        }
    }

    /// Removes rows of nodes that have been gone for longer than [`ROW_RETENTION`].
    pub fn remove_expired(&mut self, now: Micros) {
        self.rows.retain(|_, m| m.gone.is_none_or(|at| now - at < ROW_RETENTION));
    }

    /// Counts the outcome of an upstream request; probes are not counted.
    pub fn count(&mut self, server: ServerId, verdict: Verdict) {
        let Some(row) = self.rows.get_mut(&server) else { return };
        match verdict {
            Verdict::Served => row.outcomes.served += 1,
            Verdict::Miss => row.outcomes.missed += 1,
            Verdict::Full => row.outcomes.refused += 1,
            Verdict::Error | Verdict::Timeout | Verdict::ConnectFailed | Verdict::Reset => {
                row.outcomes.failed += 1;
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

    /// Whether a node started less than `cold_for` ago.
    pub fn is_cold(&self, server: ServerId, now: Micros, cold_for: Micros) -> bool {
        self.rows.get(&server).is_some_and(|m| m.member.age(now) < cold_for)
    }

    pub fn status(
        &self,
        statuses: &BTreeMap<ServerId, ServerStatus>,
        origin: Option<OriginStatus>,
        held: &BTreeMap<ServerId, u32>,
        revision: Option<u64>,
    ) -> ClusterStatus {
        let to_status = |(id, m): (&ServerId, &NodeRow)| NodeStatus {
            name: m.name.clone(),
            address: m.address,
            zone: m.member.zone,
            kind: m.member.kind,
            origin: m.origin,
            phase: if m.gone.is_some() { Phase::Gone } else { m.member.phase },
            server_status: statuses.get(id).copied().filter(|_| m.gone.is_none()),
            connections: held.get(id).copied().unwrap_or(0),
            outcomes: m.outcomes,
            since: m.since,
        };
        let mut nodes: Vec<NodeStatus> = self.rows.iter().map(to_status).collect();
        nodes.sort_by(|a, b| a.name.cmp(&b.name));
        ClusterStatus { nodes, origin, revision, heard: self.heard, told: self.told }
    }
}
