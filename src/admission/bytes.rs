//! The byte budget of all downstreams: decides whose reading is paused, and which downstream is closed when
//! pausing is not enough.

use crate::core::DownstreamId;
use std::collections::BTreeSet;

/// A downstream that holds less, about one read, is never paused.
const PAUSE_THRESHOLD: usize = 16 * 1024;

/// Bytes held by all downstreams. Each call is O(log n).
#[derive(Debug)]
pub(super) struct ByteBudget {
    limit: usize,
    held: usize,
    /// Downstreams that are being read and hold [`PAUSE_THRESHOLD`] or more. Ordered so that those that do
    /// not read their answers come last, then by bytes held: the last is paused first.
    large: BTreeSet<(bool, usize, DownstreamId)>,
    /// Downstreams that do not read their answers, by bytes held.
    not_reading: BTreeSet<(usize, DownstreamId)>,
    paused: BTreeSet<DownstreamId>,
}

impl ByteBudget {
    pub fn new(limit: usize) -> Self {
        let (large, not_reading, paused) = Default::default();
        ByteBudget { limit, held: 0, large, not_reading, paused }
    }

    pub fn held(&self) -> usize {
        self.held
    }

    pub fn paused(&self) -> usize {
        self.paused.len()
    }

    /// Records that a downstream went from `was` to `is`; each is the bytes held and whether it fails to read
    /// its answers.
    pub fn update(&mut self, id: DownstreamId, was: (usize, bool), is: (usize, bool)) {
        self.held = self.held - was.0 + is.0;
        self.large.remove(&(was.1, was.0, id));
        self.not_reading.remove(&(was.0, id));
        if is.0 >= PAUSE_THRESHOLD && !self.paused.contains(&id) {
            self.large.insert((is.1, is.0, id));
        }
        if is.1 && is.0 > 0 {
            self.not_reading.insert((is.0, id));
        }
    }

    pub fn remove(&mut self, id: DownstreamId, was: (usize, bool)) {
        self.update(id, was, (0, false));
        self.paused.remove(&id);
    }

    /// The next downstream to pause, while more than three quarters of the budget are held.
    pub fn pause(&mut self) -> Option<DownstreamId> {
        if self.held <= self.limit / 4 * 3 {
            return None;
        }
        let (_, _, id) = self.large.pop_last()?;
        self.paused.insert(id);
        Some(id)
    }

    /// The next downstream to resume, while less than half of the budget is held; the caller then calls
    /// [`ByteBudget::resumed`].
    pub fn resume(&mut self) -> Option<DownstreamId> {
        if self.held >= self.limit / 2 {
            return None;
        }
        self.paused.pop_first()
    }

    /// Counts a resumed downstream as being read again.
    pub fn resumed(&mut self, id: DownstreamId, holds: (usize, bool)) {
        self.update(id, holds, holds);
    }

    /// The downstream to close because the budget is exceeded although reading was paused.
    pub fn next_to_close(&self) -> Option<DownstreamId> {
        self.not_reading.last().filter(|_| self.held > self.limit).map(|(_, id)| *id)
    }
}
