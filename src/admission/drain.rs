//! A planned end as a plan: how long connections are taken, who is told to finish when, and how much time is
//! left for what comes late. Ages are since the signal.

use crate::core::DownstreamId;
use crate::interface::Micros;
use std::collections::VecDeque;

/// Connections are taken for this long at least, if the kill leaves the time: new ones come for 0.4 s after the
/// signal at the most, which is heard a little late. No longer once all are gone, or none has come for a while.
const ACCEPT: Micros = 500_000;
const ACCEPT_QUIET: Micros = 200_000;
/// Downstreams are told to finish between these ages, if the kill leaves the time. Whoever is told earlier moves
/// to a proxy that carries its own load and ours.
const TELL_FROM: Micros = 1_000_000;
const TELL_UNTIL: Micros = 1_600_000;
/// SIGKILL comes no sooner than the longest patience, at most this, and this much more.
const PATIENCE_MOST: Micros = 3_000_000;
const KILL_MORE: Micros = 700_000;
/// Before the kill, for answers that take their way on a busy machine: every stream has its answer, it is over.
/// Where the kill comes soon, no more than a part of the time till then, which deadlines as short need.
const LAST_ANSWER: Micros = 400_000;
const LAST_ANSWER_PART: Micros = 5;
const OVER: Micros = 250_000;
const OVER_PART: Micros = 8;
/// How long downstreams that were told to finish have to close in their turn.
pub const CLOSE_TIMEOUT: Micros = 500_000;

/// What downstreams are told by now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainStep {
    /// To close once nothing is owed to them and nothing of theirs waits to be read.
    pub finish: Vec<DownstreamId>,
    /// All that are left, at the first moment, and nothing that still comes has any time.
    pub all: bool,
}

/// A planned end under way.
#[derive(Debug)]
pub struct Drain {
    since: Micros,
    last_accepted: Micros,
    kill: Micros,
    from: Micros,
    until: Micros,
    /// Who is still to be told, in order, once that has begun; and how many there were.
    queue: Option<VecDeque<DownstreamId>>,
    tells: usize,
    told: usize,
}

impl Drain {
    /// `patience` is the longest that a downstream waits for an answer.
    pub fn new(now: Micros, patience: Option<Micros>) -> Self {
        let kill = patience.unwrap_or(PATIENCE_MOST).clamp(0, PATIENCE_MOST) + KILL_MORE;
        let until = TELL_UNTIL.min(kill * 5 / 8);
        let from = TELL_FROM.min((until * 5 / 8).max(ACCEPT.min(until * 7 / 8)));
        Drain { since: now, last_accepted: now, kill, from, until, queue: None, tells: 0, told: 0 }
    }

    /// A connection has come.
    pub fn accepted(&mut self, now: Micros, id: DownstreamId) {
        self.last_accepted = now;
        if let Some(queue) = &mut self.queue {
            queue.push_back(id);
            self.tells += 1;
        }
    }

    /// More connections may come; `none_open`: all that came have gone.
    pub fn accepts(&self, now: Micros, none_open: bool) -> bool {
        let (age, quiet) = (now - self.since, now - self.last_accepted);
        let least = if none_open { ACCEPT.min(self.from) } else { self.from };
        (age < least || quiet < ACCEPT_QUIET) && age < self.until
    }

    /// The age at which every stream has its answer.
    fn last_answer(&self) -> Micros {
        self.kill - LAST_ANSWER.min(self.kill / LAST_ANSWER_PART)
    }

    /// When every stream has its answer, whenever it was taken and however long its downstream would wait: what is
    /// open at the kill is lost.
    pub fn answer_deadline(&self) -> Micros {
        self.since + self.last_answer()
    }

    /// Who is told to finish by now. `order` is asked once for all downstreams, those that miss least first.
    pub fn step(&mut self, now: Micros, order: impl FnOnce() -> Vec<DownstreamId>) -> DrainStep {
        let age = now - self.since;
        if age < self.from {
            return DrainStep::default();
        }
        let queue = self.queue.get_or_insert_with(|| order().into());
        self.tells = self.tells.max(queue.len());
        if age >= self.until {
            return DrainStep { finish: queue.drain(..).collect(), all: age >= self.last_answer() };
        }
        // Evenly over the span.
        let due = self.tells as f64 * (age - self.from) as f64 / (self.until - self.from).max(1) as f64;
        let more = (due as usize).saturating_sub(self.told).min(queue.len());
        self.told += more;
        DrainStep { finish: queue.drain(..more).collect(), all: false }
    }

    /// Whether the program may go: `none_open`, and none comes, or time is up.
    pub fn is_over(&self, now: Micros, none_open: bool) -> bool {
        none_open || now - self.since >= self.kill - OVER.min(self.kill / OVER_PART)
    }
}

#[cfg(test)]
mod tests;
