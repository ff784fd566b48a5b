//! The result of a run: counts by class, one entry per second, the executed faults and the broken rules.
//!
//! Plain serializable data. Two runs of the same scenario and seed in virtual time are identical to the byte.
//! Worth is counted once per client request, over all of its tries. Latency is measured from the moment when
//! the client wanted to send its first try, whether or not it was sent on time (open loop).

use crate::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;

/// Latencies in microseconds, with a precision of three digits.
#[derive(Clone, Debug, PartialEq)]
pub struct Latencies(Histogram<u64>);

/// Ten minutes; longer latencies are recorded as this value.
const MAX_LATENCY: u64 = 600_000_000;

impl Default for Latencies {
    fn default() -> Self {
        // The bounds are valid constants, so creating the histogram cannot fail.
        let made = Histogram::new_with_bounds(1, MAX_LATENCY, 3);
        Latencies(made.unwrap_or_else(|_| unreachable!("constant bounds")))
    }
}

impl Latencies {
    pub fn add(&mut self, latency: Micros) {
        self.add_many(latency, 1);
    }

    fn add_many(&mut self, latency: Micros, count: u64) {
        self.0.saturating_record(latency.clamp(1, MAX_LATENCY as Micros) as u64);
        if count > 1 {
            let _ = self.0.record_n(latency.clamp(1, MAX_LATENCY as Micros) as u64, count - 1);
        }
    }

    pub fn merge(&mut self, other: &Latencies) {
        // The bounds are equal, so no value is out of range.
        let _ = self.0.add(&other.0);
    }

    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The latency that a part `q` (0 to 1) of all values do not exceed, in microseconds; `None` if empty.
    pub fn quantile(&self, q: f64) -> Option<Micros> {
        (!self.0.is_empty()).then(|| self.0.value_at_quantile(q) as Micros)
    }

    pub fn mean(&self) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.mean())
    }

    pub fn max(&self) -> Option<Micros> {
        (!self.0.is_empty()).then(|| self.0.max() as Micros)
    }

    /// The recorded values in ascending order, each with its count: for plots of the distribution.
    pub fn recorded(&self) -> impl Iterator<Item = (Micros, u64)> + '_ {
        self.0.iter_recorded().map(|v| (v.value_iterated_to() as Micros, v.count_at_value()))
    }
}

/// Serialized as a list of values and counts.
impl Serialize for Latencies {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_seq(self.recorded())
    }
}

impl<'de> Deserialize<'de> for Latencies {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let mut latencies = Latencies::default();
        for (value, count) in Vec::<(Micros, u64)>::deserialize(from)? {
            if count > 0 {
                latencies.add_many(value, count);
            }
        }
        Ok(latencies)
    }
}

/// Results of the requests of a class, or of all classes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Client requests, counted at their first try, at any proxy.
    pub requests: u64,
    /// The final result for the client: served within the aim, or after it; refused or failed with no try
    /// left; or given up without any answer. These five add up to `requests` once a run is finished.
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Tries after the first.
    pub retries: u64,
    /// Worth of all requests, and of those served in time.
    pub worth_asked: f64,
    pub worth_served: f64,
}

impl Counts {
    pub fn merge(&mut self, o: &Counts) {
        self.requests += o.requests;
        self.in_time += o.in_time;
        self.late += o.late;
        self.refused += o.refused;
        self.failed += o.failed;
        self.left += o.left;
        self.retries += o.retries;
        self.worth_asked += o.worth_asked;
        self.worth_served += o.worth_served;
    }
}

/// Results of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassTally {
    pub name: String,
    pub counts: Counts,
    /// Of the requests that were served, in time or late.
    pub latency_us: Latencies,
}

/// What the proxies caused at the nodes, counted at the nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Attempts whose first byte was sent, and those of them that crossed zones.
    pub attempts: u64,
    pub crossings: u64,
    /// Reads at cache nodes that hit, and that missed.
    pub hits: u64,
    pub misses: u64,
    /// Requests that full nodes rejected without executing them.
    pub turned_away: u64,
    pub handshakes: u64,
    pub probes: u64,
    /// Work that the nodes did, and the part of it that led to no answer, in microseconds of a standard core.
    pub work_us: f64,
    pub wasted_us: f64,
}

/// All totals of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// In the scenario's order.
    pub classes: Vec<ClassTally>,
    pub work: Work,
    /// Reads and writes that reached the origin; requests that it rejected; and how often it stopped.
    pub ledger_reads: u64,
    pub ledger_writes: u64,
    pub ledger_refused: u64,
    pub ledger_stops: u64,
}

impl Tally {
    pub fn all(&self) -> Counts {
        let mut all = Counts::default();
        self.classes.iter().for_each(|c| all.merge(&c.counts));
        all
    }

    /// Worth served in time divided by the worth of all requests, 0 to 1; 1 if there were no requests.
    pub fn served_worth(&self) -> f64 {
        let all = self.all();
        if all.worth_asked > 0.0 {
            all.worth_served / all.worth_asked
        } else {
            1.0
        }
    }
}

/// One second of a run. Requests are counted in the second in which they were due, answers to tries in the
/// second in which they arrived.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Worth of the requests due in this second, and the part of it that was served in time, then or later.
    pub worth_asked: f64,
    pub worth_served: f64,
    /// Tries sent, the retries among them, and results of tries: served, refused, failed, and given up.
    pub tries: u64,
    pub retries: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Median and 99th percentile of the latencies of answers served in this second, by class; `None` if
    /// there were none.
    pub p50_us: Vec<Option<Micros>>,
    pub p99_us: Vec<Option<Micros>>,
    /// The part of its warm capacity that each node used, by the node's index in the run. A second lists the
    /// nodes that exist by then.
    pub node_load: Vec<f32>,
    /// At the origin: requests in flight at the end of the second, and those served and rejected or timed out
    /// within it.
    pub ledger_out: u32,
    pub ledger_served: u64,
    pub ledger_refused: u64,
}

/// A fault as it was executed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultMark {
    /// The name of the kind in scenario files.
    pub kind: String,
    pub from_s: f64,
    pub until_s: f64,
    /// What it affected, as text.
    pub what: String,
}

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// One final answer, in time, for each accepted request; and a value only if it was made for this
    /// request.
    OneAnswer,
    /// Nothing is executed twice that must not be.
    RunOnce,
    /// No new attempts go to a node that drains or is gone, once the grace is over.
    Drain,
    /// No cold node crashes from overload, and the origin is not stopped by misses at cold nodes.
    FailBack,
    /// No node in slow start gets more calls than the settings allow by then, plus a margin for random
    /// variation.
    SlowStart,
}

impl Rule {
    pub const ALL: [Rule; 5] = [Rule::OneAnswer, Rule::RunOnce, Rule::Drain, Rule::FailBack, Rule::SlowStart];

    pub fn name(self) -> &'static str {
        match self {
            Rule::OneAnswer => "one_answer",
            Rule::RunOnce => "run_once",
            Rule::Drain => "drain",
            Rule::FailBack => "fail_back",
            Rule::SlowStart => "slow_start",
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: Rule,
    /// Time since the start of the run.
    pub at_us: Micros,
    /// What happened, in one line.
    pub what: String,
}

/// Maximum number of breaches listed per rule in a run; the rest is only counted.
pub const MAX_BREACHES: usize = 20;

/// Delays of the load generator and the host. Always zero in virtual time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// How late tries were sent: the 99th percentile and the maximum.
    pub p99_us: Micros,
    pub max_us: Micros,
    /// The run is void: the generator was too late for its results to be meaningful.
    pub void: bool,
}

/// Connections to proxies, if the scenario has a crowd.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    /// Accepted connections: of usual clients, and of the crowd.
    pub usual: u64,
    pub crowd: u64,
    /// Usual clients' connections that were closed to make room.
    pub usual_closed: u64,
    /// Connections of either kind that found the backlog full.
    pub turned_away: u64,
    /// Maximum number of bytes held for the crowd at any one proxy.
    pub most_bytes: u64,
}

impl ConnectionCounts {
    pub fn merge(&mut self, o: &ConnectionCounts) {
        self.usual += o.usual;
        self.crowd += o.crowd;
        self.usual_closed += o.usual_closed;
        self.turned_away += o.turned_away;
        self.most_bytes = self.most_bytes.max(o.most_bytes);
    }
}

/// Sizes of the proxies' tables over a run, if the scenario samples them: for each table and sample the
/// largest size at any proxy.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sizes {
    pub every_us: Micros,
    pub tables: BTreeMap<String, Vec<u64>>,
    taken: usize,
}

/// A table over a run: means over the first, the middle and the last tenth of the samples, and the maximum.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Span {
    pub start: f64,
    pub middle: f64,
    pub end: f64,
    pub most: u64,
}

/// A table that has grown by no more than this number of entries is ignored: such differences are random.
const MIN_GROWTH: f64 = 16.0;

impl Sizes {
    pub fn new(every_us: Micros) -> Self {
        Sizes { every_us, ..Sizes::default() }
    }

    /// Adds a sample: the tables of each running proxy.
    pub fn take<'a>(&mut self, tables: impl Iterator<Item = (&'a str, usize)>) {
        for (table, held) in tables {
            if !self.tables.contains_key(table) {
                self.tables.insert(table.to_owned(), Vec::new());
            }
            let Some(series) = self.tables.get_mut(table) else { continue };
            series.resize(self.taken + 1, 0);
            series[self.taken] = series[self.taken].max(held as u64);
        }
        self.taken += 1;
        self.tables.values_mut().for_each(|series| series.resize(self.taken, 0));
    }

    pub fn span(series: &[u64]) -> Span {
        let (n, width) = (series.len(), series.len().div_ceil(10));
        let mean = |from: usize| {
            let part = &series[from..from + width];
            part.iter().sum::<u64>() as f64 / width.max(1) as f64
        };
        let most = series.iter().copied().max().unwrap_or(0);
        Span { start: mean(0), middle: mean((n - width) / 2), end: mean(n - width), most }
    }

    /// The tables whose size at the end is more than `times` that in the middle, with both. Linear growth
    /// from zero gives a ratio of 1.9, so the bound must be below that; a bounded table that is full by then
    /// has 1.
    pub fn grown(&self, times: f64) -> Vec<(&str, Span)> {
        let spans = self.tables.iter().map(|(table, series)| (table.as_str(), Sizes::span(series)));
        spans.filter(|(_, s)| s.end > times * s.middle && s.end - s.middle > MIN_GROWTH).collect()
    }
}

/// Results of the clients' tries at the proxies' sockets, if there are any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SocketTryCounts {
    /// The connection failed, or it broke before the last byte was written.
    pub unreached: u64,
    /// The proxy closed the idle connection while the command was on its way; sent once more.
    pub crossed: u64,
    /// Closed after that without an answer.
    pub dropped: u64,
    /// No answer while the client waited.
    pub unanswered: u64,
    pub refused: u64,
    pub failed: u64,
    pub served: u64,
}

/// The result of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Run {
    pub scenario: String,
    pub seed: u64,
    pub tally: Tally,
    pub timeline: Vec<Second>,
    /// The names of the nodes in the order of `Second::node_load`.
    pub nodes: Vec<String>,
    pub faults: Vec<FaultMark>,
    /// The first breaches of each rule, at most [`MAX_BREACHES`] per rule, in chronological order.
    pub rules_broken: Vec<Breach>,
    /// All breaches, including those not listed.
    pub breaches: u64,
    /// The simulated time until everything was answered.
    pub virtual_s: f64,
    pub late: Lateness,
    /// `None` without a crowd.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub doorway: Option<ConnectionCounts>,
    /// `None` if the scenario does not sample them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sizes: Option<Sizes>,
    /// `None` in virtual time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub meetings: Option<SocketTryCounts>,
}

impl Run {
    pub fn served_worth(&self) -> f64 {
        self.tally.served_worth()
    }
}

#[cfg(test)]
mod tests;
