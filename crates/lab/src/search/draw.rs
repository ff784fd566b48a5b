//! Draws schedules of faults: which, when, for how long, at what.
//!
//! Everything is drawn from one seed and position, so that the n-th draw of a search is the same whatever the
//! number of runs and threads. Times are multiples of a tenth of a second and the seeds of runs are 32 bits, for
//! short tokens. The ranges are a little wider than those of the troubles that the operators have met (their
//! list in the scenarios: hangs of 5 to 23 s at up to 15 % of the nodes, cuts of 6.5 to 20 s, a fleet that
//! shrinks to a third, a ledger 2.8 to 7.4 times slower).
//!
//! Every schedule must be one that a right proxy can survive, or the search would find the platform's faults: see
//! [`is_fair`].

use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use world::scenario::{Fault, FaultKind, Scenario};

/// What may be drawn.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Faults that are added to the scenario's own: 1 to this many.
    pub most_faults: usize,
    /// Of these kinds.
    pub kinds: Vec<FaultKind>,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { most_faults: 3, kinds: FaultKind::ALL.to_vec() }
    }
}

/// The `position`-th draw of `seed`: the scenario with faults added, and the seed of its run.
pub fn draw(base: &Scenario, bounds: &Bounds, seed: u64, position: u64) -> (Scenario, u64) {
    let mut rng = Xoshiro256PlusPlus::seed_from_u64(seed ^ position.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    let run_seed = u64::from(rng.random::<u32>());
    let mut scenario = base.clone();
    let possible: Vec<FaultKind> = bounds.kinds.iter().copied().filter(|kind| fits(*kind, base)).collect();
    if !possible.is_empty() && bounds.most_faults > 0 {
        for _ in 0..rng.random_range(1..=bounds.most_faults) {
            let kind = possible[rng.random_range(0..possible.len())];
            scenario.faults.push(fault(kind, base, &mut rng));
            if !is_fair(&scenario) {
                scenario.faults.pop();
            }
        }
    }
    scenario.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    (scenario, run_seed)
}

/// Whether the faults keep to what the platform promises the proxies.
///
/// A planned restart kills no sooner than the longest patience (counted as 3 s where it is longer) and 0.7 s after
/// it told the proxy to end. And proxies are struck by one fault at a time: where two overlap, the end of one would
/// kill what the other has just started, or told to end.
pub fn is_fair(scenario: &Scenario) -> bool {
    let mut strikes = scenario.faults.iter().filter(|f| f.kind.reads().proxy);
    let (first, second) = (strikes.next(), strikes.next());
    let patience = scenario.clients.classes.iter().map(|c| c.patience_ms).fold(0.0, f64::max);
    let least = patience.min(3_000.0) / 1_000.0 + 0.7;
    let in_time = |f: &Fault| f.kind != FaultKind::ProxyRestart || f.down_s.is_none_or(|s| s >= least);
    second.is_none() && first.is_none_or(in_time)
}

/// Whether a world has what this kind of fault strikes.
fn fits(kind: FaultKind, base: &Scenario) -> bool {
    match kind {
        FaultKind::HallCut => base.halls.len() > 1,
        FaultKind::Surge => !base.clients.tenants.is_empty(),
        _ => true,
    }
}

fn tenths(x: f64) -> f64 {
    (x * 10.0).round() / 10.0
}

fn fault(kind: FaultKind, base: &Scenario, rng: &mut Xoshiro256PlusPlus) -> Fault {
    let reads = kind.reads();
    let seconds = base.seconds;
    let fleet = base.nodes.iter().map(|group| group.count).sum::<u32>().max(1);
    let mut between = |least: f64, most: f64| least + (most - least) * rng.random::<f64>();
    let at_s = tenths(between(0.0, seconds * 0.85));
    let longest = (seconds * 0.4).max(0.2);
    let for_s = match kind {
        _ if reads.lasts => tenths(between((longest / 20.0).max(0.1), longest)).max(0.1),
        FaultKind::Shrink | FaultKind::Grow => tenths(between(0.0, longest)),
        _ => 0.0,
    };
    let mut fault = Fault::new(kind, at_s, for_s);
    if reads.times {
        let (least, most) = match kind {
            FaultKind::Payday => (1.2, 3.0),
            FaultKind::Surge => (1.5, 6.0),
            _ => (1.5, 8.0),
        };
        fault.times = Some(tenths(between(least, most)));
    }
    if reads.rate {
        let most = if kind == FaultKind::BreakConnections { 0.3 } else { 0.6 };
        fault.rate = Some((between(0.01, most) * 100.0).round() / 100.0);
    }
    if reads.every_s {
        fault.every_s = Some(tenths(between(0.2, 5.0)));
    }
    if reads.down_s {
        let least = if kind == FaultKind::ProxyRestart { 3.7 } else { 0.2 };
        fault.down_s = Some(tenths(between(least, least + 6.0)));
    }
    if reads.nodes {
        match kind {
            FaultKind::Grow => fault.nodes = Some(rng.random_range(1..=fleet.div_ceil(2))),
            FaultKind::Shrink => fault.part = Some(tenths(rng.random_range(0.1..0.7)).max(0.1)),
            _ if rng.random_bool(0.5) => fault.node = Some(rng.random_range(0..fleet)),
            _ => fault.nodes = Some(rng.random_range(1..=fleet.div_ceil(3))),
        }
    }
    if reads.hall && !base.halls.is_empty() {
        fault.hall = Some(base.halls[rng.random_range(0..base.halls.len())].clone());
    }
    if reads.proxy {
        // One of them, a part at once, or all in turn.
        match rng.random_range(0..4) {
            0 | 1 => fault.proxy = Some(rng.random_range(0..base.proxies.count.max(1))),
            2 => {
                fault.part = Some(tenths(rng.random_range(0.1..1.0)).max(0.1));
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
