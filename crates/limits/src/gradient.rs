//! Gradient limit, by the ratio of usual to present latency: the limit shrinks as latency grows, and leaves
//! room for a queue of its square root.
//!
//! Use it where the upstream is one of many alike, latency varies little and disturbances are short. Don't
//! use it where overload can last: the usual latency follows the present one, so after some seconds of a
//! standing queue the queue becomes the usual latency, and the limit grows again. `vegas.rs` checks before
//! it adapts.
//!
//! - At the start: `Range::start`; the latency of the first round is the usual one.
//! - After idle time (10 s without an end): as new.
//! - When all answers are errors: halved each round, down to one at a time with pauses of 1 s at most. The
//!   first good round restores half of what was in flight before. Where only a share fails, from one fifth
//!   on, three tenths less per round, down to `Range::min`.
//! - Broken connections change nothing. A clock that goes back discards the round.
//!
//! Sources: Netflix, `concurrency-limits`, `Gradient2Limit` (the tolerance of 1.5, the ratio clamped at one
//! half, the square root as queue, one twentieth off a usual latency that is twice the present one); the
//! idea of the gradient from Mittal and others, "TIMELY: RTT-based Congestion Control for the Datacenter",
//! SIGCOMM 2015.

use crate::round::{Failures, Range, Reaction, Round, RoundStats};
use crate::{cooldown::Cooldown, Limit, Micros, Sample};

/// Latency up to this factor above the usual is no sign of a queue.
const TOLERANCE: f64 = 1.5;
/// Lower bound of the ratio, so the factor by which one round may shrink the limit.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of a round's result. The source uses one fifth, but after each answer.
const SMOOTHING: f64 = 0.5;
/// Averaging of the usual latency, in answers. The 600 of the source are half a minute here, longer than
/// the disturbances.
const USUAL_SAMPLES: f64 = 200.0;

/// Gradient limit; see the module documentation.
#[derive(Clone, Debug)]
pub struct Gradient {
    limit: f64,
    /// Logarithm of the usual latency in us.
    usual_log: Option<f64>,
    failures: Failures,
    round: Round,
    cooldown: Cooldown,
}

impl Gradient {
    /// A new limit within `range`.
    pub fn new(range: Range) -> Self {
        let round = Round::new(range);
        Gradient {
            limit: round.range.start,
            usual_log: None,
            failures: Failures::default(),
            round,
            cooldown: Cooldown::default(),
        }
    }

    fn update(&mut self, stats: RoundStats) {
        let Range { start, min, max } = self.round.range;
        let limit_reached = stats.limit_reached();
        match self.failures.react(&stats, self.limit, &self.round.range) {
            Reaction::Decrease(limit) => return self.limit = limit,
            Reaction::Recover(limit) => self.limit = limit,
            Reaction::None => {}
        }
        let Some(mean_log) = stats.mean_log() else { return };
        let usual_log = self.usual_log.get_or_insert(mean_log);
        *usual_log += (mean_log - *usual_log) * (stats.timed / USUAL_SAMPLES).min(1.0);
        if *usual_log - mean_log > 2f64.ln() {
            *usual_log += 0.95f64.ln();
        }
        let gradient = (TOLERANCE * (*usual_log - mean_log).exp()).clamp(MIN_GRADIENT, 1.0);
        let target = match self.limit < start && gradient >= 1.0 {
            true => (self.limit * 3.0).min(start.max(self.limit)),
            false => self.limit * gradient + self.limit.sqrt(),
        };
        // Only a limit that was reached is known to be safe, so only then does it grow.
        if target < self.limit || limit_reached {
            self.limit += (target - self.limit) * SMOOTHING;
        }
        self.limit = self.limit.clamp(min, max);
    }
}

impl Limit for Gradient {
    fn sent(&mut self, now: Micros, _out: u32) {
        if self.round.sent(now) {
            *self = Gradient::new(self.round.range);
            self.round.sent(now);
        }
    }

    fn ended(&mut self, s: &Sample) {
        if let Some(stats) = self.round.ended(s, self.limit) {
            self.update(stats);
        }
        self.cooldown.start_after(s.now, self.round.busy_time(s, self.limit), self.limit);
    }

    fn limit(&self, now: Micros) -> f64 {
        if self.round.is_stale(now) {
            self.round.range.start
        } else {
            self.limit
        }
    }

    fn allows(&self, now: Micros, out: u32) -> bool {
        let abandoned = if self.failures.all_failed() { 0 } else { self.round.abandoned(now) };
        f64::from(out.saturating_add(abandoned)) < self.limit(now).max(1.0) && self.cooldown.is_over(now)
    }
}
