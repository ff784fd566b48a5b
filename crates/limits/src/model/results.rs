//! Results of a run: counts, and sums by second.

use crate::Micros;

const SECOND: Micros = 1_000_000;

/// Counts and sums of one run.
#[derive(Clone, Debug, Default)]
pub struct Results {
    /// Worth requested, by the second of a client's first try.
    pub requested: Vec<f64>,
    /// Worth served in time, by the same second.
    pub served: Vec<f64>,
    /// Client tries.
    pub tries: u64,
    /// Tries refused.
    pub refused: u64,
    /// Tries that failed.
    pub failed: u64,
    /// Requests sent to the origin.
    pub sent: u64,
    /// Requests rejected by the origin.
    pub turned_away: u64,
    /// Requests abandoned without an answer.
    pub abandoned: u64,
    /// Core time used by the origin, in us.
    pub busy: f64,
    /// Core time used for answers that nobody waited for any more.
    pub wasted: f64,
    /// Core time of the origin that was available, in us.
    pub available: f64,
    /// The highest load of the origin over the period of its overload rule, as a multiple of its capacity.
    pub worst_overload: f64,
    /// How often overload stopped the origin.
    pub stops: u64,
    /// State at each tenth of a second.
    pub trace: Vec<Trace>,
}

/// State of the simulation at one moment.
#[derive(Clone, Copy, Debug)]
pub struct Trace {
    /// The sum of the proxies' limits.
    pub limits: f64,
    /// The limit of the first proxy.
    pub first: f64,
    /// The limit of the last proxy, which is in the other zone.
    pub last: f64,
    /// Requests at the origin, in service and queued.
    pub origin_requests: f64,
}

impl Results {
    pub(super) fn for_length(length: Micros) -> Self {
        let seconds = (length / SECOND + 1) as usize;
        Results { requested: vec![0.0; seconds], served: vec![0.0; seconds], ..Results::default() }
    }

    pub(super) fn add_at(sums: &mut [f64], at: Micros, worth: f64) {
        if let Some(sum) = sums.get_mut((at / SECOND) as usize) {
            *sum += worth;
        }
    }

    /// Share of the requested worth that was served in time between two times.
    pub fn served_share_between(&self, from: Micros, to: Micros) -> f64 {
        let part = |sums: &[f64]| -> f64 {
            let skip = sums.iter().skip((from / SECOND) as usize);
            skip.take(((to - from) / SECOND) as usize).sum()
        };
        part(&self.served) / part(&self.requested).max(f64::MIN_POSITIVE)
    }

    /// The same over the whole run.
    pub fn served_share(&self) -> f64 {
        self.served_share_between(0, self.requested.len() as Micros * SECOND)
    }

    /// Seconds after `end` until two consecutive seconds serve the share that was served before `began`,
    /// less `slack`.
    pub fn recovery(&self, began: Micros, end: Micros, slack: f64) -> f64 {
        // The first seconds fill the caches and are not representative.
        let usual = self.served_share_between((5 * SECOND).min(began / 2), began);
        let recovered = |at: Micros| self.served_share_between(at, at + 2 * SECOND) >= usual - slack;
        let last = self.requested.len() as Micros * SECOND - 2 * SECOND;
        let times = (end..=last).step_by(SECOND as usize);
        times.clone().find(|t| recovered(*t)).map_or((last - end) as f64, |t| (t - end) as f64)
            / SECOND as f64
    }

    /// The share of the origin's core time that was used, and the share of that which was used for answers
    /// nobody waited for.
    pub fn origin_load(&self) -> (f64, f64) {
        (self.busy / self.available.max(1.0), self.wasted / self.busy.max(1.0))
    }

    /// The ratio of the highest to the lowest limit of the first proxy between two times.
    pub fn limit_swing(&self, from: Micros, to: Micros) -> f64 {
        let span = (from / 100_000) as usize..(to / 100_000) as usize;
        let of = self.trace.get(span).unwrap_or_default().iter().map(|t| t.first);
        let (low, high) = of.fold((f64::INFINITY, 0f64), |(low, high), x| (low.min(x), high.max(x)));
        high / low
    }
}
