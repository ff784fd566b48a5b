//! `result.json`: what came of a run, under the keys that `docs/lab.md` documents.
//!
//! Other tools read this file: a key may be added, none may change its meaning. Figures that a person wants to
//! read are rounded to what they can tell; the rounding is the same on every machine.

use crate::input::setting::Setting;
use serde::Serialize;
use std::collections::BTreeMap;
use world::outcome::{ConnectionCounts, Latencies, Run, Sizes, SocketTryCounts};

/// Where a run was played.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum World {
    /// A discrete-event engine in virtual time, in this process.
    Virtual,
    /// Real sockets on 127.0.0.1, and the proxy as child processes.
    Loopback,
}

impl World {
    pub fn name(self) -> &'static str {
        match self {
            World::Virtual => "virtual",
            World::Loopback => "loopback",
        }
    }
}

/// The content of `result.json`.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ResultFile {
    pub name: String,
    pub world: World,
    pub seed: u64,
    /// What the command line changed, as `path=value`.
    pub set: Vec<String>,
    /// Worth served in time over worth asked for, 0 to 1.
    pub served_worth: f64,
    /// Requests of clients: first tries.
    pub requests: u64,
    /// The breaches that the run lists; empty if no rule was broken.
    pub rules_broken: Vec<Broken>,
    /// All breaches, those beyond the list included.
    pub breaches: u64,
    pub latency_ms: BTreeMap<String, Quantiles>,
    /// Requests that ended refused, failed, or without an answer.
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Requests answered after the aim of their class, which is worth nothing.
    pub served_late: u64,
    /// Further tries of clients.
    pub retries: u64,
    pub ledger_reads: u64,
    pub ledger_stops: u64,
    /// The time that was played.
    pub virtual_s: f64,
    /// The time that it took. Always 0 in the virtual world, whose file depends on scenario and seed alone.
    pub wall_s: f64,
    /// How late the generator sent, in milliseconds at the 99th percentile, and the longest; 0 in the virtual world.
    pub late: f64,
    pub late_max: f64,
    /// The generator was too late for the figures to mean anything.
    pub void: bool,
    /// Connections to proxies, where the scenario has a crowd.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub doorway: Option<ConnectionCounts>,
    /// Sizes of the proxies' tables, where the scenario asks for them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sizes: Option<SizesFile>,
    /// How tries met the proxies' sockets, on loopback.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub meetings: Option<SocketTryCounts>,
}

/// Sizes of tables, each of the proxy that had most in it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct SizesFile {
    /// From one moment to the next; the first is one such time after the start.
    pub every_s: f64,
    pub tables: BTreeMap<String, TableSizes>,
}

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TableSizes {
    /// Means over the first, the middle and the last tenth of the moments.
    pub start: f64,
    pub middle: f64,
    pub end: f64,
    pub most: u64,
    /// Of every moment.
    pub series: Vec<u64>,
}

impl SizesFile {
    fn new(sizes: &Sizes) -> Self {
        let table = |series: &Vec<u64>| {
            let s = Sizes::span(series);
            let [start, middle, end] = [s.start, s.middle, s.end].map(|x| round(x, 1));
            TableSizes { start, middle, end, most: s.most, series: series.clone() }
        };
        let tables = sizes.tables.iter().map(|(name, series)| (name.clone(), table(series)));
        SizesFile { every_s: sizes.every_us as f64 / 1e6, tables: tables.collect() }
    }
}

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Broken {
    pub rule: &'static str,
    pub at_s: f64,
    pub what: String,
}

/// Of the answers that were served; `null` where there were none.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Quantiles {
    pub p50: Option<f64>,
    pub p99: Option<f64>,
    pub p999: Option<f64>,
}

impl Quantiles {
    pub fn of(latencies: &Latencies) -> Self {
        let at = |q| latencies.quantile(q).map(|us| round(us as f64 / 1_000.0, 3));
        Quantiles { p50: at(0.5), p99: at(0.99), p999: at(0.999) }
    }
}

/// `x` with so many decimals.
pub fn round(x: f64, decimals: i32) -> f64 {
    let scale = 10_f64.powi(decimals);
    (x * scale).round() / scale
}

impl ResultFile {
    /// `wall_s` is the measured time; the virtual world's file does not take it.
    pub fn new(run: &Run, world: World, set: &[Setting], wall_s: f64) -> Self {
        let all = run.tally.all();
        ResultFile {
            name: run.scenario.clone(),
            doorway: run.doorway,
            meetings: run.meetings,
            sizes: run.sizes.as_ref().map(SizesFile::new),
            world,
            seed: run.seed,
            set: set.iter().map(ToString::to_string).collect(),
            served_worth: round(run.served_worth(), 6),
            requests: all.requests,
            rules_broken: run
                .rules_broken
                .iter()
                .map(|b| Broken {
                    rule: b.rule.name(),
                    at_s: b.at_us as f64 / 1_000_000.0,
                    what: b.what.clone(),
                })
                .collect(),
            breaches: run.breaches,
            latency_ms: run
                .tally
                .classes
                .iter()
                .map(|class| (class.name.clone(), Quantiles::of(&class.latency_us)))
                .collect(),
            refused: all.refused,
            failed: all.failed,
            left: all.left,
            served_late: all.late,
            retries: all.retries,
            ledger_reads: run.tally.ledger_reads,
            ledger_stops: run.tally.ledger_stops,
            virtual_s: round(run.virtual_s, 6),
            wall_s: if world == World::Virtual { 0.0 } else { round(wall_s, 3) },
            late: run.late.p99_us as f64 / 1_000.0,
            late_max: run.late.max_us as f64 / 1_000.0,
            void: run.late.void,
        }
    }

    /// The file's text.
    pub fn json(&self) -> String {
        // A struct of numbers and texts: nothing in it that JSON could not hold.
        let mut text = serde_json::to_string_pretty(self).unwrap_or_default();
        text.push('\n');
        text
    }
}
