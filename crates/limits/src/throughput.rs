//! Limit by throughput gain: allows a little more concurrency, then a little less, and keeps more only
//! while that yields more throughput.
//!
//! Use it where traffic is dense (some tens of answers a second and more) and the upstream may become
//! slower or faster at any time: slowness alone never moves it. Don't use it on thin traffic, where noise
//! hides the difference, or where this proxy's share of the load is small: what others send hides it then.
//!
//! Rounds come in pairs, one below and one above the limit. Each yields a throughput by Little's law: mean
//! requests in flight over mean latency. The rise of its logarithm over that of concurrency is the
//! elasticity: 1 while there is spare capacity, 0 where additional requests only wait. Pairs are summed up
//! with decay. Above `INCREASE_FROM` the limit rises, below `DECREASE_UP_TO` it falls; the knee between is
//! near the maximum of throughput over delay (Kleinrock's power).
//!
//! - At the start: `Range::start` less one step, assuming that more concurrency helps; the limit doubles
//!   each pair until it does not.
//! - After idle time (10 s without an end): as new.
//! - When all answers are errors: halved each round, down to one at a time with pauses of 1 s at most. The
//!   first good round restores half of what was in flight before. Where only a share fails, from one fifth
//!   on, three tenths less per round, down to `Range::min`.
//! - Broken connections change nothing. A clock that goes back discards the pair.
//!
//! Sources: Heiss and Wagner, "Adaptive load control in transaction processing systems", VLDB 1991
//! (incremental steps, and a fit with fading memory); Dong and others, "PCC Vivace: Online-Learning
//! Congestion Control", NSDI 2018 (paired trials above and below); Kleinrock, "Power and deterministic
//! rules of thumb for probabilistic problems in computer communications", ICC 1979.

use crate::round::{Failures, Range, Reaction, Round, RoundStats};
use crate::{cooldown::Cooldown, Limit, Micros, Sample};

/// A round runs this far above or below the limit, at least by one half: PCC uses 5%, with thousands of
/// packets per round to tell the difference.
const STEP: f64 = 0.2;
/// Answers in a round: for each request allowed in flight, and at least.
const ANSWERS_PER_SLOT: f64 = 2.0;
const MIN_ANSWERS: f64 = 8.0;
/// Weight of earlier pairs. Together with `PRIOR`, about five pairs decide.
const DECAY: f64 = 0.8;
/// Weight of the prior assumption that more concurrency helps, as a sum of squared steps: about one pair.
const PRIOR: f64 = 0.1;
/// Elasticity from which the limit rises, and up to which it falls.
const INCREASE_FROM: f64 = 0.6;
const DECREASE_UP_TO: f64 = 0.3;
/// Factors applied to the limit after a pair.
const INCREASE: f64 = 1.15;
const DECREASE: f64 = 0.87;

/// Limit by throughput gain; see the module documentation.
#[derive(Clone, Debug)]
pub struct Throughput {
    limit: f64,
    /// Whether the current round is the upper one, and the logarithms of the mean in flight and of the
    /// throughput of the lower one.
    upper: bool,
    lower: Option<(f64, f64)>,
    /// Decaying sums over pairs.
    steps: f64,
    gains: f64,
    /// Whether the limit still doubles.
    doubling: bool,
    failures: Failures,
    round: Round,
    cooldown: Cooldown,
}

impl Throughput {
    /// A new limit within `range`.
    pub fn new(range: Range) -> Self {
        let round = Round::new(range);
        Throughput {
            limit: round.range.start,
            upper: false,
            lower: None,
            steps: 0.0,
            gains: 0.0,
            doubling: true,
            failures: Failures::default(),
            round,
            cooldown: Cooldown::default(),
        }
    }

    /// Relative throughput gain per relative increase of concurrency.
    pub fn elasticity(&self) -> f64 {
        (self.gains + PRIOR) / (self.steps + PRIOR)
    }

    /// The limit in the upper or the lower round of a pair around `limit`.
    fn limit_of_round(&self, limit: f64, upper: bool) -> f64 {
        if limit < 1.0 {
            return limit;
        }
        let step = (limit * STEP).max(0.5);
        if upper {
            (limit + step).min(self.round.range.max)
        } else {
            (limit - step).max(1.0)
        }
    }

    /// The limit of the current round.
    fn round_limit(&self) -> f64 {
        self.limit_of_round(self.limit, self.upper)
    }

    fn update(&mut self, stats: RoundStats) {
        let Range { min, max, .. } = self.round.range;
        let reaction = self.failures.react(&stats, self.limit, &self.round.range);
        if let Reaction::Decrease(limit) | Reaction::Recover(limit) = reaction {
            (self.limit, self.lower, self.upper) = (limit, None, false);
            return;
        }
        if stats.timed < 1.0 || !stats.limit_reached() {
            // The limit was not reached, so nothing is known about higher concurrency.
            (self.lower, self.upper) = (None, false);
            return;
        }
        let out = stats.mean_out().max(1.0).ln();
        let throughput = out - (stats.time / stats.timed).ln();
        if self.limit < 1.0 {
            self.limit *= 2.0;
            return;
        }
        if !self.upper {
            (self.lower, self.upper) = (Some((out, throughput)), true);
            return;
        }
        self.upper = false;
        let Some((out_before, throughput_before)) = self.lower.take() else { return };
        let step = out - out_before;
        // A disturbance that begins between the two rounds is no effect of the step: a gain counts for
        // twice the step at most.
        let gain = (throughput - throughput_before).clamp(-2.0 * step.abs(), 2.0 * step.abs());
        self.steps = self.steps * DECAY + step * step;
        self.gains = self.gains * DECAY + gain * step;
        let elasticity = self.elasticity();
        self.doubling &= elasticity >= INCREASE_FROM;
        self.limit *= match elasticity {
            e if e >= INCREASE_FROM && self.doubling => 2.0,
            e if e >= INCREASE_FROM => INCREASE,
            e if e <= DECREASE_UP_TO => DECREASE,
            _ => 1.0,
        };
        self.limit = self.limit.clamp(min, max);
    }
}

impl Limit for Throughput {
    fn sent(&mut self, now: Micros, _out: u32) {
        if self.round.sent(now) {
            *self = Throughput::new(self.round.range);
            self.round.sent(now);
        }
    }

    fn ended(&mut self, s: &Sample) {
        let answers = if self.failures.all_failed() {
            0.0
        } else {
            (self.round_limit() * ANSWERS_PER_SLOT).max(MIN_ANSWERS)
        };
        if let Some(stats) = self.round.ended(s, answers) {
            self.update(stats);
        }
        self.cooldown.start_after(s.now, self.round.busy_time(s, self.limit), self.limit);
    }

    fn limit(&self, now: Micros) -> f64 {
        if self.round.is_stale(now) {
            self.limit_of_round(self.round.range.start, false)
        } else {
            self.round_limit()
        }
    }

    fn allows(&self, now: Micros, out: u32) -> bool {
        let abandoned = if self.failures.all_failed() { 0 } else { self.round.abandoned(now) };
        f64::from(out.saturating_add(abandoned)) < self.limit(now).max(1.0) && self.cooldown.is_over(now)
    }
}
