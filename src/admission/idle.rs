//! Downstreams that could make room, in the order in which they would.

use super::rank::Rank;
use crate::core::DownstreamId;
use crate::interface::Micros;
use std::collections::BTreeSet;

/// A place in the order: the rank, since when, and who.
pub(super) type Place = (Rank, Micros, DownstreamId);

/// The ranks of those that have never asked.
pub(super) const UNASKED: [Rank; 4] = [Rank::Leaving, Rank::Silent, Rank::Stalled, Rank::Pinging];

/// All of the proxy, or all of one source. O(log n) for each call.
#[derive(Debug, Default)]
pub(super) struct Idle {
    places: BTreeSet<Place>,
    /// How many are of each rank.
    of: [usize; Rank::ALL.len()],
}

impl Idle {
    pub fn insert(&mut self, place: Place) {
        if self.places.insert(place) {
            self.of[place.0 as usize] += 1;
        }
    }

    pub fn remove(&mut self, place: Place) {
        if self.places.remove(&place) {
            self.of[place.0 as usize] -= 1;
        }
    }

    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn of(&self, rank: Rank) -> usize {
        self.of[rank as usize]
    }

    /// How many have never asked for anything.
    pub fn unasked(&self) -> usize {
        UNASKED.iter().map(|rank| self.of(*rank)).sum()
    }

    /// The one that has been of a rank for longest.
    pub fn first(&self, rank: Rank) -> Option<Place> {
        let from = (rank, Micros::MIN, DownstreamId(0));
        self.places.range(from..).next().copied().filter(|place| place.0 == rank)
    }

    /// All of them, those that go first in front.
    pub fn all(&self) -> impl Iterator<Item = DownstreamId> + '_ {
        self.places.iter().map(|(_, _, id)| *id)
    }
}
