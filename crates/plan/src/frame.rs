//! Framing of messages: a length (u32, big-endian), a version (u8) and a body.
//!
//! Version 0 never changes: its body is a UTF-8 reason with which a peer is refused, so that peers of any
//! version can read it. Version [`VERSION`] carries a [`Message`] encoded by postcard
//! (<https://postcard.jamesmunns.com/wire-format>). All other versions are refused.
//!
//! The reader is incremental and buffers at most one frame. Its buffer grows with the bytes received, not
//! with the length that a peer claims. After an error the reader is unusable and the connection must be
//! closed.

use crate::bounds;
use crate::message::Message;
use thiserror::Error;

/// The version of the [`Message`] encoding that this build supports.
pub const VERSION: u8 = 1;
const REFUSAL: u8 = 0;
const LENGTH: usize = 4;

/// Why a connection is refused or closed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    /// The peer uses a version that this build does not support.
    #[error("version {0} is not spoken here, {VERSION} is")]
    Version(u8),
    /// The frame length is zero or above [`bounds::FRAME`].
    #[error("a frame of {0} bytes, 1 to {most} are taken", most = bounds::FRAME)]
    Length(u32),
    /// The body is not a valid message.
    #[error("a frame that cannot be read")]
    Garbage,
    /// The message exceeds a bound.
    #[error("{0}")]
    Bounds(&'static str),
    /// The peer refused the connection.
    #[error("refused by the other side: {0}")]
    ByPeer(String),
    /// The message is not valid in this state or direction.
    #[error("{0} is not expected here")]
    Unexpected(&'static str),
    /// The peer exceeded its message rate.
    #[error("more messages than a peer may send")]
    Flood,
    /// The limit on peers is reached.
    #[error("no room for another forwarder")]
    Room,
}

/// Encodes a message as a frame. Fails if the message exceeds its bounds, which messages made by this crate
/// never do.
pub fn encode(message: &Message) -> Result<Vec<u8>, Refused> {
    message.check().map_err(Refused::Bounds)?;
    let start = vec![0, 0, 0, 0, VERSION];
    let mut bytes = postcard::to_extend(message, start).map_err(|_| Refused::Garbage)?;
    let length = bytes.len() - LENGTH;
    if length > bounds::FRAME {
        return Err(Refused::Length(length as u32));
    }
    bytes[..LENGTH].copy_from_slice(&(length as u32).to_be_bytes());
    Ok(bytes)
}

/// Encodes a reason as a frame, to be sent before a connection is closed.
pub fn refusal(reason: &Refused) -> Vec<u8> {
    let mut text = reason.to_string();
    let end = (0..=bounds::REASON).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    text.truncate(end);
    let mut bytes = ((text.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(REFUSAL);
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

/// Incremental decoder that extracts messages from a byte stream; see the module documentation.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    failed: Option<Refused>,
}

impl Reader {
    /// Consumes bytes from the front of `bytes` until a message is complete; returns `None` when all bytes
    /// are consumed before that.
    pub fn read(&mut self, bytes: &mut &[u8]) -> Result<Option<Message>, Refused> {
        if let Some(error) = &self.failed {
            return Err(error.clone());
        }
        let read = self.frame(bytes);
        if let Err(error) = &read {
            self.failed = Some(error.clone());
            self.buffer = Vec::new();
        }
        read
    }

    /// Number of buffered bytes of an incomplete frame.
    pub fn buffered(&self) -> usize {
        self.buffer.len()
    }

    fn frame(&mut self, bytes: &mut &[u8]) -> Result<Option<Message>, Refused> {
        if !self.fill(LENGTH, bytes) {
            return Ok(None);
        }
        let length = self.buffer.iter().take(LENGTH).fold(0u32, |n, b| n << 8 | u32::from(*b));
        if length == 0 || length as usize > bounds::FRAME {
            return Err(Refused::Length(length));
        }
        // Checks the version first, so that a long frame of an unsupported version is refused without waiting
        // for it.
        if !self.fill(LENGTH + 1, bytes) {
            return Ok(None);
        }
        let version = self.buffer.get(LENGTH).copied().unwrap_or(REFUSAL);
        match version {
            VERSION => {}
            REFUSAL if length as usize <= bounds::REASON + 1 => {}
            REFUSAL => return Err(Refused::Length(length)),
            other => return Err(Refused::Version(other)),
        }
        if !self.fill(LENGTH + length as usize, bytes) {
            return Ok(None);
        }
        let body = self.buffer.get(LENGTH + 1..).unwrap_or_default();
        if version == REFUSAL {
            return Err(Refused::ByPeer(String::from_utf8_lossy(body).into_owned()));
        }
        let (message, rest) = postcard::take_from_bytes::<Message>(body).map_err(|_| Refused::Garbage)?;
        if !rest.is_empty() {
            return Err(Refused::Garbage);
        }
        message.check().map_err(Refused::Bounds)?;
        self.buffer.clear();
        // Releases the memory of a rare large frame instead of keeping it for the life of the connection.
        self.buffer.shrink_to(4096);
        Ok(Some(message))
    }

    /// Moves missing bytes into the buffer; returns whether it now holds at least `wanted` bytes.
    fn fill(&mut self, wanted: usize, bytes: &mut &[u8]) -> bool {
        let take = wanted.saturating_sub(self.buffer.len()).min(bytes.len());
        let (taken, left) = bytes.split_at(take);
        self.buffer.extend_from_slice(taken);
        *bytes = left;
        self.buffer.len() >= wanted
    }
}
