//! Pauses between requests, for limits below one. Holds only the time of the next send.
//!
//! Many proxies can overload an origin with a single request in flight each. A limit of 0.25 therefore
//! means one request in flight for a quarter of the time: after a request of 100 ms comes a pause of 300
//! ms.

use crate::Micros;

/// Longest pause after a request, in us. An upstream that recovers is noticed within it, however long the
/// request took.
const MAX_PAUSE: f64 = 1e6;

/// The interval in which nothing is sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Cooldown {
    from: Micros,
    until: Micros,
}

impl Cooldown {
    /// Begins a pause after a request that kept the upstream busy for `busy`, so that requests are in
    /// flight for a share `limit` of the time.
    pub(crate) fn start_after(&mut self, now: Micros, busy: Micros, limit: f64) {
        self.start(now, (busy as f64 * (1.0 / limit - 1.0)).min(MAX_PAUSE));
    }

    /// Begins a pause of `pause` microseconds; NaN counts as none.
    pub(crate) fn start(&mut self, now: Micros, pause: f64) {
        *self = Cooldown { from: now, until: now.saturating_add(pause.max(0.0) as Micros) };
    }

    /// Whether the pause is over. It is also over if the clock went back to before its start.
    pub(crate) fn is_over(&self, now: Micros) -> bool {
        now >= self.until || now < self.from
    }
}
