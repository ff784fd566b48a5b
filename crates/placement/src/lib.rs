//! The best nodes of a key by weighted rendezvous hashing, without ranking all nodes for every request.
//!
//! It owns which nodes there are, with what weight at most, and what it has found for popular keys. Use it
//! where the same keys come again and again before a fleet that changes now and then. It never decides which
//! node may be used or what its weight is by now: whoever asks tells that, node by node. Do not use it for
//! keys that never come twice before thousands of nodes: each costs a pass over the fleet, a fast one.
//!
//! A node's score for a key is `-ln(unit(mix(key ^ mix(id)))) / weight`, lowest first (Thaler and Ravishankar,
//! IEEE/ACM Transactions on Networking 6 (1998); the weights as by Schindelhauer and Schomaker, SPAA 2005). The
//! answer is exactly what ranking all nodes gives, since two things hold of a key's list of candidates:
//!
//! - It holds every node whose score at its full weight lies under a floor. The floor is set so that it holds
//!   about [`LIST_SIZES`] nodes of each side; a node is let in by comparing its hash with a bound of its own, so
//!   that a pass over the fleet takes no logarithm but for those that get in.
//! - No weight is ever above the full one times a scale that the asker tells. So what is not in the list
//!   scores the floor over the scale at least, and the best of the list are the best of all as long as they
//!   score less. If they don't, the list is made longer, and in the end all nodes are ranked.
//!
//! Nodes are on one of two sides, [`NEAR`] and [`FAR`], each with a floor and a scale, since the weights of a
//! whole side are often scaled alike. What changes in the fleet goes into a short log; a kept list takes over
//! what it has missed when it is asked for next, and is made anew if that is too much. So nothing is rebuilt
//! while a list of nodes is taken over, and the work for a change is spread over the requests that need it.
//!
//! Bounds: [`MAX_CACHED_LISTS`] lists of keys, [`MAX_LOGGED_CHANGES`] changes. Equal calls give equal results, whatever is kept.

mod list_cache;
mod side;

use list_cache::{List, ListCache};
use side::Side;
use std::cell::RefCell;
use std::collections::VecDeque;

/// Nodes that a list holds of each side, about, as long as that is enough; then more.
pub const LIST_SIZES: [f64; 3] = [8.0, 32.0, 128.0];
/// Keys whose lists are kept.
pub const MAX_CACHED_LISTS: usize = 16_384;
/// Changes of the fleet that a kept list may be behind.
pub const MAX_LOGGED_CHANGES: usize = 512;
/// The sides.
pub const NEAR: usize = 0;
/// See [`NEAR`].
pub const FAR: usize = 1;

/// Rounding errors are far below this part; whatever is compared with a bound keeps this distance.
const MARGIN: f64 = 1e-6;

/// A bijection of 64 bits that mixes them well (the finalizer of SplitMix64; Steele, Lea and Flood, OOPSLA 2014).
pub fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A hash as a number in (0, 1).
pub fn unit(x: u64) -> f64 {
    ((x >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// What a node's score for a key is before it is divided by the weight. `id_hash` is `mix` of the node's id.
fn distance(key: u64, id_hash: u64) -> f64 {
    -unit(mix(key ^ id_hash)).ln()
}

/// A node as it is placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Place {
    /// [`NEAR`] or [`FAR`].
    pub side: usize,
    /// Its weight at most, above 0 and finite; what the asker's scale multiplies.
    pub weight: f64,
    /// `mix` of its id.
    pub id_hash: u64,
}

/// One of the best: its score, its id and its slot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ranked {
    /// The score, lowest first; of equal ones the lower id.
    pub score: f64,
    /// The node's id.
    pub id: u64,
    /// Its slot.
    pub slot: u32,
}

impl Ranked {
    fn before(&self, other: &Ranked) -> bool {
        self.score < other.score || (self.score == other.score && self.id < other.id)
    }
}

/// What has changed.
#[derive(Clone, Copy, Debug)]
enum Change {
    Added(u32, Place, [u64; LIST_SIZES.len()]),
    Removed(u32),
}

/// See the package's comment. Nodes are told apart by slots: small numbers of the owner's, used again.
#[derive(Debug, Default)]
pub struct Index {
    sides: [Side; 2],
    /// Where the node of each slot is on its side.
    slots: Vec<Option<(usize, Place)>>,
    log: VecDeque<Change>,
    /// Changes since the start, and times that all lists were made useless.
    changes: u64,
    epoch: u64,
    kept: RefCell<ListCache>,
}

impl Index {
    /// Places the node of a slot, anew if it is placed otherwise, or takes it out.
    pub fn set(&mut self, slot: u32, place: Option<Place>) {
        let at = slot as usize;
        let usable = |p: &Place| p.side <= FAR && p.weight > 0.0 && p.weight.is_finite();
        let place = place.filter(usable);
        if self.slots.get(at).copied().flatten().map(|(_, p)| p) == place {
            return;
        }
        if at >= self.slots.len() {
            self.slots.resize(at + 1, None);
        }
        if let Some((position, old)) = self.slots[at].take() {
            if let Some(moved) = self.sides[old.side].remove(position, old.weight) {
                if let Some((p, _)) = &mut self.slots[moved as usize] {
                    *p = position;
                }
            }
            self.note(Change::Removed(slot));
        }
        if let Some(place) = place {
            let (position, bounds) = self.sides[place.side].add(slot, &place);
            self.slots[at] = Some((position, place));
            self.note(Change::Added(slot, place, bounds));
        }
    }

    fn note(&mut self, change: Change) {
        self.changes += 1;
        if self.log.len() == MAX_LOGGED_CHANGES {
            self.log.pop_front();
        }
        self.log.push_back(change);
    }

    /// To be called when a batch of changes is over: sets the floors anew where the fleet has become another.
    pub fn update_floors(&mut self) {
        let mut anew = false;
        for side in self.sides.iter_mut().filter(|s| s.drifted()) {
            side.set_floors();
            anew = true;
        }
        if anew {
            self.epoch += 1;
            self.log.clear();
        }
    }

    /// How many nodes are placed.
    pub fn len(&self) -> usize {
        self.sides.iter().map(Side::len).sum()
    }

    /// Keys whose lists are kept, and changes that the log holds.
    pub fn cache_sizes(&self) -> (usize, usize) {
        (self.kept.borrow().len(), self.log.len())
    }

    /// Whether no node is placed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The `want` best nodes for a key, into `best`. `score` tells of the node in a slot, given its distance, its
    /// score by now and its id, or that it may not be used. Its weight must not be above that placed times
    /// the scale of its side.
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
        let mut kept = self.kept.borrow_mut();
        let list = kept.list(key);
        self.catch_up(list);
        loop {
            if self.best_of(list, want, scales, &mut score, best) {
                return;
            }
            if list.level + 1 >= LIST_SIZES.len() {
                break;
            }
            list.level += 1;
            self.make(list);
        }
        best.clear();
        for side in &self.sides {
            side.each(|slot, id_hash| consider(best, want, slot, distance(key, id_hash), &mut score));
        }
    }

    /// Takes the best of a list; whether they are the best of all.
    fn best_of(
        &self,
        list: &List,
        want: usize,
        scales: [f64; 2],
        score: &mut impl FnMut(u32, f64) -> Option<(f64, u64)>,
        best: &mut Vec<Ranked>,
    ) -> bool {
        best.clear();
        let mut unlisted = f64::INFINITY;
        for (side, scale) in scales.iter().enumerate() {
            unlisted = unlisted.min(list.floors[side] / scale * (1.0 - MARGIN));
            for c in &list.sides[side] {
                let full = best.len() == want;
                if full && best.last().is_some_and(|b| f64::from(c.least) / scale > b.score) {
                    break;
                }
                consider(best, want, c.slot, c.distance, score);
            }
        }
        unlisted == f64::INFINITY || (best.len() == want && best.last().is_some_and(|b| b.score < unlisted))
    }

    /// Brings a kept list up to date.
    fn catch_up(&self, list: &mut List) {
        let missed = self.changes - list.changes;
        if list.epoch != self.epoch || missed > self.log.len() as u64 {
            list.level = 0;
            return self.make(list);
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

    /// Makes a list by a pass over the fleet.
    fn make(&self, list: &mut List) {
        (list.epoch, list.changes) = (self.epoch, self.changes);
        for (n, side) in self.sides.iter().enumerate() {
            list.floors[n] = side.list(list.key, list.level, &mut list.sides[n]);
        }
    }
}

/// Puts a node among the best, if it is one.
fn consider(
    best: &mut Vec<Ranked>,
    want: usize,
    slot: u32,
    distance: f64,
    score: &mut impl FnMut(u32, f64) -> Option<(f64, u64)>,
) {
    let Some((score, id)) = score(slot, distance) else { return };
    let one = Ranked { score, id, slot };
    if best.len() < want || best.last().is_some_and(|last| one.before(last)) {
        best.truncate(want - 1);
        best.insert(best.partition_point(|b| b.before(&one)), one);
    }
}
