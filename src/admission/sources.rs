//! Downstreams grouped by source: by address, by network prefix and by tenant, with the largest sources of
//! each kind.

use super::idle::{IdleSet, Position};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Prefix lengths commonly assigned to one site (for IPv6: RFC 6177).
const PREFIX_BITS: (u8, u8) = (24, 48);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    Address(IpAddr),
    Prefix(IpAddr),
    Tenant(u32),
}

impl Source {
    pub fn prefix(ip: IpAddr) -> Source {
        Source::Prefix(match ip {
            IpAddr::V4(ip) => IpAddr::V4((u32::from(ip) & (u32::MAX << (32 - PREFIX_BITS.0))).into()),
            IpAddr::V6(ip) => IpAddr::V6((u128::from(ip) & (u128::MAX << (128 - PREFIX_BITS.1))).into()),
        })
    }

    fn kind(&self) -> usize {
        match self {
            Source::Address(_) => 0,
            Source::Prefix(_) => 1,
            Source::Tenant(_) => 2,
        }
    }
}

#[derive(Debug, Default)]
struct SourceEntry {
    open: usize,
    idle: IdleSet,
}

/// How many of the largest sources of a kind are considered.
const MAX_CANDIDATES: usize = 3;

/// The sources of each kind ordered by some count, and the sum of that count.
#[derive(Debug, Default)]
struct Ranking {
    largest: [BTreeSet<(usize, Source)>; 3],
    sum: [usize; 3],
}

impl Ranking {
    fn change(&mut self, source: Source, was: usize, is: usize) {
        let kind = source.kind();
        self.largest[kind].remove(&(was, source));
        if is > 0 {
            self.largest[kind].insert((is, source));
        }
        self.sum[kind] = self.sum[kind] - was + is;
    }

    /// The largest few sources of each kind whose count exceeds `limit` while other sources have some too,
    /// largest first.
    fn over_limit(&self, limit: usize) -> impl Iterator<Item = &Source> {
        self.largest.iter().zip(self.sum).flat_map(move |(order, sum)| {
            let largest = order.iter().rev().take(MAX_CANDIDATES);
            largest.take_while(move |(n, _)| *n > limit && *n < sum).map(|(_, source)| source)
        })
    }
}

/// All sources with an open downstream. Each call is O(log n).
#[derive(Debug, Default)]
pub(super) struct Sources {
    all: BTreeMap<Source, SourceEntry>,
    open: Ranking,
    /// Ordered by downstreams without any request.
    without_requests: Ranking,
}

impl Sources {
    pub fn add(&mut self, source: Source) {
        let entry = self.all.entry(source).or_default();
        entry.open += 1;
        self.open.change(source, entry.open - 1, entry.open);
    }

    /// Removes a downstream whose position was removed before.
    pub fn remove_one(&mut self, source: Source) {
        let Some(entry) = self.all.get_mut(&source) else { return };
        entry.open -= 1;
        self.open.change(source, entry.open + 1, entry.open);
        if entry.open == 0 {
            self.all.remove(&source);
        }
    }

    pub fn insert(&mut self, source: Source, position: Position) {
        self.change(source, |idle| idle.insert(position));
    }

    pub fn remove(&mut self, source: Source, position: Position) {
        self.change(source, |idle| idle.remove(position));
    }

    fn change(&mut self, source: Source, change: impl FnOnce(&mut IdleSet)) {
        let Some(entry) = self.all.get_mut(&source) else { return };
        let was = entry.idle.count_without_requests();
        change(&mut entry.idle);
        self.without_requests.change(source, was, entry.idle.count_without_requests());
    }

    /// Sources with more than `limit` downstreams open while others have some.
    pub fn over_limit(&self, limit: usize) -> impl Iterator<Item = &IdleSet> {
        self.open.over_limit(limit).filter_map(|source| self.all.get(source)).map(|entry| &entry.idle)
    }

    /// Sources with more than `limit` downstreams without any request, which are also the majority of their
    /// downstreams: a front whose clients open connections ahead of use has many that made requests as well.
    pub fn crowds(&self, limit: usize) -> impl Iterator<Item = &IdleSet> {
        let all = self.without_requests.over_limit(limit).filter_map(|source| self.all.get(source));
        all.filter(|entry| 2 * entry.idle.count_without_requests() > entry.open).map(|entry| &entry.idle)
    }

    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
