//! Controlled-delay (CoDel) queue: drops requests that waited long once a standing queue has formed, and
//! then serves the newest first.
//!
//! Use it for requests that wait for an upstream at its limit. Under overload the oldest are the least
//! likely to be answered in time, so the newest go first, and the oldest are refused while their clients
//! still have time to retry. Don't use it for work that must keep its order or that must not be refused. A
//! queue with an order of its own (by worth, say) can use [`CoDel`] alone, fed with the age of its oldest
//! entry.
//!
//! A standing queue is one whose oldest entry has waited `target` or longer at every check for `interval`.
//! From then on the oldest is dropped, and another one after every `interval / sqrt(n)` while the state
//! lasts. Whatever has waited a whole `interval` is dropped in any case. RFC 8289 measures the age of the
//! entry being dequeued; here that is the newest while dropping, which would end the state at once, so the
//! age of the oldest counts.
//!
//! - At the start and after idle time: not dropping, first in first out.
//! - When nothing is dequeued: everything is dropped after `interval`, by calls of `shed`.
//! - When the clock goes back: ages count as 0 until it has caught up with them; detection starts over.
//!
//! Sources: RFC 8289, 3 to 5 (target as 5 to 10% of the interval, the square-root control law, and resuming
//! the drop count after less than 16 intervals); Maurer, "Fail at Scale", ACM Queue 13 (2015), for last in
//! first out under overload and the maximum wait.

use crate::Micros;
use std::collections::VecDeque;

/// A standing queue that returns within this many intervals resumes the previous drop rate: RFC 8289, 5.4.
const RECENT_INTERVALS: Micros = 16;

/// Decides when the oldest entry of a queue is dropped. See the module documentation.
#[derive(Clone, Debug)]
pub struct CoDel {
    target: Micros,
    interval: Micros,
    /// Since when the oldest entry exceeded the target at every check.
    above_since: Option<Micros>,
    dropping: bool,
    drops: u32,
    next_drop: Micros,
}

impl CoDel {
    /// Waits of `target` are harmless; waits of `interval` are not acceptable, and a burst has to clear
    /// within it.
    pub fn new(target: Micros, interval: Micros) -> Self {
        let (target, interval) = (target.max(1), interval.max(1));
        CoDel { target, interval, above_since: None, dropping: false, drops: 0, next_drop: 0 }
    }

    /// Whether there is a standing queue, so that entries are dropped.
    pub fn is_dropping(&self) -> bool {
        self.dropping
    }

    /// Checks a queue whose oldest entry arrived at `oldest`; returns whether that entry is to be dropped
    /// now. Call it again until it returns false.
    pub fn should_drop(&mut self, now: Micros, oldest: Option<Micros>) -> bool {
        let age = oldest.map_or(0, |t| now.saturating_sub(t));
        if age < self.target {
            (self.above_since, self.dropping) = (None, false);
            return false;
        }
        let above_since = *self.above_since.get_or_insert(now);
        if now < above_since {
            (self.above_since, self.dropping) = (Some(now), false);
        }
        if !self.dropping && now.saturating_sub(above_since) >= self.interval {
            let recent = now.saturating_sub(self.next_drop) < RECENT_INTERVALS.saturating_mul(self.interval);
            self.drops = if recent && self.drops > 2 { self.drops - 2 } else { 0 };
            (self.dropping, self.next_drop) = (true, now);
        }
        let due = self.dropping && now >= self.next_drop;
        if due {
            self.drops = self.drops.saturating_add(1);
            self.next_drop = self.next_drop.max(now).saturating_add(self.drop_interval());
        }
        due || age >= self.interval
    }

    /// When to check again even if nothing is enqueued or dequeued, for a queue whose oldest entry arrived
    /// at `oldest`.
    pub fn next_check(&self, oldest: Micros) -> Micros {
        let limit = oldest.saturating_add(self.interval);
        match (self.dropping, self.above_since) {
            (true, _) => limit.min(self.next_drop),
            (false, Some(above_since)) => limit.min(above_since.saturating_add(self.interval)),
            (false, None) => limit.min(oldest.saturating_add(self.target)),
        }
    }

    fn drop_interval(&self) -> Micros {
        (self.interval as f64 / f64::from(self.drops.max(1)).sqrt()) as Micros
    }
}

/// A bounded queue controlled by [`CoDel`]. Call [`Queue::shed`] until it returns `None` before dequeuing.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    items: VecDeque<(Micros, T)>,
    capacity: usize,
    codel: CoDel,
}

impl<T> Queue<T> {
    /// A queue with `capacity` entries, allocated up front.
    pub fn new(capacity: usize, codel: CoDel) -> Self {
        Queue { items: VecDeque::with_capacity(capacity), capacity, codel }
    }

    /// Enqueues an item. Returns the item to refuse if the queue is full: this one, or the oldest while
    /// dropping.
    pub fn push(&mut self, now: Micros, item: T) -> Option<T> {
        let full = self.items.len() >= self.capacity;
        match (full, self.codel.dropping) {
            (true, true) if self.capacity > 0 => {
                let oldest = self.items.pop_front();
                self.items.push_back((now, item));
                oldest.map(|(_, item)| item)
            }
            (true, _) => Some(item),
            (false, _) => {
                self.items.push_back((now, item));
                None
            }
        }
    }

    /// Removes one item that has waited too long, to be refused.
    pub fn shed(&mut self, now: Micros) -> Option<T> {
        let oldest = self.items.front().map(|(t, _)| *t);
        self.codel.should_drop(now, oldest).then(|| self.items.pop_front()).flatten().map(|(_, item)| item)
    }

    /// Dequeues the next item to serve: the oldest, or the newest while dropping.
    pub fn pop(&mut self) -> Option<T> {
        let next = if self.codel.dropping { self.items.pop_back() } else { self.items.pop_front() };
        next.map(|(_, item)| item)
    }

    /// When [`Queue::shed`] has to be called again even if nothing else happens.
    pub fn next_check(&self) -> Option<Micros> {
        self.items.front().map(|(t, _)| self.codel.next_check(*t))
    }

    /// Number of queued items.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Whether there is a standing queue, so that entries are dropped.
    pub fn is_dropping(&self) -> bool {
        self.codel.dropping
    }

    /// Drops the items that `keep` rejects, such as requests that are over.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.items.retain(|(_, item)| keep(item));
    }
}
