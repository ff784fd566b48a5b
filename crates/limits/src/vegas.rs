//! By the part of an answer's time that is waiting, told apart from slowness by how alike times are.
//!
//! Use it before a thing with a queue of its own that may become slower for reasons of its own: the ledger.
//! Do not use it where the thing turns away instead of queueing, where all work takes the same time (then
//! there is no spread to tell by, and every rise counts as slowness), or for two kinds of work whose mix
//! changes.
//!
//! The time of an answer over its base time tells what part of it is waiting, and so what part of what is
//! out only waits. Up to `LOW` there is room, from `HIGH` there is too much. But a thing that has
//! become slower looks the same. What tells them apart: slowness multiplies every time, a queue adds the
//! same to each. So the spread of the logarithms of times stays as it is when the thing gets slower, and
//! shrinks by the part that is waiting when work queues: `1 - spread/usual spread` is that part, whatever
//! the thing's speed. Both must say that there is waiting, and the lesser counts. Whatever they say, what
//! was out while times were as usual is never cut (only failing does that): a wrong verdict costs no more
//! than the room beyond it.
//!
//! - At the start: `Range::start`, which is taken to fit; the first round's time is the base. The limit
//!   doubles each good round that presses against it, up to `FAST` times the start or until times first
//!   rise.
//! - After silence (10 s without an ending): as new.
//! - When all answers are errors: half as much a round, down to one at a time with rests of 1 s at most.
//!   With the first good round, half of what was out before. Where only a part fails, from a fifth on,
//!   three tenths less a round, down to `Range::least`.
//! - Broken ones change nothing. A clock that goes back drops the round.
//! - The base follows times down quickly, and up slowly while nothing presses: no queue is of our making
//!   then.
//!
//! Sources: Brakmo and Peterson, "TCP Vegas: End to End Congestion Avoidance on a Global Internet", IEEE
//! JSAC 13 (1995): a base time, what waits from it, two thresholds. That a base time must be learnt anew
//! when the way gets longer, and what happens if it is not: La, Walrand and Anantharam, "Issues in TCP
//! Vegas" (1999). The use of the spread is our own, measured in this package's README.

use crate::round::{After, Failing, Range, Round, Seen};
use crate::{rest::Rest, Limit, Micros, Sample};

/// The part of the time spent waiting up to which the limit rises. Vegas keeps 1 to 3 waiting whatever the
/// limit is; with many proxies that adds up, so it is a part here.
const LOW: f64 = 0.2;
/// And from which it falls, by the times: 1.54 of the base.
const HIGH: f64 = 0.35;
/// And by their spread, of which less is known.
const ALIKE: f64 = 0.25;
/// What a round leaves of what is proven, if less is out: half of it after some 35 rounds.
const KEEP: f64 = 0.98;
/// How many times the start the limit may double up to. One that starts into a queue takes that for usual,
/// and must not double until something fails.
const FAST: f64 = 8.0;
/// The rise of a pressed limit a round, once the first fall has been.
const RISE: f64 = 0.15;
/// And by this at least, so that one in rests is out of them within some answers.
const CREEP: f64 = 0.2;
/// What a round leaves of the limit at least.
const DEEPEST: f64 = 0.7;
/// Answers of a round at least: half of what the level is taken over, so that it tells of the last change.
const ANSWERS: f64 = 8.0;
/// How much of a round's fall the base follows, and of its rise while nothing presses. Unequal, since a queue
/// makes times longer and nothing makes them shorter than they are.
const DOWN: f64 = 0.3;
const UP: f64 = 0.05;
/// The usual spread until times have been as usual: of the order of lognormal service times (the
/// deployment has sigmas of 0.3 to 0.9). Without it, one that starts into overload takes that for usual.
const SPREAD: f64 = 0.5;
/// How much of a round's spread the usual spread follows, while times are as usual.
const USUAL: f64 = 0.1;

/// What is taken for waiting, as parts of an answer's time, 0 to 1. The lesser of the two counts.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    /// By which times are longer than the base.
    pub longer: f64,
    /// By which times differ less than usual.
    pub alike: f64,
}

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Vegas {
    limit: f64,
    /// Logarithm of the time that answers take without waiting.
    base: Option<f64>,
    /// The spread of their logarithms without waiting.
    spread: Option<f64>,
    /// How much was out, on the mean of a round, while times were as usual: that surely fits.
    proven: f64,
    /// Up to here the limit doubles.
    fast: f64,
    failing: Failing,
    round: Round,
    rest: Rest,
}

impl Vegas {
    /// A new limit within `range`.
    pub fn new(range: Range) -> Self {
        let round = Round::new(range);
        let limit = round.range.start;
        let fast = limit.max(1.0) * FAST;
        let (failing, rest) = (Failing::default(), Rest::default());
        Vegas { limit, base: None, spread: None, proven: 0.0, fast, failing, round, rest }
    }

    /// The time that an answer takes, in us, as far as is known.
    pub fn usual(&self) -> Option<Micros> {
        self.round.usual()
    }

    /// What the last answers say of waiting.
    pub fn waiting(&self) -> Waiting {
        let level = &self.round.level;
        let longer = self.base.map_or(0.0, |base| 1.0 - (base - level.mean).exp());
        let usual = self.spread.unwrap_or(SPREAD).max(f64::MIN_POSITIVE);
        let alike = level.spread().map_or(0.0, |now| 1.0 - now / usual);
        Waiting { longer: longer.max(0.0), alike: alike.max(0.0) }
    }

    fn learn(&mut self, seen: Seen) {
        match self.failing.after(&seen, self.limit, &self.round.range) {
            After::Less(limit) => {
                // No time tells of waiting while much fails. Up to the limit that is left it may rise at
                // once.
                if seen.failed < seen.ended {
                    self.fast = self.fast.min(limit);
                }
                return self.limit = limit;
            }
            After::Back(limit) => self.limit = limit,
            After::Fine => {}
        }
        let Range { start, least, most } = self.round.range;
        let pressed = seen.pressed();
        let waiting = self.waiting();
        let Waiting { longer, alike } = waiting;
        self.know(pressed, waiting);
        if longer < LOW {
            self.proven = (self.proven * KEEP).max(seen.mean_out());
        }
        if longer >= HIGH && alike >= ALIKE {
            // What is out less what of it waits too much; if less is out than may be, that is what must
            // change. What has been out without waiting fits, and so does the start.
            let cut = seen.mean_out() * (1.0 - longer.min(alike) + LOW).clamp(DEEPEST, 1.0);
            self.limit = cut.max(self.proven).max(start).min(self.limit);
            self.fast = self.fast.min(self.limit);
        } else if longer < LOW && pressed && self.limit < self.fast {
            self.limit *= 2.0;
        } else if longer.min(alike) < LOW && pressed {
            self.limit += (self.limit * RISE).max(CREEP);
        }
        self.limit = self.limit.clamp(least, most);
    }

    /// Takes in what times are like now.
    fn know(&mut self, pressed: bool, Waiting { longer, alike }: Waiting) {
        let level = self.round.level.mean;
        let base = self.base.get_or_insert(level);
        if level < *base {
            *base += (level - *base) * DOWN;
        } else if !pressed && alike < LOW {
            *base += (level - *base) * UP;
        }
        if let Some(now) = self.round.level.spread().filter(|_| longer < LOW) {
            let usual = self.spread.get_or_insert(now);
            *usual += (now - *usual) * USUAL;
        }
    }
}

impl Limit for Vegas {
    fn sent(&mut self, now: Micros, _out: u32) {
        if self.round.sent(now) {
            *self = Vegas::new(self.round.range);
            self.round.sent(now);
        }
    }

    fn ended(&mut self, s: &Sample) {
        let answers = if self.failing.dark() { 0.0 } else { self.limit.max(ANSWERS) };
        if let Some(seen) = self.round.ended(s, answers) {
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
