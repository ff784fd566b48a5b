//! A queue with controlled delay: it sheds what has waited long once waiting does not pass, and then serves
//! who came last first.
//!
//! Use it for what waits for room at a thing that is at its limit. Under strain the oldest are the least
//! likely to be answered in time, so the newest go first, and the oldest are refused while there is still
//! time to return. Do not use it for work that must keep its order, or where nobody may be refused. A queue
//! with an order of its own (by worth, say) can use the [`CoDel`] alone, fed with the age of its oldest.
//!
//! Strain is a standing queue: the oldest has waited `target` or longer at every look for `interval`. From
//! then on the oldest is shed, and another after `interval / sqrt(n)` while it lasts. What has waited a whole
//! `interval` is shed in any case. RFC 8289 looks at the age of what it takes out; here that is the newest
//! under strain, which would end it at once, so the age of the oldest counts.
//!
//! - At the start and after silence: calm, in order.
//! - When nothing is taken out: everything is shed after `interval`, by calls of `shed`.
//! - When the clock goes back: ages count as 0 until it has caught up with them; strain starts anew.
//!
//! Sources: RFC 8289, 3 to 5 (target as 5 to 10% of the interval, the square-root law, and the count that is
//! taken up again after less than 16 intervals); Maurer, "Fail at Scale", ACM Queue 13 (2015), for first in
//! last out under strain and the longest wait.

use crate::Micros;
use std::collections::VecDeque;

/// Intervals within which strain that returns goes on at the pace that it had: RFC 8289, 5.4.
const AGAIN: Micros = 16;

/// When the oldest of a queue is shed. See the file's comment.
#[derive(Clone, Debug)]
pub struct CoDel {
    target: Micros,
    interval: Micros,
    /// Since when the oldest has waited long at every look.
    above: Option<Micros>,
    strained: bool,
    count: u32,
    next: Micros,
}

impl CoDel {
    /// Waits of `target` are harmless; none of `interval` is wanted, and within it a burst must have passed.
    pub fn new(target: Micros, interval: Micros) -> Self {
        let (target, interval) = (target.max(1), interval.max(1));
        CoDel { target, interval, above: None, strained: false, count: 0, next: 0 }
    }

    /// Whether a queue stands that does not pass.
    pub fn strained(&self) -> bool {
        self.strained
    }

    /// Looks at the queue, whose oldest came at `oldest`; whether that one is to be shed now. To be called
    /// again until it is not.
    pub fn should_drop(&mut self, now: Micros, oldest: Option<Micros>) -> bool {
        let age = oldest.map_or(0, |t| now.saturating_sub(t));
        if age < self.target {
            (self.above, self.strained) = (None, false);
            return false;
        }
        let above = *self.above.get_or_insert(now);
        if now < above {
            (self.above, self.strained) = (Some(now), false);
        }
        if !self.strained && now.saturating_sub(above) >= self.interval {
            let lately = now.saturating_sub(self.next) < AGAIN.saturating_mul(self.interval);
            self.count = if lately && self.count > 2 { self.count - 2 } else { 0 };
            (self.strained, self.next) = (true, now);
        }
        let due = self.strained && now >= self.next;
        if due {
            self.count = self.count.saturating_add(1);
            self.next = self.next.max(now).saturating_add(self.drop_interval());
        }
        due || age >= self.interval
    }

    /// When to look again though nothing was put in or taken out, for a queue whose oldest came at `oldest`.
    pub fn next_check(&self, oldest: Micros) -> Micros {
        let longest = oldest.saturating_add(self.interval);
        match (self.strained, self.above) {
            (true, _) => longest.min(self.next),
            (false, Some(above)) => longest.min(above.saturating_add(self.interval)),
            (false, None) => longest.min(oldest.saturating_add(self.target)),
        }
    }

    fn drop_interval(&self) -> Micros {
        (self.interval as f64 / f64::from(self.count.max(1)).sqrt()) as Micros
    }
}

/// A bounded queue under the law. Its owner calls [`Queue::shed`] until it gives nothing, before it takes
/// out.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    line: VecDeque<(Micros, T)>,
    places: usize,
    law: CoDel,
}

impl<T> Queue<T> {
    /// A queue of so many places, all of them made now.
    pub fn new(places: usize, law: CoDel) -> Self {
        Queue { line: VecDeque::with_capacity(places), places, law }
    }

    /// Puts one in. What has no place comes back, to be refused: this one, or the oldest under strain.
    pub fn push(&mut self, now: Micros, item: T) -> Option<T> {
        let full = self.line.len() >= self.places;
        match (full, self.law.strained) {
            (true, true) if self.places > 0 => {
                let oldest = self.line.pop_front();
                self.line.push_back((now, item));
                oldest.map(|(_, item)| item)
            }
            (true, _) => Some(item),
            (false, _) => {
                self.line.push_back((now, item));
                None
            }
        }
    }

    /// Takes out one that has waited too long, to be refused.
    pub fn shed(&mut self, now: Micros) -> Option<T> {
        let oldest = self.line.front().map(|(t, _)| *t);
        self.law.should_drop(now, oldest).then(|| self.line.pop_front()).flatten().map(|(_, item)| item)
    }

    /// Takes out the one to be served next: the oldest, or the newest under strain.
    pub fn pop(&mut self) -> Option<T> {
        let next = if self.law.strained { self.line.pop_back() } else { self.line.pop_front() };
        next.map(|(_, item)| item)
    }

    /// When [`Queue::shed`] is to be called again though nothing happens.
    pub fn next_check(&self) -> Option<Micros> {
        self.line.front().map(|(t, _)| self.law.next_check(*t))
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.line.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.line.is_empty()
    }

    /// Whether a queue stands that does not pass.
    pub fn strained(&self) -> bool {
        self.law.strained
    }

    /// Drops those that `keep` does not want, as requests that are over.
    pub fn retain(&mut self, mut keep: impl FnMut(&T) -> bool) {
        self.line.retain(|(_, item)| keep(item));
    }
}
