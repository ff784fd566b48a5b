//! The changes of one stream that a control machine holds, and what stands for those that it dropped.
//!
//! It holds all changes after its horizon, one after the other. Of those up to the horizon a set's are gone: a mark
//! stands for them. Of a register's the last one of each key as of the horizon is left, so that there is always one
//! at the horizon itself.

use crate::change::{self, Change, Content, Entry, Fit, Head, Piece, Record};
use crate::{bounds, Rules, StreamId, TopicKind};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Bytes of a piece of a change that must be free before a part is begun: less is not worth its head.
const LEAST_PART: usize = 24;

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Held {
    key: u32,
    body: Rc<[u8]>,
    digest: u32,
    /// Bytes of all bodies of the log up to this one, each with one more.
    total: u64,
}

/// See the file's comment.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Log {
    stream: StreamId,
    kind: TopicKind,
    horizon: Head,
    head: Head,
    held: BTreeMap<u64, Held>,
    /// Of a register, the last number of each key as of the horizon, and as of the head.
    base: BTreeMap<u32, u64>,
    last: BTreeMap<u32, u64>,
    /// [`Held::total`] at the horizon.
    dropped: u64,
    /// Changes read back that no horizon has covered yet.
    loose: Vec<(Change, u32)>,
}

impl Log {
    /// An empty one.
    pub fn new(stream: StreamId, kind: TopicKind) -> Self {
        let (base, last) = (BTreeMap::new(), BTreeMap::new());
        let (horizon, head, held) = (Head::default(), Head::default(), BTreeMap::new());
        Log { stream, kind, horizon, head, held, base, last, dropped: 0, loose: Vec::new() }
    }

    /// How far it goes.
    pub fn head(&self) -> Head {
        self.head
    }

    /// How many keys a register has, and whether a key is one of them.
    pub fn keys(&self) -> usize {
        self.last.len()
    }

    /// See [`Log::keys`].
    pub fn has_key(&self, key: u32) -> bool {
        self.last.contains_key(&key)
    }

    /// The digest at a number, if it is known.
    pub fn digest(&self, number: u64) -> Option<u32> {
        match number {
            n if n == self.head.number => Some(self.head.digest),
            n if n == self.horizon.number => Some(self.horizon.digest),
            n => self.held.get(&n).map(|h| h.digest),
        }
    }

    /// Bytes of bodies between two numbers, each with one more; of what has been dropped none.
    pub fn bytes(&self, after: u64, upto: u64) -> u64 {
        self.total(upto).saturating_sub(self.total(after))
    }

    fn total(&self, number: u64) -> u64 {
        if number <= self.horizon.number {
            return self.dropped;
        }
        self.held.range(..=number).next_back().map_or(self.dropped, |(_, h)| h.total)
    }

    /// Adds one at the end.
    pub fn append(&mut self, key: u32, body: Rc<[u8]>) -> Record {
        let head = self.head.advance(key, &body);
        let total = self.total(self.head.number) + body.len() as u64 + 1;
        self.held.insert(head.number, Held { key, body: body.clone(), digest: head.digest, total });
        if self.kind == TopicKind::Register {
            self.last.insert(key, head.number);
        }
        self.head = head;
        Record::Change(Change { stream: self.stream, number: head.number, key, body }, head.digest)
    }

    /// Takes what is new in a piece, and says what is to be written down; nothing if nothing is new. It fails if
    /// the piece does not fit what is held.
    pub fn take(&mut self, piece: &Piece) -> Result<Vec<Record>, PieceRejected> {
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
                self.loose.push((change.clone(), e.digest));
                records.push(Record::Change(change, e.digest));
            }
        }
        self.jump(end);
        records.push(Record::Horizon(self.stream, end));
        Ok(records)
    }

    /// Everything up to a head beyond this one's is dropped, or overwritten by what is loose.
    fn jump(&mut self, to: Head) {
        self.drop_to(self.head.number);
        if self.kind == TopicKind::Set {
            self.held.clear();
        }
        for (change, digest) in std::mem::take(&mut self.loose) {
            let Change { number, key, body, .. } = change;
            if let Some(old) = self.base.insert(key, number) {
                self.held.remove(&old);
            }
            self.last.insert(key, number);
            self.held.insert(number, Held { key, body, digest, total: self.dropped });
        }
        (self.horizon, self.head) = (to, to);
    }

    /// Moves the horizon on.
    fn drop_to(&mut self, number: u64) {
        while self.horizon.number < number.min(self.head.number) {
            let next = self.horizon.number + 1;
            let Some(held) = self.held.get(&next) else { return };
            (self.horizon, self.dropped) = (Head { number: next, digest: held.digest }, held.total);
            let gone = match self.kind {
                TopicKind::Set => Some(next),
                TopicKind::Register => self.base.insert(held.key, next),
            };
            gone.and_then(|n| self.held.remove(&n));
        }
    }

    /// Drops what is held beyond the rules, up to a number at most.
    pub fn compact(&mut self, rules: &Rules, upto: u64) {
        let over = (self.head.number - self.horizon.number).saturating_sub(rules.retained_changes as u64);
        self.drop_to(upto.min(self.horizon.number + over));
        while self.horizon.number < upto
            && self.bytes(self.horizon.number, self.head.number) > rules.retained_bytes as u64
        {
            let at = self.horizon.number;
            self.drop_to(at + 1);
            if self.horizon.number == at {
                return;
            }
        }
    }

    /// Takes back what was written down; in order. It fails on records that do not follow each other.
    pub fn restore(&mut self, record: Record) -> Result<(), &'static str> {
        const BROKEN: &str = "records that do not follow each other";
        match record {
            Record::Change(change, _) if change.number <= self.head.number => {}
            Record::Change(change, digest) => {
                let next = self.head.advance(change.key, &change.body);
                if self.loose.is_empty() && change.number == next.number {
                    if next.digest != digest {
                        return Err(BROKEN);
                    }
                    self.append(change.key, change.body);
                } else if self.kind == TopicKind::Set {
                    return Err(BROKEN);
                } else {
                    self.loose.push((change, digest));
                }
            }
            Record::Horizon(_, to) if to.number <= self.head.number => {
                self.loose.clear();
                self.drop_to(to.number);
            }
            Record::Horizon(_, to) => {
                let last = self.loose.last().map(|(c, digest)| Head { number: c.number, digest: *digest });
                if self.kind == TopicKind::Register && last != Some(to) {
                    return Err(BROKEN);
                }
                self.jump(to);
            }
        }
        Ok(())
    }

    /// After the last of [`Log::restore`]: what no horizon covers was not written down whole.
    pub fn restored(&mut self) {
        self.loose = Vec::new();
    }

    /// What is held, as records.
    pub fn records(&self) -> impl Iterator<Item = Record> + '_ {
        let record = |(number, h): (&u64, &Held)| {
            let change = Change { stream: self.stream, number: *number, key: h.key, body: h.body.clone() };
            Record::Change(change, h.digest)
        };
        let horizon = Some(Record::Horizon(self.stream, self.horizon)).filter(|_| self.horizon.number > 0);
        let (upto, after) = (..=self.horizon.number, self.horizon.number + 1..);
        self.held.range(upto).map(record).chain(horizon).chain(self.held.range(after).map(record))
    }

    /// "All up to a number is stale"; none if the digest there is not known, or for a register.
    pub fn mark(&self, after: u64, upto: u64) -> Option<Piece> {
        let digest = self.digest(upto).filter(|_| upto > after && self.kind == TopicKind::Set)?;
        Some(Piece { stream: self.stream, after, digest, content: Content::Mark { upto } })
    }

    /// What comes after one number, up to another at most, in so many bytes at most; none if nothing fits. `part`
    /// says of which change how many bytes have been sent; a change that does not fit is sent in parts.
    pub fn piece(&self, after: u64, upto: u64, budget: usize, part: Option<(u64, u16)>) -> Option<Piece> {
        if self.kind == TopicKind::Set && after < self.horizon.number {
            return self.mark(after, upto);
        }
        let range = self.held.range(after + 1..=upto.max(after + 1)).filter(|(n, _)| **n <= upto);
        let (first, held) = range.clone().next()?;
        // Stream, after, digest, kind, how many.
        let head = 1 + varint(after) + 4 + 1 + 3;
        if let Some(offset) = part.filter(|p| p.0 == *first && p.1 > 0).map(|p| p.1) {
            return self.part(after, *first, held, offset, budget.checked_sub(head)?);
        }
        let room = budget.checked_sub(head)?;
        let take = |cost: &dyn Fn(&u64, &Held) -> Option<usize>| {
            let mut left = room;
            let fits = range.clone().take(bounds::MAX_CHANGES).take_while(|(n, h)| {
                cost(n, h).and_then(|c| left.checked_sub(c)).inspect(|l| left = *l).is_some()
            });
            fits.count()
        };
        let content = match self.kind {
            TopicKind::Set => {
                let width = u8::try_from(held.body.len()).unwrap_or(0);
                let same = |h: &Held| width > 0 && h.body.len() == usize::from(width);
                let even = take(&|_, h| same(h).then_some(h.body.len()));
                let any = take(&|_, h| Some(varint(h.body.len() as u64) + h.body.len()));
                if any.max(even) == 0 {
                    return self.part(after, *first, held, 0, room);
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
                let cost = |n: &u64, h: &Held| {
                    let numbers = varint(n - after) + varint(u64::from(h.key)) + 4;
                    Some(numbers + varint(h.body.len() as u64) + h.body.len())
                };
                let count = take(&|n, h| cost(n, h).map(|c| if n == first { c + room } else { c }));
                if count == 0 {
                    return self.part(after, *first, held, 0, budget.checked_sub(head)?);
                }
                let entry = |(n, h): (&u64, &Held)| {
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

    /// A part of a change, from an offset on.
    fn part(&self, after: u64, number: u64, held: &Held, offset: u16, room: usize) -> Option<Piece> {
        // Number, key, sizes of the whole, of the offset and of the part, check.
        let room = room.checked_sub(varint(number) + varint(u64::from(held.key)) + 2 + 2 + 2 + 4)?;
        let left = held.body.get(usize::from(offset)..)?;
        let bytes = left.get(..left.len().min(room))?;
        if bytes.is_empty() || (bytes.len() < LEAST_PART && bytes.len() < left.len()) {
            return None;
        }
        let whole = u16::try_from(held.body.len()).ok()?;
        let (key, check) = (held.key, crc32fast::hash(&held.body));
        let content = Content::Part { number, key, whole, offset, check, bytes: Rc::from(bytes) };
        Some(Piece { stream: self.stream, after, digest: held.digest, content })
    }
}

/// A piece that does not fit what is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PieceRejected;

/// Bytes of a number on the wire.
fn varint(number: u64) -> usize {
    (70 - (number | 1).leading_zeros() as usize) / 7
}
