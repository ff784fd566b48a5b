//! Builds the snapshot that the agent answers from out of the core's status.

use crate::core::status::{ClusterStatus, NodeStatus};
use crate::core::Counters;
use crate::interface::{Health, Micros, Phase};
use crate::settings::Site;
use snmp::snapshot::{self, Connections, Discovery, Node, Origin, OriginState, Snapshot, State};
use snmp::tally::Tally;
use std::collections::BTreeMap;
use std::rc::Rc;

/// An origin whose window is below this pauses between fetches: it receives next to nothing.
const CLOSED_WINDOW: f64 = 1.0;
/// A latency of this multiple of the best one counts as strain, as in `limits::origin`.
const STRAINED_LATENCY_RATIO: f64 = 2.5;

/// The part of the status that only the owner knows.
#[derive(Clone, Copy, Debug, Default)]
pub struct OwnerStatus {
    pub ready: bool,
    pub downstreams: usize,
    pub downstreams_limit: usize,
    pub downstreams_refused: u64,
    pub downstreams_silent: u64,
    pub downstreams_made_room: u64,
    pub upstreams: usize,
    pub upstreams_limit: usize,
    pub streams: usize,
    pub counters: Counters,
}

/// State that is kept between snapshots.
#[derive(Debug)]
pub struct SnapshotBuilder {
    pub started: Micros,
    pub name: Rc<str>,
    pub version: Rc<str>,
    pub site: Rc<Site>,
    pub fleet_least: u32,
    pub reloads: u64,
    zones: Vec<Rc<str>>,
    kinds: Vec<Rc<str>>,
    /// The last phase and state of each node, and when they changed.
    changed: BTreeMap<Rc<str>, (snapshot::Phase, State, Micros)>,
}

fn phase(phase: Phase) -> snapshot::Phase {
    match phase {
        Phase::Ready => snapshot::Phase::Serving,
        Phase::Draining => snapshot::Phase::Draining,
        Phase::Gone => snapshot::Phase::Gone,
    }
}

fn state(node: &NodeStatus) -> State {
    match node.server_status.map(|s| s.health) {
        None => State::Gone,
        Some(Health::Serving) => State::Serving,
        Some(Health::Cold) => State::Cold,
        Some(Health::Draining) => State::Draining,
        Some(Health::Silent) => State::Silent,
        Some(Health::Evicted) => State::LeftOut,
    }
}

fn origin(status: &ClusterStatus) -> Origin {
    let Some(origin) = status.origin else { return Origin::default() };
    let state = if !origin.available || origin.window < CLOSED_WINDOW {
        OriginState::Closed
    } else if origin.latency_ratio >= STRAINED_LATENCY_RATIO {
        OriginState::Strained
    } else {
        OriginState::Open
    };
    let (outstanding, window, waiting) = (origin.out, origin.window, origin.waiting);
    Origin {
        state,
        outstanding,
        window,
        waiting,
        mean_latency: origin.mean_latency,
        latency_ratio: origin.latency_ratio,
        failure_ratio: origin.failure_ratio,
    }
}

impl SnapshotBuilder {
    pub fn new(started: Micros, name: &str, site: Rc<Site>, fleet_least: u32) -> Self {
        let names = |names: &[String]| names.iter().map(|n| n.as_str().into()).collect();
        SnapshotBuilder {
            started,
            name: name.into(),
            version: env!("CARGO_PKG_VERSION").into(),
            fleet_least,
            reloads: 0,
            zones: names(&site.zones),
            kinds: names(&site.kinds),
            changed: BTreeMap::new(),
            site,
        }
    }

    fn node(&mut self, now: Micros, node: NodeStatus) -> Node {
        let (phase, state) = (phase(node.phase), state(&node));
        let last = self.changed.entry(node.name.clone()).or_insert((phase, state, node.since));
        if (last.0, last.1) != (phase, state) {
            *last = (phase, state, now);
        }
        let changed = last.2;
        let named = |names: &[Rc<str>], at: u16| names.get(usize::from(at)).cloned().unwrap_or_default();
        Node {
            address: node.address.to_string(),
            zone: named(&self.zones, node.zone.0),
            kind: named(&self.kinds, node.kind.0),
            origin: node.origin,
            phase,
            state,
            outstanding: node.server_status.map_or(0, |s| s.out),
            connections: node.connections,
            utilisation: node.server_status.and_then(|s| s.rho),
            served: node.outcomes.served,
            missed: node.outcomes.missed,
            refused: node.outcomes.refused,
            failed: node.outcomes.failed,
            changed,
            since: node.since,
            name: node.name,
        }
    }

    /// Takes a snapshot.
    pub fn take(
        &mut self,
        now: Micros,
        status: ClusterStatus,
        tally: &mut Tally,
        owned: OwnerStatus,
    ) -> Snapshot {
        let origin = origin(&status);
        let ClusterStatus { nodes, revision, heard, told, .. } = status;
        let nodes: Vec<Node> = nodes.into_iter().map(|node| self.node(now, node)).collect();
        if self.changed.len() > nodes.len() {
            self.changed.retain(|name, _| nodes.binary_search_by(|n| n.name.cmp(name)).is_ok());
        }
        let c = owned.counters;
        let zone = self.zones.get(usize::from(self.site.settings.zone.0)).cloned().unwrap_or_default();
        Snapshot {
            at: now,
            started: self.started,
            // The owner's clock starts at the system's Unix time.
            started_unix: self.started,
            name: self.name.clone(),
            version: self.version.clone(),
            zone,
            ready: owned.ready,
            reloads: self.reloads,
            nodes,
            bound: self.fleet_least,
            requests: tally.requests(),
            refusals: tally.refusals(),
            taken: c.taken,
            streams: owned.streams as u64,
            streams_limit: u64::from(self.site.settings.max_open),
            overdue: c.overdue,
            times: tally.times(now),
            connections: Connections {
                downstreams: owned.downstreams as u64,
                downstreams_limit: owned.downstreams_limit as u64,
                downstreams_refused: owned.downstreams_refused,
                downstreams_silent: owned.downstreams_silent,
                downstreams_made_room: owned.downstreams_made_room,
                upstreams: owned.upstreams as u64,
                upstreams_limit: owned.upstreams_limit as u64,
                dials: c.dials,
                unconnected: c.unconnected,
                resets: c.resets,
                timeouts: c.timeouts,
                requests: c.upstream,
                probes: c.probes,
            },
            origin,
            discovery: Discovery {
                revision: revision.unwrap_or(0),
                heard,
                told,
                changes: c.lists,
                ended: c.watches_ended,
            },
            // Not available yet: the tables of planners and forwarders have no rows.
            ..Snapshot::default()
        }
    }
}
