//! Limits side by side on the small model: 2, 16 and 64 proxies before one ledger, on equal days.
//!
//! `cargo run --release -p limits --example side_by_side [SEEDS [FIRST]]` prints a markdown table for each
//! figure. A cell is the mean over the seeds, which are the same for all limits, so that a difference is
//! the limit's.

use limits::model::{run, Day, Figures, Line, Setup, Trouble, What};
use limits::{Aimd, Gradient, Limit, Micros, OriginLimit, Range, Sample, Throughput, Vegas};

const SECOND: Micros = 1_000_000;
const PROXIES: [u32; 3] = [2, 16, 64];

/// As many out as were given, whatever happens.
struct Fixed(f64);

impl Limit for Fixed {
    fn sent(&mut self, _now: Micros, _out: u32) {}
    fn ended(&mut self, _sample: &Sample) {}
    fn limit(&self, _now: Micros) -> f64 {
        self.0
    }
}

/// Starts at four, or at its part of sixteen where many stand before one ledger.
fn range(proxies: u32) -> Range {
    Range::from((16.0 / f64::from(proxies)).min(4.0))
}

type Make = fn(u32) -> Box<dyn Limit>;

/// The order by worth, and what has waited long shed: a tenth of a second is harmless, half of one the longest
/// wait.
const SHED: Line = Line { delays: Some((100_000, 500_000)), ..Line::BEFORE };
/// The same, first in last out in place of by worth.
const CODEL: Line = Line { by_worth: false, ..SHED };
/// As in service, with what has waited long shed on top.
const BOTH: Line = Line { delays: SHED.delays, ..Line::SERVICE };

/// `20 in all` knows what no proxy does: how many cores the ledger has, and how many proxies there are.
/// `served` is in line as in service, where what cannot make it any more is given up.
const LIMITS: [(&str, Make, Line); 14] = [
    ("none", |_| Box::new(Fixed(1e6)), Line::BEFORE),
    ("20 in all", |p| Box::new(Fixed(20.0 / f64::from(p))), Line::BEFORE),
    ("aimd", |_| Box::new(Aimd::default()), Line::BEFORE),
    ("gradient", |p| Box::new(Gradient::new(range(p))), Line::BEFORE),
    ("throughput", |p| Box::new(Throughput::new(range(p))), Line::BEFORE),
    ("vegas", |p| Box::new(Vegas::new(range(p))), Line::BEFORE),
    ("ledger", |_| Box::new(OriginLimit::default()), Line { late: Line::SERVICE.late, ..Line::BEFORE }),
    ("20, served", |p| Box::new(Fixed(20.0 / f64::from(p))), Line::SERVICE),
    ("aimd, served", |_| Box::new(Aimd::default()), Line { late: Line::BEFORE.late, ..Line::SERVICE }),
    ("vegas, served", |p| Box::new(Vegas::new(range(p))), Line::SERVICE),
    ("ledger, served", |_| Box::new(OriginLimit::default()), Line::SERVICE),
    ("vegas, shed", |p| Box::new(Vegas::new(range(p))), SHED),
    ("vegas, codel", |p| Box::new(Vegas::new(range(p))), CODEL),
    ("ledger, served, shed", |_| Box::new(OriginLimit::default()), BOTH),
];

/// Days of 50 s.
fn days(proxies: u32) -> Vec<(&'static str, Setup)> {
    let trouble = |from, to, what| Trouble { from: from * SECOND, to: to * SECOND, what };
    let cut = trouble(20, 30, What::Cut);
    let slow = |times| trouble(20, 32, What::Slow(times));
    // Nearly twice the usual, a tenth of all of it for a handful of accounts.
    let payday = trouble(15, 45, What::Crowd(1.9, 0.1));
    let burst = |at| trouble(at, at + 4, What::Crowd(2.5, 0.6));
    let day = |troubles| Setup { proxies, troubles, ..Setup::default() };
    let uneven = |troubles| Setup { heavy: 10.0, ..day(troubles) };
    let restart = trouble(25, 26, What::Restart(0));
    vec![
        ("calm", day(vec![])),
        ("ledger 3 times slower", day(vec![slow(3.0)])),
        ("ledger 6 times slower", day(vec![slow(6.0)])),
        ("5 times slower for writes", day(vec![trouble(20, 32, What::SlowWrites(5.0))])),
        ("a tenth of its answers late", day(vec![trouble(20, 32, What::Stray(0.1, 600_000))])),
        ("ledger stopped", day(vec![trouble(20, 25, What::Stop)])),
        ("payday", day(vec![payday])),
        ("payday, a proxy restarted", day(vec![payday, restart])),
        ("payday, one with ten times the traffic", uneven(vec![payday])),
        ("slow, one with ten times the traffic", uneven(vec![slow(3.0)])),
        ("slow, a proxy restarted", day(vec![slow(3.0), restart])),
        ("slow from the start", day(vec![trouble(0, 15, What::Slow(4.0))])),
        ("crowds", day(vec![burst(15), burst(25), burst(35)])),
        ("hall cut", day(vec![cut])),
        ("hall cut, ledger slow", day(vec![cut, slow(3.0)])),
    ]
}

/// What is shown: its title, its decimals, and how a run's figures give it.
type Shown = (&'static str, usize, fn(&Setup, &Figures) -> f64);

const SHOWN: [Shown; 8] = [
    ("Part of the worth served in time", 3, |_, f| f.whole()),
    ("The same while the trouble is on", 3, |s, f| f.worth(began(s), ended(s))),
    ("Part of the ledger's core time used", 2, |_, f| f.load().0),
    ("Part of that for answers nobody waits for", 2, |_, f| f.load().1),
    ("Part of the tries refused", 3, |_, f| f.refused as f64 / f.tries.max(1) as f64),
    ("Part of the tries failed", 3, |_, f| f.failed as f64 / f.tries.max(1) as f64),
    ("Times that the ledger was driven into its stop", 1, |_, f| f.stops as f64),
    ("Seconds after the trouble until worth is within 0.03 of before", 1, |s, f| {
        f.recovery(began(s), ended(s), 0.03)
    }),
];

fn began(setup: &Setup) -> Micros {
    setup.troubles.iter().map(|t| t.from).min().unwrap_or(20 * SECOND)
}

fn ended(setup: &Setup) -> Micros {
    setup.troubles.iter().map(|t| t.to).max().unwrap_or(40 * SECOND)
}

/// The means of all that is shown, for each limit.
fn compare(setup: &Setup, seeds: std::ops::Range<u64>) -> Vec<[f64; SHOWN.len()]> {
    let drawn: Vec<Day> = seeds.map(|seed| Day::draw(setup.clone(), seed)).collect();
    let one = |(_, make, line): &(&str, Make, Line)| {
        let mut means = [0.0; SHOWN.len()];
        for day in &drawn {
            let figures = run(day, *line, &|_| make(setup.proxies));
            for (mean, (_, _, shown)) in means.iter_mut().zip(SHOWN) {
                *mean += shown(setup, &figures) / drawn.len() as f64;
            }
        }
        means
    };
    std::thread::scope(|scope| {
        let runs: Vec<_> = LIMITS.iter().map(|limit| scope.spawn(|| one(limit))).collect();
        runs.into_iter().map(|run| run.join().unwrap_or([f64::NAN; SHOWN.len()])).collect()
    })
}

fn main() {
    let mut args = std::env::args().skip(1).filter_map(|a| a.parse::<u64>().ok());
    let (seeds, first) = (args.next().unwrap_or(10).max(1), args.next().unwrap_or(1));
    let mut rows = Vec::new();
    for (at, (name, _)) in days(2).into_iter().enumerate() {
        for proxies in PROXIES {
            let setup = &days(proxies)[at].1;
            rows.push((format!("{name}, {proxies}"), compare(setup, first..first + seeds)));
        }
    }
    println!(
        "Means over {seeds} seeds from {first}, the same for all limits; the number is that of proxies."
    );
    for (i, (title, decimals, _)) in SHOWN.iter().enumerate() {
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
