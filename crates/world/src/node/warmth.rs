//! The part of its capacity that a node has since its start. It grows linearly with time, or with the work
//! done.

use super::Machine;
use crate::scenario::WarmBy;
use crate::Micros;

/// A node that warms up with work is warm once it has done this part of the work that it could have done,
/// warm, within its cold time.
const WORK_PART: f64 = 0.5;

#[derive(Clone, Debug)]
pub struct Warmth {
    from: f64,
    /// `None` if it was warm from the beginning.
    started: Option<Micros>,
    /// Warm after this time, or after this work, and at the latest after `latest`.
    over: f64,
    work: f64,
    before: f64,
    latest: f64,
}

impl Warmth {
    pub fn warm(m: &Machine) -> Self {
        Warmth { started: None, ..Warmth::cold(m, 0, 0.0) }
    }

    /// `before` is the work that the machine had done until now.
    pub fn cold(m: &Machine, now: Micros, before: f64) -> Self {
        let over = m.cold_for.max(1) as f64;
        let work = match m.warm_by {
            WarmBy::Time => f64::INFINITY,
            WarmBy::Work => WORK_PART * over * f64::from(m.cores) * m.speed,
        };
        let latest = m.limits.warm_after.max(1) as f64;
        let over = if m.warm_by == WarmBy::Time { over.min(latest) } else { latest };
        Warmth { from: m.cold_from, started: Some(now), over, work, before, latest }
    }

    /// The part of the capacity available now; `worked` is the work that the machine has done in total.
    pub fn at(&self, now: Micros, worked: f64) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started).max(0) as f64;
        let along = (age / self.over).max((worked - self.before) / self.work).max(age / self.latest);
        (self.from + (1.0 - self.from) * along).min(1.0)
    }

    /// Whether it has been running since before the run began.
    pub fn was_always_warm(&self) -> bool {
        self.started.is_none()
    }
}
