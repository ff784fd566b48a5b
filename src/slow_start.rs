//! Slow start: how many attempts this router may make at a server that has just started, so that what all routers send it
//! together stays under what overloads it.
//!
//! It owns the ramp, the routers' parts of a server's capacity and the allowance at each server; which server a request
//! wants is decided elsewhere, and nothing here is heard of another router.
//!
//! A server with N attempts allowed within a window is overloaded by N + 2 √N + 2 of all routers. Two things keep the sum
//! under that without a word between them:
//!
//! - **Rate.** Each router is issued attempts at its part of [`SHARE`] of N. The parts are what the router's own requests
//!   make of what warm servers serve, misses left out, so they add up to one whatever each router gets. Nothing that is
//!   learnt from a server in slow start raises the rate: its answers come quickly until the moment in which it is
//!   overloaded, and many routers would raise theirs together.
//! - **Stock.** What was issued and not used adds up over the routers too, and a disturbance has all of them spend it at
//!   once. So an issued attempt is open to any request for a moment only ([`Allowance::FRESH`]). Later it is kept for
//!   [`Demand::Expected`], which the list and the traffic bound by themselves: without that a router with a request for
//!   the server every minute would never have an attempt at hand when it comes.
//!
//! Sources: token buckets; the fail-back rule of the deployment, from which the ramp, the multiple and the window come.

use crate::interface::{Micros, Settings};

/// The part of the attempts that a server may be sent within a window that routers are issued together. What is left is for
/// issued attempts that are still fresh as a window begins, for chance, and for a server that is slower than others of its
/// weight.
const SHARE: f64 = 0.7;
/// Memory of the requests that this router gets, in us: short, so that a burst is known within a second.
const TRAFFIC_MEMORY: f64 = 1e6;

/// Why a request wants a server in slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Its first attempt goes where its key belongs by the list, and no more of these come than the server may be sent.
    Expected,
    /// Anything else: a further attempt, a request that other servers have no room for, a popular key.
    Excess,
}

/// What this router may still send one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// Progress towards the next attempt that is issued, 0 to 1.
    progress: f64,
    /// Attempts at hand; negative after a request of far more than the mean work.
    attempts: f64,
    /// When the latest was issued.
    issued: Micros,
}

impl Allowance {
    /// How long any request may use an attempt that was issued, as a part of the window.
    const FRESH: f64 = 0.4;

    /// A server is listed. `phase`, 0 to 1, is drawn by each router, so that they are issued their first attempts evenly
    /// over the time that one takes.
    pub fn new(phase: f64) -> Self {
        Allowance { progress: phase.clamp(0.0, 1.0), ..Allowance::default() }
    }

    /// Attempts at hand.
    pub fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Issues what has come in over the last `span` us at `rate` attempts a second.
    pub fn issue(&mut self, now: Micros, span: Micros, rate: f64, window: Micros) {
        let rate = if rate.is_finite() { rate.max(0.0) } else { 0.0 };
        self.progress += rate * span as f64 / 1e6;
        let whole = self.progress.floor();
        if whole < 1.0 {
            return;
        }
        self.progress -= whole;
        self.issued = now;
        let most = (rate * Self::FRESH * window as f64 / 1e6).max(1.0);
        self.attempts = (self.attempts + whole).min(most);
    }

    /// Whether an attempt may be made now.
    pub fn admits(&self, now: Micros, demand: Demand, window: Micros) -> bool {
        let fresh = now - self.issued <= (Self::FRESH * window as f64) as Micros;
        self.attempts >= 1.0 && (fresh || demand == Demand::Expected)
    }

    /// An attempt is made that draws as much as so many of mean work.
    pub fn spend(&mut self, work: f64) {
        self.attempts -= work;
    }
}

/// The policy of one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    from: f64,
    duration: Micros,
    /// Attempts that a server may be sent within a window, as a multiple of what it can do, and the window.
    multiple: f64,
    window: Micros,
    /// Requests for caches since the last refresh, and a second lately.
    requests: f64,
    traffic: f64,
    /// The weights of all servers that requests may go to, as this router ranks them, and how many are in slow start.
    weights: f64,
    starting: usize,
}

impl SlowStart {
    pub fn new(settings: &Settings) -> Self {
        SlowStart {
            from: settings.slow_start_from,
            duration: settings.slow_start_duration,
            multiple: settings.overload_multiple.max(1.0),
            window: settings.overload_window.max(1),
            ..SlowStart::default()
        }
    }

    /// The time over which a server's load is judged, in us.
    pub fn window(&self) -> Micros {
        self.window
    }

    /// The part of its capacity that a server of this age is sure to have, 0 to 1; `None` once it is warm.
    pub fn ramp(&self, age: Micros) -> Option<f64> {
        let along = age as f64 / self.duration.max(1) as f64;
        (age < self.duration).then(|| (self.from + (1.0 - self.from) * along).clamp(0.0, 1.0))
    }

    /// Attempts a second that this router is issued at a server of this weight, its ramp in it, where it sees warm servers
    /// of its zone serve `capacity` requests of mean work a second and unit of weight. `part` is what planners leave of it,
    /// 0 to 1.
    pub fn rate(&self, weight: f64, capacity: f64, part: f64) -> f64 {
        SHARE * self.multiple * weight * capacity * part
    }

    /// A request comes that wants a cache.
    pub fn request(&mut self) {
        self.requests += 1.0;
    }

    /// Takes in what came over the last `span` us.
    pub fn refresh(&mut self, span: Micros) {
        let keep = (-(span as f64) / TRAFFIC_MEMORY).exp();
        let lately = std::mem::take(&mut self.requests) * 1e6 / span.max(1) as f64;
        self.traffic = keep * self.traffic + (1.0 - keep) * lately;
    }

    /// Takes over the sum of the weights by which servers are ranked, and how many of them are in slow start.
    pub fn listed(&mut self, weights: f64, starting: usize) {
        (self.weights, self.starting) = (weights, starting);
    }

    /// Whether any server is in slow start.
    pub fn is_on(&self) -> bool {
        self.starting > 0
    }

    /// The requests a second that belong to a server of this weight.
    fn expected(&self, weight: f64) -> f64 {
        if self.weights > 0.0 {
            self.traffic * weight / self.weights
        } else {
            f64::INFINITY
        }
    }

    /// What a first attempt is where its key belongs to the server: `weight` is that by which it is ranked, `rate` what
    /// this router is issued there and `popularity` how often its key is asked for here, both a second.
    pub fn demand(&self, weight: f64, rate: f64, popularity: f64) -> Demand {
        if self.expected(weight) <= rate && popularity <= rate {
            Demand::Expected
        } else {
            Demand::Excess
        }
    }
}

#[cfg(test)]
mod tests;
