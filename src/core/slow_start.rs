//! What each server in slow start was sent by this proxy: told in the log when slow start begins and when it is over.
//!
//! It owns the counts of those servers and nothing else; what may be sent is decided by the decision module. Adding the
//! lines of all proxies up gives the load that a server bore while its capacity was reduced.

use crate::codec::discovery::Listed;
use crate::interface::{Member, Micros, Phase, ServerId, SlowStartStatus};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Servers that are followed at the most; one beyond them has no line.
const ROWS: usize = 4096;
/// Attempts within one window that are remembered for each server; more are counted as this many.
const RECENT: usize = 1024;

/// Why the slow start of a server is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Warm,
    Restarted,
    NotListed,
    Draining,
}

impl End {
    fn name(self) -> &'static str {
        match self {
            End::Warm => "warm",
            End::Restarted => "started again",
            End::NotListed => "no longer listed",
            End::Draining => "draining",
        }
    }
}

struct Row {
    name: Rc<str>,
    started: Micros,
    attempts: u64,
    recent: VecDeque<Micros>,
    /// Most attempts within one window, and the server's age at the last of them.
    most: usize,
    most_at: Micros,
    /// What the decision module made of the server then.
    sight: Option<SlowStartStatus>,
}

impl Row {
    fn new(name: Rc<str>, started: Micros) -> Self {
        Row { name, started, attempts: 0, recent: VecDeque::new(), most: 0, most_at: 0, sight: None }
    }

    fn line(&self, now: Micros, window: Micros, end: End) -> String {
        let seconds = |span: Micros| span as f64 / 1e6;
        let sight = self.sight.map(|s| format!(", then {s}")).unwrap_or_default();
        format!(
            "slow start of {} is over after {:.1} s, {}: {} attempts, at most {} within {:.1} s at an age of {:.1} s{sight}",
            self.name,
            seconds(now - self.started),
            end.name(),
            self.attempts,
            self.most,
            seconds(window),
            seconds(self.most_at),
        )
    }
}

/// The servers in slow start.
pub(super) struct SlowStartLog {
    rows: BTreeMap<ServerId, Row>,
    duration: Micros,
    window: Micros,
}

impl SlowStartLog {
    /// `duration` is how long slow start lasts, `window` the time over which a server's load is judged, in us.
    pub fn new(duration: Micros, window: Micros) -> Self {
        SlowStartLog { rows: BTreeMap::new(), duration, window }
    }

    /// How many servers are followed.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Takes over a list, or what changed in it; the lines that come of it.
    pub fn listed(&mut self, now: Micros, nodes: &[Listed], whole: bool) -> Vec<String> {
        let mut lines = Vec::new();
        if whole {
            let absent = |id: &ServerId| !nodes.iter().any(|l| l.member.server == *id);
            let absent: Vec<ServerId> = self.rows.keys().copied().filter(absent).collect();
            for id in absent {
                lines.extend(self.end(now, id, End::NotListed));
            }
        }
        for listed in nodes {
            lines.extend(self.entry(now, listed));
        }
        lines
    }

    fn entry(&mut self, now: Micros, listed: &Listed) -> Vec<String> {
        let member = &listed.member;
        let mut lines = Vec::new();
        let end = match member.phase {
            Phase::Gone => Some(End::NotListed),
            Phase::Draining => Some(End::Draining),
            Phase::Ready => {
                let again = self.rows.get(&member.server).is_some_and(|r| Some(r.started) != member.started);
                again.then_some(End::Restarted)
            }
        };
        if let Some(end) = end {
            lines.extend(self.end(now, member.server, end));
        }
        lines.extend(self.begin(now, member, &listed.name));
        lines
    }

    fn begin(&mut self, now: Micros, member: &Member, name: &Rc<str>) -> Option<String> {
        let started = member.started.filter(|_| member.phase == Phase::Ready)?;
        let new = member.age(now) < self.duration && !self.rows.contains_key(&member.server);
        if !new || self.rows.len() >= ROWS {
            return None;
        }
        self.rows.insert(member.server, Row::new(name.clone(), started));
        Some(format!("slow start of {name}: listed {:.1} s after its start", (now - started) as f64 / 1e6))
    }

    /// An attempt goes there.
    pub fn sent(&mut self, now: Micros, server: ServerId, sight: impl FnOnce() -> Option<SlowStartStatus>) {
        let window = self.window;
        let Some(row) = self.rows.get_mut(&server) else { return };
        row.attempts += 1;
        row.recent.push_back(now);
        while row.recent.len() > RECENT || row.recent.front().is_some_and(|at| at + window <= now) {
            row.recent.pop_front();
        }
        if row.recent.len() > row.most {
            row.most = row.recent.len();
            row.most_at = now - row.started;
            row.sight = sight();
        }
    }

    /// The lines of servers whose time of slow start has passed.
    pub fn sweep(&mut self, now: Micros) -> Vec<String> {
        let duration = self.duration;
        let over = self.rows.iter().filter(|(_, r)| now - r.started >= duration);
        let over: Vec<ServerId> = over.map(|(id, _)| *id).collect();
        over.into_iter().filter_map(|id| self.end(now, id, End::Warm)).collect()
    }

    fn end(&mut self, now: Micros, server: ServerId, end: End) -> Option<String> {
        let row = self.rows.remove(&server)?;
        Some(row.line(now, self.window, end))
    }
}
