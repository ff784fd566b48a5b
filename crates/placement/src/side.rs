//! The nodes of one side, laid out for a pass over all of them, and the floors of lists.

use crate::list_cache::{sort, Candidate};
use crate::{distance, mix, Place, LIST_SIZES};

/// How far the sum of weights may drift before the floors are set anew.
const DRIFT: f64 = 0.25;

#[derive(Debug, Default)]
pub(crate) struct Side {
    id_hash: Vec<u64>,
    /// By level: the hash from which on a node is in a list.
    bounds: [Vec<u64>; LIST_SIZES.len()],
    weights: Vec<f64>,
    slots: Vec<u32>,
    total: f64,
    /// By level, and the number and the sum of weights that they were set for.
    floors: [f64; LIST_SIZES.len()],
    set_for: (usize, f64),
}

/// The hash from which on a node's score at its full weight may lie under the floor: a little too low.
fn bound(floor: f64, weight: f64) -> u64 {
    if floor == f64::INFINITY {
        return 0;
    }
    // 2^64; a value beyond 64 bits is cut to the largest.
    let hash = (-floor * weight).exp() * (1.0 - 1e-9) * 18_446_744_073_709_551_616.0;
    (hash as u64).saturating_sub(1 << 14)
}

impl Side {
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Where it is, and from which hash on it is in a list.
    pub fn add(&mut self, slot: u32, place: &Place) -> (usize, [u64; LIST_SIZES.len()]) {
        let bounds = self.floors.map(|floor| bound(floor, place.weight));
        self.id_hash.push(place.id_hash);
        self.weights.push(place.weight);
        self.slots.push(slot);
        self.bounds.iter_mut().zip(bounds).for_each(|(all, one)| all.push(one));
        self.total += place.weight;
        (self.slots.len() - 1, bounds)
    }

    /// The slot whose node has moved to this position, if one has.
    pub fn remove(&mut self, position: usize, weight: f64) -> Option<u32> {
        self.id_hash.swap_remove(position);
        self.weights.swap_remove(position);
        self.slots.swap_remove(position);
        for all in &mut self.bounds {
            all.swap_remove(position);
        }
        // A sum that only rounding errors are left of is none.
        self.total = if self.slots.is_empty() { 0.0 } else { self.total - weight };
        self.slots.get(position).copied()
    }

    pub fn drifted(&self) -> bool {
        let (count, total) = self.set_for;
        let drift = |now: f64, then: f64| (now - then).abs() > then * DRIFT;
        drift(self.total, total) || drift(self.len() as f64, count as f64)
    }

    pub fn set_floors(&mut self) {
        self.total = self.weights.iter().sum();
        self.set_for = (self.len(), self.total);
        for (level, listed) in LIST_SIZES.iter().enumerate() {
            let all = self.len() as f64 <= 2.0 * listed || self.total <= 0.0;
            let floor = if all { f64::INFINITY } else { listed / self.total };
            self.floors[level] = floor;
            let weights = self.weights.iter();
            self.bounds[level].iter_mut().zip(weights).for_each(|(b, weight)| *b = bound(floor, *weight));
        }
    }

    /// The candidates of a key, and the floor under which they are all.
    pub fn list(&self, key: u64, level: usize, into: &mut Vec<Candidate>) -> f64 {
        into.clear();
        let bounds = &self.bounds[level];
        for (at, (id_hash, bound)) in self.id_hash.iter().zip(bounds).enumerate() {
            if mix(key ^ id_hash) >= *bound {
                into.push(Candidate::new(distance(key, *id_hash), self.weights[at], self.slots[at]));
            }
        }
        sort(into);
        self.floors[level]
    }

    pub fn each(&self, mut what: impl FnMut(u32, u64)) {
        self.slots.iter().zip(&self.id_hash).for_each(|(slot, id_hash)| what(*slot, *id_hash));
    }
}
