//! Schedules calls to discovery: one sequence of calls per proxy, with exponential backoff and jitter.
//!
//! This module holds the time of the next call and the number of consecutive failures; it does no I/O and
//! reads no clock. All proxies of a fleet can lose discovery at the same moment, and discovery answers a
//! fixed number of calls per second, so the rate at which each proxy calls is divided by the number of
//! proxies.

use crate::interface::{Micros, Settings};
use crate::state::{mix, unit};
use limits::backoff;

/// An established watch sends something every 2 s; after this much silence it counts as dead.
const WATCH_TIMEOUT: Micros = 3_000_000;
/// A call may be queued at discovery; without an answer for this long it counts as dead too.
const CALL_TIMEOUT: Micros = 4_500_000;
/// Changes missed by a dead watch count as delivered this long after its last message (the protocol's
/// figure), and changes right after a call that failed, was rejected or was given up, this long after that
/// call. Discovery has to be called again before then.
const KNOWN_AFTER: Micros = 6_000_000;
/// The part of [`KNOWN_AFTER`] left for the answer, in us: where nodes start cold, no other grace period is
/// added.
const ANSWER_MARGIN: Micros = 400_000;
/// The range over which the fleet's calls under this limit are spread, each counted from the proxy's last
/// call, in us; those last calls are already spread.
const MIN_SPREAD: Micros = 800_000;
/// Where lists are pushed, whatever the local agent has counts as delivered at once, whether or not a watch
/// is open. A call to the agent costs nothing elsewhere and is answered at once. Of the grace period for a
/// drain, one part passes before an unanswered call is given up and one before the next call, which leaves
/// two for its answer.
const GRACE_PARTS: Micros = 4;
/// Limits of such a pause, in us: with a shorter one a proxy without its agent would do little but call, and
/// a longer one gains nothing.
const PAUSE_LIMITS: (Micros, Micros) = (25_000, 2_000_000);
/// The minimum time the agent has to answer, in us: it may be scheduled on the processor only then.
const MIN_ANSWER_TIME: Micros = 100_000;
/// The minimum time from the end of a watch to the next call where all proxies share one discovery service,
/// in us.
const MIN_PAUSE: Micros = 300_000;
/// The first calls after watches end together are spread over this time for each proxy of the fleet, in us:
/// all proxies together call discovery fifty times a second, whatever their number.
const SPREAD_PER_PROXY: Micros = 20_000;
/// The maximum backoff, in us, for fleets up to a hundred proxies; for larger ones, four times the initial
/// one. The backoff moves the next call towards the end of [`KNOWN_AFTER`], never past it.
const MAX_BACKOFF: Micros = 8_000_000;

#[derive(Debug)]
pub(super) struct WatchSchedule {
    /// The range over which this fleet's first calls are spread.
    spread: Micros,
    /// The minimum pause before a call, and the maximum one where a local agent has the lists, regardless of
    /// failures; `None` where one service for the whole fleet is asked for them.
    min_pause: Micros,
    max_pause: Option<Micros>,
    /// After this time an unanswered call is given up.
    call_timeout: Micros,
    rng: u64,
    failed: u32,
    heard: Micros,
    /// Whether the call was answered, that is, a watch is open.
    established: bool,
    /// When to call next; `None` while a call or a watch is open.
    due: Option<Micros>,
}

impl WatchSchedule {
    /// The caller makes the first call at once.
    pub fn new(now: Micros, settings: &Settings, seed: u64) -> Self {
        let spread = (SPREAD_PER_PROXY * Micros::from(settings.routers)).max(MIN_PAUSE);
        let rng = mix(seed ^ 0x77a7_c4e5);
        let part = (settings.drain_grace / GRACE_PARTS).clamp(PAUSE_LIMITS.0, PAUSE_LIMITS.1);
        let (min_pause, max_pause, call_timeout) = match settings.must_subscribe {
            true => (MIN_PAUSE, None, CALL_TIMEOUT),
            false => (MIN_PAUSE.min(part / 2), Some(part), CALL_TIMEOUT.min(part.max(MIN_ANSWER_TIME))),
        };
        WatchSchedule {
            spread,
            min_pause,
            max_pause,
            call_timeout,
            rng,
            failed: 0,
            heard: now,
            established: false,
            due: None,
        }
    }

    /// Discovery has sent something.
    pub fn heard(&mut self, now: Micros) {
        (self.heard, self.established, self.failed, self.due) = (now, true, 0, None);
    }

    /// The call or the watch has ended or is silent: returns when to call again. A watch given up for silence
    /// reports its end once more.
    pub fn ended(&mut self, now: Micros) -> Micros {
        if let Some(at) = self.due {
            return at;
        }
        let backoff_time = backoff(self.spread, self.failed, MAX_BACKOFF.max(4 * self.spread));
        // Discovery may have a change and be reachable right after the last message or the failed call.
        let max_pause = self.max_pause.unwrap_or(self.heard + KNOWN_AFTER - ANSWER_MARGIN - now);
        // Keep a minimum range to spread the calls over.
        let max_pause = (max_pause - self.min_pause).max(self.min_pause);
        // Where the backoff exceeds this limit, its mean is kept as far as possible. First calls happen
        // together and use the whole range.
        let shift = if self.failed == 0 || self.max_pause.is_some() { 0 } else { backoff_time - max_pause };
        let from = shift.clamp(0, (max_pause - MIN_SPREAD).max(0));
        self.failed += 1;
        self.rng = mix(self.rng.wrapping_add(1));
        let at = now
            + self.min_pause
            + from
            + ((backoff_time.min(max_pause) - from) as f64 * unit(self.rng)) as Micros;
        self.due = Some(at);
        at
    }

    /// Whether the watch has been silent for so long that it counts as dead.
    pub fn is_silent(&self, now: Micros) -> bool {
        self.due.is_none() && now - self.heard >= self.timeout()
    }

    /// When to check for silence next.
    pub fn next_check(&self, now: Micros) -> Micros {
        // A scheduled call may still be superseded by news; the watch cannot be silent before then.
        if self.due.is_some() {
            now + WATCH_TIMEOUT
        } else {
            self.heard + self.timeout()
        }
    }

    fn timeout(&self) -> Micros {
        if self.established {
            WATCH_TIMEOUT
        } else {
            self.call_timeout
        }
    }

    /// Whether preceding calls have failed.
    pub fn has_failed(&self) -> bool {
        self.failed > 0
    }

    /// Whether the scheduled call is due. It is not if news arrived or another call was made meanwhile.
    pub fn due(&mut self, now: Micros) -> bool {
        let due = self.due.is_some_and(|at| at <= now);
        if due {
            self.called(now);
        }
        due
    }

    /// A call is made.
    pub fn called(&mut self, now: Micros) {
        (self.heard, self.established, self.due) = (now, false, None);
    }

    /// The address of discovery has changed: earlier failures say nothing about the new one.
    pub fn moved(&mut self, now: Micros) {
        self.failed = 0;
        self.called(now);
    }
}

#[cfg(test)]
mod tests;
