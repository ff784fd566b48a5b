//! Downstreams that may be evicted, in eviction order.

use super::rank::Rank;
use crate::core::DownstreamId;
use crate::interface::Micros;
use std::collections::BTreeSet;

/// A position in the eviction order: the rank, the time since which it holds, and the downstream.
pub(super) type Position = (Rank, Micros, DownstreamId);

/// The ranks of downstreams that have made no request.
pub(super) const NEVER_REQUESTED: [Rank; 5] =
    [Rank::Leaving, Rank::Abusive, Rank::Silent, Rank::Stalled, Rank::Pinging];

/// The evictable downstreams of the whole proxy or of one source. Each call is O(log n).
#[derive(Debug, Default)]
pub(super) struct IdleSet {
    positions: BTreeSet<Position>,
    /// The number of downstreams of each rank.
    counts: [usize; Rank::ALL.len()],
}

impl IdleSet {
    pub fn insert(&mut self, position: Position) {
        if self.positions.insert(position) {
            self.counts[position.0 as usize] += 1;
        }
    }

    pub fn remove(&mut self, position: Position) {
        if self.positions.remove(&position) {
            self.counts[position.0 as usize] -= 1;
        }
    }

    pub fn len(&self) -> usize {
        self.positions.len()
    }

    pub fn count(&self, rank: Rank) -> usize {
        self.counts[rank as usize]
    }

    /// The number of downstreams that have made no request.
    pub fn count_without_requests(&self) -> usize {
        NEVER_REQUESTED.iter().map(|rank| self.count(*rank)).sum()
    }

    /// The downstream that has had this rank for the longest time.
    pub fn first(&self, rank: Rank) -> Option<Position> {
        let from = (rank, Micros::MIN, DownstreamId(0));
        self.positions.range(from..).next().copied().filter(|position| position.0 == rank)
    }

    /// All downstreams in eviction order.
    pub fn ids(&self) -> impl Iterator<Item = DownstreamId> + '_ {
        self.positions.iter().map(|(_, _, id)| *id)
    }
}
