//! Real time on the scale of the models: microseconds, with 0 at the start of client traffic.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use world::Micros;

/// A clock shared by all threads of a run: copies show the same time. It starts below 0 and may be moved
/// forward once.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start, used for all times of day that are reported.
    unix: Micros,
    /// Time shown at the start.
    first: Arc<AtomicI64>,
}

impl Clock {
    /// Creates a clock that shows `first` now.
    pub fn start(first: Micros) -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix: unix.as_micros() as Micros, first: Arc::new(first.into()) }
    }

    fn first(&self) -> Micros {
        self.first.load(Ordering::Acquire)
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros + self.first()
    }

    /// Makes the clock show `at` from now on if that is later than its current time. Call it at most once,
    /// before anything is due.
    pub fn advance_to(&self, at: Micros) {
        let elapsed = self.start.elapsed().as_micros() as Micros;
        self.first.fetch_max(at - elapsed, Ordering::AcqRel);
    }

    /// Converts a time to an [`Instant`]; a time before the start gives the start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.first()).max(0) as u64)
    }

    /// Converts a time to Unix time in microseconds.
    pub fn unix(&self, at: Micros) -> Micros {
        self.unix + at - self.first()
    }
}

#[cfg(test)]
mod tests;
