//! What the decision module shows to those who watch: it owns nothing, decides nothing and changes nothing.
//! For the core's survey, and for who asks how much it keeps; who wants something decided goes through [`Balancer::handle`].

use crate::choice::Balancer;
use crate::interface::{Health, Micros, OriginStatus, Phase, ServerId, ServerStatus, SlowStartStatus};
use crate::state::Server;
use limits::Limit;

impl Balancer {
    /// What it makes of each server, in the order of ids.
    pub fn server_statuses(&self, now: Micros) -> impl Iterator<Item = ServerStatus> + '_ {
        self.servers.values().map(move |s| {
            let health = match s.member.phase {
                Phase::Ready if s.evictions > 0 => Health::Evicted,
                Phase::Ready if self.hangs(now, s) => Health::Silent,
                Phase::Ready if s.cold => Health::Cold,
                Phase::Ready => Health::Serving,
                Phase::Draining | Phase::Gone => Health::Draining,
            };
            let rho = s.reported.map(|at| (s.rho, at));
            ServerStatus { server: s.member.server, health, out: s.gate.out(), rho }
        })
    }

    /// What it makes of a server in slow start; none of any other.
    pub fn slow_start_status(&self, server: ServerId) -> Option<SlowStartStatus> {
        let s = self.servers.get(&server).filter(|s| s.cold)?;
        let ramp = if s.listed > 0.0 { s.weight / s.listed } else { 0.0 };
        Some(SlowStartStatus { ramp, allowance: s.allowance.attempts(), rate: self.slow_start_rate(s) })
    }

    /// Requests out at origins.
    pub(crate) fn fetching(&self) -> u32 {
        self.servers.origins().map(|s| s.gate.out()).sum()
    }

    /// How many things each of its tables holds. What has a fixed size (limits, the sketch of popular keys) is none.
    pub fn sizes(&self) -> [(&'static str, usize); 15] {
        let [slots, placed, keys, changes] = self.servers.sizes();
        let attempts = self.open.values().chain(self.lingering.values()).map(|o| o.attempts.len()).sum();
        [
            ("module.requests", self.open.len()),
            ("module.attempts", attempts),
            ("module.lingering", self.lingering.len()),
            ("module.fetches", self.fetches.len()),
            ("module.fetches_waiting", self.fetches.values().map(|w| w.len()).sum()),
            ("module.origin_queue", self.queue.len()),
            ("module.turns", self.turns.len()),
            ("module.turns_waiting", self.turns.values().map(|t| t.queue.len()).sum()),
            ("module.servers", self.servers.values().count()),
            ("module.server_slots", slots),
            ("module.zones", self.zones.len()),
            ("module.tenants", self.tenants.len()),
            ("placement.nodes", placed),
            ("placement.keys", keys),
            ("placement.changes", changes),
        ]
    }

    /// What it makes of the origin, if one is listed.
    pub fn origin_status(&self, now: Micros) -> Option<OriginStatus> {
        let well = |s: &Server| s.weight > 0.0 && s.evictions == 0 && !self.hangs(now, s);
        let reach = self.servers.values().filter(|s| s.origin).map(well).max()?;
        let (o, pace) = (&self.origin, self.origin.mean_latency().map(|pace| pace as Micros));
        let (window, strain, failing) = (o.limit(now), o.latency_ratio(), o.failure_ratio());
        let (out, waiting) = (self.fetching(), self.queue.len() as u32);
        Some(OriginStatus { available: reach, out, window, waiting, pace, strain, failing })
    }
}
