//! Searches for an order in which the operations on one register may have taken effect.
//!
//! The algorithm is that of Wing and Gong (J. Parallel and Distributed Computing 17 (1993)): among the
//! operations that no other one must precede, choose one that fits the current value, continue, and backtrack
//! if that fails. Following Lowe (Concurrency and Computation: Practice and Experience 29 (2017)), visited
//! states are cached: a state consists of the ordered operations and the value, and is entered only once.
//! Further rules reduce the number of states; each preserves completeness, because any valid order can be
//! rearranged into one that obeys it:
//!
//! - An operation that changes nothing and fits is ordered immediately, without trying alternatives.
//! - A write whose value no operation needs any more is ordered just before another operation without a
//!   precondition.
//! - An operation of unknown outcome is ordered only just before an operation that needs it: anywhere else
//!   it could be moved forward to such an operation, or omitted. At most two are taken at once, a deletion
//!   and an insertion. Among equal ones, the earliest is taken.
//! - A value that is still needed is not overwritten if nothing could restore it.
//! - In cached states, all values that are no longer needed count as equal. A state is not entered again if
//!   more of the still useful operations of unknown outcome have been used; steps that use none of them are
//!   tried first.
//!
//! A state is stored as the index of the first operation that is not ordered and a bit set of the ordered
//! ones after it, so its size depends on the number of overlapping operations, not on the length of the
//! history.

use super::{semantics, Effort, Need, Semantics};
use crate::operation::Operation;
use crate::{Fate, Micros};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasherDefault;

/// Result of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Found {
    /// A valid order exists.
    Order,
    /// No valid order exists.
    None,
    /// Unknown: the limits were reached.
    GaveUp,
}

/// The value of a register: a number per distinct value, or [`ABSENT`].
type State = u32;
const ABSENT: State = 0;
/// Represents, in a cached state, any value that is no longer needed.
const UNNEEDED: u32 = u32::MAX;
/// Approximate memory per visited state besides its words: the table entry and the allocation.
const STATE_OVERHEAD_BYTES: usize = 64;

/// An operation whose outcome is known.
#[derive(Clone, Copy, Debug)]
struct Known {
    invoked: Micros,
    returned: Micros,
    need: Need<State>,
    /// The value that it sets; `None` if it changes nothing.
    put: Option<State>,
}

/// Operations of unknown outcome with the same effect.
#[derive(Clone, Debug)]
struct Unknown {
    put: State,
    /// Whether it takes effect only if there is no value.
    insert: bool,
    invoked: Vec<Micros>,
}

/// The operations on one register, prepared for the search.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    known: Vec<Known>,
    unknown: Vec<Unknown>,
    /// For each value, the indices in `unknown` of the operations that set it.
    setters: Vec<Vec<usize>>,
    /// Index of the deletion in `unknown`.
    deletion: Option<usize>,
}

impl Problem {
    /// Builds the problem for the history up to `until`; operations that had not returned by then have an
    /// unknown outcome.
    pub(super) fn new<'a>(operations: &[&'a Operation], until: Micros) -> Self {
        let mut values: BTreeMap<&str, State> = BTreeMap::new();
        let mut number = |value: Option<&'a str>| {
            value.map_or(ABSENT, |v| {
                let next = values.len() as State + 1;
                *values.entry(v).or_insert(next)
            })
        };
        let (mut known, mut kinds) = (Vec::new(), BTreeMap::<(State, bool), Vec<Micros>>::new());
        for operation in operations.iter().filter(|o| o.invoked_us <= until) {
            let returned = operation.returned_us.filter(|at| *at <= until);
            let known_return = returned.filter(|_| operation.fate() == Fate::Acknowledged);
            let Some(Semantics { need, put }) = semantics(operation, known_return.is_some()) else {
                continue;
            };
            let put = put.map(&mut number);
            match (known_return, put) {
                (Some(returned), _) => {
                    let need = match need {
                        Need::Any => Need::Any,
                        Need::Is(value) => Need::Is(number(value)),
                        Need::Present => Need::Present,
                    };
                    known.push(Known { invoked: operation.invoked_us, returned, need, put });
                }
                (None, Some(put)) => {
                    kinds.entry((put, need != Need::Any)).or_default().push(operation.invoked_us);
                }
                (None, None) => {}
            }
        }
        known.sort_by_key(|k| (k.invoked, k.returned));
        let states = values.len() + 1;
        let mut problem =
            Problem { known, unknown: Vec::new(), setters: vec![Vec::new(); states], deletion: None };
        let needs = Needs::new(&problem.known, states);
        // Operations that set a value which is never needed are irrelevant; deletions can also enable
        // insertions.
        kinds.retain(|(put, _), _| *put == ABSENT || !needs.is_unneeded(*put));
        let inserts = kinds.keys().any(|(_, insert)| *insert);
        kinds.retain(|(put, _), _| *put != ABSENT || inserts || !needs.is_unneeded(ABSENT));
        for ((put, insert), mut invoked) in kinds {
            invoked.sort_unstable();
            problem.setters[put as usize].push(problem.unknown.len());
            if put == ABSENT {
                problem.deletion = Some(problem.unknown.len());
            }
            problem.unknown.push(Unknown { put, insert, invoked });
        }
        problem
    }

    /// Number of operations.
    pub(super) fn len(&self) -> usize {
        self.known.len() + self.unknown.iter().map(|m| m.invoked.len()).sum::<usize>()
    }
}

/// Number of unordered operations that need each value.
#[derive(Clone, Debug)]
struct Needs {
    of: Vec<u32>,
    present: u32,
    any: u32,
    /// Whether there are insertions of unknown outcome, which need the register to have no value.
    inserts: bool,
}

impl Needs {
    fn new(known: &[Known], states: usize) -> Self {
        let mut needs = Needs { of: vec![0; states], present: 0, any: 0, inserts: false };
        known.iter().for_each(|k| *needs.count(k.need) += 1);
        needs
    }

    fn count(&mut self, need: Need<State>) -> &mut u32 {
        match need {
            Need::Is(state) => &mut self.of[state as usize],
            Need::Present => &mut self.present,
            Need::Any => &mut self.any,
        }
    }

    /// Whether no operation needs a value.
    fn is_unneeded(&self, state: State) -> bool {
        let whatever = if state == ABSENT { self.inserts } else { self.present > 0 };
        self.of[state as usize] == 0 && !whatever
    }
}

/// A step orders up to two operations of unknown outcome, then a known one.
#[derive(Clone, Copy, Debug)]
struct Step {
    before: [Option<usize>; 2],
    known: usize,
}

/// An entry of the backtracking trail.
#[derive(Clone, Copy, Debug)]
enum Ordered {
    Known(usize),
    Unknown(usize),
}

/// A state on the search stack and the next step to try from it: an operation and the alternative that
/// enables it.
#[derive(Clone, Copy, Debug)]
struct Frame {
    trail: usize,
    low: usize,
    state: State,
    /// Whether steps without operations of unknown outcome are being tried; they come first.
    known_only: bool,
    known: usize,
    alternative: usize,
}

/// For each state, the numbers of `unknown` operations used when it was entered. The hasher is unseeded, so
/// that searches are reproducible.
type Visited = HashMap<Box<[u32]>, Vec<Box<[u32]>>, BuildHasherDefault<DefaultHasher>>;

struct Search<'a> {
    problem: &'a Problem,
    ordered: Vec<bool>,
    /// How many operations of each entry in `unknown` were used.
    used: Vec<usize>,
    /// The first known operation that is not ordered.
    low: usize,
    left: usize,
    state: State,
    needs: Needs,
    trail: Vec<Ordered>,
    /// For each value, the number of unused operations that set it.
    setters: Vec<usize>,
    visited: Visited,
    states: usize,
    bytes: usize,
}

/// Returns whether a valid order exists, and the number of visited states.
pub(super) fn search(problem: &Problem, effort: &Effort) -> (Found, usize) {
    let mut needs = Needs::new(&problem.known, problem.setters.len());
    needs.inserts = problem.unknown.iter().any(|m| m.insert);
    let mut setters = vec![0; problem.setters.len()];
    problem.known.iter().filter_map(|k| k.put).for_each(|put| setters[put as usize] += 1);
    problem.unknown.iter().for_each(|m| setters[m.put as usize] += m.invoked.len());
    let mut search = Search {
        problem,
        ordered: vec![false; problem.known.len()],
        used: vec![0; problem.unknown.len()],
        low: 0,
        left: problem.known.len(),
        state: ABSENT,
        needs,
        trail: Vec::new(),
        setters,
        visited: HashMap::default(),
        states: 0,
        bytes: 0,
    };
    let found = search.run(effort);
    (found, search.states)
}

impl Search<'_> {
    fn run(&mut self, effort: &Effort) -> Found {
        self.order_quiet_operations();
        let mut frames = vec![self.frame()];
        while self.left > 0 {
            let Some(mut frame) = frames.pop() else { return Found::None };
            self.backtrack_to(&frame);
            let Some(step) = self.next(&mut frame) else { continue };
            frames.push(frame);
            if !self.perform(step) {
                continue;
            }
            self.order_quiet_operations();
            if self.cache_state() {
                if self.states > effort.states || self.bytes > effort.bytes {
                    return Found::GaveUp;
                }
                frames.push(self.frame());
            }
        }
        Found::Order
    }

    fn frame(&self) -> Frame {
        Frame {
            trail: self.trail.len(),
            low: self.low,
            state: self.state,
            known_only: true,
            known: self.low,
            alternative: 0,
        }
    }

    fn backtrack_to(&mut self, frame: &Frame) {
        for ordered in self.trail.drain(frame.trail..) {
            match ordered {
                Ordered::Known(k) => {
                    self.ordered[k] = false;
                    self.left += 1;
                    let known = &self.problem.known[k];
                    *self.needs.count(known.need) += 1;
                    known.put.into_iter().for_each(|put| self.setters[put as usize] += 1);
                }
                Ordered::Unknown(m) => {
                    self.used[m] -= 1;
                    self.setters[self.problem.unknown[m].put as usize] += 1;
                }
            }
        }
        (self.low, self.state) = (frame.low, frame.state);
    }

    /// Known, unordered operations that no other one must precede.
    fn candidates(&self) -> impl Iterator<Item = usize> + '_ {
        let horizon = self.horizon();
        let known = &self.problem.known;
        (self.low..known.len())
            .take_while(move |k| known[*k].invoked <= horizon)
            .filter(|k| !self.ordered[*k])
    }

    /// Earliest return among the unordered operations: those invoked after it must come later.
    fn horizon(&self) -> Micros {
        let mut first = Micros::MAX;
        for k in self.low..self.ordered.len() {
            let known = &self.problem.known[k];
            if known.invoked > first {
                break;
            }
            if !self.ordered[k] {
                first = first.min(known.returned);
            }
        }
        first
    }

    fn fits(&self, need: Need<State>) -> bool {
        match need {
            Need::Any => true,
            Need::Is(state) => self.state == state,
            Need::Present => self.state != ABSENT,
        }
    }

    /// The next step from a frame that has not been tried.
    fn next(&self, frame: &mut Frame) -> Option<Step> {
        let horizon = self.horizon();
        let known = &self.problem.known;
        loop {
            let Some(next) = known.get(frame.known).filter(|k| k.invoked <= horizon) else {
                if !frame.known_only || self.problem.unknown.is_empty() {
                    return None;
                }
                (frame.known_only, frame.known, frame.alternative) = (false, self.low, 0);
                continue;
            };
            if !self.ordered[frame.known] && self.fits(next.need) == frame.known_only {
                let (k, alternative) = (frame.known, frame.alternative);
                frame.alternative += 1;
                match self.alternative(next.need, alternative, horizon) {
                    Alternative::Possible(before) => return Some(Step { before, known: k }),
                    Alternative::Blocked => continue,
                    Alternative::Exhausted => {}
                }
            }
            (frame.known, frame.alternative) = (frame.known + 1, 0);
        }
    }

    fn alternative(&self, need: Need<State>, alternative: usize, horizon: Micros) -> Alternative {
        if self.fits(need) {
            return if alternative == 0 { Alternative::Possible([None; 2]) } else { Alternative::Exhausted };
        }
        let setter = match need {
            Need::Is(state) => self.problem.setters[state as usize].get(alternative).copied(),
            _ => Some(alternative).filter(|m| *m < self.problem.unknown.len()),
        };
        let Some(m) = setter else { return Alternative::Exhausted };
        let is_available = |m: usize| {
            self.problem.unknown[m].invoked.get(self.used[m]).is_some_and(|invoked| *invoked <= horizon)
        };
        let unknown = &self.problem.unknown[m];
        if !is_available(m) || (need == Need::Present && unknown.put == ABSENT) {
            return Alternative::Blocked;
        }
        match self.problem.deletion {
            _ if !unknown.insert || self.state == ABSENT => Alternative::Possible([None, Some(m)]),
            Some(d) if is_available(d) => Alternative::Possible([Some(d), Some(m)]),
            _ => Alternative::Blocked,
        }
    }

    /// Performs a step; returns false if it overwrites a value that is still needed and cannot be restored.
    fn perform(&mut self, step: Step) -> bool {
        let mut left = [Some(self.state), None, None];
        let known = &self.problem.known;
        let overwrites = match step.before.iter().flatten().next() {
            Some(m) => !self.problem.unknown[*m].insert,
            None => known[step.known].need == Need::Any,
        };
        while let Some(k) = self.unneeded_write(step.known).filter(|_| overwrites) {
            self.order(k);
        }
        for (n, m) in step.before.into_iter().flatten().enumerate() {
            self.used[m] += 1;
            self.trail.push(Ordered::Unknown(m));
            self.state = self.problem.unknown[m].put;
            self.setters[self.state as usize] -= 1;
            left[n + 1] = Some(self.state);
        }
        self.order(step.known);
        self.state = known[step.known].put.unwrap_or(self.state);
        left.into_iter().flatten().all(|state| {
            let (needed, gone) = (self.needs.of[state as usize] > 0, self.setters[state as usize] == 0);
            state == self.state || !needed || !gone
        })
    }

    /// A write other than `other` that may come next and whose value no operation needs.
    fn unneeded_write(&self, other: usize) -> Option<usize> {
        let known = &self.problem.known;
        let is_unneeded = |k: &usize| known[*k].put.is_some_and(|put| self.needs.is_unneeded(put));
        self.candidates().find(|k| *k != other && known[*k].need == Need::Any && is_unneeded(k))
    }

    fn order(&mut self, k: usize) {
        self.ordered[k] = true;
        self.left -= 1;
        let known = &self.problem.known[k];
        *self.needs.count(known.need) -= 1;
        known.put.into_iter().for_each(|put| self.setters[put as usize] -= 1);
        self.trail.push(Ordered::Known(k));
        while self.ordered.get(self.low) == Some(&true) {
            self.low += 1;
        }
    }

    /// Orders all operations that change nothing and fit the value.
    fn order_quiet_operations(&mut self) {
        let known = &self.problem.known;
        loop {
            let changes_nothing = |k: &usize| known[*k].put.is_none() && self.fits(known[*k].need);
            let Some(k) = self.candidates().find(changes_nothing) else { return };
            self.order(k);
        }
    }

    /// Caches the state; returns false if it was entered before with no more operations of unknown outcome
    /// used.
    fn cache_state(&mut self) -> bool {
        let cache_key = self.cache_key();
        let mut used = Vec::new();
        for (m, unknown) in self.problem.unknown.iter().enumerate() {
            if self.used[m] > 0 && !self.needs.is_unneeded(unknown.put) {
                used.extend([m as u32, self.used[m] as u32]);
            }
        }
        let bytes = STATE_OVERHEAD_BYTES + (cache_key.len() + used.len()) * size_of::<u32>();
        let before = self.visited.entry(cache_key).or_default();
        if before.iter().any(|b| uses_no_more(b, &used)) {
            return false;
        }
        before.push(used.into());
        self.states += 1;
        self.bytes += bytes;
        true
    }

    /// The cached form of the state, without the operations of unknown outcome that were used.
    fn cache_key(&self) -> Box<[u32]> {
        let normalize = |state: State| if self.needs.is_unneeded(state) { UNNEEDED } else { state };
        let mut cache_key = vec![self.low as u32, normalize(self.state)];
        // Ordered operations after `low` were invoked before `low` returned.
        let last = self.problem.known.get(self.low).map_or(Micros::MIN, |k| k.returned);
        let (mut word, mut bits) = (0, 0);
        for k in self.low..self.ordered.len() {
            if self.problem.known[k].invoked > last {
                break;
            }
            word |= u32::from(self.ordered[k]) << bits;
            bits += 1;
            if bits == u32::BITS {
                cache_key.push(word);
                (word, bits) = (0, 0);
            }
        }
        cache_key.push(word);
        cache_key.into()
    }
}

/// An alternative to enable an operation.
enum Alternative {
    /// Order these operations first.
    Possible([Option<usize>; 2]),
    /// Not possible, but there may be other alternatives.
    Blocked,
    /// No more alternatives.
    Exhausted,
}

/// Whether every count in `one` is at most that in `other`; both are lists of kind and count, sorted by kind.
fn uses_no_more(one: &[u32], other: &[u32]) -> bool {
    let mut others = other.chunks_exact(2);
    one.chunks_exact(2)
        .all(|a| others.by_ref().find(|b| b[0] >= a[0]).is_some_and(|b| b[0] == a[0] && b[1] >= a[1]))
}
