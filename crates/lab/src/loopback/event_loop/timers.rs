//! Timers in the order of time; those due at the same time keep the order in which they were added.

use crate::loopback::socket::LinkId;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use world::clients::RequestSlot;
use world::facts::{NodeNo, TryNo};
use world::Micros;

/// What to do with a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterWrite {
    KeepOpen,
    Close,
}

#[derive(Debug)]
pub enum TimerEvent {
    /// A command has crossed the network.
    CommandArrives {
        job: u64,
    },
    /// An answer has crossed the network.
    WriteAnswer {
        link: LinkId,
        job: u64,
        bytes: Vec<u8>,
        then: AfterWrite,
    },
    /// The end of a connection has crossed the network.
    Disconnect {
        node: NodeNo,
        link: LinkId,
    },
    /// The network breaks a connection.
    BreakConnection {
        link: LinkId,
    },
    Retry(RequestSlot),
    /// A client's timeout for a try expires.
    TryTimeout(TryNo),
    Heartbeat,
}

#[derive(Debug)]
struct Entry {
    at: Micros,
    sequence: u64,
    event: TimerEvent,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
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
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// The timer queue. Its length is bounded by what is in progress: jobs, retries, and tries that have not
/// timed out.
#[derive(Debug, Default)]
pub struct TimerQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    sequence: u64,
}

impl TimerQueue {
    pub fn add(&mut self, at: Micros, event: TimerEvent) {
        self.sequence += 1;
        self.entries.push(Reverse(Entry { at, sequence: self.sequence, event }));
    }

    pub fn next(&self) -> Option<Micros> {
        self.entries.peek().map(|e| e.0.at)
    }

    pub fn take(&mut self) -> Option<(Micros, TimerEvent)> {
        self.entries.pop().map(|e| (e.0.at, e.0.event))
    }
}
