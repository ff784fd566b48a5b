//! The state that a router keeps, as plain data with its arithmetic. No decisions are made here.

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

    /// Mean and squared coefficient of variation (Var/E^2), shrunk toward a prior that counts as
    /// `samples`.
    pub fn shrunk(&self, samples: f64, mean: f64, scv: f64) -> (f64, f64) {
        // The two are shrunk separately: a prior mean far from the samples' mean is not variance of
        // the samples.
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
    /// I = W_q/E[S], the mean wait divided by the mean service time, by Eq. 3.
    pub fn congestion_index(&self) -> f64 {
        self.rho / (1.0 - self.rho) * (self.arrival_scv + self.service_scv) / 2.0
    }

    /// These terms blended with those from planners; `PlannedTerms::trust` is the weight of the
    /// latter. `observed` is a utilisation that this router has just observed: planners learn of it a
    /// second later, so it is a lower bound.
    pub fn with_planned(self, planned: Option<PlannedTerms>, observed: f64) -> Terms {
        let Some(p) = planned else { return self };
        let blended = |own: f64, planned: f64| blend(own, Some(planned), p.trust);
        Terms {
            rho: blended(self.rho, p.rho).max(observed),
            service: blended(self.service, p.service),
            arrival_scv: blended(self.arrival_scv, p.arrival_scv),
            service_scv: blended(self.service_scv, p.service_scv),
        }
    }
}

/// Blends a local value with one from planners; `trust` is the weight of the latter, 0 to 1.
fn blend(own: f64, planned: Option<f64>, trust: f64) -> f64 {
    planned.map_or(own, |planned| own + (planned - own) * trust)
}

impl Plan {
    /// This router's fraction of a tenant's quota: planners can raise its own estimate but not lower
    /// it. A bucket with few requests per second overflows by chance too often to be held to an
    /// exact fraction (`docs/design/two-levels.md`, "Worth").
    pub fn quota_fraction(&self, tenant: usize, own: f64) -> f64 {
        blend(own, self.quotas.get(tenant).copied(), self.trust).max(own)
    }

    /// Factor on this router's rate of attempts at servers in slow start.
    pub fn slow_start_fraction(&self) -> f64 {
        blend(1.0, Some(self.slow_start_fraction), self.trust)
    }

    /// Whether planners allow another fetch beside `in_flight` others; without trust only the
    /// router's own limit counts.
    pub fn allows_fetch(&self, in_flight: u32) -> bool {
        f64::from(in_flight) * self.trust < self.fetches.max(1.0)
    }
}

/// Splits a key's traffic over its d candidates, the first one in front, so that a candidate with a
/// longer queue and wait gets less. The equations are those of the paper (`docs/design.md`), whose
/// gathering queue is the first candidate. Eq. 2 gives C_D^2, the squared coefficient of variation
/// (SCV) of its departures. With R_i = 1/d as the fraction routed to candidate i, Eq. 4 gives C_i^2,
/// the SCV of the arrivals there, Eq. 5 the wait and Eq. 6 the queue. Eq. 7 sets R_i to the average of
/// the candidate's parts of all waits and of all queues. That R_i grows with the queue, so the
/// fraction returned is (1 - R_i)/(d - 1).
pub fn shares(terms: &[Terms]) -> Vec<f64> {
    let d = terms.len() as f64;
    if terms.len() < 2 {
        return vec![1.0; terms.len()];
    }
    let first = terms[0];
    let departures =
        first.rho * first.rho * first.service_scv + (1.0 - first.rho * first.rho) * first.arrival_scv;
    let routed = departures / d + (1.0 - 1.0 / d);
    let queue = |t: &Terms| t.rho * t.rho / (1.0 - t.rho) * (routed + t.service_scv) / 2.0;
    let wait = |t: &Terms| t.service * t.rho / (1.0 - t.rho) * (routed + t.service_scv) / 2.0;
    let (queues, waits) = (terms.iter().map(queue).sum::<f64>(), terms.iter().map(wait).sum::<f64>());
    // An idle fleet has no queue and no wait to divide by: equal fractions.
    let ratio = |x: f64, sum: f64| if sum > 0.0 && sum.is_finite() { x / sum } else { 1.0 / d };
    let r = |t: &Terms| (ratio(queue(t), queues) + ratio(wait(t), waits)) / 2.0;
    terms.iter().map(|t| (1.0 - r(t)) / (d - 1.0)).collect()
}

/// A listed server: its list entry, and what its reports and outcomes tell about it.
#[derive(Default)]
pub struct Server {
    pub member: Member,
    /// Whether it is an origin (cache-aside), or a cache in slow start.
    pub origin: bool,
    pub in_slow_start: bool,
    /// The listed weight, or 1 if that is not a positive number; and the listed weight scaled by the
    /// slow start ramp, 0 if the server is not ready.
    pub listed_weight: f64,
    pub weight: f64,
    pub rho: f64,
    pub reported: Option<Micros>,
    /// When it was last sent a probe.
    pub probed: Micros,
    /// The attempts in flight to it, the limit on them, and how long the server has not answered.
    pub limiter: NodeLimit,
    pub inter_arrivals: Moments,
    pub last_send: Option<Micros>,
    pub latency: Moments,
    pub terms: Terms,
    /// Send time of the latest attempt that it answered successfully.
    pub last_answered_send: Micros,
    pub failures: u32,
    /// Connections refused since its last response.
    pub refused_connections: u32,
    pub evictions: u32,
    pub evicted_until: Micros,
    /// Attempts that this router may still send it in slow start.
    pub allowance: Allowance,
    /// From planners: the fraction of its keys that it must not get, and its terms.
    pub avoided_fraction: f64,
    pub planned_terms: Option<PlannedTerms>,
}

impl Server {
    /// Whether planners exclude this key from the server: the same keys on every router.
    pub fn avoids(&self, key: u64) -> bool {
        self.avoided_fraction > 0.0 && unit(mix(mix(key) ^ self.member.server.0)) < self.avoided_fraction
    }

    /// How an attempt ended, as the limiters classify it. If an attempt times out although a
    /// later one was answered, only its connection is at fault.
    pub fn ending(&self, end: &Outcome, sent: Micros, late: Micros) -> Ending {
        match end.verdict {
            Verdict::Served | Verdict::Miss if end.elapsed < late => Ending::InTime,
            Verdict::Served | Verdict::Miss => Ending::Slow,
            Verdict::Full if end.no_place => Ending::Broken,
            Verdict::Full | Verdict::Error => Ending::Refused,
            Verdict::Timeout if !self.answered_later_send(sent, end.verdict) => Ending::Abandoned,
            _ => Ending::Broken,
        }
    }

    /// Whether an attempt timed out although one sent after it was answered: its connection died or
    /// its answer was lost, which says nothing about the server.
    pub fn answered_later_send(&self, sent: Micros, verdict: Verdict) -> bool {
        verdict == Verdict::Timeout && self.last_answered_send > sent
    }
}

/// The caches of a zone: whether they are reachable, and the recent work of the warm ones.
#[derive(Default)]
pub struct Zone {
    pub reachability: FailureDomain,
    /// Requests served by warm caches since the last refresh, without misses.
    pub served: f64,
    pub capacity: ObservedCapacity,
    /// Total weight of its warm caches.
    pub warm_weight: f64,
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
pub struct OpenRequest {
    pub request: Request,
    pub class: Class,
    pub taken: Micros,
    pub over_quota: bool,
    pub attempts: Vec<Attempt>,
    /// Waits for its turn in the key's queue, for another request's fetch of its key, or for the
    /// origin.
    pub queued: bool,
    pub answering: bool,
}

/// The requests of an ordered key in order of arrival, and the time until which the key is paused.
/// The head of the queue runs, and stays queued until it is finished and has no attempt in flight.
#[derive(Default)]
pub struct KeyQueue {
    pub queue: VecDeque<RequestId>,
    pub paused_until: Micros,
}

impl OpenRequest {
    /// The key by which this request is ordered, if it is.
    pub fn ordered_key(&self) -> Option<Key> {
        Some(self.request.key).filter(|k| self.class.keep_order && *k != Key(0))
    }

    /// Time within which its answer counts as in time: none if over quota.
    pub fn on_time_limit(&self) -> Micros {
        if self.over_quota {
            0
        } else {
            self.class.target_latency
        }
    }

    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.verdict.is_none())
    }

    /// The first attempt that may have run.
    pub fn first_possibly_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.verdict.is_some_and(Verdict::never_ran))
    }

    /// Whether a request that may have run may be sent to this server by `latest`.
    pub fn may_repeat_on(&self, latest: Micros, s: &Server) -> bool {
        match (self.class.repeat, self.first_possibly_run()) {
            (_, None) | (Repeat::Retryable, _) => true,
            (Repeat::Fragile, Some(_)) => false,
            (Repeat::Dedup, Some(a)) => {
                let same = match self.class.group {
                    Group::All => true,
                    Group::Zone => a.zone == s.member.zone,
                    Group::Cell => a.cell == s.member.cell,
                };
                same && self.repeat_deadline().is_none_or(|until| latest < until)
            }
        }
    }

    /// Time until which a request that may have run may be sent again; `None` if there is no limit.
    pub fn repeat_deadline(&self) -> Option<Micros> {
        let ran = self.first_possibly_run().filter(|_| self.class.repeat == Repeat::Dedup)?;
        Some(ran.sent + self.class.window)
    }

    /// Placement: a class bound to zones or kinds only uses servers of those, at every attempt; any
    /// class may use the origin.
    pub fn placed_on(&self, s: &Server) -> bool {
        let zone = self.class.zones.as_ref().is_none_or(|z| z.contains(&s.member.zone));
        s.origin || (zone && self.class.kinds.as_ref().is_none_or(|k| k.contains(&s.member.kind)))
    }

    pub fn missed_server(&self) -> Option<ServerId> {
        self.attempts.iter().find(|a| a.verdict == Some(Verdict::Miss)).map(|a| a.server)
    }
}

/// A duration that few samples with this mean and squared coefficient of variation exceed: the mean
/// plus three standard deviations.
pub fn long_time((mean, scv): (f64, f64)) -> Micros {
    (mean * (1.0 + 3.0 * scv.sqrt())) as Micros
}

/// This router's fraction of the quotas: the weighted median, by quota, of each tenant's recent
/// usage relative to its quota, as the median tenant is assumed to be within its share.
/// `Bucket::requested` is a decaying sum over about `memory_seconds` seconds and is decayed by `keep`.
/// 0 without quotas.
pub fn median_quota_use(tenants: &mut [Bucket], quotas: &[f64], memory_seconds: f64, keep: f64) -> f64 {
    let mut used: Vec<(f64, f64)> = Vec::with_capacity(tenants.len());
    for (b, q) in tenants.iter_mut().zip(quotas).filter(|(_, q)| **q > 0.0 && q.is_finite()) {
        used.push((b.requested / memory_seconds / q, *q));
        b.requested *= keep;
    }
    used.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut half = used.iter().map(|u| u.1).sum::<f64>() / 2.0;
    let middle = used.iter().find(|u| {
        half -= u.1;
        half <= 0.0
    });
    middle.map_or(0.0, |u| u.0)
}
