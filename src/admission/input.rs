//! The room for what clients send: commands that are arriving, waiting to be taken, or in flight.
//!
//! Each connection may hold [`UNRESERVED_INPUT`] bytes; more is reserved before it is read, the whole of a
//! command as soon as its length is known. The sum cannot exceed the budget, and a command that has room can
//! always be completed. A client that was given room for a command and does not send it loses the room to
//! those that wait: it took the room, so it pays for it.

use super::reservations::ReservationBudget;
use crate::codec::resp::MAX_COMMAND;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::{Poll, Waker};
use std::time::{Duration, Instant};

/// Bytes of input that a connection may hold without a reservation.
pub const UNRESERVED_INPUT: usize = 4 * 1024;
/// After how long a command that has room and has not arrived loses the room to others.
const ARRIVAL_GRACE: Duration = Duration::from_millis(100);

/// A command that has room and has not arrived.
#[derive(Debug)]
struct Arrival {
    since: Instant,
    revoked: bool,
    waker: Option<Waker>,
}

/// The room for the input of all connections.
#[derive(Debug)]
pub struct InputMemory {
    budget: Rc<ReservationBudget>,
    /// Commands that have room and are arriving, the longest one first.
    arrivals: RefCell<BTreeMap<u64, Arrival>>,
    last_arrival: Cell<u64>,
    refused: Cell<u64>,
}

impl InputMemory {
    /// A budget of `limit` bytes, and room for one command at least.
    pub fn new(limit: usize) -> Rc<Self> {
        let budget = ReservationBudget::new(limit.max(MAX_COMMAND), MAX_COMMAND);
        let (arrivals, last_arrival, refused) = Default::default();
        Rc::new(InputMemory { budget, arrivals, last_arrival, refused })
    }

    /// The budget that is shared.
    pub fn budget(&self) -> &Rc<ReservationBudget> {
        &self.budget
    }

    /// The number of commands refused because there was no room for them.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Counts commands that are refused because there is no room for them.
    pub fn count_refused(&self, commands: usize) {
        self.refused.set(self.refused.get() + commands as u64);
    }

    /// A command that has room begins to arrive.
    pub fn arrives(self: &Rc<Self>, now: Instant) -> ArrivalGuard {
        let number = self.last_arrival.get() + 1;
        self.last_arrival.set(number);
        let arrival = Arrival { since: now, revoked: false, waker: None };
        self.arrivals.borrow_mut().insert(number, arrival);
        ArrivalGuard { memory: self.clone(), number }
    }

    /// Takes the room of the command that has been arriving for longest, if it was given time enough.
    pub fn revoke_longest(&self, now: Instant) {
        let mut arrivals = self.arrivals.borrow_mut();
        let Some(arrival) = arrivals.values_mut().find(|arrival| !arrival.revoked) else { return };
        if now.saturating_duration_since(arrival.since) >= ARRIVAL_GRACE {
            arrival.revoked = true;
            arrival.waker.take().into_iter().for_each(Waker::wake);
        }
    }
}

/// A command that has room and is arriving, until this is dropped.
#[derive(Debug)]
pub struct ArrivalGuard {
    memory: Rc<InputMemory>,
    number: u64,
}

impl ArrivalGuard {
    /// Waits until the room is taken away.
    pub fn revoked(&self) -> impl Future<Output = ()> + '_ {
        poll_fn(|context| {
            let mut arrivals = self.memory.arrivals.borrow_mut();
            match arrivals.get_mut(&self.number) {
                Some(arrival) if arrival.revoked => Poll::Ready(()),
                Some(arrival) => {
                    arrival.waker = Some(context.waker().clone());
                    Poll::Pending
                }
                None => Poll::Pending,
            }
        })
    }
}

impl Drop for ArrivalGuard {
    fn drop(&mut self) {
        self.memory.arrivals.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests;
