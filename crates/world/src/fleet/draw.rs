//! Adds random faults to a schedule: kind, start, duration and target.
//!
//! Everything is drawn from one seed and position, so the n-th draw of a search does not depend on the number
//! of runs. Times are multiples of a tenth of a second and run seeds have 32 bits, which keeps replay tokens
//! short. A correct fleet must be able to survive every schedule that is drawn: see [`is_fair`].

use super::fault::{Fault, FaultTarget, Kind};
use super::schedule::Schedule;
use crate::random::{seconds, stream, Random};
use rand::RngExt;

/// Limits on the faults that are drawn.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Number of faults added to those of the schedule: from 1 to this value.
    pub most_faults: usize,
    /// Kinds of fault to draw from.
    pub kinds: Vec<Kind>,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { most_faults: 3, kinds: Kind::ALL.into_iter().filter(|k| is_drawn_by_default(*k)).collect() }
    }
}

/// Whether a kind is drawn by default. Two processes with one name are an operator error, and faults of
/// datagrams and files have no effect on a fleet that uses neither.
fn is_drawn_by_default(kind: Kind) -> bool {
    let excluded = [Kind::Twin, Kind::Duplicate, Kind::Reorder, Kind::DiskFull, Kind::DiskCut, Kind::DiskRot];
    !excluded.contains(&kind)
}

/// Returns the `position`-th draw of `seed`: the schedule with faults added, and the seed of its run.
pub fn draw(base: &Schedule, bounds: &Bounds, seed: u64, position: u64) -> (Schedule, u64) {
    let mut rng = stream(seed, "draw of a schedule", position);
    let run_seed = u64::from(rng.random::<u32>());
    // Shares are drawn from the run's seed, and fairness may depend on them.
    let mut schedule = Schedule { seed: run_seed, ..base.clone() };
    if !bounds.kinds.is_empty() && bounds.most_faults > 0 {
        for _ in 0..rng.random_range(1..=bounds.most_faults) {
            let kind = bounds.kinds[rng.random_range(0..bounds.kinds.len())];
            schedule.faults.push(draw_fault(kind, base, &mut rng));
            if schedule.validate().is_err() || !is_fair(&schedule) {
                schedule.faults.pop();
            }
        }
    }
    schedule.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    (schedule, run_seed)
}

/// Whether a correct fleet can be expected to meet all expectations under this schedule.
///
/// Garbling is allowed only between planners and forwarders: a value that a link has changed is not a fault
/// of the proxy. No process may be hit while another fault has it paused or stopped, since the end of one
/// fault would undo the other.
pub fn is_fair(schedule: &Schedule) -> bool {
    let members = schedule.members();
    let garbles_fairly = schedule.faults.iter().filter(|f| f.kind == Kind::Garble).all(|f| {
        let names = [&f.from, &f.to].map(|s| s.as_ref().map_or("", |s| s.as_str()));
        f.between.is_none() && (names.contains(&"role:planner") || names.iter().all(|n| n.starts_with('p')))
    });
    let mut unavailable = Vec::new();
    for f in schedule.faults.iter().filter(|f| f.kind.reads().target != FaultTarget::Links) {
        let who = schedule.affected(&members, f);
        let (from, until) = (seconds(f.at_s), seconds(f.ends_s(who.len())) + 1_000_000);
        let until = if f.kind == Kind::Kill { i64::MAX } else { until };
        unavailable.extend(who.into_iter().map(|w| (w, from, until)));
    }
    unavailable.sort_unstable();
    let disjoint = |w: &[(usize, i64, i64)]| w[0].0 != w[1].0 || w[0].2 <= w[1].1;
    garbles_fairly && unavailable.windows(2).all(disjoint)
}

fn round_to_tenths(x: f64) -> f64 {
    (x * 10.0).round() / 10.0
}

/// Draws a selector for some of the processes, or of the nodes.
fn draw_selector(nodes: bool, base: &Schedule, rng: &mut Random) -> String {
    let hall = base.fleet.halls[rng.random_range(0..base.fleet.halls.len())].clone();
    if nodes {
        let one = rng.random_range(0..base.fleet.nodes.max(1));
        return match rng.random_range(0..3) {
            0 => format!("s{one}"),
            1 => "role:node+share:0.3".into(),
            _ => "role:node+share:0.2".into(),
        };
    }
    let one =
        |letter: char, count: u32, rng: &mut Random| format!("{letter}{}", rng.random_range(0..count.max(1)));
    match rng.random_range(0..9) {
        0 | 1 if base.fleet.planners > 0 => one('p', base.fleet.planners, rng),
        2 if base.fleet.planners > 0 => "role:planner".into(),
        3 if base.fleet.planners > 0 => "role:planner+share:0.67".into(),
        4 => "role:forwarder+share:0.3".into(),
        5 => "share:0.5".into(),
        6 => format!("hall:{hall}"),
        7 => "role:forwarder".into(),
        _ => one('f', base.fleet.forwarders, rng),
    }
}

fn draw_fault(kind: Kind, base: &Schedule, rng: &mut Random) -> Fault {
    let reads = kind.reads();
    let duration_s = base.seconds;
    let uniform = |min: f64, max: f64, rng: &mut Random| min + (max - min) * rng.random::<f64>();
    let at_s = round_to_tenths(uniform(0.0, duration_s * 0.6, rng));
    // Squaring favours short faults, which end unnoticed, while some still outlast every timeout.
    let max_duration = (duration_s - at_s).max(0.2);
    let for_s = if reads.lasts {
        let part = uniform(0.0, 1.0, rng);
        round_to_tenths(0.1 + (max_duration - 0.1) * part * part).max(0.1)
    } else {
        0.0
    };
    let mut fault = Fault::new(kind, at_s, for_s);
    match reads.target {
        FaultTarget::Links if kind != Kind::Garble && rng.random_bool(0.4) => {
            let one = match rng.random_bool(0.5) && base.fleet.planners > 0 {
                true => format!("p{}", rng.random_range(0..base.fleet.planners)),
                false => format!("f{}", rng.random_range(0..base.fleet.forwarders.max(1))),
            };
            fault.between = match rng.random_range(0..5) {
                0 if base.fleet.halls.len() > 1 => "halls".parse().ok(),
                1 if base.fleet.planners > 0 => "ring".parse().ok(),
                2 => format!("bridge:{one}").parse().ok(),
                3 => format!("alone:{one}").parse().ok(),
                _ => "pairs:0.33".parse().ok(),
            };
        }
        FaultTarget::Links => {
            let planners = if rng.random_bool(0.5) && base.fleet.planners > 0 {
                format!("p{}", rng.random_range(0..base.fleet.planners))
            } else {
                "role:planner".into()
            };
            let others = match rng.random_range(0..3) {
                0 => "role:forwarder".into(),
                1 => "role:forwarder+share:0.5".into(),
                _ => format!("f{}", rng.random_range(0..base.fleet.forwarders.max(1))),
            };
            let (from, to) = if rng.random_bool(0.5) { (planners, others) } else { (others, planners) };
            (fault.from, fault.to) = (from.parse().ok(), to.parse().ok());
            fault.both = rng.random_bool(0.4);
        }
        target => fault.who = draw_selector(target == FaultTarget::Nodes, base, rng).parse().ok(),
    }
    if reads.rate {
        let max = if kind == Kind::Garble { 0.05 } else { 0.4 };
        fault.rate = Some((uniform(0.01, max, rng) * 100.0).round() / 100.0);
    }
    if reads.delay {
        fault.ms = Some(uniform(1.0, 900.0, rng).round());
        fault.jitter_ms = Some(uniform(0.0, 600.0, rng).round());
        if rng.random_bool(0.3) {
            fault.tail_one_in = Some(rng.random_range(2..50));
            fault.tail_ms = Some(uniform(50.0, 600.0, rng).round());
        }
    }
    if reads.bytes_per_s {
        fault.bytes_per_s = Some(10_u64.pow(rng.random_range(2..6)));
    }
    if reads.down_s {
        fault.down_s = Some(round_to_tenths(uniform(0.0, (duration_s * 0.4).max(0.1), rng)));
    }
    if reads.every_s {
        fault.every_s = Some(round_to_tenths(uniform(0.1, 1.0, rng)));
    }
    fault
}

#[cfg(test)]
mod tests;
