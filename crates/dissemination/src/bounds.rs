//! The most of everything. What comes from outside is held against these before it is kept.

/// Bytes of a frame after its length. Four thousand names fit, and thirteen changes of the largest size.
pub const FRAME: usize = 64 * 1024;
/// Bytes of a change's body.
pub const BODY: usize = 4096;
/// Control machines: a set of them fits into 64 bits, and a stream into a byte.
pub const CONTROLS: u8 = 64;
/// Topics. See [`CONTROLS`].
pub const TOPICS: u8 = 4;
/// Streams: each topic's at each control machine.
pub const STREAMS: usize = CONTROLS as usize * TOPICS as usize;
/// Pieces in one batch, as many as there are streams.
pub const PIECES: usize = STREAMS;
/// Changes in one piece. With 6 bytes each they fill a frame.
pub const CHANGES: usize = 8192;
/// The greatest number of a change: at a million a second, three hundred years.
pub const NUMBER: u64 = 1 << 53;
/// Names of followers in one message.
pub const NAMES: usize = 4096;
/// Changes that a follower names as refused in one message, and that a control machine keeps of each.
pub const REFUSED: usize = 32;
/// Challenges whose instants a follower remembers of a connection: 8 s at four a second.
pub const CHALLENGES: usize = 32;
/// Polls whose answers a control machine remembers: 4 s at four a second.
pub const POLLS: usize = 16;
/// Bytes of a reason.
pub const REASON: usize = 256;
