//! The router's estimates of servers, recalculated on a timer: utilisation, moments of service and
//! inter-arrival times, observed capacity, and from these the terms by which servers are compared
//! and the attempts issued in slow start.

use super::*;

/// Assumed utilisation of a fleet that has reported nothing: no sign of congestion.
const RHO_PRIOR: f64 = 0.3;
/// Averaging time of the moments, and decay time of a report's weight, in us: several report
/// periods, and shorter than a typical fault.
const MEMORY: f64 = 4e6;

impl Balancer {
    /// Where only probes return load reports, sends a probe along with a request to a server without
    /// a recent report. Without it rho would stay at the prior and no key would ever be spread.
    pub(super) fn probe(&mut self, now: Micros, server: ServerId, out: &mut Vec<Action>) {
        let asked = self.settings.may_probe && self.settings.reports == ReportSource::Probe;
        let Some(s) = self.servers.get_mut(&server).filter(|s| asked && !s.origin) else { return };
        if self.probe_budget >= 1.0 && s.probed.max(s.reported.unwrap_or(0)) + PROBE_INTERVAL <= now {
            (self.probe_budget, s.probed) = (self.probe_budget - 1.0, now);
            out.push(Action::Probe { server });
        }
    }

    pub(super) fn record_report(&mut self, now: Micros, server: ServerId, report: &[f32]) {
        let Some(at) = self.settings.columns.iter().position(|c| *c == Column::Utilisation) else { return };
        let (Some(s), Some(&rho)) = (self.servers.get_mut(&server), report.get(at)) else { return };
        if rho.is_finite() && (0.0..=16.0).contains(&rho) {
            (s.rho, s.reported) = (f64::from(rho).min(RHO_MAX), Some(now));
        }
    }

    pub(super) fn refresh(&mut self, now: Micros) {
        let interval_seconds = REFRESH_INTERVAL as f64 / 1e6;
        let keep = (-(REFRESH_INTERVAL as f64) / MEMORY).exp();
        self.update_quota_fraction(keep.powf(MEMORY / QUOTA_MEMORY));
        let (mut all_served, mut all_warm) = (0.0, 0.0);
        for (id, zone) in &mut self.zones {
            let warm =
                self.servers.values().filter(|s| !s.origin && !s.in_slow_start && s.member.zone == *id);
            let served = std::mem::take(&mut zone.served) / interval_seconds;
            zone.warm_weight = warm.map(|s| s.weight).sum();
            zone.capacity.add(served, zone.warm_weight, keep);
            (all_served, all_warm) = (all_served + served, all_warm + zone.warm_weight);
        }
        self.capacity.add(all_served, all_warm, keep);
        (self.cache_demand, self.answered_in_time) = (self.cache_demand * keep, self.answered_in_time * keep);
        self.hint_moments.decay(keep);
        self.key_queues.retain(|_, entry| !entry.queue.is_empty() || entry.paused_until > now);
        self.origin_time.decay(keep);
        self.popularity.decay(keep.powf(MEMORY / POPULARITY_MEMORY));
        self.origin.observe_in_flight(now, self.origin_attempts());
        self.slow_start.refresh(REFRESH_INTERVAL);
        for s in self.servers.values_mut() {
            s.inter_arrivals.decay(keep);
            s.latency.decay(keep);
        }
        self.issue_allowances(now);
        self.refresh_terms(now);
    }

    /// Issues this router's attempts at servers in slow start.
    pub(super) fn issue_allowances(&mut self, now: Micros) {
        let starting = self.servers.values().filter(|s| s.in_slow_start);
        let rates: Vec<_> = starting.map(|s| (s.member.server, self.slow_start_rate(s))).collect();
        let window = self.slow_start.window();
        for (server, rate) in rates {
            if let Some(s) = self.servers.get_mut(&server) {
                s.allowance.issue(now, REFRESH_INTERVAL, rate, window);
            }
        }
    }

    /// Attempts per second issued to this router at a server in slow start.
    pub(crate) fn slow_start_rate(&self, s: &Server) -> f64 {
        self.slow_start.rate(s.weight, self.observed_capacity(s.member.zone), self.plan.slow_start_fraction())
    }

    /// Observed capacity of the warm caches of a zone, or of all zones if it has none.
    pub(super) fn observed_capacity(&self, zone: ZoneId) -> f64 {
        match self.zones.get(&zone).filter(|z| z.warm_weight > 0.0) {
            Some(zone) => zone.capacity.get(),
            None => self.capacity.get(),
        }
    }

    pub(super) fn refresh_terms(&mut self, now: Micros) {
        let report_weight = |s: &Server| s.reported.map_or(0.0, |at| (-((now - at) as f64) / MEMORY).exp());
        let (mut latency, mut gaps) = (Moments::default(), Moments::default());
        let (mut rho, mut known) = (RHO_PRIOR * 0.01, 0.01);
        for s in self.servers.values().filter(|s| !s.origin) {
            latency.pool(&s.latency);
            gaps.pool(&s.inter_arrivals);
            rho += report_weight(s) * s.rho;
            known += report_weight(s);
        }
        let prior = self.min_target_latency as f64 / 4.0;
        let (service, service_scv) = latency.shrunk(PRIOR_SAMPLES, prior, PRIOR_SCV);
        self.long_latency = long_time((service, service_scv));
        let (gap, gap_scv) = gaps.shrunk(PRIOR_SAMPLES, 1e6, PRIOR_SCV);
        self.servers.change(self.settings.zone, |s| {
            // A missing report is not a sign of health: an old report fades into the fleet's mean.
            let t = report_weight(s);
            let rho = (t * s.rho + (1.0 - t) * rho / known).clamp(0.0, RHO_MAX);
            let (service, service_scv) = s.latency.shrunk(PRIOR_SAMPLES, service, service_scv);
            let arrival_scv = s.inter_arrivals.shrunk(PRIOR_SAMPLES, gap, gap_scv).1;
            let observed = if s.rho >= RHO_MAX { t * s.rho } else { 0.0 };
            s.terms =
                Terms { rho, service, arrival_scv, service_scv }.with_planned(s.planned_terms, observed);
            s.origin = Some(s.member.kind) == self.settings.origin_kind;
            let ramp = self.slow_start.ramp(s.member.age(now)).filter(|_| !s.origin);
            s.in_slow_start = ramp.is_some();
            s.listed_weight = Some(s.member.weight).filter(|w| w.is_finite() && *w > 0.0).unwrap_or(1.0);
            s.weight =
                if s.member.phase == Phase::Ready { s.listed_weight * ramp.unwrap_or(1.0) } else { 0.0 };
        });
        let far = self.remote_weight();
        let caches = || self.servers.values().filter(|s| !s.origin);
        let weights = caches().map(|s| s.weight * self.zone_factor(s, far)).sum();
        let starting = caches().filter(|s| s.in_slow_start).count();
        self.slow_start.set_ranking(weights, starting);
    }
}
