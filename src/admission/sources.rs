//! Where downstreams come from: by address, by prefix and by tenant, and who of each sort holds most.

use super::idle::{Idle, Place};
use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;

/// Bits of a prefix: what is commonly handed to one site (RFC 6177 for version 6).
const PREFIX: (u8, u8) = (24, 48);

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Source {
    Address(IpAddr),
    Prefix(IpAddr),
    Tenant(u32),
}

impl Source {
    pub fn prefix(ip: IpAddr) -> Source {
        Source::Prefix(match ip {
            IpAddr::V4(ip) => IpAddr::V4((u32::from(ip) & (u32::MAX << (32 - PREFIX.0))).into()),
            IpAddr::V6(ip) => IpAddr::V6((u128::from(ip) & (u128::MAX << (128 - PREFIX.1))).into()),
        })
    }

    fn sort(&self) -> usize {
        match self {
            Source::Address(_) => 0,
            Source::Prefix(_) => 1,
            Source::Tenant(_) => 2,
        }
    }
}

#[derive(Debug, Default)]
struct One {
    open: usize,
    idle: Idle,
}

/// How many of the largest of a sort are looked at.
const LARGEST: usize = 3;

/// The largest by some count, of each sort, and the sum of that count.
#[derive(Debug, Default)]
struct Order {
    largest: [BTreeSet<(usize, Source)>; 3],
    sum: [usize; 3],
}

impl Order {
    fn change(&mut self, source: Source, was: usize, is: usize) {
        let sort = source.sort();
        self.largest[sort].remove(&(was, source));
        if is > 0 {
            self.largest[sort].insert((is, source));
        }
        self.sum[sort] = self.sum[sort] - was + is;
    }

    /// The largest few of each sort that count more than `part` while others are there, largest first.
    fn over(&self, part: usize) -> impl Iterator<Item = &Source> {
        self.largest.iter().zip(self.sum).flat_map(move |(order, sum)| {
            let largest = order.iter().rev().take(LARGEST);
            largest.take_while(move |(n, _)| *n > part && *n < sum).map(|(_, source)| source)
        })
    }
}

/// Each call is O(log n). A source is known for as long as it has a downstream open.
#[derive(Debug, Default)]
pub(super) struct Sources {
    all: BTreeMap<Source, One>,
    open: Order,
    /// By those that have never asked.
    unasked: Order,
}

impl Sources {
    pub fn enter(&mut self, source: Source) {
        let one = self.all.entry(source).or_default();
        one.open += 1;
        self.open.change(source, one.open - 1, one.open);
    }

    /// One has gone whose place was taken out before.
    pub fn leave(&mut self, source: Source) {
        let Some(one) = self.all.get_mut(&source) else { return };
        one.open -= 1;
        self.open.change(source, one.open + 1, one.open);
        if one.open == 0 {
            self.all.remove(&source);
        }
    }

    pub fn insert(&mut self, source: Source, place: Place) {
        self.change(source, |idle| idle.insert(place));
    }

    pub fn remove(&mut self, source: Source, place: Place) {
        self.change(source, |idle| idle.remove(place));
    }

    fn change(&mut self, source: Source, change: impl FnOnce(&mut Idle)) {
        let Some(one) = self.all.get_mut(&source) else { return };
        let was = one.idle.unasked();
        change(&mut one.idle);
        self.unasked.change(source, was, one.idle.unasked());
    }

    /// Those with more than `part` open while others have some.
    pub fn over(&self, part: usize) -> impl Iterator<Item = &Idle> {
        self.open.over(part).filter_map(|source| self.all.get(source)).map(|one| &one.idle)
    }

    /// Those with more than `part` that have never asked, and more such than others: a front whose clients
    /// connect ahead has those that ask as well.
    pub fn crowds(&self, part: usize) -> impl Iterator<Item = &Idle> {
        let all = self.unasked.over(part).filter_map(|source| self.all.get(source));
        all.filter(|one| 2 * one.idle.unasked() > one.open).map(|one| &one.idle)
    }

    #[cfg(test)]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }
}
