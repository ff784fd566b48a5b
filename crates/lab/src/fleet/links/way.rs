//! One direction between two processes.

/// A run is void if the 99th percentile of the relays' lateness is over this.
pub const VOID_P99_US: u64 = 20_000;
/// A run is void if the relays were ever later than this: a pause of their thread, or of the machine.
pub const VOID_WORST_US: u64 = 250_000;

/// How much later than due the relays did things: deliveries that had a delay, and a beat every 5 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Lateness {
    pub p99_us: u64,
    pub worst_us: u64,
    /// Whether that is past [`VOID_P99_US`] or [`VOID_WORST_US`]: what was seen says nothing then.
    pub void: bool,
}

/// What went one way so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Traffic {
    /// Connections that the sender of this direction opened.
    pub connections: u64,
    /// Of them those that came up at the relay and were reset because the target refused, was not to be reached, or too
    /// many were up. Those that the system refused are not seen.
    pub refused: u64,
    /// Bytes of connections handed to the receiver.
    pub bytes: u64,
    /// Bytes of connections that the relay has read and not yet handed on.
    pub waiting: u64,
    /// Chunks of connections, and datagrams, handed to the receiver.
    pub messages: u64,
    /// Datagrams that the condition lost.
    pub lost: u64,
    /// Datagrams that found no room on the way: too many at once, or no receiver to be had.
    pub dropped: u64,
    /// Datagrams that came twice.
    pub duplicated: u64,
    /// Chunks and datagrams of which a byte was changed.
    pub garbled: u64,
}
