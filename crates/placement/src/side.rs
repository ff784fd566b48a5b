//! The nodes of one side, laid out for a pass over all of them, and the floors of the lists.

use crate::list_cache::{sort, Candidate};
use crate::{distance, mix, Place, LIST_SIZES};

/// Relative change of the sum of weights, or of the number of nodes, from which the floors are recomputed.
const MAX_DRIFT: f64 = 0.25;

#[derive(Debug, Default)]
pub(crate) struct Side {
    id_hashes: Vec<u64>,
    /// By level: the minimum hash with which a node is in a list.
    bounds: [Vec<u64>; LIST_SIZES.len()],
    weights: Vec<f64>,
    slots: Vec<u32>,
    total: f64,
    /// The floor by level, and the number of nodes and the sum of weights for which the floors were
    /// computed.
    floors: [f64; LIST_SIZES.len()],
    floors_set_for: (usize, f64),
}

/// The minimum hash with which the score of a node at full weight can be below the floor, rounded down a
/// little.
fn bound(floor: f64, weight: f64) -> u64 {
    if floor == f64::INFINITY {
        return 0;
    }
    // 2^64; values beyond 64 bits saturate.
    let hash = (-floor * weight).exp() * (1.0 - 1e-9) * 18_446_744_073_709_551_616.0;
    (hash as u64).saturating_sub(1 << 14)
}

impl Side {
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Returns its position, and the minimum hash by level with which it is in a list.
    pub fn add(&mut self, slot: u32, place: &Place) -> (usize, [u64; LIST_SIZES.len()]) {
        let bounds = self.floors.map(|floor| bound(floor, place.weight));
        self.id_hashes.push(place.id_hash);
        self.weights.push(place.weight);
        self.slots.push(slot);
        self.bounds.iter_mut().zip(bounds).for_each(|(bounds, bound)| bounds.push(bound));
        self.total += place.weight;
        (self.slots.len() - 1, bounds)
    }

    /// Returns the slot of the node that moved to this position, if any.
    pub fn remove(&mut self, position: usize, weight: f64) -> Option<u32> {
        self.id_hashes.swap_remove(position);
        self.weights.swap_remove(position);
        self.slots.swap_remove(position);
        for bounds in &mut self.bounds {
            bounds.swap_remove(position);
        }
        // Reset an empty sum, of which rounding errors may be left.
        self.total = if self.slots.is_empty() { 0.0 } else { self.total - weight };
        self.slots.get(position).copied()
    }

    pub fn drifted(&self) -> bool {
        let (count, total) = self.floors_set_for;
        let drift = |now: f64, then: f64| (now - then).abs() > then * MAX_DRIFT;
        drift(self.total, total) || drift(self.len() as f64, count as f64)
    }

    pub fn set_floors(&mut self) {
        self.total = self.weights.iter().sum();
        self.floors_set_for = (self.len(), self.total);
        for (level, listed) in LIST_SIZES.iter().enumerate() {
            let list_all = self.len() as f64 <= 2.0 * listed || self.total <= 0.0;
            let floor = if list_all { f64::INFINITY } else { listed / self.total };
            self.floors[level] = floor;
            let weights = self.weights.iter();
            self.bounds[level].iter_mut().zip(weights).for_each(|(b, weight)| *b = bound(floor, *weight));
        }
    }

    /// The candidates of a key; returns the floor below which they are complete.
    pub fn list(&self, key: u64, level: usize, into: &mut Vec<Candidate>) -> f64 {
        into.clear();
        let bounds = &self.bounds[level];
        for (index, (id_hash, bound)) in self.id_hashes.iter().zip(bounds).enumerate() {
            if mix(key ^ id_hash) >= *bound {
                into.push(Candidate::new(distance(key, *id_hash), self.weights[index], self.slots[index]));
            }
        }
        sort(into);
        self.floors[level]
    }

    pub fn for_each(&self, mut visit: impl FnMut(u32, u64)) {
        self.slots.iter().zip(&self.id_hashes).for_each(|(slot, id_hash)| visit(*slot, *id_hash));
    }
}
