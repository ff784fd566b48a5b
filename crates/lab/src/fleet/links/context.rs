//! State shared by all relays of the thread: the clock, the lateness statistics and a read buffer.

use async_io::Timer;
use futures_lite::future;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use world::Micros;

/// A run is void if the 99th percentile of the relays' lateness exceeds this.
pub const VOID_P99_US: u64 = 20_000;
/// A run is void if the relays were ever later than this: the thread or the machine paused.
pub const VOID_WORST_US: u64 = 250_000;
/// Interval between beats, which detect a pause while no data is in flight.
const BEAT_US: Micros = 5_000;
/// Maximum number of bytes per read.
pub const READ_SIZE: usize = 64 * 1024;
const HOUR_US: u64 = 3_600_000_000;

/// How late the relays did what was due: delayed deliveries, and a beat every 5 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Lateness {
    pub p99_us: u64,
    pub worst_us: u64,
    /// Whether this exceeds [`VOID_P99_US`] or [`VOID_WORST_US`], so that the run has no verdict.
    pub void: bool,
}

impl Lateness {
    /// Reported if the relay thread has ended unexpectedly.
    pub(super) const UNKNOWN: Lateness = Lateness { p99_us: HOUR_US, worst_us: HOUR_US, void: true };
}

pub struct RelayContext {
    start: Instant,
    late: RefCell<Histogram<u64>>,
    /// Time at which the next beat is due.
    beat_us: Cell<Micros>,
    pub scratch: RefCell<Vec<u8>>,
}

impl RelayContext {
    pub fn new() -> Option<Self> {
        Some(RelayContext {
            start: Instant::now(),
            late: RefCell::new(Histogram::new_with_bounds(1, HOUR_US, 2).ok()?),
            beat_us: Cell::new(BEAT_US),
            scratch: RefCell::new(vec![0; READ_SIZE]),
        })
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at_us: Micros) -> Instant {
        self.start + Duration::from_micros(at_us.max(0) as u64)
    }

    /// Waits until then; `None` waits forever.
    pub async fn until(&self, at_us: Option<Micros>) {
        match at_us {
            Some(at) => {
                Timer::at(self.instant(at)).await;
            }
            None => future::pending().await,
        }
    }

    /// Records the lateness of an action that was due at `due_us`.
    pub fn done(&self, due_us: Micros) {
        self.late.borrow_mut().saturating_record((self.now() - due_us).max(0) as u64);
    }

    pub async fn beat(&self) {
        loop {
            let due = self.beat_us.get();
            self.until(Some(due)).await;
            self.done(due);
            self.beat_us.set(self.now() + BEAT_US);
        }
    }

    pub fn lateness(&self) -> Lateness {
        let late = self.late.borrow();
        // After a pause that has just ended, the overdue beat may not have been recorded yet.
        let overdue = (self.now() - self.beat_us.get()).max(0) as u64;
        let (p99_us, worst_us) = (late.value_at_quantile(0.99), late.max().max(overdue));
        Lateness { p99_us, worst_us, void: p99_us > VOID_P99_US || worst_us > VOID_WORST_US }
    }
}
