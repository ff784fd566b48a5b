//! Compares the limits on the small model: 2, 16 and 64 proxies in front of one origin, on equal workloads.
//!
//! `cargo run --release -p limits --example side_by_side [SEEDS [FIRST]]` prints a markdown table for each
//! result. A cell is the mean over the seeds, which are the same for all limits, so that a difference is
//! caused by the limit.

use limits::model::{run, Fault, FaultKind, QueuePolicy, Results, Setup, Workload};
use limits::{Aimd, Gradient, Limit, Micros, OriginLimit, Range, Sample, Throughput, Vegas};

const SECOND: Micros = 1_000_000;
const PROXIES: [u32; 3] = [2, 16, 64];

/// A constant limit.
struct Fixed(f64);

impl Limit for Fixed {
    fn sent(&mut self, _now: Micros, _out: u32) {}
    fn ended(&mut self, _sample: &Sample) {}
    fn limit(&self, _now: Micros) -> f64 {
        self.0
    }
}

/// Starts at four, or at this proxy's share of sixteen where many proxies share one origin.
fn range(proxies: u32) -> Range {
    Range::from((16.0 / f64::from(proxies)).min(4.0))
}

type MakeLimit = fn(u32) -> Box<dyn Limit>;

/// Order by worth, and dropping of requests that waited long: one tenth of a second is harmless, one half
/// the longest wait.
const WORTH_WITH_CODEL: QueuePolicy =
    QueuePolicy { delays: Some((100_000, 500_000)), ..QueuePolicy::BASELINE };
/// The same, but last in first out instead of by worth.
const PLAIN_CODEL: QueuePolicy = QueuePolicy { by_worth: false, ..WORTH_WITH_CODEL };
/// As in service, with dropping of requests that waited long in addition.
const IN_SERVICE_WITH_CODEL: QueuePolicy =
    QueuePolicy { delays: WORTH_WITH_CODEL.delays, ..QueuePolicy::IN_SERVICE };

/// `20 in all` uses knowledge that no proxy has: the number of cores of the origin and of proxies. `served`
/// uses the queue policy in service, where requests that cannot be answered in time any more are refused.
const LIMITS: [(&str, MakeLimit, QueuePolicy); 14] = [
    ("none", |_| Box::new(Fixed(1e6)), QueuePolicy::BASELINE),
    ("20 in all", |p| Box::new(Fixed(20.0 / f64::from(p))), QueuePolicy::BASELINE),
    ("aimd", |_| Box::new(Aimd::default()), QueuePolicy::BASELINE),
    ("gradient", |p| Box::new(Gradient::new(range(p))), QueuePolicy::BASELINE),
    ("throughput", |p| Box::new(Throughput::new(range(p))), QueuePolicy::BASELINE),
    ("vegas", |p| Box::new(Vegas::new(range(p))), QueuePolicy::BASELINE),
    (
        "ledger",
        |_| Box::new(OriginLimit::default()),
        QueuePolicy { slow_after: QueuePolicy::IN_SERVICE.slow_after, ..QueuePolicy::BASELINE },
    ),
    ("20, served", |p| Box::new(Fixed(20.0 / f64::from(p))), QueuePolicy::IN_SERVICE),
    (
        "aimd, served",
        |_| Box::new(Aimd::default()),
        QueuePolicy { slow_after: QueuePolicy::BASELINE.slow_after, ..QueuePolicy::IN_SERVICE },
    ),
    ("vegas, served", |p| Box::new(Vegas::new(range(p))), QueuePolicy::IN_SERVICE),
    ("ledger, served", |_| Box::new(OriginLimit::default()), QueuePolicy::IN_SERVICE),
    ("vegas, shed", |p| Box::new(Vegas::new(range(p))), WORTH_WITH_CODEL),
    ("vegas, codel", |p| Box::new(Vegas::new(range(p))), PLAIN_CODEL),
    ("ledger, served, shed", |_| Box::new(OriginLimit::default()), IN_SERVICE_WITH_CODEL),
];

/// Scenarios of 50 s.
fn scenarios(proxies: u32) -> Vec<(&'static str, Setup)> {
    let fault = |from, to, kind| Fault { from: from * SECOND, to: to * SECOND, kind };
    let cut = fault(20, 30, FaultKind::ZonesDisconnected);
    let slow = |times| fault(20, 32, FaultKind::Slow(times));
    // Nearly twice the usual traffic, a tenth of all of it for a handful of keys.
    let payday = fault(15, 45, FaultKind::Surge(1.9, 0.1));
    let burst = |at| fault(at, at + 4, FaultKind::Surge(2.5, 0.6));
    let with_faults = |faults| Setup { proxies, faults, ..Setup::default() };
    let uneven = |faults| Setup { first_proxy_weight: 10.0, ..with_faults(faults) };
    let restart = fault(25, 26, FaultKind::ProxyRestart(0));
    vec![
        ("calm", with_faults(vec![])),
        ("ledger 3 times slower", with_faults(vec![slow(3.0)])),
        ("ledger 6 times slower", with_faults(vec![slow(6.0)])),
        ("5 times slower for writes", with_faults(vec![fault(20, 32, FaultKind::SlowWrites(5.0))])),
        (
            "a tenth of its answers late",
            with_faults(vec![fault(20, 32, FaultKind::DelayedAnswers(0.1, 600_000))]),
        ),
        ("ledger stopped", with_faults(vec![fault(20, 25, FaultKind::OriginStop)])),
        ("payday", with_faults(vec![payday])),
        ("payday, a proxy restarted", with_faults(vec![payday, restart])),
        ("payday, one with ten times the traffic", uneven(vec![payday])),
        ("slow, one with ten times the traffic", uneven(vec![slow(3.0)])),
        ("slow, a proxy restarted", with_faults(vec![slow(3.0), restart])),
        ("slow from the start", with_faults(vec![fault(0, 15, FaultKind::Slow(4.0))])),
        ("crowds", with_faults(vec![burst(15), burst(25), burst(35)])),
        ("hall cut", with_faults(vec![cut])),
        ("hall cut, ledger slow", with_faults(vec![cut, slow(3.0)])),
    ]
}

/// A reported result: its title, its decimals, and how it is computed from a run.
type Column = (&'static str, usize, fn(&Setup, &Results) -> f64);

const COLUMNS: [Column; 8] = [
    ("Part of the worth served in time", 3, |_, f| f.served_share()),
    ("The same while the trouble is on", 3, |s, f| f.served_share_between(first_fault(s), last_fault_end(s))),
    ("Part of the ledger's core time used", 2, |_, f| f.origin_load().0),
    ("Part of that for answers nobody waits for", 2, |_, f| f.origin_load().1),
    ("Part of the tries refused", 3, |_, f| f.refused as f64 / f.tries.max(1) as f64),
    ("Part of the tries failed", 3, |_, f| f.failed as f64 / f.tries.max(1) as f64),
    ("Times that the ledger was driven into its stop", 1, |_, f| f.stops as f64),
    ("Seconds after the trouble until worth is within 0.03 of before", 1, |s, f| {
        f.recovery(first_fault(s), last_fault_end(s), 0.03)
    }),
];

fn first_fault(setup: &Setup) -> Micros {
    setup.faults.iter().map(|t| t.from).min().unwrap_or(20 * SECOND)
}

fn last_fault_end(setup: &Setup) -> Micros {
    setup.faults.iter().map(|t| t.to).max().unwrap_or(40 * SECOND)
}

/// The means of all reported results, for each limit.
fn mean_results(setup: &Setup, seeds: std::ops::Range<u64>) -> Vec<[f64; COLUMNS.len()]> {
    let workloads: Vec<Workload> = seeds.map(|seed| Workload::generate(setup.clone(), seed)).collect();
    let run_limit = |(_, make, policy): &(&str, MakeLimit, QueuePolicy)| {
        let mut means = [0.0; COLUMNS.len()];
        for workload in &workloads {
            let results = run(workload, *policy, &|_| make(setup.proxies));
            for (mean, (_, _, value)) in means.iter_mut().zip(COLUMNS) {
                *mean += value(setup, &results) / workloads.len() as f64;
            }
        }
        means
    };
    std::thread::scope(|scope| {
        let runs: Vec<_> = LIMITS.iter().map(|limit| scope.spawn(|| run_limit(limit))).collect();
        runs.into_iter().map(|run| run.join().unwrap_or([f64::NAN; COLUMNS.len()])).collect()
    })
}

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|a| a.parse::<u64>().ok());
    let (seeds, first) = (args.next().unwrap_or(10).max(1), args.next().unwrap_or(1));
    let mut rows = Vec::new();
    for (at, (name, _)) in scenarios(2).into_iter().enumerate() {
        for proxies in PROXIES {
            let setup = &scenarios(proxies)[at].1;
            rows.push((format!("{name}, {proxies}"), mean_results(setup, first..first + seeds)));
        }
    }
    println!(
        "Means over {seeds} seeds from {first}, the same for all limits; the number is that of proxies."
    );
    for (i, (title, decimals, _)) in COLUMNS.iter().enumerate() {
        println!("\n### {title}\n");
        println!("| day | {} |", LIMITS.map(|l| l.0).join(" | "));
        println!("| --- {}|", "| --- ".repeat(LIMITS.len()));
        let row = |name: &str, cells: Vec<f64>| {
            let cells: Vec<_> = cells.into_iter().map(|x| format!("{x:.decimals$}")).collect();
            println!("| {name} | {} |", cells.join(" | "));
        };
        for (name, limits) in &rows {
            row(name, limits.iter().map(|means| means[i]).collect());
        }
        let mean = |l: usize| rows.iter().map(|(_, limits)| limits[l][i]).sum::<f64>() / rows.len() as f64;
        row("mean", (0..LIMITS.len()).map(mean).collect());
    }
}
