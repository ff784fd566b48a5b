//! What the core lets be seen, as the snapshot that the agent shows.

use crate::core::status::{ClusterStatus, NodeStatus};
use crate::core::Counters;
use crate::interface::{Health, Micros, Phase};
use crate::settings::Site;
use snmp::snapshot::{self, Connections, Discovery, Node, Origin, OriginState, Snapshot, State};
use snmp::tally::Tally;
use std::collections::BTreeMap;
use std::rc::Rc;

/// A ledger that may have fewer out than this rests between two: next to nothing goes there.
const CLOSED: f64 = 1.0;
/// Answers so many times slower than at their best are strain, as `limits::ledger` has it.
const STRAINED: f64 = 2.5;

/// What the owner knows beside the core.
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

/// What stays from one snapshot to the next.
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
    /// Phase and state of each node when they changed last, and when that was.
    changed: BTreeMap<Rc<str>, (snapshot::Phase, State, Micros)>,
}

fn phase(phase: Phase) -> snapshot::Phase {
    match phase {
        Phase::Ready => snapshot::Phase::Serving,
        Phase::Draining => snapshot::Phase::Draining,
        Phase::Gone => snapshot::Phase::Gone,
    }
}

fn state(seen: &NodeStatus) -> State {
    match seen.server_status.map(|s| s.health) {
        None => State::Gone,
        Some(Health::Serving) => State::Serving,
        Some(Health::Cold) => State::Cold,
        Some(Health::Draining) => State::Draining,
        Some(Health::Silent) => State::Silent,
        Some(Health::Evicted) => State::LeftOut,
    }
}

fn origin(survey: &ClusterStatus) -> Origin {
    let Some(origin) = survey.origin else { return Origin::default() };
    let state = if !origin.available || origin.window < CLOSED {
        OriginState::Closed
    } else if origin.latency_ratio >= STRAINED {
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

    fn node(&mut self, now: Micros, seen: NodeStatus) -> Node {
        let (phase, state) = (phase(seen.phase), state(&seen));
        let last = self.changed.entry(seen.name.clone()).or_insert((phase, state, seen.since));
        if (last.0, last.1) != (phase, state) {
            *last = (phase, state, now);
        }
        let changed = last.2;
        let named = |names: &[Rc<str>], at: u16| names.get(usize::from(at)).cloned().unwrap_or_default();
        Node {
            address: seen.address.to_string(),
            zone: named(&self.zones, seen.zone.0),
            kind: named(&self.kinds, seen.kind.0),
            origin: seen.origin,
            phase,
            state,
            outstanding: seen.server_status.map_or(0, |s| s.out),
            connections: seen.connections,
            utilisation: seen.server_status.and_then(|s| s.rho),
            served: seen.outcomes.served,
            missed: seen.outcomes.missed,
            refused: seen.outcomes.refused,
            failed: seen.outcomes.failed,
            changed,
            since: seen.since,
            name: seen.name,
        }
    }

    /// The snapshot of this moment.
    pub fn take(
        &mut self,
        now: Micros,
        survey: ClusterStatus,
        tally: &mut Tally,
        o: OwnerStatus,
    ) -> Snapshot {
        let origin = origin(&survey);
        let ClusterStatus { nodes, revision, heard, told, .. } = survey;
        let nodes: Vec<Node> = nodes.into_iter().map(|seen| self.node(now, seen)).collect();
        if self.changed.len() > nodes.len() {
            self.changed.retain(|name, _| nodes.binary_search_by(|n| n.name.cmp(name)).is_ok());
        }
        let c = o.counters;
        let zone = self.zones.get(usize::from(self.site.settings.zone.0)).cloned().unwrap_or_default();
        Snapshot {
            at: now,
            started: self.started,
            // The owner's clock began at the system's.
            started_unix: self.started,
            name: self.name.clone(),
            version: self.version.clone(),
            zone,
            ready: o.ready,
            reloads: self.reloads,
            nodes,
            bound: self.fleet_least,
            requests: tally.requests(),
            refusals: tally.refusals(),
            taken: c.taken,
            streams: o.streams as u64,
            streams_limit: u64::from(self.site.settings.max_open),
            overdue: c.overdue,
            times: tally.times(now),
            connections: Connections {
                downstreams: o.downstreams as u64,
                downstreams_limit: o.downstreams_limit as u64,
                downstreams_refused: o.downstreams_refused,
                downstreams_silent: o.downstreams_silent,
                downstreams_made_room: o.downstreams_made_room,
                upstreams: o.upstreams as u64,
                upstreams_limit: o.upstreams_limit as u64,
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
            // Not shown yet: the tables of planners and forwarders have no rows.
            ..Snapshot::default()
        }
    }
}
