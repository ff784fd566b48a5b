//! Budget for requests beyond first attempts: retries after a failure, second copies beside an attempt in
//! flight, and retries marked by clients. It bounds the share of work that does not contribute an answer.
//!
//! Use one for each upstream group that retries add load to: the cache nodes, the origin. Don't use it for
//! first attempts; those are what a limit admits.
//!
//! Each request adds `share` to the budget, each extra request takes 1. So over any run of requests the
//! extras are at most `share` of them plus `depth`. As failures increase, less is added and less is kept:
//! from [`CALM_SHARE`] of the requests failing down to nothing at [`HARD_SHARE`]. Second copies leave half
//! of the depth to retries, because a retry stands for a request that has nothing in flight.
//!
//! - At the start: full, so that a new proxy can retry at once.
//! - After idle time ([`IDLE_RESET`]): the tokens stay; the failure share is reset.
//! - When all answers are errors: no extras at all after about [`SAMPLES`] ends; first attempts still go
//!   out and show when the trouble is over.
//! - A clock that goes back does not count as idle time.
//!
//! Sources: Beyer and others, "Site Reliability Engineering" (2016), ch. 21, "Handling Overload" (a client's
//! repeats stay under 10% of its requests) and ch. 22, "Addressing Cascading Failures" (a budget a server and
//! minute; a system that fails wholly must get no repeats); Finagle's `RetryBudget` (deposits at each
//! request, withdrawals at each repeat, 20% by default).

use crate::{Ending, Micros, Sample};

/// Share of failures up to which the full amount is added: the 10% of the SRE book.
pub const CALM_SHARE: f64 = 0.1;
/// Share of failures from which nothing is added: the value at which the proxy assumes a fault behind the
/// whole fleet.
pub const HARD_SHARE: f64 = 0.3;
/// Number of ends averaged over: a change of one fifth is then rarely caused by chance alone.
pub const SAMPLES: f64 = 50.0;
/// Time without an end after which the failure share is reset, in us: about the lifetime of the deposits of
/// Finagle.
pub const IDLE_RESET: Micros = 10_000_000;

/// A request beyond a first attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extra {
    /// Another attempt after one that failed.
    Retry,
    /// A second copy beside an attempt in flight.
    SecondCopy,
    /// A retry by the client, where clients mark them.
    ClientRetry,
}

/// Retry budget; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    share: f64,
    depth: f64,
    tokens: f64,
    failure_share: f64,
    last_ended: Micros,
}

impl Budget {
    /// A full budget of at most `depth` extras that gains `share` of an extra per request. Negative values
    /// and NaN count as 0.
    pub fn new(share: f64, depth: f64) -> Self {
        let (share, depth) = (share.max(0.0), depth.max(0.0));
        Budget { share, depth, tokens: depth, failure_share: 0.0, last_ended: 0 }
    }

    /// A request arrived; adds its share.
    pub fn request(&mut self, now: Micros) {
        if now.saturating_sub(self.last_ended) >= IDLE_RESET {
            (self.failure_share, self.last_ended) = (0.0, now);
        }
        let refill_factor = self.refill_factor();
        self.tokens = (self.tokens + self.share * refill_factor).min(self.depth * refill_factor);
    }

    /// An upstream request has ended.
    pub fn ended(&mut self, s: &Sample) {
        self.last_ended = s.now;
        // A broken connection says nothing about load; a late answer is not a failure.
        let failed = f64::from(u8::from(s.ending.failed()));
        if s.ending != Ending::Broken {
            self.failure_share += (failed - self.failure_share) / SAMPLES;
        }
        self.tokens = self.tokens.min(self.depth * self.refill_factor());
    }

    /// Takes one extra if the budget allows it.
    pub fn take(&mut self, extra: Extra) -> bool {
        let reserved = if extra == Extra::SecondCopy { self.depth / 2.0 } else { 0.0 };
        let granted = self.tokens - reserved >= 1.0;
        self.tokens -= f64::from(u8::from(granted));
        granted
    }

    /// Remaining budget, in extras.
    pub fn left(&self) -> f64 {
        self.tokens
    }

    /// Moving average of the share of ends that failed.
    pub fn failing(&self) -> f64 {
        self.failure_share
    }

    /// 1 up to [`CALM_SHARE`], 0 from [`HARD_SHARE`], linear between.
    fn refill_factor(&self) -> f64 {
        ((HARD_SHARE - self.failure_share) / (HARD_SHARE - CALM_SHARE)).clamp(0.0, 1.0)
    }
}
