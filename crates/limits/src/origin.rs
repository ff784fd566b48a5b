//! What may be out at a ledger that is slow at times and overloaded at others, for proxies that share it
//! without knowing of each other.
//!
//! Use it before one thing that all proxies fetch from, that queues what it cannot take and stops when it is
//! sent too much for too long. Do not use it where answers come at once or not at all: nothing can be read
//! from their times.
//!
//! How much a ledger works on at a time does not change when it gets slower; how much it answers does. So
//! this limit never takes a long answer for a reason to send less. It measures two things:
//!
//! - [`OriginLimit::latency_ratio`]: the time of its answers lately over the best they have been, whatever made it longer.
//! - What is out while there is no strain: the usual. The ledger surely bears that, also when it is slow, and
//!   [`USUAL_MULTIPLE`] as much, since it is built for a multiple of what a warm fleet leaves to it.
//!
//! Without strain the limit rises quickly while it is pressed (a fleet that starts cold needs that), and what
//! of it goes unused sinks to [`USUAL_MULTIPLE`] the usual: many proxies whose limits are all far above what they send
//! would notice a slow ledger only once it had stopped. Under strain it falls there, also below one, and
//! creeps from there, one more out a round of answers at the most. Whatever the strain, it falls when a part of the attempts is turned away or takes longer than anybody waits. Each
//! proxy measures its own usual, so that one with ten times the traffic of the others gets ten times their
//! part, and none has to know how many there are.
//!
//! - At the start: [`START`] may be out, or a fleet's part of [`FLEET_START`]; the best time is what the first answers take.
//! - After [`IDLE_SECONDS`] without an answer or a failure: nothing fades but the best time, which a calm ledger
//!   tells again with its next answers.
//! - When all answers are errors: falls to one at a time, and under that it rests between two.
//! - Broken connections change nothing. A clock that goes back ends a rest.
//!
//! Sources: a base time and what waits beside it, Brakmo and Peterson, "TCP Vegas", IEEE JSAC 13 (1995); down by
//! a factor and up by one a round, Chiu and Jain (1989) and RFC 5681, 3.1; a quick start while nothing queues, RFC
//! 5681, 3.1 and BBR's startup (draft-ietf-ccwg-bbr); a limit that goes unused proves nothing and sinks, RFC 7661; more out than the knee brings waiting and no answers,
//! Kleinrock, "Power and deterministic rules of thumb" (1979). The figures were swept on the simulator's days
//! (`docs/design/limits.md`): none of them moves the result by more than a hundredth within half and twice.

use crate::{rest::Rest, Ending, Limit, Micros, Sample};

/// Out at the start.
pub const START: f64 = 4.0;
/// And of a fleet together, as long as that leaves one to each. Thin proxies keep what they start with for long: one
/// with an answer a second knows no best time for ten.
pub const FLEET_START: f64 = 16.0;
/// What may be out at least, unless more is usual: up to one, so that a ledger that was out of reach for a
/// while is found again at once. Under one it rests between two.
pub const MIN_LIMIT: f64 = 0.3;
/// Out at most: descriptors end before.
pub const MAX_LIMIT: f64 = 256.0;
/// How much of the usual may be out under strain. The operators' ledger bears 2 to 3.2 times the fetches that
/// a warm fleet leaves to it.
pub const USUAL_MULTIPLE: f64 = 2.5;
/// Strain up to which there is room, and from which there is none.
const CALM: f64 = 1.5;
const STRAINED: f64 = 3.0;
/// Strain from which the limit goes back to the usual.
const FULL: f64 = 2.5;
/// What a pressed limit gains by an answer without strain.
const QUICK: f64 = 0.2;
/// The part of the limit that has to be out for it to be pressed; one under two is if something waits.
const PRESSED: f64 = 0.5;
/// What an unused limit loses a second of what it is above [`USUAL_MULTIPLE`] the usual.
const SINK: f64 = 0.3;
/// Seconds without an end after which nothing sinks and nothing is learnt.
pub const IDLE_SECONDS: f64 = 10.0;
/// What a limit under strain gains by an answer at the most, as a part: one of less than a few has a round of
/// one answer, and many proxies that each doubled by one would double what is out in all.
const CREEP: f64 = 0.15;
/// What is left of the limit at an answer, under strain and above the usual.
const BACK: f64 = 0.95;
/// What is left of it at a failure, and the part of the ends that must be failures.
const CUT: f64 = 0.9;
const FAILING: f64 = 0.2;
/// Ends that the part of failures is taken over, and answers that the present time is: ten take chance for
/// strain, which cost 0.01 of the worth of quiet days.
const ENDS: f64 = 10.0;
const ANSWERS: f64 = 20.0;
/// Seconds that the present time is taken over where answers are few: one of 64 proxies sees about one a
/// second, and has to notice a crowd of some seconds.
const THIN: f64 = 10.0;
/// How much the best time rises a second, so that a ledger that has become slower for good is believed within
/// minutes: an eighth a minute.
const FORGET: f64 = 0.002;
/// The seconds that the usual is taken over.
const USUAL: f64 = 20.0;

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct OriginLimit {
    limit: f64,
    /// The part of the ends that were failures, lately.
    failing: f64,
    /// Mean time of an answer, lately and at its best, and how many there were.
    pace: f64,
    best: f64,
    answers: f64,
    /// What is out without strain: a fading sum, and the seconds that it is over.
    usual: (f64, f64),
    learnt: Option<Micros>,
    /// The latest answer, and the first.
    heard: Option<Micros>,
    first: Option<Micros>,
    /// Seconds without an end.
    quiet: f64,
    rest: Rest,
}

impl Default for OriginLimit {
    fn default() -> Self {
        OriginLimit {
            limit: START,
            failing: 0.0,
            pace: 0.0,
            best: f64::INFINITY,
            answers: 0.0,
            usual: (0.0, 0.0),
            learnt: None,
            heard: None,
            first: None,
            quiet: 0.0,
            rest: Rest::default(),
        }
    }
}

impl OriginLimit {
    /// That of one of so many proxies.
    pub fn for_fleet(proxies: u32) -> Self {
        let limit = (FLEET_START / f64::from(proxies.max(1))).clamp(1.0, START);
        OriginLimit { limit, ..OriginLimit::default() }
    }

    /// Mean time of an answer lately, in us; `None` before the first.
    pub fn mean_latency(&self) -> Option<f64> {
        (self.answers > 0.0).then_some(self.pace)
    }

    /// How many times longer its answers take than at their best; 1 till the best is known.
    pub fn latency_ratio(&self) -> f64 {
        if self.best.is_finite() {
            self.pace / self.best.max(1.0)
        } else {
            1.0
        }
    }

    /// How much room it has for work that could be left undone, from 1 to none: second copies in another
    /// hall, spreading a key.
    pub fn headroom(&self) -> f64 {
        ((STRAINED - self.latency_ratio()) / (STRAINED - CALM)).clamp(0.0, 1.0)
    }

    /// The part of what was sent lately that was turned away, or took longer than anybody waits, 0 to 1.
    pub fn failure_ratio(&self) -> f64 {
        self.failing
    }

    /// Whether it has room to spare for work that needs it only because something else is full: no strain, and less
    /// out than it surely bears, whatever the limit has risen to. A fleet whose caches all turn reads away at once
    /// sends it no more than [`USUAL_MULTIPLE`] what it usually does; what is learnt from late answers comes too late for that.
    pub fn has_spare_capacity(&self, now: Micros, out: u32) -> bool {
        self.headroom() >= 1.0 && self.allows(now, out) && f64::from(out) < self.bears().max(1.0)
    }

    /// What the ledger surely bears of this proxy.
    fn bears(&self) -> f64 {
        (USUAL_MULTIPLE * self.usual()).max(MIN_LIMIT)
    }

    /// What is out without strain. Nothing is known before a second of it.
    fn usual(&self) -> f64 {
        let (sum, over) = self.usual;
        if over >= 1.0 {
            sum / over
        } else {
            0.0
        }
    }
}

impl Limit for OriginLimit {
    fn sent(&mut self, _now: Micros, _out: u32) {}

    fn ended(&mut self, s: &Sample) {
        if s.ending == Ending::Broken {
            return;
        }
        self.quiet = 0.0;
        if s.ending.answered() {
            self.answers += 1.0;
            let gap = self.heard.replace(s.now).map_or(0.0, |at| s.now.saturating_sub(at) as f64 / 1e6);
            let weight = (gap / THIN).clamp(1.0 / ANSWERS, 0.5).max(1.0 / self.answers);
            self.pace += (s.elapsed() as f64 - self.pace) * weight;
            let since = s.now.saturating_sub(*self.first.get_or_insert(s.now)) as f64 / 1e6;
            if self.answers >= ANSWERS || (self.answers >= ANSWERS / 2.0 && since >= THIN / 2.0) {
                self.best = self.best.min(self.pace);
            }
        }
        let failed = s.ending != Ending::InTime;
        self.failing += (f64::from(u8::from(failed)) - self.failing) / ENDS;
        let (l, strain) = (self.limit, self.latency_ratio());
        let pressed = if l < 2.0 { s.kept_waiting } else { f64::from(s.out_at_send) >= l * PRESSED };
        let usual = self.usual();
        let bears = self.bears();
        self.limit = if failed {
            l * if self.failing >= FAILING { CUT } else { 1.0 }
        } else if strain >= FULL && l > bears {
            (l * BACK).max(bears)
        } else if !pressed {
            l
        } else if strain < CALM {
            l + QUICK
        } else {
            l + (l * CREEP).min(1.0 / l)
        };
        self.limit = self.limit.clamp(usual.clamp(MIN_LIMIT, 1.0), MAX_LIMIT);
        self.rest.after(s.now, s.elapsed(), self.limit);
    }

    fn observe_in_flight(&mut self, now: Micros, out: u32) {
        let seconds = self.learnt.replace(now).map_or(0.0, |at| (now.saturating_sub(at)) as f64 / 1e6);
        // A clock that went back, or a long pause, is one step.
        let seconds = seconds.clamp(0.0, 1.0);
        self.best *= 1.0 + FORGET * seconds;
        self.quiet += seconds;
        if self.latency_ratio() <= CALM && self.best.is_finite() && self.quiet < IDLE_SECONDS {
            let keep = (-seconds / USUAL).exp();
            let (sum, over) = self.usual;
            self.usual = (sum * keep + f64::from(out) * seconds, over * keep + seconds);
            if self.usual.1 >= 1.0 {
                self.limit -= (self.limit - self.bears()).max(0.0) * SINK * seconds;
            }
        }
    }

    fn limit(&self, _now: Micros) -> f64 {
        self.limit
    }

    fn allows(&self, now: Micros, out: u32) -> bool {
        f64::from(out) < self.limit.max(1.0) && self.rest.over(now)
    }
}
