//! The request rate over time: periodic swings, paydays, surges of one tenant, crowds, and a shrinking fleet.

use crate::random::seconds;
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::Micros;

/// A change of the traffic for some time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Change {
    from: Micros,
    until: Micros,
    /// Multiplies all requests, or those of one tenant.
    times: f64,
    tenant: Option<usize>,
}

#[derive(Clone, Debug)]
pub struct Traffic {
    rate: f64,
    swing: f64,
    swing_s: f64,
    changes: Vec<Change>,
    /// Start, end and final part: the traffic falls linearly to this part and stays there.
    declines: Vec<(Micros, Micros, f64)>,
    /// Start, end, and the part of the reads that goes to the crowd's keys.
    crowds: Vec<(Micros, Micros, f64)>,
    /// The usual part of each tenant; sums to 1.
    tenants: Vec<f64>,
}

impl Traffic {
    pub fn new(s: &Scenario) -> Self {
        let shares: f64 = s.clients.tenants.iter().map(|t| t.share * t.usage).sum();
        let tenants: Vec<f64> = s.clients.tenants.iter().map(|t| t.share * t.usage / shares).collect();
        let span = |f: &Fault| (seconds(f.at_s), seconds(f.at_s + f.for_s));
        let of = |kind: FaultKind| s.faults.iter().filter(move |f| f.kind == kind);
        let place = |f: &Fault| s.clients.tenants.iter().position(|t| Some(&t.name) == f.tenant.as_ref());
        let change = |f: &Fault, tenant| {
            let (from, until) = span(f);
            Change { from, until, times: f.times.unwrap_or(1.0), tenant }
        };
        let surges = of(FaultKind::Surge).filter_map(|f| Some(change(f, Some(place(f)?))));
        Traffic {
            rate: s.clients.rate_per_s / 1e6,
            swing: s.clients.swing,
            swing_s: s.clients.swing_s,
            changes: of(FaultKind::Payday).map(|f| change(f, None)).chain(surges).collect(),
            declines: of(FaultKind::Shrink)
                .map(|f| (seconds(f.at_s), seconds(f.at_s + f.for_s), 1.0 - f.part.unwrap_or(0.0)))
                .collect(),
            crowds: of(FaultKind::Crowd)
                .map(|f| (seconds(f.at_s), seconds(f.at_s + f.for_s), f.rate.unwrap_or(0.0)))
                .collect(),
            tenants,
        }
    }

    /// A tenant's current traffic as a multiple of its usual traffic.
    fn surge(&self, tenant: usize, now: Micros) -> f64 {
        let now_on = |c: &&Change| c.tenant == Some(tenant) && (c.from..c.until).contains(&now);
        self.changes.iter().filter(now_on).map(|c| c.times).product()
    }

    /// Requests per microsecond.
    pub fn rate(&self, now: Micros) -> f64 {
        let wave = 1.0 + self.swing * (std::f64::consts::TAU * now as f64 / 1e6 / self.swing_s).sin();
        let on = |c: &&Change| c.tenant.is_none() && (c.from..c.until).contains(&now);
        let times: f64 = self.changes.iter().filter(on).map(|c| c.times).product();
        let fallen = self.declines.iter().map(|(from, until, to)| match now {
            _ if now <= *from => 1.0,
            _ if now >= *until => *to,
            _ => 1.0 - (1.0 - to) * (now - from) as f64 / (until - from) as f64,
        });
        let surges = if self.changes.iter().any(|c| c.tenant.is_some()) {
            self.tenants.iter().enumerate().map(|(i, part)| part * self.surge(i, now)).sum()
        } else {
            1.0
        };
        self.rate * wave * times * surges * fallen.product::<f64>()
    }

    /// Upper bound of the rate over the run. The largest product of simultaneous increases is reached at the
    /// start of one of the changes.
    pub fn max_rate(&self) -> f64 {
        let increase = |at: Micros| -> f64 {
            let on = self.changes.iter().filter(|c| (c.from..c.until).contains(&at));
            on.map(|c| c.times.max(1.0)).product()
        };
        let max_rate = self.changes.iter().map(|c| increase(c.from)).fold(1.0, f64::max);
        self.rate * (1.0 + self.swing) * max_rate
    }

    /// The tenant selected by a number in [0, 1); 0 if there are none.
    pub fn tenant(&self, now: Micros, draw: f64) -> usize {
        let surges = self.changes.iter().any(|c| c.tenant.is_some());
        let part = |i: usize| self.tenants[i] * if surges { self.surge(i, now) } else { 1.0 };
        let all: f64 = if surges { (0..self.tenants.len()).map(part).sum() } else { 1.0 };
        let mut left = draw * all;
        for i in 0..self.tenants.len() {
            left -= part(i);
            if left < 0.0 {
                return i;
            }
        }
        self.tenants.len().saturating_sub(1)
    }

    /// The part of the reads that goes to the crowd's keys.
    pub fn crowd(&self, now: Micros) -> f64 {
        let on = self.crowds.iter().filter(|(from, until, _)| (*from..*until).contains(&now));
        on.map(|(_, _, part)| *part).fold(0.0, f64::max)
    }
}
