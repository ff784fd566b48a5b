//! The address of discovery and the watch on it. The address is the only setting that a reload changes.

use crate::config;
use crate::core::Input;
use crate::net::{cluster, EventSender, WatchEvent};
use crate::settings::Site;
use async_executor::{LocalExecutor, Task};
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{info, warn};

pub(super) struct Discovery {
    /// The path of the configuration file.
    path: String,
    address: SocketAddr,
    /// The number of watches opened so far. Events of an earlier one may still be queued when the next is
    /// opened.
    opened: u64,
    watch: Option<Task<()>>,
    /// The last watch that has sent a list, kept until the present one sends one: its lists are valid, and
    /// while the present call is unanswered they are better than nothing.
    previous: Option<(u64, Task<()>)>,
    /// Whether the present watch has sent a list or a keep-alive.
    active: bool,
}

impl Discovery {
    pub(super) fn new(path: String, address: SocketAddr) -> Self {
        Discovery { path, address, opened: 0, watch: None, previous: None, active: false }
    }

    /// Opens a new watch. A watch that has sent something is kept until the new one has; an unanswered call
    /// is dropped.
    pub(super) fn watch(
        &mut self,
        after: Option<u64>,
        executor: &LocalExecutor<'static>,
        queue: &EventSender,
        site: &Rc<Site>,
    ) {
        if std::mem::take(&mut self.active) {
            self.previous = self.watch.take().map(|task| (self.opened, task));
        }
        self.opened += 1;
        let watch = cluster::watch(self.opened, self.address, after, queue.clone(), site.clone());
        self.watch = Some(executor.spawn(watch));
    }

    /// Converts an event of a watch into an input for the core. An earlier watch says nothing about the state
    /// of the present one, but its lists are used until the present one has sent something.
    pub(super) fn handle(&mut self, number: u64, heard: WatchEvent) -> Option<Input> {
        let current = number == self.opened;
        if current && matches!(heard, WatchEvent::Update(_)) {
            (self.active, self.previous) = (true, None);
        }
        match heard {
            WatchEvent::Answered if current => Some(Input::Cluster(None)),
            WatchEvent::Update(list) if current => Some(Input::Cluster(list)),
            WatchEvent::Ended if current => Some(Input::WatchEnded),
            WatchEvent::Update(Some(list)) if !self.active => Some(Input::PreviousWatch(list)),
            WatchEvent::Answered | WatchEvent::Update(_) | WatchEvent::Ended => None,
        }
    }

    /// Reloads the configuration file; returns whether it was valid. Only `discovery` takes effect: streams,
    /// connections and the module's state are kept.
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
