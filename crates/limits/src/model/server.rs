//! A server with cores and a bounded queue, and the overload rule that stops it. Knows nothing about the
//! nature of the work.

use crate::Micros;
use std::collections::VecDeque;

/// What happens to work that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Started,
    Queued,
    Rejected,
}

/// A server with a bounded queue.
pub struct Server {
    pub cores: u32,
    pub queue_limit: usize,
    pub busy: u32,
    pub queue: VecDeque<usize>,
}

impl Server {
    pub fn new(cores: u32, queue_limit: usize) -> Self {
        Server { cores, queue_limit, busy: 0, queue: VecDeque::with_capacity(queue_limit) }
    }

    /// Admits an attempt.
    pub fn arrive(&mut self, attempt: usize) -> Admission {
        if self.busy < self.cores {
            self.busy += 1;
            return Admission::Started;
        }
        if self.queue.len() >= self.queue_limit {
            return Admission::Rejected;
        }
        self.queue.push_back(attempt);
        Admission::Queued
    }

    /// A core has finished; returns the queued attempt that it starts next.
    pub fn finish(&mut self) -> Option<usize> {
        let next = self.queue.pop_front();
        self.busy -= u32::from(next.is_none()).min(self.busy);
        next
    }

    /// Stops the server and discards all work.
    pub fn stop(&mut self) {
        (self.busy, self.queue) = (0, VecDeque::with_capacity(self.queue_limit));
    }
}

/// Time slices of the meter.
const SLICES: usize = 30;

/// Load of a server over the last period, relative to its capacity.
pub struct LoadMeter {
    multiple: f64,
    slice: Micros,
    requested: [f64; SLICES],
    capacity: [f64; SLICES],
    latest: i64,
    pub worst: f64,
}

impl LoadMeter {
    pub fn new(multiple: f64, span: Micros) -> Self {
        let slice = (span / SLICES as Micros).max(1);
        LoadMeter {
            multiple,
            slice,
            requested: [0.0; SLICES],
            capacity: [0.0; SLICES],
            latest: -1,
            worst: 0.0,
        }
    }

    /// Adds work for a server with this capacity in work per microsecond; returns whether the load was too
    /// high for too long.
    pub fn add(&mut self, now: Micros, work: f64, capacity: f64) -> bool {
        let at = now / self.slice;
        while self.latest < at {
            self.latest += 1;
            let index = self.latest as usize % SLICES;
            (self.requested[index], self.capacity[index]) = (0.0, capacity * self.slice as f64);
        }
        self.requested[at as usize % SLICES] += work;
        // Before the first whole period the overload cannot have lasted long enough.
        let capacity: f64 = self.capacity.iter().sum();
        let load = if self.latest + 1 < SLICES as i64 || capacity <= 0.0 {
            0.0
        } else {
            self.requested.iter().sum::<f64>() / capacity
        };
        self.worst = self.worst.max(load);
        load > self.multiple
    }

    pub fn clear(&mut self) {
        self.requested = [0.0; SLICES];
    }
}
