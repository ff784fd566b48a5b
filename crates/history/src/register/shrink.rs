//! Reduces a history of one register that is not linearizable.
//!
//! Only operations may be removed whose absence cannot make a linearizable history fail: everything after
//! some time, operations that change nothing, and operations that set a value which none of the others needs.
//! (A write that is read must stay: without it any history would fail.) Chunks are removed as in the delta
//! debugging of Zeller and Hildebrandt (IEEE Transactions on Software Engineering 28 (2002)), halved down to
//! single operations.

use super::search::{search, Found, Problem};
use super::{semantics, Effort, Need, Semantics};
use crate::operation::Operation;
use crate::{Fate, Micros};
use std::collections::BTreeSet;

/// A search during shrinking may visit 1/`SHRINK_DIVISOR` of the states allowed for a full search, or as many
/// as the full search visited if that is more. All searches of one shrink together may visit as many as one
/// full search.
const SHRINK_DIVISOR: usize = 16;

struct Shrink {
    /// Limits of one search.
    effort: Effort,
    /// States that may still be visited; each search counts for at least one per operation.
    states_left: usize,
}

/// Returns the remaining operations in order of invocation, and whether none of them can be removed.
/// `visited` is the number of states visited by the full search.
pub(super) fn shrink<'a>(
    mut all: Vec<&'a Operation>,
    effort: &Effort,
    visited: usize,
) -> (Vec<&'a Operation>, bool) {
    let states = (effort.states / SHRINK_DIVISOR).max(visited);
    let mut shrink = Shrink { effort: Effort { states, ..*effort }, states_left: effort.states };
    all.retain(|o| known_semantics(o).is_some());
    all.sort_by_key(|o| (o.invoked_us, o.returned_us));
    let until = shrink.first_failure_time(&all);
    all.retain(|o| o.invoked_us <= until);

    let mut chunk = all.len().div_ceil(2).max(1);
    loop {
        let (mut from, mut changed) = (0, false);
        while from < all.len() {
            let rest = without_removable(&all, from, chunk);
            if rest.len() < all.len() && shrink.fails(&rest, Micros::MAX) {
                (all, changed) = (rest, true);
            } else {
                from += chunk;
            }
            if shrink.states_left == 0 {
                return (all, false);
            }
        }
        match chunk {
            1 if !changed => return (all, true),
            1 => {}
            _ => chunk = chunk.div_ceil(2),
        }
    }
}

impl Shrink {
    /// Whether these operations are certainly not linearizable.
    fn fails(&mut self, operations: &[&Operation], until: Micros) -> bool {
        let problem = Problem::new(operations, until);
        let states = self.effort.states.min(self.states_left);
        let (found, visited) = search(&problem, &Effort { states, ..self.effort });
        self.states_left = self.states_left.saturating_sub(visited.max(problem.len()).max(1));
        found == Found::None
    }

    /// Finds the earliest time at which no order exists by binary search: every prefix of a linearizable
    /// history is linearizable.
    fn first_failure_time(&mut self, all: &[&Operation]) -> Micros {
        let mut moments: Vec<Micros> = all.iter().filter_map(|o| o.returned_us).collect();
        moments.sort_unstable();
        moments.dedup();
        let (mut low, mut high) = (0, moments.len());
        while low < high {
            let middle = low + (high - low) / 2;
            match self.fails(all, moments[middle]) {
                true => high = middle,
                false => low = middle + 1,
            }
        }
        moments.get(high).copied().unwrap_or(Micros::MAX)
    }
}

fn known_semantics(operation: &Operation) -> Option<Semantics<'_>> {
    semantics(operation, operation.fate() == Fate::Acknowledged)
}

/// Returns the operations without those that may be removed from a chunk.
fn without_removable<'a>(all: &[&'a Operation], from: usize, chunk: usize) -> Vec<&'a Operation> {
    let inside = |at: usize| at >= from && at - from < chunk;
    // Values needed by the rest: all conditions of known operations, and absence for insertions of unknown
    // outcome.
    let mut needs: BTreeSet<Option<&str>> = BTreeSet::new();
    let mut present = false;
    let changes_nothing = |m: &Semantics| m.put.is_none();
    for (at, operation) in all.iter().enumerate() {
        match known_semantics(operation) {
            Some(m) if inside(at) && changes_nothing(&m) => {}
            Some(Semantics { need: Need::Is(value), .. }) => {
                needs.insert(value);
            }
            Some(Semantics { need: Need::Present, .. }) => present = true,
            _ => {}
        }
    }
    let mut rest = Vec::with_capacity(all.len());
    for (at, operation) in all.iter().enumerate() {
        let is_unneeded = |put| !needs.contains(&put) && (put.is_none() || !present);
        let remove = inside(at) && known_semantics(operation).is_none_or(|m| m.put.is_none_or(is_unneeded));
        if !remove {
            rest.push(*operation);
        }
    }
    rest
}
