//! Connections to planners, one task each. Without a `planner` setting there are none. What is sent to which
//! planner is decided by [`ForwarderDriver`].

use crate::features::forwarder::{ForwarderDriver, HostAction};
use crate::interface::{Micros, Plan};
use crate::net::framed::{self, ConnectionEvent, Outbox};
use crate::net::{EventSender, NetEvent};
use async_executor::{LocalExecutor, Task};
use async_io::Timer;
use plan::frame;
use std::collections::BTreeMap;
use std::time::Duration;
use tracing::warn;

/// How many times a planned shutdown checks whether the farewells are written, and the time between checks.
const FAREWELL_CHECKS: usize = 10;
const FAREWELL_CHECK_INTERVAL: Duration = Duration::from_millis(5);

struct Connection {
    number: u64,
    outbox: Outbox,
    _task: Task<()>,
}

pub(super) struct Planners {
    pub(super) forwarding: ForwarderDriver,
    /// Open connections by slot. All descriptors of such connections are held here.
    open: BTreeMap<usize, Connection>,
    last: u64,
    wishes: Vec<HostAction>,
}

impl Planners {
    pub(super) fn new(forwarding: ForwarderDriver) -> Self {
        Planners { forwarding, open: BTreeMap::new(), last: 0, wishes: Vec::new() }
    }

    /// Handles an event of a connection. Events of earlier connections of the slot left in the queue are
    /// ignored.
    pub(super) fn handle(&mut self, now: Micros, slot: usize, number: u64, word: ConnectionEvent) {
        if self.open.get(&slot).is_none_or(|c| c.number != number) {
            return;
        }
        match word {
            ConnectionEvent::Up => self.forwarding.up(now, slot),
            ConnectionEvent::Message(message) => {
                self.forwarding.handle_message(now, slot, &message, &mut self.wishes)
            }
            ConnectionEvent::Down(why) => {
                self.open.remove(&slot);
                self.forwarding.down(now, slot, &why);
            }
        }
    }

    /// Runs due work and carries out the resulting wishes; returns a new plan for the module, if any.
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
                HostAction::Dial(slot) => self.dial(slot, executor, queue),
                HostAction::Send(slot, message) => self.send(now, slot, &message),
                HostAction::Close(slot) => {
                    self.open.remove(&slot);
                }
                HostAction::Plan(new_plan) => plan = Some(new_plan),
            }
        }
        plan
    }

    /// Sends a farewell to all planners and waits briefly until it is written.
    pub(super) async fn send_farewell(&mut self, now: Micros) {
        let mut wishes = Vec::new();
        self.forwarding.bye(&mut wishes);
        for wish in wishes {
            if let HostAction::Send(slot, message) = wish {
                self.send(now, slot, &message);
            }
        }
        for _ in 0..FAREWELL_CHECKS {
            if self.open.values().all(|c| c.outbox.is_empty()) {
                return;
            }
            Timer::after(FAREWELL_CHECK_INTERVAL).await;
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
                    self.forwarding.down(now, slot, "its send queue is full");
                }
            }
            Err(why) => warn!(
                event = "not_told",
                why = why.to_string(),
                "cannot encode a message to planner {slot}: {why}"
            ),
        }
    }
}
