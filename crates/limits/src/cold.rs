//! What may be sent to a server that has just started: over any window, no more than a multiple of what it
//! can do by then.
//!
//! Use one for each server within its cold time, and drop it after. Do not use it for a warm one, whose
//! answers tell more. It never guesses that the server does better than it must: the capacity is the sure
//! one, from `from` of the full evenly over `over`, and is taken at the window's beginning, where it is
//! least. Work is counted in slices; the last whole window and the slice that it begins in are looked at
//! together, so that no window, wherever it begins, holds more.
//!
//! - At the start: the whole budget is there, since nothing was sent. Where it is under one request a window,
//!   as before many proxies, one is sent each so many windows instead, the first after a part of that time
//!   that the caller draws, so that proxies which start together do not send together.
//! - After silence: the same.
//! - Endings change nothing: a server that falls over says so too late. Rejected work counts as sent.
//! - A clock that goes back keeps what was counted and counts it as sent just now; a step forward clears it.
//!
//! Source: the fail-back rule of the deployment (the multiple, the window, the cold share and time come with
//! the settings). Counting in slices is the sliding window of rate limiters; that it may say no too early by
//! one part in [`SLICES`], and never too late, is its price.

use crate::{rest::Rest, Limit, Micros, Sample};

/// Slices a window is counted in. 8 give away at most an eighth of the budget for 80 bytes.
pub const SLICES: usize = 8;
const KEPT: usize = SLICES + 1;

/// Sends to a cold server that a fleet may have kept back together, beyond one a proxy.
const KEPT_BACK: f64 = 200.0;
/// And that a proxy may at the most, beyond one.
const KEPT_BACK_EACH: f64 = 2.0;

/// Sends that each of so many proxies may keep back for a cold server. A proxy that has a request for it every few
/// seconds and may keep back one loses what it could not use meanwhile: a hundred such sent a half of what they
/// might. What they have kept back they send as requests for that server come, so together no faster than these.
pub fn burst(proxies: u32) -> f64 {
    1.0 + (KEPT_BACK / f64::from(proxies.max(1))).min(KEPT_BACK_EACH)
}

/// How a server warms, and what brings it down.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// When it started.
    pub started: Micros,
    /// The part of its full capacity that it has then, 0 to 1.
    pub from: f64,
    /// How long until it has all of it, in us.
    pub over: Micros,
    /// Sent this many times its capacity,
    pub multiple: f64,
    /// for this long, in us, it falls over.
    pub window: Micros,
}

impl WarmUp {
    /// The part of its full capacity that the server is sure to have.
    pub fn capacity(&self, now: Micros) -> f64 {
        let age = now.saturating_sub(self.started).max(0) as f64 / self.over.max(1) as f64;
        (self.from + (1.0 - self.from) * age).clamp(0.0, 1.0)
    }
}

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct ColdBudget {
    warming: WarmUp,
    /// What this proxy may count on of the full capacity, in requests a second.
    full: f64,
    /// Work sent in each slice, a ring, and the slice that is the latest.
    sent: [f64; KEPT],
    latest: i64,
    rest: Rest,
}

impl ColdBudget {
    /// A budget for a server heard of at `now`. `full` is this proxy's part of what it does when warm, in
    /// requests a second, less what is left to chance; `phase`, 0 to 1, spreads proxies.
    pub fn new(now: Micros, warming: WarmUp, full: f64, phase: f64) -> Self {
        let mut cold = ColdBudget { warming, full: 0.0, sent: [0.0; KEPT], latest: 0, rest: Rest::default() };
        cold.latest = cold.slice(now);
        cold.set_full_rate(full);
        if cold.budget(now) < 1.0 {
            cold.rest.lasting(now, cold.alone(now) * phase);
        }
        cold
    }

    /// Takes a new figure for this proxy's part of the full capacity, in requests a second.
    pub fn set_full_rate(&mut self, full: f64) {
        self.full = if full.is_finite() { full.max(0.0) } else { 0.0 };
    }

    /// What may be sent now, in requests.
    pub fn available(&self, now: Micros) -> f64 {
        (self.budget(now) - self.counted(now)).max(0.0)
    }

    /// Counts work that is sent, in requests. It is counted whether there was room or not.
    pub fn record(&mut self, now: Micros, work: f64) {
        let slice = self.slice(now);
        // A clock that went back: what is counted becomes the latest.
        for step in 0..slice.saturating_sub(self.latest).clamp(0, KEPT as i64) {
            self.sent[Self::place(slice.saturating_sub(step))] = 0.0;
        }
        if slice < self.latest {
            let sum = self.sent.iter().sum();
            self.sent = [0.0; KEPT];
            self.sent[Self::place(slice)] = sum;
        }
        self.latest = slice;
        self.sent[Self::place(slice)] += work.max(0.0);
        if self.budget(now) < 1.0 {
            self.rest.lasting(now, self.alone(now));
        }
    }

    /// Requests that may be sent within a window that ends now.
    fn budget(&self, now: Micros) -> f64 {
        let w = &self.warming;
        let seconds = w.window.max(1) as f64 / 1e6;
        w.multiple * self.full * w.capacity(now.saturating_sub(w.window)) * seconds
    }

    /// The time between two requests where a window has room for less than one, in us: by the end of the
    /// cold time at the latest there is another.
    fn alone(&self, now: Micros) -> f64 {
        (self.warming.window.max(1) as f64 / self.budget(now)).min(self.warming.over as f64)
    }

    /// What the last window and the slice that it begins in hold.
    fn counted(&self, now: Micros) -> f64 {
        let passed = self.slice(now).saturating_sub(self.latest).clamp(0, KEPT as i64);
        (0..KEPT as i64 - passed).map(|back| self.sent[Self::place(self.latest.saturating_sub(back))]).sum()
    }

    fn slice(&self, now: Micros) -> i64 {
        let w = self.warming.window.max(1);
        now.div_euclid((w - 1) / SLICES as i64 + 1)
    }

    fn place(slice: i64) -> usize {
        slice.rem_euclid(KEPT as i64) as usize
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
            true => self.full > 0.0 && self.counted(now) <= 0.0 && self.rest.over(now),
            false => self.available(now) >= 1.0,
        }
    }
}
