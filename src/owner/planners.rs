//! The connections to planners, a task each, and what goes over them. With no `planner` line there is none of
//! this. What is to be said, and to whom, is [`Forwarding`]'s.

use crate::features::forwarder::{Forwarding, Wish};
use crate::interface::{Micros, Plan};
use crate::net::framed::{self, ConnectionEvent, Outbox};
use crate::net::{EventSender, NetEvent};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use plan::frame;
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::warn;

/// How often a planned end looks whether the last words are out, and after what time each.
const FAREWELLS: usize = 10;
const FAREWELL: Duration = Duration::from_millis(5);

struct Connection {
    number: u64,
    outbox: Outbox,
    _task: Task<()>,
}

pub(super) struct Planners {
    pub(super) forwarding: Forwarding,
    /// By slot; the one place where a connection's descriptor is given back.
    open: BTreeMap<usize, Connection>,
    last: u64,
    wishes: Vec<Wish>,
}

impl Planners {
    pub(super) fn new(forwarding: Forwarding) -> Self {
        Planners { forwarding, open: BTreeMap::new(), last: 0, wishes: Vec::new() }
    }

    /// A connection's word. What an earlier connection of a slot left behind in the queue means nothing.
    pub(super) fn hear(&mut self, now: Micros, slot: usize, number: u64, word: ConnectionEvent) {
        if self.open.get(&slot).is_none_or(|c| c.number != number) {
            return;
        }
        match word {
            ConnectionEvent::Up => self.forwarding.up(now, slot),
            ConnectionEvent::Message(message) => self.forwarding.said(now, slot, &message, &mut self.wishes),
            ConnectionEvent::Down(why) => {
                self.open.remove(&slot);
                self.forwarding.down(now, slot, &why);
            }
        }
    }

    /// Does what is due. What the module is to be told comes back.
    pub(super) fn tick(
        &mut self,
        now: Micros,
        executor: &LocalExecutor<'static>,
        queue: &EventSender,
    ) -> Option<Plan> {
        self.forwarding.tick(now, &mut self.wishes);
        let mut plan = None;
        for wish in std::mem::take(&mut self.wishes) {
            match wish {
                Wish::Dial(slot) => self.dial(slot, executor, queue),
                Wish::Send(slot, message) => self.send(now, slot, &message),
                Wish::Close(slot) => {
                    self.open.remove(&slot);
                }
                Wish::Plan(told) => plan = Some(told),
            }
        }
        plan
    }

    /// Says farewell to all; waits a moment for it to be written.
    pub(super) async fn bye(&mut self, now: Micros) {
        let mut wishes = Vec::new();
        self.forwarding.bye(&mut wishes);
        for wish in wishes {
            if let Wish::Send(slot, message) = wish {
                self.send(now, slot, &message);
            }
        }
        for _ in 0..FAREWELLS {
            if self.open.values().all(|c| c.outbox.is_empty()) {
                return;
            }
            Timer::after(FAREWELL).await;
        }
    }

    fn dial(&mut self, slot: usize, executor: &LocalExecutor<'static>, queue: &EventSender) {
        let Some(address) = self.forwarding.address(slot) else { return };
        self.last += 1;
        let (number, (outbox, inbox)) = (self.last, framed::outbox());
        let word = move |word| NetEvent::Planner(slot, number, word);
        let task = executor.spawn(framed::dial(address, inbox, queue.clone(), word));
        self.open.insert(slot, Connection { number, outbox, _task: task });
    }

    fn send(&mut self, now: Micros, slot: usize, message: &plan::Message) {
        let Some(connection) = self.open.get(&slot) else { return };
        match frame::encode(message) {
            Ok(bytes) => {
                if !connection.outbox.push(bytes.into()) {
                    self.open.remove(&slot);
                    self.forwarding.down(now, slot, "it does not take what it is told");
                }
            }
            Err(why) => warn!(event = "not_told", why = why.to_string(), "planner {slot} is not told: {why}"),
        }
    }
}
