//! Read-only views of the decision module for monitoring. Nothing is decided or changed here. Used
//! by the core's survey and for table sizes; decisions go through [`Balancer::handle`].

use crate::choice::Balancer;
use crate::interface::{Health, Micros, OriginStatus, Phase, ServerId, ServerStatus, SlowStartStatus};
use crate::state::Server;
use limits::Limit;

impl Balancer {
    /// The status of each server, in the order of ids.
    pub fn server_statuses(&self, now: Micros) -> impl Iterator<Item = ServerStatus> + '_ {
        self.servers.values().map(move |s| {
            let health = match s.member.phase {
                Phase::Ready if s.evictions > 0 => Health::Evicted,
                Phase::Ready if self.is_hung(now, s) => Health::Silent,
                Phase::Ready if s.in_slow_start => Health::Cold,
                Phase::Ready => Health::Serving,
                Phase::Draining | Phase::Gone => Health::Draining,
            };
            let rho = s.reported.map(|at| (s.rho, at));
            ServerStatus { server: s.member.server, health, out: s.limiter.out(), rho }
        })
    }

    /// The status of a server in slow start; `None` for any other.
    pub fn slow_start_status(&self, server: ServerId) -> Option<SlowStartStatus> {
        let s = self.servers.get(&server).filter(|s| s.in_slow_start)?;
        let ramp = if s.listed_weight > 0.0 { s.weight / s.listed_weight } else { 0.0 };
        Some(SlowStartStatus { ramp, allowance: s.allowance.attempts(), rate: self.slow_start_rate(s) })
    }

    /// Attempts out at origins.
    pub(crate) fn origin_attempts(&self) -> u32 {
        self.servers.origins().map(|s| s.limiter.out()).sum()
    }

    /// The number of entries in each table. Structures of a fixed size (limits, the sketch of
    /// popular keys) are left out.
    pub fn sizes(&self) -> [(&'static str, usize); 15] {
        let [slots, placed, keys, changes] = self.servers.sizes();
        let attempts =
            self.open.values().chain(self.finished_in_flight.values()).map(|o| o.attempts.len()).sum();
        [
            ("module.requests", self.open.len()),
            ("module.attempts", attempts),
            ("module.lingering", self.finished_in_flight.len()),
            ("module.fetches", self.fetches.len()),
            ("module.fetches_waiting", self.fetches.values().map(|w| w.len()).sum()),
            ("module.origin_queue", self.origin_queue.len()),
            ("module.turns", self.key_queues.len()),
            ("module.turns_waiting", self.key_queues.values().map(|t| t.queue.len()).sum()),
            ("module.servers", self.servers.values().count()),
            ("module.server_slots", slots),
            ("module.zones", self.zones.len()),
            ("module.tenants", self.tenants.len()),
            ("placement.nodes", placed),
            ("placement.keys", keys),
            ("placement.changes", changes),
        ]
    }

    /// The status of the origin, if one is listed.
    pub fn origin_status(&self, now: Micros) -> Option<OriginStatus> {
        let well = |s: &Server| s.weight > 0.0 && s.evictions == 0 && !self.is_hung(now, s);
        let reach = self.servers.values().filter(|s| s.origin).map(well).max()?;
        let (o, mean_latency) = (&self.origin, self.origin.mean_latency().map(|mean| mean as Micros));
        let (window, latency_ratio, failure_ratio) = (o.limit(now), o.latency_ratio(), o.failure_ratio());
        let (out, waiting) = (self.origin_attempts(), self.origin_queue.len() as u32);
        Some(OriginStatus {
            available: reach,
            out,
            window,
            waiting,
            mean_latency,
            latency_ratio,
            failure_ratio,
        })
    }
}
