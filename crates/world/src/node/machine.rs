//! What a node's machine is like: the values that one node drew from its group's ranges.

use crate::random::{factor, ms, seconds, within, Random};
use crate::scenario::{NodeGroup, Rules, WarmBy};
use crate::Micros;

/// From where a cold node falls over: sent more than a multiple of what it can do, for a time, and a little slack
/// of work for chance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub fall_multiple: f64,
    pub fall_for: Micros,
    pub fall_slack: f64,
    /// That of a request, in microseconds of a standard core.
    pub mean_work: f64,
    /// Warm by this time after its start, whatever else.
    pub warm_after: Micros,
}

impl Limits {
    /// `mean_work` is that of a request, in microseconds of a standard core.
    pub fn new(rules: &Rules, mean_work: f64) -> Self {
        Limits {
            fall_multiple: rules.fall_multiple,
            fall_for: ms(rules.fall_for_ms),
            fall_slack: MAX_COUNTED_REQUESTS * mean_work,
            mean_work,
            warm_after: seconds(rules.cold_s),
        }
    }

    /// Work from which a node falls over that can do `able` within the window: the multiple of it, and what chance adds to
    /// so many requests of mean work.
    pub fn overload(&self, able: f64) -> f64 {
        let allowed = self.fall_multiple * able;
        allowed + chance_margin(allowed / self.mean_work) * self.mean_work
    }

    /// What a request of this work counts for: no single one for more than the slack. A request runs on one
    /// core and nobody knows beforehand that it is long, so that no care of a proxy's keeps the tail of the draws
    /// (up to 40 times the mean) from a cold node.
    pub fn counted(&self, work: f64) -> f64 {
        work.min(self.fall_slack)
    }
}

/// Requests of mean work that one request counts for at most.
pub const MAX_COUNTED_REQUESTS: f64 = 5.0;

/// Requests up to which a node is taken to be sent few.
const FEW: f64 = 30.0;

/// What chance may add to so many requests of mean work, as the platform's page on slow start has it: twice the deviation of
/// a Poisson count and two more, three times and three where they are few.
pub fn chance_margin(requests: f64) -> f64 {
    let times = if requests < FEW { 3.0 } else { 2.0 };
    times * requests.max(0.0).sqrt() + times
}

#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub kind: String,
    pub cores: u32,
    /// Of a core, drawn; `weight` is what discovery lists: the size that the group has on paper.
    pub speed: f64,
    pub weight: f64,
    pub slots: usize,
    pub waiting: usize,
    pub crowd_from: f64,
    pub crowd_loss: f64,
    pub miss_work: f64,
    pub pause_every: Micros,
    /// Microseconds; 0 is never.
    pub pause: f64,
    pub cold_from: f64,
    pub cold_for: Micros,
    pub warm_by: WarmBy,
    pub error_rate: f64,
    pub store_bytes: u64,
    pub keep_for: Option<Micros>,
    pub connections: usize,
    /// Work of a handshake, of a probe and of turning a request away, in microseconds of a standard core.
    pub handshake: f64,
    pub probe: f64,
    pub turn_away: f64,
    pub full_table_loss: f64,
    pub idle_close: Micros,
    pub most_probes: usize,
    pub report_period: Micros,
    pub report_delay: Micros,
    pub report_noise: f64,
    pub drops_cancelled: bool,
    pub drops_expired: bool,
    pub limits: Limits,
}

/// Work of reading a request and turning it away.
const TURN_AWAY: f64 = 200.0;

impl Machine {
    pub fn draw(group: &NodeGroup, limits: Limits, rng: &mut Random) -> Self {
        let g = group;
        let cores = f64::from(g.cores);
        Machine {
            kind: g.kind.clone(),
            cores: g.cores,
            speed: g.speed * factor(g.speed_spread, rng).clamp(0.3, 3.0),
            weight: g.speed * cores,
            slots: ((g.slots_per_core * cores).round() as usize).max(1),
            waiting: (within(g.waiting_per_core, rng) * cores).round() as usize,
            crowd_from: within(g.crowd_from_per_core, rng),
            crowd_loss: within(g.crowd_loss, rng),
            miss_work: g.miss_work,
            pause_every: seconds(within(g.pause_every_s, rng)),
            pause: within(g.pause_ms, rng) * 1e3,
            cold_from: within(g.cold_from, rng),
            cold_for: seconds(within(g.cold_s, rng)),
            warm_by: g.warm_by,
            error_rate: within(g.error_rate, rng),
            store_bytes: (g.store_kb * 1024.0) as u64,
            keep_for: Some(seconds(g.ttl_s)).filter(|t| *t > 0),
            connections: g.connections as usize,
            handshake: within(g.handshake_work_ms, rng) * 1e3,
            probe: within(g.probe_work_ms, rng) * 1e3,
            turn_away: TURN_AWAY,
            full_table_loss: within(g.full_table_loss, rng),
            idle_close: seconds(g.idle_close_s),
            most_probes: (g.probes_per_core * cores).round() as usize,
            report_period: ms(within(g.report_period_ms, rng)),
            report_delay: ms(within(g.report_delay_ms, rng)),
            report_noise: within(g.report_noise, rng),
            drops_cancelled: g.drops_cancelled,
            drops_expired: g.drops_expired,
            limits,
        }
    }
}
