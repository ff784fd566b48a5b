//! Whether a whole failure domain (a hall, a zone) is out of reach, told from all its nodes together.
//!
//! Use it where many nodes stand behind one thing that can fail, and a proxy sees little of each of them: with
//! a request every few seconds a node, three failures in a row at each of thirty would take half a minute. Do
//! not use it for a node: one is asked again before several distinct ones could be silent.
//!
//! A domain that is there gives signs of life with whatever it answers, refusals and errors too. It is lost once
//! [`NODES`] distinct nodes of it were asked since the last sign, none has answered, and the first of them has
//! had the time that answers take. From then on it may be tried now and then, with exponential backoff and
//! jitter, until it gives a sign: the first one ends the loss.
//!
//! - At the start, and after silence with nothing asked: there.
//! - With fewer than [`NODES`] nodes: never lost; its nodes are judged one by one.
//! - A clock that goes back makes the silence shorter, never negative.
//!
//! Sources: outlier detection by locality as Envoy does it (a panic threshold that a caller has to keep: with all
//! domains lost, all are used); suspicion by accrued silence, Hayashibara and others, "The phi accrual failure
//! detector" (2004).

use crate::{backoff, Micros};

/// Distinct nodes that have to be silent. At one timeout in twenty among healthy ones, four in a row are chance
/// once in 160,000 times.
pub const NODES: usize = 4;
/// The first and the longest pause between two tries of a lost domain, in us, on the mean.
const TRY: Micros = 500_000;
const LONGEST: Micros = 4_000_000;

/// See the file's comment.
#[derive(Clone, Debug, Default)]
pub struct FailureDomain {
    /// Distinct nodes asked since the last sign of life, and when the first of them was.
    asked: [Option<u64>; NODES],
    since: Micros,
    /// While it is lost: tries made, and when the next may be.
    tries: u32,
    next: Micros,
}

impl FailureDomain {
    /// A node of it is asked. `draw` from 0 to 1 spreads the tries of many proxies, if it is lost by then.
    pub fn sent(&mut self, now: Micros, node: u64, patience: Micros, draw: f64) {
        if self.is_lost(now, patience) {
            let pause = backoff(TRY, self.tries, LONGEST);
            self.next = now + (pause as f64 * (0.5 + draw)) as Micros;
            self.tries += 1;
        }
        if self.asked[0].is_none() {
            self.since = now;
        }
        if !self.asked.contains(&Some(node)) {
            if let Some(free) = self.asked.iter_mut().find(|a| a.is_none()) {
                *free = Some(node);
            }
        }
    }

    /// Something asked of it has ended, with or without a sign of life: an answer, whatever it says.
    pub fn ended(&mut self, life: bool) {
        if life {
            *self = FailureDomain::default();
        }
    }

    /// Whether it has said nothing for longer than `patience` to several that were asked.
    pub fn is_lost(&self, now: Micros, patience: Micros) -> bool {
        self.asked[NODES - 1].is_some() && now.saturating_sub(self.since) > patience
    }

    /// Whether its nodes may be used: it is there, or a try is due.
    pub fn allows(&self, now: Micros, patience: Micros) -> bool {
        !self.is_lost(now, patience) || now >= self.next
    }
}

#[cfg(test)]
mod tests;
