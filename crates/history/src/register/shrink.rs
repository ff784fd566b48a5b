//! Makes a history of one register that is not linearizable small.
//!
//! It owns what may be left out so that the rest, if it is not linearizable, shows that the whole is not: whatever comes
//! after a moment; what changes nothing; and what leaves a value that none of the rest needs. (A write that is read may
//! not: without it any history would fail.) Chunks are left out as in Zeller and Hildebrandt's delta debugging (IEEE
//! Transactions on Software Engineering 28 (2002)), halved down to single operations.

use super::search::{search, Found, Problem};
use super::{meaning, Effort, Meaning, Need};
use crate::operation::Operation;
use crate::{Fate, Micros};
use std::collections::BTreeMap;

/// All searches together may take so many times the states of one.
const TIMES: usize = 4;

struct Shrink {
    effort: Effort,
    /// States that may yet be visited; each search counts as one by operation at least.
    left: usize,
}

/// The operations that are left, in the order of their invocations, and whether none more can be left out.
pub(super) fn shrink<'a>(mut all: Vec<&'a Operation>, effort: &Effort) -> (Vec<&'a Operation>, bool) {
    let mut shrink = Shrink { effort: *effort, left: effort.states.saturating_mul(TIMES) };
    all.retain(|o| means(o).is_some());
    all.sort_by_key(|o| (o.invoked_us, o.returned_us));
    let until = shrink.first_moment(&all);
    all.retain(|o| o.invoked_us <= until);

    let mut chunk = all.len().div_ceil(2).max(1);
    loop {
        let (mut from, mut changed) = (0, false);
        while from < all.len() {
            let rest = without(&all, from, chunk);
            if rest.len() < all.len() && shrink.fails(&rest, Micros::MAX) {
                (all, changed) = (rest, true);
            } else {
                from += chunk;
            }
            if shrink.left == 0 {
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
    /// Whether these are surely not linearizable.
    fn fails(&mut self, operations: &[&Operation], until: Micros) -> bool {
        let problem = Problem::new(operations, until);
        let states = self.effort.states.min(self.left);
        let (found, visited) = search(&problem, &Effort { states, ..self.effort });
        self.left = self.left.saturating_sub(visited.max(problem.len()).max(1));
        found == Found::None
    }

    /// The first moment by which there was no order any more: what is linearizable is so up to each moment.
    fn first_moment(&mut self, all: &[&Operation]) -> Micros {
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

fn means(operation: &Operation) -> Option<Meaning<'_>> {
    meaning(operation, operation.fate() == Fate::Acknowledged)
}

/// The operations without what may be left out of a chunk.
fn without<'a>(all: &[&'a Operation], from: usize, chunk: usize) -> Vec<&'a Operation> {
    let inside = |at: usize| at >= from && at - from < chunk;
    // What the rest needs: of known operations all, of unknown ones that there is no value.
    let mut needs: BTreeMap<Option<&str>, u32> = BTreeMap::new();
    let mut present = 0;
    let quiet = |m: &Meaning| m.put.is_none();
    for (at, operation) in all.iter().enumerate() {
        match means(operation) {
            Some(m) if inside(at) && quiet(&m) => {}
            Some(Meaning { need: Need::Is(value), .. }) => *needs.entry(value).or_default() += 1,
            Some(Meaning { need: Need::Present, .. }) => present += 1,
            _ => {}
        }
    }
    let mut rest = Vec::with_capacity(all.len());
    for (at, operation) in all.iter().enumerate() {
        let idle = |put| !needs.contains_key(&put) && (put.is_none() || present == 0);
        let leave_out = inside(at) && means(operation).is_none_or(|m| m.put.is_none_or(idle));
        if !leave_out {
            rest.push(*operation);
        } else if let Some(Meaning { need: Need::Is(value), put: Some(_) }) = means(operation) {
            // An insertion that is left out needs nothing any more.
            if let Some(n) = needs.get_mut(&value) {
                *n -= 1;
                if *n == 0 {
                    needs.remove(&value);
                }
            }
        }
    }
    rest
}
