//! The most of everything. What comes from outside is held against these before it is kept.

/// Bytes of a frame after its length. Four thousand names fit, and thirteen changes of the largest size.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Bytes of a change's body.
pub const MAX_BODY_BYTES: usize = 4096;
/// Control machines: a set of them fits into 64 bits, and a stream into a byte.
pub const MAX_CONTROLS: u8 = 64;
/// Topics. See [`MAX_CONTROLS`].
pub const MAX_TOPICS: u8 = 4;
/// Streams: each topic's at each control machine.
pub const MAX_STREAMS: usize = MAX_CONTROLS as usize * MAX_TOPICS as usize;
/// Pieces in one batch, as many as there are streams.
pub const MAX_PIECES: usize = MAX_STREAMS;
/// Changes in one piece. With 6 bytes each they fill a frame.
pub const MAX_CHANGES: usize = 8192;
/// The greatest number of a change: at a million a second, three hundred years.
pub const MAX_NUMBER: u64 = 1 << 53;
/// Names of followers in one message.
pub const MAX_NAMES: usize = 4096;
/// Changes that a follower names as refused in one message, and that a control machine keeps of each.
pub const MAX_REFUSED: usize = 32;
/// Challenges whose instants a follower remembers of a connection: 8 s at four a second.
pub const MAX_CHALLENGES: usize = 32;
/// Polls whose answers a control machine remembers: 4 s at four a second.
pub const MAX_POLLS: usize = 16;
/// Bytes of a reason.
pub const MAX_REASON_BYTES: usize = 256;
