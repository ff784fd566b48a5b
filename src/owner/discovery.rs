//! Where discovery is, the watch on it, and the one thing that a reload of the configuration changes: its
//! address.

use crate::config;
use crate::core::Input;
use crate::net::{cluster, EventSender, WatchEvent};
use crate::settings::Site;
use async_executor::{LocalExecutor, Task};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

pub(super) struct Discovery {
    /// The configuration's file.
    path: String,
    address: SocketAddr,
    /// The watches made so far. NetEvent of one may still be in the queue when the next is made.
    made: u64,
    watch: Option<Task<()>>,
    /// The last watch that has spoken, until the present one does: what it told counts, and what it may yet tell is
    /// better than nothing while the present call has no answer.
    before: Option<(u64, Task<()>)>,
    /// The present one has told something.
    spoken: bool,
}

impl Discovery {
    pub(super) fn new(path: String, address: SocketAddr) -> Self {
        Discovery { path, address, made: 0, watch: None, before: None, spoken: false }
    }

    /// Watches anew. A watch that has spoken lives on till the new one has; a call without an answer is given up.
    pub(super) fn watch(
        &mut self,
        after: Option<u64>,
        executor: &LocalExecutor<'static>,
        queue: &EventSender,
        site: &Rc<Site>,
    ) {
        if std::mem::take(&mut self.spoken) {
            self.before = self.watch.take().map(|task| (self.made, task));
        }
        self.made += 1;
        let watch = cluster::watch(self.made, self.address, after, queue.clone(), site.clone());
        self.watch = Some(executor.spawn(watch));
    }

    /// What a watch tells, for the core. That of one before the present says nothing of the present one; its lists
    /// hold until the present one has spoken.
    pub(super) fn hear(&mut self, number: u64, heard: WatchEvent) -> Option<Input> {
        let present = number == self.made;
        if present && matches!(heard, WatchEvent::Update(_)) {
            (self.spoken, self.before) = (true, None);
        }
        match heard {
            WatchEvent::Answered if present => Some(Input::Cluster(None)),
            WatchEvent::Update(list) if present => Some(Input::Cluster(list)),
            WatchEvent::Ended if present => Some(Input::WatchEnded),
            WatchEvent::Update(Some(list)) if !self.spoken => Some(Input::PreviousWatch(list)),
            WatchEvent::Answered | WatchEvent::Update(_) | WatchEvent::Ended => None,
        }
    }

    /// Reads the configuration again; whether it could be used. Only `discovery` takes effect: streams,
    /// connections and what the module has learnt live on.
    pub(super) fn reload(&mut self) -> bool {
        match config::load(&self.path) {
            Ok(config) => {
                let discovery = config.discovery;
                info!(event = "reloaded", %discovery, "reloaded: discovery at {discovery}");
                self.address = discovery;
                true
            }
            Err(why) => {
                warn!(event = "not_reloaded", why, "not reloaded, the old configuration stays: {why}");
                false
            }
        }
    }
}

#[cfg(test)]
mod tests;
