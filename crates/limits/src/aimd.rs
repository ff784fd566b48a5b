//! Additive up, multiplicative down, by the time of answers: the limit that the proxy has used for the
//! ledger until now, kept as the baseline.
//!
//! Use it to compare with. Do not use it where the guarded thing may get slower for reasons of its own: it
//! takes each answer later than the aim for overload, so a ledger that has become three times slower, with
//! room, is starved down to [`MIN_LIMIT`] and its queue here waits past its clients' patience.
//!
//! - At the start: [`START`] may be out, and one slow answer is taken at its word.
//! - After silence: as before it. Nothing fades with time.
//! - When all answers are errors: falls to [`MIN_LIMIT`] and tries one at a time, with rests.
//! - Broken ones change nothing, but count among the answers that were not slow.
//!
//! Source: Chiu and Jain, "Analysis of the increase and decrease algorithms for congestion avoidance in
//! computer networks", Computer Networks and ISDN Systems 17 (1989); RFC 5681, 3.1 for 1/limit an answer.

use crate::{rest::Rest, Ending, Limit, Micros, Sample};

/// Out at the start, before answers tell how many it takes. From the proxy's first origin days.
pub const START: f64 = 4.0;
/// The limit at least: 1 out for 0.3 of the time. See `docs/design/limits.md` for 2 to 64 in its place.
pub const MIN_LIMIT: f64 = 0.3;
/// The limit at most. Was without a bound; far above what one proxy may hold of connections.
pub const MAX_LIMIT: f64 = 4096.0;
/// The part of the answers being slow from which there are too many out, and how many are looked at.
const SLOW: f64 = 0.2;
const MEMORY: f64 = 10.0;
/// What is left of the limit at each slow answer from then on: milder than the half of RFC 5681, since one
/// answer in ten says so, not one loss a round trip.
const CUT: f64 = 0.9;

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Aimd {
    limit: f64,
    /// The part of the answers that were slow, lately.
    slow: f64,
    rest: Rest,
}

impl Default for Aimd {
    fn default() -> Self {
        Aimd { limit: START, slow: SLOW, rest: Rest::default() }
    }
}

impl Limit for Aimd {
    fn sent(&mut self, _now: Micros, _out: u32) {}

    fn ended(&mut self, s: &Sample) {
        let slow = s.ending == Ending::Slow || s.ending.failed();
        self.slow += (f64::from(u8::from(slow)) - self.slow) / MEMORY;
        let l = self.limit;
        self.limit = match s.ending {
            Ending::InTime => (l + l.min(1.0 / l)).min(MAX_LIMIT),
            _ if slow && self.slow >= SLOW => (l * CUT).max(MIN_LIMIT),
            _ => l,
        };
        self.rest.after(s.now, s.elapsed(), self.limit);
    }

    fn limit(&self, _now: Micros) -> f64 {
        self.limit
    }

    fn allows(&self, now: Micros, out: u32) -> bool {
        f64::from(out) < self.limit.max(1.0) && self.rest.over(now)
    }
}
