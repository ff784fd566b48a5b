//! By the ratio of what answers take usually to what they take now: the limit shrinks as times grow, and has
//! room for a queue of its square root.
//!
//! Use it where the guarded thing is one of many alike, times vary little and trouble is short. Do not use it
//! where overload can last: the usual time follows the present one, so that after some seconds of a standing
//! queue the queue is the usual time, and the limit grows again. `vegas.rs` asks before it believes that.
//!
//! - At the start: `Range::start`; what the first round takes is the usual time.
//! - After silence (10 s without an ending): as new.
//! - When all answers are errors: half as much a round, down to one at a time with rests of 1 s at most.
//!   With the first good round, half of what was out before. Where only a part fails, from a fifth on,
//!   three tenths less a round, down to `Range::least`.
//! - Broken ones change nothing. A clock that goes back drops the round.
//!
//! Sources: Netflix, `concurrency-limits`, `Gradient2Limit` (the tolerance of 1.5, the ratio cut at one half,
//! the square root as queue, one twentieth off a usual time that is twice the present one); the idea of the
//! gradient from Mittal and others, "TIMELY: RTT-based Congestion Control for the Datacenter", SIGCOMM 2015.

use crate::round::{After, Failing, Range, Round, Seen};
use crate::{rest::Rest, Limit, Micros, Sample};

/// Times up to this much above the usual are no sign of a queue.
const TOLERANCE: f64 = 1.5;
/// The part of the limit that one round may take away.
const STEEPEST: f64 = 0.5;
/// How far a round's result is followed. The source takes a fifth, but after each answer.
const FOLLOW: f64 = 0.5;
/// Memory of the usual time, in answers. The source's 600 are half a minute here, longer than the trouble.
const USUAL: f64 = 200.0;

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Gradient {
    limit: f64,
    /// Logarithm of the usual time, in us.
    usual: Option<f64>,
    failing: Failing,
    round: Round,
    rest: Rest,
}

impl Gradient {
    /// A new limit within `range`.
    pub fn new(range: Range) -> Self {
        let round = Round::new(range);
        Gradient {
            limit: round.range.start,
            usual: None,
            failing: Failing::default(),
            round,
            rest: Rest::default(),
        }
    }

    fn learn(&mut self, seen: Seen) {
        let Range { start, least, most } = self.round.range;
        let pressed = seen.pressed();
        match self.failing.after(&seen, self.limit, &self.round.range) {
            After::Less(limit) => return self.limit = limit,
            After::Back(limit) => self.limit = limit,
            After::Fine => {}
        }
        let Some(level) = seen.level() else { return };
        let usual = self.usual.get_or_insert(level);
        *usual += (level - *usual) * (seen.timed / USUAL).min(1.0);
        if *usual - level > 2f64.ln() {
            *usual += 0.95f64.ln();
        }
        let gradient = (TOLERANCE * (*usual - level).exp()).clamp(STEEPEST, 1.0);
        let aim = match self.limit < start && gradient >= 1.0 {
            true => (self.limit * 3.0).min(start.max(self.limit)),
            false => self.limit * gradient + self.limit.sqrt(),
        };
        // A limit that nothing pressed against is not known to hold.
        if aim < self.limit || pressed {
            self.limit += (aim - self.limit) * FOLLOW;
        }
        self.limit = self.limit.clamp(least, most);
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
        if let Some(seen) = self.round.ended(s, self.limit) {
            self.learn(seen);
        }
        self.rest.after(s.now, self.round.busy(s, self.limit), self.limit);
    }

    fn limit(&self, now: Micros) -> f64 {
        if self.round.forgotten(now) {
            self.round.range.start
        } else {
            self.limit
        }
    }

    fn allows(&self, now: Micros, out: u32) -> bool {
        let ghosts = if self.failing.dark() { 0 } else { self.round.ghosts(now) };
        f64::from(out.saturating_add(ghosts)) < self.limit(now).max(1.0) && self.rest.over(now)
    }
}
