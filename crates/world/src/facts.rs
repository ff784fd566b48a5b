//! What happened, as whoever stands outside the proxy sees it: the only thing that the checkers of the rules read.
//!
//! A host tells each fact when it happens, in the order of time. Facts hold nothing that a proxy says of itself;
//! so a proxy that is wrong cannot talk a checker round. Not a log for people: see [`crate::outcome`] for that.

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
number!(/** A proxy by its place among them; it keeps its number when it starts anew. */ ProxyNo, u32);
number!(/** A node by its place in the world, nodes that come later included. A replacement has a place of its own;
 a restart keeps it. */ NodeNo, u32);
number!(/** A try: what a client sent once. A client's next try has another number. */ TryNo, u64);
number!(/** A client's request over all of its tries. */ RequestNo, u64);
number!(/** A class by its place in the scenario. */ ClassNo, u16);

/// The ledger, where a node is named.
pub const LEDGER: NodeNo = NodeNo(u32::MAX);

/// How a proxy answered a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    /// With a value, and the try that a node or the ledger made this value for, as the value itself tells;
    /// `None` for a value that nobody made.
    Served {
        made_for: Option<TryNo>,
    },
    Refused,
    Failed,
}

/// What discovery told a proxy of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    Ready,
    Draining,
    Gone,
}

/// Something that happened. Whoever tells it says when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fact {
    /// The last byte of a try has reached a proxy that lives.
    Taken { proxy: ProxyNo, of: TryNo, class: ClassNo, deadline: Micros },
    /// The last byte of a proxy's answer has left it.
    Answered { proxy: ProxyNo, of: TryNo, how: Final },
    /// The proxy closed the client's connection without an answer.
    Dropped { proxy: ProxyNo, of: TryNo },
    /// The client gave the try up and closed, whatever the proxy does; nothing is owed to it any more.
    Left { proxy: ProxyNo, of: TryNo },
    /// The proxy's process is gone. What it had taken is lost only if it was told to end and did so itself.
    ProxyEnded { proxy: ProxyNo, planned: bool },
    /// The first byte of an attempt left the proxy for a node.
    AttemptBegun { proxy: ProxyNo, node: NodeNo, of: TryNo },
    /// A node or the ledger has begun to carry out a try. `key` is its idempotency key, where it has one;
    /// `effect` is false where a repeat was recognised and dropped, or where a read missed; `made` is false where it
    /// missed, for nothing that could be served comes of that.
    Ran { node: NodeNo, of: TryNo, class: ClassNo, key: Option<u64>, effect: bool, made: bool },
    /// Discovery has told a proxy about a node, or counts as having told. `started` is when the process of the node that
    /// this speaks of started; `None` is long ago.
    Listed { proxy: ProxyNo, node: NodeNo, status: Status, started: Option<Micros> },
    /// A node has started; told at the start of a run of those that are there, as `warm`. Others are empty and cold.
    /// `weight` is what discovery lists it with. `capacity` is its work a second when warm, in micros of a standard
    /// core.
    Started { node: NodeNo, weight: f64, capacity: f64, warm: bool },
    /// Work has reached a node, accepted or not, a read counted as if it hit: micros of a standard core. `warmth` is the part of its capacity
    /// that the node has at this moment.
    Arrived { proxy: ProxyNo, node: NodeNo, work: Micros, warmth: f64 },
    /// A node has fallen over for too much work.
    OverloadCrash { node: NodeNo },
    /// The process or machine of a node is gone.
    Ended { node: NodeNo },
    /// A read or write has reached the ledger. `after` names the node whose miss sent the read on.
    LedgerAsked { proxy: ProxyNo, of: TryNo, after: Option<NodeNo> },
    /// The ledger was sent more than a set multiple of its capacity from `since` until now, and stops if it can.
    LedgerOverloaded { since: Micros, stopped: bool },
}
