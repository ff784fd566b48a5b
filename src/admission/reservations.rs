//! Budgets of bytes that are reserved before they arrive.
//!
//! What is still to arrive has no size yet, so room is reserved for the largest size that it may have. The
//! reservation shrinks once the size is known, and ends when the bytes are gone. The sum of all reservations
//! can therefore not exceed the budget, whatever arrives and whenever. Whoever finds no room joins a queue
//! and waits for its turn.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::{Poll, Waker};

/// A place in the queue for room.
type Place = (Priority, u64);

/// Who goes first where connections wait for something that is scarce.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Its commands have become requests.
    Preferred,
    Usual,
    /// It got errors alone.
    Deferred,
}

impl Priority {
    /// The number of priorities.
    pub const COUNT: usize = 3;
}

/// A budget that many connections share.
#[derive(Debug)]
pub struct ReservationBudget {
    /// In bytes.
    limit: usize,
    /// The largest size of one item in bytes.
    item: usize,
    reserved: Cell<usize>,
    /// The wakers of those that wait for room: the preferred ones first, then in the order in which they joined
    /// the queue.
    waiting: RefCell<BTreeMap<Place, Waker>>,
    last_ticket: Cell<u64>,
}

impl ReservationBudget {
    /// A budget of `limit` bytes for items of at most `item` bytes.
    pub fn new(limit: usize, item: usize) -> Rc<Self> {
        let (reserved, waiting, last_ticket) = Default::default();
        Rc::new(ReservationBudget { limit, item, reserved, waiting, last_ticket })
    }

    /// The bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.get()
    }

    /// Whether there is room for an item of the largest size.
    pub fn has_room(&self) -> bool {
        self.free_items() > 0
    }

    /// Reserves room for an item of the largest size, or returns `None` if there is none.
    pub fn reserve_item(self: &Rc<Self>) -> Option<Reservation> {
        self.reserve(self.item)
    }

    /// A reservation of nothing, which may grow.
    pub fn empty(self: &Rc<Self>) -> Reservation {
        Reservation { budget: self.clone(), bytes: 0 }
    }

    /// Reserves `bytes`, or returns `None` if they exceed the budget.
    pub fn reserve(self: &Rc<Self>, bytes: usize) -> Option<Reservation> {
        let reserved = self.reserved.get() + bytes;
        if reserved > self.limit {
            return None;
        }
        self.reserved.set(reserved);
        Some(Reservation { budget: self.clone(), bytes })
    }

    /// Reserves room for an item of the largest size, in turn with others that wait for it.
    pub async fn wait_for_item(self: &Rc<Self>) -> Reservation {
        let mut ticket = None;
        loop {
            if let Some(reservation) = self.reserve_item() {
                return reservation;
            }
            ticket.get_or_insert_with(|| self.join_queue(Priority::Usual)).room().await;
        }
    }

    /// Joins the queue for room.
    pub fn join_queue(self: &Rc<Self>, priority: Priority) -> QueueTicket {
        self.last_ticket.set(self.last_ticket.get() + 1);
        QueueTicket { budget: self.clone(), place: (priority, self.last_ticket.get()) }
    }

    /// Whether anybody waits for room.
    pub fn has_waiting(&self) -> bool {
        !self.waiting.borrow().is_empty()
    }

    /// Whether less than half of the budget is reserved.
    pub fn is_half_free(&self) -> bool {
        self.reserved.get() < self.limit / 2
    }

    /// How many items of the largest size still fit.
    fn free_items(&self) -> usize {
        self.limit.saturating_sub(self.reserved.get()) / self.item.max(1)
    }

    fn release(&self, bytes: usize) {
        self.reserved.set(self.reserved.get() - bytes);
        self.wake_waiting();
    }

    /// Wakes as many of the queue as there is room for. Each reserves some or leaves the queue.
    fn wake_waiting(&self) {
        for _ in 0..self.free_items() {
            let Some((_, waker)) = self.waiting.borrow_mut().pop_first() else { return };
            waker.wake();
        }
    }
}

/// Bytes reserved in a [`ReservationBudget`]; they are released when this is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Rc<ReservationBudget>,
    bytes: usize,
}

impl Reservation {
    /// The bytes that are reserved.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Splits off as many of these bytes as there are.
    pub fn split(&mut self, bytes: usize) -> Reservation {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        Reservation { budget: self.budget.clone(), bytes }
    }

    /// Reserves more in the same budget; returns whether there was room.
    pub fn grow(&mut self, bytes: usize) -> bool {
        let more = self.budget.reserve(bytes);
        let grown = more.is_some();
        more.into_iter().for_each(|more| self.absorb(more));
        grown
    }

    /// Releases all but `bytes`.
    pub fn shrink_to(&mut self, bytes: usize) {
        let excess = self.bytes.saturating_sub(bytes);
        self.bytes -= excess;
        if excess > 0 {
            self.budget.release(excess);
        }
    }

    /// Adds the bytes of `other`, a reservation in the same budget.
    pub fn absorb(&mut self, mut other: Reservation) {
        self.bytes += std::mem::take(&mut other.bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// A place in the queue for room, which ends when this is dropped.
#[derive(Debug)]
pub struct QueueTicket {
    budget: Rc<ReservationBudget>,
    place: Place,
}

impl QueueTicket {
    /// Waits until there is room for an item of the largest size.
    pub fn room(&self) -> impl Future<Output = ()> + '_ {
        poll_fn(|context| {
            if self.budget.has_room() {
                return Poll::Ready(());
            }
            self.budget.waiting.borrow_mut().insert(self.place, context.waker().clone());
            Poll::Pending
        })
    }
}

impl Drop for QueueTicket {
    fn drop(&mut self) {
        let woken = self.budget.waiting.borrow_mut().remove(&self.place).is_none();
        if woken {
            // Room that it was woken for and did not take goes to the next one.
            self.budget.wake_waiting();
        }
    }
}

#[cfg(test)]
mod tests;
