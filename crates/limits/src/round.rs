//! A round: as many answers as may be in flight, of requests sent since it began. Collects the statistics
//! of the round and the time of the last end; makes no decisions.
//!
//! Limits based on latency change once per round, as TCP does once per round trip, so that a measurement
//! shows the effect of the last change. Requests sent before the round reflect the previous limit.
//!
//! Latencies are kept as logarithms. They vary by factors (lognormal service times, an origin that is
//! several times slower), and a single outlier of eight times the usual counts as about two, not as eight.

use crate::{abandoned::Abandoned, Ending, Micros, Sample};

/// Time without any end after which nothing learned is trusted, in us: longer than most disturbances, and
/// as long as BBR trusts a minimum round-trip time (draft-ietf-ccwg-bbr, `MinRTTFilterLen`). RFC 7661 asks
/// for such a time because an unused limit says nothing about the path.
pub(crate) const STALE_AFTER: Micros = 10_000_000;
/// Minimum answers per round. A single one is noise.
const MIN_ANSWERS: f64 = 2.0;
/// Maximum answers per round, so that a large limit is updated several times a second.
const MAX_ANSWERS: f64 = 64.0;
/// A round ends after this time with what it has, in us: a disturbance lasts a few such rounds.
const MAX_DURATION: Micros = 2_000_000;
/// An answer is due after this multiple of the usual latency.
const DUE_FACTOR: f64 = 2.0;
/// Answers averaged over for the mean latency, and for its spread. For lognormal times of sigma 0.6 the
/// first is then accurate to 0.15, the second to one eighth.
const MEAN_SAMPLES: f64 = 12.0;
const SPREAD_SAMPLES: f64 = 24.0;

/// The bounds of a limit, in requests in flight.
#[derive(Clone, Copy, Debug)]
pub struct Range {
    /// At the start and after idle time. Divide it by the number of proxies in front of one upstream, if
    /// known.
    pub start: f64,
    /// Minimum; under 1 it is the share of the time during which one request is in flight.
    pub min: f64,
    /// Maximum.
    pub max: f64,
}

impl Range {
    /// From one twentieth to 256, starting at `start`. With one twentieth, 240 proxies may share an origin
    /// of twelve cores without a queue.
    pub fn from(start: f64) -> Self {
        Range { start, min: 0.05, max: 256.0 }
    }

    /// Replaces unusable bounds by usable ones.
    fn sanitized(self) -> Self {
        let min = if self.min > 0.0 { self.min.min(1.0) } else { 0.05 };
        let max = if self.max > min { self.max.min(1e6) } else { 256.0 };
        let start = if self.start.is_finite() { self.start.clamp(min, max) } else { min };
        Range { start, min, max }
    }
}

/// Statistics of the answers of a round.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoundStats {
    /// Ends, without those of broken connections.
    pub ended: f64,
    /// Of those, refused or abandoned.
    pub failed: f64,
    /// Of those, sent while something waited for the limit.
    pub queued: f64,
    /// Count and sums over those with a latency: all but the refused.
    pub timed: f64,
    pub log_time: f64,
    pub time: f64,
    pub out: f64,
}

impl RoundStats {
    /// The share that was refused or abandoned.
    pub fn failure_share(&self) -> f64 {
        self.failed / self.ended.max(1.0)
    }

    /// The logarithm of the (geometric) mean latency in us, if there is any.
    pub fn mean_log(&self) -> Option<f64> {
        (self.timed > 0.0).then(|| self.log_time / self.timed)
    }

    /// Mean number in flight.
    pub fn mean_out(&self) -> f64 {
        self.out / self.timed.max(1.0)
    }

    /// Whether the limit held requests back: for half of the requests at least, something waited for it.
    pub fn limit_reached(&self) -> bool {
        self.queued * 2.0 >= self.ended
    }
}

/// Latency statistics: mean and spread of the logarithms, both as moving averages. The spread is computed
/// from successive differences, so that a drifting mean adds nothing to it: von Neumann and others, "The
/// mean square successive difference", Annals of Mathematical Statistics 12 (1941).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LatencyStats {
    pub mean: f64,
    last: f64,
    /// Mean square of successive differences: twice the variance.
    squares: f64,
    /// Number of answers so far, at most `SPREAD_SAMPLES`.
    pub samples: f64,
}

impl LatencyStats {
    fn add(&mut self, x: f64) {
        if self.samples > 0.0 {
            let step = x - self.last;
            self.squares += (step * step - self.squares) / self.samples.min(SPREAD_SAMPLES);
        }
        self.samples = (self.samples + 1.0).min(SPREAD_SAMPLES);
        self.mean += (x - self.mean) / self.samples.min(MEAN_SAMPLES);
        self.last = x;
    }

    /// The standard deviation of the logarithms, once there are enough samples.
    pub fn spread(&self) -> Option<f64> {
        (self.samples >= MEAN_SAMPLES).then(|| (self.squares / 2.0).sqrt())
    }
}

/// The current round.
#[derive(Clone, Debug)]
pub(crate) struct Round {
    pub range: Range,
    started: Option<Micros>,
    last_ended: Micros,
    stats: RoundStats,
    pub latency: LatencyStats,
    abandoned: Abandoned,
}

impl Round {
    pub fn new(range: Range) -> Self {
        Round {
            range: range.sanitized(),
            started: None,
            last_ended: 0,
            stats: RoundStats::default(),
            latency: LatencyStats::default(),
            abandoned: Abandoned::default(),
        }
    }

    /// Whether nothing has ended for so long that nothing learned is trusted.
    pub fn is_stale(&self, now: Micros) -> bool {
        self.started.is_some() && now.saturating_sub(self.last_ended) >= STALE_AFTER
    }

    /// A request is sent. Returns whether its limit has to start over.
    pub fn sent(&mut self, now: Micros) -> bool {
        let stale = self.is_stale(now);
        if stale || self.started.is_none() || now < self.last_ended {
            self.restart(now);
        }
        stale
    }

    /// Starts an empty round.
    pub fn restart(&mut self, now: Micros) {
        (self.started, self.last_ended, self.stats) = (Some(now), now, RoundStats::default());
    }

    /// The usual latency, in us.
    pub fn usual_latency(&self) -> Option<Micros> {
        (self.latency.samples > 0.0).then(|| self.latency.mean.exp() as Micros)
    }

    /// How long a request kept the upstream busy, for the pause after it under a limit of less than one. A
    /// request that was refused at once counts with the usual latency.
    pub fn busy_time(&self, s: &Sample, limit: f64) -> Micros {
        if limit >= 1.0 {
            0
        } else {
            s.elapsed().max(self.usual_latency().unwrap_or(0))
        }
    }

    /// A request has ended; returns the statistics of the round if it was the last of it. `answers` are
    /// needed for a round.
    pub fn ended(&mut self, s: &Sample, answers: f64) -> Option<RoundStats> {
        let Some(started) =
            self.started.filter(|b| s.now >= *b && s.now >= self.last_ended && s.now >= s.sent)
        else {
            // The clock went back: discard the time measurements in progress.
            self.restart(s.now);
            return None;
        };
        self.last_ended = s.now;
        let time = s.elapsed().max(1);
        // No request is in flight for that long: the clock stepped forward.
        if s.ending == Ending::Broken || time >= STALE_AFTER {
            return None;
        }
        let log_time = (time as f64).ln();
        if s.ending == Ending::Abandoned {
            self.abandoned.abandon(s.now, s.sent, self.usual_latency().unwrap_or(0));
            // Abandoned before an answer was due: the client left, which says nothing about the upstream.
            if self.latency.samples > 0.0 && log_time < self.latency.mean + DUE_FACTOR.ln() {
                return None;
            }
        } else if s.ending.answered() {
            self.abandoned.answered(s.sent);
            self.latency.add(log_time);
        }
        if s.sent < started {
            return None;
        }
        let stats = &mut self.stats;
        stats.ended += 1.0;
        stats.failed += f64::from(u8::from(s.ending.failed()));
        stats.queued += f64::from(u8::from(s.kept_waiting));
        if s.ending != Ending::Refused {
            stats.timed += 1.0;
            stats.time += time as f64;
            stats.log_time += log_time;
            stats.out += f64::from(s.out_at_send);
        }
        let timed_out = s.now - started >= MAX_DURATION && stats.ended >= MIN_ANSWERS;
        (timed_out || stats.ended >= answers.clamp(MIN_ANSWERS, MAX_ANSWERS)).then(|| {
            let stats = self.stats;
            self.restart(s.now);
            stats
        })
    }

    /// Number of abandoned requests that the upstream may still be working on.
    pub fn abandoned(&self, now: Micros) -> u32 {
        self.abandoned.in_flight(now)
    }
}

/// How a limit reacts to the failures of a round.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Reaction {
    /// Too few failures to matter.
    None,
    /// Decrease the limit to this value.
    Decrease(f64),
    /// Answers are back after a time without any: continue with this limit.
    Recover(f64),
}

/// How a limit reacts to failed requests. Remembers the limit from before the upstream stopped answering.
///
/// If some requests are answered, the others are excess load. If none is, the upstream is stopped,
/// unreachable or gone, and no limit helps: one request at a time detects its return, and then half of the
/// previous limit is right. BBR likewise keeps the window from before a timeout (draft-ietf-ccwg-bbr,
/// `prior_cwnd`).
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Failures {
    limit_before: Option<f64>,
}

impl Failures {
    /// Whether no request is answered at all.
    pub fn all_failed(&self) -> bool {
        self.limit_before.is_some()
    }

    /// The share of failures in a round from which it counts as overload: twice the tenth that may fail
    /// without a reason.
    const OVERLOAD_SHARE: f64 = 0.2;
    /// Factors applied to the limit after a round of overload, and after one without any answer.
    const OVERLOAD_FACTOR: f64 = 0.7;
    const ALL_FAILED_FACTOR: f64 = 0.5;

    pub fn react(&mut self, stats: &RoundStats, limit: f64, range: &Range) -> Reaction {
        if stats.failure_share() < Self::OVERLOAD_SHARE {
            return self
                .limit_before
                .take()
                .map_or(Reaction::None, |b| Reaction::Recover(limit.max(b / 2.0)));
        }
        if stats.failed < stats.ended {
            return Reaction::Decrease((limit * Self::OVERLOAD_FACTOR).max(range.min));
        }
        self.limit_before.get_or_insert(limit);
        Reaction::Decrease((limit * Self::ALL_FAILED_FACTOR).max(Self::ALL_FAILED_FACTOR.min(limit)))
    }
}
