//! Additive increase, multiplicative decrease, driven by late answers: the limit that the proxy used for
//! the origin before [`crate::origin`], kept as the baseline.
//!
//! Use it for comparisons. Don't use it where the upstream may get slower for reasons of its own: it takes
//! every answer later than the target for overload, so an origin that became three times slower but has
//! spare capacity is throttled down to [`MIN_LIMIT`], and requests queue here past their clients'
//! deadlines.
//!
//! - At the start: [`START`] may be in flight, and a single slow answer already counts.
//! - After idle time: unchanged. Nothing decays with time.
//! - When all answers are errors: falls to [`MIN_LIMIT`] and sends one at a time, with pauses.
//! - Broken connections don't change the limit, but count as answers that were not slow.
//!
//! Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance in
//! computer networks", Computer Networks and ISDN Systems 17 (1989); RFC 5681, 3.1 for the increase of
//! 1/limit per answer.

use crate::{cooldown::Cooldown, Ending, Limit, Micros, Sample};

/// In flight at the start, before answers show how many the upstream bears. Unchanged since the proxy first
/// fetched from an origin.
pub const START: f64 = 4.0;
/// Minimum: one request in flight for 0.3 of the time. `docs/design/limits.md` compares it with 2 to 64.
pub const MIN_LIMIT: f64 = 0.3;
/// Maximum. Earlier versions had none; it is far above the connections one proxy may hold.
pub const MAX_LIMIT: f64 = 4096.0;
/// The share of slow answers from which the limit falls, and the number of answers averaged over.
const SLOW_SHARE: f64 = 0.2;
const SAMPLES: f64 = 10.0;
/// Factor applied at each slow answer from then on: milder than the one half of RFC 5681, which reacts to
/// one loss per round trip, while here one answer in ten can trigger it.
const DECREASE: f64 = 0.9;

/// AIMD limit; see the module documentation.
#[derive(Clone, Debug)]
pub struct Aimd {
    limit: f64,
    /// Moving average of the share of slow answers.
    slow_share: f64,
    cooldown: Cooldown,
}

impl Default for Aimd {
    fn default() -> Self {
        Aimd { limit: START, slow_share: SLOW_SHARE, cooldown: Cooldown::default() }
    }
}

impl Limit for Aimd {
    fn sent(&mut self, _now: Micros, _out: u32) {}

    fn ended(&mut self, s: &Sample) {
        let slow = s.ending == Ending::Slow || s.ending.failed();
        self.slow_share += (f64::from(u8::from(slow)) - self.slow_share) / SAMPLES;
        let limit = self.limit;
        self.limit = match s.ending {
            Ending::InTime => (limit + limit.min(1.0 / limit)).min(MAX_LIMIT),
            _ if slow && self.slow_share >= SLOW_SHARE => (limit * DECREASE).max(MIN_LIMIT),
            _ => limit,
        };
        self.cooldown.start_after(s.now, s.elapsed(), self.limit);
    }

    fn limit(&self, _now: Micros) -> f64 {
        self.limit
    }

    fn allows(&self, now: Micros, out: u32) -> bool {
        f64::from(out) < self.limit.max(1.0) && self.cooldown.is_over(now)
    }
}
