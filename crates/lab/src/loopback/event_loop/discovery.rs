//! Discovery on sockets: each proxy's agent answers at once from the list it has, and is silent while
//! discovery is down.

use super::timers::TimerEvent;
use super::EventLoop;
use crate::loopback::settings;
use crate::loopback::socket::wire::{self, Command};
use crate::loopback::socket::LinkId;
use serde_json::Value;
use world::discovery::{Entry, ListUpdate};
use world::facts::ProxyNo;
use world::Micros;

/// Interval of heartbeats on a watch.
const HEARTBEAT_INTERVAL: Micros = 2_000_000;

impl EventLoop {
    fn entries(&self, proxy: ProxyNo, entries: &[Entry]) -> Vec<Value> {
        let one = |e: &Entry| {
            let member = self.world.member(e.node);
            let address = self.address(proxy, e.node);
            settings::member(self.world.scenario(), member, e, address, &self.clock)
        };
        entries.iter().map(one).collect()
    }

    /// The list as the proxy's agent knows it: the changes after a revision, or the whole list.
    pub(super) fn known(&self, proxy: ProxyNo, after: Option<u64>) -> Value {
        let (revision, entries) = self.world.discovery().known(proxy, after);
        settings::list(revision, after.is_none(), self.entries(proxy, &entries))
    }

    pub(super) fn handle_discovery_command(&mut self, id: LinkId, command: Command) {
        let Some(connection) = self.links.get(&id) else { return };
        let proxy = connection.proxy;
        let mut out = Vec::new();
        match command {
            Command::List => {
                let list = self.known(proxy, None).to_string();
                let headers = [("Content-Type", "application/json")];
                wire::put_response(&mut out, 200, &headers, list.as_bytes());
            }
            Command::Watch { after } => {
                wire::put_stream(&mut out);
                let list = format!("{}\n", self.known(proxy, after));
                wire::put_chunk(&mut out, list.as_bytes());
            }
            _ => wire::put_response(&mut out, 404, &[], b""),
        }
        let watches = matches!(command, Command::Watch { .. });
        if let Some(connection) = self.links.get_mut(&id) {
            connection.watches |= watches;
            connection.link().answer(out);
        }
    }

    fn write_watchers(&self, wanted: impl Fn(ProxyNo) -> bool, text: &str) {
        let mut chunk = Vec::new();
        wire::put_chunk(&mut chunk, text.as_bytes());
        for connection in self.links.values().filter(|l| l.watches && wanted(l.proxy)) {
            connection.link().write(chunk.clone());
        }
    }

    /// Sends an update that has reached a proxy's agent to that proxy's watchers.
    pub(super) fn send_to_watchers(&mut self, update: &ListUpdate) {
        let list = settings::list(update.revision, false, self.entries(update.proxy, &[update.entry]));
        self.write_watchers(|proxy| proxy == update.proxy, &format!("{list}\n"));
    }

    pub(super) fn heartbeat(&mut self, at: Micros) {
        if !self.world.discovery().is_silent() {
            self.write_watchers(|_| true, "\n");
        }
        self.timers.add(at + HEARTBEAT_INTERVAL, TimerEvent::Heartbeat);
    }
}
