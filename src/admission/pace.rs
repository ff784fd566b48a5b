//! Timing statistics: how long newcomers take to make their first request, how long clients pause between
//! requests, and the rate of new connections.

use super::rank::Rank;
use crate::interface::Micros;

/// The share of the observed times below the estimated quantile, and the largest step of the estimate, as a
/// fraction of its value.
const QUANTILE: f64 = 0.9;
const MAX_STEP: f64 = 0.25;
/// The time constant of the rate of new connections, in microseconds.
const RATE_WINDOW_US: f64 = 1_000_000.0;

/// How long a downstream that is leaving may keep its slot. It is also the minimum for every other rank,
/// since a command that follows the handshake at once has arrived by then.
const MIN_RETENTION: Micros = 20_000;
/// The longest retention of a rank under pressure.
pub(super) const MAX_RETENTION: Micros = 250_000;
/// After how long an unused connection in regular use counts as held, at least and at most.
const UNUSED_RETENTION: (Micros, Micros) = (250_000, 2_000_000);

/// A quantile kept in one number by frugal streaming (Ma, Muthukrishnan, Sandler: "Frugal Streaming for
/// Estimating Quantiles", 2013): a time above the estimate raises it, one below lowers it, in steps that
/// balance where [`QUANTILE`] of all times are below. Steps are fractions of the value, since times span
/// orders of magnitude.
#[derive(Clone, Copy, Debug)]
struct Quantile(f64);

impl Quantile {
    fn record(&mut self, time: Micros) {
        let by = if time as f64 > self.0 { MAX_STEP * QUANTILE } else { -MAX_STEP * (1.0 - QUANTILE) };
        // Far outside the bounds applied by the callers, the estimate would take long to come back.
        self.0 = (self.0 * (1.0 + by)).clamp(1_000.0, 2_000_000.0);
    }

    fn times(self, n: f64) -> Micros {
        (self.0 * n) as Micros
    }
}

/// An exponentially decaying event rate, over about the last second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    weight: f64,
    at: Micros,
}

impl Rate {
    fn at(&self, now: Micros) -> f64 {
        // A clock that steps back must not increase the weight.
        self.weight * (-((now - self.at).max(0) as f64) / RATE_WINDOW_US).exp()
    }

    fn record(&mut self, now: Micros) {
        self.weight = self.at(now) + 1.0;
        self.at = now;
    }
}

#[derive(Debug)]
pub(super) struct Timing {
    /// From accept to the first request.
    first_request: Quantile,
    /// From the first answer to the second request.
    second_request: Quantile,
    /// From an answer to the next request, for connections with more than one request.
    request_gap: Quantile,
    newcomers: Rate,
}

impl Timing {
    pub fn new() -> Self {
        Timing {
            first_request: Quantile(MAX_RETENTION as f64 / 2.0),
            second_request: Quantile(30_000.0),
            request_gap: Quantile(100_000.0),
            newcomers: Rate::default(),
        }
    }

    pub fn newcomer(&mut self, now: Micros) {
        self.newcomers.record(now);
    }

    /// Records that a downstream of rank `was` made a request after `time`.
    pub fn requested(&mut self, was: Rank, time: Micros) {
        match was {
            Rank::Silent | Rank::Stalled | Rank::Pinging => self.first_request.record(time),
            Rank::Held => self.second_request.record(time),
            Rank::Usual => self.request_gap.record(time),
            Rank::Leaving | Rank::Abusive => {}
        }
    }

    /// How long each rank may stay under pressure, when `room` idle downstreams fit below the soft limit.
    pub fn retention(&self, now: Micros, room: usize) -> Retention {
        let rate = self.newcomers.at(now).max(1.0);
        let affordable = (room as f64 / rate * RATE_WINDOW_US) as Micros;
        let first_request = self.first_request.times(2.0).clamp(MIN_RETENTION, MAX_RETENTION);
        Retention {
            silent: first_request,
            pinging: first_request.min(affordable).max(MIN_RETENTION),
            held: self
                .second_request
                .times(2.0)
                .clamp(MIN_RETENTION, MAX_RETENTION)
                .min(affordable)
                .max(MIN_RETENTION),
            unused: self.request_gap.times(4.0).clamp(UNUSED_RETENTION.0, UNUSED_RETENTION.1),
        }
    }
}

/// How long each rank may stay under pressure.
#[derive(Clone, Copy, Debug)]
pub(super) struct Retention {
    silent: Micros,
    pinging: Micros,
    held: Micros,
    unused: Micros,
}

impl Retention {
    pub fn of(&self, rank: Rank) -> Micros {
        match rank {
            Rank::Leaving | Rank::Abusive => MIN_RETENTION,
            Rank::Silent => self.silent,
            Rank::Stalled => MAX_RETENTION,
            Rank::Pinging => self.pinging,
            Rank::Held => self.held,
            Rank::Usual => self.unused,
        }
    }
}

#[cfg(test)]
mod tests;
