//! The best nodes of a key by weighted rendezvous hashing, without ranking all nodes for every request.
//!
//! The index holds the nodes with their maximum weights, and caches what it has found for popular keys. Use
//! it where the same keys are requested repeatedly and the fleet changes now and then. It doesn't decide
//! which node may be used or what its current weight is: the caller provides that per node. Don't use it
//! for keys that are never repeated in front of thousands of nodes: each costs one (fast) pass over the
//! fleet.
//!
//! The score of a node for a key is `-ln(unit(mix(key ^ mix(id)))) / weight`, lowest first (Thaler and
//! Ravishankar, IEEE/ACM Transactions on Networking 6 (1998); weights as in Schindelhauer and Schomaker,
//! SPAA 2005). The result is exactly that of ranking all nodes, because of two properties of a key's
//! candidate list:
//!
//! - It contains every node whose score at full weight is below a floor. The floor is chosen so that the
//!   list holds about [`LIST_SIZES`] nodes of each side. A node is admitted by comparing its hash with a
//!   precomputed bound, so that a pass over the fleet computes logarithms only for admitted nodes.
//! - No weight exceeds the full weight times a scale given by the caller. So a node outside the list scores
//!   at least the floor over the scale, and the best of the list are the best of all as long as they score
//!   less. Otherwise the list is extended, and in the end all nodes are ranked.
//!
//! Nodes are on one of two sides, [`NEAR`] and [`FAR`], each with its own floor and scale, since the
//! weights of a whole side are often scaled alike. Changes of the fleet go into a short log; a cached list
//! applies what it has missed when it is next used, and is rebuilt if that is too much. So nothing is
//! rebuilt while a list of nodes is being applied, and the work for a change is spread over the requests
//! that need it.
//!
//! Bounds: [`MAX_CACHED_LISTS`] lists of keys, [`MAX_LOGGED_CHANGES`] changes. Equal calls give equal
//! results, whatever is cached.

mod list_cache;
mod side;

use list_cache::{List, ListCache};
use side::Side;
use std::cell::RefCell;
use std::collections::VecDeque;

/// Approximate number of nodes of each side in a list, by level; the next level is used when a list doesn't
/// suffice.
pub const LIST_SIZES: [f64; 3] = [8.0, 32.0, 128.0];
/// Maximum number of keys with a cached list.
pub const MAX_CACHED_LISTS: usize = 16_384;
/// Maximum number of changes by which a cached list may lag behind.
pub const MAX_LOGGED_CHANGES: usize = 512;
/// Index of the near side.
pub const NEAR: usize = 0;
/// Index of the far side; see [`NEAR`].
pub const FAR: usize = 1;

/// Relative margin for comparisons with a bound; rounding errors are far below it.
const MARGIN: f64 = 1e-6;

/// A bijective 64-bit mixer (the finalizer of SplitMix64; Steele, Lea and Flood, OOPSLA 2014).
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Maps a hash to (0, 1).
pub fn unit(x: u64) -> f64 {
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The score of a node for a key before division by the weight. `id_hash` is `mix` of the node's id.
fn distance(key: u64, id_hash: u64) -> f64 {
    -unit(mix(key ^ id_hash)).ln()
}

/// Placement of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// [`NEAR`] or [`FAR`].
    pub side: usize,
    /// Maximum weight, above 0 and finite; the caller's scale multiplies it.
    pub weight: f64,
    /// `mix` of its id.
    pub id_hash: u64,
}

/// A ranked node: its score, id and slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ranked {
    /// The score, lowest first; equal scores are ordered by id.
    pub score: f64,
    /// The node's id.
    pub id: u64,
    /// The node's slot.
    pub slot: u32,
}

impl Ranked {
    fn before(&self, other: &Ranked) -> bool {
        self.score < other.score || (self.score == other.score && self.id < other.id)
    }
}

/// A logged change of the fleet.
#[derive(Clone, Copy, Debug)]
enum Change {
    Added(u32, Place, [u64; LIST_SIZES.len()]),
    Removed(u32),
}

/// Index of the nodes; see the crate documentation. Nodes are identified by slots: small numbers assigned
/// and reused by the owner.
#[derive(Debug, Default)]
pub struct Index {
    sides: [Side; 2],
    /// Position and placement of the node in each slot.
    slots: Vec<Option<(usize, Place)>>,
    log: VecDeque<Change>,
    /// Changes since the start, and how often all lists were invalidated.
    changes: u64,
    epoch: u64,
    cache: RefCell<ListCache>,
}

impl Index {
    /// Sets, replaces or removes (`None`) the node of a slot.
    pub fn set(&mut self, slot: u32, place: Option<Place>) {
        let index = slot as usize;
        let valid = |p: &Place| p.side <= FAR && p.weight > 0.0 && p.weight.is_finite();
        let place = place.filter(valid);
        if self.slots.get(index).copied().flatten().map(|(_, p)| p) == place {
            return;
        }
        if index >= self.slots.len() {
            self.slots.resize(index + 1, None);
        }
        if let Some((position, old)) = self.slots[index].take() {
            if let Some(moved) = self.sides[old.side].remove(position, old.weight) {
                if let Some((p, _)) = &mut self.slots[moved as usize] {
                    *p = position;
                }
            }
            self.log_change(Change::Removed(slot));
        }
        if let Some(place) = place {
            let (position, bounds) = self.sides[place.side].add(slot, &place);
            self.slots[index] = Some((position, place));
            self.log_change(Change::Added(slot, place, bounds));
        }
    }

    fn log_change(&mut self, change: Change) {
        self.changes += 1;
        if self.log.len() == MAX_LOGGED_CHANGES {
            self.log.pop_front();
        }
        self.log.push_back(change);
    }

    /// Recomputes the floors if the fleet has changed considerably. Call it after each batch of changes.
    pub fn update_floors(&mut self) {
        let mut changed = false;
        for side in self.sides.iter_mut().filter(|s| s.drifted()) {
            side.set_floors();
            changed = true;
        }
        if changed {
            self.epoch += 1;
            self.log.clear();
        }
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.sides.iter().map(Side::len).sum()
    }

    /// Number of cached lists and of logged changes.
    pub fn cache_sizes(&self) -> (usize, usize) {
        (self.cache.borrow().len(), self.log.len())
    }

    /// Whether there are no nodes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Writes the `want` best nodes for a key into `best`. `score` is called with a slot and the node's
    /// distance and returns the node's current score and id, or `None` if the node may not be used. Its
    /// weight must not exceed the placed weight times the scale of its side.
    pub fn best(
        &self,
        key: u64,
        want: usize,
        scales: [f64; 2],
        mut score: impl FnMut(u32, f64) -> Option<(f64, u64)>,
        best: &mut Vec<Ranked>,
    ) {
        best.clear();
        if want == 0 {
            return;
        }
        let mut cache = self.cache.borrow_mut();
        let list = cache.list(key);
        self.catch_up(list);
        loop {
            if self.best_in_list(list, want, scales, &mut score, best) {
                return;
            }
            if list.level + 1 >= LIST_SIZES.len() {
                break;
            }
            list.level += 1;
            self.rebuild(list);
        }
        best.clear();
        for side in &self.sides {
            side.for_each(|slot, id_hash| consider(best, want, slot, distance(key, id_hash), &mut score));
        }
    }

    /// Selects the best nodes of a list; returns whether they are the best of all.
    fn best_in_list(
        &self,
        list: &List,
        want: usize,
        scales: [f64; 2],
        score: &mut impl FnMut(u32, f64) -> Option<(f64, u64)>,
        best: &mut Vec<Ranked>,
    ) -> bool {
        best.clear();
        let mut unlisted_min = f64::INFINITY;
        for (side, scale) in scales.iter().enumerate() {
            unlisted_min = unlisted_min.min(list.floors[side] / scale * (1.0 - MARGIN));
            for c in &list.sides[side] {
                let full = best.len() == want;
                if full && best.last().is_some_and(|b| f64::from(c.min_score) / scale > b.score) {
                    break;
                }
                consider(best, want, c.slot, c.distance, score);
            }
        }
        unlisted_min == f64::INFINITY
            || (best.len() == want && best.last().is_some_and(|b| b.score < unlisted_min))
    }

    /// Brings a cached list up to date.
    fn catch_up(&self, list: &mut List) {
        let missed = self.changes - list.changes;
        if list.epoch != self.epoch || missed > self.log.len() as u64 {
            list.level = 0;
            return self.rebuild(list);
        }
        for change in self.log.range(self.log.len() - missed as usize..) {
            match change {
                Change::Removed(slot) => list.remove(*slot),
                Change::Added(slot, place, bounds) => {
                    if mix(list.key ^ place.id_hash) >= bounds[list.level] {
                        list.insert(*slot, place);
                    }
                }
            }
        }
        list.changes = self.changes;
    }

    /// Rebuilds a list by a pass over the fleet.
    fn rebuild(&self, list: &mut List) {
        (list.epoch, list.changes) = (self.epoch, self.changes);
        for (n, side) in self.sides.iter().enumerate() {
            list.floors[n] = side.list(list.key, list.level, &mut list.sides[n]);
        }
    }
}

/// Inserts a node into the best, if it belongs there.
fn consider(
    best: &mut Vec<Ranked>,
    want: usize,
    slot: u32,
    distance: f64,
    score: &mut impl FnMut(u32, f64) -> Option<(f64, u64)>,
) {
    let Some((score, id)) = score(slot, distance) else { return };
    let candidate = Ranked { score, id, slot };
    if best.len() < want || best.last().is_some_and(|last| candidate.before(last)) {
        best.truncate(want - 1);
        best.insert(best.partition_point(|b| b.before(&candidate)), candidate);
    }
}
