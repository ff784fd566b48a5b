//! Connections to nodes and the origin, one task each. When to dial, what to send and when to close is
//! decided by the core.

use crate::admission::{HeldMemory, HeldShare, ReservationBudget};
use crate::core::{ConnectionId, Job, Stage};
use crate::net::upstream::{run_connection, JobQueue, ReplyMemory, UpstreamProtocol};
use crate::net::EventSender;
use async_channel::Sender;
use async_executor::{LocalExecutor, Task};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

struct Upstream {
    jobs: Sender<Job>,
    given: JobQueue,
    _task: Task<()>,
}

pub(super) struct Upstreams {
    open: HashMap<ConnectionId, Upstream>,
    /// The column names in load reports.
    columns: Rc<Vec<String>>,
    held: Rc<HeldMemory>,
    /// The room for replies that are arriving.
    replies: Rc<ReservationBudget>,
}

impl Upstreams {
    /// `held` counts the memory held for all connections; `replies` bounds the replies that arrive on them.
    pub(super) fn new(columns: Vec<String>, held: Rc<HeldMemory>, replies: Rc<ReservationBudget>) -> Self {
        Upstreams { open: HashMap::new(), columns: Rc::new(columns), held, replies }
    }

    pub(super) fn dial(
        &mut self,
        id: ConnectionId,
        address: SocketAddr,
        dialect: UpstreamProtocol,
        executor: &LocalExecutor<'static>,
        queue: &EventSender,
    ) {
        // One request at a time: a second job is never queued.
        let (jobs, receiver) = async_channel::bounded(1);
        let given = JobQueue::from(receiver);
        let memory = ReplyMemory::new(HeldShare::new(self.held.clone()), self.replies.clone());
        let columns = self.columns.clone();
        let connection_task =
            run_connection(id, address, dialect, given.clone(), queue.clone(), columns, memory);
        let task = executor.spawn(connection_task);
        self.open.insert(id, Upstream { jobs, given, _task: task });
    }

    pub(super) fn write(&self, id: ConnectionId, job: Job) {
        if let Some(upstream) = self.open.get(&id) {
            upstream.given.job_queued();
            let _ = upstream.jobs.try_send(job);
        }
    }

    /// Withdraws a job that nobody waits for, unless its last byte is written; returns how far the job had
    /// got.
    pub(super) fn withdraw(&self, id: ConnectionId) -> Option<Stage> {
        let given = &self.open.get(&id)?.given;
        match given.take_back() {
            true => Some(Stage::Idle),
            false => (!given.is_fully_written()).then_some(Stage::Writing),
        }
    }

    /// Closes a connection. All upstream descriptors are released here.
    pub(super) fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }
}
