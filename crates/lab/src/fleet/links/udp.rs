//! Datagrams through a relay: two sockets, one for each side to send to, and the datagrams in flight between
//! them.
//!
//! Datagrams in flight keep their due time when the condition changes; they are lost only if the new
//! condition lets nothing pass.

use super::context::RelayContext;
use super::direction::Direction;
use async_io::Async;
use futures_lite::future;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use world::fleet::link::garble;
use world::Micros;

/// Maximum number of datagrams, and of their bytes, in flight per relay and direction.
pub const IN_FLIGHT: usize = 1024;
pub const IN_FLIGHT_BYTES: usize = 4 * 1024 * 1024;
/// Datagrams read before other tasks get a turn.
const MAX_READS_PER_TURN: usize = 32;

/// One direction of a UDP relay.
pub struct UdpDirection {
    /// The socket that the sender sends to.
    pub from: Rc<Async<UdpSocket>>,
    /// The socket that the receiver sees datagrams come from.
    pub by: Rc<Async<UdpSocket>>,
    pub to: Rc<Cell<Option<SocketAddr>>>,
    /// Stores the sender's last source address, as the target of the opposite direction.
    pub learn: Option<Rc<Cell<Option<SocketAddr>>>>,
    pub direction: Rc<Direction>,
    pub context: Rc<RelayContext>,
}

/// Datagrams in flight, ordered by due time and then by departure.
#[derive(Default)]
struct InFlight {
    all: BTreeMap<(Micros, u64), Vec<u8>>,
    bytes: usize,
    count: u64,
}

impl UdpDirection {
    pub async fn run(self) {
        let mut in_flight = InFlight::default();
        let mut version = self.direction.version();
        loop {
            if version != self.direction.version() {
                version = self.direction.version();
                if self.direction.blocks_all() {
                    self.direction.count(|t| t.lost += in_flight.all.len() as u64);
                    in_flight = InFlight::default();
                }
            }
            let more = self.read(&mut in_flight);
            self.deliver(&mut in_flight);
            if more {
                future::yield_now().await;
                continue;
            }
            let due = in_flight.all.keys().next().map(|(at, _)| *at);
            let readable = async { drop(self.from.readable().await) };
            future::or(self.direction.changes(), future::or(readable, self.context.until(due))).await;
        }
    }

    /// Reads pending datagrams up to a limit; returns whether the limit was reached.
    fn read(&self, in_flight: &mut InFlight) -> bool {
        let mut scratch = self.context.scratch.borrow_mut();
        for _ in 0..MAX_READS_PER_TURN {
            let (len, sender) = match self.from.get_ref().recv_from(&mut scratch) {
                Ok(heard) => heard,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return false,
                // Errors reported for datagrams sent earlier do not concern reading.
                Err(_) => continue,
            };
            if let Some(learn) = &self.learn {
                learn.set(Some(sender));
            }
            let now = self.context.now();
            let deliveries = self.direction.datagram(now, len);
            if deliveries.is_lost() {
                self.direction.count(|t| t.lost += 1);
            }
            for (nth, delivery) in deliveries.iter().enumerate() {
                self.direction.count(|t| {
                    t.duplicated += u64::from(nth > 0);
                    t.garbled += u64::from(delivery.garbled.is_some());
                });
                let mut bytes = scratch[..len].to_vec();
                if let Some(at) = delivery.garbled {
                    garble(&mut bytes, at);
                }
                if delivery.at_us <= now {
                    self.send(&bytes);
                } else if in_flight.all.len() >= IN_FLIGHT || in_flight.bytes + len > IN_FLIGHT_BYTES {
                    self.direction.count(|t| t.dropped += 1);
                } else {
                    in_flight.count += 1;
                    in_flight.bytes += len;
                    in_flight.all.insert((delivery.at_us, in_flight.count), bytes);
                }
            }
        }
        true
    }

    fn deliver(&self, in_flight: &mut InFlight) {
        while let Some(first) = in_flight.all.first_entry() {
            let (at, _) = *first.key();
            if at > self.context.now() {
                return;
            }
            let bytes = first.remove();
            in_flight.bytes -= bytes.len();
            self.context.done(at);
            self.send(&bytes);
        }
    }

    fn send(&self, bytes: &[u8]) {
        let sent = self.to.get().is_some_and(|to| self.by.get_ref().send_to(bytes, to).is_ok());
        self.direction.count(|t| if sent { t.messages += 1 } else { t.dropped += 1 });
    }
}
