//! What all relays of a thread share: the clock, how late they are, and a buffer to read into.

use async_io::Timer;
use futures_lite::future;
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::time::{Duration, Instant};
use world::Micros;

/// A run is void if the 99th percentile of the relays' lateness is over this.
pub const VOID_P99_US: u64 = 20_000;
/// A run is void if the relays were ever later than this: a pause of their thread, or of the machine.
pub const VOID_WORST_US: u64 = 250_000;
/// Between two beats, which notice a pause while nothing is on its way.
const BEAT_US: Micros = 5_000;
/// Bytes that are read at once.
pub const READ_SIZE: usize = 64 * 1024;
const HOUR_US: u64 = 3_600_000_000;

/// How much later than due the relays did things: deliveries that had a delay, and a beat every 5 ms.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Lateness {
    pub p99_us: u64,
    pub worst_us: u64,
    /// Whether that is past [`VOID_P99_US`] or [`VOID_WORST_US`]: what was seen says nothing then.
    pub void: bool,
}

impl Lateness {
    /// What there is to say of relays that have ended before they were told to.
    pub(super) const UNKNOWN: Lateness = Lateness { p99_us: HOUR_US, worst_us: HOUR_US, void: true };
}

pub struct RelayContext {
    start: Instant,
    late: RefCell<Histogram<u64>>,
    /// When the next beat is due.
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

    /// Until then; `None` is never.
    pub async fn until(&self, at_us: Option<Micros>) {
        match at_us {
            Some(at) => {
                Timer::at(self.instant(at)).await;
            }
            None => future::pending().await,
        }
    }

    /// Something was done now that was due then.
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
        // A pause that has just ended: its beat may not have come round yet.
        let overdue = (self.now() - self.beat_us.get()).max(0) as u64;
        let (p99_us, worst_us) = (late.value_at_quantile(0.99), late.max().max(overdue));
        Lateness { p99_us, worst_us, void: p99_us > VOID_P99_US || worst_us > VOID_WORST_US }
    }
}
