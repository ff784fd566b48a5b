//! The queueing terms of the paper, computed once for the fleet: Bilen, Kurnaz, Sevim and Canberk,
//! "Parametric-Decomposition Based Request Routing in Content Delivery Networks" (WWIC 2018), Eqs. 2 to 7.
//!
//! Use [`solve`] at a planner, which sees every arrival, like the paper's controller; use [`shares`]
//! anywhere, over the candidates of a key. Deviations from the paper, as in `docs/design.md`: C_S^2 is
//! Var/E^2, and a node's share is (1 - R_i)/(N - 1), because R_i grows with its queue.

use crate::join::{NodeAggregate, PRIOR_SAMPLES, PRIOR_SCV};
use crate::message::NodeTerms;
use crate::moments::Moments;
use crate::rules::Rules;
use crate::Micros;

/// Upper limit of utilisation, so that 1 - rho never reaches 0.
pub const RHO_MAX: f64 = 0.98;
/// Prior utilisation of a fleet without reports, and prior E(S) of a fleet without answers, in us.
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
    /// Eq. 2: C_D^2 of the departures.
    pub fn departures(&self) -> f64 {
        let busy = self.rho * self.rho;
        busy * self.service_scv + (1.0 - busy) * self.arrival_scv
    }

    /// Eq. 3 divided by E(S): the congestion index I = W_q / E(S).
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

/// Each queue's share of the departures of the gathering queue: from R_i = 1/N by Eqs. 4 to 7, as (1 -
/// R_i)/(N - 1).
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
    // An idle fleet has no queue and no wait to divide by; its shares are equal.
    let ratio = |x: f64, sum: f64| if sum > 0.0 && sum.is_finite() { x / sum } else { 1.0 / n };
    // Eq. 7.
    let r = |q: &Queue| (ratio(load(q), loads) + ratio(wait(q), waits)) / 2.0;
    queues.iter().map(|q| (1.0 - r(q)) / (n - 1.0)).collect()
}

/// The terms of the whole fleet.
#[derive(Clone, Debug, Default)]
pub struct Solved {
    /// Terms per node, in order.
    pub nodes: Vec<NodeTerms>,
    /// A response time that few answers exceed: the mean plus three standard deviations, in us. 0 if none was
    /// measured.
    pub long_response: Micros,
}

/// Computes the terms of all nodes. Moments of few samples are shrunk toward the fleet's; an old utilisation
/// is shrunk toward the fleet's mean.
pub fn solve(now: Micros, aggregated: &[NodeAggregate], rules: &Rules) -> Solved {
    let load_trust = |j: &NodeAggregate| {
        let age = j.load.map(|(_, at)| now.saturating_sub(at).max(0) as f64);
        age.map_or(0.0, |a| (-a / rules.memory.max(1) as f64).exp())
    };
    let rho = |j: &NodeAggregate| j.load.map_or(0.0, |(rho, _)| f64::from(rho)).clamp(0.0, RHO_MAX);
    let (mut service, mut known, mut busy) = (Moments::default(), 0.01, RHO_PRIOR * 0.01);
    let (mut rate, mut scv) = (0.0, 0.0);
    for j in aggregated {
        service.pool(&j.service);
        known += load_trust(j);
        busy += load_trust(j) * rho(j);
        rate += j.rate;
        scv += j.rate * j.arrival_scv;
    }
    let fleet_rho = busy / known;
    let (mean, mean_scv) = service.shrunk(PRIOR_SAMPLES, SERVICE_PRIOR, PRIOR_SCV);
    let queues: Vec<Queue> = aggregated
        .iter()
        .map(|j| {
            let t = load_trust(j);
            let (service, service_scv) = j.service.shrunk(PRIOR_SAMPLES, mean, mean_scv);
            let rho = (t * rho(j) + (1.0 - t) * fleet_rho).clamp(0.0, RHO_MAX);
            Queue { rho, service, arrival_scv: j.arrival_scv, service_scv }
        })
        .collect();
    // The gathering queue of the fleet: all arrivals, combined by Eq. 1 again.
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
    let long_response = if service.n >= PRIOR_SAMPLES { mean * (1.0 + 3.0 * mean_scv.sqrt()) } else { 0.0 };
    Solved {
        nodes: aggregated.iter().zip(&queues).zip(shares).map(terms).collect(),
        long_response: long_response as Micros,
    }
}
