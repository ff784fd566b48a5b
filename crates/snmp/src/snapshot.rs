//! The snapshot that is published to the agent: plain data, made from time to time by the owner of the tables
//! and immutable afterwards. Walks read only a snapshot.
//!
//! Whoever makes a snapshot limits the length of its lists; [`crate::tree`] limits the number of rows shown.

use crate::Micros;
use std::rc::Rc;

/// Role of this program.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// A stand-alone proxy.
    #[default]
    Proxy = 1,
    /// A proxy that follows the plans of planners.
    Forwarder = 2,
    /// A planner.
    Planner = 3,
}

/// Phase of a node as listed by discovery.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Phase {
    /// It accepts requests.
    #[default]
    Serving = 1,
    /// It completes the requests it has.
    Draining = 2,
    /// It is no longer listed.
    Gone = 3,
}

/// State of a node as seen by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum State {
    /// Requests are sent to it.
    #[default]
    Serving = 1,
    /// It started recently and is sent few requests.
    Cold = 2,
    /// Discovery lists it as draining.
    Draining = 3,
    /// It accepts requests without answering.
    Silent = 4,
    /// It failed repeatedly and is only probed.
    LeftOut = 5,
    /// It is no longer listed.
    Gone = 6,
}

impl State {
    /// Whether the proxy considers the node usable.
    pub fn usable(self) -> bool {
        matches!(self, State::Serving | State::Cold)
    }
}

/// A node, or the origin.
#[derive(Clone, Debug, Default)]
pub struct Node {
    /// Its name in discovery.
    pub name: Rc<str>,
    /// Its address.
    pub address: String,
    /// Name of its zone in the settings.
    pub zone: Rc<str>,
    /// Name of its kind of machine in the settings.
    pub kind: Rc<str>,
    /// Whether it is the origin.
    pub origin: bool,
    /// Its phase as listed by discovery.
    pub phase: Phase,
    /// Its state as seen by the proxy.
    pub state: State,
    /// Outstanding upstream requests.
    pub outstanding: u32,
    /// Open connections.
    pub connections: u32,
    /// Utilisation of its cores, 1 being all of them, and when it was reported.
    pub utilisation: Option<(f64, Micros)>,
    /// Upstream requests that it served.
    pub served: u64,
    /// Upstream requests that were misses.
    pub missed: u64,
    /// Upstream requests that it refused.
    pub refused: u64,
    /// Upstream requests that failed in any other way.
    pub failed: u64,
    /// When its phase or its state last changed.
    pub changed: Micros,
    /// Start of its counters.
    pub since: Micros,
}

/// Counters of the streams of one class and tenant.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    /// Name of the class in the settings.
    pub class: Rc<str>,
    /// Name of the tenant in the settings.
    pub tenant: Rc<str>,
    /// Number of streams by outcome.
    pub counts: Counts,
}

/// Number of streams by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Answered with a value or a receipt.
    pub served: u64,
    /// Refused by a local reply; retrying is safe.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// The downstream disconnected before completion.
    pub left: u64,
    /// Of these, the streams that took more than one upstream request to caches or to the origin.
    pub retried: u64,
    /// Of these, the streams that missed and were then served by a cache that another stream's fetch had
    /// filled.
    pub joined: u64,
}

/// Number of reasons of refusal, which are in the order of mwRefusalReason.
pub const REASONS: usize = 4;

/// Upper bounds of the histogram's buckets in milliseconds; the last bucket is unbounded.
pub const BUCKETS: [u32; 16] =
    [5, 10, 20, 50, 100, 150, 250, 350, 500, 750, 1000, 1200, 1500, 2000, 2500, u32::MAX];

/// Durations of the served streams of one class.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// Name of the class.
    pub class: Rc<str>,
    /// Number of streams served in the last minute.
    pub recent: u64,
    /// Mean duration of these streams.
    pub mean: Micros,
    /// 50th, 90th, 99th and 99.9th percentile of these durations.
    pub percentiles: [Micros; 4],
    /// Number of streams served since the start, by [`BUCKETS`].
    pub histogram: [u64; BUCKETS.len()],
}

/// Counters of connections, their limits, and failures.
#[derive(Clone, Copy, Debug, Default)]
pub struct Connections {
    /// Open downstream connections.
    pub downstreams: u64,
    /// Maximum number of downstream connections.
    pub downstreams_limit: u64,
    /// Downstream connections refused by the address lists.
    pub downstreams_refused: u64,
    /// Downstream connections closed because they were idle.
    pub downstreams_silent: u64,
    /// Downstream connections closed to make room for others.
    pub downstreams_made_room: u64,
    /// Open connections to nodes.
    pub upstreams: u64,
    /// Maximum number of connections to nodes.
    pub upstreams_limit: u64,
    /// Connection attempts to nodes.
    pub dials: u64,
    /// Upstream requests that got no connection.
    pub unconnected: u64,
    /// Connections that broke after a complete request was sent.
    pub resets: u64,
    /// Upstream requests whose answer came too late.
    pub timeouts: u64,
    /// Upstream requests and probes.
    pub requests: u64,
    /// Probes.
    pub probes: u64,
}

/// State of the origin as seen by the proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OriginState {
    /// No origin is listed.
    #[default]
    None = 1,
    /// Requests are sent to it.
    Open = 2,
    /// It answers much more slowly than at its best.
    Strained = 3,
    /// Almost no requests are sent to it: it failed or is unreachable.
    Closed = 4,
}

/// State of the origin.
#[derive(Clone, Copy, Debug, Default)]
pub struct Origin {
    /// Its state as seen by the proxy.
    pub state: OriginState,
    /// Outstanding requests.
    pub outstanding: u32,
    /// Maximum number of outstanding requests; below 1, the proxy pauses between two requests.
    pub window: f64,
    /// Streams that wait for a place.
    pub waiting: u32,
    /// Mean latency of its recent answers, if there were any.
    pub mean_latency: Option<Micros>,
    /// Ratio of the mean latency to its best.
    pub latency_ratio: f64,
    /// Fraction of the recent requests that were refused or took longer than any stream waits.
    pub failure_ratio: f64,
}

/// State of discovery.
#[derive(Clone, Copy, Debug, Default)]
pub struct Discovery {
    /// Revision of the list.
    pub revision: u64,
    /// When discovery last sent anything; `None` if never.
    pub heard: Option<Micros>,
    /// When discovery last sent a list or a change; `None` if never.
    pub told: Option<Micros>,
    /// Lists and changes received.
    pub changes: u64,
    /// Watches that ended.
    pub ended: u64,
}

/// A planner as seen by a forwarder.
#[derive(Clone, Debug, Default)]
pub struct Planner {
    /// Its number among the planners, starting at 1.
    pub index: u32,
    /// Its address.
    pub address: String,
    /// Whether it is connected.
    pub reachable: bool,
    /// Epoch of its last plan.
    pub epoch: u64,
    /// Number of its last plan.
    pub number: u64,
    /// When its last plan arrived; `None` if never.
    pub told: Option<Micros>,
    /// Number of its plans that were refused.
    pub refused: u64,
}

/// A forwarder as seen by a planner.
#[derive(Clone, Debug, Default)]
pub struct Forwarder {
    /// Its number, starting at 1.
    pub index: u32,
    /// Its name.
    pub name: Rc<str>,
    /// Name of its zone.
    pub zone: Rc<str>,
    /// When it last reported its view; `None` if never.
    pub heard: Option<Micros>,
    /// Number of nodes that it sees as silent.
    pub silent: u32,
    /// Requests per second that it reports.
    pub rate: u32,
}

/// Planners and forwarders. Empty in a stand-alone proxy.
#[derive(Clone, Debug, Default)]
pub struct Plans {
    /// Whether the plan of a quorum of planners is in force.
    pub in_force: bool,
    /// The planners, in a forwarder.
    pub planners: Vec<Planner>,
    /// The forwarders, in a planner.
    pub forwarders: Vec<Forwarder>,
}

/// All published data.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// When the snapshot was made.
    pub at: Micros,
    /// When the program started, on the same clock.
    pub started: Micros,
    /// When the program started, as Unix time.
    pub started_unix: Micros,
    /// Name of the proxy.
    pub name: Rc<str>,
    /// Version of the proxy.
    pub version: Rc<str>,
    /// Role of the proxy.
    pub role: Role,
    /// Name of the proxy's zone.
    pub zone: Rc<str>,
    /// Whether the proxy is ready.
    pub ready: bool,
    /// Number of times its configuration was reloaded.
    pub reloads: u64,
    /// The nodes and the origin, ordered by name.
    pub nodes: Vec<Node>,
    /// A notification is sent when fewer nodes than this are usable; 0 means half of those listed as serving.
    pub bound: u32,
    /// Counters of streams by class and tenant.
    pub requests: Vec<Requests>,
    /// Refused streams by reason.
    pub refusals: [u64; REASONS],
    /// Streams accepted.
    pub taken: u64,
    /// Open streams.
    pub streams: u64,
    /// Maximum number of open streams.
    pub streams_limit: u64,
    /// Streams that exceeded their deadline.
    pub overdue: u64,
    /// Durations of streams by class.
    pub times: Vec<Times>,
    /// Connections.
    pub connections: Connections,
    /// The origin.
    pub origin: Origin,
    /// Discovery.
    pub discovery: Discovery,
    /// Planners and forwarders.
    pub plans: Plans,
}

impl Snapshot {
    /// Number of cache nodes listed as serving by discovery, and of those that the proxy considers usable.
    pub fn fleet(&self) -> (u32, u32) {
        let serving = || self.nodes.iter().filter(|n| !n.origin && n.phase == Phase::Serving);
        (serving().count() as u32, serving().filter(|n| n.state.usable()).count() as u32)
    }

    /// Number of usable nodes below which a notification is sent.
    pub fn bound(&self) -> u32 {
        match self.bound {
            0 => self.fleet().0.div_ceil(2),
            bound => bound,
        }
    }
}
