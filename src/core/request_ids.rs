//! The ids that downstreams give their requests, and what was done under each.
//!
//! A node takes a second attempt under an id for a repeat of the first one, so an id belongs to one open
//! stream. The id outlives its stream: where a request must not run twice, its id is kept after the answer,
//! and after the downstream has left, for as long as any attempt under it may have run. No I/O and no clock.

use crate::interface::Micros;
use std::collections::hash_map::RandomState;
use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::BuildHasher;

/// How long the id of a request that may have run is kept after the stream's end.
const RETENTION: Micros = 10_000_000;
/// The maximum number of ids kept; the oldest are dropped first.
const MAX_ENDED: usize = 16_384;

/// What is known of the attempts under the id of an ended stream.
#[derive(Clone, Copy, Debug)]
struct Ended {
    /// Attempts that have not ended.
    in_flight: u8,
    may_have_run: bool,
    /// When it is dropped.
    until: Micros,
}

/// The ids in use.
#[derive(Debug, Default)]
pub(super) struct RequestIds {
    open: HashSet<Vec<u8>>,
    /// By a keyed hash of the id, since ids may be long.
    ended: HashMap<u64, Ended>,
    /// When each of `ended` is dropped, in that order. An id that was released may still be listed.
    expiries: VecDeque<(Micros, u64)>,
    hasher: RandomState,
}

impl RequestIds {
    /// The number of ids of open streams, and of ended ones that are kept.
    pub fn sizes(&self) -> [usize; 2] {
        [self.open.len(), self.expiries.len()]
    }

    /// Whether a stream under this id is open.
    pub fn is_open(&self, id: &[u8]) -> bool {
        self.open.contains(id)
    }

    /// Whether a request under this id has ended and may have run.
    pub fn may_have_run(&self, id: &[u8]) -> bool {
        self.ended.contains_key(&self.key(id))
    }

    /// A stream under this id begins. Requests without an id have an empty one.
    pub fn open(&mut self, id: &[u8]) {
        if !id.is_empty() {
            self.open.insert(id.to_vec());
        }
    }

    /// The stream under this id has ended.
    pub fn close(&mut self, id: &[u8]) {
        self.open.remove(id);
    }

    /// Keeps the id of an ended stream that must not run twice, unless none of its attempts has run or may
    /// still run.
    pub fn keep(&mut self, now: Micros, id: &[u8], in_flight: u8, may_have_run: bool) {
        if id.is_empty() || !may_have_run && in_flight == 0 {
            return;
        }
        while self.expiries.len() >= MAX_ENDED {
            self.drop_oldest();
        }
        let key = self.key(id);
        let until = now + RETENTION;
        self.ended.insert(key, Ended { in_flight, may_have_run, until });
        self.expiries.push_back((until, key));
    }

    /// An attempt under the id of an ended stream has ended. The id is free again if none has run.
    pub fn attempt_ended(&mut self, id: &[u8], may_have_run: bool) {
        let key = self.key(id);
        let Some(ended) = self.ended.get_mut(&key) else { return };
        ended.in_flight = ended.in_flight.saturating_sub(1);
        ended.may_have_run |= may_have_run;
        if ended.in_flight == 0 && !ended.may_have_run {
            self.ended.remove(&key);
        }
    }

    /// Drops the ids that have been kept for long enough.
    pub fn expire(&mut self, now: Micros) {
        while self.expiries.front().is_some_and(|(at, _)| *at <= now) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let Some((at, key)) = self.expiries.pop_front() else { return };
        // The id may have been released and kept anew since.
        if self.ended.get(&key).is_some_and(|ended| ended.until == at) {
            self.ended.remove(&key);
        }
    }

    fn key(&self, id: &[u8]) -> u64 {
        self.hasher.hash_one(id)
    }
}

#[cfg(test)]
mod tests;
