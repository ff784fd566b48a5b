//! What the door learns of time: how long newcomers take to ask, how long clients take to ask again, and how
//! fast newcomers come.

use super::rank::Rank;
use crate::interface::Micros;

/// The part of the times seen that a quantile stays above, and the largest step of it, as a part of itself.
const PART: f64 = 0.9;
const STEP: f64 = 0.25;
/// Over what span the rate of newcomers is taken.
const SPAN: f64 = 1_000_000.0;

/// Who has left need not keep a slot for longer; the same is the least that any other rank may stay, since a
/// command that follows the handshake at once has come by then.
const LEAST: Micros = 20_000;
/// The most that a rank may stay once room is scarce.
const MOST: Micros = 250_000;
/// A usual client's connection counts for held after this at the least and at the most.
const UNUSED: (Micros, Micros) = (250_000, 2_000_000);

/// A quantile in one number, after frugal streaming (Ma, Muthukrishnan, Sandler: "Frugal Streaming for
/// Estimating Quantiles", 2013): a time above it raises it, one below lowers it, in steps that balance where
/// [`PART`] of all times are below. Steps are parts of the value, since times span orders of magnitude.
#[derive(Clone, Copy, Debug)]
struct Quantile(f64);

impl Quantile {
    fn see(&mut self, time: Micros) {
        let by = if time as f64 > self.0 { STEP * PART } else { -STEP * (1.0 - PART) };
        // Far outside the bounds that are put on it, it would take long to come back.
        self.0 = (self.0 * (1.0 + by)).clamp(1_000.0, 2_000_000.0);
    }

    fn times(self, n: f64) -> Micros {
        (self.0 * n) as Micros
    }
}

/// How often something happens, over about the last second.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    weight: f64,
    at: Micros,
}

impl Rate {
    fn at(&self, now: Micros) -> f64 {
        // A clock that steps back makes nothing younger.
        self.weight * (-((now - self.at).max(0) as f64) / SPAN).exp()
    }

    fn happens(&mut self, now: Micros) {
        self.weight = self.at(now) + 1.0;
        self.at = now;
    }
}

#[derive(Debug)]
pub(super) struct Pace {
    /// From accept to the first command that asks.
    first: Quantile,
    /// From the first answer to the second command that asks.
    again: Quantile,
    /// From one answer to the next command, of those that have asked more than once.
    gap: Quantile,
    newcomers: Rate,
}

impl Pace {
    pub fn new() -> Self {
        Pace {
            first: Quantile(MOST as f64 / 2.0),
            again: Quantile(30_000.0),
            gap: Quantile(100_000.0),
            newcomers: Rate::default(),
        }
    }

    pub fn newcomer(&mut self, now: Micros) {
        self.newcomers.happens(now);
    }

    /// Somebody asks that was of this rank for so long.
    pub fn asks(&mut self, was: Rank, time: Micros) {
        match was {
            Rank::Silent | Rank::Stalled | Rank::Pinging => self.first.see(time),
            Rank::Held => self.again.see(time),
            Rank::Usual => self.gap.see(time),
            Rank::Leaving => {}
        }
    }

    /// How long each rank may stay once room is scarce, where `room` downstreams may idle in the ample part.
    pub fn keeps(&self, now: Micros, room: usize) -> Keeps {
        let rate = self.newcomers.at(now).max(1.0);
        let lasts = (room as f64 / rate * SPAN) as Micros;
        let first = self.first.times(2.0).clamp(LEAST, MOST);
        Keeps {
            silent: first,
            pinging: first.min(lasts).max(LEAST),
            held: self.again.times(2.0).clamp(LEAST, MOST).min(lasts).max(LEAST),
            unused: self.gap.times(4.0).clamp(UNUSED.0, UNUSED.1),
        }
    }
}

/// How long each may stay once room is scarce.
#[derive(Clone, Copy, Debug)]
pub(super) struct Keeps {
    silent: Micros,
    pinging: Micros,
    held: Micros,
    unused: Micros,
}

impl Keeps {
    pub fn of(&self, rank: Rank) -> Micros {
        match rank {
            Rank::Leaving => LEAST,
            Rank::Silent => self.silent,
            Rank::Stalled => MOST,
            Rank::Pinging => self.pinging,
            Rank::Held => self.held,
            Rank::Usual => self.unused,
        }
    }
}

#[cfg(test)]
mod tests;
