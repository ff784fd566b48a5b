//! Checks counters: a total must include all additions acknowledged before it was requested, and no more than
//! those requested before it returned.
//!
//! A single pass over [`Kind::Add`] and [`Kind::Total`]. A total may include any subset of the additions that
//! were concurrent or whose outcome is unknown. This is weaker than linearizability: two concurrent totals
//! need not agree. A total requested at the end checks the whole history.

use crate::operation::{History, Kind, Outcome};
use crate::{Fate, Listed, Micros, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Statistics of a run without violations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterStats {
    /// Number of counters.
    pub counters: u64,
    /// Number of totals checked.
    pub totals: u64,
}

/// A total outside the possible range.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WrongTotal {
    /// The counter.
    pub key: String,
    /// When the total was requested.
    pub invoked_us: Micros,
    /// The total that was returned.
    pub told: i64,
    /// Minimum possible total.
    pub least: i128,
    /// Maximum possible total.
    pub most: i128,
}

/// Time, cumulative positive and cumulative negative amounts, ordered by time.
#[derive(Default)]
struct Sums(Vec<(Micros, i128, i128)>);

impl Sums {
    fn add(&mut self, at: Micros, amount: i64) {
        self.0.push((at, i128::from(amount.max(0)), i128::from(amount.min(0))));
    }

    fn accumulate(&mut self) {
        self.0.sort_unstable_by_key(|s| s.0);
        let (mut positive, mut negative) = (0, 0);
        for s in &mut self.0 {
            positive += s.1;
            negative += s.2;
            (s.1, s.2) = (positive, negative);
        }
    }

    fn up_to(&self, which: impl Fn(Micros) -> bool) -> (i128, i128) {
        let n = self.0.partition_point(|s| which(s.0));
        n.checked_sub(1).map_or((0, 0), |last| (self.0[last].1, self.0[last].2))
    }
}

#[derive(Default)]
struct Counter {
    /// Acknowledged additions, by time of acknowledgement.
    acknowledged: Sums,
    /// Additions that were not refused, by time of request.
    requested: Sums,
    totals: Vec<(Micros, Micros, i64)>,
}

/// Checks all totals of a history; other kinds of operation are ignored.
pub fn check(history: &History) -> Verdict<CounterStats, Listed<WrongTotal>> {
    if let Err(malformed) = history.check() {
        return Verdict::NotDecided(malformed.into());
    }
    let mut counters: BTreeMap<&str, Counter> = BTreeMap::new();
    for operation in history.operations() {
        match (&operation.kind, &operation.outcome, operation.returned_us) {
            (Kind::Add { amount }, _, returned) if operation.fate() != Fate::Refused => {
                let counter = counters.entry(&operation.key).or_default();
                counter.requested.add(operation.invoked_us, *amount);
                if let (Fate::Acknowledged, Some(at)) = (operation.fate(), returned) {
                    counter.acknowledged.add(at, *amount);
                }
            }
            (Kind::Total, Outcome::Total(told), Some(at)) => {
                let counter = counters.entry(&operation.key).or_default();
                counter.totals.push((operation.invoked_us, at, *told));
            }
            _ => {}
        }
    }
    let (mut stats, mut found) = (CounterStats::default(), Listed::default());
    for (key, mut counter) in counters {
        stats.counters += 1;
        counter.acknowledged.accumulate();
        counter.requested.accumulate();
        for &(invoked_us, returned, told) in &counter.totals {
            stats.totals += 1;
            let acknowledged = counter.acknowledged.up_to(|at| at < invoked_us);
            let requested = counter.requested.up_to(|at| at <= returned);
            let (least, most) = (acknowledged.0 + requested.1, acknowledged.1 + requested.0);
            if !(least..=most).contains(&i128::from(told)) {
                found.add(WrongTotal { key: key.into(), invoked_us, told, least, most });
            }
        }
    }
    match found.is_empty() {
        true => Verdict::Held(stats),
        false => Verdict::Broken(found),
    }
}
