//! Draws random fault schedules: kind, start, duration and target.
//!
//! Everything is drawn from one seed and position, so the n-th draw of a search does not depend on the number
//! of runs and threads. Times are multiples of a tenth of a second and run seeds have 32 bits, which keeps
//! replay tokens short. The ranges are slightly wider than those of the incidents seen in operation (listed
//! in the scenarios: hangs of 5 to 23 s on up to 15 % of the nodes, cuts of 6.5 to 20 s, a fleet that shrinks
//! to a third, an origin 2.8 to 7.4 times slower).
//!
//! A correct proxy must be able to survive every schedule, or the search would report faults of the platform:
//! see [`is_fair`].

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use world::scenario::{Fault, FaultKind, Scenario};

/// Limits on the faults that are drawn.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Number of faults added to those of the scenario: from 1 to this value.
    pub most_faults: usize,
    /// Kinds of fault to draw from.
    pub kinds: Vec<FaultKind>,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { most_faults: 3, kinds: FaultKind::ALL.to_vec() }
    }
}

/// Returns the `position`-th draw of `seed`: the scenario with faults added, and the seed of its run.
pub fn draw(base: &Scenario, bounds: &Bounds, seed: u64, position: u64) -> (Scenario, u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ position.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let run_seed = u64::from(rng.random::<u32>());
    let mut scenario = base.clone();
    let applicable: Vec<FaultKind> =
        bounds.kinds.iter().copied().filter(|kind| applies(*kind, base)).collect();
    if !applicable.is_empty() && bounds.most_faults > 0 {
        for _ in 0..rng.random_range(1..=bounds.most_faults) {
            let kind = applicable[rng.random_range(0..applicable.len())];
            scenario.faults.push(draw_fault(kind, base, &mut rng));
            if !is_fair(&scenario) {
                scenario.faults.pop();
            }
        }
    }
    scenario.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    (scenario, run_seed)
}

/// Whether the faults respect the guarantees that the platform gives to the proxies.
///
/// A planned restart kills a proxy only after the longest client patience (capped at 3 s) plus 0.7 s have
/// passed since the request to terminate. At most one fault may affect the proxies: if two overlapped, the
/// end of one could kill a proxy that the other has just started or asked to terminate.
pub fn is_fair(scenario: &Scenario) -> bool {
    let mut proxy_faults = scenario.faults.iter().filter(|f| f.kind.reads().proxy);
    let (first, second) = (proxy_faults.next(), proxy_faults.next());
    let patience = scenario.clients.classes.iter().map(|c| c.patience_ms).fold(0.0, f64::max);
    let min = patience.min(3_000.0) / 1_000.0 + 0.7;
    let in_time = |f: &Fault| f.kind != FaultKind::ProxyRestart || f.down_s.is_none_or(|s| s >= min);
    second.is_none() && first.is_none_or(in_time)
}

/// Whether the scenario contains what this kind of fault affects.
fn applies(kind: FaultKind, base: &Scenario) -> bool {
    match kind {
        FaultKind::HallCut => base.halls.len() > 1,
        FaultKind::Surge => !base.clients.tenants.is_empty(),
        _ => true,
    }
}

fn round_to_tenths(x: f64) -> f64 {
    (x * 10.0).round() / 10.0
}

fn draw_fault(kind: FaultKind, base: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Fault {
    let reads = kind.reads();
    let seconds = base.seconds;
    let fleet = base.nodes.iter().map(|group| group.count).sum::<u32>().max(1);
    let mut uniform = |min: f64, max: f64| min + (max - min) * rng.random::<f64>();
    let at_s = round_to_tenths(uniform(0.0, seconds * 0.85));
    let max_duration = (seconds * 0.4).max(0.2);
    let for_s = match kind {
        _ if reads.lasts => round_to_tenths(uniform((max_duration / 20.0).max(0.1), max_duration)).max(0.1),
        FaultKind::Shrink | FaultKind::Grow => round_to_tenths(uniform(0.0, max_duration)),
        _ => 0.0,
    };
    let mut fault = Fault::new(kind, at_s, for_s);
    if reads.times {
        let (min, max) = match kind {
            FaultKind::Payday => (1.2, 3.0),
            FaultKind::Surge => (1.5, 6.0),
            _ => (1.5, 8.0),
        };
        fault.times = Some(round_to_tenths(uniform(min, max)));
    }
    if reads.rate {
        let max = if kind == FaultKind::BreakConnections { 0.3 } else { 0.6 };
        fault.rate = Some((uniform(0.01, max) * 100.0).round() / 100.0);
    }
    if reads.every_s {
        fault.every_s = Some(round_to_tenths(uniform(0.2, 5.0)));
    }
    if reads.down_s {
        let min = if kind == FaultKind::ProxyRestart { 3.7 } else { 0.2 };
        fault.down_s = Some(round_to_tenths(uniform(min, min + 6.0)));
    }
    if reads.nodes {
        match kind {
            FaultKind::Grow => fault.nodes = Some(rng.random_range(1..=fleet.div_ceil(2))),
            FaultKind::Shrink => fault.part = Some(round_to_tenths(rng.random_range(0.1..0.7)).max(0.1)),
            _ if rng.random_bool(0.5) => fault.node = Some(rng.random_range(0..fleet)),
            _ => fault.nodes = Some(rng.random_range(1..=fleet.div_ceil(3))),
        }
    }
    if reads.hall && !base.halls.is_empty() {
        fault.hall = Some(base.halls[rng.random_range(0..base.halls.len())].clone());
    }
    if reads.proxy {
        // One proxy, a fraction of them at once, or all in turn.
        match rng.random_range(0..4) {
            0 | 1 => fault.proxy = Some(rng.random_range(0..base.proxies.count.max(1))),
            2 => {
                fault.part = Some(round_to_tenths(rng.random_range(0.1..1.0)).max(0.1));
                fault.every_s = fault.every_s.filter(|_| rng.random_bool(0.5));
            }
            _ => {}
        }
    }
    if reads.tenant && !base.clients.tenants.is_empty() {
        let tenants = &base.clients.tenants;
        fault.tenant = Some(tenants[rng.random_range(0..tenants.len())].name.clone());
    }
    fault
}

#[cfg(test)]
mod tests;
