//! Checks that the register of each key is linearizable.
//!
//! Operations are partitioned by key, since a history is linearizable exactly if its projection on each
//! object is (Herlihy and Wing, ACM TOPLAS 12 (1990)). Each key is searched separately (`search`), and
//! failing histories are reduced (`shrink`). Operations of counters ([`Kind::Add`], [`Kind::Total`]) are
//! ignored.
//!
//! Existing crates were not sufficient: `todc-utils` 0.1 implements the search of Wing, Gong and Lowe, but
//! supports neither unknown outcomes nor a limit, and stores a set as long as the whole history per visited
//! state; `lincheck` 0.2 only checks threads that it runs itself. Neither explains why a history fails.
//!
//! A register has no value before its first operation; represent an initial value by a write before all
//! others. Operations with equal times count as concurrent: the clock cannot tell which was first.

mod search;
mod shrink;

use crate::operation::{History, Kind, Operation, Outcome};
use crate::{Listed, Micros, UndecidedReason, Verdict};
use search::{Found, Problem};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Limits on the search of one key. Its running time is roughly proportional to the visited states: a million
/// take some seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effort {
    /// Maximum number of visited states.
    pub states: usize,
    /// Approximate maximum memory for visited states, in bytes.
    pub bytes: usize,
}

impl Default for Effort {
    fn default() -> Self {
        Effort { states: 1_000_000, bytes: 256 << 20 }
    }
}

/// Statistics of a history in which all keys are linearizable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Linearizable {
    /// Number of registers.
    pub keys: u64,
    /// Number of operations on them.
    pub operations: u64,
    /// Visited states of all searches.
    pub states: u64,
}

/// A register that is not linearizable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// The key of the register.
    pub key: String,
    /// A subset of its operations, unchanged and in order of invocation, that is not linearizable by itself;
    /// no other operations of the clients can change that.
    pub core: Vec<Operation>,
    /// Whether no operation can be removed from the core. Otherwise shrinking reached its limit.
    pub minimal: bool,
}

/// Checks all registers of a history, in order of their keys. A violation takes precedence over a search that
/// reached its limit.
pub fn check(history: &History, effort: &Effort) -> Verdict<Linearizable, Listed<Broken>> {
    if let Err(malformed) = history.check() {
        return Verdict::NotDecided(malformed.into());
    }
    let mut by_key: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in history.operations() {
        if !matches!(operation.kind, Kind::Add { .. } | Kind::Total) {
            by_key.entry(&operation.key).or_default().push(operation);
        }
    }
    let (mut stats, mut broken, mut undecided) =
        (Linearizable::default(), Listed::default(), Listed::default());
    for (key, operations) in by_key {
        stats.keys += 1;
        stats.operations += operations.len() as u64;
        let (found, states) = search::search(&Problem::new(&operations, Micros::MAX), effort);
        stats.states += states as u64;
        match found {
            Found::Order => {}
            Found::GaveUp => undecided.add(key.to_owned()),
            // Evidence that is not listed need not be shrunk.
            Found::None if broken.first.len() >= crate::MAX_LISTED => broken.count += 1,
            Found::None => {
                let (core, minimal) = shrink::shrink(operations, effort, states);
                broken.add(Broken { key: key.into(), core: core.into_iter().cloned().collect(), minimal });
            }
        }
    }
    match () {
        () if !broken.is_empty() => Verdict::Broken(broken),
        () if !undecided.is_empty() => Verdict::NotDecided(UndecidedReason::GaveUp(undecided)),
        () => Verdict::Held(stats),
    }
}

/// The condition that the outcome of an operation imposes on the register's value.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Need<V> {
    /// No condition.
    Any,
    /// The register has this value.
    Is(V),
    /// The register has some value.
    Present,
}

/// The precondition of a relevant operation and the value that it sets; `put` is `None` if it changes
/// nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Semantics<'a> {
    need: Need<Option<&'a str>>,
    put: Option<Option<&'a str>>,
}

/// Returns the semantics of an operation; `outcome_known` says whether its outcome counts as known. Refused
/// operations, and those that change nothing and have no known outcome, are irrelevant.
fn semantics(operation: &Operation, outcome_known: bool) -> Option<Semantics<'_>> {
    let (need, put) = match (&operation.kind, &operation.outcome) {
        (_, Outcome::Refused) => return None,
        (Kind::Write { value }, _) => (Need::Any, Some(Some(value.as_str()))),
        (Kind::Delete, _) => (Need::Any, Some(None)),
        (Kind::Insert { value }, Outcome::Done | Outcome::Unknown) => {
            (Need::Is(None), Some(Some(value.as_str())))
        }
        (Kind::Read, Outcome::Value(value)) | (_, Outcome::Found(Some(value))) => {
            (Need::Is(Some(value.as_str())), None)
        }
        (Kind::Read, Outcome::Absent) => (Need::Is(None), None),
        (_, Outcome::Found(None)) => (Need::Present, None),
        _ => return None,
    };
    (outcome_known || put.is_some()).then_some(Semantics { need, put })
}
