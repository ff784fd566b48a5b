//! Load reports of a node: made periodically, visible after a delay, with some noise.

use super::Machine;
use crate::random::{factor, Random};
use crate::Micros;
use std::collections::VecDeque;

/// Covers a report period that ended some time ago.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Report {
    pub errors_per_s: f32,
    /// Utilization of the cores from 0 to 1, apart from noise.
    pub util: f32,
}

/// Maximum number of reports that are not visible yet: as many as fit into the longest delay.
const MAX_ENTRIES: usize = 64;

#[derive(Clone, Debug)]
pub struct Reports {
    cores: f64,
    period: Micros,
    delay: Micros,
    noise: f64,
    since: Micros,
    busy: f64,
    errors: u32,
    made: VecDeque<(Micros, Report)>,
}

impl Reports {
    pub fn new(m: &Machine) -> Self {
        Reports {
            cores: f64::from(m.cores),
            period: m.report_period.max(1),
            delay: m.report_delay,
            noise: m.report_noise,
            since: 0,
            busy: 0.0,
            errors: 0,
            made: VecDeque::new(),
        }
    }

    pub fn error(&mut self) {
        self.errors += 1;
    }

    /// Makes a report if the last one is a period old; `busy` is the total core time used.
    pub fn sample(&mut self, now: Micros, busy: f64, rng: &mut Random) {
        let span = now - self.since;
        if span < self.period {
            return;
        }
        let util = (busy - self.busy) / (span as f64 * self.cores);
        let errors = f64::from(self.errors) / (span as f64 / 1e6);
        let noisy = |x: f64, rng: &mut Random| (x * factor(self.noise, rng)) as f32;
        let report = Report { util: noisy(util, rng).min(1.0), errors_per_s: noisy(errors, rng) };
        (self.since, self.busy, self.errors) = (now, busy, 0);
        if self.made.len() >= MAX_ENTRIES {
            self.made.pop_front();
        }
        self.made.push_back((now, report));
    }

    /// The newest report that is old enough to be visible.
    pub fn latest(&mut self, now: Micros) -> Report {
        while self.made.len() > 1 && self.made[1].0 + self.delay <= now {
            self.made.pop_front();
        }
        self.made.front().filter(|(at, _)| at + self.delay <= now).map_or_else(Report::default, |(_, r)| *r)
    }
}
