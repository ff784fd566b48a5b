//! Discovery: the list of nodes as each proxy's agent has it, late, in order, and at times silent.
//!
//! It knows only whether a process runs, drains or is gone, and when it started. A change reaches the agents at
//! times of their own; an agent answers at once with what it has, and that counts as told. While discovery is silent the
//! agents learn nothing, and nothing counts as told; what was due by then reaches them as the silence ends.

use crate::facts::{NodeNo, ProxyNo, Status};
use crate::random::{ms, seconds, within, Random};
use crate::scenario::{Range, Scenario};
use crate::Micros;
use std::collections::{BTreeMap, VecDeque};

/// What is said of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    pub node: NodeNo,
    pub status: Status,
    /// When its process last started; `None` is long ago.
    pub started: Option<Micros>,
}

/// Why a change is noticed, which says how late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Notice {
    /// A process that ends, drains or starts again.
    Process,
    /// A machine that said nothing when it went.
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

    /// Known to every agent from the start.
    pub fn list(&mut self, entry: Entry) {
        for agent in &mut self.agents {
            agent.known.insert(entry.node, (self.revision, entry));
        }
    }

    /// Something has changed; every agent hears of it in its time.
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

    /// Nothing is told until it is over; what was due by then is told then, not at its own time in the initial_contents.
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

    /// When the next change is told.
    pub fn next(&self) -> Option<Micros> {
        let first = |a: &Agent| a.due.front().map(|due| due.at);
        self.agents.iter().filter_map(first).min().filter(|_| !self.silent)
    }

    /// All that is told by now, in the order of proxies and changes.
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

    /// What a proxy's agent has: its revision, and the entries that changed after a revision, or the whole list
    /// (without what is gone).
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
