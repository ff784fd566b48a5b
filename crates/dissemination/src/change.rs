//! Changes, positions in streams, digests of histories, and the pieces that carry changes.

use crate::{bounds, StreamId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::rc::Rc;

/// A numbered change. What its body says is the host's business.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// Whose number it has.
    pub stream: StreamId,
    /// Its number there; the first is 1.
    pub number: u64,
    /// What it sets, on a [`Register`](crate::TopicKind::Register) topic; else 0.
    pub key: u32,
    /// At most [`bounds::MAX_BODY_BYTES`] bytes.
    pub body: Rc<[u8]>,
}

/// How far a stream goes, and the digest of its history up to there. Number 0 is before the first change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Head {
    /// The last change's.
    pub number: u64,
    /// See [`Head::advance`].
    #[serde(with = "postcard::fixint::le")]
    pub digest: u32,
}

impl Head {
    /// The head after one more change: the digest is the CRC-32 of the one before, key and body.
    #[must_use]
    pub fn advance(self, key: u32, body: &[u8]) -> Head {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&self.digest.to_le_bytes());
        hasher.update(&key.to_le_bytes());
        hasher.update(body);
        Head { number: self.number + 1, digest: hasher.finalize() }
    }
}

/// What a store writes down, in order; the same is handed back when it starts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Record {
    /// A change, and the digest of the history up to it.
    Change(Change, u32),
    /// All up to here has been dropped, except for a register's last value per key.
    Horizon(StreamId, Head),
}

impl Record {
    /// Whose.
    pub fn stream(&self) -> StreamId {
        match self {
            Record::Change(change, _) => change.stream,
            Record::Horizon(stream, _) => *stream,
        }
    }
}

/// What a follower holds, to be kept over its restarts. Without it a follower starts from nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SavedState {
    /// The epoch in which it holds it.
    pub epoch: u32,
    /// Streams of which it holds anything.
    pub heads: Vec<(StreamId, Head)>,
}

/// The last number held of each stream. It holds [`bounds::MAX_STREAMS`] at most.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Position(BTreeMap<StreamId, u64>);

impl Position {
    /// The last number held of a stream; 0 is none.
    pub fn get(&self, stream: StreamId) -> u64 {
        self.0.get(&stream).copied().unwrap_or(0)
    }

    /// Sets it. 0 takes the stream out.
    pub fn set(&mut self, stream: StreamId, number: u64) {
        if number == 0 {
            self.0.remove(&stream);
        } else {
            self.0.insert(stream, number);
        }
    }

    /// Raises it, if it is lower.
    pub fn raise(&mut self, stream: StreamId, number: u64) {
        if number > self.get(stream) {
            self.0.insert(stream, number);
        }
    }

    /// Whether it holds all that another holds.
    pub fn covers(&self, other: &Position) -> bool {
        other.0.iter().all(|(stream, number)| self.get(*stream) >= *number)
    }

    /// Raises each stream to what another holds of it.
    pub fn merge(&mut self, other: &Position) {
        other.iter().for_each(|(stream, number)| self.raise(stream, number));
    }

    /// Streams of which it holds anything.
    pub fn iter(&self) -> impl Iterator<Item = (StreamId, u64)> + '_ {
        self.0.iter().map(|(stream, number)| (*stream, *number))
    }

    /// How many those are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// What it holds more than another: streams, and by how much.
    pub fn gains(&self, over: &Position) -> Vec<(StreamId, u64)> {
        let gain = |(stream, number): (StreamId, u64)| {
            Some((stream, number.checked_sub(over.get(stream))?)).filter(|g| g.1 > 0)
        };
        self.iter().filter_map(gain).collect()
    }

    /// Adds what [`Position::gains`] said. A number beyond [`bounds::MAX_NUMBER`] is cut to it.
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

/// A change of a register in a piece.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Its number less [`Piece::after`].
    pub offset: u32,
    /// See [`Change::key`].
    pub key: u32,
    /// That of the head at this change.
    #[serde(with = "postcard::fixint::le")]
    pub digest: u32,
    /// See [`Change::body`].
    pub body: Rc<[u8]>,
}

/// What a piece carries.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Content {
    /// Changes of a set, one after the other, all of the same size: no length for each.
    Even {
        /// Bytes of each, at least 1.
        width: u8,
        /// All of them.
        bytes: Rc<[u8]>,
    },
    /// Changes of a set, one after the other.
    Bodies(Vec<Rc<[u8]>>),
    /// All of a set up to a number is stale, whatever it was.
    Mark {
        /// That number.
        upto: u64,
    },
    /// Changes of a register, in order. Those left out have been overwritten by later ones.
    Entries {
        /// CRC-32 over the entries; where some are left out, digests cannot be computed from them.
        #[serde(with = "postcard::fixint::le")]
        check: u32,
        /// What is left; the piece goes up to the last one.
        entries: Vec<Entry>,
    },
    /// A part of one change that is too large for one batch. The follower puts it together; hosts see none.
    Part {
        /// The change's number.
        number: u64,
        /// See [`Change::key`].
        key: u32,
        /// Bytes of the whole body.
        whole: u16,
        /// Where in it the part begins.
        offset: u16,
        /// CRC-32 over the whole body.
        #[serde(with = "postcard::fixint::le")]
        check: u32,
        /// The part.
        bytes: Rc<[u8]>,
    },
}

/// The changes of a stream after one number, up to another, or what stands for them.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Piece {
    /// Whose.
    pub stream: StreamId,
    /// It goes on from here.
    pub after: u64,
    /// That of the head at [`Piece::upto`].
    #[serde(with = "postcard::fixint::le")]
    pub digest: u32,
    /// See [`Content`].
    pub content: Content,
}

impl Piece {
    /// The last number that it covers.
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

    /// Whether it says that all up to its end is stale.
    pub fn is_mark(&self) -> bool {
        matches!(self.content, Content::Mark { .. })
    }

    /// The changes that it carries, in order: number, key, body. A mark and a part have none.
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

    /// Whether all of its figures are within their bounds and agree with each other; else what is not.
    pub fn check(&self) -> Result<(), &'static str> {
        let rule = |holds: bool, what| if holds { Ok(()) } else { Err(what) };
        rule(self.after <= bounds::MAX_NUMBER, "a number beyond reason")?;
        match &self.content {
            Content::Even { width, bytes } => {
                let width = usize::from(*width);
                rule(width > 0 && !bytes.is_empty() && bytes.len() % width == 0, "changes of no even size")?;
                rule(bytes.len() / width <= bounds::MAX_CHANGES, "too many changes")
            }
            Content::Bodies(bodies) => {
                rule(!bodies.is_empty(), "a piece without changes")?;
                rule(bodies.len() <= bounds::MAX_CHANGES, "too many changes")?;
                rule(bodies.iter().all(|b| b.len() <= bounds::MAX_BODY_BYTES), "a change too large")
            }
            Content::Mark { upto } => {
                rule(*upto <= bounds::MAX_NUMBER, "a number beyond reason")?;
                rule(*upto > self.after, "a piece that ends before it begins")
            }
            Content::Entries { entries, .. } => {
                rule(!entries.is_empty(), "a piece without changes")?;
                rule(entries.len() <= bounds::MAX_CHANGES, "too many changes")?;
                rule(entries.iter().all(|e| e.body.len() <= bounds::MAX_BODY_BYTES), "a change too large")?;
                let numbers = || entries.iter().map(|e| u64::from(e.offset));
                rule(numbers().zip(numbers().skip(1)).all(|(a, b)| a < b), "changes out of order")?;
                rule(numbers().all(|n| n > 0), "changes out of order")
            }
            Content::Part { number, whole, offset, bytes, .. } => {
                rule(*number <= bounds::MAX_NUMBER, "a number beyond reason")?;
                rule(*number > self.after, "a piece that ends before it begins")?;
                rule(usize::from(*whole) <= bounds::MAX_BODY_BYTES, "a change too large")?;
                let end = usize::from(*offset) + bytes.len();
                rule(!bytes.is_empty() && end <= usize::from(*whole), "a part outside of its change")
            }
        }
    }
}

/// How a piece goes on from a head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fit {
    /// Nothing in it is new.
    AlreadyHeld,
    /// Something before it lacks.
    Gap,
    /// It is not of the same history, or its bytes are wrong.
    Mismatch,
    /// A part: it goes on, as far as can be said before the change is whole.
    Part,
    /// What is new in it, and the head after it.
    Continues(Piece, Head),
}

impl Piece {
    /// How it goes on from a head. Changes that follow each other are proven by their digests; a mark is taken at
    /// its word, and so is the digest after changes that were left out.
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
            Content::Entries { check: said, entries } => {
                if entries_checksum(entries) != *said {
                    return Fit::Mismatch;
                }
                let new = entries.iter().filter(|e| u64::from(e.offset) > skip as u64);
                let rebase = |e: &Entry| Entry { offset: e.offset - skip as u32, ..e.clone() };
                let entries: Vec<Entry> = new.map(rebase).collect();
                Content::Entries { check: entries_checksum(&entries), entries }
            }
        };
        let piece = Piece { stream: self.stream, after: head.number, digest: self.digest, content };
        match piece.walk(head) {
            Some(end) if end.digest == self.digest => Fit::Continues(piece, end),
            _ => Fit::Mismatch,
        }
    }

    /// The head after a piece that begins at one; none if a digest is not right on the way.
    fn walk(&self, head: Head) -> Option<Head> {
        let Content::Entries { entries, .. } = &self.content else {
            if let Content::Mark { upto } = self.content {
                return Some(Head { number: upto, digest: self.digest });
            }
            return Some(self.changes().fold(head, |at, (_, key, body)| at.advance(key, body)));
        };
        entries.iter().try_fold(head, |at, e| {
            let said = Head { number: self.after + u64::from(e.offset), digest: e.digest };
            (said.number > at.number + 1 || at.advance(e.key, &e.body) == said).then_some(said)
        })
    }
}

/// The CRC-32 over entries that [`Content::Entries`] carries.
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
