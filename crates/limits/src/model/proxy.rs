//! One proxy of the model: which tries wait for which fetch, what waits for room at the ledger, and what is
//! out there. Owns its limit; sends nothing itself.

use crate::codel::{CoDel, Queue};
use crate::{Ending, Limit, Micros, Sample};
use std::collections::BTreeMap;

/// Places in the line before the ledger.
const PLACES: usize = 4096;
/// Answers that the ledger's usual time is taken over.
const USUAL: f64 = 20.0;
/// Silences in a row from which a node is left out, and for how long first and at most, in us.
const SILENT: u32 = 2;
const OUT: Micros = 1_000_000;
const OUT_MOST: Micros = 8_000_000;

/// How what waits for the ledger is ordered, and whether any is refused before its client leaves.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Whether it is ordered as the proxy does: first what has twice the usual time left, of that the
    /// writes, then what most wait for. If not, the oldest first, or the newest under strain.
    pub by_worth: bool,
    /// What the controlled delay of [`crate::codel`] takes for a harmless wait and for the longest, in us.
    pub delays: Option<(Micros, Micros)>,
    /// Whether what has less than half the usual time of an answer left is refused at once, as it would be
    /// asked for in vain. Of an order by worth only.
    pub gives_up: bool,
    /// An answer of the ledger later than this is slow, in us.
    pub late: Micros,
}

impl Line {
    /// As the proxy did with [`crate::aimd`]: slow is half the shortest aim.
    pub const BEFORE: Line = Line { by_worth: true, delays: None, gives_up: false, late: 375_000 };
    /// As it does with [`crate::ledger`]: slow is twice the shortest aim, when nobody waits any more.
    pub const SERVICE: Line = Line { gives_up: true, late: 1_500_000, ..Line::BEFORE };
}

/// What is asked of the ledger: a key for all that wait for it, or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Call {
    Read(u64),
    Write(usize),
}

enum Waiting {
    /// With the times at which they came.
    Worth(Vec<(Micros, Call)>, Option<CoDel>),
    Codel(Queue<Call>),
}

/// What a proxy makes of a node's silence.
#[derive(Clone, Copy, Default)]
struct Health {
    silent: u32,
    outs: u32,
    until: Micros,
}

pub struct Proxy {
    /// Counts restarts: what was sent before one is nothing of this process.
    pub epoch: u32,
    pub hall: u32,
    pub limit: Box<dyn Limit>,
    pub out: u32,
    /// The tries that wait for each call, in line or out.
    pub calls: BTreeMap<Call, Vec<usize>>,
    /// The attempt that is out for a call, and the try that it was sent for.
    pub flying: BTreeMap<Call, (usize, usize)>,
    /// Whether a look is due, so that there is one at a time.
    pub looks: bool,
    line: Waiting,
    /// The mean time that the ledger takes, lately, in us.
    usual: f64,
    pressed: Option<Micros>,
    health: Vec<Health>,
}

impl Proxy {
    pub fn new(epoch: u32, hall: u32, nodes: u32, line: Line, limit: Box<dyn Limit>) -> Self {
        let law = line.delays.map(|(target, interval)| CoDel::new(target, interval));
        let line = match line.by_worth {
            true => Waiting::Worth(Vec::new(), law),
            // Without delays nobody is refused: no wait is long.
            false => Waiting::Codel(Queue::new(PLACES, law.unwrap_or(CoDel::new(Micros::MAX, Micros::MAX)))),
        };
        let health = vec![Health::default(); nodes as usize];
        Proxy {
            epoch,
            hall,
            limit,
            out: 0,
            calls: BTreeMap::new(),
            flying: BTreeMap::new(),
            looks: false,
            line,
            usual: 0.0,
            pressed: None,
            health,
        }
    }

    /// A try waits for a call. Gives the call that must be refused for want of a place.
    pub fn wants(&mut self, now: Micros, call: Call, attempt: usize) -> Option<Call> {
        let waiting = self.calls.entry(call).or_default();
        waiting.push(attempt);
        if waiting.len() > 1 {
            return None;
        }
        self.lines_up(now, call)
    }

    /// Puts a call in line. Gives the call that must be refused for want of a place.
    pub fn lines_up(&mut self, now: Micros, call: Call) -> Option<Call> {
        match &mut self.line {
            Waiting::Worth(line, _) if line.len() >= PLACES => Some(call),
            Waiting::Worth(line, _) => {
                line.push((now, call));
                None
            }
            Waiting::Codel(line) => line.push(now, call),
        }
    }

    /// A try is over. Gives the attempt that was out for it, which is over with it, and whether others wait
    /// for the same call.
    pub fn gives_up(&mut self, call: Call, attempt: usize) -> (Option<usize>, bool) {
        let Some(waiting) = self.calls.get_mut(&call) else { return (None, false) };
        waiting.retain(|w| *w != attempt);
        let nobody = waiting.is_empty();
        if nobody {
            self.calls.remove(&call);
            match &mut self.line {
                Waiting::Worth(line, _) => line.retain(|(_, c)| *c != call),
                Waiting::Codel(line) => line.retain(|c| *c != call),
            }
        }
        let out = self.flying.get(&call).filter(|(_, leader)| *leader == attempt || nobody).map(|(a, _)| *a);
        if out.is_some() {
            self.flying.remove(&call);
        }
        (out, !nobody)
    }

    /// A call that has waited too long.
    pub fn shed(&mut self, now: Micros) -> Option<Call> {
        match &mut self.line {
            Waiting::Worth(line, law) => {
                let oldest = line.first().map(|(came, _)| *came);
                if !law.as_mut().is_some_and(|law| law.should_drop(now, oldest)) {
                    return None;
                }
                // A read before a write, as far as there are reads.
                let read = line.iter().position(|(_, call)| matches!(call, Call::Read(_)));
                Some(line.remove(read.unwrap_or(0)).1)
            }
            Waiting::Codel(line) => line.shed(now),
        }
    }

    /// A call in line for which the time of those who wait is nearly up. `leaves` tells when a try's client
    /// does.
    pub fn hopeless(&mut self, now: Micros, leaves: impl Fn(&usize) -> Micros) -> Option<Call> {
        let Waiting::Worth(line, _) = &mut self.line else { return None };
        let least = now + (self.usual / 2.0) as Micros;
        let late = |call: &Call| self.calls.get(call).is_none_or(|w| w.iter().all(|t| leaves(t) <= least));
        let at = line.iter().position(|(_, call)| late(call))?;
        Some(line.remove(at).1)
    }

    /// The next call for which there is room, who waits for it first, and how many are out with it. `leaves`
    /// tells when a try's client does.
    pub fn send(&mut self, now: Micros, leaves: impl Fn(&usize) -> Micros) -> Option<(Call, usize, u32)> {
        if !self.waits() {
            return None;
        }
        if !self.limit.allows(now, self.out) {
            self.pressed = Some(now);
            return None;
        }
        let twice = now + 2 * self.usual as Micros;
        let calls = &self.calls;
        let worth = |call: &Call| {
            let waiting = calls.get(call).map_or(&[][..], Vec::as_slice);
            let late = waiting.iter().map(&leaves).max().is_none_or(|t| t <= twice);
            (!late, matches!(call, Call::Write(_)), waiting.len())
        };
        let call = match &mut self.line {
            Waiting::Worth(line, law) => {
                // Of equals the last one looked at: the oldest, or the newest under strain.
                let strained = law.as_ref().is_some_and(CoDel::strained);
                let best = match strained {
                    true => (0..line.len()).max_by_key(|i| worth(&line[*i].1)),
                    false => (0..line.len()).rev().max_by_key(|i| worth(&line[*i].1)),
                };
                line.remove(best?).1
            }
            Waiting::Codel(line) => line.pop()?,
        };
        let first = *self.calls.get(&call)?.first()?;
        self.out += 1;
        self.limit.sent(now, self.out);
        Some((call, first, self.out))
    }

    /// What was sent has ended.
    pub fn ended(&mut self, now: Micros, sent: Micros, out_at_send: u32, ending: Ending) {
        self.out = self.out.saturating_sub(1);
        self.usual += ((now - sent) as f64 - self.usual) / USUAL;
        let kept_waiting = self.pressed.is_some_and(|p| p >= sent);
        self.limit.ended(&Sample { now, sent, ending, out_at_send, kept_waiting });
    }

    /// Whether anything waits for room.
    pub fn waits(&self) -> bool {
        match &self.line {
            Waiting::Worth(line, _) => !line.is_empty(),
            Waiting::Codel(line) => !line.is_empty(),
        }
    }

    /// Whether a node is to be used.
    pub fn uses(&self, now: Micros, node: usize) -> bool {
        self.health.get(node).is_some_and(|h| h.until <= now)
    }

    /// A node answered, or was silent.
    pub fn heard(&mut self, now: Micros, node: usize, silent: bool) {
        let Some(h) = self.health.get_mut(node) else { return };
        if !silent {
            *h = Health::default();
            return;
        }
        h.silent += 1;
        if h.silent >= SILENT {
            h.until = now + (OUT << h.outs.min(8)).min(OUT_MOST);
            h.outs += 1;
        }
    }
}
