//! By what more concurrency brings: it puts a little more out, then a little less, and keeps more only while
//! that brings more answers.
//!
//! Use it where the way is busy (some tens of answers a second and more) and where the guarded thing may
//! become slower or faster at any time: slowness alone never moves it. Do not use it on thin traffic, where
//! chance hides the difference, or where this proxy's part of the load is small: what others send hides it
//! then.
//!
//! Rounds come in pairs, one above and one below the limit. Each gives a throughput by Little's law, what was
//! out over what it took. The rise of its logarithm over that of concurrency is the elasticity: 1 while there
//! is room, 0 where more only waits. Pairs are summed up and fade. Above `MORE` the limit rises, below
//! `LESS` it falls; the knee between is near the most of throughput over delay (Kleinrock's power).
//!
//! - At the start: `Range::start` less a step, and more is taken to bring more; it doubles each pair until
//!   it does not.
//! - After silence (10 s without an ending): as new.
//! - When all answers are errors: half as much a round, down to one at a time with rests of 1 s at most.
//!   With the first good round, half of what was out before. Where only a part fails, from a fifth on,
//!   three tenths less a round, down to `Range::least`.
//! - Broken ones change nothing. A clock that goes back drops the pair.
//!
//! Sources: Heiss and Wagner, "Adaptive load control in transaction processing systems", VLDB 1991
//! (incremental steps, and a fit with fading memory); Dong and others, "PCC Vivace: Online-Learning
//! Congestion Control", NSDI 2018 (paired trials above and below); Kleinrock, "Power and deterministic
//! rules of thumb for probabilistic problems in computer communications", ICC 1979.

use crate::round::{After, Failing, Range, Round, Seen};
use crate::{rest::Rest, Limit, Micros, Sample};

/// A round is this far above or below the limit, and by half of one at least: PCC takes 5%, with thousands
/// of packets a round to see it by.
const STEP: f64 = 0.2;
/// Answers in a round, for each one that may be out, and at least.
const TURNS: f64 = 2.0;
const ANSWERS: f64 = 8.0;
/// What is kept of earlier pairs. Together with `DOUBT` about five pairs decide.
const KEEP: f64 = 0.8;
/// The belief that more brings more, as a sum of squared steps: about one pair's.
const DOUBT: f64 = 0.1;
/// Elasticity from which more is put out, and up to which less is.
const MORE: f64 = 0.6;
const LESS: f64 = 0.3;
/// The rise and the fall after a pair.
const UP: f64 = 1.15;
const DOWN: f64 = 0.87;

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Throughput {
    limit: f64,
    /// Whether the round that is on is the upper one, and what the lower gave: out and throughput, as
    /// logarithms.
    upper: bool,
    lower: Option<(f64, f64)>,
    /// Fading sums over pairs.
    steps: f64,
    gains: f64,
    /// Whether it still doubles.
    fast: bool,
    failing: Failing,
    round: Round,
    rest: Rest,
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
            fast: true,
            failing: Failing::default(),
            round,
            rest: Rest::default(),
        }
    }

    /// How much more throughput a little more concurrency brings, as a part of it.
    pub fn elasticity(&self) -> f64 {
        (self.gains + DOUBT) / (self.steps + DOUBT)
    }

    /// What may be out in the upper round or the lower one of a pair about `limit`.
    fn round_of(&self, limit: f64, upper: bool) -> f64 {
        if limit < 1.0 {
            return limit;
        }
        let step = (limit * STEP).max(0.5);
        if upper {
            (limit + step).min(self.round.range.most)
        } else {
            (limit - step).max(1.0)
        }
    }

    /// What may be out in the round that is on.
    fn present(&self) -> f64 {
        self.round_of(self.limit, self.upper)
    }

    fn learn(&mut self, seen: Seen) {
        let Range { least, most, .. } = self.round.range;
        let after = self.failing.after(&seen, self.limit, &self.round.range);
        if let After::Less(limit) | After::Back(limit) = after {
            (self.limit, self.lower, self.upper) = (limit, None, false);
            return;
        }
        if seen.timed < 1.0 || !seen.pressed() {
            // Less was out than might be: nothing is known of more.
            (self.lower, self.upper) = (None, false);
            return;
        }
        let out = seen.mean_out().max(1.0).ln();
        let brought = out - (seen.time / seen.timed).ln();
        if self.limit < 1.0 {
            self.limit *= 2.0;
            return;
        }
        if !self.upper {
            (self.lower, self.upper) = (Some((out, brought)), true);
            return;
        }
        self.upper = false;
        let Some((out_before, brought_before)) = self.lower.take() else { return };
        let step = out - out_before;
        // A spell that begins between the two is no effect of the step: no gain counts for more than twice
        // it.
        let gain = (brought - brought_before).clamp(-2.0 * step.abs(), 2.0 * step.abs());
        self.steps = self.steps * KEEP + step * step;
        self.gains = self.gains * KEEP + gain * step;
        let elasticity = self.elasticity();
        self.fast &= elasticity >= MORE;
        self.limit *= match elasticity {
            e if e >= MORE && self.fast => 2.0,
            e if e >= MORE => UP,
            e if e <= LESS => DOWN,
            _ => 1.0,
        };
        self.limit = self.limit.clamp(least, most);
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
        let answers = if self.failing.dark() { 0.0 } else { (self.present() * TURNS).max(ANSWERS) };
        if let Some(seen) = self.round.ended(s, answers) {
            self.learn(seen);
        }
        self.rest.after(s.now, self.round.busy(s, self.limit), self.limit);
    }

    fn limit(&self, now: Micros) -> f64 {
        if self.round.forgotten(now) {
            self.round_of(self.round.range.start, false)
        } else {
            self.present()
        }
    }

    fn allows(&self, now: Micros, out: u32) -> bool {
        let ghosts = if self.failing.dark() { 0 } else { self.round.ghosts(now) };
        f64::from(out.saturating_add(ghosts)) < self.limit(now).max(1.0) && self.rest.over(now)
    }
}
