//! The event queue: events ordered by time, and at equal times by the order in which they were planned.
//!
//! Most events are messages that arrive soon; they are kept in a binary heap. A timeout is planned for every
//! try, seconds ahead, and hardly ever fires. Timeouts are kept in buckets of one millisecond until their
//! time is near, so that they do not enlarge the heap.

use martenweir::interface::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::{BinaryHeap, VecDeque};

/// The width of a bucket.
const BUCKET: Micros = 1_000;
/// The number of buckets at most; an event beyond the last one is kept in the heap.
const MAX_BUCKETS: usize = 1 << 16;

struct Planned<T> {
    at: Micros,
    order: u64,
    event: T,
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

/// An event queue in virtual time.
pub struct Queue<T> {
    heap: BinaryHeap<Reverse<Planned<T>>>,
    /// Buckets of events that are far ahead. The first one covers the time from `first_bucket` times
    /// [`BUCKET`] on.
    buckets: VecDeque<Vec<Planned<T>>>,
    first_bucket: i64,
    in_buckets: usize,
    order: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Queue { heap: BinaryHeap::new(), buckets: VecDeque::new(), first_bucket: 0, in_buckets: 0, order: 0 }
    }
}

impl<T> Queue<T> {
    pub fn new() -> Self {
        Queue::default()
    }

    pub fn plan(&mut self, at: Micros, event: T) {
        self.order += 1;
        self.heap.push(Reverse(Planned { at, order: self.order, event }));
    }

    /// Plans an event that is far ahead and most likely no longer relevant by then, such as a timeout.
    pub fn plan_late(&mut self, at: Micros, event: T) {
        let ahead = at / BUCKET - self.first_bucket;
        if ahead < 0 || ahead as usize >= MAX_BUCKETS {
            return self.plan(at, event);
        }
        self.order += 1;
        let ahead = ahead as usize;
        if self.buckets.len() <= ahead {
            self.buckets.resize_with(ahead + 1, Vec::new);
        }
        self.buckets[ahead].push(Planned { at, order: self.order, event });
        self.in_buckets += 1;
    }

    /// The time of the next event, or an earlier one: a bucket counts with its start, even if it is empty.
    pub fn next(&self) -> Micros {
        let heap = self.heap.peek().map_or(Micros::MAX, |p| p.0.at);
        if self.in_buckets == 0 {
            return heap;
        }
        heap.min(self.first_bucket * BUCKET)
    }

    /// Removes the first event that is due by `now`. An event from a bucket is dropped unless
    /// `still_relevant` holds for it when its bucket is moved to the heap.
    pub fn take(&mut self, now: Micros, still_relevant: impl Fn(&T) -> bool) -> Option<(Micros, T)> {
        while self.first_bucket * BUCKET <= now {
            let bucket = self.buckets.pop_front().unwrap_or_default();
            self.first_bucket += 1;
            self.in_buckets -= bucket.len();
            self.heap.extend(bucket.into_iter().filter(|p| still_relevant(&p.event)).map(Reverse));
        }
        if self.heap.peek()?.0.at > now {
            return None;
        }
        self.heap.pop().map(|Reverse(p)| (p.at, p.event))
    }
}

#[cfg(test)]
mod tests;
