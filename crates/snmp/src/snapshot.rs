//! What is published to the agent: plain data, made now and then by whoever owns the tables, and never changed
//! afterwards. A walk reads a snapshot and nothing else.
//!
//! Every list in it is bounded by who makes it; what the tables show at the most is [`crate::tree`]'s.

use crate::Micros;
use std::rc::Rc;

/// What runs here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// A proxy by itself.
    #[default]
    Proxy = 1,
    /// A proxy that planners advise.
    Forwarder = 2,
    /// A planner.
    Planner = 3,
}

/// What discovery says of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    #[default]
    Serving = 1,
    /// It completes what it has.
    Draining = 2,
    /// It is not listed any more.
    Gone = 3,
}

/// What the proxy makes of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// It is sent requests.
    #[default]
    Serving = 1,
    /// It started a while ago and is sent few.
    Cold = 2,
    /// Discovery says that it drains.
    Draining = 3,
    /// It takes requests and says nothing.
    Silent = 4,
    /// It failed in a row and is only tried.
    LeftOut = 5,
    /// It is not listed any more.
    Gone = 6,
}

impl State {
    /// Whether it is in use as far as the proxy is concerned.
    pub fn usable(self) -> bool {
        matches!(self, State::Serving | State::Cold)
    }
}

/// A node, or the ledger.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// As discovery names it.
    pub name: Rc<str>,
    /// Where it is reached.
    pub address: String,
    /// The hall and the kind of machine, by their names in the settings.
    pub hall: Rc<str>,
    /// See `hall`.
    pub kind: Rc<str>,
    /// Whether it is the ledger.
    pub ledger: bool,
    /// What discovery says of it.
    pub phase: Phase,
    /// What the proxy makes of it.
    pub state: State,
    /// Upstream requests and connections that are out there.
    pub outstanding: u32,
    /// See `outstanding`.
    pub connections: u32,
    /// How busy its cores are, 1 being all of them, and when that was told.
    pub utilisation: Option<(f64, Micros)>,
    /// Upstream requests that it served, missed, turned away, and that failed there in any other way.
    pub served: u64,
    /// See `served`.
    pub missed: u64,
    /// See `served`.
    pub refused: u64,
    /// See `served`.
    pub failed: u64,
    /// When its phase or its state changed last.
    pub changed: Micros,
    /// Since when its counters count.
    pub since: Micros,
}

/// Streams of a class and a tenant, by how they ended.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    /// The class and the tenant, by their names in the settings.
    pub class: Rc<str>,
    /// See `class`.
    pub tenant: Rc<str>,
    /// How many ended in each way.
    pub counts: Counts,
}

/// How streams ended, counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answered with a value or a receipt.
    pub served: u64,
    /// Turned away by a local reply; trying again is harmless.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// The downstream was gone before.
    pub left: u64,
    /// Those among them that took more than one upstream request at caches or at the ledger.
    pub retried: u64,
    /// Those among them that missed and were then served by a cache, which another stream's fetch had filled.
    pub joined: u64,
}

/// Why streams were refused, in the order of mwRefusalReason.
pub const REASONS: usize = 4;

/// The upper bounds of the histogram's buckets, in milliseconds; the last one is open.
pub const BUCKETS: [u32; 16] =
    [5, 10, 20, 50, 100, 150, 250, 350, 500, 750, 1000, 1200, 1500, 2000, 2500, u32::MAX];

/// How long streams of a class took that were served.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// The class.
    pub class: Rc<str>,
    /// How many were served in the last minute, their mean time, and the times that half, nine tenths, 99 and
    /// 99.9 in a hundred of them did not exceed.
    pub recent: u64,
    /// See `recent`.
    pub mean: Micros,
    /// See `recent`.
    pub percentiles: [Micros; 4],
    /// How many since the start, by [`BUCKETS`].
    pub histogram: [u64; BUCKETS.len()],
}

/// Connections, limits, and what came to nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    /// Downstreams open, and how many may be.
    pub downstreams: u64,
    /// See `downstreams`.
    pub downstreams_limit: u64,
    /// Refused by the address lists, closed for their silence, and closed to make room for others.
    pub downstreams_refused: u64,
    /// See `downstreams_refused`.
    pub downstreams_silent: u64,
    /// See `downstreams_refused`.
    pub downstreams_made_room: u64,
    /// Connections to nodes, and how many there may be.
    pub upstreams: u64,
    /// See `upstreams`.
    pub upstreams_limit: u64,
    /// Dialled; requests without a connection; connections broken behind a whole request; answers too late.
    pub dials: u64,
    /// See `dials`.
    pub unconnected: u64,
    /// See `dials`.
    pub resets: u64,
    /// See `dials`.
    pub timeouts: u64,
    /// Upstream requests and probes.
    pub requests: u64,
    /// See `requests`.
    pub probes: u64,
}

/// What the proxy makes of the ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LedgerState {
    /// None is listed.
    #[default]
    None = 1,
    /// It is fetched from.
    Open = 2,
    /// It answers much more slowly than at its best.
    Strained = 3,
    /// Next to nothing goes there: it failed, or is out of reach.
    Closed = 4,
}

/// The ledger.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ledger {
    /// What the proxy makes of it.
    pub state: LedgerState,
    /// Out there now, and how much may be; under 1 it rests between two.
    pub outstanding: u32,
    /// See `outstanding`.
    pub window: f64,
    /// Streams that wait for a place.
    pub waiting: u32,
    /// The mean time of its answers lately, if there were any, and that over the best it has been.
    pub mean_latency: Option<Micros>,
    /// See `mean_latency`.
    pub latency_ratio: f64,
    /// The part of what was sent lately that was turned away or took longer than anybody waits.
    pub failure_ratio: f64,
}

/// Discovery.
#[derive(Clone, Copy, Debug, Default)]
pub struct Discovery {
    /// The revision of the list.
    pub revision: u64,
    /// When discovery last said anything, and when it last told a list or a change; `None` is never.
    pub heard: Option<Micros>,
    /// See `heard`.
    pub told: Option<Micros>,
    /// Lists and changes told, and watches that ended.
    pub changes: u64,
    /// See `changes`.
    pub ended: u64,
}

/// A planner, as a forwarder sees it.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Its number among the planners, from 1 on.
    pub index: u32,
    /// Where it is.
    pub address: String,
    /// It is connected.
    pub reachable: bool,
    /// The epoch and the number of its last plan, when that came, and how many of its plans were refused.
    pub epoch: u64,
    /// See `epoch`.
    pub number: u64,
    /// See `epoch`.
    pub told: Option<Micros>,
    /// See `epoch`.
    pub refused: u64,
}

/// A forwarder, as a planner sees it.
#[derive(Clone, Debug, Default)]
pub struct Forwarder {
    /// Its number, from 1 on.
    pub index: u32,
    /// Its name and its hall.
    pub name: Rc<str>,
    /// See `name`.
    pub hall: Rc<str>,
    /// When it last told what it sees; `None` is never.
    pub heard: Option<Micros>,
    /// Nodes that are silent for it, and the requests a second that it tells.
    pub silent: u32,
    /// See `silent`.
    pub rate: u32,
}

/// What there is of planners and forwarders. Empty in a proxy by itself.
#[derive(Clone, Debug, Default)]
pub struct Plans {
    /// The plan of a quorum of planners is in force.
    pub in_force: bool,
    /// The planners of a forwarder.
    pub planners: Vec<Planner>,
    /// The forwarders of a planner.
    pub forwarders: Vec<Forwarder>,
}

/// All that is published.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// When it was made, and since when the program runs, on the same clock.
    pub at: Micros,
    /// See `at`.
    pub started: Micros,
    /// The same start as Unix time.
    pub started_unix: Micros,
    /// The proxy's name, version, role and hall.
    pub name: Rc<str>,
    /// See `name`.
    pub version: Rc<str>,
    /// See `name`.
    pub role: Role,
    /// See `name`.
    pub hall: Rc<str>,
    /// It is in use.
    pub ready: bool,
    /// How often its configuration was read again.
    pub reloads: u64,
    /// The nodes and the ledger, in the order of their names.
    pub nodes: Vec<Node>,
    /// Fewer usable nodes than this are told; 0 stands for half of those listed as serving.
    pub bound: u32,
    /// Streams by class and tenant.
    pub requests: Vec<Requests>,
    /// Streams refused, by reason.
    pub refusals: [u64; REASONS],
    /// Streams taken, open now, how many may be, and those that were overdue.
    pub taken: u64,
    /// See `taken`.
    pub streams: u64,
    /// See `taken`.
    pub streams_limit: u64,
    /// See `taken`.
    pub overdue: u64,
    /// By class.
    pub times: Vec<Times>,
    /// Connections.
    pub connections: Connections,
    /// The ledger.
    pub ledger: Ledger,
    /// Discovery.
    pub discovery: Discovery,
    /// Planners and forwarders.
    pub plans: Plans,
}

impl Snapshot {
    /// Cache nodes that discovery lists as serving, and those of them that are usable as the proxy sees them.
    pub fn fleet(&self) -> (u32, u32) {
        let serving = || self.nodes.iter().filter(|n| !n.ledger && n.phase == Phase::Serving);
        (serving().count() as u32, serving().filter(|n| n.state.usable()).count() as u32)
    }

    /// The number of usable nodes under which it is told.
    pub fn bound(&self) -> u32 {
        match self.bound {
            0 => self.fleet().0.div_ceil(2),
            bound => bound,
        }
    }
}
