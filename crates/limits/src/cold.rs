//! Admission for a server that has just started: within any window, no more than a multiple of what it is
//! able to do by then.
//!
//! Use one for each server during its warm-up, and drop it afterwards. Don't use it for a warm server,
//! whose answers carry more information. It never assumes that the server does better than guaranteed: the
//! capacity is the guaranteed one, rising linearly from `initial_share` of the full rate over `duration`,
//! and is taken at the beginning of the window, where it is lowest. Work is counted in slices; the last
//! whole window and the slice in which it begins are added up, so that no window, wherever it begins, holds
//! more.
//!
//! - At the start: the whole budget is available, since nothing was sent. If it is below one request per
//!   window, as in front of many proxies, one request is sent per so many windows instead, the first after
//!   a share of that interval that the caller draws at random, so that proxies which start together don't
//!   send together.
//! - After idle time: the same.
//! - Ends of requests change nothing: a server that falls over says so too late. Rejected work counts as
//!   sent.
//! - A clock that goes back keeps what was counted and counts it as sent just now; a step forward clears
//!   it.
//!
//! Source: the fail-back rule of the deployment (the multiple, the window, the cold share and the cold time
//! come with the settings). Counting in slices is the sliding window of rate limiters; its price is that it
//! may refuse too early by one part in [`SLICES`], but never too late.

use crate::{cooldown::Cooldown, Limit, Micros, Sample};

/// Slices per window. 8 waste at most one eighth of the budget and take 80 bytes.
pub const SLICES: usize = 8;
const RING: usize = SLICES + 1;

/// Unused sends to a cold server that a whole fleet may accumulate, beyond one per proxy.
const FLEET_BURST: f64 = 200.0;
/// The same for a single proxy, at most, beyond one.
const MAX_BURST_EACH: f64 = 2.0;

/// Unused sends that each of `proxies` may accumulate for a cold server. A proxy that has a request for the
/// server every few seconds and may accumulate only one loses what it could not use in the meantime: a
/// hundred such proxies sent half of what they were allowed to. Accumulated sends are used as requests for
/// that server arrive, so together no faster than these.
pub fn burst(proxies: u32) -> f64 {
    1.0 + (FLEET_BURST / f64::from(proxies.max(1))).min(MAX_BURST_EACH)
}

/// How a server warms up, and what overloads it.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// When it started.
    pub started: Micros,
    /// The share of its full capacity at that time, 0 to 1.
    pub initial_share: f64,
    /// How long until it reaches full capacity, in us.
    pub duration: Micros,
    /// A load of this many times its capacity,
    pub multiple: f64,
    /// for this long, in us, makes it fall over.
    pub window: Micros,
}

impl WarmUp {
    /// The share of its full capacity that the server is guaranteed to have.
    pub fn capacity(&self, now: Micros) -> f64 {
        let progress = now.saturating_sub(self.started).max(0) as f64 / self.duration.max(1) as f64;
        (self.initial_share + (1.0 - self.initial_share) * progress).clamp(0.0, 1.0)
    }
}

/// Send budget of a cold server; see the module documentation.
#[derive(Clone, Debug)]
pub struct ColdBudget {
    warm_up: WarmUp,
    /// This proxy's share of the full capacity, in requests a second.
    full_rate: f64,
    /// Work sent in each slice, as a ring, and the number of the latest slice.
    sent: [f64; RING],
    latest: i64,
    cooldown: Cooldown,
}

impl ColdBudget {
    /// A budget for a server that became known at `now`. `full_rate` is this proxy's share of what the
    /// server does when warm, in requests a second, less a safety margin; `phase`, 0 to 1, spreads the
    /// first sends of the proxies.
    pub fn new(now: Micros, warm_up: WarmUp, full_rate: f64, phase: f64) -> Self {
        let mut cold = ColdBudget {
            warm_up,
            full_rate: 0.0,
            sent: [0.0; RING],
            latest: 0,
            cooldown: Cooldown::default(),
        };
        cold.latest = cold.slice(now);
        cold.set_full_rate(full_rate);
        if cold.budget(now) < 1.0 {
            cold.cooldown.start(now, cold.interval(now) * phase);
        }
        cold
    }

    /// Updates this proxy's share of the full capacity, in requests a second.
    pub fn set_full_rate(&mut self, full_rate: f64) {
        self.full_rate = if full_rate.is_finite() { full_rate.max(0.0) } else { 0.0 };
    }

    /// How much may be sent now, in requests.
    pub fn available(&self, now: Micros) -> f64 {
        (self.budget(now) - self.in_window(now)).max(0.0)
    }

    /// Counts work that is sent, in requests, whether the budget allowed it or not.
    pub fn record(&mut self, now: Micros, work: f64) {
        let slice = self.slice(now);
        // The clock went back: move everything counted into the current slice.
        for step in 0..slice.saturating_sub(self.latest).clamp(0, RING as i64) {
            self.sent[Self::ring_index(slice.saturating_sub(step))] = 0.0;
        }
        if slice < self.latest {
            let sum = self.sent.iter().sum();
            self.sent = [0.0; RING];
            self.sent[Self::ring_index(slice)] = sum;
        }
        self.latest = slice;
        self.sent[Self::ring_index(slice)] += work.max(0.0);
        if self.budget(now) < 1.0 {
            self.cooldown.start(now, self.interval(now));
        }
    }

    /// Requests that may be sent within a window ending now.
    fn budget(&self, now: Micros) -> f64 {
        let w = &self.warm_up;
        let seconds = w.window.max(1) as f64 / 1e6;
        w.multiple * self.full_rate * w.capacity(now.saturating_sub(w.window)) * seconds
    }

    /// The time between two requests where a window allows less than one, in us. Capped by the warm-up
    /// duration, so that there is another by the end of the cold time at the latest.
    fn interval(&self, now: Micros) -> f64 {
        (self.warm_up.window.max(1) as f64 / self.budget(now)).min(self.warm_up.duration as f64)
    }

    /// The work sent in the last window and the slice in which it begins.
    fn in_window(&self, now: Micros) -> f64 {
        let passed = self.slice(now).saturating_sub(self.latest).clamp(0, RING as i64);
        (0..RING as i64 - passed)
            .map(|back| self.sent[Self::ring_index(self.latest.saturating_sub(back))])
            .sum()
    }

    fn slice(&self, now: Micros) -> i64 {
        let w = self.warm_up.window.max(1);
        now.div_euclid((w - 1) / SLICES as i64 + 1)
    }

    fn ring_index(slice: i64) -> usize {
        slice.rem_euclid(RING as i64) as usize
    }
}

impl Limit for ColdBudget {
    fn sent(&mut self, now: Micros, _out: u32) {
        self.record(now, 1.0);
    }

    fn ended(&mut self, _sample: &Sample) {}

    fn limit(&self, now: Micros) -> f64 {
        self.available(now)
    }

    fn allows(&self, now: Micros, _out: u32) -> bool {
        match self.budget(now) < 1.0 {
            true => self.full_rate > 0.0 && self.in_window(now) <= 0.0 && self.cooldown.is_over(now),
            false => self.available(now) >= 1.0,
        }
    }
}
