//! Datagrams through a relay: two sockets, one that each side sends to, and what is on its way between them.
//!
//! What has set out keeps its time when the condition changes; only a condition under which nothing passes takes it.

use super::room::Room;
use super::way::Way;
use async_io::Async;
use futures_lite::future;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use world::fleet::link::garble;
use world::Micros;

/// Datagrams of a relay that may be on their way in one direction, and their bytes.
pub const IN_FLIGHT: usize = 1024;
pub const IN_FLIGHT_BYTES: usize = 4 * 1024 * 1024;
/// Datagrams that are read before others have their turn.
const AT_ONCE: usize = 32;

/// One direction of a relay.
pub struct Post {
    /// The sender sends to this one.
    pub from: Rc<Async<UdpSocket>>,
    /// The receiver sees it come from this one.
    pub by: Rc<Async<UdpSocket>>,
    pub to: Rc<Cell<Option<SocketAddr>>>,
    /// Where the sender was heard last is kept here, for what goes the other way.
    pub learn: Option<Rc<Cell<Option<SocketAddr>>>>,
    pub way: Rc<Way>,
    pub room: Rc<Room>,
}

/// What is on its way, by when it is due and in the order in which it set out.
#[derive(Default)]
struct Flight {
    all: BTreeMap<(Micros, u64), Vec<u8>>,
    bytes: usize,
    count: u64,
}

impl Post {
    pub async fn run(self) {
        let mut flight = Flight::default();
        let mut version = self.way.version();
        loop {
            if version != self.way.version() {
                version = self.way.version();
                if self.way.blocks_all() {
                    self.way.count(|t| t.lost += flight.all.len() as u64);
                    flight = Flight::default();
                }
            }
            let more = self.read(&mut flight);
            self.deliver(&mut flight);
            if more {
                future::yield_now().await;
                continue;
            }
            let due = flight.all.keys().next().map(|(at, _)| *at);
            let readable = async { drop(self.from.readable().await) };
            future::or(self.way.changes(), future::or(readable, self.room.until(due))).await;
        }
    }

    /// Reads what has come, up to a bound; whether that was reached.
    fn read(&self, flight: &mut Flight) -> bool {
        let mut scratch = self.room.scratch.borrow_mut();
        for _ in 0..AT_ONCE {
            let (len, sender) = match self.from.get_ref().recv_from(&mut scratch) {
                Ok(heard) => heard,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // What the system tells of datagrams sent earlier is no matter of theirs.
                Err(_) => continue,
            };
            if let Some(learn) = &self.learn {
                learn.set(Some(sender));
            }
            let now = self.room.now();
            let deliveries = self.way.datagram(now, len);
            if deliveries.is_lost() {
                self.way.count(|t| t.lost += 1);
            }
            for (nth, delivery) in deliveries.iter().enumerate() {
                self.way.count(|t| {
                    t.duplicated += u64::from(nth > 0);
                    t.garbled += u64::from(delivery.garbled.is_some());
                });
                let mut bytes = scratch[..len].to_vec();
                if let Some(at) = delivery.garbled {
                    garble(&mut bytes, at);
                }
                if delivery.at_us <= now {
                    self.send(&bytes);
                } else if flight.all.len() >= IN_FLIGHT || flight.bytes + len > IN_FLIGHT_BYTES {
                    self.way.count(|t| t.dropped += 1);
                } else {
                    flight.count += 1;
                    flight.bytes += len;
                    flight.all.insert((delivery.at_us, flight.count), bytes);
                }
            }
        }
        true
    }

    fn deliver(&self, flight: &mut Flight) {
        while let Some(first) = flight.all.first_entry() {
            let (at, _) = *first.key();
            if at > self.room.now() {
                return;
            }
            let bytes = first.remove();
            flight.bytes -= bytes.len();
            self.room.done(at);
            self.send(&bytes);
        }
    }

    fn send(&self, bytes: &[u8]) {
        let sent = self.to.get().is_some_and(|to| self.by.get_ref().send_to(bytes, to).is_ok());
        self.way.count(|t| if sent { t.messages += 1 } else { t.dropped += 1 });
    }
}
