//! Counters add up: whoever asks for a total is told all that was acknowledged before, and at most what was asked for
//! by then.
//!
//! It owns the sums of one pass over [`Kind::Add`] and [`Kind::Total`]. A total may count any part of what was out
//! meanwhile or of what nobody was told about. That is less than linearizability: two totals at once need not agree.
//! A total asked for at the end judges the whole.

use crate::operation::{History, Kind, Outcome};
use crate::{Fate, Listed, Micros, Verdict};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where all held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterStats {
    /// Counters.
    pub counters: u64,
    /// Totals that were compared.
    pub totals: u64,
}

/// A total that cannot be.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WrongTotal {
    /// The counter.
    pub key: String,
    /// When the total was asked for.
    pub invoked_us: Micros,
    /// What was told.
    pub told: i64,
    /// What it must be at least.
    pub least: i128,
    /// And at most.
    pub most: i128,
}

/// Sums of what was gained and lost up to each moment, by the moment.
#[derive(Default)]
struct Sums(Vec<(Micros, i128, i128)>);

impl Sums {
    fn add(&mut self, at: Micros, amount: i64) {
        self.0.push((at, i128::from(amount.max(0)), i128::from(amount.min(0))));
    }

    fn sum_up(&mut self) {
        self.0.sort_unstable_by_key(|s| s.0);
        let (mut gained, mut lost) = (0, 0);
        for s in &mut self.0 {
            gained += s.1;
            lost += s.2;
            (s.1, s.2) = (gained, lost);
        }
    }

    fn up_to(&self, which: impl Fn(Micros) -> bool) -> (i128, i128) {
        let n = self.0.partition_point(|s| which(s.0));
        n.checked_sub(1).map_or((0, 0), |last| (self.0[last].1, self.0[last].2))
    }
}

#[derive(Default)]
struct Counter {
    /// By when it was acknowledged.
    surely: Sums,
    /// By when it was asked for, unless it was refused.
    maybe: Sums,
    totals: Vec<(Micros, Micros, i64)>,
}

/// Judges all totals of a history; other operations are none of its business.
pub fn check(history: &History) -> Verdict<CounterStats, Listed<WrongTotal>> {
    if let Err(wrong) = history.check() {
        return Verdict::NotDecided(wrong.into());
    }
    let mut counters: BTreeMap<&str, Counter> = BTreeMap::new();
    for operation in history.operations() {
        match (&operation.kind, &operation.outcome, operation.returned_us) {
            (Kind::Add { amount }, _, returned) if operation.fate() != Fate::Refused => {
                let counter = counters.entry(&operation.key).or_default();
                counter.maybe.add(operation.invoked_us, *amount);
                if let (Fate::Acknowledged, Some(at)) = (operation.fate(), returned) {
                    counter.surely.add(at, *amount);
                }
            }
            (Kind::Total, Outcome::Total(told), Some(at)) => {
                let counter = counters.entry(&operation.key).or_default();
                counter.totals.push((operation.invoked_us, at, *told));
            }
            _ => {}
        }
    }
    let (mut adds, mut found) = (CounterStats::default(), Listed::default());
    for (key, mut counter) in counters {
        adds.counters += 1;
        counter.surely.sum_up();
        counter.maybe.sum_up();
        for &(invoked_us, returned, told) in &counter.totals {
            adds.totals += 1;
            let surely = counter.surely.up_to(|at| at < invoked_us);
            let maybe = counter.maybe.up_to(|at| at <= returned);
            let (least, most) = (surely.0 + maybe.1, surely.1 + maybe.0);
            if !(least..=most).contains(&i128::from(told)) {
                found.add(WrongTotal { key: key.into(), invoked_us, told, least, most });
            }
        }
    }
    match found.is_empty() {
        true => Verdict::Held(adds),
        false => Verdict::Broken(found),
    }
}
