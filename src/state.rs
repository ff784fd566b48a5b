//! What a router keeps, as plain data with its arithmetic: nothing is decided here.

use crate::interface::*;
use crate::slow_start::Allowance;
use limits::capacity::ObservedCapacity;
use limits::{Bucket, Ending, FailureDomain, NodeLimit};
pub use placement::{mix, unit};
use std::collections::VecDeque;

/// Decaying first two moments of a quantity.
#[derive(Clone, Copy, Debug, Default)]
pub struct Moments {
    pub n: f64,
    pub sum: f64,
    pub squares: f64,
}

impl Moments {
    pub fn add(&mut self, x: f64) {
        self.n += 1.0;
        self.sum += x;
        self.squares += x * x;
    }

    pub fn decay(&mut self, f: f64) {
        *self = Moments { n: self.n * f, sum: self.sum * f, squares: self.squares * f };
    }

    pub fn pool(&mut self, other: &Moments) {
        self.n += other.n;
        self.sum += other.sum;
        self.squares += other.squares;
    }

    pub fn mean(&self) -> f64 {
        self.sum / self.n.max(f64::MIN_POSITIVE)
    }

    /// Mean and squared coefficient of variation (Var/E^2), shrunk toward a prior that counts as `samples`.
    pub fn shrunk(&self, samples: f64, mean: f64, scv: f64) -> (f64, f64) {
        // Each is shrunk by itself: a prior mean far from the samples' is no variance of theirs.
        let (own, n) = (self.mean(), self.n + samples);
        let own_scv = if own > 0.0 { (self.squares / self.n / (own * own) - 1.0).max(0.0) } else { scv };
        ((self.sum + samples * mean) / n, (self.n * own_scv + samples * scv) / n)
    }
}

/// The paper's per-server terms: rho, E[S], C_A^2 and C_S^2.
#[derive(Clone, Copy, Debug, Default)]
pub struct Terms {
    pub rho: f64,
    pub service: f64,
    pub arrival_scv: f64,
    pub service_scv: f64,
}

impl Terms {
    /// I = W_q/E[S] of the gathering queue, by Eq. 3.
    pub fn index(&self) -> f64 {
        self.rho / (1.0 - self.rho) * (self.arrival_scv + self.service_scv) / 2.0
    }

    /// With what planners solved in place of these, as far as it is trusted. `sure` is a utilisation that this
    /// router has seen itself just now: planners hear of it a second later.
    pub fn planned(self, solved: Option<PlannedTerms>, sure: f64) -> Terms {
        let Some(p) = solved else { return self };
        let to = |own: f64, said: f64| mixed(own, Some(said), p.trust);
        Terms {
            rho: to(self.rho, p.rho).max(sure),
            service: to(self.service, p.service),
            arrival_scv: to(self.arrival_scv, p.arrival_scv),
            service_scv: to(self.service_scv, p.service_scv),
        }
    }
}

/// What planners say in place of an own figure, as far as it is trusted.
fn mixed(own: f64, said: Option<f64>, trust: f64) -> f64 {
    said.map_or(own, |said| own + (said - own) * trust)
}

impl Plan {
    /// The part of a tenant's quota that is this router's: what planners give adds to its own judgement and
    /// takes nothing from it. A bucket of few requests a second is over by chance too often to be held to a
    /// part that is just right (`docs/design/two-levels.md`, "Worth").
    pub fn quota(&self, tenant: usize, own: f64) -> f64 {
        mixed(own, self.quotas.get(tenant).copied(), self.trust).max(own)
    }

    /// What of its own part of a server in slow start it may use.
    pub fn cold(&self) -> f64 {
        mixed(1.0, Some(self.cold), self.trust)
    }

    /// Whether another fetch may go out beside so many; without trust only its own limit counts.
    pub fn fetches(&self, out: u32) -> bool {
        f64::from(out) * self.trust < self.fetches.max(1.0)
    }
}

/// Each candidate's part of the key's spread traffic, the gathering queue first. Eq. 2 gives C_D^2 of the
/// gathering queue; from R_i = 1/d Eq. 4 gives C_i^2, Eq. 5 the wait, Eq. 6 the queue; Eq. 7 averages the
/// two ratios. R_i grows with the queue, so the part is (1 - R_i)/(d - 1).
pub fn shares(terms: &[Terms]) -> Vec<f64> {
    let d = terms.len() as f64;
    if terms.len() < 2 {
        return vec![1.0; terms.len()];
    }
    let g = terms[0];
    let departures = g.rho * g.rho * g.service_scv + (1.0 - g.rho * g.rho) * g.arrival_scv;
    let routed = departures / d + (1.0 - 1.0 / d);
    let queue = |t: &Terms| t.rho * t.rho / (1.0 - t.rho) * (routed + t.service_scv) / 2.0;
    let wait = |t: &Terms| t.service * t.rho / (1.0 - t.rho) * (routed + t.service_scv) / 2.0;
    let (queues, waits) = (terms.iter().map(queue).sum::<f64>(), terms.iter().map(wait).sum::<f64>());
    // An idle fleet has no queue and no wait to divide by: equal parts.
    let ratio = |x: f64, sum: f64| if sum > 0.0 && sum.is_finite() { x / sum } else { 1.0 / d };
    let r = |t: &Terms| (ratio(queue(t), queues) + ratio(wait(t), waits)) / 2.0;
    terms.iter().map(|t| (1.0 - r(t)) / (d - 1.0)).collect()
}

/// A listed server: what the list, its reports and its outcomes say of it.
#[derive(Default)]
pub struct Server {
    pub member: Member,
    /// An origin (aside mode), or a cache within its cold time.
    pub origin: bool,
    pub cold: bool,
    /// Listed weight, as far as it makes sense; and that times the part of a cold start that is over, 0 for
    /// what is not ready.
    pub listed: f64,
    pub weight: f64,
    pub rho: f64,
    pub reported: Option<Micros>,
    /// When a probe last went there.
    pub probed: Micros,
    /// What is out there, how much of it the server bears, and how long it has said nothing.
    pub gate: NodeLimit,
    pub gaps: Moments,
    pub last_send: Option<Micros>,
    pub latency: Moments,
    pub terms: Terms,
    /// The latest send that it answered well.
    pub answered: Micros,
    pub failures: u32,
    /// Connections that it refused since it last said something.
    pub refused: u32,
    pub evictions: u32,
    pub evicted_until: Micros,
    /// What this router may still send it in slow start.
    pub allowance: Allowance,
    /// What planners say: the part of its keys that it must not take, and its terms.
    pub avoid: f64,
    pub solved: Option<PlannedTerms>,
}

impl Server {
    /// Whether planners have this key go elsewhere: the same keys at every router.
    pub fn avoids(&self, key: u64) -> bool {
        self.avoid > 0.0 && unit(mix(mix(key) ^ self.member.server.0)) < self.avoid
    }

    /// How an attempt there ended, as limits see it. One that ran out of time though a later one was answered
    /// tells of its connection alone.
    pub fn ending(&self, end: &Outcome, sent: Micros, late: Micros) -> Ending {
        match end.verdict {
            Verdict::Served | Verdict::Miss if end.elapsed < late => Ending::InTime,
            Verdict::Served | Verdict::Miss => Ending::Slow,
            Verdict::Full if end.no_place => Ending::Broken,
            Verdict::Full | Verdict::Error => Ending::Refused,
            Verdict::Timeout if !self.overtook(sent, end.verdict) => Ending::Abandoned,
            _ => Ending::Broken,
        }
    }

    /// Whether an attempt ran out of time though one sent after it was answered: its connection fell silent or
    /// its answer was lost, and nothing is said of the server.
    pub fn overtook(&self, sent: Micros, verdict: Verdict) -> bool {
        verdict == Verdict::Timeout && self.answered > sent
    }
}

/// A zone's caches together: whether they are within reach, and what warm ones do of late.
#[derive(Default)]
pub struct Zone {
    pub reach: FailureDomain,
    /// Requests that warm ones served since the last refresh, without misses.
    pub served: f64,
    pub capacity: ObservedCapacity,
    /// The weight of its warm caches.
    pub warm: f64,
}

#[derive(Clone, Copy)]
pub struct Attempt {
    pub server: ServerId,
    pub zone: ZoneId,
    pub cell: CellId,
    pub sent: Micros,
    pub verdict: Option<Verdict>,
}

impl Attempt {
    pub fn sent(now: Micros, to: &Member) -> Self {
        Attempt { server: to.server, zone: to.zone, cell: to.cell, sent: now, verdict: None }
    }
}

/// A request without its final answer.
pub struct Open {
    pub request: Request,
    pub class: Class,
    pub taken: Micros,
    pub over: bool,
    pub attempts: Vec<Attempt>,
    /// Waits for its key's turn, for a fetch of its key here, or for a place at the origin.
    pub parked: bool,
    pub begun: bool,
}

/// The requests of a key that run in turn, as taken; who has its turn comes first and stays until it is over
/// with no attempt out. And until when the key rests.
#[derive(Default)]
pub struct Turns {
    pub queue: VecDeque<RequestId>,
    pub rest: Micros,
}

impl Open {
    /// The key in whose turns this request runs.
    pub fn in_order(&self) -> Option<Key> {
        Some(self.request.key).filter(|k| self.class.keep_order && *k != Key(0))
    }

    /// The time within which its answer counts for one in time: none over quota.
    pub fn counts(&self) -> Micros {
        if self.over {
            0
        } else {
            self.class.target_latency
        }
    }

    pub fn is_out(&self) -> bool {
        self.attempts.iter().any(|a| a.verdict.is_none())
    }

    /// The first attempt that may have run.
    pub fn ran(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.verdict.is_some_and(Verdict::never_ran))
    }

    /// Whether the class lets what may have run be sent to this server by `latest`.
    pub fn repeats_at(&self, latest: Micros, s: &Server) -> bool {
        match (self.class.repeat, self.ran()) {
            (_, None) | (Repeat::Retryable, _) => true,
            (Repeat::Fragile, Some(_)) => false,
            (Repeat::Dedup, Some(a)) => {
                let same = match self.class.group {
                    Group::All => true,
                    Group::Zone => a.zone == s.member.zone,
                    Group::Cell => a.cell == s.member.cell,
                };
                same && self.repeats_until().is_none_or(|until| latest < until)
            }
        }
    }

    /// Until when what may have run may be sent again; `None` where time sets no bound.
    pub fn repeats_until(&self) -> Option<Micros> {
        let ran = self.ran().filter(|_| self.class.repeat == Repeat::Dedup)?;
        Some(ran.sent + self.class.window)
    }

    /// Placement: a bound class goes only to its servers, at every attempt; any class may use the origin.
    pub fn placed_at(&self, s: &Server) -> bool {
        let zone = self.class.zones.as_ref().is_none_or(|z| z.contains(&s.member.zone));
        s.origin || (zone && self.class.kinds.as_ref().is_none_or(|k| k.contains(&s.member.kind)))
    }

    pub fn missed_at(&self) -> Option<ServerId> {
        self.attempts.iter().find(|a| a.verdict == Some(Verdict::Miss)).map(|a| a.server)
    }
}

/// A time that few samples of this mean and squared coefficient of variation exceed: three deviations more.
pub fn long((mean, scv): (f64, f64)) -> Micros {
    (mean * (1.0 + 3.0 * scv.sqrt())) as Micros
}

/// A router's part of the quotas, by the use of the tenants that hold the middle of them, taken to be within
/// their share: what was asked lately, a fading sum over `second` of a second, against the quota. The sums fade
/// by `keep`. 0 without quotas.
pub fn middle_part(tenants: &mut [Bucket], quotas: &[f64], second: f64, keep: f64) -> f64 {
    let mut used: Vec<(f64, f64)> = Vec::with_capacity(tenants.len());
    for (b, q) in tenants.iter_mut().zip(quotas).filter(|(_, q)| **q > 0.0 && q.is_finite()) {
        used.push((b.asked / second / q, *q));
        b.asked *= keep;
    }
    used.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut half = used.iter().map(|u| u.1).sum::<f64>() / 2.0;
    let middle = used.iter().find(|u| {
        half -= u.1;
        half <= 0.0
    });
    middle.map_or(0.0, |u| u.0)
}
