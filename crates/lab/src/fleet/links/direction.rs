//! One direction between two processes, shared by all relays that carry it: its condition, its [`Line`] and
//! its counters.

use super::context::RelayContext;
use event_listener::Event;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use world::fleet::link::{ChunkFate, Condition, Deliveries, Line};
use world::Micros;

/// Traffic in one direction so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Traffic {
    /// Connections opened by the sender of this direction that were accepted by the relay.
    pub connections: u64,
    /// Those of them that were reset because the target refused, was unreachable, or there were too many.
    /// Connections refused by the operating system are not counted.
    pub refused: u64,
    /// Stream bytes handed to the receiver's socket.
    pub bytes: u64,
    /// Stream bytes that the relays have read and not yet forwarded.
    pub waiting: u64,
    /// Datagrams handed to the receiver's socket.
    pub messages: u64,
    /// Datagrams lost because of the condition.
    pub lost: u64,
    /// Datagrams dropped because too many were in flight or no receiver was known.
    pub dropped: u64,
    /// Datagrams sent a second time.
    pub duplicated: u64,
    /// Stream chunks and datagrams with one changed byte.
    pub garbled: u64,
}

pub struct Direction {
    condition: RefCell<Condition>,
    /// Incremented with each new condition, so that tasks notice the change.
    version: Cell<u64>,
    changed: Event,
    line: RefCell<Line>,
    traffic: Cell<Traffic>,
}

impl Direction {
    pub fn new(seed: u64, from: &str, to: &str) -> Self {
        Direction {
            condition: RefCell::default(),
            version: Cell::new(0),
            changed: Event::new(),
            line: RefCell::new(Line::new(seed, from, to)),
            traffic: Cell::default(),
        }
    }

    pub fn set(&self, condition: Condition) {
        *self.condition.borrow_mut() = condition;
        self.line.borrow_mut().changed();
        self.version.set(self.version.get() + 1);
        self.changed.notify(usize::MAX);
    }

    pub fn condition(&self) -> Condition {
        self.condition.borrow().clone()
    }

    pub fn version(&self) -> u64 {
        self.version.get()
    }

    /// Waits until another condition is set. Conditions set before the call do not count.
    pub async fn changes(&self) {
        self.changed.listen().await;
    }

    pub fn blocks_all(&self) -> bool {
        self.condition.borrow().blocks_all()
    }

    pub fn refuses(&self) -> bool {
        self.condition.borrow().refuse
    }

    pub fn max_chunk_len(&self, most: usize) -> usize {
        self.condition.borrow().max_chunk_len(most)
    }

    pub fn chunk(&self, now_us: Micros, len: usize, behind_us: Micros) -> ChunkFate {
        self.line.borrow_mut().chunk(now_us, len, &self.condition.borrow(), behind_us)
    }

    pub fn datagram(&self, now_us: Micros, len: usize) -> Deliveries {
        self.line.borrow_mut().datagram(now_us, len, &self.condition.borrow())
    }

    pub fn count(&self, change: impl FnOnce(&mut Traffic)) {
        let mut traffic = self.traffic.get();
        change(&mut traffic);
        self.traffic.set(traffic);
    }

    pub fn traffic(&self) -> Traffic {
        self.traffic.get()
    }

    /// Waits until an item without payload (part of a handshake, a reset) has passed in this direction.
    pub async fn pass(&self, context: &RelayContext) {
        loop {
            let version = self.version();
            match self.chunk(context.now(), 0, Micros::MIN) {
                ChunkFate::Held => self.changes().await,
                ChunkFate::Due(d) if d.at_us <= context.now() => return,
                ChunkFate::Due(d) => {
                    future::or(self.changes(), context.until(Some(d.at_us))).await;
                    if self.version() == version {
                        return context.done(d.at_us);
                    }
                }
            }
        }
    }
}
