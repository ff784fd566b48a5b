//! The bytes that downstreams hold, against a budget: whose reading pauses, and who goes when pausing is not
//! enough.

use crate::core::DownstreamId;
use std::collections::BTreeSet;

/// Who holds less is never paused: it is about what one read brings.
const SMALL: usize = 16 * 1024;

/// O(log n) for each call.
#[derive(Debug)]
pub(super) struct Bytes {
    most: usize,
    held: usize,
    /// Who is read and holds [`SMALL`] or more: those that do not read their answers behind the others, then
    /// by how much.
    large: BTreeSet<(bool, usize, DownstreamId)>,
    /// Who does not read its answers, by how much it holds.
    deaf: BTreeSet<(usize, DownstreamId)>,
    paused: BTreeSet<DownstreamId>,
}

impl Bytes {
    pub fn new(most: usize) -> Self {
        let (large, deaf, paused) = Default::default();
        Bytes { most, held: 0, large, deaf, paused }
    }

    pub fn held(&self) -> usize {
        self.held
    }

    pub fn paused(&self) -> usize {
        self.paused.len()
    }

    /// One holds `is` bytes where it held `was`, and reads its answers or does not.
    pub fn change(&mut self, id: DownstreamId, was: (usize, bool), is: (usize, bool)) {
        self.held = self.held - was.0 + is.0;
        self.large.remove(&(was.1, was.0, id));
        self.deaf.remove(&(was.0, id));
        if is.0 >= SMALL && !self.paused.contains(&id) {
            self.large.insert((is.1, is.0, id));
        }
        if is.1 && is.0 > 0 {
            self.deaf.insert((is.0, id));
        }
    }

    pub fn leave(&mut self, id: DownstreamId, was: (usize, bool)) {
        self.change(id, was, (0, false));
        self.paused.remove(&id);
    }

    /// The next one that is to be read no more, if bytes run short.
    pub fn pause(&mut self) -> Option<DownstreamId> {
        if self.held <= self.most / 4 * 3 {
            return None;
        }
        let (_, _, id) = self.large.pop_last()?;
        self.paused.insert(id);
        Some(id)
    }

    /// The next one that may be read again; [`Bytes::resumed`] is to follow.
    pub fn resume(&mut self) -> Option<DownstreamId> {
        if self.held >= self.most / 2 {
            return None;
        }
        self.paused.pop_first()
    }

    /// One that was resumed counts as read again.
    pub fn resumed(&mut self, id: DownstreamId, holds: (usize, bool)) {
        self.change(id, holds, holds);
    }

    /// Who has to go, since pausing was not enough.
    pub fn over(&self) -> Option<DownstreamId> {
        self.deaf.last().filter(|_| self.held > self.most).map(|(_, id)| *id)
    }
}
