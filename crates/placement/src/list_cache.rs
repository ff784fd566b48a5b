//! Lists of candidates that are kept for keys that come again.

use crate::{distance, Place, MARGIN, MAX_CACHED_LISTS};
use std::ops::Range;

/// Cells that remember a key seen once: where another list has to go, one is kept from the second time on.
const SEEN: usize = 32_768;
/// Lists of a set.
const WAYS: usize = 4;

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Candidate {
    pub distance: f64,
    /// Its score at its full weight, and a little less.
    pub least: f32,
    pub slot: u32,
}

impl Candidate {
    pub fn new(distance: f64, weight: f64, slot: u32) -> Self {
        let least = distance / weight * (1.0 - MARGIN);
        // Where an f32 is less exact than the margin, or holds no such number, a bound further down will do.
        let least = if least < f64::from(f32::MIN_POSITIVE) { 0.0 } else { least.min(f64::from(f32::MAX)) };
        Candidate { distance, least: least as f32, slot }
    }
}

pub(crate) fn sort(candidates: &mut [Candidate]) {
    candidates.sort_unstable_by(|a, b| a.least.total_cmp(&b.least));
}

/// A key's candidates by side, lowest score at full weight first.
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
    fn of(key: u64) -> Self {
        // No epoch is this one: it is made when it is first looked at.
        List { key, epoch: u64::MAX, ..List::default() }
    }

    pub fn remove(&mut self, slot: u32) {
        self.sides.iter_mut().for_each(|side| side.retain(|c| c.slot != slot));
    }

    pub fn insert(&mut self, slot: u32, place: &Place) {
        let distance = distance(self.key, place.id_hash);
        let one = Candidate::new(distance, place.weight, slot);
        let side = &mut self.sides[place.side];
        side.insert(side.partition_point(|c| c.least < one.least), one);
    }
}

/// The lists, up to [`MAX_CACHED_LISTS`]: in sets of [`WAYS`], of which a key has one, so that no choice of keys makes a
/// search longer. The list to go is one of its set that was not used since all of them had been.
#[derive(Debug, Default)]
pub(crate) struct ListCache {
    /// The key of each place; 0 is none. Empty until the first list is kept.
    keys: Vec<u64>,
    lists: Vec<Option<Box<List>>>,
    seen: Vec<u32>,
    /// For a key that is not kept.
    scratch: List,
}

impl ListCache {
    pub fn len(&self) -> usize {
        self.keys.iter().filter(|key| **key != 0).count()
    }

    /// The list of a key, perhaps of before, or still to be made.
    pub fn list(&mut self, key: u64) -> &mut List {
        if self.keys.is_empty() {
            (self.keys, self.seen) = (vec![0; MAX_CACHED_LISTS], vec![0; SEEN]);
            self.lists.resize_with(MAX_CACHED_LISTS, || None);
        }
        let set = key as usize % (MAX_CACHED_LISTS / WAYS) * WAYS;
        let set = set..set + WAYS;
        let found = self.keys[set.clone()].iter().position(|k| *k == key && key != 0);
        let at = match found {
            Some(way) => set.start + way,
            None if self.comes_again(key) || self.free(&set) && key != 0 => {
                let at = self.room(set);
                self.keys[at] = key;
                self.lists[at] = None;
                at
            }
            None => {
                (self.scratch.key, self.scratch.epoch) = (key, u64::MAX);
                return &mut self.scratch;
            }
        };
        let list = self.lists[at].get_or_insert_with(|| Box::new(List::of(key)));
        list.used = found.is_some();
        list
    }

    fn comes_again(&mut self, key: u64) -> bool {
        // The mark of no key is 0.
        let (cell, mark) = (key as usize % SEEN, (key >> 32) as u32 | 1);
        key != 0 && std::mem::replace(&mut self.seen[cell], mark) == mark
    }

    fn free(&self, set: &Range<usize>) -> bool {
        self.lists[set.clone()].iter().any(Option::is_none)
    }

    /// Where in its set the next list goes.
    fn room(&mut self, set: Range<usize>) -> usize {
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
