//! The terms of the paper, once for the fleet: Bilen, Kurnaz, Sevim and Canberk, "Parametric-Decomposition
//! Based Request Routing in Content Delivery Networks" (WWIC 2018), Eqs. 2 to 7.
//!
//! Use [`solve`] at a planner, which sees every arrival, as the paper's controller does; [`shares`] anywhere
//! over the candidates of a key. Departures from the paper, as in `docs/design.md`: C_S^2 is Var/E^2, and a
//! node's part is (1 - R_i)/(N - 1), since R_i grows with its queue.

use crate::join::{NodeAggregate, PRIOR_SAMPLES, PRIOR_SCV};
use crate::message::NodeTerms;
use crate::moments::Moments;
use crate::rules::Rules;
use crate::Micros;

/// Utilisation is clamped here, so that 1 - rho never vanishes.
pub const RHO_MAX: f64 = 0.98;
/// Utilisation of a fleet that has reported nothing, and E(S) of one that has answered nothing, in us.
const RHO_PRIOR: f64 = 0.3;
const SERVICE_PRIOR: f64 = 100_000.0;

/// The terms of a queue.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Queue {
    /// Utilisation, below 1.
    pub rho: f64,
    /// E(S), in us.
    pub service: f64,
    /// C_A^2.
    pub arrival_scv: f64,
    /// C_S^2.
    pub service_scv: f64,
}

impl Queue {
    /// Eq. 2: C_D^2, of the departures.
    pub fn departures(&self) -> f64 {
        let busy = self.rho * self.rho;
        busy * self.service_scv + (1.0 - busy) * self.arrival_scv
    }

    /// Eq. 3 over E(S): the congestion index I = W_q / E(S).
    pub fn index(&self) -> f64 {
        self.rho / (1.0 - self.rho) * (self.arrival_scv + self.service_scv) / 2.0
    }
}

impl From<NodeTerms> for Queue {
    fn from(t: NodeTerms) -> Self {
        let [rho, service, arrival_scv, service_scv] =
            [t.rho, t.service, t.arrival_scv, t.service_scv].map(f64::from);
        Queue { rho: rho.clamp(0.0, RHO_MAX), service, arrival_scv, service_scv }
    }
}

/// Each queue's share of what leaves the gathering queue: from R_i = 1/N by Eqs. 4 to 7, as (1 - R_i)/(N -
/// 1).
pub fn shares(gathering: &Queue, queues: &[Queue]) -> Vec<f64> {
    let n = queues.len() as f64;
    if queues.len() < 2 {
        return vec![1.0; queues.len()];
    }
    // Eq. 4, with R_i = 1/N.
    let routed = gathering.departures() / n + (1.0 - 1.0 / n);
    let spread = |q: &Queue| (routed + q.service_scv) / 2.0 / (1.0 - q.rho);
    // Eqs. 5 and 6.
    let wait = |q: &Queue| q.service * q.rho * spread(q);
    let load = |q: &Queue| q.rho * q.rho * spread(q);
    let (waits, loads) = (queues.iter().map(wait).sum::<f64>(), queues.iter().map(load).sum::<f64>());
    // An idle fleet has no queue and no wait to divide by: equal parts.
    let ratio = |x: f64, sum: f64| if sum > 0.0 && sum.is_finite() { x / sum } else { 1.0 / n };
    // Eq. 7.
    let r = |q: &Queue| (ratio(load(q), loads) + ratio(wait(q), waits)) / 2.0;
    queues.iter().map(|q| (1.0 - r(q)) / (n - 1.0)).collect()
}

/// The fleet, solved.
#[derive(Clone, Debug, Default)]
pub struct Solved {
    /// By node, in order.
    pub nodes: Vec<NodeTerms>,
    /// The time that few answers exceed: the mean and three deviations more, in us. 0 if none was measured.
    pub long: Micros,
}

/// Terms of all nodes. Few samples are shrunk toward the fleet's moments, an old utilisation toward its mean.
pub fn solve(now: Micros, aggregated: &[NodeAggregate], rules: &Rules) -> Solved {
    let truth = |j: &NodeAggregate| {
        let age = j.load.map(|(_, at)| now.saturating_sub(at).max(0) as f64);
        age.map_or(0.0, |a| (-a / rules.memory.max(1) as f64).exp())
    };
    let rho = |j: &NodeAggregate| j.load.map_or(0.0, |(rho, _)| f64::from(rho)).clamp(0.0, RHO_MAX);
    let (mut service, mut known, mut busy) = (Moments::default(), 0.01, RHO_PRIOR * 0.01);
    let (mut rate, mut scv) = (0.0, 0.0);
    for j in aggregated {
        service.pool(&j.service);
        known += truth(j);
        busy += truth(j) * rho(j);
        rate += j.rate;
        scv += j.rate * j.arrival_scv;
    }
    let fleet_rho = busy / known;
    let (mean, mean_scv) = service.shrunk(PRIOR_SAMPLES, SERVICE_PRIOR, PRIOR_SCV);
    let queues: Vec<Queue> = aggregated
        .iter()
        .map(|j| {
            let t = truth(j);
            let (service, service_scv) = j.service.shrunk(PRIOR_SAMPLES, mean, mean_scv);
            let rho = (t * rho(j) + (1.0 - t) * fleet_rho).clamp(0.0, RHO_MAX);
            Queue { rho, service, arrival_scv: j.arrival_scv, service_scv }
        })
        .collect();
    // The gathering queue of the fleet: all arrivals, joined by Eq. 1 once more.
    let arrival_scv = if rate > 0.0 { scv / rate } else { PRIOR_SCV };
    let gathering = Queue { rho: fleet_rho, service: mean, arrival_scv, service_scv: mean_scv };
    let shares = shares(&gathering, &queues);
    let terms = |((j, q), share): ((&NodeAggregate, &Queue), f64)| NodeTerms {
        node: j.node,
        rho: q.rho as f32,
        service: q.service as f32,
        arrival_scv: q.arrival_scv.min(1e6) as f32,
        service_scv: q.service_scv.min(1e6) as f32,
        share: share.clamp(0.0, 1.0) as f32,
    };
    let long = if service.n >= PRIOR_SAMPLES { mean * (1.0 + 3.0 * mean_scv.sqrt()) } else { 0.0 };
    Solved { nodes: aggregated.iter().zip(&queues).zip(shares).map(terms).collect(), long: long as Micros }
}
