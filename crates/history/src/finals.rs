//! One final outcome: each request that was taken gets exactly one final answer, nothing comes after it, and at the end
//! none is without one.
//!
//! It owns nothing but the count of one pass; events come in the order of time. What a client left behind, or a killed
//! process took with it, is released by whoever knows that: it is owed nothing, and may still get its one answer.

use crate::{Listed, Micros, UndecidedReason, Verdict, MAX_ITEMS};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What happened to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // the fields are named alike all through, and for what they are
pub enum Event {
    /// It was taken: an answer is owed.
    Taken { id: u64, at_us: Micros },
    /// It was answered; `last` unless more is to come.
    Answered { id: u64, at_us: Micros, last: bool },
    /// Nothing is owed any more.
    Released { id: u64, at_us: Micros },
}

/// What was wrong with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)] // as above
pub enum Fault {
    /// An answer to what nobody asked.
    Unasked { id: u64, at_us: Micros },
    /// An id was taken a second time.
    TakenTwice { id: u64, at_us: Micros },
    /// Something came after the final answer; `last`: another final one.
    AfterFinal { id: u64, final_us: Micros, at_us: Micros, last: bool },
    /// No final answer by the end.
    Lost { id: u64, taken_us: Micros },
}

/// Where all held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerStats {
    /// Requests that were taken.
    pub taken: u64,
    /// Of those, answered.
    pub answered: u64,
    /// Of those, neither answered nor owed an answer.
    pub released: u64,
}

struct Request {
    taken: Micros,
    answered: Option<Micros>,
    released: bool,
}

/// Judges events up to the end of a run. `until` is that end; what was taken then or later is not yet lost.
pub fn check(events: &[Event], until: Micros) -> Verdict<AnswerStats, Listed<Fault>> {
    if events.len() > MAX_ITEMS {
        return Verdict::NotDecided(UndecidedReason::TooMany);
    }
    let mut requests: BTreeMap<u64, Request> = BTreeMap::new();
    let mut found = Listed::default();
    let mut now = Micros::MIN;
    for event in events {
        let (Event::Taken { id, at_us } | Event::Answered { id, at_us, .. } | Event::Released { id, at_us }) =
            *event;
        if at_us < now {
            return Verdict::NotDecided(UndecidedReason::OutOfOrder(at_us));
        }
        now = at_us;
        match (*event, requests.get_mut(&id)) {
            (Event::Taken { .. }, Some(_)) => found.add(Fault::TakenTwice { id, at_us }),
            (Event::Taken { .. }, None) => {
                requests.insert(id, Request { taken: at_us, answered: None, released: false });
            }
            (_, None) => found.add(Fault::Unasked { id, at_us }),
            (Event::Released { .. }, Some(request)) => request.released = true,
            (Event::Answered { last, .. }, Some(request)) => match request.answered {
                Some(final_us) => found.add(Fault::AfterFinal { id, final_us, at_us, last }),
                None if last => request.answered = Some(at_us),
                None => {}
            },
        }
    }
    let mut sum = AnswerStats::default();
    for (id, request) in &requests {
        sum.taken += 1;
        match request.answered {
            Some(_) => sum.answered += 1,
            None if request.released => sum.released += 1,
            None if request.taken < until => found.add(Fault::Lost { id: *id, taken_us: request.taken }),
            None => {}
        }
    }
    match found.is_empty() {
        true => Verdict::Held(sum),
        false => Verdict::Broken(found),
    }
}
