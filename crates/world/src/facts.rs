//! Events as observed from outside the proxy. They are the only input of the rule checkers.
//!
//! A host reports each fact when it happens, in chronological order. Facts contain nothing that a proxy
//! reports about itself, so a faulty proxy cannot mislead a checker. Facts are not a log for people; see
//! [`crate::outcome`] for that.

use crate::Micros;

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $of:ty) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(serde::Serialize, serde::Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub $of);
    };
}
number!(/** A proxy's index; it keeps its number when it restarts. */ ProxyNo, u32);
number!(/** A node's index, including nodes added later. A replacement gets a new number; a restart keeps
 the number. */ NodeNo, u32);
number!(/** A try: one send by a client. A retry has another number. */ TryNo, u64);
number!(/** A client's request, across all of its tries. */ RequestNo, u64);
number!(/** A class's index in the scenario. */ ClassNo, u16);

/// The number that stands for the origin where a node is expected.
pub const ORIGIN: NodeNo = NodeNo(u32::MAX);

/// How a proxy answered a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// With a value. `made_for` is the try for which a node or the origin produced this value, as encoded in
    /// the value itself; `None` if the value was produced by neither.
    Served {
        made_for: Option<TryNo>,
    },
    Refused,
    Failed,
}

/// The status of a node as discovery reported it to a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

/// An observed event. Its time is passed along with it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    /// The last byte of a try has reached a running proxy.
    Taken { proxy: ProxyNo, of: TryNo, class: ClassNo, deadline: Micros },
    /// The last byte of a proxy's answer has been sent.
    Answered { proxy: ProxyNo, of: TryNo, how: Final },
    /// The proxy closed the client's connection without an answer.
    Dropped { proxy: ProxyNo, of: TryNo },
    /// The client gave up the try and closed the connection, regardless of the proxy; from then on the proxy
    /// owes it no answer.
    Left { proxy: ProxyNo, of: TryNo },
    /// The proxy's process has ended. The tries it had accepted count as lost only if it was told to shut
    /// down and exited by itself.
    ProxyEnded { proxy: ProxyNo, planned: bool },
    /// The first byte of an attempt left the proxy for a node.
    AttemptBegun { proxy: ProxyNo, node: NodeNo, of: TryNo },
    /// A node or the origin has started to execute a try. `key` is its idempotency key, if any. `effect` is
    /// false for a detected and dropped repeat and for a read that missed. `made` is false for a miss, since
    /// a miss produces nothing that can be served.
    Ran { node: NodeNo, of: TryNo, class: ClassNo, key: Option<u64>, effect: bool, made: bool },
    /// Discovery has reported a node's status to a proxy, or counts as having done so. `started` is the start
    /// time of the node process that the entry describes; `None` means long ago.
    Listed { proxy: ProxyNo, node: NodeNo, status: Status, started: Option<Micros> },
    /// A node has started. Nodes present at the start of a run are reported then, as `warm`; all others start
    /// empty and cold. `weight` is the weight in the discovery list. `capacity` is the work per second of the
    /// warm node, in microseconds of a standard core.
    Started { node: NodeNo, weight: f64, capacity: f64, warm: bool },
    /// Work has arrived at a node, accepted or not, in microseconds of a standard core; a read counts as if
    /// it hit. `warmth` is the part of its capacity that the node has at this moment.
    Arrived { proxy: ProxyNo, node: NodeNo, work: Micros, warmth: f64 },
    /// A node has crashed because it received too much work.
    OverloadCrash { node: NodeNo },
    /// The process or machine of a node is gone.
    Ended { node: NodeNo },
    /// A read or write has reached the origin. `after` is the node whose miss caused the read.
    OriginAsked { proxy: ProxyNo, of: TryNo, after: Option<NodeNo> },
    /// The origin received more than a set multiple of its capacity from `since` until now. `stopped` tells
    /// whether it stopped because of that.
    OriginOverloaded { since: Micros, stopped: bool },
}
