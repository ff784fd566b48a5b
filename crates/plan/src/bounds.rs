//! Size limits. Input from peers is checked against them before it is stored.

/// Maximum size of a frame in bytes, without the length prefix. A report with the maximum number of nodes
/// fits.
pub const FRAME: usize = 256 * 1024;
/// Maximum number of nodes that a forwarder or a planner stores.
pub const NODES: usize = 4096;
/// Maximum number of nodes in a report or in a terms message; the remaining ones follow in later messages.
pub const NODES_PER_MESSAGE: usize = 1024;
/// Maximum number of answering nodes in a report; in a larger fleet they take turns.
pub const ANSWERING_NODES_PER_REPORT: usize = 256;
/// Maximum number of nodes that a plan marks, and of nodes that it vouches for.
pub const MARKS: usize = 1024;
/// Maximum number of zone pairs of which one is cut off from the other.
pub const CUTS: usize = 256;
/// Maximum number of forwarders that a planner serves.
pub const FORWARDERS: usize = 4096;
/// Maximum number of planners that a forwarder follows.
pub const PLANNERS: usize = 9;
/// Maximum number of tenants, and of pairs of tenant and class.
pub const TENANTS: usize = 256;
/// See [`TENANTS`].
pub const USES: usize = 1024;
/// Average number of messages per second that a planner accepts from a peer; more is treated as flooding.
pub const MESSAGES_PER_SECOND: f64 = 20.0;
/// Greatest accepted epoch. Clock milliseconds stay far below it.
pub const EPOCH: u64 = 1 << 52;
/// Greatest duration on the wire, in us: just over an hour. Longer ones are truncated to it.
pub const SPAN: u32 = u32::MAX;
/// Maximum length of a refusal reason in bytes.
pub const REASON: usize = 256;
