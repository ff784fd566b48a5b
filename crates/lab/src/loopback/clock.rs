//! Real time as the models count it: microseconds, 0 being when clients begin to come.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use world::Micros;

/// A clock for all threads of a run: copies show the same time. It starts before 0 and may be set forward once.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    /// The system's clock at the start, which everybody who is told a time of the day reads.
    unix: Micros,
    /// What it shows at the start.
    first: Arc<AtomicI64>,
}

impl Clock {
    /// Shows `first` now.
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

    /// Shows `at` from now on, if that is later than what it shows. Once at most, and before anything is due.
    pub fn advance_to(&self, at: Micros) {
        let elapsed = self.start.elapsed().as_micros() as Micros;
        self.first.fetch_max(at - elapsed, Ordering::AcqRel);
    }

    /// When a moment comes on the system's clock of intervals; what is past counts as the start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.first()).max(0) as u64)
    }

    /// A moment as Unix time in microseconds.
    pub fn unix(&self, at: Micros) -> Micros {
        self.unix + at - self.first()
    }
}

#[cfg(test)]
mod tests;
