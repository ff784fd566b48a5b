//! What a run returns: counts by class, a line for each second, the faults that were played, the rules broken.
//!
//! Plain data that can be serialised; two runs of one scenario and seed in the virtual world are equal to the byte.
//! Worth is counted once for a client's request, over all of its tries; a latency runs from the moment when the
//! client wanted to send its first try, sent in time or not (open loop).

use crate::Micros;
use hdrhistogram::Histogram;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::collections::BTreeMap;

/// Latencies in microseconds, to three digits.
#[derive(Clone, Debug, PartialEq)]
pub struct Latencies(Histogram<u64>);

/// The longest latency told apart from longer ones: ten minutes.
const LONGEST: u64 = 600_000_000;

impl Default for Latencies {
    fn default() -> Self {
        // Bounds that are constants and valid: a histogram made of them cannot fail, and neither can this.
        let made = Histogram::new_with_bounds(1, LONGEST, 3);
        Latencies(made.unwrap_or_else(|_| unreachable!("constant bounds")))
    }
}

impl Latencies {
    pub fn add(&mut self, latency: Micros) {
        self.add_many(latency, 1);
    }

    fn add_many(&mut self, latency: Micros, count: u64) {
        self.0.saturating_record(latency.clamp(1, LONGEST as Micros) as u64);
        if count > 1 {
            let _ = self.0.record_n(latency.clamp(1, LONGEST as Micros) as u64, count - 1);
        }
    }

    pub fn merge(&mut self, other: &Latencies) {
        // Equal bounds: nothing can be out of range.
        let _ = self.0.add(&other.0);
    }

    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// The latency that a part `q` (0 to 1) of all do not exceed, in microseconds; `None` without any.
    pub fn quantile(&self, q: f64) -> Option<Micros> {
        (!self.0.is_empty()).then(|| self.0.value_at_quantile(q) as Micros)
    }

    pub fn mean(&self) -> Option<f64> {
        (!self.0.is_empty()).then(|| self.0.mean())
    }

    pub fn max(&self) -> Option<Micros> {
        (!self.0.is_empty()).then(|| self.0.max() as Micros)
    }

    /// The values that were seen, each with its count, in order: for plots of the distribution.
    pub fn recorded(&self) -> impl Iterator<Item = (Micros, u64)> + '_ {
        self.0.iter_recorded().map(|v| (v.value_iterated_to() as Micros, v.count_at_value()))
    }
}

/// As a list of values and counts.
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

/// What came of the requests of a class, or of all of them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests: a client's first tries, at whatever proxy.
    pub requests: u64,
    /// What the client had in the end: served within the aim, or after it; refused or failed with no try left;
    /// or it left without any answer. These five add up to `requests` once a run is over.
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Further tries of clients.
    pub retries: u64,
    /// Worth that was asked for, and what of it was served in time.
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

/// What came of a class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassTally {
    pub name: String,
    pub counts: Counts,
    /// Of the requests that were served, in time or late.
    pub latency_us: Latencies,
}

/// What the proxies did at the nodes, counted at the nodes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Work {
    /// Attempts whose first byte went out, and of these the ones that crossed halls.
    pub attempts: u64,
    pub crossings: u64,
    /// Reads at cache nodes that hit, and that missed.
    pub hits: u64,
    pub misses: u64,
    /// Turned away unseen, by nodes that were full.
    pub turned_away: u64,
    pub handshakes: u64,
    pub probes: u64,
    /// Work that the nodes did, and what of it served no answer, in microseconds of a standard core.
    pub work_us: f64,
    pub wasted_us: f64,
}

/// All that was counted over a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// In the scenario's order.
    pub classes: Vec<ClassTally>,
    pub work: Work,
    /// Reads that reached the ledger; writes that did; both turned away; and how often it stopped.
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

    /// Worth served in time over worth asked for, 0 to 1; 1 where nothing was asked for.
    pub fn served_worth(&self) -> f64 {
        let all = self.all();
        if all.worth_asked > 0.0 {
            all.worth_served / all.worth_asked
        } else {
            1.0
        }
    }
}

/// One second of a run. Requests are counted in the second in which they were to be sent, answers by tries in the
/// second in which they came.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Second {
    /// Worth of the requests of this second, and what of it was served in time, then or later.
    pub worth_asked: f64,
    pub worth_served: f64,
    /// Tries sent, of which were retries, and answers to tries: served, refused, failed, and tries given up.
    pub tries: u64,
    pub retries: u64,
    pub served: u64,
    pub refused: u64,
    pub failed: u64,
    pub left: u64,
    /// Median and 99th percentile of the latencies of answers served in this second, by class; `None` without any.
    pub p50_us: Vec<Option<Micros>>,
    pub p99_us: Vec<Option<Micros>>,
    /// The part of its warm capacity that each node used, by its place among the nodes of the run. A second lists
    /// as many as there are by then.
    pub node_load: Vec<f32>,
    /// At the ledger: what was out there at the second's end, served, and turned away or timed out within it.
    pub ledger_out: u32,
    pub ledger_served: u64,
    pub ledger_refused: u64,
}

/// A fault as it was played.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FaultMark {
    /// As the scenario names the kind.
    pub kind: String,
    pub from_s: f64,
    pub until_s: f64,
    /// What it struck, in words.
    pub what: String,
}

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// One final outcome, in time, for each request taken; and a value only from who made it for this request.
    OneAnswer,
    /// Nothing runs twice that must not.
    RunOnce,
    /// Nothing new goes to a node that drains or is gone, once the grace is over.
    Drain,
    /// No cold node is pushed over, and no ledger stopped by misses at cold nodes.
    FailBack,
    /// No node in slow start gets more calls than the settings allow it by then, and what chance adds to so many.
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

/// A rule that was broken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Breach {
    pub rule: Rule,
    /// When, from the start of the run.
    pub at_us: Micros,
    /// What happened, in one line.
    pub what: String,
}

/// The breaches of a rule that a run lists by itself; the rest are only counted.
pub const MAX_BREACHES: usize = 20;

/// What the generator and the host could not keep up with. Always zero in the virtual world.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Lateness {
    /// How late tries were sent: the 99th percentile and the longest.
    pub p99_us: Micros,
    pub max_us: Micros,
    /// The run is void: the generator was too late for its figures to mean anything.
    pub void: bool,
}

/// What came of the connections to proxies, where a scenario has a crowd.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConnectionCounts {
    /// Connections accepted: of usual clients, and of the crowd.
    pub usual: u64,
    pub crowd: u64,
    /// Usual clients' connections that were closed to make room.
    pub usual_closed: u64,
    /// Connections that found the backlog full, of both.
    pub turned_away: u64,
    /// Most bytes held for the crowd, at any one proxy.
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

/// Sizes of the proxies' tables over a run, where a scenario asks for them: of each table what the proxy had that had
/// most in it, at each moment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Sizes {
    pub every_us: Micros,
    pub tables: BTreeMap<String, Vec<u64>>,
    taken: usize,
}

/// A table over a run: means over the first, the middle and the last tenth of the moments, and the most at one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Span {
    pub start: f64,
    pub middle: f64,
    pub end: f64,
    pub most: u64,
}

/// A table that has grown by no more than this many is not looked at: a few things more or less are chance.
const FEW: f64 = 16.0;

impl Sizes {
    pub fn new(every_us: Micros) -> Self {
        Sizes { every_us, ..Sizes::default() }
    }

    /// Another moment: the tables of each proxy that runs.
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

    /// The tables whose end is over so many times their middle, with both. What grows at a steady pace from nothing
    /// ends with 1.9 times its middle, so a bound has to be under that; what is bounded and full by then has 1.
    pub fn grown(&self, times: f64) -> Vec<(&str, Span)> {
        let spans = self.tables.iter().map(|(table, series)| (table.as_str(), Sizes::span(series)));
        spans.filter(|(_, s)| s.end > times * s.middle && s.end - s.middle > FEW).collect()
    }
}

/// How the tries of clients met the proxies' sockets, where there are any.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SocketTryCounts {
    /// No connection came up, or it broke before the last byte was written.
    pub unreached: u64,
    /// Closed idle by the proxy while the command was on its way; sent once more.
    pub crossed: u64,
    /// Closed after that without an answer.
    pub dropped: u64,
    /// No answer while the client waited.
    pub unanswered: u64,
    pub refused: u64,
    pub failed: u64,
    pub served: u64,
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Run {
    pub scenario: String,
    pub seed: u64,
    pub tally: Tally,
    pub timeline: Vec<Second>,
    /// The names of the nodes that `Second::node_load` lists, in its order.
    pub nodes: Vec<String>,
    pub faults: Vec<FaultMark>,
    /// The first of each rule, at most [`MAX_BREACHES`] a rule, in the order of time.
    pub rules_broken: Vec<Breach>,
    /// All breaches, those not listed included.
    pub breaches: u64,
    /// The time that was played, until all was answered.
    pub virtual_s: f64,
    pub late: Lateness,
    /// `None` without a crowd.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub doorway: Option<ConnectionCounts>,
    /// `None` where the scenario does not ask for them.
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
