//! Fair turns for connections that always have more to do.
//!
//! The tasks of all connections share one thread, and a task that finds more input after each step would run
//! for as long as its peer sends. A task therefore takes a bounded number of commands in one turn, and joins
//! a [`TurnQueue`] for the next one. Only the first in the queue are woken, and they let every task that can
//! run go first. However many connections are busy, a few turns of them pass between two steps of the others.
//!
//! The order is start-time fair queueing: a connection's turns have starts, each after the one before by what a
//! turn counts, and the lowest start goes first. One that has taken few turns lately starts ahead of those that
//! take all they can get. A turn of one that got errors alone counts as several. Connections that take their
//! first turn share a part of all turns, so that ever new ones cannot starve those that stay.

use crate::admission::Priority;
use futures_lite::future;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::{Poll, Waker};

/// How many commands are taken of what has just come, without a turn: a client that waits for its answers
/// needs none.
pub const COMMANDS_WITHOUT_TURN: usize = 2;
/// The limits of one turn: commands taken, and their bytes.
pub const COMMANDS_PER_TURN: usize = 16;
pub const BYTES_PER_TURN: usize = 32 * 1024;

/// What a turn counts: of a connection that got errors alone, and of others.
const DEFERRED_COST: u64 = 64;
const USUAL_COST: u64 = 16;
/// What a connection's first turn counts for the first turns of others.
const FIRST_TURN_COST: u64 = 1;
/// How far ahead of the others a connection starts that has taken no turn lately: enough for a command of the
/// largest size.
const CREDIT: u64 = 8 * USUAL_COST;
/// How many of the queue have their turn at a time.
const TURNS_AT_A_TIME: usize = 4;

/// A place in the queue: the start of the turn, and the ticket's number.
type Place = (u64, u64);

/// The connections that wait for a turn.
#[derive(Debug, Default)]
pub struct TurnQueue {
    waiting: RefCell<BTreeMap<Place, Option<Waker>>>,
    last_ticket: Cell<u64>,
    /// The latest start of a turn.
    latest_start: Cell<u64>,
    /// The start of the next first turn of a connection, unless it is later.
    next_first_turn: Cell<u64>,
}

/// The turns that one connection has taken.
#[derive(Clone, Copy, Debug, Default)]
pub struct TurnUsage {
    /// The start of its next turn, if it goes on without a pause; `None` before its first one.
    next_start: Option<u64>,
}

impl TurnQueue {
    /// Joins the queue for a turn of a connection.
    pub fn join(self: &Rc<Self>, priority: Priority, usage: TurnUsage) -> TurnTicket {
        let number = self.last_ticket.get() + 1;
        self.last_ticket.set(number);
        let cost = if priority == Priority::Deferred { DEFERRED_COST } else { USUAL_COST };
        let latest = self.latest_start.get();
        let start = match usage.next_start {
            Some(next) => next.max(latest.saturating_sub(CREDIT)),
            None => latest.max(self.next_first_turn.get()),
        };
        if usage.next_start.is_none() {
            self.next_first_turn.set(start + FIRST_TURN_COST);
        }
        self.waiting.borrow_mut().insert((start, number), None);
        let (has_yielded, due) = Default::default();
        TurnTicket { queue: self.clone(), place: (start, number), cost, has_yielded, due }
    }

    /// Whether a place is among the first `of` in the queue.
    fn is_among_first(&self, place: Place, of: usize) -> bool {
        self.waiting.borrow().keys().take(of).any(|next| *next == place)
    }

    fn wake_next(&self) {
        let next: Vec<Waker> =
            self.waiting.borrow_mut().values_mut().take(TURNS_AT_A_TIME).filter_map(Option::take).collect();
        next.into_iter().for_each(Waker::wake);
    }
}

/// A place in a [`TurnQueue`]. The turn ends when this is dropped.
#[derive(Debug)]
pub struct TurnTicket {
    queue: Rc<TurnQueue>,
    place: Place,
    cost: u64,
    has_yielded: Cell<bool>,
    due: Cell<bool>,
}

impl TurnTicket {
    /// Whether the turn has come.
    pub fn is_due(&self) -> bool {
        self.due.get()
    }

    /// The usage of the connection once it has taken this turn.
    pub fn usage(&self) -> TurnUsage {
        TurnUsage { next_start: Some(self.place.0 + self.cost) }
    }

    /// Waits until the turn has come.
    pub async fn due(&self) {
        if self.is_due() {
            return;
        }
        self.next_in_queue().await;
        // Everything else that can run goes first, once: whoever waits for something besides may call this anew.
        if !self.has_yielded.replace(true) {
            future::yield_now().await;
        }
        self.due.set(true);
        self.queue.latest_start.set(self.queue.latest_start.get().max(self.place.0));
    }

    fn next_in_queue(&self) -> impl Future<Output = ()> + '_ {
        // Those that got errors alone have their turns one at a time.
        let at_a_time = if self.cost == DEFERRED_COST { 1 } else { TURNS_AT_A_TIME };
        poll_fn(move |context| {
            if self.queue.is_among_first(self.place, at_a_time) {
                return Poll::Ready(());
            }
            self.queue.waiting.borrow_mut().insert(self.place, Some(context.waker().clone()));
            Poll::Pending
        })
    }
}

impl Drop for TurnTicket {
    fn drop(&mut self) {
        self.queue.waiting.borrow_mut().remove(&self.place);
        self.queue.wake_next();
    }
}

#[cfg(test)]
mod tests;
