//! The figures of a run that experiments compare, by name.

use super::paired::Better;
use std::fmt;
use std::str::FromStr;
use world::outcome::Run;

/// A figure of a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Figure {
    ServedWorth,
    /// As parts of all requests.
    Refused,
    Failed,
    Left,
    /// A request.
    Retries,
    Attempts,
    /// As parts: of the reads at cache nodes, of the attempts.
    Hits,
    Crossings,
    Handshakes,
    LedgerReads,
    LedgerStops,
    Breaches,
    /// Load of the busiest node over the mean, in the mean of the seconds in which clients come.
    Busiest,
    /// Latency of a class at a quantile, in ms.
    Latency {
        class: String,
        name: &'static str,
        quantile: f64,
    },
}

const QUANTILES: [(&str, f64); 3] = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)];
const PLAIN: [(&str, Figure); 13] = [
    ("served_worth", Figure::ServedWorth),
    ("refused", Figure::Refused),
    ("failed", Figure::Failed),
    ("left", Figure::Left),
    ("retries", Figure::Retries),
    ("attempts", Figure::Attempts),
    ("hits", Figure::Hits),
    ("crossings", Figure::Crossings),
    ("handshakes", Figure::Handshakes),
    ("ledger_reads", Figure::LedgerReads),
    ("ledger_stops", Figure::LedgerStops),
    ("breaches", Figure::Breaches),
    ("busiest", Figure::Busiest),
];

impl Figure {
    /// Its value in a run; not a number where the run has none, as a latency of a class that was never served.
    pub fn of(&self, run: &Run) -> f64 {
        let all = run.tally.all();
        let requests = all.requests.max(1) as f64;
        let work = &run.tally.work;
        match self {
            Figure::ServedWorth => run.served_worth(),
            Figure::Refused => all.refused as f64 / requests,
            Figure::Failed => all.failed as f64 / requests,
            Figure::Left => all.left as f64 / requests,
            Figure::Retries => all.retries as f64 / requests,
            Figure::Attempts => work.attempts as f64 / requests,
            Figure::Hits => work.hits as f64 / (work.hits + work.misses) as f64,
            Figure::Crossings => work.crossings as f64 / work.attempts as f64,
            Figure::Handshakes => work.handshakes as f64 / requests,
            Figure::LedgerReads => run.tally.ledger_reads as f64,
            Figure::LedgerStops => run.tally.ledger_stops as f64,
            Figure::Breaches => run.breaches as f64,
            Figure::Busiest => busiest(run),
            Figure::Latency { class, quantile, .. } => {
                let class = run.tally.classes.iter().find(|c| c.name == *class);
                let us = class.and_then(|c| c.latency_us.quantile(*quantile));
                us.map_or(f64::NAN, |us| us as f64 / 1_000.0)
            }
        }
    }

    pub fn better(&self) -> Better {
        match self {
            Figure::ServedWorth | Figure::Hits => Better::Higher,
            _ => Better::Lower,
        }
    }
}

fn busiest(run: &Run) -> f64 {
    let ratio = |loads: &[f32]| {
        let sum: f64 = loads.iter().copied().map(f64::from).sum();
        let most = loads.iter().copied().fold(0.0, f32::max);
        (sum > 0.0).then(|| f64::from(most) * loads.len() as f64 / sum)
    };
    let busy = run.timeline.iter().filter(|second| second.worth_asked > 0.0);
    let ratios: Vec<f64> = busy.filter_map(|second| ratio(&second.node_load)).collect();
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

impl fmt::Display for Figure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Figure::Latency { class, name, .. } => write!(f, "{name}.{class}"),
            plain => {
                let named = PLAIN.iter().find(|(_, figure)| figure == plain);
                f.write_str(named.map_or("", |(name, _)| name))
            }
        }
    }
}

impl FromStr for Figure {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        if let Some((_, figure)) = PLAIN.iter().find(|(name, _)| *name == text) {
            return Ok(figure.clone());
        }
        let quantile = text
            .split_once('.')
            .and_then(|(q, class)| Some((QUANTILES.iter().find(|(n, _)| *n == q)?, class)));
        match quantile {
            Some(((name, quantile), class)) if !class.is_empty() => {
                Ok(Figure::Latency { class: class.to_owned(), name, quantile: *quantile })
            }
            _ => {
                let names: Vec<&str> = PLAIN.iter().map(|(name, _)| *name).collect();
                Err(format!("wanted: {}, or p50.CLASS, p99.CLASS, p999.CLASS", names.join(", ")))
            }
        }
    }
}

#[cfg(test)]
mod tests;
