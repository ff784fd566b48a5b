//! What is to happen, by time and then by the order in which it was planned.
//!
//! Two lanes. Most plans are messages that arrive soon: a binary heap. Giving up on a try is planned for every try,
//! seconds ahead, and hardly ever happens: those lie in buckets of a millisecond until their time is near, so that
//! they do not make the heap deep.

use martenweir::interface::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, VecDeque};

const BUCKET: Micros = 1_000;
/// Buckets ahead at the most; what is later waits in the heap.
const AHEAD: usize = 1 << 16;

struct Planned<T> {
    at: Micros,
    order: u64,
    what: T,
}

impl<T> PartialEq for Planned<T> {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl<T> Eq for Planned<T> {}

impl<T> Ord for Planned<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl<T> PartialOrd for Planned<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

pub struct Queue<T> {
    soon: BinaryHeap<Reverse<Planned<T>>>,
    /// The first bucket is that of `first`, in buckets since the start.
    later: VecDeque<Vec<Planned<T>>>,
    first: i64,
    in_later: usize,
    order: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue { soon: BinaryHeap::new(), later: VecDeque::new(), first: 0, in_later: 0, order: 0 }
    }
}

impl<T> Queue<T> {
    pub fn new() -> Self {
        Queue::default()
    }

    pub fn plan(&mut self, at: Micros, what: T) {
        self.order += 1;
        self.soon.push(Reverse(Planned { at, order: self.order, what }));
    }

    /// For what is far ahead and will most likely be idle by then.
    pub fn plan_late(&mut self, at: Micros, what: T) {
        let ahead = at / BUCKET - self.first;
        if ahead < 0 || ahead as usize >= AHEAD {
            return self.plan(at, what);
        }
        self.order += 1;
        let ahead = ahead as usize;
        if self.later.len() <= ahead {
            self.later.resize_with(ahead + 1, Vec::new);
        }
        self.later[ahead].push(Planned { at, order: self.order, what });
        self.in_later += 1;
    }

    /// When the next thing happens, or may.
    pub fn next(&self) -> Micros {
        let soon = self.soon.peek().map_or(Micros::MAX, |p| p.0.at);
        if self.in_later == 0 {
            return soon;
        }
        soon.min(self.first * BUCKET)
    }

    /// What happens by now, the first of it. `stands` says of a late one whether it still matters.
    pub fn take(&mut self, now: Micros, stands: impl Fn(&T) -> bool) -> Option<(Micros, T)> {
        while self.first * BUCKET <= now {
            let bucket = self.later.pop_front().unwrap_or_default();
            self.first += 1;
            self.in_later -= bucket.len();
            self.soon.extend(bucket.into_iter().filter(|p| stands(&p.what)).map(Reverse));
        }
        if self.soon.peek()?.0.at > now {
            return None;
        }
        self.soon.pop().map(|Reverse(p)| (p.at, p.what))
    }
}

#[cfg(test)]
mod tests;
