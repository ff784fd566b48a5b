//! Changes, positions in streams, history digests, and the pieces that carry changes.

use crate::{bounds, StreamId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A numbered change. The body is opaque to this crate.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The stream that the number belongs to.
    pub stream: StreamId,
    /// The number in the stream; the first is 1.
    pub number: u64,
    /// The key that the change sets, on a [`Register`](crate::TopicKind::Register) topic; 0 on others.
    pub key: u32,
    /// The payload, at most [`bounds::MAX_BODY_BYTES`] bytes.
    pub body: Rc<[u8]>,
}

/// The last number of a stream and the digest of its history up to there. Number 0 precedes the first change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// The number of the last change.
    pub number: u64,
    /// The history digest; see [`Head::advance`].
    #[serde(with = "postcard::fixint::le")]
    pub digest: u32,
}

impl Head {
    /// The head after one more change: its digest is the CRC-32 of the previous digest, the key and the body.
    #[must_use]
    pub fn advance(self, key: u32, body: &[u8]) -> Head {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&self.digest.to_le_bytes());
        hasher.update(&key.to_le_bytes());
        hasher.update(body);
        Head { number: self.number + 1, digest: hasher.finalize() }
    }
}

/// A record of a store's write-ahead file. On start the records are replayed in the order in which they were
/// written.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A change, and the history digest up to it.
    Change(Change, u32),
    /// Everything up to this head has been dropped, except the last value of each key of a register.
    Horizon(StreamId, Head),
}

impl Record {
    /// The stream that the record belongs to.
    pub fn stream(&self) -> StreamId {
        match self {
            Record::Change(change, _) => change.stream,
            Record::Horizon(stream, _) => *stream,
        }
    }
}

/// What a follower holds, to be saved across restarts. A follower without it starts empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// The epoch of the held streams.
    pub epoch: u32,
    /// The head of each stream that is not empty.
    pub heads: Vec<(StreamId, Head)>,
}

/// The last number held of each stream. Has at most [`bounds::MAX_STREAMS`] entries.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position(BTreeMap<StreamId, u64>);

impl Position {
    /// The last number held of a stream; 0 if none.
    pub fn get(&self, stream: StreamId) -> u64 {
        self.0.get(&stream).copied().unwrap_or(0)
    }

    /// Sets the number of a stream. 0 removes the stream.
    pub fn set(&mut self, stream: StreamId, number: u64) {
        if number == 0 {
            self.0.remove(&stream);
        } else {
            self.0.insert(stream, number);
        }
    }

    /// Sets the number of a stream if it is higher than the current one.
    pub fn raise(&mut self, stream: StreamId, number: u64) {
        if number > self.get(stream) {
            self.0.insert(stream, number);
        }
    }

    /// Whether every stream of `other` is held at least as far here.
    pub fn covers(&self, other: &Position) -> bool {
        other.0.iter().all(|(stream, number)| self.get(*stream) >= *number)
    }

    /// Raises each stream to the number in `other`.
    pub fn merge(&mut self, other: &Position) {
        other.iter().for_each(|(stream, number)| self.raise(stream, number));
    }

    /// The streams that are not empty, with their numbers.
    pub fn iter(&self) -> impl Iterator<Item = (StreamId, u64)> + '_ {
        self.0.iter().map(|(stream, number)| (*stream, *number))
    }

    /// Number of streams that are not empty.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether all streams are empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The increments over another position: each stream that is ahead, and by how much.
    pub fn gains(&self, over: &Position) -> Vec<(StreamId, u64)> {
        let gain = |(stream, number): (StreamId, u64)| {
            Some((stream, number.checked_sub(over.get(stream))?)).filter(|g| g.1 > 0)
        };
        self.iter().filter_map(gain).collect()
    }

    /// Adds increments computed by [`Position::gains`]. Numbers are capped at [`bounds::MAX_NUMBER`].
    pub fn gain(&mut self, gains: &[(StreamId, u64)]) {
        for (stream, more) in gains {
            self.raise(*stream, self.get(*stream).saturating_add(*more).min(bounds::MAX_NUMBER));
        }
    }
}

impl FromIterator<(StreamId, u64)> for Position {
    fn from_iter<I: IntoIterator<Item = (StreamId, u64)>>(iter: I) -> Self {
        let mut position = Position::default();
        iter.into_iter().for_each(|(stream, number)| position.set(stream, number));
        position
    }
}

/// One change of a register inside a piece.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// The change's number minus [`Piece::after`].
    pub offset: u32,
    /// See [`Change::key`].
    pub key: u32,
    /// The history digest at this change.
    #[serde(with = "postcard::fixint::le")]
    pub digest: u32,
    /// See [`Change::body`].
    pub body: Rc<[u8]>,
}

/// The payload of a piece.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Content {
    /// Consecutive changes of a set, all of the same size, so that no length is sent for each.
    Even {
        /// Bytes of each body, at least 1.
        width: u8,
        /// The concatenated bodies.
        bytes: Rc<[u8]>,
    },
    /// Consecutive changes of a set.
    Bodies(Vec<Rc<[u8]>>),
    /// Replaces changes of a set: everything up to a number is stale, whatever the changes were.
    Mark {
        /// The last number that is covered.
        upto: u64,
    },
    /// Changes of a register, in order. Omitted changes were overwritten by later ones.
    Entries {
        /// CRC-32 over the entries. It is needed because digests cannot be recomputed across omitted changes.
        #[serde(with = "postcard::fixint::le")]
        check: u32,
        /// The remaining changes; the piece ends at the last one.
        entries: Vec<Entry>,
    },
    /// A fragment of one change that is too large for one batch. The follower reassembles it; hosts never see
    /// fragments.
    Part {
        /// The change's number.
        number: u64,
        /// See [`Change::key`].
        key: u32,
        /// Length of the whole body in bytes.
        whole: u16,
        /// Offset of the fragment in the body.
        offset: u16,
        /// CRC-32 over the whole body.
        #[serde(with = "postcard::fixint::le")]
        check: u32,
        /// The fragment's bytes.
        bytes: Rc<[u8]>,
    },
}

/// The changes of a stream after one number and up to another, or a substitute for them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Piece {
    /// The stream that the changes belong to.
    pub stream: StreamId,
    /// The piece starts after this number.
    pub after: u64,
    /// The history digest at [`Piece::upto`].
    #[serde(with = "postcard::fixint::le")]
    pub digest: u32,
    /// The payload.
    pub content: Content,
}

impl Piece {
    /// The last number that the piece covers.
    pub fn upto(&self) -> u64 {
        match &self.content {
            Content::Even { width, bytes } => {
                self.after + (bytes.len() / usize::from((*width).max(1))) as u64
            }
            Content::Bodies(bodies) => self.after + bodies.len() as u64,
            Content::Mark { upto } => *upto,
            Content::Entries { entries, .. } => {
                self.after + entries.last().map_or(0, |e| u64::from(e.offset))
            }
            Content::Part { number, .. } => *number,
        }
    }

    /// Whether the piece declares everything up to its end stale.
    pub fn is_mark(&self) -> bool {
        matches!(self.content, Content::Mark { .. })
    }

    /// The contained changes in order, as number, key and body. Marks and parts contain none.
    pub fn changes(&self) -> Box<dyn Iterator<Item = (u64, u32, &[u8])> + '_> {
        let after = self.after;
        match &self.content {
            Content::Even { width, bytes } => {
                let bodies = bytes.chunks_exact(usize::from((*width).max(1)));
                Box::new(bodies.zip(after + 1..).map(|(body, number)| (number, 0, body)))
            }
            Content::Bodies(bodies) => {
                Box::new(bodies.iter().zip(after + 1..).map(|(body, number)| (number, 0, &body[..])))
            }
            Content::Entries { entries, .. } => {
                Box::new(entries.iter().map(move |e| (after + u64::from(e.offset), e.key, &e.body[..])))
            }
            Content::Mark { .. } | Content::Part { .. } => Box::new(std::iter::empty()),
        }
    }

    /// Checks that all fields are within their bounds and consistent; the error names the violated rule.
    pub fn check(&self) -> Result<(), &'static str> {
        let require = |holds: bool, what| if holds { Ok(()) } else { Err(what) };
        require(self.after <= bounds::MAX_NUMBER, "a number beyond reason")?;
        match &self.content {
            Content::Even { width, bytes } => {
                let width = usize::from(*width);
                require(
                    width > 0 && !bytes.is_empty() && bytes.len() % width == 0,
                    "changes of no even size",
                )?;
                require(bytes.len() / width <= bounds::MAX_CHANGES, "too many changes")
            }
            Content::Bodies(bodies) => {
                require(!bodies.is_empty(), "a piece without changes")?;
                require(bodies.len() <= bounds::MAX_CHANGES, "too many changes")?;
                require(bodies.iter().all(|b| b.len() <= bounds::MAX_BODY_BYTES), "a change too large")
            }
            Content::Mark { upto } => {
                require(*upto <= bounds::MAX_NUMBER, "a number beyond reason")?;
                require(*upto > self.after, "a piece that ends before it begins")
            }
            Content::Entries { entries, .. } => {
                require(!entries.is_empty(), "a piece without changes")?;
                require(entries.len() <= bounds::MAX_CHANGES, "too many changes")?;
                require(
                    entries.iter().all(|e| e.body.len() <= bounds::MAX_BODY_BYTES),
                    "a change too large",
                )?;
                let numbers = || entries.iter().map(|e| u64::from(e.offset));
                require(numbers().zip(numbers().skip(1)).all(|(a, b)| a < b), "changes out of order")?;
                require(numbers().all(|n| n > 0), "changes out of order")
            }
            Content::Part { number, whole, offset, bytes, .. } => {
                require(*number <= bounds::MAX_NUMBER, "a number beyond reason")?;
                require(*number > self.after, "a piece that ends before it begins")?;
                require(usize::from(*whole) <= bounds::MAX_BODY_BYTES, "a change too large")?;
                let end = usize::from(*offset) + bytes.len();
                require(!bytes.is_empty() && end <= usize::from(*whole), "a part outside of its change")
            }
        }
    }
}

/// How a piece relates to the head of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fit {
    /// It contains nothing new.
    AlreadyHeld,
    /// Changes between the head and the piece are missing.
    Gap,
    /// It belongs to a different history, or is corrupted.
    Mismatch,
    /// A fragment; it can be checked only after the change is reassembled.
    Part,
    /// The new part of the piece, and the head after it.
    Continues(Piece, Head),
}

impl Piece {
    /// Determines how the piece extends a head. Consecutive changes are verified through their digests; for a
    /// mark, and for the digest after omitted changes, the piece is trusted.
    pub fn continue_from(&self, head: Head) -> Fit {
        let upto = self.upto();
        if upto <= head.number {
            let other = upto == head.number && !matches!(self.content, Content::Part { .. });
            return if other && self.digest != head.digest { Fit::Mismatch } else { Fit::AlreadyHeld };
        }
        if self.after > head.number {
            return Fit::Gap;
        }
        let skip = (head.number - self.after) as usize;
        let content = match &self.content {
            Content::Part { .. } => return Fit::Part,
            Content::Mark { upto } => Content::Mark { upto: *upto },
            Content::Even { width, bytes } => {
                let new = bytes.get(skip * usize::from(*width)..).unwrap_or_default();
                Content::Even { width: *width, bytes: if skip == 0 { bytes.clone() } else { Rc::from(new) } }
            }
            Content::Bodies(bodies) => Content::Bodies(bodies.iter().skip(skip).cloned().collect()),
            Content::Entries { check: expected, entries } => {
                if entries_checksum(entries) != *expected {
                    return Fit::Mismatch;
                }
                let new = entries.iter().filter(|e| u64::from(e.offset) > skip as u64);
                let rebase = |e: &Entry| Entry { offset: e.offset - skip as u32, ..e.clone() };
                let entries: Vec<Entry> = new.map(rebase).collect();
                Content::Entries { check: entries_checksum(&entries), entries }
            }
        };
        let piece = Piece { stream: self.stream, after: head.number, digest: self.digest, content };
        match piece.head_after(head) {
            Some(end) if end.digest == self.digest => Fit::Continues(piece, end),
            _ => Fit::Mismatch,
        }
    }

    /// The head after a piece that starts at `head`; none if a digest on the way does not match.
    fn head_after(&self, head: Head) -> Option<Head> {
        let Content::Entries { entries, .. } = &self.content else {
            if let Content::Mark { upto } = self.content {
                return Some(Head { number: upto, digest: self.digest });
            }
            return Some(self.changes().fold(head, |at, (_, key, body)| at.advance(key, body)));
        };
        entries.iter().try_fold(head, |at, e| {
            let expected = Head { number: self.after + u64::from(e.offset), digest: e.digest };
            (expected.number > at.number + 1 || at.advance(e.key, &e.body) == expected).then_some(expected)
        })
    }
}

/// The CRC-32 over the entries of a [`Content::Entries`].
pub fn entries_checksum(entries: &[Entry]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    for e in entries {
        hasher.update(&e.offset.to_le_bytes());
        hasher.update(&e.key.to_le_bytes());
        hasher.update(&e.digest.to_le_bytes());
        hasher.update(&e.body);
    }
    hasher.finalize()
}
