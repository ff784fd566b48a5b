//! Connections of clients and tap watchers: their tasks and the channels to them. Who is accepted and who is
//! closed is decided by the door. Each descriptor is held here and by its task, and both release it only in
//! [`Downstreams::remove`].

use super::ports::Service;
use crate::admission::{Activity, HeldMemory, HeldShare, InputMemory, ReservationBudget};
use crate::core::{DownstreamId, Input};
use crate::net::accept::Socket;
use crate::net::downstream::{
    ChangedDownstreams, InputState, InputWait, Link, SharedActivity, TaskMessage, WaitingFor,
};
use crate::net::turns::TurnQueue;
use crate::net::{Caller, EventSender, NetEvent};
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use std::cell::Cell;
use std::collections::HashMap;
use std::future::Future;
use std::rc::Rc;

struct Downstream {
    socket: Rc<Socket>,
    orders: Sender<TaskMessage>,
    progress: Rc<SharedActivity>,
    service: Service,
    finishing: bool,
    leaving: bool,
    _task: Task<()>,
}

impl Downstream {
    fn finish(&mut self) {
        if !std::mem::replace(&mut self.finishing, true) {
            let _ = self.orders.try_send(TaskMessage::Finish);
        }
    }
}

/// A newly accepted connection.
pub(super) struct NewDownstream {
    pub(super) socket: Socket,
    pub(super) caller: Caller,
    pub(super) service: Service,
    /// The maximum number of open streams.
    pub(super) streams: usize,
    /// What the downstream has to send first.
    pub(super) waits: WaitingFor,
}

pub(super) struct Downstreams {
    open: HashMap<DownstreamId, Downstream>,
    moved: Rc<ChangedDownstreams>,
    held: Rc<HeldMemory>,
    answers: Rc<ReservationBudget>,
    input_memory: Rc<InputMemory>,
    turns: Rc<TurnQueue>,
    last_id: u64,
}

impl Downstreams {
    /// `held` counts the memory held for all connections; `answers` bounds the answers that wait in all of
    /// them, `input_memory` what their clients send.
    pub(super) fn new(
        queue: EventSender,
        held: Rc<HeldMemory>,
        answers: Rc<ReservationBudget>,
        input_memory: Rc<InputMemory>,
    ) -> Self {
        let moved = Rc::new(ChangedDownstreams::new(queue));
        let (open, turns) = (HashMap::new(), Rc::default());
        Downstreams { open, moved, held, answers, input_memory, turns, last_id: 0 }
    }

    /// Adds a downstream; `serve` makes its task from its link.
    pub(super) fn add<F: Future<Output = ()> + 'static>(
        &mut self,
        new: NewDownstream,
        executor: &LocalExecutor<'static>,
        queue: &EventSender,
        serve: impl FnOnce(Link) -> F,
    ) -> DownstreamId {
        self.last_id += 1;
        let id = DownstreamId(self.last_id);
        // Room for an answer to each stream and one of each other order at a time.
        let (orders, order_receiver) = async_channel::bounded(new.streams + 3);
        let progress = Rc::new(SharedActivity::new(id, new.waits, self.moved.clone()));
        let socket = Rc::new(new.socket);
        let task_future = serve(Link {
            id,
            socket: socket.clone(),
            orders: order_receiver,
            queue: queue.clone(),
            progress: progress.clone(),
            caller: new.caller,
            held: HeldShare::new(self.held.clone()),
            answers: self.answers.clone(),
            input_memory: self.input_memory.clone(),
            turns: self.turns.clone(),
            input: Cell::default(),
            finishing: false,
        });
        let queue = queue.clone();
        let task = executor.spawn(async move {
            task_future.await;
            let _ = queue.send(NetEvent::Core(Input::DownstreamClosed(id))).await;
        });
        let service = new.service;
        let downstream =
            Downstream { socket, orders, progress, service, finishing: false, leaving: false, _task: task };
        self.open.insert(id, downstream);
        id
    }

    /// Removes a downstream and releases its descriptor; returns its last reported progress. All downstream
    /// descriptors are released here.
    pub(super) fn remove(&mut self, id: DownstreamId) -> Option<Activity> {
        self.open.remove(&id).map(|downstream| downstream.progress.snapshot())
    }

    pub(super) fn has(&self, id: DownstreamId) -> bool {
        self.open.contains_key(&id)
    }

    /// Downstreams with new progress. With `eager`, the event loop is woken for the next change.
    pub(super) fn changed(&self, eager: bool) -> Vec<(DownstreamId, Activity)> {
        let shown = |id| Some((id, self.open.get(&id)?.progress.snapshot()));
        self.moved.take(eager).into_iter().filter_map(shown).collect()
    }

    /// The port of a downstream and what its input waits for.
    pub(super) fn input(&self, id: DownstreamId) -> Option<(Service, InputState)> {
        self.open.get(&id).map(|downstream| (downstream.service, downstream.progress.input()))
    }

    /// What the input of each downstream waits for. Visits all of them.
    pub(super) fn input_waits(&self) -> impl Iterator<Item = (Service, InputWait)> + '_ {
        self.open.values().map(|downstream| (downstream.service, downstream.progress.input().wait))
    }

    /// Whether the downstream has sent unread bytes: a command may be on its way.
    pub(super) fn has_unread(&self, id: DownstreamId) -> bool {
        self.open.get(&id).is_some_and(|downstream| !downstream.socket.has_nothing_unread())
    }

    /// Whether the downstream has sent unread bytes that may complete a command.
    pub(super) fn may_have_unread_command(&self, id: DownstreamId) -> bool {
        let unread =
            |downstream: &Downstream| downstream.socket.has_unread(downstream.progress.missing_bytes());
        self.open.get(&id).is_some_and(unread)
    }

    /// Whether the downstream has sent unread bytes and is not paused, so they are read next.
    pub(super) fn reads_next(&self, id: DownstreamId) -> bool {
        self.has_unread(id) && self.open.get(&id).is_some_and(|downstream| !downstream.progress.is_paused())
    }

    /// Sends an order to a downstream. The channel has room for all its answers; a closed downstream needs
    /// none.
    pub(super) fn order(&self, id: DownstreamId, order: TaskMessage) {
        if let Some(downstream) = self.open.get(&id) {
            let _ = downstream.orders.try_send(order);
        }
    }

    /// Pauses or resumes reading from a downstream. One that was told to leave stays readable: everything it
    /// has sent must be answered.
    pub(super) fn pause(&self, id: DownstreamId, paused: bool) {
        if let Some(downstream) = self.open.get(&id) {
            if downstream.progress.pause(paused && !downstream.leaving) {
                let _ = downstream.orders.try_send(TaskMessage::Refresh);
            }
        }
    }

    /// Tells a downstream to finish once everything is answered.
    pub(super) fn finish(&mut self, id: DownstreamId) {
        if let Some(downstream) = self.open.get_mut(&id) {
            downstream.finish();
        }
    }

    /// Tells each downstream once to leave, and resumes those paused because of the byte limit.
    pub(super) fn leave(&mut self) {
        for downstream in self.open.values_mut() {
            downstream.finishing = true;
            if !std::mem::replace(&mut downstream.leaving, true) {
                let _ = downstream.orders.try_send(TaskMessage::FinishNow);
                if downstream.progress.is_paused() && downstream.progress.pause(false) {
                    let _ = downstream.orders.try_send(TaskMessage::Refresh);
                }
            }
        }
    }

    /// A tap watcher that has sent no filter is told so and finished, rather than just closed. Returns
    /// whether this applied.
    pub(super) fn finish_unsubscribed(&mut self, id: DownstreamId) -> bool {
        let watcher = self.open.get_mut(&id).filter(|downstream| {
            downstream.service == Service::Tap
                && downstream.progress.waiting_for() == WaitingFor::Command
                && !downstream.finishing
        });
        watcher.map(Downstream::finish).is_some()
    }
}

#[cfg(test)]
mod tests;
