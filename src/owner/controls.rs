//! Connections to control machines, one task each. Without a `control` setting there are none. What is sent
//! to which machine is decided by [`FollowerDriver`].

use crate::features::follower::{FollowerDriver, HostAction};
use crate::interface::Micros;
use crate::net::framed::{self, ConnectionEvent, Outbox};
use crate::net::{EventSender, NetEvent};
use async_executor::{LocalExecutor, Task};
use dissemination::frame::{self, CloseReason};
use dissemination::{ControlId, Message};
use std::collections::BTreeMap;
use tracing::warn;

struct Connection {
    number: u64,
    outbox: Outbox,
    _task: Task<()>,
}

pub(super) struct Controls {
    pub(super) following: FollowerDriver,
    /// Open connections. Together with [`Controls::leaving`] this holds all descriptors of such connections.
    open: BTreeMap<ControlId, Connection>,
    /// Connections that are closed once their final message is written, by connection number.
    leaving: BTreeMap<u64, Connection>,
    last: u64,
    wishes: Vec<HostAction>,
}

/// The maximum number of connections closing this way; beyond it no final message is sent.
const MAX_LEAVING: usize = 4;

impl Controls {
    pub(super) fn new(following: FollowerDriver) -> Self {
        let (open, leaving) = (BTreeMap::new(), BTreeMap::new());
        Controls { following, open, leaving, last: 0, wishes: Vec::new() }
    }

    /// Handles an event of a connection. Events of earlier connections left in the queue are ignored.
    pub(super) fn handle(
        &mut self,
        now: Micros,
        control: ControlId,
        number: u64,
        word: ConnectionEvent<Message>,
    ) {
        if matches!(word, ConnectionEvent::Down(_)) {
            self.leaving.remove(&number);
        }
        if self.open.get(&control).is_none_or(|c| c.number != number) {
            return;
        }
        match word {
            ConnectionEvent::Up => self.following.up(now, control),
            ConnectionEvent::Message(message) => self.following.handle_message(now, control, &message),
            ConnectionEvent::Down(why) => {
                self.open.remove(&control);
                self.following.down(now, control, &why);
            }
        }
    }

    /// Runs due work and carries out the resulting wishes.
    pub(super) fn tick(&mut self, now: Micros, executor: &LocalExecutor<'static>, queue: &EventSender) {
        self.following.tick(now, &mut self.wishes);
        for wish in std::mem::take(&mut self.wishes) {
            match wish {
                HostAction::Dial(control) => self.dial(control, executor, queue),
                HostAction::Send(control, message) => self.send(now, control, &message),
                HostAction::Close(control, why) => self.close(control, &why),
            }
        }
    }

    fn dial(&mut self, control: ControlId, executor: &LocalExecutor<'static>, queue: &EventSender) {
        let Some(address) = self.following.address(control) else { return };
        self.last += 1;
        let (number, (outbox, inbox)) = (self.last, framed::outbox_for::<Message>());
        let word = move |word| NetEvent::Control(control, number, word);
        let task = executor.spawn(framed::dial(address, inbox, queue.clone(), word));
        self.open.insert(control, Connection { number, outbox, _task: task });
    }

    fn close(&mut self, control: ControlId, why: &CloseReason) {
        let Some(connection) = self.open.remove(&control) else { return };
        if self.leaving.len() < MAX_LEAVING && connection.outbox.last(frame::refusal(why)) {
            self.leaving.insert(connection.number, connection);
        }
    }

    fn send(&mut self, now: Micros, control: ControlId, message: &Message) {
        let Some(connection) = self.open.get(&control) else { return };
        match frame::encode(message) {
            Ok(bytes) => {
                if !connection.outbox.push(bytes.into()) {
                    self.open.remove(&control);
                    self.following.down(now, control, "its send queue is full");
                }
            }
            Err(why) => {
                let (number, why) = (control.0, why.to_string());
                warn!(event = "not_told", why, "cannot encode a message to control machine {number}: {why}");
            }
        }
    }
}
