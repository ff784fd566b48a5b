//! The clock whose times are passed to the core.

use crate::interface::Micros;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Unix time read once at the start and advanced by the monotonic clock, unaffected by changes of the
/// system's clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started: Instant,
    unix: Micros,
}

impl Clock {
    pub(crate) fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started: Instant::now(), unix: unix.as_micros() as Micros }
    }

    pub(crate) fn now(&self) -> Micros {
        self.unix + self.started.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an [`Instant`] for timers.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.started + Duration::from_micros((at - self.unix).max(0) as u64)
    }
}
