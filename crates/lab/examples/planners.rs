//! Twenty proxies with three planners and without, on paired seeds, in virtual time: served worth, how soon all
//! avoid what hangs, what a planner hears and says.
//!
//! `cargo run --release -p lab --example planners [SEEDS [SCENARIO FILE]...] [without=WHAT]...`
//!
//! WHAT is `marks`, `terms`, `quotas`, `cold` or `fetches`: what of plans the module is not told.

use lab::experiment::paired::{interval, CONFIDENCE};
use lab::experiment::parallel;
use lab::input::file;
use lab::virtual_host::planned::{Fleet, PlanningStats, WithheldPlanParts};
use lab::virtual_host::{run, Real};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use world::outcome::Run;
use world::scenario::Scenario;

const PROXIES: u32 = 20;
const PLANNERS: usize = 3;
const SEEDS: u64 = 6;
const FILES: [&str; 5] = ["calm", "hang", "hall_cut", "slow_ledger", "payday"];

fn pair(
    scenario: &Scenario,
    seed: u64,
    kept: WithheldPlanParts,
) -> Result<(Run, Run, PlanningStats), String> {
    let fleet = Fleet::new(scenario, PLANNERS)?.withholding(kept);
    let with = run(scenario, seed, &fleet, &mut |_| {}).map_err(|e| e.to_string())?;
    let without = run(scenario, seed, &Real, &mut |_| {}).map_err(|e| e.to_string())?;
    Ok((with, without, fleet.stats()))
}

/// Seconds from the first fault until each proxy avoided as much as it ever did: the median, the worst.
fn avoided(scenario: &Scenario, all: &[PlanningStats]) -> String {
    let from = scenario.faults.iter().map(|f| f.at_s).fold(f64::INFINITY, f64::min);
    let last = all.iter().flat_map(|f| f.avoided_since.values()).filter_map(|t| t.last());
    let mut times: Vec<f64> = last.map(|t| *t as f64 / 1e6 - from).collect();
    times.sort_by(f64::total_cmp);
    match (times.get(times.len() / 2), times.last()) {
        (Some(median), Some(worst)) => format!("{median:.2}, {worst:.2} ({})", times.len() / all.len()),
        _ => "none".into(),
    }
}

fn play(path: &Path, seeds: u64, kept: WithheldPlanParts) -> Result<(), String> {
    let mut scenario: Scenario = file::read(path).map_err(|e| e.to_string())?;
    scenario.proxies.count = PROXIES;
    let seeds: Vec<u64> = (1..=seeds).collect();
    let threads = std::num::NonZeroUsize::new(4).unwrap_or(std::num::NonZeroUsize::MIN);
    let runs = parallel::map(threads, &seeds, |_, seed| pair(&scenario, *seed, kept));
    let runs = runs.into_iter().collect::<Result<Vec<_>, _>>()?;
    let mean = |worth: &dyn Fn(&(Run, Run, PlanningStats)) -> f64| {
        runs.iter().map(worth).sum::<f64>() / runs.len() as f64
    };
    let differences: Vec<f64> = runs.iter().map(|r| r.0.served_worth() - r.1.served_worth()).collect();
    let told = interval(&differences, CONFIDENCE)
        .map_or("one pair".into(), |i| format!("{:+.4} ({:+.4} to {:+.4})", i.mean, i.low, i.high));
    let stats: Vec<PlanningStats> = runs.iter().map(|r| r.2.clone()).collect();
    let each = scenario.seconds * PLANNERS as f64 * 1024.0;
    println!(
        "| {} | {:.4} | {:.4} | {told} | {} | {:.1} | {:.0} | {:.0} | {} / {} |",
        scenario.name,
        mean(&|r| r.0.served_worth()),
        mean(&|r| r.1.served_worth()),
        avoided(&scenario, &stats),
        mean(&|r| r.2.mark_changes as f64) / f64::from(PROXIES),
        mean(&|r| r.2.bytes_to_planners as f64) / each,
        mean(&|r| r.2.bytes_from_planners as f64) / each,
        runs.iter().map(|r| r.0.breaches).sum::<u64>(),
        runs.iter().map(|r| r.1.breaches).sum::<u64>()
    );
    Ok(())
}

fn main() -> ExitCode {
    let (kept, words): (Vec<String>, Vec<String>) =
        std::env::args().skip(1).partition(|w| w.starts_with("without="));
    let keeps = |what: &str| kept.iter().any(|w| w == &format!("without={what}"));
    let kept = WithheldPlanParts {
        marks: keeps("marks"),
        terms: keeps("terms"),
        quotas: keeps("quotas"),
        cold: keeps("cold"),
        fetches: keeps("fetches"),
    };
    let mut words = words.into_iter();
    let seeds = words.next().and_then(|n| n.parse().ok()).unwrap_or(SEEDS);
    let scenarios = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut files: Vec<PathBuf> = words.map(PathBuf::from).collect();
    if files.is_empty() {
        files = FILES.iter().map(|name| scenarios.join(format!("{name}.toml"))).collect();
    }
    println!("| scenario | with | without | difference | avoided after s: median, worst (proxies) | changes a proxy | KB/s heard | KB/s said | rules broken |");
    println!("| --- | ---: | ---: | --- | --- | ---: | ---: | ---: | --- |");
    for path in &files {
        if let Err(why) = play(path, seeds, kept) {
            eprintln!("planners: {why}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
