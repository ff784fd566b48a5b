//! The connections of clients and watchers: the task of each, and the ways to it. Who comes and who goes is
//! the door's. Its descriptor is held here and by its task, and both let go of it in [`Downstreams::remove`]
//! alone.

use super::ports::Service;
use crate::admission::Activity;
use crate::core::{DownstreamId, Input};
use crate::net::accept::Socket;
use crate::net::downstream::{ChangedDownstreams, Link, SharedActivity, TaskMessage, WaitingFor};
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

/// A connection that has been accepted.
pub(super) struct New {
    pub(super) socket: Socket,
    pub(super) caller: Caller,
    pub(super) service: Service,
    /// Streams that it may have open.
    pub(super) streams: usize,
    /// What it has to say first.
    pub(super) waits: WaitingFor,
}

pub(super) struct Downstreams {
    open: HashMap<DownstreamId, Downstream>,
    moved: Rc<ChangedDownstreams>,
    last_id: u64,
}

impl Downstreams {
    pub(super) fn new(queue: EventSender) -> Self {
        Downstreams { open: HashMap::new(), moved: Rc::new(ChangedDownstreams::new(queue)), last_id: 0 }
    }

    /// Takes one in; its task is what `serve` makes of its link.
    pub(super) fn add<F: Future<Output = ()> + 'static>(
        &mut self,
        new: New,
        executor: &LocalExecutor<'static>,
        queue: &EventSender,
        serve: impl FnOnce(Link) -> F,
    ) -> DownstreamId {
        self.last_id += 1;
        let id = DownstreamId(self.last_id);
        // An answer to each stream, and one each of the other orders at a time.
        let (orders, ordered) = async_channel::bounded(new.streams + 3);
        let progress = Rc::new(SharedActivity::new(id, new.waits, self.moved.clone()));
        let socket = Rc::new(new.socket);
        let served = serve(Link {
            id,
            socket: socket.clone(),
            orders: ordered,
            queue: queue.clone(),
            progress: progress.clone(),
            caller: new.caller,
            input: Cell::default(),
            finishing: false,
        });
        let queue = queue.clone();
        let task = executor.spawn(async move {
            served.await;
            let _ = queue.send(NetEvent::Core(Input::DownstreamClosed(id))).await;
        });
        let service = new.service;
        let one =
            Downstream { socket, orders, progress, service, finishing: false, leaving: false, _task: task };
        self.open.insert(id, one);
        id
    }

    /// The one place where a downstream's descriptor is given back. What it showed last comes back.
    pub(super) fn remove(&mut self, id: DownstreamId) -> Option<Activity> {
        self.open.remove(&id).map(|one| one.progress.snapshot())
    }

    pub(super) fn has(&self, id: DownstreamId) -> bool {
        self.open.contains_key(&id)
    }

    /// Those that show something new, and what. While `eager` the owner is woken for the next change.
    pub(super) fn moved(&self, eager: bool) -> Vec<(DownstreamId, Activity)> {
        let shown = |id| Some((id, self.open.get(&id)?.progress.snapshot()));
        self.moved.take(eager).into_iter().filter_map(shown).collect()
    }

    /// Something it has sent waits to be read: a command may be on its way.
    pub(super) fn speaks(&self, id: DownstreamId) -> bool {
        self.open.get(&id).is_some_and(|one| !one.socket.has_nothing_unread())
    }

    /// Something it has sent waits to be read, and is read next.
    pub(super) fn reads(&self, id: DownstreamId) -> bool {
        self.speaks(id) && self.open.get(&id).is_some_and(|one| !one.progress.is_paused())
    }

    /// Tells one; the queue has room for all its answers, and one that has gone needs none.
    pub(super) fn order(&self, id: DownstreamId, order: TaskMessage) {
        if let Some(one) = self.open.get(&id) {
            let _ = one.orders.try_send(order);
        }
    }

    /// Whether one is to be read. Who was told to leave is read for good: what it has sent has to be answered.
    pub(super) fn pause(&self, id: DownstreamId, paused: bool) {
        if let Some(one) = self.open.get(&id) {
            if one.progress.pause(paused && !one.leaving) {
                let _ = one.orders.try_send(TaskMessage::Refresh);
            }
        }
    }

    /// Tells one to finish once nothing is owed to it.
    pub(super) fn finish(&mut self, id: DownstreamId) {
        if let Some(one) = self.open.get_mut(&id) {
            one.finish();
        }
    }

    /// Tells all to leave, each of them once, and reads those that were not read for want of bytes.
    pub(super) fn leave(&mut self) {
        for one in self.open.values_mut() {
            one.finishing = true;
            if !std::mem::replace(&mut one.leaving, true) {
                let _ = one.orders.try_send(TaskMessage::FinishNow);
                if one.progress.is_paused() && one.progress.pause(false) {
                    let _ = one.orders.try_send(TaskMessage::Refresh);
                }
            }
        }
    }

    /// A watcher that has sent no filter is told so rather than closed.
    pub(super) fn told(&mut self, id: DownstreamId) -> bool {
        let watcher = self.open.get_mut(&id).filter(|one| {
            one.service == Service::Tap && one.progress.waiting_for() == WaitingFor::Command && !one.finishing
        });
        watcher.map(Downstream::finish).is_some()
    }
}

#[cfg(test)]
mod tests;
