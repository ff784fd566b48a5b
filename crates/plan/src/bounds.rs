//! The most of everything. What comes from outside is held against these before it is kept.

/// Bytes of a frame after its length. A report of the most nodes fits.
pub const FRAME: usize = 256 * 1024;
/// Nodes that a forwarder or a planner keeps.
pub const NODES: usize = 4096;
/// Nodes in one report, and in one message of terms; more go in turns.
pub const NODES_PER_MESSAGE: usize = 1024;
/// Of the nodes in one report, those that answer; in a larger fleet they take turns.
pub const ANSWERING_NODES_PER_REPORT: usize = 256;
/// Nodes that a plan marks, and that it vouches for.
pub const MARKS: usize = 1024;
/// Pairs of zones of which one is cut off from the other.
pub const CUTS: usize = 256;
/// Forwarders that a planner serves.
pub const FORWARDERS: usize = 4096;
/// Planners that a forwarder listens to.
pub const PLANNERS: usize = 9;
/// Tenants, and pairs of tenant and class.
pub const TENANTS: usize = 256;
/// See [`TENANTS`].
pub const USES: usize = 1024;
/// Messages a second that a planner hears of one peer on the mean; past that it floods.
pub const MESSAGES_PER_SECOND: f64 = 20.0;
/// The greatest epoch. The clock's milliseconds stay far below.
pub const EPOCH: u64 = 1 << 52;
/// A span on the wire, in us: just over an hour. Longer ones are cut to it.
pub const SPAN: u32 = u32::MAX;
/// Bytes of a reason.
pub const REASON: usize = 256;
