//! Discovery on sockets: each proxy's agent answers at once with what it has been told, and says nothing while
//! discovery is down.

use super::agenda::Due;
use super::Stage;
use crate::loopback::settings;
use crate::loopback::socket::speech::{self, Command};
use crate::loopback::socket::LinkId;
use serde_json::Value;
use world::discovery::{Entry, ListUpdate};
use world::facts::ProxyNo;
use world::Micros;

/// A sign of life on a watch comes this often.
const LIFE: Micros = 2_000_000;

impl Stage {
    fn entries(&self, proxy: ProxyNo, entries: &[Entry]) -> Vec<Value> {
        let one = |e: &Entry| {
            let member = self.world.member(e.node);
            let address = self.address(proxy, e.node);
            settings::member(self.world.scenario(), member, e, address, &self.clock)
        };
        entries.iter().map(one).collect()
    }

    /// What a proxy's agent has: what changed after a revision, or the whole list.
    pub(super) fn known(&self, proxy: ProxyNo, after: Option<u64>) -> Value {
        let (revision, entries) = self.world.discovery().known(proxy, after);
        settings::list(revision, after.is_none(), self.entries(proxy, &entries))
    }

    pub(super) fn asked_list(&mut self, id: LinkId, command: Command) {
        let Some(connection) = self.links.get(&id) else { return };
        let proxy = connection.proxy;
        let mut out = Vec::new();
        match command {
            Command::List => {
                let list = self.known(proxy, None).to_string();
                let headers = [("Content-Type", "application/json")];
                speech::put_response(&mut out, 200, &headers, list.as_bytes());
            }
            Command::Watch { after } => {
                speech::put_stream(&mut out);
                let list = format!("{}\n", self.known(proxy, after));
                speech::put_chunk(&mut out, list.as_bytes());
            }
            _ => speech::put_response(&mut out, 404, &[], b""),
        }
        let watches = matches!(command, Command::Watch { .. });
        if let Some(connection) = self.links.get_mut(&id) {
            connection.watches |= watches;
            connection.link().answer(out);
        }
    }

    fn write_watchers(&self, wanted: impl Fn(ProxyNo) -> bool, text: &str) {
        let mut chunk = Vec::new();
        speech::put_chunk(&mut chunk, text.as_bytes());
        for connection in self.links.values().filter(|l| l.watches && wanted(l.proxy)) {
            connection.link().write(chunk.clone());
        }
    }

    /// Something has reached a proxy's agent.
    pub(super) fn tell_watchers(&mut self, news: &ListUpdate) {
        let list = settings::list(news.revision, false, self.entries(news.proxy, &[news.entry]));
        self.write_watchers(|proxy| proxy == news.proxy, &format!("{list}\n"));
    }

    pub(super) fn heartbeat(&mut self, at: Micros) {
        if !self.world.discovery().is_silent() {
            self.write_watchers(|_| true, "\n");
        }
        self.agenda.add(at + LIFE, Due::Heartbeat);
    }
}
