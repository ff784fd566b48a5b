//! The bytes of messages: a length (LEB128, three bytes at most), a version (u8), a body. The length counts
//! version and body, and is as short as it can be; up to 127 bytes the header takes two.
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
/// Bytes of the longest length.
const LENGTH: usize = 3;

/// Why a connection cannot go on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Error)]
pub enum CloseReason {
    /// A version that this build does not speak.
    #[error("version {0} is not spoken here, {VERSION} is")]
    Version(u8),
    /// A frame of no or too great a length.
    #[error("a frame of {0} bytes, 1 to {most} are taken", most = bounds::MAX_FRAME_BYTES)]
    Length(u32),
    /// A body that is no message.
    #[error("a frame that cannot be read")]
    Malformed,
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
    TooManyMessages,
    /// No room for another peer.
    #[error("no room for another peer")]
    NoCapacity,
    /// An epoch that is over, or that has not begun here.
    #[error("epoch {0} is not in force here, {1} is")]
    Epoch(u32, u32),
    /// A history that is not ours.
    #[error("changes that do not fit those before them")]
    HistoryMismatch,
    /// Nothing was heard for too long.
    #[error("silent for too long")]
    Timeout,
    /// Another connection has taken the place of this one.
    #[error("another connection has taken this one's place")]
    Replaced,
    /// Another control machine serves better.
    #[error("no longer needed")]
    NoLongerNeeded,
}

/// A message as a frame. It fails on what no machine of this package makes: a message beyond its bounds.
pub fn encode(message: &Message) -> Result<Vec<u8>, CloseReason> {
    message.check().map_err(CloseReason::Bounds)?;
    let body = postcard::to_allocvec(message).map_err(|_| CloseReason::Malformed)?;
    framed(VERSION, &body)
}

/// A reason as a frame, to be sent before a connection is closed.
pub fn refusal(reason: &CloseReason) -> Vec<u8> {
    let mut text = reason.to_string();
    let end = (0..=bounds::MAX_REASON_BYTES).rev().find(|i| text.is_char_boundary(*i)).unwrap_or(0);
    text.truncate(end);
    framed(REFUSAL, text.as_bytes()).unwrap_or_default()
}

/// Bytes of a message's frame.
pub fn size(message: &Message) -> usize {
    let flavor = postcard::ser_flavors::Size::default();
    let body = postcard::serialize_with_flavor(message, flavor).unwrap_or(bounds::MAX_FRAME_BYTES) + 1;
    body + header(body)
}

/// Bytes of a length on the wire.
fn header(length: usize) -> usize {
    match length {
        0..=0x7f => 1,
        0x80..=0x3fff => 2,
        _ => 3,
    }
}

fn framed(version: u8, body: &[u8]) -> Result<Vec<u8>, CloseReason> {
    let length = body.len() + 1;
    if length > bounds::MAX_FRAME_BYTES {
        return Err(CloseReason::Length(u32::try_from(length).unwrap_or(u32::MAX)));
    }
    let mut bytes = Vec::with_capacity(length + LENGTH);
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

/// Takes frames out of what comes. See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct Reader {
    held: Vec<u8>,
    broken: Option<CloseReason>,
}

impl Reader {
    /// Takes bytes off the front of `bytes` until a message is whole; `None` when all are taken before that.
    pub fn read(&mut self, bytes: &mut &[u8]) -> Result<Option<Message>, CloseReason> {
        if let Some(why) = &self.broken {
            return Err(why.clone());
        }
        let read = self.frame(bytes);
        if let Err(why) = &read {
            self.broken = Some(why.clone());
            self.held = Vec::new();
        }
        read
    }

    /// Bytes held of a frame that is not whole.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    fn frame(&mut self, bytes: &mut &[u8]) -> Result<Option<Message>, CloseReason> {
        let Some((head, length)) = self.length(bytes)? else { return Ok(None) };
        // The version comes first, so that a long frame of a version that is not spoken is not waited for.
        if !self.fill(head + 1, bytes) {
            return Ok(None);
        }
        let version = self.held.get(head).copied().unwrap_or(REFUSAL);
        match version {
            VERSION => {}
            REFUSAL if length <= bounds::MAX_REASON_BYTES + 1 => {}
            REFUSAL => return Err(CloseReason::Length(length as u32)),
            other => return Err(CloseReason::Version(other)),
        }
        if !self.fill(head + length, bytes) {
            return Ok(None);
        }
        let body = self.held.get(head + 1..).unwrap_or_default();
        if version == REFUSAL {
            return Err(CloseReason::ByPeer(String::from_utf8_lossy(body).into_owned()));
        }
        let (message, rest) =
            postcard::take_from_bytes::<Message>(body).map_err(|_| CloseReason::Malformed)?;
        if !rest.is_empty() {
            return Err(CloseReason::Malformed);
        }
        message.check().map_err(CloseReason::Bounds)?;
        self.held.clear();
        // A rare large frame does not stay for the life of a connection.
        self.held.shrink_to(4096);
        Ok(Some(message))
    }

    /// Bytes of the header's length, and the length that it says.
    fn length(&mut self, bytes: &mut &[u8]) -> Result<Option<(usize, usize)>, CloseReason> {
        let mut length = 0usize;
        for at in 0..LENGTH {
            if !self.fill(at + 1, bytes) {
                return Ok(None);
            }
            let byte = self.held.get(at).copied().unwrap_or(0);
            length |= usize::from(byte & 0x7f) << (7 * at);
            if byte & 0x80 == 0 {
                return match length {
                    1..=bounds::MAX_FRAME_BYTES if header(length) == at + 1 => Ok(Some((at + 1, length))),
                    _ => Err(CloseReason::Length(length as u32)),
                };
            }
        }
        Err(CloseReason::Length(length as u32))
    }

    /// Whether `upto` bytes are held, after taking what lacks.
    fn fill(&mut self, upto: usize, bytes: &mut &[u8]) -> bool {
        let take = upto.saturating_sub(self.held.len()).min(bytes.len());
        let (taken, left) = bytes.split_at(take);
        self.held.extend_from_slice(taken);
        *bytes = left;
        self.held.len() >= upto
    }
}
