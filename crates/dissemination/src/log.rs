//! The log of one stream on a control machine: the retained changes, and what replaces the dropped ones.
//!
//! All changes after the horizon are held. Of a set, changes up to the horizon are gone and a mark replaces
//! them. Of a register, the last change of each key as of the horizon is kept, so there is always one at the
//! horizon itself.

use crate::change::{self, Change, Content, Entry, Fit, Head, Piece, Record};
use crate::{bounds, Rules, StreamId, TopicKind};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes that must be available for a fragment of a change. Less is not worth the header.
const MIN_PART_BYTES: usize = 24;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct HeldChange {
    key: u32,
    body: Rc<[u8]>,
    digest: u32,
    /// Total size of all bodies up to and including this one, plus one byte for each.
    total: u64,
}

/// The log of one stream; see the module documentation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    stream: StreamId,
    kind: TopicKind,
    horizon: Head,
    head: Head,
    held: BTreeMap<u64, HeldChange>,
    /// Of a register, the last number of each key as of the horizon, and as of the head.
    keys_at_horizon: BTreeMap<u32, u64>,
    keys_at_head: BTreeMap<u32, u64>,
    /// [`HeldChange::total`] at the horizon.
    dropped_bytes: u64,
    /// Changes read back from the file that no horizon record has covered yet.
    uncovered: Vec<(Change, u32)>,
}

impl Log {
    /// An empty log.
    pub fn new(stream: StreamId, kind: TopicKind) -> Self {
        let (keys_at_horizon, keys_at_head) = (BTreeMap::new(), BTreeMap::new());
        let (horizon, head, held) = (Head::default(), Head::default(), BTreeMap::new());
        Log {
            stream,
            kind,
            horizon,
            head,
            held,
            keys_at_horizon,
            keys_at_head,
            dropped_bytes: 0,
            uncovered: Vec::new(),
        }
    }

    /// The head of the log.
    pub fn head(&self) -> Head {
        self.head
    }

    /// Number of keys of a register.
    pub fn key_count(&self) -> usize {
        self.keys_at_head.len()
    }

    /// Whether a register has a key.
    pub fn has_key(&self, key: u32) -> bool {
        self.keys_at_head.contains_key(&key)
    }

    /// The history digest at a number, if known.
    pub fn digest(&self, number: u64) -> Option<u32> {
        match number {
            n if n == self.head.number => Some(self.head.digest),
            n if n == self.horizon.number => Some(self.horizon.digest),
            n => self.held.get(&n).map(|h| h.digest),
        }
    }

    /// Size of the bodies after one number and up to another, plus one byte for each. Dropped changes count
    /// as 0.
    pub fn bytes(&self, after: u64, upto: u64) -> u64 {
        self.total_bytes(upto).saturating_sub(self.total_bytes(after))
    }

    fn total_bytes(&self, number: u64) -> u64 {
        if number <= self.horizon.number {
            return self.dropped_bytes;
        }
        self.held.range(..=number).next_back().map_or(self.dropped_bytes, |(_, h)| h.total)
    }

    /// Appends a change and returns the record to persist.
    pub fn append(&mut self, key: u32, body: Rc<[u8]>) -> Record {
        let head = self.head.advance(key, &body);
        let total = self.total_bytes(self.head.number) + body.len() as u64 + 1;
        self.held.insert(head.number, HeldChange { key, body: body.clone(), digest: head.digest, total });
        if self.kind == TopicKind::Register {
            self.keys_at_head.insert(key, head.number);
        }
        self.head = head;
        Record::Change(Change { stream: self.stream, number: head.number, key, body }, head.digest)
    }

    /// Appends the new changes of a piece and returns the records to persist; none if nothing is new. Fails
    /// if the piece does not fit the log.
    pub fn apply_piece(&mut self, piece: &Piece) -> Result<Vec<Record>, PieceRejected> {
        let kind = match piece.content {
            Content::Entries { .. } => TopicKind::Register,
            Content::Even { .. } | Content::Bodies(_) | Content::Mark { .. } => TopicKind::Set,
            Content::Part { .. } => return Err(PieceRejected),
        };
        if kind != self.kind {
            return Err(PieceRejected);
        }
        let (piece, end) = match piece.continue_from(self.head) {
            Fit::AlreadyHeld if self.digest(piece.upto()).is_some_and(|d| d != piece.digest) => {
                return Err(PieceRejected)
            }
            Fit::AlreadyHeld | Fit::Gap => return Ok(Vec::new()),
            Fit::Mismatch | Fit::Part => return Err(PieceRejected),
            Fit::Continues(piece, end) => (piece, end),
        };
        let follows = piece.changes().zip(piece.after + 1..).all(|(c, number)| c.0 == number);
        if !piece.is_mark() && follows {
            return Ok(piece.changes().map(|(_, key, body)| self.append(key, Rc::from(body))).collect());
        }
        let mut records = Vec::new();
        if let Content::Entries { entries, .. } = &piece.content {
            for e in entries {
                let number = piece.after + u64::from(e.offset);
                let change = Change { stream: self.stream, number, key: e.key, body: e.body.clone() };
                self.uncovered.push((change.clone(), e.digest));
                records.push(Record::Change(change, e.digest));
            }
        }
        self.jump_to(end);
        records.push(Record::Horizon(self.stream, end));
        Ok(records)
    }

    /// Moves horizon and head forward to `to`. Changes up to there are dropped, or overwritten by
    /// [`Log::uncovered`].
    fn jump_to(&mut self, to: Head) {
        self.advance_horizon(self.head.number);
        if self.kind == TopicKind::Set {
            self.held.clear();
        }
        for (change, digest) in std::mem::take(&mut self.uncovered) {
            let Change { number, key, body, .. } = change;
            if let Some(old) = self.keys_at_horizon.insert(key, number) {
                self.held.remove(&old);
            }
            self.keys_at_head.insert(key, number);
            self.held.insert(number, HeldChange { key, body, digest, total: self.dropped_bytes });
        }
        (self.horizon, self.head) = (to, to);
    }

    /// Advances the horizon, dropping changes.
    fn advance_horizon(&mut self, number: u64) {
        while self.horizon.number < number.min(self.head.number) {
            let next = self.horizon.number + 1;
            let Some(held) = self.held.get(&next) else { return };
            (self.horizon, self.dropped_bytes) = (Head { number: next, digest: held.digest }, held.total);
            let gone = match self.kind {
                TopicKind::Set => Some(next),
                TopicKind::Register => self.keys_at_horizon.insert(held.key, next),
            };
            gone.and_then(|n| self.held.remove(&n));
        }
    }

    /// Drops changes beyond the retention limits, but none after `upto`.
    pub fn compact(&mut self, rules: &Rules, upto: u64) {
        let over = (self.head.number - self.horizon.number).saturating_sub(rules.retained_changes as u64);
        self.advance_horizon(upto.min(self.horizon.number + over));
        while self.horizon.number < upto
            && self.bytes(self.horizon.number, self.head.number) > rules.retained_bytes as u64
        {
            let at = self.horizon.number;
            self.advance_horizon(at + 1);
            if self.horizon.number == at {
                return;
            }
        }
    }

    /// Replays a persisted record. Records must come in the order in which they were written; fails if they
    /// are not consecutive.
    pub fn restore(&mut self, record: Record) -> Result<(), &'static str> {
        const OUT_OF_SEQUENCE: &str = "records of a stream are not consecutive";
        match record {
            Record::Change(change, _) if change.number <= self.head.number => {}
            Record::Change(change, digest) => {
                let next = self.head.advance(change.key, &change.body);
                if self.uncovered.is_empty() && change.number == next.number {
                    if next.digest != digest {
                        return Err(OUT_OF_SEQUENCE);
                    }
                    self.append(change.key, change.body);
                } else if self.kind == TopicKind::Set {
                    return Err(OUT_OF_SEQUENCE);
                } else {
                    self.uncovered.push((change, digest));
                }
            }
            Record::Horizon(_, to) if to.number <= self.head.number => {
                self.uncovered.clear();
                self.advance_horizon(to.number);
            }
            Record::Horizon(_, to) => {
                let last =
                    self.uncovered.last().map(|(c, digest)| Head { number: c.number, digest: *digest });
                if self.kind == TopicKind::Register && last != Some(to) {
                    return Err(OUT_OF_SEQUENCE);
                }
                self.jump_to(to);
            }
        }
        Ok(())
    }

    /// Ends the replay. Discards changes that no horizon record covers, because the write was incomplete.
    pub fn finish_restore(&mut self) {
        self.uncovered = Vec::new();
    }

    /// The contents of the log as records.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let record = |(number, h): (&u64, &HeldChange)| {
            let change = Change { stream: self.stream, number: *number, key: h.key, body: h.body.clone() };
            Record::Change(change, h.digest)
        };
        let horizon = Some(Record::Horizon(self.stream, self.horizon)).filter(|_| self.horizon.number > 0);
        let (upto, after) = (..=self.horizon.number, self.horizon.number + 1..);
        self.held.range(upto).map(record).chain(horizon).chain(self.held.range(after).map(record))
    }

    /// A piece that declares everything up to a number stale; none for a register, or if the digest at that
    /// number is not known.
    pub fn mark(&self, after: u64, upto: u64) -> Option<Piece> {
        let digest = self.digest(upto).filter(|_| upto > after && self.kind == TopicKind::Set)?;
        Some(Piece { stream: self.stream, after, digest, content: Content::Mark { upto } })
    }

    /// The changes after one number and up to another, limited to `budget` bytes; none if nothing fits. A
    /// change that does not fit is sent in fragments; `part` is the number of the change in transfer and the
    /// bytes already sent.
    pub fn piece(&self, after: u64, upto: u64, budget: usize, part: Option<(u64, u16)>) -> Option<Piece> {
        if self.kind == TopicKind::Set && after < self.horizon.number {
            return self.mark(after, upto);
        }
        let range = self.held.range(after + 1..=upto.max(after + 1)).filter(|(n, _)| **n <= upto);
        let (first, held) = range.clone().next()?;
        // Stream, after, digest, kind, and count.
        let head = 1 + varint_bytes(after) + 4 + 1 + 3;
        if let Some(offset) = part.filter(|p| p.0 == *first && p.1 > 0).map(|p| p.1) {
            return self.part_of(after, *first, held, offset, budget.checked_sub(head)?);
        }
        let room = budget.checked_sub(head)?;
        let take = |cost: &dyn Fn(&u64, &HeldChange) -> Option<usize>| {
            let mut left = room;
            let fits = range.clone().take(bounds::MAX_CHANGES).take_while(|(n, h)| {
                cost(n, h).and_then(|c| left.checked_sub(c)).inspect(|l| left = *l).is_some()
            });
            fits.count()
        };
        let content = match self.kind {
            TopicKind::Set => {
                let width = u8::try_from(held.body.len()).unwrap_or(0);
                let same = |h: &HeldChange| width > 0 && h.body.len() == usize::from(width);
                let even = take(&|_, h| same(h).then_some(h.body.len()));
                let any = take(&|_, h| Some(varint_bytes(h.body.len() as u64) + h.body.len()));
                if any.max(even) == 0 {
                    return self.part_of(after, *first, held, 0, room);
                }
                let bodies = range.take(any.max(even)).map(|(_, h)| &h.body);
                if even >= any {
                    let bytes: Vec<u8> = bodies.flat_map(|b| b.iter().copied()).collect();
                    Content::Even { width, bytes: Rc::from(bytes) }
                } else {
                    Content::Bodies(bodies.cloned().collect())
                }
            }
            TopicKind::Register => {
                let room = 4;
                let cost = |n: &u64, h: &HeldChange| {
                    let numbers = varint_bytes(n - after) + varint_bytes(u64::from(h.key)) + 4;
                    Some(numbers + varint_bytes(h.body.len() as u64) + h.body.len())
                };
                let count = take(&|n, h| cost(n, h).map(|c| if n == first { c + room } else { c }));
                if count == 0 {
                    return self.part_of(after, *first, held, 0, budget.checked_sub(head)?);
                }
                let entry = |(n, h): (&u64, &HeldChange)| {
                    let offset = u32::try_from(n - after).ok()?;
                    Some(Entry { offset, key: h.key, digest: h.digest, body: h.body.clone() })
                };
                let entries: Vec<Entry> = range.take(count).map_while(entry).collect();
                Content::Entries { check: change::entries_checksum(&entries), entries }
            }
        };
        let mut piece = Piece { stream: self.stream, after, digest: 0, content };
        piece.digest = self.digest(piece.upto())?;
        Some(piece)
    }

    /// A fragment of a change, starting at an offset.
    fn part_of(&self, after: u64, number: u64, held: &HeldChange, offset: u16, room: usize) -> Option<Piece> {
        // Number, key, lengths of the whole body, of the offset and of the fragment, and checksum.
        let room =
            room.checked_sub(varint_bytes(number) + varint_bytes(u64::from(held.key)) + 2 + 2 + 2 + 4)?;
        let left = held.body.get(usize::from(offset)..)?;
        let bytes = left.get(..left.len().min(room))?;
        if bytes.is_empty() || (bytes.len() < MIN_PART_BYTES && bytes.len() < left.len()) {
            return None;
        }
        let whole = u16::try_from(held.body.len()).ok()?;
        let (key, check) = (held.key, crc32fast::hash(&held.body));
        let content = Content::Part { number, key, whole, offset, check, bytes: Rc::from(bytes) };
        Some(Piece { stream: self.stream, after, digest: held.digest, content })
    }
}

/// The piece does not fit the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRejected;

/// Bytes of a number as a varint.
fn varint_bytes(number: u64) -> usize {
    (70 - (number | 1).leading_zeros() as usize) / 7
}
