//! Parameters of one node's machine, drawn from the ranges of its group.

use crate::random::{factor, ms, seconds, within, Random};
use crate::scenario::{NodeGroup, Rules, WarmBy};
use crate::Micros;

/// When a cold node crashes: if it receives more than a multiple of what it can do over a time window, with
/// some slack for random variation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    pub fall_multiple: f64,
    pub fall_for: Micros,
    pub fall_slack: f64,
    /// Mean work of a request, in microseconds of a standard core.
    pub mean_work: f64,
    /// The node is warm at the latest this long after its start.
    pub warm_after: Micros,
}

impl Limits {
    /// `mean_work` is the mean work of a request, in microseconds of a standard core.
    pub fn new(rules: &Rules, mean_work: f64) -> Self {
        Limits {
            fall_multiple: rules.fall_multiple,
            fall_for: ms(rules.fall_for_ms),
            fall_slack: MAX_COUNTED_REQUESTS * mean_work,
            mean_work,
            warm_after: seconds(rules.cold_s),
        }
    }

    /// The work above which a node crashes that can do `able` within the window: a multiple of `able` plus
    /// the random variation of that many requests of mean work.
    pub fn overload(&self, able: f64) -> f64 {
        let allowed = self.fall_multiple * able;
        allowed + chance_margin(allowed / self.mean_work) * self.mean_work
    }

    /// What a request of this work counts for: at most the slack. A request runs on one core and its length
    /// is not known beforehand, so no proxy could keep the tail of the distribution (up to 40 times the mean)
    /// away from a cold node.
    pub fn counted(&self, work: f64) -> f64 {
        work.min(self.fall_slack)
    }
}

/// The most that one request counts for, in requests of mean work.
pub const MAX_COUNTED_REQUESTS: f64 = 5.0;

/// Below this number of requests the larger margin of [`chance_margin`] applies.
const SMALL_COUNT: f64 = 30.0;

/// The margin for random variation of this many requests of mean work, as the platform's slow-start
/// specification defines it: twice the standard deviation of a Poisson count plus two, or three times plus
/// three for small counts.
pub fn chance_margin(requests: f64) -> f64 {
    let times = if requests < SMALL_COUNT { 3.0 } else { 2.0 };
    times * requests.max(0.0).sqrt() + times
}

#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    pub kind: String,
    pub cores: u32,
    /// Speed of a core, drawn for the machine. `weight` is what discovery lists, from the nominal size of the
    /// group.
    pub speed: f64,
    pub weight: f64,
    pub slots: usize,
    pub waiting: usize,
    pub crowd_from: f64,
    pub crowd_loss: f64,
    pub miss_work: f64,
    pub pause_every: Micros,
    /// Length of a pause in microseconds; 0 for no pauses.
    pub pause: f64,
    pub cold_from: f64,
    pub cold_for: Micros,
    pub warm_by: WarmBy,
    pub error_rate: f64,
    pub store_bytes: u64,
    pub keep_for: Option<Micros>,
    pub connections: usize,
    /// Work of a handshake, of a probe and of rejecting a request, in microseconds of a standard core.
    pub handshake: f64,
    pub probe: f64,
    pub reject_work: f64,
    pub full_table_loss: f64,
    pub idle_close: Micros,
    pub max_probes: usize,
    pub report_period: Micros,
    pub report_delay: Micros,
    pub report_noise: f64,
    pub drops_cancelled: bool,
    pub drops_expired: bool,
    pub limits: Limits,
}

/// Work of reading a request and rejecting it.
const REJECT_WORK: f64 = 200.0;

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
            reject_work: REJECT_WORK,
            full_table_loss: within(g.full_table_loss, rng),
            idle_close: seconds(g.idle_close_s),
            max_probes: (g.probes_per_core * cores).round() as usize,
            report_period: ms(within(g.report_period_ms, rng)),
            report_delay: ms(within(g.report_delay_ms, rng)),
            report_noise: within(g.report_noise, rng),
            drops_cancelled: g.drops_cancelled,
            drops_expired: g.drops_expired,
            limits,
        }
    }
}
