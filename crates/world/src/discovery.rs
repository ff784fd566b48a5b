//! Service discovery: the list of nodes as the agent of each proxy has it, delayed, in order, and sometimes
//! silent.
//!
//! Discovery only knows whether a process runs, drains or is gone, and when it started. A change reaches each
//! agent at its own time. An agent answers at once with what it has, and that counts as reported to the
//! proxy. While discovery is silent the agents learn nothing, and nothing counts as reported; what was due by
//! then reaches them when the silence ends.

use crate::facts::{NodeNo, ProxyNo, Status};
use crate::random::{ms, seconds, within, Random};
use crate::scenario::{Range, Scenario};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// A node's entry in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub node: NodeNo,
    pub status: Status,
    /// Start time of the node's process; `None` means long ago.
    pub started: Option<Micros>,
}

/// The kind of a change, which determines how late it is noticed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A process that ends, drains or starts again.
    Process,
    /// A machine that disappeared without notice.
    Vanished,
    Added,
}

/// A change that has reached an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListUpdate {
    pub proxy: ProxyNo,
    pub revision: u64,
    pub entry: Entry,
}

#[derive(Clone, Copy, Debug)]
struct Due {
    at: Micros,
    revision: u64,
    entry: Entry,
}

#[derive(Clone, Debug, Default)]
struct Agent {
    revision: u64,
    known: BTreeMap<NodeNo, (u64, Entry)>,
    due: VecDeque<Due>,
}

#[derive(Clone, Debug)]
pub struct Discovery {
    rng: Random,
    notice: Range,
    vanished: Range,
    added: Range,
    spread: Range,
    revision: u64,
    agents: Vec<Agent>,
    silent: bool,
}

impl Discovery {
    pub fn new(s: &Scenario, rng: Random) -> Self {
        let d = &s.discovery;
        Discovery {
            rng,
            notice: d.notice_s,
            vanished: d.vanished_s,
            added: d.added_s,
            spread: d.spread_ms,
            revision: 1,
            agents: vec![Agent { revision: 1, ..Agent::default() }; s.proxies.count as usize],
            silent: false,
        }
    }

    /// Adds an entry that every agent knows from the start.
    pub fn list(&mut self, entry: Entry) {
        for agent in &mut self.agents {
            agent.known.insert(entry.node, (self.revision, entry));
        }
    }

    /// An entry has changed; every agent learns of it after its own delay.
    pub fn change(&mut self, now: Micros, entry: Entry, notice: Notice) {
        let range = match notice {
            Notice::Process => self.notice,
            Notice::Vanished => self.vanished,
            Notice::Added => self.added,
        };
        self.revision += 1;
        let base = now + seconds(within(range, &mut self.rng));
        for agent in &mut self.agents {
            let at = base + ms(within(self.spread, &mut self.rng));
            let at = agent.due.back().map_or(at, |last| at.max(last.at));
            agent.due.push_back(Due { at, revision: self.revision, entry });
        }
    }

    /// While silent, nothing is delivered. What became due in the meantime is delivered when the silence
    /// ends, at that time and not at its original time in the past.
    pub fn silence(&mut self, now: Micros, silent: bool) {
        if self.silent && !silent {
            let due = self.agents.iter_mut().flat_map(|a| &mut a.due);
            due.for_each(|d| d.at = d.at.max(now));
        }
        self.silent = silent;
    }

    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// When the next change is delivered.
    pub fn next(&self) -> Option<Micros> {
        let first = |a: &Agent| a.due.front().map(|due| due.at);
        self.agents.iter().filter_map(first).min().filter(|_| !self.silent)
    }

    /// Delivers all changes due by now, ordered by proxy, then by change.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<ListUpdate>) {
        if self.silent {
            return;
        }
        for (i, agent) in self.agents.iter_mut().enumerate() {
            let proxy = ProxyNo(i as u32);
            while let Some(due) = agent.due.front().copied().filter(|d| d.at <= now) {
                agent.due.pop_front();
                agent.revision = due.revision;
                agent.known.insert(due.entry.node, (due.revision, due.entry));
                out.push(ListUpdate { proxy, revision: due.revision, entry: due.entry });
            }
        }
    }

    /// What a proxy's agent has: its revision, and the entries that changed after a given revision, or the
    /// whole list without removed nodes.
    pub fn known(&self, proxy: ProxyNo, after: Option<u64>) -> (u64, Vec<Entry>) {
        let Some(agent) = self.agents.get(proxy.0 as usize) else { return (0, Vec::new()) };
        let wanted = |(revision, entry): &(u64, Entry)| match after {
            Some(after) => *revision > after,
            None => entry.status != Status::Gone,
        };
        (agent.revision, agent.known.values().filter(|k| wanted(k)).map(|k| k.1).collect())
    }
}

#[cfg(test)]
mod tests;
