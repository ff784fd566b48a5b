//! Slow start: limits the attempts that this router makes at a recently started server, so that the
//! total from all routers stays below what overloads it.
//!
//! This module owns the ramp, the router's share of a server's capacity and the allowance for each
//! server. Which server a request prefers is decided elsewhere, and routers do not exchange
//! information for it.
//!
//! A server for which N attempts are allowed within a window counts as overloaded at N + 2 √N + 2
//! attempts from all routers: N, two standard deviations of a Poisson count, and 2. Two mechanisms
//! keep the sum below that without communication:
//!
//! - **Rate.** Each router is issued attempts at its share of [`SHARE`] of N. The share follows from
//!   what warm servers serve of the router's own requests, not counting misses, so the shares add up
//!   to one however traffic is distributed. Nothing learnt from a server in slow start raises the
//!   rate: it answers quickly until the moment it is overloaded, and many routers would raise their
//!   rates together.
//! - **Unused attempts.** Issued but unused attempts also add up over the routers, and after a
//!   disturbance all routers would use theirs at once. So any request may use an issued attempt only
//!   for a fraction of the window ([`Allowance::FRESH`]). After that it is reserved for requests for
//!   the server's own keys ([`Demand::Expected`]), which the list and the traffic limit by
//!   themselves: without this reserve a router with one request per minute for the server would never
//!   have an attempt available for it.
//!
//! Based on token buckets and on the slow-start settings (`slow_start_*`, `overload_*`), which define
//! the ramp, the multiple and the window.

use crate::interface::{Micros, Settings};

/// Fraction of the attempts that a server may receive within a window that is issued to all routers
/// together. The rest covers attempts that are still fresh when a window begins, random variation,
/// and servers slower than others of their weight.
const SHARE: f64 = 0.7;
/// Averaging time of this router's request rate, in us: short, so that a burst is noticed within a
/// second.
const REQUEST_RATE_MEMORY: f64 = 1e6;

/// Why a request is sent to a server in slow start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Demand {
    /// Its first attempt goes to the server to which its key belongs by the list, and the rate of
    /// such requests is within the rate issued.
    Expected,
    /// Anything else: a further attempt, overflow from other servers, or a popular key.
    Excess,
}

/// The attempts that this router may still send to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Allowance {
    /// Progress towards the next issued attempt, 0 to 1.
    progress: f64,
    /// Attempts available; negative after a request with far more than the mean work.
    attempts: f64,
    /// When the latest attempt was issued.
    issued: Micros,
}

impl Allowance {
    /// How long any request may use an issued attempt, as a fraction of the window.
    const FRESH: f64 = 0.4;

    /// Creates the allowance of a newly listed server. Each router draws `initial_progress`,
    /// 0 to 1, at random, so that the first attempts of all routers are spread evenly over the interval
    /// between two attempts.
    pub fn new(initial_progress: f64) -> Self {
        Allowance { progress: initial_progress.clamp(0.0, 1.0), ..Allowance::default() }
    }

    /// Attempts available.
    pub fn attempts(&self) -> f64 {
        self.attempts
    }

    /// Issues attempts for the last `span` us at `rate` attempts per second.
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

    /// Records an attempt whose work is that of `work` mean requests.
    pub fn spend(&mut self, work: f64) {
        self.attempts -= work;
    }
}

/// The slow start policy of one router.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStart {
    initial: f64,
    duration: Micros,
    /// Attempts that a server may receive within a window, as a multiple of its capacity, and the
    /// window.
    overload_multiple: f64,
    window: Micros,
    /// Requests for caches since the last refresh, and their recent rate per second.
    requests: f64,
    request_rate: f64,
    /// Total weight of all servers that may receive requests, as this router ranks them, and how
    /// many are in slow start.
    total_weight: f64,
    starting_servers: usize,
}

impl SlowStart {
    pub fn new(settings: &Settings) -> Self {
        SlowStart {
            initial: settings.slow_start_from,
            duration: settings.slow_start_duration,
            overload_multiple: settings.overload_multiple.max(1.0),
            window: settings.overload_window.max(1),
            ..SlowStart::default()
        }
    }

    /// The time over which a server's load is judged, in us.
    pub fn window(&self) -> Micros {
        self.window
    }

    /// Fraction of its capacity that a server of this age is sure to have, 0 to 1; `None` once it is
    /// warm.
    pub fn ramp(&self, age: Micros) -> Option<f64> {
        let along = age as f64 / self.duration.max(1) as f64;
        (age < self.duration).then(|| (self.initial + (1.0 - self.initial) * along).clamp(0.0, 1.0))
    }

    /// Attempts per second issued to this router for a server of this weight, its ramp included,
    /// where warm servers of its zone serve `capacity` of this router's requests per second and unit
    /// of weight, in requests of mean work. `planned_fraction` is the factor set by planners, 0 to 1.
    pub fn rate(&self, weight: f64, capacity: f64, planned_fraction: f64) -> f64 {
        SHARE * self.overload_multiple * weight * capacity * planned_fraction
    }

    /// Counts a request that needs a cache.
    pub fn request(&mut self) {
        self.requests += 1.0;
    }

    /// Updates the request rate with the requests of the last `span` us.
    pub fn refresh(&mut self, span: Micros) {
        let keep = (-(span as f64) / REQUEST_RATE_MEMORY).exp();
        let lately = std::mem::take(&mut self.requests) * 1e6 / span.max(1) as f64;
        self.request_rate = keep * self.request_rate + (1.0 - keep) * lately;
    }

    /// Sets the total of the weights by which servers are ranked, and the number of servers in slow
    /// start.
    pub fn set_ranking(&mut self, weights: f64, starting: usize) {
        (self.total_weight, self.starting_servers) = (weights, starting);
    }

    /// Whether any server is in slow start.
    pub fn is_active(&self) -> bool {
        self.starting_servers > 0
    }

    /// Requests per second that belong to a server of this weight.
    fn expected(&self, weight: f64) -> f64 {
        if self.total_weight > 0.0 {
            self.request_rate * weight / self.total_weight
        } else {
            f64::INFINITY
        }
    }

    /// Classifies a first attempt at the server to which its key belongs. `weight` is its ranking
    /// weight, `rate` the attempts issued to this router for it, and `popularity` how often the key
    /// is requested here, both per second.
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
