//! What the router estimates of servers and re-solves on a timer: utilisation, moments of service and arrival
//! times, observed capacity, and from them the terms by which servers are compared and the attempts issued in
//! slow start.

use super::*;

/// Utilisation of a fleet that has reported nothing: no sign of congestion.
const RHO_PRIOR: f64 = 0.3;
/// Memory of the moments and of a report's truth, in us: some report periods, shorter than a trouble.
const MEMORY: f64 = 4e6;

impl Balancer {
    /// Where load is told to probes alone, one goes with a request to a server unknown of late: without it
    /// rho stays the prior and no key is ever spread.
    pub(super) fn probe(&mut self, now: Micros, server: ServerId, out: &mut Vec<Action>) {
        let asked = self.settings.may_probe && self.settings.reports == ReportSource::Probe;
        let Some(s) = self.servers.get_mut(&server).filter(|s| asked && !s.origin) else { return };
        if self.probes >= 1.0 && s.probed.max(s.reported.unwrap_or(0)) + PROBE_AGAIN <= now {
            (self.probes, s.probed) = (self.probes - 1.0, now);
            out.push(Action::Probe { server });
        }
    }

    pub(super) fn report(&mut self, now: Micros, server: ServerId, report: &[f32]) {
        let Some(at) = self.settings.columns.iter().position(|c| *c == Column::Utilisation) else { return };
        let (Some(s), Some(&rho)) = (self.servers.get_mut(&server), report.get(at)) else { return };
        if rho.is_finite() && (0.0..=16.0).contains(&rho) {
            (s.rho, s.reported) = (f64::from(rho).min(RHO_MAX), Some(now));
        }
    }

    pub(super) fn refresh(&mut self, now: Micros) {
        let second = REFRESH as f64 / 1e6;
        let keep = (-(REFRESH as f64) / MEMORY).exp();
        self.split_quotas(keep.powf(MEMORY / QUOTA_MEMORY));
        let (mut all_served, mut all_warm) = (0.0, 0.0);
        for (id, zone) in &mut self.zones {
            let warm = self.servers.values().filter(|s| !s.origin && !s.cold && s.member.zone == *id);
            let served = std::mem::take(&mut zone.served) / second;
            zone.warm = warm.map(|s| s.weight).sum();
            zone.capacity.add(served, zone.warm, keep);
            (all_served, all_warm) = (all_served + served, all_warm + zone.warm);
        }
        self.capacity.add(all_served, all_warm, keep);
        (self.wanted, self.answered) = (self.wanted * keep, self.answered * keep);
        self.hints.decay(keep);
        self.turns.retain(|_, t| !t.queue.is_empty() || t.rest > now);
        self.origin_time.decay(keep);
        self.asked.decay(keep.powf(MEMORY / ASKED_MEMORY));
        self.origin.observe_in_flight(now, self.fetching());
        self.slow_start.refresh(REFRESH);
        for s in self.servers.values_mut() {
            s.gaps.decay(keep);
            s.latency.decay(keep);
        }
        self.issue_allowances(now);
        self.refresh_terms(now);
    }

    /// Issues this router's attempts at servers in slow start.
    pub(super) fn issue_allowances(&mut self, now: Micros) {
        let starting = self.servers.values().filter(|s| s.cold);
        let rates: Vec<_> = starting.map(|s| (s.member.server, self.slow_start_rate(s))).collect();
        let window = self.slow_start.window();
        for (server, rate) in rates {
            if let Some(s) = self.servers.get_mut(&server) {
                s.allowance.issue(now, REFRESH, rate, window);
            }
        }
    }

    /// Attempts a second that this router is issued at a server in slow start.
    pub(crate) fn slow_start_rate(&self, s: &Server) -> f64 {
        self.slow_start.rate(s.weight, self.observed_capacity(s.member.zone), self.plan.cold())
    }

    /// What warm caches of a zone were seen to do; where it has none, those of all zones.
    pub(super) fn observed_capacity(&self, zone: ZoneId) -> f64 {
        match self.zones.get(&zone).filter(|z| z.warm > 0.0) {
            Some(zone) => zone.capacity.get(),
            None => self.capacity.get(),
        }
    }

    pub(super) fn refresh_terms(&mut self, now: Micros) {
        let truth = |s: &Server| s.reported.map_or(0.0, |at| (-((now - at) as f64) / MEMORY).exp());
        let (mut latency, mut gaps) = (Moments::default(), Moments::default());
        let (mut rho, mut known) = (RHO_PRIOR * 0.01, 0.01);
        for s in self.servers.values().filter(|s| !s.origin) {
            latency.pool(&s.latency);
            gaps.pool(&s.gaps);
            rho += truth(s) * s.rho;
            known += truth(s);
        }
        let prior = self.aim as f64 / 4.0;
        let (service, service_scv) = latency.shrunk(PRIOR_SAMPLES, prior, PRIOR_SCV);
        self.long = long((service, service_scv));
        let (gap, gap_scv) = gaps.shrunk(PRIOR_SAMPLES, 1e6, PRIOR_SCV);
        self.servers.change(self.settings.zone, |s| {
            // Silence is not health: an old report fades into the fleet's mean.
            let t = truth(s);
            let rho = (t * s.rho + (1.0 - t) * rho / known).clamp(0.0, RHO_MAX);
            let (service, service_scv) = s.latency.shrunk(PRIOR_SAMPLES, service, service_scv);
            let arrival_scv = s.gaps.shrunk(PRIOR_SAMPLES, gap, gap_scv).1;
            let sure = if s.rho >= RHO_MAX { t * s.rho } else { 0.0 };
            s.terms = Terms { rho, service, arrival_scv, service_scv }.planned(s.solved, sure);
            s.origin = Some(s.member.kind) == self.settings.origin_kind;
            let ramp = self.slow_start.ramp(s.member.age(now)).filter(|_| !s.origin);
            s.cold = ramp.is_some();
            s.listed = Some(s.member.weight).filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
            s.weight = if s.member.phase == Phase::Ready { s.listed * ramp.unwrap_or(1.0) } else { 0.0 };
        });
        let far = self.far();
        let caches = || self.servers.values().filter(|s| !s.origin);
        let weights = caches().map(|s| s.weight * self.nearness(s, far)).sum();
        let starting = caches().filter(|s| s.cold).count();
        self.slow_start.listed(weights, starting);
    }
}
