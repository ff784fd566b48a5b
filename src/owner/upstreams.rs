//! The connections to nodes and the origin: a task each. When to dial, what to send and when to close is the
//! core's.

use crate::core::{ConnectionId, Job, Stage};
use crate::net::upstream::{run_connection, JobQueue, UpstreamProtocol};
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
    /// The names in load reports.
    columns: Rc<Vec<String>>,
}

impl Upstreams {
    pub(super) fn new(columns: Vec<String>) -> Self {
        Upstreams { open: HashMap::new(), columns: Rc::new(columns) }
    }

    pub(super) fn dial(
        &mut self,
        id: ConnectionId,
        address: SocketAddr,
        dialect: UpstreamProtocol,
        executor: &LocalExecutor<'static>,
        queue: &EventSender,
    ) {
        // One request at a time: there is never a second job to wait.
        let (jobs, taken) = async_channel::bounded(1);
        let given = JobQueue::from(taken);
        let carried =
            run_connection(id, address, dialect, given.clone(), queue.clone(), self.columns.clone());
        let task = executor.spawn(carried);
        self.open.insert(id, Upstream { jobs, given, _task: task });
    }

    pub(super) fn write(&self, id: ConnectionId, job: Job) {
        if let Some(upstream) = self.open.get(&id) {
            upstream.given.job_queued();
            let _ = upstream.jobs.try_send(job);
        }
    }

    /// Takes a job back that nobody waits for, unless its last byte is out: how far it was.
    pub(super) fn withdraw(&self, id: ConnectionId) -> Option<Stage> {
        let given = &self.open.get(&id)?.given;
        match given.take_back() {
            true => Some(Stage::Idle),
            false => (!given.is_fully_written()).then_some(Stage::Writing),
        }
    }

    /// The one place where an upstream descriptor is given back.
    pub(super) fn close(&mut self, id: ConnectionId) {
        self.open.remove(&id);
    }
}
