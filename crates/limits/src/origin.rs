//! Limit for an origin that is slow at times and overloaded at others, for proxies that share it without
//! knowing of each other.
//!
//! Use it for a single upstream that all proxies fetch from, that queues what it cannot take and stops when
//! it is sent too much for too long. Don't use it where answers come at once or not at all: their latency
//! carries no information.
//!
//! The number of requests that an origin processes concurrently does not change when it gets slower; its
//! throughput does. So this limit never takes a long latency alone for a reason to send less. It measures
//! two things:
//!
//! - [`OriginLimit::latency_ratio`]: recent latency over the best latency seen, whatever caused the
//!   increase.
//! - The usual number in flight while the ratio is low. The origin is known to bear that, also when it is
//!   slow, and [`USUAL_MULTIPLE`] times as much, since it is sized for a multiple of what a warm fleet
//!   sends to it.
//!
//! While the ratio is low, the limit rises quickly when it is reached (a fleet that starts cold needs
//! that), and its unused part decays to [`USUAL_MULTIPLE`] times the usual: many proxies with limits far
//! above what they send would notice a slow origin only after it had stopped. While the ratio is high, the
//! limit falls to that value, also below one, and rises slowly from there, by one request per round of
//! answers at most. Whatever the ratio, it falls when a share of the requests is rejected or takes longer
//! than anybody waits. Each proxy measures its own usual, so that one with ten times the traffic of the
//! others gets ten times their share, and none has to know how many there are.
//!
//! - At the start: [`START`] may be in flight, or a proxy's share of [`FLEET_START`]; the best latency is
//!   that of the first answers.
//! - After [`IDLE_SECONDS`] without an answer or a failure: nothing decays but the best latency, which the
//!   next answers of a calm origin restore.
//! - When all answers are errors: falls to one at a time, and below that with pauses between.
//! - Broken connections change nothing. A clock that goes back ends a pause.
//!
//! Sources: base latency and queueing beyond it, Brakmo and Peterson, "TCP Vegas", IEEE JSAC 13 (1995);
//! multiplicative decrease and additive increase per round, Chiu and Jain (1989) and RFC 5681, 3.1; a fast
//! start while nothing queues, RFC 5681, 3.1 and BBR's startup (draft-ietf-ccwg-bbr); an unused limit
//! proves nothing and decays, RFC 7661; concurrency beyond the knee adds waiting but no throughput,
//! Kleinrock, "Power and deterministic rules of thumb" (1979). The constants were swept on the simulator's
//! days (`docs/design/limits.md`): between half and twice its value, none of them changes the result by
//! more than one hundredth.

use crate::{cooldown::Cooldown, Ending, Limit, Micros, Sample};

/// In flight at the start.
pub const START: f64 = 4.0;
/// In flight at the start for a fleet together, as long as that leaves one to each proxy. Proxies with
/// little traffic keep the start value for long: one with an answer a second has no best latency for ten
/// seconds.
pub const FLEET_START: f64 = 16.0;
/// Minimum, unless more is usual: up to one, so that an origin that was unreachable for a while is noticed
/// again at once. Below one there are pauses between two requests.
pub const MIN_LIMIT: f64 = 0.3;
/// Maximum: file descriptors run out earlier.
pub const MAX_LIMIT: f64 = 256.0;
/// Multiple of the usual that may be in flight under overload. The origin of the operators bears 2 to 3.2
/// times the fetches that a warm fleet sends to it.
pub const USUAL_MULTIPLE: f64 = 2.5;
/// Latency ratio up to which there is full headroom, and from which there is none.
const CALM_RATIO: f64 = 1.5;
const OVERLOADED_RATIO: f64 = 3.0;
/// Latency ratio from which the limit goes back to the safe limit.
const BACKOFF_RATIO: f64 = 2.5;
/// Increase per answer of a limit that is reached, while the ratio is low.
const FAST_INCREASE: f64 = 0.2;
/// The share of the limit that has to be in flight for it to count as reached; a limit under two counts as
/// reached if something waits for it.
const BUSY_SHARE: f64 = 0.5;
/// Decay per second of the part of an unused limit above [`USUAL_MULTIPLE`] times the usual.
const UNUSED_DECAY: f64 = 0.3;
/// Seconds without an end after which nothing decays and nothing is learned.
pub const IDLE_SECONDS: f64 = 10.0;
/// Maximum relative increase per answer at a raised ratio: a limit below a few has a round of one answer,
/// and many proxies that each doubled theirs by one would double the total in flight.
const MAX_SLOW_INCREASE: f64 = 0.15;
/// Factor applied per answer while the ratio is high and the limit above the safe limit.
const BACKOFF_FACTOR: f64 = 0.95;
/// Factor applied per failure, and the share of failures from which it is applied.
const FAILURE_FACTOR: f64 = 0.9;
const FAILURE_THRESHOLD: f64 = 0.2;
/// Ends that the share of failures is averaged over, and answers that the recent latency is: averaging over
/// ten took noise for overload, which cost 0.01 of the worth of quiet days.
const FAILURE_SAMPLES: f64 = 10.0;
const LATENCY_SAMPLES: f64 = 20.0;
/// Seconds that the recent latency is averaged over where answers are few: one of 64 proxies sees about one
/// a second, and has to notice an overload of some seconds.
const LATENCY_SECONDS: f64 = 10.0;
/// Relative rise of the best latency per second, so that an origin that has become slower for good is
/// recognized within minutes: one eighth per minute.
const BEST_DRIFT: f64 = 0.002;
/// Seconds that the usual is averaged over.
const USUAL_SECONDS: f64 = 20.0;

/// Origin limit; see the module documentation.
#[derive(Clone, Debug)]
pub struct OriginLimit {
    limit: f64,
    /// Moving average of the share of failed ends.
    failures: f64,
    /// Mean latency, recent and at its best, and the number of answers.
    latency: f64,
    best_latency: f64,
    answers: f64,
    /// The usual number in flight: a decaying sum, and the seconds that it covers.
    usual: (f64, f64),
    observed: Option<Micros>,
    /// Times of the latest and of the first answer.
    last_answer: Option<Micros>,
    first_answer: Option<Micros>,
    /// Seconds since the last end.
    idle_seconds: f64,
    cooldown: Cooldown,
}

impl Default for OriginLimit {
    fn default() -> Self {
        OriginLimit {
            limit: START,
            failures: 0.0,
            latency: 0.0,
            best_latency: f64::INFINITY,
            answers: 0.0,
            usual: (0.0, 0.0),
            observed: None,
            last_answer: None,
            first_answer: None,
            idle_seconds: 0.0,
            cooldown: Cooldown::default(),
        }
    }
}

impl OriginLimit {
    /// The limit of one proxy in a fleet of `proxies`.
    pub fn for_fleet(proxies: u32) -> Self {
        let limit = (FLEET_START / f64::from(proxies.max(1))).clamp(1.0, START);
        OriginLimit { limit, ..OriginLimit::default() }
    }

    /// Recent mean latency in us; `None` before the first answer.
    pub fn mean_latency(&self) -> Option<f64> {
        (self.answers > 0.0).then_some(self.latency)
    }

    /// Recent mean latency over the best seen; 1 until the best is known.
    pub fn latency_ratio(&self) -> f64 {
        if self.best_latency.is_finite() {
            self.latency / self.best_latency.max(1.0)
        } else {
            1.0
        }
    }

    /// Headroom for optional work, from 1 down to 0: second copies in another zone, spreading a key.
    pub fn headroom(&self) -> f64 {
        ((OVERLOADED_RATIO - self.latency_ratio()) / (OVERLOADED_RATIO - CALM_RATIO)).clamp(0.0, 1.0)
    }

    /// Recent share of requests that were rejected or took longer than anybody waits, 0 to 1.
    pub fn failure_ratio(&self) -> f64 {
        self.failures
    }

    /// Whether there is capacity for requests that need the origin only because something else is full: the
    /// ratio is low, and fewer are in flight than the origin is known to bear, whatever the limit has risen
    /// to. A fleet whose caches all start to reject reads at once then sends it no more than
    /// [`USUAL_MULTIPLE`] times the usual; late answers would show the overload too late for that.
    pub fn has_spare_capacity(&self, now: Micros, out: u32) -> bool {
        self.headroom() >= 1.0 && self.allows(now, out) && f64::from(out) < self.safe_limit().max(1.0)
    }

    /// The number in flight that the origin is known to bear from this proxy.
    fn safe_limit(&self) -> f64 {
        (USUAL_MULTIPLE * self.usual()).max(MIN_LIMIT)
    }

    /// The usual number in flight; 0 until observed for a second.
    fn usual(&self) -> f64 {
        let (sum, seconds_observed) = self.usual;
        if seconds_observed >= 1.0 {
            sum / seconds_observed
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
        self.idle_seconds = 0.0;
        if s.ending.answered() {
            self.answers += 1.0;
            let gap = self.last_answer.replace(s.now).map_or(0.0, |at| s.now.saturating_sub(at) as f64 / 1e6);
            let weight = (gap / LATENCY_SECONDS).clamp(1.0 / LATENCY_SAMPLES, 0.5).max(1.0 / self.answers);
            self.latency += (s.elapsed() as f64 - self.latency) * weight;
            let age = s.now.saturating_sub(*self.first_answer.get_or_insert(s.now)) as f64 / 1e6;
            if self.answers >= LATENCY_SAMPLES
                || (self.answers >= LATENCY_SAMPLES / 2.0 && age >= LATENCY_SECONDS / 2.0)
            {
                self.best_latency = self.best_latency.min(self.latency);
            }
        }
        let failed = s.ending != Ending::InTime;
        self.failures += (f64::from(u8::from(failed)) - self.failures) / FAILURE_SAMPLES;
        let (limit, ratio) = (self.limit, self.latency_ratio());
        let limit_reached =
            if limit < 2.0 { s.kept_waiting } else { f64::from(s.out_at_send) >= limit * BUSY_SHARE };
        let usual = self.usual();
        let safe_limit = self.safe_limit();
        self.limit = if failed {
            limit * if self.failures >= FAILURE_THRESHOLD { FAILURE_FACTOR } else { 1.0 }
        } else if ratio >= BACKOFF_RATIO && limit > safe_limit {
            (limit * BACKOFF_FACTOR).max(safe_limit)
        } else if !limit_reached {
            limit
        } else if ratio < CALM_RATIO {
            limit + FAST_INCREASE
        } else {
            limit + (limit * MAX_SLOW_INCREASE).min(1.0 / limit)
        };
        self.limit = self.limit.clamp(usual.clamp(MIN_LIMIT, 1.0), MAX_LIMIT);
        self.cooldown.start_after(s.now, s.elapsed(), self.limit);
    }

    fn observe_in_flight(&mut self, now: Micros, out: u32) {
        let seconds = self.observed.replace(now).map_or(0.0, |at| (now.saturating_sub(at)) as f64 / 1e6);
        // A clock that went back, or a long pause, counts as one step.
        let seconds = seconds.clamp(0.0, 1.0);
        self.best_latency *= 1.0 + BEST_DRIFT * seconds;
        self.idle_seconds += seconds;
        if self.latency_ratio() <= CALM_RATIO
            && self.best_latency.is_finite()
            && self.idle_seconds < IDLE_SECONDS
        {
            let keep = (-seconds / USUAL_SECONDS).exp();
            let (sum, seconds_observed) = self.usual;
            self.usual = (sum * keep + f64::from(out) * seconds, seconds_observed * keep + seconds);
            if self.usual.1 >= 1.0 {
                self.limit -= (self.limit - self.safe_limit()).max(0.0) * UNUSED_DECAY * seconds;
            }
        }
    }

    fn limit(&self, _now: Micros) -> f64 {
        self.limit
    }

    fn allows(&self, now: Micros, out: u32) -> bool {
        f64::from(out) < self.limit.max(1.0) && self.cooldown.is_over(now)
    }
}
