//! Hard limits. Every input from outside is checked against them before it is stored.

/// Bytes of a frame after its length prefix: enough for four thousand names, or thirteen changes of the
/// largest size.
pub const MAX_FRAME_BYTES: usize = 64 * 1024;
/// Bytes of a change's body.
pub const MAX_BODY_BYTES: usize = 4096;
/// Control machines: a set of them fits into 64 bits, and a stream identifier into one byte.
pub const MAX_CONTROLS: u8 = 64;
/// Topics; limited for the same reason as [`MAX_CONTROLS`].
pub const MAX_TOPICS: u8 = 4;
/// Streams: one per topic and control machine.
pub const MAX_STREAMS: usize = MAX_CONTROLS as usize * MAX_TOPICS as usize;
/// Pieces in one batch: one per stream.
pub const MAX_PIECES: usize = MAX_STREAMS;
/// Changes in one piece. At 6 bytes each they fill a frame.
pub const MAX_CHANGES: usize = 8192;
/// The highest number of a change; reached after three hundred years at a million changes a second.
pub const MAX_NUMBER: u64 = 1 << 53;
/// Follower names in one message.
pub const MAX_NAMES: usize = 4096;
/// Refused changes in one message, and refused changes that a control machine remembers per follower.
pub const MAX_REFUSED: usize = 32;
/// Challenges per connection whose send time a follower remembers: 8 s at four a second.
pub const MAX_CHALLENGES: usize = 32;
/// Polls whose answers a control machine still accepts: 4 s at four a second.
pub const MAX_POLLS: usize = 16;
/// Bytes of the reason in a refusal frame.
pub const MAX_REASON_BYTES: usize = 256;
