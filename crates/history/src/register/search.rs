//! The search for an order in which one register's operations may have taken effect.
//!
//! It owns one key's search and nothing of how it came to it. It is Wing and Gong's (J. Parallel and Distributed
//! Computing 17 (1993)): among the operations that no other must precede, take one that fits the value, go on, take it
//! back if that leads nowhere. With Lowe's memory (Concurrency and Computation: Practice and Experience 29 (2017)): a
//! state, which is what has been ordered and the value, is entered once. More things keep states few; in each, any order
//! that is there can be rearranged into one that is found:
//!
//! - What changes nothing and fits is taken at once, never instead of something else.
//! - A write whose value nobody needs any more is taken just before another one that needs nothing.
//! - What nobody was told of is taken just before an operation that needs it, and only then: elsewhere it could be moved
//!   on to one, or left out. At most two at once, a deletion and an insertion. Of equal ones, the earliest.
//! - A value that is still needed is not left while nothing could bring it back.
//! - In a state as it is remembered, values that nobody needs any more are one. A state is not entered again with more
//!   taken of what nobody was told of, as far as that is still needed; steps that take none of that come first.
//!
//! A state is kept as the first operation that is not ordered and a set of those after it that are, so that it is as
//! long as operations overlap, not as the history.

use super::{meaning, Effort, Meaning, Need};
use crate::operation::Operation;
use crate::{Fate, Micros};
use std::collections::hash_map::DefaultHasher;
use std::collections::{BTreeMap, HashMap};
use std::hash::BuildHasherDefault;

/// What a search comes to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Found {
    /// There is an order.
    Order,
    /// There is none.
    None,
    /// Not known: the effort was not enough.
    GaveUp,
}

/// A register's value: a number by value, and [`ABSENT`].
type State = u32;
const ABSENT: State = 0;
/// Any value that nobody needs, in a remembered state.
const FORGOTTEN: u32 = u32::MAX;
/// What a visited state takes besides its words, about: the place in the table and the allocation.
const OVERHEAD: usize = 64;

/// An operation whose outcome is known.
#[derive(Clone, Copy, Debug)]
struct Known {
    invoked: Micros,
    returned: Micros,
    need: Need<State>,
    /// The value that it leaves; none if it changes nothing.
    put: Option<State>,
}

/// Operations that nobody was told of, of equal effect.
#[derive(Clone, Debug)]
struct Maybe {
    put: State,
    /// It has an effect only where there is no value.
    insert: bool,
    invoked: Vec<Micros>,
}

/// One register's operations, ready to be searched.
#[derive(Clone, Debug)]
pub(super) struct Problem {
    known: Vec<Known>,
    maybe: Vec<Maybe>,
    /// By value, which of `maybe` leave it.
    makers: Vec<Vec<usize>>,
    /// Of `maybe`, the deletion.
    deletion: Option<usize>,
}

impl Problem {
    /// Of what was seen up to a moment: what had not returned by then is what nobody was told of.
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
            let told = returned.filter(|_| operation.fate() == Fate::Acknowledged);
            let Some(Meaning { need, put }) = meaning(operation, told.is_some()) else { continue };
            let put = put.map(&mut number);
            match (told, put) {
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
            Problem { known, maybe: Vec::new(), makers: vec![Vec::new(); states], deletion: None };
        let wants = Wants::new(&problem.known, states);
        // What leaves a value that nobody needs matters to nobody; deletions also serve insertions.
        kinds.retain(|(put, _), _| *put == ABSENT || !wants.idle(*put));
        let inserts = kinds.keys().any(|(_, insert)| *insert);
        kinds.retain(|(put, _), _| *put != ABSENT || inserts || !wants.idle(ABSENT));
        for ((put, insert), mut invoked) in kinds {
            invoked.sort_unstable();
            problem.makers[put as usize].push(problem.maybe.len());
            if put == ABSENT {
                problem.deletion = Some(problem.maybe.len());
            }
            problem.maybe.push(Maybe { put, insert, invoked });
        }
        problem
    }

    /// How many operations it is about.
    pub(super) fn len(&self) -> usize {
        self.known.len() + self.maybe.iter().map(|m| m.invoked.len()).sum::<usize>()
    }
}

/// How many operations that are not ordered need each value.
#[derive(Clone, Debug)]
struct Wants {
    of: Vec<u32>,
    present: u32,
    any: u32,
    /// An insertion that nobody was told of needs that there is no value.
    inserts: bool,
}

impl Wants {
    fn new(known: &[Known], states: usize) -> Self {
        let mut wants = Wants { of: vec![0; states], present: 0, any: 0, inserts: false };
        known.iter().for_each(|k| *wants.count(k.need) += 1);
        wants
    }

    fn count(&mut self, need: Need<State>) -> &mut u32 {
        match need {
            Need::Is(state) => &mut self.of[state as usize],
            Need::Present => &mut self.present,
            Need::Any => &mut self.any,
        }
    }

    /// Whether nobody needs a value.
    fn idle(&self, state: State) -> bool {
        let whatever = if state == ABSENT { self.inserts } else { self.present > 0 };
        self.of[state as usize] == 0 && !whatever
    }
}

/// What a step takes: up to two that nobody was told of, then a known one.
#[derive(Clone, Copy, Debug)]
struct Step {
    before: [Option<usize>; 2],
    known: usize,
}

/// What is taken back.
#[derive(Clone, Copy, Debug)]
enum Taken {
    Known(usize),
    Maybe(usize),
}

/// A state on the way, and the next step to be tried from it: an operation, and which of the ways to it.
#[derive(Clone, Copy, Debug)]
struct Place {
    trail: usize,
    low: usize,
    state: State,
    /// Steps that take nothing that nobody was told of.
    lean: bool,
    known: usize,
    way: usize,
}

struct Search<'a> {
    problem: &'a Problem,
    ordered: Vec<bool>,
    /// Of `maybe`, how many were taken.
    taken: Vec<usize>,
    /// The first known operation that is not ordered.
    low: usize,
    left: usize,
    state: State,
    wants: Wants,
    trail: Vec<Taken>,
    /// By value, how many that leave it were not taken.
    makers: Vec<usize>,
    /// By state, what was taken of `maybe`, as entered.
    visited: HashMap<Box<[u32]>, Vec<Box<[u32]>>, BuildHasherDefault<DefaultHasher>>,
    states: usize,
    bytes: usize,
}

/// Whether there is an order, and how many states were visited.
pub(super) fn search(problem: &Problem, effort: &Effort) -> (Found, usize) {
    let mut wants = Wants::new(&problem.known, problem.makers.len());
    wants.inserts = problem.maybe.iter().any(|m| m.insert);
    let mut makers = vec![0; problem.makers.len()];
    problem.known.iter().filter_map(|k| k.put).for_each(|put| makers[put as usize] += 1);
    problem.maybe.iter().for_each(|m| makers[m.put as usize] += m.invoked.len());
    let mut search = Search {
        problem,
        ordered: vec![false; problem.known.len()],
        taken: vec![0; problem.maybe.len()],
        low: 0,
        left: problem.known.len(),
        state: ABSENT,
        wants,
        trail: Vec::new(),
        makers,
        visited: HashMap::default(),
        states: 0,
        bytes: 0,
    };
    let found = search.run(effort);
    (found, search.states)
}

impl Search<'_> {
    fn run(&mut self, effort: &Effort) -> Found {
        self.settle();
        let mut places = vec![self.place()];
        while self.left > 0 {
            let Some(mut place) = places.pop() else { return Found::None };
            self.back_to(&place);
            let Some(step) = self.next(&mut place) else { continue };
            places.push(place);
            if !self.take(step) {
                continue;
            }
            self.settle();
            if self.enter() {
                if self.states > effort.states || self.bytes > effort.bytes {
                    return Found::GaveUp;
                }
                places.push(self.place());
            }
        }
        Found::Order
    }

    fn place(&self) -> Place {
        Place {
            trail: self.trail.len(),
            low: self.low,
            state: self.state,
            lean: true,
            known: self.low,
            way: 0,
        }
    }

    fn back_to(&mut self, place: &Place) {
        for taken in self.trail.drain(place.trail..) {
            match taken {
                Taken::Known(k) => {
                    self.ordered[k] = false;
                    self.left += 1;
                    let known = &self.problem.known[k];
                    *self.wants.count(known.need) += 1;
                    known.put.into_iter().for_each(|put| self.makers[put as usize] += 1);
                }
                Taken::Maybe(m) => {
                    self.taken[m] -= 1;
                    self.makers[self.problem.maybe[m].put as usize] += 1;
                }
            }
        }
        (self.low, self.state) = (place.low, place.state);
    }

    /// Known operations that are not ordered and that no other one must precede.
    fn open(&self) -> impl Iterator<Item = usize> + '_ {
        let horizon = self.horizon();
        let known = &self.problem.known;
        (self.low..known.len())
            .take_while(move |k| known[*k].invoked <= horizon)
            .filter(|k| !self.ordered[*k])
    }

    /// The first return of what is not ordered: what was invoked later comes later.
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

    /// The next step from a place that was not tried yet.
    fn next(&self, place: &mut Place) -> Option<Step> {
        let horizon = self.horizon();
        let known = &self.problem.known;
        loop {
            let Some(next) = known.get(place.known).filter(|k| k.invoked <= horizon) else {
                if !place.lean || self.problem.maybe.is_empty() {
                    return None;
                }
                (place.lean, place.known, place.way) = (false, self.low, 0);
                continue;
            };
            if !self.ordered[place.known] && self.fits(next.need) == place.lean {
                let (k, way) = (place.known, place.way);
                place.way += 1;
                match self.way(next.need, way, horizon) {
                    Way::Free(before) => return Some(Step { before, known: k }),
                    Way::Barred => continue,
                    Way::Over => {}
                }
            }
            (place.known, place.way) = (place.known + 1, 0);
        }
    }

    fn way(&self, need: Need<State>, way: usize, horizon: Micros) -> Way {
        if self.fits(need) {
            return if way == 0 { Way::Free([None; 2]) } else { Way::Over };
        }
        let maker = match need {
            Need::Is(state) => self.problem.makers[state as usize].get(way).copied(),
            _ => Some(way).filter(|m| *m < self.problem.maybe.len()),
        };
        let Some(m) = maker else { return Way::Over };
        let free = |m: usize| {
            self.problem.maybe[m].invoked.get(self.taken[m]).is_some_and(|invoked| *invoked <= horizon)
        };
        let maybe = &self.problem.maybe[m];
        if !free(m) || (need == Need::Present && maybe.put == ABSENT) {
            return Way::Barred;
        }
        match self.problem.deletion {
            _ if !maybe.insert || self.state == ABSENT => Way::Free([None, Some(m)]),
            Some(d) if free(d) => Way::Free([Some(d), Some(m)]),
            _ => Way::Barred,
        }
    }

    /// Takes a step; false where a value is left that is needed and cannot come back.
    fn take(&mut self, step: Step) -> bool {
        let mut left = [Some(self.state), None, None];
        let known = &self.problem.known;
        let overwrites = match step.before.iter().flatten().next() {
            Some(m) => !self.problem.maybe[*m].insert,
            None => known[step.known].need == Need::Any,
        };
        while overwrites {
            let unread = |k: &usize| {
                let idle = known[*k].put.is_some_and(|put| self.wants.idle(put));
                *k != step.known && known[*k].need == Need::Any && idle
            };
            let Some(k) = self.open().find(unread) else { break };
            self.order(k);
        }
        for (n, m) in step.before.into_iter().flatten().enumerate() {
            self.taken[m] += 1;
            self.trail.push(Taken::Maybe(m));
            self.state = self.problem.maybe[m].put;
            self.makers[self.state as usize] -= 1;
            left[n + 1] = Some(self.state);
        }
        self.order(step.known);
        self.state = known[step.known].put.unwrap_or(self.state);
        left.into_iter().flatten().all(|state| {
            let (wanted, gone) = (self.wants.of[state as usize] > 0, self.makers[state as usize] == 0);
            state == self.state || !wanted || !gone
        })
    }

    fn order(&mut self, k: usize) {
        self.ordered[k] = true;
        self.left -= 1;
        let known = &self.problem.known[k];
        *self.wants.count(known.need) -= 1;
        known.put.into_iter().for_each(|put| self.makers[put as usize] -= 1);
        self.trail.push(Taken::Known(k));
        while self.ordered.get(self.low) == Some(&true) {
            self.low += 1;
        }
    }

    /// Takes what changes nothing and fits.
    fn settle(&mut self) {
        let known = &self.problem.known;
        loop {
            let quiet = |k: &usize| known[*k].put.is_none() && self.fits(known[*k].need);
            let Some(k) = self.open().find(quiet) else { return };
            self.order(k);
        }
    }

    /// Remembers the state; false where it was entered with no more taken.
    fn enter(&mut self) -> bool {
        let words = self.words();
        let mut taken = Vec::new();
        for (m, maybe) in self.problem.maybe.iter().enumerate() {
            if self.taken[m] > 0 && !self.wants.idle(maybe.put) {
                taken.extend([m as u32, self.taken[m] as u32]);
            }
        }
        let bytes = OVERHEAD + (words.len() + taken.len()) * size_of::<u32>();
        let before = self.visited.entry(words).or_default();
        if before.iter().any(|b| no_more(b, &taken)) {
            return false;
        }
        before.push(taken.into());
        self.states += 1;
        self.bytes += bytes;
        true
    }

    /// The state as it is remembered, without what was taken of what nobody was told of.
    fn words(&self) -> Box<[u32]> {
        let forget = |state: State| if self.wants.idle(state) { FORGOTTEN } else { state };
        let mut words = vec![self.low as u32, forget(self.state)];
        // What is ordered after `low` was invoked before that returned.
        let last = self.problem.known.get(self.low).map_or(Micros::MIN, |k| k.returned);
        let (mut word, mut bits) = (0, 0);
        for k in self.low..self.ordered.len() {
            if self.problem.known[k].invoked > last {
                break;
            }
            word |= u32::from(self.ordered[k]) << bits;
            bits += 1;
            if bits == u32::BITS {
                words.push(word);
                (word, bits) = (0, 0);
            }
        }
        words.push(word);
        words.into()
    }
}

/// A way to an operation.
enum Way {
    /// By way of these.
    Free([Option<usize>; 2]),
    /// Not this one, but there may be others.
    Barred,
    /// There are no more.
    Over,
}

/// Whether of each kind no more is in one list of kinds and numbers than in another; both by kind.
fn no_more(one: &[u32], other: &[u32]) -> bool {
    let mut others = other.chunks_exact(2);
    one.chunks_exact(2)
        .all(|a| others.by_ref().find(|b| b[0] >= a[0]).is_some_and(|b| b[0] == a[0] && b[1] >= a[1]))
}
