//! The bytes of messages: a length (u32, big-endian), a version (u8), a body.
//!
//! Version 0 is the same for ever: its body is a reason in UTF-8, with which a peer is refused, also one that
//! speaks no version of ours. Version [`VERSION`] is a [`Message`] in postcard's form
//! (<https://postcard.jamesmunns.com/wire-format>). Any other version is refused.
//!
//! The reader is incremental and holds one frame at most; it grows with the bytes that came, not with the
//! length that a peer claims. After an error it is of no more use: close the connection.

use crate::bounds;
use crate::message::Message;
use thiserror::Error;

/// The version of [`Message`]'s form that this build speaks.
pub const VERSION: u8 = 1;
const REFUSAL: u8 = 0;
const LENGTH: usize = 4;

/// Why a connection cannot go on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Refused {
    /// A version that this build does not speak.
    #[error("version {0} is not spoken here, {VERSION} is")]
    Version(u8),
    /// A frame of no or too great a length.
    #[error("a frame of {0} bytes, 1 to {most} are taken", most = bounds::FRAME)]
    Length(u32),
    /// A body that is no message.
    #[error("a frame that cannot be read")]
    Garbage,
    /// A message beyond its bounds.
    #[error("{0}")]
    Bounds(&'static str),
    /// The other side refused us.
    #[error("refused by the other side: {0}")]
    ByPeer(String),
    /// A message that does not belong here.
    #[error("{0} is not expected here")]
    Unexpected(&'static str),
    /// More messages than a peer may send.
    #[error("more messages than a peer may send")]
    Flood,
    /// No room for another peer.
    #[error("no room for another forwarder")]
    Room,
}

/// A message as a frame. It fails on what no machine of this package makes: a message beyond its bounds.
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

/// A reason as a frame, to be sent before a connection is closed.
pub fn refusal(reason: &Refused) -> Vec<u8> {
    let mut text = reason.to_string();
    let end = (0..=bounds::REASON).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    text.truncate(end);
    let mut bytes = ((text.len() + 1) as u32).to_be_bytes().to_vec();
    bytes.push(REFUSAL);
    bytes.extend_from_slice(text.as_bytes());
    bytes
}

/// Takes frames out of what comes. See the file's comment.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: Vec<u8>,
    failed: Option<Refused>,
}

impl Reader {
    /// Takes bytes off the front of `bytes` until a message is whole; `None` when all are taken before that.
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

    /// Bytes held of a frame that is not whole.
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
        // The version comes first, so that a long frame of a version that is not spoken is not waited for.
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
        // A rare large frame does not stay for the life of a connection.
        self.buffer.shrink_to(4096);
        Ok(Some(message))
    }

    /// Whether `wanted` bytes are held, after taking what lacks.
    fn fill(&mut self, wanted: usize, bytes: &mut &[u8]) -> bool {
        let take = wanted.saturating_sub(self.buffer.len()).min(bytes.len());
        let (taken, left) = bytes.split_at(take);
        self.buffer.extend_from_slice(taken);
        *bytes = left;
        self.buffer.len() >= wanted
    }
}
