//! Token bucket: a known rate with a bounded burst.
//!
//! Use one where the rate is given, such as a tenant's quota. Don't use one to protect an upstream that may
//! get slower: a fixed rate doesn't react to that. It also counts how often a token was requested, so that
//! its owner can see the demand and let that count decay as it likes.
//!
//! - At the start: empty, or filled by its owner.
//! - After idle time: full, one second's worth or the burst, never more.
//! - A clock that goes back adds no tokens; a step forward fills the bucket once.
//!
//! Source: RFC 2697 and 2698 (committed rate and burst); Turner, "New directions in communications (or which
//! way to the information age?)", IEEE Communications Magazine 24 (1986).

use crate::Micros;

/// Token bucket; see the module documentation.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Tokens as of `at`.
    pub tokens: f64,
    /// When it was last refilled.
    pub at: Micros,
    /// How many tokens were requested; only ever increased here.
    pub requested: f64,
}

impl Bucket {
    /// Takes a token if there is one, at `rate` tokens a second and a depth of one second's worth or
    /// `burst`, whichever is larger.
    pub fn take(&mut self, now: Micros, rate: f64, burst: f64) -> bool {
        self.requested += 1.0;
        self.tokens = self.tokens_at(now, rate, burst);
        self.at = now;
        let granted = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(granted));
        granted
    }

    /// How long until a token is available if nothing else takes one; used for the retry delay of a
    /// rejection. `None` if the rate never yields one.
    pub fn wait(&self, now: Micros, rate: f64, burst: f64) -> Option<Micros> {
        let missing = 1.0 - self.tokens_at(now, rate, burst);
        match missing <= 0.0 {
            true => Some(0),
            // A float beyond the integer range saturates.
            false => (rate > 0.0 && rate.max(burst) >= 1.0).then(|| (missing / rate * 1e6).ceil() as Micros),
        }
    }

    fn tokens_at(&self, now: Micros, rate: f64, burst: f64) -> f64 {
        let seconds = now.saturating_sub(self.at).max(0) as f64 / 1e6;
        (self.tokens + rate * seconds).min(rate.max(burst))
    }
}
