//! One direction between two processes, shared by all relays that carry it: its condition, its line, its counts.

use super::context::RelayContext;
use event_listener::Event;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use world::fleet::link::{ChunkFate, Condition, Deliveries, Line};
use world::Micros;

/// What went one way so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Traffic {
    /// Connections that the sender of this direction opened and that came up at the relay.
    pub connections: u64,
    /// Of them those that were reset because the target refused, was not to be reached, or too many were up. Those that
    /// the system refused are not seen.
    pub refused: u64,
    /// Bytes of connections handed to the receiver's system.
    pub bytes: u64,
    /// Bytes of connections that the relays have read and not yet handed on.
    pub waiting: u64,
    /// Datagrams handed to the receiver's system.
    pub messages: u64,
    /// Datagrams that the condition lost.
    pub lost: u64,
    /// Datagrams that found no room on the way, or no receiver: too many at once, or nobody known to send them to.
    pub dropped: u64,
    /// Datagrams that were sent a second time.
    pub duplicated: u64,
    /// Chunks of connections and datagrams of which a byte was changed.
    pub garbled: u64,
}

pub struct Direction {
    condition: RefCell<Condition>,
    /// Counts conditions, so that whoever is on the way sees that there is another one.
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

    /// Until another condition is set. What has been set before the call does not count.
    pub async fn changes(&self) {
        self.changed.listen().await;
    }

    pub fn holds_all(&self) -> bool {
        self.condition.borrow().holds_all()
    }

    pub fn refuses(&self) -> bool {
        self.condition.borrow().refuse
    }

    pub fn max_read(&self, most: usize) -> usize {
        self.condition.borrow().most_at_once(most)
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

    /// Until something without bytes of its own (a part of a handshake, a reset) has gone this way.
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
