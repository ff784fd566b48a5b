//! What is due later, in the order of time; what is due at once comes in the order in which it was added.

use crate::loopback::socket::LinkId;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use world::clients::RequestSlot;
use world::facts::{NodeNo, TryNo};
use world::Micros;

/// What becomes of a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    Keep,
    Finish,
}

#[derive(Debug)]
pub enum Due {
    /// A command has crossed the network.
    Arrive {
        job: u64,
    },
    /// So has its answer.
    Write {
        link: LinkId,
        job: u64,
        bytes: Vec<u8>,
        then: Then,
    },
    /// So has the end of a connection.
    Disconnect {
        node: NodeNo,
        link: LinkId,
    },
    /// The network breaks a connection.
    Break {
        link: LinkId,
    },
    Retry(RequestSlot),
    /// A client's time for a try is up.
    GivesUp(TryNo),
    Heartbeat,
}

#[derive(Debug)]
struct Entry {
    at: Micros,
    added: u64,
    due: Due,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.added) == (other.at, other.added)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.added).cmp(&(other.at, other.added))
    }
}

/// As long as what is under way: jobs, retries, and tries whose time is not up.
#[derive(Debug, Default)]
pub struct Agenda {
    entries: BinaryHeap<Reverse<Entry>>,
    added: u64,
}

impl Agenda {
    pub fn add(&mut self, at: Micros, due: Due) {
        self.added += 1;
        self.entries.push(Reverse(Entry { at, added: self.added, due }));
    }

    pub fn next(&self) -> Option<Micros> {
        self.entries.peek().map(|e| e.0.at)
    }

    pub fn take(&mut self) -> Option<(Micros, Due)> {
        self.entries.pop().map(|e| (e.0.at, e.0.due))
    }
}
