//! Limit by the share of latency spent queueing, which is told apart from slowness by how uniform latencies
//! are.
//!
//! Use it for an upstream with a queue of its own that may become slower for reasons of its own: the
//! origin. Don't use it where the upstream rejects instead of queueing, where all work takes the same time
//! (then there is no spread, and every rise counts as slowness), or for two kinds of work whose mix
//! changes.
//!
//! Latency over base latency tells which share of it is queueing, and so which share of the requests in
//! flight only waits. Up to `LOW` there is spare capacity, from `HIGH` there is overload. But an upstream
//! that has become slower looks the same. The difference: slowness multiplies every latency, a queue adds
//! the same to each. So the spread of the logarithms stays the same when the upstream gets slower, and
//! shrinks by the queueing share when work queues: `1 - spread/usual spread` is that share, whatever the
//! speed of the upstream. Both estimates must indicate queueing, and the smaller one counts. Whatever they
//! say, the number in flight while latency was as usual is never cut (only failures do that): a wrong
//! verdict costs no more than the room beyond it.
//!
//! - At the start: `Range::start`, which is assumed to fit; the latency of the first round is the base. The
//!   limit doubles in each good round that reaches it, up to `DOUBLING_FACTOR` times the start or until
//!   latency first rises.
//! - After idle time (10 s without an end): as new.
//! - When all answers are errors: halved each round, down to one at a time with pauses of 1 s at most. The
//!   first good round restores half of what was in flight before. Where only a share fails, from one fifth
//!   on, three tenths less per round, down to `Range::min`.
//! - Broken connections change nothing. A clock that goes back discards the round.
//! - The base follows latency down quickly, and up slowly while the limit is not reached: then no queue is
//!   caused by this proxy.
//!
//! Sources: Brakmo and Peterson, "TCP Vegas: End to End Congestion Avoidance on a Global Internet", IEEE
//! JSAC 13 (1995): base latency, queueing computed from it, two thresholds. That the base must be learned
//! again when the path gets longer, and what happens otherwise: La, Walrand and Anantharam, "Issues in TCP
//! Vegas" (1999). The use of the spread is original to this package and measured in its README.

use crate::round::{Failures, Range, Reaction, Round, RoundStats};
use crate::{cooldown::Cooldown, Limit, Micros, Sample};

/// The queueing share up to which the limit rises. Vegas keeps 1 to 3 requests queued whatever the limit
/// is; with many proxies that adds up, so it is a share here.
const LOW: f64 = 0.2;
/// The queueing share from which it falls, by latency: 1.54 times the base.
const HIGH: f64 = 0.35;
/// The same by uniformity, which is known less accurately.
const HIGH_UNIFORMITY: f64 = 0.25;
/// Decay of the proven number in flight per round, if fewer are in flight: halved after some 35 rounds.
const PROVEN_DECAY: f64 = 0.98;
/// The multiple of the start up to which the limit may double. A proxy that starts into a queue takes that
/// for usual, and must not double until something fails.
const DOUBLING_FACTOR: f64 = 8.0;
/// Relative increase per round of a limit that is reached, after the first decrease.
const INCREASE: f64 = 0.15;
/// Minimum increase, so that a limit below one leaves its pauses within a few answers.
const MIN_INCREASE: f64 = 0.2;
/// Smallest factor that one round may apply to the limit.
const MAX_DECREASE: f64 = 0.7;
/// Minimum answers per round: half of what the mean latency is taken over, so that it shows the last
/// change.
const MIN_ANSWERS: f64 = 8.0;
/// How far the base follows a round's decrease, and its increase while the limit is not reached.
/// Asymmetric, since a queue makes latency longer and nothing makes it shorter than it is.
const BASE_DOWN: f64 = 0.3;
const BASE_UP: f64 = 0.05;
/// The usual spread until latencies were as usual: typical of lognormal service times (the deployment has
/// sigmas of 0.3 to 0.9). Without it, a proxy that starts into overload takes that for usual.
const INITIAL_SPREAD: f64 = 0.5;
/// How far the usual spread follows a round's spread while latency is as usual.
const SPREAD_SMOOTHING: f64 = 0.1;

/// Estimates of the share of latency spent queueing, 0 to 1. The smaller of the two counts.
#[derive(Clone, Copy, Debug)]
pub struct QueueingShare {
    /// From latency above the base.
    pub by_latency: f64,
    /// From a spread below the usual.
    pub by_uniformity: f64,
}

/// Limit by queueing share; see the module documentation.
#[derive(Clone, Debug)]
pub struct Vegas {
    limit: f64,
    /// Logarithm of the latency without queueing.
    base: Option<f64>,
    /// Spread of the logarithms without queueing.
    spread: Option<f64>,
    /// Mean number in flight per round while latency was as usual: known to fit.
    proven: f64,
    /// The limit doubles up to this value.
    doubling_limit: f64,
    failures: Failures,
    round: Round,
    cooldown: Cooldown,
}

impl Vegas {
    /// A new limit within `range`.
    pub fn new(range: Range) -> Self {
        let round = Round::new(range);
        let limit = round.range.start;
        let doubling_limit = limit.max(1.0) * DOUBLING_FACTOR;
        let (failures, cooldown) = (Failures::default(), Cooldown::default());
        Vegas { limit, base: None, spread: None, proven: 0.0, doubling_limit, failures, round, cooldown }
    }

    /// The usual latency in us, if known.
    pub fn usual_latency(&self) -> Option<Micros> {
        self.round.usual_latency()
    }

    /// What the latest answers say about queueing.
    pub fn queueing(&self) -> QueueingShare {
        let latency = &self.round.latency;
        let by_latency = self.base.map_or(0.0, |base| 1.0 - (base - latency.mean).exp());
        let usual = self.spread.unwrap_or(INITIAL_SPREAD).max(f64::MIN_POSITIVE);
        let by_uniformity = latency.spread().map_or(0.0, |now| 1.0 - now / usual);
        QueueingShare { by_latency: by_latency.max(0.0), by_uniformity: by_uniformity.max(0.0) }
    }

    fn update(&mut self, stats: RoundStats) {
        match self.failures.react(&stats, self.limit, &self.round.range) {
            Reaction::Decrease(limit) => {
                // Latency says nothing about queueing while much fails. The limit may double again up to
                // the reduced value.
                if stats.failed < stats.ended {
                    self.doubling_limit = self.doubling_limit.min(limit);
                }
                return self.limit = limit;
            }
            Reaction::Recover(limit) => self.limit = limit,
            Reaction::None => {}
        }
        let Range { start, min, max } = self.round.range;
        let limit_reached = stats.limit_reached();
        let queueing = self.queueing();
        let QueueingShare { by_latency, by_uniformity } = queueing;
        self.update_baseline(limit_reached, queueing);
        if by_latency < LOW {
            self.proven = (self.proven * PROVEN_DECAY).max(stats.mean_out());
        }
        if by_latency >= HIGH && by_uniformity >= HIGH_UNIFORMITY {
            // The requests in flight, less the share of them that queues too much, is the new limit; if
            // fewer are in flight than allowed, that lower number counts. What was in flight without
            // queueing fits, and so does the start.
            let cut = stats.mean_out() * (1.0 - by_latency.min(by_uniformity) + LOW).clamp(MAX_DECREASE, 1.0);
            self.limit = cut.max(self.proven).max(start).min(self.limit);
            self.doubling_limit = self.doubling_limit.min(self.limit);
        } else if by_latency < LOW && limit_reached && self.limit < self.doubling_limit {
            self.limit *= 2.0;
        } else if by_latency.min(by_uniformity) < LOW && limit_reached {
            self.limit += (self.limit * INCREASE).max(MIN_INCREASE);
        }
        self.limit = self.limit.clamp(min, max);
    }

    /// Updates base latency and usual spread.
    fn update_baseline(
        &mut self,
        limit_reached: bool,
        QueueingShare { by_latency, by_uniformity }: QueueingShare,
    ) {
        let level = self.round.latency.mean;
        let base = self.base.get_or_insert(level);
        if level < *base {
            *base += (level - *base) * BASE_DOWN;
        } else if !limit_reached && by_uniformity < LOW {
            *base += (level - *base) * BASE_UP;
        }
        if let Some(now) = self.round.latency.spread().filter(|_| by_latency < LOW) {
            let usual = self.spread.get_or_insert(now);
            *usual += (now - *usual) * SPREAD_SMOOTHING;
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
        let answers = if self.failures.all_failed() { 0.0 } else { self.limit.max(MIN_ANSWERS) };
        if let Some(stats) = self.round.ended(s, answers) {
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
