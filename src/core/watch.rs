//! When to call discovery: one chain of calls a proxy, with exponential backoff and jitter.
//!
//! It owns the time of the next call and how many have failed in a row. It opens nothing and reads no clock. All
//! proxies of a fleet lose discovery in the same moment, and it answers a fixed number of calls a second: what
//! they may ask of it together is divided by how many they are.

use crate::interface::{Micros, Settings};
use crate::state::{mix, unit};
use limits::backoff;

/// A watch that stands says something every 2 s; this long a silence means that it is dead.
const SILENCE: Micros = 3_000_000;
/// A call may wait its turn at discovery; with no answer for this long it is dead too.
const UNANSWERED: Micros = 4_500_000;
/// What a dead watch misses counts as told this long after its last word (the protocol's figure), and what came right
/// after a call that failed, was refused or given up this long after that call. Before then discovery is called again.
const KNOWN: Micros = 6_000_000;
/// What is left of that for the answer, in us: where nodes that start cold are told there is no grace beside it.
const ANSWERS: Micros = 400_000;
/// What the calls of a fleet that keep to that are spread over, each from its last one, in us: they are spread already.
const APART: Micros = 800_000;
/// Where lists are pushed, what the agent beside the proxy has counts as told at once, whether or not a watch stands. A
/// call there costs nobody else anything, and is answered at once. So of the time that the rule leaves for a drain, one
/// part goes by before a call without an answer is given up and one before the next call; two are left for its answer.
const PARTS: Micros = 4;
/// Such a pause, in us: shorter ones would have a proxy whose agent is gone do little else, longer ones gain nothing.
const PAUSES: (Micros, Micros) = (25_000, 2_000_000);
/// The least time that an agent is given for its answer, in us: it may have its turn of the processor only then.
const ANSWER: Micros = 100_000;
/// The least time from the end of a watch to the next call where one service is asked by all, in us.
const LEAST: Micros = 300_000;
/// What the first calls after a common end are spread over, for each proxy of the fleet, in us: together they
/// call discovery fifty times a second, whatever their number.
const SPREAD: Micros = 20_000;
/// The most that the doublings make of it, in us, for fleets up to a hundred; for larger ones four times the first. It
/// moves the next call towards the end of what [`KNOWN`] leaves, never past it.
const LONGEST: Micros = 8_000_000;

#[derive(Debug)]
pub(super) struct Watch {
    /// The spread of this fleet's first calls.
    spread: Micros,
    /// The least pause before a call, and the most where an agent beside the proxy has the lists, in spite of all
    /// that failed; `None` where one service for the whole fleet is asked for them.
    least: Micros,
    most: Option<Micros>,
    /// After this long a call has no answer any more.
    unanswered: Micros,
    rng: u64,
    failed: u32,
    heard: Micros,
    /// The call was answered: a watch stands.
    stands: bool,
    /// When to call next; `None` while a call or a watch is open.
    due: Option<Micros>,
}

impl Watch {
    /// A call is made at once, by whoever makes this.
    pub fn new(now: Micros, settings: &Settings, seed: u64) -> Self {
        let spread = (SPREAD * Micros::from(settings.routers)).max(LEAST);
        let rng = mix(seed ^ 0x77a7_c4e5);
        let part = (settings.drain_grace / PARTS).clamp(PAUSES.0, PAUSES.1);
        let (least, most, unanswered) = match settings.must_subscribe {
            true => (LEAST, None, UNANSWERED),
            false => (LEAST.min(part / 2), Some(part), UNANSWERED.min(part.max(ANSWER))),
        };
        Watch { spread, least, most, unanswered, rng, failed: 0, heard: now, stands: false, due: None }
    }

    /// Discovery has said something.
    pub fn heard(&mut self, now: Micros) {
        (self.heard, self.stands, self.failed, self.due) = (now, true, 0, None);
    }

    /// The call or the watch has ended, or is silent: when to call again. One that was given up for silent ends once
    /// more.
    pub fn ended(&mut self, now: Micros) -> Micros {
        if let Some(at) = self.due {
            return at;
        }
        let over = backoff(self.spread, self.failed, LONGEST.max(4 * self.spread));
        // Discovery may have changed, and be within reach, right after the last word or the call that came to nothing.
        let most = self.most.unwrap_or(self.heard + KNOWN - ANSWERS - now);
        // At the least there is something to spread over.
        let most = (most - self.least).max(self.least);
        // Where the back-off wants more than that, its mean is kept as far as it goes. First calls are together, and
        // use all there is.
        let late = if self.failed == 0 || self.most.is_some() { 0 } else { over - most };
        let from = late.clamp(0, (most - APART).max(0));
        self.failed += 1;
        self.rng = mix(self.rng.wrapping_add(1));
        let at = now + self.least + from + ((over.min(most) - from) as f64 * unit(self.rng)) as Micros;
        self.due = Some(at);
        at
    }

    /// Whether the watch has been silent for so long that it is dead.
    pub fn is_silent(&self, now: Micros) -> bool {
        self.due.is_none() && now - self.heard >= self.patience()
    }

    /// When to look whether it is, next.
    pub fn look(&self, now: Micros) -> Micros {
        // One that is put off may yet be taken over by news, and is silent no sooner than this.
        if self.due.is_some() {
            now + SILENCE
        } else {
            self.heard + self.patience()
        }
    }

    fn patience(&self) -> Micros {
        if self.stands {
            SILENCE
        } else {
            self.unanswered
        }
    }

    /// Whether calls have failed in a row before this one.
    pub fn fails(&self) -> bool {
        self.failed > 0
    }

    /// Whether the call that was put off till now is to be made. One that was taken over by news, or by a call
    /// elsewhere, is not.
    pub fn due(&mut self, now: Micros) -> bool {
        let due = self.due.is_some_and(|at| at <= now);
        if due {
            self.called(now);
        }
        due
    }

    /// A call is made, for whatever reason.
    pub fn called(&mut self, now: Micros) {
        (self.heard, self.stands, self.due) = (now, false, None);
    }

    /// Discovery is to be found elsewhere: what failed before says nothing of it.
    pub fn moved(&mut self, now: Micros) {
        self.failed = 0;
        self.called(now);
    }
}

#[cfg(test)]
mod tests;
