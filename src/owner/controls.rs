//! The connections to control machines, a task each, and what goes over them. With no `control` line there is none of
//! this. What is to be said, and to whom, is [`Following`]'s.

use crate::features::follower::{Following, Wish};
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

pub(super) struct Connections {
    pub(super) following: Following,
    /// With [`Connections::leaving`] the one place where a connection's descriptor is given back.
    open: BTreeMap<ControlId, Connection>,
    /// Connections whose last words are on their way, by their number.
    leaving: BTreeMap<u64, Connection>,
    last: u64,
    wishes: Vec<Wish>,
}

/// Connections that may be on their way out at a time; beyond, no last words are said.
const LEAVING: usize = 4;

impl Connections {
    pub(super) fn new(following: Following) -> Self {
        let (open, leaving) = (BTreeMap::new(), BTreeMap::new());
        Connections { following, open, leaving, last: 0, wishes: Vec::new() }
    }

    /// A connection's word. What an earlier connection left behind in the queue means nothing.
    pub(super) fn hear(
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
            ConnectionEvent::Message(message) => self.following.said(now, control, &message),
            ConnectionEvent::Down(why) => {
                self.open.remove(&control);
                self.following.down(now, control, &why);
            }
        }
    }

    /// Does what is due.
    pub(super) fn tick(&mut self, now: Micros, executor: &LocalExecutor<'static>, queue: &EventSender) {
        self.following.tick(now, &mut self.wishes);
        for wish in std::mem::take(&mut self.wishes) {
            match wish {
                Wish::Dial(control) => self.dial(control, executor, queue),
                Wish::Send(control, message) => self.send(now, control, &message),
                Wish::Close(control, why) => self.close(control, &why),
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
        if self.leaving.len() < LEAVING && connection.outbox.last(frame::refusal(why)) {
            self.leaving.insert(connection.number, connection);
        }
    }

    fn send(&mut self, now: Micros, control: ControlId, message: &Message) {
        let Some(connection) = self.open.get(&control) else { return };
        match frame::encode(message) {
            Ok(bytes) => {
                if !connection.outbox.push(bytes.into()) {
                    self.open.remove(&control);
                    self.following.down(now, control, "it does not take what it is told");
                }
            }
            Err(why) => {
                let (number, why) = (control.0, why.to_string());
                warn!(event = "not_told", why, "control machine {number} is not told: {why}");
            }
        }
    }
}
