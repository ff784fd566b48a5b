//! A register by key is linearizable.
//!
//! It owns the way from a history to a verdict: operations are parted by key, since a history is linearizable exactly
//! if it is for each object alone (Herlihy and Wing, ACM TOPLAS 12 (1990)); each key is searched (`search`), and what
//! fails is made small (`shrink`). It never looks at another judge's operations ([`Kind::Add`], [`Kind::Total`]).
//!
//! Of the registry's checkers, `todc-utils` 0.1 has Wing, Gong and Lowe's search, but no unknown outcomes and no bound, and
//! it keeps a set as long as the whole history by visited state; `lincheck` 0.2 is for threads that it runs itself. Neither
//! tells why a history fails.
//!
//! A register has no value before its first operation; one that had is told by a write before all others. Times that
//! are equal overlap: the clock cannot tell which was first.

mod search;
mod shrink;

use crate::operation::{History, Kind, Operation, Outcome};
use crate::{Listed, Micros, UndecidedReason, Verdict};
use search::{Found, Problem};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What a search of one key may take. The time it takes is about that of its visited states: a million in some seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Effort {
    /// States that it may visit.
    pub states: usize,
    /// Memory that these may take, in bytes, about.
    pub bytes: usize,
}

impl Default for Effort {
    fn default() -> Self {
        Effort { states: 1_000_000, bytes: 256 << 20 }
    }
}

/// Where all keys are linearizable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Linearizable {
    /// Registers.
    pub keys: u64,
    /// Operations of theirs.
    pub operations: u64,
    /// Visited states of all searches.
    pub states: u64,
}

/// A register that is not linearizable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Broken {
    /// Which.
    pub key: String,
    /// A few of its operations, as they were, in the order of their invocations: alone they are not linearizable either,
    /// and whatever else its clients did cannot mend that.
    pub core: Vec<Operation>,
    /// Whether no operation can be left out of the core. Else shrinking gave up.
    pub minimal: bool,
}

/// Judges all registers of a history, in the order of their keys. A broken key outweighs one that was given up.
pub fn check(history: &History, effort: &Effort) -> Verdict<Linearizable, Listed<Broken>> {
    if let Err(wrong) = history.check() {
        return Verdict::NotDecided(wrong.into());
    }
    let mut by_key: BTreeMap<&str, Vec<&Operation>> = BTreeMap::new();
    for operation in history.operations() {
        if !matches!(operation.kind, Kind::Add { .. } | Kind::Total) {
            by_key.entry(&operation.key).or_default().push(operation);
        }
    }
    let (mut sum, mut broken, mut given_up) = (Linearizable::default(), Listed::default(), Listed::default());
    for (key, operations) in by_key {
        sum.keys += 1;
        sum.operations += operations.len() as u64;
        let (found, states) = search::search(&Problem::new(&operations, Micros::MAX), effort);
        sum.states += states as u64;
        match found {
            Found::Order => {}
            Found::GaveUp => given_up.add(key.to_owned()),
            // What is not listed need not be made small.
            Found::None if broken.first.len() >= crate::MAX_LISTED => broken.count += 1,
            Found::None => {
                let (core, minimal) = shrink::shrink(operations, effort, states);
                broken.add(Broken { key: key.into(), core: core.into_iter().cloned().collect(), minimal });
            }
        }
    }
    match () {
        () if !broken.is_empty() => Verdict::Broken(broken),
        () if !given_up.is_empty() => Verdict::NotDecided(UndecidedReason::GaveUp(given_up)),
        () => Verdict::Held(sum),
    }
}

/// What an operation asks of the register's value, by what came of it.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Need<V> {
    /// Nothing.
    Any,
    /// To be this.
    Is(V),
    /// To be there.
    Present,
}

/// What an operation that may matter asks of the value, and what it leaves there; none where it changes nothing.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Meaning<'a> {
    need: Need<Option<&'a str>>,
    put: Option<Option<&'a str>>,
}

/// What an operation means; `told`: whether its outcome counts as known. What was refused, and what changes nothing and
/// tells nobody anything, means nothing.
fn meaning(operation: &Operation, told: bool) -> Option<Meaning<'_>> {
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
    (told || put.is_some()).then_some(Meaning { need, put })
}
