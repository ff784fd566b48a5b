//! Logs how many attempts this proxy sent to each server in slow start, when slow start begins and when it
//! ends.
//!
//! This module only counts; the decision module decides what may be sent. Adding up the lines of all proxies
//! gives the load a server carried while its capacity was reduced.

use crate::codec::discovery::Listed;
use crate::interface::{Member, Micros, Phase, ServerId, SlowStartStatus};
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// The maximum number of servers tracked; further ones get no log line.
const MAX_ROWS: usize = 4096;
/// The maximum number of attempts remembered per server and window; higher counts are reported as this
/// number.
const MAX_RECENT: usize = 1024;

/// Why the slow start of a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndReason {
    Warm,
    Restarted,
    NotListed,
    Draining,
}

impl EndReason {
    fn name(self) -> &'static str {
        match self {
            EndReason::Warm => "warm",
            EndReason::Restarted => "started again",
            EndReason::NotListed => "no longer listed",
            EndReason::Draining => "draining",
        }
    }
}

struct Row {
    name: Rc<str>,
    started: Micros,
    attempts: u64,
    recent: VecDeque<Micros>,
    /// The maximum number of attempts within one window, and the server's age at the last of them.
    peak: usize,
    peak_age: Micros,
    /// The decision module's slow start state of the server at that time.
    status: Option<SlowStartStatus>,
}

impl Row {
    fn new(name: Rc<str>, started: Micros) -> Self {
        Row { name, started, attempts: 0, recent: VecDeque::new(), peak: 0, peak_age: 0, status: None }
    }

    fn line(&self, now: Micros, window: Micros, end: EndReason) -> String {
        let seconds = |span: Micros| span as f64 / 1e6;
        let status = self.status.map(|s| format!(", then {s}")).unwrap_or_default();
        format!(
            "slow start of {} is over after {:.1} s, {}: {} attempts, at most {} within {:.1} s at an age of {:.1} s{status}",
            self.name,
            seconds(now - self.started),
            end.name(),
            self.attempts,
            self.peak,
            seconds(window),
            seconds(self.peak_age),
        )
    }
}

/// The servers in slow start and their counts.
pub(super) struct SlowStartLog {
    rows: BTreeMap<ServerId, Row>,
    duration: Micros,
    window: Micros,
}

impl SlowStartLog {
    /// `duration` is how long slow start lasts, `window` the time over which a server's load is measured, in
    /// us.
    pub fn new(duration: Micros, window: Micros) -> Self {
        SlowStartLog { rows: BTreeMap::new(), duration, window }
    }

    /// The number of servers tracked.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Applies a complete list or a change to it; returns the resulting log lines.
    pub fn apply_list(&mut self, now: Micros, nodes: &[Listed], whole: bool) -> Vec<String> {
        let mut lines = Vec::new();
        if whole {
            let absent = |id: &ServerId| !nodes.iter().any(|l| l.member.server == *id);
            let absent: Vec<ServerId> = self.rows.keys().copied().filter(absent).collect();
            for id in absent {
                lines.extend(self.end(now, id, EndReason::NotListed));
            }
        }
        for listed in nodes {
            lines.extend(self.update(now, listed));
        }
        lines
    }

    fn update(&mut self, now: Micros, listed: &Listed) -> Vec<String> {
        let member = &listed.member;
        let mut lines = Vec::new();
        let end = match member.phase {
            Phase::Gone => Some(EndReason::NotListed),
            Phase::Draining => Some(EndReason::Draining),
            Phase::Ready => {
                let again = self.rows.get(&member.server).is_some_and(|r| Some(r.started) != member.started);
                again.then_some(EndReason::Restarted)
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
        if !new || self.rows.len() >= MAX_ROWS {
            return None;
        }
        self.rows.insert(member.server, Row::new(name.clone(), started));
        Some(format!("slow start of {name}: listed {:.1} s after its start", (now - started) as f64 / 1e6))
    }

    /// Counts an attempt sent to `server`.
    pub fn sent(&mut self, now: Micros, server: ServerId, status: impl FnOnce() -> Option<SlowStartStatus>) {
        let window = self.window;
        let Some(row) = self.rows.get_mut(&server) else { return };
        row.attempts += 1;
        row.recent.push_back(now);
        while row.recent.len() > MAX_RECENT || row.recent.front().is_some_and(|at| at + window <= now) {
            row.recent.pop_front();
        }
        if row.recent.len() > row.peak {
            row.peak = row.recent.len();
            row.peak_age = now - row.started;
            row.status = status();
        }
    }

    /// Returns the log lines of servers whose slow start has run its full duration.
    pub fn sweep(&mut self, now: Micros) -> Vec<String> {
        let duration = self.duration;
        let expired = self.rows.iter().filter(|(_, r)| now - r.started >= duration);
        let expired: Vec<ServerId> = expired.map(|(id, _)| *id).collect();
        expired.into_iter().filter_map(|id| self.end(now, id, EndReason::Warm)).collect()
    }

    fn end(&mut self, now: Micros, server: ServerId, end: EndReason) -> Option<String> {
        let row = self.rows.remove(&server)?;
        Some(row.line(now, self.window, end))
    }
}
