//! A round: as many answers as may be out, of requests sent since it began. Owns what a round has seen and
//! the last time that anything was heard; decides nothing.
//!
//! Limits that learn from times change once a round, as TCP does once a round trip, so that what they measure
//! is what the last change has done. Requests sent before it tell of the limit before.
//!
//! Times are kept as logarithms. Answers vary by factors (a lognormal service time, a ledger that is so many
//! times slower), and one straggler of eight times the usual counts as two, not as eight.

use crate::{ghosts::Ghosts, Ending, Micros, Sample};

/// Time without any ending after which nothing known holds, in us: longer than most spells of trouble, as
/// long as BBR believes a least round trip (draft-ietf-ccwg-bbr, `MinRTTFilterLen`). RFC 7661 asks for such a
/// time because a limit that was not used says nothing of the path.
pub(crate) const FORGET: Micros = 10_000_000;
/// Answers in a round at least. One alone is chance.
const FEWEST: f64 = 2.0;
/// Answers in a round at most, so that a large limit learns several times a second.
const MOST: f64 = 64.0;
/// A round ends after this time with what it has, in us: a spell of trouble lasts a few of them.
const LONGEST: Micros = 2_000_000;
/// How many times the usual time it takes until an answer is due at last.
const DUE: f64 = 2.0;
/// Answers that the level of times is taken over, and those that its spread is. For lognormal times of sigma
/// 0.6 the first is then within 0.15, the second within an eighth.
const LEVEL: f64 = 12.0;
const SPREAD: f64 = 24.0;

/// The bounds of a limit, in requests out.
#[derive(Clone, Copy, Debug)]
pub struct Range {
    /// At the start and after silence. Divide it by the proxies before one thing, if they are known.
    pub start: f64,
    /// At least; under 1 it is the part of the time that one is out.
    pub least: f64,
    /// At most.
    pub most: f64,
}

impl Range {
    /// From a twentieth of one to 256, starting at `start`. A twentieth: 240 proxies may then share a ledger
    /// of twelve cores without a queue.
    pub fn from(start: f64) -> Self {
        Range { start, least: 0.05, most: 256.0 }
    }

    /// Bounds that can be worked with, whatever was given.
    fn sound(self) -> Self {
        let least = if self.least > 0.0 { self.least.min(1.0) } else { 0.05 };
        let most = if self.most > least { self.most.min(1e6) } else { 256.0 };
        let start = if self.start.is_finite() { self.start.clamp(least, most) } else { least };
        Range { start, least, most }
    }
}

/// What the answers of a round said.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Seen {
    /// Endings, without the broken ones.
    pub ended: f64,
    /// Of them refused or silent.
    pub failed: f64,
    /// Of them sent while something waited.
    pub waited: f64,
    /// Sums over those that took a time: all but the refused.
    pub timed: f64,
    pub log_time: f64,
    pub time: f64,
    pub out: f64,
}

impl Seen {
    /// The part that was turned away or given up.
    pub fn failing(&self) -> f64 {
        self.failed / self.ended.max(1.0)
    }

    /// The logarithm of the (geometric) mean time in us, if any took one.
    pub fn level(&self) -> Option<f64> {
        (self.timed > 0.0).then(|| self.log_time / self.timed)
    }

    /// How many were out, on the mean.
    pub fn mean_out(&self) -> f64 {
        self.out / self.timed.max(1.0)
    }

    /// Whether it was the limit that held requests back: half of the time something waited for room.
    pub fn pressed(&self) -> bool {
        self.waited * 2.0 >= self.ended
    }
}

/// How long answers take: the mean and the spread of logarithms, both fading. The spread is taken from one
/// answer to the next, so that a mean on its way up adds nothing to it: von Neumann and others, "The mean
/// square successive difference", Annals of Mathematical Statistics 12 (1941).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Level {
    pub mean: f64,
    last: f64,
    /// Mean of the squares of successive differences, twice the variance.
    squares: f64,
    /// Answers it is known from, at most `SPREAD`.
    pub known: f64,
}

impl Level {
    fn add(&mut self, x: f64) {
        if self.known > 0.0 {
            let step = x - self.last;
            self.squares += (step * step - self.squares) / self.known.min(SPREAD);
        }
        self.known = (self.known + 1.0).min(SPREAD);
        self.mean += (x - self.mean) / self.known.min(LEVEL);
        self.last = x;
    }

    /// The standard deviation of the logarithms, once it is known from enough.
    pub fn spread(&self) -> Option<f64> {
        (self.known >= LEVEL).then(|| (self.squares / 2.0).sqrt())
    }
}

/// The round that is on.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub range: Range,
    began: Option<Micros>,
    heard: Micros,
    seen: Seen,
    pub level: Level,
    ghosts: Ghosts,
}

impl Round {
    pub fn new(range: Range) -> Self {
        Round {
            range: range.sound(),
            began: None,
            heard: 0,
            seen: Seen::default(),
            level: Level::default(),
            ghosts: Ghosts::default(),
        }
    }

    /// Whether so long was silent that nothing known holds.
    pub fn forgotten(&self, now: Micros) -> bool {
        self.began.is_some() && now.saturating_sub(self.heard) >= FORGET
    }

    /// A request is sent. Tells whether its limit must begin anew.
    pub fn sent(&mut self, now: Micros) -> bool {
        let anew = self.forgotten(now);
        if anew || self.began.is_none() || now < self.heard {
            self.restart(now);
        }
        anew
    }

    /// Begins a round with nothing seen.
    pub fn restart(&mut self, now: Micros) {
        (self.began, self.heard, self.seen) = (Some(now), now, Seen::default());
    }

    /// The time that answers usually take, in us.
    pub fn usual(&self) -> Option<Micros> {
        (self.level.known > 0.0).then(|| self.level.mean.exp() as Micros)
    }

    /// How long a request kept its thing busy, for the rest after it under a limit of less than one. One
    /// that was turned away at once stands for the usual time.
    pub fn busy(&self, s: &Sample, limit: f64) -> Micros {
        if limit >= 1.0 {
            0
        } else {
            s.elapsed().max(self.usual().unwrap_or(0))
        }
    }

    /// A request has ended; gives what the round has seen if that was its last. `answers` are wanted.
    pub fn ended(&mut self, s: &Sample, answers: f64) -> Option<Seen> {
        let Some(began) = self.began.filter(|b| s.now >= *b && s.now >= self.heard && s.now >= s.sent) else {
            // The clock went back: what was timed against it is void.
            self.restart(s.now);
            return None;
        };
        self.heard = s.now;
        let time = s.elapsed().max(1);
        // Nothing is out for so long: the clock went forward.
        if s.ending == Ending::Broken || time >= FORGET {
            return None;
        }
        let log_time = (time as f64).ln();
        if s.ending == Ending::Abandoned {
            self.ghosts.gave_up(s.now, s.sent, self.usual().unwrap_or(0));
            // Given up so early that an answer was hardly due: its client left, and nothing is said.
            if self.level.known > 0.0 && log_time < self.level.mean + DUE.ln() {
                return None;
            }
        } else if s.ending.answered() {
            self.ghosts.answered(s.sent);
            self.level.add(log_time);
        }
        if s.sent < began {
            return None;
        }
        let seen = &mut self.seen;
        seen.ended += 1.0;
        seen.failed += f64::from(u8::from(s.ending.failed()));
        seen.waited += f64::from(u8::from(s.kept_waiting));
        if s.ending != Ending::Refused {
            seen.timed += 1.0;
            seen.time += time as f64;
            seen.log_time += log_time;
            seen.out += f64::from(s.out_at_send);
        }
        let late = s.now - began >= LONGEST && seen.ended >= FEWEST;
        (late || seen.ended >= answers.clamp(FEWEST, MOST)).then(|| {
            let seen = self.seen;
            self.restart(s.now);
            seen
        })
    }

    /// How many that were given up may still be at work.
    pub fn ghosts(&self, now: Micros) -> u32 {
        self.ghosts.out(now)
    }
}

/// What becomes of a limit after a round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum After {
    /// Too little failed to matter.
    Fine,
    /// The limit is less, by what failed.
    Less(f64),
    /// After a time without any answer there are answers again, and the limit goes on from here.
    Back(f64),
}

/// How a limit deals with requests that come to nothing. Owns what the limit was before the thing fell
/// silent.
///
/// Where some are answered, the rest is too much. Where none is, the thing is stopped, cut off or gone, and
/// no limit cures it: one at a time finds the end of that, and then a half of what was borne before is
/// right. So BBR keeps the window from before a time-out (draft-ietf-ccwg-bbr, `prior_cwnd`).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Failing {
    before: Option<f64>,
}

impl Failing {
    /// Whether nothing at all is answered.
    pub fn dark(&self) -> bool {
        self.before.is_some()
    }

    /// The part of a round failing from which it is overload: twice the tenth that may go wrong for no
    /// reason.
    const FROM: f64 = 0.2;
    /// What is left of the limit after a round of overload, and after one without any answer.
    const CUT: f64 = 0.7;
    const DARK: f64 = 0.5;

    pub fn after(&mut self, seen: &Seen, limit: f64, range: &Range) -> After {
        if seen.failing() < Self::FROM {
            return self.before.take().map_or(After::Fine, |b| After::Back(limit.max(b / 2.0)));
        }
        if seen.failed < seen.ended {
            return After::Less((limit * Self::CUT).max(range.least));
        }
        self.before.get_or_insert(limit);
        After::Less((limit * Self::DARK).max(Self::DARK.min(limit)))
    }
}
