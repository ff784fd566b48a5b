//! CPU cores executing jobs: a number of slots that share the cores evenly, at a speed that may change while
//! jobs run.
//!
//! Progress is tracked as the work done per slot, a clock that runs at the current speed, so that a change of
//! speed does not touch the jobs. This is the virtual time of processor sharing (Parekh and Gallager, 1993).
//! A station neither queues nor answers; its owner, a node or the origin, decides what starts when a slot
//! becomes free.

use crate::Micros;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;

/// A job in a slot, ordered by the per-slot work at which it ends, then by its start.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Running {
    ends: f64,
    started: u64,
    job: u64,
}

impl Eq for Running {}

impl Ord for Running {
    fn cmp(&self, other: &Self) -> Ordering {
        self.ends.total_cmp(&other.ends).then(self.started.cmp(&other.started))
    }
}

impl PartialOrd for Running {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

#[derive(Clone, Debug)]
pub struct Station {
    cores: f64,
    slots: usize,
    /// Work that a core does per microsecond: 1 is a standard core, 0 is stopped.
    speed: f64,
    /// The time up to which progress is accounted, and the work done per slot by then.
    at: Micros,
    done: f64,
    started: u64,
    running: BinaryHeap<Reverse<Running>>,
    /// Totals since the start, in microseconds: core time in use, and work done.
    busy: f64,
    worked: f64,
}

impl Station {
    pub fn new(cores: f64, slots: usize, speed: f64) -> Self {
        Station {
            cores,
            slots: slots.max(1),
            speed,
            at: 0,
            done: 0.0,
            started: 0,
            running: BinaryHeap::new(),
            busy: 0.0,
            worked: 0.0,
        }
    }

    pub fn running(&self) -> usize {
        self.running.len()
    }

    pub fn slots(&self) -> usize {
        self.slots
    }

    pub fn is_free(&self) -> bool {
        self.running.len() < self.slots
    }

    /// Core time used and work done since the start.
    pub fn spent(&self) -> (f64, f64) {
        (self.busy, self.worked)
    }

    fn in_use(&self) -> f64 {
        self.cores.min(self.running.len() as f64)
    }

    /// Work that one slot does per microsecond.
    fn rate(&self) -> f64 {
        match self.running.len() {
            0 => 0.0,
            n => self.speed * self.in_use() / n as f64,
        }
    }

    /// Accounts progress up to now. Jobs that end by now must have been removed before.
    pub fn catch_up(&mut self, now: Micros) {
        let span = (now - self.at).max(0) as f64;
        if span > 0.0 && !self.running.is_empty() {
            self.done += self.rate() * span;
            let used = self.in_use() * span;
            // A stopped core that has a job counts as in use.
            self.busy += used;
            self.worked += used * self.speed;
        }
        self.at = self.at.max(now);
    }

    pub fn set_speed(&mut self, now: Micros, speed: f64) {
        if speed != self.speed {
            self.catch_up(now);
            self.speed = speed;
        }
    }

    /// Puts a job into a free slot.
    pub fn start(&mut self, now: Micros, job: u64, work: f64) {
        self.catch_up(now);
        self.started += 1;
        let ends = self.done + work.max(1.0);
        self.running.push(Reverse(Running { ends, started: self.started, job }));
    }

    /// When the next job ends at the current speed.
    pub fn next(&self) -> Option<Micros> {
        let first = &self.running.peek()?.0;
        let rate = self.rate();
        (rate > 0.0).then(|| self.at + ((first.ends - self.done).max(0.0) / rate).ceil() as Micros)
    }

    /// Removes the first job that has ended by now; returns it and the time of its end.
    pub fn end(&mut self, now: Micros) -> Option<(Micros, u64)> {
        let at = self.next().filter(|at| *at <= now)?;
        self.catch_up(at);
        let Reverse(ended) = self.running.pop()?;
        self.done = self.done.max(ended.ends);
        Some((at, ended.job))
    }

    /// The process is gone. Removes all jobs and returns them.
    pub fn clear(&mut self, now: Micros) -> Vec<u64> {
        self.catch_up(now);
        std::mem::take(&mut self.running).into_sorted_vec().into_iter().map(|r| r.0.job).collect()
    }
}

#[cfg(test)]
mod tests;
