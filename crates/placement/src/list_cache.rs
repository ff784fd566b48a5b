//! Cache of the candidate lists of popular keys.

use crate::{distance, Place, MARGIN, MAX_CACHED_LISTS};
use std::ops::Range;

/// Cells that remember a key seen once: where another list has to be evicted, a key's list is cached only
/// from its second request on.
const SEEN_CELLS: usize = 32_768;
/// Lists per set.
const WAYS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub distance: f64,
    /// A lower bound of its score at full weight.
    pub min_score: f32,
    pub slot: u32,
}

impl Candidate {
    pub fn new(distance: f64, weight: f64, slot: u32) -> Self {
        let min_score = distance / weight * (1.0 - MARGIN);
        // Where an f32 is less exact than the margin, or cannot hold the number, a looser bound is used.
        let min_score =
            if min_score < f64::from(f32::MIN_POSITIVE) { 0.0 } else { min_score.min(f64::from(f32::MAX)) };
        Candidate { distance, min_score: min_score as f32, slot }
    }
}

pub(crate) fn sort(candidates: &mut [Candidate]) {
    candidates.sort_unstable_by(|a, b| a.min_score.total_cmp(&b.min_score));
}

/// The candidates of a key by side, lowest score at full weight first.
#[derive(Debug, Default)]
pub(crate) struct List {
    pub key: u64,
    pub level: usize,
    pub epoch: u64,
    pub changes: u64,
    pub floors: [f64; 2],
    pub sides: [Vec<Candidate>; 2],
    used: bool,
}

impl List {
    fn stale(key: u64) -> Self {
        // No index has this epoch, so the list is rebuilt when first used.
        List { key, epoch: u64::MAX, ..List::default() }
    }

    pub fn remove(&mut self, slot: u32) {
        self.sides.iter_mut().for_each(|side| side.retain(|c| c.slot != slot));
    }

    pub fn insert(&mut self, slot: u32, place: &Place) {
        let distance = distance(self.key, place.id_hash);
        let candidate = Candidate::new(distance, place.weight, slot);
        let side = &mut self.sides[place.side];
        side.insert(side.partition_point(|c| c.min_score < candidate.min_score), candidate);
    }
}

/// The lists, at most [`MAX_CACHED_LISTS`]: a set-associative cache with [`WAYS`] lists per set, so that no
/// choice of keys makes a lookup longer. Evicts a list of the set that was not used since all lists of the
/// set had been.
#[derive(Debug, Default)]
pub(crate) struct ListCache {
    /// The key in each place; 0 means none. Allocated when the first list is cached.
    keys: Vec<u64>,
    lists: Vec<Option<Box<List>>>,
    seen: Vec<u32>,
    /// The list of a key that is not cached.
    scratch: List,
}

impl ListCache {
    pub fn len(&self) -> usize {
        self.keys.iter().filter(|key| **key != 0).count()
    }

    /// The list of a key; it may be outdated or not built yet.
    pub fn list(&mut self, key: u64) -> &mut List {
        if self.keys.is_empty() {
            (self.keys, self.seen) = (vec![0; MAX_CACHED_LISTS], vec![0; SEEN_CELLS]);
            self.lists.resize_with(MAX_CACHED_LISTS, || None);
        }
        let set = key as usize % (MAX_CACHED_LISTS / WAYS) * WAYS;
        let set = set..set + WAYS;
        let found = self.keys[set.clone()].iter().position(|k| *k == key && key != 0);
        let index = match found {
            Some(way) => set.start + way,
            None if self.seen_before(key) || self.has_free_way(&set) && key != 0 => {
                let index = self.victim(set);
                self.keys[index] = key;
                self.lists[index] = None;
                index
            }
            None => {
                (self.scratch.key, self.scratch.epoch) = (key, u64::MAX);
                return &mut self.scratch;
            }
        };
        let list = self.lists[index].get_or_insert_with(|| Box::new(List::stale(key)));
        list.used = found.is_some();
        list
    }

    fn seen_before(&mut self, key: u64) -> bool {
        // Marks are never 0, the value of an unused cell.
        let (cell, mark) = (key as usize % SEEN_CELLS, (key >> 32) as u32 | 1);
        key != 0 && std::mem::replace(&mut self.seen[cell], mark) == mark
    }

    fn has_free_way(&self, set: &Range<usize>) -> bool {
        self.lists[set.clone()].iter().any(Option::is_none)
    }

    /// The index in the set where the next list goes.
    fn victim(&mut self, set: Range<usize>) -> usize {
        let used = |list: &Option<Box<List>>| list.as_ref().is_some_and(|l| l.used);
        let ways = &self.lists[set.clone()];
        let way = ways.iter().position(Option::is_none).or_else(|| ways.iter().position(|l| !used(l)));
        if let Some(way) = way {
            return set.start + way;
        }
        self.lists[set.clone()].iter_mut().flatten().for_each(|l| l.used = false);
        set.start
    }
}
