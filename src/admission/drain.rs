//! The schedule of a graceful shutdown: how long connections are accepted, when each downstream is told to
//! finish, and how much time late requests get. Ages are measured from the signal.

use crate::core::DownstreamId;
use crate::interface::Micros;
use std::collections::VecDeque;

/// The minimum time for which connections are accepted, if the kill leaves it. New ones arrive for up to 0.4
/// s after the signal, which is noticed a little late. Accepting ends earlier once no connection is open, and
/// goes on until none has arrived for `ACCEPT_QUIET`.
const MIN_ACCEPT: Micros = 500_000;
const ACCEPT_QUIET: Micros = 200_000;
/// Downstreams are told to finish between these ages, if the kill leaves the time. A client that is told
/// earlier moves to a proxy that then carries its own load and ours.
const FINISH_FROM: Micros = 1_000_000;
const FINISH_UNTIL: Micros = 1_600_000;
/// SIGKILL comes no sooner than the longest patience of a downstream, capped at `MAX_PATIENCE`, plus
/// `KILL_MARGIN`.
const MAX_PATIENCE: Micros = 3_000_000;
const KILL_MARGIN: Micros = 700_000;
/// Margins before the kill, for answers that are slow on a busy machine: by `ANSWER_MARGIN` every stream has
/// its answer, by `EXIT_MARGIN` the program exits. If the kill comes soon, each is only a fraction of the
/// time until then, because deadlines as short need the rest.
const ANSWER_MARGIN: Micros = 400_000;
const ANSWER_MARGIN_DIVISOR: Micros = 5;
const EXIT_MARGIN: Micros = 250_000;
const EXIT_MARGIN_DIVISOR: Micros = 8;
/// How long a downstream that was told to finish has to close its side.
pub const CLOSE_TIMEOUT: Micros = 500_000;

/// What downstreams are to be told at this moment.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DrainStep {
    /// Downstreams to close once they are owed no answer and have no unread bytes.
    pub finish: Vec<DownstreamId>,
    /// Close all that are left at the first possible moment; new requests get no time any more.
    pub all: bool,
}

/// A graceful shutdown in progress.
#[derive(Debug)]
pub struct Drain {
    started: Micros,
    last_accepted: Micros,
    kill_after: Micros,
    finish_from: Micros,
    finish_until: Micros,
    /// The downstreams still to be told, in order, once telling has begun; with the total and the number
    /// already told.
    queue: Option<VecDeque<DownstreamId>>,
    total: usize,
    told: usize,
}

impl Drain {
    /// `patience` is the longest time that a downstream waits for an answer.
    pub fn new(now: Micros, patience: Option<Micros>) -> Self {
        let kill_after = patience.unwrap_or(MAX_PATIENCE).clamp(0, MAX_PATIENCE) + KILL_MARGIN;
        let finish_until = FINISH_UNTIL.min(kill_after * 5 / 8);
        let finish_from = FINISH_FROM.min((finish_until * 5 / 8).max(MIN_ACCEPT.min(finish_until * 7 / 8)));
        Drain {
            started: now,
            last_accepted: now,
            kill_after,
            finish_from,
            finish_until,
            queue: None,
            total: 0,
            told: 0,
        }
    }

    /// Records an accepted connection.
    pub fn accepted(&mut self, now: Micros, id: DownstreamId) {
        self.last_accepted = now;
        if let Some(queue) = &mut self.queue {
            queue.push_back(id);
            self.total += 1;
        }
    }

    /// Whether connections are still accepted; `none_open` means that every downstream has closed.
    pub fn accepts(&self, now: Micros, none_open: bool) -> bool {
        let (age, quiet) = (now - self.started, now - self.last_accepted);
        let least = if none_open { MIN_ACCEPT.min(self.finish_from) } else { self.finish_from };
        (age < least || quiet < ACCEPT_QUIET) && age < self.finish_until
    }

    /// The age by which every stream has its answer.
    fn answer_age(&self) -> Micros {
        self.kill_after - ANSWER_MARGIN.min(self.kill_after / ANSWER_MARGIN_DIVISOR)
    }

    /// The time by which every stream has its answer, whenever it was accepted and however long its
    /// downstream would wait: a stream still open at the kill is lost.
    pub fn answer_deadline(&self) -> Micros {
        self.started + self.answer_age()
    }

    /// The downstreams to tell by now. `order` is called once and returns all downstreams, those that lose
    /// least first.
    pub fn step(&mut self, now: Micros, order: impl FnOnce() -> Vec<DownstreamId>) -> DrainStep {
        let age = now - self.started;
        if age < self.finish_from {
            return DrainStep::default();
        }
        let queue = self.queue.get_or_insert_with(|| order().into());
        self.total = self.total.max(queue.len());
        if age >= self.finish_until {
            return DrainStep { finish: queue.drain(..).collect(), all: age >= self.answer_age() };
        }
        // Spreads the messages evenly over the span.
        let due = self.total as f64 * (age - self.finish_from) as f64
            / (self.finish_until - self.finish_from).max(1) as f64;
        let more = (due as usize).saturating_sub(self.told).min(queue.len());
        self.told += more;
        DrainStep { finish: queue.drain(..more).collect(), all: false }
    }

    /// Whether the program may exit: no connection is open and none arrives, or the time is up.
    pub fn is_over(&self, now: Micros, none_open: bool) -> bool {
        none_open
            || now - self.started >= self.kill_after - EXIT_MARGIN.min(self.kill_after / EXIT_MARGIN_DIVISOR)
    }
}

#[cfg(test)]
mod tests;
