//! Draws faults round a schedule: which, when, for how long, at whom.
//!
//! Everything is drawn from one seed and position, so that the n-th draw of a search is the same whatever the number
//! of runs. Times are multiples of a tenth of a second and the seeds of runs are 32 bits, for short tokens. Every
//! schedule must be one that a right fleet can survive: see [`is_fair`].

use super::fault::{Fault, FaultTarget, Kind};
use super::schedule::Schedule;
use crate::random::{seconds, stream, Random};
use rand::RngExt;

/// What may be drawn.
#[derive(Clone, Debug)]
pub struct Bounds {
    /// Faults that are added to the schedule's own: 1 to this many.
    pub most_faults: usize,
    /// Of these kinds.
    pub kinds: Vec<Kind>,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { most_faults: 3, kinds: Kind::ALL.into_iter().filter(|k| is_usual(*k)).collect() }
    }
}

/// Kinds that are drawn unless others are named. Two processes of one name are the operators' error; datagrams and
/// files are nothing to a fleet that has neither.
fn is_usual(kind: Kind) -> bool {
    let none = [Kind::Twin, Kind::Duplicate, Kind::Reorder, Kind::DiskFull, Kind::DiskCut, Kind::DiskRot];
    !none.contains(&kind)
}

/// The `position`-th draw of `seed`: the schedule with faults added, and the seed of its run.
pub fn draw(base: &Schedule, bounds: &Bounds, seed: u64, position: u64) -> (Schedule, u64) {
    let mut rng = stream(seed, "draw of a schedule", position);
    let run_seed = u64::from(rng.random::<u32>());
    // Shares are drawn by the run's seed, and what is fair may hang on them.
    let mut schedule = Schedule { seed: run_seed, ..base.clone() };
    if !bounds.kinds.is_empty() && bounds.most_faults > 0 {
        for _ in 0..rng.random_range(1..=bounds.most_faults) {
            let kind = bounds.kinds[rng.random_range(0..bounds.kinds.len())];
            schedule.faults.push(fault(kind, base, &mut rng));
            if schedule.validate().is_err() || !is_fair(&schedule) {
                schedule.faults.pop();
            }
        }
    }
    schedule.faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    (schedule, run_seed)
}

/// Whether a right fleet can be held to what must hold.
///
/// What garbles, garbles between planners and forwarders alone: a value that a link changed is no proxy's fault.
/// No process is struck while another fault has it stand still or away, since the end of one would undo the other.
pub fn is_fair(schedule: &Schedule) -> bool {
    let members = schedule.members();
    let garbled = schedule.faults.iter().filter(|f| f.kind == Kind::Garble).all(|f| {
        let names = [&f.from, &f.to].map(|s| s.as_ref().map_or("", |s| s.as_str()));
        f.between.is_none() && (names.contains(&"role:planner") || names.iter().all(|n| n.starts_with('p')))
    });
    let mut away = Vec::new();
    for f in schedule.faults.iter().filter(|f| f.kind.reads().strikes != FaultTarget::Links) {
        let who = schedule.struck(&members, f);
        let (from, until) = (seconds(f.at_s), seconds(f.ends_s(who.len())) + 1_000_000);
        let until = if f.kind == Kind::Kill { i64::MAX } else { until };
        away.extend(who.into_iter().map(|w| (w, from, until)));
    }
    away.sort_unstable();
    let apart = |w: &[(usize, i64, i64)]| w[0].0 != w[1].0 || w[0].2 <= w[1].1;
    garbled && away.windows(2).all(apart)
}

fn tenths(x: f64) -> f64 {
    (x * 10.0).round() / 10.0
}

/// A word that selects some of the processes, or of the nodes.
fn who(nodes: bool, base: &Schedule, rng: &mut Random) -> String {
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

fn fault(kind: Kind, base: &Schedule, rng: &mut Random) -> Fault {
    let reads = kind.reads();
    let whole = base.seconds;
    let between = |least: f64, most: f64, rng: &mut Random| least + (most - least) * rng.random::<f64>();
    let at_s = tenths(between(0.0, whole * 0.6, rng));
    // Some are over before anybody notices, some outlast every time-out there is.
    let longest = (whole - at_s).max(0.2);
    let for_s = if reads.lasts {
        let part = between(0.0, 1.0, rng);
        tenths(0.1 + (longest - 0.1) * part * part).max(0.1)
    } else {
        0.0
    };
    let mut fault = Fault::new(kind, at_s, for_s);
    match reads.strikes {
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
        strikes => fault.who = who(strikes == FaultTarget::Nodes, base, rng).parse().ok(),
    }
    if reads.rate {
        let most = if kind == Kind::Garble { 0.05 } else { 0.4 };
        fault.rate = Some((between(0.01, most, rng) * 100.0).round() / 100.0);
    }
    if reads.delay {
        fault.ms = Some(between(1.0, 900.0, rng).round());
        fault.jitter_ms = Some(between(0.0, 600.0, rng).round());
        if rng.random_bool(0.3) {
            fault.tail_one_in = Some(rng.random_range(2..50));
            fault.tail_ms = Some(between(50.0, 600.0, rng).round());
        }
    }
    if reads.bytes_per_s {
        fault.bytes_per_s = Some(10_u64.pow(rng.random_range(2..6)));
    }
    if reads.down_s {
        fault.down_s = Some(tenths(between(0.0, (whole * 0.4).max(0.1), rng)));
    }
    if reads.every_s {
        fault.every_s = Some(tenths(between(0.1, 1.0, rng)));
    }
    fault
}

#[cfg(test)]
mod tests;
