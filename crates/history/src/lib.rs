//! Checkers for recorded histories. Each takes data that a host recorded from outside and reports that a
//! property held, that it was violated (with readable evidence), or that it could not be decided.
//!
//! There is no I/O, no clock and no random source here: hosts record histories with one clock, and read and
//! write files themselves (all types implement the serde traits). No checker knows the code under test or how
//! faults were injected. A checker that cannot fail is worthless, so the tests of each one include histories
//! with planted violations.
//!
//! | module | checks |
//! | --- | --- |
//! | [`operation`] | client operations as data; whether a history of them is well-formed |
//! | [`finals`] | exactly one final answer to each request |
//! | [`register`] | a register by key is linearizable |
//! | [`set`] | all acknowledged elements are present and nothing else; no job ran twice |
//! | [`counter`] | counters add up |
//! | [`converge`] | views agree within a bound once the network is whole |
//! | [`failure_detection`] | failure detection: no flapping, no false positives, detection time |
//!
//! Modules depend only on those above them in this table. Bounds: [`MAX_ITEMS`] input items, [`MAX_LISTED`]
//! pieces of evidence, and what a search may visit ([`register::Effort`]). Beyond these a checker returns
//! [`Verdict::NotDecided`].
//!
//! ```
//! use history::operation::{Client, History, Kind, Operation, Outcome};
//! use history::register::{check, Effort};
//!
//! let mut seen = History::default();
//! let write = |value: &str| Kind::Write { value: value.into() };
//! seen.push(Operation::invoked(Client(1), "k", write("a"), 0).returned(10, Outcome::Done))?;
//! seen.push(Operation::invoked(Client(1), "k", write("b"), 20).returned(30, Outcome::Done))?;
//! // Client 2 reads after both writes were acknowledged, and gets the first value.
//! seen.push(Operation::invoked(Client(2), "k", Kind::Read, 40).returned(50, Outcome::Value("a".into())))?;
//! let verdict = check(&seen, &Effort::default());
//! assert_eq!(verdict.broken().expect("a stale read").first[0].core.len(), 3);
//! # Ok::<(), history::operation::Malformed>(())
//! ```

#![forbid(unsafe_code)]

pub mod converge;
pub mod counter;
pub mod failure_detection;
pub mod finals;
pub mod operation;
pub mod register;
pub mod set;

use operation::Malformed;
use serde::{Deserialize, Serialize};

/// A time or duration in microseconds. The zero point is arbitrary; a history uses a single clock.
pub type Micros = i64;

/// Maximum number of items that a checker accepts: operations, events, samples, changes or elements.
pub const MAX_ITEMS: usize = 1 << 20;

/// Maximum number of listed pieces of evidence of one kind; all of them are counted.
pub const MAX_LISTED: usize = 16;

/// The result of a check. `H` holds measurements if the property held, `B` the evidence if it was violated.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict<H, B> {
    /// The property held.
    Held(H),
    /// The property was violated.
    Broken(B),
    /// No decision was possible. Must not be treated as [`Verdict::Held`].
    NotDecided(UndecidedReason),
}

impl<H, B> Verdict<H, B> {
    /// Whether the property held.
    pub fn is_held(&self) -> bool {
        matches!(self, Verdict::Held(_))
    }

    /// The measurements, if the property held.
    pub fn held(&self) -> Option<&H> {
        match self {
            Verdict::Held(held) => Some(held),
            _ => None,
        }
    }

    /// The evidence, if the property was violated.
    pub fn broken(&self) -> Option<&B> {
        match self {
            Verdict::Broken(evidence) => Some(evidence),
            _ => None,
        }
    }
}

/// Why a checker could not decide.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum UndecidedReason {
    /// The search reached its limit for these keys; the property held for all others.
    #[error("the search reached its limit for {} keys", .0.count)]
    GaveUp(Listed<String>),
    /// The history is malformed.
    #[error("the history is malformed: {0}")]
    Malformed(#[from] Malformed),
    /// The input has more than [`MAX_ITEMS`] items.
    #[error("the input has more than {MAX_ITEMS} items")]
    TooMany,
    /// Times decrease where they must not.
    #[error("times decrease at {0} us")]
    OutOfOrder(Micros),
    /// The recording ends before the time limit has passed.
    #[error("the recording ends before the time limit has passed")]
    EndsTooSoon,
}

/// The first few items of a kind, and their total number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed<T> {
    /// Total number of items.
    pub count: u64,
    /// The first [`MAX_LISTED`] items.
    pub first: Vec<T>,
}

impl<T> Default for Listed<T> {
    fn default() -> Self {
        Listed { count: 0, first: Vec::new() }
    }
}

impl<T> Listed<T> {
    /// Adds an item.
    pub fn add(&mut self, one: T) {
        self.count += 1;
        if self.first.len() < MAX_LISTED {
            self.first.push(one);
        }
    }

    /// Whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// What is known about whether a requested operation took effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// Acknowledged: it took effect.
    Acknowledged,
    /// Refused: it did not take effect and never will.
    Refused,
    /// No response: it may have taken effect, may still do so, or never.
    Unknown,
}
