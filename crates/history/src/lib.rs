//! Judges of what was seen. Each takes data that a host wrote down from outside and says what held, what was broken
//! (with evidence that a person can read), or that it could not decide.
//!
//! No I/O, no clock, no random source: hosts write histories down by one clock, and read and write files themselves
//! (every type here is serde's). No judge knows the code under test, nor how faults were made. A judge that no planted
//! history can make fail is worthless: the tests of each plant some.
//!
//! | file | judges |
//! | --- | --- |
//! | [`operation`] | nothing: client operations as data, and whether a history of them is well-formed |
//! | [`finals`] | exactly one final answer to each request |
//! | [`register`] | a register by key is linearizable |
//! | [`set`] | all that was acknowledged is there, and nothing else; of runs: none twice |
//! | [`counter`] | counters add up |
//! | [`converge`] | views agree within a bound once the network is whole |
//! | [`marks`] | no flapping, no wrong failures, how soon a kill is known |
//!
//! Arrows point up in this table. Bounds: [`MAX_ITEMS`] of whatever is handed in, [`MAX_LISTED`] pieces of evidence, and what a
//! search may visit ([`register::Effort`]). Past them a judge says [`Verdict::NotDecided`].
//!
//! ```
//! use history::operation::{Client, History, Kind, Operation, Outcome};
//! use history::register::{check, Effort};
//!
//! let mut seen = History::default();
//! let write = |value: &str| Kind::Write { value: value.into() };
//! seen.push(Operation::invoked(Client(1), "k", write("a"), 0).returned(10, Outcome::Done))?;
//! seen.push(Operation::invoked(Client(1), "k", write("b"), 20).returned(30, Outcome::Done))?;
//! // Client 2 asks after both were acknowledged, and is told the first.
//! seen.push(Operation::invoked(Client(2), "k", Kind::Read, 40).returned(50, Outcome::Value("a".into())))?;
//! let verdict = check(&seen, &Effort::default());
//! assert_eq!(verdict.broken().expect("a stale read").first[0].core.len(), 3);
//! # Ok::<(), history::operation::Malformed>(())
//! ```

#![forbid(unsafe_code)]

pub mod converge;
pub mod counter;
pub mod finals;
pub mod marks;
pub mod operation;
pub mod register;
pub mod set;

use operation::Malformed;
use serde::{Deserialize, Serialize};

/// A moment or a span, in microseconds. The zero of the clock has no meaning; all of a history is by one clock.
pub type Micros = i64;

/// The most of anything that a judge takes: operations, events, samples, changes, elements.
pub const MAX_ITEMS: usize = 1 << 20;

/// The most pieces of evidence of one kind that are listed; all are counted.
pub const MAX_LISTED: usize = 16;

/// What a judge says. `H` tells what was measured where all held, `B` is the evidence where not.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict<H, B> {
    /// All held.
    Held(H),
    /// Something was broken.
    Broken(B),
    /// Neither can be said: never to be taken for [`Verdict::Held`].
    NotDecided(UndecidedReason),
}

impl<H, B> Verdict<H, B> {
    /// Whether all held.
    pub fn is_held(&self) -> bool {
        matches!(self, Verdict::Held(_))
    }

    /// What was measured, where all held.
    pub fn held(&self) -> Option<&H> {
        match self {
            Verdict::Held(held) => Some(held),
            _ => None,
        }
    }

    /// The evidence, where something was broken.
    pub fn broken(&self) -> Option<&B> {
        match self {
            Verdict::Broken(evidence) => Some(evidence),
            _ => None,
        }
    }
}

/// UndecidedReason a judge could not decide.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "snake_case")]
pub enum UndecidedReason {
    /// A search gave up at its bound, for these keys; all others held.
    #[error("gave up on {} keys", .0.count)]
    GaveUp(Listed<String>),
    /// The history is none.
    #[error("the history is malformed: {0}")]
    Malformed(#[from] Malformed),
    /// More than [`MAX_ITEMS`] was handed in.
    #[error("more than {MAX_ITEMS} were handed in")]
    TooMany,
    /// Times go back where they must not.
    #[error("times go back at {0} us")]
    OutOfOrder(Micros),
    /// What was seen ends before the bound has run out.
    #[error("what was seen ends too soon")]
    EndsTooSoon,
}

/// The first few of a kind, and how many there were.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed<T> {
    /// Of all.
    pub count: u64,
    /// The first [`MAX_LISTED`].
    pub first: Vec<T>,
}

impl<T> Default for Listed<T> {
    fn default() -> Self {
        Listed { count: 0, first: Vec::new() }
    }
}

impl<T> Listed<T> {
    /// One more.
    pub fn add(&mut self, one: T) {
        self.count += 1;
        if self.first.len() < MAX_LISTED {
            self.first.push(one);
        }
    }

    /// Whether there was none.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// What is known of whether something that was asked for happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fate {
    /// It was acknowledged: it happened.
    Acknowledged,
    /// It was refused: it surely did not happen, and never will.
    Refused,
    /// Nobody was told: it may have happened, may yet, or never.
    Unknown,
}
