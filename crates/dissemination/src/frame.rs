//! Encodes and decodes frames: a length (LEB128, three bytes at most), a version (u8), and a body. The length
//! covers version and body and must use the shortest encoding; for lengths up to 127 length and version take
//! two bytes.
//!
//! Version 0 never changes: its body is a UTF-8 reason, sent to refuse a peer, even one that supports none of
//! our versions. Version [`VERSION`] is a postcard-encoded [`Message`]
//! (<https://postcard.jamesmunns.com/wire-format>). Any other version is refused.
//!
//! The reader is incremental and buffers at most one frame. Its buffer grows with the bytes received, not
//! with the length that a peer claims. After an error it cannot be used any more: close the connection.

use crate::bounds;
use crate::message::Message;
use thiserror::Error;

/// The message version that this build supports.
pub const VERSION: u8 = 1;
const REFUSAL_VERSION: u8 = 0;
/// Bytes of the longest length prefix.
const MAX_LENGTH_BYTES: usize = 3;

/// Why a connection is closed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
pub enum CloseReason {
    /// The peer uses a version that this build does not support.
    #[error("version {0} is not spoken here, {VERSION} is")]
    Version(u8),
    /// The frame is empty or too long.
    #[error("a frame of {0} bytes, 1 to {most} are taken", most = bounds::MAX_FRAME_BYTES)]
    Length(u32),
    /// The body cannot be decoded as a message.
    #[error("a frame that cannot be read")]
    Malformed,
    /// A field of the message is out of bounds.
    #[error("{0}")]
    Bounds(&'static str),
    /// The peer refused this side and sent a reason.
    #[error("refused by the other side: {0}")]
    ByPeer(String),
    /// The message is not allowed at this point.
    #[error("{0} is not expected here")]
    Unexpected(&'static str),
    /// The peer exceeded the message rate.
    #[error("more messages than a peer may send")]
    TooManyMessages,
    /// The limit of connections is reached.
    #[error("no room for another peer")]
    NoCapacity,
    /// The peer's epoch differs from the one here: the peer's epoch, then this side's.
    #[error("epoch {0} is not in force here, {1} is")]
    Epoch(u32, u32),
    /// The peer sent changes that do not continue the history held here.
    #[error("changes that do not fit those before them")]
    HistoryMismatch,
    /// Nothing was received for too long.
    #[error("silent for too long")]
    Timeout,
    /// A newer connection of the same peer replaced this one.
    #[error("another connection has taken this one's place")]
    Replaced,
    /// Another control machine serves this follower better.
    #[error("no longer needed")]
    NoLongerNeeded,
}

/// Encodes a message as a frame. Fails if a field is out of bounds, which this crate never produces.
pub fn encode(message: &Message) -> Result<Vec<u8>, CloseReason> {
    message.check().map_err(CloseReason::Bounds)?;
    let body = postcard::to_allocvec(message).map_err(|_| CloseReason::Malformed)?;
    to_frame(VERSION, &body)
}

/// Encodes a reason as a frame, to be sent before a connection is closed.
pub fn refusal(reason: &CloseReason) -> Vec<u8> {
    let mut text = reason.to_string();
    let end = (0..=bounds::MAX_REASON_BYTES).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    text.truncate(end);
    to_frame(REFUSAL_VERSION, text.as_bytes()).unwrap_or_default()
}

/// Size of a message's frame in bytes.
pub fn size(message: &Message) -> usize {
    let flavor = postcard::ser_flavors::Size::default();
    let body = postcard::serialize_with_flavor(message, flavor).unwrap_or(bounds::MAX_FRAME_BYTES) + 1;
    body + length_bytes(body)
}

/// Bytes that a length prefix takes.
fn length_bytes(length: usize) -> usize {
    match length {
        0..=0x7f => 1,
        0x80..=0x3fff => 2,
        _ => 3,
    }
}

fn to_frame(version: u8, body: &[u8]) -> Result<Vec<u8>, CloseReason> {
    let length = body.len() + 1;
    if length > bounds::MAX_FRAME_BYTES {
        return Err(CloseReason::Length(u32::try_from(length).unwrap_or(u32::MAX)));
    }
    let mut bytes = Vec::with_capacity(length + MAX_LENGTH_BYTES);
    let mut left = length;
    while left >= 0x80 {
        bytes.push(left as u8 | 0x80);
        left >>= 7;
    }
    bytes.push(left as u8);
    bytes.push(version);
    bytes.extend_from_slice(body);
    Ok(bytes)
}

/// An incremental frame reader; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    error: Option<CloseReason>,
}

impl Reader {
    /// Consumes bytes from the front of `bytes` until a message is complete; returns `None` if more are
    /// needed.
    pub fn read(&mut self, bytes: &mut &[u8]) -> Result<Option<Message>, CloseReason> {
        if let Some(reason) = &self.error {
            return Err(reason.clone());
        }
        let read = self.read_frame(bytes);
        if let Err(reason) = &read {
            self.error = Some(reason.clone());
            self.buffer = Vec::new();
        }
        read
    }

    /// Buffered bytes of an incomplete frame.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    fn read_frame(&mut self, bytes: &mut &[u8]) -> Result<Option<Message>, CloseReason> {
        let Some((head, length)) = self.read_length(bytes)? else { return Ok(None) };
        // Check the version before waiting for the rest of a long frame that would be refused anyway.
        if !self.fill_to(head + 1, bytes) {
            return Ok(None);
        }
        let version = self.buffer.get(head).copied().unwrap_or(REFUSAL_VERSION);
        match version {
            VERSION => {}
            REFUSAL_VERSION if length <= bounds::MAX_REASON_BYTES + 1 => {}
            REFUSAL_VERSION => return Err(CloseReason::Length(length as u32)),
            other => return Err(CloseReason::Version(other)),
        }
        if !self.fill_to(head + length, bytes) {
            return Ok(None);
        }
        let body = self.buffer.get(head + 1..).unwrap_or_default();
        if version == REFUSAL_VERSION {
            return Err(CloseReason::ByPeer(String::from_utf8_lossy(body).into_owned()));
        }
        let (message, rest) =
            postcard::take_from_bytes::<Message>(body).map_err(|_| CloseReason::Malformed)?;
        if !rest.is_empty() {
            return Err(CloseReason::Malformed);
        }
        message.check().map_err(CloseReason::Bounds)?;
        self.buffer.clear();
        // Release the memory of a rare large frame.
        self.buffer.shrink_to(4096);
        Ok(Some(message))
    }

    /// Reads the length prefix: its size in bytes, and the length.
    fn read_length(&mut self, bytes: &mut &[u8]) -> Result<Option<(usize, usize)>, CloseReason> {
        let mut length = 0usize;
        for at in 0..MAX_LENGTH_BYTES {
            if !self.fill_to(at + 1, bytes) {
                return Ok(None);
            }
            let byte = self.buffer.get(at).copied().unwrap_or(0);
            length |= usize::from(byte & 0x7f) << (7 * at);
            if byte & 0x80 == 0 {
                return match length {
                    1..=bounds::MAX_FRAME_BYTES if length_bytes(length) == at + 1 => {
                        Ok(Some((at + 1, length)))
                    }
                    _ => Err(CloseReason::Length(length as u32)),
                };
            }
        }
        Err(CloseReason::Length(length as u32))
    }

    /// Buffers input until `upto` bytes are held; returns whether they are.
    fn fill_to(&mut self, upto: usize, bytes: &mut &[u8]) -> bool {
        let take = upto.saturating_sub(self.buffer.len()).min(bytes.len());
        let (taken, left) = bytes.split_at(take);
        self.buffer.extend_from_slice(taken);
        *bytes = left;
        self.buffer.len() >= upto
    }
}
